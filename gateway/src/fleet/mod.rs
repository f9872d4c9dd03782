//! Fleet membership: drives the state machine of `glenrail-fleet` with sockets and the clock. This module makes no
//! protocol decisions: it passes datagrams, streams, timers and signals to the state machine and executes its effects.
//! It is inactive unless `--fleet FILE` is given.
//!
//! - `config`, `keys`, `incarnation`, `start`: files that are read to start a member.
//! - [`Driver`]: one incarnation of this member, with its `sockets` and `timer_queue`.
//! - `tasks`: starts a driver and runs its three tasks `udp`, `timers` and `exchange`.
//! - [`Handle`]: the successive incarnations of this process. In an upgrade, the successor takes the port and the
//!   membership; if it terminates, this process continues with a later incarnation.

#![deny(missing_docs)]

pub mod config;
mod driver;
pub mod error;
mod exchange;
pub mod incarnation;
pub mod keys;
mod sockets;
mod start;
mod status;
mod tasks;
mod timer_queue;
mod timers;
mod udp;

pub use driver::Driver;
pub use error::FleetError;
pub use start::{MemberConfig, PlatformSettings};

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use glenrail_fleet::Keyring;
use serde_json::Value;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::sleep;

use crate::log;
use crate::shutdown::Shutdown;

/// Pause between attempts to bind the port while another process of this gateway has it.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// State that outlives an incarnation.
struct Shared {
    start: MemberConfig,
    keys: RefCell<Keyring>,
    key_reads: Cell<u64>,
    /// Driver and the handle of its tasks; `None` while another process has the port.
    current: RefCell<Option<(Rc<Driver>, AbortHandle)>>,
    /// Whether this member has left, after which no further incarnation is started.
    has_left: Cell<bool>,
}

/// Handle to this process's fleet membership, shared by its clones.
#[derive(Clone)]
pub struct Handle(Rc<Shared>);

/// Starts the membership, which runs until the process exits. If `has_predecessor` is set, another process is handing
/// over to this one, so a port in use is waited for; otherwise it is an error.
pub fn start(
    (start, keys): (MemberConfig, Keyring), has_predecessor: bool, shutdown: &Shutdown,
) -> Result<Handle, FleetError> {
    let handle = Handle(Rc::new(Shared {
        start,
        keys: RefCell::new(keys),
        key_reads: Cell::new(0),
        current: RefCell::default(),
        has_left: Cell::new(false),
    }));
    match handle.start_driver() {
        Err(FleetError::Bind { error, .. })
            if has_predecessor && error.kind() == std::io::ErrorKind::AddrInUse =>
        {
            log!("fleet: waits for the port of the process before");
        }
        started => started?,
    }
    spawn_local(handle.clone().track_port(shutdown.clone()));
    Ok(handle)
}

impl Handle {
    /// Returns the current incarnation; `None` while another process has the port. Callers must not retain the driver,
    /// as that keeps the port bound.
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

    /// Ensures that only one process is the member: releases the port to a successor, and binds it again if the
    /// successor terminates.
    async fn track_port(self, shutdown: Shutdown) {
        let mut successor_updates = shutdown.successor_updates();
        while !self.0.has_left.get() {
            // Evaluated before the match: a driver in the scrutinee would live through the arms and keep the port
            // bound.
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

    /// Reloads the files. Only changes to the keys take effect; a faulty file has no effect.
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

    /// Leaves the fleet permanently. The announcement is sent before this returns.
    pub fn leave(&self) {
        self.0.has_left.set(true);
        if let Some(driver) = self.driver() {
            driver.leave();
            log!("fleet: left");
        }
        self.stop_driver();
    }

    /// Returns the counters for operators; null while another process has the port.
    pub fn counters(&self) -> Value {
        self.driver().map_or(Value::Null, |driver| status::counters(&driver, self.0.key_reads.get()))
    }

    /// Returns all members for operators; null while another process has the port.
    pub fn members(&self) -> Value {
        self.driver().map_or(Value::Null, |driver| status::members(&driver))
    }
}
