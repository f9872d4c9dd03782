//! Test helpers: sample settings, servers and requests, and a router with shorthands for its events.
#![allow(dead_code)]

use glenrail_router::*;

/// Index of the prefill kind in [`settings`].
pub const PREFILL: u32 = 0;
/// Index of the decode kind in [`settings`].
pub const DECODE: u32 = 1;
/// Index of the mixed kind in [`settings`].
pub const MIXED: u32 = 2;
/// Index of the idempotent class in [`settings`].
pub const IDEMPOTENT: u32 = 0;
/// Index of the class with idempotency keys in [`settings`].
pub const IDEMPOTENCY_KEY: u32 = 1;
/// Index of the non-idempotent class in [`settings`].
pub const NON_IDEMPOTENT: u32 = 2;
/// Prefill servers of [`sample_servers`], each in a separate zone and cell.
pub const PREFILL_SERVERS: [u64; 3] = [11, 12, 13];
/// Decode servers of [`sample_servers`], each in a separate zone and cell.
pub const DECODE_SERVERS: [u64; 3] = [21, 22, 23];

/// Returns the settings of one of two routers that may probe.
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

/// Returns a ready server of this kind, in the cell whose index is that of its zone.
pub fn server_entry(id: u64, kind: u32, zone: u32) -> ServerEntry {
    ServerEntry { server: ServerId(id), zone, cell: zone, kind, weight: 1.0, ..ServerEntry::default() }
}

/// Returns three prefill servers and three decode servers. Each zone has one cell with one server of each
/// role.
pub fn sample_servers() -> Vec<ServerEntry> {
    let prefill = PREFILL_SERVERS.iter().zip(0..).map(|(id, zone)| server_entry(*id, PREFILL, zone));
    let decode = DECODE_SERVERS.iter().zip(0..).map(|(id, zone)| server_entry(*id, DECODE, zone));
    prefill.chain(decode).collect()
}

/// Returns a request with a session of its own and the prefix that all sample requests share.
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

/// Returns a sample request with this prefix.
pub fn request_with_prefix(id: u64, prefix: u64) -> Request {
    Request { prefix: Some(prefix), ..sample_request(id) }
}

/// Attempt of a request in flight.
#[derive(Clone, Copy)]
pub struct SentAttempt {
    pub id: u64,
    pub attempt: u32,
    pub server: u64,
}

/// Returns the outcome of an attempt with nothing cached and without a load report.
pub fn attempt_outcome(
    id: u64, attempt: u32, server: u64, status: AttemptStatus, elapsed: Millis,
) -> AttemptOutcome {
    AttemptOutcome {
        id: RequestId(id),
        attempt,
        server: ServerId(server),
        status,
        elapsed,
        status_detail: 0.0,
        closed: status == AttemptStatus::Served,
        delivered: status.may_have_arrived(),
        report: None,
    }
}

/// Returns the key of the timer for the next step of a request.
pub fn step_timer(id: u64) -> u64 {
    id << 1 | 1
}

/// Returns the key of the timer for the deadline of a request.
pub fn deadline_timer(id: u64) -> u64 {
    id << 1
}

/// Key of the housekeeping timer.
pub const HOUSEKEEPING_TIMER: u64 = 1 << 52;

/// Router, and the time of its next event.
pub struct TestRouter {
    pub inner: Router,
    pub now: Millis,
}

impl TestRouter {
    pub fn new(settings: Settings, servers: Vec<ServerEntry>) -> Self {
        TestRouter::seeded(3, settings, servers)
    }

    /// Creates a router with this random seed.
    pub fn seeded(seed: u64, settings: Settings, servers: Vec<ServerEntry>) -> Self {
        let mut router = TestRouter { inner: Router::new(seed, settings), now: 0.0 };
        router.update_servers(ListUpdate::Full, servers);
        router
    }

    /// Creates a router with the sample settings and servers.
    pub fn with_defaults() -> Self {
        TestRouter::new(settings(), sample_servers())
    }

    /// Creates one of 200 routers, with the sample servers.
    pub fn in_large_fleet() -> Self {
        TestRouter::new(Settings { router_count: 200, ..settings() }, sample_servers())
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.inner.handle(self.now, event, &mut actions);
        actions
    }

    /// Sets the time of the next event.
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
        &mut self, id: u64, attempt: u32, server: u64, status: AttemptStatus, status_detail: f64,
        memory_share: Option<f64>,
    ) -> Vec<Action> {
        let report = memory_share
            .map(|memory_share| LoadReport { memory_share: Some(memory_share), ..LoadReport::default() });
        let outcome = attempt_outcome(id, attempt, server, status, 50.0);
        self.handle(Event::Outcome(AttemptOutcome { status_detail, report, ..outcome }))
    }

    /// Reports the end of a prefill after `elapsed`, with nothing cached.
    pub fn prefilled_after(&mut self, id: u64, server: u64, elapsed: Millis) -> Vec<Action> {
        self.handle(Event::Outcome(attempt_outcome(id, 0, server, AttemptStatus::Prefilled, elapsed)))
    }

    pub fn fire_timer(&mut self, key: u64) -> Vec<Action> {
        self.handle(Event::Timer { key })
    }

    pub fn run_housekeeping(&mut self) -> Vec<Action> {
        self.fire_timer(HOUSEKEEPING_TIMER)
    }

    /// Reports the answer of a server to a probe.
    pub fn probe_answer(&mut self, server: u64, report: Option<LoadReport>) -> Vec<Action> {
        let (server, status) = (ServerId(server), AttemptStatus::Served);
        self.handle(Event::ProbeResult { server, status, elapsed: 1.0, report })
    }

    /// Reports the memory use of a server in the answer to a probe.
    pub fn report_memory(&mut self, server: u64, memory_share: f64) {
        let report = LoadReport { memory_share: Some(memory_share), ..LoadReport::default() };
        self.probe_answer(server, Some(report));
    }

    /// Reports the requests in flight at a server in the answer to a probe.
    pub fn report_load(&mut self, server: u64, in_flight: f64) -> Vec<Action> {
        let report = LoadReport { in_flight: Some(in_flight), ..LoadReport::default() };
        self.probe_answer(server, Some(report))
    }

    /// Submits a request, and answers every probe immediately with the report of an idle server.
    pub fn submit_to_idle(&mut self, request: Request) -> Vec<Action> {
        let actions = self.submit(request);
        self.answer_probes_as_idle(actions)
    }

    /// Answers every probe among these and the following actions immediately with the report of an idle
    /// server. Returns all actions.
    pub fn answer_probes_as_idle(&mut self, actions: Vec<Action>) -> Vec<Action> {
        self.answer_probes_with_load(actions, 0.0)
    }

    /// Answers every probe among these and the following actions immediately with this load. Returns all
    /// actions.
    pub fn answer_probes_with_load(&mut self, mut actions: Vec<Action>, in_flight: f64) -> Vec<Action> {
        let mut answered = 0;
        while let Some(server) = probed_servers(&actions).get(answered).copied() {
            answered += 1;
            actions.extend(self.report_load(server, in_flight));
        }
        actions
    }

    /// Submits a request to an idle fleet, and returns the prefill server that it is sent to.
    pub fn prefill_server_for(&mut self, request: Request) -> u64 {
        sent_to(&self.submit_to_idle(request)).expect("a send")
    }

    /// Sends requests with prefixes other than that of the sample requests, so that no prefix is popular.
    pub fn send_mixed_traffic(&mut self) {
        for id in 100_000..100_030 {
            let server = self.prefill_server_for(request_with_prefix(id, id));
            self.disconnect(id);
            self.outcome(id, 0, server, AttemptStatus::Cancelled);
        }
    }

    /// Reports the end of a prefill, and returns the decode server that the state is sent to.
    pub fn decode_server_after(&mut self, id: u64, prefill_server: u64) -> u64 {
        let actions = self.outcome(id, 0, prefill_server, AttemptStatus::Prefilled);
        sent_to(&actions).expect("a decode server")
    }
}

/// Returns the server of the first send among these actions.
pub fn sent_to(actions: &[Action]) -> Option<u64> {
    actions.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(server.0),
        _ => None,
    })
}

/// Returns the servers probed by these actions, in order.
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

/// Returns whether a line of this kind is logged.
pub fn logs(actions: &[Action], kind: &str) -> bool {
    actions.iter().any(|action| matches!(action, Action::Log(line) if line.starts_with(kind)))
}

/// Returns the due times and keys of the timers that these actions set, in order.
pub fn timers_set(actions: &[Action]) -> Vec<(Millis, u64)> {
    let timer = |action: &Action| match action {
        Action::Timer { at, key, .. } => Some((*at, *key)),
        _ => None,
    };
    actions.iter().filter_map(timer).collect()
}
