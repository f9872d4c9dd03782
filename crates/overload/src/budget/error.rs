//! What can be wrong with a budget's terms and with what is heard.

use thiserror::Error;

/// Why terms cannot be kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    #[error("a budget for no seats has no shares")]
    NoShareOwners,
    #[error("a floor of {per_mille} thousandths of a share is more than the whole of it")]
    FloorAboveShare { per_mille: u32 },
    #[error("a lease of {lease_ms} ms is not between 100 and 60000 ms")]
    LeaseOutOfBounds { lease_ms: u64 },
    #[error("a clock drift of {drift} of 10000 is not under 5000")]
    DriftOutOfBounds { drift: u32 },
    #[error("{witnesses} witnesses are more than half of {share_owners} seats")]
    TooManyWitnesses { witnesses: u32, share_owners: u32 },
}

impl ConfigError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            ConfigError::NoShareOwners => "Name the gateways, or their number, in the operators' file.",
            ConfigError::FloorAboveShare { .. } => "Set the floor to 1000 thousandths or less; 250 is usual.",
            ConfigError::LeaseOutOfBounds { .. } => "Set the lease to a few seconds; 5000 ms is usual.",
            ConfigError::TooManyWitnesses { .. } => {
                "Set the witnesses to the number of gateways that may be gone at once, or to 0 for none."
            }
            ConfigError::DriftOutOfBounds { .. } => {
                "Set the drift that clocks may have; 100 of 10000 is usual."
            }
        }
    }
}

/// Why a message changes nothing. None of them is a danger to the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    #[error("an ask that is older than one already heard from its member")]
    StaleRequest,
    #[error("a grant that answers no ask under way here")]
    StaleReply,
    #[error("a message for another life of this member")]
    OtherIncarnation,
    #[error("the member {sender:016x} asks while {max} others hold leases from here")]
    TableFull { sender: u64, max: usize },
    #[error("the share of member {owner:016x} is in other hands, or nobody here may speak for it yet")]
    ShareUnavailable { owner: u64 },
}

impl MessageError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            MessageError::StaleRequest | MessageError::StaleReply => {
                "Nothing: late and doubled datagrams are usual. If they are many, look at the network between gateways."
            }
            MessageError::OtherIncarnation => "Nothing: the member was restarted while a datagram was under way.",
            MessageError::ShareUnavailable { .. } => {
                "Nothing: the share changes hands within two leases. If it goes on, look which gateways are cut off."
            }
            MessageError::TableFull { .. } => "Check that members keep their names over restarts.",
        }
    }
}
