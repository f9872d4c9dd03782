//! The words of a request's machine: what may be ordered, what may come back, what is to be done.

use serde::{Deserialize, Serialize};

/// A server, named by the caller.
pub type Server = u64;

/// How often a request may run at servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Repeat {
    /// It changes nothing, or its repeats are dropped where the router sends them.
    Freely,
    /// At most once.
    Never,
}

/// What an attempt asks of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// To read the prompt and hold its state. It has no effect.
    Read,
    /// To answer. It may have the request's effect.
    Run,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Status {
    Served,
    /// The prompt is read; its state waits at the server.
    Read,
    Error,
    /// Turned away: it never ran.
    Declined,
    Timeout,
    /// Nothing of it can have run: its last byte was never written.
    Connect,
    /// It may have run.
    Reset,
    /// What came back could not be read. It may have run.
    Spoilt,
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
        matches!(self, Status::Served | Status::Read | Status::Error | Status::Declined | Status::Spoilt)
    }

    /// Rule 2: whether the server may have begun what was asked, by what came back.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Status::Declined | Status::Connect | Status::NotSent | Status::Read)
    }
}

/// Where one attempt stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Step {
    /// Ordered; it waits until what may be held by this name has been let go.
    Waiting,
    /// On its way to its server, or there: [`Attempt::arrived`] says what is known.
    Out,
    /// Called back. Its call is not dropped yet.
    CalledBack,
    /// The client's: its answer passes on.
    Begun,
    Ended(Status),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Attempt {
    pub server: Server,
    pub stage: Stage,
    pub step: Step,
    /// A sign has shown that its last byte came to a server that runs. What is only written may never arrive: it stops no
    /// clock.
    pub arrived: bool,
    /// Called back since no such sign came in time.
    pub undelivered: bool,
}

impl Attempt {
    /// One that has been ordered.
    pub fn new(server: Server, stage: Stage) -> Attempt {
        Attempt { server, stage, step: Step::Waiting, arrived: false, undelivered: false }
    }

    /// Rule 2: whether it has ended and may have had the request's effect.
    pub fn may_have_run(&self) -> bool {
        self.stage == Stage::Run && matches!(self.step, Step::Ended(status) if status.may_have_run())
    }

    /// Whether its outcome is still to come.
    pub fn open(&self) -> bool {
        !matches!(self.step, Step::Ended(_))
    }
}

/// What came back for an attempt before any answer of it passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reply {
    /// The prompt is read.
    Read,
    /// The first whole event is here.
    Begins,
    Declined,
    /// The fault is the request's own; every server would find it.
    Unfit,
    Error,
    Connect,
    Reset,
    Spoilt,
    /// Kept back on the way: the server is to get nothing new.
    NotSent,
}

/// How an answer that had begun ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StreamEnd {
    Whole,
    /// Another process goes on with it.
    Moved,
    Reset,
    Spoilt,
    /// No event came for too long.
    Silent,
    /// The client takes nothing any more.
    Untaken,
}

/// What the client was told at the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Final {
    Refused,
    /// The servers tried did not answer it.
    Failed,
    Deadline,
    Unfit,
}

/// How far the client's answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// Nothing of it is out.
    Owed,
    /// An attempt's stream passes on.
    Streaming,
    Given(Final),
    /// The stream has ended, whole or broken.
    Streamed,
    /// The client went first: nobody is owed anything.
    Abandoned,
}

/// What servers may hold under this request's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Held {
    Nothing,
    /// A reader holds the prompt's state, or may.
    State,
    /// This writer holds a place, or may; a state may be held too.
    Place(Server),
}

/// The letting go of what is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Release {
    None,
    /// To begin as soon as nothing is out.
    Due,
    /// Under way; `again` if something came to be held since it began.
    UnderWay {
        again: bool,
    },
}

/// A call for a place that is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PlaceCall {
    None,
    Out(Server),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Timer {
    /// The request's deadline, a little later than the router's own.
    Deadline,
    /// Something is held and nothing that is out has arrived: the router has so long to make use of it.
    Pin,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Input {
    /// Order: send it. `may` is false where the caller knows that this server gets nothing, or no time is left.
    Send {
        server: Server,
        stage: Stage,
        may: bool,
    },
    /// Order: call an attempt back.
    Cancel {
        attempt: usize,
    },
    /// Order: let go of all that is held.
    Release,
    /// Order: the final answer.
    Answer(Final),
    /// Order: ask this writer to hold a place.
    Hold {
        server: Server,
    },
    ClientGone,
    /// A sign shows that an attempt has arrived at its server.
    Arrived {
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
    Dropped {
        attempt: usize,
    },
    /// A writer's answer to the call for a place: held, not held, or not known.
    Placed {
        held: Option<bool>,
    },
    /// A release has come to its end, well or not.
    Released,
    Due(Timer),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Effect {
    /// Sends the attempt now, once.
    Start {
        attempt: usize,
    },
    /// Drops the attempt's call; [`Input::Dropped`] tells when that is done.
    CallBack {
        attempt: usize,
    },
    /// Lets go at the servers; `after_cut`: a server may not have seen the cut of the last attempt yet.
    Release {
        after_cut: bool,
    },
    AskPlace {
        server: Server,
    },
    /// Gives up the call for a place.
    DropPlace,
    /// The client's final answer, at once.
    Answer(Final),
    /// The client's answer begins with what this attempt brought.
    PassOn {
        attempt: usize,
    },
    /// To the router: the attempt's first event.
    TellFirst {
        attempt: usize,
    },
    /// To the router: the one outcome of an attempt.
    TellOutcome {
        attempt: usize,
        status: Status,
        closed: bool,
    },
    /// To the router: nobody waits for the request any more.
    TellGone,
    TellPlace {
        server: Server,
        held: bool,
    },
    Arm(Timer),
    Disarm(Timer),
    /// Nothing is left: forget the request, its name is free.
    Over,
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
pub struct Terms {
    pub repeat: Repeat,
    /// Most attempts.
    pub most: usize,
    /// Whether the deployment lets an attempt be called back of which nobody wants the answer any more.
    pub cancel: bool,
}

impl StreamEnd {
    pub fn status(self) -> Status {
        match self {
            StreamEnd::Whole | StreamEnd::Moved => Status::Served,
            StreamEnd::Reset => Status::Reset,
            StreamEnd::Spoilt => Status::Spoilt,
            StreamEnd::Silent => Status::Timeout,
            StreamEnd::Untaken => Status::Cancelled,
        }
    }
}
