//! A core before servers that answer at once, without a socket: for what the core itself costs and keeps.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{self, StreamExt};
use glenrail::core::{Clock, Core, Upstream};
use glenrail::exchange::{Payload, Request, ResponseHead};
use glenrail::upstream::{Call, CallError, Frame, Reply};
use glenrail_request_lifecycle::response_timing::{OnPause, ResponseLimits, ResponseTiming};
use glenrail_router::{ListUpdate, Millis, ServerEntry, ServerId};
use serde_json::json;
use tokio::time::Instant;

/// The first writer; readers have smaller numbers.
const WRITERS: u64 = 100;

/// Answers at once, but for requests whose names begin with `h`, which hang.
async fn answer(call: Call) -> Result<Reply, CallError> {
    match call {
        Call::Attempt { payload, .. } if payload.request_id.starts_with('h') => std::future::pending().await,
        Call::Attempt { server, .. } if server.0 < WRITERS => {
            Ok(Reply::Prefilled { cached_tokens: 0.0, report: None })
        }
        Call::Attempt { .. } => {
            let end = Frame::End { cached_tokens: 0.0, report: None };
            let frames = [Ok(Frame::Data(Bytes::from_static(b"data: x\n\n"))), Ok(end)];
            let timing = ResponseTiming::new(ResponseLimits::platform(OnPause::Wait));
            Ok(Reply::Response {
                head: ResponseHead::default(),
                frames: stream::iter(frames).boxed_local(),
                timing: Box::new(timing),
            })
        }
        _ => Ok(Reply::Done),
    }
}

/// So many readers and as many writers, none of which is ever full or cold; the first token is wanted within `aim`.
pub fn core(servers: u64, aim: Millis) -> Core<impl Upstream> {
    let settings = glenrail_settings::parse_settings(&json!({"balancers": 1, "quantum": 4.0,
        "services": [{"aim": aim, "deadline": 1e9, "semantics": "free"}],
        "domain": {"stage-of-kind": ["read", "write"], "tokens-by-kind": [1e12, 1e12], "pin-limit": 500.0},
        "policy-limits": {"max-attempts": 5, "cancel": true},
        "rules": {"cold": 13000.0, "cold-from": 0.31, "fall": 3000.0, "fall-multiple": 4.0}}));
    let core = Core::new(7, settings, Clock::new(Duration::from_secs(1_000_000)), tower::service_fn(answer));
    let member = |id, kind| ServerEntry { server: ServerId(id), kind, weight: 1.0, ..ServerEntry::default() };
    let members = (0..servers).flat_map(|n| [member(n, 0), member(WRITERS + n, 1)]);
    core.update_servers(ListUpdate::Full, members.collect());
    core
}

pub fn request(name: String, session: u64, patience: Millis) -> Request {
    let ask = glenrail_router::Request {
        session,
        prompt_tokens: 1_000.0,
        max_tokens: 100.0,
        client_timeout: patience,
        ..glenrail_router::Request::default()
    };
    let payload = Payload { request_id: name, ..Payload::default() };
    Request { routing: ask, arrived: Instant::now(), payload: Rc::new(payload) }
}
