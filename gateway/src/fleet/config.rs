//! Parser and validation of the `[fleet]` section of the operators' file, which is read at the start and at each
//! reload. Missing settings have the defaults of `crates/fleet`.

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
    ($($setting:ident: $type:ty),* $(,)?) => {
        /// Contents of the section. Times are in milliseconds.
        #[derive(Clone, Debug, Deserialize)]
        #[serde(deny_unknown_fields)]
        pub struct Section {
            /// Name of the fleet. All members share it, as they share the key file.
            #[serde(default = "default_name")]
            pub name: String,
            /// Name of this gateway, used if neither the platform nor `EDGE_NAME` provides one.
            pub member: Option<String>,
            /// Address to bind, for UDP datagrams and for TCP streams on the same port.
            pub bind: SocketAddr,
            /// Address at which other members reach this one; `None` means the bound address.
            pub advertise: Option<SocketAddr>,
            /// Addresses to contact to join the fleet, at which other members may run.
            #[serde(default)]
            pub seeds: Vec<SocketAddr>,
            /// Path of the file with the keys.
            pub key_file: PathBuf,
            /// Path of the file that stores the last incarnation; `None` means a file in the state directory, if there
            /// is one.
            pub life_file: Option<PathBuf>,
            /// Maximum duration of a stream.
            #[serde(default = "default_exchange_time")]
            pub exchange_time: u64,
            /// Maximum number of concurrent streams opened by other members.
            #[serde(default = "default_exchanges")]
            pub exchanges: usize,
            $(
                #[doc = concat!("See `Settings::", stringify!($setting), "`.")]
                pub $setting: Option<$type>,
            )*
        }

        impl Section {
            /// Returns the settings of the file, with defaults for missing ones.
            pub fn settings(&self) -> Settings {
                let mut settings = Settings::default();
                $(if let Some(value) = self.$setting { settings.$setting = value; })*
                settings
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

/// Reads and validates the file at `path`.
pub fn read(path: &Path) -> Result<Section, FleetError> {
    let file = || path.to_path_buf();
    let text =
        std::fs::read_to_string(path).map_err(|error| FleetError::Unreadable { file: file(), error })?;
    let File { fleet: section } = toml::from_str(&text).map_err(|error| syntax_error(path, &text, &error))?;
    let settings_error = |error| FleetError::Figure { file: file(), error };
    section.settings().check().map_err(settings_error)?;
    for (setting, value) in
        [("exchange_time", section.exchange_time), ("exchanges", section.exchanges as u64)]
    {
        if value == 0 {
            return Err(settings_error(glenrail_fleet::SettingsError::TooSmall { setting, value, min: 1 }));
        }
    }
    Ok(section)
}

/// Returns the error for a file that cannot be parsed, with the line number.
fn syntax_error(path: &Path, text: &str, error: &toml::de::Error) -> FleetError {
    let line = error_line(text, error);
    FleetError::Line { file: path.to_path_buf(), line, what: error.message().to_string() }
}

#[cfg(test)]
mod tests;
