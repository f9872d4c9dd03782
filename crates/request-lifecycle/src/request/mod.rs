//! Lifecycle of one request: its attempts, the reservations that servers may hold for it, and its final response.
//!
//! The router issues commands ([`Input::Send`], [`Input::Cancel`], [`Input::Release`], ...); the engine, the
//! front and the clock report events ([`Input::Replied`], [`Input::ClientDisconnected`], ...). The machine
//! returns the actions to carry out ([`Effect`]). It validates both kinds of input: a command that would
//! break a rule is not carried out, whatever the router or a plug-in expects. An attempt that is not sent for
//! this reason ends with [`Status::NotSent`].
//!
//! The machine enforces these rules:
//! - A client receives either one final response or one stream, never both.
//! - At most one attempt is in flight at a time, and each attempt has exactly one outcome.
//! - A request that may have run is not run again unless it is idempotent.
//! - A release that is due ends before the next attempt is sent, and no release starts while an attempt may
//!   still need the reservations.
//!
//! [`Request`] owns all state of the request; the driver owns the clock, the sockets and the order of inputs. The
//! machine finishes once no attempt, reservation or release of the request is left. The transition table is in
//! `transitions.rs`.

mod attempts;
mod messages;
mod planted_faults;
mod reservations;
mod responses;
mod timers;
mod transitions;

use serde::{Deserialize, Serialize};

pub use self::messages::{
    Attempt, AttemptState, Effect, FinalResponse, Input, Release, Reply, RequestPolicy, Reservation,
    ResponseState, RetrySafety, Server, SlotRequest, Stage, Status, StreamEnd, Timer,
};
#[cfg(feature = "mutants")]
pub use self::planted_faults::Fault;

/// Effects in the order in which they must be carried out. The caller owns the buffer and may reuse it.
type Effects = Vec<Effect>;

/// State machine of one request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Request {
    policy: RequestPolicy,
    attempts: Vec<Attempt>,
    response: ResponseState,
    reservation: Reservation,
    release: Release,
    slot_request: SlotRequest,
    /// Whether an attempt that has ended, or whose stream has begun, may have executed the request.
    may_have_executed: bool,
    /// Whether a call was interrupted since the last release started, so that its server may still be working on it.
    #[serde(rename = "cut_since_release")]
    interrupted_since_release: bool,
    deadline_armed: bool,
    lease_armed: bool,
    is_finished: bool,
    #[cfg(feature = "mutants")]
    fault: Option<planted_faults::Fault>,
}

impl Request {
    /// Creates the machine of a request that was received completely, and arms its deadline timer.
    pub fn new(policy: RequestPolicy, effects: &mut Effects) -> Self {
        effects.push(Effect::ArmTimer(Timer::Deadline));
        Request {
            policy,
            attempts: Vec::new(),
            response: ResponseState::Pending,
            reservation: Reservation::None,
            release: Release::None,
            slot_request: SlotRequest::None,
            may_have_executed: false,
            interrupted_since_release: false,
            deadline_armed: true,
            lease_armed: false,
            is_finished: false,
            #[cfg(feature = "mutants")]
            fault: None,
        }
    }

    /// Returns the retry, attempt and cancellation policy that was fixed when the request arrived.
    pub fn policy(&self) -> RequestPolicy {
        self.policy
    }

    /// Returns all attempts in the order of the router's [`Input::Send`] commands, those that were not sent included.
    pub fn attempts(&self) -> &[Attempt] {
        &self.attempts
    }

    /// Returns the progress of the client's response.
    pub fn response(&self) -> ResponseState {
        self.response
    }

    /// Returns whether the client's response has ended: it was sent, its stream broke, or the client disconnected.
    pub fn is_closed(&self) -> bool {
        !matches!(self.response, ResponseState::Pending | ResponseState::Streaming)
    }

    /// Returns whether an attempt, queued or sent, has no outcome yet.
    pub fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(Attempt::is_open)
    }

    /// Returns whether an attempt was dispatched to a server and has not ended.
    fn has_dispatched_attempt(&self) -> bool {
        self.attempts.iter().any(Attempt::is_dispatched)
    }

    /// Returns whether a dispatched attempt may still use the request's reservations or create new ones. An attempt
    /// whose stream has begun does neither.
    fn may_use_reservations(&self) -> bool {
        let may_use = |attempt: &Attempt| attempt.is_dispatched() && attempt.state != AttemptState::Streaming;
        self.attempts.iter().any(may_use)
    }

    /// Returns whether the request may have run or may still run at a server.
    ///
    /// The answer is unknown for an attempt in flight and for an interrupted attempt whose server may not have
    /// noticed the interruption, so both count as attempts that may run. This includes prefills.
    pub fn may_have_run(&self) -> bool {
        let may_still_run = self.has_unconfirmed_close()
            && !self.has_fault(planted_faults::Fault::RefusesBesideUnnoticedClose);
        self.may_have_executed || self.has_dispatched_attempt() || may_still_run
    }

    /// Returns whether servers hold, or may hold, a reservation for the request.
    pub fn has_reservation(&self) -> bool {
        self.reservation != Reservation::None || self.has_unconfirmed_close()
    }

    /// Returns whether an interrupted prefill may still complete at its server.
    pub fn has_unconfirmed_close(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.unconfirmed_close)
    }

    /// Returns whether a closed request waits only for proof that servers have stopped working on interrupted
    /// prefills: it has no open attempt, and no release is due or in progress.
    pub fn only_awaits_close_confirmations(&self) -> bool {
        let is_idle = !self.has_open_attempt() && self.release == Release::None;
        self.is_closed() && is_idle && self.has_unconfirmed_close()
    }

    /// Returns whether the machine has finished. A finished machine accepts no further input.
    pub fn is_finished(&self) -> bool {
        self.is_finished
    }

    /// Returns whether `timer` is running: it was armed and has neither expired nor been disarmed.
    pub fn is_armed(&self, timer: Timer) -> bool {
        match timer {
            Timer::Deadline => self.deadline_armed,
            Timer::LeaseLimit => self.lease_armed,
        }
    }
}
