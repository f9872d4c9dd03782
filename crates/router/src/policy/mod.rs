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

use crate::recent_entries::{recent_entries, RecentEntries};
use crate::{
    api::*, log_limit::LogLimiter, server_list, shedding_trials::SheddingTrials, state::*,
    tenant_quota::TenantQuotas,
};

/// Housekeeping period (ms).
const TICK: Millis = 100.0;
const TICK_KEY: u64 = 1 << 52;
/// How often each beginning is asked for, and each reader sent to, is remembered for so long (ms).
const REQUEST_RATE_DECAY: Millis = 40_000.0;

/// The decisions of one dispatcher.
pub struct Router {
    settings: Settings,
    pub(crate) now: Millis,
    random: Random,
    pub(crate) started_at: Option<Millis>,
    servers: server_list::ServerMap,
    requests: BTreeMap<RequestId, RequestState>,
    pub(crate) affinity_table: RecentEntries<AffinityKey, ServerId>,
    /// How often each beginning is asked for, and all requests together (`None`).
    request_rates: RecentEntries<Option<u64>, f64>,
    pub(crate) statistics: RoutingStatistics,
    retry_budget: f64,
    /// Probes earned and not yet sent.
    probe_budget: f64,
    tenant_quotas: TenantQuotas,
    shedding_trials: SheddingTrials,
    log_limiter: LogLimiter,
    resubscribe_at: Option<Millis>,
    tick_due: Option<Millis>,
}

impl Router {
    pub fn new(seed: u64, settings: Settings) -> Self {
        Router {
            settings,
            now: 0.0,
            random: Random::new(seed),
            started_at: None,
            servers: BTreeMap::new(),
            requests: BTreeMap::new(),
            affinity_table: recent_entries(prefix_table::CAPACITY),
            request_rates: recent_entries(prefix_table::CAPACITY),
            statistics: RoutingStatistics::default(),
            retry_budget: retries::MAX_RETRY_BUDGET,
            probe_budget: 0.0,
            tenant_quotas: TenantQuotas::default(),
            shedding_trials: SheddingTrials::default(),
            log_limiter: LogLimiter::default(),
            resubscribe_at: None,
            tick_due: None,
        }
    }

    /// Takes in one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.now = if now.is_finite() { now.max(self.now) } else { self.now };
        self.initialize(out);
        match event {
            Event::ServerList { update: scope, servers: members } => self.on_server_list(scope, members),
            Event::Request(ask) => self.on_request(ask, out),
            Event::Timer { key: TICK_KEY } => self.on_tick(out),
            Event::Timer { key } => self.on_timer(key, out),
            Event::ClientDisconnected { id } => self.finish(id, out),
            Event::FirstToken { id, attempt, elapsed, .. } => self.on_first_token(id, attempt, elapsed),
            Event::Outcome(outcome) => self.on_outcome(outcome, out),
            Event::ProbeResult { server, status, report, .. } => {
                self.on_probe_result(server, status, report, out)
            }
            Event::SlotReservation { .. } | Event::Gossip { .. } => {}
        }
    }

    /// Whether this server is known and yet gets nothing new at present.
    pub fn is_avoided(&self, id: ServerId) -> bool {
        self.servers.get(&id).is_some_and(|s| !s.is_available(self.now))
    }

    fn initialize(&mut self, out: &mut Vec<Action>) {
        if self.started_at.is_none() {
            self.started_at = Some(self.now);
            let granted = |t: &Tenant| sanitize(t.allowance_per_s) / self.router_count();
            self.tenant_quotas = TenantQuotas::new(self.settings.tenants.iter().map(granted), self.now);
            if self.settings.discovery == Discovery::Subscribe {
                out.push(Action::Subscribe { on: true });
            }
        }
        // A tick that never came back (a lost timer) must not stop housekeeping for good.
        if self.tick_due.is_none_or(|due| self.now > due + 10.0 * TICK) {
            self.schedule_tick(out);
        }
    }

    fn router_count(&self) -> f64 {
        f64::from(self.settings.router_count.max(1))
    }

    fn schedule_tick(&mut self, out: &mut Vec<Action>) {
        self.tick_due = Some(self.now + TICK);
        out.push(Action::Timer { at: self.now + TICK, key: TICK_KEY, request: None });
    }

    fn on_server_list(&mut self, scope: ListUpdate, members: Vec<ServerEntry>) {
        if scope == ListUpdate::Failed {
            // Ask again after a pause; the old list still holds.
            self.resubscribe_at =
                Some(self.now + (self.settings.rules.discovery_poll_limit / 4.0).clamp(TICK, 5_000.0));
            return;
        }
        server_list::apply_update(
            &mut self.servers,
            scope,
            members,
            &self.settings.kinds,
            &mut self.random,
            self.now,
        );
    }

    fn on_tick(&mut self, out: &mut Vec<Action>) {
        self.schedule_tick(out);
        self.detect_timeouts(out);
        if self.resubscribe_at.is_some_and(|at| self.now >= at) {
            self.resubscribe_at = None;
            out.push(Action::Subscribe { on: true });
        }
        self.probe_quiet_servers(out);
    }
}
