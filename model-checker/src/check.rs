//! Explores one world exhaustively, breadth first.

use std::time::{Duration, Instant};

use stateright::{Checker, HasDiscoveries, Model};

use crate::rules::Rule;
use crate::scenario::{CheckedModel, Scenario, SAFETY, TERMINATION};

/// A path that breaks a rule.
#[derive(Clone, Debug)]
pub struct Counterexample<A> {
    /// The rule.
    pub rule: Rule,
    /// The actions that lead from the start to the state that breaks it.
    pub actions: Vec<A>,
}

/// What exploring one world found.
pub struct Exploration<A> {
    /// Number of different states.
    pub states: usize,
    /// Number of transitions, the start included.
    pub transitions: usize,
    /// Length of the longest path.
    pub depth: usize,
    /// Time that it took.
    pub duration: Duration,
    /// A path that breaks a rule, if there is one.
    pub counterexample: Option<Counterexample<A>>,
}

/// Explores a world completely, or until a rule is broken. With one thread, the counterexample is a shortest one.
pub fn explore<S: Scenario>(scenario: &S, threads: usize) -> Exploration<S::Action> {
    let start = Instant::now();
    let model = CheckedModel(scenario.clone());
    let checker = model.checker().threads(threads).finish_when(HasDiscoveries::Any).spawn_bfs().join();
    let counterexample = [SAFETY, TERMINATION].into_iter().find_map(|property| {
        let path = checker.discovery(property)?;
        let rule = S::violated(path.last_state()).unwrap_or(S::TERMINATION_RULE);
        Some(Counterexample { rule, actions: path.into_actions() })
    });
    Exploration {
        states: checker.unique_state_count(),
        transitions: checker.state_count(),
        depth: checker.max_depth(),
        duration: start.elapsed(),
        counterexample,
    }
}
