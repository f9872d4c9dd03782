//! The words of a request's machine: what may be ordered, what may come back, what is to be done.

use serde::{Deserialize, Serialize};

/// A server, named by the caller.
pub type Server = u64;

/// How often a request may run at servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RetrySafety {
    /// It changes nothing, or its repeats are dropped where the router sends them.
    #[serde(rename = "Freely")]
    Idempotent,
    /// At most once.
    #[serde(rename = "Never")]
    AtMostOnce,
}

/// What an attempt asks of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// To read the prompt and hold its state. It has no effect.
    #[serde(rename = "Read")]
    Prefill,
    /// To answer. It may have the request's effect.
    #[serde(rename = "Run")]
    Execute,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Status {
    Served,
    /// The prompt is read; its state waits at the server.
    #[serde(rename = "Read")]
    Prefilled,
    Error,
    /// Turned away: it never ran.
    #[serde(rename = "Declined")]
    Rejected,
    Timeout,
    /// Nothing of it can have run: its last byte was never written.
    #[serde(rename = "Connect")]
    ConnectFailed,
    /// It may have run.
    Reset,
    /// What came back could not be read. It may have run.
    #[serde(rename = "Spoilt")]
    MalformedResponse,
    /// Called back, or its client left. It may have run.
    Cancelled,
    /// Written, and no sign came in time that it had arrived; called back, since what is held for it may not wait longer.
    /// It may have run.
    Undelivered,
    /// Kept back here.
    NotSent,
}

impl Status {
    /// Whether this could only come back from a server that had taken the attempt.
    pub fn shows_arrival(self) -> bool {
        matches!(
            self,
            Status::Served | Status::Prefilled | Status::Error | Status::Rejected | Status::MalformedResponse
        )
    }

    /// Rule 2: whether the server may have begun what was asked, by what came back.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Status::Rejected | Status::ConnectFailed | Status::NotSent | Status::Prefilled)
    }
}

/// Where one attempt stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptState {
    /// Ordered; it waits until what may be held by this name has been let go.
    Queued,
    /// On its way to its server, or there: [`Attempt::arrived`] says what is known.
    InFlight,
    /// Called back. Its call is not dropped yet.
    Cancelling,
    /// The client's: its answer passes on.
    Streaming,
    Ended(Status),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Attempt {
    pub server: Server,
    pub stage: Stage,
    pub state: AttemptState,
    /// A sign has shown that its last byte came to a server that runs. What is only written may never arrive: it stops no
    /// clock.
    pub delivered: bool,
    /// Called back since no such sign came in time.
    pub undelivered: bool,
}

impl Attempt {
    /// One that has been ordered.
    pub fn new(server: Server, stage: Stage) -> Attempt {
        Attempt { server, stage, state: AttemptState::Queued, delivered: false, undelivered: false }
    }

    /// Rule 2: whether it has ended and may have had the request's effect.
    pub fn may_have_run(&self) -> bool {
        self.stage == Stage::Execute
            && matches!(self.state, AttemptState::Ended(status) if status.may_have_run())
    }

    /// Whether its outcome is still to come.
    pub fn is_open(&self) -> bool {
        !matches!(self.state, AttemptState::Ended(_))
    }
}

/// What came back for an attempt before any answer of it passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reply {
    /// The prompt is read.
    #[serde(rename = "Read")]
    Prefilled,
    /// The first whole event is here.
    #[serde(rename = "Begins")]
    FirstEvent,
    #[serde(rename = "Declined")]
    Rejected,
    /// The fault is the request's own; every server would find it.
    #[serde(rename = "Unfit")]
    Unprocessable,
    Error,
    #[serde(rename = "Connect")]
    ConnectFailed,
    Reset,
    #[serde(rename = "Spoilt")]
    MalformedResponse,
    /// Kept back on the way: the server is to get nothing new.
    NotSent,
}

/// How an answer that had begun ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StreamEnd {
    #[serde(rename = "Whole")]
    Complete,
    /// Another process goes on with it.
    #[serde(rename = "Moved")]
    HandedOver,
    Reset,
    #[serde(rename = "Spoilt")]
    MalformedResponse,
    /// No event came for too long.
    #[serde(rename = "Silent")]
    IdleTimeout,
    /// The client takes nothing any more.
    #[serde(rename = "Untaken")]
    ClientStalled,
}

/// What the client was told at the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FinalResponse {
    #[serde(rename = "Refused")]
    Rejected,
    /// The servers tried did not answer it.
    Failed,
    #[serde(rename = "Deadline")]
    DeadlineExceeded,
    #[serde(rename = "Unfit")]
    Unprocessable,
}

/// How far the client's answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ResponseState {
    /// Nothing of it is out.
    Pending,
    /// An attempt's stream passes on.
    Streaming,
    Final(FinalResponse),
    /// The stream has ended, whole or broken.
    StreamEnded,
    /// The client went first: nobody is owed anything.
    Abandoned,
}

/// What servers may hold under this request's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reservation {
    None,
    /// A reader holds the prompt's state, or may.
    KvState,
    /// This writer holds a place, or may; a state may be held too.
    Slot(Server),
}

/// The letting go of what is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Release {
    None,
    /// To begin as soon as nothing is out.
    Due,
    /// Under way; `again` if something came to be held since it began.
    InProgress {
        repeat: bool,
    },
}

/// A call for a place that is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SlotRequest {
    None,
    InFlight(Server),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Timer {
    /// The request's deadline, a little later than the router's own.
    Deadline,
    /// Something is held and nothing that is out has arrived: the router has so long to make use of it.
    #[serde(rename = "Pin")]
    LeaseLimit,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Input {
    /// Order: send it. `may` is false where the caller knows that this server gets nothing, or no time is left.
    Send {
        server: Server,
        stage: Stage,
        #[serde(rename = "may")]
        permitted: bool,
    },
    /// Order: call an attempt back.
    Cancel {
        attempt: usize,
    },
    /// Order: let go of all that is held.
    Release,
    /// Order: the final answer.
    #[serde(rename = "Answer")]
    Respond(FinalResponse),
    /// Order: ask this writer to hold a place.
    #[serde(rename = "Hold")]
    ReserveSlot {
        server: Server,
    },
    #[serde(rename = "ClientGone")]
    ClientDisconnected,
    /// A sign shows that an attempt has arrived at its server.
    #[serde(rename = "Arrived")]
    Delivered {
        attempt: usize,
    },
    Replied {
        attempt: usize,
        reply: Reply,
    },
    StreamEnded {
        attempt: usize,
        end: StreamEnd,
    },
    /// The caller's time for an attempt ran out before anything came back.
    TimedOut {
        attempt: usize,
    },
    /// The call of an attempt that was called back is dropped, its connection closed.
    #[serde(rename = "Dropped")]
    CancelCompleted {
        attempt: usize,
    },
    /// A writer's answer to the call for a place: held, not held, or not known.
    #[serde(rename = "Placed")]
    SlotAnswered {
        #[serde(rename = "held")]
        reserved: Option<bool>,
    },
    /// A release has come to its end, well or not.
    Released,
    #[serde(rename = "Due")]
    TimerExpired(Timer),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Effect {
    /// Sends the attempt now, once.
    #[serde(rename = "Start")]
    StartAttempt { attempt: usize },
    /// Drops the attempt's call; [`Input::Dropped`] tells when that is done.
    #[serde(rename = "CallBack")]
    CancelAttempt { attempt: usize },
    /// Lets go at the servers; `after_cut`: a server may not have seen the cut of the last attempt yet.
    Release { after_cut: bool },
    #[serde(rename = "AskPlace")]
    RequestSlot { server: Server },
    /// Gives up the call for a place.
    #[serde(rename = "DropPlace")]
    CancelSlotRequest,
    /// The client's final answer, at once.
    #[serde(rename = "Answer")]
    Respond(FinalResponse),
    /// The client's answer begins with what this attempt brought.
    #[serde(rename = "PassOn")]
    ForwardStream { attempt: usize },
    /// To the router: the attempt's first event.
    #[serde(rename = "TellFirst")]
    NotifyFirstToken { attempt: usize },
    /// To the router: the one outcome of an attempt.
    #[serde(rename = "TellOutcome")]
    NotifyOutcome { attempt: usize, status: Status, closed: bool },
    /// To the router: nobody waits for the request any more.
    #[serde(rename = "TellGone")]
    NotifyClientDisconnected,
    #[serde(rename = "TellPlace")]
    NotifySlot {
        server: Server,
        #[serde(rename = "held")]
        reserved: bool,
    },
    #[serde(rename = "Arm")]
    ArmTimer(Timer),
    #[serde(rename = "Disarm")]
    DisarmTimer(Timer),
    /// Nothing is left: forget the request, its name is free.
    #[serde(rename = "Over")]
    Finished,
}

/// A fault planted in the machine, for the explorer to show that it finds each. The gateway's build has none.
#[cfg(feature = "mutants")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Fault {
    AnswersTwice,
    AnswersAfterStream,
    SecondAttempt,
    RunsOrderTwice,
    ForgetsCutRead,
    ForgetsHeldAtEnd,
    ReleasesWhileOut,
    SendsBeforeRelease,
    SendsAfterEnd,
    LosesOutcome,
    TwoOutcomes,
    NeverOver,
    NoDeadline,
    NoPinLimit,
    KeepsCallAfterGone,
    ForgetsPlace,
    OverTooEarly,
    LeavesTimer,
    RefusesWhatMayHaveRun,
    /// What is written counts as arrived.
    CountsWrittenAsArrived,
    /// What has not arrived in time is not called back.
    KeepsUndelivered,
}

/// What a request is allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestPolicy {
    #[serde(rename = "repeat")]
    pub retry_safety: RetrySafety,
    /// Most attempts.
    #[serde(rename = "most")]
    pub max_attempts: usize,
    /// Whether the deployment lets an attempt be called back of which nobody wants the answer any more.
    #[serde(rename = "cancel")]
    pub cancellation: bool,
}

impl StreamEnd {
    pub fn status(self) -> Status {
        match self {
            StreamEnd::Complete | StreamEnd::HandedOver => Status::Served,
            StreamEnd::Reset => Status::Reset,
            StreamEnd::MalformedResponse => Status::MalformedResponse,
            StreamEnd::IdleTimeout => Status::Timeout,
            StreamEnd::ClientStalled => Status::Cancelled,
        }
    }
}
