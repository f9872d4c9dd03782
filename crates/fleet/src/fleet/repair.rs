//! Repair: digests compared with one member after another, what either lacks sent, what does not fit asked for over a
//! stream.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use super::{Effect, Fleet};
use crate::seal::Sender;
use crate::table::{compare, Digest};
use crate::wire::{pages, Body, BODY_MOST, DIGESTS_A_PAGE};
use crate::{Member, MemberId};

impl Fleet {
    /// All digests to one member, in as many datagrams as they need; each covers a range of origins, so that one
    /// that is lost spoils nothing.
    pub(super) fn send_digests(&mut self, out: &mut Vec<Effect>) {
        let active = self.active();
        let Some(member) = self.comparing.next(1, &active, &mut self.random).pop() else { return };
        let all = self.table.digests(MemberId(0), MemberId(u64::MAX));
        let mut from = MemberId(0);
        let mut rest = &all[..];
        loop {
            let (page, later) = rest.split_at(rest.len().min(DIGESTS_A_PAGE));
            let to = match (page.last(), later.is_empty()) {
                (Some(last), false) => last.origin,
                _ => MemberId(u64::MAX),
            };
            self.send(&member, &Body::Digests { from, to, digests: page.to_vec() }, out);
            if later.is_empty() {
                return;
            }
            (from, rest) = (MemberId(to.0.saturating_add(1)), later);
        }
    }

    /// Answers go to members alone, at the address and for the life that they are known by.
    fn known(&self, sender: Sender) -> Option<Member> {
        let (member, state) = self.membership.get(sender.id)?;
        (member.life == sender.life && state.is_active()).then_some(*member)
    }

    pub(super) fn answer_digests(
        &mut self, now: u64, sender: Sender, range: RangeInclusive<MemberId>, theirs: &[Digest],
        out: &mut Vec<Effect>,
    ) {
        let Some(member) = self.known(sender) else { return };
        if range.is_empty() {
            return;
        }
        let theirs: BTreeMap<_, _> = theirs.iter().map(|digest| (digest.origin, digest)).collect();
        let mine = self.table.digests(*range.start(), *range.end());
        // Nobody is asked about this member's own cells.
        let me = self.membership.me().id;
        let mut wanted: Vec<Digest> = Vec::new();
        let mut owed = Vec::new();
        for digest in &mine {
            let need = compare(Some(digest), theirs.get(&digest.origin).copied());
            owed.extend(need.send_above.map(|above| (digest.origin, above)));
            if need.ask && digest.origin != me {
                wanted.push(*digest);
            }
        }
        for (origin, digest) in &theirs {
            let unknown = mine.binary_search_by_key(origin, |digest| digest.origin).is_err();
            if unknown && range.contains(origin) && *origin != me {
                wanted.push(Digest { cells: 0, newest: 0, hash: 0, full: false, ..**digest });
            }
        }
        self.pay(now, &member, &owed, out);
        for page in wanted.chunks(DIGESTS_A_PAGE) {
            self.send(&member, &Body::Want(page.to_vec()), out);
        }
    }

    pub(super) fn answer_want(&mut self, now: u64, sender: Sender, wanted: &[Digest], out: &mut Vec<Effect>) {
        let Some(member) = self.known(sender) else { return };
        let owed = self.owed(wanted);
        self.pay(now, &member, &owed, out);
    }

    /// Origins of which the other lacks something, and above which version.
    pub(super) fn owed(&self, theirs: &[Digest]) -> Vec<(MemberId, u64)> {
        let need =
            |digest: &Digest| compare(self.table.digest(digest.origin).as_ref(), Some(digest)).send_above;
        theirs.iter().filter_map(|digest| Some((digest.origin, need(digest)?))).collect()
    }

    /// Sends what is owed, in at most `repair_datagrams`; if there is more, says that it takes a stream.
    fn pay(&mut self, now: u64, member: &Member, owed: &[(MemberId, u64)], out: &mut Vec<Effect>) {
        let cells = owed.iter().flat_map(|(origin, above)| self.table.above(now, *origin, *above)).collect();
        let (pages, left_out) = pages(cells, BODY_MOST);
        let more = pages.len() > self.settings.repair_datagrams || left_out > 0;
        for page in pages.into_iter().take(self.settings.repair_datagrams) {
            self.send(member, &Body::Cells(page), out);
        }
        if more {
            self.send(member, &Body::Whole, out);
        }
    }

    /// One exchange at a time, and not too often.
    pub(super) fn ask_exchange(&mut self, now: u64, sender: Sender, out: &mut Vec<Effect>) {
        let Some(member) = self.known(sender) else { return };
        if now >= self.exchange_from {
            self.exchange_from = now + self.settings.exchange_apart;
            self.counters.exchanges_asked += 1;
            out.push(Effect::OpenExchange { with: member.id, to: member.address });
        }
    }
}
