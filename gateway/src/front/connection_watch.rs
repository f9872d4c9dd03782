//! One client's connection: where it stands, how long it may stand there, and its end.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::Shutdown;
use std::rc::{Rc, Weak};
use std::time::Duration;

use glenrail_request_lifecycle::client::{Connection, Effect, Input, TimeoutKind};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout, Instant};

use crate::counted_socket::{has_unread, read_closed, CountedSocket};
use crate::log;
use crate::upgrade::transferred::TransferredStream;

pub use glenrail_request_lifecycle::client::Stage;

/// A new connection must have begun its first head by then ...
const FIRST_HEAD: Duration = Duration::from_millis(2_500);
/// ... and any head that has begun must be whole so much later.
const HALF_HEAD: Duration = Duration::from_millis(2_500);
/// A kept connection without an open request is closed after this time.
const IDLE: Duration = Duration::from_millis(2_500);
/// A client that does not take the rest of its answer for so long has lost it.
const UNTAKEN: Duration = Duration::from_secs(30);
/// After its end has been sent on a connection, its client has so long to end it too, and so many bytes are read and
/// dropped: a close with bytes unread would be a reset, which eats what the client has not read yet.
const LINGER: Duration = Duration::from_millis(1_000);
const LINGER_BYTES: usize = 4 << 20;
/// So many bytes are dropped at once.
const LINGER_READ: usize = 16 << 10;

/// What the gate, the service and the timers know of one connection.
pub struct ConnectionWatch {
    machine: RefCell<Connection>,
    /// Looked into for a request before the connection is closed; none once it is being closed.
    socket: RefCell<Weak<TcpStream>>,
    pub(super) since: Cell<Instant>,
    /// Its end has been sent.
    closing: Cell<bool>,
    /// Something of the client's lies unread until its answer is out, so that its going does not show in reading.
    unread: Cell<bool>,
    /// The open answer's rest, if another process is to go on with it.
    moved: RefCell<Option<TransferredStream>>,
    /// Why the open request must not be served.
    pub(super) fault: Cell<Option<&'static str>>,
    changed: Notify,
    pub(super) evicted: Notify,
}

impl Default for ConnectionWatch {
    fn default() -> Self {
        ConnectionWatch {
            machine: RefCell::default(),
            socket: RefCell::default(),
            closing: Cell::default(),
            unread: Cell::default(),
            since: Cell::new(Instant::now()),
            moved: RefCell::default(),
            fault: Cell::default(),
            changed: Notify::new(),
            evicted: Notify::new(),
        }
    }
}

impl ConnectionWatch {
    pub fn stage(&self) -> Stage {
        self.machine.borrow().stage()
    }

    /// Feeds the connection's machine, and starts its time where it stands anew.
    pub(super) fn feed(&self, input: Input) -> Effect {
        let mut machine = self.machine.borrow_mut();
        let before = machine.stage();
        let effect = machine.step(input).unwrap_or_else(|e| {
            log!("{e}");
            Effect::None
        });
        if machine.stage() != before {
            self.since.set(Instant::now());
            self.changed.notify_one();
        }
        effect
    }

    pub fn fault(&self) -> Option<&'static str> {
        self.fault.get()
    }

    /// Whether the connection must end after the open request.
    pub fn ends(&self) -> bool {
        self.machine.borrow().closes_after_response()
    }

    /// The answer is out, or dropped.
    pub fn answered(&self) {
        // Handed over, the answer goes on elsewhere.
        if self.stage() != Stage::HandedOver {
            self.unread.set(false);
            self.feed(Input::ResponseFinished);
        }
    }

    pub(super) fn gives_way(&self) -> bool {
        self.machine.borrow().is_evictable()
    }

    /// Whether another process takes it now; then nothing more is done with it here.
    pub fn goes(&self) -> bool {
        matches!(self.feed(Input::HandOverRequested), Effect::HandOver { .. })
    }

    /// The open answer goes no further here.
    pub fn leave(&self, moved: TransferredStream) {
        if self.stage() == Stage::Body {
            // Its length was not told; the front has read it to its end all the same, before it asked for an answer.
            self.feed(Input::BodyComplete);
        }
        self.feed(Input::StreamDetached);
        self.moved.replace(Some(moved));
    }

    pub fn moved(&self) -> Option<TransferredStream> {
        self.moved.take()
    }

    /// An answer is under way, which another process began.
    pub fn resume(&self) {
        self.feed(Input::StreamResumed);
    }

    /// When it has stood where it is for too long. Bodies and answers have timers where they are awaited.
    fn due(&self) -> Option<Instant> {
        let wait = match self.machine.borrow().timeout_kind() {
            TimeoutKind::Request => return None,
            TimeoutKind::WriteStall => UNTAKEN,
            TimeoutKind::FirstByte => FIRST_HEAD,
            TimeoutKind::PartialHead => HALF_HEAD,
            TimeoutKind::Idle => IDLE,
            TimeoutKind::Linger => LINGER,
        };
        Some(self.since.get() + wait)
    }

    /// Requests are read from this socket.
    pub fn serves(&self, wire: &CountedSocket) {
        self.socket.replace(Rc::downgrade(&wire.socket));
    }

    /// Whether its end has been sent, so that nothing more is served on it.
    pub fn closing(&self) -> bool {
        self.closing.get()
    }

    /// Whether bytes of a request have come that nobody has read.
    pub fn holds_request(&self) -> bool {
        self.machine.borrow().awaits_request() && self.holds_unread()
    }

    /// Whether it can be closed with nothing owed on it.
    pub fn rests(&self) -> bool {
        self.machine.borrow().is_idle() && !self.holds_unread()
    }

    /// Whether a further request, or some of it, has come behind the open one.
    pub fn has_more(&self) -> bool {
        self.machine.borrow().has_pipelined_bytes() || self.holds_unread()
    }

    fn holds_unread(&self) -> bool {
        self.socket.borrow().upgrade().is_some_and(|socket| has_unread(&socket))
    }

    /// What the client sends is not read any more before its answer is out.
    pub fn stops_reading(&self) {
        self.unread.set(true);
    }

    /// Whether a client that ends its sending now would not be seen in reading, while its request is open.
    pub fn reads_nothing(&self) -> bool {
        self.unread.get() && matches!(self.stage(), Stage::Body | Stage::Response)
    }

    /// Until the connection has stood somewhere for too long, or is asked to give way to another.
    pub(super) async fn overdue(&self) -> Input {
        loop {
            let due = self.due();
            let passed = async {
                match due {
                    Some(due) => sleep_until(due).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = self.evicted.notified() => return Input::Evicted,
                () = passed => match self.due() {
                    Some(due) if due <= Instant::now() => return Input::TimedOut,
                    _ => {}
                },
                () = self.changed.notified() => {}
            };
        }
    }

    /// Ends a connection on which nothing more is served: says so, and waits within bounds until the client has ended it
    /// too. A request that comes now is left unread until then: its client sends it once more, elsewhere.
    pub async fn close(&self, socket: &TcpStream) {
        // Answered before its request's end, a client still sends, and reads its answer only then.
        let still_sends = self.stage() == Stage::Closing;
        self.socket.take();
        self.closing.set(true);
        let _ = SockRef::from(socket).shutdown(Shutdown::Write);
        let ends = async {
            if !still_sends && matches!(socket.peek(&mut [0]).await, Ok(1..)) {
                read_closed(socket).await;
            }
            let mut left = LINGER_BYTES;
            while left > 0 && socket.readable().await.is_ok() && drop_some(socket, &mut left) {}
        };
        tokio::select! {
            _ = timeout(LINGER, ends) => {}
            // Whoever needs its place goes first.
            () = self.evicted.notified() => {}
        }
        // What was left is dropped, as a close over it would be a reset.
        let mut left = LINGER_BYTES;
        let mut before = 0;
        while left != before {
            before = left;
            drop_some(socket, &mut left);
        }
    }
}

/// Whether there may be more. Not a part of the future above: a buffer there would be held for as long as the connection.
fn drop_some(socket: &TcpStream, left: &mut usize) -> bool {
    match socket.try_read(&mut [0; LINGER_READ]) {
        Ok(n) => {
            *left = left.saturating_sub(n);
            n > 0
        }
        Err(e) => e.kind() == io::ErrorKind::WouldBlock,
    }
}
