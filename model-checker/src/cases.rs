//! The worlds that are explored.
//!
//! The names are printed with the figures of each world, so that two runs can be compared; they stay as they are.

use glenrail_request_lifecycle::request::RetrySafety;

use crate::{budget, client, framing, request, request_ids, response_timing, server};

/// One world with a name.
pub struct Case<S> {
    /// The name.
    pub name: &'static str,
    /// The world and its bounds.
    pub setup: S,
}

/// How far to explore.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Reach {
    /// Under a minute, for CI.
    Quick,
    /// Minutes on four cores.
    #[value(name = "whole")]
    Full,
}

impl Reach {
    /// The quick cases, and the long ones where asked for.
    fn select<S>(self, quick: Vec<Case<S>>, long: Vec<Case<S>>) -> Vec<Case<S>> {
        match self {
            Reach::Quick => quick,
            Reach::Full => quick.into_iter().chain(long).collect(),
        }
    }
}

/// The bounds from which the worlds of requests are derived.
pub(crate) const REQUEST_BASE: request::Setup = request::Setup {
    prefill_servers: 1,
    decode_servers: 1,
    retry_safety: RetrySafety::AtMostOnce,
    cancellation: true,
    faults: 3,
    sends: 2,
    cancels: 1,
    releases: 1,
    slot_requests: 0,
    request_fault: None,
    connection_fault: None,
};

/// The worlds of a request.
pub fn request_cases(reach: Reach) -> Vec<Case<request::Setup>> {
    reach.select(quick_request_cases(), long_request_cases())
}

fn quick_request_cases() -> Vec<Case<request::Setup>> {
    vec![
        Case {
            name: "order, a reader and a writer, two sends, two troubles",
            setup: request::Setup { faults: 2, ..REQUEST_BASE },
        },
        Case {
            name: "order, places held ahead, two sends, two troubles",
            setup: request::Setup { faults: 2, slot_requests: 1, cancels: 0, releases: 0, ..REQUEST_BASE },
        },
        Case {
            name: "query, two writers, two sends, two troubles",
            setup: request::Setup {
                prefill_servers: 0,
                decode_servers: 2,
                faults: 2,
                retry_safety: RetrySafety::Idempotent,
                ..REQUEST_BASE
            },
        },
        Case {
            name: "order, nothing may be called back, two troubles",
            setup: request::Setup { faults: 2, cancellation: false, cancels: 0, ..REQUEST_BASE },
        },
    ]
}

fn long_request_cases() -> Vec<Case<request::Setup>> {
    vec![
        Case { name: "order, a reader and a writer, two sends, three troubles", setup: REQUEST_BASE },
        Case {
            name: "order, two writers, three troubles",
            setup: request::Setup { prefill_servers: 0, decode_servers: 2, ..REQUEST_BASE },
        },
        Case {
            name: "order, two readers, three troubles",
            setup: request::Setup { prefill_servers: 2, decode_servers: 0, ..REQUEST_BASE },
        },
        Case {
            name: "query, a reader and a writer, three troubles",
            setup: request::Setup { retry_safety: RetrySafety::Idempotent, ..REQUEST_BASE },
        },
        Case {
            name: "order, places held ahead, three troubles",
            setup: request::Setup { slot_requests: 1, cancels: 0, releases: 0, ..REQUEST_BASE },
        },
        Case {
            name: "order, places held ahead at one of two writers, two troubles",
            setup: request::Setup {
                decode_servers: 2,
                slot_requests: 1,
                faults: 2,
                cancels: 0,
                releases: 0,
                ..REQUEST_BASE
            },
        },
        Case {
            name: "order, three sends, two troubles",
            setup: request::Setup { sends: 3, faults: 2, releases: 0, ..REQUEST_BASE },
        },
        Case {
            name: "order, two readers and two writers, two sends, two troubles",
            setup: request::Setup { prefill_servers: 2, decode_servers: 2, faults: 2, ..REQUEST_BASE },
        },
        Case {
            name: "order, nothing may be called back, three troubles",
            setup: request::Setup { cancellation: false, cancels: 0, ..REQUEST_BASE },
        },
    ]
}

/// The world of a client's connection.
pub fn client_case() -> Case<client::Setup> {
    Case {
        name: "a client's connection, four requests, two stalls",
        setup: client::Setup { requests: 4, stalls: 2, fault: None },
    }
}

/// The world of a connection to a server.
pub fn server_case() -> Case<server::Setup> {
    Case { name: "a server's connection, three requests", setup: server::Setup { requests: 3, fault: None } }
}

/// The bounds from which the worlds of leased budgets are derived.
pub(crate) const BUDGET_BASE: budget::Setup = budget::Setup {
    asks: 2,
    ticks: 5,
    faults: 0,
    witnessed: false,
    share_requests: 0,
    late: 0,
    share: None,
    fault: None,
};

/// The same where shares need a witness.
const WITNESSED_BUDGET: budget::Setup =
    budget::Setup { asks: 0, ticks: 7, share_requests: 2, witnessed: true, ..BUDGET_BASE };

/// The worlds of leased budgets: clocks that run as far apart as they may, from their first ask to after a restart.
pub fn budget_cases(reach: Reach) -> Vec<Case<budget::Setup>> {
    reach.select(quick_budget_cases(), long_budget_cases())
}

fn quick_budget_cases() -> Vec<Case<budget::Setup>> {
    vec![
        Case {
            name: "a budget of three, two asks, five ticks, messages lost and reordered",
            setup: BUDGET_BASE,
        },
        Case {
            name: "a budget of three, one ask, six ticks, two troubles",
            setup: budget::Setup { asks: 1, ticks: 6, faults: 2, ..BUDGET_BASE },
        },
        Case { name: "shares with a witness each, two words asked, seven ticks", setup: WITNESSED_BUDGET },
    ]
}

fn long_budget_cases() -> Vec<Case<budget::Setup>> {
    vec![
        Case {
            name: "a budget of three, one ask, eight ticks, three troubles",
            setup: budget::Setup { asks: 1, ticks: 8, faults: 3, ..BUDGET_BASE },
        },
        Case {
            name: "a budget of three, two asks, six ticks, one trouble",
            setup: budget::Setup { ticks: 6, faults: 1, ..BUDGET_BASE },
        },
        Case {
            name: "a share with a witness, three words asked, eight ticks",
            setup: budget::Setup { share_requests: 3, ticks: 8, share: Some(1), ..WITNESSED_BUDGET },
        },
        Case {
            name: "a share with a witness, two words and a part asked, late, four ticks",
            setup: budget::Setup { asks: 1, late: 3, ticks: 4, share: Some(1), ..WITNESSED_BUDGET },
        },
        Case {
            name: "a share with a witness, three words asked, late, three ticks, one trouble",
            setup: budget::Setup {
                share_requests: 3,
                late: 4,
                ticks: 3,
                faults: 1,
                share: Some(1),
                ..WITNESSED_BUDGET
            },
        },
    ]
}

/// The bounds from which the worlds of request ids are derived.
pub(crate) const REQUEST_IDS_BASE: request_ids::Setup = request_ids::Setup {
    processes: 2,
    claims: 3,
    hand_overs: 1,
    kills: 1,
    shutdowns: 1,
    repeats: 1,
    fault: None,
};

/// The worlds of request ids over upgrades.
pub fn request_ids_cases(reach: Reach) -> Vec<Case<request_ids::Setup>> {
    let quick = vec![
        Case { name: "one id, two processes, three requests", setup: REQUEST_IDS_BASE },
        Case {
            name: "one id, three processes, two requests, nobody killed",
            setup: request_ids::Setup {
                processes: 3,
                claims: 2,
                hand_overs: 2,
                kills: 0,
                ..REQUEST_IDS_BASE
            },
        },
    ];
    let long = vec![Case {
        name: "one id, three processes, three requests, nobody killed",
        setup: request_ids::Setup { processes: 3, hand_overs: 2, kills: 0, ..REQUEST_IDS_BASE },
    }];
    reach.select(quick, long)
}

/// The bounds from which the worlds of a response's time limits are derived.
pub(crate) const RESPONSE_TIMING_BASE: response_timing::Setup =
    response_timing::Setup { ticks: 10, suspensions: 1, hand_overs: 1, fault: None };

/// The worlds of a response's time limits.
pub fn response_timing_cases(reach: Reach) -> Vec<Case<response_timing::Setup>> {
    let quick = vec![Case {
        name: "a response's time limits, ten ticks, one suspension, one upgrade",
        setup: RESPONSE_TIMING_BASE,
    }];
    let long = vec![Case {
        name: "a response's time limits, fourteen ticks, two suspensions, two upgrades",
        setup: response_timing::Setup { ticks: 14, suspensions: 2, hand_overs: 2, ..RESPONSE_TIMING_BASE },
    }];
    reach.select(quick, long)
}

/// The bounds from which the worlds of a body's framing are derived.
pub(crate) const FRAMING_BASE: framing::Setup = framing::Setup { bytes: 12, fault: None };

/// The worlds of a body's framing.
pub fn framing_cases(reach: Reach) -> Vec<Case<framing::Setup>> {
    let quick = vec![Case { name: "the framing of a body, twelve bytes", setup: FRAMING_BASE }];
    let long = vec![Case {
        name: "the framing of a body, eighteen bytes",
        setup: framing::Setup { bytes: 18, ..FRAMING_BASE },
    }];
    reach.select(quick, long)
}
