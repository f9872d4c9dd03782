//! When a server would come to a request sent now, by what this router has seen of it. No clock, no state, no I/O.

use crate::api::{Millis, Role};
use crate::fleet_load;
use crate::state::{PendingAttempt, RoutingStatistics, ServerRecord, Stage};

/// Of this router's own work that waits at a server, what a new one waits for: a server takes in several at once.
const OWN_COUNTS: f64 = 0.5;
/// Time that a token's reading takes while nothing has been read yet (ms).
const UNKNOWN_PACE: Millis = 0.06;
/// Tokens of work that every read costs beside its own (keeps short reads comparable).
pub const FIXED_WORK: f64 = 500.0;
/// A token of a long prompt takes up to half as long again as one of a usual one, each looks at all before it, and as much may
/// be in the queue from elsewhere.
const WORK_SLACK: f64 = 3.0;
/// The times in which a server's wait and its role's fade (ms).
const WAIT_FADES: Millis = 1_000.0;
const ROLE_WAIT_FADES: Millis = 4_000.0;

/// The work of a usual read, in tokens.
pub fn typical_work(learned: &RoutingStatistics) -> f64 {
    0.5 * learned.mean_prompt_tokens + FIXED_WORK
}

/// How long it takes (ms) until a read of this much work has ended at a reader, or a stream begins at a writer or a mixed
/// server, if sent now. A server of which nothing is known is taken for idle.
pub fn time_to_serve(
    s: &ServerRecord, learned: &RoutingStatistics, routers: f64, now: Millis, work: f64,
) -> Millis {
    let counts = |w: &&PendingAttempt| w.reflects_queue();
    let oldest = s.pending.values().filter(counts).map(|w| w.sent_at).fold(now, f64::min);
    let trust = if s.pending.is_empty() { ((s.last_progress_at - now) / WAIT_FADES).exp() } else { 1.0 };
    let (like, at) = learned.wait_by_role[s.role as usize];
    // A writer's wait fades into its role's: one of many routers meets it too seldom to have its own.
    let writer = s.role == Role::Decode;
    let like = if writer { like * ((at - now) / ROLE_WAIT_FADES).exp() } else { 0.0 };
    let wait = (s.queue_wait * trust + like * (1.0 - trust)).max(now - oldest);
    if writer {
        return wait;
    }
    let pace = time_per_token(s, learned, routers);
    let told = fleet_load::reported_wait(s, routers, now, pace, typical_work(learned));
    // Outcomes come too late to tell of what this router has sent there just now.
    let own: f64 = s.pending.values().filter(counts).map(|w| w.work).sum();
    // One of many routers has few samples for long, and refuses nothing for what it only guesses.
    let pace = if pace > 0.0 || fleet_load::is_large_fleet(routers) { pace } else { UNKNOWN_PACE };
    wait.max(told).max(own * OWN_COUNTS * pace) + work * pace
}

/// The time that a token takes a server to read, as far as known.
fn time_per_token(s: &ServerRecord, learned: &RoutingStatistics, routers: f64) -> Millis {
    s.time_per_token(
        learned.service_time_by_stage[Stage::Prefill as usize],
        fleet_load::min_service_time_samples(routers),
    )
}

/// How long (ms) a server may be busy with what this router has sent it up to a moment, and give no sign meanwhile: reads
/// run one after the other. A long prompt takes longer than the patience with a server that says nothing, and is read in
/// vain, again and again, where it is not reckoned with. A stream's begin has no such work.
pub fn max_busy_time(s: &ServerRecord, learned: &RoutingStatistics, routers: f64, until: Millis) -> Millis {
    if s.role == Role::Decode {
        return 0.0;
    }
    let pace = time_per_token(s, learned, routers);
    let before = s.pending.values().filter(|w| w.sent_at <= until).map(|w| w.work).sum::<f64>();
    WORK_SLACK * before * if pace > 0.0 { pace } else { UNKNOWN_PACE }
}

#[cfg(test)]
mod tests;
