//! Reads the fields that routing needs from the headers of a request.

use std::str::Utf8Error;

use glenrail_router::{Millis, Request};
use glenrail_settings::server_id;
use http::{HeaderMap, HeaderValue};
use thiserror::Error;

use super::{PlatformSettings, MAX_BODY_BYTES};

/// Number of body bytes that count as one token, as the protocol defines it.
const BYTES_PER_TOKEN: usize = 4;
/// Maximum number of tokens in a body. Larger counts from a client are reduced to it, because they would
/// distort the router's mean prompt length for hundreds of requests.
const MAX_TOKENS: f64 = (MAX_BODY_BYTES / BYTES_PER_TOKEN) as f64;
/// Maximum time in ms that a request waits for its first token; longer deadlines from clients are reduced to it.
const MAX_CLIENT_TIMEOUT: Millis = 60_000.0;
/// Maximum number of characters of a request id.
const MAX_ID_LENGTH: usize = 64;

/// Error in a header. Its text is the body of the 400 response, for the developer of the client.
#[derive(Debug, Error, PartialEq, Eq)]
pub(super) enum FieldError {
    /// A required header is missing.
    #[error("{0}: missing")]
    Missing(&'static str),
    /// A header is not UTF-8.
    #[error("{0}: not text")]
    NotText(&'static str),
    /// A header is given more than once. It is rejected because a server could read another value than the gateway.
    #[error("{0}: given more than once")]
    Repeated(&'static str),
    /// The request id has an invalid length or character.
    #[error("Req-Id: 1 to 64 letters, digits, '-' or '_' wanted")]
    BadId,
    /// The settings define no class of this name.
    #[error("Req-Kind: no such class")]
    UnknownClass,
    /// The settings define no tenant of this name.
    #[error("Req-Owner: no such tenant")]
    UnknownTenant,
    /// A time is not a finite number of seconds above 0.
    #[error("{0}: seconds above 0 wanted")]
    BadSeconds(&'static str),
    /// An entry of the extra fields has no value.
    #[error("Req-Extra: name=value wanted")]
    ExtraWithoutValue,
    /// A token count is not a finite number of at least 0.
    #[error("Req-Extra: {0} is no count of tokens")]
    BadTokenCount(String),
}

/// Fields that the headers of a request contain.
#[derive(Debug)]
pub(super) struct Fields {
    /// Id that the client has given the request.
    pub request_id: String,
    /// Input for the router; the core sets its `id`.
    pub routing: Request,
}

/// Returns the value of a header as UTF-8 text, because operators may name classes and tenants in any language.
pub(super) fn header_text(value: &HeaderValue) -> Result<&str, Utf8Error> {
    std::str::from_utf8(value.as_bytes())
}

/// Reads the fields from the headers; an error names the invalid header.
pub(super) fn read_fields(headers: &HeaderMap, names: &PlatformSettings) -> Result<Fields, FieldError> {
    let request_id = request_id(headers)?;
    let class = class(headers, names)?;
    let tenant = tenant(headers, names)?;
    let client_timeout = match single_value(headers, "Req-Deadline")? {
        Some(text) => parse_seconds("Req-Deadline", text)?.min(MAX_CLIENT_TIMEOUT),
        None => names.classes[class].1,
    };
    let expected_duration = match single_value(headers, "Req-Cost")? {
        Some(text) => Some(parse_seconds("Req-Cost", text)?),
        None => None,
    };
    let session = single_value(headers, "Req-Key")?.map_or(0, key_number);
    let retry = single_value(headers, "Req-Retry")?;
    let mut routing = Request {
        class: class as u32,
        tenant: tenant as u32,
        session,
        expected_duration,
        client_timeout,
        client_retry: retry.is_some(),
        resumed: retry == Some("again"),
        ..Request::default()
    };
    read_extra(single_value(headers, "Req-Extra")?.unwrap_or(""), &mut routing)?;
    Ok(Fields { request_id: request_id.to_string(), routing })
}

/// Returns the only value of a header, trimmed; `None` if the header is absent.
fn single_value<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, FieldError> {
    let mut values = headers.get_all(name).iter().map(header_text);
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(Ok(text)), None) => Ok(Some(text.trim())),
        (Some(Err(_)), None) => Err(FieldError::NotText(name)),
        (_, Some(_)) => Err(FieldError::Repeated(name)),
    }
}

fn request_id(headers: &HeaderMap) -> Result<&str, FieldError> {
    let id = single_value(headers, "Req-Id")?.ok_or(FieldError::Missing("Req-Id"))?;
    let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if id.is_empty() || id.len() > MAX_ID_LENGTH || !id.chars().all(is_plain) {
        return Err(FieldError::BadId);
    }
    Ok(id)
}

/// Returns the index of the request's class.
fn class(headers: &HeaderMap, names: &PlatformSettings) -> Result<usize, FieldError> {
    let name = single_value(headers, "Req-Kind")?.ok_or(FieldError::Missing("Req-Kind"))?;
    names.classes.iter().position(|class| class.0 == name).ok_or(FieldError::UnknownClass)
}

/// Returns the index of the request's tenant; 0 if the request names none.
fn tenant(headers: &HeaderMap, names: &PlatformSettings) -> Result<usize, FieldError> {
    match single_value(headers, "Req-Owner")? {
        Some(owner) => {
            names.tenants.iter().position(|tenant| tenant == owner).ok_or(FieldError::UnknownTenant)
        }
        None => Ok(0),
    }
}

/// Reads the extra fields, which have the form `name=value` and are separated by commas. Unknown names are skipped.
fn read_extra(extra: &str, routing: &mut Request) -> Result<(), FieldError> {
    for entry in extra.split(',').filter(|entry| !entry.trim().is_empty()) {
        let (name, value) = entry.split_once('=').ok_or(FieldError::ExtraWithoutValue)?;
        let (name, value) = (name.trim(), value.trim());
        match name {
            "prefix" => routing.prefix = Some(key_number(value)).filter(|prefix| *prefix != 0),
            "prompt_len" => routing.prompt_tokens = parse_tokens(name, value)?,
            "prefix_len" => routing.prefix_tokens = parse_tokens(name, value)?,
            "max_out" => routing.max_tokens = parse_tokens(name, value)?,
            _ => {}
        }
    }
    Ok(())
}

fn parse_tokens(name: &str, value: &str) -> Result<f64, FieldError> {
    let tokens = value.parse().ok().filter(|tokens: &f64| tokens.is_finite() && *tokens >= 0.0);
    let tokens = tokens.ok_or_else(|| FieldError::BadTokenCount(name.to_string()))?;
    Ok(tokens.min(MAX_TOKENS))
}

/// Parses a time in seconds, and returns it in milliseconds.
fn parse_seconds(name: &'static str, text: &str) -> Result<Millis, FieldError> {
    let seconds = text.parse().ok().filter(|seconds: &f64| seconds.is_finite() && *seconds > 0.0);
    Ok(seconds.ok_or(FieldError::BadSeconds(name))? * 1000.0)
}

/// Returns the number of a session or a prefix: hexadecimal digits (up to 16) are its value, any other text is
/// hashed.
pub fn key_number(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| server_id(text).0)
}
