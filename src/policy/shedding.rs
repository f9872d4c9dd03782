//! Load shedding: what can hardly be in time is refused at once, over-share tenants first.

use super::{silence::OVERTAKEN, Router};
use crate::{api::*, crowd, state::*};

/// Share of the aim after which a first token must be expected; for a tenant over its share, who may save up
/// at least so many requests at a router.
const LATEST: f64 = 0.7;
const LATEST_OVER_SHARE: f64 = 0.35;
pub const SHARE_SAVED: f64 = 5.0;
/// Tokens of work that every read costs beside its own (keeps short reads comparable).
const FIXED_WORK: f64 = 500.0;
/// Weight of a new wait; the times in which a server's and a role's fade (ms).
const WAIT_BLEND: f64 = 0.3;
const WAIT_FADES: Ms = 1_000.0;
const ROLE_WAIT_FADES: Ms = 4_000.0;

impl Job {
    /// Work of taking in the prompt where so much of it is kept.
    pub fn work(&self, kept: f64) -> f64 {
        (self.ask.prompt_tokens - kept).max(0.0) + FIXED_WORK
    }
}

impl Router {
    /// Whether a tenant has used up this router's part of its allowance. It may save up a second's worth, but
    /// some requests at least: one of hundreds of routers is granted less than one a second.
    pub(super) fn over_share(&mut self, tenant: u32) -> bool {
        let routers = self.routers();
        let Some(t) = self.settings.tenants.get(tenant as usize) else { return false };
        let Some((credit, at)) = self.allowance.get_mut(tenant as usize) else { return false };
        let rate = sane(t.allowance_per_s) / routers;
        let saved = *credit + rate * (self.now - *at) / 1000.0;
        (*credit, *at) = (saved.min(rate.max(SHARE_SAVED)), self.now);
        let over = *credit < 1.0;
        *credit -= f64::from(u8::from(!over));
        over
    }

    /// Whether a request that would be read there, where so much of it is kept, is refused at once.
    pub(super) fn shed(&mut self, job: &Job, reader: ServerId, kept: f64) -> bool {
        let writers = self.servers.values().filter(|s| s.role == Role::Writer && !s.health.suspect(self.now));
        let write = writers.map(|s| self.expected(s.info.server, 0.0)).fold(f64::MAX, f64::min);
        let whole = self.servers.get(&reader).is_some_and(|s| s.role != Role::Reader) || write == f64::MAX;
        let first = self.expected(reader, job.work(kept)) + if whole { 0.0 } else { write };
        let part = first / (job.aim() * if job.over_share { LATEST_OVER_SHARE } else { LATEST }).max(1.0);
        part > 1.0 && self.random.unit() < (3.0 * (part - 1.0)).min(0.95)
    }

    /// When a read of this much work would end at a reader, or a stream begin at a writer, if sent now.
    fn expected(&self, id: ServerId, work: f64) -> Ms {
        let Some(s) = self.servers.get(&id) else { return 0.0 };
        let oldest = s.waiting.values().filter(|w| w.1 < OVERTAKEN).map(|w| w.0).fold(self.now, f64::min);
        let trust = if s.waiting.is_empty() { ((s.answered - self.now) / WAIT_FADES).exp() } else { 1.0 };
        let (like, at) = self.learned.waits[s.role as usize];
        // A writer's wait fades into its role's: one of many routers meets it too seldom to have its own.
        let reader = s.role == Role::Reader;
        let like = if reader { 0.0 } else { like * ((at - self.now) / ROLE_WAIT_FADES).exp() };
        let wait = (s.wait * trust + like * (1.0 - trust)).max(self.now - oldest);
        if !reader {
            return wait;
        }
        let pace = s.pace(self.learned.pace[Stage::Read as usize], crowd::enough(self.routers()));
        let each = 0.5 * self.learned.prompt + FIXED_WORK;
        wait.max(crowd::told_wait(s, self.routers(), self.now, pace, each)) + work * pace
    }

    /// A read of this much work, sent then, has ended at a server.
    pub(super) fn has_read(&mut self, id: ServerId, work: f64, elapsed: Ms, sent: Ms) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.start.add(elapsed / work);
        let wait = (elapsed - work * s.start.low).max(0.0);
        self.waited(id, wait, sent);
        self.learned.pace[Stage::Read as usize].add(elapsed / work);
    }

    pub(super) fn waited(&mut self, id: ServerId, wait: Ms, sent: Ms) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.waiting.values_mut().filter(|w| w.0 < sent).for_each(|w| w.1 += 1);
        s.wait += WAIT_BLEND * (wait - s.wait);
        let like = &mut self.learned.waits[s.role as usize];
        *like = (like.0 + WAIT_BLEND * (wait - like.0), self.now);
    }
}
