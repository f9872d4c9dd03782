//! Placement of an attempt, and keys of the prefix table.

use crate::api::{Millis, Role, ServerId};

/// Key of the prefix table.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub enum AffinityKey {
    /// All requests of a session.
    Session(u64),
    /// All requests that share a prompt prefix.
    Prefix(u64),
}

/// Server whose cache should contain the session or prefix of a key.
#[derive(Clone, Copy, Debug)]
pub struct AffinityEntry {
    /// Server that the key maps to.
    pub server: ServerId,
    /// Time at which the last prefill for the key was completed at this server.
    pub updated_at: Millis,
}

/// Part of a request that an attempt executes.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub enum Stage {
    /// Only the prefill, after which the prefill server holds the state for a decode server.
    #[default]
    Prefill,
    /// The answer, after a transfer of the state or, at a mixed server, after a local prefill.
    Decode,
}

impl Stage {
    /// Returns the first stage of a request at a server of this role.
    pub fn first_for(role: Role) -> Self {
        match role {
            Role::Prefill => Stage::Prefill,
            Role::Decode | Role::Mixed => Stage::Decode,
        }
    }
}

/// Destination and stage of the next attempt of a request.
#[derive(Clone, Copy, Debug)]
pub struct Placement {
    /// Destination of the attempt.
    pub server: ServerId,
    /// Stage that the attempt executes.
    pub stage: Stage,
    /// Estimated number of prompt tokens in the prefix cache of the server.
    pub cached_tokens: f64,
}
