//! The five rules on random legal event orders, with fixed seeds, and their boundaries on short scripts.

mod common;

use std::collections::BTreeMap;

use common::*;
use glenrail_router::*;

/// A small fixed random source for the test's own draws.
struct Draw(u64);

impl Draw {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
}

/// What the world knows of one request.
struct Known {
    class: u32,
    deadline: Millis,
    answers: u32,
    over: bool,
    streaming: bool,
    /// Server, still out, whether it may have run.
    attempts: Vec<(u64, bool, bool)>,
    ran: Option<(u32, Millis)>,
    held: bool,
    idle_since: Millis,
}

struct World {
    rig: Rig,
    draw: Draw,
    known: BTreeMap<u64, Known>,
    timers: Vec<(Millis, u64)>,
    off: BTreeMap<u64, bool>,
}

fn zone_of(server: u64) -> u32 {
    (server % 10 - 1) as u32
}

impl World {
    fn act(&mut self, actions: Vec<Action>) {
        let now = self.rig.now;
        for action in actions {
            match action {
                Action::Send { id, server, .. } => self.sent(id.0, server.0),
                Action::Reject { id, .. } => self.answer(id.0, true),
                Action::Fail { id, .. } => self.answer(id.0, false),
                Action::Release { id } => {
                    if let Some(k) = self.known.get_mut(&id.0) {
                        k.held = k.held && k.attempts.iter().any(|a| a.1);
                    }
                }
                Action::Timer { at, key, .. } => self.timers.push((at.max(now + 1.0), key)),
                Action::Cancel { id, attempt } => {
                    assert!((attempt as usize) < self.known[&id.0].attempts.len());
                }
                _ => {}
            }
        }
    }

    fn sent(&mut self, id: u64, server: u64) {
        assert!(
            !self.off.get(&server).copied().unwrap_or(false),
            "rule 3: sent to a server that drains or is gone"
        );
        let now = self.rig.now;
        let k = self.known.get_mut(&id).expect("a known request");
        assert!(!k.over, "rule 1: sent after the end");
        assert!(k.attempts.iter().all(|a| !a.1), "no second copies are made");
        if k.class == 2 {
            assert!(k.attempts.iter().all(|a| !a.2), "rule 2: unsafe, and may have run");
        }
        if let (1, Some((zone, at))) = (k.class, k.ran) {
            assert!(zone == zone_of(server) && now < at + 2_000.0, "rule 2: keyed, group or window");
        }
        k.attempts.push((server, true, server > 20));
        if server > 20 && k.ran.is_none() {
            k.ran = Some((zone_of(server), now));
        }
    }

    fn answer(&mut self, id: u64, refusal: bool) {
        let now = self.rig.now;
        let k = self.known.get_mut(&id).expect("a known request");
        assert!(!k.over && !k.streaming, "rule 1: one final answer");
        assert!(now <= k.deadline + 8.0, "rule 1: in time");
        let may_have_run = k.attempts.iter().any(|a| a.2 || a.1);
        assert!(!(refusal && k.class > 0 && may_have_run), "rule 2: refused what may have run");
        k.answers += 1;
        k.over = true;
    }

    fn settle(&mut self, id: u64, n: usize, status: AttemptStatus) {
        let now = self.rig.now;
        let k = self.known.get_mut(&id).expect("known");
        let server = k.attempts[n].0;
        let proves = matches!(
            status,
            AttemptStatus::Rejected | AttemptStatus::ConnectFailed | AttemptStatus::Prefilled
        );
        k.attempts[n].1 = false;
        k.attempts[n].2 = server > 20 && !proves;
        if proves && !k.attempts.iter().any(|a| a.2) {
            k.ran = None;
        }
        k.idle_since = now;
        k.held |= status == AttemptStatus::Prefilled;
        if k.streaming || status == AttemptStatus::Served {
            k.answers += u32::from(!k.over);
            k.over = true;
            k.held = false;
        }
        let closed = k.over;
        let note = if status == AttemptStatus::Rejected { self.draw.below(2) as f64 } else { 700.0 };
        let outcome = AttemptOutcome {
            id: RequestId(id),
            attempt: n as u32,
            server: ServerId(server),
            status,
            elapsed: 30.0,
            note,
            closed,
            delivered: status.may_have_arrived(),
            report: Some(LoadReport {
                memory_share: Some(self.draw.below(120) as f64 / 100.0),
                ..LoadReport::default()
            }),
        };
        let actions = self.rig.give(Event::Outcome(outcome));
        self.act(actions);
    }

    fn move_on(&mut self, id: u64) {
        let k = &self.known[&id];
        let Some(n) = k.attempts.iter().position(|a| a.1) else { return };
        let (server, over, streaming) = (k.attempts[n].0, k.over, k.streaming);
        if streaming {
            let end = if self.draw.below(8) == 0 { AttemptStatus::Reset } else { AttemptStatus::Served };
            return self.settle(id, n, end);
        }
        let faults = [
            AttemptStatus::Error,
            AttemptStatus::Rejected,
            AttemptStatus::Reset,
            AttemptStatus::ConnectFailed,
            AttemptStatus::Timeout,
            AttemptStatus::Cancelled,
            AttemptStatus::MalformedResponse,
        ];
        if self.draw.below(3) == 0 {
            let status = faults[self.draw.below(7) as usize];
            self.settle(id, n, status);
        } else if server < 20 {
            self.settle(id, n, AttemptStatus::Prefilled);
        } else if !over {
            let k = self.known.get_mut(&id).expect("known");
            (k.streaming, k.held) = (true, false);
            let server = ServerId(server);
            let first = Event::FirstToken { id: RequestId(id), attempt: n as u32, server, elapsed: 20.0 };
            let actions = self.rig.give(first);
            self.act(actions);
        }
    }

    fn shuffle_list(&mut self) {
        let all = fleet();
        let mut m = all[self.draw.below(6) as usize].clone();
        m.state =
            [ServerState::Ready, ServerState::Draining, ServerState::Terminated][self.draw.below(3) as usize];
        m.started = (self.draw.below(2) == 0).then_some(self.rig.now);
        self.off.insert(m.server.0, m.state != ServerState::Ready);
        let actions = self.rig.give(Event::ServerList { update: ListUpdate::Delta, servers: vec![m] });
        self.act(actions);
    }

    fn check(&self) {
        for (id, k) in &self.known {
            assert!(k.over || k.streaming || self.rig.now <= k.deadline + 8.0, "rule 1: {id} not answered");
            let idle = k.attempts.iter().all(|a| !a.1);
            assert!(!(k.held && idle && self.rig.now > k.idle_since + 500.0), "rule 5: {id} pinned");
        }
    }

    fn run(seed: u64) -> u32 {
        let mut rig = Rig { router: Router::new(seed, settings()), now: 0.0 };
        let first = rig.give(Event::ServerList { update: ListUpdate::Full, servers: fleet() });
        let mut w =
            World { rig, draw: Draw(seed), known: BTreeMap::new(), timers: vec![], off: BTreeMap::new() };
        w.act(first);
        for step in 1..9_000u64 {
            w.rig.now = step as f64;
            let due: Vec<u64> = w.timers.iter().filter(|t| t.0 <= w.rig.now).map(|t| t.1).collect();
            w.timers.retain(|t| t.0 > step as f64);
            for key in due {
                let actions = w.rig.timer(key);
                w.act(actions);
            }
            if step < 4_000 && w.draw.below(20) == 0 {
                w.arrive(step);
            }
            let open: Vec<u64> =
                w.known.iter().filter(|(_, k)| k.attempts.iter().any(|a| a.1)).map(|(id, _)| *id).collect();
            if !open.is_empty() && w.draw.below(4) == 0 {
                let id = open[w.draw.below(open.len() as u64) as usize];
                w.move_on(id);
            }
            match w.draw.below(400) {
                0 => w.shuffle_list(),
                1 => w.client_leaves(),
                _ => {}
            }
            w.check();
        }
        w.known.values().filter(|k| k.answers == 1).count() as u32
    }

    fn arrive(&mut self, id: u64) {
        let class = self.draw.below(3) as u32;
        let patience = 200.0 + self.draw.below(3_000) as f64;
        let known = Known {
            class,
            deadline: self.rig.now + patience,
            answers: 0,
            over: false,
            streaming: false,
            attempts: vec![],
            ran: None,
            held: false,
            idle_since: self.rig.now,
        };
        self.known.insert(id, known);
        let prefix = Some(self.draw.below(5));
        let actions = self.rig.request(Request { class, client_timeout: patience, prefix, ..ask(id) });
        self.act(actions);
    }

    fn client_leaves(&mut self) {
        let Some((id, k)) = self.known.iter_mut().find(|(_, k)| !k.over && !k.streaming) else { return };
        k.over = true;
        let id = RequestId(*id);
        let actions = self.rig.give(Event::ClientDisconnected { id });
        self.act(actions);
    }
}

#[test]
fn the_rules_hold_on_random_event_orders() {
    for seed in 1..=24 {
        assert!(World::run(seed) > 50, "most requests end by an answer");
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let play = || {
        let mut rig = Rig::plain();
        (1..200).map(|p| rig.request(Request { prefix: Some(p % 9), ..ask(p) })).collect::<Vec<_>>()
    };
    assert_eq!(play(), play());
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed_not_refused_or_repeated() {
    for status in [AttemptStatus::Error, AttemptStatus::Reset, AttemptStatus::Timeout] {
        let mut rig = Rig::plain();
        let home = rig.read_at(Request { class: 2, ..ask(1) });
        let writer = sent(&rig.outcome(1, 0, home, AttemptStatus::Prefilled)).expect("a write");
        let actions = rig.outcome(1, 1, writer, status);
        assert_eq!(sent(&actions), None);
        assert!(!refused(&actions));
        // At once, and so is its state: nobody may take it any more.
        assert!(failed(&actions) && released(&actions), "{actions:?}");
    }
}

#[test]
fn an_unsafe_request_that_was_turned_away_goes_to_another_writer() {
    let mut rig = Rig::plain();
    let home = rig.read_at(Request { class: 2, ..ask(1) });
    let writer = sent(&rig.outcome(1, 0, home, AttemptStatus::Prefilled)).expect("a write");
    let next = sent(&rig.outcome(1, 1, writer, AttemptStatus::Rejected)).expect("another writer");
    assert_ne!(next, writer);
}

/// Guards orders against being failed for good, and nobody trying again, where no writer was ever reached.
#[test]
fn an_unsafe_request_that_two_writers_never_took_is_still_to_be_had() {
    let mut rig = Rig::plain();
    let home = rig.read_at(Request { class: 2, ..ask(1) });
    let mut at = sent(&rig.outcome(1, 0, home, AttemptStatus::Prefilled));
    for attempt in 1..3 {
        let writer = at.expect("a writer");
        rig.now += 30.0;
        at = sent(&rig.outcome(1, attempt, writer, AttemptStatus::ConnectFailed));
    }
    // A third writer is tried, and when none is left the request is refused, not failed.
    let third = at.expect("a third writer");
    rig.now += 30.0;
    let mut end = rig.outcome(1, 3, third, AttemptStatus::ConnectFailed);
    end.extend(rig.at(3_999.0).timer(1 << 1));
    assert!(refused(&end) && !failed(&end), "{end:?}");
}

#[test]
fn a_keyed_request_is_repeated_only_in_its_zone() {
    let mut rig = Rig::plain();
    let home = rig.read_at(Request { class: 1, ..ask(1) });
    let writer = sent(&rig.outcome(1, 0, home, AttemptStatus::Prefilled)).expect("a write");
    let next = sent(&rig.outcome(1, 1, writer, AttemptStatus::Error));
    assert!(next.is_none_or(|n| zone_of(n) == zone_of(writer)));
}

/// Guards a client that may ask again against waiting for a repeat that its class does not allow any more.
#[test]
fn a_keyed_request_whose_window_has_passed_is_answered_at_once() {
    let mut rig = Rig::plain();
    let home = rig.read_at(Request { class: 1, ..ask(1) });
    let writer = sent(&rig.outcome(1, 0, home, AttemptStatus::Prefilled)).expect("a write");
    rig.now += 2_001.0;
    let end = rig.outcome(1, 1, writer, AttemptStatus::Reset);
    assert!(failed(&end) && released(&end), "{end:?}");
}

/// Guards a request that waits for a server against standing still: its timer may come a rounding before its time.
#[test]
fn a_step_whose_timer_comes_a_rounding_early_is_not_lost() {
    let mut rig = Rig::new(settings(), vec![member(11, 0, 0)]);
    assert_eq!(rig.read_at(ask(1)), 11);
    let waits = rig.outcome(1, 0, 11, AttemptStatus::Prefilled);
    let step = |actions: &[Action]| timers(actions).into_iter().find(|t| t.1 == 1 << 1 | 1);
    let (at, key) = step(&waits).expect("a timer for its next step");
    let next = rig.at(at - 1e-7).timer(key);
    assert!(step(&next).is_some(), "{next:?}");
}

#[test]
fn draining_and_gone_servers_get_nothing() {
    for state in [ServerState::Draining, ServerState::Terminated] {
        let mut rig = Rig::plain();
        let home = rig.read_at(ask(1));
        rig.outcome(1, 0, home, AttemptStatus::Prefilled);
        let off = ServerEntry { state, ..member(home, 0, zone_of(home)) };
        rig.give(Event::ServerList { update: ListUpdate::Delta, servers: vec![off] });
        assert_ne!(rig.read_at(ask(2)), home);
    }
}

#[test]
fn a_state_left_by_a_request_that_ended_is_let_go() {
    let mut rig = Rig::plain();
    let home = rig.read_at(ask(1));
    rig.give(Event::ClientDisconnected { id: RequestId(1) });
    assert!(released(&rig.outcome(1, 0, home, AttemptStatus::Prefilled)));
}

#[test]
fn nonsense_is_survived() {
    let mut odd = settings();
    odd.router_count = 0;
    odd.tick_interval = f64::NAN;
    odd.rules.lease_limit = -1.0;
    odd.rules.slow_start_window = f64::INFINITY;
    odd.kinds.truncate(1);
    odd.limits.max_attempts = 0;
    for settings in [odd, settings()] {
        let mut rig = Rig::new(settings, fleet());
        rig.give(Event::Timer { key: u64::MAX });
        rig.give(Event::ClientDisconnected { id: RequestId(99) });
        rig.outcome(99, 7, 5, AttemptStatus::Served);
        rig.give(Event::FirstToken { id: RequestId(1), attempt: 9, server: ServerId(1), elapsed: f64::NAN });
        rig.give(Event::Gossip { from: 9, bytes: vec![1, 2] });
        rig.memory(77, f64::NAN);
        let zero = Request {
            prompt_tokens: f64::NAN,
            max_tokens: -5.0,
            client_timeout: f64::NEG_INFINITY,
            ..ask(1)
        };
        rig.request(zero);
        rig.request(Request { class: 44, ..ask(2) });
        let repeated = rig.request(ask(3));
        rig.request(ask(3));
        if let Some(to) = sent(&repeated) {
            rig.outcome(3, 0, to, AttemptStatus::Prefilled);
            rig.outcome(3, 0, to, AttemptStatus::Prefilled);
        }
        rig.at(f64::NAN).request(ask(4));
        let weightless = ServerEntry { weight: 0.0, kind: 9, started: Some(f64::NAN), ..member(50, 0, 0) };
        rig.give(Event::ServerList { update: ListUpdate::Delta, servers: vec![weightless] });
        rig.give(Event::ServerList { update: ListUpdate::Full, servers: vec![] });
    }
}

#[test]
fn a_cold_server_alone_in_its_role_gets_no_burst() {
    // The warm mixed servers drain and finish; what they carried must not count as carried by nobody.
    let mut members = vec![member(31, 2, 0), member(32, 2, 0)];
    let mut rig = Rig::new(settings(), members.clone());
    for id in 0..200 {
        rig.now = id as f64 * 50.0;
        let Some(to) = sent(&rig.request(Request { prefix: Some(id), ..ask(id) })) else { continue };
        if id == 150 {
            members.iter_mut().for_each(|m| m.state = ServerState::Draining);
            rig.give(Event::ServerList { update: ListUpdate::Delta, servers: members.clone() });
        }
        let server = ServerId(to);
        rig.give(Event::FirstToken { id: RequestId(id), attempt: 0, server, elapsed: 20.0 });
        rig.outcome(id, 0, to, AttemptStatus::Served);
    }
    let cold = ServerEntry { started: Some(rig.now), ..member(33, 2, 0) };
    rig.give(Event::ServerList { update: ListUpdate::Delta, servers: vec![cold] });
    let start = rig.now;
    let mut sends = 0;
    for id in 200..300 {
        rig.now = start + (id - 200) as f64 * 15.0;
        sends += u32::from(sent(&rig.request(Request { prefix: Some(id), ..ask(id) })) == Some(33));
    }
    // One of two warm servers carried 10 a second; cold at 0.3, three times that for 1.5 s is 13.
    assert!((1..=13).contains(&sends), "{sends} sends in 1.5 s");
}

#[test]
fn a_refused_connection_does_not_burn_every_attempt_at_once() {
    let mut rig = Rig::new(settings(), vec![member(11, 0, 0), member(21, 1, 0)]);
    assert_eq!(rig.read_at(ask(1)), 11);
    let mut attempts = 1;
    while sent(&rig.outcome(1, attempts - 1, 11, AttemptStatus::ConnectFailed)).is_some() {
        attempts += 1;
    }
    assert_eq!(attempts, 1);
}

/// Guards rule 5: an attempt that did not connect was never out, so the time of the state that waits runs from the end
/// of its read. Seen on days on which engines are cut off: read, 250 ms and 250 ms without a connection, then a pause.
#[test]
fn the_time_of_a_held_state_runs_on_while_no_connection_comes_up() {
    a_held_state_waits_through(AttemptStatus::ConnectFailed);
}

/// The same of an attempt that was called back while it was dialled: it costs no retry and stops no clock.
#[test]
fn an_attempt_that_was_not_sent_costs_no_retry_and_stops_no_clock() {
    a_held_state_waits_through(AttemptStatus::NotSent);
}

/// Two writes of a held state end so, 250 ms and 460 ms after its read.
fn a_held_state_waits_through(end: AttemptStatus) {
    let members = vec![member(11, 0, 0), member(21, 1, 0), member(22, 1, 0), member(23, 1, 0)];
    let mut rig = Rig::new(settings(), members);
    assert_eq!(rig.read_at(ask(1)), 11);
    let first = sent(&rig.outcome(1, 0, 11, AttemptStatus::Prefilled)).expect("a writer");
    let read = rig.now;
    rig.now = read + 250.0;
    let second = sent(&rig.outcome(1, 1, first, end)).expect("another writer");
    rig.now = read + 460.0;
    let late = rig.outcome(1, 2, second, end);
    // Let go, and read anew.
    assert!(late.contains(&Action::Release { id: RequestId(1) }), "{late:?}");
    assert_eq!(sent(&late), Some(11));
}
