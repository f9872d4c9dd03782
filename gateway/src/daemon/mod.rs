//! Puts the parts together and runs them on one thread until the process is told to end.

use std::cell::Cell;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use glenrail_access_log::counts::{self, Counts, Prices};
use glenrail_fleet::Keyring;
use glenrail_router::ListUpdate;
use serde::Deserialize;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{watch, Semaphore};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, Instant};

use crate::admin::{AdminContext, AdminFront};
use crate::budget::Budget;
use crate::config::{self, Bounds, Files};
use crate::core::duration;
use crate::discovery::{self, DiscoveryMetrics, EndpointList, SettingsNames};
use crate::engine::EngineLimits;
use crate::fleet::{self, FleetError, Start};
use crate::front::server::{self, FrontListener};
use crate::front::{inference, platform};
use crate::log;
use crate::maintenance::{Maintenance, OrderStore};
use crate::metrics::RequestMetrics;
use crate::plugin::Plugin;
use crate::pools::{InferencePools, PlatformChat, Pool};
use crate::shutdown::{self, Phase, Shutdown};
use crate::upgrade::{self, RoutingStateTransfer, SharedLimits, TransferInboxes};

/// Connections still come for a while after the process was told to end (0.4 s on the platform).
const LEAVING: Duration = Duration::from_millis(600);
/// Servers close idle connections after their own time; here they go at this share of it.
const IDLE_SHARE: f64 = 0.5;
/// A second process waits no longer than this to hear of the list; then it trusts the one it was started with.
const SILENT_DISCOVERY: Duration = Duration::from_millis(1_000);
/// What was asked of servers and of discovery is told this often, if more has come.
const TELL_COUNTS: Duration = Duration::from_millis(2_000);
/// Releases under way are waited for in steps of this length.
const SETTLE: Duration = Duration::from_millis(20);

pub fn run(files: Files) -> Result<(), String> {
    let Files { front, plugin, fleet } = files;
    let platform = config::platform(|name| std::env::var(name).ok()).map_err(|e| e.to_string())?;
    let second = front.as_deref().map(config::front).transpose().map_err(|e| e.to_string())?;
    if platform.is_none() && second.is_none() {
        return Err("configuration: EDGE_CONFIG: missing, and no --front is given".into());
    }
    let plugin = plugin.map(|p| Plugin::load(&p).map(Rc::new)).transpose()?;
    let fleet = fleet.map(|file| member(&file, platform.as_ref())).transpose().map_err(|e| told(&e))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    LocalSet::new().block_on(&runtime, serve(platform, second.zip(front), plugin, fleet))
}

/// What the fleet's driver is told of this gateway.
fn member(file: &Path, platform: Option<&config::Platform>) -> Result<(Start, Keyring), FleetError> {
    let name = match platform {
        Some(platform) => platform.name.clone(),
        None => std::env::var("EDGE_NAME").ok(),
    };
    let told =
        |p: &config::Platform| fleet::Platform { peers: p.settings.limits.gossip, state: p.state.clone() };
    Start::read(file, name, platform.map(told).as_ref())
}

/// An error that ends the start, and what to do about it.
fn told(error: &FleetError) -> String {
    format!("configuration: {error}; {}", error.advice())
}

/// Listens at an address, or goes on with the listener of another process that is there already.
async fn listen(
    address: &str, key: &str, front: &str, inherited: Option<std::net::TcpListener>,
) -> Result<TcpListener, String> {
    let failed = |e| format!("configuration: {key}: cannot listen on {address}: {e}");
    let wanted = address.parse::<SocketAddr>().ok();
    let same = |l: &std::net::TcpListener| {
        let at = l.local_addr().ok();
        at.zip(wanted).is_some_and(|(at, w)| at == w || w.port() == 0 && at.ip() == w.ip())
    };
    let listener = match inherited.filter(same) {
        Some(listener) => TcpListener::from_std(listener).map_err(failed)?,
        None => TcpListener::bind(address).await.map_err(failed)?,
    };
    log!("{front} front on {}", listener.local_addr().map_err(failed)?);
    Ok(listener)
}

/// What stands ready for a process that is to take over.
fn to_hand_over(number: u8, listener: &TcpListener) -> Result<(u8, OwnedFd), String> {
    let copy = listener.as_fd().try_clone_to_owned();
    copy.map(|l| (number, l)).map_err(|e| format!("cannot copy a listener: {e}"))
}

async fn serve(
    platform: Option<config::Platform>, second: Option<(config::Front, PathBuf)>, plugin: Option<Rc<Plugin>>,
    member: Option<(Start, Keyring)>,
) -> Result<(), String> {
    let bounds = platform.as_ref().map_or_else(Bounds::default, |p| p.bounds);
    let slots = Arc::new(Semaphore::new(bounds.server_connections));
    let budget = Budget::new(bounds.bodies);
    let shutdown = Shutdown::default();
    let state = platform.as_ref().filter(|p| p.ops.is_some()).map(|p| p.state.clone());
    let estate = match &state {
        Some(state) => upgrade::request_handover(state).await,
        None => None,
    };
    let ([first, other], link) = estate.map_or_else(Default::default, |e| (e.listeners, Some(e.link)));
    let (inboxes, [first_inbox, other_inbox]) = TransferInboxes::new();
    // After another process, this one accepts only once it can do all that the other could.
    let (opener, open) = watch::channel(link.is_none());
    let shared = SharedLimits {
        slots: slots.clone(),
        connections: bounds.server_connections,
        budget: budget.clone(),
        bodies: bounds.bodies,
    };
    let after = link.map(|link| (link, shared.reserve_half()));
    let mut listeners = Vec::new();
    let mut learned = RoutingStateTransfer { export: Rc::new(Vec::new), import: Rc::new(|_| {}) };
    let mut able: Rc<dyn Fn() -> bool> = Rc::new(|| true);
    let mut pools = Vec::new();
    let deadlines = platform.iter().flat_map(|p| p.settings.classes.iter().map(|c| duration(c.deadline)));
    let kill = shutdown::kill_delay(deadlines);
    let last_answer = platform.is_some().then(|| shutdown::last_response_delay(kill));
    let mut reloads: Vec<Box<dyn Fn()>> = Vec::new();
    let mut chat = None;
    let mut desk = None;
    let own = [inference::EMBEDDINGS, inference::CHAT].map(String::from);
    let own = own.into_iter().filter(|_| second.is_some());
    let classes = platform.iter().flat_map(|p| p.classes.iter().cloned());
    let counters = RequestMetrics::new(classes.chain(own));
    let mut signals = Signals::new()?;
    // The second front's connections come out of the same descriptors; alone, it may have them all.
    let share = bounds.client_connections / if platform.is_some() { 2 } else { 1 };
    let seconds = second.as_ref().map_or(0, |(f, _)| f.max_connections.min(share));

    if let Some(p) = platform {
        let listener = listen(&p.listen.to_string(), "listen", "platform", first).await?;
        listeners.push(to_hand_over(upgrade::PLATFORM, &listener)?);
        let limits = EngineLimits {
            connect_timeout: duration(p.settings.limits.connect_timeout),
            probes: p.settings.limits.probes,
            idle: p.conn_idle.mul_f64(IDLE_SHARE),
            public_api: false,
        };
        let classes = p.classes.iter().cloned().zip(p.settings.classes.iter().map(|c| c.deadline));
        let come_back = platform::PlatformNames::come_back(&p.settings.limits);
        let names = platform::PlatformNames { classes: classes.collect(), tenants: p.tenants, come_back };
        let classes = p.settings.classes.clone();
        let calls = discovery::poll_schedule(&p.settings, p.seed);
        let pool = Pool::new(p.seed, p.settings, limits, slots.clone(), budget.clone());
        pools.push(pool.clone());
        let (from, to) = (pool.core.clone(), pool.core.clone());
        learned = RoutingStateTransfer {
            export: Rc::new(move || from.export_state()),
            import: Rc::new(move |bytes| to.import_state(bytes)),
        };
        let words = SettingsNames { zones: p.zones, kinds: p.kinds };
        // Without a place for them, orders are denied; all else works.
        let orders =
            p.ops.and_then(|_| OrderStore::open(&p.state).map_err(|e| log!("no place for orders: {e}")).ok());
        let rotation = Maintenance::new(words, pool.clock, pool.engine.clone(), pool.core.clone(), orders);
        let rotation = Rc::new(rotation);
        let address = watch::Sender::new(p.discovery);
        let watched = address.subscribe();
        reloads.push(Box::new(move || match config::platform(|name| std::env::var(name).ok()) {
            Ok(Some(new)) => move_discovery(&address, new.discovery),
            Ok(None) => {}
            Err(e) => log!("{e}; all stays as it was"),
        }));
        let known = EndpointList::deserialize(&p.known).ok();
        if let Some(known) = &known {
            rotation.apply_list(known, ListUpdate::Cached);
        }
        // A second process asks for the whole list, which is answered at once: what it was started with may be old.
        let from = known.map(|k| k.version).filter(|_| after.is_none());
        let told = Rc::new(Cell::new(false));
        let tally = Rc::new(DiscoveryMetrics::default());
        spawn_local(tell_counts(pool.clone(), tally.clone(), p.prices));
        spawn_local({
            let (rotation, told) = (rotation.clone(), told.clone());
            discovery::watch(watched, from, calls, tally, move |list, scope| {
                rotation.apply_list(list, scope);
                told.set(true);
            })
        });
        let ready: Rc<dyn Fn() -> bool> = Rc::new({
            let (core, shutdown) = (pool.core.clone(), shutdown.clone());
            // Of the gateway: yes also where another process has taken over.
            move || !shutdown.is_draining() && core.can_serve()
        });
        if let Some(at) = p.ops {
            let listener = listen(&at.to_string(), "ops", "operators'", None).await?;
            let (core, shutdown, open) = (pool.core.clone(), shutdown.clone(), open.clone());
            // Of the process, whether or not it sends its clients away.
            let ready = move || *open.borrow() && shutdown.phase() == Phase::Serving && core.can_serve();
            desk = Some((listener, Rc::new(ready), rotation.clone()));
            let (core, orders, began) = (pool.core.clone(), rotation.clone(), Instant::now());
            able = Rc::new(move || {
                orders.sync_orders();
                core.can_serve() && (told.get() || began.elapsed() > SILENT_DISCOVERY)
            });
            spawn_local(async move { rotation.watch_orders().await });
        }
        chat = Some(PlatformChat { names: names.classes.clone(), classes, pool: pool.clone() });
        let door = FrontListener {
            number: upgrade::PLATFORM,
            listener,
            inbox: Some(first_inbox),
            resume: Some(server::resume(&pool, &counters)),
            open: open.clone(),
        };
        let (entry, ending, counts) = (pool.request_service(&plugin), shutdown.clone(), counters.clone());
        let front = platform::Platform::new(names, budget.clone(), entry, ready, ending, counts);
        let cap = bounds.client_connections - seconds;
        spawn_local(server::serve(door, front, cap, shutdown.clone()));
    }

    if let Some((file, path)) = second {
        let listener = listen(&file.listen, "listen", "second", other).await?;
        listeners.push(to_hand_over(upgrade::SECOND, &listener)?);
        let second = InferencePools::new(&file, chat, &plugin, slots, budget, counters.clone())?;
        let own = second.pools();
        let door = FrontListener {
            number: upgrade::SECOND,
            listener,
            inbox: Some(other_inbox),
            // Whichever pool a stream began in: reading on needs none of its servers' names.
            resume: own.first().or(pools.first()).map(|pool| server::resume(pool, &counters)),
            open: open.clone(),
        };
        pools.extend(own);
        spawn_local(server::serve(door, second.front.clone(), seconds, shutdown.clone()));
        reloads.push(Box::new(move || match config::front(&path) {
            Ok(file) => second.reload(&file),
            Err(e) => log!("{e}; the servers stay as they were"),
        }));
    }

    let member = member.map(|member| fleet::start(member, after.is_some(), &shutdown)).transpose();
    let member = member.map_err(|e| told(&e))?;
    if let Some(member) = member.clone() {
        reloads.push(Box::new(move || member.reload()));
    }
    if let Some((listener, ready, rotation)) = desk {
        let (pools, shutdown, fleet) = (pools.clone(), shutdown.clone(), member.clone());
        let desk = AdminContext { ready, counters, pools, rotation, shutdown, fleet };
        // Operators are answered until the process ends.
        spawn_local(server::serve(listener, AdminFront::new(desk), bounds.operators, Shutdown::default()));
    }

    if let Some(state) = state {
        let shutdown = shutdown.clone();
        spawn_local(async move {
            if let Some((link, half)) = after {
                while !able() {
                    sleep(SETTLE).await;
                }
                opener.send_replace(true);
                spawn_local(upgrade::serve_as_successor(
                    link,
                    inboxes.clone(),
                    learned.clone(),
                    shutdown.clone(),
                    half,
                ));
            }
            upgrade::serve_as_predecessor(state, listeners, inboxes, learned, shutdown, shared).await;
        });
    } else {
        // Copies would keep the sockets listening after the fronts have ended to accept.
        drop(listeners);
    }

    // Also while the process ends, when it changes nothing that matters any more.
    spawn_local(async move {
        while signals.reload.recv().await.is_some() {
            log!("told to read the configuration anew");
            reloads.iter().for_each(|reload| reload());
        }
    });
    signals.end.recv().await;
    if let Some(last) = last_answer {
        let pools = pools.clone();
        spawn_local(async move {
            sleep(last).await;
            pools.iter().for_each(|p| p.core.answer_pending());
        });
    }
    leave(&shutdown, &pools, shutdown::stream_handover_delay(kill)).await;
    // Last: until here it serves, and the others must count on it.
    if let Some(member) = member {
        member.leave();
    }
    Ok(())
}

/// Logs what this process has asked of servers and of discovery, whenever more has come.
async fn tell_counts(pool: Pool, tally: Rc<DiscoveryMetrics>, prices: Prices) {
    let since = pool.clock.unix(pool.clock.now()).round();
    let mut told = Counts::default();
    loop {
        sleep(TELL_COUNTS).await;
        let (lists, list_lines, lists_failed) = (tally.answered.get(), tally.lines.get(), tally.failed.get());
        let now = Counts { since, lists, list_lines, lists_failed, prices, ..pool.engine.counts() };
        if now != told {
            log!("{}{now}", counts::WORD);
            told = now;
        }
    }
}

/// Of a new configuration, discovery's address takes effect at once; the rest holds from the next start on.
fn move_discovery(address: &watch::Sender<String>, to: String) {
    address.send_if_modified(|at| std::mem::replace(at, to.clone()) != to);
}

struct Signals {
    end: tokio::signal::unix::Signal,
    reload: tokio::signal::unix::Signal,
}

impl Signals {
    fn new() -> Result<Self, String> {
        let on = |kind| signal(kind).map_err(|e| format!("cannot take signals: {e}"));
        Ok(Signals { end: on(SignalKind::terminate())?, reload: on(SignalKind::hangup())? })
    }
}

/// The planned end: still accepts for a while, finishes what was taken, lets go of what is held. Where another process serves,
/// streams under way go over to it after `last_words`.
pub async fn leave(shutdown: &Shutdown, pools: &[Pool], last_words: Duration) {
    log!("told to end");
    shutdown.enter(Phase::Draining);
    // Where another process has taken over, connections come to that one.
    match shutdown.has_successor() {
        true => {
            let (shutdown, pools) = (shutdown.clone(), pools.to_vec());
            spawn_local(async move {
                sleep(last_words).await;
                if shutdown.has_successor() {
                    pools.iter().for_each(|p| p.engine.hand_over_streams());
                }
            });
        }
        false => sleep(LEAVING).await,
    }
    shutdown.enter(Phase::Closing);
    // Accepting ends with what the machine had taken; those connections are counted by then.
    sleep(SETTLE).await;
    shutdown.drained().await;
    while pools.iter().any(|p| !p.core.is_idle()) {
        sleep(SETTLE).await;
    }
    pools.iter().for_each(|p| p.engine.close_idle());
    log!("ended");
}
