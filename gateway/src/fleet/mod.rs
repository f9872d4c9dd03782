//! Runs `glenrail-fleet` on sockets and the clock. Nothing is decided here: datagrams, streams, timers and signals go
//! into the state machine, and its effects are carried out. Off unless `--fleet FILE` is given; then nothing of this
//! folder runs.
//!
//! - `config`, `keys`, `incarnation`, `start`: what is read before anything is opened.
//! - [`Driver`]: one incarnation of this member on its `sockets`, with its `timer_queue`.
//! - `tasks`: starts a driver and runs its three tasks `udp`, `timers` and `exchange`.
//! - [`Handle`]: the incarnations of this process, one after another. At an upgrade, the process that took over has
//!   the port and the membership; should it die, this one continues with a later incarnation.

#![deny(missing_docs)]

pub mod config;
mod driver;
pub mod error;
mod exchange;
mod figures;
pub mod incarnation;
pub mod keys;
mod sockets;
mod start;
mod tasks;
mod timer_queue;
mod timers;
mod udp;

pub use driver::Driver;
pub use error::FleetError;
pub use start::{Platform, Start};

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use glenrail_fleet::Keyring;
use serde_json::Value;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::sleep;

use crate::log;
use crate::shutdown::Shutdown;

/// Time between two attempts to bind the port, which another process of this gateway still has.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What outlives an incarnation.
struct Shared {
    start: Start,
    keys: RefCell<Keyring>,
    key_reads: Cell<u64>,
    /// The driver and its tasks; `None` while another process has the port.
    current: RefCell<Option<(Rc<Driver>, AbortHandle)>>,
    /// Set once this member has left: no further incarnation is started.
    has_left: Cell<bool>,
}

/// This process's membership of the fleet. Clones share it.
#[derive(Clone)]
pub struct Handle(Rc<Shared>);

/// Runs the membership until the process ends. `after`: another process serves at this address and hands over, so the
/// port is waited for; otherwise a port in use is an error.
pub fn start(
    (start, keys): (Start, Keyring), after: bool, shutdown: &Shutdown,
) -> Result<Handle, FleetError> {
    let handle = Handle(Rc::new(Shared {
        start,
        keys: RefCell::new(keys),
        key_reads: Cell::new(0),
        current: RefCell::default(),
        has_left: Cell::new(false),
    }));
    match handle.start_driver() {
        Err(FleetError::Bind { error, .. }) if after && error.kind() == std::io::ErrorKind::AddrInUse => {
            log!("fleet: waits for the port of the process before");
        }
        started => started?,
    }
    spawn_local(handle.clone().follow_port(shutdown.clone()));
    Ok(handle)
}

impl Handle {
    /// The current incarnation; `None` while another process has the port. To be called each time: a caller that retains
    /// the driver keeps the port bound.
    pub fn driver(&self) -> Option<Rc<Driver>> {
        self.0.current.borrow().as_ref().map(|(driver, _)| driver.clone())
    }

    fn start_driver(&self) -> Result<(), FleetError> {
        let keys = self.0.keys.borrow().clone();
        let driver = tasks::start(&self.0.start, keys)?;
        let running = spawn_local(tasks::run(driver.clone())).abort_handle();
        self.0.current.replace(Some((driver, running)));
        Ok(())
    }

    fn stop_driver(&self) {
        if let Some((driver, running)) = self.0.current.take() {
            driver.abort_streams();
            running.abort();
        }
    }

    /// Only one process is the member at a time: releases the port to a successor, and binds it again if that one dies.
    async fn follow_port(self, shutdown: Shutdown) {
        let mut successor_updates = shutdown.successor_updates();
        while !self.0.has_left.get() {
            // Before the match: its scrutinee lives as long as its arms, and a driver in it would keep the port bound.
            let is_running = self.driver().is_some();
            match (shutdown.has_successor(), is_running) {
                (true, true) => {
                    log!("fleet: the process that took over goes on as this member");
                    self.stop_driver();
                }
                (false, false) => match self.start_driver() {
                    Ok(()) => {}
                    Err(error) => {
                        log!("{error}; {}; tried again", error.advice());
                        sleep(RETRY_PAUSE).await;
                    }
                },
                // The sender lives as long as `shutdown` does.
                _ => drop(successor_updates.changed().await),
            }
        }
    }

    /// Reads the files again. Only the keys take effect; a faulty file changes nothing.
    pub fn reload(&self) {
        match self.0.start.reload_keys() {
            Ok(keys) => {
                self.0.keys.replace(keys.clone());
                if let Some(driver) = self.driver() {
                    driver.rotate_keys(keys);
                }
                self.0.key_reads.set(self.0.key_reads.get() + 1);
                log!("fleet: the keys are read anew");
            }
            Err(error) => log!("{error}; {}; the keys stay as they were", error.advice()),
        }
    }

    /// Leaves the fleet for good. The announcement is sent before this returns.
    pub fn leave(&self) {
        self.0.has_left.set(true);
        if let Some(driver) = self.driver() {
            driver.leave();
            log!("fleet: left");
        }
        self.stop_driver();
    }

    /// Counters for operators; `null` while another process has the port.
    pub fn counters(&self) -> Value {
        self.driver().map_or(Value::Null, |driver| figures::counters(&driver, self.0.key_reads.get()))
    }

    /// All members for operators; `null` while another process has the port.
    pub fn members(&self) -> Value {
        self.driver().map_or(Value::Null, |driver| figures::members(&driver))
    }
}
