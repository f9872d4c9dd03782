//! One life of this member on sockets: what comes in goes to [`Fleet`], what comes out is carried out.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

use glenrail_fleet::{Effect, ExchangeError, Fleet, Keyring, Rejection, TableError};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::config::Section;
use super::error::{FleetError, WireError};
use super::start::Start;
use super::timers::Timers;
use super::{exchange, udp};
use crate::log;
use crate::log::Limit;

/// Milliseconds on a clock that never goes back, and goes on while the process is stopped and the machine sleeps: what
/// others let go of in that time must have ended here too. The runtime's own clock stands still in a sleep.
fn boot_clock() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}

/// Shared by the tasks of one life. Nothing of it is held over an `await`.
pub struct Driver {
    fleet: RefCell<Fleet>,
    /// On [`boot_clock`].
    began: u64,
    pub(super) timers: Timers,
    pub(super) socket: UdpSocket,
    /// The same socket without the runtime, which lets nothing out before it has first looked at a socket: greetings
    /// of the start, and of an end that follows at once, would be lost.
    sender: std::net::UdpSocket,
    pub(super) listener: TcpListener,
    /// They hold the driver: what is left of them at the end of a life would keep the port.
    streams: RefCell<JoinSet<()>>,
    /// Streams that others opened and that run.
    pub(super) incoming: Cell<usize>,
    pub(super) streams_most: usize,
    pub(super) stream_time: u64,
    /// Datagrams that the socket did not take.
    unsent: Cell<u64>,
    /// Streams that broke off, on either side.
    broken: Cell<u64>,
    /// Grows with whatever others told, and with each change of a member.
    updates: watch::Sender<u64>,
    /// Log lines of refused datagrams: one reason does not hide another.
    limits: [Limit; Rejection::REASONS.len()],
    changes: Limit,
}

impl Driver {
    /// Binds and greets the seeds.
    pub fn start(start: &Start, keys: Keyring) -> Result<Rc<Driver>, FleetError> {
        let Section { bind, advertise, seeds, .. } = &start.section;
        let bound = udp::bind(*bind);
        let (socket, sender, listener) = bound.map_err(|error| start.cannot_bind(error))?;
        let at = socket.local_addr().map_err(|error| start.cannot_bind(error))?;
        let address = advertise.unwrap_or(at);
        // Once the port is had: the process before may live on as long as it has it.
        let incarnation = start.next_incarnation()?;
        // Only spreads choices: it need not be hard to guess.
        let seed = incarnation.0 ^ u64::from(std::process::id()) << 40;
        let figures = start.section.figures();
        let fleet = Fleet::new(&start.member, incarnation, address, seeds.clone(), keys, figures, seed);
        let fleet = fleet.map_err(|error| FleetError::Figure { file: start.file.clone(), error })?;
        let me = fleet.me().id.0;
        log!(
            "fleet: {} is member {me:016x}, life {}, at {address}, bound to {at}",
            start.member,
            incarnation.0
        );
        let driver = Rc::new(Driver {
            fleet: RefCell::new(fleet),
            began: boot_clock(),
            timers: Timers::default(),
            socket,
            sender,
            listener,
            streams: RefCell::default(),
            incoming: Cell::new(0),
            streams_most: start.section.exchanges,
            stream_time: start.section.exchange_time,
            unsent: Cell::new(0),
            broken: Cell::new(0),
            updates: watch::Sender::new(0),
            limits: [const { Limit::new() }; Rejection::REASONS.len()],
            changes: Limit::new(),
        });
        driver.step(|fleet, now, effects| fleet.start(now, effects));
        Ok(driver)
    }

    /// Until it is dropped.
    pub async fn run(self: Rc<Self>) {
        tokio::join!(udp::receive(&self), self.timers.run(&self), exchange::accept(&self));
    }

    /// Milliseconds since the start.
    pub(super) fn now(&self) -> u64 {
        boot_clock().saturating_sub(self.began)
    }

    /// One step of the machine, and what comes of it.
    pub(super) fn step<T>(self: &Rc<Self>, step: impl FnOnce(&mut Fleet, u64, &mut Vec<Effect>) -> T) -> T {
        let mut effects = Vec::new();
        let now = self.now();
        let value = step(&mut self.fleet.borrow_mut(), now, &mut effects);
        for effect in effects {
            self.carry_out(now, effect);
        }
        value
    }

    fn carry_out(self: &Rc<Self>, now: u64, effect: Effect) {
        match effect {
            Effect::Send { to, bytes } => self.send(to, &bytes),
            Effect::Timer { after, token } => self.timers.add(now + after, token),
            Effect::MemberChanged { member, state } => {
                log::line(
                    &self.changes,
                    format_args!(
                        "fleet: member {:016x}, life {}, at {}: {}",
                        member.id.0,
                        member.incarnation.0,
                        member.address,
                        super::figures::state_name(state)
                    ),
                );
                self.updates.send_modify(|updates| *updates += 1);
            }
            Effect::CellChanged { .. } => self.updates.send_modify(|updates| *updates += 1),
            Effect::OpenExchange { with, to } => {
                self.stream(exchange::open(self.clone(), with, to));
            }
            Effect::Superseded { incarnation } => {
                let rejection = Rejection::OwnName { incarnation };
                log!(
                    "fleet: ERROR: a later life speaks under this name: {rejection}; {}",
                    rejection.advice()
                );
            }
        }
    }

    /// Runs a stream beside all else.
    pub(super) fn stream(&self, stream: impl Future<Output = ()> + 'static) {
        let mut streams = self.streams.borrow_mut();
        while streams.try_join_next().is_some() {}
        streams.spawn_local(stream);
    }

    /// Ends the streams.
    pub(super) fn stop(&self) {
        self.streams.borrow_mut().abort_all();
    }

    /// A datagram that the socket does not take at once is lost, as it might be on the way: it is told again.
    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        if let Err(error) = self.sender.send_to(bytes, to) {
            self.unsent.set(self.unsent.get() + 1);
            if error.kind() != std::io::ErrorKind::WouldBlock {
                self.failed(&WireError::Send { to, error });
            }
        }
    }

    pub(super) fn log_rejection(&self, from: SocketAddr, rejection: Rejection) {
        log::line(
            &self.limits[rejection.reason()],
            format_args!("fleet: what {from} sent was refused: {rejection}; {}", rejection.advice()),
        );
    }

    pub(super) fn failed(&self, error: &WireError) {
        log!("fleet: {error}; {}", error.advice());
    }

    /// A stream that ended before its time. What it brought until then stays.
    pub(super) fn broke(&self, error: &WireError) {
        self.broken.set(self.broken.get() + 1);
        match error {
            WireError::Exchange { with, error: ExchangeError::Rejection(rejection) } => {
                self.log_rejection(*with, *rejection);
            }
            other => self.failed(other),
        }
    }

    /// See [`Fleet::put`].
    pub fn put(&self, kind: u16, key: &[u8], value: Vec<u8>) -> Result<u64, TableError> {
        self.fleet.borrow_mut().put(self.now(), kind, key, value)
    }

    /// See [`Fleet::take_back`].
    pub fn delete(&self, kind: u16, key: &[u8]) -> Result<u64, TableError> {
        self.fleet.borrow_mut().delete(self.now(), kind, key)
    }

    /// Looks at members and table.
    pub fn inspect<T>(&self, inspect: impl FnOnce(&Fleet) -> T) -> T {
        inspect(&self.fleet.borrow())
    }

    /// Changes whenever another look may show something else.
    pub fn updates(&self) -> watch::Receiver<u64> {
        self.updates.subscribe()
    }

    /// Datagrams that the socket did not take, and streams that broke off.
    pub(super) fn lost(&self) -> (u64, u64) {
        (self.unsent.get(), self.broken.get())
    }

    pub(super) fn rotate_keys(&self, keys: Keyring) {
        self.fleet.borrow_mut().rotate_keys(keys);
    }

    /// Tells all others that this member leaves, before it returns. Nothing is said or heard after it.
    pub fn leave(self: &Rc<Self>) {
        self.step(|fleet, now, effects| fleet.leave(now, effects));
    }
}
