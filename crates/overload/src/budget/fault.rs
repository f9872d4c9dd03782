//! Faults that can be planted in the state machine, to show that the model checker finds each of them.

use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Fault {
    /// The borrower counts its lease from the arrival of the grant instead of from its request.
    CountsFromArrival,
    /// The lender waits for the duration itself, without allowance for clock drift.
    WaitsBareLength,
    /// A new incarnation uses and lends its whole share at once, though a former one may have lent parts of
    /// it.
    ForgetsAtRestart,
    /// The borrower accepts a grant for a request that it has given up.
    TakesOldGrant,
    /// The borrower checks its leases against the time of its last step, and so keeps an expired lease after
    /// it was suspended.
    TrustsOldClock,
    /// The lender reserves only the newest grant, though the borrower may still hold the one before.
    ForgetsFormerGrant,
    /// The lender continues to spend what it has lent.
    SpendsLent,
    /// A borrower continues to spend what it has given back.
    KeepsGivenBack,
    /// A successor holds a share with one vote fewer than required.
    InheritsByTooFew,
    /// A voter votes for a successor while its vote for the owner is valid.
    ForgetsPledge,
    /// A voter votes for the owner while its vote for a successor is valid.
    ForgetsPromise,
    /// A lender lends for longer than it holds the share that it lends from.
    LendsBeyondTenure,
}
