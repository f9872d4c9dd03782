//! The steps of a request, from its arrival to its first token.

use super::{
    outlier_detection::BASE_EJECTION_TIME, retries::MAX_RETRY_BUDGET, retries::RETRIES_PER_REQUEST, Router,
    REQUEST_RATE_DECAY,
};
use crate::{api::*, state::*, wait_estimate};

/// The pause before a request that found no server looks again (ms).
pub const PLACEMENT_RETRY_INTERVAL: Millis = 20.0;

impl Router {
    pub(super) fn on_request(&mut self, mut ask: Request, out: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(ask.class as usize).cloned() else {
            out.push(Action::Reject { id: ask.id, retry_after: 0.0, reason: RejectReason::UnknownClass });
            return;
        };
        if self.requests.contains_key(&ask.id) {
            return;
        }
        ask.sanitize();
        self.statistics.record_prompt(ask.prompt_tokens);
        let (id, now) = (ask.id, self.now);
        let deadline = now + ask.client_timeout;
        self.retry_budget =
            (self.retry_budget + RETRIES_PER_REQUEST).min((MAX_RETRY_BUDGET / self.router_count()).max(1.0));
        self.earn_probes();
        let asked = [None, Some(ask.affinity_key())].map(|key| {
            let e = self.request_rates.get_or_insert_mut(key, || (0.0, now));
            *e = (
                ask.prompt_tokens / self.statistics.mean_prompt_tokens.max(1.0)
                    + decayed(*e, now, REQUEST_RATE_DECAY),
                now,
            );
            e.0
        });
        let over_share = self.tenant_quotas.record_request(ask.tenant as usize, now);
        let job = RequestState {
            request: ask,
            class,
            arrived_at: now,
            deadline,
            idle_since: now,
            over_quota: over_share,
            recent_requests: asked,
            ..RequestState::default()
        };
        self.requests.insert(id, job);
        let answer_by = (deadline - 2.0 * self.settings.tick_interval).max(self.now);
        out.push(Action::Timer { at: answer_by, key: id.0 << 1, request: Some(id) });
        self.advance(id, out);
    }

    /// Takes the next step for a request that no attempt is out for.
    pub(super) fn advance(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(mut job) = self.requests.remove(&id) else { return };
        let done = job.closed || job.is_streaming() || job.has_attempt_in_flight();
        let spent = job.attempts.len() as u32 >= self.settings.limits.max_attempts;
        if !done && !spent {
            self.release_late_lease(&mut job, out);
        }
        let target = if done || spent {
            None
        } else if job.prefilled_on.is_some() {
            self.choose_decode_server(&job, out).map(|w| (w, Stage::Decode, 0.0))
        } else {
            self.choose_prefill_server(&mut job, out)
        };
        let shed = match target {
            Some((reader, _, kept)) if job.attempts.is_empty() => self.should_shed(&job, reader, kept),
            None => self.now > job.arrived_at + job.first_token_objective(),
            _ => false,
        };
        let may_wait = !spent && self.lease_outlasts_retry(&job);
        // Its timer may be a rounding early: taken for still out, the step would be lost.
        let waits = job.step_timer_due > self.now + 0.5;
        if target.is_none() && !waits {
            job.step_timer_due = self.now + PLACEMENT_RETRY_INTERVAL;
        }
        self.requests.insert(id, job);
        match target {
            _ if done => {}
            _ if shed => {
                self.log_limiter.log("load shedding", "late, or for no writer".into(), self.now, out);
                self.reject_or_fail(id, RejectReason::LoadShed, out);
            }
            Some(pick) => self.send_attempt(id, pick, out),
            None if may_wait && waits => {}
            None if may_wait => out.push(Action::Timer {
                at: self.now + PLACEMENT_RETRY_INTERVAL,
                key: id.0 << 1 | 1,
                request: Some(id),
            }),
            None if spent => self.reject_or_fail(id, RejectReason::AttemptsExhausted, out),
            None => self.reject_or_fail(id, RejectReason::NoServerAvailable, out),
        }
    }

    fn send_attempt(&mut self, id: RequestId, (to, stage, kept): Placement, out: &mut Vec<Action>) {
        let now = self.now;
        let credit = self.servers.get(&to).map_or(0.0, |s| self.send_credit(s, now));
        let usual = wait_estimate::typical_work(&self.statistics);
        let (Some(job), Some(s)) = (self.requests.get_mut(&id), self.servers.get_mut(&to)) else { return };
        let own = job.prefill_work(kept);
        // What fills a reader's memory is what it has not kept yet, so tokens count, not requests.
        let weight = if s.role == Role::Decode { 1.0 } else { own / usual };
        s.record_send(id, now, credit - 1.0, (own, weight, REQUEST_RATE_DECAY));
        if s.health.on_trial {
            // One trial at a time.
            s.health.ejected_until = now + BASE_EJECTION_TIME;
        }
        if stage == Stage::Decode {
            s.unreported_streams.insert(id, (now, job.memory_share(s)));
            job.possible_execution.get_or_insert((s.entry.zone, s.entry.cell, now));
        }
        // Slow work that moves is left alone: a copy would be read from the start. Silence tells the rest.
        let timeout = (job.deadline - now - 2.0 * self.settings.tick_interval).max(1.0);
        job.attempts.push(Attempt {
            server: to,
            stage,
            sent_at: now,
            in_flight: true,
            work: own,
            ..Attempt::default()
        });
        out.push(Action::Send { id, server: to, timeout });
        self.shedding_trials.record_send(now);
        let place = s.entry.location();
        if stage == Stage::Prefill && self.probes_before_send() {
            self.probe_nearby_decode_servers(place, out);
        }
    }

    pub(super) fn on_timer(&mut self, key: u64, out: &mut Vec<Action>) {
        let id = RequestId(key >> 1);
        match self.requests.get(&id).filter(|j| j.awaits_first_token()) {
            None => {}
            Some(_) if key & 1 == 1 => self.advance(id, out),
            Some(_) => self.reject_or_fail(id, RejectReason::DeadlineExceeded, out),
        }
    }

    pub(super) fn on_first_token(&mut self, id: RequestId, attempt: u32, elapsed: Millis) {
        let Some(job) = self.requests.get_mut(&id) else { return };
        let Some(Attempt { server, sent_at: sent, work, .. }) = job.record_first_token(attempt, self.now)
        else {
            return;
        };
        let per_work = sanitize(elapsed) / work;
        let whole = job.attempts.iter().all(|a| a.stage == Stage::Decode);
        self.statistics.service_time_by_stage[Stage::Decode as usize].record(per_work);
        if let Some(s) = self.servers.get_mut(&server) {
            let mut wait = sanitize(elapsed);
            if whole {
                s.service_time.record(per_work);
                wait = (wait - work * s.service_time.per_token).max(0.0);
            }
            s.pending.remove(&id);
            s.record_wait(&mut self.statistics, wait, sent, self.now);
        }
        self.record_completion(server);
        if whole {
            self.record_affinity(id, server);
        }
        self.record_success(server, sent);
    }
}
