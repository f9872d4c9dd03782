//! The settings of a deployment: one reader of the settings JSON for the gateway and the simulator's adapter.
//!
//! This crate is the one place where the operators' key names meet the names of the code. [`settings`] reads leniently:
//! unknown keys are skipped, and a value of the wrong type counts as left out. [`checked()`] names the first key that is at
//! fault instead, and is what the gateway starts with.

#![deny(missing_docs)]

mod checked;
mod json;
mod read;

pub use checked::{checked, entry_name, SettingsFault};
pub use json::{flag, integer, list, number, text};
pub use read::{load_report, server_id, settings};

#[cfg(test)]
mod tests;
