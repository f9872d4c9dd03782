//! Tests of what a connection's state guarantees before it is closed or handed over: an idle connection has
//! no unfinished work.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

fn any_input() -> impl Strategy<Value = Input> {
    prop::sample::select(vec![
        Input::HeadStarted,
        Input::HeadComplete(Framing::Complete),
        Input::HeadComplete(Framing::KnownLength),
        Input::HeadComplete(Framing::UnknownLength),
        Input::MalformedHead,
        Input::BodyComplete,
        Input::ResponseFinished,
        Input::StreamResumed,
        Input::StreamDetached,
        Input::HandOverRequested,
        Input::TimedOut,
        Input::Evicted,
        Input::WriteBlocked(true),
        Input::WriteBlocked(false),
        Input::PipelinedBytes(true),
        Input::PipelinedBytes(false),
    ])
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(30), ..ProptestConfig::default() })]

    /// Guards against closing a connection with unfinished work: an idle connection has no request in progress, no
    /// blocked writes and no bytes of the next request. Bytes are awaited as a new request only if none is in
    /// progress.
    #[test]
    fn idle_connection_has_no_unfinished_work(inputs in prop::collection::vec(any_input(), 1..40)) {
        let mut connection = Connection::default();
        let (mut open, mut blocked, mut pipelined) = (false, false, false);
        for input in inputs {
            // An input that is not valid in the current state changes nothing.
            if connection.step(input).is_err() {
                continue;
            }
            match input {
                Input::HeadComplete(_) | Input::StreamResumed => open = true,
                Input::ResponseFinished => open = false,
                Input::WriteBlocked(now) => blocked = now,
                Input::PipelinedBytes(now) => pipelined = now,
                _ => {}
            }
            let has_no_unfinished_work = !open && !blocked && !pipelined;
            prop_assert!(!connection.is_idle() || has_no_unfinished_work, "{input:?}: {connection:?}");
            prop_assert!(!connection.awaits_request() || !open && !blocked, "{input:?}: {connection:?}");
            // An idle connection may be evicted, and may be handed over.
            let may_be_closed_or_moved = connection.is_evictable() && connection.can_hand_over();
            prop_assert!(!connection.is_idle() || may_be_closed_or_moved, "{input:?}: {connection:?}");
            prop_assert_eq!(connection.has_pipelined_bytes(), pipelined);
        }
    }
}

/// Guards against a shutdown that closes a connection as idle and loses a pipelined request, which was read while the
/// previous response was being written.
#[test]
fn connection_with_pipelined_request_is_not_idle() {
    let mut connection = Connection::default();
    for input in [
        Input::HeadStarted,
        Input::HeadComplete(Framing::Complete),
        Input::PipelinedBytes(true),
        Input::ResponseFinished,
    ] {
        connection.step(input).expect("a valid input");
    }
    assert!(connection.stage() == Stage::Idle && connection.has_pipelined_bytes() && !connection.is_idle());
    connection.step(Input::PipelinedBytes(false)).expect("a valid input");
    assert!(connection.is_idle());
}
