//! Warm cut-over: a replacement node reads the hottest shared beginnings before traffic moves to it. [`sketch`] counts what is
//! hot, [`texts`] keeps what can be read anew, [`hot`] holds both under the grants; [`plan`] picks what a new node reads,
//! [`readers`] who reads it, [`pace`] when a reading may go out, and [`cutover`] moves ownership in slices.
//!
//! Decisions only: no socket, no clock, no thread. Time is an argument in milliseconds on the caller's clock, which must not go
//! back. Whether a team may call a model is a function argument throughout. `docs/one-fleet.md` has the promises and
//! their limits.

pub mod bytes;
pub mod cutover;
pub mod hot;
pub mod pace;
pub mod plan;
pub mod readers;
pub mod rendezvous;
pub mod sketch;
pub mod slices;
pub mod terms;
pub mod texts;
pub mod word;

pub use terms::{Beginning, Life, Member, Model, Ms, Node, Team};
