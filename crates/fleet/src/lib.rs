//! Membership of the fleet, and the small table that its members replicate.
//!
//! The crate does no I/O: it opens no socket, reads no clock and starts no thread. The caller passes in the time
//! (milliseconds on its own clock) and a seed for random choices, and carries out the returned [`Effect`]s. The
//! section "The ground" of `docs/one-fleet.md` states each guarantee with its limit and its test.
//!
//! - [`Fleet`] is the state machine that a driver runs. Its inputs are datagrams, timers and the bytes of streams.
//! - Membership is SWIM, provided by the library `foca` (MPL-2.0, unmodified). `membership.rs` explains the choice.
//! - [`Table`] stores versioned cells by origin. New cells spread by gossip; an anti-entropy exchange of digests
//!   delivers the cells that gossip lost.
//! - [`seal`] authenticates each message with the fleet's key, and rejects replays and messages for other members.
//!
//! A driver sends one datagram for each [`Effect::Send`] and calls [`Fleet::handle_timer`] once for each
//! [`Effect::Timer`]. For each [`Effect::OpenExchange`] it opens a stream, calls [`Fleet::open_exchange`], and passes
//! the bytes that it reads to [`Fleet::handle_exchange_bytes`] until the exchange is finished. For each accepted
//! stream it calls [`Exchange::accept`] and then passes on the bytes in the same way.
//!
//! ```
//! use glenrail_fleet::{Effect, Fleet, FleetKey, Incarnation, Keyring, Settings};
//!
//! let keys = Keyring::new(FleetKey::derive(&[7; 32], "example")?, None);
//! let (a, b) = (([127, 0, 0, 1], 7001).into(), ([127, 0, 0, 1], 7002).into());
//! let mut fleet = Fleet::new("gw-a", Incarnation(1), a, vec![b], keys, Settings::default(), 1)?;
//! let mut effects = Vec::new();
//! fleet.start(0, &mut effects);
//! assert!(matches!(&effects[0], Effect::Send { to, .. } if *to == b));
//! fleet.put(0, 7, b"level", vec![3])?;
//! assert_eq!(fleet.table().get(fleet.local_member().id, 7, b"level"), Some((1, &[3][..])));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

#![deny(missing_docs)]

mod fleet;
mod gossip;
mod identity;
mod membership;
mod rejection;
pub mod seal;
mod settings;
pub mod table;
mod timers;
mod wire;

pub use fleet::{Effect, Exchange, ExchangeError, ExchangeStep, Fleet};
pub use identity::{Incarnation, Member, MemberId};
pub use membership::MemberState;
pub use rejection::{Counters, Rejection};
pub use seal::{FleetKey, KeyError, Keyring, FORMAT_VERSION};
pub use settings::{Settings, SettingsError};
pub use table::{Cell, CellId, Table, TableError};
pub use wire::{MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES};

#[cfg(test)]
mod tests;
