//! Bands of requests that the level does not tell apart but by hash.

/// Bands to each doubling of worth a unit of work.
const BANDS_PER_OCTAVE: u8 = 4;
/// Octaves: from a 65,536th of a unit of worth a unit of work to half of 65,536 of them.
const OCTAVES: u32 = 31;
const RATE_SCALE: u64 = 1 << 16;

/// Whether a request may be sent again after an attempt that may have had its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Idempotency {
    Idempotent,
    NonIdempotent,
}

/// The band of a request; higher goes first. `value` is in thousandths of what the settings count, `work` in tokens.
pub fn priority_band(value: u32, work: u32, idempotency: Idempotency, over_share: bool) -> u8 {
    let rate = u64::from(value) * RATE_SCALE / 1_000 / u64::from(work.max(1));
    let octave = rate.checked_ilog2().map_or(0, |log| (log + 1).min(OCTAVES));
    let octave = u8::try_from(octave).unwrap_or(u8::MAX / BANDS_PER_OCTAVE);
    octave * BANDS_PER_OCTAVE
        + 2 * u8::from(idempotency == Idempotency::NonIdempotent)
        + u8::from(!over_share)
}

/// The band of a later turn: what was read for a session so far is worth as much again.
pub(super) fn later_turn_band(band: u8) -> u8 {
    band.saturating_add(BANDS_PER_OCTAVE)
}
