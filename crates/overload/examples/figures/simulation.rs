//! Simulation of engines with queues, and of clients with sessions of several turns, in ticks of 10 ms.

use std::collections::BinaryHeap;

use glenrail_overload::priority::{priority_band, Idempotency, SessionHash};
use glenrail_overload::Ms;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::policy::{build_policy, AdmissionPolicy, PolicyKind, Turn, FIRST_TOKEN_TARGET, GATEWAY_COUNT};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// 0.85 of the capacity throughout.
    BelowCapacity,
    /// Twice the capacity for 20 s.
    Surge,
    /// A surge in which one of three gateways fails after 5 s.
    SurgeGatewayLost,
    /// A surge in which four fifths of all clients use the same gateway.
    SurgeSkewed,
}

/// Results of one run.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// Value served in the surge as a share of the value requested.
    pub value_served: f64,
    pub attempts_per_request: f64,
    pub tries_per_turn: f64,
    /// Maximum number of retries in any second.
    pub max_retries_per_second: f64,
    /// Seconds after the surge until 0.95 of the share served before it is served again for two seconds.
    pub recovery_seconds: f64,
}

const TICK: Ms = 10;
const SURGE: std::ops::Range<Ms> = 20_000..40_000;
const END: Ms = 65_000;
/// Seconds that are evaluated: turns that are still being served at the end do not count.
const COUNTED_SECONDS: usize = 60;
const ENGINE_COUNT: usize = 8;
/// Tokens per millisecond of one engine: with the classes below, all engines serve about 350 turns per
/// second.
const TOKENS_PER_MS: f64 = 50.0;
/// Share of attempts that an engine fails at once: during the surge, and otherwise.
const ERROR_RATES: (f64, f64) = (0.2, 0.005);
const TURNS_PER_SESSION: u8 = 4;
/// Time (ms) between the end of a turn and the next one of its session.
const THINK_TIME: Ms = 1_000;
/// Time (ms) after which a client that was rejected or lost its gateway retries, at any gateway.
const RETRY_DELAY: Ms = 50;
/// Maximum number of tries per turn.
const MAX_TRIES: u8 = 8;
/// Value in thousandths, work in tokens and share of sessions of each class.
const CLASSES: [(u32, u32, f64); 3] = [(3_000, 1_000, 0.2), (1_000, 1_000, 0.5), (300, 1_500, 0.3)];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Arrival {
    at: std::cmp::Reverse<Ms>,
    session: u32,
    turn: u8,
    previous_tries: u8,
    class: u8,
    /// Time at which the turn was first tried.
    first_tried_at: Ms,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Completion {
    at: std::cmp::Reverse<Ms>,
    gateway: usize,
    arrival: Arrival,
}

struct Simulation {
    policy: Box<dyn AdmissionPolicy>,
    /// Share of clients that always use the first gateway; the others use any.
    skew: f64,
    rng: StdRng,
    engine_free_at: [f64; ENGINE_COUNT],
    running_gateways: Vec<usize>,
    arrivals: BinaryHeap<Arrival>,
    completions: BinaryHeap<Completion>,
    /// Value of turns by the second of their first try.
    requested_value: Vec<f64>,
    served_value: Vec<f64>,
    /// Counts during the surge: first attempts, further ones, tries and turns.
    first_attempts: f64,
    further_attempts: f64,
    tries: f64,
    turns: f64,
    retries_by_second: Vec<f64>,
}

pub fn run(scenario: Scenario, kind: PolicyKind, seed: u64) -> Figures {
    let seconds = END as usize / 1_000 + 1;
    let mut simulation = Simulation {
        policy: build_policy(kind, seed),
        skew: if scenario == Scenario::SurgeSkewed { 0.7 } else { 0.0 },
        rng: StdRng::seed_from_u64(seed + 1_000),
        engine_free_at: [0.0; ENGINE_COUNT],
        running_gateways: (0..GATEWAY_COUNT).collect(),
        arrivals: BinaryHeap::new(),
        completions: BinaryHeap::new(),
        requested_value: vec![0.0; seconds],
        served_value: vec![0.0; seconds],
        first_attempts: 0.0,
        further_attempts: 0.0,
        tries: 0.0,
        turns: 0.0,
        retries_by_second: vec![0.0; seconds],
    };
    let mean: f64 = CLASSES.iter().map(|c| f64::from(c.1) * c.2).sum();
    let capacity = ENGINE_COUNT as f64 * TOKENS_PER_MS / mean;
    let (mut sessions, mut credit) = (0, 0.0);
    for now in (0..END).step_by(TICK as usize) {
        let is_surge = scenario != Scenario::BelowCapacity && SURGE.contains(&now);
        // Load is offered as sessions with all their turns, so that the surge is one of new sessions.
        let offered_sessions =
            if is_surge { 2.0 } else { 0.85 } * capacity / f64::from(TURNS_PER_SESSION) * TICK as f64;
        credit += offered_sessions;
        while credit >= 1.0 {
            credit -= 1.0;
            sessions += 1;
            let class = simulation.draw_class();
            let at = std::cmp::Reverse(now);
            simulation.arrivals.push(Arrival {
                at,
                session: sessions,
                turn: 0,
                previous_tries: 0,
                class,
                first_tried_at: now,
            });
        }
        if scenario == Scenario::SurgeGatewayLost && now == SURGE.start + 5_000 {
            simulation.stop_gateway(now, 0);
        }
        simulation.tick(now, if is_surge { ERROR_RATES.0 } else { ERROR_RATES.1 });
    }
    simulation.figures()
}

impl Simulation {
    fn draw_class(&mut self) -> u8 {
        let mut position: f64 = self.rng.random();
        for (n, (_, _, share)) in CLASSES.iter().enumerate() {
            position -= share;
            if position < 0.0 {
                return n as u8;
            }
        }
        0
    }

    /// Stops a gateway: its clients lose the turns in progress and retry at the other gateways.
    fn stop_gateway(&mut self, now: Ms, gateway: usize) {
        self.running_gateways.retain(|g| *g != gateway);
        self.policy.stop_gateway(gateway);
        let completions = std::mem::take(&mut self.completions).into_iter();
        let (lost, rest): (Vec<Completion>, Vec<Completion>) =
            completions.partition(|completion| completion.gateway == gateway);
        self.completions = rest.into();
        lost.into_iter().for_each(|completion| self.retry_later(now, completion.arrival));
    }

    fn retry_later(&mut self, now: Ms, arrival: Arrival) {
        if arrival.previous_tries + 1 < MAX_TRIES {
            let at = std::cmp::Reverse(now + RETRY_DELAY);
            self.arrivals.push(Arrival { at, previous_tries: arrival.previous_tries + 1, ..arrival });
        }
    }

    fn tick(&mut self, now: Ms, error_rate: f64) {
        let waits: f64 = self.engine_free_at.iter().map(|free_at| (free_at - now as f64).max(0.0)).sum();
        self.policy.tick(now, (waits / ENGINE_COUNT as f64) as Ms);
        while self.completions.peek().is_some_and(|completion| completion.at.0 <= now) {
            let Some(Completion { gateway, arrival, .. }) = self.completions.pop() else { return };
            let (value, ..) = CLASSES[usize::from(arrival.class)];
            if now - arrival.first_tried_at <= FIRST_TOKEN_TARGET {
                self.served_value[arrival.first_tried_at as usize / 1_000] += f64::from(value);
            }
            self.policy.record_served(now, gateway, &turn_of(&arrival));
            if arrival.turn + 1 < TURNS_PER_SESSION {
                let (at, turn) = (std::cmp::Reverse(now + THINK_TIME), arrival.turn + 1);
                self.arrivals.push(Arrival {
                    at,
                    turn,
                    previous_tries: 0,
                    first_tried_at: now + THINK_TIME,
                    ..arrival
                });
            }
        }
        while self.arrivals.peek().is_some_and(|arrival| arrival.at.0 <= now) {
            let Some(arrival) = self.arrivals.pop() else { return };
            self.handle_arrival(now, arrival, error_rate);
        }
    }

    fn handle_arrival(&mut self, now: Ms, arrival: Arrival, error_rate: f64) {
        let turn = turn_of(&arrival);
        if arrival.previous_tries == 0 {
            self.requested_value[arrival.first_tried_at as usize / 1_000] +=
                f64::from(CLASSES[usize::from(arrival.class)].0);
        }
        let is_counted = SURGE.contains(&now);
        self.tries += f64::from(u8::from(is_counted));
        self.turns += f64::from(u8::from(is_counted && arrival.previous_tries == 0));
        // Clients may use any gateway, also for a retry.
        let any_gateway = self.running_gateways[self.rng.random_range(0..self.running_gateways.len())];
        let gateway =
            if self.rng.random::<f64>() < self.skew { self.running_gateways[0] } else { any_gateway };
        let engine = (0..ENGINE_COUNT)
            .min_by(|a, b| self.engine_free_at[*a].total_cmp(&self.engine_free_at[*b]))
            .unwrap_or(0);
        let wait = (self.engine_free_at[engine] - now as f64).max(0.0);
        if !self.policy.admits(now, gateway, &turn, wait as Ms) {
            return self.retry_later(now, arrival);
        }
        let mut first = true;
        loop {
            self.policy.record_attempt(now, gateway, &turn, first);
            self.first_attempts += f64::from(u8::from(is_counted && first));
            self.further_attempts += f64::from(u8::from(is_counted && !first));
            self.retries_by_second[now as usize / 1_000] += f64::from(u8::from(!first));
            if self.rng.random::<f64>() >= error_rate {
                break;
            }
            if !self.policy.may_retry(now, gateway) {
                return self.retry_later(now, arrival);
            }
            first = false;
        }
        self.engine_free_at[engine] =
            self.engine_free_at[engine].max(now as f64) + f64::from(turn.work) / TOKENS_PER_MS;
        let at = std::cmp::Reverse(self.engine_free_at[engine].ceil() as Ms);
        self.completions.push(Completion { at, gateway, arrival });
    }

    fn figures(&self) -> Figures {
        let share = |seconds: std::ops::Range<usize>| {
            let sum = |of: &[f64]| of[seconds.clone()].iter().sum::<f64>();
            sum(&self.served_value) / sum(&self.requested_value).max(1.0)
        };
        let (start, end) = (SURGE.start as usize / 1_000, SURGE.end as usize / 1_000);
        let share_before_surge = share(5..start);
        let recovered_at = (end..COUNTED_SECONDS - 2).find(|s| share(*s..s + 2) >= 0.95 * share_before_surge);
        Figures {
            value_served: share(start..end),
            attempts_per_request: (self.first_attempts + self.further_attempts)
                / self.first_attempts.max(1.0),
            tries_per_turn: self.tries / self.turns.max(1.0),
            max_retries_per_second: self.retries_by_second.iter().copied().fold(0.0, f64::max),
            recovery_seconds: recovered_at.map_or(f64::INFINITY, |s| (s - end) as f64),
        }
    }
}

fn turn_of(arrival: &Arrival) -> Turn {
    let (value, work, _) = CLASSES[usize::from(arrival.class)];
    Turn {
        class: arrival.class,
        band: priority_band(value, work, Idempotency::Idempotent, false),
        work,
        session: SessionHash::new(&[3; 32], b"owner", &arrival.session.to_le_bytes()),
        is_later_turn: arrival.turn > 0,
        is_marked_retry: arrival.previous_tries > 0,
    }
}
