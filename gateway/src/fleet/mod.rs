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
pub mod keys;
pub mod life;
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
const AGAIN: Duration = Duration::from_millis(100);

struct Lives {
    start: Start,
    keys: RefCell<Keyring>,
    key_reads: Cell<u64>,
    now: RefCell<Option<(Rc<Driver>, AbortHandle)>>,
    /// Set by the planned end: no further life.
    ended: Cell<bool>,
}

/// See the module.
#[derive(Clone)]
pub struct Handle(Rc<Lives>);

/// Runs the fleet until the process ends. `after`: another process serves at this address and hands over, so the
/// port is waited for; else one that is taken is an error.
pub fn start(
    (start, keys): (Start, Keyring), after: bool, shutdown: &Shutdown,
) -> Result<Handle, FleetError> {
    let handle = Handle(Rc::new(Lives {
        start,
        keys: RefCell::new(keys),
        key_reads: Cell::new(0),
        now: RefCell::default(),
        ended: Cell::new(false),
    }));
    match handle.begin() {
        Err(FleetError::Bind { error, .. }) if after && error.kind() == std::io::ErrorKind::AddrInUse => {
            log!("fleet: waits for the port of the process before");
        }
        begun => begun?,
    }
    spawn_local(handle.clone().keep(shutdown.clone()));
    Ok(handle)
}

impl Handle {
    /// This life of the member; `None` while another process has the port. To be asked anew each time: whoever keeps it
    /// keeps the port.
    pub fn driver(&self) -> Option<Rc<Driver>> {
        self.0.now.borrow().as_ref().map(|(driver, _)| driver.clone())
    }

    fn begin(&self) -> Result<(), FleetError> {
        let keys = self.0.keys.borrow().clone();
        let driver = Driver::start(&self.0.start, keys)?;
        let running = spawn_local(driver.clone().run()).abort_handle();
        self.0.now.replace(Some((driver, running)));
        Ok(())
    }

    fn end(&self) {
        if let Some((driver, running)) = self.0.now.take() {
            driver.stop();
            running.abort();
        }
    }

    /// One process at a time: gives the port up to the process that took over, and takes it back if that one dies.
    async fn keep(self, shutdown: Shutdown) {
        let mut heirs = shutdown.successor_updates();
        while !self.0.ended.get() {
            // Before the match: what it looks at lives as long as its arms, and a driver held there keeps the port.
            let begun = self.driver().is_some();
            match (shutdown.has_successor(), begun) {
                (true, true) => {
                    log!("fleet: the process that took over goes on as this member");
                    self.end();
                }
                (false, false) => match self.begin() {
                    Ok(()) => {}
                    Err(e) => {
                        log!("{e}; {}; tried again", e.advice());
                        sleep(AGAIN).await;
                    }
                },
                // The sender lives as long as `shutdown` does.
                _ => drop(heirs.changed().await),
            }
        }
    }

    /// Reads the files anew. Of what they hold the keys take effect; a faulty one changes nothing.
    pub fn reload(&self) {
        match self.0.start.keys_anew() {
            Ok(keys) => {
                self.0.keys.replace(keys.clone());
                if let Some(driver) = self.driver() {
                    driver.turn_keys(keys);
                }
                self.0.key_reads.set(self.0.key_reads.get() + 1);
                log!("fleet: the keys are read anew");
            }
            Err(e) => log!("{e}; {}; the keys stay as they were", e.advice()),
        }
    }

    /// The planned end: the others are told before this returns.
    pub fn leave(&self) {
        self.0.ended.set(true);
        if let Some(driver) = self.driver() {
            driver.leave();
            log!("fleet: left");
        }
        self.end();
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
