//! Errors in budget configurations and in received messages.

use thiserror::Error;

/// Reason why a configuration is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    #[error("a budget needs at least one share owner")]
    NoShareOwners,
    #[error("a floor of {per_mille} thousandths is more than the whole share")]
    FloorAboveShare { per_mille: u32 },
    #[error("a lease duration of {lease_ms} ms is not between 100 and 60000 ms")]
    LeaseOutOfBounds { lease_ms: u64 },
    #[error("a clock drift of {drift} in 10000 is not less than 5000")]
    DriftOutOfBounds { drift: u32 },
    #[error("{witnesses} witnesses are more than half of the {share_owners} share owners")]
    TooManyWitnesses { witnesses: u32, share_owners: u32 },
}

impl ConfigError {
    /// Returns what an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            ConfigError::NoShareOwners => "List the gateways, or set their number, in the operators' file.",
            ConfigError::FloorAboveShare { .. } => "Set the floor to 1000 thousandths or less; 250 is usual.",
            ConfigError::LeaseOutOfBounds { .. } => "Set the lease to a few seconds; 5000 ms is usual.",
            ConfigError::TooManyWitnesses { .. } => {
                "Set the witnesses to the number of gateways that may fail at once, or to 0 for none."
            }
            ConfigError::DriftOutOfBounds { .. } => {
                "Set the drift that clocks may have; 100 in 10000 is usual."
            }
        }
    }
}

/// Reason why a message has no effect. None of these cases endangers the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    #[error("the lease request is outdated: a newer one was received, or its grant is no longer valid")]
    StaleRequest,
    #[error("the reply matches no pending request")]
    StaleReply,
    #[error("the message is for another incarnation of this member, or this one has retired")]
    OtherIncarnation,
    #[error("the request of member {sender:016x} cannot be recorded: all {max} records are in use")]
    TableFull { sender: u64, max: usize },
    #[error("the share of member {owner:016x} has another holder, or this member may not vote on it")]
    ShareUnavailable { owner: u64 },
}

impl MessageError {
    /// Returns what an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            MessageError::StaleRequest | MessageError::StaleReply => {
                "Nothing: late and duplicate datagrams are usual. If many, check the network between gateways."
            }
            MessageError::OtherIncarnation => "Nothing: the member restarted with a datagram in transit.",
            MessageError::ShareUnavailable { .. } => {
                "Nothing: a share changes holders within two leases. If not, look for unreachable gateways."
            }
            MessageError::TableFull { .. } => "Check that members keep their names over restarts.",
        }
    }
}
