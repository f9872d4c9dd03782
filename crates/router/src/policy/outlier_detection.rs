//! Outlier ejection and the panic threshold: which servers may get work at present.
//!
//! State: [`Health`] in each server's record. Guards requests from servers that fail, and the fleet from
//! ejecting its servers for a fault that is not theirs.

use super::slow_start::NO_PREFIX_DEMAND;
use super::state_leases::NOTE_NO_STATE;
use super::{Router, HOUSEKEEPING_INTERVAL};
use crate::api::{Action, AttemptOutcome, AttemptStatus, Millis, Role, ServerId, ServerState};
use crate::state::{
    sanitize, Attempt, FailureKind, Health, PrefillSample, RequestState, ServerRecord, Stage,
};

/// Time of a first ejection (ms). Each further one takes twice as long ...
pub(super) const BASE_EJECTION_TIME: Millis = 500.0;
/// ... up to so many doublings.
const MAX_DOUBLINGS: u32 = 4;
/// Score of a broken connection and of a malformed response. Any other failure has a score of 1, which
/// ejects.
const RESET_SCORE: f64 = 0.6;
const MALFORMED_RESPONSE_SCORE: f64 = 0.2;
/// Part of the score that a success leaves.
const SCORE_AFTER_SUCCESS: f64 = 0.8;
/// Panic threshold: below this share of servers that are not ejected, ejections for soft failures are
/// overruled.
const PANIC_SHARE: f64 = 0.5;

/// How long a server is ejected that was ejected so many times before (ms).
fn ejection_time(doublings: u32) -> Millis {
    BASE_EJECTION_TIME * f64::from(1u32 << doublings)
}

impl Router {
    /// Servers of these roles that may get an attempt of a request now: ready, not ejected, and within slow
    /// start's allowance.
    pub(super) fn eligible_servers(
        &mut self, roles: &[Role], request: &RequestState, stage: Stage, actions: &mut Vec<Action>,
    ) -> Vec<ServerId> {
        let now = self.now;
        let accepts = |server: &&ServerRecord| {
            roles.contains(&server.role)
                && server.entry.state == ServerState::Ready
                && request.can_send_to(&server.entry, now)
        };
        let ready: Vec<&ServerRecord> = self.servers.values().filter(accepts).collect();
        let mut healthy: Vec<&ServerRecord> =
            ready.iter().copied().filter(|server| !server.health.is_ejected(now)).collect();
        if (healthy.len() as f64) < PANIC_SHARE * ready.len() as f64 {
            // Most servers of a role look bad, so the fault is elsewhere. Unreachable ones stay out while
            // others remain.
            healthy = ready.iter().copied().filter(|server| !server.health.is_unreachable()).collect();
            if healthy.is_empty() {
                healthy.clone_from(&ready);
            }
            let text = format!("using {} of {}", healthy.len(), ready.len());
            self.log_limiter.log("panic threshold", text, now, actions);
        }
        // A prefill server in slow start is probed first, which then decides.
        let is_probed_first = stage == Stage::Prefill && self.probes_before_send();
        healthy.retain(|server| {
            is_probed_first
                || self.slow_start_allowance(server, NO_PREFIX_DEMAND, now).permits_send(server, now)
        });
        let healthy: Vec<ServerId> = healthy.iter().map(|server| server.entry.server).collect();
        let untried: Vec<ServerId> =
            healthy.iter().copied().filter(|id| !request.has_failed_on(*id, stage)).collect();
        // All have been tried: wait a little, or refused connections would use up every attempt in a moment.
        let can_try_again = now >= request.idle_since + HOUSEKEEPING_INTERVAL;
        if untried.is_empty() && can_try_again {
            healthy
        } else {
            untried
        }
    }

    /// Updates a server's health and service time by the end of an attempt. `work_tokens` is that of a
    /// prefill.
    pub(super) fn record_attempt_health(
        &mut self, outcome: &AttemptOutcome, attempt: &Attempt, work_tokens: f64, actions: &mut Vec<Action>,
    ) {
        if let Some(kind) = FailureKind::from_status(outcome.status) {
            return self.record_failure(outcome.server, kind, actions);
        }
        match outcome.status {
            AttemptStatus::Served | AttemptStatus::Prefilled => {
                self.record_success(outcome.server, attempt.sent_at);
                if attempt.stage != Stage::Prefill {
                    return;
                }
                let elapsed = sanitize(outcome.elapsed);
                let sample = PrefillSample { work_tokens, elapsed, sent_at: attempt.sent_at };
                if let Some(server) = self.servers.get_mut(&outcome.server) {
                    server.record_prefill(sample, &mut self.statistics, self.now);
                }
            }
            AttemptStatus::Rejected if outcome.note < NOTE_NO_STATE => {
                // It counts as full until its next report, whatever the last one said.
                if let Some(server) = self.servers.get_mut(&outcome.server) {
                    server.memory_share = Some(server.memory_share.unwrap_or(0.0).max(1.0));
                    server.memory_reported_at = self.now;
                }
            }
            _ => {}
        }
    }

    /// Counts a failure of a server, and ejects the server once its failures are enough.
    ///
    /// Cost: a server that is merely busy may be skipped; the panic threshold bounds that.
    pub(super) fn record_failure(&mut self, id: ServerId, kind: FailureKind, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.health.score += match kind {
            FailureKind::Reset => RESET_SCORE,
            FailureKind::MalformedResponse => MALFORMED_RESPONSE_SCORE,
            FailureKind::Error | FailureKind::Unresponsive | FailureKind::ConnectFailed => 1.0,
        };
        // On trial one failure is enough, except while it is still ejected and except a malformed response.
        let is_on_trial = server.health.on_trial && kind != FailureKind::MalformedResponse;
        let is_tolerated =
            if is_on_trial { now < server.health.ejected_until } else { server.health.score < 1.0 };
        if is_tolerated {
            return;
        }
        let doublings = server.health.ejections.min(MAX_DOUBLINGS);
        server.health = Health {
            score: 0.0,
            ejections: doublings + 1,
            ejected_until: now + ejection_time(doublings),
            ejected_at: now,
            on_trial: true,
            cause: Some(kind),
        };
        server.forget_measurements();
        let is_unreachable = server.health.is_unreachable();
        self.log_limiter.log("ejection", format!("server {:x}, {kind:?}", id.0), now, actions);
        if is_unreachable {
            self.cancel_lost_attempts(|_, _, attempt| attempt.server == id, actions);
        }
    }

    /// Counts a success of a server by an attempt sent at `sent_at`, which ends a trial that began before.
    pub(super) fn record_success(&mut self, id: ServerId, sent_at: Millis) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.last_progress_at = now;
        server.health.score *= SCORE_AFTER_SUCCESS;
        if server.health.on_trial && sent_at >= server.health.ejected_at {
            // One that could not be reached may have restarted without an entry in the list.
            if server.health.cause == Some(FailureKind::ConnectFailed) {
                server.enter_slow_start(Some(now), now, self.random.next_unit());
            }
            server.health.on_trial = false;
            server.health.cause = None;
            server.health.ejected_until = now;
            return;
        }
        let ejections = server.health.ejections;
        if ejections > 0 && now > server.health.ejected_until + ejection_time(ejections) {
            server.health.ejections -= 1;
        }
    }
}
