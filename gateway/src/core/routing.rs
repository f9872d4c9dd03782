//! Dispatch: passes events to the router one at a time, executes its actions and feeds the requests' state machines.

use glenrail_request_lifecycle::request::{FinalResponse, Input, Stage};
use glenrail_router::{Action, Event, Millis, RejectReason, Role, ServerId, ServerState};
use tokio::task::spawn_local;
use tokio::time::Instant;
use tower::ServiceExt;

use super::clock::duration;
use super::request_record::AttemptStart;
use super::request_state::AttemptCall;
use super::timing::{ATTEMPT_TIMEOUT_SLACK, NEAR_DEADLINE_WINDOW};
use super::{Core, DecisionPolicy, Upstream};
use crate::log;
use crate::upstream::Call;

impl<U: Upstream, R: DecisionPolicy> Core<U, R> {
    /// Passes one event to the router and executes its actions, in order.
    pub(super) fn dispatch(&self, event: Event) {
        self.inner.borrow_mut().events.push_back(event);
        self.process_events();
    }

    /// Passes the queued events to the router and executes its actions, in order. Returns at once if a caller
    /// further up the stack already does so.
    pub(super) fn process_events(&self) {
        if std::mem::replace(&mut self.inner.borrow_mut().is_processing, true) {
            return;
        }
        let mut actions = Vec::new();
        while self.handle_next_event(&mut actions) {
            for action in actions.drain(..) {
                self.execute(action);
            }
        }
    }

    /// Passes the next event to the router; returns false and ends the processing if the queue is empty.
    fn handle_next_event(&self, actions: &mut Vec<Action>) -> bool {
        let mut inner = self.inner.borrow_mut();
        let Some(event) = inner.events.pop_front() else {
            inner.is_processing = false;
            #[cfg(debug_assertions)]
            inner.assert_consistent();
            return false;
        };
        let now = inner.clock.now();
        inner.router.handle(now, event, actions);
        true
    }

    /// Executes one action of the router.
    pub(super) fn execute(&self, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.send(id.0, server, timeout),
            Action::Cancel { id, attempt } => self.step(id.0, Input::Cancel { attempt: attempt as usize }),
            Action::Release { id } => self.step(id.0, Input::Release),
            Action::Reject { id, retry_after, reason } => self.reject(id.0, retry_after, reason),
            Action::Fail { id, reason } => self.fail(id.0, reason),
            Action::ReserveSlot { id, server } => self.step(id.0, Input::ReserveSlot { server: server.0 }),
            Action::Probe { server } => {
                let core = self.clone();
                spawn_local(async move { core.probe(server).await });
            }
            Action::CloseIdle { server } => {
                spawn_local(self.upstream.clone().oneshot(Call::CloseIdle { server }));
            }
            Action::Timer { at, key, request } => {
                let request = request.map(|id| id.0);
                let at = self.inner.borrow().clock.instant(at);
                self.arm_router_timer(at, key, request);
            }
            Action::Log(text) => log!("router: {text}"),
            // Not needed here: discovery always watches the server list, the routers of this gateway exchange no gossip, and
            // no deployment allows the migration of streams.
            Action::Subscribe { .. }
            | Action::FetchList
            | Action::SendGossip { .. }
            | Action::Migrate { .. } => {}
        }
    }

    fn reject(&self, id: u64, retry_after: Millis, reason: RejectReason) {
        if let Some(request) = self.inner.borrow_mut().requests.get_mut(&id) {
            request.retry_after = duration(retry_after);
            request.record.reject_reason(reason);
        }
        self.step(id, Input::Respond(FinalResponse::Rejected));
    }

    fn fail(&self, id: u64, reason: RejectReason) {
        let mut response = FinalResponse::Failed;
        if let Some(request) = self.inner.borrow_mut().requests.get_mut(&id) {
            if Instant::now() + NEAR_DEADLINE_WINDOW >= request.deadline {
                response = FinalResponse::DeadlineExceeded;
            }
            request.record.reject_reason(reason);
        }
        self.step(id, Input::Respond(response));
    }

    /// Registers a further attempt and passes it to the state machine. `timeout` is in milliseconds; 0 means the request's
    /// deadline.
    fn send(&self, id: u64, server: ServerId, timeout: Millis) {
        let input = {
            let mut inner = self.inner.borrow_mut();
            let inner = &mut *inner;
            let listed = inner.servers.get(&server).copied();
            let Some(request) = inner.requests.get_mut(&id) else { return };
            let now = Instant::now();
            let deadline = match timeout > 0.0 {
                true => request.deadline.min(now + duration(timeout) + ATTEMPT_TIMEOUT_SLACK),
                false => request.deadline,
            };
            request.calls.push(AttemptCall::new(now, deadline));
            let is_prefill = listed.is_some_and(|listed| listed.role == Role::Prefill);
            let stage = if is_prefill { Stage::Prefill } else { Stage::Execute };
            let sent = inner.clock.at(now);
            let slow_start_window = inner.settings.rules.slow_start_window;
            let started = listed.and_then(|listed| listed.started);
            request.record.attempt_started(AttemptStart {
                server: server.0,
                stage,
                location: listed.map(|listed| listed.location),
                is_slow_start: started.is_some_and(|started| sent < started + slow_start_window),
                at: sent,
            });
            let is_ready = listed.is_some_and(|listed| listed.state == ServerState::Ready);
            Input::Send { server: server.0, stage, permitted: is_ready && deadline > now }
        };
        self.step(id, input);
    }

    /// Feeds one input to a request's state machine, executes its effects and passes the resulting events to
    /// the router. An input that is not valid in the current state is only logged.
    pub(super) fn step(&self, id: u64, input: Input) {
        let mut effects = Vec::new();
        {
            let mut inner = self.inner.borrow_mut();
            // The request may have finished already.
            let Some(request) = inner.requests.get_mut(&id) else { return };
            if let Err(invalid) = request.machine.step(input, &mut effects) {
                return log!("{invalid}");
            }
        }
        for effect in effects {
            self.apply_effect(id, effect);
        }
        self.close_if_answered(id);
        self.process_events();
    }

    /// Closes the channel to the client once the response has ended, and writes the access-log line once it is complete.
    fn close_if_answered(&self, id: u64) {
        let mut inner = self.inner.borrow_mut();
        let now = inner.clock.now();
        let Some(request) = inner.requests.get_mut(&id) else { return };
        if request.machine.is_closed() {
            request.record.client_answered(now);
            // The response is complete, so a later disconnection of the client has no effect.
            request.response = None;
            request.disconnect_watch.abort();
            // Releases need only the request id. The rest may be large, and a server may take long to notice an interruption.
            request.discard_content();
        }
        // Outstanding close confirmations may take long and add nothing to the line.
        if !request.is_recorded && request.machine.only_awaits_close_confirmations() {
            request.is_recorded = true;
            request.write_record(now);
        }
    }
}
