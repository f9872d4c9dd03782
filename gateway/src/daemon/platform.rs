//! The platform's part of the gateway: its pool, discovery, maintenance and its front.

use std::cell::Cell;
use std::mem::replace;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use glenrail_router::ListUpdate;
use serde::Deserialize;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::counters::log_counts;
use super::error::DaemonError;
use super::handover::{HandoverHooks, InheritedFront};
use super::listeners::{listen, ListenAddress};
use super::{Context, Parts};
use crate::config;
use crate::core::duration;
use crate::discovery::{self, DiscoveryMetrics, EndpointList, SettingsNames};
use crate::engine::{Engine, EngineLimits};
use crate::front::platform::{Platform, PlatformSettings};
use crate::front::server::{self, FrontListener};
use crate::log;
use crate::maintenance::{Maintenance, OrderStore};
use crate::pools::{PlatformChat, Pool};
use crate::shutdown::Phase;
use crate::upgrade::{self, RoutingStateTransfer};

/// Servers close idle connections after their own time; this process closes them after this part of it, so that no
/// request meets a connection that its server is closing.
const IDLE_TIMEOUT_SHARE: f64 = 0.5;
/// A process that takes over waits no longer than this for discovery's list; then it trusts the one that it was started
/// with.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// What the other parts need of the platform's.
pub(super) struct PlatformPart {
    pub(super) chat: PlatformChat,
    pub(super) handover: HandoverHooks,
    /// For the operators' front, where the configuration has one.
    pub(super) admin: Option<AdminPart>,
}

/// What the operators' front acts on.
pub(super) struct AdminPart {
    pub(super) listener: TcpListener,
    pub(super) ready: Rc<dyn Fn() -> bool>,
    pub(super) maintenance: Rc<Maintenance<Engine>>,
}

/// Starts the platform's part. `max_connections`: of clients at its front.
pub(super) async fn start(
    platform: config::Platform, inherited: InheritedFront, max_connections: usize, context: &Context,
    parts: &mut Parts,
) -> Result<PlatformPart, DaemonError> {
    let address = platform.listen.to_string();
    let listen_address = ListenAddress { address: &address, key: "listen", front: "platform" };
    let listener = listen(listen_address, inherited.listener).await?;
    parts.listeners.add(upgrade::PLATFORM, &listener)?;
    let pool = pool(&platform, context);
    parts.pools.push(pool.clone());
    let maintenance = Rc::new(maintenance(&platform, &pool));
    let list_received = start_discovery(&platform, &pool, &maintenance, context, parts);
    let mut handover = HandoverHooks { routing_state: routing_state(&pool), ..HandoverHooks::default() };
    let mut admin = None;
    if let Some(address) = platform.ops {
        let part = start_maintenance(address, &pool, &maintenance, context).await?;
        handover.can_take_over = can_take_over(&pool, &part.maintenance, list_received);
        admin = Some(part);
    }
    let names = names(&platform);
    let chat = PlatformChat {
        names: names.classes.clone(),
        classes: platform.settings.classes.clone(),
        pool: pool.clone(),
    };
    let front_listener = FrontListener {
        number: upgrade::PLATFORM,
        listener,
        inbox: Some(inherited.inbox),
        resume: Some(server::resume(&pool, &context.metrics)),
        open: context.accepting.clone(),
    };
    let front = front(names, &pool, context);
    spawn_local(server::serve(front_listener, front, max_connections, context.shutdown.clone()));
    Ok(PlatformPart { chat, handover, admin })
}

fn pool(platform: &config::Platform, context: &Context) -> Pool {
    let limits = EngineLimits {
        connect_timeout: duration(platform.settings.limits.connect_timeout),
        probes: platform.settings.limits.probes,
        idle_timeout: platform.conn_idle.mul_f64(IDLE_TIMEOUT_SHARE),
        public_api: false,
    };
    let (slots, budget) = (context.slots.clone(), context.budget.clone());
    Pool::new(platform.seed, platform.settings.clone(), limits, slots, budget)
}

fn names(platform: &config::Platform) -> PlatformSettings {
    let deadlines = platform.settings.classes.iter().map(|class| class.deadline);
    PlatformSettings {
        classes: platform.classes.iter().cloned().zip(deadlines).collect(),
        tenants: platform.tenants.clone(),
        max_retry_after: PlatformSettings::max_retry_after(&platform.settings.limits),
    }
}

fn routing_state(pool: &Pool) -> RoutingStateTransfer {
    let (exporter, importer) = (pool.core.clone(), pool.core.clone());
    RoutingStateTransfer {
        export: Rc::new(move || exporter.export_state()),
        import: Rc::new(move |state| importer.import_state(state)),
    }
}

/// Without a directory for them, orders are denied; all else works.
fn maintenance(platform: &config::Platform, pool: &Pool) -> Maintenance<Engine> {
    let names = SettingsNames { zones: platform.zones.clone(), kinds: platform.kinds.clone() };
    let orders = platform.ops.and_then(|_| {
        OrderStore::open(&platform.state).map_err(|e| log!("maintenance orders are off: {e}")).ok()
    });
    Maintenance::new(names, pool.clock, pool.engine.clone(), pool.core.clone(), orders)
}

/// Applies the list known at the start, and watches discovery. Returns whether a list has come since.
fn start_discovery(
    platform: &config::Platform, pool: &Pool, maintenance: &Rc<Maintenance<Engine>>, context: &Context,
    parts: &mut Parts,
) -> Rc<Cell<bool>> {
    let schedule = discovery::poll_schedule(&platform.settings, platform.seed);
    let address = watch::Sender::new(platform.discovery.clone());
    let address_updates = address.subscribe();
    parts.reloads.add(move || reload(&address));
    let known = EndpointList::deserialize(&platform.known).ok();
    if let Some(known) = &known {
        maintenance.apply_list(known, ListUpdate::Cached);
    }
    // The list that a successor was started with may be old. It requests the full list, which comes at once.
    let version = known.map(|list| list.version).filter(|_| !context.has_predecessor);
    let list_received = Rc::new(Cell::new(false));
    let metrics = Rc::new(DiscoveryMetrics::default());
    spawn_local(log_counts(pool.clone(), metrics.clone(), platform.prices));
    spawn_local({
        let (maintenance, list_received) = (maintenance.clone(), list_received.clone());
        discovery::watch(address_updates, version, schedule, metrics, move |list, scope| {
            maintenance.apply_list(list, scope);
            list_received.set(true);
        })
    });
    list_received
}

/// Of a new configuration, discovery's address takes effect at once; the rest from the next start on.
fn reload(address: &watch::Sender<String>) {
    match config::platform(|name| std::env::var(name).ok()) {
        Ok(Some(new)) => {
            address.send_if_modified(|current| replace(current, new.discovery.clone()) != new.discovery);
        }
        Ok(None) => {}
        Err(e) => log!("{e}; the configuration is unchanged"),
    }
}

/// Listens for operators, and follows the orders that other processes of this gateway are given.
async fn start_maintenance(
    address: SocketAddr, pool: &Pool, maintenance: &Rc<Maintenance<Engine>>, context: &Context,
) -> Result<AdminPart, DaemonError> {
    let address = address.to_string();
    let listen_address = ListenAddress { address: &address, key: "ops", front: "operators'" };
    let listener = listen(listen_address, None).await?;
    let (core, shutdown, accepting) =
        (pool.core.clone(), context.shutdown.clone(), context.accepting.clone());
    // Of the process, also while clients are asked to leave.
    let ready = move || *accepting.borrow() && shutdown.phase() == Phase::Serving && core.can_serve();
    let watched = maintenance.clone();
    spawn_local(async move { watched.watch_orders().await });
    Ok(AdminPart { listener, ready: Rc::new(ready), maintenance: maintenance.clone() })
}

/// Whether this process can do all that its predecessor could: serve, under the same orders, by a list that is not old.
fn can_take_over(
    pool: &Pool, maintenance: &Rc<Maintenance<Engine>>, list_received: Rc<Cell<bool>>,
) -> Rc<dyn Fn() -> bool> {
    let (core, maintenance, started) = (pool.core.clone(), maintenance.clone(), Instant::now());
    Rc::new(move || {
        maintenance.sync_orders();
        core.can_serve() && (list_received.get() || started.elapsed() > DISCOVERY_TIMEOUT)
    })
}

fn front(names: PlatformSettings, pool: &Pool, context: &Context) -> Platform {
    let (core, shutdown) = (pool.core.clone(), context.shutdown.clone());
    // Of the gateway, so also where a successor serves.
    let ready = Rc::new(move || !shutdown.is_draining() && core.can_serve());
    Platform::new(
        names,
        context.budget.clone(),
        pool.request_service(&context.plugin),
        ready,
        context.shutdown.clone(),
        context.metrics.clone(),
    )
}
