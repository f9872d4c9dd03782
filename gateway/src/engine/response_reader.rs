//! What a server says, as hyper reads it: the head of an answer passes once it is whole, and the interim answers
//! in front of it are left out. hyper would take a 101 for an upgrade, and has no bound in time for a head.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::{sleep, Sleep};

use crate::chunk_position::ChunkPosition;
use crate::counted_socket::CountedSocket;

/// Most bytes of a head, and of all interim answers in front of it.
const HEAD: usize = 16 << 10;
const HEADERS: usize = 100;
/// A head that has begun must be whole so soon.
const HALF_HEAD: Duration = Duration::from_secs(1);

/// The chunked body of the answer under way, as it passes to hyper: reading can be stopped between two chunks.
#[derive(Default)]
pub struct Tap {
    /// Where the framing stands after all that was passed on; `None` where the body has no chunks.
    chunks: Cell<Option<ChunkPosition>>,
    /// Bytes of data among what was passed on.
    data: Cell<u64>,
    stop: Cell<bool>,
    /// Read and not passed on, since reading is to stop.
    pub ahead: RefCell<Vec<u8>>,
    stopped: RefCell<Option<Waker>>,
    /// Told each time that reading stops: the end of a chunk alone brings no data that would tell.
    reached: Notify,
}

impl Tap {
    /// Stops reading when the chunk under way has ended, or goes on.
    pub fn stop(&self, stop: bool) {
        if self.stop.replace(stop) && !stop {
            if let Some(waker) = self.stopped.take() {
                waker.wake();
            }
        }
    }

    /// Whether reading has stopped between two chunks, with so many bytes of data passed on.
    pub fn stands(&self, data: u64) -> bool {
        self.stop.get() && self.data.get() == data && self.between()
    }

    /// Until reading has stopped.
    pub async fn reached(&self) {
        self.reached.notified().await;
    }

    fn between(&self) -> bool {
        self.chunks.get().is_some_and(|c| c.between())
    }

    fn begin(&self, chunked: bool) {
        self.chunks.set(chunked.then(ChunkPosition::default));
        self.data.set(0);
        self.stop(false);
    }

    /// Notes what is passed on of these bytes, and how many they are.
    fn note(&self, bytes: &[u8]) -> usize {
        let Some(mut chunks) = self.chunks.get() else { return bytes.len() };
        let mut data = self.data.get();
        let read = chunks.read(bytes, self.stop.get(), |d| data += d.len() as u64);
        self.data.set(data);
        // What hyper cannot read either is its to tell; the stream is only not to be moved any more.
        self.chunks.set(read.is_ok().then_some(chunks));
        match read {
            Ok(read) if !chunks.ended() => read,
            _ => bytes.len(),
        }
    }
}

/// What has to hold in the moment in which the first byte of a request goes out. Whoever sends it asks before, but other
/// tasks have turns between that and the write, and the network does not wait.
#[derive(Default)]
pub struct Gate {
    clear: RefCell<Option<Box<dyn Fn() -> bool>>>,
    kept_back: Cell<bool>,
}

impl Gate {
    /// Has this asked before the next byte goes out.
    pub fn set(&self, clear: impl Fn() -> bool + 'static) {
        self.kept_back.set(false);
        self.clear.replace(Some(Box::new(clear)));
    }

    /// Whether it said no, so that nothing was written.
    pub fn kept_back(&self) -> bool {
        self.kept_back.get()
    }

    /// `quiet`: the server has said nothing since its last answer, and has not closed.
    fn check(&self, quiet: impl FnOnce() -> bool) -> io::Result<()> {
        let clear = self.clear.borrow();
        let Some(clear) = clear.as_ref() else { return Ok(()) };
        if !clear() {
            self.kept_back.set(true);
            return Err(io::Error::other("not to be sent any more"));
        }
        if !quiet() {
            return Err(io::Error::other("closed, or an answer before its request"));
        }
        Ok(())
    }
}

pub struct ResponseReader {
    wire: CountedSocket,
    gate: Rc<Gate>,
    /// A request was sent, and the head of its answer has not come.
    awaited: Rc<Cell<bool>>,
    /// Read and not passed on; so many bytes of it may be.
    ahead: Vec<u8>,
    cleared: usize,
    interim: usize,
    begun: Option<Pin<Box<Sleep>>>,
    tap: Rc<Tap>,
}

fn unreadable(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

impl ResponseReader {
    pub fn new(wire: CountedSocket, gate: Rc<Gate>, awaited: Rc<Cell<bool>>, tap: Rc<Tap>) -> Self {
        ResponseReader { wire, gate, awaited, ahead: Vec::new(), cleared: 0, interim: 0, begun: None, tap }
    }

    /// Looks for a final head in what has been read; without one, more has to come.
    fn examine(&mut self) -> io::Result<bool> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; HEADERS];
            let mut response = httparse::Response::new(&mut headers);
            match response.parse(&self.ahead) {
                Ok(httparse::Status::Complete(size)) if matches!(response.code, Some(100..=199)) => {
                    self.ahead.drain(..size);
                    self.interim += size;
                }
                Ok(httparse::Status::Complete(size)) => {
                    let chunked = |h: &&httparse::Header| {
                        h.name.eq_ignore_ascii_case("transfer-encoding")
                            && h.value.eq_ignore_ascii_case(b"chunked")
                    };
                    self.tap.begin(response.headers.iter().find(chunked).is_some());
                    self.tap.note(&self.ahead[size..]);
                    (self.cleared, self.interim, self.begun) = (self.ahead.len(), 0, None);
                    self.awaited.set(false);
                    return Ok(true);
                }
                Ok(httparse::Status::Partial) if self.ahead.len() + self.interim < HEAD => return Ok(false),
                Ok(httparse::Status::Partial) => return Err(unreadable("a head does not end")),
                Err(_) => return Err(unreadable("no head of an answer")),
            }
        }
    }
}

impl ResponseReader {
    /// Writes where the gate lets it; what is out has passed it.
    fn poll_out(
        &mut self, write: impl FnOnce(Pin<&mut CountedSocket>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        self.gate.check(|| self.ahead.is_empty() && self.wire.is_quiet())?;
        let written = write(Pin::new(&mut self.wire));
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.gate.clear.take();
        }
        written
    }

    fn poll_body(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let tap = self.tap.clone();
        if tap.stop.get() && tap.between() {
            tap.stopped.replace(Some(cx.waker().clone()));
            tap.reached.notify_one();
            return Poll::Pending;
        }
        let mut ahead = tap.ahead.borrow_mut();
        if !tap.stop.get() && ahead.is_empty() {
            let before = buf.filled().len();
            ready!(Pin::new(&mut self.wire).poll_read(cx, buf))?;
            tap.note(&buf.filled()[before..]);
            return Poll::Ready(Ok(()));
        }
        if ahead.is_empty() {
            let mut space = [MaybeUninit::uninit(); 4096];
            let mut part = ReadBuf::uninit(&mut space);
            ready!(Pin::new(&mut self.wire).poll_read(cx, &mut part))?;
            ahead.extend_from_slice(part.filled());
        }
        let most = ahead.len().min(buf.remaining());
        let n = tap.note(&ahead[..most]);
        buf.put_slice(&ahead[..n]);
        ahead.drain(..n);
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for ResponseReader {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let me = self.get_mut();
        loop {
            if me.cleared > 0 {
                let n = me.cleared.min(buf.remaining());
                buf.put_slice(&me.ahead[..n]);
                me.ahead.drain(..n);
                me.cleared -= n;
                return Poll::Ready(Ok(()));
            }
            if !me.awaited.get() {
                me.ahead = Vec::new();
                return me.poll_body(cx, buf);
            }
            let mut space = [MaybeUninit::uninit(); 4096];
            let mut part = ReadBuf::uninit(&mut space);
            if Pin::new(&mut me.wire).poll_read(cx, &mut part)?.is_pending() {
                let begun = me.begun.as_mut().filter(|_| !me.ahead.is_empty());
                let Some(begun) = begun else { return Poll::Pending };
                ready!(begun.as_mut().poll(cx));
                return Poll::Ready(Err(unreadable("a head does not end in time")));
            }
            if part.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            me.ahead.extend_from_slice(part.filled());
            if !me.examine()? && me.begun.is_none() {
                me.begun = Some(Box::pin(sleep(HALF_HEAD)));
            }
        }
    }
}

impl AsyncWrite for ResponseReader {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_out(|wire| wire.poll_write(cx, buf))
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_out(|wire| wire.poll_write_vectored(cx, bufs))
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
