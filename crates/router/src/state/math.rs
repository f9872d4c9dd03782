//! Small sums, and chance.

use crate::api::Millis;

pub fn sanitize(x: f64) -> f64 {
    if x.is_finite() {
        x.clamp(0.0, 1e12)
    } else {
        0.0
    }
}

/// What is left of a count, last touched at the second value, that fades in that time.
pub fn decayed((count, at): (f64, Millis), now: Millis, fades: Millis) -> f64 {
    count * ((at - now) / fades).exp()
}

pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}

/// A seeded random source (xorshift).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }
    /// The next number in [0, 1).
    pub fn next_unit(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}
