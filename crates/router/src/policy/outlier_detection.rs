//! Outlier ejection and the panic threshold: who may get work.

use super::{Router, TICK};
use crate::{api::*, state::*};

/// A first ejection lasts this long (ms), each further one twice as long, up to so many doublings.
pub const EJECT: Millis = 500.0;
const DOUBLINGS: u32 = 4;
/// Weights of a broken connection and a spoilt answer (the others eject alone); what success leaves.
const RESET_WEIGHT: f64 = 0.6;
const SPOILT_WEIGHT: f64 = 0.2;
const FORGIVE: f64 = 0.8;
/// When less than this share of a role looks well, soft symptoms are not believed.
const PANIC_SHARE: f64 = 0.5;

impl Router {
    /// Servers of these roles that may get work now: ready, not suspect, and not too cold.
    pub(super) fn usable(
        &mut self, roles: &[Role], job: &Job, stage: Stage, out: &mut Vec<Action>,
    ) -> Vec<ServerId> {
        let now = self.now;
        let may = |s: &&Server| s.info.state == ServerState::Ready && job.may_send(&s.info, now);
        let ready: Vec<&Server> =
            self.servers.values().filter(|s| roles.contains(&s.role)).filter(may).collect();
        let mut good: Vec<&Server> = ready.iter().copied().filter(|s| !s.health.suspect(now)).collect();
        if (good.len() as f64) < PANIC_SHARE * ready.len() as f64 {
            // Panic threshold: most of a role looks bad, so the cause is not the server.
            good = ready.iter().copied().filter(|s| !s.health.unreachable()).collect();
            if good.is_empty() {
                good.clone_from(&ready);
            }
            self.log.say("panic threshold", format!("using {} of {}", good.len(), ready.len()), now, out);
        }
        // A reader that is cold is looked at first.
        let later = stage == Stage::Read && self.looks();
        good.retain(|s| later || self.trust(s, 0.0, now).may_get(s, now));
        let good: Vec<ServerId> = good.iter().map(|s| s.info.server).collect();
        let fresh: Vec<ServerId> = good.iter().copied().filter(|id| !job.tried(*id, stage)).collect();
        // All tried already: not again at once, or a refused connection burns every attempt in a moment.
        match fresh.is_empty() && now >= job.idle_since + TICK {
            true => good,
            false => fresh,
        }
    }

    /// Feeds the health judgement and the paces from one outcome; `work`: of an attempt to read.
    pub(super) fn judge(
        &mut self, o: &AttemptOutcome, stage: Stage, sent: Millis, work: f64, out: &mut Vec<Action>,
    ) {
        if let Some(what) = Symptom::of(o.status) {
            return self.symptom(o.server, what, out);
        }
        match o.status {
            AttemptStatus::Served | AttemptStatus::Prefilled => {
                self.success(o.server, sent);
                let server = self.servers.get_mut(&o.server).filter(|_| stage == Stage::Read);
                if let Some(s) = server {
                    s.has_read(&mut self.learned, work, sane(o.elapsed), sent, self.now);
                }
            }
            AttemptStatus::Rejected if o.note < 1.0 => {
                // Turned away: full, whatever the last report said, until a fresh one.
                if let Some(s) = self.servers.get_mut(&o.server) {
                    s.memory = Some(s.memory.unwrap_or(0.0).max(1.0));
                    s.memory_seen = self.now;
                }
            }
            _ => {}
        }
    }

    /// One judgement for every kind of symptom: enough of them eject a server for a while, ever longer.
    /// Harm: a server that is merely busy is skipped; the panic threshold bounds that.
    pub(super) fn symptom(&mut self, id: ServerId, what: Symptom, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(s) = self.servers.get_mut(&id) else { return };
        let weights = [(Symptom::Reset, RESET_WEIGHT), (Symptom::Spoilt, SPOILT_WEIGHT)];
        s.health.score += weights.iter().find(|w| w.0 == what).map_or(1.0, |w| w.1);
        let trial = s.health.on_trial && what != Symptom::Spoilt;
        let spared = if trial { now < s.health.until } else { s.health.score < 1.0 };
        if spared {
            return;
        }
        let doublings = s.health.strikes.min(DOUBLINGS);
        s.health = Health {
            score: 0.0,
            strikes: doublings + 1,
            until: now + EJECT * f64::from(1u32 << doublings),
            ejected_at: now,
            on_trial: true,
            cause: Some(what),
        };
        s.unlearn();
        let unreachable = s.health.unreachable();
        self.log.say("ejection", format!("server {:x}, {what:?}", id.0), now, out);
        if unreachable {
            self.recall(|_, _, a| a.server == id, out);
        }
    }

    pub(super) fn success(&mut self, id: ServerId, sent: Millis) {
        let now = self.now;
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.answered = now;
        s.health.score *= FORGIVE;
        if s.health.on_trial && sent >= s.health.ejected_at {
            // Back: it may have restarted unseen, so it is taken for cold if it could not be reached.
            if s.health.cause == Some(Symptom::NoConnection) {
                s.cool(Some(now), now, self.random.unit());
            }
            s.health.on_trial = false;
            s.health.cause = None;
            s.health.until = now;
        } else if s.health.strikes > 0 && now > s.health.until + EJECT * f64::from(1u32 << s.health.strikes) {
            s.health.strikes -= 1;
        }
    }
}
