//! Admission of requests: a request gets an id, a state machine and a watch for its client's disconnection.

use std::rc::Rc;
use std::time::Duration;

use glenrail_request_lifecycle::request::{Effect, Input, Request as Machine, RequestPolicy, RetrySafety};
use glenrail_router::{Event, Idempotency, Request as RoutingRequest, RequestId};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::Instant;

use super::clock::{duration, millis};
use super::request_record::RecordBuilder;
use super::request_state::RequestState;
use super::{Core, DecisionPolicy, Inner, Upstream};
use crate::exchange::{self, ClientSide, Failure, Payload, ResponsePart, ServerSide};

/// A request that is being admitted, besides what the router is given of it.
struct Admission {
    arrived: Instant,
    deadline: Instant,
    payload: Rc<Payload>,
    response: mpsc::Sender<ResponsePart>,
    disconnect_watch: AbortHandle,
}

impl<U: Upstream, R: DecisionPolicy> Core<U, R> {
    /// Admits a request; its answer comes through the exchange.
    ///
    /// A request whose name belongs to one that has not finished fails at once.
    pub fn submit(&self, request: exchange::Request) -> ClientSide {
        let (client, ServerSide { request, parts }) = exchange::exchange_pair(request);
        let exchange::Request { mut routing, arrived, payload } = request;
        let Some(id) = self.inner.borrow_mut().register(&payload.request_id) else {
            return ClientSide::failed(Failure::DuplicateRequestId);
        };
        let deadline = arrived + duration(routing.client_timeout);
        routing.id = RequestId(id);
        routing.client_timeout = millis(deadline.saturating_duration_since(Instant::now()));
        let disconnect_watch = self.watch_disconnect(id, parts.clone());
        let admission = Admission { arrived, deadline, payload, response: parts, disconnect_watch };
        let mut effects = Vec::new();
        self.inner.borrow_mut().admit(&routing, admission, &mut effects);
        for effect in effects {
            self.carry_out(id, effect);
        }
        self.dispatch(Event::Request(routing));
        client
    }

    /// Reports to the machine that the client has dropped its side.
    fn watch_disconnect(&self, id: u64, response: mpsc::Sender<ResponsePart>) -> AbortHandle {
        let core = self.clone();
        let watch = spawn_local(async move {
            response.closed().await;
            core.step(id, Input::ClientDisconnected);
        });
        watch.abort_handle()
    }
}

impl<R> Inner<R> {
    /// An id for the request of this name; `None` while a request of the same name has not finished.
    fn register(&mut self, name: &str) -> Option<u64> {
        // Guards an open request from a copy: servers know both by one name, so whatever is done for the copy, its
        // releases above all, would hit the first.
        if self.ids_by_name.contains_key(name) {
            return None;
        }
        // Small numbers in sequence: the router shifts ids left and reserves one high timer key for itself, so the
        // wire's 64-bit names must not reach it.
        self.last_id += 1;
        self.ids_by_name.insert(name.to_owned(), self.last_id);
        Some(self.last_id)
    }

    /// Adds the state of a request; its machine's first effects are appended to `effects`.
    fn admit(&mut self, routing: &RoutingRequest, admission: Admission, effects: &mut Vec<Effect>) {
        let Admission { arrived, deadline, payload, response, disconnect_watch } = admission;
        let class = self.settings.classes.get(routing.class as usize);
        let idempotency = class.map_or(Idempotency::NonIdempotent, |class| class.idempotency);
        let retry_safety = match idempotency {
            Idempotency::NonIdempotent => RetrySafety::AtMostOnce,
            _ => RetrySafety::Idempotent,
        };
        let idempotency_window = class
            .filter(|_| idempotency == Idempotency::IdempotencyKey)
            .map(|class| duration(class.idempotency_window));
        let state = RequestState {
            record: self.begin_record(routing, &payload.request_id, arrived),
            machine: Machine::new(RequestPolicy { retry_safety, ..self.request_policy }, effects),
            payload,
            response: Some(response),
            disconnect_watch,
            deadline,
            calls: Vec::new(),
            unclaimed_since: arrived,
            slot_request: None,
            retry_after: Duration::ZERO,
            idempotency_window,
            is_idempotent: idempotency == Idempotency::Idempotent,
            timers: Vec::new(),
            is_recorded: false,
        };
        self.requests.insert(routing.id.0, state);
    }

    fn begin_record(&self, routing: &RoutingRequest, name: &str, arrived: Instant) -> RecordBuilder {
        let arrived = self.clock.at(arrived);
        RecordBuilder::new(routing, name, &self.settings, arrived, self.clock.unix(arrived))
    }
}
