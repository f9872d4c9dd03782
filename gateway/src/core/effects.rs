//! Execution of the effects that a request's state machine emits, one function for each effect.

use glenrail_request_lifecycle::request::{Effect, FinalResponse, Input, Stage, Status};
use glenrail_request_lifecycle::response_timing::OnPause;
use glenrail_router::{AttemptOutcome, AttemptStatus, Event, RequestId, ServerId};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tower::ServiceExt;

use super::{Core, DecisionPolicy, Upstream};
use crate::exchange::{CancelToken, Failure, ResponsePart};
use crate::invariants;
use crate::log;
use crate::upstream::{Call, CallError, ConnectionCheck, Reply};

impl<U: Upstream, R: DecisionPolicy> Core<U, R> {
    /// Executes one effect; does nothing if the request has finished.
    pub(super) fn apply_effect(&self, id: u64, effect: Effect) {
        match effect {
            Effect::StartAttempt { attempt } => self.start_attempt(id, attempt),
            Effect::CancelAttempt { attempt } => self.cancel_attempt(id, attempt),
            Effect::Release { after_interruption } => self.start_release(id, after_interruption),
            Effect::RequestSlot { server } => self.request_slot(id, ServerId(server)),
            Effect::CancelSlotRequest => self.cancel_slot_request(id),
            Effect::Respond(response) => self.respond(id, response),
            // The attempt's own task forwards the stream.
            Effect::ForwardStream { .. } => {}
            Effect::NotifyFirstToken { attempt } => self.notify_first_token(id, attempt),
            Effect::NotifyOutcome { attempt, status, closed } => {
                self.notify_outcome(id, attempt, status, closed);
            }
            Effect::NotifyClientDisconnected => self.notify_client_disconnected(id),
            Effect::NotifySlot { server, reserved } => self.notify_slot(id, ServerId(server), reserved),
            Effect::ArmTimer(timer) => self.arm_request_timer(id, timer),
            Effect::DisarmTimer(timer) => self.disarm_request_timer(id, timer),
            Effect::Finished => self.finish(id),
        }
    }

    /// Starts the task of an attempt that the state machine has permitted.
    fn start_attempt(&self, id: u64, attempt: usize) {
        let mut inner = self.inner.borrow_mut();
        let inner = &mut *inner;
        let Some(request) = inner.requests.get_mut(&id) else { return };
        let (cancel, cancelled) = oneshot::channel();
        request.calls[attempt].cancel = Some(cancel);
        invariants::check_start(&request.machine, attempt, &request.payload.request_id);
        // Connecting uses up time of the lease and of the window in which a retry is allowed, so both limit it.
        let lease_deadline = request.lease_write_deadline(inner.lease_limit);
        let write_deadline = [lease_deadline, request.retry_deadline()].into_iter().flatten().min();
        let connect_timeout =
            write_deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()));
        let connection_check =
            if lease_deadline.is_some() { ConnectionCheck::Answer } else { ConnectionCheck::None };
        // A prefill may be repeated for any class.
        let may_retry = request.is_idempotent || request.machine.attempts()[attempt].stage == Stage::Prefill;
        let on_pause = if may_retry { OnPause::Retry } else { OnPause::Wait };
        let deadline = request.calls[attempt].deadline;
        let cancel_token =
            request.response.as_ref().map_or_else(CancelToken::default, CancelToken::for_response);
        request.calls[attempt].cancel_token = cancel_token.clone();
        let call = Call::Attempt {
            server: ServerId(request.machine.attempts()[attempt].server),
            payload: request.payload.clone(),
            deadline,
            connect_timeout,
            connection_check,
            on_pause,
            cancel_token,
        };
        let core = self.clone();
        spawn_local(async move { core.run_attempt(id, attempt, call, deadline, cancelled).await });
    }

    fn cancel_attempt(&self, id: u64, attempt: usize) {
        if let Some(request) = self.inner.borrow_mut().requests.get_mut(&id) {
            request.calls[attempt].cancel = None;
        }
    }

    /// Starts a task that calls a server to reserve a slot for the request and reports the result to the
    /// state machine.
    fn request_slot(&self, id: u64, server: ServerId) {
        let mut inner = self.inner.borrow_mut();
        let Some(request) = inner.requests.get_mut(&id) else { return };
        if !request.machine.has_reservation() {
            request.unclaimed_since = Instant::now();
        }
        let call = Call::ReserveSlot { server, payload: request.payload.clone() };
        let (core, reply) = (self.clone(), self.upstream.clone().oneshot(call));
        let task = spawn_local(async move {
            let reserved = match reply.await {
                Ok(Reply::SlotReserved(reserved)) => reserved,
                // The last byte of the call was never written, so the server has reserved nothing.
                Err(CallError::ConnectFailed | CallError::NotSent) => Some(false),
                _ => None,
            };
            core.step(id, Input::SlotAnswered { reserved });
        });
        request.slot_request = Some(task.abort_handle());
    }

    fn cancel_slot_request(&self, id: u64) {
        let mut inner = self.inner.borrow_mut();
        let Some(request) = inner.requests.get_mut(&id) else { return };
        if let Some(slot_request) = request.slot_request.take() {
            slot_request.abort();
        }
    }

    /// Sends the client a final response of the gateway's own.
    fn respond(&self, id: u64, response: FinalResponse) {
        let inner = self.inner.borrow();
        let Some(request) = inner.requests.get(&id) else { return };
        if response == FinalResponse::Rejected {
            invariants::check_rejection(&request.machine, &request.payload.request_id);
        }
        let part = match response {
            FinalResponse::Rejected => ResponsePart::Rejected(request.retry_after),
            FinalResponse::Failed => ResponsePart::Failed(Failure::Upstream),
            FinalResponse::DeadlineExceeded => ResponsePart::Failed(Failure::DeadlineExceeded),
            FinalResponse::Unprocessable => ResponsePart::Failed(Failure::Unprocessable),
        };
        if let Some(client) = &request.response {
            // Nothing was forwarded before, so the channel has capacity.
            let _ = client.try_send(part);
        }
    }

    fn notify_first_token(&self, id: u64, attempt: usize) {
        let mut inner = self.inner.borrow_mut();
        let inner = &mut *inner;
        let Some(request) = inner.requests.get_mut(&id) else { return };
        let server = ServerId(request.machine.attempts()[attempt].server);
        let elapsed = request.calls[attempt].elapsed();
        request.record.first_token(attempt, inner.clock.now());
        // The stream has claimed the lease. An interrupted prefill may still leave state later; its unclaimed
        // time counts from now.
        request.unclaimed_since = Instant::now();
        let (id, attempt) = (RequestId(id), attempt as u32);
        inner.events.push_back(Event::FirstToken { id, attempt, server, elapsed });
    }

    /// Records the outcome of an attempt and reports it to the router; `closed` states that the response has ended.
    fn notify_outcome(&self, id: u64, attempt: usize, status: Status, closed: bool) {
        let mut inner = self.inner.borrow_mut();
        let inner = &mut *inner;
        let Some(request) = inner.requests.get_mut(&id) else { return };
        let state = &request.machine.attempts()[attempt];
        let call = &mut request.calls[attempt];
        let server = ServerId(state.server);
        if status == Status::Undelivered {
            let name = &request.payload.request_id;
            log!("request {name}: its delivery to server {:x} was not confirmed; cancelled", server.0);
        }
        // A delivered attempt has ended its claim on the lease, and a prefill that was written may have left
        // state. In both cases the unclaimed time starts now.
        let may_have_left_state = state.stage == Stage::Prefill && call.cancel_token.is_written();
        if state.delivered || may_have_left_state {
            request.unclaimed_since = Instant::now();
        }
        if let Some(written) = call.cancel_token.first_byte_at() {
            request.record.first_byte_written(attempt, inner.clock.at(written));
        }
        if state.unconfirmed_close {
            spawn_local(self.clone().confirm_close(id, attempt));
        }
        let outcome = AttemptOutcome {
            id: RequestId(id),
            attempt: attempt as u32,
            server,
            status: router_status(status),
            elapsed: call.elapsed(),
            status_detail: call.report.status_detail,
            closed,
            delivered: state.delivered,
            report: call.report.load.take(),
        };
        request.record.attempt_ended(&outcome, inner.clock.now());
        inner.events.push_back(Event::Outcome(outcome));
    }

    fn notify_client_disconnected(&self, id: u64) {
        let mut inner = self.inner.borrow_mut();
        if inner.requests.contains_key(&id) {
            inner.events.push_back(Event::ClientDisconnected { id: RequestId(id) });
        }
    }

    fn notify_slot(&self, id: u64, server: ServerId, reserved: bool) {
        let mut inner = self.inner.borrow_mut();
        let Some(request) = inner.requests.get(&id) else { return };
        let attempt = request.calls.len().saturating_sub(1) as u32;
        inner.events.push_back(Event::SlotReservation { id: RequestId(id), attempt, server, reserved });
    }

    /// Removes a request that has nothing in flight, and writes its access-log line unless that was written before.
    fn finish(&self, id: u64) {
        let mut inner = self.inner.borrow_mut();
        let inner = &mut *inner;
        let Some(request) = inner.requests.remove(&id) else { return };
        request.disconnect_watch.abort();
        for (_, key) in &request.timers {
            inner.timers.disarm(key);
        }
        if request.may_run_again_unnoticed() {
            request.id_hold.retain();
        }
        let name = &request.payload.request_id;
        invariants::check_end(&request.machine, name);
        if !request.is_recorded {
            request.write_record(inner.clock.now());
        }
    }
}

/// Converts the state machine's status of an attempt to the router's.
pub(super) fn router_status(status: Status) -> AttemptStatus {
    match status {
        Status::Served => AttemptStatus::Served,
        Status::Prefilled => AttemptStatus::Prefilled,
        Status::Error => AttemptStatus::Error,
        Status::Rejected => AttemptStatus::Rejected,
        Status::Timeout => AttemptStatus::Timeout,
        Status::ConnectFailed => AttemptStatus::ConnectFailed,
        Status::Reset => AttemptStatus::Reset,
        Status::MalformedResponse => AttemptStatus::MalformedResponse,
        Status::Cancelled => AttemptStatus::Cancelled,
        Status::Undelivered => AttemptStatus::Undelivered,
        Status::NotSent => AttemptStatus::NotSent,
    }
}
