//! The section `[fleet]` of the operators' file, read and checked. Settings that are left out have the defaults of
//! `crates/fleet`. Plain data, read at the start and at each reload.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use glenrail_fleet::Settings;
use serde::Deserialize;

use super::error::FleetError;
use crate::config::error_line;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    fleet: Section,
}

/// Defines the section with one optional key for each of the [`Settings`], under the same name, so that an error about
/// a setting names the key.
macro_rules! section {
    ($($figure:ident: $type:ty),* $(,)?) => {
        /// The section as it is in the file. Times in milliseconds.
        #[derive(Clone, Debug, Deserialize)]
        #[serde(deny_unknown_fields)]
        pub struct Section {
            /// The fleet's name, which its members share as they do the key file.
            #[serde(default = "default_name")]
            pub name: String,
            /// This gateway's name, where the platform gives none.
            pub member: Option<String>,
            /// For datagrams and, on the same port, streams.
            pub bind: SocketAddr,
            /// Address that the other members reach; by default the one that is bound.
            pub advertise: Option<SocketAddr>,
            /// Addresses where members may be found.
            #[serde(default)]
            pub seeds: Vec<SocketAddr>,
            /// File with the keys.
            pub key_file: PathBuf,
            /// File that stores the last incarnation.
            pub life_file: Option<PathBuf>,
            /// Time limit of a stream.
            #[serde(default = "default_exchange_time")]
            pub exchange_time: u64,
            /// Limit of the streams that other members opened and that are in progress.
            #[serde(default = "default_exchanges")]
            pub exchanges: usize,
            $(
                #[doc = concat!("See `Settings::", stringify!($figure), "`.")]
                pub $figure: Option<$type>,
            )*
        }

        impl Section {
            /// The settings: those of the file, and the defaults of all others.
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

fn default_name() -> String {
    "glenrail".into()
}

fn default_exchange_time() -> u64 {
    5_000
}

fn default_exchanges() -> usize {
    4
}

/// Reads and checks the file.
pub fn read(path: &Path) -> Result<Section, FleetError> {
    let file = || path.to_path_buf();
    let text =
        std::fs::read_to_string(path).map_err(|error| FleetError::Unreadable { file: file(), error })?;
    let File { fleet: section } = toml::from_str(&text).map_err(|error| syntax_error(path, &text, &error))?;
    let figure = |error| FleetError::Figure { file: file(), error };
    section.figures().check().map_err(figure)?;
    for (setting, value) in
        [("exchange_time", section.exchange_time), ("exchanges", section.exchanges as u64)]
    {
        if value == 0 {
            return Err(figure(glenrail_fleet::SettingsError::TooSmall { setting, value, min: 1 }));
        }
    }
    Ok(section)
}

/// The error of a file that cannot be parsed, with its line.
fn syntax_error(path: &Path, text: &str, error: &toml::de::Error) -> FleetError {
    let line = error_line(text, error);
    FleetError::Line { file: path.to_path_buf(), line, what: error.message().to_string() }
}

#[cfg(test)]
mod tests;
