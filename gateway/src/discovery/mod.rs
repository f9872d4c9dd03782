//! The list of servers: first the one known, then a watch of discovery that never pauses for long.

mod list;
mod watch;

pub use list::{apply, Host, List, Names};
pub use watch::{calls, watch, Tally};
