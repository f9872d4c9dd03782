//! Statistics over all requests: prompt length, service time, waits and throughput.
//!
//! They survive an upgrade of the gateway: `snapshot` passes most of them on to the next process.

use super::Stage;
use crate::api::{Millis, Role};

/// Weight of a new prompt in the mean length.
const PROMPT_BLEND: f64 = 0.05;
/// Weight of a new service time that is shorter than the estimate, and of one that is not. The estimate
/// follows the fastest samples, because the others may have waited in a queue.
const FASTER_BLEND: f64 = 0.5;
const SLOWER_BLEND: f64 = 0.05;

/// What all requests together have shown.
#[derive(Clone, Copy, Default)]
pub struct RoutingStatistics {
    /// Mean length of a prompt, in tokens; 0 before the first.
    pub mean_prompt_tokens: f64,
    /// Service time at all servers, indexed by [`Stage`].
    pub service_time_by_stage: [ServiceTime; 2],
    /// Recent wait at all servers of a role, indexed by [`Role`].
    pub wait_by_role: [RoleWait; 3],
    /// Throughput of all servers of a role, indexed by [`Role`].
    pub throughput_by_role: [RoleThroughput; 3],
}

impl RoutingStatistics {
    /// Adds the length of a prompt.
    pub fn record_prompt(&mut self, tokens: f64) {
        let blend = if self.mean_prompt_tokens > 0.0 { PROMPT_BLEND } else { 1.0 };
        self.mean_prompt_tokens += blend * (tokens - self.mean_prompt_tokens);
    }

    /// Service time of a stage at all servers.
    pub fn service_time(&self, stage: Stage) -> ServiceTime {
        self.service_time_by_stage[stage as usize]
    }

    /// Adds the service time of an attempt, in milliseconds a token.
    pub fn record_service_time(&mut self, stage: Stage, per_token: Millis) {
        self.service_time_by_stage[stage as usize].record(per_token);
    }

    /// Recent wait at all servers of a role.
    pub fn wait(&self, role: Role) -> &RoleWait {
        &self.wait_by_role[role as usize]
    }

    /// Adds the wait of an attempt at a server of this role, with its weight in the mean.
    pub fn record_wait(&mut self, role: Role, wait: Millis, blend: f64, now: Millis) {
        let recent = &mut self.wait_by_role[role as usize];
        recent.mean += blend * (wait - recent.mean);
        recent.updated_at = now;
    }

    /// Throughput of all servers of a role.
    pub fn throughput(&self, role: Role) -> &RoleThroughput {
        &self.throughput_by_role[role as usize]
    }

    /// Throughput of all servers of a role, to be updated.
    pub fn throughput_mut(&mut self, role: Role) -> &mut RoleThroughput {
        &mut self.throughput_by_role[role as usize]
    }
}

/// Wait before service at all servers of a role.
#[derive(Clone, Copy, Default)]
pub struct RoleWait {
    /// Moving mean of the waits.
    pub mean: Millis,
    /// When the last one was added.
    pub updated_at: Millis,
}

/// What the servers of a role have completed for this router.
#[derive(Clone, Copy, Default)]
pub struct RoleThroughput {
    /// Requests completed, a count that decays.
    pub completions: f64,
    /// When the last one was added.
    pub updated_at: Millis,
    /// Capacity of the servers that completed them, in units of weight outside slow start.
    pub capacity_units: f64,
    /// Highest rate of late, in completions a second for a unit of capacity.
    pub peak_rate: f64,
}

/// Estimate of the time that a token of work takes without a queue.
#[derive(Clone, Copy, Default)]
pub struct ServiceTime {
    /// Milliseconds a token.
    pub per_token: Millis,
    /// Samples that the estimate rests on.
    pub samples: u32,
}

impl ServiceTime {
    /// Adds a sample, in milliseconds a token.
    pub fn record(&mut self, per_token: Millis) {
        let blend = match self.samples {
            0 => 1.0,
            _ if per_token < self.per_token => FASTER_BLEND,
            _ => SLOWER_BLEND,
        };
        self.per_token += (per_token - self.per_token) * blend;
        self.samples = self.samples.saturating_add(1);
    }
}
