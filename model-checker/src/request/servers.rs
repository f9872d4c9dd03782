//! The servers: what they hold for the request, and what they do with an attempt that has arrived.

use glenrail_request_lifecycle::request::{Reply, Stage};
use glenrail_request_lifecycle::server;

use super::calls::{CallState, ServerWork};
use super::reservations::SlotCall;
use super::World;

/// One server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Server {
    /// The gateway was notified that it drains or is terminated.
    pub(super) drain_announced: bool,
    /// It has died and returned without any of its state.
    pub(super) restarted: bool,
    /// It holds the KV state of the prompt.
    pub(super) holds_kv_state: bool,
    /// It holds a slot.
    pub(super) holds_slot: bool,
}

impl World {
    pub(super) fn server(&self, index: u8) -> &Server {
        &self.servers[usize::from(index)]
    }

    fn count_execution(&mut self, attempt: u8) {
        if self.call(attempt).stage == Stage::Execute {
            self.executions += 1;
        }
    }

    pub(super) fn prepare_reply(&mut self, attempt: u8, reply: Reply) {
        self.call_mut(attempt).work = ServerWork::Replying(reply);
    }

    /// A server does what it was asked for.
    pub(super) fn serve(&mut self, attempt: u8) {
        let reply = match self.call(attempt).stage {
            Stage::Prefill => self.prefill(attempt),
            Stage::Execute => self.execute(attempt),
        };
        self.prepare_reply(attempt, reply);
    }

    fn prefill(&mut self, attempt: u8) -> Reply {
        let server = usize::from(self.call(attempt).server);
        self.servers[server].holds_kv_state = true;
        Reply::Prefilled
    }

    /// A decode server fetches the KV state, and its stream uses the slot that it holds. Without KV state it rejects.
    fn execute(&mut self, attempt: u8) -> Reply {
        if !self.servers.iter().any(|server| server.holds_kv_state) {
            return Reply::Rejected;
        }
        self.count_execution(attempt);
        for server in &mut self.servers {
            server.holds_kv_state = false;
        }
        let server = usize::from(self.call(attempt).server);
        self.servers[server].holds_slot = false;
        self.call_mut(attempt).answer_begun = true;
        Reply::FirstEvent
    }

    /// A server fails. It may have executed the request before, and a prefill has left its KV state.
    pub(super) fn server_fails(&mut self, attempt: u8) {
        self.count_execution(attempt);
        if self.call(attempt).stage == Stage::Prefill {
            self.prefill(attempt);
        }
        self.prepare_reply(attempt, Reply::Error);
    }

    /// A server works on an attempt whose connection is closed, which it has not noticed.
    pub(super) fn serve_abandoned(&mut self, attempt: u8) {
        self.serve(attempt);
        self.call_mut(attempt).work = ServerWork::Done;
    }

    /// The gateway is notified that a server drains: open connections to it learn so.
    pub(super) fn drain_announced(&mut self, server: u8) {
        self.servers[usize::from(server)].drain_announced = true;
        for attempt in 0..self.calls.len() as u8 {
            let call = self.call(attempt);
            if call.server == server && call.state == CallState::Open {
                self.step_connection(attempt, server::Input::Drained);
            }
        }
    }

    /// A server dies, loses all its state, and returns.
    pub(super) fn server_restarts(&mut self, server: u8) {
        let drain_announced = self.server(server).drain_announced;
        self.servers[usize::from(server)] = Server { restarted: true, drain_announced, ..Server::default() };
        for call in self.calls.iter_mut().filter(|call| call.server == server) {
            if matches!(call.work, ServerWork::Received | ServerWork::Replying(_) | ServerWork::Abandoned) {
                call.work = ServerWork::Done;
            }
        }
        if self.slot_call == (SlotCall::Abandoned { server }) {
            self.slot_call = SlotCall::None;
        }
    }
}
