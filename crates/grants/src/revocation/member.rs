//! One member: its journal, its lease, and the leases that it grants.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hash;

use super::journal::Journal;
use super::lease::Lease;
use super::lease_config::{LeaseConfig, StalePolicy, StoreState};
use super::messages::{Lessees, SyncRequest, SyncResponse};
use super::peer::Peer;
use super::progress::TrackedChanges;
use super::voter_config::{VoterConfig, VoterConfigError};
use super::MemberId;

/// Maximum number of keys in a response.
const MAX_RESPONSE_KEYS: usize = 256;

/// The propagation state of this member. Generic over the key of a change ([`crate::sections::SectionKey`] in
/// the gateway).
///
/// It relies on the caller's order of steps: a received change is **stored on disk, then enforced, and only
/// then** passed to [`record_change`](Member::record_change) and
/// [`handle_response`](Member::handle_response).
#[derive(Clone, Debug)]
pub struct Member<K> {
    pub(super) id: MemberId,
    pub(super) incarnation: u64,
    pub(super) lease_config: LeaseConfig,
    stale_policy: StalePolicy,
    pub(super) voter_config: VoterConfig,
    /// The time at which this member adopted the voter configuration.
    pub(super) voter_config_since: u64,
    store_state: StoreState,
    started_at: u64,
    /// Whether this member certainly has everything that it ever confirmed. A voter grants leases only then.
    caught_up: bool,
    retired: bool,
    /// The other voters from which this member has received everything since its start, and whether each of
    /// them was empty ([`SyncResponse::empty`]). Used until this member has caught up.
    synced_voters: BTreeMap<MemberId, bool>,
    pub(super) journal: Journal<K>,
    pub(super) peers: BTreeMap<MemberId, Peer>,
    pub(super) tracked_changes: TrackedChanges,
}

impl<K: Clone + Eq + Hash> Member<K> {
    /// Creates the state of a new process. The incarnation must be higher than all earlier ones.
    /// `stored_keys` are the keys in the store; none if it is empty.
    pub fn new(
        (id, incarnation): (MemberId, u64), lease_config: LeaseConfig, stale_policy: StalePolicy,
        voter_config: VoterConfig, store_state: StoreState, stored_keys: impl IntoIterator<Item = K>,
        now: u64,
    ) -> Member<K> {
        let mut journal = Journal::new();
        for key in stored_keys {
            journal.push(key);
        }
        let (synced_voters, peers, tracked_changes) =
            (BTreeMap::new(), BTreeMap::new(), TrackedChanges::default());
        let caught_up = store_state == StoreState::Intact;
        let mut member = Member {
            id,
            incarnation,
            lease_config,
            stale_policy,
            voter_config,
            voter_config_since: now,
            store_state,
            started_at: now,
            caught_up,
            retired: false,
            synced_voters,
            journal,
            peers,
            tracked_changes,
        };
        member.update_caught_up();
        member
    }

    /// Records a change by an administrator or from another member, after it is stored and enforced here.
    /// Returns the sequence number for [`track`](Member::track).
    pub fn record_change(&mut self, key: K) -> u64 {
        self.journal.push(key)
    }

    /// Creates the next request to another member. The caller must send requests to every member that is not
    /// known to have left.
    pub fn sync_request(&mut self, to: MemberId, now: u64) -> SyncRequest {
        let wants_lessees = self.peers.get(&to).is_some_and(|peer| peer.wants_lessees);
        let lessees = if wants_lessees { self.lessees(now) } else { Lessees::Unknown };
        let (number, received) = self.peers.entry(to).or_default().start_request(now);
        SyncRequest {
            from: self.id,
            incarnation: self.incarnation,
            voter_config: self.voter_config.fingerprint(),
            number,
            received,
            lessees,
        }
    }

    /// Handles a request and returns the response. Returns `None` if the request is from an earlier
    /// incarnation or from this member, or if this member is retired.
    pub fn handle_request(&mut self, request: &SyncRequest, now: u64) -> Option<SyncResponse<K>> {
        let same_voter_config = request.voter_config == self.voter_config.fingerprint();
        let is_voter = self.voter_config.is_voter(self.id);
        let lease_end = now.saturating_add(self.lease_config.lease_bound_ms());
        let peer = self.peers.entry(request.from).or_default();
        if self.retired || request.from == self.id || !peer.accept_incarnation(request.incarnation) {
            return None;
        }
        let received = if request.received.incarnation == self.incarnation {
            request.received.sequence.min(self.journal.last())
        } else {
            0
        };
        peer.confirmed_up_to = received.max(peer.confirmed_up_to);
        // A request that arrives after a later one is outdated and must not overwrite its data.
        if request.number > peer.last_request {
            peer.last_request = request.number;
            peer.same_voter_config = same_voter_config;
            peer.lessees = Some(request.lessees.clone());
        }
        let (keys, up_to, has_more) = self.journal.after(received, MAX_RESPONSE_KEYS);
        let grants_lease = is_voter && self.caught_up && same_voter_config && !has_more;
        if grants_lease {
            peer.grant_lease(now, lease_end);
        }
        self.update_progress(now);
        Some(SyncResponse {
            from: self.id,
            incarnation: self.incarnation,
            voter_config: self.voter_config.fingerprint(),
            request_incarnation: request.incarnation,
            request_number: request.number,
            after: received,
            up_to,
            keys,
            has_more,
            grants_lease,
            wants_lessees: self.tracked_changes.any_pending(),
            empty: self.store_state == StoreState::Empty && !self.caught_up,
        })
    }

    /// Stops this process from answering requests. The caller must call it **before** the next process with
    /// this name starts: if both answered, one could accept a change while the other grants leases without
    /// it. This process's own lease expires as usual. To keep a lease while it drains, it can send requests
    /// as a separate member that is not a voter.
    pub fn retire(&mut self) {
        self.retired = true;
    }

    /// Handles a response, **after** the contents of its keys are merged, stored and enforced here. If the
    /// content of any key could not be read or stored, the caller must not pass the response: the member then
    /// becomes stale, and no other member relies on it. Returns false if the response has no effect: it is
    /// late, a duplicate, involves an earlier incarnation, or starts after changes that this member lacks.
    pub fn handle_response(&mut self, response: &SyncResponse<K>) -> bool {
        let same_voter_config = response.voter_config == self.voter_config.fingerprint();
        let is_voter = self.voter_config.is_voter(response.from);
        let peer = self.peers.entry(response.from).or_default();
        if response.request_incarnation != self.incarnation
            || !peer.accept_incarnation(response.incarnation)
            || response.after > peer.received_up_to
        {
            return false;
        }
        let Some(sent_at) = peer.finish_request(response.request_number) else { return false };
        peer.received_up_to = response.up_to.max(peer.received_up_to);
        peer.wants_lessees = response.wants_lessees;
        if !response.has_more && same_voter_config && is_voter {
            if response.grants_lease {
                peer.lease_start = peer.lease_start.max(Some(sent_at));
            }
            self.synced_voters.insert(response.from, response.empty);
            self.update_caught_up();
        }
        true
    }

    /// Adopts a new voter configuration. [`VoterConfigError`] lists the transitions that are refused.
    pub fn set_voter_config(&mut self, next: VoterConfig, now: u64) -> Result<(), VoterConfigError> {
        self.voter_config.check_transition(&next, self.has_valid_lease(now))?;
        if next != self.voter_config {
            // Leases and confirmations under the previous configuration do not count under this one.
            self.peers.values_mut().for_each(|peer| peer.lease_start = None);
            self.peers.values_mut().for_each(|peer| peer.same_voter_config = false);
            self.synced_voters.clear();
            self.voter_config = next;
            self.voter_config_since = now;
        }
        Ok(())
    }

    /// Handles that a member announced its departure or was removed by an operator. It needs no more
    /// requests, and its confirmations do not count. Leases that it may have been granted expire as usual.
    pub fn peer_left(&mut self, member: MemberId) {
        if let Some(peer) = self.peers.get_mut(&member) {
            peer.reset(peer.incarnation);
        }
    }

    /// Returns this member's lease.
    pub fn lease(&self) -> Lease {
        Lease { expires_at: self.lease_expiry(), stale_policy: self.stale_policy }
    }

    pub fn has_valid_lease(&self, now: u64) -> bool {
        self.lease().is_valid(now)
    }

    /// Returns whether the member may accept client requests. With a store, it may at once; without one, when
    /// it has a valid lease or the configured wait is over.
    pub fn is_ready(&self, now: u64) -> bool {
        let waited = now >= self.started_at.saturating_add(self.lease_config.wait_ms());
        self.store_state != StoreState::Empty || waited || self.has_valid_lease(now)
    }

    /// Returns whether this member certainly has everything that it ever confirmed. Only then does it grant
    /// leases as a voter.
    pub fn caught_up(&self) -> bool {
        self.caught_up
    }

    /// Returns the latest time until which enough leases from voters are valid; 0 if there are not enough.
    fn lease_expiry(&self) -> u64 {
        let expiry =
            |peer: &Peer| peer.lease_start.map(|start| start.saturating_add(self.lease_config.lease_ms()));
        let mut expiries: Vec<(u64, MemberId)> =
            self.peers.iter().filter_map(|(&id, peer)| Some((expiry(peer)?, id))).collect();
        if self.caught_up {
            expiries.push((u64::MAX, self.id));
        }
        expiries.sort_unstable_by(|one, other| other.cmp(one));
        let mut members = BTreeSet::new();
        for (expires_at, id) in expiries {
            members.insert(id);
            if self.voter_config.is_lease_quorum(&members) {
                return expires_at;
            }
        }
        0
    }

    /// Updates `caught_up`. A voter without its own store has caught up when the synced voters that are not
    /// empty form a lease quorum without it. It has also caught up when it has synced with all other voters,
    /// since no other source is left.
    fn update_caught_up(&mut self) {
        let mut others = self.voter_config.voters();
        others.remove(&self.id);
        let not_empty: BTreeSet<MemberId> =
            self.synced_voters.iter().filter(|(_, &empty)| !empty).map(|(&id, _)| id).collect();
        let all_synced = others.iter().all(|id| self.synced_voters.contains_key(id));
        self.caught_up = self.caught_up || all_synced || self.voter_config.is_lease_quorum(&not_empty);
    }

    /// Returns the members, with their incarnations, that may have a valid lease from this member; `None`
    /// until leases granted by its previous incarnation have expired.
    pub(super) fn own_lessees(&self, now: u64) -> Option<Vec<(MemberId, u64)>> {
        let known_from = self.started_at.saturating_add(self.lease_config.lease_bound_ms());
        let granted = self.peers.iter().flat_map(|(&id, peer)| {
            peer.granted_leases.iter().map(move |(&incarnation, end)| (id, incarnation, end))
        });
        (now >= known_from).then(|| {
            granted.filter(|lease| *lease.2 > now).map(|(id, incarnation, _)| (id, incarnation)).collect()
        })
    }

    fn lessees(&self, now: u64) -> Lessees {
        self.own_lessees(now).map_or(Lessees::Unknown, Lessees::Known)
    }
}
