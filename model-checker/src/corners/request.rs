//! Corner cases of a request.

use glenrail_request_lifecycle::request::{RetrySafety, StreamEnd, Timer};

use super::Corner;
use crate::request::{Action, Setup};

const SETUP: Setup = Setup {
    prefill_servers: 1,
    decode_servers: 1,
    retry_safety: RetrySafety::AtMostOnce,
    cancellation: true,
    faults: 3,
    sends: 3,
    cancels: 1,
    releases: 1,
    slot_requests: 1,
    request_fault: None,
    connection_fault: None,
};
/// The prefill server.
const PREFILL: u8 = 0;
/// The decode server.
const DECODE: u8 = 1;
/// Another decode server, where there are two.
const OTHER_DECODE: u8 = 2;

/// All corners of a request.
pub fn request_corners() -> Vec<Corner<Setup>> {
    [
        cancellation_corners(),
        drain_corners(),
        reservation_corners(),
        reset_corners(),
        lost_reservation_corners(),
        delivery_corners(),
        unnoticed_close_corners(),
        release_regressions(),
        slot_regressions(),
        hand_over_corners(),
    ]
    .into_iter()
    .flatten()
    .collect()
}

fn corner(name: &'static str, description: &'static str, parts: Vec<Vec<Action>>) -> Corner<Setup> {
    Corner { name, description, setup: SETUP, actions: parts.concat() }
}

/// An attempt from its order until its server has all of it.
fn arrives(attempt: u8, server: u8) -> Vec<Action> {
    vec![
        Action::Send(server),
        Action::Connect(attempt),
        Action::Connected(attempt),
        Action::WriteBytes(attempt),
        Action::WriteLastByte(attempt),
    ]
}

/// A first attempt that prefills the prompt.
fn prefilled() -> Vec<Action> {
    [arrives(0, PREFILL), vec![Action::Serve(0), Action::ReceiveReply(0)]].concat()
}

/// A cancellation crosses a first token.
fn cancellation_corners() -> Vec<Corner<Setup>> {
    vec![
        corner(
            "cancel-at-first-token",
            "A client's cancel arrives at the same instant as a writer's first token",
            vec![
                prefilled(),
                arrives(1, DECODE),
                vec![
                    Action::Serve(1),
                    Action::ClientDisconnects,
                    Action::CancelCompletes(1),
                    Action::ReleaseSent,
                    Action::ReleaseCompletes,
                ],
            ],
        ),
        corner(
            "first-token-just-after-cancel",
            "The first token is delivered to an attempt that has just been called back",
            vec![
                prefilled(),
                arrives(1, DECODE),
                vec![
                    Action::Serve(1),
                    Action::ClientDisconnects,
                    Action::ReceiveReply(1),
                    Action::ReleaseSent,
                    Action::ReleaseCompletes,
                ],
            ],
        ),
    ]
}

/// A server drains while an attempt is on its way to it.
fn drain_corners() -> Vec<Corner<Setup>> {
    vec![
        corner(
            "drain-during-state-move",
            "The writer is told to drain while the state moves to it",
            vec![
                prefilled(),
                arrives(1, DECODE),
                vec![Action::DrainAnnounced(DECODE), Action::Serve(1), Action::ReceiveReply(1)],
                vec![Action::StreamEnds(1, StreamEnd::Complete)],
            ],
        ),
        corner(
            "drain-while-dialling",
            "The writer is told to drain while the connection to it comes up: it gets no first byte",
            vec![
                prefilled(),
                vec![
                    Action::Send(DECODE),
                    Action::Connect(1),
                    Action::DrainAnnounced(DECODE),
                    Action::Connected(1),
                    Action::Fail,
                ],
                vec![Action::ReleaseCompletes],
            ],
        ),
    ]
}

/// A server holds KV state that must be released before the next attempt.
fn reservation_corners() -> Vec<Corner<Setup>> {
    vec![
        corner(
            "read-ends-well-as-it-is-cut",
            "A read ends well just as its connection is cut, so its state is held and nobody was told",
            vec![
                arrives(0, PREFILL),
                vec![
                    Action::ConnectionBreaks(0),
                    Action::ServeAbandoned(0),
                    Action::ReleaseSent,
                    Action::ReleaseCompletes,
                    Action::Fail,
                    Action::ConfirmClose(0),
                    Action::ReleaseCompletes,
                ],
            ],
        ),
        corner(
            "release-before-the-send-after-it",
            "A release is ordered, then a send: the send waits until the release has arrived",
            vec![
                prefilled(),
                vec![
                    Action::Release,
                    Action::Send(PREFILL),
                    Action::ReleaseCompletes,
                    Action::Connect(1),
                    Action::Connected(1),
                ],
                vec![
                    Action::WriteLastByte(1),
                    Action::Serve(1),
                    Action::ReceiveReply(1),
                    Action::Fail,
                    Action::ReleaseCompletes,
                ],
            ],
        ),
    ]
}

/// A connection is reset while its server reads.
fn reset_corners() -> Vec<Corner<Setup>> {
    vec![
        corner(
            "read-ends-before-its-server-answers-after-a-reset",
            "A read ends well after its connection was reset, and then its server answers on a new one: nothing waits for it",
            vec![
                arrives(0, PREFILL),
                vec![
                    Action::ConnectionBreaksAsked(0),
                    Action::ServeAbandoned(0),
                    Action::AnswerAfterReset(0),
                    Action::ReleaseCompletes,
                    Action::Reject,
                ],
            ],
        ),
        corner(
            "server-stands-still-through-a-reset",
            "A server stands still through a reset, its request fails, and it goes on and ends the read",
            vec![
                arrives(0, PREFILL),
                vec![
                    Action::ConnectionBreaks(0),
                    Action::ReleaseSent,
                    Action::ReleaseCompletes,
                    Action::Reject,
                    Action::ServeAbandoned(0),
                    Action::ConfirmClose(0),
                    Action::ReleaseCompletes,
                ],
            ],
        ),
    ]
}

/// A server holds something for a request that has ended, or nothing for one that needs it.
fn lost_reservation_corners() -> Vec<Corner<Setup>> {
    vec![
        corner(
            "place-held-after-the-end",
            "A place is held at a writer after its request has ended",
            vec![
                arrives(0, PREFILL),
                vec![
                    Action::ReserveSlot(DECODE),
                    Action::ClientDisconnects,
                    Action::SlotReserved,
                    Action::SlotCallNoticesClose,
                ],
                vec![Action::CancelCompletes(0), Action::NoticeClose(0), Action::ConfirmClose(0)],
                vec![Action::ReleaseSent, Action::ReleaseCompletes],
            ],
        ),
        corner(
            "server-restarts-between-read-and-send",
            "The reader restarts between read and send: the writer finds no state",
            vec![
                prefilled(),
                vec![Action::ServerRestarts(PREFILL)],
                arrives(1, DECODE),
                vec![Action::Serve(1), Action::ReceiveReply(1), Action::TimerExpires(Timer::LeaseLimit)],
                vec![Action::ReleaseCompletes, Action::Reject],
            ],
        ),
    ]
}

/// A write arrives late or never.
fn delivery_corners() -> Vec<Corner<Setup>> {
    vec![
        corner(
            "write-in-vain",
            "A write is handed to the machine and never arrives: its state is let go, and it is read and written anew",
            vec![
                prefilled(),
                vec![Action::Send(DECODE), Action::Connect(1), Action::Connected(1), Action::WriteToDeadConnection(1), Action::TimerExpires(Timer::LeaseLimit)],
                vec![Action::CancelCompletes(1), Action::ReleaseSent, Action::ReleaseCompletes, Action::Fail],
            ],
        ),
        corner(
            "slow-first-token",
            "A write has arrived, as a sign shows, and its first token takes longer than its state could wait",
            vec![
                prefilled(),
                arrives(1, DECODE),
                vec![Action::ConfirmDelivery(1), Action::Serve(1), Action::ReceiveReply(1)],
                vec![Action::StreamEnds(1, StreamEnd::Complete)],
            ],
        ),
    ]
}

/// A server notices late that a prefill was cut off.
fn unnoticed_close_corners() -> Vec<Corner<Setup>> {
    vec![
        corner(
            "read-ends-after-its-release",
            "A read that was cut off runs after its release, while its server answers others; then its server notices",
            vec![
                arrives(0, PREFILL),
                vec![Action::AttemptTimesOut(0), Action::ReleaseSent, Action::ReleaseCompletes],
                vec![Action::ServeAbandoned(0), Action::TimerExpires(Timer::LeaseLimit)],
                vec![Action::ReleaseCompletes, Action::Fail, Action::ConfirmClose(0)],
                vec![Action::ReleaseCompletes],
            ],
        ),
        corner(
            "refusal-beside-a-cut-read",
            "A refusal is ordered while a read that was cut off may still run: the answer is a failure",
            vec![
                vec![Action::Send(PREFILL), Action::Connect(0), Action::Connected(0)],
                vec![Action::WriteToDeadConnection(0), Action::Cancel(0), Action::CancelCompletes(0)],
                vec![Action::Reject, Action::ReleaseSent, Action::ReleaseCompletes],
                vec![Action::ServeAbandoned(0), Action::TimerExpires(Timer::LeaseLimit)],
                vec![Action::ReleaseCompletes, Action::ConfirmClose(0), Action::ReleaseCompletes],
            ],
        ),
    ]
}

/// Counterexamples found by exploring, and fixed in the machine: releases and queued attempts.
fn release_regressions() -> Vec<Corner<Setup>> {
    vec![
        corner(
            "release-ordered-beside-a-write-in-vain",
            "Found: a release that was ordered beside a write in vain waited for its end",
            vec![
                prefilled(),
                vec![
                    Action::Send(DECODE),
                    Action::Connect(1),
                    Action::Connected(1),
                    Action::WriteToDeadConnection(1),
                    Action::Release,
                ],
                vec![
                    Action::TimerExpires(Timer::LeaseLimit),
                    Action::CancelCompletes(1),
                    Action::ReleaseSent,
                    Action::ReleaseCompletes,
                    Action::Fail,
                ],
            ],
        ),
        corner(
            "place-asked-beside-an-attempt-that-timed-out",
            "Found: a place is held while its call is still out and the attempt beside it has timed out",
            vec![
                vec![
                    Action::Send(PREFILL),
                    Action::ReserveSlot(DECODE),
                    Action::AttemptTimesOut(0),
                    Action::SlotReserved,
                ],
                vec![Action::ConfirmClose(0), Action::ReleaseSent, Action::ReleaseCompletes],
                vec![
                    Action::TimerExpires(Timer::LeaseLimit),
                    Action::ReleaseSent,
                    Action::ReleaseCompletes,
                    Action::Fail,
                ],
            ],
        ),
        Corner {
            name: "waiting-attempt-of-a-closed-request",
            description:
                "Found: where nothing may be called back, an attempt that waited was sent after the end",
            setup: Setup { cancellation: false, ..SETUP },
            actions: vec![
                Action::Send(PREFILL),
                Action::AttemptTimesOut(0),
                Action::Send(DECODE),
                Action::ReleaseSent,
                Action::TimerExpires(Timer::Deadline),
                Action::ReleaseCompletes,
                Action::TimerExpires(Timer::LeaseLimit),
                Action::ConfirmClose(0),
                Action::ReleaseCompletes,
                Action::ReleaseCompletes,
            ],
        },
    ]
}

/// Counterexamples found by exploring, and fixed in the machine: slots at another decode server.
fn slot_regressions() -> Vec<Corner<Setup>> {
    vec![
        Corner {
            name: "place-at-another-writer",
            description: "Found: a place at one writer was forgotten when another writer's stream began",
            setup: Setup { decode_servers: 2, ..SETUP },
            actions: [
                arrives(0, PREFILL),
                vec![
                    Action::ReserveSlot(OTHER_DECODE),
                    Action::SlotReserved,
                    Action::SlotAnswered(Some(true)),
                ],
                vec![Action::Serve(0), Action::ReceiveReply(0)],
                arrives(1, DECODE),
                vec![Action::Serve(1), Action::ReceiveReply(1), Action::StreamEnds(1, StreamEnd::Complete)],
                vec![Action::ReleaseCompletes],
            ]
            .concat(),
        },
        Corner {
            name: "place-call-cut-before-a-stream-ends",
            description: "Found: a release went out at once though a call for a place had just been cut",
            setup: Setup { decode_servers: 2, ..SETUP },
            actions: [
                vec![
                    Action::Send(PREFILL),
                    Action::ReserveSlot(OTHER_DECODE),
                    Action::Connect(0),
                    Action::Connected(0),
                    Action::WriteLastByte(0),
                ],
                vec![Action::Serve(0), Action::ReceiveReply(0)],
                arrives(1, DECODE),
                vec![Action::Serve(1), Action::ReceiveReply(1), Action::ClientDisconnects],
                vec![
                    Action::StreamEnds(1, StreamEnd::ClientStalled),
                    Action::SlotReserved,
                    Action::SlotCallNoticesClose,
                ],
                vec![Action::ReleaseSent, Action::ReleaseCompletes],
            ]
            .concat(),
        },
    ]
}

/// Another process continues.
fn hand_over_corners() -> Vec<Corner<Setup>> {
    vec![corner(
        "hand-over-between-two-chunks",
        "Another process takes over while a stream stands between two chunks",
        vec![
            prefilled(),
            arrives(1, DECODE),
            vec![Action::Serve(1), Action::ReceiveReply(1), Action::StreamEnds(1, StreamEnd::HandedOver)],
        ],
    )]
}
