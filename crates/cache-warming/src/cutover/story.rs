//! What a person sees of a replacement: figures for the counters, and one line of the log for each step.

use std::fmt;

use crate::terms::Node;

/// Why a step was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// What was planned has been read.
    Read,
    Deadline,
    NewLost,
    OldLost,
    Superseded,
}

/// What has happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Moved {
        slice: u16,
        why: Why,
    },
    AllMoved {
        why: Why,
    },
    Back {
        why: Why,
    },
    /// The old node may drain now, in order.
    Done {
        old: Option<Node>,
    },
}

/// Counters of one replacement.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Beginnings.
    pub planned: usize,
    pub read: usize,
    /// Slices.
    pub moved: usize,
    pub slices: usize,
    /// Part of the tokens of beginnings that should be found for what has moved.
    pub expected: f64,
    /// Tokens of beginnings asked for at the new node, and found there.
    pub asked_tokens: u64,
    pub found_tokens: u64,
}

impl Figures {
    /// Part of the tokens of beginnings that was found; `None` before any was asked for.
    pub fn found(&self) -> Option<f64> {
        (self.asked_tokens > 0).then(|| self.found_tokens as f64 / self.asked_tokens as f64)
    }
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Why::Read => "read",
            Why::Deadline => "deadline",
            Why::NewLost => "new node lost",
            Why::OldLost => "old node lost",
            Why::Superseded => "replaced again",
        })
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Step::Moved { slice, why } => write!(f, "slice {slice} moved ({why})"),
            Step::AllMoved { why } => write!(f, "all slices moved ({why})"),
            Step::Back { why } => write!(f, "all slices back at the old node ({why})"),
            Step::Done { old: Some(_) } => write!(f, "done, the old node may drain"),
            Step::Done { old: None } => write!(f, "done"),
        }
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Figures { planned, read, moved, slices, expected, .. } = self;
        write!(f, "planned={planned} read={read} moved={moved}/{slices} expected={expected:.2} found=")?;
        match self.found() {
            Some(found) => write!(f, "{found:.2}"),
            None => write!(f, "-"),
        }
    }
}
