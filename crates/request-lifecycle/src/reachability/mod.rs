//! Reachability of servers as observed by calls, and the order in which servers are called for a release.
//!
//! Any running server can release the reservations of a request at all servers, and the release must reach one of
//! them in time. The caller therefore does not wait for a server that may be unreachable: it first calls the server
//! most likely to respond, and until a server has responded, it calls further ones, alternating between zones
//! because network failures tend to affect whole zones.
//!
//! [`Reachability`] records the calls to one server, [`release_order`] ranks servers by it, and [`ReleaseRounds`]
//! tracks one release in progress. The caller owns the clock and makes the calls.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};

/// Time or duration in milliseconds, on one clock of the caller.
pub type Millis = u64;

/// Interval between two rounds of calls while no server has responded. An idle server responds within it.
pub const ROUND_INTERVAL_MS: Millis = 50;
/// Number of servers called in each round after the first. The first round calls one server, which usually responds.
const SERVERS_PER_LATER_ROUND: usize = 2;
/// Time after which a call without a response makes its server suspect.
const SUSPECT_AFTER_MS: Millis = 100;

/// Results of the calls to one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reachability {
    /// When the server last responded to any call.
    last_answered: Option<Millis>,
    /// When a call last failed: no connection could be opened, or a short call was not answered in time.
    last_query_lost: Option<Millis>,
    /// Since when short calls have been in flight without any response from the server.
    waiting_since: Option<Millis>,
}

impl Reachability {
    /// Records that a short call was sent, to which a server responds immediately.
    pub fn query_sent(&mut self, now: Millis) {
        self.waiting_since.get_or_insert(now);
    }

    /// Records that the server responded.
    pub fn answered(&mut self, now: Millis) {
        self.last_answered = Some(now);
        self.waiting_since = None;
    }

    /// Records that a call failed: no connection could be opened, or no response arrived in time.
    pub fn query_lost(&mut self, now: Millis) {
        self.last_query_lost = Some(now);
        self.waiting_since = None;
    }

    /// Returns the later of two times: when a call last failed, and when a call was sent that is now overdue.
    /// `None` if there is neither or the server has responded since.
    fn suspected_since(&self, now: Millis) -> Option<Millis> {
        let overdue_since = self.waiting_since.filter(|since| now >= since + SUSPECT_AFTER_MS);
        let last_failure = self.last_query_lost.max(overdue_since)?;
        let answered_since = self.last_answered.is_some_and(|answered| answered >= last_failure);
        (!answered_since).then_some(last_failure)
    }
}

/// A server that may be called for a release.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<S> {
    /// Identifier of the server; the lower one is preferred among equal candidates.
    pub server: S,
    /// Zone of the server. Servers of one zone are likely to become unreachable together.
    pub zone: u32,
    /// Whether an idle connection to the server is open.
    pub has_idle_connection: bool,
    /// Results of earlier calls to the server.
    pub reachability: Reachability,
}

/// Latest response and latest failure of any server in a zone.
#[derive(Clone, Copy, Default)]
struct ZoneReachability {
    last_answered: Option<Millis>,
    last_failure: Option<Millis>,
}

impl ZoneReachability {
    /// Returns whether the latest failure is later than the latest response.
    fn is_suspect(&self) -> bool {
        self.last_failure > self.last_answered
    }
}

/// Returns the servers in the order in which to call them: zones alternate, and within a zone the server most
/// likely to respond comes first.
pub fn release_order<S: Copy + Ord>(candidates: &[Candidate<S>], now: Millis) -> Vec<S> {
    interleave_zones(&by_likelihood(candidates, now))
}

/// Sorts the candidates so that those most likely to respond come first.
fn by_likelihood<S: Copy + Ord>(candidates: &[Candidate<S>], now: Millis) -> Vec<&Candidate<S>> {
    let zones = zone_reachability(candidates, now);
    let mut sorted: Vec<&Candidate<S>> = candidates.iter().collect();
    sorted.sort_by_key(|candidate| {
        let server_is_suspect = candidate.reachability.suspected_since(now).is_some();
        let zone_is_suspect = zones.get(&candidate.zone).is_some_and(ZoneReachability::is_suspect);
        let latest_response_first = Reverse(candidate.reachability.last_answered);
        (
            server_is_suspect,
            zone_is_suspect,
            !candidate.has_idle_connection,
            latest_response_first,
            candidate.server,
        )
    });
    sorted
}

fn zone_reachability<S>(candidates: &[Candidate<S>], now: Millis) -> BTreeMap<u32, ZoneReachability> {
    let mut zones: BTreeMap<u32, ZoneReachability> = BTreeMap::new();
    for candidate in candidates {
        let zone = zones.entry(candidate.zone).or_default();
        zone.last_answered = zone.last_answered.max(candidate.reachability.last_answered);
        zone.last_failure = zone.last_failure.max(candidate.reachability.suspected_since(now));
    }
    zones
}

/// Takes one server of each zone in turn. Zones are ordered by their first candidate.
fn interleave_zones<S: Copy>(sorted: &[&Candidate<S>]) -> Vec<S> {
    let mut zones: Vec<(u32, VecDeque<S>)> = Vec::new();
    for candidate in sorted {
        match zones.iter_mut().find(|(zone, _)| *zone == candidate.zone) {
            Some((_, servers)) => servers.push_back(candidate.server),
            None => zones.push((candidate.zone, VecDeque::from([candidate.server]))),
        }
    }
    let mut order = Vec::with_capacity(sorted.len());
    while order.len() < sorted.len() {
        order.extend(zones.iter_mut().filter_map(|(_, servers)| servers.pop_front()));
    }
    order
}

/// Progress of one release: which servers are called when. The caller drops it once a server has accepted the
/// release.
#[derive(Clone, Debug)]
pub struct ReleaseRounds<S> {
    /// Servers that have not been called yet.
    remaining: VecDeque<S>,
    /// Number of calls without an outcome.
    in_flight: usize,
    /// When the next round is due.
    next_round: Millis,
    /// When the release is abandoned.
    deadline: Millis,
    /// Whether the first round has been sent.
    started: bool,
}

impl<S: Copy> ReleaseRounds<S> {
    /// Creates a release that calls these servers in order, and is abandoned at the time `until`.
    pub fn new(order: Vec<S>, now: Millis, until: Millis) -> Self {
        ReleaseRounds {
            remaining: order.into(),
            in_flight: 0,
            next_round: now,
            deadline: until,
            started: false,
        }
    }

    /// Returns the servers to call now; empty if no round is due.
    pub fn next_round(&mut self, now: Millis) -> Vec<S> {
        if now < self.next_round || now >= self.deadline {
            return Vec::new();
        }
        let round_size = if self.started { SERVERS_PER_LATER_ROUND } else { 1 };
        self.started = true;
        let servers: Vec<S> = self.remaining.drain(..round_size.min(self.remaining.len())).collect();
        self.in_flight += servers.len();
        self.next_round = now + ROUND_INTERVAL_MS;
        servers
    }

    /// Records that a called server could not be reached or did not accept the release. The next round is due at
    /// once.
    pub fn failed(&mut self, now: Millis) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.next_round = self.next_round.min(now);
    }

    /// Returns when to call [`ReleaseRounds::next_round`] again if no server accepts the release before; `None`
    /// once the release can no longer succeed.
    pub fn next_wake(&self, now: Millis) -> Option<Millis> {
        if now >= self.deadline {
            return None;
        }
        if !self.remaining.is_empty() {
            return Some(self.next_round.min(self.deadline));
        }
        // All servers were called; a response may still arrive.
        (self.in_flight > 0).then_some(self.deadline)
    }
}

#[cfg(test)]
mod tests;
