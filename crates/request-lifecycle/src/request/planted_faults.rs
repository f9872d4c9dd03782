//! Faults that can be planted in the machine, to show that the model checker finds each of them.
//! [`planting`](crate::planting) has how.

use serde::{Deserialize, Serialize};

use super::Request;
use crate::planting::plantable;

/// A fault of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Fault {
    /// A second final answer follows the first.
    AnswersTwice,
    /// A final answer follows the beginning of a stream.
    AnswersAfterStream,
    /// An attempt may start while another is in flight.
    SecondAttempt,
    /// A request that may have run is executed again, although it is not idempotent.
    RunsOrderTwice,
    /// KV state that a cut-off prefill may have left is not released.
    ForgetsCutRead,
    /// What a prefill may have left that its server answered with an error is not released.
    ForgetsFailedRead,
    /// Reservations are not released when the request is closed.
    ForgetsHeldAtEnd,
    /// A release starts while an attempt is at a server.
    ReleasesWhileOut,
    /// An attempt starts before the release ahead of it has ended.
    SendsBeforeRelease,
    /// An attempt starts after the request was closed.
    SendsAfterEnd,
    /// The outcome of a cancelled attempt is not reported.
    LosesOutcome,
    /// The outcome of an attempt that timed out is reported twice.
    TwoOutcomes,
    /// The request never finishes.
    NeverOver,
    /// The deadline is never armed.
    NoDeadline,
    /// The lease limit is never armed.
    NoPinLimit,
    /// Attempts go on after the request was closed.
    KeepsCallAfterGone,
    /// A slot that a decode server may hold is not released.
    ForgetsPlace,
    /// The request finishes before its release has ended.
    OverTooEarly,
    /// The deadline stays armed after the request was closed.
    LeavesTimer,
    /// The client is notified of a rejection although its request may have run.
    RefusesWhatMayHaveRun,
    /// An attempt that was only written counts as delivered.
    CountsWrittenAsArrived,
    /// The gateway's own close counts as noticed by the server.
    TakesCloseAsNoticed,
    /// A reset counts as the end of its server's work, though the server may stand still and go on.
    TakesResetAsEnd,
    /// A release that any server has answered counts as proof that the servers of cut-off prefills have noticed.
    TakesReleaseAsNotice,
    /// The deadline that servers were told counts as proof that they work no more, although it began at their clock.
    TakesDeadlineAsNotice,
    /// The client is notified of a rejection although a prefill that was cut off may still run.
    RefusesBesideUnnoticedClose,
    /// An attempt that was not delivered before the lease limit is not cancelled.
    KeepsUndelivered,
}

plantable!(Request, Fault);
