//! Request life cycle: the steps of a request from its arrival to its first token.
//!
//! The state is a [`RequestState`] in the router's map, from the arrival until the last attempt has ended.
//! This module enforces the deadline, the maximum number of attempts, and a limit of one attempt in flight.

use super::outlier_detection::BASE_EJECTION_TIME;
use super::retries::{MAX_RETRY_BUDGET, RETRIES_PER_REQUEST};
use super::timer_key::TimerKey;
use super::Router;
use crate::api::{Action, Millis, RejectReason, Request, RequestId, Role};
use crate::state::{
    sanitize, DecayingValue, Placement, PossibleExecution, RecentRequests, RequestState, SentWork, Stage,
    UnreportedStream, REQUEST_RATE_DECAY,
};
use crate::wait_estimate;

/// Delay before the next placement of a request for which no server was found (ms).
pub(super) const PLACEMENT_RETRY_INTERVAL: Millis = 20.0;
/// Maximum time by which a timer may fire early (ms). A timer that is due within this time counts as fired,
/// because otherwise its step would be lost.
const TIMER_TOLERANCE: Millis = 0.5;

/// Margin before the deadline of a request, in clock ticks. At the beginning of the margin, the attempts time
/// out, and a request without a first token is rejected or failed.
const ANSWER_MARGIN_TICKS: f64 = 2.0;
/// Minimum time-out of an attempt (ms).
const MIN_TIMEOUT: Millis = 1.0;

/// Next step of a request.
enum Step {
    /// No step, because an attempt is in flight, the request is closed, or a timer is set.
    None,
    /// An attempt is sent.
    Send(Placement),
    /// A timer is set for the next placement.
    RetryLater,
    /// The request is rejected or failed.
    Abandon(RejectReason),
}

impl Router {
    /// Processes the arrival of a request. A request of an unknown class is rejected, and a duplicate is
    /// ignored.
    pub(super) fn on_request(&mut self, mut request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        let Some(class) = self.settings.classes.get(request.class as usize).cloned() else {
            actions.push(Action::Reject { id, retry_after: 0.0, reason: RejectReason::UnknownClass });
            return;
        };
        if self.requests.contains_key(&id) {
            return;
        }
        request.sanitize();
        self.statistics.record_prompt(request.prompt_tokens);
        let now = self.now;
        let deadline = now + request.client_timeout;
        let max_budget = (MAX_RETRY_BUDGET / self.router_count()).max(1.0);
        self.retry_budget = (self.retry_budget + RETRIES_PER_REQUEST).min(max_budget);
        self.replenish_probe_budget();
        let state = RequestState {
            class,
            arrived_at: now,
            deadline,
            idle_since: now,
            recent_requests: self.count_request(&request),
            over_quota: self.tenant_quotas.record_request(request.tenant as usize, now),
            request,
            ..RequestState::default()
        };
        self.requests.insert(id, state);
        let answer_by = (deadline - self.answer_margin()).max(now);
        actions.push(TimerKey::Deadline(id).set(answer_by));
        self.advance(id, actions);
    }

    /// Returns the margin of [`ANSWER_MARGIN_TICKS`] in milliseconds.
    fn answer_margin(&self) -> Millis {
        ANSWER_MARGIN_TICKS * self.settings.tick_interval
    }

    /// Adds an arriving request, weighted by its prompt length, to the total count and to the count of its
    /// prefix or, if it has none, of its session. Returns both counts.
    fn count_request(&mut self, request: &Request) -> RecentRequests {
        let now = self.now;
        let relative_length = request.prompt_tokens / self.statistics.mean_prompt_tokens.max(1.0);
        let mut count = |key| {
            let rate = self.request_rates.get_or_insert_mut(key, || DecayingValue::zero(now));
            rate.add(relative_length, now, REQUEST_RATE_DECAY)
        };
        let total = count(None);
        let same_prefix = count(Some(request.hash_key()));
        RecentRequests { total, same_prefix }
    }

    /// Performs the next step of a request, or nothing while an attempt is in flight.
    pub(super) fn advance(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        let step = self.next_step(&mut request, actions);
        self.requests.insert(id, request);
        match step {
            Step::None => {}
            Step::Send(placement) => self.send_attempt(id, placement, actions),
            Step::RetryLater => {
                actions.push(TimerKey::NextStep(id).set(self.now + PLACEMENT_RETRY_INTERVAL));
            }
            Step::Abandon(reason) => {
                if reason == RejectReason::LoadShed {
                    let text = "late, or no decode server has room".into();
                    self.log_limiter.log("load shedding", text, self.now, actions);
                }
                self.reject_or_fail(id, reason, actions);
            }
        }
    }

    /// Determines the next step of a request, and sends the probes that are required for it.
    fn next_step(&mut self, request: &mut RequestState, actions: &mut Vec<Action>) -> Step {
        let in_progress = request.closed || request.is_streaming() || request.has_attempt_in_flight();
        let exhausted = request.attempts.len() as u32 >= self.settings.limits.max_attempts;
        let placement = if in_progress || exhausted { None } else { self.choose_placement(request, actions) };
        let shed = match placement {
            Some(placement) if request.attempts.is_empty() => self.should_shed(request, placement),
            Some(_) => false,
            None => self.now > request.arrived_at + request.first_token_objective(),
        };
        let timer_is_set = request.step_timer_due > self.now + TIMER_TOLERANCE;
        match placement {
            _ if in_progress => Step::None,
            _ if shed => Step::Abandon(RejectReason::LoadShed),
            Some(placement) => Step::Send(placement),
            None if exhausted => Step::Abandon(RejectReason::AttemptsExhausted),
            None if !self.lease_outlasts_retry(request) => Step::Abandon(RejectReason::NoServerAvailable),
            None if timer_is_set => Step::None,
            None => {
                request.step_timer_due = self.now + PLACEMENT_RETRY_INTERVAL;
                Step::RetryLater
            }
        }
    }

    /// Selects a decode server for a request whose prefill is complete, or else a prefill server.
    fn choose_placement(
        &mut self, request: &mut RequestState, actions: &mut Vec<Action>,
    ) -> Option<Placement> {
        self.release_expiring_state(request, actions);
        if request.prefilled_on.is_none() {
            return self.choose_prefill_server(request, actions);
        }
        let server = self.choose_decode_server(request, actions)?;
        Some(Placement { server, stage: Stage::Decode, cached_tokens: 0.0 })
    }

    /// Sends an attempt, and records it in the request, the server and the shedding trials.
    fn send_attempt(&mut self, id: RequestId, placement: Placement, actions: &mut Vec<Action>) {
        let Placement { server: target, stage, cached_tokens } = placement;
        let now = self.now;
        let answer_margin = self.answer_margin();
        let credit = self.servers.get(&target).map_or(0.0, |server| self.send_credit(server, now));
        let typical_work = wait_estimate::typical_work(&self.statistics);
        let (Some(request), Some(server)) = (self.requests.get_mut(&id), self.servers.get_mut(&target))
        else {
            return;
        };
        let tokens = request.prefill_work(cached_tokens);
        // At a prefill or mixed server the load depends on the number of tokens that are not cached, not on
        // the number of requests.
        let relative_work = if server.role == Role::Decode { 1.0 } else { tokens / typical_work };
        server.record_send(id, SentWork { tokens, relative_work, remaining_credit: credit - 1.0 }, now);
        if server.health.on_trial {
            // Extends the ejection, so that no other request is sent to the server during the trial.
            server.health.ejected_until = now + BASE_EJECTION_TIME;
        }
        let location = server.entry.location();
        if stage == Stage::Decode {
            let memory_share = request.memory_share(server);
            server.unreported_streams.insert(id, UnreportedStream { sent_at: now, memory_share });
            request.possible_execution.get_or_insert(PossibleExecution { location, sent_at: now });
        }
        // The attempt may run almost until the deadline of the request. With a shorter time-out, slow work
        // that makes progress would be restarted by a retry. Time-out detection handles work without
        // progress.
        let timeout = (request.deadline - now - answer_margin).max(MIN_TIMEOUT);
        request.record_send(target, stage, tokens, now);
        actions.push(Action::Send { id, server: target, timeout });
        self.shedding_trials.record_send(now);
        if stage == Stage::Prefill && self.probes_before_send() {
            self.probe_nearby_decode_servers(location, actions);
        }
    }

    /// Handles the timer for the next step of a request.
    pub(super) fn on_step_timer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.requests.get(&id).is_some_and(RequestState::awaits_first_token) {
            self.advance(id, actions);
        }
    }

    /// Handles the timer for the deadline of a request.
    pub(super) fn on_deadline(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.reject_or_fail(id, RejectReason::DeadlineExceeded, actions);
    }

    /// Handles the first token of an attempt, which counts as a success of its server.
    pub(super) fn on_first_token(&mut self, id: RequestId, attempt: u32, elapsed: Millis) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.record_first_token(attempt, self.now) else { return };
        let elapsed = sanitize(elapsed);
        let per_token = elapsed / attempt.work_tokens;
        let prefilled_in_place = request.attempts.iter().all(|a| a.stage == Stage::Decode);
        self.statistics.record_service_time(Stage::Decode, per_token);
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            let mut wait = elapsed;
            if prefilled_in_place {
                server.service_time.record(per_token);
                wait = (wait - attempt.work_tokens * server.service_time.per_token).max(0.0);
            }
            server.pending.remove(&id);
            server.record_wait(wait, attempt.sent_at, &mut self.statistics, self.now);
        }
        self.record_completion(attempt.server);
        if prefilled_in_place {
            self.record_affinity(id, attempt.server);
        }
        self.record_success(attempt.server, attempt.sent_at);
    }
}
