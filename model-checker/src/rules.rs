//! The rules that hold in every state of every world, each with its description in words.

use serde::{Deserialize, Serialize};

macro_rules! rules {
    ($($(#[doc = $description:literal])+ $rule:ident,)+) => {
        /// A property that holds in every state of every world.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum Rule { $($(#[doc = $description])+ $rule,)+ }

        impl Rule {
            /// All rules.
            pub const ALL: &'static [Rule] = &[$(Rule::$rule,)+];

            /// The rule in words.
            pub fn description(self) -> &'static str {
                match self { $(Rule::$rule => concat!($($description),+).trim_ascii(),)+ }
            }
        }
    };
}

rules! {
    /// A client gets one final answer: one rejection or failure, or one stream, and nothing after it.
    OneFinalAnswer,
    /// While an attempt's connection is open, no other attempt of its request starts.
    NoSecondAttempt,
    /// A request that is not idempotent runs at most once, whatever the router orders.
    NeverRunsTwice,
    /// A request that is not idempotent is rejected, which tells the client that a retry is safe, only if it has not run and will not.
    RefusalIsTrue,
    /// No first byte of a request is written to a server after the notice that it drains or is terminated.
    NothingToDrained,
    /// While no attempt that has arrived is in flight, whatever a server holds is being released, or a timer is armed that releases it.
    HeldIsLetGo,
    /// Nothing is released at servers while an attempt is in flight that may need it or leave it behind.
    NoReleaseBesideAttempt,
    /// No attempt starts while a release is in progress that could hit what the attempt will reserve.
    NoSendBesideRelease,
    /// Nothing is done for a request after its end, and nothing of it is in progress then.
    NothingAfterEnd,
    /// Every request comes to its end, if timers expire and what was sent is answered or cut off.
    EveryRequestEnds,
    /// At a request's end none of its timers is armed.
    NothingLeftAtRest,
    /// The router is notified of one outcome for each send, none twice, and none is missing at the end.
    OneOutcomePerSend,
    /// What is reported as never having run has not reached its server completely.
    NeverRanIsTrue,
    /// A request moves to another connection by itself only if not a byte of it was written on the first.
    ReplacedUnwritten,
    /// No connection to a server that must receive nothing new returns to the pool.
    DrainedNotKept,
    /// A machine rejects no input that the world can bring about.
    NothingImpossible,
    /// No connection of a client is closed or handed over with a request that has been read and not answered.
    NoCloseAcrossRequest,
    /// A connection is handed over with nothing of a request read, and everything written that was to be written.
    HandedOverClean,
    /// No request is read from where an earlier one's body may still continue.
    NoRequestInBody,
    /// The sum of the parts that members may spend at any moment is at most the fleet's budget.
    SumWithinBudget,
    /// A share has one holder: no two hold it at once, and a successor has it only when nothing lent of it is left.
    OneHolderAShare,
    /// A lease that has expired by true time, at the slowest clock that is allowed, is not spent.
    EndedNotSpent,
    /// Once nothing happens for the time of a lease, each living member has its own share back completely.
    PartsComeBack,
    /// No request is admitted while another one with its id is open in any process of the gateway.
    OneRequestAnId,
    /// Once its request has ended in all processes, an id is free in each of them.
    IdsAreFreeAgain,
    /// No response is ended before its first event while the pauses of its server are within the limit.
    SlowHeadNotCut,
    /// No stream is ended while its server writes an event, within the maximum duration of one.
    WrittenEventNotCut,
    /// A client does not wait longer than the limit after the last event, unless its server is writing another one.
    ClientReleasedInTime,
    /// Framing that no sound body has is reported at its first byte.
    MalformedFramingIsTold,
    /// Framing within the limits is accepted.
    SoundFramingIsAccepted,
    /// The data of a body is what its framing states, no more and no less, and the body ends where its framing ends.
    DataIsExact,
    /// An event that is never completed holds its stream for a bounded time.
    SlowEventIsBounded,
}
