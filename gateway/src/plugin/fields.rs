//! Fields that hooks receive. Their keys are part of the scripts' interface.

use std::time::Duration;

use rhai::{Dynamic, Map};

use crate::core::millis;
use crate::exchange::{Request, ResponseOutcome};

/// Fields of a request.
#[derive(Clone, Debug, Default)]
pub struct RequestFields {
    request_id: String,
    path: String,
    class: u32,
    session: u64,
    prompt_tokens: f64,
    max_tokens: f64,
    client_timeout_ms: f64,
    body_bytes: usize,
}

impl RequestFields {
    /// Copies the fields of a request.
    pub fn of(request: &Request) -> Self {
        let (routing, payload) = (&request.routing, &request.payload);
        RequestFields {
            request_id: payload.request_id.clone(),
            path: payload.uri.path().to_string(),
            class: routing.class,
            session: routing.session,
            prompt_tokens: routing.prompt_tokens,
            max_tokens: routing.max_tokens,
            client_timeout_ms: routing.client_timeout,
            body_bytes: payload.body.len(),
        }
    }

    /// Returns the argument of the request hook.
    pub fn to_map(&self) -> Map {
        Map::from_iter([
            ("name".into(), Dynamic::from(self.request_id.clone())),
            ("path".into(), Dynamic::from(self.path.clone())),
            ("class".into(), Dynamic::from(i64::from(self.class))),
            ("session".into(), Dynamic::from(format!("{:016x}", self.session))),
            ("prompt_tokens".into(), Dynamic::from(self.prompt_tokens)),
            ("max_tokens".into(), Dynamic::from(self.max_tokens)),
            ("deadline_ms".into(), Dynamic::from(self.client_timeout_ms)),
            ("body_bytes".into(), Dynamic::from(self.body_bytes as i64)),
        ])
    }
}

/// Fields of a response that has ended.
#[derive(Clone, Debug)]
pub struct ResponseFields {
    /// Fields of the request.
    pub request: RequestFields,
    /// How the response ended.
    pub outcome: ResponseOutcome,
    /// Time from the request's admission to the response's end.
    pub elapsed: Duration,
}

impl ResponseFields {
    /// Returns the argument of the response hook.
    pub fn to_map(&self) -> Map {
        let mut fields = self.request.to_map();
        fields.insert("ended".into(), Dynamic::from(script_label(self.outcome).to_string()));
        fields.insert("elapsed_ms".into(), Dynamic::from(millis(self.elapsed)));
        fields
    }
}

/// Returns the name of an outcome in the scripts' interface.
fn script_label(outcome: ResponseOutcome) -> &'static str {
    match outcome {
        ResponseOutcome::Completed => "served",
        ResponseOutcome::Rejected => "refused",
        ResponseOutcome::Failed => "failed",
        ResponseOutcome::Aborted => "cut",
    }
}

#[cfg(test)]
impl RequestFields {
    /// Returns the fields of a request with this number of prompt tokens.
    pub fn with_prompt_tokens(prompt_tokens: f64) -> Self {
        RequestFields { prompt_tokens, ..RequestFields::default() }
    }
}
