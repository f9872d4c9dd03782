//! Accepts connections and serves a tower service on them until the process is to end.

use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use http::header::CONNECTION;
use http::{HeaderValue, Method, Request, Response, StatusCode, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout, Instant};
use tower::{service_fn, Service, ServiceExt};

use super::connection_table::{CloseReason, ConnectionTable, TableEntry};
use super::request_reader::{self, RequestReader};
use super::resumed_stream::Ended;
use super::tracked_body::TrackedBody;
use super::{response, Body, Front};
use crate::core;
use crate::counted_socket::{read_closed, CountedSocket};
use crate::log;
use crate::metrics::{RequestCounter, RequestMetrics, RequestOutcome};
use crate::pools::Pool;
use crate::shutdown::{Phase, Shutdown};
use crate::upgrade::transferred::{ConnectionGuard, TransferredConnection, TransferredStream};
use crate::upgrade::{self, TransferInbox};

/// Connections beyond the cap that may at the same time be told to come back later; further ones are closed.
pub const REFUSING: usize = 24;
/// What is in the machine's queue when accepting ends has been accepted for us, so it is served.
const LAST_ACCEPT: Duration = Duration::from_millis(5);
/// Where connections still come without a pause, accepting ends after this time all the same.
const LAST_ACCEPTS: Duration = Duration::from_millis(100);
/// Pause after a failed accept (no descriptor left, say).
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

type Answer = Result<Response<TrackedBody>, Infallible>;

type Classify = Rc<dyn Fn(&Request<Incoming>) -> Option<RequestCounter>>;

/// What a front says of a request that it does not answer itself.
#[derive(Clone)]
struct Aside {
    tally: Classify,
    turn_away: Rc<dyn Fn(&'static str) -> Response<Body>>,
}

/// What a connection is good for after a stream that another process began.
pub enum ConnectionFate {
    KeepAlive,
    Close,
    /// A further process goes on with the stream.
    HandedOver(TransferredStream),
}

/// Goes on with a stream.
pub type Resume =
    Rc<dyn for<'a> Fn(&'a mut TcpStream, TransferredStream) -> LocalBoxFuture<'a, ConnectionFate>>;

/// Goes on with streams over this pool, and counts them here at their end.
pub fn resume(pool: &Pool, counters: &RequestMetrics) -> Resume {
    let (pool, counters) = (pool.clone(), counters.clone());
    Rc::new(move |socket, TransferredStream { remainder: rest, class }| {
        let tally = class.as_ref().and_then(|class| counters.counter(class));
        let (frames, open) = (pool.engine.resume(rest), pool.resumed.open());
        Box::pin(async move {
            let ended = super::resumed_stream::resume(socket, core::resume(frames)).await;
            drop(open);
            let (outcome, after) = match ended {
                Ended::Whole => (Some(RequestOutcome::Fulfilled), ConnectionFate::KeepAlive),
                Ended::Broken => (Some(RequestOutcome::Faulted), ConnectionFate::Close),
                Ended::ClientGone => (None, ConnectionFate::Close),
                Ended::Moved(rest) => {
                    (None, ConnectionFate::HandedOver(TransferredStream { remainder: rest, class }))
                }
            };
            if let Some((tally, outcome)) = tally.zip(outcome) {
                tally.count(outcome);
            }
            after
        })
    })
}

/// How connections come to a front.
pub struct FrontListener {
    /// The front's number, by which another process knows it.
    pub number: u8,
    pub listener: TcpListener,
    /// Connections that another process hands over.
    pub inbox: Option<TransferInbox>,
    /// Goes on with streams that another process began.
    pub resume: Option<Resume>,
    /// Accepting begins once this is so.
    pub open: watch::Receiver<bool>,
}

impl From<TcpListener> for FrontListener {
    fn from(listener: TcpListener) -> Self {
        FrontListener {
            number: upgrade::PLATFORM,
            listener,
            inbox: None,
            resume: None,
            open: watch::Sender::new(true).subscribe(),
        }
    }
}

/// Serves until shutdown has passed its accepting phase, then lets connections end by themselves.
pub async fn serve(door: impl Into<FrontListener>, front: impl Front, cap: usize, shutdown: Shutdown) {
    let FrontListener { number, listener, mut inbox, resume, mut open } = door.into();
    let service = front.clone().service();
    let turning_away = front.clone();
    let aside = Aside {
        tally: Rc::new(move |request| front.request_counter(request)),
        turn_away: Rc::new(move |why| turning_away.reject(why)),
    };
    let crowd = Rc::new(ConnectionTable::default());
    // The end waits for the queue as for a connection: what it holds when accepting ends is still taken.
    let _accepting = shutdown.guard();
    // Guards the descriptors of servers and discovery, and the way in: at the cap, whoever has stood longest
    // without an open request gives way; only where all have one is the new connection refused.
    let take = |socket: TcpStream, stream: Option<TransferredStream>| {
        if crowd.len() >= cap {
            crowd.evict();
        }
        if crowd.len() >= cap + REFUSING.min(cap) {
            log!("a connection is closed: {cap} have open requests, and no more can be refused");
            return;
        }
        let full = crowd.len() >= cap;
        let (service, aside, resume) = (service.clone(), aside.clone(), resume.clone());
        // Before it is polled: none is uncounted in between.
        let (guard, place) = (shutdown.guard(), crowd.enter());
        let shutdown = (shutdown.clone(), number);
        spawn_local(async move {
            let mut socket = socket;
            if let Some((moved, resume)) = stream.zip(resume) {
                place.watch.resume();
                match resume(&mut socket, moved).await {
                    ConnectionFate::KeepAlive => place.watch.answered(),
                    ConnectionFate::Close => return place.watch.close(&socket).await,
                    ConnectionFate::HandedOver(moved) => {
                        return hand(&shutdown, socket.into_std().ok(), Some(moved), guard)
                    }
                }
            }
            if full {
                // Whoever asks whether the gateway is ready is no client, and takes nobody's place for long.
                let turn_away = aside.turn_away.clone();
                let refuse = service_fn(move |request: Request<Incoming>| {
                    let (service, turn_away) = (service.clone(), turn_away.clone());
                    async move {
                        if request.method() != Method::GET {
                            return Ok(last(turn_away("too many connections\n")));
                        }
                        Ok(last(service.oneshot(request).await?))
                    }
                });
                connection(socket, refuse, aside, (shutdown, guard), place).await;
            } else {
                connection(socket, service, aside, (shutdown, guard), place).await;
            }
        });
    };
    let stop = shutdown.reached(Phase::Closing);
    tokio::pin!(stop);
    tokio::select! {
        () = &mut stop => return,
        // Whoever would open it is gone: then it stays shut.
        _ = open.wait_for(|open| *open) => {}
    }
    let mut heirs = shutdown.successor_updates();
    loop {
        // Another process accepts in place of this one for as long as it is there.
        let accepting = heirs.borrow_and_update().is_none();
        tokio::select! {
            biased;
            () = &mut stop => break,
            _ = heirs.changed() => {}
            Some((socket, stream)) = next(&mut inbox) => match TcpStream::from_std(socket) {
                Ok(socket) => take(socket, stream),
                Err(e) => log!("a connection could not be taken over: {e}"),
            },
            accepted = listener.accept(), if accepting => match accepted {
                Ok((socket, _)) => {
                    take(socket, None);
                    // Whoever gives way closes, and whoever is new is read, before the next one comes.
                    if crowd.len() >= cap {
                        yield_now().await;
                    }
                }
                Err(e) => {
                    log!("cannot accept: {e}");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
        }
    }
    if shutdown.has_successor() {
        return;
    }
    let last = async {
        while let Ok(Ok((socket, _))) = timeout(LAST_ACCEPT, listener.accept()).await {
            take(socket, None);
        }
    };
    let _ = timeout(LAST_ACCEPTS, last).await;
}

/// The next connection handed over; none ever where nobody can.
async fn next(inbox: &mut Option<TransferInbox>) -> Option<(std::net::TcpStream, Option<TransferredStream>)> {
    match inbox {
        Some(inbox) => inbox.recv().await,
        None => None,
    }
}

/// Hands a connection to the process that has taken over.
fn hand(
    (shutdown, front): &(Shutdown, u8), socket: Option<std::net::TcpStream>,
    stream: Option<TransferredStream>, guard: ConnectionGuard,
) {
    if let (Some(socket), Some(heir)) = (socket, shutdown.successor_updates().borrow().as_ref()) {
        let _ = heir.send(TransferredConnection { front: *front, socket, stream, guard });
    }
}

/// Its connection ends after it.
fn last(mut response: Response<Body>) -> Response<Body> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

async fn connection<S>(
    socket: TcpStream, service: S, aside: Aside,
    ((shutdown, front), guard): ((Shutdown, u8), ConnectionGuard), place: TableEntry,
) where
    S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible, Future: 'static>
        + Clone
        + 'static,
{
    let _ = socket.set_nodelay(true);
    let (wire, leaving, watch) = (CountedSocket::new(socket), shutdown.clone(), place.watch.clone());
    watch.serves(&wire);
    let began = Instant::now();
    let service = service_fn(move |request| -> LocalBoxFuture<'static, Answer> {
        let (tally, chunked) = ((aside.tally)(&request), request.version() == Version::HTTP_11);
        let (service, leaving, watch) = (service.clone(), leaving.clone(), watch.clone());
        let turn_away = aside.turn_away.clone();
        Box::pin(async move {
            let mut response = match watch.fault() {
                Some(what) => response(StatusCode::BAD_REQUEST, format!("{what}\n")),
                None if tally.is_some() && leaving.rejects_new_requests() => turn_away("out of service\n"),
                None => service.oneshot(request).await?,
            };
            // While clients are sent away, each answer says that its connection ends; but not where a further request
            // lies behind this one, which would be dropped.
            if watch.ends() || leaving.is_draining() && !watch.has_more() {
                response = last(response);
            }
            // The one place where requests are counted: here both fronts' answers pass, and every refusal.
            let tally = match (tally, response.body()) {
                (Some(tally), Body::Full(_)) => {
                    tally.count(RequestOutcome::from_status(response.status()));
                    None
                }
                (tally, _) => tally,
            };
            Ok(response.map(|body| TrackedBody { body, watch, chunked, tally }))
        })
    });
    let connection =
        http1::Builder::new().header_read_timeout(None).max_buf_size(request_reader::HEAD).serve_connection(
            TokioIo::new(RequestReader::new(wire.clone(), place.watch.clone())),
            TowerToHyperService::new(service),
        );
    let at_rest = {
        tokio::pin!(connection);
        let stop = shutdown.connection_must_end(began);
        tokio::pin!(stop);
        let gone = read_closed(&wire.socket);
        tokio::pin!(gone);
        let (mut stopping, mut closed, mut heirs) = (false, false, shutdown.successor_updates());
        loop {
            let rests = || shutdown.has_successor() && place.watch.goes();
            tokio::select! {
                // Asked in this order: what the connection has just done decides whether it rests.
                biased;
                // Errors are the client's going, or an answer that broke off on purpose.
                _ = connection.as_mut() => break false,
                // The client has gone: so has its request.
                () = poll_fn(|cx| match place.watch.reads_nothing() {
                    true => gone.as_mut().poll(cx),
                    false => Poll::Pending,
                }) => return,
                over = place.over() => match over {
                    CloseReason::TimedOut => break false,
                    CloseReason::Evicted => return,
                },
                () = poll_fn(|_| if rests() { Poll::Ready(()) } else { Poll::Pending }) => break true,
                _ = heirs.changed() => {}
                () = &mut stop, if !stopping && !shutdown.has_successor() => stopping = true,
                // A request that has come is served before, read or not, behind another or alone.
                () = poll_fn(|_| if place.watch.rests() { Poll::Ready(()) } else { Poll::Pending }),
                    if stopping && !closed =>
                {
                    closed = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    };
    if at_rest {
        // hyper has let go of it. Nothing of a request has been read, or all of its answer so far is out: either way
        // the other process can go on.
        let socket = Rc::try_unwrap(wire.socket).ok().and_then(|s| s.into_std().ok());
        hand(&(shutdown, front), socket, place.watch.moved(), guard);
        return;
    }
    place.watch.close(&wire.socket).await;
}
