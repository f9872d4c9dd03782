//! Why a datagram or a frame was dropped, and how many were.

use crate::{Life, MemberId};

/// Nothing was changed by what is refused. Each reason has its own counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    #[error("{bytes} bytes are too few for a sealed message")]
    Short { bytes: usize },
    #[error("{bytes} bytes are over the bound of {most}")]
    Long { bytes: usize, most: usize },
    #[error("format version {found} is not known here: this build speaks version {ours}")]
    Version { found: u8, ours: u8 },
    #[error("the tag fits none of the keys")]
    Forged,
    #[error("member {from:?} said it before (counter {counter})")]
    Replayed { from: MemberId, counter: u64 },
    #[error("counter {counter} of member {from:?} is too far behind to tell whether it was said before")]
    Stale { from: MemberId, counter: u64 },
    #[error("member {from:?} has a later life than {life:?}")]
    OldLife { from: MemberId, life: Life },
    #[error("it was meant for member {to:?} in its life {life:?}")]
    Foreign { to: MemberId, life: Life },
    #[error("it bears this member's own name, with life {life:?}")]
    Ourselves { life: Life },
    #[error("member {from:?} sealed what cannot be read")]
    Malformed { from: MemberId },
    #[error("member {from:?} sealed a probe in the name of another")]
    Borrowed { from: MemberId },
    #[error("this member has left")]
    Left,
}

impl Refused {
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

    /// Place of the reason in [`Refused::REASONS`] and in [`Counters::refused`].
    pub fn reason(&self) -> usize {
        match self {
            Refused::Short { .. } => 0,
            Refused::Long { .. } => 1,
            Refused::Version { .. } => 2,
            Refused::Forged => 3,
            Refused::Replayed { .. } => 4,
            Refused::Stale { .. } => 5,
            Refused::OldLife { .. } => 6,
            Refused::Foreign { .. } => 7,
            Refused::Ourselves { .. } => 8,
            Refused::Malformed { .. } => 9,
            Refused::Borrowed { .. } => 10,
            Refused::Left => 11,
        }
    }

    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            Refused::Short { .. } | Refused::Long { .. } => {
                "something else sends to the fleet's port: bind it to an address that only gateways reach"
            }
            Refused::Version { .. } => "a build with another format runs: bring the fleet to one build",
            Refused::Forged => "give all members the same key file and fleet name; if they have, someone is probing",
            Refused::Replayed { .. } | Refused::Stale { .. } => {
                "a few come from the network itself; many mean that recorded traffic is sent again"
            }
            Refused::OldLife { .. } => {
                "two run under one name, or a clock went back over a restart: give each its own name, set the clock"
            }
            Refused::Foreign { .. } => {
                "a few follow each restart; many mean a wrong advertised address or recorded traffic"
            }
            Refused::Ourselves { .. } => "another gateway runs under this name: give each its own",
            Refused::Malformed { .. } | Refused::Borrowed { .. } => {
                "that member's build is broken or another: look at its version, restart or remove it"
            }
            Refused::Left => "nothing: the others stop sending once they have heard that it left",
        }
    }
}

/// What a member counted since it started. All grow only.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub datagrams_in: u64,
    pub datagrams_out: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    /// By [`Refused::reason`].
    pub refused: [u64; Refused::REASONS.len()],
    /// Accepted by the second key: at zero growth it can be taken out of the file.
    pub by_second_key: u64,
    pub entries_taken: u64,
    /// Entries that were not taken, or were dropped, because a bound was met.
    pub entries_over_bounds: u64,
    pub exchanges_asked: u64,
    /// Timers that came later than a probe's period: this process was stopped or starved.
    pub late_timers: u64,
    /// What the membership library could not go on with; it mends itself.
    pub membership_errors: u64,
}

#[cfg(test)]
mod tests;
