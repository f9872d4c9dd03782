//! Wait estimate: when a server would get to a request that is sent now.
//!
//! It rests on what this router's own requests met there and, in a large fleet, on the server's load report.
//! Pure functions over [`ServerRecord`] and [`RoutingStatistics`]; the caller owns the clock.

use crate::api::{Millis, Role};
use crate::fleet_load;
use crate::state::{PendingAttempt, RoutingStatistics, ServerRecord, Stage};

/// Part of this router's own pending work that a new request waits for: a server works on several at once.
const OWN_WORK_SHARE: f64 = 0.5;
/// Time for the prefill of a token while none has been measured (ms).
const DEFAULT_TIME_PER_TOKEN: Millis = 0.06;
/// Tokens of work that every prefill costs beside its own. It keeps the times of short prompts comparable.
pub const FIXED_WORK: f64 = 500.0;
/// A typical prefill is one of a prompt of which this share is not cached.
const TYPICAL_UNCACHED_SHARE: f64 = 0.5;
/// How much longer than estimated a server's own work may take: a token of a long prompt takes up to half as
/// long again (attention grows with the prompt), and as much work may be queued by other routers.
const BUSY_SLACK: f64 = 3.0;
/// Decay times of a server's own wait and of its role's wait (ms).
const SERVER_WAIT_DECAY: Millis = 1_000.0;
const ROLE_WAIT_DECAY: Millis = 4_000.0;

/// Work of a typical prefill, in tokens.
pub fn typical_work(statistics: &RoutingStatistics) -> f64 {
    TYPICAL_UNCACHED_SHARE * statistics.mean_prompt_tokens + FIXED_WORK
}

/// Time (ms) until a prefill of so much work would end at a server, or at a decode or mixed server a stream
/// would begin, if it were sent now. A server of which nothing is known counts as idle.
pub fn time_to_serve(
    server: &ServerRecord, statistics: &RoutingStatistics, routers: f64, now: Millis, work_tokens: f64,
) -> Millis {
    let wait = measured_wait(server, statistics, now);
    if server.role == Role::Decode {
        return wait;
    }
    let per_token = time_per_token(server, statistics, routers);
    let reported_wait = fleet_load::reported_wait(server, routers, now, per_token, typical_work(statistics));
    // Outcomes come too late to show what this router has sent there just now.
    let own_work: f64 = server.pending.values().filter(|p| p.reflects_queue()).map(|p| p.work_tokens).sum();
    // In a large fleet a router has few samples for a long time, and rejects nothing for a mere guess.
    let is_known = per_token > 0.0 || fleet_load::is_large_fleet(routers);
    let per_token = if is_known { per_token } else { DEFAULT_TIME_PER_TOKEN };
    wait.max(reported_wait).max(own_work * OWN_WORK_SHARE * per_token) + work_tokens * per_token
}

/// Wait (ms) at a server by what this router's own requests met there.
fn measured_wait(server: &ServerRecord, statistics: &RoutingStatistics, now: Millis) -> Millis {
    let queued = server.pending.values().filter(|pending| pending.reflects_queue());
    let oldest_sent_at = queued.map(|pending: &PendingAttempt| pending.sent_at).fold(now, f64::min);
    let confidence = match server.pending.is_empty() {
        true => ((server.last_progress_at - now) / SERVER_WAIT_DECAY).exp(),
        false => 1.0,
    };
    // A decode server's wait fades into its role's: in a large fleet a router meets it too seldom to know its
    // own.
    let role_wait = match server.role {
        Role::Decode => {
            let recent = statistics.wait(Role::Decode);
            recent.mean * ((recent.updated_at - now) / ROLE_WAIT_DECAY).exp()
        }
        Role::Prefill | Role::Mixed => 0.0,
    };
    (server.queue_wait * confidence + role_wait * (1.0 - confidence)).max(now - oldest_sent_at)
}

/// Time (ms) that a server takes for the prefill of a token; 0 while that is unknown.
fn time_per_token(server: &ServerRecord, statistics: &RoutingStatistics, routers: f64) -> Millis {
    let min_samples = fleet_load::min_service_time_samples(routers);
    server.time_per_token(statistics.service_time(Stage::Prefill), min_samples)
}

/// Longest time (ms) that a server may be busy with what this router had sent it by time `until`, without a
/// sign of life. Prefills run one after the other, and a long prompt takes longer than the patience with an
/// unresponsive server: without this it would be cancelled and sent elsewhere again and again. The begin of a
/// stream at a decode server has no such work.
pub fn max_busy_time(
    server: &ServerRecord, statistics: &RoutingStatistics, routers: f64, until: Millis,
) -> Millis {
    if server.role == Role::Decode {
        return 0.0;
    }
    let per_token = time_per_token(server, statistics, routers);
    let pending = server.pending.values().filter(|pending| pending.sent_at <= until);
    let work_tokens = pending.map(|pending| pending.work_tokens).sum::<f64>();
    BUSY_SLACK * work_tokens * if per_token > 0.0 { per_token } else { DEFAULT_TIME_PER_TOKEN }
}

#[cfg(test)]
mod tests;
