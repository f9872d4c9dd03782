//! Priority bands: among requests of the same band, only the session hash decides.

/// Bands for each doubling of the value per unit of work.
const BANDS_PER_OCTAVE: u8 = 4;
/// Highest octave. Octaves 1 to 31 cover values per unit of work from 1/65,536 up to 32,768; lower values are
/// in octave 0, and higher ones in octave 31.
const OCTAVES: u32 = 31;
/// Fixed-point representation of one unit of value per unit of work.
const RATE_SCALE: u64 = 1 << 16;

/// Whether a request may be sent again after an attempt that may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Idempotency {
    Idempotent,
    NonIdempotent,
}

/// Returns the band of a request; higher bands are admitted first. `value` is in thousandths of the unit that
/// the settings use, `work` in tokens; `over_share` is whether the tenant is over its share.
pub fn priority_band(value: u32, work: u32, idempotency: Idempotency, over_share: bool) -> u8 {
    let rate = u64::from(value) * RATE_SCALE / 1_000 / u64::from(work.max(1));
    let octave = rate.checked_ilog2().map_or(0, |log| (log + 1).min(OCTAVES));
    let octave = u8::try_from(octave).unwrap_or(u8::MAX / BANDS_PER_OCTAVE);
    octave * BANDS_PER_OCTAVE
        + 2 * u8::from(idempotency == Idempotency::NonIdempotent)
        + u8::from(!over_share)
}

/// Returns the band of a later turn, which is one octave higher: its value counts double, because of the work
/// already done for the session.
pub(super) fn later_turn_band(band: u8) -> u8 {
    band.saturating_add(BANDS_PER_OCTAVE)
}
