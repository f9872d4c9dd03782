//! Fleet-wide overload control for gateways: how much load the fleet sheds ([`level`]), which requests it
//! admits first ([`priority`]), how its members share a rate budget for retries and probes ([`budget`]), and
//! how strongly retries amplify the load ([`amplification`]). Where gateways may not exchange messages,
//! [`standalone`] makes the same decisions from the measurements of one gateway.
//!
//! The crate only decides: it has no sockets, clocks or threads. Callers pass the time in milliseconds on
//! their own clock, which must not go back and must keep running while the process is suspended. Decisions
//! use integer arithmetic, so that all members derive the same result from the same reports.
//! `docs/one-fleet.md` describes the guarantees and their limits.

pub mod amplification;
pub mod budget;
pub mod level;
pub mod priority;
pub mod standalone;
pub mod wire;

/// Milliseconds on the caller's clock, for points in time and for durations.
pub type Ms = u64;

/// Identity of a gateway in the fleet: a hash of its name.
pub type Member = u64;

/// Number of one run of a member. A later run has a higher number and supersedes earlier ones.
pub type Incarnation = u64;

/// Thousandths, such as a share of the work to shed or a wait relative to its target. May exceed
/// [`PER_MILLE_SCALE`] where a ratio above one is possible.
pub type PerMille = u32;

/// One whole (100 %) in thousandths.
pub const PER_MILLE_SCALE: PerMille = 1000;

/// Returns `amount * numerator / denominator`, rounded down and at most `u64::MAX`; 0 if `denominator` is 0.
pub(crate) fn scale_by_ratio(amount: u64, numerator: u64, denominator: u64) -> u64 {
    let scaled = u128::from(amount) * u128::from(numerator) / u128::from(denominator.max(1));
    if denominator == 0 {
        0
    } else {
        u64::try_from(scaled).unwrap_or(u64::MAX)
    }
}
