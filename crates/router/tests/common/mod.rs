//! Helpers of the tests: settings, servers and requests with sensible defaults, and a router to script events
//! for.
#![allow(dead_code)]

use glenrail_router::*;

/// Indices of the kinds in [`settings`].
pub const PREFILL: u32 = 0;
pub const DECODE: u32 = 1;
pub const MIXED: u32 = 2;
/// Indices of the classes in [`settings`].
pub const IDEMPOTENT: u32 = 0;
pub const IDEMPOTENCY_KEY: u32 = 1;
pub const NON_IDEMPOTENT: u32 = 2;
/// Servers of [`sample_servers`]: one of each role in a zone and cell of its own.
pub const PREFILL_SERVERS: [u64; 3] = [11, 12, 13];
pub const DECODE_SERVERS: [u64; 3] = [21, 22, 23];

/// Settings of one of two routers that may probe.
pub fn settings() -> Settings {
    let class = RequestClass {
        latency_objective: 1_000.0,
        latency_objective_per_1000_tokens: 60.0,
        deadline: 4_000.0,
        inter_token_objective: 50.0,
        priority_weight: 1.0,
        late_priority_weight: 0.1,
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::All,
        idempotency_window: 2_000.0,
    };
    Settings {
        router_index: 0,
        router_count: 2,
        zone: 0,
        tick_interval: 1.0,
        kinds: vec![
            ServerKind { role: Role::Prefill, memory_tokens: 200_000.0 },
            ServerKind { role: Role::Decode, memory_tokens: 100_000.0 },
            ServerKind { role: Role::Mixed, memory_tokens: 200_000.0 },
        ],
        classes: vec![
            class.clone(),
            RequestClass {
                idempotency: Idempotency::IdempotencyKey,
                deduplication_scope: DeduplicationScope::Zone,
                ..class.clone()
            },
            RequestClass { idempotency: Idempotency::NonIdempotent, ..class },
        ],
        tenants: vec![],
        limits: Limits {
            max_attempts: 6,
            max_retry_after: 1_000.0,
            connect_timeout: 250.0,
            probes: true,
            cancellation: true,
            hedging: true,
            retry_after: true,
            gossip: false,
            slot_reservation: false,
        },
        rules: Rules {
            answer_grace: 8.0,
            drain_grace: 500.0,
            lease_limit: 500.0,
            slow_start_window: 10_000.0,
            slow_start_initial_share: 0.3,
            overload_window: 2_000.0,
            overload_multiple: 3.0,
            discovery_poll_limit: 10_000.0,
        },
        discovery: Discovery::Push,
        over_quota_priority_weight: 0.1,
        prices: Prices { probe: 0.003, cell_transfer: 0.03 },
        stream_resumption: false,
        decode_servers_prefill: false,
    }
}

/// A ready server of this kind, in the cell of its zone that has the zone's number.
pub fn server_entry(id: u64, kind: u32, zone: u32) -> ServerEntry {
    ServerEntry { server: ServerId(id), zone, cell: zone, kind, weight: 1.0, ..ServerEntry::default() }
}

/// Three prefill servers and three decode servers, one of each in a zone and cell of its own.
pub fn sample_servers() -> Vec<ServerEntry> {
    let prefill = PREFILL_SERVERS.iter().zip(0..).map(|(id, zone)| server_entry(*id, PREFILL, zone));
    let decode = DECODE_SERVERS.iter().zip(0..).map(|(id, zone)| server_entry(*id, DECODE, zone));
    prefill.chain(decode).collect()
}

/// A request of its own session, whose prefix is that of all other sample requests.
pub fn sample_request(id: u64) -> Request {
    Request {
        id: RequestId(id),
        session: 1_000 + id,
        prefix: Some(7),
        prompt_tokens: 2_000.0,
        prefix_tokens: 1_500.0,
        max_tokens: 200.0,
        client_timeout: 4_000.0,
        ..Request::default()
    }
}

/// A sample request with this prefix.
pub fn request_with_prefix(id: u64, prefix: u64) -> Request {
    Request { prefix: Some(prefix), ..sample_request(id) }
}

/// An attempt of a request in flight.
#[derive(Clone, Copy)]
pub struct SentAttempt {
    pub id: u64,
    pub attempt: u32,
    pub server: u64,
}

/// The end of an attempt that found nothing cached and came without a load report.
pub fn attempt_outcome(
    id: u64, attempt: u32, server: u64, status: AttemptStatus, elapsed: Millis,
) -> AttemptOutcome {
    AttemptOutcome {
        id: RequestId(id),
        attempt,
        server: ServerId(server),
        status,
        elapsed,
        note: 0.0,
        closed: status == AttemptStatus::Served,
        delivered: status.may_have_arrived(),
        report: None,
    }
}

/// Key of the timer that gives a request its next step.
pub fn step_timer(id: u64) -> u64 {
    id << 1 | 1
}

/// Key of the timer at a request's deadline.
pub fn deadline_timer(id: u64) -> u64 {
    id << 1
}

/// Key of the housekeeping timer.
pub const HOUSEKEEPING_TIMER: u64 = 1 << 52;

/// A router and the time at which it gets its next event.
pub struct TestRouter {
    pub inner: Router,
    pub now: Millis,
}

impl TestRouter {
    pub fn new(settings: Settings, servers: Vec<ServerEntry>) -> Self {
        TestRouter::seeded(3, settings, servers)
    }

    /// A router whose random draws come from this seed.
    pub fn seeded(seed: u64, settings: Settings, servers: Vec<ServerEntry>) -> Self {
        let mut router = TestRouter { inner: Router::new(seed, settings), now: 0.0 };
        router.update_servers(ListUpdate::Full, servers);
        router
    }

    /// A router with the sample settings and servers.
    pub fn with_defaults() -> Self {
        TestRouter::new(settings(), sample_servers())
    }

    /// One router of two hundred, with the sample servers.
    pub fn in_large_fleet() -> Self {
        TestRouter::new(Settings { router_count: 200, ..settings() }, sample_servers())
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.inner.handle(self.now, event, &mut actions);
        actions
    }

    /// Sets the time.
    pub fn at_time(&mut self, now: Millis) -> &mut Self {
        self.now = now;
        self
    }

    pub fn update_servers(&mut self, update: ListUpdate, servers: Vec<ServerEntry>) -> Vec<Action> {
        self.handle(Event::ServerList { update, servers })
    }

    pub fn submit(&mut self, request: Request) -> Vec<Action> {
        self.handle(Event::Request(request))
    }

    pub fn disconnect(&mut self, id: u64) -> Vec<Action> {
        self.handle(Event::ClientDisconnected { id: RequestId(id) })
    }

    pub fn first_token(&mut self, id: u64, attempt: u32, server: u64, elapsed: Millis) -> Vec<Action> {
        self.handle(Event::FirstToken { id: RequestId(id), attempt, server: ServerId(server), elapsed })
    }

    pub fn outcome(&mut self, id: u64, attempt: u32, server: u64, status: AttemptStatus) -> Vec<Action> {
        self.outcome_with(id, attempt, server, status, 0.0, None)
    }

    pub fn outcome_with(
        &mut self, id: u64, attempt: u32, server: u64, status: AttemptStatus, note: f64,
        memory_share: Option<f64>,
    ) -> Vec<Action> {
        let report = memory_share
            .map(|memory_share| LoadReport { memory_share: Some(memory_share), ..LoadReport::default() });
        let outcome = attempt_outcome(id, attempt, server, status, 50.0);
        self.handle(Event::Outcome(AttemptOutcome { note, report, ..outcome }))
    }

    /// The end of a prefill after `elapsed`, with nothing cached.
    pub fn prefilled_after(&mut self, id: u64, server: u64, elapsed: Millis) -> Vec<Action> {
        self.handle(Event::Outcome(attempt_outcome(id, 0, server, AttemptStatus::Prefilled, elapsed)))
    }

    pub fn fire_timer(&mut self, key: u64) -> Vec<Action> {
        self.handle(Event::Timer { key })
    }

    pub fn run_housekeeping(&mut self) -> Vec<Action> {
        self.fire_timer(HOUSEKEEPING_TIMER)
    }

    /// The answer of a server to a probe.
    pub fn probe_answer(&mut self, server: u64, report: Option<LoadReport>) -> Vec<Action> {
        let (server, status) = (ServerId(server), AttemptStatus::Served);
        self.handle(Event::ProbeResult { server, status, elapsed: 1.0, report })
    }

    /// A server's report of its memory, as the answer to a probe.
    pub fn report_memory(&mut self, server: u64, memory_share: f64) {
        let report = LoadReport { memory_share: Some(memory_share), ..LoadReport::default() };
        self.probe_answer(server, Some(report));
    }

    /// A server's report of what it has in flight, as the answer to a probe.
    pub fn report_load(&mut self, server: u64, in_flight: f64) -> Vec<Action> {
        let report = LoadReport { in_flight: Some(in_flight), ..LoadReport::default() };
        self.probe_answer(server, Some(report))
    }

    /// Submits a request in a fleet in which every server that is probed reports at once that it is idle.
    pub fn submit_to_idle(&mut self, request: Request) -> Vec<Action> {
        let actions = self.submit(request);
        self.answer_probes_as_idle(actions)
    }

    /// All that follows on these actions when each server that is probed reports at once that it is idle.
    pub fn answer_probes_as_idle(&mut self, actions: Vec<Action>) -> Vec<Action> {
        self.answer_probes_with_load(actions, 0.0)
    }

    /// All that follows on these actions when each server that is probed reports this load at once.
    pub fn answer_probes_with_load(&mut self, mut actions: Vec<Action>, in_flight: f64) -> Vec<Action> {
        let mut answered = 0;
        while let Some(server) = probed_servers(&actions).get(answered).copied() {
            answered += 1;
            actions.extend(self.report_load(server, in_flight));
        }
        actions
    }

    /// Submits a request to an idle fleet and returns the prefill server that it is sent to.
    pub fn prefill_server_for(&mut self, request: Request) -> u64 {
        sent_to(&self.submit_to_idle(request)).expect("a send")
    }

    /// Requests with other prefixes than the sample's, so that none is popular.
    pub fn send_mixed_traffic(&mut self) {
        for id in 100_000..100_030 {
            let server = self.prefill_server_for(request_with_prefix(id, id));
            self.disconnect(id);
            self.outcome(id, 0, server, AttemptStatus::Cancelled);
        }
    }

    /// Ends a prefill, and returns the decode server that the state is sent to.
    pub fn decode_server_after(&mut self, id: u64, prefill_server: u64) -> u64 {
        let actions = self.outcome(id, 0, prefill_server, AttemptStatus::Prefilled);
        sent_to(&actions).expect("a decode server")
    }
}

/// The server of the first send among these actions.
pub fn sent_to(actions: &[Action]) -> Option<u64> {
    actions.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(server.0),
        _ => None,
    })
}

/// The servers probed by these actions, in order.
pub fn probed_servers(actions: &[Action]) -> Vec<u64> {
    let probed = |action: &Action| match action {
        Action::Probe { server } => Some(server.0),
        _ => None,
    };
    actions.iter().filter_map(probed).collect()
}

pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { .. }))
}

pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { .. }))
}

pub fn is_released(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Release { .. }))
}

/// Whether a line of this kind is logged.
pub fn logs(actions: &[Action], kind: &str) -> bool {
    actions.iter().any(|action| matches!(action, Action::Log(line) if line.starts_with(kind)))
}

/// Due times and keys of the timers set, in order.
pub fn timers_set(actions: &[Action]) -> Vec<(Millis, u64)> {
    let timer = |action: &Action| match action {
        Action::Timer { at, key, .. } => Some((*at, *key)),
        _ => None,
    };
    actions.iter().filter_map(timer).collect()
}
