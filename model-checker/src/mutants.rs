//! Faults that are planted in the machines, to show that the checker finds each of them.

use glenrail_overload::budget as budget_machine;
use glenrail_request_lifecycle::{
    client as client_machine, framing as framing_parser, request as request_machine,
    request_ids as request_ids_machine, response_timing as response_timing_machine, server as server_machine,
};

use crate::cases::{
    client_case, server_case, BUDGET_BASE, FRAMING_BASE, REQUEST_BASE, REQUEST_IDS_BASE, RESPONSE_TIMING_BASE,
};
use crate::rules::Rule;
use crate::{budget, client, framing, request, request_ids, response_timing, server};

/// A planted fault, and the rule that it was planted to break.
pub struct Mutant<F> {
    /// The fault.
    pub fault: F,
    /// The rule.
    pub rule: Rule,
}

macro_rules! mutants {
    ($(#[$doc:meta])* $name:ident: $fault:ty { $($planted:ident => $rule:ident,)+ }) => {
        $(#[$doc])*
        pub const $name: &[Mutant<$fault>] = &[$(Mutant { fault: <$fault>::$planted, rule: Rule::$rule },)+];
    };
}

mutants!(
    /// Faults of the machine of a request.
    REQUEST_MUTANTS: request_machine::Fault {
    AnswersTwice => OneFinalAnswer,
    AnswersAfterStream => OneFinalAnswer,
    SecondAttempt => NoSecondAttempt,
    RunsOrderTwice => NeverRunsTwice,
    ForgetsCutRead => HeldIsLetGo,
    ForgetsFailedRead => HeldIsLetGo,
    ForgetsHeldAtEnd => HeldIsLetGo,
    ForgetsPlace => HeldIsLetGo,
    NoPinLimit => HeldIsLetGo,
    ReleasesWhileOut => NoReleaseBesideAttempt,
    SendsBeforeRelease => NoSendBesideRelease,
    SendsAfterEnd => NothingAfterEnd,
    OverTooEarly => NothingAfterEnd,
    LosesOutcome => OneOutcomePerSend,
    TwoOutcomes => OneOutcomePerSend,
    NeverOver => EveryRequestEnds,
    NoDeadline => EveryRequestEnds,
    KeepsCallAfterGone => NothingAfterEnd,
    LeavesTimer => NothingLeftAtRest,
    RefusesWhatMayHaveRun => RefusalIsTrue,
    CountsWrittenAsArrived => HeldIsLetGo,
    KeepsUndelivered => HeldIsLetGo,
    TakesCloseAsNoticed => HeldIsLetGo,
    TakesResetAsEnd => RefusalIsTrue,
    TakesReleaseAsNotice => HeldIsLetGo,
    TakesDeadlineAsNotice => HeldIsLetGo,
    RefusesBesideUnnoticedClose => RefusalIsTrue,
});

mutants!(
    /// Faults of the machine of a connection to a server.
    SERVER_MUTANTS: server_machine::Fault {
    WritesToDrained => NothingToDrained,
    ReplacesAfterByte => ReplacedUnwritten,
    CallsSentNeverRan => NeverRanIsTrue,
    KeepsDrained => DrainedNotKept,
});

mutants!(
    /// Faults of the machine of a client's connection.
    CLIENT_MUTANTS: client_machine::Fault {
    EvictsOpenRequest => NoCloseAcrossRequest,
    HandsOverHalfHead => HandedOverClean,
    HandsOverUnwritten => HandedOverClean,
    KeepsAfterUnread => NoRequestInBody,
});

mutants!(
    /// Faults of the machine of a leased budget.
    BUDGET_MUTANTS: budget_machine::Fault {
    CountsFromArrival => EndedNotSpent,
    WaitsBareLength => SumWithinBudget,
    ForgetsAtRestart => SumWithinBudget,
    TakesOldGrant => SumWithinBudget,
    TrustsOldClock => EndedNotSpent,
    ForgetsFormerGrant => SumWithinBudget,
    SpendsLent => SumWithinBudget,
    KeepsGivenBack => SumWithinBudget,
    InheritsByTooFew => SumWithinBudget,
    ForgetsPledge => SumWithinBudget,
    ForgetsPromise => OneHolderAShare,
    LendsBeyondTenure => OneHolderAShare,
});

mutants!(
    /// Faults of the table of request ids.
    REQUEST_IDS_MUTANTS: request_ids_machine::Fault {
    GrantsWithoutArbiter => OneRequestAnId,
    ForgetsOpenIds => OneRequestAnId,
    ForgetsStream => OneRequestAnId,
    GrantsAfterReturn => OneRequestAnId,
    ForgetsPassedArbitration => OneRequestAnId,
    IgnoresRelease => IdsAreFreeAgain,
    KeepsWithdrawnClaim => IdsAreFreeAgain,
});

mutants!(
    /// Faults of the machine of a response's time limits.
    RESPONSE_TIMING_MUTANTS: response_timing_machine::Fault {
    IgnoresEventBytes => WrittenEventNotCut,
    CountsIgnoredBytes => ClientReleasedInTime,
    KeepsChunkOfComment => ClientReleasedInTime,
    UnboundedEvent => SlowEventIsBounded,
    CountsSuspension => WrittenEventNotCut,
    CountsHeadFromItsBegin => SlowHeadNotCut,
    ExtendsFraming => ClientReleasedInTime,
    KeepsFraming => WrittenEventNotCut,
});

mutants!(
    /// Faults of the parser of chunked bodies.
    FRAMING_MUTANTS: framing_parser::Fault {
    ComparesBeforeLastDigit => MalformedFramingIsTold,
    IgnoresZerosInLine => MalformedFramingIsTold,
    IgnoresExtensionsInLine => MalformedFramingIsTold,
    CountsTrailerLinesAlone => MalformedFramingIsTold,
    AcceptsMisfit => MalformedFramingIsTold,
});

/// The world in which a request's fault is searched for: small, with a slot only where the fault concerns slots.
pub fn request_setup(fault: request_machine::Fault) -> request::Setup {
    let slot_requests = u8::from(fault == request_machine::Fault::ForgetsPlace);
    request::Setup { request_fault: Some(fault), faults: 2, slot_requests, ..REQUEST_BASE }
}

/// The world in which a fault of a connection to a server is searched for.
pub fn server_setup(fault: server_machine::Fault) -> server::Setup {
    server::Setup { fault: Some(fault), ..server_case().setup }
}

/// The world in which a fault of a client's connection is searched for.
pub fn client_setup(fault: client_machine::Fault) -> client::Setup {
    client::Setup { fault: Some(fault), ..client_case().setup }
}

/// The world in which a budget's fault is searched for.
pub fn budget_setup(fault: budget_machine::Fault) -> budget::Setup {
    use budget_machine::Fault;
    let owned = budget::Setup { ticks: 5, faults: 1, fault: Some(fault), ..BUDGET_BASE };
    let witnessed = budget::Setup { asks: 0, faults: 0, witnessed: true, share_requests: 2, ..owned };
    match fault {
        Fault::InheritsByTooFew | Fault::ForgetsPledge => witnessed,
        // A share has just lost its owner, or is about to.
        Fault::ForgetsPromise => budget::Setup { late: 6, ticks: 0, share_requests: 3, ..witnessed },
        Fault::LendsBeyondTenure => budget::Setup { late: 4, ticks: 2, asks: 1, share: Some(1), ..witnessed },
        _ => owned,
    }
}

/// The world in which a fault of the table of request ids is searched for: three processes where arbitration is passed on.
pub fn request_ids_setup(fault: request_ids_machine::Fault) -> request_ids::Setup {
    let processes = if fault == request_ids_machine::Fault::ForgetsPassedArbitration { 3 } else { 2 };
    request_ids::Setup { processes, claims: 2, repeats: 0, fault: Some(fault), ..REQUEST_IDS_BASE }
}

/// The world in which a fault of a response's time limits is searched for.
pub fn response_timing_setup(fault: response_timing_machine::Fault) -> response_timing::Setup {
    response_timing::Setup { fault: Some(fault), ..RESPONSE_TIMING_BASE }
}

/// The world in which a fault of the parser of chunked bodies is searched for.
pub fn framing_setup(fault: framing_parser::Fault) -> framing::Setup {
    framing::Setup { fault: Some(fault), ..FRAMING_BASE }
}
