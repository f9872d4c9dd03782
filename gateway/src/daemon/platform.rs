//! Startup of the platform's components: its pool, discovery, maintenance and its front.

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
use super::{Context, StartedComponents};
use crate::config;
use crate::core::duration;
use crate::discovery::{self, DiscoveryMetrics, EndpointList, SettingsNames};
use crate::engine::{Engine, EngineLimits, ServerApi};
use crate::front::platform::{Platform, PlatformSettings};
use crate::front::server::{self, FrontListener};
use crate::log;
use crate::maintenance::{Maintenance, OrderStore};
use crate::pools::{PlatformChat, Pool};
use crate::shutdown::Phase;
use crate::upgrade::{self, RoutingStateTransfer};

/// Fraction of the servers' idle timeout after which this process closes an idle connection, so that no request is
/// sent on a connection that its server is closing.
const IDLE_TIMEOUT_SHARE: f64 = 0.5;
/// Maximum time that a successor waits for the endpoint list of discovery. After that it uses its initial list.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Platform components that other components use.
pub(super) struct PlatformComponents {
    pub(super) chat: PlatformChat,
    pub(super) handover: HandoverHooks,
    /// Components of the operators' front; `None` if that front is disabled.
    pub(super) admin: Option<AdminComponents>,
}

/// Components that the operators' front uses.
pub(super) struct AdminComponents {
    pub(super) listener: TcpListener,
    pub(super) ready: Rc<dyn Fn() -> bool>,
    pub(super) maintenance: Rc<Maintenance<Engine>>,
}

/// Starts the platform's components. `max_connections` limits the client connections of its front.
pub(super) async fn start(
    platform: config::Platform, inherited: InheritedFront, max_connections: usize, context: &Context,
    components: &mut StartedComponents,
) -> Result<PlatformComponents, DaemonError> {
    let address = platform.listen.to_string();
    let listen_address = ListenAddress { address: &address, key: "listen", front: "platform" };
    let listener = listen(listen_address, inherited.listener).await?;
    components.listeners.add(upgrade::PLATFORM, &listener)?;
    let pool = pool(&platform, context);
    components.pools.push(pool.clone());
    let maintenance = Rc::new(maintenance(&platform, &pool));
    let list_received = start_discovery(&platform, &pool, &maintenance, context, components);
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
    Ok(PlatformComponents { chat, handover, admin })
}

fn pool(platform: &config::Platform, context: &Context) -> Pool {
    let limits = EngineLimits {
        connect_timeout: duration(platform.settings.limits.connect_timeout),
        probes: platform.settings.limits.probes,
        idle_timeout: platform.conn_idle.mul_f64(IDLE_TIMEOUT_SHARE),
        server_api: ServerApi::Platform,
    };
    let (slots, budget) = (context.slots.clone(), context.budget.clone());
    let pool = Pool::new(platform.seed, platform.settings.clone(), limits, slots, budget);
    pool.core.share_request_ids(context.request_ids.clone());
    pool
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

/// Creates the maintenance overlay. If the order store cannot be opened, only maintenance orders are unavailable.
fn maintenance(platform: &config::Platform, pool: &Pool) -> Maintenance<Engine> {
    let names = SettingsNames { zones: platform.zones.clone(), kinds: platform.kinds.clone() };
    let orders = platform.ops.and_then(|_| {
        OrderStore::open(&platform.state).map_err(|e| log!("maintenance orders are off: {e}")).ok()
    });
    Maintenance::new(names, pool.clock, pool.engine.clone(), pool.core.clone(), orders)
}

/// Applies the initial list and starts the watch of discovery. The returned flag is set once discovery sends a list.
fn start_discovery(
    platform: &config::Platform, pool: &Pool, maintenance: &Rc<Maintenance<Engine>>, context: &Context,
    components: &mut StartedComponents,
) -> Rc<Cell<bool>> {
    let schedule = discovery::poll_schedule(&platform.settings, platform.seed);
    let address = watch::Sender::new(platform.discovery.clone());
    let address_updates = address.subscribe();
    components.reloads.add(move || reload(&address));
    let known = EndpointList::deserialize(&platform.known).ok();
    if let Some(known) = &known {
        maintenance.apply_list(known, ListUpdate::Cached);
    }
    // The initial list of a successor may be outdated, so it requests the full list, which is sent at once.
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

/// Reloads the configuration. Only the address of discovery takes effect; other changes require a restart.
fn reload(address: &watch::Sender<String>) {
    match config::platform(|name| std::env::var(name).ok()) {
        Ok(Some(new)) => {
            address.send_if_modified(|current| replace(current, new.discovery.clone()) != new.discovery);
        }
        Ok(None) => {}
        Err(e) => log!("{e}; the configuration is unchanged"),
    }
}

/// Binds the operators' front and watches for maintenance orders given to other processes of this gateway.
async fn start_maintenance(
    address: SocketAddr, pool: &Pool, maintenance: &Rc<Maintenance<Engine>>, context: &Context,
) -> Result<AdminComponents, DaemonError> {
    let address = address.to_string();
    let listen_address = ListenAddress { address: &address, key: "ops", front: "operators'" };
    let listener = listen(listen_address, None).await?;
    let (core, shutdown, accepting) =
        (pool.core.clone(), context.shutdown.clone(), context.accepting.clone());
    // Readiness of this process: false as soon as it drains, also where a successor serves.
    let ready = move || *accepting.borrow() && shutdown.phase() == Phase::Serving && core.can_serve();
    let watched = maintenance.clone();
    spawn_local(async move { watched.watch_orders().await });
    Ok(AdminComponents { listener, ready: Rc::new(ready), maintenance: maintenance.clone() })
}

/// Returns the readiness check of a successor: it can serve, under the same maintenance orders as its predecessor, and
/// has a current list or has waited [`DISCOVERY_TIMEOUT`] for it.
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
    // Readiness of the gateway, so it stays true while a successor serves.
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
