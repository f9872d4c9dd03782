//! Load shedding: what can hardly be in time is refused at once, over-share tenants first.

use super::{silence::OVERTAKEN, Router};
use crate::{api::*, crowd, state::*};

/// Share of the aim after which a first token must be expected; for a tenant over its share.
const LATEST: f64 = 0.7;
const LATEST_OVER_SHARE: f64 = 0.35;
/// Of this router's own work that waits at a server, what a new one waits for: a server takes in several at once.
const OWN_COUNTS: f64 = 0.5;
/// Time that a token's reading takes while nothing has been read yet (ms).
const UNKNOWN_PACE: Ms = 0.06;
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
    /// Whether a request that would be read there, where so much of it is kept, is refused at once.
    pub(super) fn shed(&mut self, job: &Job, reader: ServerId, kept: f64) -> bool {
        let writers = self.servers.values().filter(|s| s.role == Role::Writer && !s.health.suspect(self.now));
        let write = writers.map(|s| self.expected(s.info.server, 0.0)).fold(f64::MAX, f64::min);
        let whole = self.servers.get(&reader).is_some_and(|s| s.role != Role::Reader) || write == f64::MAX;
        let first = self.expected(reader, job.work(kept)) + if whole { 0.0 } else { write };
        let part = first / (job.aim() * if job.over_share { LATEST_OVER_SHARE } else { LATEST }).max(1.0);
        part > 1.0 && self.random.unit() < (3.0 * (part - 1.0)).min(0.95)
    }

    /// When a read of this much work would end at a reader, or a stream begin at a writer or a mixed server, if sent now.
    pub(super) fn expected(&self, id: ServerId, work: f64) -> Ms {
        let Some(s) = self.servers.get(&id) else { return 0.0 };
        let counts = |w: &&Waiting| w.overtaken < OVERTAKEN;
        let oldest = s.waiting.values().filter(counts).map(|w| w.since).fold(self.now, f64::min);
        let trust = if s.waiting.is_empty() { ((s.answered - self.now) / WAIT_FADES).exp() } else { 1.0 };
        let (like, at) = self.learned.waits[s.role as usize];
        // A writer's wait fades into its role's: one of many routers meets it too seldom to have its own.
        let writer = s.role == Role::Writer;
        let like = if writer { like * ((at - self.now) / ROLE_WAIT_FADES).exp() } else { 0.0 };
        let wait = (s.wait * trust + like * (1.0 - trust)).max(self.now - oldest);
        if writer {
            return wait;
        }
        let pace = s.pace(self.learned.pace[Stage::Read as usize], crowd::enough(self.routers()));
        let told = crowd::told_wait(s, self.routers(), self.now, pace, self.usual_work());
        // Outcomes come too late to tell of what this router has sent there just now.
        let own: f64 = s.waiting.values().filter(counts).map(|w| w.work).sum();
        let pace = if pace > 0.0 { pace } else { UNKNOWN_PACE };
        wait.max(told).max(own * OWN_COUNTS * pace) + work * pace
    }

    pub(super) fn usual_work(&self) -> f64 {
        0.5 * self.learned.prompt + FIXED_WORK
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
        s.waiting.values_mut().filter(|w| w.since < sent).for_each(|w| w.overtaken += 1);
        s.wait += WAIT_BLEND * (wait - s.wait);
        let like = &mut self.learned.waits[s.role as usize];
        *like = (like.0 + WAIT_BLEND * (wait - like.0), self.now);
    }
}
