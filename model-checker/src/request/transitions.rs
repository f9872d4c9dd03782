//! Has an action happen: one line an action, each to the part of the world that it concerns.

use glenrail_request_lifecycle::request::{FinalResponse, Input, Reply, Timer};
use glenrail_request_lifecycle::server;

use super::calls::{Call, CallState, ServerWork};
use super::{Action, Log, Setup, World};
use crate::coverage;
use crate::rules::Rule;

impl World {
    /// Has the action happen, and appends what the request's machine was fed to the log.
    pub fn apply(&mut self, setup: &Setup, action: Action, log: &mut Log) {
        if self.is_fault(action) {
            self.remaining.faults -= 1;
        }
        match action {
            Action::Send(server) => self.order_send(setup, server, log),
            Action::Cancel(attempt) => self.order_cancel(setup, attempt, log),
            Action::Release => self.order_release(setup, log),
            Action::Reject => self.feed(setup, Input::Respond(FinalResponse::Rejected), log),
            Action::Fail => self.feed(setup, Input::Respond(FinalResponse::Failed), log),
            Action::ReserveSlot(server) => self.order_slot(setup, server, log),
            Action::Connect(attempt) => self.call_mut(attempt).state = CallState::Open,
            Action::Reuse(attempt) => self.reuse_connection(setup, attempt, log),
            Action::Connected(attempt) => self.connected(setup, attempt, log),
            Action::WriteBytes(attempt) => self.write_bytes(attempt),
            Action::WriteLastByte(attempt) => self.write_last_byte(attempt),
            Action::WriteToDeadConnection(attempt) => self.write_to_dead_connection(attempt),
            Action::ArriveLate(attempt) => self.call_mut(attempt).work = ServerWork::Received,
            Action::ConfirmDelivery(attempt) => {
                self.feed(setup, Input::Delivered { attempt: attempt.into() }, log);
            }
            Action::Serve(attempt) => self.serve(attempt),
            Action::ServerRejects(attempt) => self.prepare_reply(attempt, Reply::Rejected),
            Action::ServerFindsUnprocessable(attempt) => self.prepare_reply(attempt, Reply::Unprocessable),
            Action::ServerFails(attempt) => self.server_fails(attempt),
            Action::ReceiveReply(attempt) => self.receive_reply(setup, attempt, log),
            Action::ServeAbandoned(attempt) => self.serve_abandoned(attempt),
            Action::NoticeClose(attempt) => self.call_mut(attempt).work = ServerWork::Done,
            Action::ConfirmClose(attempt) => {
                self.feed(setup, Input::CloseConfirmed { attempt: attempt.into() }, log);
            }
            Action::ConnectFails(attempt) => {
                self.lose_connection(setup, attempt, server::Input::ConnectFailed, log);
            }
            Action::ConnectionBreaks(attempt) => {
                self.lose_connection(setup, attempt, server::Input::Broken, log);
            }
            Action::ConnectionBreaksAsked(attempt) => self.reset_and_ask(attempt),
            Action::AnswerAfterReset(attempt) => self.answer_after_reset(setup, attempt, log),
            Action::AttemptTimesOut(attempt) => self.attempt_times_out(setup, attempt, log),
            Action::CancelCompletes(attempt) => self.cancel_completes(setup, attempt, log),
            Action::StreamEnds(attempt, end) => self.stream_ends(setup, attempt, end, log),
            Action::ReleaseSent => self.send_release(setup, log),
            Action::ReleaseCompletes => self.release_completes(setup, log),
            Action::SlotReserved => self.slot_reserved(),
            Action::SlotCallNoticesClose => self.slot_call_notices_close(),
            Action::SlotAnswered(reserved) => self.slot_answered(setup, reserved, log),
            Action::ClientDisconnects => self.client_disconnects(setup, log),
            Action::DrainAnnounced(server) => self.drain_announced(server),
            Action::ServerRestarts(server) => self.server_restarts(server),
            Action::TimerExpires(timer) => self.timer_expires(setup, timer, log),
        }
        self.check_invariants();
    }

    /// Feeds the request's machine and carries out what it asks for.
    pub(super) fn feed(&mut self, setup: &Setup, input: Input, log: &mut Log) {
        if self.is_finished {
            // What was on its way when the request finished finds nobody.
            return;
        }
        let mut effects = Vec::new();
        coverage::mark_request(&self.machine, &input);
        if self.machine.step(input, &mut effects).is_err() {
            log.push((input, Vec::new()));
            return self.violate(Rule::NothingImpossible);
        }
        log.push((input, effects.clone()));
        self.carry_out(setup, effects);
    }

    fn order_send(&mut self, setup: &Setup, server: u8, log: &mut Log) {
        self.remaining.sends -= 1;
        let stage = setup.stage(server);
        self.calls.push(Call::new(server, stage));
        self.outcomes.push(0);
        let permitted = !self.server(server).drain_announced;
        self.feed(setup, Input::Send { server: server.into(), stage, permitted }, log);
    }

    fn order_cancel(&mut self, setup: &Setup, attempt: u8, log: &mut Log) {
        self.remaining.cancels -= 1;
        self.feed(setup, Input::Cancel { attempt: attempt.into() }, log);
    }

    fn order_release(&mut self, setup: &Setup, log: &mut Log) {
        self.remaining.releases -= 1;
        self.feed(setup, Input::Release, log);
    }

    fn order_slot(&mut self, setup: &Setup, server: u8, log: &mut Log) {
        self.remaining.slot_requests -= 1;
        self.feed(setup, Input::ReserveSlot { server: server.into() }, log);
    }

    fn client_disconnects(&mut self, setup: &Setup, log: &mut Log) {
        self.client_disconnected = true;
        self.feed(setup, Input::ClientDisconnected, log);
    }

    fn timer_expires(&mut self, setup: &Setup, timer: Timer, log: &mut Log) {
        self.armed[timer as usize] = false;
        self.feed(setup, Input::TimerExpired(timer), log);
        let unclaimed = !self.is_finished && self.has_unclaimed_reservation();
        if timer == Timer::LeaseLimit && unclaimed && !self.is_releasing() {
            // The limit has passed: arming it once more is not among the ways out.
            self.violate(Rule::HeldIsLetGo);
        }
    }
}
