//! What a world of a request consists of, and how much may happen in it.

use glenrail_request_lifecycle::request::{Fault, Request, RequestPolicy, RetrySafety, Stage};
use glenrail_request_lifecycle::server;
use serde::{Deserialize, Serialize};

use super::{Action, Log, Remaining, Server, SlotCall, World};
use crate::rules::Rule;
use crate::scenario::{AnyScenario, Scenario};

/// The parts and bounds of a world. Servers are numbered, prefill servers first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Setup {
    /// Number of prefill servers.
    #[serde(rename = "readers")]
    pub prefill_servers: u8,
    /// Number of decode servers.
    #[serde(rename = "writers")]
    pub decode_servers: u8,
    /// Whether the request is idempotent.
    #[serde(rename = "repeat")]
    pub retry_safety: RetrySafety,
    /// Whether the deployment allows cancelling attempts.
    #[serde(rename = "cancel")]
    pub cancellation: bool,
    /// Most faults on one path.
    #[serde(rename = "troubles")]
    pub faults: u8,
    /// Most attempts; one more send is ordered, which the machine must not carry out.
    pub sends: u8,
    /// Most orders to cancel an attempt.
    pub cancels: u8,
    /// Most orders to release what servers hold.
    pub releases: u8,
    /// Most orders to reserve a slot.
    #[serde(rename = "holds")]
    pub slot_requests: u8,
    /// A fault planted in the machine of the request.
    #[serde(rename = "fault")]
    pub request_fault: Option<Fault>,
    /// A fault planted in the machines of the connections.
    #[serde(rename = "server_fault")]
    pub connection_fault: Option<server::Fault>,
}

impl Setup {
    /// What an attempt at this server asks for.
    pub(super) fn stage(&self, server: u8) -> Stage {
        if server < self.prefill_servers {
            Stage::Prefill
        } else {
            Stage::Execute
        }
    }

    /// Number of servers.
    pub fn servers(&self) -> u8 {
        self.prefill_servers + self.decode_servers
    }

    /// The policy of the request.
    pub fn policy(&self) -> RequestPolicy {
        RequestPolicy {
            retry_safety: self.retry_safety,
            max_attempts: usize::from(self.sends),
            cancellation: self.cancellation,
        }
    }

    /// The world in which the request has just arrived.
    fn start_world(&self) -> World {
        let mut effects = Vec::new();
        let mut machine = Request::new(self.policy(), &mut effects);
        machine.plant(self.request_fault);
        let mut world = World {
            machine,
            calls: Vec::new(),
            servers: vec![Server::default(); usize::from(self.servers())],
            release: None,
            slot_call: SlotCall::None,
            remaining: Remaining {
                faults: self.faults,
                sends: self.sends + 1,
                cancels: self.cancels,
                releases: self.releases,
                slot_requests: self.slot_requests,
            },
            client_disconnected: false,
            final_responses: 0,
            was_rejected: false,
            streams: 0,
            executions: 0,
            outcomes: Vec::new(),
            armed: [false; 2],
            is_finished: false,
            violated: None,
        };
        world.carry_out(self, effects);
        world
    }
}

impl Scenario for Setup {
    type World = World;
    type Action = Action;

    fn start(&self) -> World {
        self.start_world()
    }

    fn enabled_actions(&self, world: &World, actions: &mut Vec<Action>) {
        world.enabled_actions(self, actions);
    }

    fn apply(&self, world: &mut World, action: Action, log: &mut Log) {
        world.apply(self, action, log);
    }

    fn is_inevitable(world: &World, action: Action) -> bool {
        world.is_inevitable(action)
    }

    fn violated(world: &World) -> Option<Rule> {
        world.violated
    }

    fn has_terminated(world: &World) -> bool {
        world.is_finished
    }

    fn to_any(&self) -> AnyScenario {
        AnyScenario::Request(*self)
    }
}
