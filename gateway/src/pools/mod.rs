//! Pools of servers: each has a router and connections of its own, and all run on the same core.

use std::cell::{Cell, RefCell};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use glenrail_router::{Idempotency, ListUpdate, Millis, RequestClass, ServerEntry, ServerState, Settings};
use glenrail_settings::server_id;
use tokio::sync::Semaphore;

use crate::budget::Budget;
use crate::config;
use crate::core::{Clock, Core};
use crate::engine::{Engine, EngineLimits, ServerAddress};
use crate::front::inference::{Inference, Target};
use crate::front::RequestService;
use crate::metrics::RequestMetrics;
use crate::plugin::Plugin;

/// One pool of servers: a router of its own, and the connections to them.
#[derive(Clone)]
pub struct Pool {
    pub core: Core<Engine>,
    pub engine: Engine,
    pub clock: Clock,
    /// Streams that go on here and began in another process.
    pub resumed: ResumedStreams,
}

/// How many streams are under way that another process began.
#[derive(Clone, Default)]
pub struct ResumedStreams(Rc<Cell<usize>>);

/// One such stream.
pub struct OpenStream(ResumedStreams);

impl ResumedStreams {
    pub fn open(&self) -> OpenStream {
        self.0.set(self.0.get() + 1);
        OpenStream(self.clone())
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.0 .0.set(self.0 .0.get() - 1);
    }
}

impl Pool {
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

    /// Requests that were taken and have not ended, here or in the process that began them.
    pub fn open_requests(&self) -> usize {
        self.core.open_requests() + self.resumed.0.get()
    }

    /// The pool as a front calls it, behind the plug-in.
    pub fn request_service(&self, plugin: &Option<Rc<Plugin>>) -> Rc<dyn Fn() -> RequestService> {
        let (core, plugin) = (self.core.clone(), plugin.clone());
        Rc::new(move || match &plugin {
            Some(plugin) => RequestService::new(plugin.layer(core.clone())),
            None => RequestService::new(core.clone()),
        })
    }
    fn inference_target(&self, plugin: &Option<Rc<Plugin>>, class: (u32, Option<String>)) -> Target {
        let core = self.core.clone();
        Target { entry: self.request_service(plugin), ready: Rc::new(move || core.can_serve()), class }
    }
}

/// A pool whose servers stand in the second front's file.
struct FromFile {
    pool: Pool,
    /// The servers as the file last had them.
    last: RefCell<config::Pool>,
}

impl FromFile {
    fn reload(&self, file: &config::Pool) {
        let before = self.last.replace(file.clone());
        list(&self.pool, file, Some(&before));
    }
}

/// The platform's own servers, for chat that comes over this front.
pub struct PlatformChat {
    /// Each class and its deadline.
    pub names: Vec<(String, Millis)>,
    pub classes: Vec<RequestClass>,
    pub pool: Pool,
}

/// The second front and the pools that are its own.
pub struct InferencePools {
    pub front: Inference,
    embeddings: Option<FromFile>,
    chat: Option<FromFile>,
}

impl InferencePools {
    pub fn new(
        file: &config::Front, platform: Option<PlatformChat>, plugin: &Option<Rc<Plugin>>,
        slots: Arc<Semaphore>, budget: Budget, counters: RequestMetrics,
    ) -> Result<Self, String> {
        let own = |pool: &config::Pool, repeatable: bool| {
            let settings = config::one_stage(pool, file.max_deadline_ms as Millis, repeatable);
            let limits = EngineLimits {
                connect_timeout: Duration::from_millis(pool.connect_ms),
                probes: false,
                idle: Duration::from_millis(pool.idle_ms),
                public_api: true,
            };
            // Gateways that are given no seed must not all draw alike.
            let seed = RandomState::new().hash_one("router");
            let made = Pool::new(seed, settings, limits, slots.clone(), budget.clone());
            list(&made, pool, None);
            FromFile { pool: made, last: RefCell::new(pool.clone()) }
        };
        let embeddings = file.embeddings.as_ref().map(|pool| own(pool, true));
        let chat = file.chat.as_ref().map(|pool| own(pool, false));
        let target =
            |own: &Option<FromFile>| own.as_ref().map(|o| o.pool.inference_target(plugin, (0, None)));
        let chat_target = match (target(&chat), platform) {
            (None, Some(platform)) => Some(chat_of(platform, file.chat_class.as_deref(), plugin)?),
            (own, _) => own,
        };
        let front = Inference::new(file, target(&embeddings), chat_target, budget, counters);
        Ok(InferencePools { front, embeddings, chat })
    }

    pub fn pools(&self) -> Vec<Pool> {
        [&self.embeddings, &self.chat].into_iter().flatten().map(|own| own.pool.clone()).collect()
    }

    /// Takes the servers of a file that has changed; what else it says holds from the next start on.
    pub fn reload(&self, file: &config::Front) {
        for (own, pool) in [(&self.embeddings, &file.embeddings), (&self.chat, &file.chat)] {
            if let (Some(own), Some(pool)) = (own, pool) {
                own.reload(pool);
            }
        }
    }
}

/// Makes the servers of a file known to its pool. Those in the first file are taken for warm; one that is new in
/// a later file, or serves again after a drain, has just started for all that is known, and is spared.
fn list(pool: &Pool, file: &config::Pool, before: Option<&config::Pool>) {
    let served = |name: &str, f: &config::Pool| f.servers.iter().any(|s| s.name == name && !s.drain);
    let fresh = |name: &str| before.is_some_and(|b| !served(name, b));
    let member = |s: &config::Server| ServerEntry {
        server: server_id(&s.name),
        weight: s.weight,
        started: fresh(&s.name).then(|| pool.clock.now()),
        state: if s.drain { ServerState::Draining } else { ServerState::Ready },
        ..ServerEntry::default()
    };
    let address = |s: &config::Server| ServerAddress {
        server: server_id(&s.name),
        address: s.dial.clone(),
        serving: !s.drain,
        ..ServerAddress::default()
    };
    pool.engine.update_servers(true, &file.servers.iter().map(address).collect::<Vec<_>>(), &[]);
    pool.core.update_servers(ListUpdate::Full, file.servers.iter().map(member).collect());
}

/// Chat over the platform's servers is of the class that the file names; else of one that is never repeated.
fn chat_of(
    platform: PlatformChat, class: Option<&str>, plugin: &Option<Rc<Plugin>>,
) -> Result<Target, String> {
    let PlatformChat { names, classes, pool } = platform;
    let place = match class {
        Some(name) => names.iter().position(|n| n.0 == name),
        None => classes.iter().position(|c| c.idempotency == Idempotency::NonIdempotent).or(Some(0)),
    };
    let place = place.ok_or("configuration: chat_class: the platform has no such class")?;
    Ok(pool.inference_target(plugin, (place as u32, Some(names[place].0.clone()))))
}
