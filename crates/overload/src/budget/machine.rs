//! The machine of one member and one budget.

use serde::{Deserialize, Serialize};

#[cfg(feature = "mutants")]
use super::Fault;
use super::{held::Held, lent::Lent, purse::Purse, Ask, Grant, HearError, Spare, Terms, TermsError, Units};
use crate::{portion, Life, Member, Ms, PerMille, WHOLE};

/// What travels between two members. Lost, doubled, late and reordered ones do no harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    Ask(Ask),
    Grant(Grant),
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
    pub(super) life: Life,
    /// From here on no lease of a former life is left anywhere.
    whole_at: Ms,
    /// The last moment that was seen.
    at: Ms,
    lent: Lent,
    pub(super) held: Held,
    pub(super) purse: Purse,
    retired: bool,
    #[cfg(feature = "mutants")]
    fault: Option<Fault>,
}

impl Budget {
    /// A new life of a member. It may have lent in a former one, and does not remember: for the time of a lease it
    /// has the floor of its share alone, and lends nothing.
    pub fn new(terms: Terms, life: Life, now: Ms) -> Result<Self, TermsError> {
        terms.check()?;
        Ok(Budget {
            terms,
            life,
            whole_at: now.saturating_add(terms.wait(terms.lease)),
            at: now,
            lent: Lent::default(),
            held: Held::default(),
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
        self.at = 0;
        if self.whole_at <= now {
            self.whole_at = 0;
        }
    }

    /// What of its own share this member may spend.
    pub fn own(&self, now: Ms) -> Units {
        #[cfg(feature = "mutants")]
        if self.fault == Some(Fault::SpendsLent) {
            return self.terms.home();
        }
        let now = now.max(self.at);
        if now < self.whole_at {
            return self.terms.home() - self.terms.lendable();
        }
        self.terms.home().saturating_sub(self.lent.aside(now))
    }

    /// What it may spend of others' shares.
    pub fn borrowed(&self, now: Ms) -> Units {
        #[cfg(feature = "mutants")]
        if self.fault == Some(Fault::TrustsOldClock) {
            return self.held.sum(self.at);
        }
        self.held.sum(now.max(self.at))
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
            Message::Grant(grant) => {
                self.take(now, from, grant)?;
                None
            }
        };
        self.purse.pass(now, 0, self.part(now), self.terms.burst);
        Ok(answer)
    }

    fn lend(&mut self, now: Ms, from: Member, ask: &Ask, share: PerMille) -> Result<Grant, HearError> {
        let length = self.terms.lease;
        let grant = |amount| Grant { life: ask.life, number: ask.number, amount, length };
        let wait = self.terms.wait(length);
        if let Some(again) = self.lent.ask(now, from, ask, wait)? {
            return Ok(grant(again));
        }
        let free = self.lendable(now).saturating_sub(self.lent.aside_but(now, (from, ask.life)));
        let lendable = u64::from(self.terms.lendable());
        let fair = portion(lendable, u64::from(share.min(WHOLE)), u64::from(WHOLE));
        let most = self.unused(now, free).max(u32::try_from(fair).unwrap_or(u32::MAX));
        let amount = ask.want.min(free).min(most);
        #[cfg(feature = "mutants")]
        let wait = if self.fault == Some(Fault::WaitsBareLength) { length } else { wait };
        if amount > 0 {
            self.lent.promise(from, ask, amount, now.saturating_add(wait));
        }
        #[cfg(feature = "mutants")]
        if self.fault == Some(Fault::ForgetsFormerGrant) {
            self.lent.forget_former((from, ask.life));
        }
        Ok(grant(amount))
    }

    fn take(&mut self, now: Ms, from: Member, grant: &Grant) -> Result<(), HearError> {
        if grant.life != self.life || self.retired {
            return Err(HearError::OtherLife);
        }
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

    /// What this member may lend in all, by now.
    fn lendable(&self, now: Ms) -> Units {
        if now < self.whole_at {
            0
        } else {
            self.terms.lendable()
        }
    }

    /// What is left of that after this member's own need.
    fn unused(&mut self, now: Ms, free: Units) -> Units {
        let floor = self.terms.home() - self.terms.lendable();
        free.saturating_sub(self.purse.need(now).saturating_sub(floor))
    }

    /// Lets time pass. Between two steps what is owned only grows, and what is held only ends.
    pub(super) fn pass(&mut self, now: Ms) -> Ms {
        let now = now.max(self.at);
        let least = self.own(self.at).saturating_add(self.borrowed(now));
        self.purse.pass(now, least, self.part(now), self.terms.burst);
        self.at = now;
        now
    }

    /// Gives up all for good: nothing is spent, lent or asked for any more. For a process whose name goes on in another
    /// one, before that one makes its own [`Budget`], which waits for what was lent here until now.
    pub fn retire(&mut self, now: Ms) {
        let now = self.pass(now);
        self.terms.seated = false;
        self.held = Held::default();
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
