//! The anti-entropy exchange of two members over a stream.
//!
//! The opener sends its digests. The acceptor responds with the cells that the opener lacks, followed by its own
//! digests. The opener finishes with the cells that the acceptor lacks.
//!
//! A frame consists of its length (four bytes, little-endian, at most [`MAX_FRAME_BYTES`]) and a sealed body. The
//! driver owns the stream and its time limit; an [`Exchange`] buffers the bytes of an incomplete frame.

use super::{Effect, Fleet};
use crate::rejection::Rejection;
use crate::seal::{Channel, SEAL_OVERHEAD_BYTES};
use crate::table::{Cell, Digest};
use crate::wire::{paginate, Body, MAX_FRAME_BYTES};
use crate::{Incarnation, MemberId};

/// Why an exchange was aborted. Cells received before the error stay merged; the next exchange delivers the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// The member to open an exchange with is not active, or this member has left.
    #[error("cannot open an exchange with {peer:?}: not an active member here")]
    NotAMember {
        /// The requested member.
        peer: MemberId,
    },
    /// The length of a frame exceeds its maximum.
    #[error("frame of {bytes} bytes exceeds the maximum of {max_bytes}")]
    TooLong {
        /// Length that the frame announces.
        bytes: usize,
        /// Maximum length, [`MAX_FRAME_BYTES`].
        max_bytes: usize,
    },
    /// The peer sent more bytes in one exchange than a full table can need.
    #[error("{bytes} bytes received in one exchange exceed the maximum of {max_bytes}")]
    TooManyBytes {
        /// Bytes received so far.
        bytes: usize,
        /// Maximum for one exchange.
        max_bytes: usize,
    },
    /// A frame was rejected.
    #[error("frame rejected: {0}")]
    Rejection(#[from] Rejection),
    /// A frame is not expected at this stage of the exchange, names no recipient, or was not sealed by the
    /// peer.
    #[error("member {peer:?} sent a frame that is not expected at this stage of the exchange")]
    OutOfTurn {
        /// The member that sealed the frame.
        peer: MemberId,
    },
}

impl ExchangeError {
    /// Advice to the operator.
    pub fn advice(&self) -> &'static str {
        match self {
            ExchangeError::NotAMember { .. } => {
                "nothing, if it happens once: the member has gone; else look at it"
            }
            ExchangeError::TooLong { .. } | ExchangeError::TooManyBytes { .. } => {
                "give all members the same bounds in [fleet]; if they have, something else speaks on the port"
            }
            ExchangeError::Rejection(rejection) => rejection.advice(),
            ExchangeError::OutOfTurn { .. } => "bring the fleet to one build; if it is, report it",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The acceptor waits for [`Body::ExchangeOpen`].
    AwaitOpen,
    /// Waits for cells and [`Body::ExchangeDone`] of the peer. The opener responds to the latter with cells.
    AwaitDone { opener: bool },
    /// Finished or aborted.
    Finished,
}

/// This member's side of one exchange. `peer` is `None` at the acceptor until the first frame is authenticated.
pub struct Exchange {
    peer: Option<(MemberId, Incarnation)>,
    stage: Stage,
    buffer: Vec<u8>,
    received_bytes: usize,
}

/// Instructions to the driver for the stream of an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExchangeStep {
    /// Bytes to write; may be empty.
    pub write: Vec<u8>,
    /// Whether to close the stream after writing.
    pub is_finished: bool,
}

impl Exchange {
    /// Creates the exchange of the member that accepted a stream.
    pub fn accept() -> Exchange {
        Exchange { peer: None, stage: Stage::AwaitOpen, buffer: Vec::new(), received_bytes: 0 }
    }

    /// Removes the first frame from the buffer, if it is complete.
    fn next_frame(&mut self) -> Result<Option<Vec<u8>>, ExchangeError> {
        let Some((length, rest)) = self.buffer.split_first_chunk::<4>() else { return Ok(None) };
        let bytes = u32::from_le_bytes(*length) as usize;
        if bytes > MAX_FRAME_BYTES {
            return Err(ExchangeError::TooLong { bytes, max_bytes: MAX_FRAME_BYTES });
        }
        if rest.len() < bytes {
            return Ok(None);
        }
        let frame = rest[..bytes].to_vec();
        self.buffer.drain(..4 + bytes);
        Ok(Some(frame))
    }
}

impl Fleet {
    /// Creates the exchange of the member that opened a stream after [`Effect::OpenExchange`]. Also returns the first
    /// bytes to write.
    pub fn open_exchange(&mut self, peer: MemberId) -> Result<(Exchange, Vec<u8>), ExchangeError> {
        let active = self.membership.get(peer).filter(|(_, state)| state.is_active() && !self.has_left);
        let member = *active.ok_or(ExchangeError::NotAMember { peer })?.0;
        let to = (member.id, member.incarnation);
        let mut write = Vec::new();
        let digests = self.all_digests();
        self.write_frame(to, &Body::ExchangeOpen(digests), &mut write);
        let stage = Stage::AwaitDone { opener: true };
        Ok((Exchange { peer: Some(to), stage, buffer: Vec::new(), received_bytes: 0 }, write))
    }

    /// Handles bytes that were read from the stream. The driver must close the stream after an error.
    pub fn handle_exchange_bytes(
        &mut self, now: u64, exchange: &mut Exchange, bytes: &[u8], effects: &mut Vec<Effect>,
    ) -> Result<ExchangeStep, ExchangeError> {
        let max_bytes = self.settings.bytes_total * 2 + MAX_FRAME_BYTES;
        self.counters.bytes_in += bytes.len() as u64;
        exchange.received_bytes = exchange.received_bytes.saturating_add(bytes.len());
        if exchange.received_bytes > max_bytes {
            exchange.stage = Stage::Finished;
            return Err(ExchangeError::TooManyBytes { bytes: exchange.received_bytes, max_bytes });
        }
        exchange.buffer.extend_from_slice(bytes);
        let mut write = Vec::new();
        while exchange.stage != Stage::Finished {
            let stepped = match exchange.next_frame() {
                Ok(Some(frame)) => self.handle_frame(now, exchange, &frame, &mut write, effects),
                Ok(None) => break,
                Err(error) => Err(error),
            };
            if let Err(error) = stepped {
                exchange.stage = Stage::Finished;
                if let ExchangeError::Rejection(rejection) = error {
                    self.reject(rejection, effects);
                }
                return Err(error);
            }
        }
        Ok(ExchangeStep { write, is_finished: exchange.stage == Stage::Finished })
    }

    fn handle_frame(
        &mut self, now: u64, exchange: &mut Exchange, frame: &[u8], write: &mut Vec<u8>,
        effects: &mut Vec<Effect>,
    ) -> Result<(), ExchangeError> {
        if self.has_left {
            return Err(Rejection::Left.into());
        }
        let (sender, body) = self.sealer.open(Channel::Frame, now, frame)?;
        let from = (sender.id, sender.incarnation);
        let out_of_turn = ExchangeError::OutOfTurn { peer: sender.id };
        if !sender.addressed || exchange.peer.is_some_and(|peer| peer != from) {
            return Err(out_of_turn);
        }
        exchange.peer = Some(from);
        self.counters.by_second_key += u64::from(sender.by_second_key);
        let body = Body::parse(body).ok_or(Rejection::Malformed { from: sender.id })?;
        match (exchange.stage, body) {
            (Stage::AwaitOpen, Body::ExchangeOpen(remote_digests)) => {
                self.write_missing_cells(now, from, &remote_digests, write);
                let digests = self.all_digests();
                self.write_frame(from, &Body::ExchangeDone(digests), write);
                exchange.stage = Stage::AwaitDone { opener: false };
            }
            (Stage::AwaitDone { .. }, Body::Cells(cells)) => self.merge_cells(now, &cells, effects),
            (Stage::AwaitDone { opener: true }, Body::ExchangeDone(remote_digests)) => {
                self.write_missing_cells(now, from, &remote_digests, write);
                self.write_frame(from, &Body::ExchangeDone(Vec::new()), write);
                exchange.stage = Stage::Finished;
            }
            (Stage::AwaitDone { opener: false }, Body::ExchangeDone(_)) => exchange.stage = Stage::Finished,
            _ => return Err(out_of_turn),
        }
        Ok(())
    }

    pub(super) fn all_digests(&self) -> Vec<Digest> {
        self.table.digests(MemberId(0), MemberId(u64::MAX))
    }

    /// Appends frames with the cells that the peer lacks according to its digests.
    fn write_missing_cells(
        &mut self, now: u64, to: (MemberId, Incarnation), remote_digests: &[Digest], write: &mut Vec<u8>,
    ) {
        let mut missing_at_peer = self.missing_at_peer(remote_digests);
        let unknown = |digest: &&Digest| remote_digests.iter().all(|known| known.origin != digest.origin);
        missing_at_peer.extend(self.all_digests().iter().filter(unknown).map(|digest| (digest.origin, 0)));
        let missing_cells =
            |(origin, version): &(MemberId, u64)| self.table.cells_above(now, *origin, *version);
        let cells: Vec<Cell> = missing_at_peer.iter().flat_map(missing_cells).collect();
        // Every cell fits into a frame: the upper bounds of `key_bytes` and `value_bytes` ensure it.
        let (pages, _) = paginate(cells, MAX_FRAME_BYTES - SEAL_OVERHEAD_BYTES);
        for page in pages {
            self.write_frame(to, &Body::Cells(page), write);
        }
    }

    /// Appends one sealed frame.
    pub(super) fn write_frame(&mut self, to: (MemberId, Incarnation), body: &Body, write: &mut Vec<u8>) {
        let sealed = self.sealer.seal(Channel::Frame, Some(to), &body.to_bytes());
        self.counters.bytes_out += sealed.len() as u64 + 4;
        write.extend((sealed.len() as u32).to_le_bytes());
        write.extend(sealed);
    }
}
