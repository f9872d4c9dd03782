//! A fleet in simulated time. Clocks drift; messages are lost, duplicated and reordered; links are blocked;
//! members pause and restart with their store, without it, or with an old copy. A change is a number, and a
//! store is a set of changes.

use std::collections::{BTreeMap, BTreeSet};

use glenrail_grants::compiled::{Decision, DecisionReason};
use glenrail_grants::document::StreamPolicy;
use glenrail_grants::revocation::{
    Bound, Lease, LeaseConfig, Member, MemberId, Progress, QuorumRule, Stage, StalePolicy, StoreState,
    SyncRequest, SyncResponse, VoterConfig,
};

pub const LEASE_MS: u64 = 1_000;
/// One tenth, far above the drift of real clocks, so that the tests detect a bound that ignores the drift.
pub const DRIFT_PPM: u64 = 100_000;

pub struct Node {
    pub member: Member<u32>,
    pub incarnation: u64,
    /// The changes that the node has on disk and enforces.
    pub stored: BTreeSet<u32>,
    backup: BTreeSet<u32>,
    clock_offset: u64,
    /// Rate of the clock in thousandths of the true rate.
    clock_rate: u64,
    paused: bool,
    /// Index of the voter configuration that the node uses.
    pub config_index: usize,
    /// The sequence numbers of the changes that this incarnation accepted and tracks.
    tracked: BTreeMap<u32, u64>,
}

#[derive(Clone)]
enum Message {
    Request { to: usize, request: SyncRequest },
    Response { to: usize, response: SyncResponse<u32>, contents: BTreeSet<u32> },
}

pub struct Fleet {
    pub nodes: Vec<Node>,
    pub now: u64,
    /// The first nodes as voters, the joint configuration, and the last nodes as voters. Both have the same
    /// number of voters.
    voter_configs: [VoterConfig; 3],
    /// Messages in transit, with their senders.
    in_transit: Vec<(usize, Message)>,
    blocked: BTreeSet<(usize, usize)>,
    changes: u32,
    /// Processes that were replaced and still accept requests: the node, its lease, and its stored changes.
    replaced_processes: Vec<(usize, Lease, BTreeSet<u32>)>,
    /// Changes that any member reported as fleet-wide.
    pub fleet_wide: BTreeSet<u32>,
    /// Index of the node whose store was lost or rolled back; `None` if there is none or it has caught up.
    store_lost: Option<usize>,
}

impl Fleet {
    pub fn new(members: usize, voters: usize, quorum_rule: QuorumRule, clock_rates: &[u64]) -> Fleet {
        let first = VoterConfig::new((0..voters).map(id), quorum_rule).unwrap();
        let last = VoterConfig::new((members - voters..members).map(id), quorum_rule).unwrap();
        let mut fleet = Fleet {
            nodes: Vec::new(),
            now: 10_000,
            voter_configs: [first.clone(), last.clone().joint_with(&first), last],
            in_transit: Vec::new(),
            blocked: BTreeSet::new(),
            changes: 0,
            replaced_processes: Vec::new(),
            fleet_wide: BTreeSet::new(),
            store_lost: None,
        };
        for at in 0..members {
            let (clock_offset, clock_rate) = (at as u64 * 777, clock_rates[at % clock_rates.len()]);
            let stored = BTreeSet::new();
            let clock = clock_offset + fleet.now * clock_rate / 1_000;
            let member = member(at, 1, &fleet.voter_configs[0], StoreState::Intact, &stored, clock);
            let (backup, tracked) = (BTreeSet::new(), BTreeMap::new());
            fleet.nodes.push(Node {
                member,
                incarnation: 1,
                stored,
                backup,
                clock_offset,
                clock_rate,
                paused: false,
                config_index: 0,
                tracked,
            });
        }
        fleet
    }

    pub fn clock(&self, at: usize) -> u64 {
        self.nodes[at].clock_offset + self.now * self.nodes[at].clock_rate / 1_000
    }

    pub fn others(&self, at: usize) -> BTreeSet<MemberId> {
        (0..self.nodes.len()).filter(|&other| other != at).map(id).collect()
    }

    pub fn send_request(&mut self, from: usize, to: usize) {
        let clock = self.clock(from);
        if from != to && !self.nodes[from].paused {
            let request = self.nodes[from].member.sync_request(id(to), clock);
            self.in_transit.push((from, Message::Request { to, request }));
        }
    }

    /// Delivers one of the messages in transit, or drops it if its link is blocked or its receiver paused.
    /// With `duplicate`, the message also stays in transit.
    pub fn deliver(&mut self, which: usize, duplicate: bool) {
        if self.in_transit.is_empty() {
            return;
        }
        let which = which % self.in_transit.len();
        let (from, message) = match duplicate {
            true => self.in_transit[which].clone(),
            false => self.in_transit.swap_remove(which),
        };
        let (Message::Request { to, .. } | Message::Response { to, .. }) = message;
        if self.blocked.contains(&(from, to)) || self.nodes[to].paused {
            return;
        }
        let clock = self.clock(to);
        let node = &mut self.nodes[to];
        match message {
            Message::Request { request, .. } => {
                if let Some(response) = node.member.handle_request(&request, clock) {
                    let contents =
                        response.keys.iter().copied().filter(|key| node.stored.contains(key)).collect();
                    self.in_transit.push((to, Message::Response { to: from, response, contents }));
                }
            }
            Message::Response { response, contents, .. } => {
                for change in contents {
                    if node.stored.insert(change) {
                        node.member.record_change(change);
                    }
                }
                node.member.handle_response(&response);
            }
        }
        if self.in_transit.len() > 200 {
            self.in_transit.remove(0);
        }
    }

    pub fn lose_message(&mut self, which: usize) {
        if !self.in_transit.is_empty() {
            self.in_transit.swap_remove(which % self.in_transit.len());
        }
    }

    /// Sends a request and delivers it and its response at once, if the links are open.
    pub fn exchange(&mut self, from: usize, to: usize) {
        let others_in_transit = std::mem::take(&mut self.in_transit);
        self.send_request(from, to);
        self.deliver(0, false);
        self.deliver(0, false);
        self.in_transit = others_in_transit;
    }

    /// Runs one exchange between each pair of nodes.
    pub fn round(&mut self) {
        for from in 0..self.nodes.len() {
            for to in 0..self.nodes.len() {
                self.exchange(from, to);
            }
        }
    }

    /// Accepts a new change on a node and tracks it there.
    pub fn change(&mut self, at: usize) -> Option<u32> {
        if self.nodes[at].paused {
            return None;
        }
        self.changes += 1;
        let (change, clock) = (self.changes, self.clock(at));
        let node = &mut self.nodes[at];
        node.stored.insert(change);
        let sequence = node.member.record_change(change);
        node.member.track(sequence, clock);
        node.tracked.insert(change, sequence);
        Some(change)
    }

    /// Moves the node to the next voter configuration, if that is allowed.
    pub fn next_voter_config(&mut self, at: usize) {
        let clock = self.clock(at);
        let node = &mut self.nodes[at];
        let next = self.voter_configs.get(node.config_index + 1).cloned();
        if next.is_some_and(|next| !node.paused && node.member.set_voter_config(next, clock).is_ok()) {
            node.config_index += 1;
        }
    }

    /// Moves the node back from the last configuration to the joint one, which is always allowed.
    pub fn back_to_joint_config(&mut self, at: usize) {
        let clock = self.clock(at);
        let node = &mut self.nodes[at];
        if node.config_index == 2 {
            node.member.set_voter_config(self.voter_configs[1].clone(), clock).unwrap();
            node.config_index = 1;
        }
    }

    pub fn block(&mut self, from: usize, to: usize) {
        self.blocked.insert((from, to));
    }

    pub fn unblock_all(&mut self) {
        self.blocked.clear();
    }

    pub fn pause(&mut self, at: usize, paused: bool) {
        self.nodes[at].paused = paused;
    }

    pub fn back_up(&mut self, at: usize) {
        self.nodes[at].backup = self.nodes[at].stored.clone();
    }

    /// Restarts a node, unless that would make a second node lose its store: the guarantee covers the loss of
    /// one voter's store at a time.
    pub fn restart(&mut self, at: usize, store_state: StoreState) {
        let loses_store = store_state != StoreState::Intact;
        if loses_store && self.store_lost.is_some_and(|other| other != at) {
            return;
        }
        // A store that was lost and has not caught up must not count as intact at the next start either.
        if !loses_store && self.store_lost == Some(at) {
            return;
        }
        self.restart_unchecked(at, store_state);
        if loses_store {
            self.store_lost = Some(at);
        }
    }

    pub fn restart_unchecked(&mut self, at: usize, store_state: StoreState) {
        let clock = self.clock(at);
        let node = &mut self.nodes[at];
        match store_state {
            StoreState::Intact => {
                self.replaced_processes.push((at, node.member.lease(), node.stored.clone()))
            }
            StoreState::Empty => node.stored.clear(),
            StoreState::Restored => node.stored = node.backup.clone(),
        }
        node.incarnation += 1;
        node.paused = false;
        node.member = member(
            at,
            node.incarnation,
            &self.voter_configs[node.config_index],
            store_state,
            &node.stored,
            clock,
        );
        node.tracked.clear();
    }

    pub fn progress(&mut self, at: usize, change: u32) -> Option<Progress> {
        let (others, clock) = (self.others(at), self.clock(at));
        let sequence = *self.nodes[at].tracked.get(&change)?;
        self.nodes[at].member.progress(sequence, &others, clock)
    }

    /// Returns whether the node would admit a request for a restricted model.
    pub fn admits(&self, at: usize) -> bool {
        !self.nodes[at].paused && admits_restricted(self.nodes[at].member.lease(), self.clock(at))
    }

    /// Records the changes that are fleet-wide now, then returns an error if any process admits requests
    /// without one of them.
    pub fn check(&mut self) -> Result<(), String> {
        if let Some(at) = self.store_lost {
            // A node that has caught up grants leases again, and its responses are complete.
            if self.nodes[at].member.caught_up() {
                self.store_lost = None;
            }
        }
        for at in 0..self.nodes.len() {
            if self.nodes[at].paused {
                continue;
            }
            for change in self.nodes[at].tracked.keys().copied().collect::<Vec<_>>() {
                let progress = self.progress(at, change);
                if progress.is_some_and(|reported| {
                    reported.stage == Stage::FleetWide && reported.bound == Bound::Reached
                }) {
                    self.fleet_wide.insert(change);
                }
            }
        }
        for at in 0..self.nodes.len() {
            if let Some(change) = self.fleet_wide.difference(&self.nodes[at].stored).next() {
                if self.admits(at) {
                    return Err(format!(
                        "at {} ms node {at} admits requests without change {change}, which is fleet-wide",
                        self.now
                    ));
                }
            }
        }
        for (at, lease, stored) in &self.replaced_processes {
            if admits_restricted(*lease, self.clock(*at)) && !self.fleet_wide.is_subset(stored) {
                return Err(format!(
                    "at {} ms a replaced process of node {at} admits requests without a fleet-wide change",
                    self.now
                ));
            }
        }
        Ok(())
    }
}

fn admits_restricted(lease: Lease, clock: u64) -> bool {
    let allowed =
        Decision { allowed: true, reason: DecisionReason::Rule(0), stream_policy: StreamPolicy::Finish };
    lease.apply(allowed, true, clock).allowed
}

fn id(at: usize) -> MemberId {
    at as MemberId + 100
}

fn member(
    at: usize, incarnation: u64, voter_config: &VoterConfig, store_state: StoreState, stored: &BTreeSet<u32>,
    clock: u64,
) -> Member<u32> {
    let lease_config = LeaseConfig::new(LEASE_MS, DRIFT_PPM, 3_000).unwrap();
    let stored_keys = stored.iter().copied();
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
