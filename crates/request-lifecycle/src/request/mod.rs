//! One request from its arrival until nothing of it is left: its attempts, what servers may hold for it, and its
//! one final answer.
//!
//! The router orders ([`Input::Send`], [`Input::Cancel`], [`Input::Release`], ...), the world reports
//! ([`Input::Replied`], [`Input::ClientGone`], ...), and the machine says what is to be done ([`Effect`]). It
//! trusts neither: an order that would break a rule is answered with [`Status::NotSent`] and carried out by
//! nobody, whatever the router or a plug-in believes.

mod messages;

use serde::{Deserialize, Serialize};

pub use self::messages::*;
use crate::InvalidTransition;

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Request {
    policy: RequestPolicy,
    attempts: Vec<Attempt>,
    response: ResponseState,
    reservation: Reservation,
    release: Release,
    slot_request: SlotRequest,
    /// Rule 2: an attempt that has ended may have had the effect.
    may_have_executed: bool,
    /// A call was cut since the last release, and its server may not know yet.
    cut_since_release: bool,
    deadline_armed: bool,
    lease_armed: bool,
    is_finished: bool,
    #[cfg(feature = "mutants")]
    fault: Option<Fault>,
}

type Effects = Vec<Effect>;

impl Request {
    /// A request that has come in whole.
    pub fn new(terms: RequestPolicy, out: &mut Effects) -> Self {
        out.push(Effect::ArmTimer(Timer::Deadline));
        Request {
            policy: terms,
            attempts: Vec::new(),
            response: ResponseState::Pending,
            reservation: Reservation::None,
            release: Release::None,
            slot_request: SlotRequest::None,
            may_have_executed: false,
            cut_since_release: false,
            deadline_armed: true,
            lease_armed: false,
            is_finished: false,
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

    pub fn policy(&self) -> RequestPolicy {
        self.policy
    }
    pub fn attempts(&self) -> &[Attempt] {
        &self.attempts
    }
    pub fn response(&self) -> ResponseState {
        self.response
    }

    /// Whether the client is owed nothing more.
    pub fn is_closed(&self) -> bool {
        !matches!(self.response, ResponseState::Pending | ResponseState::Streaming)
    }

    /// Whether an attempt's outcome is still to come.
    pub fn in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_open)
    }

    /// Whether an attempt is at a server, or may be.
    fn at_server(&self) -> bool {
        self.attempts.iter().any(|a| {
            matches!(a.state, AttemptState::InFlight | AttemptState::Cancelling | AttemptState::Streaming)
        })
    }

    /// Rule 2: whether an attempt may have had its effect. Of one that is out, a read too, nobody knows yet.
    pub fn may_have_run(&self) -> bool {
        self.may_have_executed || self.at_server()
    }

    /// Whether servers hold something under its name, or may.
    pub fn has_reservation(&self) -> bool {
        self.reservation != Reservation::None
    }

    /// Whether nothing of it is left.
    pub fn is_finished(&self) -> bool {
        self.is_finished
    }

    pub fn is_armed(&self, timer: Timer) -> bool {
        match timer {
            Timer::Deadline => self.deadline_armed,
            Timer::LeaseLimit => self.lease_armed,
        }
    }

    /// Takes in one input and appends what is to be done, in order.
    pub fn step(&mut self, input: Input, out: &mut Effects) -> Result<(), InvalidTransition> {
        if self.is_finished {
            return Err(self.impossible(&input));
        }
        // The transition table. What follows from the state reached, whichever way, is in `settle`.
        match input {
            Input::Send { server, stage, permitted: may } => self.send(server, stage, may, out),
            Input::Cancel { attempt } => self.call_back(attempt, out),
            Input::Release => {
                // Only what is held is let go of: a needless call costs a server work, and could hit another's. What has come
                // to be held since a release began has said so itself.
                if self.reservation != Reservation::None
                    && !matches!(self.release, Release::InProgress { .. })
                {
                    self.release_due();
                }
            }
            Input::Respond(last) => self.give(last, out),
            Input::ReserveSlot { server } => {
                // Beside an attempt only: a place that no attempt is to take pins the writer's memory.
                if self.slot_request == SlotRequest::None && !self.is_closed() && self.at_server() {
                    self.slot_request = SlotRequest::InFlight(server);
                    out.push(Effect::RequestSlot { server });
                }
            }
            Input::ClientDisconnected => {
                if !self.is_closed() {
                    self.response = ResponseState::Abandoned;
                    out.push(Effect::NotifyClientDisconnected);
                    self.call_back_all(out);
                }
            }
            Input::Replied { attempt, reply } => match self.step_of(attempt) {
                Some(AttemptState::InFlight) => self.replied(attempt, reply, out),
                // A first token just as it was called back: it is about to be dropped, and ends then.
                Some(AttemptState::Cancelling) if reply == Reply::FirstEvent => {}
                // Nothing of it was out: it has had no effect, and what is held has waited all the time.
                Some(AttemptState::Cancelling) if reply == Reply::NotSent => {
                    self.ended(attempt, Status::NotSent, out)
                }
                // Its call has ended by itself.
                Some(AttemptState::Cancelling) => self.ended(attempt, self.called_back(attempt), out),
                _ => return Err(self.impossible(&input)),
            },
            Input::Delivered { attempt } => match self.step_of(attempt) {
                Some(AttemptState::InFlight) => self.attempts[attempt].delivered = true,
                // The sign crossed its end.
                Some(AttemptState::Cancelling | AttemptState::Streaming | AttemptState::Ended(_)) => {}
                _ => return Err(self.impossible(&input)),
            },
            Input::StreamEnded { attempt, end } => match self.step_of(attempt) {
                Some(AttemptState::Streaming) => {
                    if !self.is_closed() {
                        self.response = ResponseState::StreamEnded;
                    }
                    self.ended(attempt, end.status(), out);
                }
                _ => return Err(self.impossible(&input)),
            },
            Input::TimedOut { attempt } => match self.step_of(attempt) {
                Some(AttemptState::InFlight) => self.ended(attempt, Status::Timeout, out),
                _ => return Err(self.impossible(&input)),
            },
            Input::CancelCompleted { attempt } => match self.step_of(attempt) {
                Some(AttemptState::Cancelling) => self.ended(attempt, self.called_back(attempt), out),
                _ => return Err(self.impossible(&input)),
            },
            Input::SlotAnswered { reserved: held } => match self.slot_request {
                SlotRequest::InFlight(server) => self.placed(server, held, out),
                SlotRequest::None => return Err(self.impossible(&input)),
            },
            Input::Released => match self.release {
                Release::InProgress { repeat: again } => {
                    self.release = if again { Release::Due } else { Release::None };
                    if !again {
                        self.reservation = Reservation::None;
                    }
                }
                _ => return Err(self.impossible(&input)),
            },
            Input::TimerExpired(timer) => {
                if !self.is_armed(timer) {
                    return Err(self.impossible(&input));
                }
                self.due(timer, out);
            }
        }
        self.settle(out);
        Ok(())
    }

    fn impossible(&self, input: &Input) -> InvalidTransition {
        InvalidTransition::new("request", input, self)
    }

    fn step_of(&self, attempt: usize) -> Option<AttemptState> {
        self.attempts.get(attempt).map(|a| a.state)
    }

    fn send(&mut self, server: Server, stage: Stage, may: bool, out: &mut Effects) {
        let attempt = self.attempts.len();
        // Rules: one attempt at a time, none beyond the cap, none for what has ended, no second run.
        let second = self.in_flight();
        let ended = self.is_closed();
        let runs_again = self.policy.retry_safety == RetrySafety::AtMostOnce
            && stage == Stage::Execute
            && self.may_have_executed;
        #[cfg(feature = "mutants")]
        let (second, ended, runs_again) = (
            second && !self.faulty(Fault::SecondAttempt),
            ended && !self.faulty(Fault::SendsAfterEnd),
            runs_again && !self.faulty(Fault::RunsOrderTwice),
        );
        let go = may && !second && !ended && !runs_again && attempt < self.policy.max_attempts;
        self.attempts.push(Attempt::new(server, stage));
        if !go {
            self.ended(attempt, Status::NotSent, out);
        }
    }

    fn call_back(&mut self, attempt: usize, out: &mut Effects) {
        match self.step_of(attempt) {
            // Nothing of it is out.
            Some(AttemptState::Queued) => self.ended(attempt, Status::NotSent, out),
            Some(AttemptState::InFlight) => {
                self.attempts[attempt].state = AttemptState::Cancelling;
                out.push(Effect::CancelAttempt { attempt });
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
            let Attempt { state: step, delivered: arrived, .. } = self.attempts[attempt];
            if step == AttemptState::InFlight && !arrived {
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
            if self.policy.cancellation || self.attempts[attempt].state == AttemptState::Queued {
                self.call_back(attempt, out);
            }
        }
    }

    /// The final answer, unless one was given or has begun; then what is out is of no use to anybody.
    fn give(&mut self, last: FinalResponse, out: &mut Effects) {
        let free = self.response == ResponseState::Pending;
        #[cfg(feature = "mutants")]
        let free = free
            || self.faulty(Fault::AnswersTwice) && matches!(self.response, ResponseState::Final(_))
            || self.faulty(Fault::AnswersAfterStream) && self.response == ResponseState::Streaming;
        // Rule 2: a refusal says that trying again is harmless.
        let once = self.policy.retry_safety == RetrySafety::AtMostOnce;
        let harmful = last == FinalResponse::Rejected && once && self.may_have_run();
        #[cfg(feature = "mutants")]
        let harmful = harmful && !self.faulty(Fault::RefusesWhatMayHaveRun);
        let last = if harmful { FinalResponse::Failed } else { last };
        if free {
            self.response = ResponseState::Final(last);
            out.push(Effect::Respond(last));
            self.call_back_all(out);
        }
    }

    fn replied(&mut self, attempt: usize, reply: Reply, out: &mut Effects) {
        let status = match reply {
            Reply::FirstEvent => return self.begins(attempt, out),
            // Final. It never ran, so nothing came to be held by it.
            Reply::Unprocessable if self.response == ResponseState::Pending => {
                self.response = ResponseState::Final(FinalResponse::Unprocessable);
                out.push(Effect::Respond(FinalResponse::Unprocessable));
                Status::NotSent
            }
            Reply::Unprocessable => Status::NotSent,
            Reply::Prefilled => Status::Prefilled,
            Reply::Rejected => Status::Rejected,
            Reply::Error => Status::Error,
            Reply::ConnectFailed => Status::ConnectFailed,
            Reply::Reset => Status::Reset,
            Reply::MalformedResponse => Status::MalformedResponse,
            Reply::NotSent => Status::NotSent,
        };
        self.ended(attempt, status, out);
    }

    /// The attempt's first event is here: it is the client's from now on.
    fn begins(&mut self, attempt: usize, out: &mut Effects) {
        if self.response != ResponseState::Pending {
            // Nobody wants it: it ends once it is dropped, so that nothing is let go beside it.
            self.attempts[attempt].state = AttemptState::Cancelling;
            return out.push(Effect::CancelAttempt { attempt });
        }
        self.attempts[attempt].state = AttemptState::Streaming;
        self.attempts[attempt].delivered = true;
        self.response = ResponseState::Streaming;
        self.may_have_executed = true;
        // The writer has fetched the state, and its own place is the stream's; one elsewhere is still to be let go.
        if !matches!(self.reservation, Reservation::Slot(server) if server != self.attempts[attempt].server) {
            self.reservation = Reservation::None;
        }
        out.push(Effect::NotifyFirstToken { attempt });
        out.push(Effect::ForwardStream { attempt });
    }

    /// The one outcome of an attempt.
    fn ended(&mut self, attempt: usize, status: Status, out: &mut Effects) {
        let Attempt { stage, state: step, .. } = self.attempts[attempt];
        self.attempts[attempt].state = AttemptState::Ended(status);
        self.attempts[attempt].delivered = match status {
            Status::ConnectFailed | Status::NotSent => false,
            _ => self.attempts[attempt].delivered || status.shows_arrival(),
        };
        if step != AttemptState::Queued {
            let lost = matches!(
                status,
                Status::Cancelled
                    | Status::Undelivered
                    | Status::Reset
                    | Status::MalformedResponse
                    | Status::Timeout
            );
            let cut = lost && step != AttemptState::Streaming;
            // Kept until a release has waited for it: a call for a place may have been cut before.
            self.cut_since_release |= cut;
            // A read may have ended well just as its connection was cut: what it left is let go, and before
            // the request is sent again, whose state it would be.
            let left = cut && stage == Stage::Prefill;
            #[cfg(feature = "mutants")]
            let left = left && !self.faulty(Fault::ForgetsCutRead);
            if left {
                self.hold(Reservation::KvState);
                self.release_due();
            }
            if status == Status::Prefilled {
                self.hold(Reservation::KvState);
            }
            self.may_have_executed |= stage == Stage::Execute && status.may_have_run();
        }
        #[cfg(feature = "mutants")]
        if self.faulty(Fault::LosesOutcome) && status == Status::Cancelled {
            return;
        }
        out.push(Effect::NotifyOutcome { attempt, status, closed: self.is_closed() });
        #[cfg(feature = "mutants")]
        if self.faulty(Fault::TwoOutcomes) && status == Status::Timeout {
            out.push(Effect::NotifyOutcome { attempt, status, closed: self.is_closed() });
        }
    }

    fn placed(&mut self, server: Server, held: Option<bool>, out: &mut Effects) {
        self.slot_request = SlotRequest::None;
        // Where the writer does not know, a place may be held all the same, and beside a stream that has begun
        // without it.
        let left = held != Some(false);
        #[cfg(feature = "mutants")]
        let left = left && !self.faulty(Fault::ForgetsPlace);
        if left {
            self.hold(Reservation::Slot(server));
        }
        if let Some(held) = held {
            out.push(Effect::NotifySlot { server, reserved: held });
        }
    }

    /// Something may be held from now on.
    fn hold(&mut self, what: Reservation) {
        if !matches!(self.reservation, Reservation::Slot(_)) {
            self.reservation = what;
        }
        if let Release::InProgress { repeat: again } = &mut self.release {
            *again = true;
        }
    }

    fn release_due(&mut self) {
        match &mut self.release {
            Release::InProgress { repeat: again } => *again = true,
            release => *release = Release::Due,
        }
    }

    fn due(&mut self, timer: Timer, out: &mut Effects) {
        match timer {
            Timer::Deadline => {
                self.deadline_armed = false;
                if self.response == ResponseState::Pending {
                    // The router is told as if the client had gone, which it is about to.
                    self.give(FinalResponse::DeadlineExceeded, out);
                    out.push(Effect::NotifyClientDisconnected);
                }
            }
            Timer::LeaseLimit => {
                self.lease_armed = false;
                self.drop_place(out);
                self.give_up_undelivered(out);
                self.release_due();
            }
        }
    }

    /// Nobody will take a place: its call is given up, and what it may have left is let go.
    fn drop_place(&mut self, out: &mut Effects) {
        if let SlotRequest::InFlight(server) = self.slot_request {
            self.slot_request = SlotRequest::None;
            self.cut_since_release = true;
            self.hold(Reservation::Slot(server));
            out.push(Effect::CancelSlotRequest);
        }
    }

    /// What follows from where the request stands.
    fn settle(&mut self, out: &mut Effects) {
        let closed = self.is_closed();
        if closed {
            self.drop_place(out);
            let lets_go = self.reservation != Reservation::None && self.release == Release::None;
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
            self.release = Release::InProgress { repeat: false };
            out.push(Effect::Release { after_cut: std::mem::take(&mut self.cut_since_release) });
        }
        let clear = self.release == Release::None;
        #[cfg(feature = "mutants")]
        let clear = clear || self.faulty(Fault::SendsBeforeRelease);
        if clear {
            if let Some(attempt) = self.attempts.iter().position(|a| a.state == AttemptState::Queued) {
                self.attempts[attempt].state = AttemptState::InFlight;
                out.push(Effect::StartAttempt { attempt });
            }
        }
        self.timers(out);
        let left =
            self.in_flight() || self.release != Release::None || self.slot_request != SlotRequest::None;
        #[cfg(feature = "mutants")]
        let (closed, left) = (
            closed && !self.faulty(Fault::NeverOver),
            left && !(self.faulty(Fault::OverTooEarly) && self.release != Release::None),
        );
        if closed && !left {
            self.is_finished = true;
            out.push(Effect::Finished);
        }
    }

    /// Whether an attempt is out that a sign has shown to have arrived.
    fn arrived(&self) -> bool {
        #[cfg(feature = "mutants")]
        if self.faulty(Fault::CountsWrittenAsArrived) {
            return self.in_flight();
        }
        self.attempts.iter().any(|a| a.is_open() && a.delivered)
    }

    /// Arms what must be armed where the request stands, and nothing else.
    fn timers(&mut self, out: &mut Effects) {
        let deadline = self.deadline_armed && self.response == ResponseState::Pending;
        // A call for a place may have succeeded already.
        let held = self.reservation != Reservation::None || self.slot_request != SlotRequest::None;
        // What is only written stops no clock, and holds up no release.
        let runs = match self.release {
            Release::None => !self.is_closed(),
            Release::Due => self.attempts.iter().any(|a| a.state == AttemptState::InFlight && !a.delivered),
            Release::InProgress { .. } => false,
        };
        let pin = held && !self.arrived() && runs;
        #[cfg(feature = "mutants")]
        let (deadline, pin) = (
            (deadline || self.deadline_armed && self.faulty(Fault::LeavesTimer))
                && !self.faulty(Fault::NoDeadline),
            pin && !self.faulty(Fault::NoPinLimit),
        );
        for (timer, wanted) in [(Timer::Deadline, deadline), (Timer::LeaseLimit, pin)] {
            let armed = match timer {
                Timer::Deadline => &mut self.deadline_armed,
                Timer::LeaseLimit => &mut self.lease_armed,
            };
            if *armed != wanted {
                *armed = wanted;
                out.push(if wanted { Effect::ArmTimer(timer) } else { Effect::DisarmTimer(timer) });
            }
        }
    }
}
