//! Outlier ejection and the panic threshold: determine the servers that may receive attempts at present.
//!
//! The state is [`Health`] in each server's record. Ejection protects requests from failing servers. The
//! panic threshold prevents the ejection of most servers because of a fault elsewhere.

use super::slow_start::NO_PREFIX_DEMAND;
use super::state_leases::DETAIL_STATE_MISSING;
use super::{Router, HOUSEKEEPING_INTERVAL};
use crate::api::{Action, AttemptOutcome, AttemptStatus, Millis, Role, ServerId, ServerState};
use crate::state::{
    sanitize, Attempt, FailureKind, Health, PrefillSample, RequestState, ServerRecord, Stage,
};

/// Duration of a first ejection (ms). Each further ejection takes twice as long, up to [`MAX_DOUBLINGS`].
pub(super) const BASE_EJECTION_TIME: Millis = 500.0;
/// Maximum number of times that the duration of an ejection is doubled.
const MAX_DOUBLINGS: u32 = 4;
/// Score of a broken connection. Other failures without a constant of their own have a score of 1, and a
/// server is ejected once its total score reaches 1.
const RESET_SCORE: f64 = 0.6;
/// Score of a malformed response.
const MALFORMED_RESPONSE_SCORE: f64 = 0.2;
/// Factor by which a success multiplies the score.
const SCORE_AFTER_SUCCESS: f64 = 0.8;
/// Panic threshold: minimum share of servers that are not ejected. Below it, ejections are ignored unless the
/// server is unreachable.
const PANIC_THRESHOLD: f64 = 0.5;

/// Returns the duration of an ejection (ms) after this number of doublings.
fn ejection_time(doublings: u32) -> Millis {
    BASE_EJECTION_TIME * f64::from(1u32 << doublings)
}

impl Router {
    /// Returns the servers of these roles that may receive an attempt of a request now. They are ready, not
    /// ejected (unless the panic threshold overrides ejections), within the slow-start allowance (which is
    /// checked later if the server is probed first), and permitted by the idempotency of the request. Servers
    /// that the request has tried for this stage are included only if all have been tried, and only after a
    /// delay.
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
        if (healthy.len() as f64) < PANIC_THRESHOLD * ready.len() as f64 {
            // If most servers are ejected, the fault is probably elsewhere. Unreachable servers remain
            // excluded while there are others.
            healthy = ready.iter().copied().filter(|server| !server.health.is_unreachable()).collect();
            if healthy.is_empty() {
                healthy.clone_from(&ready);
            }
            let text = format!("using {} of {}", healthy.len(), ready.len());
            self.log_limiter.log("panic threshold", text, now, actions);
        }
        // A prefill server is probed before the send, and the allowance is checked after the probe.
        let is_probed_first = stage == Stage::Prefill && self.probes_before_send();
        healthy.retain(|server| {
            is_probed_first
                || self.slow_start_allowance(server, NO_PREFIX_DEMAND, now).permits_send(server, now)
        });
        let healthy: Vec<ServerId> = healthy.iter().map(|server| server.entry.server).collect();
        let untried: Vec<ServerId> =
            healthy.iter().copied().filter(|id| !request.has_unsuccessful_attempt_on(*id, stage)).collect();
        // The delay prevents refused connections from using up all attempts at once.
        let can_try_again = now >= request.idle_since + HOUSEKEEPING_INTERVAL;
        if untried.is_empty() && can_try_again {
            healthy
        } else {
            untried
        }
    }

    /// Updates a server's health and measurements with the outcome of an attempt. `work_tokens` is the work
    /// of the request's prefill.
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
            AttemptStatus::Rejected if outcome.status_detail < DETAIL_STATE_MISSING => {
                // The server counts as full until its next report, regardless of the last one.
                if let Some(server) = self.servers.get_mut(&outcome.server) {
                    server.memory_share = Some(server.memory_share.unwrap_or(0.0).max(1.0));
                    server.memory_reported_at = self.now;
                }
            }
            _ => {}
        }
    }

    /// Adds a failure to the score of a server, and ejects the server if the score is high enough.
    ///
    /// A server that is only busy may be ejected, too. The panic threshold limits the effect.
    pub(super) fn record_failure(&mut self, id: ServerId, kind: FailureKind, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.health.score += match kind {
            FailureKind::Reset => RESET_SCORE,
            FailureKind::MalformedResponse => MALFORMED_RESPONSE_SCORE,
            FailureKind::Error | FailureKind::Unresponsive | FailureKind::ConnectFailed => 1.0,
        };
        // During a trial, any failure but a malformed response ejects the server again once its ejection has
        // ended.
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
        server.discard_measurements();
        let is_unreachable = server.health.is_unreachable();
        self.log_limiter.log("ejection", format!("server {:x}, {kind:?}", id.0), now, actions);
        if is_unreachable {
            self.cancel_lost_attempts(|_, _, attempt| attempt.server == id, actions);
        }
    }

    /// Records a success of a server with an attempt sent at `sent_at`, which ends a trial if the attempt was
    /// sent after the ejection.
    pub(super) fn record_success(&mut self, id: ServerId, sent_at: Millis) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.last_progress_at = now;
        server.health.score *= SCORE_AFTER_SUCCESS;
        if server.health.on_trial && sent_at >= server.health.ejected_at {
            // A server that could not be reached may have restarted without a new list entry, so it is
            // treated as restarted.
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
