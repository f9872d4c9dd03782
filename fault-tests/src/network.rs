//! The links between gateways and engines: TCP proxies on loopback that can fall silent, never come up, reset and delay.

use std::collections::BTreeSet;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener as StdListener, TcpStream as StdStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use crate::attempt_observer::AttemptObserver;
use crate::link_writer::LinkWriter;
use crate::process::reserved_address;
use crate::record::Records;

/// Connections that may wait to be accepted on a link that is well.
const BACKLOG: i32 = 128;
/// A dial that takes longer than this finds the queue full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(20);
/// Most connections with which a link's queue is filled so that no further one comes up.
const MAX_FILLER_CONNECTIONS: usize = 8;
const BUFFER_BYTES: usize = 64 << 10;

/// How a link treats what passes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Condition {
    #[default]
    Open,
    /// Connections stand and come up, and nothing passes either way.
    Blackholed,
    /// As [`Condition::Blackholed`], and no further connection comes up.
    Unconnectable,
}

/// What becomes of a connection that is begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectOutcome {
    Accepted,
    /// It never comes up.
    Unconnectable,
    Refused,
}

#[derive(Clone, Copy, Debug, Default)]
struct LinkState {
    condition: Condition,
    /// Connections older than this one are silent for good.
    stalled_below: u64,
    /// Connections older than this one are reset.
    reset_below: u64,
    delay: Duration,
    /// The engine's process is gone.
    engine_down: bool,
    /// How often the listener was shut down.
    shutdowns: u64,
}

impl LinkState {
    /// What becomes of a connection that is begun now.
    fn connect_outcome(&self) -> ConnectOutcome {
        match self.condition {
            Condition::Unconnectable => ConnectOutcome::Unconnectable,
            // Only a machine that can be reached refuses for a process that is gone.
            Condition::Open if self.engine_down => ConnectOutcome::Refused,
            Condition::Open | Condition::Blackholed => ConnectOutcome::Accepted,
        }
    }

    fn is_passable(&self, connection: u64) -> bool {
        self.condition == Condition::Open && connection >= self.stalled_below
    }
}

/// One gateway's way to one engine.
#[derive(Clone)]
pub struct Link {
    pub name: String,
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
    listener: Arc<StdListener>,
    /// Keeps the address while nothing listens at it.
    _reservation: Arc<Socket>,
    next_connection: Arc<Mutex<u64>>,
    fillers: Arc<Mutex<FillerConnections>>,
    /// So long after the next attempt has come, what stands falls silent.
    stall_after_attempt: Arc<Mutex<Option<Duration>>>,
}

/// Connections of the link's own that fill its queue.
#[derive(Default)]
struct FillerConnections {
    open: Vec<StdStream>,
    addresses: BTreeSet<SocketAddr>,
}

impl Link {
    /// Opens a link to this engine; needs a tokio runtime.
    pub fn open(name: &str, engine: SocketAddr, records: Records) -> io::Result<Link> {
        let (reservation, address) = reserved_address()?;
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        let link = Link {
            name: name.to_string(),
            address,
            state: watch::Sender::new(LinkState::default()),
            listener: Arc::new(socket.into()),
            _reservation: Arc::new(reservation),
            next_connection: Arc::default(),
            fillers: Arc::default(),
            stall_after_attempt: Arc::default(),
        };
        tokio::spawn(link.clone().accept(engine, records));
        Ok(link)
    }

    /// Has the link treat everything like this from now on.
    pub fn set(&self, condition: Condition) {
        self.update(|state| state.condition = condition);
    }

    /// The engine's process is gone: its connections are reset and new ones refused, unless the way to its machine is cut.
    pub fn mark_engine_down(&self) {
        let is_open = self.state.borrow().condition == Condition::Open;
        self.update(|state| state.engine_down = true);
        if is_open {
            self.reset();
        }
    }

    /// The engine's process listens again.
    pub fn mark_engine_up(&self) {
        self.update(|state| state.engine_down = false);
    }

    fn update(&self, change: impl FnOnce(&mut LinkState)) {
        self.state.send_modify(|state| {
            change(state);
            state.shutdowns += u64::from(state.connect_outcome() == ConnectOutcome::Refused);
        });
        let connect_outcome = self.state.borrow().connect_outcome();
        match connect_outcome {
            ConnectOutcome::Accepted => self.restore_accept_queue(),
            ConnectOutcome::Unconnectable => self.fill_accept_queue(),
            ConnectOutcome::Refused => {
                self.lock_fillers().open.clear();
                // What waits to be accepted is reset.
                let _ = SockRef::from(&*self.listener).shutdown(Shutdown::Both);
            }
        }
    }

    /// Has every connection that stands now silent for good, with no error.
    pub fn stall_open_connections(&self) {
        let next = *self.next_connection.lock().unwrap_or_else(PoisonError::into_inner);
        self.state.send_modify(|state| state.stalled_below = next);
    }

    /// Does the same so long after the next attempt has come; at no time after it, before the attempt is passed on.
    pub fn stall_after_next_attempt(&self, pause: Option<Duration>) {
        *self.stall_after_attempt.lock().unwrap_or_else(PoisonError::into_inner) = pause;
    }

    fn on_attempt(&self) {
        match self.stall_after_attempt.lock().unwrap_or_else(PoisonError::into_inner).take() {
            None => {}
            Some(Duration::ZERO) => self.stall_open_connections(),
            Some(pause) => {
                let link = self.clone();
                tokio::spawn(async move {
                    sleep(pause).await;
                    link.stall_open_connections();
                });
            }
        }
    }

    /// Resets every connection that stands now.
    pub fn reset(&self) {
        let next = *self.next_connection.lock().unwrap_or_else(PoisonError::into_inner);
        self.state.send_modify(|state| state.reset_below = next);
    }

    /// Whatever passes is late by so much.
    pub fn set_delay(&self, delay: Duration) {
        self.state.send_modify(|state| state.delay = delay);
    }

    fn fill_accept_queue(&self) {
        // The machine lets one more in than the queue is told to hold.
        if SockRef::from(&*self.listener).listen(0).is_err() {
            return;
        }
        let mut fillers = self.lock_fillers();
        for _ in 0..MAX_FILLER_CONNECTIONS {
            let Ok(socket) = StdStream::connect_timeout(&self.address, CONNECT_TIMEOUT) else { return };
            fillers.addresses.extend(socket.local_addr());
            fillers.open.push(socket);
        }
    }

    fn restore_accept_queue(&self) {
        // A link that cannot be listened on again shows as one that stays down.
        let _ = SockRef::from(&*self.listener).listen(BACKLOG);
        self.lock_fillers().open.clear();
    }

    fn lock_fillers(&self) -> MutexGuard<'_, FillerConnections> {
        self.fillers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn remove_filler(&self, address: SocketAddr) -> bool {
        self.lock_fillers().addresses.remove(&address)
    }

    async fn accept(self, engine: SocketAddr, records: Records) {
        let mut state = self.state.subscribe();
        while let Some(previous) = wait_until_accepting(&mut state).await {
            if previous == ConnectOutcome::Unconnectable {
                reset_all(&self.listener);
            }
            // A listener that was shut down stays closed to the runtime, also once it listens again.
            let Ok(listener) = self.listener.try_clone().and_then(TcpListener::from_std) else { return };
            let shutdowns = state.borrow().shutdowns;
            let is_accepting = |state: &LinkState| {
                state.connect_outcome() == ConnectOutcome::Accepted && state.shutdowns == shutdowns
            };
            while is_accepting(&state.borrow_and_update()) {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    _ = state.changed() => continue,
                };
                if let Ok((socket, from)) = accepted {
                    self.proxy_connection(socket, from, engine, &records);
                }
            }
        }
    }

    fn proxy_connection(&self, socket: TcpStream, from: SocketAddr, engine: SocketAddr, records: &Records) {
        if self.remove_filler(from) {
            return;
        }
        let connection = {
            let mut next = self.next_connection.lock().unwrap_or_else(PoisonError::into_inner);
            *next += 1;
            *next - 1
        };
        let link = self.clone();
        let on_attempt = move || link.on_attempt();
        let observer = AttemptObserver::new(records.clone(), &self.name, connection, on_attempt);
        tokio::spawn(proxy(socket, engine, self.state.subscribe(), connection, observer));
    }
}

/// Waits until connections are accepted; gives what became of them last before that, or nothing once the link is gone.
async fn wait_until_accepting(state: &mut watch::Receiver<LinkState>) -> Option<ConnectOutcome> {
    let mut previous = ConnectOutcome::Accepted;
    loop {
        match state.borrow_and_update().connect_outcome() {
            ConnectOutcome::Accepted => return Some(previous),
            other => previous = other,
        }
        state.changed().await.ok()?;
    }
}

/// Resets what came up while nothing was accepted: a way that is back knows nothing of it.
fn reset_all(listener: &StdListener) {
    while let Ok((socket, _)) = listener.accept() {
        let _ = SockRef::from(&socket).set_linger(Some(Duration::ZERO));
    }
}

/// Carries one connection until either side ends it, or it is reset.
async fn proxy(
    gateway: TcpStream, engine: SocketAddr, state: watch::Receiver<LinkState>, connection: u64,
    attempt_observer: AttemptObserver,
) {
    // Small writes are not held back; where that cannot be set they come later.
    let _ = gateway.set_nodelay(true);
    let Ok(reset_handle) = SockRef::from(&gateway).try_clone() else { return };
    let (from_gateway, to_gateway) = gateway.into_split();
    let to_gateway = LinkWriter::new(to_gateway);
    let mut resets = state.clone();
    let (sender, received) = mpsc::unbounded_channel();
    let proxied = ProxiedConnection { state, connection, observer: Mutex::new(Some(attempt_observer)) };
    let proxying = async {
        // What a gateway sends is seen also while the way to the engine is silent.
        let receives = async {
            receive(from_gateway, sender, |bytes| proxied.observe(|observer| observer.on_request(bytes)))
                .await;
            proxied.stop_observing();
        };
        let forwards = async {
            let was_blocked = !proxied.is_passable();
            match proxied.connect(engine).await {
                // What waited on a silent way arrives together with its connection's end: an engine drops it.
                Some(_) if was_blocked && received.is_closed() => {}
                Some(upstream) => proxy_both_ways(upstream, to_gateway, received, &proxied).await,
                // The engine refuses: so does the link.
                None => _ = reset_handle.set_linger(Some(Duration::ZERO)),
            }
        };
        tokio::join!(receives, forwards);
    };
    tokio::select! {
        () = proxying => {}
        _ = resets.wait_for(|state| connection < state.reset_below) => {
            let _ = reset_handle.set_linger(Some(Duration::ZERO));
        }
    }
}

/// Passes bytes both ways between an engine and what a gateway sends.
async fn proxy_both_ways(
    upstream: TcpStream, to_gateway: LinkWriter, received: mpsc::UnboundedReceiver<Vec<u8>>,
    proxied: &ProxiedConnection,
) {
    let _ = upstream.set_nodelay(true);
    let (from_engine, to_engine) = upstream.into_split();
    let to_engine = LinkWriter::new(to_engine);
    let (sender, responses) = mpsc::unbounded_channel();
    tokio::join!(
        forward(received, to_engine, proxied, || {}),
        receive(from_engine, sender, |_| {}),
        forward(responses, to_gateway, proxied, || proxied.observe(AttemptObserver::on_response)),
    );
}

/// Takes what comes at once, until its end, and shows it.
async fn receive(mut from: OwnedReadHalf, sender: mpsc::UnboundedSender<Vec<u8>>, observe: impl Fn(&[u8])) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(size @ 1..) = from.read(&mut buffer).await {
        observe(&buffer[..size]);
        if sender.send(buffer[..size].to_vec()).is_err() {
            break;
        }
    }
}

/// Gives on what was taken, and its end, once the link lets it pass; says so each time.
async fn forward(
    mut received: mpsc::UnboundedReceiver<Vec<u8>>, mut to: LinkWriter, proxied: &ProxiedConnection,
    on_forward: impl Fn(),
) {
    while let Some(bytes) = received.recv().await {
        let was_blocked = !proxied.is_passable();
        let Some(delay) = proxied.wait_until_passable().await else { return };
        // What waited on a silent way arrives together with its connection's end: an engine drops it.
        if was_blocked && received.is_closed() {
            break;
        }
        sleep(delay).await;
        on_forward();
        if to.write(&bytes).await.is_err() {
            return;
        }
    }
    if proxied.wait_until_passable().await.is_some() {
        to.end().await;
    }
}

/// What a link does with one of its connections.
struct ProxiedConnection {
    state: watch::Receiver<LinkState>,
    connection: u64,
    /// What is seen on it; gone once the gateway has closed it.
    observer: Mutex<Option<AttemptObserver>>,
}

impl ProxiedConnection {
    fn observe(&self, callback: impl FnOnce(&mut AttemptObserver)) {
        if let Some(observer) = self.observer.lock().unwrap_or_else(PoisonError::into_inner).as_mut() {
            callback(observer);
        }
    }

    fn stop_observing(&self) {
        self.observer.lock().unwrap_or_else(PoisonError::into_inner).take();
    }

    fn is_passable(&self) -> bool {
        self.state.borrow().is_passable(self.connection)
    }

    /// Until something may pass; gives how late it comes, or nothing once the link is gone.
    async fn wait_until_passable(&self) -> Option<Duration> {
        let mut state = self.state.clone();
        let passable = state.wait_for(|state| state.is_passable(self.connection)).await;
        passable.ok().map(|state| state.delay)
    }

    async fn connect(&self, engine: SocketAddr) -> Option<TcpStream> {
        self.wait_until_passable().await?;
        TcpStream::connect(engine).await.ok()
    }
}
