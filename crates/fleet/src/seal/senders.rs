//! Replay windows: the newest incarnation and the counters of every known sender, up to a maximum number of senders.
//!
//! They do not expire by age: a datagram that was recorded long ago must not be accepted because its sender has sent
//! nothing since. Owned by the [`super::Sealer`]; times are milliseconds on the caller's clock.

use std::collections::BTreeMap;

use super::{Channel, CounterStatus, Window};
use crate::{Incarnation, MemberId, Rejection};

/// State of one sender.
struct SenderState {
    incarnation: Incarnation,
    /// Indexed by [`Channel`].
    windows: [Window; 2],
    /// Time of the last authenticated message of this incarnation.
    last_message_at: u64,
}

/// Replay windows of all senders.
pub(super) struct SenderWindows {
    max_senders: usize,
    by_id: BTreeMap<MemberId, SenderState>,
}

impl SenderWindows {
    /// Creates empty windows for at most `max_senders` senders.
    pub(super) fn new(max_senders: usize) -> SenderWindows {
        SenderWindows { max_senders, by_id: BTreeMap::new() }
    }

    /// Accepts a counter of the sender's newest incarnation once. A later incarnation replaces the sender's windows.
    pub(super) fn accept(
        &mut self, from: MemberId, incarnation: Incarnation, channel: Channel, counter: u64, now: u64,
    ) -> Result<(), Rejection> {
        if self.by_id.len() >= self.max_senders && !self.by_id.contains_key(&from) {
            // Evicts the sender whose last message is the oldest.
            if let Some(oldest) =
                self.by_id.iter().min_by_key(|(_, sender)| sender.last_message_at).map(|(id, _)| *id)
            {
                self.by_id.remove(&oldest);
            }
        }
        let new_sender =
            |incarnation| SenderState { incarnation, windows: Default::default(), last_message_at: now };
        let sender = self.by_id.entry(from).or_insert_with(|| new_sender(incarnation));
        if incarnation < sender.incarnation {
            return Err(Rejection::OldIncarnation { from, incarnation });
        }
        if incarnation > sender.incarnation {
            *sender = new_sender(incarnation);
        }
        sender.last_message_at = now;
        match sender.windows[channel as usize].accept(counter) {
            CounterStatus::New => Ok(()),
            CounterStatus::Duplicate => Err(Rejection::Replayed { from, counter }),
            CounterStatus::TooOld => Err(Rejection::Stale { from, counter }),
        }
    }
}
