//! A budget of the whole fleet (retries, probes) of which each member spends a part.
//!
//! Each seated member owns an equal share by the operators' list, and lends of it by leases. What is lent is set
//! aside at its owner until the borrower has said that it no longer holds it, or until its lease has surely ended
//! there by both clocks. So the sum of all parts never exceeds the budget, with no leader and no vote, whatever is
//! lost, doubled, late, stopped or dead. What a dead member owned is inherited where the terms name witnesses, and lies
//! idle until it is back where they do not. [`Budget`] is the machine; a [`Message`] is what travels between members.

mod borrower;
mod config;
mod error;
#[cfg(feature = "mutants")]
mod fault;
mod lender;
mod machine;
mod plan;
mod share_voting;
mod token_bucket;

pub use borrower::{LeaseGrant, LeaseRequest};
pub use config::BudgetConfig;
pub use error::{ConfigError, MessageError};
#[cfg(feature = "mutants")]
pub use fault::Fault;
pub use machine::{Budget, Message, Permit};
pub use plan::LendingOffer;
pub use share_voting::{ShareRequest, ShareVote};

/// A rate of spending: thousandths of a retry or probe a second.
pub type Units = u32;

#[cfg(test)]
mod tests;
