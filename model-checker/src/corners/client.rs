//! Corner cases of a client's connection.

use glenrail_request_lifecycle::client::Framing;

use super::Corner;
use crate::client::{Action, Setup};

const SETUP: Setup = Setup { requests: 2, stalls: 1, fault: None };

/// A complete request without a body.
const REQUEST: [Action; 3] = [Action::StartHead, Action::CompleteHead(Framing::Complete), Action::PassOn];

/// All corners of a client's connection.
pub fn client_corners() -> Vec<Corner<Setup>> {
    let handed_over = [
        Action::DetachStream,
        Action::Stall(true),
        Action::RequestHandOver,
        Action::Stall(false),
        Action::RequestHandOver,
    ];
    let next_request = [
        Action::DetachStream,
        Action::PipelineRequest,
        Action::FinishResponse,
        Action::CompleteHead(Framing::Complete),
        Action::PassOn,
        Action::RequestHandOver,
        Action::FinishResponse,
        Action::TimeOut,
    ];
    vec![
        Corner {
            name: "client-handed-over-between-two-chunks",
            description: "The client's connection goes over with its stream once what was written is out",
            setup: SETUP,
            actions: [&REQUEST[..], &handed_over[..]].concat(),
        },
        Corner {
            name: "client-next-request-after-a-stream-that-could-leave",
            description:
                "Found: after an answer that could have gone over, the next request went over unanswered",
            setup: SETUP,
            actions: [&REQUEST[..], &next_request[..]].concat(),
        },
    ]
}
