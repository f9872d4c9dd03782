//! Faults that can be planted in the request's machine, to verify that the model checker finds each of them.
//!
//! The mechanism is in [`planting`](crate::planting).

use serde::{Deserialize, Serialize};

use super::Request;
use crate::planting::plantable;

/// A fault of the request's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Fault {
    /// A second final response follows the first.
    AnswersTwice,
    /// A final response follows the beginning of a stream.
    AnswersAfterStream,
    /// An attempt may start while another is in flight.
    SecondAttempt,
    /// A request that may have run is executed again although it is not idempotent.
    RunsOrderTwice,
    /// KV state that an interrupted prefill may have left is not released.
    ForgetsCutRead,
    /// KV state that a prefill may have left is not released if its server responded with an error.
    ForgetsFailedRead,
    /// Reservations are not released when the request is closed.
    ForgetsHeldAtEnd,
    /// A release starts while a dispatched attempt may still use the reservations.
    ReleasesWhileOut,
    /// An attempt starts before the preceding release has ended.
    SendsBeforeRelease,
    /// An attempt starts after the request was closed.
    SendsAfterEnd,
    /// The outcome of a cancelled attempt is not reported.
    LosesOutcome,
    /// The outcome of an attempt that timed out is reported twice.
    TwoOutcomes,
    /// The request never finishes.
    NeverOver,
    /// The deadline timer is disarmed by the first input.
    NoDeadline,
    /// The lease limit is never armed.
    NoPinLimit,
    /// Attempts are not cancelled when the request is closed.
    KeepsCallAfterGone,
    /// A slot that a decode server may hold is not released.
    ForgetsPlace,
    /// The request finishes before its release has ended.
    OverTooEarly,
    /// The deadline timer stays armed after the response has begun or the request was closed.
    LeavesTimer,
    /// The client receives a rejection although its request may have run.
    RefusesWhatMayHaveRun,
    /// An attempt that was only written counts as delivered.
    CountsWrittenAsArrived,
    /// The gateway's own close of a connection counts as proof that the server has stopped working on the attempt.
    TakesCloseAsNoticed,
    /// A reset counts as proof that the server has stopped working, although a suspended process may continue later.
    TakesResetAsEnd,
    /// A completed release, at whichever server, counts as proof that the servers of interrupted prefills have
    /// stopped working on them.
    TakesReleaseAsNotice,
    /// The expiry of the deadline counts as proof that servers have stopped working, although each server measures it
    /// on its own clock from the arrival of the attempt.
    TakesDeadlineAsNotice,
    /// The client receives a rejection although an interrupted prefill may still run.
    RefusesBesideUnnoticedClose,
    /// An attempt whose delivery was not confirmed before the lease limit is not cancelled.
    KeepsUndelivered,
}

plantable!(Request, Fault);
