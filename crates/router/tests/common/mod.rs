//! A short script's view of a router: settings, servers and events with sensible defaults.
#![allow(dead_code)]

use glenrail_router::*;

pub const READERS: [u64; 3] = [11, 12, 13];
pub const WRITERS: [u64; 3] = [21, 22, 23];

pub fn settings() -> Settings {
    let class = Class {
        aim: 1_000.0,
        aim_per_1000_tokens: 60.0,
        deadline: 4_000.0,
        token_aim: 50.0,
        worth: 1.0,
        late_worth: 0.1,
        effect: Effect::Safe,
        group: Group::All,
        window: 2_000.0,
    };
    Settings {
        me: 0,
        routers: 2,
        zone: 0,
        tick: 1.0,
        kinds: vec![
            Kind { role: Role::Reader, memory_tokens: 200_000.0 },
            Kind { role: Role::Writer, memory_tokens: 100_000.0 },
            Kind { role: Role::Mixed, memory_tokens: 200_000.0 },
        ],
        classes: vec![
            class.clone(),
            Class { effect: Effect::Keyed, group: Group::Zone, ..class.clone() },
            Class { effect: Effect::Unsafe, ..class },
        ],
        tenants: vec![],
        limits: Limits {
            max_attempts: 6,
            max_retry_after: 1_000.0,
            connect_timeout: 250.0,
            probes: true,
            cancel: true,
            second_copies: true,
            retry_after: true,
            peers: false,
            places_ahead: false,
        },
        rules: Rules {
            answer_grace: 8.0,
            drain_grace: 500.0,
            pin_limit: 500.0,
            cold: 10_000.0,
            cold_from: 0.3,
            fall: 2_000.0,
            fall_multiple: 3.0,
            ask_within: 10_000.0,
        },
        discovery: Discovery::Push,
        over_share_worth: 0.1,
        prices: Prices { probe: 0.003, moved: 0.03 },
        resume: false,
        writers_read: false,
    }
}

pub fn member(id: u64, kind: u32, zone: u32) -> Member {
    Member { server: ServerId(id), zone, cell: zone, kind, weight: 1.0, ..Member::default() }
}

/// Three readers and three writers, one of each in a zone and cell of its own.
pub fn fleet() -> Vec<Member> {
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
        patience: 4_000.0,
        ..Request::default()
    }
}

pub struct Rig {
    pub router: Router,
    pub now: Ms,
}

impl Rig {
    pub fn new(settings: Settings, members: Vec<Member>) -> Self {
        Rig::seeded(3, settings, members)
    }
    /// One whose router draws its chances from this seed.
    pub fn seeded(seed: u64, settings: Settings, members: Vec<Member>) -> Self {
        let mut rig = Rig { router: Router::new(seed, settings), now: 0.0 };
        rig.give(Event::Members { scope: Scope::Full, members });
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
    pub fn at(&mut self, now: Ms) -> &mut Self {
        self.now = now;
        self
    }
    pub fn request(&mut self, ask: Request) -> Vec<Action> {
        self.give(Event::Request(ask))
    }
    pub fn outcome(&mut self, id: u64, attempt: u32, server: u64, status: Status) -> Vec<Action> {
        self.outcome_with(id, attempt, server, status, 0.0, None)
    }
    pub fn outcome_with(
        &mut self, id: u64, attempt: u32, server: u64, status: Status, note: f64, memory: Option<f64>,
    ) -> Vec<Action> {
        self.give(Event::Outcome(Outcome {
            id: RequestId(id),
            attempt,
            server: ServerId(server),
            status,
            elapsed: 50.0,
            note,
            closed: status == Status::Served,
            arrived: status.may_have_arrived(),
            report: memory.map(|m| Report { memory: Some(m), ..Report::default() }),
        }))
    }
    pub fn timer(&mut self, key: u64) -> Vec<Action> {
        self.give(Event::Timer { key })
    }
    /// Reports a share of memory for a server, as a probe's answer.
    pub fn memory(&mut self, server: u64, memory: f64) {
        let report = Some(Report { memory: Some(memory), ..Report::default() });
        self.give(Event::Probed { server: ServerId(server), status: Status::Served, elapsed: 1.0, report });
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
        let report = Some(Report { in_flight: Some(in_flight), ..Report::default() });
        self.give(Event::Probed { server: ServerId(server), status: Status::Served, elapsed: 1.0, report })
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
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

pub fn released(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Release { .. }))
}

/// The keys of the timers set, in order.
pub fn timers(actions: &[Action]) -> Vec<(Ms, u64)> {
    let timer = |a: &Action| match a {
        Action::Timer { at, key, .. } => Some((*at, *key)),
        _ => None,
    };
    actions.iter().filter_map(timer).collect()
}
