//! Silence: servers that give no sign of life, and attempts that are lost at one that does.

use super::{probes::PROBE_INTERVAL, Router};
use crate::{api::*, fleet_load, state::*, wait_estimate};

/// An attempt's server must show a sign of life in so many aims, or quarters of a deadline if those are less.
const OF_AIM: f64 = 3.0;
/// A server whose reports or probe answers still come is given this many times as long.
const HEARD_PATIENCE: f64 = 2.5;
/// Lost: an attempt that later ones at its server have overtaken, or whose server has started anew, after
/// this share of the aim and twice its own work.
const LOST_OF_AIM: f64 = 0.3;
/// Lost too: a read that is alone there for so much longer, as the others have been sent elsewhere meanwhile.
const ALONE: f64 = 2.0;

impl Router {
    /// Silence: work waits at a server that gave no sign for far longer than such work takes: it is dead, cut
    /// off or stuck. Should also cover hung processes. Harm: a pause as long as that counts too.
    pub(super) fn detect_timeouts(&mut self, out: &mut Vec<Action>) {
        let aims = self.settings.classes.iter().map(|c| c.latency_objective.min(c.deadline / 4.0));
        let least = OF_AIM * aims.fold(f64::MAX, f64::min).min(1e6);
        let late = |s: &ServerRecord, since: Millis| {
            let alive = if self.now < s.last_heard_at + 2.0 * PROBE_INTERVAL { HEARD_PATIENCE } else { 1.0 };
            let quiet_for = |time: Millis| self.now > since.max(s.last_progress_at) + time;
            quiet_for(alive * least)
                && quiet_for(wait_estimate::max_busy_time(s, &self.statistics, self.router_count(), since))
        };
        let quiet = |s: &&ServerRecord| s.pending.values().any(|w| late(s, w.sent_at));
        let silent: Vec<ServerId> = self.servers.values().filter(quiet).map(|s| s.entry.server).collect();
        silent.into_iter().for_each(|id| self.record_failure(id, FailureKind::Unresponsive, out));
        let now = self.now;
        let few = !fleet_load::is_large_fleet(self.router_count());
        let answers: Vec<_> = self.servers.iter().map(|(id, s)| (*id, s.role, s.last_progress_at)).collect();
        let lost = |s: &ServerRecord, j: &RequestState, a: &Attempt| {
            let others = |o: &(ServerId, Role, Millis)| o.0 != a.server && o.1 == s.role && o.2 > a.sent_at;
            let alone =
                few && s.pending.len() == 1 && a.stage == Stage::Prefill && answers.iter().any(others);
            let overtaken = s.pending.get(&j.request.id).is_none_or(|w| !w.reflects_queue());
            let part = LOST_OF_AIM * if overtaken { 1.0 } else { ALONE };
            (overtaken || alone)
                && now
                    > a.sent_at + part * j.first_token_objective() + 2.0 * a.work * s.service_time.per_token
        };
        self.cancel_lost_attempts(lost, out);
    }

    /// Attempts taken for lost are called back at once, not at their time-outs, where another may follow: a
    /// read has no effect.
    pub(super) fn cancel_lost_attempts(
        &mut self, lost: impl Fn(&ServerRecord, &RequestState, &Attempt) -> bool, out: &mut Vec<Action>,
    ) {
        let Router { requests: jobs, servers, settings, .. } = self;
        for job in jobs.values_mut().filter(|j| settings.limits.cancellation && j.awaits_first_token()) {
            let Some(a) = job.attempts.last().filter(|a| a.in_flight) else { continue };
            let may = a.stage == Stage::Prefill || job.class.idempotency == Idempotency::Idempotent;
            if may && servers.get(&a.server).is_some_and(|s| lost(s, job, a)) {
                job.cancel_attempts(out);
            }
        }
    }
}
