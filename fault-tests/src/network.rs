//! Links between gateways and engines: TCP proxies on loopback that can blackhole, reset and delay connections, and prevent
//! them from being established.

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

/// Length of the accept queue of a link without a fault.
const BACKLOG: i32 = 128;
/// Timeout of a connection attempt, which expires if the accept queue is full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(20);
/// Maximum number of connections opened to fill a link's accept queue, so that no further one is established.
const MAX_FILLER_CONNECTIONS: usize = 8;
const BUFFER_BYTES: usize = 64 << 10;

/// Treatment of all connections of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Condition {
    #[default]
    Open,
    /// Connections stay open and are established, but no bytes are forwarded in either direction.
    Blackholed,
    /// Like [`Condition::Blackholed`], and no further connection is established.
    Unconnectable,
}

/// Outcome of a connection attempt to a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectOutcome {
    Accepted,
    /// The connection is never established.
    Unconnectable,
    Refused,
}

#[derive(Clone, Copy, Debug, Default)]
struct LinkState {
    condition: Condition,
    /// Connections with a lower number are stalled permanently.
    stalled_below: u64,
    /// Connections with a lower number are reset.
    reset_below: u64,
    delay: Duration,
    /// Whether the engine's process has been terminated.
    engine_down: bool,
    /// Number of times that the listener was shut down.
    shutdowns: u64,
}

impl LinkState {
    /// Returns the outcome of a connection attempt in this state.
    fn connect_outcome(&self) -> ConnectOutcome {
        match self.condition {
            Condition::Unconnectable => ConnectOutcome::Unconnectable,
            // A connection is refused only if the machine of the terminated process can be reached.
            Condition::Open if self.engine_down => ConnectOutcome::Refused,
            Condition::Open | Condition::Blackholed => ConnectOutcome::Accepted,
        }
    }

    fn is_passable(&self, connection: u64) -> bool {
        self.condition == Condition::Open && connection >= self.stalled_below
    }
}

/// Proxy from one gateway to one engine.
#[derive(Clone)]
pub struct Link {
    pub name: String,
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
    listener: Arc<StdListener>,
    /// Reserves the address while nothing listens on it.
    _reservation: Arc<Socket>,
    next_connection: Arc<Mutex<u64>>,
    fillers: Arc<Mutex<FillerConnections>>,
    /// Time from the next attempt until the connections that are then open are stalled; `None` for no stall.
    stall_after_attempt: Arc<Mutex<Option<Duration>>>,
}

/// Connections that the link opens to itself to fill its accept queue.
#[derive(Default)]
struct FillerConnections {
    open: Vec<StdStream>,
    addresses: BTreeSet<SocketAddr>,
}

impl Link {
    /// Opens a link to the engine at this address. Must be called within a Tokio runtime.
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

    /// Sets the treatment of all connections.
    pub fn set(&self, condition: Condition) {
        self.update(|state| state.condition = condition);
    }

    /// Marks the engine's process as terminated: its connections are reset and new ones are refused, unless the link is
    /// blackholed or unconnectable.
    pub fn mark_engine_down(&self) {
        let is_open = self.state.borrow().condition == Condition::Open;
        self.update(|state| state.engine_down = true);
        if is_open {
            self.reset();
        }
    }

    /// Marks the engine's process as listening again.
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
                // The kernel resets the connections in the accept queue.
                let _ = SockRef::from(&*self.listener).shutdown(Shutdown::Both);
            }
        }
    }

    /// Permanently stops forwarding on all connections that are open now, without an error.
    pub fn stall_open_connections(&self) {
        let next = *self.next_connection.lock().unwrap_or_else(PoisonError::into_inner);
        self.state.send_modify(|state| state.stalled_below = next);
    }

    /// Calls [`Link::stall_open_connections`] this long after the next attempt has been received; with a pause of 0, before
    /// the attempt is forwarded.
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

    /// Resets all connections that are open now.
    pub fn reset(&self) {
        let next = *self.next_connection.lock().unwrap_or_else(PoisonError::into_inner);
        self.state.send_modify(|state| state.reset_below = next);
    }

    /// Sets the delay of all forwarded bytes.
    pub fn set_delay(&self, delay: Duration) {
        self.state.send_modify(|state| state.delay = delay);
    }

    fn fill_accept_queue(&self) {
        // The kernel accepts one connection more than the configured queue length.
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
        // A failure leaves the link without connections, which shows in the run.
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
            // After a shutdown the runtime keeps reporting the listener as closed, even when it listens again.
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

/// Waits until connections are accepted, and returns the outcome of connection attempts before that, or `None` once the link
/// has been dropped.
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

/// Resets the connections that were established while none was accepted: a restored path does not carry them.
fn reset_all(listener: &StdListener) {
    while let Ok((socket, _)) = listener.accept() {
        let _ = SockRef::from(&socket).set_linger(Some(Duration::ZERO));
    }
}

/// Proxies one connection until either side closes it, or it is reset.
async fn proxy(
    gateway: TcpStream, engine: SocketAddr, state: watch::Receiver<LinkState>, connection: u64,
    attempt_observer: AttemptObserver,
) {
    // Without this, small writes may be delayed.
    let _ = gateway.set_nodelay(true);
    let Ok(reset_handle) = SockRef::from(&gateway).try_clone() else { return };
    let (from_gateway, to_gateway) = gateway.into_split();
    let to_gateway = LinkWriter::new(to_gateway);
    let mut resets = state.clone();
    let (sender, received) = mpsc::unbounded_channel();
    let proxied = ProxiedConnection { state, connection, observer: Mutex::new(Some(attempt_observer)) };
    let proxying = async {
        // Bytes from the gateway are observed even while nothing is forwarded to the engine.
        let receives = async {
            receive(from_gateway, sender, |bytes| proxied.observe(|observer| observer.on_request(bytes)))
                .await;
            proxied.stop_observing();
        };
        let forwards = async {
            let was_blocked = !proxied.is_passable();
            match proxied.connect(engine).await {
                // The engine drops blocked bytes that arrive together with the end of their connection.
                Some(_) if was_blocked && received.is_closed() => {}
                Some(upstream) => proxy_both_ways(upstream, to_gateway, received, &proxied).await,
                // The engine refused the connection, so the link resets the gateway's.
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

/// Forwards bytes in both directions between an engine and a gateway, whose bytes arrive in `received`.
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

/// Reads all bytes without delay until the end of the connection, and passes them to `observe` and `sender`.
async fn receive(mut from: OwnedReadHalf, sender: mpsc::UnboundedSender<Vec<u8>>, observe: impl Fn(&[u8])) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(size @ 1..) = from.read(&mut buffer).await {
        observe(&buffer[..size]);
        if sender.send(buffer[..size].to_vec()).is_err() {
            break;
        }
    }
}

/// Forwards received bytes and the end of the connection when the link permits it. Calls `on_forward` before each write.
async fn forward(
    mut received: mpsc::UnboundedReceiver<Vec<u8>>, mut to: LinkWriter, proxied: &ProxiedConnection,
    on_forward: impl Fn(),
) {
    while let Some(bytes) = received.recv().await {
        let was_blocked = !proxied.is_passable();
        let Some(delay) = proxied.wait_until_passable().await else { return };
        // The engine drops blocked bytes that arrive together with the end of their connection.
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

/// Connection that a link proxies.
struct ProxiedConnection {
    state: watch::Receiver<LinkState>,
    connection: u64,
    /// Observer of the attempts; `None` once the gateway has closed the connection.
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

    /// Waits until bytes may be forwarded, and returns their delay, or `None` once the link has been dropped.
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
