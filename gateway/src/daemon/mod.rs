//! The daemon: reads the configuration, starts the components and runs them on one thread until the process exits.
//!
//! The components are `platform`, `inference` and the operators' front. They own the state; `Context` has what they
//! share. `handover` runs upgrades and `exit` the graceful shutdown. The clock is tokio's.
#![deny(missing_docs)]

mod counters;
mod error;
mod exit;
mod handover;
mod inference;
mod listeners;
mod platform;
mod signals;

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use glenrail_fleet::Keyring;
use tokio::runtime::Builder;
use tokio::sync::{watch, Semaphore};
use tokio::task::{spawn_local, LocalSet};

use self::handover::{Handover, HandoverHooks};
use self::inference::FrontFile;
use self::listeners::ListenerCopies;
use self::platform::AdminComponents;
use self::signals::{Reloads, Signals};
use crate::admin::{AdminContext, AdminFront};
use crate::budget::Budget;
use crate::config::{self, Bounds, Files};
use crate::core::duration;
use crate::fleet::{self, FleetError, MemberConfig};
use crate::front::inference::{CHAT, EMBEDDINGS};
use crate::front::server;
use crate::metrics::RequestMetrics;
use crate::plugin::Plugin;
use crate::pools::Pool;
use crate::request_ids::RequestIds;
use crate::shutdown::{self, Shutdown};
use crate::upgrade::SharedLimits;

pub use self::error::DaemonError;
pub use self::exit::graceful_shutdown;

/// Complete configuration that the gateway is started with.
struct Configuration {
    platform: Option<config::Platform>,
    second: Option<FrontFile>,
    plugin: Option<Rc<Plugin>>,
    fleet: Option<(MemberConfig, Keyring)>,
}

/// Resources and state shared by the components.
struct Context {
    slots: Arc<Semaphore>,
    budget: Budget,
    request_ids: RequestIds,
    shutdown: Shutdown,
    metrics: RequestMetrics,
    plugin: Option<Rc<Plugin>>,
    /// Whether this process accepts connections; false in a successor until it is ready.
    accepting: watch::Receiver<bool>,
    /// Whether a predecessor is handing over to this process.
    has_predecessor: bool,
}

/// Listeners, pools and reload callbacks, collected while the components start.
#[derive(Default)]
struct StartedComponents {
    listeners: ListenerCopies,
    pools: Vec<Pool>,
    reloads: Reloads,
}

/// Runs the gateway until SIGTERM or SIGINT, and returns after the graceful shutdown.
pub fn run(files: Files) -> Result<(), DaemonError> {
    let configuration = read(files)?;
    let runtime = Builder::new_current_thread().enable_all().build().map_err(DaemonError::Runtime)?;
    LocalSet::new().block_on(&runtime, serve(configuration))
}

fn read(files: Files) -> Result<Configuration, DaemonError> {
    let platform = config::platform(|name| std::env::var(name).ok())?;
    let second = match files.front {
        Some(path) => Some(FrontFile { front: config::front(&path)?, path }),
        None => None,
    };
    if platform.is_none() && second.is_none() {
        return Err(DaemonError::NoFront);
    }
    let plugin = files.plugin.map(|path| Plugin::load(&path)).transpose()?;
    let fleet = files.fleet.map(|file| read_fleet(&file, platform.as_ref())).transpose()?;
    Ok(Configuration { platform, second, plugin: plugin.map(Rc::new), fleet })
}

/// Reads the fleet's file, subject to the platform's settings for this gateway.
fn read_fleet(
    file: &Path, platform: Option<&config::Platform>,
) -> Result<(MemberConfig, Keyring), FleetError> {
    let name = match platform {
        Some(platform) => platform.name.clone(),
        None => std::env::var("EDGE_NAME").ok(),
    };
    let platform = platform.map(|platform| fleet::PlatformSettings {
        gossip_permitted: platform.settings.limits.gossip,
        state: platform.state.clone(),
    });
    MemberConfig::read(file, name, platform.as_ref())
}

/// Starts the components in order and runs them until the graceful shutdown is complete.
async fn serve(configuration: Configuration) -> Result<(), DaemonError> {
    let Configuration { platform, second, plugin, fleet } = configuration;
    let bounds = platform.as_ref().map_or_else(Bounds::default, |platform| platform.bounds);
    let delays = ShutdownDelays::new(platform.as_ref());
    let limits = shared_limits(&bounds);
    let state = state_directory(platform.as_ref());
    let request_ids = RequestIds::default();
    let (handover, inheritance) = Handover::request(state, limits.clone(), request_ids.clone()).await;
    let context = Context {
        slots: limits.slots,
        budget: limits.budget,
        request_ids,
        shutdown: Shutdown::default(),
        metrics: request_metrics(platform.as_ref(), second.as_ref()),
        plugin,
        accepting: handover.accepting(),
        has_predecessor: handover.has_predecessor(),
    };
    let mut signals = Signals::new()?;
    let clients = ClientConnectionLimits::new(&bounds, platform.as_ref(), second.as_ref());
    let mut components = StartedComponents::default();
    let (mut chat, mut hooks, mut admin) = (None, HandoverHooks::default(), None);
    if let Some(platform) = platform {
        let part =
            platform::start(platform, inheritance.platform, clients.platform, &context, &mut components)
                .await?;
        (chat, hooks, admin) = (Some(part.chat), part.handover, part.admin);
    }
    if let Some(file) = second {
        inference::start(file, chat, inheritance.second, clients.second, &context, &mut components).await?;
    }
    let member = start_fleet(fleet, &context, &mut components)?;
    let StartedComponents { listeners, pools, reloads } = components;
    if let Some(admin) = admin {
        start_admin(admin, bounds.operators, &pools, member.as_ref(), &context);
    }
    let _idle_handover = handover.start(listeners, hooks, &context.shutdown);
    spawn_local(reloads.run(signals.reload));
    signals.termination.received().await;
    shut_down(&context.shutdown, &pools, &delays, member).await;
    context.request_ids.flush().await;
    Ok(())
}

/// Runs the graceful shutdown, starting at SIGTERM.
async fn shut_down(
    shutdown: &Shutdown, pools: &[Pool], delays: &ShutdownDelays, member: Option<fleet::Handle>,
) {
    if let Some(delay) = delays.last_response {
        spawn_local(exit::answer_pending(pools.to_vec(), delay));
    }
    graceful_shutdown(shutdown, pools, delays.stream_handover).await;
    // The member leaves last: until here this process serves, and the fleet must treat it as available.
    if let Some(member) = member {
        member.leave();
    }
}

/// Returns the limits that two processes share during an upgrade, initially all for this one.
fn shared_limits(bounds: &Bounds) -> SharedLimits {
    SharedLimits {
        slots: Arc::new(Semaphore::new(bounds.server_connections)),
        connections: bounds.server_connections,
        budget: Budget::new(bounds.bodies),
        bodies: bounds.bodies,
    }
}

/// Returns the state directory, in which processes at the same address find each other; `None` disables upgrades. Only
/// operators start a second process, so upgrades need the operators' front.
fn state_directory(platform: Option<&config::Platform>) -> Option<PathBuf> {
    let platform = platform.filter(|platform| platform.ops.is_some())?;
    Some(platform.state.clone())
}

/// Delays after SIGTERM, derived from the deadlines of the platform's request classes.
struct ShutdownDelays {
    /// Delay until requests without a first token are answered; `None` without a platform, which alone kills the
    /// process.
    last_response: Option<Duration>,
    /// Delay until streams in flight are handed over to a successor.
    stream_handover: Duration,
}

impl ShutdownDelays {
    fn new(platform: Option<&config::Platform>) -> Self {
        let classes = platform.iter().flat_map(|platform| &platform.settings.classes);
        let kill = shutdown::kill_delay(classes.map(|class| duration(class.deadline)));
        ShutdownDelays {
            last_response: platform.map(|_| shutdown::last_response_delay(kill)),
            stream_handover: shutdown::stream_handover_delay(kill),
        }
    }
}

/// Maximum number of client connections of each front.
struct ClientConnectionLimits {
    platform: usize,
    second: usize,
}

impl ClientConnectionLimits {
    /// Divides the client connections between the fronts: the second may use half of them, or all if it is the only
    /// front.
    fn new(bounds: &Bounds, platform: Option<&config::Platform>, second: Option<&FrontFile>) -> Self {
        let fronts = if platform.is_some() { 2 } else { 1 };
        let share = bounds.client_connections / fronts;
        let second = second.map_or(0, |file| file.front.max_connections.min(share));
        ClientConnectionLimits { platform: bounds.client_connections - second, second }
    }
}

/// Returns the request counters of the platform's classes and of the second front's two classes.
fn request_metrics(platform: Option<&config::Platform>, second: Option<&FrontFile>) -> RequestMetrics {
    let platform_classes = platform.iter().flat_map(|platform| platform.classes.iter().cloned());
    let second_classes = second.iter().flat_map(|_| [EMBEDDINGS, CHAT]).map(String::from);
    RequestMetrics::new(platform_classes.chain(second_classes))
}

fn start_fleet(
    fleet: Option<(MemberConfig, Keyring)>, context: &Context, components: &mut StartedComponents,
) -> Result<Option<fleet::Handle>, FleetError> {
    let Some(fleet) = fleet else { return Ok(None) };
    let member = fleet::start(fleet, context.has_predecessor, &context.shutdown)?;
    let reloading = member.clone();
    components.reloads.add(move || reloading.reload());
    Ok(Some(member))
}

/// Starts the operators' front. It serves until the process exits, so it has a `Shutdown` of its own.
fn start_admin(
    admin: AdminComponents, max_connections: usize, pools: &[Pool], member: Option<&fleet::Handle>,
    context: &Context,
) {
    let AdminComponents { listener, ready, maintenance } = admin;
    let front = AdminFront::new(AdminContext {
        ready,
        metrics: context.metrics.clone(),
        pools: pools.to_vec(),
        maintenance,
        shutdown: context.shutdown.clone(),
        fleet: member.cloned(),
        plugin: context.plugin.clone(),
    });
    spawn_local(server::serve(listener, front, max_connections, Shutdown::default()));
}
