//! The core: drives one [`Router`], and a [`lifecycle`](glenrail_request_lifecycle) state machine for each
//! request, independent of any wire format.
//!
//! [`Core`] owns the state of all requests, the timers and the queue of events for the router; it runs on one
//! thread and on tokio's clock. Events go through a queue, so that executing an action never re-enters the
//! router. The state machine of a request decides what the request may do at each point: the core starts
//! calls, feeds their results to the machine and executes its effects.

#![deny(missing_docs)]

mod admission;
mod attempt;
mod clock;
mod close_confirmation;
#[cfg(debug_assertions)]
mod consistency;
mod delivery;
mod effects;
mod forwarding;
mod probe;
mod release;
mod request_record;
mod request_state;
mod reset_inquiry;
mod routing;
mod timer_loop;
mod timers;
mod timing;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::convert::Infallible;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use glenrail_request_lifecycle::request::{FinalResponse, Input, RequestPolicy, ResponseState, RetrySafety};
use glenrail_router::{
    Action, Event, ListUpdate, Millis, RequestId, Role, Router, ServerEntry, ServerId, ServerState, Settings,
};
use tokio::task::AbortHandle;
use tower::Service;

use crate::exchange::{self, ClientSide};
use crate::request_ids::RequestIds;
use crate::upstream::{Call, CallError, Reply};

pub use clock::{duration, millis, Clock};
pub use forwarding::resume_stream;
use request_state::RequestState;
use timers::Timers;

/// The service through which the core calls servers.
pub trait Upstream:
    Service<Call, Response = Reply, Error = CallError, Future: 'static> + Clone + 'static
{
}
impl<U: Service<Call, Response = Reply, Error = CallError, Future: 'static> + Clone + 'static> Upstream
    for U
{
}

/// The decision logic of a core: the router, or a test's replacement for it.
pub trait DecisionPolicy: 'static {
    /// Handles one event at `now` and appends the resulting actions in the order of their execution.
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>);
}

impl DecisionPolicy for Router {
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        Router::handle(self, now, event, actions);
    }
}

/// The entry of a server in the server list.
#[derive(Clone, Copy)]
struct ListedServer {
    role: Role,
    state: ServerState,
    /// The server's zone and its cell in that zone.
    location: (u32, u32),
    started: Option<Millis>,
}

struct Inner<R> {
    router: R,
    clock: Clock,
    settings: Settings,
    /// The deployment's policy for every request; a class may restrict it further.
    request_policy: RequestPolicy,
    lease_limit: Duration,
    /// The role of each server kind, indexed by the kind's number.
    roles: Vec<Role>,
    servers: BTreeMap<ServerId, ListedServer>,
    /// Events that the router has not handled yet.
    events: VecDeque<Event>,
    /// Whether a caller further up the stack is handling the events.
    is_processing: bool,
    requests: HashMap<u64, RequestState>,
    /// The request ids in use, which the pools of a process share.
    request_ids: RequestIds,
    last_id: u64,
    timers: Timers,
    /// The task that waits for the timers; `None` until the first timer is armed.
    timer_task: Option<AbortHandle>,
}

impl<R> Drop for Inner<R> {
    fn drop(&mut self) {
        if let Some(timer_task) = &self.timer_task {
            timer_task.abort();
        }
    }
}

/// Numbers of objects that a core stores, used to verify that finished requests leave nothing behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// Requests that have not finished.
    pub requests: usize,
    /// Request ids that are in use and cannot be used by a new request; those of the whole process if they are shared.
    pub request_ids: usize,
    /// Armed timers, including the router's.
    pub timers: usize,
    /// Requests whose access-log line has not been written.
    pub unrecorded: usize,
}

/// Drives one router and the requests that it decides on. Clones share the same state.
pub struct Core<U, R = Router> {
    inner: Rc<RefCell<Inner<R>>>,
    upstream: U,
}

impl<U: Clone, R> Clone for Core<U, R> {
    fn clone(&self) -> Self {
        Core { inner: self.inner.clone(), upstream: self.upstream.clone() }
    }
}

impl<U: Upstream> Core<U> {
    /// Creates a core with its own router; `seed` initializes the router's random numbers.
    pub fn new(seed: u64, settings: Settings, clock: Clock, upstream: U) -> Self {
        Core::with_policy(Router::new(seed, settings.clone()), settings, clock, upstream)
    }

    /// Serializes the router's learned state for the successor process.
    pub fn export_state(&self) -> Vec<u8> {
        self.inner.borrow().router.export_state()
    }

    /// Loads the state that the predecessor process's router had learned.
    pub fn import_state(&self, learned: &[u8]) {
        self.inner.borrow_mut().router.import_state(learned);
    }

    /// Number of listed servers that receive no new requests at present, because they are ejected or
    /// draining.
    pub fn avoided_servers(&self) -> usize {
        let inner = self.inner.borrow();
        inner.servers.keys().filter(|id| inner.router.is_out_of_rotation(**id)).count()
    }
}

impl<U: Upstream, R: DecisionPolicy> Core<U, R> {
    /// Creates a core that uses this decision policy.
    pub fn with_policy(router: R, settings: Settings, clock: Clock, upstream: U) -> Self {
        let max_attempts = settings.limits.max_attempts.max(1) as usize;
        let inner = Inner {
            clock,
            request_policy: RequestPolicy {
                retry_safety: RetrySafety::Idempotent,
                max_attempts,
                cancellation: settings.limits.cancellation,
            },
            lease_limit: duration(settings.rules.lease_limit),
            roles: settings.kinds.iter().map(|kind| kind.role).collect(),
            router,
            settings,
            servers: BTreeMap::new(),
            events: VecDeque::new(),
            is_processing: false,
            requests: HashMap::new(),
            request_ids: RequestIds::default(),
            last_id: 0,
            timers: Timers::default(),
            timer_task: None,
        };
        Core { inner: Rc::new(RefCell::new(inner)), upstream }
    }

    /// Uses the ids of the process from the next request on, in place of ids of the core's own.
    pub fn share_request_ids(&self, ids: RequestIds) {
        self.inner.borrow_mut().request_ids = ids;
    }

    /// Applies a full server list, or changes to the current one.
    pub fn update_servers(&self, update: ListUpdate, servers: Vec<ServerEntry>) {
        self.inner.borrow_mut().update_servers(update, &servers);
        self.dispatch(Event::ServerList { update, servers });
    }

    /// Whether the ready servers can serve a request: at least one mixed server, or one server for each stage.
    pub fn can_serve(&self) -> bool {
        let inner = self.inner.borrow();
        let has_ready = |role| {
            inner.servers.values().any(|server| server.role == role && server.state == ServerState::Ready)
        };
        has_ready(Role::Mixed) || (has_ready(Role::Prefill) && has_ready(Role::Decode))
    }

    /// Number of admitted requests whose response has not ended.
    pub fn open_requests(&self) -> usize {
        self.inner.borrow().requests.values().filter(|request| !request.machine.is_closed()).count()
    }

    /// Answers every request whose response has not started, because the process is about to end. Rejects a request if a
    /// retry is safe, and fails it otherwise.
    pub fn answer_pending(&self) {
        let mut pending: Vec<(u64, FinalResponse)> = Vec::new();
        for (id, request) in &self.inner.borrow().requests {
            if request.machine.response() == ResponseState::Pending {
                let may_reject = request.may_reject();
                let response = if may_reject { FinalResponse::Rejected } else { FinalResponse::Failed };
                pending.push((*id, response));
            }
        }
        pending.sort_unstable_by_key(|(id, _)| *id);
        for (id, response) in pending {
            self.step(id, Input::Respond(response));
            // Makes the router free the capacity that it counts for the request, as it does when a client
            // disconnects.
            self.dispatch(Event::ClientDisconnected { id: RequestId(id) });
        }
    }

    /// Whether every request has finished. A request finishes only after its releases and the confirmations
    /// of its closed connections.
    pub fn is_idle(&self) -> bool {
        self.inner.borrow().requests.is_empty()
    }

    /// Returns the number of ids that stay in use because their clients have left; those of the whole process if ids are
    /// shared.
    pub fn retained_request_ids(&self) -> usize {
        self.inner.borrow().request_ids.retained()
    }

    /// Returns the numbers of objects that the core stores now.
    pub fn occupancy(&self) -> Occupancy {
        let inner = self.inner.borrow();
        Occupancy {
            requests: inner.requests.len(),
            request_ids: inner.request_ids.len(),
            timers: inner.timers.len(),
            unrecorded: inner.requests.values().filter(|request| !request.is_recorded).count(),
        }
    }
}

impl<R> Inner<R> {
    fn update_servers(&mut self, update: ListUpdate, servers: &[ServerEntry]) {
        if matches!(update, ListUpdate::Full | ListUpdate::Cached) {
            self.servers.clear();
        }
        for entry in servers {
            let role = self.roles.get(entry.kind as usize).copied().unwrap_or(Role::Mixed);
            match entry.state {
                ServerState::Terminated => self.servers.remove(&entry.server),
                state => {
                    let location = (entry.zone, entry.cell);
                    let listed = ListedServer { role, state, location, started: entry.started };
                    self.servers.insert(entry.server, listed)
                }
            };
        }
    }
}

/// The core as a tower service, so that layers such as plug-ins can wrap it.
impl<U: Upstream, R: DecisionPolicy> Service<exchange::Request> for Core<U, R> {
    type Response = ClientSide;
    type Error = Infallible;
    type Future = std::future::Ready<Result<ClientSide, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: exchange::Request) -> Self::Future {
        std::future::ready(Ok(self.submit(request)))
    }
}

#[cfg(test)]
mod tests;
