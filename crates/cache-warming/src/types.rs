//! Identifiers shared by all modules. Except for [`Incarnation`], each is a hash that the caller computes in
//! the same way on every member.

use serde::{Deserialize, Serialize};

/// Milliseconds: a time on the caller's clock, or a duration.
pub type Ms = u64;

macro_rules! identity {
    ($($(#[$doc:meta])* $name:ident),*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub u64);
    )*};
}

identity!(
    /// A gateway, identified by the hash of its name.
    Member,
    /// One run of a member's process. Later runs have larger values and take precedence over earlier ones.
    Incarnation,
    /// A prefill server.
    Node,
    /// A tenant, which the grants call a team.
    Team,
    /// A model, after its aliases are resolved.
    Model
);

/// A prompt prefix that requests of one team for one model share. `key` is the key that every router
/// derives from the prefix's text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PromptPrefix {
    pub team: Team,
    pub model: Model,
    pub key: u64,
}
