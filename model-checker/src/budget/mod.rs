//! The world of a leased budget: the real machines of three members, a network that loses, duplicates and reorders
//! messages, members that die and return, and clocks that run as far apart as they may.
//!
//! A partition is a set of messages that are not delivered, and a stopped process is one that is given nothing to do
//! while time passes: both are among the orders of events without actions of their own. After each action every living
//! member is asked what it would spend if it woke at this very moment.
//!
//! [`World`] owns all state and the true time, in ticks; `invariants.rs` checks the rules.

mod invariants;

use glenrail_overload::budget::{Budget, BudgetConfig, Fault, Message, Units};
use glenrail_overload::{Ms, PerMille};
use serde::{Deserialize, Serialize};

use crate::request::Log;
use crate::rules::Rule;
use crate::scenario::{AnyScenario, Scenario};

/// Number of members.
const MEMBERS: u8 = 3;
/// Two units for each member, all of which may be lent.
const TERMS: BudgetConfig = BudgetConfig {
    total: 6,
    share_owners: 3,
    owns_share: true,
    floor: 0,
    lease_duration: 300,
    max_clock_drift: 2_000,
    witnesses: 0,
    burst_duration: 0,
};
/// Each share needs a witness; leases are short, so that few ticks see a share change its holder.
const WITNESSED: BudgetConfig = BudgetConfig { lease_duration: 200, witnesses: 1, ..TERMS };
/// True milliseconds of a tick.
const TICK: Ms = 100;
/// What each member's clock makes of a tick, in milliseconds: a fast one, a slow one, a true one.
const RATES: [Ms; 3] = [120, 80, 100];
/// The same where shares are witnessed: a fast witness between two slow members.
const WITNESSED_RATES: [Ms; 3] = [120, 80, 80];
/// What each member's clock shows at its start, times its number from 1, in milliseconds: long enough after zero.
const CLOCK_OFFSET: Ms = 2_000;
/// The sender's part of the fleet's traffic as a receiver of its message sees it: all of it, so that
/// nothing is withheld because the receiver needs it.
const SENDERS_TRAFFIC: PerMille = 1_000;

/// True milliseconds, rounded up, that a lease may last on the slowest clock.
fn longest_lease(terms: &BudgetConfig) -> Ms {
    terms.lease_duration * 10_000 / (10_000 - Ms::from(terms.max_clock_drift)) + 1
}

/// The bounds of the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Setup {
    /// Most requests for a part on one path.
    pub asks: u8,
    /// Ticks that have passed before anything is requested.
    pub late: u8,
    /// Most ticks that pass then.
    pub ticks: u8,
    /// Most deaths and duplicated messages together.
    #[serde(rename = "troubles")]
    pub faults: u8,
    /// Whether a share is held only with the agreement of witnesses; all members begin with their own.
    pub witnessed: bool,
    /// Most requests for a share, the member's own or another's.
    #[serde(rename = "holds")]
    pub share_requests: u8,
    /// The member whose share alone is requested, all parts and agreements of others left out; else any.
    pub share: Option<u8>,
    /// A fault planted in the members' machines.
    pub fault: Option<Fault>,
}

/// One thing that happens. Members are named by their number. Stored traces have the renamed spellings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Action {
    /// A member asks another for a part of its share.
    Ask {
        /// The member that asks.
        from: u8,
        /// The owner of the share.
        to: u8,
        /// Units wanted; zero returns what was lent.
        want: u8,
    },
    /// A member asks a voter, perhaps itself, to agree that it holds a share.
    #[serde(rename = "Hold")]
    RequestShare {
        /// The member that asks.
        from: u8,
        /// The voter.
        to: u8,
        /// The owner of the share.
        #[serde(rename = "estate")]
        owner: u8,
    },
    /// A message in the network arrives, by its position there.
    #[serde(rename = "Arrives")]
    Deliver(u8),
    /// It arrives, and stays in the network to arrive once more.
    #[serde(rename = "ArrivesAndStays")]
    DeliverAndDuplicate(u8),
    /// True time passes.
    Tick,
    /// A member dies.
    #[serde(rename = "Dies")]
    Die(u8),
    /// It returns as a new incarnation without any state.
    #[serde(rename = "Returns")]
    Return(u8),
}

/// A request for a part, remembered while the requesting incarnation runs and the lease may last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct PartRequest {
    from: u8,
    to: u8,
    want: Units,
    tick: u8,
}

/// A message in the network: sender, receiver and content. A tuple, since its order is that of the network.
type Envelope = (u8, u8, Message);

/// A state of the world.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    /// The members; none while one is dead.
    members: [Option<Budget>; 3],
    incarnations: [u8; 3],
    network: Vec<Envelope>,
    part_requests: Vec<PartRequest>,
    /// True time since the start.
    tick: u8,
    // What may still happen.
    asks: u8,
    ticks: u8,
    faults: u8,
    share_requests: u8,
    terms: BudgetConfig,
    fault: Option<Fault>,
    /// The first rule that was broken.
    pub violated: Option<Rule>,
}

/// A member's clock: its own beginning, long enough after zero, and its own rate.
fn clock(terms: &BudgetConfig, member: u8, tick: u8) -> Ms {
    let rates = if terms.requires_witnesses() { WITNESSED_RATES } else { RATES };
    CLOCK_OFFSET * (1 + Ms::from(member)) + Ms::from(tick) * rates[usize::from(member)]
}

fn start_member(
    terms: BudgetConfig, member: u8, incarnation: u8, now: Ms, fault: Option<Fault>,
) -> Option<Budget> {
    // The terms are valid, and stay as they are.
    let mut budget = Budget::new(terms, member.into(), incarnation.into(), now).ok()?;
    budget.plant(fault);
    Some(budget)
}

impl Setup {
    fn start_world(&self) -> World {
        let terms = if self.witnessed { WITNESSED } else { TERMS };
        World {
            members: [0, 1, 2].map(|member| start_member(terms, member, 0, 0, self.fault)),
            incarnations: [0; 3],
            network: Vec::new(),
            part_requests: Vec::new(),
            tick: 0,
            asks: self.asks,
            ticks: self.ticks,
            faults: self.faults,
            share_requests: self.share_requests,
            terms,
            fault: self.fault,
            violated: None,
        }
    }

    fn may_request(&self, owner: u8) -> bool {
        self.share.is_none_or(|only| only == owner)
    }
}

impl Scenario for Setup {
    type World = World;
    type Action = Action;

    const TERMINATION_RULE: Rule = Rule::PartsComeBack;

    fn start(&self) -> World {
        let mut world = self.start_world();
        if self.witnessed {
            world.give_each_member_its_share();
        }
        world.tick = self.late;
        world.normalize();
        world
    }

    fn enabled_actions(&self, world: &World, actions: &mut Vec<Action>) {
        world.enabled_actions(self, actions);
    }

    fn apply(&self, world: &mut World, action: Action, _: &mut Log) {
        world.apply(action);
    }

    /// Nothing happens by itself but the passing of time.
    fn is_inevitable(_: &World, action: Action) -> bool {
        action == Action::Tick
    }

    fn violated(world: &World) -> Option<Rule> {
        world.violated
    }

    fn has_terminated(world: &World) -> bool {
        world.all_parts_are_back()
    }

    fn to_any(&self) -> AnyScenario {
        AnyScenario::Budget(*self)
    }
}

impl World {
    fn is_alive(&self, member: u8) -> bool {
        self.members[usize::from(member)].is_some()
    }

    /// What a member's clock shows now.
    fn now(&self, member: u8) -> Ms {
        clock(&self.terms, member, self.tick)
    }

    /// Has each member hold its own share before anything else happens.
    fn give_each_member_its_share(&mut self) {
        for member in 0..MEMBERS {
            let witness = (member + 2) % MEMBERS;
            self.request_share(member, witness, member);
            while let Some(envelope) = self.network.pop() {
                self.deliver(envelope);
            }
        }
    }

    fn enabled_actions(&self, setup: &Setup, actions: &mut Vec<Action>) {
        if self.violated.is_some() {
            return;
        }
        if self.asks > 0 {
            self.enabled_asks(setup, actions);
        }
        if self.share_requests > 0 {
            self.enabled_share_requests(setup, actions);
        }
        for (position, (_, to, _)) in self.network.iter().enumerate() {
            if self.is_alive(*to) {
                actions.push(Action::Deliver(position as u8));
                if self.faults > 0 {
                    actions.push(Action::DeliverAndDuplicate(position as u8));
                }
            }
        }
        if self.ticks > 0 {
            actions.push(Action::Tick);
        }
        for member in 0..MEMBERS {
            if !self.is_alive(member) {
                actions.push(Action::Return(member));
            } else if self.faults > 0 {
                actions.push(Action::Die(member));
            }
        }
    }

    fn enabled_asks(&self, setup: &Setup, actions: &mut Vec<Action>) {
        for from in (0..MEMBERS).filter(|from| self.is_alive(*from)) {
            for to in (0..MEMBERS).filter(|to| setup.may_request(*to) && *to != from) {
                // Where nothing was requested there is nothing to return.
                let has_asked =
                    self.part_requests.iter().any(|request| (request.from, request.to) == (from, to));
                let min_want = u8::from(!has_asked);
                actions.extend((min_want..=2).map(|want| Action::Ask { from, to, want }));
            }
        }
    }

    fn enabled_share_requests(&self, setup: &Setup, actions: &mut Vec<Action>) {
        for from in (0..MEMBERS).filter(|from| self.is_alive(*from)) {
            for owner in (0..MEMBERS).filter(|owner| setup.may_request(*owner)) {
                let voters = (0..MEMBERS).filter(|voter| *voter != owner);
                actions.extend(voters.map(|to| Action::RequestShare { from, to, owner }));
            }
        }
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Ask { from, to, want } => {
                self.asks -= 1;
                self.ask(from, to, want);
            }
            Action::RequestShare { from, to, owner } => {
                self.share_requests -= 1;
                self.request_share(from, to, owner);
            }
            Action::Deliver(position) => {
                let envelope = self.network.remove(position.into());
                self.deliver(envelope);
            }
            Action::DeliverAndDuplicate(position) => {
                self.faults -= 1;
                self.deliver(self.network[usize::from(position)]);
            }
            Action::Tick => {
                self.ticks -= 1;
                self.tick += 1;
            }
            Action::Die(member) => {
                self.faults -= 1;
                self.members[usize::from(member)] = None;
                self.part_requests.retain(|request| request.from != member);
            }
            Action::Return(member) => self.return_member(member),
        }
        self.normalize();
        self.check_invariants();
    }

    fn ask(&mut self, from: u8, to: u8, want: u8) {
        let now = self.now(from);
        let Some(member) = &mut self.members[usize::from(from)] else { return };
        let ask = member.request_lease(now, to.into(), want.into());
        self.network.push((from, to, Message::LeaseRequest(ask)));
        self.part_requests.push(PartRequest { from, to, want: want.into(), tick: self.tick });
    }

    fn request_share(&mut self, from: u8, to: u8, owner: u8) {
        let now = self.now(from);
        let Some(member) = &mut self.members[usize::from(from)] else { return };
        if let Some(hold) = member.request_share(now, owner.into(), to.into()) {
            self.network.push((from, to, Message::ShareRequest(hold)));
        }
    }

    fn deliver(&mut self, (from, to, message): Envelope) {
        let now = self.now(to);
        let Some(member) = &mut self.members[usize::from(to)] else { return };
        if let Ok(Some(answer)) = member.handle_message(now, from.into(), &message, SENDERS_TRAFFIC) {
            self.network.push((to, from, answer));
        }
    }

    fn return_member(&mut self, member: u8) {
        let index = usize::from(member);
        self.incarnations[index] += 1;
        let incarnation = self.incarnations[index];
        self.members[index] = start_member(self.terms, member, incarnation, self.now(member), self.fault);
    }

    /// Makes states that behave alike equal: what has expired is forgotten, and so are answers that a member would
    /// reject, since it rejects them from then on.
    fn normalize(&mut self) {
        let (tick, terms) = (self.tick, self.terms);
        for (member, budget) in (0..MEMBERS).zip(&mut self.members) {
            if let Some(budget) = budget {
                budget.discard_past(clock(&terms, member, tick));
            }
        }
        let members = &self.members;
        self.network.retain(|envelope| is_still_accepted(members, &terms, tick, envelope));
        self.network.sort_unstable();
        let longest_lease = longest_lease(&terms);
        self.part_requests.retain(|request| Ms::from(tick - request.tick) * TICK < longest_lease);
        self.part_requests.sort_unstable();
    }
}

/// Whether the message can still have an effect. Requests stay, since they are always answered.
fn is_still_accepted(
    members: &[Option<Budget>; 3], terms: &BudgetConfig, tick: u8, (from, to, message): &Envelope,
) -> bool {
    if matches!(message, Message::LeaseRequest(_) | Message::ShareRequest(_)) {
        return true;
    }
    let Some(mut receiver) = members[usize::from(*to)].clone() else { return false };
    let now = clock(terms, *to, tick);
    receiver.handle_message(now, (*from).into(), message, SENDERS_TRAFFIC).is_ok()
}
