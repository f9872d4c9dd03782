//! Tests of what each observation proves.

use super::{CutWork, Delivery, Observation, StandingCall, WrittenAttempt};

const ALL: [Observation; 11] = [
    Observation::Connected,
    Observation::OwnClose,
    Observation::AnswerHere,
    Observation::AnswerOnStanding,
    Observation::SilenceOnStanding,
    Observation::AnswerOnNewer,
    Observation::ServerClose,
    Observation::Reset,
    Observation::RefusedAfterReset,
    Observation::AnswerAfterReset,
    Observation::SilenceAfterReset,
];

fn which(proves: impl Fn(Observation) -> bool) -> Vec<Observation> {
    ALL.into_iter().filter(|observation| proves(*observation)).collect()
}

/// Guards against conclusions from unrelated events (incidents of 2026-12): an observation on another connection,
/// or an action of the gateway itself, proves nothing about this connection.
#[test]
fn only_what_comes_from_the_server_on_the_same_connection_proves_something_about_it() {
    assert_eq!(
        which(|seen| CutWork::MayRun.after(seen) == CutWork::Ended),
        [Observation::AnswerHere, Observation::ServerClose]
    );
    assert_eq!(which(Observation::proves_connection_works), [Observation::AnswerHere]);
}

/// Guards against taking a reset as the end of the server's work (soak seed 9724): a server that was suspended during
/// the reset continued its prefill.
#[test]
fn a_reset_alone_is_no_end_of_a_servers_work() {
    assert_eq!(CutWork::MayRun.after(Observation::Reset), CutWork::Reset);
    assert_eq!(
        which(|seen| CutWork::Reset.after(seen) == CutWork::Ended),
        [
            Observation::AnswerHere,
            Observation::ServerClose,
            Observation::RefusedAfterReset,
            Observation::AnswerAfterReset,
        ]
    );
    assert!(which(|seen| CutWork::Ended.after(seen) != CutWork::Ended).is_empty());
}

/// Guards against a false confirmation of delivery (soak seeds 9664 and 9684): connections that were open at the
/// write stopped responding, and an answer on a newer connection was taken as proof.
#[test]
fn an_answer_on_a_newer_connection_says_nothing_once_a_standing_one_is_silent() {
    let shows = |known: Delivery| which(move |seen| known.after(seen) == Delivery::Shown);
    assert_eq!(
        shows(Delivery::Unknown),
        [Observation::AnswerHere, Observation::AnswerOnStanding, Observation::AnswerOnNewer]
    );
    assert_eq!(shows(Delivery::Doubted), [Observation::AnswerHere, Observation::AnswerOnStanding]);
    assert_eq!(Delivery::Unknown.after(Observation::SilenceOnStanding), Delivery::Doubted);
}

/// Guards the order of the four times that decide whether a call on another connection is evidence for an attempt.
#[test]
fn only_a_connection_that_stood_at_the_write_and_was_asked_later_speaks_for_an_attempt() {
    let attempt = WrittenAttempt { connection_opened: 10, written: 20 };
    let call = |connection_opened, last_answer, asked| StandingCall { connection_opened, last_answer, asked };
    let says = |call: StandingCall<i32>| {
        (call.answer_shows_delivery(&attempt), call.silence_doubts_delivery(&attempt))
    };
    assert_eq!(says(call(12, 12, 30)), (true, true), "opened between the attempt's connection and the write");
    assert_eq!(says(call(5, 15, 30)), (true, true), "opened earlier, and it has responded since");
    assert_eq!(
        says(call(5, 8, 30)),
        (true, false),
        "it may have failed before the attempt's connection was opened"
    );
    assert_eq!(says(call(21, 21, 30)), (false, false), "opened after the write");
    assert_eq!(says(call(12, 15, 19)), (false, false), "called before the write");
}
