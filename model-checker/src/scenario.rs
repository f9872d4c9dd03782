//! What the checker and the traces have in common over all worlds: a start, and what can happen from there.

use std::fmt::Debug;
use std::hash::Hash;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use stateright::{Model, Property};

use crate::request::Log;
use crate::rules::Rule;
use crate::{budget, client, framing, request, request_ids, response_timing, server};

/// A world with bounds, small enough to explore.
pub trait Scenario: Clone + Send + Sync + 'static {
    /// A state of the world.
    type World: Clone + Eq + Hash + Debug + Send + Sync;
    /// One thing that can happen.
    type Action: Copy + PartialEq + Debug + Serialize + DeserializeOwned + Send + Sync;

    /// The rule that is broken where nothing more can happen in a world that has not terminated.
    const TERMINATION_RULE: Rule = Rule::EveryRequestEnds;

    /// The state in which everything begins.
    fn start(&self) -> Self::World;
    /// Appends everything that can happen next. The order is part of the figures of the checks.
    fn enabled_actions(&self, world: &Self::World, actions: &mut Vec<Self::Action>);
    /// Has the action happen, and appends what the machine of a request was fed to the log.
    fn apply(&self, world: &mut Self::World, action: Self::Action, log: &mut Log);
    /// Whether the action happens sooner or later by itself.
    fn is_inevitable(world: &Self::World, action: Self::Action) -> bool;
    /// The rule that is broken in this state, if any.
    fn violated(world: &Self::World) -> Option<Rule>;
    /// Whether the world has terminated as it must.
    fn has_terminated(world: &Self::World) -> bool;
    /// The scenario as a trace names it.
    fn to_any(&self) -> AnyScenario;
}

/// A scenario as a trace names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "world", rename_all = "lowercase")]
pub enum AnyScenario {
    /// A request with its attempts.
    Request(request::Setup),
    /// A client's connection.
    Client(client::Setup),
    /// A connection to a server.
    Server(server::Setup),
    /// A leased budget of the fleet.
    Budget(budget::Setup),
    /// The request ids of the processes of an upgrade.
    RequestIds(request_ids::Setup),
    /// The time limits of a response.
    ResponseTiming(response_timing::Setup),
    /// The framing of a chunked body.
    Framing(framing::Setup),
}

/// A scenario in the form that the checker explores.
#[derive(Clone)]
pub struct CheckedModel<S>(pub S);

/// Name of the property that no rule is broken in any state.
pub const SAFETY: &str = "every rule holds";
/// Name of the property that every path terminates.
pub const TERMINATION: &str = "every path comes to rest";

impl<S: Scenario> Model for CheckedModel<S> {
    type State = S::World;
    type Action = S::Action;

    fn init_states(&self) -> Vec<S::World> {
        vec![self.0.start()]
    }

    fn actions(&self, world: &S::World, actions: &mut Vec<S::Action>) {
        self.0.enabled_actions(world, actions);
    }

    fn next_state(&self, world: &S::World, action: S::Action) -> Option<S::World> {
        let mut next = world.clone();
        self.0.apply(&mut next, action, &mut Vec::new());
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(SAFETY, |_, world| S::violated(world).is_none()),
            // Each path is finite, since every action uses something up. So where nothing inevitable is left, whatever
            // had to come to its end must have done so.
            Property::always(TERMINATION, |model: &Self, world| model.terminates_or_goes_on(world)),
        ]
    }
}

impl<S: Scenario> CheckedModel<S> {
    fn terminates_or_goes_on(&self, world: &S::World) -> bool {
        let mut actions = Vec::new();
        self.0.enabled_actions(world, &mut actions);
        actions.iter().any(|action| S::is_inevitable(world, *action))
            || S::violated(world).is_some()
            || S::has_terminated(world)
    }
}
