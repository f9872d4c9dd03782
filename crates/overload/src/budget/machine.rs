//! The machine of one member and one budget.

use serde::{Deserialize, Serialize};

use super::borrower::Held as Leases;
use super::share_voting::{Estates, Votes};
#[cfg(feature = "mutants")]
use super::Fault;
use super::{
    lender::Lent, token_bucket::Purse, Ask, Grant, HearError, Held, Hold, Spare, Terms, TermsError, Units,
};
use crate::{portion, Life, Member, Ms, PerMille, WHOLE};

/// What travels between two members. Lost, doubled, late and reordered ones do no harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    Ask(Ask),
    Grant(Grant),
    Hold(Hold),
    Held(Held),
}

/// Leave to spend one retry or probe now. Look again right before it is used: the process may have been stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    until: Ms,
}

impl Permit {
    pub fn holds(&self, now: Ms) -> bool {
        now < self.until
    }
}

/// One member's hold on one budget. All methods that take `now` may be called in any order; a clock that goes back
/// counts as standing still.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    pub(super) terms: Terms,
    pub(super) me: Member,
    pub(super) life: Life,
    /// From here on no lease of a former life is left anywhere.
    pub(super) whole_at: Ms,
    /// The last moment that was seen.
    at: Ms,
    lent: Lent,
    pub(super) held: Leases,
    pub(super) votes: Votes,
    pub(super) estates: Estates,
    pub(super) purse: Purse,
    retired: bool,
    #[cfg(feature = "mutants")]
    pub(super) fault: Option<Fault>,
}

impl Budget {
    /// A new life of a member. It may have lent and voted in a former one, and does not remember: until that has ended it
    /// has the floor of its share alone, lends nothing, and speaks for nobody's.
    pub fn new(terms: Terms, me: Member, life: Life, now: Ms) -> Result<Self, TermsError> {
        terms.check()?;
        let longest = if terms.witnessed() { terms.tenure() } else { terms.lease };
        Ok(Budget {
            terms,
            me,
            life,
            whole_at: now.saturating_add(terms.wait(longest)),
            at: now,
            lent: Lent::default(),
            held: Leases::default(),
            votes: Votes::default(),
            estates: Estates::default(),
            purse: Purse::new(now),
            retired: false,
            #[cfg(feature = "mutants")]
            fault: None,
        })
    }

    #[cfg(feature = "mutants")]
    pub fn plant(&mut self, fault: Option<Fault>) {
        self.fault = fault;
        if fault == Some(Fault::ForgetsAtRestart) {
            self.whole_at = self.at;
        }
    }

    /// For the explorer: forgets what has ended and what makes no difference to parts any more, so that what behaves
    /// alike is alike. Its clocks never go back, and it looks at parts, not at what is saved up of them.
    #[cfg(feature = "mutants")]
    pub fn forget_past(&mut self, now: Ms) {
        self.purse = Purse::new(0);
        if self.fault == Some(Fault::TrustsOldClock) {
            return;
        }
        self.held.prune(now, self.terms.lease);
        self.lent.prune(now);
        self.votes.prune(now);
        self.estates.prune(now, self.terms.tenure());
        self.at = 0;
        if self.whole_at <= now {
            self.whole_at = 0;
        }
    }

    /// What this member may spend of what it owns or has inherited.
    pub fn own(&self, now: Ms) -> Units {
        let now = now.max(self.at);
        let aside = self.lent.aside(now);
        #[cfg(feature = "mutants")]
        let aside = if self.fault == Some(Fault::SpendsLent) { 0 } else { aside };
        self.floor().saturating_add(self.lendable(now).saturating_sub(aside))
    }

    /// What it may spend of others' shares.
    pub fn borrowed(&self, now: Ms) -> Units {
        #[cfg(feature = "mutants")]
        if self.fault == Some(Fault::TrustsOldClock) {
            return self.held.sum(self.at);
        }
        self.held.sum(now.max(self.at))
    }

    /// What it may spend of one lender's share.
    pub fn borrowed_from(&self, now: Ms, lender: Member) -> Units {
        let leases = self.held.leases(now.max(self.at));
        leases.filter(|(from, _)| *from == lender).map(|(_, lease)| lease.amount).sum()
    }

    /// What may be spent here a second, now. Summed over all members it never exceeds the budget.
    pub fn part(&self, now: Ms) -> Units {
        self.own(now).saturating_add(self.borrowed(now))
    }

    /// What this member does not need of its own and would lend; told in its words.
    pub fn spare(&mut self, now: Ms) -> Units {
        let now = self.pass(now);
        self.unused(now, self.lendable(now).saturating_sub(self.lent.aside(now)))
    }

    /// Asks for one retry or probe.
    pub fn spend(&mut self, now: Ms) -> Option<Permit> {
        let now = self.pass(now);
        let ends = self.held.leases(now).map(|(_, lease)| lease.until).min();
        let until = ends.unwrap_or(u64::MAX).min(now.saturating_add(self.terms.lease));
        self.purse.spend(now).then_some(Permit { until })
    }

    /// An ask to a lender for so much in all; for nothing, what is held from it is given back.
    pub fn ask(&mut self, now: Ms, lender: Member, want: Units) -> Ask {
        let now = self.pass(now);
        #[cfg(not(feature = "mutants"))]
        let keep = false;
        #[cfg(feature = "mutants")]
        let keep = self.fault == Some(Fault::KeepsGivenBack);
        let ask = self.held.ask(now, self.life, lender, want, keep);
        self.purse.pass(now, 0, self.part(now), self.terms.burst);
        ask
    }

    /// Takes a message, and gives the answer to it, if any. `share` is the sender's part of the fleet's traffic by
    /// what others see: so much it may have of what is lent here even where it is needed here.
    pub fn hear(
        &mut self, now: Ms, from: Member, message: &Message, share: PerMille,
    ) -> Result<Option<Message>, HearError> {
        let now = self.pass(now);
        let answer = match message {
            Message::Ask(ask) => Some(Message::Grant(self.lend(now, from, ask, share)?)),
            Message::Hold(hold) => {
                self.vote(now, from, hold.estate)?;
                let Hold { life, number, estate } = *hold;
                Some(Message::Held(Held { life, number, estate, length: self.terms.tenure() }))
            }
            Message::Grant(Grant { life, .. }) | Message::Held(Held { life, .. })
                if *life != self.life || self.retired =>
            {
                return Err(HearError::OtherLife);
            }
            Message::Grant(grant) => {
                self.take(now, from, grant)?;
                None
            }
            Message::Held(held) => {
                let length = held.length.min(self.terms.tenure());
                self.estates.take(from, &Held { length, ..*held })?;
                None
            }
        };
        self.purse.pass(now, 0, self.part(now), self.terms.burst);
        Ok(answer)
    }

    fn lend(&mut self, now: Ms, from: Member, ask: &Ask, share: PerMille) -> Result<Grant, HearError> {
        let grant = |amount, length| Grant { life: ask.life, number: ask.number, amount, length };
        if let Some((amount, length)) = self.lent.ask(now, from, ask, self.terms.wait(self.terms.lease))? {
            return Ok(grant(amount, length));
        }
        let lendable = self.lendable(now);
        let free = lendable.saturating_sub(self.lent.aside_but(now, (from, ask.life)));
        let fair = portion(u64::from(lendable), u64::from(share.min(WHOLE)), u64::from(WHOLE));
        let most = self.unused(now, free).max(u32::try_from(fair).unwrap_or(u32::MAX));
        let amount = ask.want.min(free).min(most);
        // Nothing is lent for longer than all of what is lent of is held.
        let length = self.terms.lease.min(self.holds_until(now).saturating_sub(now));
        #[cfg(feature = "mutants")]
        let length = if self.fault == Some(Fault::LendsBeyondTenure) { self.terms.lease } else { length };
        let wait = self.terms.wait(length);
        #[cfg(feature = "mutants")]
        let wait = if self.fault == Some(Fault::WaitsBareLength) { length } else { wait };
        if amount > 0 {
            self.lent.promise(from, ask, amount, length, now.saturating_add(wait));
        }
        #[cfg(feature = "mutants")]
        if self.fault == Some(Fault::ForgetsFormerGrant) {
            self.lent.forget_former((from, ask.life));
        }
        Ok(grant(amount, length))
    }

    fn take(&mut self, now: Ms, from: Member, grant: &Grant) -> Result<(), HearError> {
        let grant = Grant { length: grant.length.min(self.terms.lease), ..*grant };
        let (counted, any) = (0, false);
        #[cfg(feature = "mutants")]
        let (counted, any) = match self.fault {
            Some(Fault::CountsFromArrival) => (now, false),
            Some(Fault::TakesOldGrant) => (0, true),
            _ => (counted, any),
        };
        self.held.take(counted, from, &grant, any)?;
        self.held.prune(now, self.terms.lease);
        Ok(())
    }

    /// What is never lent.
    fn floor(&self) -> Units {
        self.terms.home() - self.terms.lendable()
    }

    /// What this member may lend in all, by now.
    fn lendable(&self, now: Ms) -> Units {
        if now < self.whole_at {
            return 0;
        }
        let estates = u32::try_from(self.tenures(now).count()).unwrap_or(u32::MAX);
        self.terms.lendable().saturating_mul(estates)
    }

    /// What is left of that after this member's own need.
    fn unused(&mut self, now: Ms, free: Units) -> Units {
        free.saturating_sub(self.purse.need(now).saturating_sub(self.floor()))
    }

    /// Lets time pass. Between two steps estates and leases only end, and what is set aside only comes back: the least
    /// that the part can have been is what is left of the former beside all of the latter.
    pub(super) fn pass(&mut self, now: Ms) -> Ms {
        let now = now.max(self.at);
        let estates = self.lendable(now).min(self.lendable(self.at)).saturating_sub(self.lent.aside(self.at));
        let least = self.floor().saturating_add(estates).saturating_add(self.borrowed(now));
        self.purse.pass(now, least, self.part(now), self.terms.burst);
        self.at = now;
        now
    }

    /// Gives up all for good: nothing is spent, lent or asked for any more. For a process whose name goes on in another
    /// one, before that one makes its own [`Budget`], which waits for what was lent here until now.
    pub fn retire(&mut self, now: Ms) {
        let now = self.pass(now);
        self.terms.seated = false;
        self.held = Leases::default();
        self.estates = Estates::default();
        self.purse = Purse::new(now);
        // No grant that is still under way is for this life any more.
        self.retired = true;
    }

    /// Asks that are due: renewals of what is still needed, what is needed no more given back, and the rest from
    /// those who told the most to spare. To be called a few times in the length of a lease.
    pub fn plan(&mut self, now: Ms, spares: &[Spare]) -> Vec<(Member, Ask)> {
        let now = self.pass(now);
        if self.retired {
            return Vec::new();
        }
        self.held.prune(now, self.terms.lease);
        let wants = self.wants(now, spares);
        wants.into_iter().map(|(lender, want)| (lender, self.ask(now, lender, want))).collect()
    }
}
