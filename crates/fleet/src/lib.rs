//! Who is a member of the fleet, and the small table that all members share. No socket, no clock, no thread: time
//! is an argument (milliseconds on the caller's clock), randomness a seed, what is to be done comes out as
//! [`Effect`]s. The page `docs/one-fleet.md`, "The ground", has each promise with its limit and its test.
//!
//! - [`Fleet`] is the one machine that a driver runs: datagrams, timers and the bytes of exchanges in.
//! - Membership is SWIM, by the library `foca` (MPL-2.0, used as it is): see `membership.rs` for why.
//! - [`Table`] holds cells of origins; fresh ones are told on, digests find what was lost.
//! - `seal` lets only holders of the fleet's key be heard, once, by the one they mean.
//!
//! A driver: for each [`Effect::Send`] one datagram; for each [`Effect::Timer`] one call of [`Fleet::timer`]; for
//! each [`Effect::OpenExchange`] a stream, [`Fleet::open_exchange`], then [`Fleet::exchange`] with what is read
//! until it is over; for each accepted stream [`Exchange::accept`], then the same.
//!
//! ```
//! use glenrail_fleet::{Effect, Fleet, FleetKey, Keyring, Life, Settings};
//!
//! let keys = Keyring::new(FleetKey::derive(&[7; 32], "example")?, None);
//! let (a, b) = (([127, 0, 0, 1], 7001).into(), ([127, 0, 0, 1], 7002).into());
//! let mut fleet = Fleet::new("gw-a", Life(1), a, vec![b], keys, Settings::default(), 1)?;
//! let mut out = Vec::new();
//! fleet.start(0, &mut out);
//! assert!(matches!(&out[0], Effect::Send { to, .. } if *to == b));
//! fleet.put(0, 7, b"level", vec![3])?;
//! assert_eq!(fleet.table().get(fleet.me().id, 7, b"level"), Some((1, &[3][..])));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

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

pub use fleet::{Effect, Exchange, ExchangeError, Fleet, Step};
pub use identity::{Life, Member, MemberId};
pub use membership::MemberState;
pub use rejection::{Counters, Refused};
pub use seal::{FleetKey, KeyError, Keyring, FORMAT};
pub use settings::{Settings, SettingsError};
pub use table::{Cell, Place, Table, TableError};
pub use wire::{DATAGRAM_MOST, FRAME_MOST};

#[cfg(test)]
mod tests;
