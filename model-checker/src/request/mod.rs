//! The world around one request: its real machine, the real machine of each connection to a server, a router that may
//! order anything at any time, and an adversary that chooses what happens next.
//!
//! There is no clock: whatever can happen may happen now. An armed timer may expire at any moment, so a property that
//! holds here holds for every length of the waits. Faults are counted, so that all sets of so many are explored in all
//! orders; what is no fault is free, so that every path terminates.
//!
//! [`World`] owns all state. `action.rs` lists what can happen, `enabled.rs` says when, `transitions.rs` has it happen;
//! `calls.rs`, `servers.rs` and `reservations.rs` are the parts of the world, `effects.rs` carries out what the machine
//! asks for, and `invariants.rs` checks the rules.

mod action;
mod calls;
mod effects;
mod enabled;
mod invariants;
mod reservations;
mod servers;
mod setup;
mod transitions;

use glenrail_request_lifecycle::request::{Effect, Input, Request};

pub use self::action::Action;
use self::calls::Call;
use self::reservations::{ReleaseCall, SlotCall};
use self::servers::Server;
pub use self::setup::Setup;
use crate::rules::Rule;

/// What the machine was fed and what it answered, for a replay against it alone.
pub type Log = Vec<(Input, Vec<Effect>)>;

/// What may still happen on this path, in numbers of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Remaining {
    faults: u8,
    sends: u8,
    cancels: u8,
    releases: u8,
    slot_requests: u8,
}

/// A state of the world.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    machine: Request,
    /// One call for each attempt.
    calls: Vec<Call>,
    servers: Vec<Server>,
    release: Option<ReleaseCall>,
    slot_call: SlotCall,
    remaining: Remaining,
    client_disconnected: bool,
    // What the effects have shown so far.
    /// Final responses that the client received.
    final_responses: u8,
    /// Whether one of them was a rejection.
    was_rejected: bool,
    /// Streams that the client received.
    streams: u8,
    /// How often servers executed the request.
    executions: u8,
    /// Outcomes that the router received for each attempt.
    outcomes: Vec<u8>,
    /// Which timers are armed, by their index.
    armed: [bool; 2],
    is_finished: bool,
    /// The first rule that was broken.
    pub violated: Option<Rule>,
}

impl World {
    fn violate(&mut self, rule: Rule) {
        self.violated.get_or_insert(rule);
    }
}
