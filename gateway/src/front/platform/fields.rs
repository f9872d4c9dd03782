//! What decisions need of a request's headers.

use std::str::Utf8Error;

use glenrail_router::{Millis, Request};
use glenrail_settings::server_id;
use http::{HeaderMap, HeaderValue};
use thiserror::Error;

use super::{PlatformNames, MAX_BODY_BYTES};

/// Characters of a body's text that make a token (the protocol's figure).
const BYTES_PER_TOKEN: usize = 4;
/// Tokens that a body holds. What a client says beyond that is no guide: it would move the router's mean of all prompts for
/// hundreds of requests.
const MAX_TOKENS: f64 = (MAX_BODY_BYTES / BYTES_PER_TOKEN) as f64;
/// No request waits longer for its first token (ms), whatever its client says.
const MAX_CLIENT_TIMEOUT: Millis = 60_000.0;
/// Most characters of a request's id.
const MAX_ID_LENGTH: usize = 64;

/// A header that is at fault. Its text is the body of the 400, for whoever wrote the client.
#[derive(Debug, Error, PartialEq, Eq)]
pub(super) enum FieldError {
    /// A header that has to be there is not.
    #[error("{0}: missing")]
    Missing(&'static str),
    /// A header is not UTF-8.
    #[error("{0}: not text")]
    NotText(&'static str),
    /// A header is there twice. Guards against a server that would take the other one.
    #[error("{0}: given more than once")]
    Repeated(&'static str),
    /// The request's id is not of its form.
    #[error("Req-Id: 1 to 64 letters, digits, '-' or '_' wanted")]
    BadId,
    /// The settings have no class of this name.
    #[error("Req-Kind: no such class")]
    UnknownClass,
    /// The settings have no tenant of this name.
    #[error("Req-Owner: no such tenant")]
    UnknownTenant,
    /// A time is not a number of seconds above 0.
    #[error("{0}: seconds above 0 wanted")]
    BadSeconds(&'static str),
    /// An entry of the extra fields has no value.
    #[error("Req-Extra: name=value wanted")]
    ExtraWithoutValue,
    /// A count of tokens is not one.
    #[error("Req-Extra: {0} is no count of tokens")]
    BadTokenCount(String),
}

/// What the headers of a request say.
#[derive(Debug)]
pub(super) struct Fields {
    /// The client's id of the request.
    pub request_id: String,
    /// What the router decides by; its `id` is given by the core.
    pub routing: Request,
}

/// A header's value as text: an operator may name classes and tenants in any language.
pub(super) fn header_text(value: &HeaderValue) -> Result<&str, Utf8Error> {
    std::str::from_utf8(value.as_bytes())
}

/// Reads what decisions need from the headers, or says which one is at fault.
pub(super) fn read_fields(headers: &HeaderMap, names: &PlatformNames) -> Result<Fields, FieldError> {
    let request_id = request_id(headers)?;
    let class = class(headers, names)?;
    let tenant = tenant(headers, names)?;
    let client_timeout = match single(headers, "Req-Deadline")? {
        Some(text) => seconds("Req-Deadline", text)?.min(MAX_CLIENT_TIMEOUT),
        None => names.classes[class].1,
    };
    let expected_duration = match single(headers, "Req-Cost")? {
        Some(text) => Some(seconds("Req-Cost", text)?),
        None => None,
    };
    let session = single(headers, "Req-Key")?.map_or(0, key);
    let retry = single(headers, "Req-Retry")?;
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
    read_extra(single(headers, "Req-Extra")?.unwrap_or(""), &mut routing)?;
    Ok(Fields { request_id: request_id.to_string(), routing })
}

/// A header's one value, trimmed; `None` where it is left out.
fn single<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, FieldError> {
    let mut values = headers.get_all(name).iter().map(header_text);
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(Ok(text)), None) => Ok(Some(text.trim())),
        (Some(Err(_)), None) => Err(FieldError::NotText(name)),
        (_, Some(_)) => Err(FieldError::Repeated(name)),
    }
}

fn request_id(headers: &HeaderMap) -> Result<&str, FieldError> {
    let id = single(headers, "Req-Id")?.ok_or(FieldError::Missing("Req-Id"))?;
    let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if id.is_empty() || id.len() > MAX_ID_LENGTH || !id.chars().all(is_plain) {
        return Err(FieldError::BadId);
    }
    Ok(id)
}

/// The index of the request's class.
fn class(headers: &HeaderMap, names: &PlatformNames) -> Result<usize, FieldError> {
    let name = single(headers, "Req-Kind")?.ok_or(FieldError::Missing("Req-Kind"))?;
    names.classes.iter().position(|class| class.0 == name).ok_or(FieldError::UnknownClass)
}

/// The index of the request's tenant; the first where none is named.
fn tenant(headers: &HeaderMap, names: &PlatformNames) -> Result<usize, FieldError> {
    match single(headers, "Req-Owner")? {
        Some(owner) => {
            names.tenants.iter().position(|tenant| tenant == owner).ok_or(FieldError::UnknownTenant)
        }
        None => Ok(0),
    }
}

/// Reads the extra fields, `name=value` separated by commas; unknown names are skipped.
fn read_extra(extra: &str, routing: &mut Request) -> Result<(), FieldError> {
    for entry in extra.split(',').filter(|entry| !entry.trim().is_empty()) {
        let (name, value) = entry.split_once('=').ok_or(FieldError::ExtraWithoutValue)?;
        let (name, value) = (name.trim(), value.trim());
        match name {
            "prefix" => routing.prefix = Some(key(value)).filter(|prefix| *prefix != 0),
            "prompt_len" => routing.prompt_tokens = tokens(name, value)?,
            "prefix_len" => routing.prefix_tokens = tokens(name, value)?,
            "max_out" => routing.max_tokens = tokens(name, value)?,
            _ => {}
        }
    }
    Ok(())
}

fn tokens(name: &str, value: &str) -> Result<f64, FieldError> {
    let tokens = value.parse().ok().filter(|tokens: &f64| tokens.is_finite() && *tokens >= 0.0);
    let tokens = tokens.ok_or_else(|| FieldError::BadTokenCount(name.to_string()))?;
    Ok(tokens.min(MAX_TOKENS))
}

/// A time in seconds, as milliseconds.
fn seconds(name: &'static str, text: &str) -> Result<Millis, FieldError> {
    let seconds = text.parse().ok().filter(|seconds: &f64| seconds.is_finite() && *seconds > 0.0);
    Ok(seconds.ok_or(FieldError::BadSeconds(name))? * 1000.0)
}

/// The number of a session or a prefix: 16 hexadecimal digits are their number, any other text is hashed.
pub fn key(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| server_id(text).0)
}
