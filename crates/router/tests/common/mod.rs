//! A short script's view of a router: settings, servers and events with sensible defaults.
#![allow(dead_code)]

use glenrail_router::*;

pub const READERS: [u64; 3] = [11, 12, 13];
pub const WRITERS: [u64; 3] = [21, 22, 23];

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

pub fn member(id: u64, kind: u32, zone: u32) -> ServerEntry {
    ServerEntry { server: ServerId(id), zone, cell: zone, kind, weight: 1.0, ..ServerEntry::default() }
}

/// Three readers and three writers, one of each in a zone and cell of its own.
pub fn fleet() -> Vec<ServerEntry> {
    let readers = READERS.iter().zip(0..).map(|(id, zone)| member(*id, 0, zone));
    readers.chain(WRITERS.iter().zip(0..).map(|(id, zone)| member(*id, 1, zone))).collect()
}

pub fn ask(id: u64) -> Request {
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

pub struct Rig {
    pub router: Router,
    pub now: Millis,
}

impl Rig {
    pub fn new(settings: Settings, members: Vec<ServerEntry>) -> Self {
        Rig::seeded(3, settings, members)
    }
    /// One whose router draws its chances from this seed.
    pub fn seeded(seed: u64, settings: Settings, members: Vec<ServerEntry>) -> Self {
        let mut rig = Rig { router: Router::new(seed, settings), now: 0.0 };
        rig.give(Event::ServerList { update: ListUpdate::Full, servers: members });
        rig
    }
    pub fn plain() -> Self {
        Rig::new(settings(), fleet())
    }
    pub fn give(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        out
    }
    pub fn at(&mut self, now: Millis) -> &mut Self {
        self.now = now;
        self
    }
    pub fn request(&mut self, ask: Request) -> Vec<Action> {
        self.give(Event::Request(ask))
    }
    pub fn outcome(&mut self, id: u64, attempt: u32, server: u64, status: AttemptStatus) -> Vec<Action> {
        self.outcome_with(id, attempt, server, status, 0.0, None)
    }
    pub fn outcome_with(
        &mut self, id: u64, attempt: u32, server: u64, status: AttemptStatus, note: f64, memory: Option<f64>,
    ) -> Vec<Action> {
        self.give(Event::Outcome(AttemptOutcome {
            id: RequestId(id),
            attempt,
            server: ServerId(server),
            status,
            elapsed: 50.0,
            note,
            closed: status == AttemptStatus::Served,
            delivered: status.may_have_arrived(),
            report: memory.map(|m| LoadReport { memory_share: Some(m), ..LoadReport::default() }),
        }))
    }
    pub fn timer(&mut self, key: u64) -> Vec<Action> {
        self.give(Event::Timer { key })
    }
    /// Reports a share of memory for a server, as a probe's answer.
    pub fn memory(&mut self, server: u64, memory: f64) {
        let report = Some(LoadReport { memory_share: Some(memory), ..LoadReport::default() });
        self.give(Event::ProbeResult {
            server: ServerId(server),
            status: AttemptStatus::Served,
            elapsed: 1.0,
            report,
        });
    }
    /// A request in a fleet where every server that is looked at says at once that it has nothing in flight.
    pub fn request_seen(&mut self, ask: Request) -> Vec<Action> {
        let actions = self.request(ask);
        self.answered(actions)
    }
    /// All that follows on these actions when each server that is looked at says at once that it has nothing in flight.
    pub fn answered(&mut self, mut actions: Vec<Action>) -> Vec<Action> {
        let mut answered = 0;
        while let Some(server) = probed(&actions).get(answered).copied() {
            answered += 1;
            actions.extend(self.load(server, 0.0));
        }
        actions
    }
    /// A server's word on what it has in flight, as a probe's answer.
    pub fn load(&mut self, server: u64, in_flight: f64) -> Vec<Action> {
        let report = Some(LoadReport { in_flight: Some(in_flight), ..LoadReport::default() });
        self.give(Event::ProbeResult {
            server: ServerId(server),
            status: AttemptStatus::Served,
            elapsed: 1.0,
            report,
        })
    }
    /// Sends a request and returns the reader that it went to.
    pub fn read_at(&mut self, ask: Request) -> u64 {
        sent(&self.request_seen(ask)).expect("a send")
    }
}

/// Where the first send among these actions goes.
pub fn sent(actions: &[Action]) -> Option<u64> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(server.0),
        _ => None,
    })
}

/// The servers probed by these actions, in order.
pub fn probed(actions: &[Action]) -> Vec<u64> {
    let probe = |a: &Action| match a {
        Action::Probe { server } => Some(server.0),
        _ => None,
    };
    actions.iter().filter_map(probe).collect()
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

pub fn released(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Release { .. }))
}

/// The keys of the timers set, in order.
pub fn timers(actions: &[Action]) -> Vec<(Millis, u64)> {
    let timer = |a: &Action| match a {
        Action::Timer { at, key, .. } => Some((*at, *key)),
        _ => None,
    };
    actions.iter().filter_map(timer).collect()
}
