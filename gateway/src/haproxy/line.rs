//! Parsers for single words and values of an HAProxy configuration.

use std::net::SocketAddr;

use crate::config::ServerConfig;

/// HAProxy weight that corresponds to a weight of 1.0 in the second front's file.
const REFERENCE_WEIGHT: f64 = 100.0;

/// Reason why a line, or a part of one, was not converted.
#[derive(Debug, thiserror::Error)]
pub enum SkipReason {
    /// The second front has no such setting.
    #[error("{0:?} has no counterpart")]
    NoCounterpart(String),
    /// These words of a line have no counterpart; the rest of the line was converted.
    #[error("of this line, {0:?} has no counterpart; the rest was taken")]
    NoCounterpartInLine(String),
    /// The setting precedes the first section.
    #[error("stands before the first section")]
    OutsideSections,
    /// A further `bind` line: the second front listens on a single address.
    #[error("one address is served, that of line {first}")]
    SecondAddress {
        /// Line of the `bind` that was converted.
        first: usize,
    },
    /// The `bind` line has no valid IP address and port.
    #[error("no address:port")]
    NoAddress,
    /// The address of the server is a host name, or lacks the port.
    #[error("a server needs an IP address and a port")]
    NoServerAddress,
    /// The value of `maxconn` is not a positive number.
    #[error("no number above 0")]
    NoNumber,
    /// The value of the timeout is not a positive HAProxy time.
    #[error("{0:?} is no time")]
    NoTime(String),
    /// The test of the `acl` is not for paths of a single part of the API.
    #[error("only tests of the API's paths")]
    UnknownTest,
    /// The test of the rule is not for paths of a single part of the API, or combines several tests.
    #[error("only tests of the API's paths, one at a time")]
    UnknownRuleTest,
    /// The rule names a backend that is not in the file.
    #[error("there is no backend {0:?}")]
    NoBackend(String),
    /// An earlier rule assigned this part of the API to another backend.
    #[error("{backend:?} has that part already, and a part has one backend")]
    PartServed {
        /// Backend assigned by the earlier rule.
        backend: String,
    },
    /// No converted rule uses this backend.
    #[error("backend {0:?} is used by no rule that was taken")]
    UnusedBackend(String),
}

/// A part of the API with a pool of its own.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ApiPart {
    /// Embeddings and rerank.
    Embeddings,
    /// Chat completions.
    Chat,
}

/// Returns an error if words remain after the known part of a line.
pub(super) fn reject_remaining_words(words: &[&str]) -> Result<(), SkipReason> {
    match words {
        [] => Ok(()),
        words => Err(SkipReason::NoCounterpartInLine(words.join(" "))),
    }
}

/// Parses an IPv4 or IPv6 address with port. A missing address or `*` means all IPv4 addresses of the machine.
pub(super) fn address(text: &str) -> Option<String> {
    let text = text.strip_prefix("ipv4@").unwrap_or(text);
    let address = match text.strip_prefix("*:").or(text.strip_prefix(':')) {
        Some(port) => format!("0.0.0.0:{port}"),
        None => text.to_string(),
    };
    address.parse::<SocketAddr>().ok()?;
    Some(address)
}

/// Returns the server, and the options that have no counterpart.
pub(super) fn server<'a>(name: &str, address: String, options: &[&'a str]) -> (ServerConfig, Vec<&'a str>) {
    let mut server = ServerConfig { name: name.to_string(), address, weight: 1.0, drain: false };
    let mut left_out = Vec::new();
    let mut options = options.iter();
    while let Some(option) = options.next() {
        match *option {
            "weight" => match options.next().map(|weight| (*weight, weight.parse::<u32>())) {
                // HAProxy sends no new requests to a server of weight 0, which corresponds to draining.
                Some((_, Ok(0))) => server.drain = true,
                Some((_, Ok(weight))) => server.weight = f64::from(weight) / REFERENCE_WEIGHT,
                Some((text, Err(_))) => left_out.extend(["weight", text]),
                None => left_out.push("weight"),
            },
            "disabled" => server.drain = true,
            other => left_out.push(other),
        }
    }
    (server, left_out)
}

/// Returns the part of the API that a path test selects; `None` unless all paths belong to the same part.
pub(super) fn tested_part(test: &str, paths: &[&str]) -> Option<ApiPart> {
    if !matches!(test, "path" | "path_beg") {
        return None;
    }
    let first = part_of_path(paths.first()?)?;
    paths.iter().all(|path| part_of_path(path) == Some(first)).then_some(first)
}

fn part_of_path(path: &str) -> Option<ApiPart> {
    match path {
        "/v1/embeddings" | "/v1/rerank" => Some(ApiPart::Embeddings),
        "/v1/chat" | "/v1/chat/" | "/v1/chat/completions" => Some(ApiPart::Chat),
        _ => None,
    }
}

/// Returns the part of the API for a backend without a path test, guessed from the name of the backend.
pub(super) fn part_by_name(backend: &str) -> ApiPart {
    if backend.contains("embed") || backend.contains("rerank") {
        ApiPart::Embeddings
    } else {
        ApiPart::Chat
    }
}

/// Parses an HAProxy time into milliseconds, which is also the default unit. Returns `None` for 0 or an unknown unit.
pub(super) fn milliseconds(text: &str) -> Option<u64> {
    let digits = text.trim_end_matches(|character: char| character.is_ascii_alphabetic());
    let number: u64 = digits.parse().ok().filter(|number| *number > 0)?;
    match &text[digits.len()..] {
        "" | "ms" => Some(number),
        "s" => number.checked_mul(1_000),
        "m" => number.checked_mul(60_000),
        "h" => number.checked_mul(3_600_000),
        "us" => Some(number.div_ceil(1_000)),
        _ => None,
    }
}
