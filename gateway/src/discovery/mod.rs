//! Service discovery: fetches the endpoint list and watches it for changes.
//!
//! `list` parses a list and applies it to the router and the engine client; `watch` polls in a loop, over a connection
//! of its own. The state machine that decides when to poll is `glenrail_request_lifecycle::discovery_polling`; the
//! clock is tokio's.
#![deny(missing_docs)]

mod list;
mod watch;

pub use self::list::{apply_list, Endpoint, EndpointList, SettingsNames};
pub use self::watch::{poll_schedule, watch, DiscoveryMetrics};
