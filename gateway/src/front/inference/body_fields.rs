//! Reads the fields that routing needs from the JSON bodies of the public APIs, and validates the bodies.

use glenrail_settings::server_id;
use serde::Deserialize;
use serde_json::value::RawValue;

use super::error::ApiError;
use super::CHARS_PER_TOKEN;

/// Maximum number of inputs or documents in a request.
const MAX_BATCH: usize = 2_048;
/// Number of output tokens that is assumed for a chat without a limit.
const DEFAULT_MAX_TOKENS: f64 = 512.0;

/// Function that reads the body of an endpoint.
pub(super) type BodyReader = fn(&[u8]) -> Result<BodyFields, ApiError>;

/// Fields of a body that routing needs.
#[derive(Debug)]
pub(super) struct BodyFields {
    /// Hash that identifies the conversation; `None` if the request belongs to none.
    pub session: Option<u64>,
    /// Hash of the prompt prefix that conversations share; `None` if there is none.
    pub prefix: Option<u64>,
    pub prefix_tokens: f64,
    pub max_tokens: f64,
    /// Whether the response is a stream of events; otherwise it is one document.
    pub stream: bool,
}

impl BodyFields {
    /// Returns the fields of a batch, which has neither a session nor a stream.
    fn batch() -> Self {
        BodyFields { session: None, prefix: None, prefix_tokens: 0.0, max_tokens: 0.0, stream: false }
    }
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, ApiError> {
    serde_json::from_slice(body)
        .map_err(|error| ApiError::invalid(format!("the body is not as wanted: {error}")))
}

fn is_string(value: &RawValue) -> bool {
    value.get().starts_with('"')
}

fn is_token_list(value: &RawValue) -> bool {
    serde_json::from_str::<Vec<u32>>(value.get()).is_ok_and(|tokens| !tokens.is_empty())
}

/// Checks that a batch has a valid number of entries and that `is_valid` accepts each of them.
fn check_batch(key: &str, value: &RawValue, is_valid: impl Fn(&RawValue) -> bool) -> Result<(), ApiError> {
    let entries: Vec<&RawValue> =
        serde_json::from_str(value.get()).map_err(|_| ApiError::invalid(format!("{key}: a list wanted")))?;
    if entries.is_empty() || entries.len() > MAX_BATCH {
        let message = format!("{key}: 1 to {MAX_BATCH} entries wanted, not {}", entries.len());
        return Err(ApiError::invalid(message));
    }
    match entries.iter().position(|entry| !is_valid(entry)) {
        Some(index) => Err(ApiError::invalid(format!("{key}[{index}]: not of a kind that is taken"))),
        None => Ok(()),
    }
}

/// Reads a request for embeddings. Its input is a text, a list of tokens, or a list with entries of these kinds.
pub(super) fn read_embeddings(body: &[u8]) -> Result<BodyFields, ApiError> {
    #[derive(Deserialize)]
    struct Shape<'a> {
        #[serde(rename = "model")]
        _model: String,
        #[serde(borrow)]
        input: &'a RawValue,
    }
    let shape: Shape = parse(body)?;
    if is_string(shape.input) {
        if shape.input.get() == "\"\"" {
            return Err(ApiError::invalid("input: must not be empty"));
        }
    } else if !is_token_list(shape.input) {
        check_batch("input", shape.input, |value| is_string(value) || is_token_list(value))?;
    }
    Ok(BodyFields::batch())
}

/// Reads a request to rerank documents.
pub(super) fn read_rerank(body: &[u8]) -> Result<BodyFields, ApiError> {
    #[derive(Deserialize)]
    struct Shape<'a> {
        #[serde(rename = "model")]
        _model: String,
        query: String,
        #[serde(borrow)]
        documents: &'a RawValue,
        top_n: Option<u64>,
    }
    let shape: Shape = parse(body)?;
    if shape.query.is_empty() {
        return Err(ApiError::invalid("query: must not be empty"));
    }
    if shape.top_n == Some(0) {
        return Err(ApiError::invalid("top_n: must be above 0"));
    }
    check_batch("documents", shape.documents, |value| is_string(value) || value.get().starts_with('{'))?;
    Ok(BodyFields::batch())
}

#[derive(Deserialize)]
struct ChatMessage<'a> {
    role: String,
    #[serde(borrow)]
    content: Option<&'a RawValue>,
}

impl ChatMessage<'_> {
    fn text(&self) -> &str {
        self.content.map_or("", RawValue::get)
    }
}

#[derive(Deserialize)]
struct ChatShape<'a> {
    #[serde(rename = "model")]
    _model: String,
    #[serde(borrow)]
    messages: Vec<ChatMessage<'a>>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: Option<bool>,
    user: Option<String>,
}

impl ChatShape<'_> {
    /// Returns a hash that identifies the conversation, from the user and the user's first message.
    fn session(&self) -> u64 {
        let first_message = self.messages.iter().find(|message| message.role == "user");
        let first_message = first_message.map_or("", ChatMessage::text);
        let user = self.user.as_deref().unwrap_or_default();
        server_id(&format!("{user}\n{first_message}")).0
    }

    /// Returns the prompt prefix that conversations share: a system message at the start, if other messages
    /// follow it.
    fn shared_prefix(&self) -> Option<&str> {
        let first = self.messages.first()?;
        (first.role == "system" && self.messages.len() > 1).then(|| first.text())
    }
}

/// Reads a chat request.
pub(super) fn read_chat(body: &[u8]) -> Result<BodyFields, ApiError> {
    let shape: ChatShape = parse(body)?;
    if shape.messages.is_empty() {
        return Err(ApiError::invalid("messages: must not be empty"));
    }
    let limit = shape.max_completion_tokens.or(shape.max_tokens);
    if limit == Some(0) {
        return Err(ApiError::invalid("max_tokens: must be above 0"));
    }
    let prefix = shape.shared_prefix();
    Ok(BodyFields {
        session: Some(shape.session()),
        prefix: prefix.map(|text| server_id(text).0),
        prefix_tokens: prefix.map_or(0.0, |text| text.len() as f64 / CHARS_PER_TOKEN),
        max_tokens: limit.map_or(DEFAULT_MAX_TOKENS, f64::from),
        stream: shape.stream.unwrap_or(false),
    })
}
