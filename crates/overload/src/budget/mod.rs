//! A budget of the whole fleet (retries, probes) of which each member spends a part.
//!
//! Each seated member owns an equal share by the operators' list, and lends of it by leases. What is lent is set
//! aside at its owner until the borrower has said that it no longer holds it, or until its lease has surely ended
//! there by both clocks. So the sum of all parts never exceeds the budget, with no leader and no vote, whatever is
//! lost, doubled, late, stopped or dead; both sides of a cut go on with what they own. What a dead member owns lies
//! idle until it is back. [`Budget`] is the machine; [`Ask`] and [`Grant`] travel between members.

mod error;
#[cfg(feature = "mutants")]
mod fault;
mod held;
mod lent;
mod machine;
mod plan;
mod purse;
mod terms;

pub use error::{HearError, TermsError};
#[cfg(feature = "mutants")]
pub use fault::Fault;
pub use held::{Ask, Grant};
pub use machine::{Budget, Message, Permit};
pub use plan::Spare;
pub use terms::Terms;

/// A rate of spending: thousandths of a retry or probe a second.
pub type Units = u32;

#[cfg(test)]
mod tests;
