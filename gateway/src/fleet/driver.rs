//! The driver of one incarnation of this member: passes inputs to [`Fleet`] and carries out its effects.
//!
//! [`Driver`] owns the state machine, the sockets, the clock and the pending timers. It is shared by the tasks of
//! [`super::tasks`], which stand above it: the one effect that needs a task, opening a stream, is carried out by a
//! function that they pass in.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

use glenrail_fleet::{
    Effect, ExchangeError, Fleet, Keyring, Member, MemberId, MemberState, Rejection, TableError,
};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::config::Section;
use super::error::WireError;
use super::sockets::Sockets;
use super::timer_queue::TimerQueue;
use crate::log;
use crate::log::RateLimit;

/// Opens a stream to a member and runs an exchange over it, in a task of its own.
pub(super) type OpenExchange = fn(&Rc<Driver>, MemberId, SocketAddr);

/// Milliseconds on a clock that never goes back, and advances while the process is stopped and the machine sleeps: a
/// suspicion that timed out elsewhere in that time must have timed out here too. The runtime's clock stops in a sleep.
fn boot_clock() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}

/// A member's state, as operators read it in logs and figures.
pub(super) fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Failed => "gone",
        MemberState::Left => "left",
    }
}

/// One incarnation of this member on its sockets. Shared by its tasks; no borrow of it lasts over an `await`.
pub struct Driver {
    fleet: RefCell<Fleet>,
    /// Start, in milliseconds on [`boot_clock`].
    started_at: u64,
    pub(super) timers: TimerQueue,
    pub(super) sockets: Sockets,
    open_exchange: OpenExchange,
    /// Tasks of streams. They share the driver: one that outlived the incarnation would keep the port bound.
    streams: RefCell<JoinSet<()>>,
    /// Streams in progress that other members opened.
    pub(super) incoming: Cell<usize>,
    pub(super) max_incoming: usize,
    /// Time limit of a stream, in milliseconds.
    pub(super) stream_timeout: u64,
    /// Datagrams that the socket did not accept.
    unsent: Cell<u64>,
    /// Streams that broke off, opened by either side.
    broken: Cell<u64>,
    /// Increases with each cell of another member that changes, and each change of a member.
    updates: watch::Sender<u64>,
    /// Rates of the log lines of rejected messages, by reason: one reason does not suppress another.
    rejection_limits: [RateLimit; Rejection::REASONS.len()],
    change_limit: RateLimit,
}

impl Driver {
    /// A driver of `fleet`, which is not started yet.
    pub(super) fn new(
        fleet: Fleet, sockets: Sockets, section: &Section, open_exchange: OpenExchange,
    ) -> Driver {
        Driver {
            fleet: RefCell::new(fleet),
            started_at: boot_clock(),
            timers: TimerQueue::default(),
            sockets,
            open_exchange,
            streams: RefCell::default(),
            incoming: Cell::new(0),
            max_incoming: section.exchanges,
            stream_timeout: section.exchange_time,
            unsent: Cell::new(0),
            broken: Cell::new(0),
            updates: watch::Sender::new(0),
            rejection_limits: [const { RateLimit::new() }; Rejection::REASONS.len()],
            change_limit: RateLimit::new(),
        }
    }

    /// Milliseconds since the start.
    pub(super) fn now(&self) -> u64 {
        boot_clock().saturating_sub(self.started_at)
    }

    /// Runs one step of the state machine and carries out its effects.
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
            Effect::Timer { delay_ms, token } => self.timers.add(now + delay_ms, token),
            Effect::MemberChanged { member, state } => {
                self.log_change(&member, state);
                self.updates.send_modify(|updates| *updates += 1);
            }
            Effect::CellChanged { .. } => self.updates.send_modify(|updates| *updates += 1),
            Effect::OpenExchange { peer, to } => (self.open_exchange)(self, peer, to),
            Effect::Superseded { incarnation } => {
                let rejection = Rejection::OwnName { incarnation };
                log!(
                    "fleet: ERROR: a later life speaks under this name: {rejection}; {}",
                    rejection.advice()
                );
            }
        }
    }

    fn log_change(&self, member: &Member, state: MemberState) {
        let Member { id, incarnation, address, .. } = member;
        let state = state_name(state);
        log::write_limited(
            &self.change_limit,
            format_args!("fleet: member {:016x}, life {}, at {address}: {state}", id.0, incarnation.0),
        );
    }

    /// Runs the exchange over a stream in a task of its own.
    pub(super) fn spawn_stream(&self, stream: impl Future<Output = ()> + 'static) {
        let mut streams = self.streams.borrow_mut();
        while streams.try_join_next().is_some() {}
        streams.spawn_local(stream);
    }

    /// Ends the tasks of all streams.
    pub(super) fn abort_streams(&self) {
        self.streams.borrow_mut().abort_all();
    }

    /// A datagram that the socket does not accept at once is lost, as it might be in transit: the protocol repeats it.
    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        if let Err(error) = self.sockets.sender.send_to(bytes, to) {
            self.unsent.set(self.unsent.get() + 1);
            if error.kind() != std::io::ErrorKind::WouldBlock {
                self.log_failure(&WireError::Send { to, error });
            }
        }
    }

    /// Logs a rejected message, at a limited rate for each reason.
    pub(super) fn log_rejection(&self, from: SocketAddr, rejection: Rejection) {
        log::write_limited(
            &self.rejection_limits[rejection.reason_index()],
            format_args!("fleet: what {from} sent was refused: {rejection}; {}", rejection.advice()),
        );
    }

    /// Logs a failure of a socket or a stream.
    pub(super) fn log_failure(&self, error: &WireError) {
        log!("fleet: {error}; {}", error.advice());
    }

    /// Counts and logs a stream that broke off. What was merged before stays.
    pub(super) fn stream_broke(&self, error: &WireError) {
        self.broken.set(self.broken.get() + 1);
        match error {
            WireError::Exchange { with, error: ExchangeError::Rejection(rejection) } => {
                self.log_rejection(*with, *rejection);
            }
            other => self.log_failure(other),
        }
    }

    /// Sets a cell of this member: see [`Fleet::put`].
    pub fn put(&self, kind: u16, key: &[u8], value: Vec<u8>) -> Result<u64, TableError> {
        self.fleet.borrow_mut().put(self.now(), kind, key, value)
    }

    /// Deletes a cell of this member: see [`Fleet::delete`].
    pub fn delete(&self, kind: u16, key: &[u8]) -> Result<u64, TableError> {
        self.fleet.borrow_mut().delete(self.now(), kind, key)
    }

    /// Reads members and table.
    pub fn inspect<T>(&self, inspect: impl FnOnce(&Fleet) -> T) -> T {
        inspect(&self.fleet.borrow())
    }

    /// Changes whenever [`Driver::inspect`] may show something else.
    pub fn updates(&self) -> watch::Receiver<u64> {
        self.updates.subscribe()
    }

    /// Datagrams that the socket did not accept.
    pub(super) fn unsent_datagrams(&self) -> u64 {
        self.unsent.get()
    }

    /// Streams that broke off.
    pub(super) fn broken_streams(&self) -> u64 {
        self.broken.get()
    }

    /// Replaces the keys: see [`Fleet::rotate_keys`].
    pub(super) fn rotate_keys(&self, keys: Keyring) {
        self.fleet.borrow_mut().rotate_keys(keys);
    }

    /// Announces to all other members, before it returns, that this one leaves. It sends and handles nothing after that.
    pub fn leave(self: &Rc<Self>) {
        self.step(glenrail_fleet::Fleet::leave);
    }
}
