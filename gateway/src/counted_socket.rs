//! A socket that counts what it has taken, shared by whoever needs it beside hyper.

use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// What is counted once so many bytes have been handed over.
struct Due(u64, Rc<Cell<u64>>);

/// Whether bytes have come that nobody has read; the end of what the other side sends is none.
pub fn has_unread(socket: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    matches!(SockRef::from(socket).peek(&mut byte), Ok(1..))
}

/// Until the other side has ended its sending, whether or not what it sent before has been read.
pub async fn read_closed(socket: &TcpStream) {
    // An end counts for this interest too; bytes do not, and urgent ones are not sent here.
    while socket.ready(Interest::PRIORITY).await.is_ok_and(|ready| !ready.is_read_closed()) {
        yield_now().await;
    }
}

#[derive(Clone)]
pub struct CountedSocket {
    pub socket: Rc<TcpStream>,
    written: Rc<Cell<u64>>,
    due: Rc<RefCell<Option<Due>>>,
}

impl CountedSocket {
    pub fn new(socket: TcpStream) -> Self {
        CountedSocket { socket: Rc::new(socket), written: Rc::default(), due: Rc::default() }
    }

    /// Bytes handed to the machine so far.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Whether there is nothing to read: no bytes, no end, no error.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&*self.socket).peek(&mut byte);
        matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Counts one as soon as so many more bytes have been handed over.
    pub fn count_after(&self, bytes: u64, count: Rc<Cell<u64>>) {
        self.due.replace(Some(Due(self.written() + bytes, count)));
    }

    fn wrote(&self, bytes: usize) {
        self.written.set(self.written.get() + bytes as u64);
        let due = self.due.borrow_mut().take_if(|Due(at, _)| *at <= self.written.get());
        if let Some(Due(_, count)) = due {
            count.set(count.get() + 1);
        }
    }

    fn poll_out(
        &self, cx: &mut Context<'_>, write: impl Fn() -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.socket.poll_write_ready(cx))?;
            match write() {
                Ok(n) => {
                    self.wrote(n);
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncRead for CountedSocket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.socket.poll_read_ready(cx))?;
            // Straight into what is not initialized: clearing it cost as much as parsing what came.
            match self.socket.try_read_buf(buf) {
                Ok(_) => return Poll::Ready(Ok(())),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for CountedSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_out(cx, || self.socket.try_write(buf))
    }
    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_out(cx, || self.socket.try_write_vectored(bufs))
    }
    fn is_write_vectored(&self) -> bool {
        true
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.socket).shutdown(std::net::Shutdown::Write))
    }
}
