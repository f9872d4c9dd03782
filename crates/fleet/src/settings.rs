//! Cadence and bounds of a member, with their defaults. Checked once before a [`crate::Fleet`] starts, and constant
//! from then on.

use std::net::SocketAddr;

use crate::table::CELL_OVERHEAD_BYTES;

/// Cadence and bounds. Times in milliseconds. The names are the keys of `[fleet]` in the operators' file; "The ground" in
/// `docs/one-fleet.md` says what each costs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Probe period: one member is probed in each.
    pub probe: u64,
    /// Timeout of a direct probe, after which others are asked to probe. Less than half of `probe`.
    pub probe_answer: u64,
    /// Suspicion timeout: how long a suspect may refute before it is declared failed.
    pub suspect: u64,
    /// How long a member that failed or left is remembered.
    pub forget: u64,
    /// Gossip period: the time between two rounds of new entries.
    pub round: u64,
    /// Gossip fan-out: members that one round sends to, one datagram each.
    pub round_members: usize,
    /// Anti-entropy period: the time between two digests, sent to one member after another.
    pub repair: u64,
    /// Datagrams of entries in one answer to a digest; what needs more goes over a stream.
    pub repair_datagrams: usize,
    /// Time between two greetings to seeds, by which partitions find each other again.
    pub hello: u64,
    /// Age at which a value expires unless its origin renews it, which it does at a third of this age.
    pub entry_age: u64,
    /// Longest key of an entry.
    pub key_bytes: usize,
    /// Longest value of an entry.
    pub value_bytes: usize,
    /// Entries held of one origin.
    pub entries_per_origin: usize,
    /// Bytes held of one origin.
    pub bytes_per_origin: usize,
    /// Origins of which entries are held.
    pub origins: usize,
    /// Bytes held of all origins together.
    pub bytes_total: usize,
    /// Least time between two exchanges that this member requests.
    pub exchange_apart: u64,
    /// Senders whose incarnation and replay windows are remembered.
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

/// A setting that a member cannot start with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// Below the least value that works.
    #[error("{setting} is {value}, and must be at least {min}")]
    TooSmall {
        /// Name of the setting.
        setting: &'static str,
        /// What was found.
        value: u64,
        /// The bound.
        min: u64,
    },
    /// Above the greatest value that works.
    #[error("{setting} is {value}, and must be at most {max}")]
    TooLarge {
        /// Name of the setting.
        setting: &'static str,
        /// What was found.
        value: u64,
        /// The bound.
        max: u64,
    },
    /// An advertised address that names no host or no port.
    #[error("{address} cannot be reached by others")]
    Address {
        /// The address.
        address: SocketAddr,
    },
}

impl SettingsError {
    /// What an operator can do about it.
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

/// A setting with one of its bounds.
struct Bound {
    setting: &'static str,
    value: u64,
    bound: u64,
}

fn bound(setting: &'static str, value: u64, bound: u64) -> Bound {
    Bound { setting, value, bound }
}

/// Longest time that a setting may name, in milliseconds: sums of such times cannot overflow.
const MAX_TIME_MS: u64 = 24 * 3_600 * 1_000;

impl Settings {
    /// The first setting that is out of its bounds, if any. Nothing after this check has to doubt a setting.
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
