//! Cadence and bounds, with the figures they start from.

use std::net::SocketAddr;

/// Every figure has a bound at its other end: see "The ground" in `docs/one-fleet.md`. Times in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// One member is probed in each such time.
    pub probe: u64,
    /// How long a direct answer is waited for before others are asked to probe. Under half of `probe`.
    pub probe_answer: u64,
    /// How long a suspect has to speak up before it is gone.
    pub suspect: u64,
    /// How long one that is gone or left is remembered.
    pub forget: u64,
    /// Time between two rounds of fresh entries.
    pub round: u64,
    /// Members told in a round, one datagram each.
    pub round_members: usize,
    /// Time between two digests, sent to one member after another.
    pub repair: u64,
    /// Datagrams of entries in one answer; what needs more goes over a stream.
    pub repair_datagrams: usize,
    /// Time between two greetings to seeds, so that parts that lost each other meet again.
    pub hello: u64,
    /// Age at which a value is dropped unless its origin tells it anew, which it does at a third of it.
    pub entry_age: u64,
    pub key_bytes: usize,
    pub value_bytes: usize,
    pub entries_per_origin: usize,
    pub bytes_per_origin: usize,
    pub origins: usize,
    pub bytes_total: usize,
    /// Least time between two exchanges that this member asks for.
    pub exchange_apart: u64,
    /// Members whose life and counters are remembered against replays.
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

/// A figure that can't be worked with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    #[error("{what} is {found}, and must be at least {least}")]
    TooSmall { what: &'static str, found: u64, least: u64 },
    #[error("{what} is {found}, and must be at most {most}")]
    TooLarge { what: &'static str, found: u64, most: u64 },
    #[error("{address} cannot be reached by others")]
    Address { address: SocketAddr },
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

/// No time is longer: sums of times do not overflow, and nobody means it.
const DAY: u64 = 24 * 3_600 * 1_000;

impl Settings {
    /// Checked once at the start, so that nothing later has to look at figures.
    pub fn check(&self) -> Result<(), SettingsError> {
        let least = [
            ("probe", self.probe, 10),
            ("probe_answer", self.probe_answer, 1),
            ("suspect", self.suspect, self.probe),
            ("forget", self.forget, self.suspect),
            ("round", self.round, 10),
            ("round_members", self.round_members as u64, 1),
            ("repair", self.repair, 10),
            ("repair_datagrams", self.repair_datagrams as u64, 1),
            ("hello", self.hello, 10),
            ("entry_age", self.entry_age, 6 * self.repair),
            ("key_bytes", self.key_bytes as u64, 1),
            ("value_bytes", self.value_bytes as u64, 1),
            ("entries_per_origin", self.entries_per_origin as u64, 1),
            (
                "bytes_per_origin",
                self.bytes_per_origin as u64,
                (self.value_bytes + self.key_bytes + 64) as u64,
            ),
            ("origins", self.origins as u64, 1),
            ("bytes_total", self.bytes_total as u64, self.bytes_per_origin as u64),
            ("windows", self.windows as u64, self.origins as u64),
        ];
        for (what, found, least) in least {
            if found < least {
                return Err(SettingsError::TooSmall { what, found, least });
            }
        }
        let most = [
            ("probe_answer", self.probe_answer, self.probe.saturating_sub(1) / 2),
            ("key_bytes", self.key_bytes as u64, 256),
            ("value_bytes", self.value_bytes as u64, 24 * 1024),
            ("origins", self.origins as u64, 512),
            ("entries_per_origin", self.entries_per_origin as u64, 65_535),
        ];
        let times = [
            ("probe", self.probe),
            ("suspect", self.suspect),
            ("forget", self.forget),
            ("round", self.round),
            ("repair", self.repair),
            ("hello", self.hello),
            ("entry_age", self.entry_age),
            ("exchange_apart", self.exchange_apart),
        ];
        for (what, found, most) in most.into_iter().chain(times.map(|(what, found)| (what, found, DAY))) {
            if found > most {
                return Err(SettingsError::TooLarge { what, found, most });
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
