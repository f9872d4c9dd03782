//! The driver of one incarnation of this member: passes inputs to [`Fleet`] and carries out its effects.
//!
//! [`Driver`] owns the state machine, the sockets, the clock and the pending timers. The tasks of [`super::tasks`]
//! share it. To avoid a cyclic dependency on them, the only effect that needs a task, opening a stream, is executed by
//! a function that they pass in.

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

/// Opens a stream to a member and runs an exchange over it, in a separate task.
pub(super) type OpenExchange = fn(&Rc<Driver>, MemberId, SocketAddr);

/// Returns the milliseconds of a monotonic clock that also advances while the process is stopped or the machine is
/// suspended. A suspicion that timed out at other members in that time must time out here too; the runtime's clock
/// does not advance during a suspend.
fn boot_clock() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}

/// Returns the name of a member's state in log lines and metrics.
pub(super) fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Failed => "gone",
        MemberState::Left => "left",
    }
}

/// Driver of one incarnation of this member. Its tasks share it, so no `RefCell` borrow is held across an `await`.
pub struct Driver {
    fleet: RefCell<Fleet>,
    /// Start time, in milliseconds of [`boot_clock`].
    started_at: u64,
    pub(super) timers: TimerQueue,
    pub(super) sockets: Sockets,
    open_exchange: OpenExchange,
    /// Tasks of streams. They share the driver, so a task that outlived the incarnation would keep the port bound.
    streams: RefCell<JoinSet<()>>,
    /// Number of current streams opened by other members.
    pub(super) incoming: Cell<usize>,
    pub(super) max_incoming: usize,
    /// Maximum duration of a stream, in milliseconds.
    pub(super) stream_timeout: u64,
    /// Number of datagrams that the socket did not accept.
    unsent: Cell<u64>,
    /// Number of failed streams, opened by either side.
    broken: Cell<u64>,
    /// Version that increases with each changed cell of another member and each change of a member's state.
    updates: watch::Sender<u64>,
    /// Rate limits of the log lines for rejected messages, one per reason so that one reason does not suppress another.
    rejection_limits: [RateLimit; Rejection::REASONS.len()],
    change_limit: RateLimit,
}

impl Driver {
    /// Creates a driver of `fleet`, which must not have been started.
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

    /// Returns the milliseconds since the start of the driver.
    pub(super) fn now(&self) -> u64 {
        boot_clock().saturating_sub(self.started_at)
    }

    /// Runs one step of the state machine and executes its effects.
    pub(super) fn step<T>(self: &Rc<Self>, step: impl FnOnce(&mut Fleet, u64, &mut Vec<Effect>) -> T) -> T {
        let mut effects = Vec::new();
        let now = self.now();
        let value = step(&mut self.fleet.borrow_mut(), now, &mut effects);
        for effect in effects {
            self.execute(now, effect);
        }
        value
    }

    fn execute(self: &Rc<Self>, now: u64, effect: Effect) {
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

    /// Runs the exchange of a stream in a separate task.
    pub(super) fn spawn_stream(&self, stream: impl Future<Output = ()> + 'static) {
        let mut streams = self.streams.borrow_mut();
        while streams.try_join_next().is_some() {}
        streams.spawn_local(stream);
    }

    /// Aborts the tasks of all streams.
    pub(super) fn abort_streams(&self) {
        self.streams.borrow_mut().abort_all();
    }

    /// Sends a datagram, and drops it if the socket does not accept it at once. The protocol tolerates lost datagrams.
    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        if let Err(error) = self.sockets.sender.send_to(bytes, to) {
            self.unsent.set(self.unsent.get() + 1);
            if error.kind() != std::io::ErrorKind::WouldBlock {
                self.log_failure(&WireError::Send { to, error });
            }
        }
    }

    /// Logs a rejected message, with a rate limit for each reason.
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

    /// Counts and logs a failed stream. Data merged before the failure is kept.
    pub(super) fn record_stream_failure(&self, error: &WireError) {
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

    /// Calls `inspect` with the state machine, to read members and table.
    pub fn inspect<T>(&self, inspect: impl FnOnce(&Fleet) -> T) -> T {
        inspect(&self.fleet.borrow())
    }

    /// Returns a receiver that is notified when the result of [`Driver::inspect`] may have changed.
    pub fn updates(&self) -> watch::Receiver<u64> {
        self.updates.subscribe()
    }

    /// Returns the number of datagrams that the socket did not accept.
    pub(super) fn unsent_datagrams(&self) -> u64 {
        self.unsent.get()
    }

    /// Returns the number of failed streams.
    pub(super) fn failed_streams(&self) -> u64 {
        self.broken.get()
    }

    /// Replaces the keys: see [`Fleet::rotate_keys`].
    pub(super) fn rotate_keys(&self, keys: Keyring) {
        self.fleet.borrow_mut().rotate_keys(keys);
    }

    /// Announces the leave to all other members before it returns. After that, this member sends and handles nothing.
    pub fn leave(self: &Rc<Self>) {
        self.step(glenrail_fleet::Fleet::leave);
    }
}
