//! The rules on answers that come slowly, judged from outside: by what servers have written and what clients have received.

use std::fmt;

use super::pace::{Pace, Part};
use super::server::{WrittenAnswer, WrittenPiece};
use crate::clock::{Micros, MILLISECOND};

/// Time after a server's last event by which its client's connection has to end.
const WAIT_LIMIT: Micros = 5_000 * MILLISECOND;
/// Minimum time without a byte of an event after which a stream may be ended.
const MIN_WAIT: Micros = 4_500 * MILLISECOND;
/// Time within which the end of a stream has to be forwarded.
const END_LIMIT: Micros = 1_000 * MILLISECOND;
/// Time within which an event has to be forwarded.
const EVENT_LIMIT: Micros = 300 * MILLISECOND;
/// Tolerance of a final response over the deadline.
const ANSWER_SLACK: Micros = 500 * MILLISECOND;
/// Tolerance for the scheduling of the run itself.
const RUN_SLACK: Micros = 100 * MILLISECOND;

/// A rule on answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A stream is not cut while its server writes an event.
    NotCutWhileWriting,
    /// A client does not wait for 5 s after the last event.
    NotLeftWaiting,
    /// A stream that its server has finished is forwarded to its end, within a second.
    FinishedIsForwarded,
    /// A stream that is not whole does not end with the last chunk.
    NoFalseEnd,
    /// A client's connection ends within 5 s of what is malformed, whatever its server goes on with.
    MalformedEndsInTime,
    /// A final response comes by half a second after the deadline.
    AnsweredInTime,
    /// A request that may not be repeated does not fail because its answer begins slowly.
    SlowIsNoFailure,
    /// Each event is forwarded within 0.3 s.
    EventsAsTheyCome,
}

/// Breach of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub rule: Rule,
    pub request: String,
    pub pace: Option<Pace>,
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: request {} ({:?}): {}", self.rule, self.request, self.pace, self.detail)
    }
}

/// What a client received of one request.
#[derive(Clone, Debug)]
pub struct ReceivedAnswer {
    pub request: String,
    pub repeatable: bool,
    /// When the last byte of the request was written.
    pub sent: Micros,
    pub deadline: Micros,
    /// `None` if the connection ended without a response.
    pub status: Option<u16>,
    /// Whether the last chunk, or the whole body, was received.
    pub complete: bool,
    /// When each event was received.
    pub events: Vec<Micros>,
    pub ended: Micros,
    /// How a shutdown of the gateway concerns the request.
    pub shutdown: Shutdown,
}

/// How the shutdown of a gateway's process concerns a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Shutdown {
    /// The process was sent SIGTERM before the request had ended.
    pub was_terminated: bool,
    /// The process was killed when the request ended.
    pub ended_by_kill: bool,
}

fn millis(from: Micros, to: Micros) -> u64 {
    to.saturating_sub(from) / MILLISECOND
}

/// Returns the rules that the answer to a request breaks; `written` are the answers of decode servers to its attempts.
pub fn judge(received: &ReceivedAnswer, written: &[WrittenAnswer]) -> Vec<Violation> {
    let pace = written.last().map(|answer| answer.pace);
    let broken = match (received.status, written.last()) {
        _ if received.shutdown.ended_by_kill => None,
        (Some(200), Some(answer)) if received.complete => judge_complete(received, answer),
        (Some(200), Some(answer)) => match answer.malformed() {
            Some(malformed) => judge_malformed(received, malformed),
            None => judge_cut(received, answer),
        },
        (Some(200), None) => Some((Rule::NoFalseEnd, "no server has answered it".to_string())),
        (status, _) => {
            let is_malformed = written.iter().any(|answer| answer.malformed().is_some());
            judge_final_response(received, status, is_malformed)
        }
    };
    let held_back = written.last().and_then(|answer| judge_events(received, answer));
    let violation = |(rule, detail)| Violation { rule, request: received.request.clone(), pace, detail };
    broken.into_iter().chain(held_back).map(violation).collect()
}

fn judge_complete(received: &ReceivedAnswer, answer: &WrittenAnswer) -> Option<(Rule, String)> {
    let Some(finished) = answer.last(Micros::MAX, &[Part::End]).map(|piece| piece.after) else {
        return Some((Rule::NoFalseEnd, "it ended with the last chunk".to_string()));
    };
    let is_late = received.ended > finished + END_LIMIT + RUN_SLACK;
    is_late.then(|| {
        (Rule::FinishedIsForwarded, format!("its end came after {} ms", millis(finished, received.ended)))
    })
}

fn judge_cut(received: &ReceivedAnswer, answer: &WrittenAnswer) -> Option<(Rule, String)> {
    let ended = received.ended;
    if answer.last(ended.saturating_sub(RUN_SLACK), &[Part::End]).is_some() {
        return Some((Rule::FinishedIsForwarded, "it was cut after its server had finished".to_string()));
    }
    let last_byte = answer.last(ended, &[Part::EventBegun, Part::EventComplete])?;
    let since_write_began = millis(last_byte.before, ended);
    if since_write_began < MIN_WAIT / MILLISECOND {
        let detail = format!("cut {since_write_began} ms after the last byte of an event");
        return Some((Rule::NotCutWhileWriting, detail));
    }
    let waited = millis(last_byte.after, ended);
    let is_late = waited > (WAIT_LIMIT + RUN_SLACK) / MILLISECOND;
    is_late.then(|| (Rule::NotLeftWaiting, format!("ended {waited} ms after the last byte of an event")))
}

fn judge_malformed(received: &ReceivedAnswer, malformed: WrittenPiece) -> Option<(Rule, String)> {
    let waited = millis(malformed.after, received.ended);
    let is_late = waited > (WAIT_LIMIT + RUN_SLACK) / MILLISECOND;
    is_late.then(|| (Rule::MalformedEndsInTime, format!("ended {waited} ms after the malformed bytes")))
}

/// Judges a response that is no stream; `is_malformed` states whether a server's answer to it was malformed.
fn judge_final_response(
    received: &ReceivedAnswer, status: Option<u16>, is_malformed: bool,
) -> Option<(Rule, String)> {
    let due = received.sent + received.deadline;
    if received.ended > due + ANSWER_SLACK + RUN_SLACK {
        let late = millis(due, received.ended);
        return Some((Rule::AnsweredInTime, format!("{status:?} came {late} ms after the deadline")));
    }
    if received.shutdown.was_terminated {
        return None;
    }
    let fails_early = status == Some(502) && !received.repeatable && !is_malformed;
    match status {
        None => Some((Rule::AnsweredInTime, "the connection ended without a response".to_string())),
        Some(_) if fails_early => {
            Some((Rule::SlowIsNoFailure, format!("502 after {} ms", millis(received.sent, received.ended))))
        }
        Some(_) => None,
    }
}

fn judge_events(received: &ReceivedAnswer, answer: &WrittenAnswer) -> Option<(Rule, String)> {
    let written = answer.pieces.iter().filter(|piece| piece.part == Part::EventComplete);
    let held_back =
        written.zip(&received.events).map(|(piece, received)| millis(piece.after, *received)).max();
    held_back
        .filter(|held_back| *held_back > (EVENT_LIMIT + RUN_SLACK) / MILLISECOND)
        .map(|held_back| (Rule::EventsAsTheyCome, format!("an event came after {held_back} ms")))
}
