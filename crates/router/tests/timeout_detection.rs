//! When a server that gives no sign of life is taken for silent, and when it is only busy.

mod common;

use common::*;
use glenrail_router::*;

/// The class that does not mind to wait behind a long prompt.
const PATIENT: u32 = 1;

/// One of so many routers, of which each has learned that a token takes a tenth of a millisecond to read.
fn taught(routers: u32) -> Rig {
    let mut settings = Settings { router_count: routers, ..settings() };
    settings.classes.iter_mut().for_each(|class| class.latency_objective_per_1000_tokens = 200.0);
    settings.classes[PATIENT as usize].latency_objective = 10_000.0;
    let mut rig = Rig::new(settings, fleet());
    for id in 100..140 {
        rig.at(rig.now + 300.0);
        let home = rig.read_at(ask(id));
        let actions = rig.give(Event::Outcome(AttemptOutcome {
            id: RequestId(id),
            attempt: 0,
            server: ServerId(home),
            status: AttemptStatus::Prefilled,
            elapsed: 250.0,
            note: 0.0,
            closed: false,
            delivered: true,
            report: None,
        }));
        rig.give(Event::ClientDisconnected { id: RequestId(id) });
        rig.outcome(id, 1, sent(&actions).expect("a write"), AttemptStatus::Cancelled);
    }
    rig
}

/// When the only attempt of this request is called back, from now on, if it is within so many milliseconds.
fn called_back(rig: &mut Rig, id: u64, within: u32) -> Option<Millis> {
    let from = rig.now;
    (1..within / 100).map(|tick| f64::from(tick) * 100.0).find(|after| {
        rig.at(from + after).timer(1 << 52).contains(&Action::Cancel { id: RequestId(id), attempt: 0 })
    })
}

/// Guards against reading a long prompt in vain: the reader works through it and says nothing for longer than an idle one
/// may, and a router that calls it back has it read from the start elsewhere, to be called back there.
#[test]
fn a_long_prompt_is_not_called_back_while_it_is_read() {
    for routers in [2, 300] {
        let mut rig = taught(routers);
        let long = Request { prompt_tokens: 40_000.0, prefix: None, client_timeout: 20_000.0, ..ask(1) };
        rig.read_at(long);
        let after = called_back(&mut rig, 1, 20_000).expect("a hung reader is found out all the same");
        assert!((8_000.0..14_000.0).contains(&after), "{routers} routers: called back after {after} ms");
    }
}

/// What came first is read first: a short prompt behind a long one is no more a sign of silence.
#[test]
fn a_short_prompt_behind_a_long_one_does_not_have_it_called_back() {
    let mut rig = taught(300);
    let long = Request { prompt_tokens: 40_000.0, prefix: None, client_timeout: 20_000.0, ..ask(1) };
    let home = rig.read_at(long.clone());
    rig.at(rig.now + 10.0);
    let short = Request { id: RequestId(2), prompt_tokens: 500.0, class: PATIENT, ..long };
    assert_eq!(rig.read_at(short), home, "a session stays at its reader");
    let after = called_back(&mut rig, 1, 20_000).expect("a hung reader is found out all the same");
    assert!(after > 8_000.0, "called back after {after} ms");
}
