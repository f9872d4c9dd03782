//! A socket that counts the bytes written to it. Hyper uses one clone for I/O, and the owner reads the count from another.

use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// Maximum number of bytes in one read that does not use hyper's buffer.
const READ_SIZE: usize = 4096;

/// A counter to increment once the total of bytes written reaches `written`.
struct PendingCount {
    written: u64,
    count: Rc<Cell<u64>>,
}

/// Maximum result of [`unread_bytes`], in bytes.
const MAX_COUNTED_UNREAD: usize = 16 << 10;

/// Returns the number of received bytes that were not read, up to [`MAX_COUNTED_UNREAD`].
pub fn unread_bytes(socket: &TcpStream) -> usize {
    let mut bytes = [MaybeUninit::uninit(); MAX_COUNTED_UNREAD];
    SockRef::from(socket).peek(&mut bytes).unwrap_or(0)
}

/// Whether received bytes were not read. The peer's close of its sending side does not count.
pub fn has_unread(socket: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    matches!(SockRef::from(socket).peek(&mut byte), Ok(1..))
}

/// Waits until the peer has closed its sending side, even if earlier bytes have not been read.
pub async fn wait_for_peer_close(socket: &TcpStream) {
    // This interest reports the peer's close too, but not normal data, and no peer sends urgent data.
    while socket.ready(Interest::PRIORITY).await.is_ok_and(|ready| !ready.is_read_closed()) {
        yield_now().await;
    }
}

/// A socket that counts the bytes written to it. Clones share the socket and the count.
#[derive(Clone)]
pub struct CountedSocket {
    /// The underlying socket; writes that bypass the wrapper are not counted.
    pub socket: Rc<TcpStream>,
    written: Rc<Cell<u64>>,
    pending_count: Rc<RefCell<Option<PendingCount>>>,
}

impl CountedSocket {
    /// Wraps a socket; the count starts at 0.
    pub fn new(socket: TcpStream) -> Self {
        CountedSocket { socket: Rc::new(socket), written: Rc::default(), pending_count: Rc::default() }
    }

    /// Returns the number of bytes passed to the kernel so far.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Whether a read would block: no data, no close by the peer and no error is pending.
    pub fn read_would_block(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&*self.socket).peek(&mut byte);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Reads available bytes without initializing memory for them and appends them to `bytes`. Returns their number; 0 once
    /// the peer has closed its sending side.
    pub fn poll_read_into(
        &mut self, context: &mut Context<'_>, bytes: &mut Vec<u8>,
    ) -> Poll<io::Result<usize>> {
        let mut space = [MaybeUninit::uninit(); READ_SIZE];
        let mut part = ReadBuf::uninit(&mut space);
        ready!(Pin::new(self).poll_read(context, &mut part))?;
        bytes.extend_from_slice(part.filled());
        Poll::Ready(Ok(part.filled().len()))
    }

    /// Increments `count` once `bytes` more bytes have been passed to the kernel.
    pub fn increment_after(&self, bytes: u64, count: Rc<Cell<u64>>) {
        let pending = PendingCount { written: self.written() + bytes, count };
        self.pending_count.replace(Some(pending));
    }

    fn add_written(&self, bytes: usize) {
        self.written.set(self.written.get() + bytes as u64);
        let mut pending = self.pending_count.borrow_mut();
        if let Some(reached) = pending.take_if(|pending| pending.written <= self.written.get()) {
            reached.count.set(reached.count.get() + 1);
        }
    }

    fn poll_counted_write(
        &self, context: &mut Context<'_>, write: impl Fn() -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.socket.poll_write_ready(context))?;
            match write() {
                Ok(bytes) => {
                    self.add_written(bytes);
                    return Poll::Ready(Ok(bytes));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncRead for CountedSocket {
    fn poll_read(
        self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.socket.poll_read_ready(context))?;
            // Reads into uninitialized memory, because clearing it costs as much as parsing the data.
            match self.socket.try_read_buf(buffer) {
                Ok(_) => return Poll::Ready(Ok(())),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for CountedSocket {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_counted_write(context, || self.socket.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, context: &mut Context<'_>, slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_counted_write(context, || self.socket.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.socket).shutdown(Shutdown::Write))
    }
}
