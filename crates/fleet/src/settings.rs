//! Settings of a member (periods, timeouts and bounds) with their defaults. They are checked when a [`crate::Fleet`] is
//! created, and constant from then on.

use std::net::SocketAddr;

use crate::table::CELL_OVERHEAD_BYTES;

/// Periods, timeouts and bounds of a member. Times are in milliseconds.
///
/// The names are the keys of `[fleet]` in the operators' file. An entry is a [`crate::Cell`] of the table. "The ground"
/// in `docs/one-fleet.md` describes the cost of each setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Probe period. One member is probed in each period.
    pub probe: u64,
    /// Timeout of a direct probe, after which other members are requested to probe. Less than half of `probe`.
    pub probe_answer: u64,
    /// Suspicion timeout: time in which a suspect can refute the suspicion before it is declared failed.
    pub suspect: u64,
    /// Time after which a member that failed or left is forgotten.
    pub forget: u64,
    /// Gossip period: time between two rounds in which new entries are sent.
    pub round: u64,
    /// Gossip fan-out: number of members that each round sends one datagram to.
    pub round_members: usize,
    /// Anti-entropy period: time between sending digests to one member and to the next.
    pub repair: u64,
    /// Maximum number of datagrams with entries in one response to digests. Further entries are sent over a stream.
    pub repair_datagrams: usize,
    /// Time between two hello messages to seeds, through which healed partitions rediscover each other.
    pub hello: u64,
    /// Age at which a value expires unless its origin renews it. The origin renews it at a third of this age.
    pub entry_age: u64,
    /// Maximum length of an entry's key.
    pub key_bytes: usize,
    /// Maximum length of an entry's value.
    pub value_bytes: usize,
    /// Maximum number of stored entries of one origin.
    pub entries_per_origin: usize,
    /// Maximum weight of the stored entries of one origin; see [`crate::Cell::weight`].
    pub bytes_per_origin: usize,
    /// Maximum number of origins with stored entries.
    pub origins: usize,
    /// Maximum weight of all stored entries.
    pub bytes_total: usize,
    /// Minimum time between two exchanges that this member requests.
    pub exchange_apart: u64,
    /// Maximum number of senders whose incarnation and replay windows are retained.
    pub windows: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            probe: 1_000,
            probe_answer: 400,
            suspect: 3_000,
            forget: 600_000,
            round: 80,
            round_members: 1,
            repair: 1_000,
            repair_datagrams: 4,
            hello: 5_000,
            entry_age: 120_000,
            key_bytes: 128,
            value_bytes: 24 * 1024,
            entries_per_origin: 256,
            bytes_per_origin: 128 * 1024,
            origins: 256,
            bytes_total: 4 * 1024 * 1024,
            exchange_apart: 2_000,
            windows: 1_024,
        }
    }
}

/// Why a member cannot start with its settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A setting is below its minimum.
    #[error("{setting} is {value}, but must be at least {min}")]
    TooSmall {
        /// Key of the setting in `[fleet]`.
        setting: &'static str,
        /// Configured value.
        value: u64,
        /// Minimum, which may depend on other settings.
        min: u64,
    },
    /// A setting is above its maximum.
    #[error("{setting} is {value}, but must be at most {max}")]
    TooLarge {
        /// Key of the setting in `[fleet]`.
        setting: &'static str,
        /// Configured value.
        value: u64,
        /// Maximum, which may depend on other settings.
        max: u64,
    },
    /// The advertised address has an unspecified host or port 0.
    #[error("other members cannot reach the advertised address {address}")]
    Address {
        /// Advertised address.
        address: SocketAddr,
    },
}

impl SettingsError {
    /// Advice to the operator.
    pub fn advice(&self) -> &'static str {
        match self {
            SettingsError::Address { .. } => {
                "set advertise in [fleet] to the address and port that others reach"
            }
            SettingsError::TooSmall { .. } => {
                "raise the named figure in [fleet], or leave it out to get its default"
            }
            SettingsError::TooLarge { .. } => {
                "lower the named figure in [fleet], or leave it out to get its default"
            }
        }
    }
}

/// A setting with its minimum or maximum.
struct Bound {
    setting: &'static str,
    value: u64,
    bound: u64,
}

fn bound(setting: &'static str, value: u64, bound: u64) -> Bound {
    Bound { setting, value, bound }
}

/// Maximum of every time in the settings, in milliseconds, so that sums of such times cannot overflow.
const MAX_TIME_MS: u64 = 24 * 3_600 * 1_000;

impl Settings {
    /// Returns an error for the first setting that is out of its bounds. Later code relies on this check.
    pub fn check(&self) -> Result<(), SettingsError> {
        for Bound { setting, value, bound: min } in self.lower_bounds() {
            if value < min {
                return Err(SettingsError::TooSmall { setting, value, min });
            }
        }
        let time_bounds = self.times().map(|(setting, value)| bound(setting, value, MAX_TIME_MS));
        for Bound { setting, value, bound: max } in self.upper_bounds().into_iter().chain(time_bounds) {
            if value > max {
                return Err(SettingsError::TooLarge { setting, value, max });
            }
        }
        Ok(())
    }

    fn lower_bounds(&self) -> [Bound; 17] {
        let largest_entry = (self.value_bytes + self.key_bytes + CELL_OVERHEAD_BYTES) as u64;
        [
            bound("probe", self.probe, 10),
            bound("probe_answer", self.probe_answer, 1),
            bound("suspect", self.suspect, self.probe),
            bound("forget", self.forget, self.suspect),
            bound("round", self.round, 10),
            bound("round_members", self.round_members as u64, 1),
            bound("repair", self.repair, 10),
            bound("repair_datagrams", self.repair_datagrams as u64, 1),
            bound("hello", self.hello, 10),
            bound("entry_age", self.entry_age, 6 * self.repair),
            bound("key_bytes", self.key_bytes as u64, 1),
            bound("value_bytes", self.value_bytes as u64, 1),
            bound("entries_per_origin", self.entries_per_origin as u64, 1),
            bound("bytes_per_origin", self.bytes_per_origin as u64, largest_entry),
            bound("origins", self.origins as u64, 1),
            bound("bytes_total", self.bytes_total as u64, self.bytes_per_origin as u64),
            bound("windows", self.windows as u64, self.origins as u64),
        ]
    }

    fn upper_bounds(&self) -> [Bound; 5] {
        [
            bound("probe_answer", self.probe_answer, self.probe.saturating_sub(1) / 2),
            bound("key_bytes", self.key_bytes as u64, 256),
            bound("value_bytes", self.value_bytes as u64, 24 * 1024),
            bound("origins", self.origins as u64, 512),
            bound("entries_per_origin", self.entries_per_origin as u64, 65_535),
        ]
    }

    fn times(&self) -> [(&'static str, u64); 8] {
        [
            ("probe", self.probe),
            ("suspect", self.suspect),
            ("forget", self.forget),
            ("round", self.round),
            ("repair", self.repair),
            ("hello", self.hello),
            ("entry_age", self.entry_age),
            ("exchange_apart", self.exchange_apart),
        ]
    }
}

#[cfg(test)]
mod tests;
