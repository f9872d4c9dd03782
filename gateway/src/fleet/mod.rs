//! Drives `glenrail-fleet` on sockets and the clock. Nothing is decided here: datagrams, streams, timers and signals go
//! in, and what comes out is carried out. Off unless `--fleet FILE` is given; then nothing of this folder runs.
//!
//! - `config`, `keys`, `life`, `start`: what is read before anything is opened.
//! - [`Driver`]: one life. `udp`, `timers` and `exchange` are its three tasks.
//! - [`Handle`]: the lives of this process, one after another: at an upgrade, the process that took over has the
//!   port, and the fleet; should it die, this one goes on with a later life.

pub mod config;
mod driver;
pub mod error;
mod exchange;
mod figures;
pub mod incarnation;
pub mod keys;
mod start;
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

/// The port comes free when the process before, or after, lets go of it.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

struct Shared {
    start: Start,
    keys: RefCell<Keyring>,
    key_reads: Cell<u64>,
    current: RefCell<Option<(Rc<Driver>, AbortHandle)>>,
    /// Set by the planned end: no further life.
    has_left: Cell<bool>,
}

/// See the module.
#[derive(Clone)]
pub struct Handle(Rc<Shared>);

/// Runs the fleet until the process ends. `after`: another process serves at this address and hands over, so the
/// port is waited for; else one that is taken is an error.
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
    /// This life of the member; `None` while another process has the port. To be asked anew each time: whoever keeps it
    /// keeps the port.
    pub fn driver(&self) -> Option<Rc<Driver>> {
        self.0.current.borrow().as_ref().map(|(driver, _)| driver.clone())
    }

    fn start_driver(&self) -> Result<(), FleetError> {
        let keys = self.0.keys.borrow().clone();
        let driver = Driver::start(&self.0.start, keys)?;
        let running = spawn_local(driver.clone().run()).abort_handle();
        self.0.current.replace(Some((driver, running)));
        Ok(())
    }

    fn stop_driver(&self) {
        if let Some((driver, running)) = self.0.current.take() {
            driver.stop();
            running.abort();
        }
    }

    /// One process at a time: gives the port up to the process that took over, and takes it back if that one dies.
    async fn follow_port(self, shutdown: Shutdown) {
        let mut successor_updates = shutdown.successor_updates();
        while !self.0.has_left.get() {
            // Before the match: what it looks at lives as long as its arms, and a driver held there keeps the port.
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

    /// Reads the files anew. Of what they hold the keys take effect; a faulty one changes nothing.
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

    /// The planned end: the others are told before this returns.
    pub fn leave(&self) {
        self.0.has_left.set(true);
        if let Some(driver) = self.driver() {
            driver.leave();
            log!("fleet: left");
        }
        self.stop_driver();
    }

    /// For operators; `null` while another process has the port.
    pub fn counters(&self) -> Value {
        self.driver().map_or(Value::Null, |driver| figures::counters(&driver, self.0.key_reads.get()))
    }

    /// For operators; `null` while another process has the port.
    pub fn members(&self) -> Value {
        self.driver().map_or(Value::Null, |driver| figures::members(&driver))
    }
}
