//! Why a datagram or a frame was rejected, and the counters of a member. Plain data without state or clock.

use crate::{Incarnation, MemberId};

/// Why a message was rejected. A rejected message changes nothing but the counter of its reason.
///
/// The texts and [`Rejection::REASONS`] are read by operators: they keep the spelling of earlier builds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// Shorter than a header and a tag.
    #[error("{bytes} bytes are too few for a sealed message")]
    TooShort {
        /// Bytes found.
        bytes: usize,
    },
    /// Longer than a datagram may be.
    #[error("{bytes} bytes are over the bound of {max_bytes}")]
    TooLong {
        /// Bytes found.
        bytes: usize,
        /// The bound.
        max_bytes: usize,
    },
    /// Sealed in a format that this build does not speak.
    #[error("format version {version} is not known here: this build speaks version {supported}")]
    UnknownVersion {
        /// The message's version.
        version: u8,
        /// The version of this build.
        supported: u8,
    },
    /// No key of this member made the tag.
    #[error("the tag fits none of the keys")]
    Forged,
    /// A message with this counter was accepted before.
    #[error("member {from:?} said it before (counter {counter})")]
    Replayed {
        /// The sender.
        from: MemberId,
        /// Its counter.
        counter: u64,
    },
    /// The counter is below the replay window.
    #[error("counter {counter} of member {from:?} is too far behind to tell whether it was said before")]
    Stale {
        /// The sender.
        from: MemberId,
        /// Its counter.
        counter: u64,
    },
    /// Sent by an incarnation that a later one of the same member has replaced.
    #[error("member {from:?} has a later life than Life({})", incarnation.0)]
    OldIncarnation {
        /// The sender.
        from: MemberId,
        /// The incarnation that the message names.
        incarnation: Incarnation,
    },
    /// Addressed to another member, or to another incarnation of this one.
    #[error("it was meant for member {to:?} in its life Life({})", incarnation.0)]
    WrongRecipient {
        /// The recipient that the message names.
        to: MemberId,
        /// The incarnation that the message names.
        incarnation: Incarnation,
    },
    /// Sent under this member's own name, by another process.
    #[error("it bears this member's own name, with life Life({})", incarnation.0)]
    OwnName {
        /// The incarnation that the message names.
        incarnation: Incarnation,
    },
    /// Authenticated, but not a message that this build reads, or not one for this channel.
    #[error("member {from:?} sealed what cannot be read")]
    Malformed {
        /// The sender.
        from: MemberId,
    },
    /// The body names another member than the one that sealed it.
    #[error("member {from:?} sealed a probe in the name of another")]
    Impersonated {
        /// The sender.
        from: MemberId,
    },
    /// This member has left and handles nothing more.
    #[error("this member has left")]
    Left,
}

impl Rejection {
    /// Names of the reasons in the counters that operators read.
    pub const REASONS: [&'static str; 12] = [
        "short",
        "long",
        "version",
        "forged",
        "replayed",
        "stale",
        "old_life",
        "foreign",
        "ourselves",
        "malformed",
        "borrowed",
        "left",
    ];

    /// Index of the reason in [`Rejection::REASONS`] and in [`Counters::rejected`].
    pub fn reason_index(&self) -> usize {
        match self {
            Rejection::TooShort { .. } => 0,
            Rejection::TooLong { .. } => 1,
            Rejection::UnknownVersion { .. } => 2,
            Rejection::Forged => 3,
            Rejection::Replayed { .. } => 4,
            Rejection::Stale { .. } => 5,
            Rejection::OldIncarnation { .. } => 6,
            Rejection::WrongRecipient { .. } => 7,
            Rejection::OwnName { .. } => 8,
            Rejection::Malformed { .. } => 9,
            Rejection::Impersonated { .. } => 10,
            Rejection::Left => 11,
        }
    }

    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            Rejection::TooShort { .. } | Rejection::TooLong { .. } => {
                "something else sends to the fleet's port: bind it to an address that only gateways reach"
            }
            Rejection::UnknownVersion { .. } => "a build with another format runs: bring the fleet to one build",
            Rejection::Forged => "give all members the same key file and fleet name; if they have, someone is probing",
            Rejection::Replayed { .. } | Rejection::Stale { .. } => {
                "a few come from the network itself; many mean that recorded traffic is sent again"
            }
            Rejection::OldIncarnation { .. } => {
                "two run under one name, or a clock went back over a restart: give each its own name, set the clock"
            }
            Rejection::WrongRecipient { .. } => {
                "a few follow each restart; many mean a wrong advertised address or recorded traffic"
            }
            Rejection::OwnName { .. } => "another gateway runs under this name: give each its own",
            Rejection::Malformed { .. } | Rejection::Impersonated { .. } => {
                "that member's build is broken or another: look at its version, restart or remove it"
            }
            Rejection::Left => "nothing: the others stop sending once they have heard that it left",
        }
    }
}

/// Counters of a member since it started. None ever decreases.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams received, rejected ones included.
    pub datagrams_in: u64,
    /// Datagrams handed to the driver.
    pub datagrams_out: u64,
    /// Bytes received in datagrams and streams, rejected ones included.
    pub bytes_in: u64,
    /// Bytes of datagrams and frames handed to the driver.
    pub bytes_out: u64,
    /// Rejected messages, indexed by [`Rejection::reason_index`].
    pub rejected: [u64; Rejection::REASONS.len()],
    /// Messages that the second key verified. When it stops growing, that key can be removed from the file.
    pub by_second_key: u64,
    /// Cells of others that were new or had a newer version.
    pub entries_merged: u64,
    /// Cells that were not merged, or were dropped, because a bound was reached.
    pub entries_over_bounds: u64,
    /// Anti-entropy exchanges that this member asked its driver to open.
    pub exchanges_requested: u64,
    /// Timers that fired later than a probe period: this process was stopped or starved.
    pub late_timers: u64,
    /// Steps that the membership library rejected; the next probe repairs them.
    pub membership_errors: u64,
}

#[cfg(test)]
mod tests;
