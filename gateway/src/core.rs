//! The core: runs one [`Router`] over requests, attempts and outcomes, and knows no wire.
//!
//! Events go through a queue, so that carrying out an action never re-enters the router. Every `Send` gets
//! exactly one outcome, and every request exactly one final answer.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::convert::Infallible;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::Duration;

use deckhub::*;
use futures_util::future::{FutureExt, LocalBoxFuture, Shared};
use futures_util::stream::{LocalBoxStream, StreamExt};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, sleep_until, timeout, Instant};
use tower::{Service, ServiceExt};

use crate::exchange::{self, ClientSide, Failure, Payload, Piece};
use crate::log;
use crate::upstream::{Call, Failed, Frame, Reply};

/// A stream without a whole event for so long is taken for dead, so that its client's connection ends within the
/// 5 s that the platform's rules give. Its writer may have put the answer back into its queue, so no less.
const SILENT: Duration = Duration::from_millis(4_600);
/// A client that takes nothing of its stream for so long has lost it.
const STALLED: Duration = Duration::from_secs(30);
/// Names of requests that have ended are cleared away once there are more than so many.
const NAMES: usize = 256;
/// Pause before letting go of what a cut read may have left, so that the server has seen the cut by then.
const AFTER_CUT: Duration = Duration::from_millis(25);

/// The servers as one service, which the core calls.
pub trait Upstream:
    Service<Call, Response = Reply, Error = Failed, Future: 'static> + Clone + 'static
{
}
impl<U: Service<Call, Response = Reply, Error = Failed, Future: 'static> + Clone + 'static> Upstream for U {}

/// The module's clock: milliseconds since this process began, beside the machine's clock at that time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_ms: f64,
}

impl Clock {
    pub fn new(unix: Duration) -> Self {
        Clock { start: Instant::now(), unix_ms: unix.as_secs_f64() * 1000.0 }
    }
    pub fn now(&self) -> Ms {
        self.at(Instant::now())
    }
    pub fn at(&self, when: Instant) -> Ms {
        when.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }
    /// A time on the machine's clock; it lies before this clock's zero for what began before this process.
    pub fn of_unix(&self, ms: f64) -> Ms {
        ms - self.unix_ms
    }
    fn instant(&self, at: Ms) -> Instant {
        self.start + duration(at)
    }
}

/// Milliseconds as a duration; what is negative, not a number or beyond an hour is cut to that range.
pub fn duration(ms: Ms) -> Duration {
    Duration::from_secs_f64(if ms.is_finite() { ms.clamp(0.0, 3.6e6) / 1000.0 } else { 0.0 })
}

/// One attempt that was sent: how to call it back while it is out, and whether it has begun its answer.
struct Attempt {
    server: ServerId,
    cancel: Option<oneshot::Sender<()>>,
    out: bool,
    begun: bool,
}

struct Job {
    payload: Rc<Payload>,
    pieces: mpsc::Sender<Piece>,
    watch: AbortHandle,
    deadline: Instant,
    attempts: Vec<Attempt>,
    closed: bool,
    /// The letting go that a later send must wait for.
    release: Option<Shared<LocalBoxFuture<'static, ()>>>,
    /// A release is due as soon as nothing is out.
    release_due: bool,
}

impl Job {
    fn out(&self) -> bool {
        self.attempts.iter().any(|a| a.out)
    }
}

struct Inner {
    router: Router,
    clock: Clock,
    max_attempts: usize,
    roles: Vec<Role>,
    members: BTreeMap<ServerId, (Role, ServerState)>,
    queue: VecDeque<Event>,
    busy: bool,
    jobs: HashMap<u64, Job>,
    /// The requests that have not wholly ended, by the names that servers know them by: each lives as long as
    /// something of it is under way, a release too.
    names: HashMap<String, Weak<Payload>>,
    next: u64,
    /// Releases under way; a process that ends waits for them.
    releasing: usize,
}

impl Inner {
    /// Whether no other request of this name is open; if so, the name is this one's from now on.
    fn take_name(&mut self, payload: &Rc<Payload>) -> bool {
        if self.names.len() > 2 * self.jobs.len() + NAMES {
            self.names.retain(|_, open| open.strong_count() > 0);
        }
        if self.names.get(&payload.name).is_some_and(|open| open.strong_count() > 0) {
            return false;
        }
        self.names.insert(payload.name.clone(), Rc::downgrade(payload));
        true
    }
}

/// How one attempt ended, before the core adds what it knows of the request.
struct End {
    status: Status,
    note: f64,
    report: Option<Report>,
}

impl End {
    fn plain(status: Status) -> Self {
        End { status, note: 0.0, report: None }
    }
}

pub struct Core<U> {
    inner: Rc<RefCell<Inner>>,
    upstream: U,
}

impl<U: Clone> Clone for Core<U> {
    fn clone(&self) -> Self {
        Core { inner: self.inner.clone(), upstream: self.upstream.clone() }
    }
}

impl<U: Upstream> Core<U> {
    pub fn new(seed: u64, settings: Settings, clock: Clock, upstream: U) -> Self {
        let inner = Inner {
            clock,
            max_attempts: settings.limits.max_attempts.max(1) as usize,
            roles: settings.kinds.iter().map(|k| k.role).collect(),
            router: Router::new(seed, settings),
            members: BTreeMap::new(),
            queue: VecDeque::new(),
            busy: false,
            jobs: HashMap::new(),
            names: HashMap::new(),
            next: 0,
            releasing: 0,
        };
        Core { inner: Rc::new(RefCell::new(inner)), upstream }
    }

    /// A list of servers, or changes to it.
    pub fn members(&self, scope: Scope, members: Vec<Member>) {
        {
            let mut inner = self.inner.borrow_mut();
            if matches!(scope, Scope::Full | Scope::Cached) {
                inner.members.clear();
            }
            for m in &members {
                let role = inner.roles.get(m.kind as usize).copied().unwrap_or(Role::Mixed);
                match m.state {
                    ServerState::Gone => inner.members.remove(&m.server),
                    state => inner.members.insert(m.server, (role, state)),
                };
            }
        }
        self.feed(Event::Members { scope, members });
    }

    /// Whether the list has what it takes to answer a request.
    pub fn can_serve(&self) -> bool {
        let inner = self.inner.borrow();
        let has = |role| inner.members.values().any(|m| *m == (role, ServerState::Ready));
        has(Role::Mixed) || (has(Role::Reader) && has(Role::Writer))
    }

    /// What the router has learned, for another process that takes over.
    pub fn recollect(&self) -> Vec<u8> {
        self.inner.borrow().router.recollect()
    }

    pub fn inherit(&self, learned: &[u8]) {
        self.inner.borrow_mut().router.inherit(learned);
    }

    /// Requests that were taken and have not ended.
    pub fn open(&self) -> usize {
        self.inner.borrow().jobs.values().filter(|j| !j.closed).count()
    }

    /// Listed servers that get nothing new at present, by order or by the module's choice.
    pub fn avoided(&self) -> usize {
        let inner = self.inner.borrow();
        inner.members.keys().filter(|id| inner.router.avoids(**id)).count()
    }

    /// Whether nothing is under way: no request, no attempt, no release.
    pub fn idle(&self) -> bool {
        let inner = self.inner.borrow();
        inner.jobs.is_empty() && inner.releasing == 0
    }

    /// Takes a request; its answer comes through the exchange.
    pub fn submit(&self, request: exchange::Request) -> ClientSide {
        // Guards an open request from a copy: servers know both by one name, so whatever is done for the copy,
        // its releases above all, would hit the first.
        if !self.inner.borrow_mut().take_name(&request.payload) {
            return ClientSide::failed(Failure::NameTaken);
        }
        let (client, server) = exchange::pair(request);
        let exchange::Request { mut ask, arrived, payload } = server.request;
        let id = {
            let mut inner = self.inner.borrow_mut();
            // Small numbers in sequence: the module shifts ids left and keeps one high timer key for itself,
            // so the wire's 64-bit names must not reach it.
            inner.next += 1;
            inner.next
        };
        let deadline = arrived + duration(ask.patience);
        ask.id = RequestId(id);
        ask.patience = deadline.saturating_duration_since(Instant::now()).as_secs_f64() * 1000.0;
        let watch = spawn_local({
            let (core, pieces) = (self.clone(), server.pieces.clone());
            async move {
                pieces.closed().await;
                core.gone(id);
            }
        });
        let job = Job {
            payload,
            pieces: server.pieces,
            watch: watch.abort_handle(),
            deadline,
            attempts: Vec::new(),
            closed: false,
            release: None,
            release_due: false,
        };
        self.inner.borrow_mut().jobs.insert(id, job);
        self.feed(Event::Request(ask));
        client
    }

    fn gone(&self, id: u64) {
        if let Some(job) = self.inner.borrow_mut().jobs.get_mut(&id) {
            if std::mem::replace(&mut job.closed, true) {
                return;
            }
        }
        self.feed(Event::ClientGone { id: RequestId(id) });
    }

    /// Hands one event to the router and carries out what it answers, in order.
    fn feed(&self, event: Event) {
        {
            let mut inner = self.inner.borrow_mut();
            inner.queue.push_back(event);
            if std::mem::replace(&mut inner.busy, true) {
                return;
            }
        }
        let mut actions = Vec::new();
        loop {
            {
                let mut inner = self.inner.borrow_mut();
                let Some(event) = inner.queue.pop_front() else {
                    inner.busy = false;
                    return;
                };
                let now = inner.clock.now();
                inner.router.handle(now, event, &mut actions);
            }
            for action in actions.drain(..) {
                self.act(action);
            }
            self.sweep();
        }
    }

    /// Starts releases that are due and forgets requests that have ended.
    fn sweep(&self) {
        let mut inner = self.inner.borrow_mut();
        let free = |j: &Job| !j.out();
        let due: Vec<u64> =
            inner.jobs.iter().filter(|(_, j)| j.release_due && free(j)).map(|(id, _)| *id).collect();
        for id in due {
            self.release(&mut inner, id);
        }
        inner.jobs.retain(|_, j| {
            let over = j.closed && free(j);
            if over {
                j.watch.abort();
            }
            !over
        });
    }

    /// A release for this request, after the one before it; a send that follows waits for it.
    fn release(&self, inner: &mut Inner, id: u64) {
        let Some(job) = inner.jobs.get_mut(&id) else { return };
        job.release_due = false;
        let before = job.release.take();
        let call = Call::Release { payload: job.payload.clone() };
        let core = self.clone();
        let cut = job.attempts.last().is_some_and(|a| a.cancel.is_none());
        let release = async move {
            if let Some(before) = before {
                before.await;
            }
            if cut {
                sleep(AFTER_CUT).await;
            }
            if core.upstream.clone().oneshot(call).await.is_err() {
                log!("a lease could not be let go: no server took the call");
            }
            core.inner.borrow_mut().releasing -= 1;
        };
        let release = release.boxed_local().shared();
        inner.releasing += 1;
        spawn_local(release.clone());
        job.release = Some(release);
    }

    fn act(&self, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.send(id, server, timeout),
            Action::Cancel { id, attempt } => {
                let mut inner = self.inner.borrow_mut();
                let attempts = inner.jobs.get_mut(&id.0).map(|j| &mut j.attempts);
                if let Some(a) = attempts.and_then(|a| a.get_mut(attempt as usize)).filter(|a| !a.begun) {
                    // Dropping the sender calls the attempt back.
                    a.cancel = None;
                }
            }
            Action::Release { id } => {
                let mut inner = self.inner.borrow_mut();
                let Some(job) = inner.jobs.get_mut(&id.0) else { return };
                // At once, so that it comes before a send that follows; with an attempt out, after its end.
                job.release_due = true;
                if !job.out() {
                    self.release(&mut inner, id.0);
                }
            }
            Action::Refuse { id, retry_after } => self.answer(id, Piece::Refused(duration(retry_after))),
            Action::Fail { id } => {
                let late = |j: &Job| Instant::now() + duration(20.0) >= j.deadline;
                let late = self.inner.borrow().jobs.get(&id.0).is_some_and(late);
                let why = if late { Failure::Deadline } else { Failure::Upstream };
                self.answer(id, Piece::Failed(why));
            }
            Action::HoldPlace { id, server } => self.hold(id, server),
            Action::Probe { server } => {
                let core = self.clone();
                spawn_local(async move { core.probe(server).await });
            }
            Action::CloseIdle { server } => {
                spawn_local(self.upstream.clone().oneshot(Call::CloseIdle { server }));
            }
            Action::Timer { at, key } => {
                let (core, at) = (self.clone(), self.inner.borrow().clock.instant(at));
                spawn_local(async move {
                    sleep_until(at).await;
                    core.feed(Event::Timer { key });
                });
            }
            Action::Log(words) => log!("router: {words}"),
            // Discovery is watched all the time, peers are never told, and streams are never moved: no
            // deployment of this gateway allows it.
            Action::Subscribe { .. } | Action::FetchList | Action::Tell { .. } | Action::Move { .. } => {}
        }
    }

    /// The final answer that the module itself gives, at once.
    fn answer(&self, id: RequestId, piece: Piece) {
        let mut inner = self.inner.borrow_mut();
        let Some(job) = inner.jobs.get_mut(&id.0) else { return };
        if std::mem::replace(&mut job.closed, true) {
            return;
        }
        job.watch.abort();
        // Nothing was passed on before, so there is room.
        let _ = job.pieces.try_send(piece);
    }

    fn send(&self, id: RequestId, server: ServerId, wait: Ms) {
        let mut inner = self.inner.borrow_mut();
        let max = inner.max_attempts;
        let Some(job) = inner.jobs.get_mut(&id.0) else { return };
        let attempt = job.attempts.len();
        let left = job.deadline.saturating_duration_since(Instant::now());
        let wait = if wait > 0.0 { duration(wait).min(left) } else { left };
        let (cancel, cancelled) = oneshot::channel();
        job.attempts.push(Attempt { server, cancel: Some(cancel), out: true, begun: false });
        // Rules: no second copy, no attempt beyond the cap, none for what has ended.
        let others = job.attempts[..attempt].iter().any(|a| a.out);
        if job.closed || others || attempt >= max || wait.is_zero() {
            drop(inner);
            return self.ended(id, attempt, Instant::now(), End::plain(Status::NotSent));
        }
        let (core, payload, release) = (self.clone(), job.payload.clone(), job.release.clone());
        spawn_local(async move {
            let sent = Instant::now();
            let call = Call::Attempt { server, payload, wait };
            let answer = async {
                // What is let go must not be the state that this attempt will leave.
                if let Some(release) = release {
                    release.await;
                }
                core.upstream.clone().oneshot(call).await
            };
            let reply = tokio::select! {
                biased;
                _ = cancelled => Err(Status::Cancelled),
                reply = timeout(wait, answer) => reply.map_err(|_| Status::Timeout),
            };
            let end = match reply {
                Err(status) => End::plain(status),
                Ok(Err(how)) => End::plain(status(how)),
                Ok(Ok(Reply::Read { kept, report })) => End { status: Status::Read, note: kept, report },
                Ok(Ok(Reply::Declined { no_state, report })) => {
                    End { status: Status::Full, note: f64::from(u8::from(no_state)), report }
                }
                Ok(Ok(Reply::Answer { head, frames })) => core.pass_on(id, attempt, sent, head, frames).await,
                Ok(Ok(Reply::Unfit { report })) => {
                    // Final. It never ran, so nothing is to be let go: what the server holds by this name is another's.
                    core.answer(id, Piece::Failed(Failure::Unfit));
                    End { status: Status::NotSent, note: 0.0, report }
                }
                Ok(Ok(Reply::Error { report })) => End { status: Status::Error, note: 0.0, report },
                Ok(Ok(_)) => End::plain(Status::Error),
            };
            core.ended(id, attempt, sent, end);
        });
    }

    /// Binds the request to this attempt and passes its answer on as it comes.
    async fn pass_on(
        &self, id: RequestId, attempt: usize, sent: Instant, head: exchange::Head,
        mut frames: LocalBoxStream<'static, Result<Frame, Failed>>,
    ) -> End {
        let Some(Ok(Frame::Data(first))) = frames.next().await else { return End::plain(Status::Reset) };
        let pieces = {
            let mut inner = self.inner.borrow_mut();
            let Some(job) = inner.jobs.get_mut(&id.0).filter(|j| !j.closed) else {
                return End::plain(Status::Cancelled);
            };
            let a = &mut job.attempts[attempt];
            a.begun = true;
            job.pieces.clone()
        };
        let server = self.inner.borrow().jobs.get(&id.0).map(|j| j.attempts[attempt].server);
        let elapsed = sent.elapsed().as_secs_f64() * 1000.0;
        let (server, attempt) = (server.unwrap_or_default(), attempt as u32);
        self.feed(Event::FirstToken { id, attempt, server, elapsed });
        if !pass(&pieces, Piece::Begin(head, first)).await {
            return End::plain(Status::Cancelled);
        }
        rest(&pieces, frames).await
    }

    /// The one outcome of an attempt.
    fn ended(&self, id: RequestId, attempt: usize, sent: Instant, end: End) {
        let event = {
            let mut inner = self.inner.borrow_mut();
            let Inner { jobs, members, .. } = &mut *inner;
            let Some(job) = jobs.get_mut(&id.0) else { return };
            let a = &mut job.attempts[attempt];
            a.out = false;
            // The answer was the client's from its first event on: however it ended, the request has.
            job.closed |= a.begun || end.status == Status::Served;
            let read = members.get(&a.server).is_some_and(|m| m.0 == Role::Reader);
            // A read may have ended well just as its connection was cut: what it left is let go.
            if matches!(end.status, Status::Cancelled | Status::Reset | Status::Spoilt | Status::Timeout)
                && !a.begun
                && read
            {
                a.cancel = None;
                job.release_due = true;
            }
            Event::Outcome(Outcome {
                id,
                attempt: attempt as u32,
                server: a.server,
                status: end.status,
                elapsed: sent.elapsed().as_secs_f64() * 1000.0,
                note: end.note,
                closed: job.closed,
                report: end.report,
            })
        };
        self.sweep_releases(id);
        self.feed(event);
    }

    /// Starts the release that a cut read calls for before the module may send the request again.
    fn sweep_releases(&self, id: RequestId) {
        let mut inner = self.inner.borrow_mut();
        if inner.jobs.get(&id.0).is_some_and(|j| j.release_due && !j.out()) {
            self.release(&mut inner, id.0);
        }
    }

    fn hold(&self, id: RequestId, server: ServerId) {
        let inner = self.inner.borrow();
        let Some(job) = inner.jobs.get(&id.0) else { return };
        let attempt = job.attempts.len().saturating_sub(1) as u32;
        let call = self.upstream.clone().oneshot(Call::Hold { server, payload: job.payload.clone() });
        let core = self.clone();
        spawn_local(async move {
            if let Ok(Reply::Held(Some(held))) = call.await {
                core.feed(Event::Place { id, attempt, server, held });
            }
        });
    }

    async fn probe(&self, server: ServerId) {
        let sent = Instant::now();
        let (status, report) = match self.upstream.clone().oneshot(Call::Probe { server }).await {
            Ok(Reply::Probed { well: true, report }) => (Status::Served, report),
            Ok(Reply::Probed { report, .. }) => (Status::Error, report),
            Ok(_) | Err(Failed::NotSent | Failed::Connect) => (Status::ConnectFailed, None),
            Err(how) => (status(how), None),
        };
        let elapsed = sent.elapsed().as_secs_f64() * 1000.0;
        self.feed(Event::Probed { server, status, elapsed, report });
    }
}

fn status(how: Failed) -> Status {
    match how {
        Failed::Connect => Status::ConnectFailed,
        Failed::Reset => Status::Reset,
        Failed::Spoilt => Status::Spoilt,
        Failed::NotSent => Status::NotSent,
    }
}

/// Passes an answer on after its first piece, to its end.
async fn rest(
    pieces: &mpsc::Sender<Piece>, mut frames: LocalBoxStream<'static, Result<Frame, Failed>>,
) -> End {
    loop {
        let frame = tokio::select! {
            biased;
            frame = timeout(SILENT, frames.next()) => frame,
            () = pieces.closed() => return End::plain(Status::Cancelled),
        };
        match frame {
            Ok(Some(Ok(Frame::Data(bytes)))) => {
                if !pass(pieces, Piece::Chunk(bytes)).await {
                    return End::plain(Status::Cancelled);
                }
            }
            Ok(Some(Ok(Frame::Moved(rest)))) => {
                pass(pieces, Piece::Moved(rest)).await;
                return End::plain(Status::Served);
            }
            Ok(Some(Ok(Frame::End { kept, report }))) => {
                pass(pieces, Piece::End).await;
                return End { status: Status::Served, note: kept, report };
            }
            Ok(Some(Err(how))) => return End::plain(status(how)),
            Ok(None) => return End::plain(Status::Reset),
            Err(_) => {
                log!("a stream fell silent and is cut");
                return End::plain(Status::Timeout);
            }
        }
    }
}

/// Goes on with an answer that another process began. No request of the router belongs to it any more.
pub fn resume(frames: LocalBoxStream<'static, Result<Frame, Failed>>) -> ClientSide {
    let (client, pieces) = exchange::answer();
    spawn_local(async move {
        rest(&pieces, frames).await;
    });
    client
}

/// Whether the client took the piece.
async fn pass(pieces: &mpsc::Sender<Piece>, piece: Piece) -> bool {
    matches!(timeout(STALLED, pieces.send(piece)).await, Ok(Ok(())))
}

/// The core as a service of requests: what the layers before it wrap.
impl<U: Upstream> Service<exchange::Request> for Core<U> {
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
