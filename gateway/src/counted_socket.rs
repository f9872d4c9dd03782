//! A socket that counts the bytes that it has written; hyper reads and writes one clone of it, its owner asks another.

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

/// Bytes read at once where they are not read into hyper's buffer.
const READ_SIZE: usize = 4096;

/// A counter that is incremented once so many bytes have been written in all.
struct PendingCount {
    written: u64,
    count: Rc<Cell<u64>>,
}

/// Most unread bytes that are counted.
const MAX_COUNTED_UNREAD: usize = 16 << 10;

/// Bytes that have come and were not read, counted up to a bound.
pub fn unread_bytes(socket: &TcpStream) -> usize {
    let mut bytes = [MaybeUninit::uninit(); MAX_COUNTED_UNREAD];
    SockRef::from(socket).peek(&mut bytes).unwrap_or(0)
}

/// Whether bytes have come that were not read; the end of the peer's sending is none.
pub fn has_unread(socket: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    matches!(SockRef::from(socket).peek(&mut byte), Ok(1..))
}

/// Waits until the peer has ended its sending, whether or not what it sent before has been read.
pub async fn read_closed(socket: &TcpStream) {
    // An end counts for this interest too; bytes do not, and urgent ones are not sent here.
    while socket.ready(Interest::PRIORITY).await.is_ok_and(|ready| !ready.is_read_closed()) {
        yield_now().await;
    }
}

/// A socket that counts what it has written. A clone is the same socket.
#[derive(Clone)]
pub struct CountedSocket {
    /// The socket itself.
    pub socket: Rc<TcpStream>,
    written: Rc<Cell<u64>>,
    pending_count: Rc<RefCell<Option<PendingCount>>>,
}

impl CountedSocket {
    /// Counts what this socket writes from now on.
    pub fn new(socket: TcpStream) -> Self {
        CountedSocket { socket: Rc::new(socket), written: Rc::default(), pending_count: Rc::default() }
    }

    /// Bytes handed to the kernel so far.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Whether there is nothing to read: no bytes, no end, no error.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&*self.socket).peek(&mut byte);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Reads what the socket has, without clearing memory for it; 0 at the end of what the peer sends.
    pub fn poll_read_into(
        &mut self, context: &mut Context<'_>, bytes: &mut Vec<u8>,
    ) -> Poll<io::Result<usize>> {
        let mut space = [MaybeUninit::uninit(); READ_SIZE];
        let mut part = ReadBuf::uninit(&mut space);
        ready!(Pin::new(self).poll_read(context, &mut part))?;
        bytes.extend_from_slice(part.filled());
        Poll::Ready(Ok(part.filled().len()))
    }

    /// Adds one to `count` as soon as so many more bytes have been handed to the kernel.
    pub fn count_after(&self, bytes: u64, count: Rc<Cell<u64>>) {
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
            // Into memory that is not initialized: clearing it cost as much as parsing what came.
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
