//! Errors of the fleet's driver, with advice for operators on each.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use glenrail_fleet::{ExchangeError, KeyError, SettingsError};

/// Error of the configuration or the startup. At the start it ends the program; at SIGHUP the reload has no effect.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {error}", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The cause.
        error: io::Error,
    },
    /// The file cannot be parsed.
    #[error("{}: line {line}: {what}", file.display())]
    Line {
        /// The file.
        file: PathBuf,
        /// Line number, starting at 1.
        line: usize,
        /// Message of the parser.
        what: String,
    },
    /// A setting is out of its bounds.
    #[error("{}: fleet.{error}", file.display())]
    Figure {
        /// The file.
        file: PathBuf,
        /// The cause.
        error: SettingsError,
    },
    /// This gateway has no name: neither `EDGE_NAME` nor the file provides one.
    #[error("{}: fleet.member: missing, as is EDGE_NAME", file.display())]
    NoName {
        /// The file.
        file: PathBuf,
    },
    /// The platform forbids messages among gateways.
    #[error(
        "{}: fleet.bind: asks for talk among gateways, and the platform's settings forbid it \
         (settings.policy-limits.may-tell is not true)", file.display()
    )]
    Forbidden {
        /// The file.
        file: PathBuf,
    },
    /// The address cannot be bound.
    #[error("{}: fleet.bind: cannot listen on {address}: {error}", file.display())]
    Bind {
        /// The file.
        file: PathBuf,
        /// The address to listen on.
        address: SocketAddr,
        /// The cause.
        error: io::Error,
    },
    /// The key file is faulty.
    #[error("fleet.key_file: {}: {error}", file.display())]
    Keys {
        /// The file.
        file: PathBuf,
        /// The cause.
        error: KeyFileError,
    },
    /// The incarnation cannot be read or stored.
    #[error("fleet.life_file: {}: {error}", file.display())]
    Incarnation {
        /// The file.
        file: PathBuf,
        /// The cause.
        error: IncarnationError,
    },
}

impl FleetError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            FleetError::Unreadable { .. } => "name a file that this process may read after --fleet",
            FleetError::Line { .. } => "mend that line; deploy/fleet.toml shows every key with its default",
            FleetError::Figure { error, .. } => error.advice(),
            FleetError::NoName { .. } => {
                "set EDGE_NAME, or member in [fleet], to a name that no other gateway has"
            }
            FleetError::Forbidden { .. } => {
                "start without --fleet, or ask the platform to permit talk among gateways"
            }
            FleetError::Bind { .. } => {
                "bind to an address of this machine with a port that is free for UDP and TCP"
            }
            FleetError::Keys { error, .. } => error.advice(),
            FleetError::Incarnation { error, .. } => error.advice(),
        }
    }
}

/// Error of a key file. The messages never contain any part of a key.
#[derive(Debug, thiserror::Error)]
pub enum KeyFileError {
    /// The file cannot be read.
    #[error("cannot be read: {0}")]
    Unreadable(#[from] io::Error),
    /// The path is not a regular file, but a directory, a pipe or similar.
    #[error("is not a plain file")]
    NotAFile,
    /// The permissions allow access by users other than the owner.
    #[error("others than its owner may use it (mode {mode:03o})")]
    TooPermissive {
        /// Permission bits of the file.
        mode: u32,
    },
    /// The file is too long.
    #[error("is over the bound of {max_bytes} bytes")]
    TooLong {
        /// Maximum length, in bytes.
        max_bytes: usize,
    },
    /// The file is not UTF-8.
    #[error("is not text")]
    NotText,
    /// The keys in the file are malformed.
    #[error(transparent)]
    Key(#[from] KeyError),
}

impl KeyFileError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            KeyFileError::Unreadable(_) => "set key_file in [fleet] to a file that this process owns",
            KeyFileError::NotAFile => "put the keys into a plain file and name that",
            KeyFileError::TooPermissive { .. } => {
                "chmod 600 the key file, and make new keys if others may have read them"
            }
            KeyFileError::TooLong { .. } | KeyFileError::NotText => {
                "key_file names something else: name the key file"
            }
            KeyFileError::Key(error) => error.advice(),
        }
    }
}

/// Error of the file that stores the last incarnation.
#[derive(Debug, thiserror::Error)]
pub enum IncarnationError {
    /// The file cannot be read.
    #[error("cannot be read: {0}")]
    Unreadable(io::Error),
    /// The file does not contain an unsigned 64-bit number below its maximum.
    #[error("does not hold a number")]
    NotANumber,
    /// The file cannot be written.
    #[error("cannot be written: {0}")]
    Unwritable(io::Error),
}

impl IncarnationError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            IncarnationError::Unreadable(_) | IncarnationError::Unwritable(_) => {
                "give this process a directory that it may write in; look at space and rights there"
            }
            IncarnationError::NotANumber => {
                "see that the clock is right, then remove the file: the clock alone gives the next life"
            }
        }
    }
}

/// Failure of a socket or a stream. It is logged, and does not stop the driver.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// A datagram cannot be sent.
    #[error("cannot send to {to}: {error}")]
    Send {
        /// The recipient.
        to: SocketAddr,
        /// The cause.
        error: io::Error,
    },
    /// Datagrams cannot be received.
    #[error("cannot receive: {0}")]
    Receive(io::Error),
    /// Streams cannot be accepted.
    #[error("cannot accept a stream: {0}")]
    Accept(io::Error),
    /// Connecting, reading or writing a stream failed.
    #[error("a stream with {with} broke: {error}")]
    Broken {
        /// The other side.
        with: SocketAddr,
        /// The cause.
        error: io::Error,
    },
    /// The other side closed a stream before the exchange was finished.
    #[error("a stream with {with} ended before its time")]
    Closed {
        /// The other side.
        with: SocketAddr,
    },
    /// A stream reached its time limit.
    #[error("a stream with {with} took longer than {limit_ms} ms")]
    TimedOut {
        /// The other side.
        with: SocketAddr,
        /// Limit, in milliseconds.
        limit_ms: u64,
    },
    /// An accepted stream was closed because the maximum number is in progress.
    #[error("a stream with {with} is not taken: {limit} run already")]
    TooManyStreams {
        /// The other side.
        with: SocketAddr,
        /// Maximum number of concurrent streams.
        limit: usize,
    },
    /// The state machine aborted an exchange.
    #[error("a stream with {with}: {error}")]
    Exchange {
        /// The other side.
        with: SocketAddr,
        /// The cause.
        error: ExchangeError,
    },
}

impl WireError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            WireError::Send { .. } => "look at the network's rules and routes between the two, for UDP",
            WireError::Receive(_) | WireError::Accept(_) => {
                "look at this process's limits of descriptors and memory; it goes on by itself"
            }
            WireError::Broken { .. } | WireError::Closed { .. } => {
                "nothing, if the other has just ended; else see that the port is open for TCP too"
            }
            WireError::TimedOut { .. } => {
                "look at the load and the network between the two; it is asked for again"
            }
            WireError::TooManyStreams { .. } => {
                "a few follow a cut that healed; many mean that others than members reach the port"
            }
            WireError::Exchange { error, .. } => error.advice(),
        }
    }
}
