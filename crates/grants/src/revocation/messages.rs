//! Messages between members. The caller encodes them and sends the contents of a response's keys along with
//! it.

use serde::{Deserialize, Serialize};

use super::MemberId;

/// A position in the journal of one incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalPosition {
    pub incarnation: u64,
    pub sequence: u64,
}

/// The members that may have a valid lease from the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lessees {
    /// Each lessee with the incarnation that received the lease.
    Known(Vec<(MemberId, u64)>),
    /// The receiver did not ask for them ([`SyncResponse::wants_lessees`]), or the sender started so recently
    /// that it cannot know the leases that its previous incarnation granted.
    Unknown,
}

/// A request for the changes that the sender does not have. Sent to every member at an interval well below
/// the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    pub from: MemberId,
    pub incarnation: u64,
    /// Fingerprint of the sender's voter configuration.
    pub voter_config: u64,
    /// Number of the request, higher than those of the sender's earlier requests to the same member in this
    /// incarnation. The receiver uses it to detect outdated requests.
    pub number: u64,
    /// The position in the receiver's journal up to which the sender has stored and enforces all changes.
    pub received: JournalPosition,
    pub lessees: Lessees,
}

/// The changes that the requester does not have. Sent together with the current contents of the keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncResponse<K> {
    pub from: MemberId,
    pub incarnation: u64,
    /// Fingerprint of the sender's voter configuration.
    pub voter_config: u64,
    /// The requester's incarnation, from the request.
    pub request_incarnation: u64,
    /// The number of the request.
    pub request_number: u64,
    /// The keys are those that changed after this sequence number of the sender's journal.
    pub after: u64,
    /// The keys are complete up to this sequence number.
    pub up_to: u64,
    pub keys: Vec<K>,
    /// Whether the journal has further keys to request.
    pub has_more: bool,
    /// Whether the response counts as a voter's lease.
    pub grants_lease: bool,
    /// Whether the sender tracks a change that is not fleet-wide yet and needs the requester's lessees.
    pub wants_lessees: bool,
    /// Whether the sender started without a store and has not caught up. Its response then proves nothing
    /// about committed changes.
    pub empty: bool,
}
