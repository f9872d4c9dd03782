//! One request from its arrival until nothing of it is left: its attempts, what servers may hold for it, and its
//! one final answer.
//!
//! The router orders ([`Input::Send`], [`Input::Cancel`], [`Input::Release`], ...), the world reports
//! ([`Input::Replied`], [`Input::ClientGone`], ...), and the machine says what is to be done ([`Effect`]). It
//! trusts neither: an order that would break a rule is answered with [`Status::NotSent`] and carried out by
//! nobody, whatever the router or a plug-in believes.

mod words;

use serde::{Deserialize, Serialize};

pub use self::words::*;
use crate::Impossible;

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Request {
    terms: Terms,
    attempts: Vec<Attempt>,
    answer: Answer,
    held: Held,
    release: Release,
    place: PlaceCall,
    /// Rule 2: an attempt that has ended may have had the effect.
    ran: bool,
    /// A call was cut since the last release, and its server may not know yet.
    cut: bool,
    deadline_armed: bool,
    pin_armed: bool,
    over: bool,
    #[cfg(feature = "mutants")]
    fault: Option<Fault>,
}

type Effects = Vec<Effect>;

impl Request {
    /// A request that has come in whole.
    pub fn new(terms: Terms, out: &mut Effects) -> Self {
        out.push(Effect::Arm(Timer::Deadline));
        Request {
            terms,
            attempts: Vec::new(),
            answer: Answer::Owed,
            held: Held::Nothing,
            release: Release::None,
            place: PlaceCall::None,
            ran: false,
            cut: false,
            deadline_armed: true,
            pin_armed: false,
            over: false,
            #[cfg(feature = "mutants")]
            fault: None,
        }
    }

    #[cfg(feature = "mutants")]
    pub fn plant(&mut self, fault: Option<Fault>) {
        self.fault = fault;
    }

    #[cfg(feature = "mutants")]
    fn faulty(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }

    pub fn terms(&self) -> Terms {
        self.terms
    }
    pub fn attempts(&self) -> &[Attempt] {
        &self.attempts
    }
    pub fn answer(&self) -> Answer {
        self.answer
    }

    /// Whether the client is owed nothing more.
    pub fn closed(&self) -> bool {
        !matches!(self.answer, Answer::Owed | Answer::Streaming)
    }

    /// Whether an attempt's outcome is still to come.
    pub fn out(&self) -> bool {
        self.attempts.iter().any(Attempt::open)
    }

    /// Whether an attempt is at a server, or may be.
    fn at_server(&self) -> bool {
        self.attempts.iter().any(|a| matches!(a.step, Step::Out | Step::CalledBack | Step::Begun))
    }

    /// Rule 2: whether an attempt may have had its effect. Of one that is out, a read too, nobody knows yet.
    pub fn may_have_run(&self) -> bool {
        self.ran || self.at_server()
    }

    /// Whether servers hold something under its name, or may.
    pub fn holds(&self) -> bool {
        self.held != Held::Nothing
    }

    /// Whether nothing of it is left.
    pub fn over(&self) -> bool {
        self.over
    }

    pub fn armed(&self, timer: Timer) -> bool {
        match timer {
            Timer::Deadline => self.deadline_armed,
            Timer::Pin => self.pin_armed,
        }
    }

    /// Takes in one input and appends what is to be done, in order.
    pub fn step(&mut self, input: Input, out: &mut Effects) -> Result<(), Impossible> {
        if self.over {
            return Err(self.impossible(&input));
        }
        // The transition table. What follows from the state reached, whichever way, is in `settle`.
        match input {
            Input::Send { server, stage, may } => self.send(server, stage, may, out),
            Input::Cancel { attempt } => self.call_back(attempt, out),
            Input::Release => {
                // Only what is held is let go of: a needless call costs a server work, and could hit another's. What has come
                // to be held since a release began has said so itself.
                if self.held != Held::Nothing && !matches!(self.release, Release::UnderWay { .. }) {
                    self.release_due();
                }
            }
            Input::Answer(last) => self.give(last, out),
            Input::Hold { server } => {
                // Beside an attempt only: a place that no attempt is to take pins the writer's memory.
                if self.place == PlaceCall::None && !self.closed() && self.at_server() {
                    self.place = PlaceCall::Out(server);
                    out.push(Effect::AskPlace { server });
                }
            }
            Input::ClientGone => {
                if !self.closed() {
                    self.answer = Answer::Abandoned;
                    out.push(Effect::TellGone);
                    self.call_back_all(out);
                }
            }
            Input::Replied { attempt, reply } => match self.step_of(attempt) {
                Some(Step::Out) => self.replied(attempt, reply, out),
                // A first token just as it was called back: it is about to be dropped, and ends then.
                Some(Step::CalledBack) if reply == Reply::Begins => {}
                // Nothing of it was out: it has had no effect, and what is held has waited all the time.
                Some(Step::CalledBack) if reply == Reply::NotSent => {
                    self.ended(attempt, Status::NotSent, out)
                }
                // Its call has ended by itself.
                Some(Step::CalledBack) => self.ended(attempt, self.called_back(attempt), out),
                _ => return Err(self.impossible(&input)),
            },
            Input::Arrived { attempt } => match self.step_of(attempt) {
                Some(Step::Out) => self.attempts[attempt].arrived = true,
                // The sign crossed its end.
                Some(Step::CalledBack | Step::Begun | Step::Ended(_)) => {}
                _ => return Err(self.impossible(&input)),
            },
            Input::StreamEnded { attempt, end } => match self.step_of(attempt) {
                Some(Step::Begun) => {
                    if !self.closed() {
                        self.answer = Answer::Streamed;
                    }
                    self.ended(attempt, end.status(), out);
                }
                _ => return Err(self.impossible(&input)),
            },
            Input::TimedOut { attempt } => match self.step_of(attempt) {
                Some(Step::Out) => self.ended(attempt, Status::Timeout, out),
                _ => return Err(self.impossible(&input)),
            },
            Input::Dropped { attempt } => match self.step_of(attempt) {
                Some(Step::CalledBack) => self.ended(attempt, self.called_back(attempt), out),
                _ => return Err(self.impossible(&input)),
            },
            Input::Placed { held } => match self.place {
                PlaceCall::Out(server) => self.placed(server, held, out),
                PlaceCall::None => return Err(self.impossible(&input)),
            },
            Input::Released => match self.release {
                Release::UnderWay { again } => {
                    self.release = if again { Release::Due } else { Release::None };
                    if !again {
                        self.held = Held::Nothing;
                    }
                }
                _ => return Err(self.impossible(&input)),
            },
            Input::Due(timer) => {
                if !self.armed(timer) {
                    return Err(self.impossible(&input));
                }
                self.due(timer, out);
            }
        }
        self.settle(out);
        Ok(())
    }

    fn impossible(&self, input: &Input) -> Impossible {
        Impossible::new("request", input, self)
    }

    fn step_of(&self, attempt: usize) -> Option<Step> {
        self.attempts.get(attempt).map(|a| a.step)
    }

    fn send(&mut self, server: Server, stage: Stage, may: bool, out: &mut Effects) {
        let attempt = self.attempts.len();
        // Rules: one attempt at a time, none beyond the cap, none for what has ended, no second run.
        let second = self.out();
        let ended = self.closed();
        let runs_again = self.terms.repeat == Repeat::Never && stage == Stage::Run && self.ran;
        #[cfg(feature = "mutants")]
        let (second, ended, runs_again) = (
            second && !self.faulty(Fault::SecondAttempt),
            ended && !self.faulty(Fault::SendsAfterEnd),
            runs_again && !self.faulty(Fault::RunsOrderTwice),
        );
        let go = may && !second && !ended && !runs_again && attempt < self.terms.most;
        self.attempts.push(Attempt::new(server, stage));
        if !go {
            self.ended(attempt, Status::NotSent, out);
        }
    }

    fn call_back(&mut self, attempt: usize, out: &mut Effects) {
        match self.step_of(attempt) {
            // Nothing of it is out.
            Some(Step::Waiting) => self.ended(attempt, Status::NotSent, out),
            Some(Step::Out) => {
                self.attempts[attempt].step = Step::CalledBack;
                out.push(Effect::CallBack { attempt });
            }
            // Too late, or twice: what has begun is the client's.
            _ => {}
        }
    }

    /// How an attempt that was called back ends.
    fn called_back(&self, attempt: usize) -> Status {
        match self.attempts[attempt].undelivered {
            true => Status::Undelivered,
            false => Status::Cancelled,
        }
    }

    /// Calls back what is out and has not been shown to have arrived.
    fn give_up_undelivered(&mut self, out: &mut Effects) {
        #[cfg(feature = "mutants")]
        if self.faulty(Fault::KeepsUndelivered) {
            return;
        }
        for attempt in 0..self.attempts.len() {
            let Attempt { step, arrived, .. } = self.attempts[attempt];
            if step == Step::Out && !arrived {
                self.attempts[attempt].undelivered = true;
                self.call_back(attempt, out);
            }
        }
    }

    /// Nobody wants an answer any more.
    fn call_back_all(&mut self, out: &mut Effects) {
        #[cfg(feature = "mutants")]
        if self.faulty(Fault::KeepsCallAfterGone) {
            return;
        }
        for attempt in 0..self.attempts.len() {
            // What only waits is not out, whatever the deployment says of calling back.
            if self.terms.cancel || self.attempts[attempt].step == Step::Waiting {
                self.call_back(attempt, out);
            }
        }
    }

    /// The final answer, unless one was given or has begun; then what is out is of no use to anybody.
    fn give(&mut self, last: Final, out: &mut Effects) {
        let free = self.answer == Answer::Owed;
        #[cfg(feature = "mutants")]
        let free = free
            || self.faulty(Fault::AnswersTwice) && matches!(self.answer, Answer::Given(_))
            || self.faulty(Fault::AnswersAfterStream) && self.answer == Answer::Streaming;
        // Rule 2: a refusal says that trying again is harmless.
        let once = self.terms.repeat == Repeat::Never;
        let harmful = last == Final::Refused && once && self.may_have_run();
        #[cfg(feature = "mutants")]
        let harmful = harmful && !self.faulty(Fault::RefusesWhatMayHaveRun);
        let last = if harmful { Final::Failed } else { last };
        if free {
            self.answer = Answer::Given(last);
            out.push(Effect::Answer(last));
            self.call_back_all(out);
        }
    }

    fn replied(&mut self, attempt: usize, reply: Reply, out: &mut Effects) {
        let status = match reply {
            Reply::Begins => return self.begins(attempt, out),
            // Final. It never ran, so nothing came to be held by it.
            Reply::Unfit if self.answer == Answer::Owed => {
                self.answer = Answer::Given(Final::Unfit);
                out.push(Effect::Answer(Final::Unfit));
                Status::NotSent
            }
            Reply::Unfit => Status::NotSent,
            Reply::Read => Status::Read,
            Reply::Declined => Status::Declined,
            Reply::Error => Status::Error,
            Reply::Connect => Status::Connect,
            Reply::Reset => Status::Reset,
            Reply::Spoilt => Status::Spoilt,
            Reply::NotSent => Status::NotSent,
        };
        self.ended(attempt, status, out);
    }

    /// The attempt's first event is here: it is the client's from now on.
    fn begins(&mut self, attempt: usize, out: &mut Effects) {
        if self.answer != Answer::Owed {
            // Nobody wants it: it ends once it is dropped, so that nothing is let go beside it.
            self.attempts[attempt].step = Step::CalledBack;
            return out.push(Effect::CallBack { attempt });
        }
        self.attempts[attempt].step = Step::Begun;
        self.attempts[attempt].arrived = true;
        self.answer = Answer::Streaming;
        self.ran = true;
        // The writer has fetched the state, and its own place is the stream's; one elsewhere is still to be let go.
        if !matches!(self.held, Held::Place(server) if server != self.attempts[attempt].server) {
            self.held = Held::Nothing;
        }
        out.push(Effect::TellFirst { attempt });
        out.push(Effect::PassOn { attempt });
    }

    /// The one outcome of an attempt.
    fn ended(&mut self, attempt: usize, status: Status, out: &mut Effects) {
        let Attempt { stage, step, .. } = self.attempts[attempt];
        self.attempts[attempt].step = Step::Ended(status);
        self.attempts[attempt].arrived = match status {
            Status::Connect | Status::NotSent => false,
            _ => self.attempts[attempt].arrived || status.shows_arrival(),
        };
        if step != Step::Waiting {
            let lost = matches!(
                status,
                Status::Cancelled | Status::Undelivered | Status::Reset | Status::Spoilt | Status::Timeout
            );
            let cut = lost && step != Step::Begun;
            // Kept until a release has waited for it: a call for a place may have been cut before.
            self.cut |= cut;
            // A read may have ended well just as its connection was cut: what it left is let go, and before
            // the request is sent again, whose state it would be.
            let left = cut && stage == Stage::Read;
            #[cfg(feature = "mutants")]
            let left = left && !self.faulty(Fault::ForgetsCutRead);
            if left {
                self.hold(Held::State);
                self.release_due();
            }
            if status == Status::Read {
                self.hold(Held::State);
            }
            self.ran |= stage == Stage::Run && status.may_have_run();
        }
        #[cfg(feature = "mutants")]
        if self.faulty(Fault::LosesOutcome) && status == Status::Cancelled {
            return;
        }
        out.push(Effect::TellOutcome { attempt, status, closed: self.closed() });
        #[cfg(feature = "mutants")]
        if self.faulty(Fault::TwoOutcomes) && status == Status::Timeout {
            out.push(Effect::TellOutcome { attempt, status, closed: self.closed() });
        }
    }

    fn placed(&mut self, server: Server, held: Option<bool>, out: &mut Effects) {
        self.place = PlaceCall::None;
        // Where the writer does not know, a place may be held all the same, and beside a stream that has begun
        // without it.
        let left = held != Some(false);
        #[cfg(feature = "mutants")]
        let left = left && !self.faulty(Fault::ForgetsPlace);
        if left {
            self.hold(Held::Place(server));
        }
        if let Some(held) = held {
            out.push(Effect::TellPlace { server, held });
        }
    }

    /// Something may be held from now on.
    fn hold(&mut self, what: Held) {
        if !matches!(self.held, Held::Place(_)) {
            self.held = what;
        }
        if let Release::UnderWay { again } = &mut self.release {
            *again = true;
        }
    }

    fn release_due(&mut self) {
        match &mut self.release {
            Release::UnderWay { again } => *again = true,
            release => *release = Release::Due,
        }
    }

    fn due(&mut self, timer: Timer, out: &mut Effects) {
        match timer {
            Timer::Deadline => {
                self.deadline_armed = false;
                if self.answer == Answer::Owed {
                    // The router is told as if the client had gone, which it is about to.
                    self.give(Final::Deadline, out);
                    out.push(Effect::TellGone);
                }
            }
            Timer::Pin => {
                self.pin_armed = false;
                self.drop_place(out);
                self.give_up_undelivered(out);
                self.release_due();
            }
        }
    }

    /// Nobody will take a place: its call is given up, and what it may have left is let go.
    fn drop_place(&mut self, out: &mut Effects) {
        if let PlaceCall::Out(server) = self.place {
            self.place = PlaceCall::None;
            self.cut = true;
            self.hold(Held::Place(server));
            out.push(Effect::DropPlace);
        }
    }

    /// What follows from where the request stands.
    fn settle(&mut self, out: &mut Effects) {
        let closed = self.closed();
        if closed {
            self.drop_place(out);
            let lets_go = self.held != Held::Nothing && self.release == Release::None;
            #[cfg(feature = "mutants")]
            let lets_go = lets_go && !self.faulty(Fault::ForgetsHeldAtEnd);
            if lets_go {
                self.release = Release::Due;
            }
        }
        let free = !self.at_server();
        #[cfg(feature = "mutants")]
        let free = free || self.faulty(Fault::ReleasesWhileOut);
        if self.release == Release::Due && free {
            self.release = Release::UnderWay { again: false };
            out.push(Effect::Release { after_cut: std::mem::take(&mut self.cut) });
        }
        let clear = self.release == Release::None;
        #[cfg(feature = "mutants")]
        let clear = clear || self.faulty(Fault::SendsBeforeRelease);
        if clear {
            if let Some(attempt) = self.attempts.iter().position(|a| a.step == Step::Waiting) {
                self.attempts[attempt].step = Step::Out;
                out.push(Effect::Start { attempt });
            }
        }
        self.timers(out);
        let left = self.out() || self.release != Release::None || self.place != PlaceCall::None;
        #[cfg(feature = "mutants")]
        let (closed, left) = (
            closed && !self.faulty(Fault::NeverOver),
            left && !(self.faulty(Fault::OverTooEarly) && self.release != Release::None),
        );
        if closed && !left {
            self.over = true;
            out.push(Effect::Over);
        }
    }

    /// Whether an attempt is out that a sign has shown to have arrived.
    fn arrived(&self) -> bool {
        #[cfg(feature = "mutants")]
        if self.faulty(Fault::CountsWrittenAsArrived) {
            return self.out();
        }
        self.attempts.iter().any(|a| a.open() && a.arrived)
    }

    /// Arms what must be armed where the request stands, and nothing else.
    fn timers(&mut self, out: &mut Effects) {
        let deadline = self.deadline_armed && self.answer == Answer::Owed;
        // A call for a place may have succeeded already.
        let held = self.held != Held::Nothing || self.place != PlaceCall::None;
        // What is only written stops no clock, and holds up no release.
        let runs = match self.release {
            Release::None => !self.closed(),
            Release::Due => self.attempts.iter().any(|a| a.step == Step::Out && !a.arrived),
            Release::UnderWay { .. } => false,
        };
        let pin = held && !self.arrived() && runs;
        #[cfg(feature = "mutants")]
        let (deadline, pin) = (
            (deadline || self.deadline_armed && self.faulty(Fault::LeavesTimer))
                && !self.faulty(Fault::NoDeadline),
            pin && !self.faulty(Fault::NoPinLimit),
        );
        for (timer, wanted) in [(Timer::Deadline, deadline), (Timer::Pin, pin)] {
            let armed = match timer {
                Timer::Deadline => &mut self.deadline_armed,
                Timer::Pin => &mut self.pin_armed,
            };
            if *armed != wanted {
                *armed = wanted;
                out.push(if wanted { Effect::Arm(timer) } else { Effect::Disarm(timer) });
            }
        }
    }
}
