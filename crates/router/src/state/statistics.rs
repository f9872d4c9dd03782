//! Statistics over all requests: prompt length, service time, waits and throughput.
//!
//! [`Router`](crate::Router) owns them, and `snapshot` passes most of them to the successor process of an
//! upgrade.

use super::Stage;
use crate::api::{Millis, Role};

/// Weight of a new prompt in the moving mean of the length.
const PROMPT_SMOOTHING_FACTOR: f64 = 0.05;
/// Weight of a service time that is shorter than the estimate. It is high so that the estimate follows the
/// fastest samples, because the others may include a wait in a queue.
const FASTER_SMOOTHING_FACTOR: f64 = 0.5;
/// Weight of a service time that is not shorter than the estimate.
const SLOWER_SMOOTHING_FACTOR: f64 = 0.05;

/// Statistics over all requests at this router.
#[derive(Clone, Copy, Default)]
pub struct RoutingStatistics {
    /// Moving mean of the prompt length, in tokens; 0 before the first prompt.
    pub mean_prompt_tokens: f64,
    /// Service time over all servers, indexed by [`Stage`].
    pub service_time_by_stage: [ServiceTime; 2],
    /// Recent wait over all servers of a role, indexed by [`Role`].
    pub wait_by_role: [RoleWait; 3],
    /// Throughput over all servers of a role, indexed by [`Role`].
    pub throughput_by_role: [RoleThroughput; 3],
}

impl RoutingStatistics {
    /// Adds the length of a prompt.
    pub fn record_prompt(&mut self, tokens: f64) {
        let smoothing_factor = if self.mean_prompt_tokens > 0.0 { PROMPT_SMOOTHING_FACTOR } else { 1.0 };
        self.mean_prompt_tokens += smoothing_factor * (tokens - self.mean_prompt_tokens);
    }

    /// Returns the service time of a stage over all servers.
    pub fn service_time(&self, stage: Stage) -> ServiceTime {
        self.service_time_by_stage[stage as usize]
    }

    /// Adds the service time of an attempt, in milliseconds per token.
    pub fn record_service_time(&mut self, stage: Stage, per_token: Millis) {
        self.service_time_by_stage[stage as usize].record(per_token);
    }

    /// Returns the recent wait over all servers of a role.
    pub fn wait(&self, role: Role) -> &RoleWait {
        &self.wait_by_role[role as usize]
    }

    /// Adds the wait of an attempt at a server of this role to the moving mean, with weight
    /// `smoothing_factor`.
    pub fn record_wait(&mut self, role: Role, wait: Millis, smoothing_factor: f64, now: Millis) {
        let recent = &mut self.wait_by_role[role as usize];
        recent.mean += smoothing_factor * (wait - recent.mean);
        recent.updated_at = now;
    }

    /// Returns the throughput over all servers of a role.
    pub fn throughput(&self, role: Role) -> &RoleThroughput {
        &self.throughput_by_role[role as usize]
    }

    /// Returns a mutable reference to the throughput over all servers of a role.
    pub fn throughput_mut(&mut self, role: Role) -> &mut RoleThroughput {
        &mut self.throughput_by_role[role as usize]
    }
}

/// Wait in the queue over all servers of a role.
#[derive(Clone, Copy, Default)]
pub struct RoleWait {
    /// Moving mean of the waits.
    pub mean: Millis,
    /// Time at which the last wait was added.
    pub updated_at: Millis,
}

/// Requests of this router that the servers of a role have completed.
#[derive(Clone, Copy, Default)]
pub struct RoleThroughput {
    /// Number of completed requests, with exponential decay.
    pub completions: f64,
    /// Time at which the last completion was added.
    pub updated_at: Millis,
    /// Capacity of the servers that completed the requests; a server outside slow start contributes its
    /// weight.
    pub capacity_units: f64,
    /// Highest recent rate, in completions per second and unit of capacity.
    pub peak_rate: f64,
}

/// Estimate of the time for a token of work, without the wait in a queue.
#[derive(Clone, Copy, Default)]
pub struct ServiceTime {
    /// Time that one token of work takes; 0 before the first sample.
    pub per_token: Millis,
    /// Number of samples in the estimate.
    pub samples: u32,
}

impl ServiceTime {
    /// Adds a sample, in milliseconds per token.
    pub fn record(&mut self, per_token: Millis) {
        let smoothing_factor = match self.samples {
            0 => 1.0,
            _ if per_token < self.per_token => FASTER_SMOOTHING_FACTOR,
            _ => SLOWER_SMOOTHING_FACTOR,
        };
        self.per_token += (per_token - self.per_token) * smoothing_factor;
        self.samples = self.samples.saturating_add(1);
    }
}
