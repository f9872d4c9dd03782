//! Silence: servers that give no sign of life, and attempts that are lost at one that does.

use super::{probes::PROBE_AFTER, Router};
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
    pub(super) fn check_silence(&mut self, out: &mut Vec<Action>) {
        let aims = self.settings.classes.iter().map(|c| c.latency_objective.min(c.deadline / 4.0));
        let least = OF_AIM * aims.fold(f64::MAX, f64::min).min(1e6);
        let late = |s: &Server, since: Millis| {
            let alive = if self.now < s.heard + 2.0 * PROBE_AFTER { HEARD_PATIENCE } else { 1.0 };
            let quiet_for = |time: Millis| self.now > since.max(s.answered) + time;
            quiet_for(alive * least)
                && quiet_for(wait_estimate::busy(s, &self.learned, self.routers(), since))
        };
        let quiet = |s: &&Server| s.waiting.values().any(|w| late(s, w.since));
        let silent: Vec<ServerId> = self.servers.values().filter(quiet).map(|s| s.info.server).collect();
        silent.into_iter().for_each(|id| self.symptom(id, Symptom::Silence, out));
        let now = self.now;
        let few = !fleet_load::thin(self.routers());
        let answers: Vec<_> = self.servers.iter().map(|(id, s)| (*id, s.role, s.answered)).collect();
        let lost = |s: &Server, j: &Job, a: &Attempt| {
            let others = |o: &(ServerId, Role, Millis)| o.0 != a.server && o.1 == s.role && o.2 > a.sent;
            let alone = few && s.waiting.len() == 1 && a.stage == Stage::Read && answers.iter().any(others);
            let overtaken = s.waiting.get(&j.ask.id).is_none_or(|w| !w.counts());
            let part = LOST_OF_AIM * if overtaken { 1.0 } else { ALONE };
            (overtaken || alone) && now > a.sent + part * j.aim() + 2.0 * a.work * s.start.low
        };
        self.recall(lost, out);
    }

    /// Attempts taken for lost are called back at once, not at their time-outs, where another may follow: a
    /// read has no effect.
    pub(super) fn recall(&mut self, lost: impl Fn(&Server, &Job, &Attempt) -> bool, out: &mut Vec<Action>) {
        let Router { jobs, servers, settings, .. } = self;
        for job in jobs.values_mut().filter(|j| settings.limits.cancellation && j.open()) {
            let Some(a) = job.attempts.last().filter(|a| a.out) else { continue };
            let may = a.stage == Stage::Read || job.class.idempotency == Idempotency::Idempotent;
            if may && servers.get(&a.server).is_some_and(|s| lost(s, job, a)) {
                job.call_back(out);
            }
        }
    }
}
