//! What is known of a server.

use std::collections::BTreeMap;

use super::{decayed, sane, Learned, Pace, Stage, Symptom};
use crate::api::*;

#[derive(Default)]
pub struct Health {
    pub score: f64,
    pub strikes: u32,
    /// Ejected until then; afterwards on trial until an attempt sent since has succeeded.
    pub until: Millis,
    pub ejected_at: Millis,
    pub on_trial: bool,
    /// The symptom that ejected it.
    pub cause: Option<Symptom>,
}

impl Health {
    /// Ejected at this time.
    pub fn suspect(&self, now: Millis) -> bool {
        self.on_trial && now < self.until
    }
    /// It could not be reached, which the panic threshold does not forgive.
    pub fn unreachable(&self) -> bool {
        matches!(self.cause, Some(Symptom::Silence | Symptom::NoConnection))
    }
}

/// An attempt that waits for its read to end or its stream to begin: since when, how many that were sent later have moved
/// on, and its work in tokens.
pub struct Waiting {
    pub since: Millis,
    pub overtaken: u32,
    pub work: f64,
}

/// So many attempts that were sent later and have moved on say that one is lost: its wait tells nothing of the queue.
const OVERTAKEN: u32 = 3;
/// Weight of a new wait.
const WAIT_BLEND: f64 = 0.3;

impl Waiting {
    /// Whether its wait tells of its server.
    pub fn counts(&self) -> bool {
        self.overtaken < OVERTAKEN
    }
}

#[derive(Default)]
pub struct Server {
    pub info: ServerEntry,
    pub role: Role,
    pub memory_tokens: f64,
    /// Attempts out, and those of them that wait.
    pub out: u32,
    pub waiting: BTreeMap<RequestId, Waiting>,
    pub memory: Option<f64>,
    pub memory_seen: Millis,
    /// Own streams that the last report cannot know of: when sent, share of memory.
    pub recent: BTreeMap<RequestId, (Millis, f64)>,
    /// Time to the end of a read or to the first token, by work; and what of it was waiting.
    pub start: Pace,
    pub wait: Millis,
    pub health: Health,
    pub cold_since: Option<Millis>,
    pub sends: (f64, Millis),
    pub credit: f64,
    pub credit_at: Millis,
    /// Last sign of life of any kind, and last time that an attempt moved on there.
    pub heard: Millis,
    pub probed: Millis,
    /// Requests in flight there as it last said, and when; what this router sent there since counts on top.
    pub seen: Option<(f64, Millis)>,
    pub sent_since: f64,
    pub answered: Millis,
}

impl Server {
    /// Listed as ready, and not ejected.
    pub fn well(&self, now: Millis) -> bool {
        self.info.state == ServerState::Ready && !self.health.suspect(now)
    }
    /// Listed as ready, and not ejected as unreachable.
    pub fn reachable(&self, now: Millis) -> bool {
        self.info.state == ServerState::Ready && !(self.health.suspect(now) && self.health.unreachable())
    }
    /// What a report of its memory is still worth, from 1 (just now) to 0 (none yet), fading in that time.
    pub fn trust(&self, now: Millis, fades: Millis) -> f64 {
        self.memory.map_or(0.0, |_| ((self.memory_seen - now) / fades).exp())
    }
    /// Requests in flight there: what it said within this time, and what this router has sent there since.
    pub fn load(&self, now: Millis, within: Millis) -> Option<f64> {
        let (load, _) = self.seen.filter(|(_, at)| now <= at + within)?;
        Some(load + self.sent_since)
    }
    /// The time that a unit of work takes here. Of few samples all may have waited in a queue, which is no reason to
    /// refuse what an idle server could read: until there are enough its role's speak, and before those nobody.
    pub fn pace(&self, role: Pace, enough: u32) -> f64 {
        let known = [self.start, role].into_iter().find(|p| p.samples >= enough);
        known.map_or(0.0, |p| p.low)
    }
    /// An attempt of this request goes out to it, which leaves it this much of its credit. `work` in tokens, `weight` in
    /// usual requests; `fades` (ms): the memory of its sends.
    pub fn take_on(
        &mut self, id: RequestId, now: Millis, credit: f64, (work, weight, fades): (f64, f64, Millis),
    ) {
        self.out += 1;
        self.sent_since += 1.0;
        self.sends = (weight + decayed(self.sends, now, fades), now);
        self.waiting.insert(id, Waiting { since: now, overtaken: 0, work });
        (self.credit, self.credit_at) = (credit, now);
    }
    /// An attempt of this request has come to its end.
    pub fn let_go(&mut self, id: RequestId) {
        self.out = self.out.saturating_sub(1);
        self.waiting.remove(&id);
        self.recent.remove(&id);
    }
    /// A read of this much work, sent then, has ended here.
    pub fn has_read(&mut self, learned: &mut Learned, work: f64, elapsed: Millis, sent: Millis, now: Millis) {
        self.start.add(elapsed / work);
        self.waited(learned, (elapsed - work * self.start.low).max(0.0), sent, now);
        learned.pace[Stage::Read as usize].add(elapsed / work);
    }
    /// An attempt that was sent then has met this wait here.
    pub fn waited(&mut self, learned: &mut Learned, wait: Millis, sent: Millis, now: Millis) {
        self.waiting.values_mut().filter(|w| w.since < sent).for_each(|w| w.overtaken += 1);
        self.wait += WAIT_BLEND * (wait - self.wait);
        let like = &mut learned.waits[self.role as usize];
        *like = (like.0 + WAIT_BLEND * (wait - like.0), now);
    }
    /// Takes in what it says of itself; `prompt`: mean tokens of a prompt.
    pub fn hear(&mut self, report: LoadReport, prompt: f64, now: Millis) {
        self.heard = now;
        if let Some(load) = report.in_flight {
            (self.seen, self.sent_since) = (Some((sane(load), now)), 0.0);
        }
        // What waits for memory counts as if it held it: a full writer's share alone stops at the top.
        let waits =
            report.backlog_kilotokens.map(|k| sane(k) * 1000.0).or(report.queue.map(|q| sane(q) * prompt));
        let Some(memory) = report.memory_share.map(|m| sane(m) + waits.unwrap_or(0.0) / self.memory_tokens)
        else {
            return;
        };
        if self.memory != Some(memory) {
            // A fresh figure: it knows of what was sent before the last sight of the old one.
            let known = self.memory_seen;
            self.recent.retain(|_, r| r.0 >= known);
            self.memory = Some(memory);
        }
        self.memory_seen = now;
    }
    /// Forgets what was measured of its speed.
    pub fn unlearn(&mut self) {
        (self.start, self.wait) = (Pace::default(), 0.0);
    }
    /// A new process runs there: cold, empty, and not to blame for what the old one did.
    pub fn renew(&mut self, since: Option<Millis>, now: Millis, credit: f64) {
        (self.health, self.memory, self.sends) = (Health::default(), None, (0.0, now));
        self.seen = None;
        self.recent.clear();
        self.waiting.clear();
        self.unlearn();
        self.cool(since, now, credit);
    }
    /// A new process seems to run there: cold from this time on, with this part of a send earned.
    pub fn cool(&mut self, since: Option<Millis>, now: Millis, credit: f64) {
        (self.cold_since, self.credit, self.credit_at) = (since, credit, now);
    }
}
