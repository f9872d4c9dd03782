//! What a fleet of gateways decides together when there is more to do than it can do: how much is turned away
//! ([`level`]), who goes first ([`priority`]), who may spend how much of a budget that the whole fleet shares
//! ([`budget`]), and how far tries beget tries ([`amplification`]). Where gateways may not talk, [`standalone`] makes the
//! same decisions from what one of them has.
//!
//! Decisions only: no socket, no clock, no thread. Time is an argument in milliseconds on the caller's clock, which
//! must not go back and must go on while the process is stopped. What decides is whole numbers, so that all
//! members come to the same from the same words. `docs/one-fleet.md` has the promises and their limits.

pub mod amplification;
pub mod budget;
pub mod level;
pub mod priority;
pub mod standalone;
pub mod wire;

/// Milliseconds on a clock of the caller's; moments and lengths.
pub type Ms = u64;

/// A gateway under its name, as a hash of it.
pub type Member = u64;

/// One run of a member; later ones go before earlier ones.
pub type Incarnation = u64;

/// Thousandths: of work that is turned away, of a wait that is aimed at.
pub type PerMille = u32;

/// All of it, in thousandths.
pub const PER_MILLE_SCALE: PerMille = 1000;

/// `numerator` of `denominator`, scaled to `amount`; nothing where there is nothing to be a part of.
pub(crate) fn scale_by_ratio(amount: u64, numerator: u64, denominator: u64) -> u64 {
    let scaled = u128::from(amount) * u128::from(numerator) / u128::from(denominator.max(1));
    if denominator == 0 {
        0
    } else {
        u64::try_from(scaled).unwrap_or(u64::MAX)
    }
}
