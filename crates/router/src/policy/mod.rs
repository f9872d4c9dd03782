//! Routing policy: which server a request goes to, whether it is retried, and when it is rejected.
//!
//! [`Router`] owns all state; each module adds one concern to it. The caller owns the clock and carries the
//! actions out. On the usual path the prefix table, or else a consistent hash, names the prefill server
//! (`affinity`); an overloaded one is passed over (`diversion`, or `probes` in a large fleet); and the state
//! goes to the decode server with the least projected memory (`decode_placement`).

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

/// Housekeeping period (ms).
const HOUSEKEEPING_INTERVAL: Millis = 100.0;
/// A housekeeping timer that is late by this much is taken for lost (ms).
const HOUSEKEEPING_LOST_AFTER: Millis = 10.0 * HOUSEKEEPING_INTERVAL;
/// Longest pause before the router subscribes again after a failure of discovery (ms).
const MAX_RESUBSCRIBE_PAUSE: Millis = 5_000.0;

/// The routing decisions of one gateway. It does no I/O and reads no clock: events come in, actions go out.
///
/// The same seed, settings and events always give the same actions.
pub struct Router {
    settings: Settings,
    /// Time of the last event. It never goes back.
    pub(crate) now: Millis,
    random: Random,
    /// Time of the first event, or the age that was imported.
    pub(crate) started_at: Option<Millis>,
    servers: ServerMap,
    requests: BTreeMap<RequestId, RequestState>,
    /// Prefix table: where the prefix cache of a session or a shared prefix is.
    pub(crate) affinity_table: RecentEntries<AffinityKey, AffinityEntry>,
    /// Requests of late by hash key, and of all keys together (`None`), in usual requests.
    request_rates: RecentEntries<Option<u64>, DecayingValue>,
    pub(crate) statistics: RoutingStatistics,
    /// Retries that may still be paid for.
    retry_budget: f64,
    /// Probes that have been earned and not sent.
    probe_budget: f64,
    tenant_quotas: TenantQuotas,
    shedding_trials: SheddingTrials,
    log_limiter: LogLimiter,
    /// When to subscribe to the server list again, after a failure of discovery.
    resubscribe_at: Option<Millis>,
    /// When the housekeeping timer is due.
    tick_due: Option<Millis>,
}

impl Router {
    /// A router that knows no server yet. `seed` determines its random draws; routers of one fleet should
    /// differ in it.
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

    /// Processes one event and appends what is to be done about it to `actions`.
    ///
    /// A `now` that is earlier than that of the event before, or not finite, counts as the same time.
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

    /// Whether this server is known and yet gets no new requests at present: ejected, draining or terminated.
    pub fn is_avoided(&self, id: ServerId) -> bool {
        self.servers.get(&id).is_some_and(|server| !server.is_available(self.now))
    }

    /// Completes the start at the first event, and keeps housekeeping going.
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
        // A timer that was lost must not stop housekeeping for good.
        if self.tick_due.is_none_or(|due| self.now > due + HOUSEKEEPING_LOST_AFTER) {
            self.schedule_tick(actions);
        }
    }

    /// Number of routers that share the servers, at least 1.
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

    /// Takes in a server list, or subscribes again after a pause when discovery failed.
    fn on_server_list(&mut self, update: ListUpdate, entries: Vec<ServerEntry>) {
        if update == ListUpdate::Failed {
            // The previous list stands until then.
            let pause = self.settings.rules.discovery_poll_limit / 4.0;
            self.resubscribe_at = Some(self.now + pause.clamp(HOUSEKEEPING_INTERVAL, MAX_RESUBSCRIBE_PAUSE));
            return;
        }
        let kinds = &self.settings.kinds;
        server_list::apply_update(&mut self.servers, update, entries, kinds, &mut self.random, self.now);
    }

    /// Housekeeping: time-out detection, a due subscription, and probes of quiet servers.
    fn on_tick(&mut self, actions: &mut Vec<Action>) {
        self.schedule_tick(actions);
        self.detect_timeouts(actions);
        if self.resubscribe_at.is_some_and(|due| self.now >= due) {
            self.resubscribe_at = None;
            actions.push(Action::Subscribe { on: true });
        }
        self.probe_quiet_servers(actions);
    }
}
