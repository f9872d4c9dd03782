//! What can be wrong with a budget's terms and with what is heard.

use thiserror::Error;

/// Why terms cannot be kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TermsError {
    #[error("a budget for no seats has no shares")]
    NoSeats,
    #[error("a floor of {per_mille} thousandths of a share is more than the whole of it")]
    FloorAboveShare { per_mille: u32 },
    #[error("a lease of {lease} ms is not between 100 and 60000 ms")]
    LeaseOutOfBounds { lease: u64 },
    #[error("a clock drift of {drift} of 10000 is not under 5000")]
    DriftOutOfBounds { drift: u32 },
    #[error("{witnesses} witnesses are more than half of {seats} seats")]
    TooManyWitnesses { witnesses: u32, seats: u32 },
}

impl TermsError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            TermsError::NoSeats => "Name the gateways, or their number, in the operators' file.",
            TermsError::FloorAboveShare { .. } => "Set the floor to 1000 thousandths or less; 250 is usual.",
            TermsError::LeaseOutOfBounds { .. } => "Set the lease to a few seconds; 5000 ms is usual.",
            TermsError::TooManyWitnesses { .. } => {
                "Set the witnesses to the number of gateways that may be gone at once, or to 0 for none."
            }
            TermsError::DriftOutOfBounds { .. } => {
                "Set the drift that clocks may have; 100 of 10000 is usual."
            }
        }
    }
}

/// Why a message changes nothing. None of them is a danger to the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HearError {
    #[error("an ask that is older than one already heard from its member")]
    OldAsk,
    #[error("a grant that answers no ask under way here")]
    OldGrant,
    #[error("a message for another life of this member")]
    OtherLife,
    #[error("the member {from:016x} asks while {most} others hold leases from here")]
    TooManyBorrowers { from: u64, most: usize },
    #[error("the share of member {estate:016x} is in other hands, or nobody here may speak for it yet")]
    InOtherHands { estate: u64 },
}

impl HearError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            HearError::OldAsk | HearError::OldGrant => {
                "Nothing: late and doubled datagrams are usual. If they are many, look at the network between gateways."
            }
            HearError::OtherLife => "Nothing: the member was restarted while a datagram was under way.",
            HearError::InOtherHands { .. } => {
                "Nothing: the share changes hands within two leases. If it goes on, look which gateways are cut off."
            }
            HearError::TooManyBorrowers { .. } => "Check that members keep their names over restarts.",
        }
    }
}
