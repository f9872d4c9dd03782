//! Single words and values of an HAProxy configuration.

use std::net::SocketAddr;

use crate::config::ServerConfig;

/// HAProxy's weight of a server that has none, which is 1.0 here.
const FULL_WEIGHT: f64 = 100.0;

/// Why a line, or a part of one, was not converted.
#[derive(Debug, thiserror::Error)]
pub enum LeftOutReason {
    /// The second front has no such setting.
    #[error("{0:?} has no counterpart")]
    NoCounterpart(String),
    /// These words of a line that was otherwise converted.
    #[error("of this line, {0:?} has no counterpart; the rest was taken")]
    NoCounterpartInLine(String),
    /// A setting before any section.
    #[error("stands before the first section")]
    OutsideSections,
    /// The second front listens on one address.
    #[error("one address is served, that of line {first}")]
    SecondAddress {
        /// The line of the address that was converted.
        first: usize,
    },
    /// A `bind` without an IP address or port.
    #[error("no address:port")]
    NoAddress,
    /// A server whose address is a name, or lacks its port.
    #[error("a server needs an IP address and a port")]
    NoServerAddress,
    /// A `maxconn` that is no limit.
    #[error("no number above 0")]
    NoNumber,
    /// A time-out in no unit that HAProxy has.
    #[error("{0:?} is no time")]
    NoTime(String),
    /// A test of something else than paths of one part of the API.
    #[error("only tests of the API's paths")]
    UnknownTest,
    /// A rule whose test is of something else, or combined.
    #[error("only tests of the API's paths, one at a time")]
    UnknownRuleTest,
    /// A rule names a backend that the file lacks.
    #[error("there is no backend {0:?}")]
    NoBackend(String),
    /// An earlier rule gave this part to another backend.
    #[error("{backend:?} has that part already, and a part has one backend")]
    PartServed {
        /// The backend that serves it.
        backend: String,
    },
    /// No rule led to this backend.
    #[error("backend {0:?} is used by no rule that was taken")]
    UnusedBackend(String),
}

/// A part of the API that has servers of its own.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Part {
    /// Embeddings and rerank.
    Embeddings,
    /// Chat completions.
    Chat,
}

/// Fails with the words of a line that are left after its known part.
pub(super) fn no_more(words: &[&str]) -> Result<(), LeftOutReason> {
    match words {
        [] => Ok(()),
        words => Err(LeftOutReason::NoCounterpartInLine(words.join(" "))),
    }
}

/// An IP address and port; one without an address stands for all of the machine's.
pub(super) fn address(text: &str) -> Option<String> {
    let text = text.strip_prefix("ipv4@").unwrap_or(text);
    let address = match text.strip_prefix("*:").or(text.strip_prefix(':')) {
        Some(port) => format!("0.0.0.0:{port}"),
        None => text.to_string(),
    };
    address.parse::<SocketAddr>().ok()?;
    Some(address)
}

/// A server, and those of its options that have no counterpart.
pub(super) fn server<'a>(name: &str, address: String, options: &[&'a str]) -> (ServerConfig, Vec<&'a str>) {
    let mut server = ServerConfig { name: name.to_string(), address, weight: 1.0, drain: false };
    let mut left_out = Vec::new();
    let mut options = options.iter();
    while let Some(option) = options.next() {
        match *option {
            "weight" => match options.next().map(|weight| (*weight, weight.parse::<u32>())) {
                // No weight means no new work, which is what a drain is.
                Some((_, Ok(0))) => server.drain = true,
                Some((_, Ok(weight))) => server.weight = f64::from(weight) / FULL_WEIGHT,
                Some((text, Err(_))) => left_out.extend(["weight", text]),
                None => left_out.push("weight"),
            },
            "disabled" => server.drain = true,
            other => left_out.push(other),
        }
    }
    (server, left_out)
}

/// The part of the API that a test of the path selects: all its paths must be of one part.
pub(super) fn tested_part(test: &str, paths: &[&str]) -> Option<Part> {
    if !matches!(test, "path" | "path_beg") {
        return None;
    }
    let first = part_of_path(paths.first()?)?;
    paths.iter().all(|path| part_of_path(path) == Some(first)).then_some(first)
}

fn part_of_path(path: &str) -> Option<Part> {
    match path {
        "/v1/embeddings" | "/v1/rerank" => Some(Part::Embeddings),
        "/v1/chat" | "/v1/chat/" | "/v1/chat/completions" => Some(Part::Chat),
        _ => None,
    }
}

/// The part that a backend without a test is for, by its name.
pub(super) fn part_by_name(backend: &str) -> Part {
    if backend.contains("embed") || backend.contains("rerank") {
        Part::Embeddings
    } else {
        Part::Chat
    }
}

/// An HAProxy time in milliseconds, which is its unit where none is given.
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
