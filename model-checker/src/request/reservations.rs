//! Slots and releases: the calls that reserve a slot at a server or release what servers hold.

use glenrail_request_lifecycle::request::Input;

use super::{Log, Setup, World};

/// The call that reserves a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum SlotCall {
    /// There is none.
    None,
    /// It is in flight.
    InFlight {
        /// The server.
        server: u8,
        /// Whether the server has reserved the slot; its answer is not received yet.
        reserved: bool,
    },
    /// The gateway has closed it, and the server has not noticed yet.
    Abandoned {
        /// The server.
        server: u8,
    },
}

/// The release that has started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum ReleaseCall {
    /// It is not sent yet: servers may notice before that what was cut off.
    Waiting,
    /// It is on its way to the servers.
    Sent {
        /// Whether a call was cut off before it.
        after_cut: bool,
    },
}

impl World {
    /// A decode server that runs the request reserves no further slot for it. The protocol leaves open only whether it
    /// does so while a prefill is in flight.
    pub(super) fn may_reserve_slot(&self, server: u8) -> bool {
        !self.calls.iter().any(|call| call.server == server && call.answer_begun)
    }

    pub(super) fn send_release(&mut self, setup: &Setup, log: &mut Log) {
        self.release = Some(ReleaseCall::Sent { after_cut: true });
        self.feed(setup, Input::ReleaseSent, log);
    }

    pub(super) fn release_completes(&mut self, setup: &Setup, log: &mut Log) {
        self.release = None;
        for server in &mut self.servers {
            server.holds_kv_state = false;
            server.holds_slot = false;
        }
        self.feed(setup, Input::Released, log);
    }

    /// A server reserves the slot, whether or not the gateway still waits for its answer.
    pub(super) fn slot_reserved(&mut self) {
        let server = match &mut self.slot_call {
            SlotCall::InFlight { server, reserved } => {
                *reserved = true;
                *server
            }
            SlotCall::Abandoned { server } => *server,
            SlotCall::None => return,
        };
        self.servers[usize::from(server)].holds_slot = true;
    }

    pub(super) fn slot_call_notices_close(&mut self) {
        self.slot_call = SlotCall::None;
    }

    pub(super) fn slot_answered(&mut self, setup: &Setup, reserved: Option<bool>, log: &mut Log) {
        self.slot_call = SlotCall::None;
        self.feed(setup, Input::SlotAnswered { reserved }, log);
    }
}
