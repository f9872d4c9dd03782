//! Serves one client's connection until it ends, is evicted, or goes to a successor.

use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};

use futures_util::future::LocalBoxFuture;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, StatusCode, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tower::{Service, ServiceExt};

use super::connection_table::{CloseReason, TableEntry};
use super::connection_watch::ConnectionWatch;
use super::request_reader::{RequestReader, MAX_HEAD_BYTES};
use super::tracked_body::{Framing, TrackedBody};
use super::unanswered::EndReason;
use super::{response, ArrivedAt, Body, HttpService};
use crate::counted_socket::{read_closed, unread_bytes, CountedSocket};
use crate::metrics::{RequestCounter, RequestOutcome};
use crate::shutdown::Shutdown;
use crate::upgrade::transferred::{ConnectionGuard, TransferredConnection, TransferredStream};

/// Finds what counts a request, where it is one of a known class.
pub(super) type CounterOfRequest = Rc<dyn Fn(&Request<Incoming>) -> Option<RequestCounter>>;

/// What a front says of a request that does not reach it.
#[derive(Clone)]
pub(super) struct FrontHooks {
    pub request_counter: CounterOfRequest,
    /// The response to a request that is rejected before the front sees it.
    pub reject: Rc<dyn Fn(&'static str) -> Response<Body>>,
}

/// Where connections go once a successor has taken over.
#[derive(Clone)]
pub(super) struct Handover {
    pub shutdown: Shutdown,
    /// The front's number, by which the successor knows it.
    pub front: u8,
}

impl Handover {
    /// Sends a connection to the successor, if there is one; else it is dropped. Says whether it was sent.
    pub fn send(
        &self, socket: Option<std::net::TcpStream>, stream: Option<TransferredStream>, guard: ConnectionGuard,
    ) -> bool {
        let Some(socket) = socket else { return false };
        let successor = self.shutdown.successor_updates();
        let successor = successor.borrow();
        // A successor that has died leaves the connection to be closed here.
        successor.as_ref().is_some_and(|successor| {
            successor.send(TransferredConnection { front: self.front, socket, stream, guard }).is_ok()
        })
    }
}

/// Marks a response as the last on its connection.
pub(super) fn closing(mut response: Response<Body>) -> Response<Body> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// The front's service on one connection: rejects what must not reach it, and counts requests where their responses pass.
#[derive(Clone)]
struct ConnectionService<S> {
    service: S,
    hooks: FrontHooks,
    shutdown: Shutdown,
    watch: Rc<ConnectionWatch>,
}

type Answer = Result<Response<TrackedBody>, Infallible>;

impl<S: HttpService> Service<Request<Incoming>> for ConnectionService<S> {
    type Response = Response<TrackedBody>;
    type Error = Infallible;
    type Future = LocalBoxFuture<'static, Answer>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, mut request: Request<Incoming>) -> Self::Future {
        if let Some(arrived) = self.watch.take_arrival() {
            request.extensions_mut().insert(ArrivedAt(arrived));
        }
        let counter = (self.hooks.request_counter)(&request);
        Box::pin(self.clone().respond(request, counter))
    }
}

impl<S: HttpService> ConnectionService<S> {
    async fn respond(self, request: Request<Incoming>, counter: Option<RequestCounter>) -> Answer {
        let framing = match request.version() {
            Version::HTTP_11 => Framing::Chunked,
            _ => Framing::UntilClose,
        };
        let mut response = match self.watch.framing_fault() {
            Some(fault) => response(StatusCode::BAD_REQUEST, format!("{fault}\n")),
            None if counter.is_some() && self.shutdown.rejects_new_requests() => {
                (self.hooks.reject)("out of service\n")
            }
            None => self.service.oneshot(request).await?,
        };
        // While the gateway drains, each response says that its connection ends; but not where a further request lies
        // behind this one, which would be dropped.
        if self.watch.closes_after_response()
            || self.shutdown.is_draining() && !self.watch.has_pipelined_request()
        {
            response = closing(response);
        }
        // The one place where requests are counted: here both fronts' responses pass, and every rejection.
        let counter = match (counter, response.body()) {
            (Some(counter), Body::Full(_)) => {
                counter.count(RequestOutcome::from_status(response.status()));
                None
            }
            (counter, _) => counter,
        };
        let watch = self.watch;
        Ok(response.map(|body| TrackedBody { body, watch, framing, counter, is_complete: false }))
    }
}

/// How the serving of a connection ended.
enum ServingEnd {
    /// Nothing more is served on it; it is closed in order.
    Close,
    /// Its client has disconnected: it is dropped at once.
    Drop,
    /// It was evicted: its end is sent in order, where that does not hold up others, so that a request that crosses it is known
    /// to its client as unread.
    Evicted,
    /// The successor goes on with it.
    HandOver,
}

/// Serves a connection until it ends here.
pub(super) async fn serve_connection<S: HttpService>(
    socket: TcpStream, service: S, hooks: FrontHooks, handover: Handover, guard: ConnectionGuard,
    entry: TableEntry,
) {
    // A socket without the option is slower, and served all the same.
    let _ = socket.set_nodelay(true);
    let socket = CountedSocket::new(socket);
    entry.watch.watch_socket(&socket);
    let unread = UnreadAtEnd { watch: entry.watch.clone(), socket: Rc::downgrade(&socket.socket) };
    let end = {
        let shutdown = handover.shutdown.clone();
        let service = ConnectionService { service, hooks, shutdown, watch: entry.watch.clone() };
        let reader = RequestReader::new(socket.clone(), entry.watch.clone());
        let connection = http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(reader), TowerToHyperService::new(service));
        drive(pin!(connection), &socket, &handover.shutdown, &entry).await
    };
    match end {
        ServingEnd::Drop => {}
        ServingEnd::Evicted => {
            if let Some(_lingering) = entry.linger() {
                entry.watch.close(&socket.socket).await;
            }
        }
        ServingEnd::Close => entry.watch.close(&socket.socket).await,
        ServingEnd::HandOver => {
            // hyper has let go of it. Nothing of a request has been read, or all of its response so far is written: either
            // way the successor can go on.
            drop(unread);
            let socket = Rc::try_unwrap(socket.socket).ok().and_then(|socket| socket.into_std().ok());
            if !handover.send(socket, entry.watch.take_detached_stream(), guard) {
                entry.watch.decide_end(EndReason::HandoverFailed);
            }
        }
    }
}

/// Notes, as a connection is dropped on whatever path, what of its client's bytes nobody has read.
struct UnreadAtEnd {
    watch: Rc<ConnectionWatch>,
    socket: Weak<TcpStream>,
}

impl Drop for UnreadAtEnd {
    fn drop(&mut self) {
        if let Some(socket) = self.socket.upgrade() {
            self.watch.end.note_unread(unread_bytes(&socket));
        }
    }
}

type HttpConnection<S> = http1::Connection<TokioIo<RequestReader>, TowerToHyperService<ConnectionService<S>>>;

/// Drives hyper's connection, and watches for whatever ends it.
async fn drive<S: HttpService>(
    mut connection: Pin<&mut HttpConnection<S>>, socket: &CountedSocket, shutdown: &Shutdown,
    entry: &TableEntry,
) -> ServingEnd {
    let mut must_end = pin!(shutdown.connection_must_end(Instant::now()));
    let mut client_disconnected = pin!(read_closed(&socket.socket));
    let mut successor_updates = shutdown.successor_updates();
    let mut ending = false;
    let mut shut_down = false;
    loop {
        let can_hand_over = || shutdown.has_successor() && entry.watch.try_hand_over();
        tokio::select! {
            // In this order: what the connection has just done decides whether it is idle.
            biased;
            // Errors are the client's disconnect, or a response that broke off on purpose.
            result = connection.as_mut() => {
                let reason = match result {
                    Ok(()) if shut_down => EndReason::Shutdown,
                    Ok(()) => EndReason::LastResponse,
                    Err(_) => EndReason::ProtocolError,
                };
                entry.watch.decide_end(entry.watch.end.reason_or(reason));
                return ServingEnd::Close;
            }
            // hyper does not see the disconnect where nothing is read. With the client goes its request.
            () = poll_fn(|context| match entry.watch.is_blind_to_disconnect() {
                true => client_disconnected.as_mut().poll(context),
                false => Poll::Pending,
            }) => {
                entry.watch.decide_end(EndReason::ClientEnded);
                return ServingEnd::Drop;
            }
            reason = entry.must_close() => return match reason {
                CloseReason::TimedOut => {
                    entry.watch.decide_end(EndReason::TimedOut);
                    ServingEnd::Close
                }
                CloseReason::Evicted => {
                    entry.watch.decide_end(EndReason::Evicted);
                    entry.watch.count_evicted();
                    ServingEnd::Evicted
                }
            },
            () = ready_when(can_hand_over) => return ServingEnd::HandOver,
            _ = successor_updates.changed() => {}
            () = &mut must_end, if !ending && !shutdown.has_successor() => ending = true,
            // A request that has come is served before, read or not, behind another or alone.
            () = ready_when(|| entry.watch.is_idle()), if ending && !shut_down => {
                shut_down = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Ready if the condition holds when it is polled. It wakes nobody: whatever changes the condition has to.
fn ready_when(condition: impl Fn() -> bool) -> impl Future<Output = ()> {
    poll_fn(move |_| if condition() { Poll::Ready(()) } else { Poll::Pending })
}
