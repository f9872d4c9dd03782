//! The worlds that are explored, and the faults that must be found.

use std::time::{Duration, Instant};

use glenrail_overload::budget as budget_machine;
use glenrail_request_lifecycle::request::{Fault, RetrySafety};
use glenrail_request_lifecycle::{client as client_machine, server as server_machine};
use stateright::{Checker, HasDiscoveries, Model};

use crate::rules::Rule;
use crate::scenario::{Explored, Setting, ENDS, HOLDS};
use crate::{budget, client, request, server};

/// What exploring one world gave.
pub struct Explore<A> {
    pub states: usize,
    pub transitions: usize,
    pub depth: usize,
    pub took: Duration,
    /// The acts that lead to a broken rule, and which it is.
    pub broken: Option<(Rule, Vec<A>)>,
}

/// Explores all of a world, breadth first: with one thread, the first counterexample is a shortest one.
pub fn explore<S: Setting>(setting: &S, threads: usize) -> Explore<S::Act> {
    let start = Instant::now();
    let checker = Explored(setting.clone()).checker().threads(threads).finish_when(HasDiscoveries::Any);
    let checker = checker.spawn_bfs().join();
    let broken = [HOLDS, ENDS].into_iter().find_map(|property| {
        let path = checker.discovery(property)?;
        let rule = S::violated(path.last_state()).unwrap_or(S::REST);
        Some((rule, path.into_actions()))
    });
    Explore {
        states: checker.unique_state_count(),
        transitions: checker.state_count(),
        depth: checker.max_depth(),
        took: start.elapsed(),
        broken,
    }
}

/// One world with a name.
pub struct Case<S> {
    pub name: &'static str,
    pub setup: S,
}

const BASE: request::Setup = request::Setup {
    readers: 1,
    writers: 1,
    repeat: RetrySafety::AtMostOnce,
    cancel: true,
    troubles: 3,
    sends: 2,
    cancels: 1,
    releases: 1,
    holds: 0,
    fault: None,
    server_fault: None,
};

/// How far to go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Reach {
    /// Under a minute, for CI.
    Quick,
    /// Minutes on four cores.
    Whole,
}

pub fn requests(reach: Reach) -> Vec<Case<request::Setup>> {
    let quick = vec![
        Case {
            name: "order, a reader and a writer, two sends, two troubles",
            setup: request::Setup { troubles: 2, ..BASE },
        },
        Case {
            name: "order, places held ahead, two sends, two troubles",
            setup: request::Setup { troubles: 2, holds: 1, cancels: 0, releases: 0, ..BASE },
        },
        Case {
            name: "query, two writers, two sends, two troubles",
            setup: request::Setup {
                readers: 0,
                writers: 2,
                troubles: 2,
                repeat: RetrySafety::Idempotent,
                ..BASE
            },
        },
        Case {
            name: "order, nothing may be called back, two troubles",
            setup: request::Setup { troubles: 2, cancel: false, cancels: 0, ..BASE },
        },
    ];
    let whole = vec![
        Case { name: "order, a reader and a writer, two sends, three troubles", setup: BASE },
        Case {
            name: "order, two writers, three troubles",
            setup: request::Setup { readers: 0, writers: 2, ..BASE },
        },
        Case {
            name: "order, two readers, three troubles",
            setup: request::Setup { readers: 2, writers: 0, ..BASE },
        },
        Case {
            name: "query, a reader and a writer, three troubles",
            setup: request::Setup { repeat: RetrySafety::Idempotent, ..BASE },
        },
        Case {
            name: "order, places held ahead, three troubles",
            setup: request::Setup { holds: 1, cancels: 0, releases: 0, ..BASE },
        },
        Case {
            name: "order, places held ahead at one of two writers, two troubles",
            setup: request::Setup { writers: 2, holds: 1, troubles: 2, cancels: 0, releases: 0, ..BASE },
        },
        Case {
            name: "order, three sends, two troubles",
            setup: request::Setup { sends: 3, troubles: 2, releases: 0, ..BASE },
        },
        Case {
            name: "order, two readers and two writers, two sends, two troubles",
            setup: request::Setup { readers: 2, writers: 2, troubles: 2, ..BASE },
        },
        Case {
            name: "order, nothing may be called back, three troubles",
            setup: request::Setup { cancel: false, cancels: 0, ..BASE },
        },
    ];
    match reach {
        Reach::Quick => quick,
        Reach::Whole => quick.into_iter().chain(whole).collect(),
    }
}

pub fn clients() -> Case<client::Setup> {
    Case {
        name: "a client's connection, four requests, two stalls",
        setup: client::Setup { requests: 4, stalls: 2, fault: None },
    }
}

pub fn servers() -> Case<server::Setup> {
    Case { name: "a server's connection, three requests", setup: server::Setup { requests: 3, fault: None } }
}

/// The worlds of leased budgets: clocks that run as far apart as they may, from their first ask to after a restart.
pub fn budgets(reach: Reach) -> Vec<Case<budget::Setup>> {
    let base = budget::Setup {
        asks: 2,
        ticks: 5,
        troubles: 0,
        witnessed: false,
        holds: 0,
        late: 0,
        share: None,
        fault: None,
    };
    let witnessed = budget::Setup { asks: 0, ticks: 7, holds: 2, witnessed: true, ..base };
    let quick = vec![
        Case { name: "a budget of three, two asks, five ticks, messages lost and reordered", setup: base },
        Case {
            name: "a budget of three, one ask, six ticks, two troubles",
            setup: budget::Setup { asks: 1, ticks: 6, troubles: 2, ..base },
        },
        Case { name: "shares with a witness each, two words asked, seven ticks", setup: witnessed },
    ];
    let whole = vec![
        Case {
            name: "a budget of three, one ask, eight ticks, three troubles",
            setup: budget::Setup { asks: 1, ticks: 8, troubles: 3, ..base },
        },
        Case {
            name: "a budget of three, two asks, six ticks, one trouble",
            setup: budget::Setup { ticks: 6, troubles: 1, ..base },
        },
        Case {
            name: "a share with a witness, three words asked, eight ticks",
            setup: budget::Setup { holds: 3, ticks: 8, share: Some(1), ..witnessed },
        },
        Case {
            name: "a share with a witness, two words and a part asked, late, four ticks",
            setup: budget::Setup { asks: 1, late: 3, ticks: 4, share: Some(1), ..witnessed },
        },
        Case {
            name: "a share with a witness, three words asked, late, three ticks, one trouble",
            setup: budget::Setup { holds: 3, late: 4, ticks: 3, troubles: 1, share: Some(1), ..witnessed },
        },
    ];
    match reach {
        Reach::Quick => quick,
        Reach::Whole => quick.into_iter().chain(whole).collect(),
    }
}

/// A planted fault, and the rule that it was planted to break.
pub struct Mutant<F> {
    pub fault: F,
    pub rule: Rule,
}

macro_rules! mutants {
    ($name:ident: $fault:ty { $($planted:ident => $rule:ident,)+ }) => {
        pub const $name: &[Mutant<$fault>] = &[$(Mutant { fault: <$fault>::$planted, rule: Rule::$rule },)+];
    };
}

mutants!(REQUEST_FAULTS: Fault {
    AnswersTwice => OneFinalAnswer,
    AnswersAfterStream => OneFinalAnswer,
    SecondAttempt => NoSecondAttempt,
    RunsOrderTwice => NeverRunsTwice,
    ForgetsCutRead => HeldIsLetGo,
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
});

mutants!(SERVER_FAULTS: server_machine::Fault {
    WritesToDrained => NothingToDrained,
    ReplacesAfterByte => ReplacedUnwritten,
    CallsSentNeverRan => NeverRanIsTrue,
    KeepsDrained => DrainedNotKept,
});

mutants!(CLIENT_FAULTS: client_machine::Fault {
    EvictsOpenRequest => NoCloseAcrossRequest,
    HandsOverHalfHead => HandedOverClean,
    HandsOverUnwritten => HandedOverClean,
    KeepsAfterUnread => NoRequestInBody,
});

mutants!(BUDGET_FAULTS: budget_machine::Fault {
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

/// The world in which a request's fault is looked for: small, with places and a second writer.
pub fn faulty(fault: Fault) -> request::Setup {
    let holds = u8::from(fault == Fault::ForgetsPlace);
    request::Setup { fault: Some(fault), troubles: 2, holds, ..BASE }
}

/// The world in which a budget's fault is looked for.
pub fn faulty_budget(fault: budget_machine::Fault) -> budget::Setup {
    use budget_machine::Fault as F;
    let owned = budget::Setup { ticks: 5, troubles: 1, fault: Some(fault), ..budgets(Reach::Quick)[0].setup };
    let witnessed = budget::Setup { asks: 0, troubles: 0, witnessed: true, holds: 2, ..owned };
    match fault {
        F::InheritsByTooFew | F::ForgetsPledge => witnessed,
        // A share has just been nobody's, or is about to be.
        F::ForgetsPromise => budget::Setup { late: 6, ticks: 0, holds: 3, ..witnessed },
        F::LendsBeyondTenure => budget::Setup { late: 4, ticks: 2, asks: 1, share: Some(1), ..witnessed },
        _ => owned,
    }
}
