//! Anti-entropy in datagrams. Digests are sent to one member after another and compared there; missing cells are sent
//! in datagrams, or over a stream if they do not fit.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use super::{Effect, Fleet};
use crate::seal::Sender;
use crate::table::{compare, Digest};
use crate::wire::{paginate, Body, MAX_BODY_BYTES, MAX_DIGESTS_PER_DATAGRAM};
use crate::{Member, MemberId};

impl Fleet {
    /// Sends all digests to the next member. Each datagram covers a range of origins, so that the loss of one does not
    /// affect the others.
    pub(super) fn send_digests(&mut self, effects: &mut Vec<Effect>) {
        let active = self.active();
        let Some(member) = self.digest_order.next(1, &active, &mut self.rng).pop() else { return };
        let digests = self.all_digests();
        let mut from = MemberId(0);
        let mut remaining = &digests[..];
        loop {
            let (page, later) = remaining.split_at(remaining.len().min(MAX_DIGESTS_PER_DATAGRAM));
            let to = match (page.last(), later.is_empty()) {
                (Some(last), false) => last.origin,
                _ => MemberId(u64::MAX),
            };
            self.send(&member, &Body::Digests { from, to, digests: page.to_vec() }, effects);
            if later.is_empty() {
                return;
            }
            (from, remaining) = (MemberId(to.0.saturating_add(1)), later);
        }
    }

    /// Returns the sender if it is an active member in the incarnation known here. Other senders get no response.
    fn active_sender(&self, sender: Sender) -> Option<Member> {
        let (member, state) = self.membership.get(sender.id)?;
        (member.incarnation == sender.incarnation && state.is_active()).then_some(*member)
    }

    /// Handles digests that cover the origins within `range`: sends the cells that the sender lacks, and requests the
    /// cells that are missing here.
    pub(super) fn handle_digests(
        &mut self, now: u64, sender: Sender, range: RangeInclusive<MemberId>, remote_digests: &[Digest],
        effects: &mut Vec<Effect>,
    ) {
        let Some(member) = self.active_sender(sender) else { return };
        if range.is_empty() {
            return;
        }
        let remote_digests: BTreeMap<_, _> =
            remote_digests.iter().map(|digest| (digest.origin, digest)).collect();
        let local_digests = self.table.digests(*range.start(), *range.end());
        // This member never requests its own cells.
        let local_id = self.membership.local_member().id;
        let mut requests: Vec<Digest> = Vec::new();
        let mut missing_at_peer = Vec::new();
        for digest in &local_digests {
            let reconciliation = compare(Some(digest), remote_digests.get(&digest.origin).copied());
            missing_at_peer.extend(reconciliation.send_above_version.map(|version| (digest.origin, version)));
            if reconciliation.request && digest.origin != local_id {
                requests.push(*digest);
            }
        }
        for (origin, digest) in &remote_digests {
            let unknown = local_digests.binary_search_by_key(origin, |digest| digest.origin).is_err();
            if unknown && range.contains(origin) && *origin != local_id {
                requests.push(Digest { cells: 0, newest_version: 0, hash: 0, truncated: false, ..**digest });
            }
        }
        self.send_missing_cells(now, &member, &missing_at_peer, effects);
        for page in requests.chunks(MAX_DIGESTS_PER_DATAGRAM) {
            self.send(&member, &Body::Request(page.to_vec()), effects);
        }
    }

    /// Sends the requested cells.
    pub(super) fn handle_cell_request(
        &mut self, now: u64, sender: Sender, requests: &[Digest], effects: &mut Vec<Effect>,
    ) {
        let Some(member) = self.active_sender(sender) else { return };
        let missing_at_peer = self.missing_at_peer(requests);
        self.send_missing_cells(now, &member, &missing_at_peer, effects);
    }

    /// Returns the origins of which the peer lacks cells according to its digests, each with the version above which
    /// cells are missing.
    pub(super) fn missing_at_peer(&self, remote_digests: &[Digest]) -> Vec<(MemberId, u64)> {
        let mut missing = Vec::new();
        for digest in remote_digests {
            let local_digest = self.table.digest(digest.origin);
            if let Some(version) = compare(local_digest.as_ref(), Some(digest)).send_above_version {
                missing.push((digest.origin, version));
            }
        }
        missing
    }

    /// Sends missing cells in at most `repair_datagrams` datagrams. If they do not suffice, requests the recipient to
    /// open an exchange.
    fn send_missing_cells(
        &mut self, now: u64, member: &Member, missing_at_peer: &[(MemberId, u64)], effects: &mut Vec<Effect>,
    ) {
        let cells = missing_at_peer
            .iter()
            .flat_map(|(origin, version)| self.table.cells_above(now, *origin, *version))
            .collect();
        let (pages, oversized) = paginate(cells, MAX_BODY_BYTES);
        let more = pages.len() > self.settings.repair_datagrams || oversized > 0;
        for page in pages.into_iter().take(self.settings.repair_datagrams) {
            self.send(member, &Body::Cells(page), effects);
        }
        if more {
            self.send(member, &Body::ExchangeNeeded, effects);
        }
    }

    /// Requests the driver to open an exchange, unless it was requested to within the last `exchange_apart`
    /// milliseconds.
    pub(super) fn request_exchange(&mut self, now: u64, sender: Sender, effects: &mut Vec<Effect>) {
        let Some(member) = self.active_sender(sender) else { return };
        if now >= self.next_exchange_at {
            self.next_exchange_at = now + self.settings.exchange_apart;
            self.counters.exchanges_requested += 1;
            effects.push(Effect::OpenExchange { peer: member.id, to: member.address });
        }
    }
}
