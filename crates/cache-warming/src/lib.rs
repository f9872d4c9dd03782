//! Cache warming for replacement nodes: a new node prefills the hottest shared prompt prefixes before traffic
//! moves to it.
//!
//! [`sketch`] counts the hottest prefixes, [`text_cache`] caches their texts so that they can be prefilled
//! again, and [`hot_prefixes`] applies the grants to both. [`plan`] selects what a new node prefills,
//! [`assignments`] which gateway sends each prefill, [`pace`] when a prefill may be sent, and [`cutover`]
//! moves ownership in slices.
//!
//! This crate only makes decisions: it opens no sockets, reads no clock and starts no threads. Times are
//! arguments in milliseconds on the caller's clock, which must not go back. Whether a team may call a model
//! is always passed in as a function. `docs/one-fleet.md` lists the guarantees and their limits.

pub mod assignments;
pub mod cutover;
pub mod hot_prefixes;
pub mod message_codec;
pub mod pace;
pub mod plan;
pub mod rendezvous;
pub mod sketch;
pub mod sketch_codec;
pub mod slices;
pub mod text_cache;
pub mod types;

pub use types::{Incarnation, Member, Model, Ms, Node, PromptPrefix, Team};
