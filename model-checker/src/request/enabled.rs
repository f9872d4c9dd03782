//! Which actions can happen in a state of the world.
//!
//! Their order decides which of several shortest counterexamples is found, so it is part of the figures of the checks.

use glenrail_request_lifecycle::request::{AttemptState, Stage, StreamEnd, Timer};
use glenrail_request_lifecycle::server;

use super::calls::{Call, CallState, ServerWork};
use super::reservations::{ReleaseCall, SlotCall};
use super::{Action, Setup, World};

/// Ends of a stream that are faults.
const FAULTY_STREAM_ENDS: [StreamEnd; 4] =
    [StreamEnd::HandedOver, StreamEnd::Reset, StreamEnd::MalformedResponse, StreamEnd::IdleTimeout];

impl World {
    /// Appends everything that can happen next.
    pub fn enabled_actions(&self, setup: &Setup, actions: &mut Vec<Action>) {
        if self.violated.is_some() {
            return;
        }
        if !self.is_finished {
            self.enabled_orders(setup, actions);
            self.enabled_timers(actions);
        }
        for (attempt, call) in self.calls.iter().enumerate() {
            self.enabled_for_attempt(attempt as u8, call, actions);
        }
        self.enabled_for_release(actions);
        self.enabled_for_slot_call(actions);
        if self.may_fault() && !self.is_finished {
            self.enabled_outside_faults(setup, actions);
        }
    }

    fn may_fault(&self) -> bool {
        self.remaining.faults > 0
    }

    fn enabled_orders(&self, setup: &Setup, actions: &mut Vec<Action>) {
        for server in 0..setup.servers() {
            if self.remaining.sends > 0 {
                actions.push(Action::Send(server));
            }
            if self.remaining.slot_requests > 0 && setup.stage(server) == Stage::Execute {
                actions.push(Action::ReserveSlot(server));
            }
        }
        if self.remaining.cancels > 0 {
            actions.extend((0..self.calls.len() as u8).map(Action::Cancel));
        }
        if self.remaining.releases > 0 {
            actions.push(Action::Release);
        }
        if self.final_responses == 0 || setup.request_fault.is_some() {
            actions.push(Action::Reject);
            actions.push(Action::Fail);
        }
    }

    fn enabled_timers(&self, actions: &mut Vec<Action>) {
        for timer in [Timer::Deadline, Timer::LeaseLimit] {
            if self.armed[timer as usize] {
                actions.push(Action::TimerExpires(timer));
            }
        }
    }

    fn enabled_for_attempt(&self, attempt: u8, call: &Call, actions: &mut Vec<Action>) {
        self.enabled_for_server_work(attempt, call, actions);
        self.enabled_for_connection(attempt, call, actions);
        let state = self.machine.attempts()[usize::from(attempt)].state;
        let breaks = self.may_fault() || self.server(call.server).restarted;
        if call.state == CallState::Open && state != AttemptState::Streaming && breaks {
            actions.push(Action::ConnectionBreaks(attempt));
            if call.stage == Stage::Prefill && call.work != ServerWork::NotReceived {
                actions.push(Action::ConnectionBreaksAsked(attempt));
            }
        }
        // A server that stands still does not answer.
        if call.state == CallState::Asking && call.work == ServerWork::Done {
            actions.push(Action::AnswerAfterReset(attempt));
        }
        let delivered = self.machine.attempts()[usize::from(attempt)].delivered;
        if state == AttemptState::InFlight && call.has_arrived() && !delivered {
            actions.push(Action::ConfirmDelivery(attempt));
        }
        if call.on_dead_connection && call.state == CallState::Open && call.work == ServerWork::NotReceived {
            actions.push(Action::ArriveLate(attempt));
        }
        if call.is_open() {
            self.enabled_ends(attempt, call, state, actions);
        }
        self.enabled_for_close(attempt, call, actions);
    }

    /// The server's end of a connection that was cut off proves that it has noticed, and comes only after that; so does the
    /// end of the longest time in which it may still work.
    fn enabled_for_close(&self, attempt: u8, call: &Call, actions: &mut Vec<Action>) {
        let is_unnoticed = self.machine.attempts()[usize::from(attempt)].unconfirmed_close;
        if !self.is_finished && is_unnoticed && call.work != ServerWork::Abandoned {
            actions.push(Action::ConfirmClose(attempt));
        }
    }

    fn enabled_for_server_work(&self, attempt: u8, call: &Call, actions: &mut Vec<Action>) {
        match call.work {
            ServerWork::Received if call.state == CallState::Open => {
                actions.push(Action::Serve(attempt));
                if self.may_fault() {
                    actions.push(Action::ServerRejects(attempt));
                    actions.push(Action::ServerFindsUnprocessable(attempt));
                    actions.push(Action::ServerFails(attempt));
                }
            }
            ServerWork::Replying(_) if call.state == CallState::Open => {
                actions.push(Action::ReceiveReply(attempt));
            }
            ServerWork::Abandoned => {
                actions.push(Action::ServeAbandoned(attempt));
                actions.push(Action::NoticeClose(attempt));
            }
            _ => {}
        }
    }

    fn enabled_for_connection(&self, attempt: u8, call: &Call, actions: &mut Vec<Action>) {
        match (call.state, call.connection.stage()) {
            (CallState::Starting, _) => {
                actions.push(Action::Connect(attempt));
                actions.push(Action::Reuse(attempt));
            }
            (CallState::Open, server::Stage::Connecting) => {
                actions.push(Action::Connected(attempt));
                if self.may_fault() {
                    actions.push(Action::ConnectFails(attempt));
                }
            }
            (CallState::Open, server::Stage::Writing) => {
                if !call.connection.has_written() {
                    actions.push(Action::WriteBytes(attempt));
                }
                actions.push(Action::WriteLastByte(attempt));
                if self.may_fault() {
                    actions.push(Action::WriteToDeadConnection(attempt));
                }
            }
            _ => {}
        }
    }

    fn enabled_ends(&self, attempt: u8, call: &Call, state: AttemptState, actions: &mut Vec<Action>) {
        match state {
            // On a dead connection nothing else ends it where the deployment forbids cancelling.
            // While its server is asked, its time limit ends the question.
            AttemptState::InFlight
                if call.state != CallState::Asking && (self.may_fault() || call.on_dead_connection) =>
            {
                actions.push(Action::AttemptTimesOut(attempt));
            }
            AttemptState::Cancelling => actions.push(Action::CancelCompletes(attempt)),
            AttemptState::Streaming => {
                actions.push(Action::StreamEnds(attempt, StreamEnd::Complete));
                if self.client_disconnected {
                    actions.push(Action::StreamEnds(attempt, StreamEnd::ClientStalled));
                }
                if self.may_fault() {
                    actions.extend(FAULTY_STREAM_ENDS.map(|end| Action::StreamEnds(attempt, end)));
                }
            }
            _ => {}
        }
    }

    fn enabled_for_release(&self, actions: &mut Vec<Action>) {
        let slot_call_is_unnoticed = matches!(self.slot_call, SlotCall::Abandoned { .. });
        match self.release {
            None => {}
            Some(ReleaseCall::Waiting) => actions.push(Action::ReleaseSent),
            // Nothing proves that a server has noticed that the call for a slot was cut off: it is taken to within the wait.
            Some(ReleaseCall::Sent { after_cut: true }) if slot_call_is_unnoticed => {}
            Some(ReleaseCall::Sent { .. }) => actions.push(Action::ReleaseCompletes),
        }
    }

    fn enabled_for_slot_call(&self, actions: &mut Vec<Action>) {
        match self.slot_call {
            SlotCall::None => {}
            SlotCall::InFlight { server, reserved } => {
                if reserved {
                    actions.push(Action::SlotAnswered(Some(true)));
                } else {
                    if self.may_reserve_slot(server) {
                        actions.push(Action::SlotReserved);
                    }
                    actions.push(Action::SlotAnswered(Some(false)));
                }
                if self.may_fault() {
                    actions.push(Action::SlotAnswered(None));
                }
            }
            SlotCall::Abandoned { server } => {
                if !self.server(server).holds_slot && self.may_reserve_slot(server) {
                    actions.push(Action::SlotReserved);
                }
                actions.push(Action::SlotCallNoticesClose);
            }
        }
    }

    fn enabled_outside_faults(&self, setup: &Setup, actions: &mut Vec<Action>) {
        if !self.client_disconnected {
            actions.push(Action::ClientDisconnects);
        }
        for index in 0..setup.servers() {
            let server = self.server(index);
            if !server.drain_announced {
                actions.push(Action::DrainAnnounced(index));
            }
            if !server.restarted {
                actions.push(Action::ServerRestarts(index));
            }
        }
    }
}
