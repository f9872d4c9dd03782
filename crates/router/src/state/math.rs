//! Calculations with untrusted input values and with values that decay over time.

use crate::api::Millis;

/// Maximum accepted input value in any unit, so that sums of input values stay finite.
const MAX_INPUT_VALUE: f64 = 1e12;

/// Returns an input value clamped to the valid range, or 0 if it is not finite.
pub fn sanitize(input: f64) -> f64 {
    if input.is_finite() {
        input.clamp(0.0, MAX_INPUT_VALUE)
    } else {
        0.0
    }
}

/// Returns the lower median, or 0 if there are no values.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}

/// Sum whose parts decay exponentially with their age.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingValue {
    value: f64,
    updated_at: Millis,
}

impl DecayingValue {
    /// Creates an empty sum.
    pub fn zero(now: Millis) -> Self {
        DecayingValue { value: 0.0, updated_at: now }
    }

    /// Returns the sum at `now`. Each part decays to 1/e of its value in `decay_time`.
    pub fn value_at(&self, now: Millis, decay_time: Millis) -> f64 {
        self.value * ((self.updated_at - now) / decay_time).exp()
    }

    /// Adds an amount at `now` and returns the new sum.
    pub fn add(&mut self, amount: f64, now: Millis, decay_time: Millis) -> f64 {
        self.value = amount + self.value_at(now, decay_time);
        self.updated_at = now;
        self.value
    }
}
