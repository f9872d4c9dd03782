//! What all requests together have taught.

use crate::api::Millis;

/// What all requests have taught: the mean tokens of a prompt; by stage, the pace of all servers; by role, what was
/// waited of late and when, and what its servers have carried.
#[derive(Clone, Copy, Default)]
pub struct Learned {
    pub prompt: f64,
    pub pace: [Pace; 2],
    pub waits: [(f64, Millis); 3],
    pub carried: [Carried; 3],
}

/// Weight of a new prompt's length.
const PROMPT_BLEND: f64 = 0.05;

impl Learned {
    /// Takes in the length of a prompt.
    pub fn note_prompt(&mut self, tokens: f64) {
        let blend = if self.prompt > 0.0 { PROMPT_BLEND } else { 1.0 };
        self.prompt += blend * (tokens - self.prompt);
    }
}

/// What the servers of a role have carried: decayed count of successes, warm weight that carried it, and the highest
/// rate a unit of weight.
#[derive(Clone, Copy, Default)]
pub struct Carried {
    pub count: f64,
    pub at: Millis,
    pub units: f64,
    pub peak: f64,
}

/// The time that a unit of work takes.
#[derive(Clone, Copy, Default)]
pub struct Pace {
    /// Follows the fastest samples, which tell a server's own speed whatever its queue.
    pub low: f64,
    pub samples: u32,
}

impl Pace {
    pub fn add(&mut self, sample: f64) {
        let follow = if sample < self.low { 0.5 } else { 0.05 };
        self.low += (sample - self.low) * if self.samples == 0 { 1.0 } else { follow };
        self.samples = self.samples.saturating_add(1);
    }
}
