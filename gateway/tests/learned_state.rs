//! What a router has learned, as the bytes that one process of an upgrade sends to the other, compared with those that an
//! earlier build wrote.

use glenrail_router::*;
use serde_json::json;

const RECORDED: &[u8] = include_bytes!("fixtures/learned_state.bin");
/// By the time that a test's router takes the bytes in, its clock shows this.
const NOW: Millis = 10_000.0;

/// A field of the bytes, eight of them each.
#[derive(Clone, Copy)]
enum Field {
    Word(u64),
    Number(f64),
    /// Time since something happened.
    Age(f64),
}

use Field::{Age, Number, Word};

/// The recorded bytes in words: the form, the age of the router, the mean tokens of a prompt, what each of three roles has
/// carried, both paces, and the homes of sessions and beginnings, the newest first.
const FIELDS: [Field; 35] = [
    Word(1),
    Age(8_500.0),
    Number(1_234.5),
    Number(11.25),
    Age(101.0),
    Number(3.5),
    Number(0.125),
    Number(12.25),
    Age(202.0),
    Number(4.5),
    Number(0.25),
    Number(13.25),
    Age(303.0),
    Number(5.5),
    Number(0.375),
    Number(0.0625),
    Word(77),
    Number(0.03125),
    Word(88),
    // A session, its name, its home and the time since.
    Word(0),
    Word(0x7f3a_9c21_e0b4_d655),
    Word(21),
    Age(10.0),
    // A beginning.
    Word(1),
    Word(0x5c0f_6e1a_2b3d_4c59),
    Word(22),
    Age(20.0),
    Word(0),
    Word(u64::MAX),
    Word(u64::MAX - 1),
    Age(30.0),
    Word(1),
    Word(0),
    Word(0),
    Age(9_000.5),
];

/// The bytes of the fields so long after they were recorded.
fn bytes(later: Millis) -> Vec<u8> {
    let word = |field: Field| match field {
        Word(word) => word,
        Number(number) => number.to_bits(),
        Age(age) => (age + later).to_bits(),
    };
    FIELDS.into_iter().flat_map(|field| word(field).to_le_bytes()).collect()
}

/// Has the router's clock show this.
fn advance(router: &mut Router, now: Millis) {
    router.handle(now, Event::ServerList { update: ListUpdate::Delta, servers: Vec::new() }, &mut Vec::new());
}

fn router() -> Router {
    let settings = json!({"balancers": 1, "services": [{"aim": 2000.0, "deadline": 10000.0, "semantics": "free"}],
        "domain": {"stage-of-kind": ["read", "write"]}});
    let mut router = Router::new(5, glenrail_settings::parse_settings(&settings));
    advance(&mut router, NOW);
    router
}

/// Guards the writing: a router that knows the fields' values writes the recorded bytes.
#[test]
fn a_router_writes_the_recorded_bytes() {
    let mut router = router();
    router.import_state(&bytes(0.0));
    assert_eq!(router.export_state(), RECORDED);
}

/// Guards the reading: the recorded bytes give a router the fields' values, of which the times are ages and grow.
#[test]
fn the_recorded_bytes_are_read_as_the_same_values() {
    let mut router = router();
    router.import_state(RECORDED);
    assert_eq!(router.export_state(), bytes(0.0));
    advance(&mut router, NOW + 250.0);
    assert_eq!(router.export_state(), bytes(250.0));
}

/// Guards a router that has learned nothing yet: it writes the form and zeros, and no homes.
#[test]
fn a_new_router_writes_the_form_and_zeros() {
    let mut expected = [0; 19 * 8];
    expected[0] = 1;
    // Nothing was carried at the beginning of the clock.
    for carried in 0..3 {
        expected[8 * (4 + 4 * carried)..][..8].copy_from_slice(&NOW.to_bits().to_le_bytes());
    }
    assert_eq!(router().export_state(), expected);
}
