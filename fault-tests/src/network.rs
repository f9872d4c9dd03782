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
const FULL_AFTER: Duration = Duration::from_millis(20);
/// Most connections with which a link's queue is filled so that no further one comes up.
const MOST_FILLING: usize = 8;
const BUFFER: usize = 64 << 10;

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
enum Reception {
    Accepted,
    /// It never comes up.
    Unconnectable,
    Refused,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    condition: Condition,
    /// Connections older than this one are silent for good.
    stalled_below: u64,
    /// Connections older than this one are reset.
    reset_below: u64,
    delay: Duration,
    /// The engine's process is gone.
    engine_gone: bool,
    /// How often the listener was shut down.
    shutdowns: u64,
}

impl State {
    /// What becomes of a connection that is begun now.
    fn reception(&self) -> Reception {
        match self.condition {
            Condition::Unconnectable => Reception::Unconnectable,
            // Only a machine that can be reached refuses for a process that is gone.
            Condition::Open if self.engine_gone => Reception::Refused,
            Condition::Open | Condition::Blackholed => Reception::Accepted,
        }
    }

    fn passes(&self, connection: u64) -> bool {
        self.condition == Condition::Open && connection >= self.stalled_below
    }
}

/// One gateway's way to one engine.
#[derive(Clone)]
pub struct Link {
    pub name: String,
    pub address: SocketAddr,
    state: watch::Sender<State>,
    listener: Arc<StdListener>,
    /// Keeps the address while nothing listens at it.
    _reservation: Arc<Socket>,
    next: Arc<Mutex<u64>>,
    filling: Arc<Mutex<Filling>>,
    /// So long after the next attempt has come, what stands falls silent.
    stall_after_attempt: Arc<Mutex<Option<Duration>>>,
}

/// Connections of the link's own that fill its queue.
#[derive(Default)]
struct Filling {
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
            state: watch::Sender::new(State::default()),
            listener: Arc::new(socket.into()),
            _reservation: Arc::new(reservation),
            next: Arc::default(),
            filling: Arc::default(),
            stall_after_attempt: Arc::default(),
        };
        tokio::spawn(link.clone().accept(engine, records));
        Ok(link)
    }

    /// Has the link treat everything like this from now on.
    pub fn set(&self, condition: Condition) {
        self.change(|state| state.condition = condition);
    }

    /// The engine's process is gone: its connections are reset and new ones refused, unless the way to its machine is cut.
    pub fn engine_gone(&self) {
        let is_open = self.state.borrow().condition == Condition::Open;
        self.change(|state| state.engine_gone = true);
        if is_open {
            self.reset();
        }
    }

    /// The engine's process listens again.
    pub fn engine_back(&self) {
        self.change(|state| state.engine_gone = false);
    }

    fn change(&self, how: impl FnOnce(&mut State)) {
        self.state.send_modify(|state| {
            how(state);
            state.shutdowns += u64::from(state.reception() == Reception::Refused);
        });
        let reception = self.state.borrow().reception();
        match reception {
            Reception::Accepted => self.empty(),
            Reception::Unconnectable => self.fill(),
            Reception::Refused => {
                self.filling().open.clear();
                // What waits to be accepted is reset.
                let _ = SockRef::from(&*self.listener).shutdown(Shutdown::Both);
            }
        }
    }

    /// Has every connection that stands now silent for good, with no error.
    pub fn stall_open_connections(&self) {
        let next = *self.next.lock().unwrap_or_else(PoisonError::into_inner);
        self.state.send_modify(|state| state.stalled_below = next);
    }

    /// Does the same so long after the next attempt has come; at no time after it, before the attempt is passed on.
    pub fn stall_after_next_attempt(&self, pause: Option<Duration>) {
        *self.stall_after_attempt.lock().unwrap_or_else(PoisonError::into_inner) = pause;
    }

    fn attempt_came(&self) {
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
        let next = *self.next.lock().unwrap_or_else(PoisonError::into_inner);
        self.state.send_modify(|state| state.reset_below = next);
    }

    /// Whatever passes is late by so much.
    pub fn delay(&self, delay: Duration) {
        self.state.send_modify(|state| state.delay = delay);
    }

    fn fill(&self) {
        // The machine lets one more in than the queue is told to hold.
        if SockRef::from(&*self.listener).listen(0).is_err() {
            return;
        }
        let mut filling = self.filling();
        for _ in 0..MOST_FILLING {
            let Ok(socket) = StdStream::connect_timeout(&self.address, FULL_AFTER) else { return };
            filling.addresses.extend(socket.local_addr());
            filling.open.push(socket);
        }
    }

    fn empty(&self) {
        // A link that cannot be listened on again shows as one that stays down.
        let _ = SockRef::from(&*self.listener).listen(BACKLOG);
        self.filling().open.clear();
    }

    fn filling(&self) -> MutexGuard<'_, Filling> {
        self.filling.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_filling(&self, address: SocketAddr) -> bool {
        self.filling().addresses.remove(&address)
    }

    async fn accept(self, engine: SocketAddr, records: Records) {
        let mut state = self.state.subscribe();
        while let Some(former) = accepting_again(&mut state).await {
            if former == Reception::Unconnectable {
                reset_all(&self.listener);
            }
            // A listener that was shut down stays closed to the runtime, also once it listens again.
            let Ok(listener) = self.listener.try_clone().and_then(TcpListener::from_std) else { return };
            let shutdowns = state.borrow().shutdowns;
            let is_accepting =
                |state: &State| state.reception() == Reception::Accepted && state.shutdowns == shutdowns;
            while is_accepting(&state.borrow_and_update()) {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    _ = state.changed() => continue,
                };
                if let Ok((socket, from)) = accepted {
                    self.carry(socket, from, engine, &records);
                }
            }
        }
    }

    fn carry(&self, socket: TcpStream, from: SocketAddr, engine: SocketAddr, records: &Records) {
        if self.is_filling(from) {
            return;
        }
        let connection = {
            let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
            *next += 1;
            *next - 1
        };
        let link = self.clone();
        let attempt_came = move || link.attempt_came();
        let sighting = AttemptObserver::new(records.clone(), &self.name, connection, attempt_came);
        tokio::spawn(carry(socket, engine, self.state.subscribe(), connection, sighting));
    }
}

/// Waits until connections are accepted; gives what became of them last before that, or nothing once the link is gone.
async fn accepting_again(state: &mut watch::Receiver<State>) -> Option<Reception> {
    let mut former = Reception::Accepted;
    loop {
        match state.borrow_and_update().reception() {
            Reception::Accepted => return Some(former),
            other => former = other,
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
async fn carry(
    gateway: TcpStream, engine: SocketAddr, state: watch::Receiver<State>, connection: u64,
    sighting: AttemptObserver,
) {
    // Small writes are not held back; where that cannot be set they come later.
    let _ = gateway.set_nodelay(true);
    let Ok(to_reset) = SockRef::from(&gateway).try_clone() else { return };
    let (from_gateway, to_gateway) = gateway.into_split();
    let to_gateway = LinkWriter::new(to_gateway);
    let mut resets = state.clone();
    let (sender, taken) = mpsc::unbounded_channel();
    let way = ProxiedConnection { state, connection, observer: Mutex::new(Some(sighting)) };
    let carried = async {
        // What a gateway sends is seen also while the way to the engine is silent.
        let takes = async {
            take(from_gateway, sender, |bytes| way.observe(|sighting| sighting.bytes_passed(bytes))).await;
            way.stop_observing();
        };
        let passes = async {
            let waits = !way.passes();
            match way.connect(engine).await {
                // What waited on a silent way arrives together with its connection's end: an engine drops it.
                Some(_) if waits && taken.is_closed() => {}
                Some(upstream) => pass(upstream, to_gateway, taken, &way).await,
                // The engine refuses: so does the link.
                None => _ = to_reset.set_linger(Some(Duration::ZERO)),
            }
        };
        tokio::join!(takes, passes);
    };
    tokio::select! {
        () = carried => {}
        _ = resets.wait_for(|state| connection < state.reset_below) => {
            let _ = to_reset.set_linger(Some(Duration::ZERO));
        }
    }
}

/// Passes bytes both ways between an engine and what a gateway sends.
async fn pass(
    upstream: TcpStream, to_gateway: LinkWriter, taken: mpsc::UnboundedReceiver<Vec<u8>>,
    way: &ProxiedConnection,
) {
    let _ = upstream.set_nodelay(true);
    let (from_engine, to_engine) = upstream.into_split();
    let to_engine = LinkWriter::new(to_engine);
    let (sender, answered) = mpsc::unbounded_channel();
    tokio::join!(
        give(taken, to_engine, way, || {}),
        take(from_engine, sender, |_| {}),
        give(answered, to_gateway, way, || way.observe(AttemptObserver::response_began)),
    );
}

/// Takes what comes at once, until its end, and shows it.
async fn take(mut from: OwnedReadHalf, sender: mpsc::UnboundedSender<Vec<u8>>, shows: impl Fn(&[u8])) {
    let mut buffer = vec![0; BUFFER];
    while let Ok(size @ 1..) = from.read(&mut buffer).await {
        shows(&buffer[..size]);
        if sender.send(buffer[..size].to_vec()).is_err() {
            break;
        }
    }
}

/// Gives on what was taken, and its end, once the link lets it pass; says so each time.
async fn give(
    mut taken: mpsc::UnboundedReceiver<Vec<u8>>, mut to: LinkWriter, way: &ProxiedConnection,
    gives: impl Fn(),
) {
    while let Some(bytes) = taken.recv().await {
        let waited = !way.passes();
        let Some(delay) = way.wait_until_passable().await else { return };
        // What waited on a silent way arrives together with its connection's end: an engine drops it.
        if waited && taken.is_closed() {
            break;
        }
        sleep(delay).await;
        gives();
        if to.write(&bytes).await.is_err() {
            return;
        }
    }
    if way.wait_until_passable().await.is_some() {
        to.end().await;
    }
}

/// What a link does with one of its connections.
struct ProxiedConnection {
    state: watch::Receiver<State>,
    connection: u64,
    /// What is seen on it; gone once the gateway has closed it.
    observer: Mutex<Option<AttemptObserver>>,
}

impl ProxiedConnection {
    fn observe(&self, what: impl FnOnce(&mut AttemptObserver)) {
        if let Some(sighting) = self.observer.lock().unwrap_or_else(PoisonError::into_inner).as_mut() {
            what(sighting);
        }
    }

    fn stop_observing(&self) {
        self.observer.lock().unwrap_or_else(PoisonError::into_inner).take();
    }

    fn passes(&self) -> bool {
        self.state.borrow().passes(self.connection)
    }

    /// Until something may pass; gives how late it comes, or nothing once the link is gone.
    async fn wait_until_passable(&self) -> Option<Duration> {
        let mut state = self.state.clone();
        let passes = state.wait_for(|state| state.passes(self.connection)).await;
        passes.ok().map(|state| state.delay)
    }

    async fn connect(&self, engine: SocketAddr) -> Option<TcpStream> {
        self.wait_until_passable().await?;
        TcpStream::connect(engine).await.ok()
    }
}
