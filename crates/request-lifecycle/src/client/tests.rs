//! What a connection's state promises to whoever closes it, over any sequence of inputs.

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

    /// Guards what a client is owed when its connection is closed: an idle connection has no open request, nothing
    /// unwritten and nothing of the next request; and where bytes that arrive belong to a request, none is open.
    #[test]
    fn idle_connection_owes_its_client_nothing(inputs in prop::collection::vec(any_input(), 1..40)) {
        let mut connection = Connection::default();
        let (mut open, mut blocked, mut pipelined) = (false, false, false);
        for input in inputs {
            // An input that cannot occur there changes nothing.
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
            let owes_nothing = !open && !blocked && !pipelined;
            prop_assert!(!connection.is_idle() || owes_nothing, "{input:?}: {connection:?}");
            prop_assert!(!connection.awaits_request() || !open && !blocked, "{input:?}: {connection:?}");
            // Whatever is idle may be evicted, and may be handed over.
            let may_leave = connection.is_evictable() && connection.can_hand_over();
            prop_assert!(!connection.is_idle() || may_leave, "{input:?}: {connection:?}");
            prop_assert_eq!(connection.has_pipelined_bytes(), pipelined);
        }
    }
}

/// A planned shutdown once dropped a request that the gateway had read while the response before it was written.
#[test]
fn connection_with_pipelined_request_is_not_idle() {
    let mut connection = Connection::default();
    for input in [
        Input::HeadStarted,
        Input::HeadComplete(Framing::Complete),
        Input::PipelinedBytes(true),
        Input::ResponseFinished,
    ] {
        connection.step(input).expect("possible");
    }
    assert!(connection.stage() == Stage::Idle && connection.has_pipelined_bytes() && !connection.is_idle());
    connection.step(Input::PipelinedBytes(false)).expect("possible");
    assert!(connection.is_idle());
}
