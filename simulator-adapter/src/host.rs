//! Router instances of this process, identified by the number that the simulator assigned to each.

use std::collections::BTreeMap;

use glenrail_router::{Action, Router, ServerId};
use glenrail_settings::{integer, list, parse_settings, server_id, text};
use serde_json::{json, Map, Value};

use crate::decode::decode_event;
use crate::encode::encode_action;
use crate::error::AdapterError;

/// Router, and the addresses of the servers in its server lists.
pub(crate) struct Instance {
    router: Router,
    addresses: BTreeMap<ServerId, String>,
}

impl Instance {
    /// Records the server addresses in an event, because the router identifies servers only by their ids.
    fn record_addresses(&mut self, event: &Value) {
        for item in list(event, "items") {
            let address = text(item, "host");
            self.addresses.insert(server_id(address), address.to_string());
        }
    }

    /// Encodes an action as a step of this instance, or returns `None` if no list contained its server.
    pub(crate) fn encode_step(&self, number: u64, action: Action) -> Option<Value> {
        let address_of = |server: ServerId| self.addresses.get(&server).map(String::as_str);
        let mut step = encode_action(action, address_of)?;
        step["i"] = json!(number);
        Some(step)
    }
}

/// All router instances of this process.
#[derive(Default)]
pub(crate) struct RouterHost {
    pub(crate) instances: BTreeMap<u64, Instance>,
}

impl RouterHost {
    /// Processes one line of input, and returns the reply with the resulting steps.
    pub(crate) fn handle_batch(&mut self, line: &[u8]) -> Result<Value, AdapterError> {
        let batch: Value = serde_json::from_slice(line).map_err(AdapterError::NotJson)?;
        let batch: &Map<String, Value> =
            batch.as_object().ok_or(AdapterError::InvalidInput("input line is not a JSON object"))?;
        let now = batch.get("sim-time").and_then(Value::as_f64);
        let now = now.ok_or(AdapterError::InvalidInput("batch has no number in `sim-time`"))?;
        let inbox = batch.get("inbox").and_then(Value::as_array);
        let inbox = inbox.ok_or(AdapterError::InvalidInput("batch has no array in `inbox`"))?;
        let mut steps = Vec::new();
        for event in inbox {
            self.handle_event(now, event, &mut steps)?;
        }
        Ok(json!({ "steps": steps }))
    }

    fn handle_event(&mut self, now: f64, event: &Value, steps: &mut Vec<Value>) -> Result<(), AdapterError> {
        let verb = event.get("verb").and_then(Value::as_str);
        let verb = verb.ok_or(AdapterError::InvalidInput("event has no string in `verb`"))?;
        let number = event.get("i").and_then(Value::as_u64);
        let number = number.ok_or(AdapterError::InvalidInput("event has no instance number in `i`"))?;
        match verb {
            "INIT" => self.start_instance(number, event),
            "DETACH" => _ = self.instances.remove(&number),
            _ => self.dispatch_event(number, now, event, steps),
        }
        Ok(())
    }

    fn start_instance(&mut self, number: u64, event: &Value) {
        let router = Router::new(integer(event, "seed"), parse_settings(&event["settings"]));
        self.instances.insert(number, Instance { router, addresses: BTreeMap::new() });
    }

    /// Passes an event to its router. An event with an unknown instance or verb is ignored, because it may
    /// come from a newer simulator.
    fn dispatch_event(&mut self, number: u64, now: f64, event: &Value, steps: &mut Vec<Value>) {
        let Some(instance) = self.instances.get_mut(&number) else { return };
        instance.record_addresses(event);
        let Some(event) = decode_event(event) else { return };
        let mut actions = Vec::new();
        instance.router.handle(now, event, &mut actions);
        steps.extend(actions.into_iter().filter_map(|action| instance.encode_step(number, action)));
    }
}
