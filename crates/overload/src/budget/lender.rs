//! A lender's books: what of its own share is out, and until when it must be set aside.

use std::collections::BTreeMap;

use super::{Ask, HearError, Units};
use crate::{Life, Member, Ms};

/// Most lives of members that hold leases from one lender.
const MOST_BORROWERS: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Promise {
    number: u32,
    amount: Units,
    /// On its borrower's clock, from its asking.
    length: Ms,
    /// On the lender's clock: from here on it has surely ended at its borrower.
    until: Ms,
}

/// One life of a borrower. A later life says nothing of an earlier one's leases: those run out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Book {
    /// The newest ask that was heard.
    asked: u32,
    /// Until here the book is kept though nothing is promised, so that a late ask is not taken for a new one.
    kept: Ms,
    promises: Vec<Promise>,
}

impl Book {
    /// The borrower holds at most one of its promises, and nobody here knows which.
    fn aside(&self, now: Ms) -> Units {
        self.promises.iter().filter(|p| p.until > now).map(|p| p.amount).max().unwrap_or(0)
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Lent {
    books: BTreeMap<(Member, Life), Book>,
}

impl Lent {
    /// What is set aside for others.
    pub fn aside(&self, now: Ms) -> Units {
        self.books.values().fold(0, |sum, book| sum.saturating_add(book.aside(now)))
    }

    /// What is set aside for all but one life of a member.
    pub fn aside_but(&self, now: Ms, borrower: (Member, Life)) -> Units {
        let own = self.books.get(&borrower).map_or(0, |book| book.aside(now));
        self.aside(now) - own
    }

    /// Takes an ask into the books. What was promised to it already is answered again as it was; otherwise nothing
    /// is promised yet.
    pub fn ask(
        &mut self, now: Ms, from: Member, ask: &Ask, keep: Ms,
    ) -> Result<Option<(Units, Ms)>, HearError> {
        self.prune(now);
        if self.books.len() >= MOST_BORROWERS && !self.books.contains_key(&(from, ask.life)) {
            return Err(HearError::TooManyBorrowers { from, most: MOST_BORROWERS });
        }
        let book = self.books.entry((from, ask.life)).or_default();
        if ask.number < book.asked {
            return Err(HearError::OldAsk);
        }
        if ask.number == book.asked {
            let again = book.promises.iter().find(|p| p.number == ask.number && p.until > now);
            return again.map(|p| Some((p.amount, p.length))).ok_or(HearError::OldAsk);
        }
        (book.asked, book.kept) = (ask.number, now.saturating_add(keep));
        // Whatever was granted before this ask and is not held now will never be taken.
        book.promises.retain(|p| p.until > now && Some(p.number) == ask.holding);
        Ok(None)
    }

    /// Forgets what has ended.
    pub fn prune(&mut self, now: Ms) {
        for book in self.books.values_mut() {
            book.promises.retain(|p| p.until > now);
        }
        self.books.retain(|_, book| book.kept > now || !book.promises.is_empty());
    }

    pub fn promise(&mut self, from: Member, ask: &Ask, amount: Units, length: Ms, until: Ms) {
        let book = self.books.entry((from, ask.life)).or_default();
        book.promises.push(Promise { number: ask.number, amount, length, until });
    }

    /// Forgets all but the newest promise to a life of a member.
    #[cfg(feature = "mutants")]
    pub fn forget_former(&mut self, borrower: (Member, Life)) {
        if let Some(book) = self.books.get_mut(&borrower) {
            let last = book.promises.len().saturating_sub(1);
            book.promises.drain(..last);
        }
    }
}
