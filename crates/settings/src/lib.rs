//! Parser for the settings JSON of a deployment, used by the gateway and the simulator's adapter.
//!
//! Only this crate maps the key names of the operators to the names in the code. [`parse_settings`] is
//! lenient: it ignores unknown keys and treats a value of the wrong type as missing.
//! [`parse_settings_strict`] returns an error for the first invalid key instead, and is used by the gateway
//! at its start.

#![deny(missing_docs)]

mod checked;
mod json;
mod read;

pub use checked::{entry_name, parse_settings_strict, SettingsError};
pub use json::{flag, integer, list, number, text};
pub use read::{load_report, parse_settings, server_id};

#[cfg(test)]
mod tests;
