//! Serves one client connection until it ends, is evicted, or is handed over to a successor.

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

use super::connection_state::ConnectionState;
use super::connection_table::{CloseReason, TableEntry};
use super::request_reader::{RequestReader, MAX_HEAD_BYTES};
use super::tracked_body::{Framing, TrackedBody};
use super::unanswered::EndReason;
use super::{response, ArrivedAt, Body, HttpService};
use crate::counted_socket::{unread_bytes, wait_for_peer_close, CountedSocket};
use crate::metrics::{RequestCounter, RequestOutcome};
use crate::shutdown::Shutdown;
use crate::upgrade::transferred::{ConnectionGuard, TransferredConnection, TransferredStream};

/// Returns the counter for a request; `None` if the request belongs to no known class.
pub(super) type RequestCounterLookup = Rc<dyn Fn(&Request<Incoming>) -> Option<RequestCounter>>;

/// Functions of a front that its connections call apart from its HTTP service.
#[derive(Clone)]
pub(super) struct FrontHooks {
    pub request_counter: RequestCounterLookup,
    /// Returns the response to a request that is rejected before it reaches the front.
    pub reject: Rc<dyn Fn(&'static str) -> Response<Body>>,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
}

/// Hands connections over to the successor process.
#[derive(Clone)]
pub(super) struct Handover {
    pub shutdown: Shutdown,
    /// Number that identifies the front to the successor.
    pub front: u8,
}

impl Handover {
    /// Sends a connection to the successor, or drops it if there is none. Returns whether it was sent.
    pub fn send(
        &self, socket: Option<std::net::TcpStream>, stream: Option<TransferredStream>, guard: ConnectionGuard,
    ) -> bool {
        let Some(socket) = socket else { return false };
        let successor = self.shutdown.successor_updates();
        let successor = successor.borrow();
        // Sending fails if the successor has terminated; the connection is closed here then.
        successor.as_ref().is_some_and(|successor| {
            successor.send(TransferredConnection { front: self.front, socket, stream, guard }).is_ok()
        })
    }
}

/// Adds `Connection: close`, which marks a response as the last one on its connection.
pub(super) fn with_connection_close(mut response: Response<Body>) -> Response<Body> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Wraps the front's service on one connection: rejects requests that must not reach the front, and counts
/// requests by their responses.
#[derive(Clone)]
struct ConnectionService<S> {
    service: S,
    hooks: FrontHooks,
    shutdown: Shutdown,
    state: Rc<ConnectionState>,
}

type ServiceResult = Result<Response<TrackedBody>, Infallible>;

impl<S: HttpService> Service<Request<Incoming>> for ConnectionService<S> {
    type Response = Response<TrackedBody>;
    type Error = Infallible;
    type Future = LocalBoxFuture<'static, ServiceResult>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, mut request: Request<Incoming>) -> Self::Future {
        if let Some(arrived) = self.state.take_arrival() {
            request.extensions_mut().insert(ArrivedAt(arrived));
        }
        let counter = (self.hooks.request_counter)(&request);
        Box::pin(self.clone().respond(request, counter))
    }
}

impl<S: HttpService> ConnectionService<S> {
    async fn respond(self, request: Request<Incoming>, counter: Option<RequestCounter>) -> ServiceResult {
        let framing = match request.version() {
            Version::HTTP_11 => Framing::Chunked,
            _ => Framing::UntilClose,
        };
        let mut response = match self.state.framing_fault() {
            Some(fault) => response(StatusCode::BAD_REQUEST, format!("{fault}\n")),
            None if counter.is_some() && self.shutdown.rejects_new_requests() => {
                (self.hooks.reject)("out of service\n")
            }
            None => self.service.oneshot(request).await?,
        };
        // While the gateway drains, each response announces the end of its connection, unless a further request has
        // arrived behind this one: that request would be dropped.
        if self.state.closes_after_response()
            || self.shutdown.is_draining() && !self.state.has_pipelined_request()
        {
            response = with_connection_close(response);
        }
        // The responses of all fronts and all rejections pass through here, so requests are counted in this
        // place: a full body at once, a stream by `TrackedBody` at its end.
        let counter = match (counter, response.body()) {
            (Some(counter), Body::Full(_)) => {
                counter.count(RequestOutcome::from_status(response.status()));
                None
            }
            (counter, _) => counter,
        };
        let state = self.state;
        Ok(response.map(|body| TrackedBody { body, state, framing, counter, is_complete: false }))
    }
}

/// How the service of a connection ended.
enum ServingEnd {
    /// No further request is served; the connection is closed gracefully.
    Close,
    /// The client has disconnected; the connection is dropped at once.
    Drop,
    /// The connection was evicted. Unless that would delay others, it is closed gracefully, so that a client
    /// that sends a request at this moment can tell that the request was not read.
    Evicted,
    /// The connection is handed over to the successor.
    HandOver,
}

/// Serves a connection until it is closed, dropped or handed over.
pub(super) async fn serve_connection<S: HttpService>(
    socket: TcpStream, service: S, hooks: FrontHooks, handover: Handover, guard: ConnectionGuard,
    entry: TableEntry,
) {
    // Without this option responses may be delayed, but the connection works, so a failure is ignored.
    let _ = socket.set_nodelay(true);
    let socket = CountedSocket::new(socket);
    entry.state.set_socket(&socket);
    let unread_recorder =
        UnreadRecorder { state: entry.state.clone(), socket: Rc::downgrade(&socket.socket) };
    let end = {
        let shutdown = handover.shutdown.clone();
        let reader = RequestReader::new(socket.clone(), entry.state.clone(), hooks.max_body_bytes);
        let service = ConnectionService { service, hooks, shutdown, state: entry.state.clone() };
        let connection = http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(reader), TowerToHyperService::new(service));
        drive(pin!(connection), &socket, &handover.shutdown, &entry).await
    };
    match end {
        ServingEnd::Drop => {}
        ServingEnd::Evicted => {
            if let Some(_permit) = entry.try_linger() {
                entry.state.close(&socket.socket).await;
            }
        }
        ServingEnd::Close => entry.state.close(&socket.socket).await,
        ServingEnd::HandOver => {
            // hyper has released the socket. Either no part of a request has been read, or all of the response
            // so far is written; in both cases the successor can continue.
            drop(unread_recorder);
            let socket = Rc::try_unwrap(socket.socket).ok().and_then(|socket| socket.into_std().ok());
            if !handover.send(socket, entry.state.take_detached_stream(), guard) {
                entry.state.decide_end(EndReason::HandoverFailed);
            }
        }
    }
}

/// Records the number of unread bytes of the client when the connection is dropped, on whichever path.
struct UnreadRecorder {
    state: Rc<ConnectionState>,
    socket: Weak<TcpStream>,
}

impl Drop for UnreadRecorder {
    fn drop(&mut self) {
        if let Some(socket) = self.socket.upgrade() {
            self.state.end.note_unread(unread_bytes(&socket));
        }
    }
}

type HttpConnection<S> = http1::Connection<TokioIo<RequestReader>, TowerToHyperService<ConnectionService<S>>>;

/// Drives hyper's connection until it ends or one of the events occurs that end its service.
async fn drive<S: HttpService>(
    mut connection: Pin<&mut HttpConnection<S>>, socket: &CountedSocket, shutdown: &Shutdown,
    entry: &TableEntry,
) -> ServingEnd {
    let mut must_end = pin!(shutdown.wait_until_connection_must_end(Instant::now()));
    let mut client_disconnected = pin!(wait_for_peer_close(&socket.socket));
    let mut successor_updates = shutdown.successor_updates();
    let mut close_when_idle = false;
    let mut shutdown_started = false;
    loop {
        let can_hand_over = || shutdown.has_successor() && entry.state.try_hand_over();
        tokio::select! {
            // The connection is polled first, because its progress decides whether it is idle.
            biased;
            // An error is a disconnect of the client, a response that was aborted with an error, or a violation
            // of the protocol.
            result = connection.as_mut() => {
                let reason = match result {
                    Ok(()) if shutdown_started => EndReason::Shutdown,
                    Ok(()) => EndReason::LastResponse,
                    Err(_) => EndReason::ProtocolError,
                };
                entry.state.decide_end(entry.state.end.reason_or(reason));
                return ServingEnd::Close;
            }
            // hyper does not notice a disconnect while nothing is read. Dropping the connection cancels its
            // request.
            () = poll_fn(|context| match entry.state.cannot_detect_disconnect() {
                true => client_disconnected.as_mut().poll(context),
                false => Poll::Pending,
            }) => {
                entry.state.decide_end(EndReason::ClientEnded);
                return ServingEnd::Drop;
            }
            reason = entry.close_required() => return match reason {
                CloseReason::TimedOut => {
                    entry.state.decide_end(EndReason::TimedOut);
                    ServingEnd::Close
                }
                CloseReason::Evicted => {
                    entry.state.decide_end(EndReason::Evicted);
                    entry.state.count_evicted();
                    ServingEnd::Evicted
                }
            },
            () = ready_when(can_hand_over) => return ServingEnd::HandOver,
            _ = successor_updates.changed() => {}
            () = &mut must_end, if !close_when_idle && !shutdown.has_successor() => close_when_idle = true,
            // A request that has arrived is served first, even if it is unread or pipelined behind another one.
            () = ready_when(|| entry.state.is_idle()), if close_when_idle && !shutdown_started => {
                shutdown_started = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Returns a future that is ready if the condition holds when it is polled. It registers no waker: the code
/// that changes the condition must wake the task.
fn ready_when(condition: impl Fn() -> bool) -> impl Future<Output = ()> {
    poll_fn(move |_| if condition() { Poll::Ready(()) } else { Poll::Pending })
}
