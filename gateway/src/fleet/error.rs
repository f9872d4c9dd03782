//! What can go wrong in the fleet's driver, and what an operator can do about it.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use glenrail_fleet::{ExchangeError, KeyError, SettingsError};

/// Ends the start; at SIGHUP, leaves all as it was.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    #[error("{}: cannot be read: {error}", file.display())]
    Unreadable { file: PathBuf, error: io::Error },
    #[error("{}: line {line}: {what}", file.display())]
    Line { file: PathBuf, line: usize, what: String },
    #[error("{}: fleet.{error}", file.display())]
    Figure { file: PathBuf, error: SettingsError },
    #[error("{}: fleet.member: missing, as is EDGE_NAME", file.display())]
    NoName { file: PathBuf },
    #[error(
        "{}: fleet.bind: asks for talk among gateways, and the platform's settings forbid it \
         (settings.policy-limits.may-tell is not true)", file.display()
    )]
    Forbidden { file: PathBuf },
    #[error("{}: fleet.bind: cannot listen on {address}: {error}", file.display())]
    Bind { file: PathBuf, address: SocketAddr, error: io::Error },
    #[error("fleet.key_file: {}: {error}", file.display())]
    Keys { file: PathBuf, error: KeyFileError },
    #[error("fleet.life_file: {}: {error}", file.display())]
    Life { file: PathBuf, error: LifeError },
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
            FleetError::Life { error, .. } => error.advice(),
        }
    }
}

/// What is wrong with a key file. Never says any of a key.
#[derive(Debug, thiserror::Error)]
pub enum KeyFileError {
    #[error("cannot be read: {0}")]
    Unreadable(#[from] io::Error),
    #[error("is not a plain file")]
    NotAFile,
    #[error("others than its owner may use it (mode {mode:03o})")]
    Open { mode: u32 },
    #[error("is over the bound of {most} bytes")]
    Long { most: usize },
    #[error("is not text")]
    NotText,
    #[error(transparent)]
    Key(#[from] KeyError),
}

impl KeyFileError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            KeyFileError::Unreadable(_) => "set key_file in [fleet] to a file that this process owns",
            KeyFileError::NotAFile => "put the keys into a plain file and name that",
            KeyFileError::Open { .. } => {
                "chmod 600 the key file, and make new keys if others may have read them"
            }
            KeyFileError::Long { .. } | KeyFileError::NotText => {
                "key_file names something else: name the key file"
            }
            KeyFileError::Key(error) => error.advice(),
        }
    }
}

/// What is wrong with the file that holds the last life.
#[derive(Debug, thiserror::Error)]
pub enum LifeError {
    #[error("cannot be read: {0}")]
    Unreadable(io::Error),
    #[error("does not hold a number")]
    NotANumber,
    #[error("cannot be written: {0}")]
    Unwritable(io::Error),
}

impl LifeError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            LifeError::Unreadable(_) | LifeError::Unwritable(_) => {
                "give this process a directory that it may write in; look at space and rights there"
            }
            LifeError::NotANumber => {
                "see that the clock is right, then remove the file: the clock alone gives the next life"
            }
        }
    }
}

/// What went wrong on the way to or from another member. Logged at a limited rate; nothing else follows from it.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    #[error("cannot send to {to}: {error}")]
    Send { to: SocketAddr, error: io::Error },
    #[error("cannot receive: {0}")]
    Receive(io::Error),
    #[error("cannot accept a stream: {0}")]
    Accept(io::Error),
    #[error("a stream with {with} broke: {error}")]
    Broken { with: SocketAddr, error: io::Error },
    #[error("a stream with {with} ended before its time")]
    Ended { with: SocketAddr },
    #[error("a stream with {with} took longer than {most} ms")]
    Late { with: SocketAddr, most: u64 },
    #[error("a stream with {with} is not taken: {most} run already")]
    Crowded { with: SocketAddr, most: usize },
    #[error("a stream with {with}: {error}")]
    Exchange { with: SocketAddr, error: ExchangeError },
}

impl WireError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            WireError::Send { .. } => "look at the network's rules and routes between the two, for UDP",
            WireError::Receive(_) | WireError::Accept(_) => {
                "look at this process's limits of descriptors and memory; it goes on by itself"
            }
            WireError::Broken { .. } | WireError::Ended { .. } => {
                "nothing, if the other has just ended; else see that the port is open for TCP too"
            }
            WireError::Late { .. } => {
                "look at the load and the network between the two; it is asked for again"
            }
            WireError::Crowded { .. } => {
                "a few follow a cut that healed; many mean that others than members reach the port"
            }
            WireError::Exchange { error, .. } => error.advice(),
        }
    }
}
