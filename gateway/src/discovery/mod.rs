//! Service discovery: reads the endpoint list and watches it for changes.
//!
//! `list` is the list's format and how a list is applied to the router and the engine client; `watch` is the loop of
//! polls, over a connection of its own. The state machine that decides when to poll is
//! `glenrail_request_lifecycle::discovery_polling`; the clock is tokio's.
#![deny(missing_docs)]

mod list;
mod watch;

pub use self::list::{apply_list, Endpoint, EndpointList, SettingsNames};
pub use self::watch::{poll_schedule, watch, DiscoveryMetrics};
