//! One client's connection as its reader, its service and its timers share it.
//!
//! The state machine (`glenrail_request_lifecycle::client`) says what may happen; this module feeds it, keeps the time since
//! its last change of stage, and looks into the socket for bytes that nobody has read yet.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use glenrail_request_lifecycle::client::{Connection, Effect, Input, TimeoutKind};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

use super::closed_connections::{self, EvictedConnection};
use super::connection_end::{ConnectionEnd, EndDecision};
use super::lingering_close::{self, Expected, LINGER_TIMEOUT};
use super::unanswered::EndReason;
use crate::counted_socket::{has_unread, CountedSocket};
use crate::log;
use crate::upgrade::transferred::TransferredStream;

pub use glenrail_request_lifecycle::client::Stage;

/// A new connection must begin its first head within this time ...
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// ... and any head that has begun must be complete within this time.
const PARTIAL_HEAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A kept connection without an open request is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A client that reads nothing of its response for this time has lost it.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A connection is not evicted for this long after it came, after the first bytes of a request, or after a response: its
/// client may be about to send.
pub(super) const EVICTION_GRACE: Duration = Duration::from_millis(60);

/// A connection on which a request has begun has more time for the rest of its head: bytes that were read are owed an answer.
pub(super) const HEAD_EVICTION_GRACE: Duration = Duration::from_millis(120);

/// What the reader, the service and the timers know of one connection.
pub struct ConnectionWatch {
    machine: RefCell<Connection>,
    /// Looked into for unread bytes; none once the connection is being closed.
    socket: RefCell<Weak<TcpStream>>,
    /// Since when it has been in its stage.
    pub(super) since: Cell<Instant>,
    /// Its end has been sent.
    closing: Cell<bool>,
    /// Bytes of the client stay unread until its response is written, so that its disconnect does not show in reading.
    stopped_reading: Cell<bool>,
    /// The rest of the open response, if another process is to go on with it.
    detached_stream: RefCell<Option<TransferredStream>>,
    /// Why the open request must be rejected: its framing could hide another one.
    pub(super) framing_fault: Cell<Option<&'static str>>,
    /// For the report of its end.
    pub(super) end: ConnectionEnd,
    /// Since when bytes may have waited that lay unread as it was accepted.
    waiting_since: Cell<Option<Instant>>,
    /// When the request came whose first bytes were read last.
    arrival: Cell<Option<Instant>>,
    stage_changed: Notify,
    pub(super) evicted: Notify,
}

impl ConnectionWatch {
    /// Of a connection of this client.
    pub fn new(client: Option<SocketAddr>) -> Self {
        ConnectionWatch {
            end: ConnectionEnd::new(client),
            waiting_since: Cell::default(),
            arrival: Cell::default(),
            machine: RefCell::default(),
            socket: RefCell::default(),
            closing: Cell::default(),
            stopped_reading: Cell::default(),
            since: Cell::new(Instant::now()),
            detached_stream: RefCell::default(),
            framing_fault: Cell::default(),
            stage_changed: Notify::new(),
            evicted: Notify::new(),
        }
    }

    /// The stage of the connection.
    pub fn stage(&self) -> Stage {
        self.machine.borrow().stage()
    }

    /// Feeds the state machine; a change of stage starts its time anew.
    pub(super) fn feed(&self, input: Input) -> Effect {
        let mut machine = self.machine.borrow_mut();
        let before = machine.stage();
        let effect = machine.step(input).unwrap_or_else(|error| {
            log!("{error}");
            Effect::None
        });
        if machine.stage() != before {
            self.since.set(Instant::now());
            self.stage_changed.notify_one();
        }
        effect
    }

    /// Why the open request must be rejected, if its framing could hide another one.
    pub fn framing_fault(&self) -> Option<&'static str> {
        self.framing_fault.get()
    }

    /// Whether the connection must end after the open request.
    pub fn closes_after_response(&self) -> bool {
        self.machine.borrow().closes_after_response()
    }

    /// What lies unread on it as it is accepted may have come at this time.
    pub(super) fn set_waiting_since(&self, since: Instant) {
        self.waiting_since.set(Some(since));
    }

    /// The first bytes of a request were read.
    pub(super) fn note_first_bytes(&self) {
        self.arrival.set(self.waiting_since.take().or_else(|| Some(Instant::now())));
    }

    /// When the request came that is passed on now, if its first bytes were read alone.
    pub(super) fn take_arrival(&self) -> Option<Instant> {
        self.arrival.take()
    }

    /// Bytes of a body were read; behind an early response they are dropped.
    pub(super) fn note_body_read(&self, bytes: usize) {
        if self.stage() == Stage::Body || bytes == 0 {
            self.end.note_read(bytes);
        }
    }

    /// The response has been written.
    pub fn response_finished(&self) {
        if self.stage() != Stage::HandedOver {
            self.end.note_answered();
        }
        self.response_dropped();
    }

    /// The response has been dropped before its end.
    pub fn response_aborted(&self) {
        self.end.note_response_aborted();
        self.response_dropped();
    }

    fn response_dropped(&self) {
        // Handed over, the response goes on elsewhere.
        if self.stage() != Stage::HandedOver {
            self.stopped_reading.set(false);
            self.feed(Input::ResponseFinished);
        }
    }

    /// From when on it may be closed for another client's connection; `None` while something may be lost by that: a request
    /// is open, or its socket is not read yet.
    pub(super) fn evictable_from(&self) -> Option<Instant> {
        if self.is_closing() {
            return Some(self.since.get());
        }
        let is_read = self.socket.borrow().strong_count() > 0;
        let grace = if self.stage() == Stage::Head { HEAD_EVICTION_GRACE } else { EVICTION_GRACE };
        (is_read && self.machine.borrow().is_evictable()).then(|| self.since.get() + grace)
    }

    /// Whether it may be closed for another client's connection at this moment.
    pub(super) fn is_evictable_now(&self) -> bool {
        self.evictable_from().is_some_and(|from| from <= Instant::now())
    }

    /// Hands the connection over if another process can go on with it now; then nothing more is done with it here.
    pub fn try_hand_over(&self) -> bool {
        matches!(self.feed(Input::HandOverRequested), Effect::HandOver { .. })
    }

    /// The open response goes no further here: another process can go on with its stream.
    pub fn detach_stream(&self, stream: TransferredStream) {
        if self.stage() == Stage::Body {
            // The body's length was not announced; the front has read it to its end before it asked for a response.
            self.feed(Input::BodyComplete);
        }
        self.feed(Input::StreamDetached);
        self.detached_stream.replace(Some(stream));
    }

    /// Takes the detached stream, if there is one.
    pub fn take_detached_stream(&self) -> Option<TransferredStream> {
        self.detached_stream.take()
    }

    /// A response that another process began is under way.
    pub fn stream_resumed(&self) {
        self.feed(Input::StreamResumed);
    }

    /// Notes why the connection ends; the first reason counts.
    pub(super) fn decide_end(&self, reason: EndReason) {
        self.end.decide(self.end_decision(reason));
    }

    fn end_decision(&self, reason: EndReason) -> EndDecision {
        EndDecision { reason, stage: self.stage(), age: self.since.get().elapsed() }
    }

    /// Reports its end, if a request is left without an answer.
    pub(super) fn report_end(&self) {
        self.end.report(self.end_decision(EndReason::ProcessEnded));
    }

    /// Counts its eviction, which follows at once.
    pub(super) fn count_evicted(&self) {
        closed_connections::count_evicted(&EvictedConnection {
            stage: self.stage(),
            age: self.since.get().elapsed(),
            has_unread: self.has_unread(),
        });
    }

    /// When it has been in its stage for too long. Bodies and responses have timers where they are awaited.
    fn stage_deadline(&self) -> Option<Instant> {
        let limit = match self.machine.borrow().timeout_kind() {
            TimeoutKind::Request => return None,
            TimeoutKind::WriteStall => WRITE_STALL_TIMEOUT,
            TimeoutKind::FirstByte => FIRST_BYTE_TIMEOUT,
            TimeoutKind::PartialHead => PARTIAL_HEAD_TIMEOUT,
            TimeoutKind::Idle => IDLE_TIMEOUT,
            TimeoutKind::Linger => LINGER_TIMEOUT,
        };
        Some(self.since.get() + limit)
    }

    /// Requests are read from this socket from now on.
    pub fn watch_socket(&self, socket: &CountedSocket) {
        self.socket.replace(Rc::downgrade(&socket.socket));
    }

    /// Whether its end has been sent, so that nothing more is served on it.
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Whether bytes of a request have come that nobody has read.
    pub fn has_unread_request(&self) -> bool {
        self.machine.borrow().awaits_request() && self.has_unread()
    }

    /// Whether it can be closed with nothing owed on it.
    pub fn is_idle(&self) -> bool {
        self.machine.borrow().is_idle() && !self.has_unread()
    }

    /// Whether a further request, or some of it, has come behind the open one.
    pub fn has_pipelined_request(&self) -> bool {
        self.machine.borrow().has_pipelined_bytes() || self.has_unread()
    }

    fn has_unread(&self) -> bool {
        self.socket.borrow().upgrade().is_some_and(|socket| has_unread(&socket))
    }

    /// What the client sends is not read any more before its response is written.
    pub fn stop_reading(&self) {
        self.stopped_reading.set(true);
    }

    /// Whether a client that disconnects now would not be seen in reading, while its request is open.
    pub fn is_blind_to_disconnect(&self) -> bool {
        self.stopped_reading.get() && matches!(self.stage(), Stage::Body | Stage::Response)
    }

    /// Until the connection has been in a stage for too long, or is to be evicted.
    pub(super) async fn overdue(&self) -> Input {
        loop {
            let deadline = self.stage_deadline();
            let deadline_passed = async {
                match deadline {
                    Some(deadline) => sleep_until(deadline).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = self.evicted.notified() => return Input::Evicted,
                () = deadline_passed => match self.stage_deadline() {
                    Some(deadline) if deadline <= Instant::now() => return Input::TimedOut,
                    _ => {}
                },
                () = self.stage_changed.notified() => {}
            };
        }
    }

    /// Ends a connection on which nothing more is served. An eviction meanwhile ends it at once.
    pub async fn close(&self, socket: &TcpStream) {
        let expected =
            if self.stage() == Stage::Closing { Expected::RestOfRequest } else { Expected::Nothing };
        self.socket.take();
        self.closing.set(true);
        lingering_close::close(socket, expected, &self.end.bytes_dropped, self.evicted.notified()).await;
    }
}
