//! Upgrades: a second process at the same address takes over from the first. It is handed the listening sockets, so
//! there is one accept queue throughout, and then each client's connection that is at rest.

pub mod transferred;

use std::fs::File;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{TcpListener, TcpStream};
use std::os::fd::{AsFd, AsRawFd, BorrowedFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use tokio::io::Interest;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, Semaphore};
use tokio::time::timeout;

use crate::budget::{Budget, Claim};
use crate::exchange::StreamRemainder;
use crate::log;
use crate::shutdown::{Phase, Shutdown};
use crate::upgrade::transferred::{TransferredConnection, TransferredStream};

/// The fronts whose sockets are handed over.
pub const PLATFORM: u8 = 0;
pub const SECOND: u8 = 1;
pub const FRONTS: usize = 2;

/// The words between the two processes, each one byte; to some a front's number is added, and a socket comes along.
const LISTENER: u8 = 0x10;
const CLIENT: u8 = 0x20;
/// With a stream under way: its server's socket comes along, then what was read ahead of it and its class, each
/// behind its length in four bytes.
const STREAM: u8 = 0x30;
/// Most bytes of either.
const MOST: usize = 1 << 20;
/// All listeners have been handed over.
const ALL: u8 = 1;
/// The second process accepts from now on.
const SERVING: u8 = 2;

/// What the router has learned, in bytes behind their length.
const LEARNED: u8 = 3;

/// The first process must hand over its listeners by then, or is taken for dead.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Longest path that a Unix socket's address holds, less a margin.
const PATH: usize = 100;
const NAME: &str = "handover";

/// Where connections that another process hands over come in.
pub type TransferInbox = mpsc::UnboundedReceiver<(TcpStream, Option<TransferredStream>)>;

/// The way in of one front.
pub struct TransferInboxes([mpsc::UnboundedSender<(TcpStream, Option<TransferredStream>)>; FRONTS]);

impl TransferInboxes {
    pub fn new() -> (Rc<Self>, [TransferInbox; FRONTS]) {
        let ((a, a_in), (b, b_in)) = (mpsc::unbounded_channel(), mpsc::unbounded_channel());
        (Rc::new(TransferInboxes([a, b])), [a_in, b_in])
    }
    fn deliver(&self, front: u8, socket: TcpStream, stream: Option<TransferredStream>) {
        if let Some(inbox) = self.0.get(usize::from(front)) {
            // A front that is not there any more: its client sees the connection end.
            let _ = inbox.send((socket, stream));
        }
    }
}

/// What two processes share while both live: each then has half.
#[derive(Clone)]
pub struct SharedLimits {
    pub slots: Arc<Semaphore>,
    pub connections: usize,
    pub budget: Budget,
    pub bodies: usize,
}

/// The half that is the other process's; given back when this is dropped.
pub struct ReservedHalf {
    slots: Arc<Semaphore>,
    kept: usize,
    _bodies: Option<Claim>,
}

impl SharedLimits {
    pub fn reserve_half(&self) -> ReservedHalf {
        let kept = self.slots.forget_permits(self.connections / 2);
        ReservedHalf { slots: self.slots.clone(), kept, _bodies: self.budget.claim(self.bodies / 2) }
    }
}

impl Drop for ReservedHalf {
    fn drop(&mut self) {
        self.slots.add_permits(self.kept);
    }
}

type Take = Rc<dyn Fn(&[u8])>;

/// What the platform's router has learned: given to another process, or taken from one.
#[derive(Clone)]
pub struct RoutingStateTransfer {
    pub export: Rc<dyn Fn() -> Vec<u8>>,
    pub import: Take,
}

/// The connection between the two processes.
pub struct UpgradeLink(UnixStream);

impl UpgradeLink {
    async fn send(&self, word: u8, sockets: &[BorrowedFd<'_>]) -> io::Result<()> {
        self.0
            .async_io(Interest::WRITABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
                let mut control = SendAncillaryBuffer::new(&mut space);
                if !sockets.is_empty() {
                    control.push(SendAncillaryMessage::ScmRights(sockets));
                }
                sendmsg(&self.0, &[IoSlice::new(&[word])], &mut control, SendFlags::NOSIGNAL)?;
                Ok(())
            })
            .await
    }

    async fn pass(&self, handed: &TransferredConnection) -> io::Result<()> {
        let Some(moved) = &handed.stream else {
            return self.send(CLIENT + handed.front, &[handed.socket.as_fd()]).await;
        };
        self.send(STREAM + handed.front, &[handed.socket.as_fd(), moved.remainder.socket.as_fd()]).await?;
        self.send_bytes(&moved.remainder.read_ahead).await?;
        self.send_bytes(moved.class.as_deref().unwrap_or("").as_bytes()).await
    }

    async fn send_bytes(&self, bytes: &[u8]) -> io::Result<()> {
        let size = u32::try_from(bytes.len()).map_err(io::Error::other)?;
        let all = [&size.to_le_bytes(), bytes].concat();
        let mut left = &all[..];
        while !left.is_empty() {
            let sent = self.0.async_io(Interest::WRITABLE, || Ok(rustix::io::write(&self.0, left)?)).await?;
            left = &left[sent..];
        }
        Ok(())
    }

    async fn exactly(&self, size: usize) -> io::Result<Vec<u8>> {
        let mut bytes = vec![0; size];
        let mut got = 0;
        while got < size {
            let read =
                self.0.async_io(Interest::READABLE, || Ok(rustix::io::read(&self.0, &mut bytes[got..])?));
            match read.await? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                n => got += n,
            }
        }
        Ok(bytes)
    }

    async fn receive_bytes(&self) -> io::Result<Vec<u8>> {
        let size = self.exactly(4).await?;
        let size = u32::from_le_bytes([size[0], size[1], size[2], size[3]]) as usize;
        if size > MOST {
            return Err(io::ErrorKind::InvalidData.into());
        }
        self.exactly(size).await
    }

    /// The next word, and the sockets that came with it; `None` at the end.
    async fn receive(&self) -> io::Result<Option<(u8, Vec<OwnedFd>)>> {
        self.0
            .async_io(Interest::READABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
                let mut control = RecvAncillaryBuffer::new(&mut space);
                let mut word = [0];
                let got = recvmsg(
                    &self.0,
                    &mut [IoSliceMut::new(&mut word)],
                    &mut control,
                    RecvFlags::CMSG_CLOEXEC,
                )?;
                let sockets = control.drain().filter_map(|message| match message {
                    RecvAncillaryMessage::ScmRights(sockets) => Some(sockets),
                    _ => None,
                });
                let sockets = sockets.flatten().collect();
                Ok((got.bytes > 0).then_some((word[0], sockets)))
            })
            .await
    }
}

/// A way to name a file of this directory in the few bytes that a socket's address holds.
fn near(dir: &Path, name: &str) -> io::Result<(PathBuf, Option<File>)> {
    let path = dir.join(name);
    if path.as_os_str().len() <= PATH {
        return Ok((path, None));
    }
    let open = File::open(dir)?;
    Ok((PathBuf::from(format!("/proc/self/fd/{}/{name}", open.as_raw_fd())), Some(open)))
}

/// What a first process leaves to this one.
pub struct HandoverState {
    pub listeners: [Option<TcpListener>; FRONTS],
    pub link: UpgradeLink,
}

/// Asks for what another process at this address holds; `None` where there is no such process.
pub async fn request_handover(state: &Path) -> Option<HandoverState> {
    let ask = async {
        let (path, _open) = near(state, NAME)?;
        let link = UpgradeLink(UnixStream::connect(path).await?);
        let mut listeners = [None, None];
        loop {
            match link.receive().await? {
                Some((ALL, _)) => return Ok(HandoverState { listeners, link }),
                Some((word, sockets)) if usize::from(word.wrapping_sub(LISTENER)) < FRONTS => {
                    listeners[usize::from(word - LISTENER)] =
                        sockets.into_iter().next().map(TcpListener::from);
                }
                other => {
                    return Err(io::Error::other(format!("unexpected: {:?}", other.map(|o| o.0))));
                }
            }
        }
    };
    match timeout(PATIENCE, ask).await {
        Ok(Ok(estate)) => {
            log!("another process hands over to this one");
            Some(estate)
        }
        // None was there, or the one that was has died.
        Ok(Err(e)) if matches!(e.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused) => None,
        Ok(Err(e)) => {
            log!("no process hands over to this one: {e}");
            None
        }
        Err(_) => {
            log!("the process at this address does not hand over in time");
            None
        }
    }
}

/// Takes over: says that this process serves, then takes the connections that the other one hands over, until that
/// one has ended. Should this process be told to end meanwhile, the other one learns of it and accepts again.
pub async fn serve_as_successor(
    link: UpgradeLink, inboxes: Rc<TransferInboxes>, learned: RoutingStateTransfer, shutdown: Shutdown,
    half: ReservedHalf,
) {
    let taking = async {
        link.send(SERVING, &[]).await?;
        while let Some((word, sockets)) = link.receive().await? {
            if word == LEARNED {
                (learned.import)(&link.receive_bytes().await?);
                continue;
            }
            let mut sockets = sockets.into_iter().map(TcpStream::from);
            let stream = match word {
                STREAM.. => Some((link.receive_bytes().await?, link.receive_bytes().await?)),
                _ => None,
            };
            match (sockets.next(), sockets.next(), stream) {
                (Some(client), None, None) => inboxes.deliver(word.wrapping_sub(CLIENT), client, None),
                (Some(client), Some(socket), Some((ahead, class))) => {
                    let class = String::from_utf8(class).ok().filter(|c| !c.is_empty());
                    let moved =
                        TransferredStream { remainder: StreamRemainder { socket, read_ahead: ahead }, class };
                    inboxes.deliver(word.wrapping_sub(STREAM), client, Some(moved));
                }
                _ => log!("the other process handed over too little: no descriptor may be left"),
            }
        }
        Ok::<_, io::Error>(())
    };
    tokio::select! {
        ended = taking => log!("the other process has ended{}", ended.err().map_or(String::new(), |e| format!(": {e}"))),
        () = shutdown.reached(Phase::Closing) => {}
    }
    drop(half);
}

/// Makes this process the one that hands over from now on, in place of any before.
fn publish(state: &Path) -> io::Result<UnixListener> {
    let own = format!("{NAME}-{}", std::process::id());
    let (path, _open) = near(state, &own)?;
    let _ = std::fs::remove_file(state.join(&own));
    let listener = UnixListener::bind(path)?;
    std::fs::rename(state.join(&own), state.join(NAME))?;
    Ok(listener)
}

/// Waits for a process that is to take over, for as long as this one runs.
pub async fn serve_as_predecessor(
    state: PathBuf, listeners: Vec<(u8, OwnedFd)>, inboxes: Rc<TransferInboxes>,
    learned: RoutingStateTransfer, shutdown: Shutdown, share: SharedLimits,
) {
    let mut asked_before = false;
    loop {
        let asked = async { publish(&state)?.accept().await };
        let link = tokio::select! {
            asked = asked => match asked {
                Ok((stream, _)) => UpgradeLink(stream),
                Err(e) => return log!("no upgrade is possible: {e}"),
            },
            // Nobody accepts any more: with these copies gone the machine refuses new connections, and a process that is
            // started now can listen. Only one whose heir has died keeps what still comes, for the next heir.
            () = shutdown.reached(Phase::Closing), if !asked_before => return,
        };
        asked_before = true;
        let _half = share.reserve_half();
        if let Err(e) = succeed(&link, &listeners, &inboxes, &learned, &shutdown).await {
            log!("a handing over ended: {e}");
        }
    }
}

/// Hands over to one process, and ends when that one has gone.
async fn succeed(
    link: &UpgradeLink, listeners: &[(u8, OwnedFd)], inboxes: &TransferInboxes,
    learned: &RoutingStateTransfer, shutdown: &Shutdown,
) -> io::Result<()> {
    for (front, listener) in listeners {
        link.send(LISTENER + front, &[listener.as_fd()]).await?;
    }
    link.send(ALL, &[]).await?;
    if !matches!(link.receive().await?, Some((SERVING, _))) {
        return Err(io::Error::other("the other process ended before it served"));
    }
    log!("another process has taken over");
    link.send(LEARNED, &[]).await?;
    link.send_bytes(&(learned.export)()).await?;
    let (heir, mut handed) = mpsc::unbounded_channel::<TransferredConnection>();
    shutdown.set_successor(Some(heir));
    loop {
        let at_rest = tokio::select! {
            biased;
            Some(at_rest) = handed.recv() => at_rest,
            _ = link.receive() => break,
        };
        if link.pass(&at_rest).await.is_err() {
            inboxes.deliver(at_rest.front, at_rest.socket, at_rest.stream);
            break;
        }
    }
    shutdown.set_successor(None);
    // Not sent any more, so it is still ours.
    while let Ok(at_rest) = handed.try_recv() {
        inboxes.deliver(at_rest.front, at_rest.socket, at_rest.stream);
    }
    log!("the process that had taken over is gone; this one accepts again");
    Ok(())
}

#[cfg(test)]
mod tests {
    mod wire_format;
    use super::*;

    /// Guards the upgrade from where `$TMPDIR` lies: a path may be longer than a socket's address holds. A file that a
    /// dead process left, or none at all, means that there is nobody to take over from.
    #[tokio::test]
    async fn a_long_path_will_do_and_a_stale_file_does_not_hinder() {
        let top = std::env::temp_dir().join(format!("glenrail-upgrade-{}", std::process::id()));
        let state = top.join("x".repeat(120));
        std::fs::create_dir_all(&state).expect("a directory");
        assert!(request_handover(&state).await.is_none(), "nobody was ever there");
        for _ in 0..2 {
            let listener = publish(&state).expect("a socket");
            let (path, _open) = near(&state, NAME).expect("a path");
            let (asked, answered) = tokio::join!(UnixStream::connect(path), listener.accept());
            assert!(asked.is_ok() && answered.is_ok());
        }
        assert!(request_handover(&state).await.is_none(), "it has died");
        std::fs::remove_dir_all(top).expect("removed");
    }

    /// Guards the limits of both processes together: each has half while both live, and all of it after.
    #[test]
    fn half_is_kept_back_for_as_long_as_both_live() {
        let share = SharedLimits {
            slots: Arc::new(Semaphore::new(10)),
            connections: 10,
            budget: Budget::new(100),
            bodies: 100,
        };
        let half = share.reserve_half();
        assert_eq!(share.slots.available_permits(), 5);
        assert!(share.budget.claim(51).is_none() && share.budget.claim(50).is_some());
        drop(half);
        assert_eq!(share.slots.available_permits(), 10);
        assert!(share.budget.claim(100).is_some());
    }
}
