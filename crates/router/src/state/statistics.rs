//! What all requests together have taught.

use crate::api::Millis;

/// What all requests have taught: the mean tokens of a prompt; by stage, the pace of all servers; by role, what was
/// waited of late and when, and what its servers have carried.
#[derive(Clone, Copy, Default)]
pub struct RoutingStatistics {
    pub mean_prompt_tokens: f64,
    pub service_time_by_stage: [ServiceTime; 2],
    pub wait_by_role: [(f64, Millis); 3],
    pub throughput_by_role: [RoleThroughput; 3],
}

/// Weight of a new prompt's length.
const PROMPT_BLEND: f64 = 0.05;

impl RoutingStatistics {
    /// Takes in the length of a prompt.
    pub fn record_prompt(&mut self, tokens: f64) {
        let blend = if self.mean_prompt_tokens > 0.0 { PROMPT_BLEND } else { 1.0 };
        self.mean_prompt_tokens += blend * (tokens - self.mean_prompt_tokens);
    }
}

/// What the servers of a role have carried: decayed count of successes, warm weight that carried it, and the highest
/// rate a unit of weight.
#[derive(Clone, Copy, Default)]
pub struct RoleThroughput {
    pub completions: f64,
    pub updated_at: Millis,
    pub capacity_units: f64,
    pub peak_rate: f64,
}

/// The time that a unit of work takes.
#[derive(Clone, Copy, Default)]
pub struct ServiceTime {
    /// Follows the fastest samples, which tell a server's own speed whatever its queue.
    pub per_token: f64,
    pub samples: u32,
}

impl ServiceTime {
    pub fn record(&mut self, sample: f64) {
        let follow = if sample < self.per_token { 0.5 } else { 0.05 };
        self.per_token += (sample - self.per_token) * if self.samples == 0 { 1.0 } else { follow };
        self.samples = self.samples.saturating_add(1);
    }
}
