//! The outbound side: attempts, probes and leases as one tower service over hyper connections of its own pool.
//!
//! Every call is written once. A connection that proves dead before a byte was written is replaced; nothing else
//! is ever sent again here, because whether to repeat is the module's decision.

mod connection;
mod event_stream;
mod events;
mod liveness;
mod release;
mod requests;
mod response_fields;
mod response_reader;
mod resumed_stream;
mod server_table;

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::{iter, once, try_unfold, LocalBoxStream, StreamExt};
use glenrail_access_log::counts::Counts;
use glenrail_router::ServerId;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::sync::{watch, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout, Instant};
use tower::Service;

use self::connection::{Connection, Peer, Verdict};
use self::event_stream::{broken, Next, Stream};
use self::events::Events;
use self::liveness::Unconfirmed;
use self::requests::{attempt_request, lease_request, load_request, tell_left};
use self::response_fields::Tail;
pub use self::server_table::ServerAddress;
use self::server_table::ServerTable;
use crate::budget::Budget;
use crate::exchange::{CancelToken, Payload, ResponseHead, StreamRemainder};
use crate::invariants::MAX_STATED_DEADLINE_AGE;
use crate::log;
use crate::upstream::{Call, CallError, Frame, Reply};

/// Most bytes of an answer that is kept whole before any of it is passed on.
const WHOLE: usize = 16 << 20;
/// Most bytes read of an answer that only tells an outcome.
const BRIEF: usize = 64 << 10;
/// On the platform an engine writes the head of its answer together with its first event, or with all of a short answer. What
/// is not here so much later is spoilt: an answer without an end would take its request's whole time.
const SOON: Duration = Duration::from_secs(1);
/// A connection whose answer has been taken in is free for the next request within this time, or it is not kept.
const FREE_WITHIN: Duration = Duration::from_millis(100);
const PROBE_WAIT: Duration = Duration::from_millis(750);
/// The server says after this time itself that it does not know whether a place is held.
const HOLD_WAIT: Duration = Duration::from_millis(600);

/// What servers of a pool are like, beyond what the list says.
#[derive(Clone, Debug)]
pub struct EngineLimits {
    pub connect_timeout: Duration,
    /// Whether servers may be probed.
    pub probes: bool,
    /// Connections idle for so long are closed; well under the server's own time.
    pub idle: Duration,
    /// A 429, or a 503 that says when to come back, means turned away, and other 4xx are the client's own
    /// mistake. So it is with public APIs; on the platform only a marked answer means so.
    pub public_api: bool,
}

struct Shared {
    limits: EngineLimits,
    places: RefCell<ServerTable>,
    slots: Arc<Semaphore>,
    /// For answers that are kept whole.
    budget: Budget,
    /// Somebody closes what has stood idle for too long.
    reaping: Cell<bool>,
    /// Streams under way are to go to another process.
    moving: watch::Sender<bool>,
    /// Attempts written whole.
    relayed: Rc<Cell<u64>>,
    counts: RefCell<Counts>,
}

/// What is asked of a server.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Ask {
    Attempt,
    Hold,
    Probe,
    Release,
}

impl Ask {
    /// A draining server may get it too.
    fn aside(self) -> bool {
        matches!(self, Ask::Probe | Ask::Release)
    }
}

/// A request to a server, and the terms of its writing.
struct Asked {
    what: Ask,
    request: Request<Bytes>,
    /// It must be on a connection by then, a kept one too.
    connect: Option<Instant>,
    /// The connection must have answered something a moment before.
    confirm: bool,
    /// Its answer is waited for until then.
    until: Option<Instant>,
    wanted: CancelToken,
}

impl Asked {
    fn aside(what: Ask, request: Request<Bytes>) -> Asked {
        Asked { what, request, connect: None, confirm: false, until: None, wanted: CancelToken::default() }
    }

    /// What is written if it goes out at this moment; nothing once its time is over, or that of what is held for it, or that in
    /// which it may be repeated.
    fn written(&self) -> Option<Request<Bytes>> {
        let (mut request, now) = (self.request.clone(), Instant::now());
        if [self.connect, self.until].into_iter().flatten().any(|by| by <= now) {
            return None;
        }
        if let Some(until) = self.until {
            tell_left(&mut request, until - now);
        }
        Some(request)
    }
}

#[derive(Clone)]
pub struct Engine(Rc<Shared>);

impl Engine {
    /// `slots` bounds the connections of all pools together, `budget` the bodies held.
    pub fn new(limits: EngineLimits, slots: Arc<Semaphore>, budget: Budget) -> Self {
        let places = RefCell::new(ServerTable::new());
        Engine(Rc::new(Shared {
            limits,
            places,
            slots,
            budget,
            reaping: Cell::new(false),
            moving: watch::Sender::new(false),
            relayed: Rc::default(),
            counts: RefCell::default(),
        }))
    }

    /// Takes in a list, or changes to it.
    pub fn update_servers(&self, whole: bool, changed: &[ServerAddress], gone: &[ServerId]) {
        self.0.places.borrow_mut().learn(whole, changed, gone);
    }

    /// Has every stream end here, now and from now on, where another process can go on with it.
    pub fn hand_over_streams(&self) {
        self.0.moving.send_replace(true);
    }

    /// Goes on with a stream that another process began.
    pub fn resume(&self, rest: StreamRemainder) -> LocalBoxStream<'static, Result<Frame, CallError>> {
        let slot = self.0.slots.clone().try_acquire_owned().ok();
        resumed_stream::resume(rest, slot, self.0.moving.subscribe())
    }

    /// Attempts whose last byte was handed to the machine.
    pub fn attempts_written(&self) -> u64 {
        self.0.relayed.get()
    }

    /// What was asked of servers so far.
    pub fn counts(&self) -> Counts {
        self.0.counts.borrow().clone()
    }

    /// Closes what stands idle; a process that ends does so.
    pub fn close_idle(&self) {
        self.0.places.borrow_mut().values_mut().for_each(|p| p.idle.clear());
    }

    fn serving(&self, server: ServerId) -> bool {
        self.0.places.borrow().get(server).is_some_and(|p| p.serving)
    }

    /// Whether this may go to a server over a connection that leads there, by what the list says at this moment.
    fn may_get(&self, server: ServerId, peer: &Peer, what: Ask) -> bool {
        let places = self.0.places.borrow();
        // Any server that runs takes a release, also one that has left the list.
        what == Ask::Release
            || places.get(server).is_some_and(|p| p.peer.dial == peer.dial && (p.serving || what.aside()))
    }

    fn idle(&self, server: ServerId) -> Option<Connection> {
        let mut places = self.0.places.borrow_mut();
        let place = places.get_mut(server)?;
        while let Some((since, mut connection)) = place.idle.pop() {
            // Whoever closes the old ones may not have had a turn yet.
            if since.elapsed() < self.0.limits.idle && connection.lives() {
                return Some(connection);
            }
        }
        None
    }

    async fn open(&self, server: ServerId, by: Option<Instant>) -> Result<Connection, CallError> {
        let usual = self.0.limits.connect_timeout;
        let time = by.map_or(usual, |by| usual.min(by.saturating_duration_since(Instant::now())));
        let peer = self.0.places.borrow().get(server).map(|p| p.peer.clone()).ok_or(CallError::NotSent)?;
        let slot = self.0.slots.clone().try_acquire_owned();
        let slot = slot.or_else(|_| {
            // Idle connections elsewhere give way.
            self.close_idle();
            self.0.slots.clone().try_acquire_owned()
        });
        // No word on the server: the lack is here.
        let slot = slot.map_err(|_| CallError::NotSent)?;
        match timeout(time, Connection::open(peer, slot)).await {
            Ok(Ok(connection)) => Ok(connection),
            // So short a time tells nothing of the server.
            Err(_) if time < usual / 2 => Err(CallError::NotSent),
            _ => {
                self.0.places.borrow_mut().note(server, |reach, now| reach.query_lost(now));
                Err(CallError::ConnectFailed)
            }
        }
    }

    /// Opens a connection for this, and counts it.
    async fn opened(
        &self, server: ServerId, what: Ask, by: Option<Instant>,
    ) -> Result<Connection, CallError> {
        let opened = self.open(server, by).await;
        let mut counts = self.0.counts.borrow_mut();
        match (&opened, what) {
            (Err(_), _) => counts.not_opened += 1,
            (Ok(_), Ask::Attempt) => counts.opened.attempt += 1,
            (Ok(_), Ask::Hold) => counts.opened.hold += 1,
            (Ok(_), Ask::Probe) => counts.opened.probe += 1,
            (Ok(_), Ask::Release) => counts.opened.release += 1,
        }
        opened
    }

    /// Keeps a connection for the next request once its last answer has been taken in.
    fn keep(&self, server: ServerId, mut connection: Connection) {
        if !connection.ended(self.serving(server)) {
            return;
        }
        let engine = self.clone();
        spawn_local(async move {
            if timeout(FREE_WITHIN, connection.sender.ready()).await.is_ok_and(|r| r.is_ok()) {
                engine.stand_idle(server, connection);
            }
        });
    }

    /// Has a connection that carries nothing wait for the next request.
    fn stand_idle(&self, server: ServerId, connection: Connection) {
        {
            let mut places = self.0.places.borrow_mut();
            // The list may have told meanwhile that the server now is somewhere else.
            let place = places.get_mut(server).filter(|p| p.serving && p.peer == connection.peer);
            let Some(place) = place else { return };
            place.idle.push((Instant::now(), connection));
        }
        self.reap();
    }

    /// Closes what has stood idle for too long, for as long as anything stands idle. One task for all: one for each
    /// time that a connection was kept held memory with rate times idle time.
    fn reap(&self) {
        if self.0.reaping.replace(true) {
            return;
        }
        let engine = self.clone();
        spawn_local(async move {
            loop {
                let idle = engine.0.limits.idle;
                let Some(oldest) = engine.0.places.borrow().oldest() else { break };
                sleep_until(oldest + idle).await;
                let now = Instant::now();
                for place in engine.0.places.borrow_mut().values_mut() {
                    place.idle.retain(|(since, _)| *since + idle > now);
                }
            }
            engine.0.reaping.set(false);
        });
    }

    /// Writes a request to a server once and returns the head of what comes back.
    async fn ask(
        &self, server: ServerId, asked: &Asked,
    ) -> Result<(Response<Incoming>, Connection), CallError> {
        let Asked { what, connect, wanted, .. } = asked;
        let what = *what;
        loop {
            // Nobody is dialled in vain: it costs the server work, and the request the time of the dial.
            if !wanted.is_active() || !(what.aside() || self.serving(server)) {
                return Err(CallError::NotSent);
            }
            let idle = self.idle(server);
            let kept = idle.is_some();
            self.0.counts.borrow_mut().reused += u64::from(kept);
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.opened(server, what, *connect).await?,
            };
            if asked.confirm {
                match self.confirm(server, &mut connection, *connect).await {
                    Ok(()) => {}
                    // It was closed while it stood idle, which says nothing of its server.
                    Err(Unconfirmed::Broken) if kept => continue,
                    Err(unconfirmed) => return Err(unconfirmed.into()),
                }
            }
            // Connecting takes time: what was told meanwhile counts at the first byte.
            if !connection.may_write(self.may_get(server, &connection.peer, what)) {
                return Err(CallError::NotSent);
            }
            let request = asked.written().ok_or(CallError::NotSent)?;
            let (engine, peer) = (self.clone(), connection.peer.clone());
            let (out, told) = (wanted.clone(), Instant::now());
            let clear = move || {
                // What it says of the time that is left was true when it was made up.
                let true_still = told.elapsed() <= MAX_STATED_DEADLINE_AGE;
                let clear = true_still && out.is_active() && engine.may_get(server, &peer, what);
                out.set_written(clear);
                clear
            };
            if what == Ask::Attempt {
                connection.count_whole(&request, self.0.relayed.clone());
            }
            match connection.send(request, clear).await {
                Ok(response) => {
                    self.0.places.borrow_mut().note(server, |reach, now| reach.answered(now));
                    return Ok((response, connection));
                }
                // The server closed the idle connection just now, and not a byte went out.
                Err(Verdict::Replace) => wanted.set_written(false),
                Err(Verdict::KeptBack) => return Err(CallError::NotSent),
                Err(Verdict::NeverRan) => return Err(CallError::ConnectFailed),
                Err(Verdict::MayHaveRun(e)) => return Err(broken(&e)),
            }
        }
    }

    /// A request and its whole answer.
    async fn brief(&self, server: ServerId, asked: &Asked) -> Result<(ResponseHead, Bytes), CallError> {
        let (response, connection) = self.ask(server, asked).await?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, BRIEF).collect().await.map_err(|_| CallError::Reset)?.to_bytes();
        self.keep(server, connection);
        Ok((ResponseHead { status: parts.status, headers: parts.headers }, body))
    }

    async fn attempt(&self, server: ServerId, asked: &Asked, whole: bool) -> Result<Reply, CallError> {
        let (response, connection) = self.ask(server, asked).await?;
        let (parts, body) = response.into_parts();
        let head = ResponseHead { status: parts.status, headers: parts.headers };
        let report = response_fields::report_of(&head.headers);
        if head.status == StatusCode::OK && !whole {
            if !response_fields::is_events(&head) {
                log!("an answer of server {:x} is no stream of events", server.0);
                return Err(CallError::MalformedResponse);
            }
            // From here on the connection is dropped, so closed, unless the stream comes to its end.
            let (moving, tap) = (self.0.moving.subscribe(), connection.tap.clone());
            let mut events =
                Stream { body, events: Events::default(), tail: Tail::default(), read: 0, tap, moving };
            let first = match self.soon(whole, events.next()).await?? {
                Next::Events(first) => first,
                Next::End | Next::Stands => return Err(CallError::Reset),
            };
            let rest =
                try_unfold((self.clone(), Some((events, connection))), move |(engine, open)| async move {
                    let Some((mut events, connection)) = open else { return Ok(None) };
                    Ok(match events.next().await? {
                        Next::Events(data) => Some((Frame::Data(data), (engine, Some((events, connection))))),
                        Next::Stands => {
                            let rest = connection.release().map_err(|_| CallError::Reset)?;
                            Some((Frame::HandedOver(rest), (engine, None)))
                        }
                        Next::End => {
                            engine.keep(server, connection);
                            let tail = &events.tail;
                            let end =
                                Frame::End { cached_tokens: tail.kept(), report: tail.report().or(report) };
                            Some((end, (engine, None)))
                        }
                    })
                });
            let frames = once(async { Ok(Frame::Data(first)) }).chain(rest).boxed_local();
            return Ok(Reply::Response { head, frames });
        }
        let Some(body) = self.soon(whole, self.whole(body)).await?? else {
            log!("an answer of server {:x} is too large to be kept whole", server.0);
            // Of a read that ended well a state is held all the same.
            return if head.status == StatusCode::ACCEPTED {
                Err(CallError::MalformedResponse)
            } else {
                Ok(Reply::Error { report })
            };
        };
        self.keep(server, connection);
        let turned_away = response_fields::turned_away(&head, self.0.limits.public_api);
        Ok(match head.status.as_u16() {
            202 => Reply::Prefilled { cached_tokens: response_fields::kept(&body), report },
            410 if turned_away => Reply::Rejected { state_missing: true, report },
            429 | 503 | 504 if turned_away => Reply::Rejected { state_missing: false, report },
            status if status == 200 || (self.0.limits.public_api && (400..500).contains(&status)) => {
                let end = Frame::End { cached_tokens: 0.0, report };
                let frames = iter([Ok(Frame::Data(body)), Ok(end)]).boxed_local();
                Reply::Response { head, frames }
            }
            400..=499 => Reply::Unprocessable { report },
            _ => Reply::Error { report },
        })
    }

    /// What has to follow a head at once; a public API has its own pace, and so has an answer that is a document.
    async fn soon<T>(&self, whole: bool, what: impl Future<Output = T>) -> Result<T, CallError> {
        if whole || self.0.limits.public_api {
            return Ok(what.await);
        }
        timeout(SOON, what).await.map_err(|_| {
            log!("an answer did not go on after its head");
            CallError::MalformedResponse
        })
    }

    /// All of an answer; `None` where there is no room for it.
    async fn whole(&self, mut body: Incoming) -> Result<Option<Bytes>, CallError> {
        let (mut all, mut claim) = (Vec::new(), self.0.budget.claim(0).ok_or(CallError::Reset)?);
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame.map_err(|e| broken(&e))?.into_data() {
                if all.len() + data.len() > WHOLE || !claim.grow(data.len()) {
                    return Ok(None);
                }
                all.extend_from_slice(&data);
            }
        }
        Ok(Some(claim.hold(all.into())))
    }

    async fn hold(&self, server: ServerId, payload: &Payload) -> Result<Reply, CallError> {
        let asked = Asked::aside(Ask::Hold, lease_request(Method::POST, &payload.request_id)?);
        let answer = timeout(HOLD_WAIT, self.brief(server, &asked)).await;
        Ok(Reply::SlotReserved(match answer.map_err(|_| CallError::Reset)??.0.status.as_u16() {
            200 => Some(true),
            409 => Some(false),
            _ => None,
        }))
    }

    async fn probe(&self, server: ServerId) -> Result<Reply, CallError> {
        let asked = Asked::aside(Ask::Probe, load_request()?);
        self.0.counts.borrow_mut().probes += 1;
        self.0.places.borrow_mut().note(server, |reach, now| reach.query_sent(now));
        let answer = timeout(PROBE_WAIT, self.brief(server, &asked)).await;
        if answer.is_err() {
            self.0.places.borrow_mut().note(server, |reach, now| reach.query_lost(now));
        }
        let (head, body) = answer.map_err(|_| CallError::Reset)??;
        let report = response_fields::report_of(&head.headers);
        let report = report.or_else(|| std::str::from_utf8(&body).ok().and_then(response_fields::report));
        Ok(Reply::Probed { healthy: head.status == StatusCode::OK, report })
    }

    async fn answer(self, call: Call) -> Result<Reply, CallError> {
        match call {
            Call::Attempt {
                server,
                payload,
                deadline: until,
                connect_timeout: connect,
                verify_connection: confirm,
                cancel_token: wanted,
            } => {
                let (request, connect) =
                    (attempt_request(&payload), connect.map(|time| Instant::now() + time));
                let asked =
                    Asked { what: Ask::Attempt, request, connect, confirm, until: Some(until), wanted };
                self.attempt(server, &asked, payload.buffer_response).await
            }
            Call::Release { payload } => self.release(&payload).await,
            Call::ReserveSlot { server, payload } => self.hold(server, &payload).await,
            Call::Probe { server } => self.probe(server).await,
            Call::VerifyReachable { server, finished_request: ended } => {
                self.check(server, ended.as_deref()).await
            }
            Call::CloseIdle { server } => {
                if let Some(place) = self.0.places.borrow_mut().get_mut(server) {
                    place.idle.clear();
                }
                Ok(Reply::Done)
            }
        }
    }
}

impl Service<Call> for Engine {
    type Response = Reply;
    type Error = CallError;
    type Future = LocalBoxFuture<'static, Result<Reply, CallError>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), CallError>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, call: Call) -> Self::Future {
        Box::pin(self.clone().answer(call))
    }
}
