//! Rate budget of the whole fleet, for retries or probes, of which each member spends a part.
//!
//! Each member on the operators' list of owners has an equal share, and lends parts of it under leases. The
//! owner reserves what it has lent until the borrower reports that it no longer holds it, or until the lease
//! has certainly expired there by both clocks. Thus the rates that members may spend never sum to more than
//! the budget, without a leader or a majority, whatever messages are lost, duplicated or late and whatever
//! members are suspended or fail. If the configuration requires witnesses, the share of a failed member
//! passes to a successor; if not, it is unused until the member is back. [`Budget`] is the state machine of
//! one member, and members exchange [`Message`]s.

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

/// Spending rate in thousandths of a retry or probe per second.
pub type Units = u32;

#[cfg(test)]
mod tests;
