//! Every decision of the router: which server, whether to try again, what is turned away; one file a concern.
//! The interface (ids, settings, events, actions) is in `api.rs`.
//!
//! Ordinary path: session, else shared beginning, else consistent hash gives the reader; twice the median in
//! flight sends a request elsewhere; the read state goes to the writer with the lowest projected memory.

mod affinity;
mod decode_placement;
mod diversion;
mod load_shedding;
mod outlier_detection;
mod prefix_table;
mod probes;
mod request_steps;
mod retries;
mod slow_start;
mod state_leases;
mod timeout_detection;

use std::collections::BTreeMap;

use crate::recent_entries::{newest, Newest};
use crate::{api::*, log_limit::Log, server_list, shedding_trials::Trials, state::*, tenant_quota::Shares};

/// Housekeeping period (ms).
const TICK: Millis = 100.0;
const TICK_KEY: u64 = 1 << 52;
/// How often each beginning is asked for, and each reader sent to, is remembered for so long (ms).
const ASKED_MEMORY: Millis = 40_000.0;

/// The decisions of one dispatcher.
pub struct Router {
    settings: Settings,
    pub(crate) now: Millis,
    random: Random,
    pub(crate) started: Option<Millis>,
    servers: server_list::Servers,
    jobs: BTreeMap<RequestId, Job>,
    pub(crate) table: Newest<Key, ServerId>,
    /// How often each beginning is asked for, and all requests together (`None`).
    asked: Newest<Option<u64>, f64>,
    pub(crate) learned: Learned,
    retries: f64,
    /// Probes earned and not yet sent.
    probes: f64,
    shares: Shares,
    trials: Trials,
    log: Log,
    ask_list_at: Option<Millis>,
    tick_due: Option<Millis>,
}

impl Router {
    pub fn new(seed: u64, settings: Settings) -> Self {
        Router {
            settings,
            now: 0.0,
            random: Random::new(seed),
            started: None,
            servers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            table: newest(prefix_table::CAP),
            asked: newest(prefix_table::CAP),
            learned: Learned::default(),
            retries: retries::RETRY_SAVED,
            probes: 0.0,
            shares: Shares::default(),
            trials: Trials::default(),
            log: Log::default(),
            ask_list_at: None,
            tick_due: None,
        }
    }

    /// Takes in one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.now = if now.is_finite() { now.max(self.now) } else { self.now };
        self.start(out);
        match event {
            Event::ServerList { update: scope, servers: members } => self.on_members(scope, members),
            Event::Request(ask) => self.on_request(ask, out),
            Event::Timer { key: TICK_KEY } => self.on_tick(out),
            Event::Timer { key } => self.on_timer(key, out),
            Event::ClientDisconnected { id } => self.settle(id, out),
            Event::FirstToken { id, attempt, elapsed, .. } => self.on_first(id, attempt, elapsed),
            Event::Outcome(outcome) => self.on_outcome(outcome, out),
            Event::ProbeResult { server, status, report, .. } => self.on_probed(server, status, report, out),
            Event::SlotReservation { .. } | Event::Gossip { .. } => {}
        }
    }

    /// Whether this server is known and yet gets nothing new at present.
    pub fn is_avoided(&self, id: ServerId) -> bool {
        self.servers.get(&id).is_some_and(|s| !s.well(self.now))
    }

    fn start(&mut self, out: &mut Vec<Action>) {
        if self.started.is_none() {
            self.started = Some(self.now);
            let granted = |t: &Tenant| sane(t.allowance_per_s) / self.routers();
            self.shares = Shares::new(self.settings.tenants.iter().map(granted), self.now);
            if self.settings.discovery == Discovery::Subscribe {
                out.push(Action::Subscribe { on: true });
            }
        }
        // A tick that never came back (a lost timer) must not stop housekeeping for good.
        if self.tick_due.is_none_or(|due| self.now > due + 10.0 * TICK) {
            self.set_tick(out);
        }
    }

    fn routers(&self) -> f64 {
        f64::from(self.settings.router_count.max(1))
    }

    fn set_tick(&mut self, out: &mut Vec<Action>) {
        self.tick_due = Some(self.now + TICK);
        out.push(Action::Timer { at: self.now + TICK, key: TICK_KEY, request: None });
    }

    fn on_members(&mut self, scope: ListUpdate, members: Vec<ServerEntry>) {
        if scope == ListUpdate::Failed {
            // Ask again after a pause; the old list still holds.
            self.ask_list_at =
                Some(self.now + (self.settings.rules.discovery_poll_limit / 4.0).clamp(TICK, 5_000.0));
            return;
        }
        server_list::take(
            &mut self.servers,
            scope,
            members,
            &self.settings.kinds,
            &mut self.random,
            self.now,
        );
    }

    fn on_tick(&mut self, out: &mut Vec<Action>) {
        self.set_tick(out);
        self.check_silence(out);
        if self.ask_list_at.is_some_and(|at| self.now >= at) {
            self.ask_list_at = None;
            out.push(Action::Subscribe { on: true });
        }
        self.probe(out);
    }
}
