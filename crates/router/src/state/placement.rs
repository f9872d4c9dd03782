//! Where a request goes next, and by which key it is tied to a server.

use crate::api::{Millis, Role, ServerId};

/// What the prefix table maps to a server.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub enum AffinityKey {
    /// All requests of a session.
    Session(u64),
    /// All requests that share a prompt prefix.
    Prefix(u64),
}

/// The server whose prefix cache should hold what a key stands for.
#[derive(Clone, Copy, Debug)]
pub struct AffinityEntry {
    /// The server.
    pub server: ServerId,
    /// When a prefill for the key was last completed there.
    pub updated_at: Millis,
}

/// The part of a request's work that an attempt does.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub enum Stage {
    /// Only the prefill: the state then waits for a decode server.
    #[default]
    Prefill,
    /// The answer, after a transfer of the state or, at a mixed server, after a prefill in place.
    Decode,
}

impl Stage {
    /// The first stage of a request at a server of this role.
    pub fn first_for(role: Role) -> Self {
        match role {
            Role::Prefill => Stage::Prefill,
            Role::Decode | Role::Mixed => Stage::Decode,
        }
    }
}

/// The next attempt of a request.
#[derive(Clone, Copy, Debug)]
pub struct Placement {
    /// The server to send it to.
    pub server: ServerId,
    /// What it is to do there.
    pub stage: Stage,
    /// Prompt tokens that the server's prefix cache should still hold.
    pub cached_tokens: f64,
}
