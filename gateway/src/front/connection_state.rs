//! State of one client connection, shared by its reader, its service and its timers.
//!
//! The state machine (`glenrail_request_lifecycle::client`) decides what may happen on the connection. This
//! module passes events to it, records the time of its last change of stage, and checks the socket for unread
//! bytes.

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

/// Time limit for the first byte on a new connection.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time limit for the rest of a request head after its first byte.
const PARTIAL_HEAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time limit for a kept-alive connection without an open request.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time limit for a client that does not read the rest of its response after the gateway has passed all of it
/// to hyper. The connection is then closed, and the rest is lost.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A connection is not evicted for this time after it was accepted or a response was written, because its
/// client may be about to send.
pub(super) const EVICTION_GRACE: Duration = Duration::from_millis(60);

/// A connection is not evicted for this time after the first bytes of a request. It is longer than
/// [`EVICTION_GRACE`], because a request that was read in part should get a response.
pub(super) const HEAD_EVICTION_GRACE: Duration = Duration::from_millis(120);

/// State of one client connection.
pub struct ConnectionState {
    machine: RefCell<Connection>,
    /// Checked for unread bytes; empty before the connection is read, and once it is being closed.
    socket: RefCell<Weak<TcpStream>>,
    /// Time of the last change of stage.
    pub(super) stage_since: Cell<Instant>,
    /// Whether the gateway has ended its sending side, so that no further request is served.
    closing: Cell<bool>,
    /// Whether the client's bytes stay unread until its response is written, so that reading does not show a
    /// disconnect.
    stopped_reading: Cell<bool>,
    /// Remainder of the open response, if another process is to continue it.
    detached_stream: RefCell<Option<TransferredStream>>,
    /// Why the open request must be rejected: its framing could hide a second request.
    pub(super) framing_fault: Cell<Option<&'static str>>,
    /// Data for the report when the connection ends.
    pub(super) end: ConnectionEnd,
    /// Earliest possible arrival time of the bytes that were unread when the connection was accepted; `None`
    /// if there were none or they have been read.
    waiting_since: Cell<Option<Instant>>,
    /// Arrival time of the request whose first bytes were read last; `None` once it has been taken.
    arrival: Cell<Option<Instant>>,
    stage_changed: Notify,
    pub(super) eviction_requested: Notify,
}

impl ConnectionState {
    /// Creates the state of a new connection from the given address.
    pub fn new(client: Option<SocketAddr>) -> Self {
        ConnectionState {
            end: ConnectionEnd::new(client),
            waiting_since: Cell::default(),
            arrival: Cell::default(),
            machine: RefCell::default(),
            socket: RefCell::default(),
            closing: Cell::default(),
            stopped_reading: Cell::default(),
            stage_since: Cell::new(Instant::now()),
            detached_stream: RefCell::default(),
            framing_fault: Cell::default(),
            stage_changed: Notify::new(),
            eviction_requested: Notify::new(),
        }
    }

    /// Returns the stage of the state machine.
    pub fn stage(&self) -> Stage {
        self.machine.borrow().stage()
    }

    /// Passes an input to the state machine. A change of stage restarts the time limit; an invalid input is
    /// logged and has no effect.
    pub(super) fn feed(&self, input: Input) -> Effect {
        let mut machine = self.machine.borrow_mut();
        let before = machine.stage();
        let effect = machine.step(input).unwrap_or_else(|error| {
            log!("{error}");
            Effect::None
        });
        if machine.stage() != before {
            self.stage_since.set(Instant::now());
            self.stage_changed.notify_one();
        }
        effect
    }

    /// Returns why the open request must be rejected, if its framing could hide a second request.
    pub fn framing_fault(&self) -> Option<&'static str> {
        self.framing_fault.get()
    }

    /// Returns whether the connection must close after the open request.
    pub fn closes_after_response(&self) -> bool {
        self.machine.borrow().closes_after_response()
    }

    /// Sets the earliest possible arrival time of the bytes that were unread when the connection was
    /// accepted. The first request on the connection gets this time as its arrival time.
    pub(super) fn set_waiting_since(&self, since: Instant) {
        self.waiting_since.set(Some(since));
    }

    /// Records the arrival of a request whose first bytes were read.
    pub(super) fn note_first_bytes(&self) {
        self.arrival.set(self.waiting_since.take().or_else(|| Some(Instant::now())));
    }

    /// Returns the arrival time of the request that is passed on now; `None` if its first bytes were read
    /// together with, or behind, bytes of an earlier request.
    pub(super) fn take_arrival(&self) -> Option<Instant> {
        self.arrival.take()
    }

    /// Records that bytes of a body were read, 0 at the end of the client's sending side. Bytes that arrive
    /// after an early response are dropped and not recorded.
    pub(super) fn note_body_read(&self, bytes: usize) {
        if self.stage() == Stage::Body || bytes == 0 {
            self.end.note_read(bytes);
        }
    }

    /// Records that all of the response has been passed to hyper, or written if another process began it.
    pub fn response_finished(&self) {
        if self.stage() != Stage::HandedOver {
            self.end.note_answered();
        }
        self.response_dropped();
    }

    /// Records that the response was dropped before its end.
    pub fn response_aborted(&self) {
        self.end.note_response_aborted();
        self.response_dropped();
    }

    fn response_dropped(&self) {
        // After a handover the response continues in another process.
        if self.stage() != Stage::HandedOver {
            self.stopped_reading.set(false);
            self.feed(Input::ResponseFinished);
        }
    }

    /// Returns the time from which the connection may be evicted; `None` while an eviction could lose
    /// something, because a request is open, a response is still being written, or the socket is not read
    /// yet.
    pub(super) fn evictable_from(&self) -> Option<Instant> {
        if self.is_closing() {
            return Some(self.stage_since.get());
        }
        let is_read = self.socket.borrow().strong_count() > 0;
        let grace = if self.stage() == Stage::Head { HEAD_EVICTION_GRACE } else { EVICTION_GRACE };
        (is_read && self.machine.borrow().is_evictable()).then(|| self.stage_since.get() + grace)
    }

    /// Returns whether the connection may be evicted now.
    pub(super) fn is_evictable_now(&self) -> bool {
        self.evictable_from().is_some_and(|from| from <= Instant::now())
    }

    /// Marks the connection as handed over, if another process can continue it now. Returns whether it did; if
    /// so, this process must neither read nor write it any more.
    pub fn try_hand_over(&self) -> bool {
        matches!(self.feed(Input::HandOverRequested), Effect::HandOver { .. })
    }

    /// Stores the stream of the open response, which another process can continue; this process writes no more
    /// of it.
    pub fn detach_stream(&self, stream: TransferredStream) {
        if self.stage() == Stage::Body {
            // The body's length was not announced. The front read the body to its end before it requested a
            // response.
            self.feed(Input::BodyComplete);
        }
        self.feed(Input::StreamDetached);
        self.detached_stream.replace(Some(stream));
    }

    /// Takes the detached stream; `None` if no response was detached.
    pub fn take_detached_stream(&self) -> Option<TransferredStream> {
        self.detached_stream.take()
    }

    /// Records that a response that another process began is in progress.
    pub fn stream_resumed(&self) {
        self.feed(Input::StreamResumed);
    }

    /// Records why the connection ends; only the first reason is kept.
    pub(super) fn decide_end(&self, reason: EndReason) {
        self.end.decide(self.end_decision(reason));
    }

    fn end_decision(&self, reason: EndReason) -> EndDecision {
        EndDecision { reason, stage: self.stage(), age: self.stage_since.get().elapsed() }
    }

    /// Reports the end of the connection, if a request is left without a response.
    pub(super) fn report_end(&self) {
        self.end.report(self.end_decision(EndReason::ProcessEnded));
    }

    /// Counts the eviction of the connection, which follows immediately.
    pub(super) fn count_evicted(&self) {
        closed_connections::count_evicted(&EvictedConnection {
            stage: self.stage(),
            age: self.stage_since.get().elapsed(),
            has_unread: self.has_unread(),
        });
    }

    /// Returns when the time limit of the current stage expires; `None` while a body is read or a response is
    /// in progress, because the code that awaits them has its own timeouts, and after a handover.
    fn stage_deadline(&self) -> Option<Instant> {
        let limit = match self.machine.borrow().timeout_kind() {
            TimeoutKind::Request => return None,
            TimeoutKind::WriteStall => WRITE_STALL_TIMEOUT,
            TimeoutKind::FirstByte => FIRST_BYTE_TIMEOUT,
            TimeoutKind::PartialHead => PARTIAL_HEAD_TIMEOUT,
            TimeoutKind::Idle => IDLE_TIMEOUT,
            TimeoutKind::Linger => LINGER_TIMEOUT,
        };
        Some(self.stage_since.get() + limit)
    }

    /// Sets the socket that requests are read from.
    pub fn set_socket(&self, socket: &CountedSocket) {
        self.socket.replace(Rc::downgrade(&socket.socket));
    }

    /// Returns whether the gateway has ended its sending side, so that no further request is served.
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Returns whether unread bytes of a request have arrived.
    pub fn has_unread_request(&self) -> bool {
        self.machine.borrow().awaits_request() && self.has_unread()
    }

    /// Returns whether the connection can be closed without losing a request or a response.
    pub fn is_idle(&self) -> bool {
        self.machine.borrow().is_idle() && !self.has_unread()
    }

    /// Returns whether a further request, or a part of it, has arrived behind the open one.
    pub fn has_pipelined_request(&self) -> bool {
        self.machine.borrow().has_pipelined_bytes() || self.has_unread()
    }

    fn has_unread(&self) -> bool {
        self.socket.borrow().upgrade().is_some_and(|socket| has_unread(&socket))
    }

    /// Stops reading from the client until its response is written.
    pub fn stop_reading(&self) {
        self.stopped_reading.set(true);
    }

    /// Returns whether a request is open and a disconnect of its client would not show in reading.
    pub fn cannot_detect_disconnect(&self) -> bool {
        self.stopped_reading.get() && matches!(self.stage(), Stage::Body | Stage::Response)
    }

    /// Waits until the time limit of the current stage has expired or an eviction is requested, and returns the
    /// input for the state machine.
    pub(super) async fn timed_out_or_evicted(&self) -> Input {
        loop {
            let deadline = self.stage_deadline();
            let deadline_passed = async {
                match deadline {
                    Some(deadline) => sleep_until(deadline).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = self.eviction_requested.notified() => return Input::Evicted,
                () = deadline_passed => match self.stage_deadline() {
                    Some(deadline) if deadline <= Instant::now() => return Input::TimedOut,
                    _ => {}
                },
                () = self.stage_changed.notified() => {}
            };
        }
    }

    /// Closes the connection gracefully; no further request is served. An eviction meanwhile closes it at once.
    pub async fn close(&self, socket: &TcpStream) {
        let expected =
            if self.stage() == Stage::Closing { Expected::RestOfRequest } else { Expected::Nothing };
        self.socket.take();
        self.closing.set(true);
        lingering_close::close(socket, expected, &self.end.bytes_dropped, self.eviction_requested.notified())
            .await;
    }
}
