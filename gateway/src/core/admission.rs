//! Admission of requests: assigns an id, creates the state machine and watches for the client's disconnection.

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

/// The fields of a request under admission that the router does not receive.
struct Admission {
    arrived: Instant,
    deadline: Instant,
    payload: Rc<Payload>,
    response: mpsc::Sender<ResponsePart>,
    disconnect_watch: AbortHandle,
}

impl<U: Upstream, R: DecisionPolicy> Core<U, R> {
    /// Admits a request and returns the side of the exchange on which its response arrives.
    ///
    /// Fails the request at once if another request with the same id has not finished.
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
            self.apply_effect(id, effect);
        }
        self.dispatch(Event::Request(routing));
        client
    }

    /// Starts a task that reports to the state machine when the client drops its side.
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
    /// Assigns an internal id to the request of this name; `None` while a request of the same name has not finished.
    fn register(&mut self, name: &str) -> Option<u64> {
        // Servers identify requests by name, so the calls made for a duplicate, above all its releases, would affect the
        // open request.
        if self.ids_by_name.contains_key(name) {
            return None;
        }
        // Ids are small consecutive numbers: the router shifts ids left and reserves one high timer key, so it cannot use
        // the 64-bit names of the wire.
        self.last_id += 1;
        self.ids_by_name.insert(name.to_owned(), self.last_id);
        Some(self.last_id)
    }

    /// Stores the state of a request and appends the first effects of its state machine to `effects`.
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
            record: self.create_record(routing, &payload.request_id, arrived),
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

    fn create_record(&self, routing: &RoutingRequest, name: &str, arrived: Instant) -> RecordBuilder {
        let arrived = self.clock.at(arrived);
        RecordBuilder::new(routing, name, &self.settings, arrived, self.clock.to_unix(arrived))
    }
}
