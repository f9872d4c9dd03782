//! A fleet under a simulated time: clocks that drift, messages that are lost, doubled and overtaken, cuts, pauses,
//! restarts with a store, without one, and with yesterday's. The changes are numbers; a store is a set of them.

use std::collections::{BTreeMap, BTreeSet};

use glenrail_grants::compiled::{Decision, DecisionReason};
use glenrail_grants::document::StreamPolicy;
use glenrail_grants::revocation::{
    Bound, Lease, LeaseConfig, Member, MemberId, Progress, QuorumRule, Stage, StalePolicy, StoreState,
    SyncRequest, SyncResponse, VoterConfig,
};

pub const LEASE: u64 = 1_000;
/// A tenth, far more than any clock drifts, so that a bound that forgets the drift is found.
pub const DRIFT: u64 = 100_000;

pub struct Node {
    pub member: Member<u32>,
    pub incarnation: u64,
    /// What it keeps on disk and enforces.
    pub kept: BTreeSet<u32>,
    copy: BTreeSet<u32>,
    offset: u64,
    /// Thousandths of true time.
    rate: u64,
    paused: bool,
    /// Which of the rosters it has taken.
    pub stage: usize,
    /// Number by change, of those taken or followed in this life.
    followed: BTreeMap<u32, u64>,
}

#[derive(Clone)]
enum Message {
    Ask { to: usize, request: SyncRequest },
    Answer { to: usize, response: SyncResponse<u32>, cells: BTreeSet<u32> },
}

pub struct Fleet {
    pub nodes: Vec<Node>,
    pub now: u64,
    /// The first voters, both, and the next: the same number, shifted by one.
    rosters: [VoterConfig; 3],
    wire: Vec<(usize, Message)>,
    cut: BTreeSet<(usize, usize)>,
    changes: u32,
    /// Processes that a next one took over from, and that still take requests: which, what they knew, what they had.
    before: Vec<(usize, Lease, BTreeSet<u32>)>,
    /// Changes that some member showed as fleet-wide.
    pub fleet_wide: BTreeSet<u32>,
    /// A voter whose store went back, until it has caught up.
    lost: Option<usize>,
}

impl Fleet {
    pub fn new(members: usize, voters: usize, quorum_rule: QuorumRule, rates: &[u64]) -> Fleet {
        let first = VoterConfig::new((0..voters).map(id), quorum_rule).unwrap();
        let last = VoterConfig::new((members - voters..members).map(id), quorum_rule).unwrap();
        let mut fleet = Fleet {
            nodes: Vec::new(),
            now: 10_000,
            rosters: [first.clone(), last.clone().joint_with(&first), last],
            wire: Vec::new(),
            cut: BTreeSet::new(),
            changes: 0,
            before: Vec::new(),
            fleet_wide: BTreeSet::new(),
            lost: None,
        };
        for at in 0..members {
            let (offset, rate) = (at as u64 * 777, rates[at % rates.len()]);
            let kept = BTreeSet::new();
            let clock = offset + fleet.now * rate / 1_000;
            let member = member(at, 1, &fleet.rosters[0], StoreState::Intact, &kept, clock);
            let (copy, followed) = (BTreeSet::new(), BTreeMap::new());
            fleet.nodes.push(Node {
                member,
                incarnation: 1,
                kept,
                copy,
                offset,
                rate,
                paused: false,
                stage: 0,
                followed,
            });
        }
        fleet
    }

    pub fn clock(&self, at: usize) -> u64 {
        self.nodes[at].offset + self.now * self.nodes[at].rate / 1_000
    }

    pub fn others(&self, at: usize) -> BTreeSet<MemberId> {
        (0..self.nodes.len()).filter(|&other| other != at).map(id).collect()
    }

    pub fn ask(&mut self, from: usize, to: usize) {
        let clock = self.clock(from);
        if from != to && !self.nodes[from].paused {
            let request = self.nodes[from].member.sync_request(id(to), clock);
            self.wire.push((from, Message::Ask { to, request }));
        }
    }

    /// Delivers one message of those on the way, or loses it. It may come again.
    pub fn deliver(&mut self, which: usize, again: bool) {
        if self.wire.is_empty() {
            return;
        }
        let which = which % self.wire.len();
        let (from, message) = match again {
            true => self.wire[which].clone(),
            false => self.wire.swap_remove(which),
        };
        let (Message::Ask { to, .. } | Message::Answer { to, .. }) = message;
        if self.cut.contains(&(from, to)) || self.nodes[to].paused {
            return;
        }
        let clock = self.clock(to);
        let node = &mut self.nodes[to];
        match message {
            Message::Ask { request, .. } => {
                if let Some(response) = node.member.handle_request(&request, clock) {
                    let cells = response.keys.iter().copied().filter(|key| node.kept.contains(key)).collect();
                    self.wire.push((to, Message::Answer { to: from, response, cells }));
                }
            }
            Message::Answer { response, cells, .. } => {
                for change in cells {
                    if node.kept.insert(change) {
                        node.member.record_change(change);
                    }
                }
                node.member.handle_response(&response);
            }
        }
        if self.wire.len() > 200 {
            self.wire.remove(0);
        }
    }

    pub fn lose(&mut self, which: usize) {
        if !self.wire.is_empty() {
            self.wire.swap_remove(which % self.wire.len());
        }
    }

    /// A question and its answer at once, where nothing is in between.
    pub fn exchange(&mut self, from: usize, to: usize) {
        let waiting = std::mem::take(&mut self.wire);
        self.ask(from, to);
        self.deliver(0, false);
        self.deliver(0, false);
        self.wire = waiting;
    }

    pub fn round(&mut self) {
        for from in 0..self.nodes.len() {
            for to in 0..self.nodes.len() {
                self.exchange(from, to);
            }
        }
    }

    pub fn change(&mut self, at: usize) -> Option<u32> {
        if self.nodes[at].paused {
            return None;
        }
        self.changes += 1;
        let (change, clock) = (self.changes, self.clock(at));
        let node = &mut self.nodes[at];
        node.kept.insert(change);
        let number = node.member.record_change(change);
        node.member.track(number, clock);
        node.followed.insert(change, number);
        Some(change)
    }

    /// The member takes the next roster, if it may.
    pub fn next_roster(&mut self, at: usize) {
        let clock = self.clock(at);
        let node = &mut self.nodes[at];
        let next = self.rosters.get(node.stage + 1).cloned();
        if next.is_some_and(|next| !node.paused && node.member.set_voter_config(next, clock).is_ok()) {
            node.stage += 1;
        }
    }

    /// Back to both from the next, which is always allowed.
    pub fn last_roster(&mut self, at: usize) {
        let clock = self.clock(at);
        let node = &mut self.nodes[at];
        if node.stage == 2 {
            node.member.set_voter_config(self.rosters[1].clone(), clock).unwrap();
            node.stage = 1;
        }
    }

    pub fn cut(&mut self, from: usize, to: usize) {
        self.cut.insert((from, to));
    }

    pub fn heal(&mut self) {
        self.cut.clear();
    }

    pub fn pause(&mut self, at: usize, paused: bool) {
        self.nodes[at].paused = paused;
    }

    pub fn copy(&mut self, at: usize) {
        self.nodes[at].copy = self.nodes[at].kept.clone();
    }

    /// At most one at a time loses what it kept: of voters, more is outside of what is promised.
    pub fn restart(&mut self, at: usize, store_state: StoreState) {
        let goes_back = store_state != StoreState::Intact;
        if goes_back && self.lost.is_some_and(|other| other != at) {
            return;
        }
        // One that went back and has not caught up is not to be trusted by its next start either.
        if !goes_back && self.lost == Some(at) {
            return;
        }
        self.restart_unbounded(at, store_state);
        if goes_back {
            self.lost = Some(at);
        }
    }

    pub fn restart_unbounded(&mut self, at: usize, store_state: StoreState) {
        let clock = self.clock(at);
        let node = &mut self.nodes[at];
        match store_state {
            StoreState::Intact => self.before.push((at, node.member.lease(), node.kept.clone())),
            StoreState::Empty => node.kept.clear(),
            StoreState::Restored => node.kept = node.copy.clone(),
        }
        node.incarnation += 1;
        node.paused = false;
        node.member = member(at, node.incarnation, &self.rosters[node.stage], store_state, &node.kept, clock);
        node.followed.clear();
    }

    pub fn progress(&mut self, at: usize, change: u32) -> Option<Progress> {
        let (others, clock) = (self.others(at), self.clock(at));
        let number = *self.nodes[at].followed.get(&change)?;
        self.nodes[at].member.progress(number, &others, clock)
    }

    /// Whether the member would let in a request for a restricted model.
    pub fn admits(&self, at: usize) -> bool {
        !self.nodes[at].paused && lets_in(self.nodes[at].member.lease(), self.clock(at))
    }

    /// Looks what is fleet-wide by now, then for a member that lets in against it.
    pub fn check(&mut self) -> Result<(), String> {
        if let Some(at) = self.lost {
            // It has caught up once it lends again: then its answers are full, and trusted.
            if self.nodes[at].member.caught_up() {
                self.lost = None;
            }
        }
        for at in 0..self.nodes.len() {
            if self.nodes[at].paused {
                continue;
            }
            for change in self.nodes[at].followed.keys().copied().collect::<Vec<_>>() {
                let progress = self.progress(at, change);
                if progress.is_some_and(|it| it.stage == Stage::FleetWide && it.bound == Bound::Reached) {
                    self.fleet_wide.insert(change);
                }
            }
        }
        for at in 0..self.nodes.len() {
            if let Some(change) = self.fleet_wide.difference(&self.nodes[at].kept).next() {
                if self.admits(at) {
                    return Err(format!(
                        "at {} member {at} admits against {change}, which is fleet-wide",
                        self.now
                    ));
                }
            }
        }
        for (at, lease, had) in &self.before {
            if lets_in(*lease, self.clock(*at)) && !self.fleet_wide.is_subset(had) {
                return Err(format!(
                    "at {} an earlier process of {at} admits against what is fleet-wide",
                    self.now
                ));
            }
        }
        Ok(())
    }
}

fn lets_in(lease: Lease, clock: u64) -> bool {
    let allowed =
        Decision { allowed: true, reason: DecisionReason::Rule(0), stream_policy: StreamPolicy::Finish };
    lease.apply(allowed, true, clock).allowed
}

fn id(at: usize) -> MemberId {
    at as MemberId + 100
}

fn member(
    at: usize, incarnation: u64, voter_config: &VoterConfig, store_state: StoreState, kept: &BTreeSet<u32>,
    clock: u64,
) -> Member<u32> {
    let lease_config = LeaseConfig::new(LEASE, DRIFT, 3_000).unwrap();
    let stored_keys = kept.iter().copied();
    Member::new(
        (id(at), incarnation),
        lease_config,
        StalePolicy::RefuseRestricted,
        voter_config.clone(),
        store_state,
        stored_keys,
        clock,
    )
}
