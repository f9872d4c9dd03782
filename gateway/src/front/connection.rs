//! One client's connection: where it stands, how long it may stand there, and a gate before hyper that lets one
//! request through at a time and tells of a framing that could hide another.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use glenrail_lifecycle::client::{Connection, Effect, Framing, Input, Patience};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout, Instant};

use crate::handed::Moved;
use crate::log;
use crate::wire::Wire;

pub use glenrail_lifecycle::client::Stage;

/// A new connection must have begun its first head by then ...
const FIRST_HEAD: Duration = Duration::from_millis(2_500);
/// ... and any head that has begun must be whole so much later.
const HALF_HEAD: Duration = Duration::from_millis(2_500);
/// A kept connection without an open request is closed after this time.
const IDLE: Duration = Duration::from_millis(2_500);
/// A client that does not take the rest of its answer for so long has lost it.
const UNTAKEN: Duration = Duration::from_secs(30);
/// After an answer that came before the end of its request, so long and so many bytes are read and dropped: a
/// close with bytes unread would reset the answer away.
const LINGER: Duration = Duration::from_millis(1_000);
const LINGER_BYTES: usize = 4 << 20;
/// Most bytes of a head, and of what a client sends ahead of its answer.
pub const HEAD: usize = 16 << 10;
const HEADERS: usize = 100;

/// What the gate, the service and the timers know of one connection.
pub struct Watch {
    machine: RefCell<Connection>,
    since: Cell<Instant>,
    /// The open answer's rest, if another process is to go on with it.
    moved: RefCell<Option<Moved>>,
    /// Why the open request must not be served.
    fault: Cell<Option<&'static str>>,
    changed: Notify,
    evicted: Notify,
}

impl Default for Watch {
    fn default() -> Self {
        Watch {
            machine: RefCell::default(),
            since: Cell::new(Instant::now()),
            moved: RefCell::default(),
            fault: Cell::default(),
            changed: Notify::new(),
            evicted: Notify::new(),
        }
    }
}

impl Watch {
    pub fn stage(&self) -> Stage {
        self.machine.borrow().stage()
    }

    /// Feeds the connection's machine, and starts its time where it stands anew.
    fn feed(&self, input: Input) -> Effect {
        let mut machine = self.machine.borrow_mut();
        let before = machine.stage();
        let effect = machine.step(input).unwrap_or_else(|e| {
            log!("{e}");
            Effect::Nothing
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
        self.machine.borrow().ends()
    }

    /// The answer is out, or dropped.
    pub fn answered(&self) {
        // Handed over, the answer goes on elsewhere.
        if self.stage() != Stage::HandedOver {
            self.feed(Input::Answered);
        }
    }

    fn gives_way(&self) -> bool {
        self.machine.borrow().gives_way()
    }

    /// Whether another process takes it now; then nothing more is done with it here.
    pub fn goes(&self) -> bool {
        matches!(self.feed(Input::Asked), Effect::HandOver { .. })
    }

    /// The open answer goes no further here.
    pub fn leave(&self, moved: Moved) {
        if self.stage() == Stage::Body {
            // Its length was not told; the front has read it to its end all the same, before it asked for an answer.
            self.feed(Input::BodyRead);
        }
        self.feed(Input::Leaves);
        self.moved.replace(Some(moved));
    }

    pub fn moved(&self) -> Option<Moved> {
        self.moved.take()
    }

    /// An answer is under way, which another process began.
    pub fn resume(&self) {
        self.feed(Input::Resumed);
    }

    /// When it has stood where it is for too long. Bodies and answers have timers where they are awaited.
    fn due(&self) -> Option<Instant> {
        let wait = match self.machine.borrow().patience() {
            Patience::Request => return None,
            Patience::Untaken => UNTAKEN,
            Patience::First => FIRST_HEAD,
            Patience::HalfHead => HALF_HEAD,
            Patience::Idle => IDLE,
            Patience::Linger => LINGER,
        };
        Some(self.since.get() + wait)
    }

    /// Until the connection has stood somewhere for too long, or gives way to another.
    pub async fn over(&self) {
        loop {
            let due = self.due();
            let passed = async {
                match due {
                    Some(due) => sleep_until(due).await,
                    None => std::future::pending().await,
                }
            };
            let input = tokio::select! {
                () = self.evicted.notified() => Input::Evicted,
                () = passed => match self.due() {
                    Some(due) if due <= Instant::now() => Input::Due,
                    _ => continue,
                },
                () = self.changed.notified() => continue,
            };
            // A request may have come between being chosen to give way and here: then it stays.
            if self.feed(input) == Effect::Close {
                return;
            }
        }
    }
}

/// All connections of one front.
#[derive(Default)]
pub struct Crowd {
    open: RefCell<BTreeMap<u64, Rc<Watch>>>,
    next: Cell<u64>,
}

/// A connection's place among all; it is free once this is dropped.
pub struct Place {
    crowd: Rc<Crowd>,
    number: u64,
    pub watch: Rc<Watch>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.crowd.open.borrow_mut().remove(&self.number);
    }
}

impl Crowd {
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    pub fn enter(self: &Rc<Self>) -> Place {
        let (number, watch) = (self.next.get(), Rc::new(Watch::default()));
        self.next.set(number + 1);
        self.open.borrow_mut().insert(number, watch.clone());
        Place { crowd: self.clone(), number, watch }
    }

    /// The connection that has stood longest without an open request is told to close.
    pub fn evict(&self) -> bool {
        let mut open = self.open.borrow_mut();
        let waiting = open.iter().filter(|(_, w)| w.gives_way());
        let Some(number) = waiting.min_by_key(|(_, w)| w.since.get()).map(|(n, _)| *n) else { return false };
        if let Some(watch) = open.remove(&number) {
            watch.evicted.notify_one();
        }
        true
    }
}

/// What of a body is still to come.
#[derive(Clone, Copy, Debug)]
enum Rest {
    Length(u64),
    /// Until its service says so.
    Unknown,
}

/// The socket as hyper reads it: a head is passed on once it is whole, and nothing of the next request before the
/// answer to this one is out.
pub struct Gate {
    wire: Wire,
    watch: Rc<Watch>,
    /// Read and not passed on; so many bytes of it may be.
    ahead: Vec<u8>,
    cleared: usize,
    rest: Rest,
}

impl Gate {
    pub fn new(wire: Wire, watch: Rc<Watch>) -> Self {
        Gate { wire, watch, ahead: Vec::new(), cleared: 0, rest: Rest::Length(0) }
    }

    /// Looks for a whole head in what has been read.
    fn examine(&mut self) -> bool {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let size = match request.parse(&self.ahead) {
            Ok(httparse::Status::Complete(size)) => size,
            Ok(httparse::Status::Partial) if self.ahead.len() < HEAD => return false,
            // hyper has the words for it.
            _ => {
                self.cleared = self.ahead.len();
                self.watch.feed(Input::Unreadable);
                return true;
            }
        };
        let count = |name: &str| request.headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name)).count();
        let (lengths, codings) = (count("content-length"), count("transfer-encoding"));
        // Guards against a request hidden in a body that the next reader frames otherwise. hyper would drop the
        // length before its service could see it.
        let fault = match (lengths, codings) {
            (0 | 1, 0) | (0, 1) => None,
            (_, 0) => Some("Content-Length: given more than once"),
            (0, _) => Some("Transfer-Encoding: given more than once"),
            _ => Some("Content-Length and Transfer-Encoding: one of them wanted, not both"),
        };
        let length = request.headers.iter().find(|h| h.name.eq_ignore_ascii_case("content-length"));
        let length = length.map_or(Some(0), |h| std::str::from_utf8(h.value).ok()?.parse::<u64>().ok());
        self.watch.fault.set(fault);
        let body = self.ahead.len() - size;
        match length {
            Some(length) if fault.is_none() && codings == 0 => {
                let here = length.min(body as u64);
                self.cleared = size + here as usize;
                self.rest = Rest::Length(length - here);
                self.watch.feed(Input::Head(if length == here { Framing::Here } else { Framing::Told }));
            }
            // Where a chunked body ends is hyper's to find, so nothing may follow it here.
            _ => {
                self.cleared = self.ahead.len();
                self.rest = Rest::Unknown;
                self.watch.feed(Input::Head(Framing::Unknown));
            }
        }
        true
    }

    /// Reads more into `ahead`; 0 at the end of what the client sends.
    fn fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut space = [MaybeUninit::uninit(); 4096];
        let mut part = ReadBuf::uninit(&mut space);
        ready!(Pin::new(&mut self.wire).poll_read(cx, &mut part))?;
        self.ahead.extend_from_slice(part.filled());
        self.watch.feed(Input::Ahead(!self.ahead.is_empty()));
        Poll::Ready(Ok(part.filled().len()))
    }

    fn note<T>(&self, written: Poll<T>) -> Poll<T> {
        self.watch.feed(Input::Blocked(written.is_pending()));
        written
    }
}

impl AsyncRead for Gate {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let me = self.get_mut();
        loop {
            if me.cleared > 0 {
                let n = me.cleared.min(buf.remaining());
                buf.put_slice(&me.ahead[..n]);
                me.ahead.drain(..n);
                me.cleared -= n;
                me.watch.feed(Input::Ahead(!me.ahead.is_empty()));
                return Poll::Ready(Ok(()));
            }
            match me.watch.stage() {
                Stage::Gate | Stage::Head | Stage::Idle => {
                    if !me.ahead.is_empty() && me.examine() {
                        continue;
                    }
                    if ready!(me.fill(cx))? == 0 {
                        return Poll::Ready(Ok(()));
                    }
                    me.watch.feed(Input::Begun);
                }
                Stage::Answer => {
                    // Read only to see the client go; what it sends ahead of its answer is kept, up to a bound.
                    if me.ahead.len() >= HEAD {
                        return Poll::Pending;
                    }
                    if ready!(me.fill(cx))? == 0 {
                        return Poll::Ready(Ok(()));
                    }
                }
                // Nobody reads here any more once it is handed over.
                Stage::HandedOver => return Poll::Pending,
                Stage::Body | Stage::Closing => {
                    let Rest::Length(left) = &mut me.rest else {
                        return Pin::new(&mut me.wire).poll_read(cx, buf);
                    };
                    let most = buf.remaining().min(usize::try_from(*left).unwrap_or(usize::MAX));
                    let mut part = ReadBuf::new(buf.initialize_unfilled_to(most));
                    ready!(Pin::new(&mut me.wire).poll_read(cx, &mut part))?;
                    let n = part.filled().len();
                    *left -= n as u64;
                    if *left == 0 && me.watch.stage() == Stage::Body {
                        me.watch.feed(Input::BodyRead);
                    }
                    buf.advance(n);
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl AsyncWrite for Gate {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.wire).poll_write(cx, buf);
        self.note(written)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.wire).poll_write_vectored(cx, bufs);
        self.note(written)
    }
    fn is_write_vectored(&self) -> bool {
        self.wire.is_write_vectored()
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.wire).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.wire).poll_shutdown(cx)
    }
}

/// Reads on, within bounds, after an answer that came before the end of its request.
pub async fn linger(wire: &Wire) {
    let mut left = LINGER_BYTES;
    let drop_all = async {
        let mut space = vec![0; 64 << 10];
        while left > 0 && wire.socket.readable().await.is_ok() {
            match wire.socket.try_read(&mut space) {
                Ok(0) => return,
                Ok(n) => left = left.saturating_sub(n),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    };
    let _ = timeout(LINGER, drop_all).await;
}
