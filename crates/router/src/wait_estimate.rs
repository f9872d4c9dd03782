//! Wait estimate: the time until a server would serve a request that is sent now.
//!
//! The estimate uses the waits of this router's own requests at the server and, in a large fleet, the load
//! report of the server. All functions are pure functions of [`ServerRecord`] and [`RoutingStatistics`]; the
//! caller owns the clock.

use crate::api::{Millis, Role};
use crate::fleet_load;
use crate::state::{PendingAttempt, RoutingStatistics, ServerRecord, Stage};

/// Share of this router's own pending work that delays a new request. It is below 1 because a server
/// processes several requests at once.
const OWN_WORK_SHARE: f64 = 0.5;
/// Default time for the prefill of a token until it has been measured (ms).
const DEFAULT_TIME_PER_TOKEN: Millis = 0.06;
/// Work that every prefill adds to that of its tokens, in tokens. It keeps the times of short prompts
/// comparable.
pub const FIXED_WORK: f64 = 500.0;
/// Share of the prompt that is not cached in a typical prefill.
const TYPICAL_UNCACHED_SHARE: f64 = 0.5;
/// Factor by which the work of this router may take longer at a server than estimated. A token of a long
/// prompt takes up to 50 % longer, because the cost of attention grows with the prompt, and other routers may
/// have queued as much work.
const BUSY_TIME_FACTOR: f64 = 3.0;
/// Decay time of the confidence in the wait of a single server (ms).
const SERVER_WAIT_DECAY: Millis = 1_000.0;
/// Decay time of the wait of a role (ms).
const ROLE_WAIT_DECAY: Millis = 4_000.0;

/// Returns the work of a typical prefill, in tokens.
pub fn typical_work(statistics: &RoutingStatistics) -> f64 {
    TYPICAL_UNCACHED_SHARE * statistics.mean_prompt_tokens + FIXED_WORK
}

/// Returns the time (ms) until a request that is sent now would complete its prefill, or would begin its
/// stream at a decode or mixed server. A server without measurements is treated as idle.
pub fn time_to_serve(
    server: &ServerRecord, statistics: &RoutingStatistics, routers: f64, now: Millis, work_tokens: f64,
) -> Millis {
    let wait = measured_wait(server, statistics, now);
    if server.role == Role::Decode {
        return wait;
    }
    let per_token = time_per_token(server, statistics, routers);
    let reported_wait = fleet_load::reported_wait(server, routers, now, per_token, typical_work(statistics));
    // Outcomes do not yet reflect the requests that this router has sent only recently.
    let own_work: f64 = server.pending.values().filter(|p| p.reflects_queue()).map(|p| p.work_tokens).sum();
    // In a large fleet a router has few samples for a long time, and a default must not cause rejections.
    let is_known = per_token > 0.0 || fleet_load::is_large_fleet(routers);
    let per_token = if is_known { per_token } else { DEFAULT_TIME_PER_TOKEN };
    wait.max(reported_wait).max(own_work * OWN_WORK_SHARE * per_token) + work_tokens * per_token
}

/// Returns the wait (ms) at a server, as measured with this router's own requests.
fn measured_wait(server: &ServerRecord, statistics: &RoutingStatistics, now: Millis) -> Millis {
    let queued = server.pending.values().filter(|pending| pending.reflects_queue());
    let oldest_sent_at = queued.map(|pending: &PendingAttempt| pending.sent_at).fold(now, f64::min);
    let confidence = match server.pending.is_empty() {
        true => ((server.last_progress_at - now) / SERVER_WAIT_DECAY).exp(),
        false => 1.0,
    };
    // The estimate for a decode server decays to the wait of its role, because in a large fleet a router uses
    // a single decode server too rarely for a current measurement.
    let role_wait = match server.role {
        Role::Decode => {
            let recent = statistics.wait(Role::Decode);
            recent.mean * ((recent.updated_at - now) / ROLE_WAIT_DECAY).exp()
        }
        Role::Prefill | Role::Mixed => 0.0,
    };
    (server.queue_wait * confidence + role_wait * (1.0 - confidence)).max(now - oldest_sent_at)
}

/// Returns the time (ms) for the prefill of a token at a server, or 0 if it is unknown.
fn time_per_token(server: &ServerRecord, statistics: &RoutingStatistics, routers: f64) -> Millis {
    let min_samples = fleet_load::min_service_time_samples(routers);
    server.time_per_token(statistics.service_time(Stage::Prefill), min_samples)
}

/// Returns the maximum time (ms) for which a server may be busy, without progress, with the requests that
/// this router had sent by time `until`. Prefills run sequentially, and the prefill of a long prompt takes
/// longer than the time-out for progress. Without this bound it would repeatedly be cancelled and sent to
/// another server. Returns 0 for a decode server, where the start of a stream involves no such work.
pub fn max_busy_time(
    server: &ServerRecord, statistics: &RoutingStatistics, routers: f64, until: Millis,
) -> Millis {
    if server.role == Role::Decode {
        return 0.0;
    }
    let per_token = time_per_token(server, statistics, routers);
    let pending = server.pending.values().filter(|pending| pending.sent_at <= until);
    let work_tokens = pending.map(|pending| pending.work_tokens).sum::<f64>();
    BUSY_TIME_FACTOR * work_tokens * if per_token > 0.0 { per_token } else { DEFAULT_TIME_PER_TOKEN }
}

#[cfg(test)]
mod tests;
