//! One of many routers while every writer is cold: it reads nothing that no writer may take, and asks those again whose word
//! was old as a read ended. No sockets, no clock but the events'.

mod common;

use common::*;
use glenrail_router::*;

const ROUTERS: u32 = 32;
/// A read takes longer (ms) than a cold writer's word counts.
const READ: Millis = 400.0;

#[derive(Debug, PartialEq, Eq, Clone, Copy)]
enum End {
    Served,
    RefusedUnsent,
    /// Read, and then no writer took it.
    InVain,
}

/// A router of many that has just been told that all writers are new.
fn cold(seed: u64) -> Rig {
    let started = |m: ServerEntry| match WRITERS.contains(&m.server.0) {
        true => ServerEntry { started: Some(0.0), ..m },
        false => m,
    };
    Rig::seeded(
        seed,
        Settings { router_count: ROUTERS, ..settings() },
        fleet().into_iter().map(started).collect(),
    )
}

/// Plays one request to its end, alone.
fn play(rig: &mut Rig, id: u64) -> End {
    let actions = rig.request_seen(ask(id));
    let Some(reader) = sent(&actions) else {
        assert!(refused(&actions), "neither sent nor refused: {actions:?}");
        return End::RefusedUnsent;
    };
    assert!(READERS.contains(&reader));
    rig.now += READ;
    let mut actions = rig.outcome(id, 0, reader, AttemptStatus::Prefilled);
    loop {
        actions = rig.answered(actions);
        if let Some(writer) = sent(&actions) {
            assert!(WRITERS.contains(&writer));
            let first =
                Event::FirstToken { id: RequestId(id), attempt: 1, server: ServerId(writer), elapsed: 20.0 };
            rig.give(first);
            rig.outcome(id, 1, writer, AttemptStatus::Served);
            return End::Served;
        }
        if refused(&actions) {
            return End::InVain;
        }
        // The step that looks again.
        let step = timers(&actions).into_iter().find(|t| t.1 == id << 1 | 1).expect("another step");
        actions = rig.at(step.0).timer(step.1);
    }
}

/// Guards the readers' time: what is read for no writer is read in vain, and costs those that wait behind it.
#[test]
fn nothing_is_read_that_no_writer_may_take() {
    let mut seen = [0; 3];
    for seed in 1..=40 {
        let mut rig = cold(seed);
        (1..=12).for_each(|id| seen[play(&mut rig, id) as usize] += 1);
    }
    let [served, unsent, in_vain] = seen;
    assert!(served > 0 && unsent > 0, "served {served}, refused unsent {unsent}");
    assert_eq!(in_vain, 0, "served {served}, refused unsent {unsent}");
}

/// Guards against a word that was fresh as the read began and is old at its end: the writer is asked again, and gets the state.
#[test]
fn a_cold_writer_is_asked_again_when_a_read_has_ended() {
    let ends: Vec<End> = (1..=40).map(|seed| play(&mut cold(seed), 1)).collect();
    // Of three writers most routers trust one with a word.
    assert!(ends.iter().filter(|e| **e == End::Served).count() >= 30, "{ends:?}");
}

/// With no writer listed, or all of them ejected, nothing is read either; a trial goes on from time to time, or the router
/// would never hear that they are back.
#[test]
fn with_no_writer_at_all_trials_alone_are_read() {
    let mut rig = cold(1);
    let gone = WRITERS
        .iter()
        .zip(0..)
        .map(|(id, zone)| ServerEntry { state: ServerState::Terminated, ..member(*id, 1, zone) });
    rig.give(Event::ServerList { update: ListUpdate::Delta, servers: gone.collect() });
    let (mut read, mut unsent) = (0, 0);
    for id in 1..=200 {
        rig.now += 50.0;
        let actions = rig.request_seen(ask(id));
        read += usize::from(sent(&actions).is_some());
        unsent += usize::from(refused(&actions));
    }
    assert!((1..=4).contains(&read) && read + unsent == 200, "read {read}, refused {unsent} in 10 s");
}

/// Guards the panic threshold: where most writers look bad by resets alone, the cause is not theirs, and reading goes on.
#[test]
fn writers_that_only_look_bad_are_read_for() {
    let mut rig = Rig::seeded(1, Settings { router_count: ROUTERS, ..settings() }, fleet());
    let bad = |rig: &Rig| WRITERS.iter().all(|w| rig.router.is_avoided(ServerId(*w)));
    let mut id = 0;
    while !bad(&rig) {
        id += 1;
        assert!(id < 100, "writers are not ejected by resets");
        rig.now += 1.0;
        let reader = sent(&rig.request_seen(ask(id))).expect("a read");
        let read = rig.outcome(id, 0, reader, AttemptStatus::Prefilled);
        let writer = sent(&rig.answered(read)).expect("a writer");
        rig.outcome(id, 1, writer, AttemptStatus::Reset);
        rig.give(Event::ClientDisconnected { id: RequestId(id) });
    }
    assert!(sent(&rig.request_seen(ask(1_000))).is_some_and(|to| READERS.contains(&to)));
}

/// Guards against refusing what a writer could take by the end of its hold: where reads are short and credit grows fast, a
/// request that comes before the credit is read for it.
#[test]
fn what_there_will_be_credit_for_in_time_is_read() {
    let mut seen = [0; 3];
    for seed in 1..=20 {
        let mut rig = Rig::seeded(seed, Settings { router_count: 6, ..settings() }, fleet());
        for id in 1..=60 {
            rig.now += 20.0;
            play(&mut rig, id);
        }
        let cold = |id: &u64| ServerEntry { started: Some(rig.now), ..member(*id, 1, 0) };
        let writers = WRITERS.iter().map(cold).collect();
        rig.give(Event::ServerList { update: ListUpdate::Delta, servers: writers });
        for id in 61..=90 {
            rig.now += 20.0;
            seen[play(&mut rig, id) as usize] += 1;
        }
    }
    let [served, unsent, in_vain] = seen;
    assert!(served >= 500, "served {served}, refused unsent {unsent}, in vain {in_vain}");
}

/// Guards against reading for one send again and again: what is being read takes the credit first.
#[test]
fn what_is_read_already_takes_the_credit_first() {
    for seed in 1..=40 {
        let mut rig = cold(seed);
        let reads = (1..=12).filter(|id| sent(&rig.request_seen(ask(*id))).is_some()).count();
        assert!(reads <= WRITERS.len(), "{reads} reads for {} writers", WRITERS.len());
    }
}
