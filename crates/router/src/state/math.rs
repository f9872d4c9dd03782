//! Small calculations on figures that come from outside or fade with time.

use crate::api::Millis;

/// Largest figure accepted from outside, whatever its unit: sums of such figures stay finite.
const MAX_FIGURE: f64 = 1e12;

/// A figure from outside, forced into the range in which it can mean something.
pub fn sanitize(figure: f64) -> f64 {
    if figure.is_finite() {
        figure.clamp(0.0, MAX_FIGURE)
    } else {
        0.0
    }
}

/// The lower median; 0 of no values.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}

/// A sum whose parts fade exponentially with their age.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingValue {
    value: f64,
    updated_at: Millis,
}

impl DecayingValue {
    /// A sum of nothing.
    pub fn zero(now: Millis) -> Self {
        DecayingValue { value: 0.0, updated_at: now }
    }

    /// What is left of the sum at `now`. A part falls to 1/e of itself in `decay_time`.
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
