//! The wire's words, units and framing, put into the interface's terms and back. It decides nothing.

use std::collections::BTreeMap;

use base64::{engine::general_purpose::STANDARD, Engine};
use glenrail_router::*;
use glenrail_settings::{flag, integer, list, number, report, server_id, settings, text};
use serde_json::{json, Map, Value};

/// One router and the addresses of the servers that its lists have named.
struct Instance {
    router: Router,
    addresses: BTreeMap<ServerId, String>,
}

/// All router instances of this process.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
}

fn request_id(v: &Value) -> RequestId {
    RequestId(integer(v, "ticket"))
}

fn status(code: u64) -> AttemptStatus {
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

fn pressure(v: &Value) -> Option<LoadReport> {
    let pairs = v.get("pressure")?.as_object()?;
    Some(report(|name| pairs.get(name).and_then(Value::as_f64)))
}

fn member(v: &Value) -> ServerEntry {
    ServerEntry {
        server: server_id(text(v, "host")),
        zone: integer(v, "locality") as u32,
        cell: integer(v, "unit-group") as u32,
        kind: integer(v, "class-of-host") as u32,
        state: match integer(v, "health") {
            1 => ServerState::Ready,
            2 => ServerState::Draining,
            _ => ServerState::Terminated,
        },
        weight: number(v, "rating"),
        started: v.get("last-start").and_then(Value::as_f64).filter(|t| *t > 0.0),
    }
}

fn request(v: &Value) -> Request {
    Request {
        id: request_id(v),
        class: integer(v, "type") as u32,
        tenant: integer(v, "team") as u32,
        session: integer(v, "talk"),
        prefix: v.get("prefix-id").and_then(Value::as_u64).filter(|p| *p != 0),
        prompt_tokens: number(v, "n-prompt"),
        prefix_tokens: number(v, "n-prefix"),
        max_tokens: number(v, "n-max"),
        expected_duration: v.get("hint").and_then(Value::as_f64),
        client_timeout: number(v, "patience-left"),
        client_retry: flag(v, "again-by-client"),
        resumed: flag(v, "reconnect"),
    }
}

fn event(v: &Value) -> Option<Event> {
    let server = server_id(text(v, "host"));
    let (id, attempt, elapsed) = (request_id(v), integer(v, "attempt") as u32, number(v, "duration"));
    Some(match text(v, "verb") {
        "ENDPOINTS" => Event::ServerList {
            update: match integer(v, "scope") {
                0 => ListUpdate::Delta,
                1 => ListUpdate::Full,
                2 => ListUpdate::Cached,
                _ => ListUpdate::Failed,
            },
            servers: list(v, "items").iter().map(member).collect(),
        },
        "INBOUND" => Event::Request(request(v)),
        "WAKEUP" => Event::Timer { key: integer(v, "key-back") },
        "TIMED_OUT_CLIENT" => Event::ClientDisconnected { id },
        "UNDER_WAY" => Event::FirstToken { id, attempt, server, elapsed },
        "SETTLED" => Event::Outcome(AttemptOutcome {
            id,
            attempt,
            server,
            status: status(integer(v, "rc")),
            elapsed,
            note: number(v, "info"),
            closed: flag(v, "finished"),
            delivered: status(integer(v, "rc")).may_have_arrived(),
            report: pressure(v),
        }),
        "HELD_NOTE" => Event::SlotReservation { id, attempt, server, reserved: integer(v, "sort") == 1 },
        "HEALTH_RESULT" => {
            Event::ProbeResult { server, status: status(integer(v, "rc")), elapsed, report: pressure(v) }
        }
        "PEER" => Event::Gossip {
            from: integer(v, "src") as u32,
            bytes: STANDARD.decode(text(v, "raw")).unwrap_or_default(),
        },
        _ => return None,
    })
}

impl Instance {
    fn learn_addresses(&mut self, v: &Value) {
        for item in list(v, "items") {
            let address = text(item, "host");
            self.addresses.insert(server_id(address), address.to_string());
        }
    }

    fn step(&self, instance: u64, action: Action) -> Option<Value> {
        let host = |server: &ServerId| self.addresses.get(server).map(String::as_str);
        let mut step = match action {
            Action::Send { id, server, timeout } => {
                json!({"verb": "PLACE", "ticket": id.0, "host": host(&server)?, "patience": timeout})
            }
            Action::Cancel { id, attempt } => json!({"verb": "RETRACT", "ticket": id.0, "attempt": attempt}),
            Action::Release { id } => json!({"verb": "CLEAR_STATE", "ticket": id.0}),
            Action::Reject { id, retry_after, .. } => {
                json!({"verb": "DECLINE", "ticket": id.0, "come-back": retry_after})
            }
            Action::Fail { id, .. } => json!({"verb": "FINISH_ERROR", "ticket": id.0}),
            Action::Migrate { id } => json!({"verb": "REBALANCE", "ticket": id.0}),
            Action::ReserveSlot { id, server } => {
                json!({"verb": "RESERVE", "ticket": id.0, "host": host(&server)?})
            }
            Action::Probe { server } => json!({"verb": "POLL", "host": host(&server)?}),
            Action::CloseIdle { server } => json!({"verb": "DROP_CONNS", "host": host(&server)?}),
            Action::SendGossip { to, bytes } => {
                let to = to.map_or(json!("all"), |peer| json!(peer));
                json!({"verb": "SAY", "addressee": to, "raw": STANDARD.encode(bytes)})
            }
            Action::Subscribe { on } => json!({"verb": "SUBSCRIBE", "want": on}),
            Action::FetchList => json!({"verb": "FETCH"}),
            Action::Timer { at, key, .. } => json!({"verb": "WAKE_ME", "due-at": at, "key-back": key}),
            Action::Log(words) => json!({"verb": "JOURNAL_LINE", "words": words}),
        };
        step["i"] = json!(instance);
        Some(step)
    }
}

impl Host {
    /// Answers one line of input, or says what is wrong with it.
    pub fn batch(&mut self, line: &[u8]) -> Result<Value, String> {
        let batch: Value = serde_json::from_slice(line).map_err(|e| format!("a line is not JSON: {e}"))?;
        let batch: &Map<String, Value> = batch.as_object().ok_or("a line is not an object")?;
        let now = batch.get("sim-time").and_then(Value::as_f64).ok_or("a batch has no number in sim-time")?;
        let inbox = batch.get("inbox").and_then(Value::as_array).ok_or("a batch has no array in inbox")?;
        let mut steps = Vec::new();
        for item in inbox {
            self.event(now, item, &mut steps)?;
        }
        Ok(json!({ "steps": steps }))
    }

    fn event(&mut self, now: f64, v: &Value, steps: &mut Vec<Value>) -> Result<(), String> {
        let verb = v.get("verb").and_then(Value::as_str).ok_or("an event has no verb")?;
        let number = v.get("i").and_then(Value::as_u64).ok_or("an event has no instance in i")?;
        match verb {
            "INIT" => {
                let router = Router::new(integer(v, "seed"), settings(&v["settings"]));
                self.instances.insert(number, Instance { router, addresses: BTreeMap::new() });
                return Ok(());
            }
            "DETACH" => {
                self.instances.remove(&number);
                return Ok(());
            }
            _ => {}
        }
        let Some(instance) = self.instances.get_mut(&number) else { return Ok(()) };
        instance.learn_addresses(v);
        let Some(event) = event(v) else { return Ok(()) };
        let mut actions = Vec::new();
        instance.router.handle(now, event, &mut actions);
        steps.extend(actions.into_iter().filter_map(|a| instance.step(number, a)));
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_action_has_its_verb_and_fields() {
        let server = server_id("10.0.0.1:80");
        let mut host = Host::default();
        let start = br#"{"sim-time":1,"inbox":[{"verb":"INIT","i":4,"settings":{}},
            {"verb":"ENDPOINTS","i":4,"scope":1,"items":[{"host":"10.0.0.1:80","health":1}]}]}"#;
        host.batch(start).expect("a batch");
        let id = RequestId(7);
        let cases = [
            (
                Action::Send { id, server, timeout: 2.5 },
                r#"{"verb":"PLACE","ticket":7,"host":"10.0.0.1:80","patience":2.5}"#,
            ),
            (Action::Cancel { id, attempt: 1 }, r#"{"verb":"RETRACT","ticket":7,"attempt":1}"#),
            (Action::Release { id }, r#"{"verb":"CLEAR_STATE","ticket":7}"#),
            (
                Action::Reject { id, retry_after: 9.5, reason: RejectReason::LoadShed },
                r#"{"verb":"DECLINE","ticket":7,"come-back":9.5}"#,
            ),
            (
                Action::Fail { id, reason: RejectReason::DeadlineExceeded },
                r#"{"verb":"FINISH_ERROR","ticket":7}"#,
            ),
            (Action::Migrate { id }, r#"{"verb":"REBALANCE","ticket":7}"#),
            (Action::ReserveSlot { id, server }, r#"{"verb":"RESERVE","ticket":7,"host":"10.0.0.1:80"}"#),
            (Action::Probe { server }, r#"{"verb":"POLL","host":"10.0.0.1:80"}"#),
            (Action::CloseIdle { server }, r#"{"verb":"DROP_CONNS","host":"10.0.0.1:80"}"#),
            (
                Action::SendGossip { to: None, bytes: b"hi".to_vec() },
                r#"{"verb":"SAY","addressee":"all","raw":"aGk="}"#,
            ),
            (Action::SendGossip { to: Some(2), bytes: vec![] }, r#"{"verb":"SAY","addressee":2,"raw":""}"#),
            (Action::Subscribe { on: true }, r#"{"verb":"SUBSCRIBE","want":true}"#),
            (Action::FetchList, r#"{"verb":"FETCH"}"#),
            (
                Action::Timer { at: 3.5, key: 8, request: None },
                r#"{"verb":"WAKE_ME","due-at":3.5,"key-back":8}"#,
            ),
            (Action::Log("why".into()), r#"{"verb":"JOURNAL_LINE","words":"why"}"#),
        ];
        for (action, wanted) in cases {
            let mut wanted: Value = serde_json::from_str(wanted).expect("JSON");
            wanted["i"] = json!(4);
            assert_eq!(host.instances[&4].step(4, action), Some(wanted));
        }
        // A server that no list has named is never put on the wire.
        assert_eq!(host.instances[&4].step(4, Action::Probe { server: ServerId(1) }), None);
    }
}
