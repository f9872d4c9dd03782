//! The bytes of form 1 in which a router passes on what it has learned, against a fixture that an earlier build wrote.
//!
//! The export is deterministic for a fixed script. Its decays use the platform's `exp`, so a platform whose
//! mathematics library rounds otherwise may differ in the last bit of a figure.

mod common;

use common::*;
use glenrail_router::*;

const FIXTURE: &[u8] = include_bytes!("fixtures/router-state-form-1.bin");
const MIXED: u64 = 31;
/// Words before the homes: the form, the age, the mean prompt, three roles of four figures, two paces of two.
const FIXED: usize = 3 + 3 * 4 + 2 * 2;

fn words(bytes: &[u8]) -> Vec<u64> {
    bytes.chunks_exact(8).map(|b| u64::from_le_bytes(b.try_into().expect("eight bytes"))).collect()
}

/// Every third request shares its beginning with no other.
fn nth(id: u64) -> Request {
    let prefix = (!id.is_multiple_of(3)).then_some(id % 5);
    Request { prefix, prompt_tokens: 1_000.0 + 125.0 * id as f64, ..ask(id) }
}

/// Where the first send goes, once the servers looked at have told their load.
fn next(rig: &mut Rig, actions: Vec<Action>) -> u64 {
    sent(&rig.answered(actions)).expect("a send")
}

fn serve(rig: &mut Rig, id: u64, attempt: u32, server: u64) {
    let (of, server_id) = (RequestId(id), ServerId(server));
    rig.give(Event::FirstToken { id: of, attempt, server: server_id, elapsed: 40.0 });
    rig.outcome(id, attempt, server, AttemptStatus::Served);
}

/// A reader, then a writer.
fn split(rig: &mut Rig, id: u64) {
    let reader = rig.read_at(nth(id));
    rig.now += 50.0;
    let read = rig.outcome_with(id, 0, reader, AttemptStatus::Prefilled, 500.0, Some(0.25));
    let writer = next(rig, read);
    rig.now += 75.0;
    serve(rig, id, 1, writer);
}

/// A mixed server alone, for the third role.
fn whole(rig: &mut Rig, id: u64) {
    let server = rig.read_at(nth(id));
    assert_eq!(server, MIXED);
    rig.now += 125.0;
    serve(rig, id, 0, server);
}

/// Requests at readers and writers, then at a mixed server that takes their place.
fn script() -> Rig {
    let mut rig = Rig::plain();
    rig.at(1_000.0);
    (0..30).for_each(|id| split(&mut rig, id));
    rig.give(Event::ServerList { update: ListUpdate::Full, servers: vec![member(MIXED, 2, 0)] });
    (30..40).for_each(|id| whole(&mut rig, id));
    rig.now += 250.0;
    rig.timer(1 << 52);
    rig
}

/// Guards an upgrade between two builds: what one exports is, to the byte, what the other was built to read.
#[test]
fn the_same_script_exports_the_same_bytes() {
    assert_eq!(words(&script().router.export_state()), words(FIXTURE));
    assert_eq!(script().router.export_state(), FIXTURE);
}

/// Guards the reading of what an earlier build exported: nothing is lost, reordered or changed by it.
#[test]
fn a_stored_state_that_is_read_is_exported_again_the_same() {
    let mut router = Router::new(3, settings());
    router.import_state(FIXTURE);
    assert_eq!(router.export_state(), FIXTURE);
}

/// Guards the two tests above against a fixture that tells next to nothing.
#[test]
fn the_stored_state_tells_something_in_every_field() {
    let words = words(FIXTURE);
    assert_eq!((words[0], FIXTURE.len() % 8, (words.len() - FIXED) % 4), (1, 0, 0));
    for (at, word) in words[..FIXED].iter().enumerate() {
        assert_ne!(*word, 0, "word {at}");
    }
    let homes: Vec<&[u64]> = words[FIXED..].chunks_exact(4).collect();
    for kind in [0, 1] {
        assert!(homes.iter().filter(|home| home[0] == kind).count() > 3, "kind {kind}");
    }
    assert!(homes.len() > 30, "{} homes", homes.len());
}
