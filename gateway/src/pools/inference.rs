//! Pools of the second front: servers from its file, or the platform's servers for chat.

use std::cell::RefCell;
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use glenrail_router::{Idempotency, ListUpdate, Millis, RequestClass, ServerEntry, ServerState};
use glenrail_settings::server_id;
use tokio::sync::Semaphore;

use super::Pool;
use crate::budget::Budget;
use crate::config;
use crate::engine::{EngineLimits, ServerAddress, ServerApi};
use crate::front::inference::{Inference, Target};
use crate::metrics::RequestMetrics;
use crate::plugin::Plugin;

/// Index of the single request class of a pool from the file.
const ONLY_CLASS: u32 = 0;

/// Reason why the pools of the second front cannot be created.
#[derive(Debug, thiserror::Error)]
pub enum PoolError {
    /// `chat_class` is not one of the platform's classes.
    #[error("configuration: chat_class: the platform has no such class")]
    UnknownChatClass,
}

/// The platform's pool and request classes, for chat requests of the second front.
pub struct PlatformChat {
    /// Names and deadlines of the classes, in the order of the settings.
    pub names: Vec<(String, Millis)>,
    /// Settings of the classes, in the same order.
    pub classes: Vec<RequestClass>,
    /// Pool of the platform's servers.
    pub pool: Pool,
}

/// The second front, and the pools that its file defines.
pub struct InferencePools {
    /// Request handler of the front, which uses the pools.
    pub front: Inference,
    embeddings: Option<FilePool>,
    chat: Option<FilePool>,
}

impl InferencePools {
    /// Creates the front and its pools. Chat requests use the file's pool, or else the platform's if there is a
    /// platform.
    pub fn new(
        file: &config::InferenceFrontConfig, platform: Option<PlatformChat>, plugin: &Option<Rc<Plugin>>,
        slots: Arc<Semaphore>, budget: Budget, counters: RequestMetrics,
    ) -> Result<Self, PoolError> {
        let file_pool = |pool: &config::PoolConfig, default: Idempotency| {
            FilePool::new(pool, file.max_deadline_ms, default, slots.clone(), budget.clone())
        };
        let embeddings = file.embeddings.as_ref().map(|pool| file_pool(pool, Idempotency::Idempotent));
        let chat = file.chat.as_ref().map(|pool| file_pool(pool, Idempotency::NonIdempotent));
        let embeddings_target = embeddings.as_ref().map(|pool| pool.target(plugin));
        let chat_target = match (&chat, platform) {
            (Some(chat), _) => Some(chat.target(plugin)),
            (None, Some(platform)) => Some(platform_target(platform, file.chat_class.as_deref(), plugin)?),
            (None, None) => None,
        };
        let front = Inference::new(file, embeddings_target, chat_target, budget, counters);
        Ok(InferencePools { front, embeddings, chat })
    }

    /// Returns the pools that the file defines, embeddings first.
    pub fn pools(&self) -> Vec<Pool> {
        let file_pools = [&self.embeddings, &self.chat].into_iter().flatten();
        file_pools.map(|file_pool| file_pool.pool.clone()).collect()
    }

    /// Applies the servers of a changed file. Changes to its other settings require a restart.
    pub fn reload(&self, file: &config::InferenceFrontConfig) {
        for (running, new) in [(&self.embeddings, &file.embeddings), (&self.chat, &file.chat)] {
            if let (Some(running), Some(new)) = (running, new) {
                running.reload(new);
            }
        }
    }
}

/// A pool whose servers are defined in the second front's file.
struct FilePool {
    pool: Pool,
    /// Section of the pool that was applied last.
    applied: RefCell<config::PoolConfig>,
}

impl FilePool {
    /// Creates the pool. `default` applies if the file does not specify whether a request that may have been executed
    /// may be retried.
    fn new(
        section: &config::PoolConfig, max_deadline_ms: u64, default: Idempotency, slots: Arc<Semaphore>,
        budget: Budget,
    ) -> Self {
        let settings = config::mixed_pool_settings(section, max_deadline_ms as Millis, default);
        let limits = EngineLimits {
            connect_timeout: Duration::from_millis(section.connect_ms),
            probes: false,
            idle_timeout: Duration::from_millis(section.idle_ms),
            server_api: ServerApi::Public { max_silence: Duration::from_millis(max_deadline_ms) },
        };
        // The file has no seed, and gateways must not all make the same random choices.
        let seed = RandomState::new().hash_one("router");
        let pool = Pool::new(seed, settings, limits, slots, budget);
        apply_servers(&pool, section, None);
        FilePool { pool, applied: RefCell::new(section.clone()) }
    }

    fn reload(&self, section: &config::PoolConfig) {
        let before = self.applied.replace(section.clone());
        apply_servers(&self.pool, section, Some(&before));
    }

    fn target(&self, plugin: &Option<Rc<Plugin>>) -> Target {
        target(&self.pool, plugin, (ONLY_CLASS, None))
    }
}

fn target(pool: &Pool, plugin: &Option<Rc<Plugin>>, class: (u32, Option<String>)) -> Target {
    let core = pool.core.clone();
    Target { service: pool.request_service(plugin), ready: Rc::new(move || core.can_serve()), class }
}

/// Applies the servers of a section to its pool: first to the engine client, then to the router.
///
/// The servers of the initial file are treated as warm. A server that a later file adds, or returns from draining, may
/// have just started, so slow start applies to it.
fn apply_servers(pool: &Pool, section: &config::PoolConfig, before: Option<&config::PoolConfig>) {
    let addresses: Vec<ServerAddress> = section.servers.iter().map(server_address).collect();
    pool.engine.update_servers(true, &addresses, &[]);
    let entries = section.servers.iter().map(|server| {
        let returned = before.is_some_and(|before| !serves(before, &server.name));
        router_entry(server, returned.then(|| pool.clock.now()))
    });
    pool.core.update_servers(ListUpdate::Full, entries.collect());
}

fn serves(section: &config::PoolConfig, name: &str) -> bool {
    section.servers.iter().any(|server| server.name == name && !server.drain)
}

fn router_entry(server: &config::ServerConfig, started: Option<Millis>) -> ServerEntry {
    ServerEntry {
        server: server_id(&server.name),
        weight: server.weight,
        started,
        state: if server.drain { ServerState::Draining } else { ServerState::Ready },
        ..ServerEntry::default()
    }
}

fn server_address(server: &config::ServerConfig) -> ServerAddress {
    ServerAddress {
        server: server_id(&server.name),
        address: server.address.clone(),
        is_serving: !server.drain,
        ..ServerAddress::default()
    }
}

/// Returns the target of chat requests on the platform's pool. Their class is the one that the file names, or else the
/// first class that is not idempotent, or else the first.
fn platform_target(
    platform: PlatformChat, class: Option<&str>, plugin: &Option<Rc<Plugin>>,
) -> Result<Target, PoolError> {
    let PlatformChat { names, classes, pool } = platform;
    let not_idempotent = |class: &RequestClass| class.idempotency == Idempotency::NonIdempotent;
    let index = match class {
        Some(name) => names.iter().position(|(class, _)| class == name),
        None => classes.iter().position(not_idempotent).or(Some(0)),
    };
    let index = index.ok_or(PoolError::UnknownChatClass)?;
    Ok(target(&pool, plugin, (index as u32, Some(names[index].0.clone()))))
}
