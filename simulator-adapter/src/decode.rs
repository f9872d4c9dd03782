//! Decoder from the simulator's JSON events to the router's events. Only this module reads the keys and codes
//! of the protocol.

use base64::{engine::general_purpose::STANDARD, Engine};
use glenrail_router::{
    AttemptOutcome, AttemptStatus, Event, ListUpdate, LoadReport, Request, RequestId, ServerEntry,
    ServerState,
};
use glenrail_settings::{flag, integer, list, load_report, number, server_id, text};
use serde_json::Value;

fn request_id(event: &Value) -> RequestId {
    RequestId(integer(event, "ticket"))
}

fn attempt_status(code: u64) -> AttemptStatus {
    match code {
        100 => AttemptStatus::Served,
        202 => AttemptStatus::Prefilled,
        302 => AttemptStatus::Rejected,
        303 => AttemptStatus::Timeout,
        304 => AttemptStatus::ConnectFailed,
        305 => AttemptStatus::Reset,
        306 => AttemptStatus::Cancelled,
        307 => AttemptStatus::NotSent,
        _ => AttemptStatus::Error,
    }
}

fn reported_load(event: &Value) -> Option<LoadReport> {
    let pairs = event.get("pressure")?.as_object()?;
    Some(load_report(|name| pairs.get(name).and_then(Value::as_f64)))
}

fn server_entry(item: &Value) -> ServerEntry {
    ServerEntry {
        server: server_id(text(item, "host")),
        zone: integer(item, "locality") as u32,
        cell: integer(item, "unit-group") as u32,
        kind: integer(item, "class-of-host") as u32,
        state: match integer(item, "health") {
            1 => ServerState::Ready,
            2 => ServerState::Draining,
            _ => ServerState::Terminated,
        },
        weight: number(item, "rating"),
        started: item.get("last-start").and_then(Value::as_f64).filter(|time| *time > 0.0),
    }
}

fn list_update(scope: u64) -> ListUpdate {
    match scope {
        0 => ListUpdate::Delta,
        1 => ListUpdate::Full,
        2 => ListUpdate::Cached,
        _ => ListUpdate::Failed,
    }
}

fn request(event: &Value) -> Request {
    Request {
        id: request_id(event),
        class: integer(event, "type") as u32,
        tenant: integer(event, "team") as u32,
        session: integer(event, "talk"),
        prefix: event.get("prefix-id").and_then(Value::as_u64).filter(|prefix| *prefix != 0),
        prompt_tokens: number(event, "n-prompt"),
        prefix_tokens: number(event, "n-prefix"),
        max_tokens: number(event, "n-max"),
        expected_duration: event.get("hint").and_then(Value::as_f64),
        client_timeout: number(event, "patience-left"),
        client_retry: flag(event, "again-by-client"),
        resumed: flag(event, "reconnect"),
    }
}

/// Decodes an event, or returns `None` for an unknown verb.
pub(crate) fn decode_event(event: &Value) -> Option<Event> {
    let id = request_id(event);
    let attempt = integer(event, "attempt") as u32;
    let server = server_id(text(event, "host"));
    let elapsed = number(event, "duration");
    Some(match text(event, "verb") {
        "ENDPOINTS" => Event::ServerList {
            update: list_update(integer(event, "scope")),
            servers: list(event, "items").iter().map(server_entry).collect(),
        },
        "INBOUND" => Event::Request(request(event)),
        "WAKEUP" => Event::Timer { key: integer(event, "key-back") },
        "TIMED_OUT_CLIENT" => Event::ClientDisconnected { id },
        "UNDER_WAY" => Event::FirstToken { id, attempt, server, elapsed },
        "SETTLED" => {
            let status = attempt_status(integer(event, "rc"));
            Event::Outcome(AttemptOutcome {
                id,
                attempt,
                server,
                status,
                elapsed,
                status_detail: number(event, "info"),
                closed: flag(event, "finished"),
                delivered: status.may_have_arrived(),
                report: reported_load(event),
            })
        }
        "HELD_NOTE" => Event::SlotReservation { id, attempt, server, reserved: integer(event, "sort") == 1 },
        "HEALTH_RESULT" => Event::ProbeResult {
            server,
            status: attempt_status(integer(event, "rc")),
            elapsed,
            report: reported_load(event),
        },
        "PEER" => Event::Gossip {
            from: integer(event, "src") as u32,
            bytes: STANDARD.decode(text(event, "raw")).unwrap_or_default(),
        },
        _ => return None,
    })
}
