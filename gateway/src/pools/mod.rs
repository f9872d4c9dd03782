//! Pools of servers: each has a router and connections of its own.
//!
//! A [`Pool`] is a handle; its core and its engine client own their state. All pools run on the process's one thread and
//! share its limits. The clock of a pool starts with it.
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

/// One pool of servers: a router of its own, and the connections to them.
#[derive(Clone)]
pub struct Pool {
    /// Drives the router and the state machines of the requests.
    pub core: Core<Engine>,
    /// The connections to the servers.
    pub engine: Engine,
    /// The router's clock.
    pub clock: Clock,
    /// Streams that go on here and began in another process.
    pub resumed: ResumedStreams,
}

/// Number of streams in flight that another process began.
#[derive(Clone, Default)]
pub struct ResumedStreams(Rc<Cell<usize>>);

/// One such stream; dropped at its end.
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
    /// A pool without servers. `slots` and `budget` are those of the process.
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

    /// Number of requests that were admitted and have not ended, here or in the process that began them.
    pub fn open_requests(&self) -> usize {
        self.core.open_requests() + self.resumed.0.get()
    }

    /// The pool as a front calls it, behind the plug-in.
    pub fn request_service(&self, plugin: &Option<Rc<Plugin>>) -> Rc<dyn Fn() -> RequestService> {
        let core = self.core.clone();
        let plugin = plugin.clone();
        Rc::new(move || match &plugin {
            Some(plugin) => RequestService::new(plugin.layer(core.clone())),
            None => RequestService::new(core.clone()),
        })
    }
}
