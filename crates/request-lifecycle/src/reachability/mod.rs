//! Reachability of servers, as far as calls have shown, and the order in which to ask them for a release.
//!
//! Any server that runs can release what all of them hold for a request, and the release must reach one in time. So the
//! caller does not wait for a server that may be cut off: the one most likely to answer is asked first, and while nobody
//! has answered, others are asked too, of another zone each time, since networks fail by zones.
//!
//! [`Reachability`] is what one server's calls have shown, [`release_order`] ranks servers by it, and [`ReleaseRounds`] is one release
//! in progress. The caller owns the clock and the calls.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};

/// Milliseconds on one clock of the caller's.
pub type Millis = u64;

/// Time between two rounds of asking while nobody has answered, in milliseconds: an idle server answers within it.
pub const ROUND_INTERVAL: Millis = 50;
/// Servers asked in each round after the first. In the first round one is asked alone: mostly it answers.
const SERVERS_PER_LATER_ROUND: usize = 2;
/// A call that has been unanswered for so long, in milliseconds, makes its server suspect.
const SUSPECT_AFTER: Millis = 100;

/// What calls have shown of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reachability {
    /// When it last answered anything.
    answered: Option<Millis>,
    /// When a call to it was last lost: no connection came up, or a short call was not answered in time.
    query_lost: Option<Millis>,
    /// Since when short calls have been in flight without any answer from it.
    waiting_since: Option<Millis>,
}

impl Reachability {
    /// A short call was sent, whose answer is due at once.
    pub fn query_sent(&mut self, now: Millis) {
        self.waiting_since.get_or_insert(now);
    }

    /// The server answered.
    pub fn answered(&mut self, now: Millis) {
        self.answered = Some(now);
        self.waiting_since = None;
    }

    /// A call to the server was lost.
    pub fn query_lost(&mut self, now: Millis) {
        self.query_lost = Some(now);
        self.waiting_since = None;
    }

    /// When it last failed to answer in time, unless it has answered since.
    fn suspected_since(&self, now: Millis) -> Option<Millis> {
        let overdue_since = self.waiting_since.filter(|since| now >= since + SUSPECT_AFTER);
        let last_failure = self.query_lost.max(overdue_since)?;
        let answered_since = self.answered.is_some_and(|answered| answered >= last_failure);
        (!answered_since).then_some(last_failure)
    }
}

/// A server that may be asked.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<S> {
    /// The server's identifier.
    pub server: S,
    /// The zone that it stands in; servers of one zone are likely to be cut off together.
    pub zone: u32,
    /// Whether an open connection to it is idle.
    pub has_idle_connection: bool,
    /// What calls have shown of it.
    pub reachability: Reachability,
}

/// The latest signs of life and of failure from any server of a zone.
#[derive(Clone, Copy, Default)]
struct ZoneSigns {
    answered: Option<Millis>,
    suspected: Option<Millis>,
}

impl ZoneSigns {
    /// Whether the last failure is later than the last answer.
    fn is_suspect(&self) -> bool {
        self.suspected > self.answered
    }
}

/// The servers in the order in which they are to be asked: the zones in turn, of each the most likely to answer first.
pub fn release_order<S: Copy + Ord>(candidates: &[Candidate<S>], now: Millis) -> Vec<S> {
    interleave_zones(&by_likelihood(candidates, now))
}

/// The candidates, the most likely to answer first.
fn by_likelihood<S: Copy + Ord>(candidates: &[Candidate<S>], now: Millis) -> Vec<&Candidate<S>> {
    let zones = zone_signs(candidates, now);
    let mut sorted: Vec<&Candidate<S>> = candidates.iter().collect();
    sorted.sort_by_key(|candidate| {
        let server_is_suspect = candidate.reachability.suspected_since(now).is_some();
        let zone_is_suspect = zones.get(&candidate.zone).is_some_and(ZoneSigns::is_suspect);
        let latest_answer_first = Reverse(candidate.reachability.answered);
        (
            server_is_suspect,
            zone_is_suspect,
            !candidate.has_idle_connection,
            latest_answer_first,
            candidate.server,
        )
    });
    sorted
}

fn zone_signs<S>(candidates: &[Candidate<S>], now: Millis) -> BTreeMap<u32, ZoneSigns> {
    let mut zones: BTreeMap<u32, ZoneSigns> = BTreeMap::new();
    for candidate in candidates {
        let signs = zones.entry(candidate.zone).or_default();
        signs.answered = signs.answered.max(candidate.reachability.answered);
        signs.suspected = signs.suspected.max(candidate.reachability.suspected_since(now));
    }
    zones
}

/// Takes one server of each zone in turn. Zones come in the order of their first candidate.
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

/// One release in progress: which servers are asked when. It has ended once one has answered.
#[derive(Clone, Debug)]
pub struct ReleaseRounds<S> {
    /// Servers that have not been asked yet.
    remaining: VecDeque<S>,
    /// Calls without an outcome.
    in_flight: usize,
    /// When the next round is due.
    next_round: Millis,
    /// When the release is given up.
    deadline: Millis,
    /// Whether the first round has been sent.
    started: bool,
}

impl<S: Copy> ReleaseRounds<S> {
    /// A release that asks these servers in turn, until one answers or the time `until` has come.
    pub fn new(order: Vec<S>, now: Millis, until: Millis) -> Self {
        ReleaseRounds {
            remaining: order.into(),
            in_flight: 0,
            next_round: now,
            deadline: until,
            started: false,
        }
    }

    /// The servers to ask now; none if no round is due.
    pub fn next_round(&mut self, now: Millis) -> Vec<S> {
        if now < self.next_round || now >= self.deadline {
            return Vec::new();
        }
        let round_size = if self.started { SERVERS_PER_LATER_ROUND } else { 1 };
        self.started = true;
        let servers: Vec<S> = self.remaining.drain(..round_size.min(self.remaining.len())).collect();
        self.in_flight += servers.len();
        self.next_round = now + ROUND_INTERVAL;
        servers
    }

    /// One of those asked could not be reached, or did not accept the release: the next round is due at once.
    pub fn failed(&mut self, now: Millis) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.next_round = self.next_round.min(now);
    }

    /// When to call [`ReleaseRounds::next_round`] again if nobody answers before; `None` once the release cannot succeed any more.
    pub fn next_wake(&self, now: Millis) -> Option<Millis> {
        if now >= self.deadline {
            return None;
        }
        if !self.remaining.is_empty() {
            return Some(self.next_round.min(self.deadline));
        }
        // Everybody was asked: an answer may still come.
        (self.in_flight > 0).then_some(self.deadline)
    }
}

#[cfg(test)]
mod tests;
