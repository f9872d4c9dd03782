//! Pools of servers, each with its own router and connections.
//!
//! A [`Pool`] is a handle: its core and its engine client own the state. All pools run on the single thread of the
//! process and share its limits. The clock of a pool starts at its creation.
#![deny(missing_docs)]

mod inference;

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use glenrail_router::Settings;
use tokio::sync::Semaphore;

pub use self::inference::{InferencePools, PlatformChat, PoolError};
use crate::budget::Budget;
use crate::core::{Clock, Core};
use crate::engine::{Engine, EngineLimits};
use crate::front::RequestService;
use crate::plugin::Plugin;

/// Handle to a pool of servers, with its router and connections.
#[derive(Clone)]
pub struct Pool {
    /// Core that runs the router and the request state machines.
    pub core: Core<Engine>,
    /// Engine client with the connections to the servers.
    pub engine: Engine,
    /// Clock of the router.
    pub clock: Clock,
    /// Number of open streams that were handed over by another process.
    pub resumed: ResumedStreams,
}

/// Count of open streams that were handed over by another process.
#[derive(Clone, Default)]
pub struct ResumedStreams(Rc<Cell<usize>>);

/// Counts one such stream until it is dropped at the end of the stream.
pub struct OpenStream(ResumedStreams);

impl ResumedStreams {
    /// Counts one more stream.
    pub fn open(&self) -> OpenStream {
        self.0.set(self.0.get() + 1);
        OpenStream(self.clone())
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        let count = &self.0 .0;
        count.set(count.get() - 1);
    }
}

impl Pool {
    /// Creates a pool without servers. `slots` and `budget` are the limits of the process, shared by all pools.
    pub fn new(
        seed: u64, settings: Settings, limits: EngineLimits, slots: Arc<Semaphore>, budget: Budget,
    ) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let clock = Clock::new(unix);
        let engine = Engine::new(limits, slots, budget);
        Pool {
            core: Core::new(seed, settings, clock, engine.clone()),
            engine,
            clock,
            resumed: ResumedStreams::default(),
        }
    }

    /// Returns the number of open requests, including streams that were admitted by another process.
    pub fn open_requests(&self) -> usize {
        self.core.open_requests() + self.resumed.0.get()
    }

    /// Returns a factory of the service that a front calls: the core, wrapped in the plug-in if there is one.
    pub fn request_service(&self, plugin: &Option<Rc<Plugin>>) -> Rc<dyn Fn() -> RequestService> {
        let core = self.core.clone();
        let plugin = plugin.clone();
        Rc::new(move || match &plugin {
            Some(plugin) => RequestService::new(plugin.layer(core.clone())),
            None => RequestService::new(core.clone()),
        })
    }
}
