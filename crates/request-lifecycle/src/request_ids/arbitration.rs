//! Claims, their decisions, and which process is the arbiter.

use std::mem::take;

use super::{
    Arbiter, ClaimNumber, Claimant, Decision, Effect, Fault, LinkId, Message, RequestIdTable, User,
    WaitingClaim,
};

impl<K: Ord + Clone> RequestIdTable<K> {
    /// Decides a claim at once if this process can, and else asks the arbiter.
    pub(super) fn claim(&mut self, id: K, claimant: Claimant, effects: &mut Vec<Effect<K>>) {
        if self
            .claims
            .get(&id)
            .is_some_and(|claim| claim.claimant == claimant && claimant != Claimant::Request)
        {
            // The message has arrived twice; the claim is answered once.
            return;
        }
        if self.is_in_use(&id) {
            return refuse(id, claimant, effects);
        }
        match self.arbiter {
            Arbiter::ThisProcess => self.grant(id, claimant, effects),
            Arbiter::Link(_) if self.has_fault(Fault::GrantsWithoutArbiter) => {
                self.grant(id, claimant, effects);
            }
            Arbiter::Link(arbiter) => {
                let number = self.store_claim(id.clone(), claimant);
                effects.push(Effect::Send(arbiter, Message::Claim(id, number)));
            }
            Arbiter::Unreachable => {
                self.store_claim(id, claimant);
            }
        }
    }

    fn store_claim(&mut self, id: K, claimant: Claimant) -> ClaimNumber {
        self.last_claim.0 += 1;
        let number = self.last_claim;
        self.claims.insert(id, WaitingClaim { claimant, number });
        number
    }

    /// Withdraws a claim. The arbiter, which may have granted it by now, is told that the id is not used.
    pub(super) fn withdraw(&mut self, id: &K, effects: &mut Vec<Effect<K>>) {
        if self.claims.remove(id).is_none() || self.has_fault(Fault::KeepsWithdrawnClaim) {
            return;
        }
        if let Arbiter::Link(arbiter) = self.arbiter {
            if !self.uses_apart_from(id, arbiter) {
                effects.push(Effect::Send(arbiter, Message::Released(id.clone())));
            }
        }
    }

    /// The process behind this link does not use the id: its request has finished, or it has withdrawn its claim.
    pub(super) fn release(&mut self, link: LinkId, id: &K, effects: &mut Vec<Effect<K>>) {
        let claimant = self.claims.get(id).map(|claim| claim.claimant);
        if matches!(claimant, Some(Claimant::Link(from, _)) if from == link) {
            self.withdraw(id, effects);
        } else if !self.has_fault(Fault::IgnoresRelease) {
            self.remove_user(id, User::Link(link), effects);
        }
    }

    pub(super) fn apply_decision(
        &mut self, link: LinkId, id: K, number: ClaimNumber, decision: Decision, effects: &mut Vec<Effect<K>>,
    ) {
        let is_awaited = self.claims.get(&id).is_some_and(|claim| claim.number == number);
        if self.arbiter != Arbiter::Link(link) || !is_awaited {
            return;
        }
        let Some(WaitingClaim { claimant, .. }) = self.claims.remove(&id) else { return };
        match decision {
            Decision::Granted => self.grant(id, claimant, effects),
            Decision::InUse => refuse(id, claimant, effects),
        }
    }

    fn grant(&mut self, id: K, claimant: Claimant, effects: &mut Vec<Effect<K>>) {
        match claimant {
            Claimant::Request => {
                self.add_user(id.clone(), User::Request, effects);
                effects.push(Effect::Decided(id, Decision::Granted));
            }
            Claimant::Link(link, number) => {
                self.add_user(id.clone(), User::Link(link), effects);
                effects.push(Effect::Send(link, Message::Decided(id, number, Decision::Granted)));
            }
        }
    }

    /// Reports all ids to the successor, which then becomes the arbiter.
    pub(super) fn connect_successor(&mut self, link: LinkId, effects: &mut Vec<Effect<K>>) {
        if !self.is_arbiter() {
            return;
        }
        self.links.insert(link);
        if !self.has_fault(Fault::ForgetsOpenIds) {
            let in_use = self.users.keys().cloned().map(Message::InUse);
            effects.extend(in_use.map(|message| Effect::Send(link, message)));
        }
        effects.push(Effect::Send(link, Message::Arbitrate));
        self.arbiter = Arbiter::Link(link);
        self.successor = Some(link);
        self.arbitration_passed_on = false;
        self.notify_predecessor(Message::ArbitrationPassedOn, effects);
    }

    fn notify_predecessor(&self, message: Message<K>, effects: &mut Vec<Effect<K>>) {
        effects.extend(self.predecessor.map(|link| Effect::Send(link, message)));
    }

    /// The process that this one has handed arbitration to returns it. A predecessor's message needs no action, because
    /// a process is its own arbiter until it has a successor.
    pub(super) fn take_arbitration(&mut self, link: LinkId, effects: &mut Vec<Effect<K>>) {
        if self.arbiter == Arbiter::Link(link) {
            self.become_arbiter(effects);
        }
    }

    pub(super) fn return_arbitration(&mut self, effects: &mut Vec<Effect<K>>) {
        let Some(predecessor) = self.predecessor.filter(|_| self.is_arbiter()) else { return };
        effects.push(Effect::Send(predecessor, Message::Arbitrate));
        if !self.has_fault(Fault::GrantsAfterReturn) {
            self.arbiter = Arbiter::Link(predecessor);
        }
    }

    pub(super) fn disconnect(&mut self, link: LinkId, effects: &mut Vec<Effect<K>>) {
        if !self.links.remove(&link) {
            return;
        }
        if self.predecessor == Some(link) {
            self.predecessor = None;
            self.end_stream_announcements(link, effects);
        }
        self.retain_ids_of(link, effects);
        let is_theirs = |(id, claim): (&K, &WaitingClaim)| {
            matches!(claim.claimant, Claimant::Link(from, _) if from == link).then(|| id.clone())
        };
        for id in self.claims.iter().filter_map(is_theirs).collect::<Vec<_>>() {
            self.withdraw(&id, effects);
        }
        if self.arbiter != Arbiter::Link(link) {
            return;
        }
        self.arbiter = Arbiter::Unreachable;
        if self.successor != Some(link) {
            self.replace_ended_arbiter(effects);
        }
    }

    /// Keeps the ids that an ended process has not released.
    fn retain_ids_of(&mut self, link: LinkId, effects: &mut Vec<Effect<K>>) {
        let ids = self.ids_of(User::Link(link));
        if !ids.is_empty() {
            effects.push(Effect::StartRetention(link));
        }
        for id in ids {
            self.add_user(id.clone(), User::EndedProcess(link), effects);
            self.remove_user(&id, User::Link(link), effects);
        }
    }

    pub(super) fn end_successor(&mut self, effects: &mut Vec<Effect<K>>) {
        self.successor = None;
        if self.arbiter == Arbiter::Unreachable {
            self.replace_ended_arbiter(effects);
        }
    }

    /// Becomes the arbiter unless the process that has ended was none itself. A further process then grants ids, and this
    /// one is not connected to it.
    fn replace_ended_arbiter(&mut self, effects: &mut Vec<Effect<K>>) {
        if !self.arbitration_passed_on || self.has_fault(Fault::ForgetsPassedArbitration) {
            self.become_arbiter(effects);
        }
    }

    /// Decides the claims that waited for the former arbiter.
    fn become_arbiter(&mut self, effects: &mut Vec<Effect<K>>) {
        self.arbiter = Arbiter::ThisProcess;
        self.notify_predecessor(Message::ArbitrationResumed, effects);
        for (id, WaitingClaim { claimant, .. }) in take(&mut self.claims) {
            self.claim(id, claimant, effects);
        }
    }
}

fn refuse<K>(id: K, claimant: Claimant, effects: &mut Vec<Effect<K>>) {
    match claimant {
        Claimant::Request => effects.push(Effect::Decided(id, Decision::InUse)),
        Claimant::Link(link, number) => {
            effects.push(Effect::Send(link, Message::Decided(id, number, Decision::InUse)));
        }
    }
}
