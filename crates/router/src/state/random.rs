//! Pseudorandom numbers that are reproducible from a seed.

/// Xorshift generator. The order of its draws is part of the deterministic behaviour of the router.
pub struct Random(u64);

impl Random {
    /// Creates a generator for this seed.
    pub fn new(seed: u64) -> Self {
        Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    /// Returns the next number, uniformly distributed in [0, 1).
    pub fn next_unit(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}
