//! Compatibility of snapshots in format 1 with a fixture that an earlier build wrote.
//!
//! The export is deterministic for a fixed script. Its decays use the platform's `exp`, so the last bit of a
//! number may differ on a platform whose mathematics library rounds differently.

mod common;

use common::*;
use glenrail_router::*;

const FIXTURE: &[u8] = include_bytes!("fixtures/router-state-form-1.bin");
const MIXED_SERVER: u64 = 31;
/// Number of words before the entries of the prefix table: the format, the age, the mean prompt length, four
/// values for each of three roles, and two values for each of two service times.
const HEADER_WORDS: usize = 3 + 3 * 4 + 2 * 2;

fn words_of(bytes: &[u8]) -> Vec<u64> {
    let word = |bytes: &[u8]| u64::from_le_bytes(bytes.try_into().expect("eight bytes"));
    bytes.chunks_exact(8).map(word).collect()
}

/// Returns a request of the script. Every third one has no shared prefix.
fn scripted_request(id: u64) -> Request {
    let prefix = (!id.is_multiple_of(3)).then_some(id % 5);
    Request { prefix, prompt_tokens: 1_000.0 + 125.0 * id as f64, ..sample_request(id) }
}

fn serve(router: &mut TestRouter, id: u64, attempt: u32, server: u64) {
    router.first_token(id, attempt, server, 40.0);
    router.outcome(id, attempt, server, AttemptStatus::Served);
}

/// Completes a request at a prefill server and then at a decode server.
fn serve_in_two_stages(router: &mut TestRouter, id: u64) {
    let prefill_server = router.prefill_server_for(scripted_request(id));
    router.now += 50.0;
    let actions = router.outcome_with(id, 0, prefill_server, AttemptStatus::Prefilled, 500.0, Some(0.25));
    let actions = router.answer_probes_as_idle(actions);
    let decode_server = sent_to(&actions).expect("a decode server");
    router.now += 75.0;
    serve(router, id, 1, decode_server);
}

/// Completes a request at a mixed server, for the statistics of the third role.
fn serve_at_mixed(router: &mut TestRouter, id: u64) {
    let server = router.prefill_server_for(scripted_request(id));
    assert_eq!(server, MIXED_SERVER);
    router.now += 125.0;
    serve(router, id, 0, server);
}

/// Returns a router after requests at prefill and decode servers, and then at a mixed server that replaces
/// them.
fn scripted_router() -> TestRouter {
    let mut router = TestRouter::with_defaults();
    router.at_time(1_000.0);
    (0..30).for_each(|id| serve_in_two_stages(&mut router, id));
    router.update_servers(ListUpdate::Full, vec![server_entry(MIXED_SERVER, MIXED, 0)]);
    (30..40).for_each(|id| serve_at_mixed(&mut router, id));
    router.now += 250.0;
    router.run_housekeeping();
    router
}

/// Guards against an incompatible upgrade: this build must export the same bytes as an earlier one.
#[test]
fn the_same_script_exports_the_same_bytes() {
    assert_eq!(words_of(&scripted_router().inner.export_state()), words_of(FIXTURE));
    assert_eq!(scripted_router().inner.export_state(), FIXTURE);
}

/// Guards against an import that loses, reorders or changes values of a snapshot from an earlier build.
#[test]
fn an_imported_state_is_exported_unchanged() {
    let mut router = Router::new(3, settings());
    router.import_state(FIXTURE);
    assert_eq!(router.export_state(), FIXTURE);
}

/// Guards against a fixture with so few values that the two tests above would be ineffective.
#[test]
fn the_stored_state_has_a_value_in_every_field() {
    let words = words_of(FIXTURE);
    assert_eq!((words[0], FIXTURE.len() % 8, (words.len() - HEADER_WORDS) % 4), (1, 0, 0));
    for (index, word) in words[..HEADER_WORDS].iter().enumerate() {
        assert_ne!(*word, 0, "word {index}");
    }
    let entries: Vec<&[u64]> = words[HEADER_WORDS..].chunks_exact(4).collect();
    for kind in [0, 1] {
        assert!(entries.iter().filter(|entry| entry[0] == kind).count() > 3, "kind {kind}");
    }
    assert!(entries.len() > 30, "{} entries", entries.len());
}

/// Returns how many of 120 requests are sent to a server in slow start, by a router that has imported this
/// state.
fn sends_to_starting_server(state: &[u8]) -> u32 {
    let mut router = TestRouter::with_defaults();
    router.inner.import_state(state);
    let starting = ServerEntry { started: Some(0.0), ..server_entry(14, PREFILL, 0) };
    router.update_servers(ListUpdate::Delta, vec![starting]);
    let mut sends = 0;
    for id in 0..120 {
        router.at_time(id as f64 * 25.0);
        if let Some(server) = sent_to(&router.submit(request_with_prefix(1_000 + id, id))) {
            sends += u32::from(server == 14);
            router.outcome(1_000 + id, 0, server, AttemptStatus::Cancelled);
        }
        router.disconnect(1_000 + id);
    }
    sends
}

/// Guards against the loss of measurements and affinities at an upgrade: the successor knows the throughput
/// for slow start and the servers of sessions, although its clock differs. Invalid bytes must have no effect.
#[test]
fn measurements_and_affinities_are_passed_to_the_successor() {
    let mut old = TestRouter::with_defaults();
    let mut last_prefill_server = 0;
    for id in 0..400 {
        old.at_time(id as f64 * 25.0);
        last_prefill_server = old.prefill_server_for(sample_request(id));
        let decode_server = old.decode_server_after(id, last_prefill_server);
        old.outcome(id, 1, decode_server, AttemptStatus::Served);
    }
    let state = old.inner.export_state();
    let (with_state, without) = (sends_to_starting_server(&state), sends_to_starting_server(&[]));
    assert!(with_state > 2 * without && with_state < 80, "{with_state} with, {without} without the state");
    let mut new = TestRouter::with_defaults();
    new.inner.import_state(&state);
    let same_session = Request { session: 1_399, prefix: None, ..sample_request(5_000) };
    assert_eq!(new.prefill_server_for(same_session), last_prefill_server);
    for invalid_state in [&state[..20], &state[1..], &[0xff; 4_000][..], &[1; 24][..]] {
        let mut router = TestRouter::with_defaults();
        router.inner.import_state(invalid_state);
        router.prefill_server_for(sample_request(1));
    }
}
