//! Membership of the fleet, and the small table that its members replicate. Sans-I/O: no socket, no clock, no
//! thread. Time is an argument (milliseconds on the caller's clock), randomness a seed, and what the driver has to
//! do comes out as [`Effect`]s. The section "The ground" of `docs/one-fleet.md` states each guarantee with its
//! limit and its test.
//!
//! - [`Fleet`] is the state machine that a driver runs: datagrams, timers and the bytes of streams go in.
//! - Membership is SWIM, by the library `foca` (MPL-2.0, unmodified): `membership.rs` says why.
//! - [`Table`] holds versioned cells by origin; new cells spread by gossip, and an anti-entropy exchange of digests
//!   repairs what gossip lost.
//! - [`seal`] authenticates each message with the fleet's key, and rejects replays and messages for other members.
//!
//! A driver sends one datagram for each [`Effect::Send`], calls [`Fleet::handle_timer`] once for each [`Effect::Timer`],
//! and for each [`Effect::OpenExchange`] opens a stream, calls [`Fleet::open_exchange`], then [`Fleet::handle_exchange_bytes`]
//! with what it reads until the exchange is finished. For each accepted stream it starts with [`Exchange::accept`]
//! and goes on likewise.
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
