//! The steps of a request, from its arrival to its first token.

use super::{outlier_detection::EJECT, retries::RETRY_EARN, retries::RETRY_SAVED, Router, ASKED_MEMORY};
use crate::{api::*, state::*, wait_estimate};

/// The pause before a request that found no server looks again (ms).
pub const LOOK_AGAIN: Millis = 20.0;

impl Router {
    pub(super) fn on_request(&mut self, mut ask: Request, out: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(ask.class as usize).cloned() else {
            out.push(Action::Reject { id: ask.id, retry_after: 0.0, reason: RejectReason::UnknownClass });
            return;
        };
        if self.jobs.contains_key(&ask.id) {
            return;
        }
        ask.sanitise();
        self.learned.note_prompt(ask.prompt_tokens);
        let (id, now) = (ask.id, self.now);
        let deadline = now + ask.client_timeout;
        self.retries = (self.retries + RETRY_EARN).min((RETRY_SAVED / self.routers()).max(1.0));
        self.earn_probes();
        let asked = [None, Some(ask.beginning())].map(|key| {
            let e = self.asked.get_or_insert_mut(key, || (0.0, now));
            *e = (ask.prompt_tokens / self.learned.prompt.max(1.0) + decayed(*e, now, ASKED_MEMORY), now);
            e.0
        });
        let over_share = self.shares.over(ask.tenant as usize, now);
        let job =
            Job { ask, class, arrived: now, deadline, idle_since: now, over_share, asked, ..Job::default() };
        self.jobs.insert(id, job);
        let answer_by = (deadline - 2.0 * self.settings.tick_interval).max(self.now);
        out.push(Action::Timer { at: answer_by, key: id.0 << 1, request: Some(id) });
        self.advance(id, out);
    }

    /// Takes the next step for a request that no attempt is out for.
    pub(super) fn advance(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(mut job) = self.jobs.remove(&id) else { return };
        let done = job.closed || job.begun() || job.any_out();
        let spent = job.attempts.len() as u32 >= self.settings.limits.max_attempts;
        if !done && !spent {
            self.let_go_late(&mut job, out);
        }
        let target = if done || spent {
            None
        } else if job.state_at.is_some() {
            self.choose_writer(&job, out).map(|w| (w, Stage::Write, 0.0))
        } else {
            self.choose_reader(&mut job, out)
        };
        let shed = match target {
            Some((reader, _, kept)) if job.attempts.is_empty() => self.shed(&job, reader, kept),
            None => self.now > job.arrived + job.aim(),
            _ => false,
        };
        let may_wait = !spent && self.may_hold(&job);
        // Its timer may be a rounding early: taken for still out, the step would be lost.
        let waits = job.again > self.now + 0.5;
        if target.is_none() && !waits {
            job.again = self.now + LOOK_AGAIN;
        }
        self.jobs.insert(id, job);
        match target {
            _ if done => {}
            _ if shed => {
                self.log.say("load shedding", "late, or for no writer".into(), self.now, out);
                self.give_up(id, RejectReason::LoadShed, out);
            }
            Some(pick) => self.send(id, pick, out),
            None if may_wait && waits => {}
            None if may_wait => {
                out.push(Action::Timer { at: self.now + LOOK_AGAIN, key: id.0 << 1 | 1, request: Some(id) })
            }
            None if spent => self.give_up(id, RejectReason::AttemptsExhausted, out),
            None => self.give_up(id, RejectReason::NoServerAvailable, out),
        }
    }

    fn send(&mut self, id: RequestId, (to, stage, kept): Pick, out: &mut Vec<Action>) {
        let now = self.now;
        let credit = self.servers.get(&to).map_or(0.0, |s| self.credit(s, now));
        let usual = wait_estimate::usual_work(&self.learned);
        let (Some(job), Some(s)) = (self.jobs.get_mut(&id), self.servers.get_mut(&to)) else { return };
        let own = job.work(kept);
        // What fills a reader's memory is what it has not kept yet, so tokens count, not requests.
        let weight = if s.role == Role::Decode { 1.0 } else { own / usual };
        s.take_on(id, now, credit - 1.0, (own, weight, ASKED_MEMORY));
        if s.health.on_trial {
            // One trial at a time.
            s.health.until = now + EJECT;
        }
        if stage == Stage::Write {
            s.recent.insert(id, (now, job.share(s)));
            job.ran.get_or_insert((s.info.zone, s.info.cell, now));
        }
        // Slow work that moves is left alone: a copy would be read from the start. Silence tells the rest.
        let timeout = (job.deadline - now - 2.0 * self.settings.tick_interval).max(1.0);
        job.attempts.push(Attempt {
            server: to,
            stage,
            sent: now,
            out: true,
            work: own,
            ..Attempt::default()
        });
        out.push(Action::Send { id, server: to, timeout });
        self.trials.sent(now);
        let place = s.info.place();
        if stage == Stage::Read && self.looks() {
            self.look_ahead(place, out);
        }
    }

    pub(super) fn on_timer(&mut self, key: u64, out: &mut Vec<Action>) {
        let id = RequestId(key >> 1);
        match self.jobs.get(&id).filter(|j| j.open()) {
            None => {}
            Some(_) if key & 1 == 1 => self.advance(id, out),
            Some(_) => self.give_up(id, RejectReason::DeadlineExceeded, out),
        }
    }

    pub(super) fn on_first(&mut self, id: RequestId, attempt: u32, elapsed: Millis) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(Attempt { server, sent, work, .. }) = job.begin(attempt, self.now) else { return };
        let per_work = sane(elapsed) / work;
        let whole = job.attempts.iter().all(|a| a.stage == Stage::Write);
        self.learned.pace[Stage::Write as usize].add(per_work);
        if let Some(s) = self.servers.get_mut(&server) {
            let mut wait = sane(elapsed);
            if whole {
                s.start.add(per_work);
                wait = (wait - work * s.start.low).max(0.0);
            }
            s.waiting.remove(&id);
            s.waited(&mut self.learned, wait, sent, self.now);
        }
        self.note_success(server);
        if whole {
            self.learn(id, server);
        }
        self.success(server, sent);
    }
}
