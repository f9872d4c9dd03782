//! Faults that can be planted in the machine, for the explorer to show that it finds each.

use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Fault {
    /// The borrower counts its lease from the grant's arrival, not from its asking.
    CountsFromArrival,
    /// The lender waits for the bare length, as if all clocks ran alike.
    WaitsBareLength,
    /// A new life uses and lends all of its share at once, though its former life may have lent of it.
    ForgetsAtRestart,
    /// The borrower takes a grant that answers an ask given up long ago.
    TakesOldGrant,
    /// The borrower judges its leases by the clock of its last step, so that it wakes with an old lease in hand.
    TrustsOldClock,
    /// The lender sets aside the newest grant only, though the borrower may still hold the one before.
    ForgetsFormerGrant,
    /// The lender goes on spending what it has lent.
    SpendsLent,
    /// A borrower that asks for less goes on spending what it says it no longer holds.
    KeepsGivenBack,
    /// An heir is content with one voter's word less.
    InheritsByTooFew,
    /// A voter promises an estate to an heir while its pledge to the owner holds.
    ForgetsPledge,
    /// A voter renews the owner while its promise to an heir holds.
    ForgetsPromise,
    /// A lender lends for longer than it holds what it lends of.
    LendsBeyondTenure,
}
