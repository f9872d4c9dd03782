//! The terms that all parts share. Identities are hashes that the caller makes, alike at all members.

use serde::{Deserialize, Serialize};

/// Milliseconds on a clock of the caller's; moments and lengths.
pub type Ms = u64;

macro_rules! identity {
    ($($(#[$doc:meta])* $name:ident),*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub u64);
    )*};
}

identity!(
    /// A gateway under its name, as a hash of it.
    Member,
    /// One run of a member; later ones go before earlier ones.
    Life,
    /// A server that reads prompts.
    Node,
    /// A tenant.
    Team,
    /// A model, its aliases resolved.
    Model
);

/// A shared beginning of prompts, of one team for one model; `prefix` is the key that all routers derive from its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Beginning {
    pub team: Team,
    pub model: Model,
    pub prefix: u64,
}
