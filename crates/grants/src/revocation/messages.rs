//! What members say to each other. Drivers put it into bytes, with the cells of an answer's keys beside it.

use serde::{Deserialize, Serialize};

use super::MemberId;

/// How far one life's journal is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalPosition {
    pub incarnation: u64,
    pub sequence: u64,
}

/// To whom knowledge is lent that may not have ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lessees {
    /// With the life that it was lent to.
    Known(Vec<(MemberId, u64)>),
    /// Not asked for ([`SyncResponse::wants_lessees`]); or, so short after its start, a member cannot say what its last life lent.
    Unknown,
}

/// A question, and what the asker has. Sent to every member at a cadence well under the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    pub from: MemberId,
    pub incarnation: u64,
    pub voter_config: u64,
    /// Each question of a life to one member has its own.
    pub number: u64,
    /// How much of the asked one's journal the asker has kept and enforces.
    pub received: JournalPosition,
    pub lessees: Lessees,
}

/// What the asker does not have. To be sent with the cells of the keys as they are now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncResponse<K> {
    pub from: MemberId,
    pub incarnation: u64,
    pub voter_config: u64,
    /// The question's life and number.
    pub request_incarnation: u64,
    pub request_number: u64,
    /// The journal after this ...
    pub after: u64,
    /// ... up to this,
    pub up_to: u64,
    pub keys: Vec<K>,
    /// and there is more to ask for.
    pub has_more: bool,
    /// Whether it counts as a voter's word that lends knowledge.
    pub grants_lease: bool,
    /// The answerer follows a change that is not fleet-wide yet, and needs the asker's lessees.
    pub wants_lessees: bool,
    /// The answerer began with nothing and has not caught up: its word says nothing about what was held.
    pub empty: bool,
}
