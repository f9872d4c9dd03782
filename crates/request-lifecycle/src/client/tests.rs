//! What a connection's words of itself promise to whoever closes it, over any steps.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

fn input() -> impl Strategy<Value = Input> {
    use Framing::*;
    use Input::*;
    let plain = [
        HeadStarted,
        HeadComplete(Complete),
        HeadComplete(KnownLength),
        HeadComplete(UnknownLength),
        MalformedHead,
        BodyComplete,
        ResponseFinished,
        StreamResumed,
        StreamDetached,
    ];
    let others = [
        HandOverRequested,
        TimedOut,
        Evicted,
        WriteBlocked(true),
        WriteBlocked(false),
        PipelinedBytes(true),
        PipelinedBytes(false),
    ];
    prop::sample::select([&plain[..], &others].concat())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(30), ..ProptestConfig::default() })]

    /// Guards whatever is owed as a connection is closed: at rest it has no open request, nothing unwritten and nothing
    /// of the next request; and where bytes that come are a request's, none is open.
    #[test]
    fn at_rest_nothing_is_owed(steps in prop::collection::vec(input(), 1..40)) {
        let mut it = Connection::default();
        let (mut open, mut blocked, mut ahead) = (false, false, false);
        for step in steps {
            // What cannot come there changes nothing.
            if it.step(step).is_err() {
                continue;
            }
            match step {
                Input::HeadComplete(_) | Input::StreamResumed => open = true,
                Input::ResponseFinished => open = false,
                Input::WriteBlocked(now) => blocked = now,
                Input::PipelinedBytes(now) => ahead = now,
                _ => {}
            }
            prop_assert!(!it.is_idle() || !open && !blocked && !ahead, "{step:?}: {it:?}");
            prop_assert!(!it.awaits_request() || !open && !blocked, "{step:?}: {it:?}");
            // Whatever rests may give way, and may be another process's.
            prop_assert!(!it.is_idle() || it.is_evictable() && it.can_hand_over(), "{step:?}: {it:?}");
            prop_assert_eq!(it.has_pipelined_bytes(), ahead);
        }
    }
}

/// The case in which a planned end dropped a request: one that the gate has read while the answer before it went out.
#[test]
fn a_request_read_ahead_keeps_its_connection_from_rest() {
    let mut it = Connection::default();
    for step in [
        Input::HeadStarted,
        Input::HeadComplete(Framing::Complete),
        Input::PipelinedBytes(true),
        Input::ResponseFinished,
    ] {
        it.step(step).expect("possible");
    }
    assert!(it.stage() == Stage::Idle && it.has_pipelined_bytes() && !it.is_idle());
    it.step(Input::PipelinedBytes(false)).expect("possible");
    assert!(it.is_idle());
}
