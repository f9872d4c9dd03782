//! The accept loop of a front: accepts connections, admits them within the cap, and serves them until the process ends.

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

use super::accept_watch::AcceptWatch;
use super::connection::{closing, serve_connection, FrontHooks, Handover};
use super::connection_end::{ConnectionEnd, EndDecision};
use super::connection_table::{ConnectionTable, TableEntry};
use super::resumed_stream::{write_remainder, StreamResult};
use super::unanswered::EndReason;
use super::{accept_queue, closed_connections, Front, HttpService};
use crate::core;
use crate::counted_socket::{has_unread, unread_bytes};
use crate::log;
use crate::metrics::{RequestMetrics, RequestOutcome};
use crate::pools::Pool;
use crate::shutdown::{Phase, Shutdown};
use crate::upgrade::transferred::{ConnectionGuard, TransferredStream};
use crate::upgrade::{self, TransferInbox};

/// Connections beyond the cap that may at the same time be told to come back later; further ones are closed.
pub const MAX_REJECTING_CONNECTIONS: usize = 24;
/// This part of the connections beyond the cap may be evicted ones that are ended in order.
const LINGERING_PART: usize = 2;
/// Pause after a failed accept (no descriptor left, say).
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// What a connection is good for after a stream that another process began.
pub enum ConnectionFate {
    /// It is served on.
    KeepAlive,
    /// It is closed in order, for this reason.
    Close(EndReason),
    /// A further process goes on with the stream.
    HandedOver(TransferredStream),
}

/// Goes on with a stream that another process began.
pub type Resume =
    Rc<dyn for<'a> Fn(&'a mut TcpStream, TransferredStream) -> LocalBoxFuture<'a, ConnectionFate>>;

/// Goes on with streams over this pool, and counts them here at their end.
pub fn resume(pool: &Pool, metrics: &RequestMetrics) -> Resume {
    let (pool, metrics) = (pool.clone(), metrics.clone());
    Rc::new(move |socket, TransferredStream { remainder, class }| {
        let counter = class.as_ref().and_then(|class| metrics.counter(class));
        let frames = pool.engine.resume(remainder);
        let open_stream = pool.resumed.open();
        Box::pin(async move {
            let result = write_remainder(socket, core::resume(frames)).await;
            drop(open_stream);
            let (outcome, fate) = match result {
                StreamResult::Complete => (Some(RequestOutcome::Fulfilled), ConnectionFate::KeepAlive),
                StreamResult::Broken => {
                    (Some(RequestOutcome::Faulted), ConnectionFate::Close(EndReason::ResponseAborted))
                }
                StreamResult::ClientDisconnected => (None, ConnectionFate::Close(EndReason::ClientEnded)),
                StreamResult::HandedOver(remainder) => {
                    (None, ConnectionFate::HandedOver(TransferredStream { remainder, class }))
                }
            };
            if let Some((counter, outcome)) = counter.zip(outcome) {
                counter.count(outcome);
            }
            fate
        })
    })
}

/// How connections come to a front.
pub struct FrontListener {
    /// The front's number, by which another process knows it.
    pub number: u8,
    /// The listening socket.
    pub listener: TcpListener,
    /// Connections that another process hands over.
    pub inbox: Option<TransferInbox>,
    /// Goes on with streams that another process began.
    pub resume: Option<Resume>,
    /// Accepting begins once this is true.
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

/// Whether a connection may serve any request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Admission {
    Admitted,
    /// All connections within the cap have open requests.
    OverCap,
}

/// What every connection of one front is served with.
struct Acceptor<S> {
    service: S,
    hooks: FrontHooks,
    table: Rc<ConnectionTable>,
    /// Connections that may be open at a time.
    cap: usize,
    handover: Handover,
    resume: Option<Resume>,
    accept_watch: AcceptWatch,
}

impl<S: HttpService> Acceptor<S> {
    fn is_full(&self) -> bool {
        self.table.len() >= self.cap
    }

    /// The next connection, once the table has an entry for it, or will have none. Meanwhile connections wait in the machine's
    /// queue, where nothing that their clients send is lost.
    async fn when_vacant<T>(&self, next: impl Future<Output = T>) -> T {
        if self.table.must_wait(self.cap) {
            self.accept_watch.note_unattended(Instant::now());
        }
        self.table.vacancy(self.cap).await;
        next.await
    }

    /// Accepts a connection; notes where there is none.
    async fn accept(&self, listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
        poll_fn(|context| {
            let accepted = listener.poll_accept(context);
            // Without budget it is pending whatever there is.
            if accepted.is_pending() && coop::has_budget_remaining() {
                self.accept_watch.note_empty();
            }
            accepted
        })
        .await
    }

    /// Takes a connection from the machine's queue.
    fn take_accepted(&self, socket: TcpStream, client: SocketAddr) {
        let now = Instant::now();
        let came = self.accept_watch.earliest_arrival(now);
        let waiting_since = (came < now && has_unread(&socket)).then_some(came);
        self.take(socket, Some(client), None, waiting_since);
    }

    /// Takes a connection. Guards the descriptors of servers and discovery, and the way in: at the cap, the connection that
    /// has been idle longest is evicted; only where all have an open request is the new one rejected.
    fn take(
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
        // Before the task is polled: none is uncounted in between.
        let guard = self.handover.shutdown.guard();
        let entry = self.table.enter(client);
        if let Some(since) = waiting_since {
            entry.watch.set_waiting_since(since);
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

/// One connection from its arrival on.
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
            entry.watch.stream_resumed();
            match resume(&mut socket, stream).await {
                ConnectionFate::KeepAlive => entry.watch.response_finished(),
                ConnectionFate::Close(reason) => {
                    entry.watch.decide_end(reason);
                    entry.watch.end.note_response_aborted();
                    return entry.watch.close(&socket).await;
                }
                ConnectionFate::HandedOver(stream) => {
                    if !handover.send(socket.into_std().ok(), Some(stream), guard) {
                        entry.watch.decide_end(EndReason::HandoverFailed);
                        entry.watch.end.note_response_aborted();
                    }
                    return;
                }
            }
        }
        match admission {
            Admission::Admitted => serve_connection(socket, service, hooks, handover, guard, entry).await,
            Admission::OverCap => {
                let service = rejecting(service, hooks.clone());
                serve_connection(socket, service, hooks, handover, guard, entry).await;
            }
        }
    }
}

/// A service for connections over the cap. A GET is answered all the same: whoever asks whether the gateway is ready is no
/// client, and keeps the connection open for a moment only.
fn rejecting<S: HttpService>(service: S, hooks: FrontHooks) -> impl HttpService {
    service_fn(move |request: Request<Incoming>| {
        let (service, reject) = (service.clone(), hooks.reject.clone());
        async move {
            if request.method() != Method::GET {
                return Ok(closing(reject("too many connections\n")));
            }
            Ok(closing(service.oneshot(request).await?))
        }
    })
}

/// Serves until shutdown has passed its accepting phase, then lets connections end by themselves.
pub async fn serve(listener: impl Into<FrontListener>, front: impl Front, cap: usize, shutdown: Shutdown) {
    let FrontListener { number, listener, mut inbox, resume, mut open } = listener.into();
    let acceptor = Acceptor {
        service: front.clone().service(),
        hooks: hooks_of(front),
        table: Rc::new(ConnectionTable::new(MAX_REJECTING_CONNECTIONS.min(cap) / LINGERING_PART)),
        cap,
        handover: Handover { shutdown: shutdown.clone(), front: number },
        resume,
        accept_watch: AcceptWatch::new(Instant::now()),
    };
    // The end waits for the machine's queue as for a connection: what it holds when accepting ends is still taken.
    let _accepting = shutdown.guard();
    let stop = shutdown.reached(Phase::Closing);
    tokio::pin!(stop);
    tokio::select! {
        () = &mut stop => return,
        // An error means that nobody will open it: then it stays shut.
        _ = open.wait_for(|open| *open) => {}
    }
    let mut successor_updates = shutdown.successor_updates();
    loop {
        // A successor accepts in place of this process for as long as it is there.
        let accepting = successor_updates.borrow_and_update().is_none();
        tokio::select! {
            biased;
            () = &mut stop => break,
            _ = successor_updates.changed() => {}
            Some((socket, stream)) = acceptor.when_vacant(next_transferred(&mut inbox)) => match TcpStream::from_std(socket) {
                Ok(socket) => {
                    let client = socket.peer_addr().ok();
                    acceptor.take(socket, client, stream, None);
                }
                Err(error) => log!("a transferred connection could not be registered: {error}"),
            },
            accepted = acceptor.when_vacant(acceptor.accept(&listener)), if accepting => match accepted {
                Ok((socket, client)) => {
                    acceptor.take_accepted(socket, client);
                    // The evicted one closes, and the new one is read, before the next one comes.
                    if acceptor.is_full() {
                        yield_now().await;
                    }
                }
                Err(error) => {
                    log!("cannot accept: {error}");
                    sleep(ACCEPT_BACKOFF).await;
                }
            },
            () = sleep_until(acceptor.accept_watch.next_heartbeat()) => {
                acceptor.accept_watch.note_turn(Instant::now());
                // After a pause the runtime may have run timers alone: whether the queue is empty is known once it has looked at its
                // sockets too.
                yield_now().await;
            }
        }
    }
    if !shutdown.has_successor() {
        let room = async || acceptor.table.vacancy(cap).await;
        let accept = async || acceptor.accept(&listener).await;
        accept_queue::empty(room, accept, |(socket, client)| {
            acceptor.take_accepted(socket, client);
        })
        .await;
    }
}

/// Reports a connection beyond the cap that is closed without being read, if something has come on it.
fn report_over_cap(socket: &TcpStream, client: Option<SocketAddr>) {
    let end = ConnectionEnd::new(client);
    end.note_unread(unread_bytes(socket));
    end.report(EndDecision { reason: EndReason::OverCap, stage: Stage::New, age: Duration::ZERO });
}

fn hooks_of(front: impl Front) -> FrontHooks {
    let rejecting_front = front.clone();
    FrontHooks {
        request_counter: Rc::new(move |request| front.request_counter(request)),
        reject: Rc::new(move |why| rejecting_front.reject(why)),
    }
}

/// The next connection handed over; `None` at once where none can be.
async fn next_transferred(
    inbox: &mut Option<TransferInbox>,
) -> Option<(std::net::TcpStream, Option<TransferredStream>)> {
    match inbox {
        Some(inbox) => inbox.recv().await,
        None => None,
    }
}
