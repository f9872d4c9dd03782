//! Upgrades without a restart: a second process at the same address takes over from the first.
//!
//! The predecessor transfers its listening sockets first, so that both processes share one accept queue, then the
//! routing state, then each client connection as soon as it is idle, or with its stream in flight. `protocol` defines
//! the messages. [`serve_as_predecessor`] is one side; [`request_handover`] and [`serve_as_successor`] are the other.
//! `request_id_link` connects the two processes' tables of request ids before the successor serves.
//! The processes connect over a Unix socket in the state directory. The clock is tokio's.
#![deny(missing_docs)]

mod predecessor;
mod protocol;
mod request_id_link;
mod shared_limits;
mod socket_path;
mod successor;
pub mod transferred;

use std::rc::Rc;

pub use self::predecessor::serve_as_predecessor;
pub use self::protocol::UpgradeLink;
pub use self::request_id_link::connect_request_ids;
pub use self::shared_limits::{ReservedHalf, SharedLimits};
pub use self::successor::{request_handover, serve_as_successor, HandoverState};
pub use self::transferred::{TransferInbox, TransferInboxes};

/// Number of the platform's front in the messages.
pub const PLATFORM: u8 = 0;
/// Number of the second front in the messages.
pub const SECOND: u8 = 1;
/// Number of fronts whose sockets are transferred.
pub const FRONTS: usize = 2;

/// Callback that applies a received routing state.
type ImportState = Rc<dyn Fn(&[u8])>;

/// Export and import of the routing state: what the platform's router has learned. The bytes are opaque here.
#[derive(Clone)]
pub struct RoutingStateTransfer {
    /// Serializes the state in the predecessor.
    pub export: Rc<dyn Fn() -> Vec<u8>>,
    /// Applies the received state in the successor.
    pub import: ImportState,
}

#[cfg(test)]
mod tests;
