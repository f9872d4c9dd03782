//! One request from its arrival until nothing of it is left: its attempts, what servers may hold for it, and its one
//! final answer.
//!
//! The router orders ([`Input::Send`], [`Input::Cancel`], [`Input::Release`], ...), the outside reports
//! ([`Input::Replied`], [`Input::ClientDisconnected`], ...), and the machine answers with what must be done
//! ([`Effect`]). It trusts neither: an order that would break a rule ends with [`Status::NotSent`] and is never carried
//! out, whatever the router or a plug-in believes.
//!
//! The rules that it guards:
//! - A client gets one final answer or one stream, never both.
//! - At most one attempt is in flight at a time, and each attempt has exactly one outcome.
//! - A request that may have run must not be run again unless it is idempotent.
//! - What servers hold for a request is released, never while an attempt is at a server, and before the next is sent.
//!
//! [`Request`] owns all state of the request; the driver owns the clock, the sockets and the order of inputs. The
//! transition table is in `transitions.rs`.

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

/// Effects in the order in which they must be carried out. The caller provides the buffer and may reuse it.
type Effects = Vec<Effect>;

/// The state machine of one request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Request {
    policy: RequestPolicy,
    attempts: Vec<Attempt>,
    response: ResponseState,
    reservation: Reservation,
    release: Release,
    slot_request: SlotRequest,
    /// An attempt that has ended may have had the request's effect.
    may_have_executed: bool,
    /// A call was cut off since the last release, and its server may not have noticed yet.
    cut_since_release: bool,
    deadline_armed: bool,
    lease_armed: bool,
    is_finished: bool,
    #[cfg(feature = "mutants")]
    fault: Option<planted_faults::Fault>,
}

impl Request {
    /// A request that has been received completely. Its deadline is armed at once.
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
            cut_since_release: false,
            deadline_armed: true,
            lease_armed: false,
            is_finished: false,
            #[cfg(feature = "mutants")]
            fault: None,
        }
    }

    /// What the request is allowed.
    pub fn policy(&self) -> RequestPolicy {
        self.policy
    }

    /// All attempts, in the order in which the router ordered them.
    pub fn attempts(&self) -> &[Attempt] {
        &self.attempts
    }

    /// How far the client's answer has come.
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
        self.attempts.iter().any(Attempt::may_be_at_server)
    }

    /// Whether an attempt is at a server, or may be, that may need what servers hold for the request or leave something behind.
    /// One whose answer has begun does neither.
    fn may_use_reservations(&self) -> bool {
        let may_use =
            |attempt: &Attempt| attempt.may_be_at_server() && attempt.state != AttemptState::Streaming;
        self.attempts.iter().any(may_use)
    }

    /// Whether an attempt may have had the request's effect, or may still run.
    ///
    /// Nobody knows this of an attempt in flight or of one whose server may not have noticed that it was cut off, of a
    /// prefill neither, so they count as attempts that may have.
    pub fn may_have_run(&self) -> bool {
        let may_still_run =
            self.has_unnoticed_close() && !self.has_fault(planted_faults::Fault::RefusesBesideUnnoticedClose);
        self.may_have_executed || self.at_server() || may_still_run
    }

    /// Whether servers hold something for the request, or may.
    pub fn has_reservation(&self) -> bool {
        self.reservation != Reservation::None || self.has_unnoticed_close()
    }

    /// Whether a prefill that was cut off may still complete at its server.
    pub fn has_unnoticed_close(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.unnoticed_close)
    }

    /// Whether nothing is in flight for a request that its client has the answer of; only servers that may still work on what
    /// was cut off have not been heard of.
    pub fn only_awaits_close_notices(&self) -> bool {
        let is_at_rest = !self.in_flight() && self.release == Release::None;
        self.is_closed() && is_at_rest && self.has_unnoticed_close()
    }

    /// Whether nothing of the request is left; it takes no further input.
    pub fn is_finished(&self) -> bool {
        self.is_finished
    }

    /// Whether this timer is armed.
    pub fn is_armed(&self, timer: Timer) -> bool {
        match timer {
            Timer::Deadline => self.deadline_armed,
            Timer::LeaseLimit => self.lease_armed,
        }
    }
}
