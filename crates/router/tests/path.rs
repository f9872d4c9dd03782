//! The ordinary path and what departs from it, step by step.

mod common;

use common::*;
use glenrail_router::*;

#[test]
fn a_shared_beginning_is_read_where_it_was_read_before() {
    let mut rig = Rig::plain();
    let home = rig.read_at(ask(1));
    rig.outcome(1, 0, home, AttemptStatus::Prefilled);
    assert_eq!(rig.at(10.0).read_at(ask(2)), home);
}

#[test]
fn a_session_goes_before_the_shared_beginning() {
    let mut rig = Rig::plain();
    let home = rig.read_at(ask(1));
    rig.outcome(1, 0, home, AttemptStatus::Prefilled);
    // Another beginning whose hash lies elsewhere is tied to the session instead.
    let other = (8..100)
        .map(|p| Request { prefix: Some(p), ..ask(p) })
        .find(|a| rig.read_at(a.clone()) != home)
        .expect("some beginning hashes elsewhere");
    assert_eq!(rig.read_at(Request { session: 1_001, id: RequestId(500), ..other }), home);
}

#[test]
fn table_entries_expire_after_thirty_seconds() {
    // The first read of the beginning failed at its hashed home, so the table points elsewhere.
    let mut rig = Rig::plain();
    let home = rig.read_at(ask(1));
    let second = sent(&rig.outcome(1, 0, home, AttemptStatus::Rejected)).expect("a retry");
    assert_ne!(second, home);
    rig.outcome(1, 1, second, AttemptStatus::Prefilled);
    assert_eq!(rig.at(29_000.0).read_at(ask(2)), second);
    assert_eq!(rig.at(31_000.0).read_at(ask(3)), home);
}

#[test]
fn hashing_is_the_same_at_every_router_and_moves_only_the_lost_readers_keys() {
    let homes = |members: Vec<ServerEntry>, seed: u32| -> Vec<u64> {
        let mut rig = Rig::new(Settings { router_index: seed, ..settings() }, members);
        (0..60)
            .map(|p| {
                let home = rig.read_at(Request { prefix: Some(p), ..ask(p) });
                rig.give(Event::ClientDisconnected { id: RequestId(p) });
                rig.outcome(p, 0, home, AttemptStatus::Cancelled);
                home
            })
            .collect()
    };
    let all = homes(fleet(), 0);
    assert_eq!(all, homes(fleet(), 1));
    let fewer: Vec<ServerEntry> = fleet().into_iter().filter(|m| m.server.0 != 12).collect();
    for (before, after) in all.iter().zip(homes(fewer, 0)) {
        assert!(*before == 12 || *before == after);
    }
    assert!(READERS.iter().all(|r| all.contains(r)));
}

#[test]
fn an_overloaded_home_is_left_for_the_least_loaded_reader() {
    let mut rig = Rig::plain();
    let home = rig.read_at(ask(1));
    // Floor 8 for two routers: own counts up to 4 may stay, 5 exceeds the median by more than 4.
    assert_eq!(rig.read_at(ask(2)), home);
    assert!((3..=6).any(|id| rig.read_at(ask(id)) != home));
}

#[test]
fn the_state_goes_to_the_lowest_memory_unless_a_near_writer_is_about_as_low() {
    for (near, far, expect_near) in [(0.5, 0.45, true), (0.5, 0.2, false)] {
        let mut rig = Rig::plain();
        let home = rig.read_at(ask(1));
        let neighbour = home + 10;
        for w in WRITERS {
            rig.memory(w, if w == neighbour { near } else { far });
        }
        let to = sent(&rig.outcome(1, 0, home, AttemptStatus::Prefilled)).expect("a write");
        assert_eq!(to == neighbour, expect_near, "near {near} far {far}");
    }
}

#[test]
fn own_sends_raise_the_projection_until_a_fresh_report() {
    let mut rig = Rig::plain();
    WRITERS.iter().for_each(|w| rig.memory(*w, 0.3));
    let mut seen = Vec::new();
    for id in 1..=9 {
        let big = Request { prompt_tokens: 20_000.0, ..ask(id) };
        let home = rig.read_at(big);
        seen.push(sent(&rig.outcome(id, 0, home, AttemptStatus::Prefilled)).expect("a write"));
    }
    assert!(WRITERS.iter().all(|w| seen.contains(w)), "spread over all: {seen:?}");
}

#[test]
fn a_mixed_server_takes_its_share_whole() {
    let mut members = fleet();
    members.push(member(31, 2, 0));
    let mut rig = Rig::new(settings(), members);
    let mut whole = 0;
    for p in 0..300 {
        let to = rig.read_at(Request { prefix: Some(p), ..ask(p) });
        whole += u32::from(to == 31);
        rig.give(Event::ClientDisconnected { id: RequestId(p) });
        rig.outcome(p, 0, to, AttemptStatus::Cancelled);
    }
    assert!((20..=70).contains(&whole), "a seventh of 300 is 43, got {whole}");
}

#[test]
fn mixed_servers_take_states_only_while_writers_are_full() {
    for (memory, expect_mixed) in [(0.4, false), (0.97, true)] {
        let mut members = fleet();
        members.push(member(31, 2, 0));
        let mut rig = Rig::new(settings(), members);
        rig.memory(31, 0.1);
        WRITERS.iter().for_each(|w| rig.memory(*w, memory));
        let (home, id) = (1..50)
            .map(|p| (rig.read_at(Request { prefix: Some(p), ..ask(p) }), p))
            .find(|(home, _)| *home != 31)
            .expect("a reader");
        let to = sent(&rig.outcome(id, 0, home, AttemptStatus::Prefilled)).expect("a write");
        assert_eq!(to == 31, expect_mixed);
    }
}

#[test]
fn an_unreachable_reader_is_skipped_by_table_and_hash_and_tried_again_later() {
    let mut rig = Rig::plain();
    let home = rig.read_at(ask(1));
    rig.outcome(1, 0, home, AttemptStatus::Prefilled);
    rig.read_at(ask(2));
    let second = sent(&rig.outcome(2, 0, home, AttemptStatus::ConnectFailed)).expect("a retry");
    let third = rig.at(10.0).read_at(ask(3));
    assert!(second != home && third != home);
    for (id, attempt, server) in [(2, 1, second), (3, 0, third)] {
        rig.give(Event::ClientDisconnected { id: RequestId(id) });
        rig.outcome(id, attempt, server, AttemptStatus::Prefilled);
    }
    let mut later = Vec::new();
    for id in 10..60 {
        let now = rig.now + 100.0;
        let to = rig.at(now).read_at(Request { prefix: Some(id), ..ask(id) });
        rig.give(Event::ClientDisconnected { id: RequestId(id) });
        rig.outcome(id, 0, to, AttemptStatus::Prefilled);
        later.push(to);
    }
    assert!(later.contains(&home), "trial traffic comes back");
}

#[test]
fn one_error_ejects_and_one_broken_connection_is_forgiven() {
    for (status, leaves) in [(AttemptStatus::Error, true), (AttemptStatus::Reset, false)] {
        let mut rig = Rig::plain();
        mixed_traffic(&mut rig);
        let home = rig.read_at(ask(1));
        rig.outcome(1, 0, home, status);
        assert_eq!(rig.read_at(ask(2)) != home, leaves, "{status:?}");
    }
}

/// Guards good servers: spoilt answers come from any server alike, so a few say nothing of one; many in a row do.
#[test]
fn spoilt_answers_eject_only_the_server_that_gives_no_other() {
    let mut rig = Rig::plain();
    let mut spoil = |ids: std::ops::Range<u64>, spoilt: &dyn Fn(u64, u64) -> bool| {
        let mut ejected = None;
        for id in ids {
            let to = rig.read_at(Request { prefix: Some(id), ..ask(id) });
            let status =
                if spoilt(id, to) { AttemptStatus::MalformedResponse } else { AttemptStatus::Prefilled };
            rig.give(Event::ClientDisconnected { id: RequestId(id) });
            let actions = rig.outcome(id, 0, to, status);
            let told = |a: &Action| matches!(a, Action::Log(w) if w.starts_with("ejection"));
            ejected = ejected.or(actions.iter().any(told).then_some(id));
        }
        ejected
    };
    assert_eq!(spoil(1..200, &|id, _| id % 8 == 0), None);
    let ejected = spoil(200..300, &|_, to| to == READERS[0]).expect("an ejection");
    assert!(ejected >= 203, "after {ejected}");
}

/// Guards against one lost request in the place of a queue: a read that later ones overtake is called back and
/// tried elsewhere, an order's read too, and the reader gets on with its work.
#[test]
fn a_read_that_later_ones_overtake_is_called_back_and_its_reader_kept() {
    for class in [0, 2] {
        let mut rig = Rig::plain();
        let home = rig.read_at(Request { class, ..ask(1) });
        let (mut cancelled, mut id) = (None, 1);
        for tick in 1..40 {
            rig.at(f64::from(tick) * 100.0);
            id += 1;
            let actions = rig.request(ask(id));
            assert!(!refused(&actions), "the lost read is no queue");
            let to = sent(&actions).expect("a send");
            rig.at(rig.now + 50.0);
            let writer = sent(&rig.outcome(id, 0, to, AttemptStatus::Prefilled)).expect("a send");
            rig.outcome(id, 1, writer, AttemptStatus::Served);
            if rig.timer(1 << 52).contains(&Action::Cancel { id: RequestId(1), attempt: 0 }) {
                cancelled = cancelled.or(Some(rig.now));
                let retry = sent(&rig.outcome(1, 0, home, AttemptStatus::Cancelled)).expect("a retry");
                assert_ne!(retry, home);
                break;
            }
        }
        let at = cancelled.expect("called back");
        assert!((300.0..1_000.0).contains(&at), "in time for another read: {at}");
        assert!(!rig.router.is_avoided(ServerId(home)));
    }
}

/// Guards what must be left alone: a read that nothing overtakes, and an order at its writer, which may have begun
/// though later streams there did so before it.
#[test]
fn what_is_merely_slow_or_may_not_be_repeated_is_left_alone() {
    let mut rig = Rig::new(settings(), vec![member(11, 0, 0), member(21, 1, 0)]);
    rig.read_at(Request { class: 2, ..ask(1) });
    assert_eq!(sent(&rig.outcome(1, 0, 11, AttemptStatus::Prefilled)), Some(21));
    let cancels = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Cancel { .. }));
    for id in 2..12 {
        rig.at(id as f64 * 100.0);
        rig.read_at(ask(id));
        rig.outcome(id, 0, 11, AttemptStatus::Prefilled);
        let first = Event::FirstToken { id: RequestId(id), attempt: 1, server: ServerId(21), elapsed: 20.0 };
        rig.give(first);
        assert!(!cancels(&rig.timer(1 << 52)), "the order");
    }
    rig.read_at(ask(20));
    for tick in 12..30 {
        rig.at(f64::from(tick) * 100.0);
        assert!(!cancels(&rig.timer(1 << 52)), "the read");
    }
}

/// Guards a spoilt stream's repeat: the writer has spent the state, so it is let go and the prompt is read anew.
#[test]
fn a_request_whose_stream_was_spoilt_is_read_anew() {
    let mut rig = Rig::plain();
    let home = rig.read_at(ask(1));
    let writer = sent(&rig.outcome(1, 0, home, AttemptStatus::Prefilled)).expect("a send");
    let actions = rig.outcome(1, 1, writer, AttemptStatus::MalformedResponse);
    assert!(released(&actions));
    assert!(READERS.contains(&sent(&actions).expect("another try")));
}

#[test]
fn when_most_readers_look_bad_none_is_skipped_for_it() {
    let mut rig = Rig::plain();
    let mut id = 0;
    let mut panicked = false;
    for _ in 0..40 {
        id += 1;
        let actions = rig.request(Request { prefix: Some(id), ..ask(id) });
        panicked |= actions.iter().any(|a| matches!(a, Action::Log(w) if w.starts_with("panic threshold")));
        let to = sent(&actions).expect("traffic goes on whatever the readers do");
        rig.give(Event::ClientDisconnected { id: RequestId(id) });
        rig.outcome(id, 0, to, AttemptStatus::Error);
    }
    assert!(panicked);
}

#[test]
fn a_silent_reader_is_left_and_its_reads_are_called_back() {
    let mut rig = Rig::plain();
    let home = rig.read_at(ask(1));
    let mut cancelled = false;
    for tick in 1..60 {
        rig.at(f64::from(tick) * 100.0);
        let actions = rig.timer(1 << 52);
        cancelled |= actions.contains(&Action::Cancel { id: RequestId(1), attempt: 0 });
        if cancelled {
            break;
        }
    }
    assert!(cancelled && rig.now < 4_000.0, "in time for another try");
    let retry = sent(&rig.outcome(1, 0, home, AttemptStatus::Cancelled)).expect("a retry");
    assert_ne!(retry, home);
}

#[test]
fn a_cold_server_gets_a_trickle_not_a_burst() {
    let mut rig = Rig::plain();
    let cold = ServerEntry { started: Some(900.0), ..member(14, 0, 0) };
    rig.at(1_000.0).give(Event::ServerList { update: ListUpdate::Delta, servers: vec![cold] });
    let mut to_cold = 0;
    for id in 0..200 {
        rig.now = 1_000.0 + id as f64 * 10.0;
        if let Some(to) = sent(&rig.request(Request { prefix: Some(id), ..ask(id) })) {
            to_cold += u32::from(to == 14);
            rig.outcome(id, 0, to, AttemptStatus::Prefilled);
        }
        rig.give(Event::ClientDisconnected { id: RequestId(id) });
    }
    assert!((1..=20).contains(&to_cold), "got {to_cold} of 200");
}

#[test]
fn a_held_state_is_tried_at_another_writer_and_read_anew_only_when_lost() {
    let mut rig = Rig::plain();
    let home = rig.read_at(ask(1));
    let writer = sent(&rig.outcome(1, 0, home, AttemptStatus::Prefilled)).expect("a write");
    let second = sent(&rig.outcome(1, 1, writer, AttemptStatus::Rejected)).expect("another writer");
    assert!(WRITERS.contains(&second) && second != writer);
    let actions = rig.outcome_with(1, 2, second, AttemptStatus::Rejected, 1.0, None);
    assert!(released(&actions), "the reader may only be cut off from the writer");
    assert!(READERS.contains(&sent(&actions).expect("a new read")));
}

#[test]
fn what_cannot_be_in_time_is_refused_at_once() {
    let mut rig = Rig::plain();
    let home = rig.read_at(ask(1));
    // All readers have been stuck for well over the aim.
    for p in 3..33 {
        rig.request(Request { prefix: Some(p), ..ask(p) });
    }
    rig.at(3_500.0);
    let refusals = (100..140).filter(|id| refused(&rig.request(ask(*id)))).count();
    assert!(home > 0 && refusals > 30, "only {refusals} of 40 refused");
}

#[test]
fn with_nothing_ready_a_request_waits_and_is_answered_before_its_deadline() {
    let mut rig = Rig::new(settings(), vec![]);
    let mut due = timers(&rig.request(ask(1)));
    assert!(due.iter().any(|(at, _)| *at <= 4_000.0 - 1.0));
    let mut answers = 0;
    for step in 1..4_000 {
        rig.at(f64::from(step));
        let ready: Vec<u64> = due.iter().filter(|d| d.0 <= rig.now).map(|d| d.1).collect();
        due.retain(|d| d.0 > rig.now);
        for key in ready.into_iter().filter(|k| *k != 1 << 52) {
            let actions = rig.timer(key);
            answers += u32::from(refused(&actions)) + u32::from(failed(&actions));
            due.extend(timers(&actions));
        }
    }
    assert_eq!(answers, 1);
}

#[test]
fn subscribe_discovery_asks_at_the_start_and_after_a_failure() {
    let mut rig =
        Rig { router: Router::new(1, Settings { discovery: Discovery::Subscribe, ..settings() }), now: 0.0 };
    let first = rig.give(Event::ServerList { update: ListUpdate::Cached, servers: fleet() });
    assert!(first.contains(&Action::Subscribe { on: true }));
    rig.give(Event::ServerList { update: ListUpdate::Failed, servers: vec![] });
    let mut again = 0;
    for tick in 1..60 {
        rig.at(f64::from(tick) * 100.0);
        again += rig.timer(1 << 52).iter().filter(|a| **a == Action::Subscribe { on: true }).count();
    }
    assert_eq!(again, 1);
    assert!(sent(&rig.request(ask(1))).is_some(), "the old list still holds");
}

#[test]
fn over_share_tenants_are_shed_first() {
    let tenants = vec![Tenant { allowance_per_s: 2.0 }, Tenant { allowance_per_s: 1e6 }];
    let mut rig = Rig::new(Settings { tenants, ..settings() }, fleet());
    for id in 1..13 {
        // Tenant 0 has used up its part.
        rig.request(Request { prefix: Some(id), tenant: u32::from(id > 5), ..ask(id) });
    }
    rig.at(450.0);
    let mut refusals = [0, 0];
    for id in 100..120 {
        let tenant = (id % 2) as usize;
        refusals[tenant] += u32::from(refused(&rig.request(Request { tenant: tenant as u32, ..ask(id) })));
    }
    assert!(refusals[0] > refusals[1] + 5, "{refusals:?}");
}

#[test]
fn a_session_read_whole_at_a_mixed_server_comes_back_to_it() {
    let mut members = fleet();
    members.push(member(31, 2, 0));
    let mut rig = Rig::new(settings(), members);
    let (_, p) = (1..90)
        .map(|p| (rig.read_at(Request { prefix: Some(p), ..ask(p) }), p))
        .find(|(to, _)| *to == 31)
        .expect("some beginning hashes to the mixed server");
    rig.give(Event::FirstToken { id: RequestId(p), attempt: 0, server: ServerId(31), elapsed: 9.0 });
    rig.outcome(p, 0, 31, AttemptStatus::Served);
    // A beginning that the session never had before: only the session leads there.
    assert_eq!(rig.read_at(Request { session: 1_000 + p, prefix: Some(5_000), ..ask(900) }), 31);
}

#[test]
fn the_least_recently_matched_entries_leave_a_full_table() {
    let mut rig = Rig::plain();
    mixed_traffic(&mut rig);
    let hashed = rig.read_at(ask(1));
    let second = sent(&rig.outcome(1, 0, hashed, AttemptStatus::Rejected)).expect("a retry");
    rig.outcome(1, 1, second, AttemptStatus::Prefilled);
    assert_eq!(rig.read_at(ask(2)), second);
    rig.give(Event::ClientDisconnected { id: RequestId(2) });
    rig.outcome(2, 0, second, AttemptStatus::Cancelled);
    for id in 10..26_000 {
        let to = rig.read_at(Request { prefix: Some(id), ..ask(id) });
        rig.give(Event::ClientDisconnected { id: RequestId(id) });
        rig.outcome_with(id, 0, to, AttemptStatus::Prefilled, 1.0, None);
    }
    assert_eq!(rig.read_at(ask(3)), hashed, "50,000 newer entries have pushed it out");
}

/// Requests for other beginnings, so that none is hot.
fn mixed_traffic(rig: &mut Rig) {
    for id in 100_000..100_030 {
        let to = rig.read_at(Request { prefix: Some(id), ..ask(id) });
        rig.give(Event::ClientDisconnected { id: RequestId(id) });
        rig.outcome(id, 0, to, AttemptStatus::Cancelled);
    }
}

/// One router of two hundred, its own requests a second apart.
fn one_of_many() -> Rig {
    Rig::new(Settings { router_count: 200, ..settings() }, fleet())
}

/// Guards the price of probes over a whole fleet: however long servers are unheard of, they go with the requests.
#[test]
fn probes_are_earned_by_requests() {
    for (mut rig, most) in [(one_of_many(), 60), (Rig::plain(), 22)] {
        let mut probes = 0;
        for second in 1..=20 {
            probes += probed(&rig.at(second as f64 * 1_000.0).request_seen(ask(second))).len();
            rig.give(Event::ClientDisconnected { id: RequestId(second) });
            for tick in 0..10 {
                let actions = rig.at(second as f64 * 1_000.0 + tick as f64 * 100.0).timer(1 << 52);
                probes += probed(&actions).len();
            }
        }
        assert!((10..=most).contains(&probes), "{probes} probes for 20 requests and 6 servers");
    }
}

/// Guards a beginning's home among many routers: nobody's own counts show what all send there, but its own word does.
#[test]
fn one_of_many_looks_at_a_home_before_it_sends_and_goes_on_where_it_is_crowded() {
    let mut rig = one_of_many();
    let first = rig.request(ask(1));
    let [home] = probed(&first)[..] else { panic!("one look: {first:?}") };
    assert_eq!(sent(&first), None, "nothing is sent unseen");
    let second = rig.load(home, 50.0);
    let next = probed(&second).first().copied().expect("looks at all others");
    assert_eq!(sent(&rig.load(next, 1.0)), Some(next));
    // All routers go on to the same next home.
    let mut other = Rig { router: Router::new(77, Settings { router_count: 200, ..settings() }), now: 0.0 };
    other.give(Event::ServerList { update: ListUpdate::Full, servers: fleet() });
    assert_eq!(probed(&other.request(ask(1))), [home]);
    assert_eq!(probed(&other.load(home, 50.0)).first(), Some(&next));
}

/// Guards a server from being shut out by one read that had waited in its queue: what one of many routers has measured
/// of it are one or two such reads.
#[test]
fn one_read_that_waited_is_no_reason_to_refuse_what_an_idle_server_can_read() {
    let mut rig = one_of_many();
    let read = |rig: &mut Rig, id: u64, elapsed: Millis| {
        let to = rig.read_at(Request { prefix: Some(id / 10), client_timeout: 20_000.0, ..ask(id) });
        let (server, id) = (ServerId(to), RequestId(id));
        let (status, report) = (AttemptStatus::Prefilled, None);
        let outcome = AttemptOutcome {
            id,
            attempt: 0,
            server,
            status,
            elapsed,
            note: 0.0,
            closed: false,
            delivered: true,
            report,
        };
        rig.now += elapsed;
        let writer = sent(&rig.give(Event::Outcome(outcome))).expect("a write");
        rig.outcome(id.0, 1, writer, AttemptStatus::Served);
        rig.now += 5_000.0;
        to
    };
    let slow = read(&mut rig, 100, 6_000.0);
    for id in (0..20).map(|n| n * 10).filter(|id| *id != 100) {
        let home = probed(&rig.request(Request { prefix: Some(id / 10), ..ask(id + 1) })).first().copied();
        rig.give(Event::ClientDisconnected { id: RequestId(id + 1) });
        if home.is_some_and(|home| home != slow) {
            read(&mut rig, id, 100.0);
        }
    }
    let mut again = 0;
    for id in 101..109 {
        rig.now += 3_000.0;
        let actions = rig.request_seen(Request { prefix: Some(id / 10), ..ask(id) });
        assert!(!refused(&actions), "an idle server is refused: {actions:?}");
        let to = sent(&actions).expect("a read");
        again += usize::from(to == slow);
        let writer = sent(&rig.outcome(id, 0, to, AttemptStatus::Prefilled)).expect("a write");
        rig.outcome(id, 1, writer, AttemptStatus::Served);
    }
    assert!(again > 0, "no request went back to the server where one had waited");
}

/// Guards a fleet whose readers all have more in hand than can be in time: each router knows it from their own word, not
/// only once its own requests have waited there.
#[test]
fn what_every_reader_says_would_be_late_is_refused_at_once() {
    let mut refusals = [0; 2];
    for (n, load) in [1.0, 60.0].into_iter().enumerate() {
        let mut rig = one_of_many();
        for id in 0..30 {
            let mut actions = rig.request(Request { prefix: Some(id), ..ask(id) });
            let mut answered = 0;
            while let Some(server) = probed(&actions).get(answered).copied() {
                answered += 1;
                actions.extend(rig.load(server, if id < 10 { 0.0 } else { load }));
            }
            if let Some(reader) = sent(&actions) {
                let writer = sent(&rig.outcome(id, 0, reader, AttemptStatus::Prefilled)).expect("a write");
                rig.outcome(id, 1, writer, AttemptStatus::Served);
            }
            refusals[n] += usize::from(refused(&actions));
            rig.now += 2_000.0;
        }
    }
    assert!(refusals[0] == 0 && refusals[1] > 10, "with one and with sixty in hand: {refusals:?}");
}

/// Guards a request from waiting for the word of a server that is dead, cut off or too busy to answer.
#[test]
fn a_home_that_does_not_answer_a_look_is_passed_over() {
    let mut rig = one_of_many();
    let [home] = probed(&rig.request(ask(1)))[..] else { panic!("one look") };
    let mut then = Vec::new();
    for step in 1..=20 {
        let now = f64::from(step) * 20.0;
        then.extend(rig.at(now).timer(1 << 1 | 1));
        if let [next, last] = probed(&then)[..] {
            assert!(next != home && now <= 200.0, "after {now} ms to {next}");
            assert_eq!(sent(&rig.load(last, 0.0)), None, "the next in order is waited for");
            let (server, status) = (ServerId(next), AttemptStatus::ConnectFailed);
            let third = rig.give(Event::ProbeResult { server, status, elapsed: 1.0, report: None });
            assert_eq!(sent(&third), Some(last), "one that cannot be reached is passed over at once");
            return;
        }
    }
    panic!("still waiting after 400 ms: {then:?}");
}

/// Where routers cannot ask a cold server what all of them together send it; where they can, `tests/fleet.rs` has its part.
#[test]
fn the_trickle_to_a_cold_server_is_that_of_all_routers_together() {
    let mut to_cold = 0;
    let limits = Limits { probes: false, ..settings().limits };
    let settings = Settings { router_count: 200, limits, ..settings() };
    for me in 0..200 {
        let mut rig = Rig { router: Router::new(me, settings.clone()), now: 0.0 };
        rig.give(Event::ServerList { update: ListUpdate::Full, servers: fleet() });
        let cold = ServerEntry { started: Some(900.0), ..member(14, 0, 0) };
        rig.at(1_000.0).give(Event::ServerList { update: ListUpdate::Delta, servers: vec![cold] });
        for id in 0..5 {
            rig.now = 1_000.0 + id as f64 * 1_000.0;
            let to = sent(&rig.request_seen(Request { prefix: Some(me * 5 + id), ..ask(id) }));
            to_cold += u32::from(to == Some(14));
            rig.give(Event::ClientDisconnected { id: RequestId(id) });
        }
    }
    assert!((1..=20).contains(&to_cold), "{to_cold} of 1000 requests in 5 s");
}

#[test]
fn a_hot_beginning_has_several_homes_and_a_session_keeps_to_one() {
    let mut rig = one_of_many();
    let mut homes = std::collections::BTreeSet::new();
    let mut again = 0;
    for id in 0..60 {
        let session = 500 + id / 2;
        rig.now = id as f64 * 1_000.0;
        let to = rig.read_at(Request { session, ..ask(id) });
        again += u32::from(id % 2 == 1 && !homes.insert(to));
        homes.insert(to);
        let writer =
            sent(&rig.outcome_with(id, 0, to, AttemptStatus::Prefilled, 1.0, None)).expect("a write");
        rig.outcome(id, 1, writer, AttemptStatus::Served);
    }
    assert!(homes.len() > 1 && again > 20, "{homes:?}, {again} sessions came back");
}

#[test]
fn a_read_elsewhere_does_not_move_a_beginnings_entry() {
    let mut rig = Rig::plain();
    mixed_traffic(&mut rig);
    let home = rig.read_at(ask(1));
    rig.outcome_with(1, 0, home, AttemptStatus::Prefilled, 1.0, None);
    let away = sent(&rig.request(ask(2))).filter(|to| *to == home).expect("the entry holds");
    let second = sent(&rig.outcome(2, 0, away, AttemptStatus::Rejected)).expect("a retry");
    rig.outcome_with(2, 1, second, AttemptStatus::Prefilled, 1.0, None);
    assert_ne!(second, home);
    assert_eq!(rig.read_at(ask(3)), home);
}

#[test]
fn waits_seen_at_some_writers_are_expected_of_the_others() {
    let mut rig = one_of_many();
    // First tokens take 1.5 s wherever this router writes; it hears of each writer every few seconds only.
    let mut refusals = 0;
    for id in 0..30 {
        rig.now = id as f64 * 1_500.0;
        let actions = rig.request(Request { prefix: Some(id), ..ask(id) });
        let Some(reader) = sent(&actions) else {
            refusals += 1;
            continue;
        };
        let writer = sent(&rig.outcome(id, 0, reader, AttemptStatus::Prefilled)).expect("a write");
        let first =
            Event::FirstToken { id: RequestId(id), attempt: 1, server: ServerId(writer), elapsed: 1_500.0 };
        rig.give(first);
        rig.outcome(id, 1, writer, AttemptStatus::Served);
    }
    assert!(refusals >= 5, "{refusals} of 30 refused");
}

#[test]
fn what_is_not_known_does_not_speak_against_a_near_writer() {
    let mut far = 0;
    for seed in 1..=40 {
        let mut rig = Rig { router: Router::new(seed, settings()), now: 0.0 };
        rig.give(Event::ServerList { update: ListUpdate::Full, servers: fleet() });
        let home = rig.read_at(ask(1));
        let writer = sent(&rig.outcome(1, 0, home, AttemptStatus::Prefilled)).expect("a write");
        far += u32::from(writer != home + 10);
    }
    assert!(far <= 20, "{far} of 40 left the reader's cell with no report at all");
}

#[test]
fn a_tenant_within_its_share_is_not_taken_for_one_over_it_by_chance() {
    // A tenth of what the fleet grants: about one request in four seconds at each of two hundred routers.
    let mut refusals = [0; 2];
    for (n, every) in [4_000.0, 400.0].into_iter().enumerate() {
        for seed in 1..=20 {
            let tenants = vec![Tenant { allowance_per_s: 60.0 }];
            let mut rig = Rig {
                router: Router::new(seed, Settings { router_count: 200, tenants, ..settings() }),
                now: 0.0,
            };
            rig.give(Event::ServerList { update: ListUpdate::Full, servers: fleet() });
            for id in 0..40 {
                rig.now = id as f64 * every;
                let actions = rig.request_seen(Request { prefix: Some(id), ..ask(id) });
                let Some(reader) = sent(&actions) else {
                    refusals[n] += 1;
                    continue;
                };
                let writer = sent(&rig.outcome(id, 0, reader, AttemptStatus::Prefilled)).expect("a write");
                let (server, elapsed) = (ServerId(writer), 560.0);
                rig.give(Event::FirstToken { id: RequestId(id), attempt: 1, server, elapsed });
                rig.outcome(id, 1, writer, AttemptStatus::Served);
            }
        }
    }
    assert!(refusals[0] == 0 && refusals[1] > 20, "within, over: {refusals:?}");
}

/// Guards a server that comes back from a restart: what its old process held and did is forgotten with it.
#[test]
fn a_new_process_is_not_taken_for_as_full_or_as_sick_as_the_old_one() {
    let mut rig = Rig::plain();
    rig.at(30_000.0);
    let picked = |from: u64, rig: &mut Rig| {
        let mut to_old = 0;
        for id in from..from + 30 {
            let reader = rig.read_at(ask(id));
            let writer = sent(&rig.outcome(id, 0, reader, AttemptStatus::Prefilled)).expect("a write");
            to_old += u32::from(writer == 21);
            let memory = if writer == 21 { 0.95 } else { 0.5 };
            rig.outcome_with(id, 1, writer, AttemptStatus::Served, 0.0, Some(memory));
        }
        to_old
    };
    picked(1, &mut rig);
    assert_eq!(picked(100, &mut rig), 0, "a full writer is left alone");
    rig.give(Event::ProbeResult {
        server: ServerId(21),
        status: AttemptStatus::Served,
        elapsed: 1.0,
        report: None,
    });
    let anew = ServerEntry { started: Some(15_000.0), ..member(21, 1, 0) };
    rig.give(Event::ServerList { update: ListUpdate::Delta, servers: vec![anew] });
    assert!(picked(200, &mut rig) > 0);
    rig.give(Event::ServerList {
        update: ListUpdate::Delta,
        servers: vec![ServerEntry { state: ServerState::Draining, ..member(22, 1, 1) }],
    });
    assert!(
        rig.router.is_avoided(ServerId(22))
            && !rig.router.is_avoided(ServerId(21))
            && !rig.router.is_avoided(ServerId(99))
    );
}

/// Guards the sight of a dead server where deadlines are short beside aims: its silence shows before its attempts have timed
/// out, which is no word against it.
#[test]
fn a_silent_reader_is_left_before_a_short_deadline() {
    let class =
        RequestClass { latency_objective: 1_500.0, deadline: 2_000.0, ..settings().classes[0].clone() };
    let mut rig = Rig::new(Settings { classes: vec![class], ..settings() }, fleet());
    // Long after the list, which was a sign of life.
    rig.at(10_000.0);
    let home = rig.read_at(Request { client_timeout: 2_000.0, ..ask(1) });
    let mut left = None;
    for tick in 1..20 {
        rig.at(10_000.0 + f64::from(tick) * 100.0).timer(1 << 52);
        left = left.or(rig.router.is_avoided(ServerId(home)).then_some(rig.now));
    }
    assert!(left.is_some_and(|at| at > 11_000.0), "{left:?}");
}

/// Guards a server that has started anew against silence that was its old process's: it is not ejected for work that it never
/// got, and a read that was lost with the old one is called back, in time for another.
#[test]
fn a_new_process_is_not_ejected_for_the_waits_of_the_old_one() {
    let mut rig = Rig::plain();
    let home = rig.read_at(ask(1));
    let known = fleet().into_iter().find(|m| m.server.0 == home).expect("it is listed");
    rig.at(100.0);
    let anew = ServerEntry { started: Some(90.0), ..known };
    rig.give(Event::ServerList { update: ListUpdate::Delta, servers: vec![anew] });
    let mut called_back = None;
    for tick in 2..60 {
        rig.at(f64::from(tick) * 100.0);
        let actions = rig.timer(1 << 52);
        assert!(!rig.router.is_avoided(ServerId(home)), "at {}", rig.now);
        if called_back.is_none() && actions.contains(&Action::Cancel { id: RequestId(1), attempt: 0 }) {
            called_back = Some(rig.now);
            let retry = sent(&rig.outcome(1, 0, home, AttemptStatus::Cancelled)).expect("a retry");
            assert_ne!(retry, home);
            rig.give(Event::ClientDisconnected { id: RequestId(1) });
            rig.outcome(1, 1, retry, AttemptStatus::Cancelled);
        }
    }
    assert!(called_back.is_some_and(|at| at < 1_000.0), "{called_back:?}");
}

/// Guards an upgrade: a router that takes another's place knows how much a cold server may be sent and where sessions
/// live, at any time of its own clock; bytes that are no such knowledge change nothing and break nothing.
#[test]
fn what_a_router_has_learned_can_be_passed_on() {
    let mut old = Rig::plain();
    let mut home = 0;
    for id in 0..400 {
        old.at(id as f64 * 25.0);
        home = old.read_at(ask(id));
        let writer = sent(&old.outcome(id, 0, home, AttemptStatus::Prefilled)).expect("a write");
        old.outcome(id, 1, writer, AttemptStatus::Served);
    }
    let learned = old.router.export_state();
    let to_cold = |learned: &[u8]| {
        let mut rig = Rig::plain();
        rig.router.import_state(learned);
        let cold = ServerEntry { started: Some(0.0), ..member(14, 0, 0) };
        rig.give(Event::ServerList { update: ListUpdate::Delta, servers: vec![cold] });
        let mut to_cold = 0;
        for id in 0..120 {
            rig.at(id as f64 * 25.0);
            if let Some(to) = sent(&rig.request(Request { prefix: Some(id), ..ask(1_000 + id) })) {
                to_cold += u32::from(to == 14);
                rig.outcome(1_000 + id, 0, to, AttemptStatus::Cancelled);
            }
            rig.give(Event::ClientDisconnected { id: RequestId(1_000 + id) });
        }
        to_cold
    };
    let (told, untold) = (to_cold(&learned), to_cold(&[]));
    assert!(told > 2 * untold && told < 80, "{told} with, {untold} without what was learned");
    let mut new = Rig::plain();
    new.router.import_state(&learned);
    assert_eq!(new.read_at(Request { session: 1_399, prefix: None, ..ask(5_000) }), home);
    for noise in [&learned[..20], &learned[1..], &[0xff; 4_000][..], &[1; 24][..]] {
        let mut rig = Rig::plain();
        rig.router.import_state(noise);
        rig.read_at(ask(1));
    }
}
