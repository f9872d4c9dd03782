//! Reasons for which datagrams and frames are rejected, and the counters of a member. Plain data.

use crate::{Incarnation, MemberId};

/// Why a message was rejected. Each rejection increments the counter of its reason, and the content of the
/// message is not applied.
///
/// A message that is rejected after its tag was verified may still change the replay windows, and
/// [`Rejection::OwnName`] with a later incarnation causes [`crate::Effect::Superseded`].
///
/// Operators' tools may match [`Rejection::REASONS`] and the texts about keys and incarnations: these keep the spelling
/// of earlier builds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The message is shorter than a seal's header and tag.
    #[error("message of {bytes} bytes is too short for a seal's header and tag")]
    TooShort {
        /// Length of the message.
        bytes: usize,
    },
    /// The datagram exceeds the maximum length.
    #[error("datagram of {bytes} bytes exceeds the maximum of {max_bytes}")]
    TooLong {
        /// Length of the datagram; a driver may truncate it to one byte more than the maximum.
        bytes: usize,
        /// Maximum length, [`crate::MAX_DATAGRAM_BYTES`].
        max_bytes: usize,
    },
    /// The message has a format version that this build does not support.
    #[error("unsupported format version {version}: this build supports version {supported}")]
    UnknownVersion {
        /// Version of the message.
        version: u8,
        /// Version of this build, [`crate::FORMAT_VERSION`].
        supported: u8,
    },
    /// The tag was not made with any of this member's keys.
    #[error("the tag fits none of the keys")]
    Forged,
    /// A message with this counter was accepted before.
    #[error("replayed message: counter {counter} of member {from:?} was accepted before")]
    Replayed {
        /// Sender of the message.
        from: MemberId,
        /// Counter of the message.
        counter: u64,
    },
    /// The counter is below the replay window, so the message may be a replay, or is 0, which is never sent.
    #[error("possible replay: counter {counter} of member {from:?} is below the replay window")]
    Stale {
        /// Sender of the message.
        from: MemberId,
        /// Counter of the message.
        counter: u64,
    },
    /// A later incarnation of the same member has replaced the sender.
    #[error("member {from:?} has a later life than Life({})", incarnation.0)]
    OldIncarnation {
        /// Sender of the message.
        from: MemberId,
        /// Incarnation of the sender.
        incarnation: Incarnation,
    },
    /// The message is addressed to another member, or to another incarnation of this one.
    #[error("it was meant for member {to:?} in its life Life({})", incarnation.0)]
    WrongRecipient {
        /// Recipient of the message.
        to: MemberId,
        /// Incarnation of the recipient.
        incarnation: Incarnation,
    },
    /// Another process sent the message under this member's own name.
    #[error("it bears this member's own name, with life Life({})", incarnation.0)]
    OwnName {
        /// Incarnation of the other process.
        incarnation: Incarnation,
    },
    /// The message is authenticated, but cannot be parsed, is not allowed on this channel, or lacks a recipient.
    #[error("message sealed by member {from:?} is malformed or not allowed on this channel")]
    Malformed {
        /// Sender of the message.
        from: MemberId,
    },
    /// The body states another member, or another incarnation, than the one that sealed it.
    #[error("message sealed by member {from:?} states another member or incarnation as its sender")]
    Impersonated {
        /// Member that sealed the message.
        from: MemberId,
    },
    /// This member has left and handles no more messages.
    #[error("this member has left the fleet")]
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

    /// Advice to the operator.
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

/// Counters of a member since it was created. They never decrease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams received, rejected ones included.
    pub datagrams_in: u64,
    /// Datagrams passed to the driver for sending.
    pub datagrams_out: u64,
    /// Bytes received in datagrams and streams, rejected ones included.
    pub bytes_in: u64,
    /// Bytes of datagrams and frames passed to the driver for sending.
    pub bytes_out: u64,
    /// Rejected messages, indexed by [`Rejection::reason_index`].
    pub rejected: [u64; Rejection::REASONS.len()],
    /// Messages verified with the second key. Once it stops increasing, that key can be removed from the key file.
    pub by_second_key: u64,
    /// Received cells that were new or had a newer version.
    pub entries_merged: u64,
    /// Received cells that were not stored, or were evicted at once, because a bound was reached.
    pub entries_over_bounds: u64,
    /// Anti-entropy exchanges that this member requested its driver to open.
    pub exchanges_requested: u64,
    /// Timers that fired more than a probe period late, for example because the process was stopped or
    /// starved of CPU time.
    pub late_timers: u64,
    /// Steps that the membership library rejected. The next probe corrects their effect.
    pub membership_errors: u64,
}

#[cfg(test)]
mod tests;
