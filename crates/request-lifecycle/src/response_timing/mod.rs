//! Time limits of a server's response, from the end of its request to the end of its last event.
//!
//! [`ResponseTiming`] owns these limits; the engine reports the bytes of the head and of the body before the first event, the
//! core those of the events that follow. It has no clock: every input states its time, and [`ResponseTiming::limit`] states
//! when the response has to be ended if nothing else is reported.
//!
//! - Before the first event only a pause ends a response. How long it may take in total is the deadline of its attempt, which
//!   the core owns.
//! - Between two events a client waits a limited time. Bytes that readers of a stream ignore do not extend it.
//! - What frames the data is no part of an event: a size line, a line end or a trailer section has a time of its own, which
//!   its bytes do not extend.
//! - A server that is writing an event has not written its last one, so each byte of the event extends the wait, up to the
//!   maximum duration of one event.
//! - The time during which the gateway does not read, because the client is slow, counts for none of these.

mod limits;
mod planted_faults;
mod progress;

use std::fmt::Debug;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::limits::{Activity, OnPause, ResponseLimits};
#[cfg(not(feature = "mutants"))]
use self::planted_faults::Fault;
#[cfg(feature = "mutants")]
pub use self::planted_faults::Fault;
pub use self::progress::{Expiry, Limit, Progress};

/// A point in time of the driver's clock. A difference is only computed with the later time first.
pub trait Timestamp: Copy + Ord + Debug + Add<Duration, Output = Self> + Sub<Output = Duration> {}

impl<T: Copy + Ord + Debug + Add<Duration, Output = T> + Sub<Output = Duration>> Timestamp for T {}

/// Something that is being written: an event, or a chunk of which only the complete size line has been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Writing<T> {
    began: T,
    last_byte: T,
}

impl<T: Timestamp> Writing<T> {
    /// Returns the state after one more byte at `now`.
    fn extended(writing: Option<Self>, now: T) -> Self {
        Writing { began: writing.map_or(now, |writing| writing.began), last_byte: now }
    }

    fn shifted(self, by: Duration) -> Self {
        Writing { began: self.began + by, last_byte: self.last_byte + by }
    }

    fn limit(&self, limits: &ResponseLimits, is_bounded: bool) -> Limit<T> {
        let stalled = Limit { at: self.last_byte + limits.event_interval, reason: Expiry::EventStalled };
        let too_long = Limit { at: self.began + limits.event_duration, reason: Expiry::EventTooLong };
        if is_bounded && too_long.at < stalled.at {
            too_long
        } else {
            stalled
        }
    }
}

/// What has been received behind the last data of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
enum Framing<T> {
    /// Nothing, or a line end.
    Complete,
    /// A part of a size line, a line end or a trailer section; has the time of its first byte.
    Incomplete { began: T },
    /// A complete size line, so that it is not known whether the data that follows belongs to an event.
    ChunkBegun(Writing<T>),
}

impl<T: Timestamp> Framing<T> {
    fn shifted(self, by: Duration) -> Self {
        match self {
            Framing::Complete => Framing::Complete,
            Framing::Incomplete { began } => Framing::Incomplete { began: began + by },
            Framing::ChunkBegun(chunk) => Framing::ChunkBegun(chunk.shifted(by)),
        }
    }

    fn chunk(self) -> Option<Writing<T>> {
        match self {
            Framing::ChunkBegun(chunk) => Some(chunk),
            Framing::Complete | Framing::Incomplete { .. } => None,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
enum Stage<T> {
    /// No byte of a final head has been received.
    AwaitingHead,
    /// A part of the head has been received.
    Head { last_byte: T },
    /// The head has been received, and neither an event nor the end of a short body.
    Body { last_byte: T },
    /// An event has been received.
    Events {
        last_event: T,
        /// Event of which a part has been received.
        event: Option<Writing<T>>,
        framing: Framing<T>,
    },
}

/// State machine of the time limits of one response.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ResponseTiming<T> {
    limits: ResponseLimits,
    stage: Stage<T>,
    /// When reading was suspended; `None` while the response is read.
    suspended_at: Option<T>,
    #[cfg(feature = "mutants")]
    fault: Option<Fault>,
}

impl<T: Timestamp> ResponseTiming<T> {
    /// Creates the machine of a response of which nothing has been received.
    pub fn new(limits: ResponseLimits) -> Self {
        Self::at(Stage::AwaitingHead, limits)
    }

    /// Creates the machine of a stream that another process has read so far, which received its last event at `last_event`.
    pub fn resumed(limits: ResponseLimits, last_event: T) -> Self {
        Self::at(Stage::Events { last_event, event: None, framing: Framing::Complete }, limits)
    }

    fn at(stage: Stage<T>, limits: ResponseLimits) -> Self {
        ResponseTiming {
            limits,
            stage,
            suspended_at: None,
            #[cfg(feature = "mutants")]
            fault: None,
        }
    }

    /// Replaces the limits; what was observed so far counts under the new ones.
    pub fn set_limits(&mut self, limits: ResponseLimits) {
        self.limits = limits;
    }

    /// Returns when the last event was received; `None` before the first one.
    pub fn last_event(&self) -> Option<T> {
        match self.stage {
            Stage::Events { last_event, .. } => Some(last_event),
            _ => None,
        }
    }

    /// Returns the limit that applies if nothing else is reported; `None` if only the deadline of the attempt applies.
    pub fn limit(&self) -> Option<Limit<T>> {
        if self.suspended_at.is_some() && !self.has_fault(Fault::CountsSuspension) {
            return None;
        }
        let paused = |last_byte: T, reason| {
            let at = last_byte + self.limits.pause?;
            Some(Limit { at, reason })
        };
        match self.stage {
            Stage::AwaitingHead => None,
            Stage::Head { last_byte } => paused(last_byte, Expiry::HeadStalled),
            Stage::Body { last_byte } => paused(last_byte, Expiry::BodyStalled),
            Stage::Events { last_event, event, framing: Framing::Incomplete { began } } => {
                let last_byte = event.map_or(last_event, |event| event.last_byte);
                let pause_end = last_byte + self.limits.min_framing_wait;
                let at = pause_end.max(began + self.limits.framing_duration);
                Some(Limit { at, reason: Expiry::FramingOverdue })
            }
            Stage::Events { last_event, event, framing } => {
                let overdue =
                    Limit { at: last_event + self.limits.event_interval, reason: Expiry::EventOverdue };
                let is_bounded = !self.has_fault(Fault::UnboundedEvent);
                let writing = [event, framing.chunk()].into_iter().flatten();
                let limits = writing.map(|writing| writing.limit(&self.limits, is_bounded));
                limits.chain([overdue]).max_by_key(|limit| limit.at)
            }
        }
    }

    /// Returns why the response has to be ended at `now`; `None` if it may go on.
    pub fn expired(&self, now: T) -> Option<Expiry> {
        self.limit().filter(|limit| limit.at <= now).map(|limit| limit.reason)
    }

    /// Processes what was observed at `now`.
    pub fn observe(&mut self, progress: Progress, now: T) {
        match progress {
            Progress::ReadingSuspended => self.suspended_at = Some(now),
            Progress::ReadingResumed => self.resume_reading(now),
            Progress::EventComplete => {
                self.stage = Stage::Events { last_event: now, event: None, framing: Framing::Complete };
            }
            _ => self.stage = self.stage_after(progress, now),
        }
    }

    /// Returns the stage after bytes that complete no event.
    fn stage_after(&self, progress: Progress, now: T) -> Stage<T> {
        match (self.stage, progress) {
            (Stage::AwaitingHead | Stage::Head { .. }, Progress::HeadBytes) => {
                Stage::Head { last_byte: self.head_byte_at(now) }
            }
            (Stage::AwaitingHead | Stage::Head { .. }, Progress::InterimHead) => Stage::AwaitingHead,
            (Stage::AwaitingHead | Stage::Head { .. }, _) | (Stage::Body { .. }, _) => {
                Stage::Body { last_byte: now }
            }
            (Stage::Events { last_event, event, framing }, _) => {
                let is_ignored = matches!(progress, Progress::IgnoredBytes | Progress::OtherBytes);
                let is_activity = is_ignored && self.limits.activity == Activity::AnyBytes;
                let last_event = if is_activity { now } else { last_event };
                self.events_after(progress, last_event, event, framing, now)
            }
        }
    }

    fn head_byte_at(&self, now: T) -> T {
        match self.stage {
            Stage::Head { last_byte } if self.has_fault(Fault::CountsHeadFromItsBegin) => last_byte,
            _ => now,
        }
    }

    fn events_after(
        &self, progress: Progress, last_event: T, event: Option<Writing<T>>, framing: Framing<T>, now: T,
    ) -> Stage<T> {
        let behind_data = |event| Stage::Events { last_event, event, framing: Framing::Complete };
        match progress {
            Progress::EventBytes if self.has_fault(Fault::IgnoresEventBytes) => self.stage,
            Progress::EventBytes => {
                // The chunk's size line belongs to the event that it turned out to carry.
                behind_data(Some(Writing::extended(event.or(framing.chunk()), now)))
            }
            Progress::FramingBytes => {
                let framing = Framing::Incomplete { began: self.framing_began(framing, now) };
                Stage::Events { last_event, event, framing }
            }
            Progress::FramingComplete if self.has_fault(Fault::KeepsFraming) => self.stage,
            Progress::FramingComplete => behind_data(event),
            Progress::ChunkBegun => {
                let chunk = Writing::extended(framing.chunk().or(event), now);
                Stage::Events { last_event, event, framing: Framing::ChunkBegun(chunk) }
            }
            Progress::IgnoredBytes if self.has_fault(Fault::CountsIgnoredBytes) => {
                Stage::Events { last_event: now, event: None, framing: Framing::Complete }
            }
            Progress::IgnoredBytes => behind_data(None),
            _ if self.has_fault(Fault::KeepsChunkOfComment) => self.stage,
            _ => behind_data(event),
        }
    }

    /// Returns when the framing began of which bytes were received at `now`.
    fn framing_began(&self, framing: Framing<T>, now: T) -> T {
        match framing {
            Framing::Incomplete { began } if !self.has_fault(Fault::ExtendsFraming) => began,
            _ => now,
        }
    }

    /// Moves all times by the time for which nothing was read.
    fn resume_reading(&mut self, now: T) {
        let Some(suspended_at) = self.suspended_at.take() else { return };
        if self.has_fault(Fault::CountsSuspension) {
            return;
        }
        let by = now - suspended_at;
        self.stage = match self.stage {
            Stage::AwaitingHead => Stage::AwaitingHead,
            Stage::Head { last_byte } => Stage::Head { last_byte: last_byte + by },
            Stage::Body { last_byte } => Stage::Body { last_byte: last_byte + by },
            Stage::Events { last_event, event, framing } => Stage::Events {
                last_event: last_event + by,
                event: event.map(|event| event.shifted(by)),
                framing: framing.shifted(by),
            },
        };
    }
}

#[cfg(test)]
mod tests;
