//! `[fleet]` of the operators' file, read and checked. Figures that are left out get the defaults of `crates/fleet`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use glenrail_fleet::Settings;
use serde::Deserialize;

use super::error::FleetError;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    fleet: Section,
}

/// Writes the section with one optional key for each figure of [`Settings`], under the same name: what refuses a
/// figure names the key.
macro_rules! section {
    ($($figure:ident: $type:ty),* $(,)?) => {
        /// The section as it stands in the file. Times in milliseconds.
        #[derive(Clone, Debug, Deserialize)]
        #[serde(deny_unknown_fields)]
        pub struct Section {
            /// The fleet's name: with the key file, what its members share.
            #[serde(default = "glenrail")]
            pub name: String,
            /// This gateway's name, where the platform gives none.
            pub member: Option<String>,
            /// For datagrams and, on the same port, streams.
            pub bind: SocketAddr,
            /// Where the others reach it; the address it is bound to where it is left out.
            pub advertise: Option<SocketAddr>,
            #[serde(default)]
            pub seeds: Vec<SocketAddr>,
            pub key_file: PathBuf,
            /// Remembers the last life.
            pub life_file: Option<PathBuf>,
            /// A whole stream takes no longer.
            #[serde(default = "five_seconds")]
            pub exchange_time: u64,
            /// Streams that others open, at once.
            #[serde(default = "four")]
            pub exchanges: usize,
            $(pub $figure: Option<$type>,)*
        }

        impl Section {
            pub fn figures(&self) -> Settings {
                let mut figures = Settings::default();
                $(if let Some(figure) = self.$figure { figures.$figure = figure; })*
                figures
            }
        }
    };
}

section! {
    probe: u64, probe_answer: u64, suspect: u64, forget: u64, round: u64, round_members: usize, repair: u64,
    repair_datagrams: usize, hello: u64, entry_age: u64, key_bytes: usize, value_bytes: usize,
    entries_per_origin: usize, bytes_per_origin: usize, origins: usize, bytes_total: usize, exchange_apart: u64,
    windows: usize,
}

fn glenrail() -> String {
    "glenrail".into()
}

fn five_seconds() -> u64 {
    5_000
}

fn four() -> usize {
    4
}

/// Reads and checks the file.
pub fn read(path: &Path) -> Result<Section, FleetError> {
    let file = || path.to_path_buf();
    let text =
        std::fs::read_to_string(path).map_err(|error| FleetError::Unreadable { file: file(), error })?;
    let whole: File = toml::from_str(&text).map_err(|e| {
        let line = e.span().map_or(1, |s| text.bytes().take(s.start).filter(|b| *b == b'\n').count() + 1);
        FleetError::Line { file: file(), line, what: e.message().to_string() }
    })?;
    let section = whole.fleet;
    let figure = |error| FleetError::Figure { file: file(), error };
    section.figures().check().map_err(figure)?;
    for (what, found) in [("exchange_time", section.exchange_time), ("exchanges", section.exchanges as u64)] {
        if found == 0 {
            return Err(figure(glenrail_fleet::SettingsError::TooSmall { what, found, least: 1 }));
        }
    }
    Ok(section)
}

#[cfg(test)]
mod tests;
