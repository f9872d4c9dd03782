//! Outlier ejection and the panic threshold: who may get work.

use super::{Router, TICK};
use crate::{api::*, state::*};

/// A first ejection lasts this long (ms), each further one twice as long, up to so many doublings.
pub const BASE_EJECTION_TIME: Millis = 500.0;
const DOUBLINGS: u32 = 4;
/// Weights of a broken connection and a spoilt answer (the others eject alone); what success leaves.
const RESET_WEIGHT: f64 = 0.6;
const SPOILT_WEIGHT: f64 = 0.2;
const FORGIVE: f64 = 0.8;
/// When less than this share of a role looks well, soft symptoms are not believed.
const PANIC_SHARE: f64 = 0.5;

impl Router {
    /// Servers of these roles that may get work now: ready, not suspect, and not too cold.
    pub(super) fn eligible_servers(
        &mut self, roles: &[Role], job: &RequestState, stage: Stage, out: &mut Vec<Action>,
    ) -> Vec<ServerId> {
        let now = self.now;
        let may = |s: &&ServerRecord| s.entry.state == ServerState::Ready && job.can_send_to(&s.entry, now);
        let ready: Vec<&ServerRecord> =
            self.servers.values().filter(|s| roles.contains(&s.role)).filter(may).collect();
        let mut good: Vec<&ServerRecord> =
            ready.iter().copied().filter(|s| !s.health.is_ejected(now)).collect();
        if (good.len() as f64) < PANIC_SHARE * ready.len() as f64 {
            // Panic threshold: most of a role looks bad, so the cause is not the server.
            good = ready.iter().copied().filter(|s| !s.health.is_unreachable()).collect();
            if good.is_empty() {
                good.clone_from(&ready);
            }
            self.log_limiter.log(
                "panic threshold",
                format!("using {} of {}", good.len(), ready.len()),
                now,
                out,
            );
        }
        // A reader that is cold is looked at first.
        let later = stage == Stage::Prefill && self.probes_before_send();
        good.retain(|s| later || self.slow_start_allowance(s, 0.0, now).permits_send(s, now));
        let good: Vec<ServerId> = good.iter().map(|s| s.entry.server).collect();
        let fresh: Vec<ServerId> = good.iter().copied().filter(|id| !job.has_failed_on(*id, stage)).collect();
        // All tried already: not again at once, or a refused connection burns every attempt in a moment.
        match fresh.is_empty() && now >= job.idle_since + TICK {
            true => good,
            false => fresh,
        }
    }

    /// Feeds the health judgement and the paces from one outcome; `work`: of an attempt to read.
    pub(super) fn record_attempt_health(
        &mut self, o: &AttemptOutcome, stage: Stage, sent: Millis, work: f64, out: &mut Vec<Action>,
    ) {
        if let Some(what) = FailureKind::from_status(o.status) {
            return self.record_failure(o.server, what, out);
        }
        match o.status {
            AttemptStatus::Served | AttemptStatus::Prefilled => {
                self.record_success(o.server, sent);
                let server = self.servers.get_mut(&o.server).filter(|_| stage == Stage::Prefill);
                if let Some(s) = server {
                    s.record_prefill(&mut self.statistics, work, sanitize(o.elapsed), sent, self.now);
                }
            }
            AttemptStatus::Rejected if o.note < 1.0 => {
                // Turned away: full, whatever the last report said, until a fresh one.
                if let Some(s) = self.servers.get_mut(&o.server) {
                    s.memory_share = Some(s.memory_share.unwrap_or(0.0).max(1.0));
                    s.memory_reported_at = self.now;
                }
            }
            _ => {}
        }
    }

    /// One judgement for every kind of symptom: enough of them eject a server for a while, ever longer.
    /// Harm: a server that is merely busy is skipped; the panic threshold bounds that.
    pub(super) fn record_failure(&mut self, id: ServerId, what: FailureKind, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(s) = self.servers.get_mut(&id) else { return };
        let weights = [(FailureKind::Reset, RESET_WEIGHT), (FailureKind::MalformedResponse, SPOILT_WEIGHT)];
        s.health.score += weights.iter().find(|w| w.0 == what).map_or(1.0, |w| w.1);
        let trial = s.health.on_trial && what != FailureKind::MalformedResponse;
        let spared = if trial { now < s.health.ejected_until } else { s.health.score < 1.0 };
        if spared {
            return;
        }
        let doublings = s.health.ejections.min(DOUBLINGS);
        s.health = Health {
            score: 0.0,
            ejections: doublings + 1,
            ejected_until: now + BASE_EJECTION_TIME * f64::from(1u32 << doublings),
            ejected_at: now,
            on_trial: true,
            cause: Some(what),
        };
        s.forget_measurements();
        let unreachable = s.health.is_unreachable();
        self.log_limiter.log("ejection", format!("server {:x}, {what:?}", id.0), now, out);
        if unreachable {
            self.cancel_lost_attempts(|_, _, a| a.server == id, out);
        }
    }

    pub(super) fn record_success(&mut self, id: ServerId, sent: Millis) {
        let now = self.now;
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.last_progress_at = now;
        s.health.score *= FORGIVE;
        if s.health.on_trial && sent >= s.health.ejected_at {
            // Back: it may have restarted unseen, so it is taken for cold if it could not be reached.
            if s.health.cause == Some(FailureKind::ConnectFailed) {
                s.enter_slow_start(Some(now), now, self.random.next_unit());
            }
            s.health.on_trial = false;
            s.health.cause = None;
            s.health.ejected_until = now;
        } else if s.health.ejections > 0
            && now > s.health.ejected_until + BASE_EJECTION_TIME * f64::from(1u32 << s.health.ejections)
        {
            s.health.ejections -= 1;
        }
    }
}
