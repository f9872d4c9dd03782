//! Accept loop of a front: accepts connections, limits how many are open, and starts a task that serves each of
//! them.

use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use glenrail_request_lifecycle::client::Stage;
use http::{Method, Request};
use hyper::body::Incoming;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{coop, spawn_local, yield_now};
use tokio::time::{sleep, sleep_until, Instant};
use tower::{service_fn, ServiceExt};

use super::accept_queue_monitor::AcceptQueueMonitor;
use super::connection::{serve_connection, with_connection_close, FrontHooks, Handover};
use super::connection_end::{ConnectionEnd, EndDecision};
use super::connection_table::{ConnectionTable, TableEntry};
use super::resumed_stream::{write_remainder, StreamResult};
use super::unanswered::EndReason;
use super::{accept_queue, closed_connections, Front, HttpService};
use crate::core;
use crate::counted_socket::{has_unread, unread_bytes};
use crate::engine::ResumedResponse;
use crate::log;
use crate::metrics::{RequestMetrics, RequestOutcome};
use crate::pools::Pool;
use crate::shutdown::{Phase, Shutdown};
use crate::upgrade::transferred::{ConnectionGuard, TransferredStream};
use crate::upgrade::{self, TransferInbox};

/// Maximum number of connections over the cap that are open at the same time to reject their requests; further
/// connections are closed without a response.
pub const MAX_REJECTING_CONNECTIONS: usize = 24;
/// Evicted connections that are being closed gracefully may be at most one in this many of
/// [`MAX_REJECTING_CONNECTIONS`], or of the cap if that is lower.
const LINGERING_DIVISOR: usize = 2;
/// Pause after a failed accept, for example when no file descriptor is left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// What happens to a connection after a stream that another process began.
pub enum AfterStream {
    /// It serves further requests.
    KeepAlive,
    /// It is closed gracefully, for this reason.
    Close(EndReason),
    /// It is handed over to a further process, which continues the stream.
    HandedOver(TransferredStream),
}

/// Continues a stream that another process began, on the socket of its client.
pub type Resume = Rc<dyn for<'a> Fn(&'a mut TcpStream, TransferredStream) -> LocalBoxFuture<'a, AfterStream>>;

/// Returns a function that continues streams through the given pool. It counts a request in `metrics` when
/// its stream is complete or was aborted by the server.
pub fn resume(pool: &Pool, metrics: &RequestMetrics) -> Resume {
    let (pool, metrics) = (pool.clone(), metrics.clone());
    Rc::new(move |socket, TransferredStream { remainder, class }| {
        let counter = class.as_ref().and_then(|class| metrics.counter(class));
        // Held here too until the client has the end of the stream.
        let id_hold = remainder.id_hold.clone();
        let ResumedResponse { frames, timing } = pool.engine.resume(remainder);
        let open_stream = pool.resumed.open();
        Box::pin(async move {
            let response = core::resume_stream(frames, timing, id_hold.clone());
            let result = write_remainder(socket, response).await;
            if let (StreamResult::ClientDisconnected, Some(id_hold)) = (&result, &id_hold) {
                id_hold.retain();
            }
            drop((open_stream, id_hold));
            let (outcome, after_stream) = match result {
                StreamResult::Complete => (Some(RequestOutcome::Fulfilled), AfterStream::KeepAlive),
                StreamResult::Broken => {
                    (Some(RequestOutcome::Faulted), AfterStream::Close(EndReason::ResponseAborted))
                }
                StreamResult::ClientDisconnected => (None, AfterStream::Close(EndReason::ClientEnded)),
                StreamResult::HandedOver(remainder) => {
                    (None, AfterStream::HandedOver(TransferredStream { remainder, class }))
                }
            };
            if let Some((counter, outcome)) = counter.zip(outcome) {
                counter.count(outcome);
            }
            after_stream
        })
    })
}

/// Sources of the connections of a front.
pub struct FrontListener {
    /// Number that identifies the front to another process.
    pub number: u8,
    /// Listening socket for clients.
    pub listener: TcpListener,
    /// Receives connections from another process; `None` if the front takes over no connections.
    pub inbox: Option<TransferInbox>,
    /// Continues streams that another process began; `None` if the front takes over no streams.
    pub resume: Option<Resume>,
    /// Accepting begins when this becomes true.
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

/// Whether the requests on a connection reach the front.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Admission {
    Admitted,
    /// No connection within the cap could be evicted, so requests on this one are rejected.
    OverCap,
}

/// Starts the connections of one front, and holds what they share.
struct Acceptor<S> {
    service: S,
    hooks: FrontHooks,
    table: Rc<ConnectionTable>,
    /// Maximum number of connections that are served at the same time.
    cap: usize,
    handover: Handover,
    resume: Option<Resume>,
    queue_monitor: AcceptQueueMonitor,
}

impl<S: HttpService> Acceptor<S> {
    fn is_full(&self) -> bool {
        self.table.len() >= self.cap
    }

    /// Waits as [`ConnectionTable::wait_for_vacancy`] does, and then for `next`. Meanwhile new connections
    /// stay in the kernel's accept queue, where nothing that their clients send is lost.
    async fn when_vacant<T>(&self, next: impl Future<Output = T>) -> T {
        if self.table.must_wait(self.cap) {
            self.queue_monitor.note_unpolled(Instant::now());
        }
        self.table.wait_for_vacancy(self.cap).await;
        next.await
    }

    /// Accepts a connection, and records when the accept queue is empty.
    async fn accept(&self, listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
        poll_fn(|context| {
            let accepted = listener.poll_accept(context);
            // With its coop budget used up, tokio returns `Pending` even if a connection is queued.
            if accepted.is_pending() && coop::has_budget_remaining() {
                self.queue_monitor.note_empty();
            }
            accepted
        })
        .await
    }

    /// Starts serving a connection from the kernel's accept queue.
    fn start_accepted(&self, socket: TcpStream, client: SocketAddr) {
        let now = Instant::now();
        let arrived = self.queue_monitor.earliest_arrival(now);
        let waiting_since = (arrived < now && has_unread(&socket)).then_some(arrived);
        self.start(socket, Some(client), None, waiting_since);
    }

    /// Starts serving a connection. The cap reserves file descriptors for servers and discovery. At the cap,
    /// the connection that has been idle longest is evicted, so that idle clients do not lock out new ones. If
    /// none can be evicted, as when all have an open request, the requests on the new connection are rejected.
    fn start(
        &self, socket: TcpStream, client: Option<SocketAddr>, stream: Option<TransferredStream>,
        waiting_since: Option<Instant>,
    ) {
        if self.is_full() {
            self.table.evict();
        }
        let open = self.table.len() + self.table.lingering();
        if open >= self.cap + MAX_REJECTING_CONNECTIONS.min(self.cap) {
            closed_connections::count_over_cap();
            log!(
                "connection closed: all {} connections have open requests, and no more can be rejected",
                self.cap
            );
            report_over_cap(&socket, client);
            return;
        }
        let admission = if self.is_full() { Admission::OverCap } else { Admission::Admitted };
        // Taken before the task is first polled, so that the connection is counted without a gap.
        let guard = self.handover.shutdown.guard();
        let entry = self.table.insert(client);
        if let Some(since) = waiting_since {
            entry.state.set_waiting_since(since);
        }
        let task = ConnectionTask {
            service: self.service.clone(),
            hooks: self.hooks.clone(),
            handover: self.handover.clone(),
            resume: self.resume.clone(),
            admission,
            guard,
            entry,
        };
        spawn_local(task.run(socket, stream));
    }
}

/// Task that serves one connection from its arrival to its end.
struct ConnectionTask<S> {
    service: S,
    hooks: FrontHooks,
    handover: Handover,
    resume: Option<Resume>,
    admission: Admission,
    guard: ConnectionGuard,
    entry: TableEntry,
}

impl<S: HttpService> ConnectionTask<S> {
    async fn run(self, mut socket: TcpStream, stream: Option<TransferredStream>) {
        let ConnectionTask { service, hooks, handover, resume, admission, guard, entry } = self;
        if let Some((stream, resume)) = stream.zip(resume) {
            entry.state.stream_resumed();
            match resume(&mut socket, stream).await {
                AfterStream::KeepAlive => entry.state.response_finished(),
                AfterStream::Close(reason) => {
                    entry.state.decide_end(reason);
                    entry.state.end.note_response_aborted();
                    return entry.state.close(&socket).await;
                }
                AfterStream::HandedOver(stream) => {
                    if !handover.send(socket.into_std().ok(), Some(stream), guard) {
                        entry.state.decide_end(EndReason::HandoverFailed);
                        entry.state.end.note_response_aborted();
                    }
                    return;
                }
            }
        }
        match admission {
            Admission::Admitted => serve_connection(socket, service, hooks, handover, guard, entry).await,
            Admission::OverCap => {
                let service = rejecting_service(service, hooks.clone());
                serve_connection(socket, service, hooks, handover, guard, entry).await;
            }
        }
    }
}

/// Returns the service for connections over the cap, which rejects all requests except GET. A GET is a
/// readiness check: it is not sent by a client, and it keeps the connection open only briefly.
fn rejecting_service<S: HttpService>(service: S, hooks: FrontHooks) -> impl HttpService {
    service_fn(move |request: Request<Incoming>| {
        let (service, reject) = (service.clone(), hooks.reject.clone());
        async move {
            if request.method() != Method::GET {
                return Ok(with_connection_close(reject("too many connections\n")));
            }
            Ok(with_connection_close(service.oneshot(request).await?))
        }
    })
}

/// Accepts and serves connections until shutdown reaches [`Phase::Closing`] and, without a successor, those
/// that are queued by then. Connections that are still open are served to their end by their own tasks.
pub async fn serve(listener: impl Into<FrontListener>, front: impl Front, cap: usize, shutdown: Shutdown) {
    let FrontListener { number, listener, mut inbox, resume, mut open } = listener.into();
    let acceptor = Acceptor {
        service: front.clone().service(),
        hooks: front_hooks(front),
        table: Rc::new(ConnectionTable::new(MAX_REJECTING_CONNECTIONS.min(cap) / LINGERING_DIVISOR)),
        cap,
        handover: Handover { shutdown: shutdown.clone(), front: number },
        resume,
        queue_monitor: AcceptQueueMonitor::new(Instant::now()),
    };
    // Keeps the process from exiting until the connections are accepted that are queued when accepting ends.
    let _accepting = shutdown.guard();
    let stop = shutdown.wait_for_phase(Phase::Closing);
    tokio::pin!(stop);
    tokio::select! {
        () = &mut stop => return,
        // An error means that the sender was dropped; accepting begins in that case too.
        _ = open.wait_for(|open| *open) => {}
    }
    let mut successor_updates = shutdown.successor_updates();
    loop {
        // While a successor runs, it accepts connections in place of this process.
        let accepting = successor_updates.borrow_and_update().is_none();
        tokio::select! {
            biased;
            () = &mut stop => break,
            _ = successor_updates.changed() => {}
            Some((socket, stream)) = acceptor.when_vacant(next_transferred(&mut inbox)) => match TcpStream::from_std(socket) {
                Ok(socket) => {
                    let client = socket.peer_addr().ok();
                    acceptor.start(socket, client, stream, None);
                }
                Err(error) => log!("a transferred connection could not be registered: {error}"),
            },
            accepted = acceptor.when_vacant(acceptor.accept(&listener)), if accepting => match accepted {
                Ok((socket, client)) => {
                    acceptor.start_accepted(socket, client);
                    // The evicted connection is closed, and the new one is read, before the next one is accepted.
                    if acceptor.is_full() {
                        yield_now().await;
                    }
                }
                Err(error) => {
                    log!("cannot accept: {error}");
                    sleep(ACCEPT_BACKOFF).await;
                }
            },
            () = sleep_until(acceptor.queue_monitor.next_heartbeat()) => {
                acceptor.queue_monitor.note_turn(Instant::now());
                // After a pause of the process the runtime may have polled only its timers. It polls its
                // sockets too before it is known whether the accept queue is empty.
                yield_now().await;
            }
        }
    }
    if !shutdown.has_successor() {
        let vacancy = async || acceptor.table.wait_for_vacancy(cap).await;
        let accept = async || acceptor.accept(&listener).await;
        accept_queue::drain(vacancy, accept, |(socket, client)| {
            acceptor.start_accepted(socket, client);
        })
        .await;
    }
}

/// Reports a connection over the cap that is closed without being read, if bytes have arrived on it.
fn report_over_cap(socket: &TcpStream, client: Option<SocketAddr>) {
    let end = ConnectionEnd::new(client);
    end.note_unread(unread_bytes(socket));
    end.report(EndDecision { reason: EndReason::OverCap, stage: Stage::New, age: Duration::ZERO });
}

fn front_hooks(front: impl Front) -> FrontHooks {
    let rejecting_front = front.clone();
    FrontHooks {
        max_body_bytes: front.max_body_bytes(),
        request_counter: Rc::new(move |request| front.request_counter(request)),
        reject: Rc::new(move |why| rejecting_front.reject(why)),
    }
}

/// Waits for the next connection from another process; returns `None` if there is no inbox or it is closed.
async fn next_transferred(
    inbox: &mut Option<TransferInbox>,
) -> Option<(std::net::TcpStream, Option<TransferredStream>)> {
    match inbox {
        Some(inbox) => inbox.recv().await,
        None => None,
    }
}
