//! The properties, each with the words that stand beside it in `docs/lifecycle.md`.

use serde::{Deserialize, Serialize};

macro_rules! rules {
    ($($(#[doc = $words:literal])+ $rule:ident,)+) => {
        /// A property that holds in every state of every world.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum Rule { $($(#[doc = $words])+ $rule,)+ }

        impl Rule {
            pub const ALL: &'static [Rule] = &[$(Rule::$rule,)+];

            /// The property in words.
            pub fn words(self) -> &'static str {
                match self { $(Rule::$rule => concat!($($words),+).trim_ascii(),)+ }
            }
        }
    };
}

rules! {
    /// A client gets one final answer: one refusal or failure, or one stream, and nothing after it.
    OneFinalAnswer,
    /// While an attempt's connection is open, no other attempt of its request starts.
    NoSecondAttempt,
    /// What must never be repeated runs at most once, whatever the router orders.
    NeverRunsTwice,
    /// What must never be repeated is refused, so called harmless to try again, only if it has not run and will not.
    RefusalIsTrue,
    /// No first byte of a request goes to a server after the word that it drains or is gone.
    NothingToDrained,
    /// While no attempt that has arrived is out, whatever a server holds is being let go, or a timer is armed that lets it go.
    HeldIsLetGo,
    /// Nothing is let go at servers while an attempt is out that may need it or leave it.
    NoReleaseBesideAttempt,
    /// No attempt starts while a release is under way that could hit what it will hold.
    NoSendBesideRelease,
    /// Nothing is done for a request after its end, and nothing of it is under way then.
    NothingAfterEnd,
    /// Every request comes to its end, if timers fire and what was sent is answered or cut.
    EveryRequestEnds,
    /// At a request's end none of its timers is armed.
    NothingLeftAtRest,
    /// The router is told one outcome for each send, none twice, and none is missing at the end.
    OneOutcomePerSend,
    /// What is told as never having run has not reached its server whole.
    NeverRanIsTrue,
    /// A request goes to another connection by itself only where not a byte of it went out on the first.
    ReplacedUnwritten,
    /// No connection to a server that is to get nothing new is kept for the next request.
    DrainedNotKept,
    /// A machine turns down no input that the world can bring about.
    NothingImpossible,
    /// No connection of a client is closed or handed over with a request that has been read and not answered.
    NoCloseAcrossRequest,
    /// A connection is handed over with nothing of a request read, and all that was to be written out.
    HandedOverClean,
    /// No request is read from where an earlier one's body may still go on.
    NoRequestInBody,
    /// The sum of the parts that members may spend at any moment is at most the fleet's budget.
    SumWithinBudget,
    /// A share is in one pair of hands: no two hold it at once, and an heir has it only when nothing lent of it is left.
    OneHolderAShare,
    /// A lease that has ended by true time, at the slowest clock that is allowed, is not spent.
    EndedNotSpent,
    /// Once all is quiet for the time of a lease, each living member has the whole of its own share again.
    PartsComeBack,
}
