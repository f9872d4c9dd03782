//! Routing policy: selects the servers of a request and decides whether to retry or reject it.
//!
//! [`Router`] owns all state, and each module implements one part of the policy. The caller owns the clock
//! and executes the actions. In the normal case the prefix table, or else a consistent hash, determines the
//! prefill server (`affinity`). An overloaded prefill server is skipped (`diversion`, or `probes` in a large
//! fleet). After the prefill, the decode server with the lowest projected memory use, or one nearly as low
//! near the prefill server, fetches the state (`decode_placement`).

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
mod timer_key;

use std::collections::BTreeMap;

use self::timer_key::TimerKey;
use crate::api::{Action, Discovery, Event, ListUpdate, Millis, RequestId, ServerEntry, ServerId, Settings};
use crate::log_limit::LogLimiter;
use crate::recent_entries::{recent_entries, RecentEntries};
use crate::server_list::{self, ServerMap};
use crate::shedding_trials::SheddingTrials;
use crate::state::{
    sanitize, AffinityEntry, AffinityKey, DecayingValue, Random, RequestState, RoutingStatistics,
};
use crate::tenant_quota::TenantQuotas;

/// Interval of housekeeping (ms).
const HOUSEKEEPING_INTERVAL: Millis = 100.0;
/// Time past its due time after which a housekeeping timer is considered lost (ms).
const HOUSEKEEPING_LOST_AFTER: Millis = 10.0 * HOUSEKEEPING_INTERVAL;
/// Maximum delay before the router subscribes again after a failure of discovery (ms).
const MAX_RESUBSCRIBE_PAUSE: Millis = 5_000.0;

/// Routing state of one gateway. It performs no I/O and reads no clock: it turns events into actions.
///
/// The same seed, settings and events always produce the same actions.
pub struct Router {
    settings: Settings,
    /// Time of the last event; never decreases.
    pub(crate) now: Millis,
    random: Random,
    /// Time of the first event; after an import, the import time minus the age of the exporting router.
    pub(crate) started_at: Option<Millis>,
    servers: ServerMap,
    requests: BTreeMap<RequestId, RequestState>,
    /// Prefix table: maps each session and shared prefix to the server that probably has it cached.
    pub(crate) affinity_table: RecentEntries<AffinityKey, AffinityEntry>,
    /// Decaying number of recent requests for each hash key, and for all keys together (`None`). Each request
    /// is weighted by its prompt length relative to the mean.
    request_rates: RecentEntries<Option<u64>, DecayingValue>,
    pub(crate) statistics: RoutingStatistics,
    /// Retry budget: each request adds to it, and each retry deducts its cost, which is from 0 to 1.
    retry_budget: f64,
    /// Number of probes that may still be sent; each request adds to it.
    probe_budget: f64,
    tenant_quotas: TenantQuotas,
    shedding_trials: SheddingTrials,
    log_limiter: LogLimiter,
    /// Time of the next subscription after a failure of discovery; `None` if none is scheduled.
    resubscribe_at: Option<Millis>,
    /// Due time of the housekeeping timer; `None` before the first event.
    tick_due: Option<Millis>,
}

impl Router {
    /// Creates a router with an empty server list. `seed` initializes its random numbers and should differ
    /// among the routers of a fleet.
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

    /// Processes one event and appends the resulting actions to `actions`.
    ///
    /// If `now` is earlier than the time of the previous event, or not finite, the previous time is used.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.now = if now.is_finite() { now.max(self.now) } else { self.now };
        self.initialize(actions);
        match event {
            Event::ServerList { update, servers } => self.on_server_list(update, servers),
            Event::Request(request) => self.on_request(request, actions),
            Event::Timer { key } => self.on_timer(TimerKey::decode(key), actions),
            Event::ClientDisconnected { id } => self.finish(id, actions),
            Event::FirstToken { id, attempt, elapsed, .. } => self.on_first_token(id, attempt, elapsed),
            Event::Outcome(outcome) => self.on_outcome(outcome, actions),
            Event::ProbeResult { server, status, report, .. } => {
                self.on_probe_result(server, status, report, actions);
            }
            Event::SlotReservation { .. } | Event::Gossip { .. } => {}
        }
    }

    /// Returns whether this server is listed but ejected or draining. A draining server receives no new
    /// requests; an ejected one receives them only while the panic threshold overrides ejections.
    pub fn is_out_of_rotation(&self, id: ServerId) -> bool {
        self.servers.get(&id).is_some_and(|server| !server.is_available(self.now))
    }

    /// Completes initialization at the first event, and schedules housekeeping again if its timer was lost.
    fn initialize(&mut self, actions: &mut Vec<Action>) {
        if self.started_at.is_none() {
            self.started_at = Some(self.now);
            let routers = self.router_count();
            let rates = self.settings.tenants.iter().map(|tenant| sanitize(tenant.allowance_per_s) / routers);
            self.tenant_quotas = TenantQuotas::new(rates, self.now);
            if self.settings.discovery == Discovery::Subscribe {
                actions.push(Action::Subscribe { on: true });
            }
        }
        // A lost timer must not stop housekeeping permanently.
        if self.tick_due.is_none_or(|due| self.now > due + HOUSEKEEPING_LOST_AFTER) {
            self.schedule_tick(actions);
        }
    }

    /// Returns the number of routers that share the servers, at least 1.
    fn router_count(&self) -> f64 {
        f64::from(self.settings.router_count.max(1))
    }

    fn schedule_tick(&mut self, actions: &mut Vec<Action>) {
        let due = self.now + HOUSEKEEPING_INTERVAL;
        self.tick_due = Some(due);
        actions.push(TimerKey::Housekeeping.set(due));
    }

    fn on_timer(&mut self, key: TimerKey, actions: &mut Vec<Action>) {
        match key {
            TimerKey::Housekeeping => self.on_tick(actions),
            TimerKey::Deadline(id) => self.on_deadline(id, actions),
            TimerKey::NextStep(id) => self.on_step_timer(id, actions),
        }
    }

    /// Applies a server list, or schedules a new subscription if discovery failed.
    fn on_server_list(&mut self, update: ListUpdate, entries: Vec<ServerEntry>) {
        if update == ListUpdate::Failed {
            // The previous list remains in use until discovery delivers a new one.
            let pause = self.settings.rules.discovery_poll_limit / 4.0;
            self.resubscribe_at = Some(self.now + pause.clamp(HOUSEKEEPING_INTERVAL, MAX_RESUBSCRIBE_PAUSE));
            return;
        }
        let kinds = &self.settings.kinds;
        server_list::apply_update(&mut self.servers, update, entries, kinds, &mut self.random, self.now);
    }

    /// Performs housekeeping: detects time-outs, sends a due subscription, and probes servers without a
    /// recent load report.
    fn on_tick(&mut self, actions: &mut Vec<Action>) {
        self.schedule_tick(actions);
        self.detect_timeouts(actions);
        if self.resubscribe_at.is_some_and(|due| self.now >= due) {
            self.resubscribe_at = None;
            actions.push(Action::Subscribe { on: true });
        }
        self.probe_stale_servers(actions);
    }
}
