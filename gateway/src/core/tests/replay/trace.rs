//! Recorded traces of one request, and the calls and outcomes expected from them.

use std::path::Path;

use serde::Deserialize;

use super::super::super::effects::router_status;
use super::*;

#[derive(Debug, PartialEq)]
pub(super) struct RecordedOutcome {
    pub(super) attempt: u32,
    pub(super) status: AttemptStatus,
    pub(super) closed: bool,
}

/// The first line of a trace.
#[derive(Deserialize)]
pub(super) struct TraceHead {
    pub(super) world: String,
    #[serde(default)]
    pub(super) readers: u64,
    #[serde(default)]
    pub(super) writers: u64,
    pub(super) repeat: Option<RetrySafety>,
    #[serde(default)]
    pub(super) cancel: bool,
}

/// Any later line of a trace.
#[derive(Deserialize)]
struct TraceLine {
    #[serde(default)]
    fed: Vec<(Input, Vec<Effect>)>,
}

/// A trace of one request: each input of its state machine with the resulting effects.
pub(super) struct Trace {
    pub(super) head: TraceHead,
    pub(super) steps: Vec<(Input, Vec<Effect>)>,
}

impl Trace {
    /// Reads the trace in this file; `None` if it is not a trace of a request.
    pub(super) fn read(path: &Path) -> Option<Trace> {
        let text = std::fs::read_to_string(path).expect("a trace");
        let mut lines = text.lines();
        let head: TraceHead = serde_json::from_str(lines.next().expect("a head")).expect("a head");
        if head.world != "request" {
            return None;
        }
        let parse = |line| serde_json::from_str::<TraceLine>(line).expect("a line");
        Some(Trace { head, steps: lines.flat_map(|line| parse(line).fed).collect() })
    }

    pub(super) fn effects(&self) -> impl Iterator<Item = Effect> + '_ {
        self.steps.iter().flat_map(|(_, effects)| effects.iter().copied())
    }

    /// Returns the numbers of the attempts that time out.
    pub(super) fn timed_out(&self) -> Vec<usize> {
        let timed_out = |input: &Input| match input {
            Input::TimedOut { attempt } => Some(*attempt),
            _ => None,
        };
        self.steps.iter().filter_map(|(input, _)| timed_out(input)).collect()
    }

    pub(super) fn calls(&self) -> Vec<StartedCall> {
        let call = |effect| match effect {
            Effect::StartAttempt { .. } => Some(StartedCall::Attempt),
            Effect::Release { .. } => Some(StartedCall::Release),
            Effect::RequestSlot { .. } => Some(StartedCall::SlotRequest),
            _ => None,
        };
        self.effects().filter_map(call).collect()
    }

    pub(super) fn outcomes(&self) -> Vec<RecordedOutcome> {
        let outcome = |effect| match effect {
            Effect::NotifyOutcome { attempt, status, closed } => {
                Some(RecordedOutcome { attempt: attempt as u32, status: router_status(status), closed })
            }
            _ => None,
        };
        self.effects().filter_map(outcome).collect()
    }

    pub(super) fn final_response(&self) -> Option<FinalResponse> {
        self.effects().find_map(|effect| match effect {
            Effect::Respond(response) => Some(response),
            _ => None,
        })
    }
}
