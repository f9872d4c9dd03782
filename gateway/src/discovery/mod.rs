//! The list of servers: first the one known, then a watch of discovery that never pauses for long.

mod list;
mod watch;

pub use list::{apply_list, Endpoint, EndpointList, SettingsNames};
pub use watch::{poll_schedule, watch, DiscoveryMetrics};
