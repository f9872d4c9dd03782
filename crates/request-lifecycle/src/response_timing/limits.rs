//! Values of the limits for each kind of server and response.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Maximum pause in the head or body of a response before its first event, if the request can be sent elsewhere.
const RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Maximum time between two events of the platform's servers. It is less than the 5 s within which the platform's rules
/// require the client's connection to end. It is close to that limit because a decode server that has queued the request
/// again may still continue the stream.
const PLATFORM_EVENT_INTERVAL: Duration = Duration::from_millis(4_600);

/// Maximum time for which one event may be written; no client of the platform waits longer for a whole response to begin.
const PLATFORM_EVENT_DURATION: Duration = Duration::from_secs(60);

/// Maximum time from the first to the last byte of a size line, a line end or a trailer section. It is less than the 5 s
/// within which the connection of a client has to end if that byte never comes.
const FRAMING_DURATION: Duration = Duration::from_secs(4);

/// What extends the wait of a client between two events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Activity {
    /// Events only.
    Events,
    /// Any bytes: servers of public APIs send comments to keep a stream alive.
    AnyBytes,
}

/// What the gateway can do about a response that pauses before its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum OnPause {
    /// The request may be sent to another server in the time that is left.
    Retry,
    /// The request may not be sent again, so the response is awaited until the attempt's deadline.
    Wait,
}

/// Time limits of one response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ResponseLimits {
    /// Maximum pause before the first event, or before the end of a response that is not a stream; `None` if only the deadline
    /// of the attempt limits it.
    pub pause: Option<Duration>,
    /// Maximum time between two events, and between two bytes of one event.
    pub event_interval: Duration,
    /// Maximum time from the first to the last byte of one event.
    pub event_duration: Duration,
    /// Maximum time from the first to the last byte of what frames the data: a size line, a line end or a trailer section.
    pub framing_duration: Duration,
    /// Minimum time since the last byte of an event after which incomplete framing ends a response.
    pub min_framing_wait: Duration,
    /// What extends the time between two events.
    pub activity: Activity,
}

impl ResponseLimits {
    /// Returns the limits of a response of the platform's servers.
    pub fn platform(on_pause: OnPause) -> Self {
        ResponseLimits {
            pause: (on_pause == OnPause::Retry).then_some(RETRY_PAUSE),
            event_interval: PLATFORM_EVENT_INTERVAL,
            event_duration: PLATFORM_EVENT_DURATION,
            framing_duration: FRAMING_DURATION,
            min_framing_wait: PLATFORM_EVENT_INTERVAL,
            activity: Activity::Events,
        }
    }

    /// Returns the limits of a response of a public API, whose stream may be silent for `max_silence`.
    pub fn public_api(max_silence: Duration) -> Self {
        ResponseLimits {
            pause: None,
            event_interval: max_silence,
            event_duration: max_silence,
            framing_duration: FRAMING_DURATION,
            min_framing_wait: PLATFORM_EVENT_INTERVAL,
            activity: Activity::AnyBytes,
        }
    }

    /// Returns the same limits without one for pauses before the first event.
    pub fn without_pause_limit(self) -> Self {
        ResponseLimits { pause: None, ..self }
    }
}
