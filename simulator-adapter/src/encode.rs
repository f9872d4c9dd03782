//! Encoder from the router's actions to the simulator's JSON steps. Only this module writes the verbs and
//! keys of the protocol.

use base64::{engine::general_purpose::STANDARD, Engine};
use glenrail_router::{Action, ServerId};
use serde_json::{json, Value};

/// Encodes an action as a step, or returns `None` if the address of its server is unknown.
pub(crate) fn encode_action<'a>(
    action: Action, address_of: impl Fn(ServerId) -> Option<&'a str>,
) -> Option<Value> {
    Some(match action {
        Action::Send { id, server, timeout } => {
            json!({"verb": "PLACE", "ticket": id.0, "host": address_of(server)?, "patience": timeout})
        }
        Action::Cancel { id, attempt } => json!({"verb": "RETRACT", "ticket": id.0, "attempt": attempt}),
        Action::Release { id } => json!({"verb": "CLEAR_STATE", "ticket": id.0}),
        Action::Reject { id, retry_after, .. } => {
            json!({"verb": "DECLINE", "ticket": id.0, "come-back": retry_after})
        }
        Action::Fail { id, .. } => json!({"verb": "FINISH_ERROR", "ticket": id.0}),
        Action::Migrate { id } => json!({"verb": "REBALANCE", "ticket": id.0}),
        Action::ReserveSlot { id, server } => {
            json!({"verb": "RESERVE", "ticket": id.0, "host": address_of(server)?})
        }
        Action::Probe { server } => json!({"verb": "POLL", "host": address_of(server)?}),
        Action::CloseIdle { server } => json!({"verb": "DROP_CONNS", "host": address_of(server)?}),
        Action::SendGossip { to, bytes } => {
            let addressee = to.map_or(json!("all"), |router| json!(router));
            json!({"verb": "SAY", "addressee": addressee, "raw": STANDARD.encode(bytes)})
        }
        Action::Subscribe { on } => json!({"verb": "SUBSCRIBE", "want": on}),
        Action::FetchList => json!({"verb": "FETCH"}),
        Action::Timer { at, key, .. } => json!({"verb": "WAKE_ME", "due-at": at, "key-back": key}),
        Action::Log(message) => json!({"verb": "JOURNAL_LINE", "words": message}),
    })
}
