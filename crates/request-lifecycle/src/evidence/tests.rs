//! Tests of what each observation proves.

use super::{CheckCall, Delivery, InterruptedWork, Observation, WrittenAttempt};

const ALL_OBSERVATIONS: [Observation; 11] = [
    Observation::Connected,
    Observation::LocalClose,
    Observation::ResponseOnConnection,
    Observation::ResponseOnEarlierConnection,
    Observation::TimeoutOnEarlierConnection,
    Observation::ResponseOnLaterConnection,
    Observation::ServerClose,
    Observation::Reset,
    Observation::RefusedAfterReset,
    Observation::ResponseAfterReset,
    Observation::TimeoutAfterReset,
];

fn observations_where(holds: impl Fn(Observation) -> bool) -> Vec<Observation> {
    ALL_OBSERVATIONS.into_iter().filter(|observation| holds(*observation)).collect()
}

/// Guards against conclusions from unrelated events (incidents of 2026-12): an observation on another connection,
/// or an action of the gateway itself, proves nothing about this connection.
#[test]
fn only_observations_of_the_server_on_the_same_connection_are_proof() {
    assert_eq!(
        observations_where(|seen| InterruptedWork::MayRun.after(seen) == InterruptedWork::Ended),
        [Observation::ResponseOnConnection, Observation::ServerClose]
    );
    assert_eq!(observations_where(Observation::proves_connection_works), [Observation::ResponseOnConnection]);
}

/// Guards against taking a reset as the end of the server's work (soak seed 9724): a server that was suspended during
/// the reset continued its prefill.
#[test]
fn a_reset_alone_does_not_prove_that_the_server_has_stopped() {
    assert_eq!(InterruptedWork::MayRun.after(Observation::Reset), InterruptedWork::Reset);
    assert_eq!(
        observations_where(|seen| InterruptedWork::Reset.after(seen) == InterruptedWork::Ended),
        [
            Observation::ResponseOnConnection,
            Observation::ServerClose,
            Observation::RefusedAfterReset,
            Observation::ResponseAfterReset,
        ]
    );
    assert!(
        observations_where(|seen| InterruptedWork::Ended.after(seen) != InterruptedWork::Ended).is_empty()
    );
}

/// Guards against a false confirmation of delivery (soak seeds 9664 and 9684): connections that were open at the
/// write stopped responding, and an answer on a newer connection was taken as proof.
#[test]
fn a_response_on_a_later_connection_is_no_proof_after_a_timeout_on_an_earlier_one() {
    let confirms_after =
        |known: Delivery| observations_where(move |seen| known.after(seen) == Delivery::Confirmed);
    assert_eq!(
        confirms_after(Delivery::Unknown),
        [
            Observation::ResponseOnConnection,
            Observation::ResponseOnEarlierConnection,
            Observation::ResponseOnLaterConnection
        ]
    );
    assert_eq!(
        confirms_after(Delivery::Doubtful),
        [Observation::ResponseOnConnection, Observation::ResponseOnEarlierConnection]
    );
    assert_eq!(Delivery::Unknown.after(Observation::TimeoutOnEarlierConnection), Delivery::Doubtful);
}

/// Guards the comparisons of the five times that decide whether a call on another connection is evidence
/// about the delivery of an attempt.
#[test]
fn only_calls_sent_after_the_write_on_connections_opened_before_it_are_evidence() {
    let attempt = WrittenAttempt { connection_opened: 10, written: 20 };
    let call = |connection_opened, last_answer, sent| CheckCall { connection_opened, last_answer, sent };
    let evidence_of = |call: CheckCall<i32>| {
        (call.response_confirms_delivery(&attempt), call.timeout_makes_delivery_doubtful(&attempt))
    };
    assert_eq!(
        evidence_of(call(12, 12, 30)),
        (true, true),
        "opened between the attempt's connection and the write"
    );
    assert_eq!(evidence_of(call(5, 15, 30)), (true, true), "opened earlier, and it has responded since");
    assert_eq!(
        evidence_of(call(5, 8, 30)),
        (true, false),
        "it may have failed before the attempt's connection was opened"
    );
    assert_eq!(evidence_of(call(21, 21, 30)), (false, false), "opened after the write");
    assert_eq!(evidence_of(call(12, 15, 19)), (false, false), "called before the write");
}
