//! The core: drives one [`Router`] and a [`lifecycle`](glenrail_request_lifecycle) machine for each request, and knows no
//! wire.
//!
//! Events go through a queue, so that carrying out an action never re-enters the router. What a request may do at
//! each point is its machine's to say: the core starts calls, feeds what comes back, and carries out effects.

mod attempt;
mod clock;
mod effects;
mod forwarding;
mod orphaned_state;
mod request_record;
mod request_state;
mod timers;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::convert::Infallible;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::stream::StreamExt;
use glenrail_request_lifecycle::request::{
    self, AttemptState, Effect, FinalResponse, Input, RequestPolicy, RetrySafety, Stage,
};
use glenrail_router::*;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, timeout_at, Instant};
use tokio_util::time::delay_queue::Key;
use tower::{Service, ServiceExt};

use crate::exchange::{self, CancelToken, ClientSide, Failure, Payload, ResponsePart};
use crate::log;
use crate::upstream::{Call, CallError, Frame, Reply};

pub use clock::{duration, Clock};
pub use forwarding::resume;
use forwarding::{pass, rest, Passed};
use request_record::RecordBuilder;
use request_state::{AttemptCall, RequestState};
use timers::{Due, Timers};

/// Pause before letting go of what a cut read may have left, so that the server has seen the cut by then.
const AFTER_CUT: Duration = Duration::from_millis(25);
/// An attempt ends so much later than it was told: the router's own timer for the same moment comes first, and with
/// it the reason.
const SLACK: Duration = Duration::from_millis(2);
/// The request's own deadline comes so much later than the router's, which knows why it fails.
const GUARD: Duration = Duration::from_millis(8);
/// Pause before a release that nobody took is tried again: what no server can be reached for is held until one can.
const RELEASE_AGAIN: Duration = Duration::from_millis(25);
/// It is tried up to the request's deadline, and for so many times the pin limit at least.
const RELEASE_LIMITS: u32 = 4;
/// Share of the pin limit after which the machine lets go of what the router has not; the router's is 0.8.
const PIN_USED: f64 = 0.92;
/// Share of the pin limit by which an attempt that takes what is held must be written: what is left is for a sign of its arrival.
const WRITTEN_BY: f64 = 0.8;
/// So long after an attempt was written, as a share of the pin limit, a sign of its arrival is asked for; no later than that
/// share of the time in which it may be held.
const ARRIVAL_ASKED: f64 = 0.3;
const ARRIVAL_ASKED_LATEST: f64 = 0.5;
/// Pause before a sign that did not come is asked for again.
const ARRIVAL_AGAIN: Duration = Duration::from_millis(20);

/// The servers as one service, which the core calls.
pub trait Upstream:
    Service<Call, Response = Reply, Error = CallError, Future: 'static> + Clone + 'static
{
}
impl<U: Service<Call, Response = Reply, Error = CallError, Future: 'static> + Clone + 'static> Upstream
    for U
{
}

/// Whoever decides for the core: the module's router, or what a test puts in its place.
pub trait DecisionPolicy: 'static {
    fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>);
}

impl DecisionPolicy for Router {
    fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        Router::handle(self, now, event, out);
    }
}

/// What the list says of a server.
#[derive(Clone, Copy)]
struct Listed {
    role: Role,
    state: ServerState,
    /// Its zone, and its cell in that.
    place: (u32, u32),
    started: Option<Millis>,
}

struct Inner<R> {
    router: R,
    clock: Clock,
    settings: Settings,
    terms: RequestPolicy,
    pin_limit: Duration,
    roles: Vec<Role>,
    members: BTreeMap<ServerId, Listed>,
    queue: VecDeque<Event>,
    busy: bool,
    jobs: HashMap<u64, RequestState>,
    /// The requests that have not wholly ended, by the names that servers know them by.
    names: HashMap<String, u64>,
    /// The last request that has wholly ended.
    ended: Option<Rc<str>>,
    next: u64,
    timers: Timers,
    /// Waits for the timers.
    clockwork: Option<AbortHandle>,
}

impl<R> Drop for Inner<R> {
    fn drop(&mut self) {
        if let Some(clockwork) = &self.clockwork {
            clockwork.abort();
        }
    }
}

/// What a core holds at one time, to show that nothing is left of requests that have ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Occupancy {
    pub requests: usize,
    pub names: usize,
    pub timers: usize,
}

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
    pub fn new(seed: u64, settings: Settings, clock: Clock, upstream: U) -> Self {
        Core::with_policy(Router::new(seed, settings.clone()), settings, clock, upstream)
    }

    /// What the router has learned, for another process that takes over.
    pub fn export_state(&self) -> Vec<u8> {
        self.inner.borrow().router.export_state()
    }

    pub fn import_state(&self, learned: &[u8]) {
        self.inner.borrow_mut().router.import_state(learned);
    }

    /// Listed servers that get nothing new at present, by order or by the module's choice.
    pub fn avoided_servers(&self) -> usize {
        let inner = self.inner.borrow();
        inner.members.keys().filter(|id| inner.router.is_avoided(**id)).count()
    }
}

impl<U: Upstream, R: DecisionPolicy> Core<U, R> {
    /// A core for which this router decides.
    pub fn with_policy(router: R, settings: Settings, clock: Clock, upstream: U) -> Self {
        let most = settings.limits.max_attempts.max(1) as usize;
        let inner = Inner {
            clock,
            terms: RequestPolicy {
                retry_safety: RetrySafety::Idempotent,
                max_attempts: most,
                cancellation: settings.limits.cancellation,
            },
            pin_limit: duration(settings.rules.lease_limit),
            roles: settings.kinds.iter().map(|k| k.role).collect(),
            router,
            settings,
            members: BTreeMap::new(),
            queue: VecDeque::new(),
            busy: false,
            jobs: HashMap::new(),
            names: HashMap::new(),
            ended: None,
            next: 0,
            timers: Timers::default(),
            clockwork: None,
        };
        Core { inner: Rc::new(RefCell::new(inner)), upstream }
    }

    /// A list of servers, or changes to it.
    pub fn update_servers(&self, scope: ListUpdate, members: Vec<ServerEntry>) {
        {
            let mut inner = self.inner.borrow_mut();
            if matches!(scope, ListUpdate::Full | ListUpdate::Cached) {
                inner.members.clear();
            }
            for m in &members {
                let role = inner.roles.get(m.kind as usize).copied().unwrap_or(Role::Mixed);
                match m.state {
                    ServerState::Terminated => inner.members.remove(&m.server),
                    state => {
                        let (place, started) = ((m.zone, m.cell), m.started);
                        inner.members.insert(m.server, Listed { role, state, place, started })
                    }
                };
            }
        }
        self.dispatch(Event::ServerList { update: scope, servers: members });
    }

    /// Whether the list has what it takes to answer a request.
    pub fn can_serve(&self) -> bool {
        let inner = self.inner.borrow();
        let has = |role| inner.members.values().any(|m| m.role == role && m.state == ServerState::Ready);
        has(Role::Mixed) || (has(Role::Prefill) && has(Role::Decode))
    }

    /// Requests that were taken and have not ended.
    pub fn open_requests(&self) -> usize {
        self.inner.borrow().jobs.values().filter(|j| !j.machine.is_closed()).count()
    }

    /// The process is about to end: whoever still waits for an answer to begin is refused now, or failed where its request
    /// may have run and trying again is not harmless.
    pub fn answer_pending(&self) {
        let owed = |j: &RequestState| j.machine.response() == request::ResponseState::Pending;
        let mut waiting: Vec<(u64, bool)> = Vec::new();
        waiting.extend(
            self.inner.borrow().jobs.iter().filter(|(_, j)| owed(j)).map(|(id, j)| (*id, j.may_refuse())),
        );
        waiting.sort_unstable();
        for (id, may_refuse) in waiting {
            self.step(
                id,
                Input::Respond(if may_refuse { FinalResponse::Rejected } else { FinalResponse::Failed }),
            );
            // The router lets go as if the client had left.
            self.dispatch(Event::ClientDisconnected { id: RequestId(id) });
        }
    }

    /// Whether nothing is under way: no request, no attempt, no release.
    pub fn is_idle(&self) -> bool {
        self.inner.borrow().jobs.is_empty()
    }

    pub fn occupancy(&self) -> Occupancy {
        let inner = self.inner.borrow();
        Occupancy { requests: inner.jobs.len(), names: inner.names.len(), timers: inner.timers.len() }
    }

    /// Takes a request; its answer comes through the exchange.
    pub fn submit(&self, request: exchange::Request) -> ClientSide {
        let (client, server) = exchange::exchange_pair(request);
        let exchange::Request { routing: mut ask, arrived, payload } = server.request;
        let id = {
            let mut inner = self.inner.borrow_mut();
            // Guards an open request from a copy: servers know both by one name, so whatever is done for the copy,
            // its releases above all, would hit the first.
            if inner.names.contains_key(&payload.request_id) {
                return ClientSide::failed(Failure::DuplicateRequestId);
            }
            // Small numbers in sequence: the module shifts ids left and keeps one high timer key for itself,
            // so the wire's 64-bit names must not reach it.
            inner.next += 1;
            let id = inner.next;
            inner.names.insert(payload.request_id.clone(), id);
            id
        };
        let deadline = arrived + duration(ask.client_timeout);
        ask.id = RequestId(id);
        ask.client_timeout = deadline.saturating_duration_since(Instant::now()).as_secs_f64() * 1000.0;
        let watch = spawn_local({
            let (core, pieces) = (self.clone(), server.parts.clone());
            async move {
                pieces.closed().await;
                core.step(id, Input::ClientDisconnected);
            }
        });
        let mut effects = Vec::new();
        {
            let mut inner = self.inner.borrow_mut();
            let class = inner.settings.classes.get(ask.class as usize);
            let effect = class.map_or(glenrail_router::Idempotency::NonIdempotent, |c| c.idempotency);
            let repeat = if effect == glenrail_router::Idempotency::NonIdempotent {
                RetrySafety::AtMostOnce
            } else {
                RetrySafety::Idempotent
            };
            let window = class
                .filter(|_| effect == glenrail_router::Idempotency::IdempotencyKey)
                .map(|c| duration(c.idempotency_window));
            let came = inner.clock.at(arrived);
            let told =
                RecordBuilder::new(&ask, &payload.request_id, &inner.settings, came, inner.clock.unix(came));
            let job = RequestState {
                machine: request::Request::new(
                    RequestPolicy { retry_safety: repeat, ..inner.terms },
                    &mut effects,
                ),
                payload,
                pieces: Some(server.parts),
                watch: watch.abort_handle(),
                deadline,
                sent: Vec::new(),
                unclaimed_since: arrived,
                place: None,
                retry_after: Duration::ZERO,
                window,
                safe: effect == glenrail_router::Idempotency::Idempotent,
                timers: Vec::new(),
                told,
            };
            inner.jobs.insert(id, job);
        }
        effects.into_iter().for_each(|effect| self.carry_out(id, effect));
        self.dispatch(Event::Request(ask));
        client
    }

    /// Asks for a sign that a server, and the way to it, is well at this moment.
    async fn check(&self, server: ServerId) -> bool {
        let ended = {
            let inner = self.inner.borrow();
            // A name that came again is in use.
            inner.ended.clone().filter(|name| !inner.names.contains_key(&**name))
        };
        self.upstream.clone().oneshot(Call::VerifyReachable { server, finished_request: ended }).await.is_ok()
    }

    /// Hands one event to the router and carries out what it answers, in order.
    fn dispatch(&self, event: Event) {
        self.inner.borrow_mut().queue.push_back(event);
        self.run();
    }

    /// Hands what is queued to the router, one event after the other.
    fn run(&self) {
        if std::mem::replace(&mut self.inner.borrow_mut().busy, true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            {
                let mut inner = self.inner.borrow_mut();
                let Some(event) = inner.queue.pop_front() else {
                    inner.busy = false;
                    #[cfg(debug_assertions)]
                    inner.walk();
                    return;
                };
                let now = inner.clock.now();
                inner.router.handle(now, event, &mut actions);
            }
            for action in actions.drain(..) {
                self.execute(action);
            }
        }
    }

    /// Carries out one order of the router.
    fn execute(&self, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.send(id.0, server, timeout),
            Action::Cancel { id, attempt } => self.step(id.0, Input::Cancel { attempt: attempt as usize }),
            Action::Release { id } => self.step(id.0, Input::Release),
            Action::Reject { id, retry_after, reason } => {
                if let Some(job) = self.inner.borrow_mut().jobs.get_mut(&id.0) {
                    job.retry_after = duration(retry_after);
                    job.told.why(reason);
                }
                self.step(id.0, Input::Respond(FinalResponse::Rejected));
            }
            Action::Fail { id, reason } => {
                let late = |j: &RequestState| Instant::now() + duration(20.0) >= j.deadline;
                let late = self.inner.borrow().jobs.get(&id.0).is_some_and(late);
                if let Some(job) = self.inner.borrow_mut().jobs.get_mut(&id.0) {
                    job.told.why(reason);
                }
                self.step(
                    id.0,
                    Input::Respond(if late {
                        FinalResponse::DeadlineExceeded
                    } else {
                        FinalResponse::Failed
                    }),
                );
            }
            Action::ReserveSlot { id, server } => self.step(id.0, Input::ReserveSlot { server: server.0 }),
            Action::Probe { server } => {
                let core = self.clone();
                spawn_local(async move { core.probe(server).await });
            }
            Action::CloseIdle { server } => {
                spawn_local(self.upstream.clone().oneshot(Call::CloseIdle { server }));
            }
            Action::Timer { at, key, request: of } => {
                let of = of.map(|id| id.0);
                let at = self.inner.borrow().clock.instant(at);
                self.arm(at, Due::Router { key, of }, of);
            }
            Action::Log(words) => log!("router: {words}"),
            // Discovery is watched all the time, peers are never told, and streams are never moved: no
            // deployment of this gateway allows it.
            Action::Subscribe { .. }
            | Action::FetchList
            | Action::SendGossip { .. }
            | Action::Migrate { .. } => {}
        }
    }

    fn send(&self, id: u64, server: ServerId, wait: Millis) {
        let input = {
            let mut inner = self.inner.borrow_mut();
            let inner = &mut *inner;
            let listed = inner.members.get(&server).copied();
            let Some(job) = inner.jobs.get_mut(&id) else { return };
            let now = Instant::now();
            let until =
                if wait > 0.0 { job.deadline.min(now + duration(wait) + SLACK) } else { job.deadline };
            let wanted = CancelToken::default();
            job.sent.push(AttemptCall { at: now, until, wanted, cancel: None, note: 0.0, report: None });
            let stage =
                if listed.is_some_and(|l| l.role == Role::Prefill) { Stage::Prefill } else { Stage::Execute };
            let sent = inner.clock.at(now);
            let cold = listed
                .and_then(|l| l.started)
                .is_some_and(|s| sent < s + inner.settings.rules.slow_start_window);
            job.told.sent(server.0, stage, listed.map(|l| l.place), cold, sent);
            let ready = listed.is_some_and(|l| l.state == ServerState::Ready);
            Input::Send { server: server.0, stage, permitted: ready && until > now }
        };
        self.step(id, input);
    }

    /// Feeds a request's machine and carries out what it says.
    fn step(&self, id: u64, input: Input) {
        let mut effects = Vec::new();
        {
            let mut inner = self.inner.borrow_mut();
            // The request has wholly ended.
            let Some(job) = inner.jobs.get_mut(&id) else { return };
            if let Err(e) = job.machine.step(input, &mut effects) {
                return log!("{e}");
            }
        }
        effects.into_iter().for_each(|effect| self.carry_out(id, effect));
        let mut inner = self.inner.borrow_mut();
        let now = inner.clock.now();
        if let Some(job) = inner.jobs.get_mut(&id) {
            if job.machine.is_closed() {
                job.told.closed(now);
                // Nothing more is owed: the client sees its answer's end, and nobody waits for its going.
                job.pieces = None;
                job.watch.abort();
            }
        }
        drop(inner);
        self.run();
    }

    fn arm(&self, at: Instant, due: Due, of: Option<u64>) {
        let mut inner = self.inner.borrow_mut();
        let inner = &mut *inner;
        match of.map(|id| inner.jobs.get_mut(&id)) {
            // Of a request that has ended already.
            Some(None) => {}
            Some(Some(job)) => job.timers.push((due, inner.timers.arm(at, due))),
            None => _ = inner.timers.arm(at, due),
        }
        self.wind(inner);
    }

    /// Has the timers waited for, for as long as the core is there.
    fn wind(&self, inner: &mut Inner<R>) {
        if inner.clockwork.is_some() {
            return;
        }
        let (weak, upstream) = (Rc::downgrade(&self.inner), self.upstream.clone());
        let clockwork = spawn_local(async move {
            loop {
                let due = poll_fn(|cx| match weak.upgrade() {
                    Some(inner) => inner.borrow_mut().timers.poll_due(cx).map(Some),
                    None => Poll::Ready(None),
                });
                let Some((key, due)) = due.await else { return };
                let Some(inner) = weak.upgrade() else { return };
                Core { inner, upstream: upstream.clone() }.due(key, due);
            }
        });
        inner.clockwork = Some(clockwork.abort_handle());
    }

    fn due(&self, key: Key, due: Due) {
        let (Due::Request(id, _) | Due::Router { of: Some(id), .. }) = due else {
            let Due::Router { key, .. } = due else { return };
            return self.dispatch(Event::Timer { key });
        };
        if let Some(job) = self.inner.borrow_mut().jobs.get_mut(&id) {
            job.timers.retain(|t| t.1 != key);
        }
        match due {
            Due::Router { key, .. } => self.dispatch(Event::Timer { key }),
            Due::Request(id, timer) => self.step(id, Input::TimerExpired(timer)),
        }
    }
}

#[cfg(debug_assertions)]
impl<R> Inner<R> {
    /// The slow path that the machines' effects replace: what a walk over all requests would find left undone.
    fn walk(&self) {
        assert_eq!(self.names.len(), self.jobs.len(), "a name for each request that is left");
        for (id, job) in &self.jobs {
            let machine = &job.machine;
            assert!(!machine.is_finished(), "request {id} has ended and is kept");
            assert_eq!(job.sent.len(), machine.attempts().len(), "request {id}: an attempt without its call");
            for timer in [request::Timer::Deadline, request::Timer::LeaseLimit] {
                let armed = job.timers.iter().filter(|t| t.0 == Due::Request(*id, timer)).count();
                assert_eq!(armed, usize::from(machine.is_armed(timer)), "request {id}: {timer:?}");
            }
        }
    }
}

/// The core as a service of requests: what the layers before it wrap.
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
