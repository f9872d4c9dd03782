//! Answers of servers at random paces: heads, events and comments in pieces, pauses, reports that come late, and streams without
//! an end.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::Rng;

use super::framing::{self, SoundFraming};

/// Pauses between two pieces of one head, event or comment, and between two events of an ordinary answer.
const PIECE_PAUSE_MS: std::ops::Range<u64> = 100..1_500;
const LONG_PIECE_PAUSE_MS: std::ops::Range<u64> = 1_500..4_200;
const EVENT_PAUSE_MS: std::ops::Range<u64> = 10..300;
const LONG_EVENT_PAUSE_MS: std::ops::Range<u64> = 500..10_000;
/// Pauses between two events in an unusual framing.
const FRAMED_PAUSE_MS: std::ops::Range<u64> = 20..1_500;
const COMMENT_PAUSE_MS: std::ops::Range<u64> = 200..3_000;
const LATE_REPORT_MS: std::ops::Range<u64> = 500..4_000;
/// Time for which a server that has stopped keeps its connection.
const STOP: Duration = Duration::from_secs(11);
const MAX_EVENTS: usize = 8;
const MAX_PIECES: usize = 9;

const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
const PREFILLED: &str =
    "HTTP/1.1 202 Accepted\r\ncontent-length: 19\r\nsrv-load: TEXT inflight=1, x0=0.1\r\n\r\n{\"cached_tokens\":0}";
const DECLINED: &str = "HTTP/1.1 503 Full\r\nsrv-declined: 1\r\ncontent-length: 4\r\n\r\nfull";
const COMMENT: &str = ": comment\n\n";
const REPORT: &str = ": Srv-Load: TEXT inflight=1, x0=0.1\n\n";
const DONE: &str = "data: [DONE]\n\n";
const LAST_CHUNK: &str = "0\r\n\r\n";

/// What a piece of an answer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// A head, or a body that is not a stream.
    Head,
    /// An event that is not complete after the piece, or the size line of its chunk.
    EventBegun,
    /// An event that is complete after the piece.
    EventComplete,
    /// What readers ignore, and the line end behind a chunk.
    Other,
    /// The last chunk, complete.
    End,
    /// What is malformed, and all that follows it.
    Malformed,
}

/// One step of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    Write(Vec<u8>, Part),
    Pause(Duration),
}

/// How the servers of one answer go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Pace {
    Ordinary,
    /// Events in pieces, also across the framing.
    Pieces,
    /// Long pauses between events.
    Pauses,
    /// Comments between events.
    Comments,
    /// After some events, comments only.
    CommentsOnly,
    /// The report comes late, and the last chunk behind it or never.
    LateReport,
    /// Stops for good between two events.
    StopsBetween,
    /// Stops for good within an event.
    StopsWithin,
    /// The head and the first event in pieces.
    SlowBegin,
    /// Declines the request in pieces.
    Declines,
    /// A sound answer in an unusual framing.
    Framing,
    /// After some events, framing that is malformed, and the server goes on.
    MalformedChunk,
    /// Malformed before the first event, and the server goes on.
    MalformedBegin,
}

const PACES: [Pace; 13] = [
    Pace::Ordinary,
    Pace::Pieces,
    Pace::Pauses,
    Pace::Comments,
    Pace::CommentsOnly,
    Pace::LateReport,
    Pace::StopsBetween,
    Pace::StopsWithin,
    Pace::SlowBegin,
    Pace::Declines,
    Pace::Framing,
    Pace::MalformedChunk,
    Pace::MalformedBegin,
];

/// Share of the answers with an ordinary pace, beside which the others are drawn evenly.
const ORDINARY_SHARE: f64 = 0.2;

/// Draws the pace of an answer.
pub fn draw(random: &mut StdRng) -> Pace {
    if random.random_bool(ORDINARY_SHARE) {
        return Pace::Ordinary;
    }
    PACES[random.random_range(0..PACES.len())]
}

fn pause(random: &mut StdRng, range: std::ops::Range<u64>) -> Step {
    Step::Pause(Duration::from_millis(random.random_range(range)))
}

/// Writes an answer at a pace.
pub struct Writer<'a> {
    random: &'a mut StdRng,
    steps: Vec<Step>,
}

impl<'a> Writer<'a> {
    pub fn new(random: &'a mut StdRng) -> Self {
        Writer { random, steps: Vec::new() }
    }

    /// Returns the steps of a prefill server's answer, in pieces at every fifth.
    pub fn prefill(mut self) -> Vec<Step> {
        let pieces = if self.random.random_bool(0.2) { self.random.random_range(2..6) } else { 1 };
        self.pieces(PREFILLED.as_bytes(), pieces, 50..400, |_, _| Part::Head);
        self.steps
    }

    /// Returns the steps of a decode server's answer.
    pub fn decode(mut self, pace: Pace) -> Vec<Step> {
        if pace == Pace::Declines {
            self.pieces(DECLINED.as_bytes(), 4, 100..600, |_, _| Part::Head);
            return self.steps;
        }
        if pace == Pace::MalformedBegin {
            return framing::malformed_begin(STREAM_HEAD, self.random);
        }
        if pace == Pace::Framing {
            let framing = SoundFraming::draw(self.random);
            return self.framed(framing);
        }
        let is_slow = pace == Pace::SlowBegin;
        let head_pieces = if is_slow { self.random.random_range(2..6) } else { 1 };
        self.pieces(STREAM_HEAD.as_bytes(), head_pieces, 50..500, |_, _| Part::Head);
        let event_pieces = if is_slow { self.random.random_range(2..6) } else { 1 };
        self.event(event_pieces, 50..500);
        for _ in 0..self.random.random_range(1..MAX_EVENTS) {
            self.next_event(pace);
        }
        self.ending(pace);
        self.steps
    }

    fn next_event(&mut self, pace: Pace) {
        let range = if pace == Pace::Pauses { LONG_EVENT_PAUSE_MS } else { EVENT_PAUSE_MS };
        let between = pause(self.random, range);
        self.steps.push(between);
        match pace {
            Pace::Pieces => {
                let range = if self.random.random_bool(0.2) { LONG_PIECE_PAUSE_MS } else { PIECE_PAUSE_MS };
                let pieces = self.random.random_range(1..=MAX_PIECES);
                self.event(pieces, range);
            }
            Pace::Comments => {
                self.comment(COMMENT);
                self.event(1, EVENT_PAUSE_MS);
            }
            _ => self.event(1, EVENT_PAUSE_MS),
        }
    }

    fn ending(&mut self, pace: Pace) {
        match pace {
            Pace::CommentsOnly => {
                for _ in 0..12 {
                    let is_comment = self.random.random_bool(0.5);
                    self.comment(if is_comment { COMMENT } else { "\n" });
                }
                self.steps.push(Step::Pause(STOP));
            }
            Pace::MalformedChunk => {
                let between = pause(self.random, EVENT_PAUSE_MS);
                self.steps.push(between);
                let malformed = framing::malformed_chunk(self.random);
                self.steps.extend(malformed);
            }
            Pace::StopsBetween => self.steps.push(Step::Pause(STOP)),
            Pace::StopsWithin => {
                self.steps.push(Step::Write(b"20\r\ndata: ha".to_vec(), Part::EventBegun));
                self.steps.push(Step::Pause(STOP));
            }
            Pace::LateReport => {
                self.chunk(DONE, 1, EVENT_PAUSE_MS);
                let late = pause(self.random, LATE_REPORT_MS);
                self.steps.push(late);
                self.comment(REPORT);
                if self.random.random_bool(0.5) {
                    self.steps.push(Step::Pause(STOP));
                } else {
                    self.end();
                }
            }
            _ => {
                let pieces = if pace == Pace::Pieces { self.random.random_range(1..5) } else { 1 };
                self.chunk(DONE, pieces, PIECE_PAUSE_MS);
                self.comment(REPORT);
                self.end();
            }
        }
    }

    fn end(&mut self) {
        self.steps.push(Step::Write(LAST_CHUNK.into(), Part::End));
    }

    fn event(&mut self, pieces: usize, range: std::ops::Range<u64>) {
        let length = self.random.random_range(4..400);
        self.chunk(&format!("data: {}\n\n", "x".repeat(length)), pieces, range);
    }

    /// Returns the steps of an answer in this framing.
    fn framed(mut self, framing: SoundFraming) -> Vec<Step> {
        let mut events: Vec<String> = (0..self.random.random_range(2..MAX_EVENTS))
            .map(|_| format!("data: {}\n\n", "x".repeat(self.random.random_range(4..400))))
            .collect();
        events.push(DONE.into());
        let length: usize = events.iter().map(String::len).sum();
        let is_one_chunk = framing == SoundFraming::OneChunk;
        let begin = match framing {
            SoundFraming::StatedLength => {
                STREAM_HEAD.replace("transfer-encoding: chunked", &format!("content-length: {length}"))
            }
            SoundFraming::OneChunk => format!("{STREAM_HEAD}{length:x}\r\n"),
            _ => STREAM_HEAD.into(),
        };
        self.steps.push(Step::Write(begin.into_bytes(), Part::Head));
        for event in &events {
            if is_one_chunk || framing == SoundFraming::StatedLength {
                self.steps.push(Step::Write(event.clone().into_bytes(), Part::EventComplete));
            } else {
                self.framed_chunk(framing, event);
            }
            let between = pause(self.random, FRAMED_PAUSE_MS);
            self.steps.push(between);
        }
        let end = match framing {
            SoundFraming::StatedLength => "",
            SoundFraming::OneChunk => "\r\n0\r\n\r\n",
            SoundFraming::Trailers => "0\r\nserver-timing: a;dur=1\r\nx-more: y\r\n\r\n",
            _ => LAST_CHUNK,
        };
        if framing == SoundFraming::StatedLength {
            // The body has ended with its last event.
            self.steps.pop();
        }
        self.steps.push(Step::Write(end.into(), Part::End));
        self.steps
    }

    /// Writes an event as one chunk in this framing.
    fn framed_chunk(&mut self, framing: SoundFraming, event: &str) {
        let size_line = framing.size_line(event.len(), self.random);
        if framing == SoundFraming::SlowSizeLines {
            let line = framing::size_line_in_pieces(&size_line, self.random);
            self.steps.extend(line);
        } else {
            self.steps.push(Step::Write(size_line.into_bytes(), Part::EventBegun));
        }
        self.steps.push(Step::Write(format!("{event}\r\n").into_bytes(), Part::EventComplete));
    }

    /// Writes an event as one chunk, in pieces. The size line is complete within 4 s.
    fn chunk(&mut self, event: &str, pieces: usize, range: std::ops::Range<u64>) {
        let size_line = format!("{:x}\r\n", event.len());
        let mut rest = 0;
        if pieces > 1 {
            let line = framing::size_line_in_pieces(&size_line, self.random);
            self.steps.extend(line);
            if self.random.random_bool(0.5) {
                let between = pause(self.random, range.clone());
                self.steps.push(between);
            }
            rest = size_line.len();
        }
        let event_end = size_line.len() + event.len() - rest;
        let bytes = format!("{size_line}{event}\r\n").split_off(rest);
        self.pieces(bytes.as_bytes(), pieces, range, |from, to| match () {
            () if from >= event_end => Part::Other,
            () if to >= event_end => Part::EventComplete,
            () => Part::EventBegun,
        });
    }

    fn comment(&mut self, comment: &str) {
        let before = pause(self.random, COMMENT_PAUSE_MS);
        self.steps.push(before);
        let chunk = format!("{:x}\r\n{comment}\r\n", comment.len());
        self.steps.push(Step::Write(chunk.into(), Part::Other));
    }

    /// Writes bytes in pieces of random lengths, with a pause after each but the last; `part` is given the range of a piece.
    fn pieces(
        &mut self, bytes: &[u8], pieces: usize, range: std::ops::Range<u64>,
        part: impl Fn(usize, usize) -> Part,
    ) {
        let mut cuts: Vec<usize> = (1..pieces).map(|_| self.random.random_range(1..bytes.len())).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        cuts.dedup();
        for window in cuts.windows(2) {
            if window[0] > 0 {
                let between = pause(self.random, range.clone());
                self.steps.push(between);
            }
            let (from, to) = (window[0], window[1]);
            self.steps.push(Step::Write(bytes[from..to].to_vec(), part(from, to)));
        }
    }
}
