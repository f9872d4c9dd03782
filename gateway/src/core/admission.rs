//! Admission of requests: claims the request's id, creates the state machine and watches for the client's disconnection.

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
use crate::log;
use crate::request_ids::{Claim, ClaimError, PendingClaim, RequestIdHold};

/// `Retry-After` of a request whose id the other process of an upgrade has not granted in time.
const UNDECIDED_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The fields of a request under admission that the router does not receive.
struct Admission {
    arrived: Instant,
    deadline: Instant,
    payload: Rc<Payload>,
    response: mpsc::Sender<ResponsePart>,
    disconnect_watch: AbortHandle,
    id_hold: RequestIdHold,
}

impl<U: Upstream, R: DecisionPolicy> Core<U, R> {
    /// Admits a request and returns the side of the exchange on which its response arrives.
    ///
    /// Fails the request if another request with the same id has not finished. During an upgrade the other process may
    /// decide that; the request is rejected if it does not decide in time.
    pub fn submit(&self, request: exchange::Request) -> ClientSide {
        let (client, server_side) = exchange::exchange_pair(request);
        // Servers identify requests by their ids, so the calls made for a duplicate, above all its releases, would affect the
        // open request.
        let claim = self.inner.borrow().request_ids.claim(&server_side.request.payload.request_id);
        match claim {
            Claim::Granted(hold) => self.admit(server_side, hold),
            Claim::InUse => return ClientSide::failed(Failure::DuplicateRequestId),
            Claim::Pending(claim) => {
                let core = self.clone();
                spawn_local(async move { core.admit_when_granted(server_side, claim).await });
            }
        }
        client
    }

    /// Waits for the decision about the request's id, unless the client disconnects.
    async fn admit_when_granted(&self, server_side: ServerSide, claim: PendingClaim) {
        let decision = tokio::select! {
            biased;
            () = server_side.parts.closed() => return,
            decision = claim.decided() => decision,
        };
        let response = match decision {
            Ok(hold) => return self.admit(server_side, hold),
            Err(ClaimError::InUse) => ResponsePart::Failed(Failure::DuplicateRequestId),
            Err(error @ ClaimError::Undecided) => {
                log!("request {}: rejected: {error}", server_side.request.payload.request_id);
                ResponsePart::Rejected(UNDECIDED_RETRY_AFTER)
            }
        };
        // Nothing was sent before, so the channel has capacity.
        let _ = server_side.parts.try_send(response);
    }

    fn admit(&self, server_side: ServerSide, id_hold: RequestIdHold) {
        let ServerSide { request, parts } = server_side;
        let exchange::Request { mut routing, arrived, payload } = request;
        let id = self.inner.borrow_mut().next_id();
        let deadline = arrived + duration(routing.client_timeout);
        routing.id = RequestId(id);
        routing.client_timeout = millis(deadline.saturating_duration_since(Instant::now()));
        let disconnect_watch = self.watch_disconnect(id, parts.clone());
        let admission = Admission { arrived, deadline, payload, response: parts, disconnect_watch, id_hold };
        let mut effects = Vec::new();
        self.inner.borrow_mut().admit(&routing, admission, &mut effects);
        for effect in effects {
            self.apply_effect(id, effect);
        }
        self.dispatch(Event::Request(routing));
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
    /// Returns the internal id of a new request. Internal ids are small consecutive numbers: the router shifts ids left and
    /// reserves one high timer key, so it cannot use the 64-bit ids of the wire.
    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Stores the state of a request and appends the first effects of its state machine to `effects`.
    fn admit(&mut self, routing: &RoutingRequest, admission: Admission, effects: &mut Vec<Effect>) {
        let Admission { arrived, deadline, payload, response, disconnect_watch, id_hold } = admission;
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
            id_hold,
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
