//! The worlds as one, for the checker and for traces.

use std::hash::Hash;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use stateright::{Model, Property};

use crate::request::Log;
use crate::rules::Rule;
use crate::{budget, client, request, server};

/// What may be explored: a start, and what may happen from there.
pub trait Setting: Clone + Send + Sync + 'static {
    type World: Clone + Eq + Hash + std::fmt::Debug + Send + Sync;
    type Act: Copy + PartialEq + std::fmt::Debug + Serialize + DeserializeOwned + Send + Sync;

    /// The rule that is broken where a world is at rest and not well.
    const REST: Rule = Rule::EveryRequestEnds;

    fn begin(&self) -> Self::World;
    fn acts(&self, world: &Self::World, out: &mut Vec<Self::Act>);
    fn apply(&self, world: &mut Self::World, act: Self::Act, log: &mut Log);
    /// Whether it comes by itself sooner or later.
    fn comes(world: &Self::World, act: Self::Act) -> bool;
    fn violated(world: &Self::World) -> Option<Rule>;
    fn rests_well(world: &Self::World) -> bool;
    fn named(&self) -> Named;
}

/// A setting as a trace names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "world", rename_all = "lowercase")]
pub enum Named {
    Request(request::Setup),
    Client(client::Setup),
    Server(server::Setup),
    Budget(budget::Setup),
}

impl Setting for request::Setup {
    type World = request::World;
    type Act = request::Act;
    fn begin(&self) -> request::World {
        self.start()
    }
    fn acts(&self, world: &request::World, out: &mut Vec<request::Act>) {
        world.acts(self, out);
    }
    fn apply(&self, world: &mut request::World, act: request::Act, log: &mut Log) {
        world.apply(self, act, log);
    }
    fn comes(world: &request::World, act: request::Act) -> bool {
        world.comes(act)
    }
    fn violated(world: &request::World) -> Option<Rule> {
        world.violated
    }
    fn rests_well(world: &request::World) -> bool {
        world.rests_well()
    }
    fn named(&self) -> Named {
        Named::Request(*self)
    }
}

macro_rules! setting {
    ($world:ident, $name:ident) => {
        impl Setting for $world::Setup {
            type World = $world::World;
            type Act = $world::Act;
            fn begin(&self) -> $world::World {
                self.start()
            }
            fn acts(&self, world: &$world::World, out: &mut Vec<$world::Act>) {
                world.acts(out);
            }
            fn apply(&self, world: &mut $world::World, act: $world::Act, _: &mut Log) {
                world.apply(act);
            }
            fn comes(world: &$world::World, act: $world::Act) -> bool {
                world.comes(act)
            }
            fn violated(world: &$world::World) -> Option<Rule> {
                world.violated
            }
            fn rests_well(world: &$world::World) -> bool {
                world.rests_well()
            }
            fn named(&self) -> Named {
                Named::$name(*self)
            }
        }
    };
}
setting!(client, Client);
setting!(server, Server);

impl Setting for budget::Setup {
    type World = budget::World;
    type Act = budget::Act;
    const REST: Rule = Rule::PartsComeBack;

    fn begin(&self) -> budget::World {
        self.start()
    }
    fn acts(&self, world: &budget::World, out: &mut Vec<budget::Act>) {
        world.acts(self, out);
    }
    fn apply(&self, world: &mut budget::World, act: budget::Act, _: &mut Log) {
        world.apply(act);
    }
    fn comes(world: &budget::World, act: budget::Act) -> bool {
        world.comes(act)
    }
    fn violated(world: &budget::World) -> Option<Rule> {
        world.violated
    }
    fn rests_well(world: &budget::World) -> bool {
        world.rests_well()
    }
    fn named(&self) -> Named {
        Named::Budget(*self)
    }
}

/// A setting as the checker takes it.
#[derive(Clone)]
pub struct Explored<S>(pub S);

pub const HOLDS: &str = "every rule holds";
pub const ENDS: &str = "every path comes to rest";

impl<S: Setting> Model for Explored<S> {
    type State = S::World;
    type Action = S::Act;

    fn init_states(&self) -> Vec<S::World> {
        vec![self.0.begin()]
    }
    fn actions(&self, world: &S::World, out: &mut Vec<S::Act>) {
        self.0.acts(world, out);
    }
    fn next_state(&self, world: &S::World, act: S::Act) -> Option<S::World> {
        let mut next = world.clone();
        self.0.apply(&mut next, act, &mut Vec::new());
        Some(next)
    }
    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(HOLDS, |_, world| S::violated(world).is_none()),
            // Each path is finite, since every act uses something up: where nothing more comes by itself, whatever
            // was to come to its end must have.
            Property::always(ENDS, |model: &Self, world| {
                let mut acts = Vec::new();
                model.0.acts(world, &mut acts);
                acts.iter().any(|act| S::comes(world, *act))
                    || S::violated(world).is_some()
                    || S::rests_well(world)
            }),
        ]
    }
}
