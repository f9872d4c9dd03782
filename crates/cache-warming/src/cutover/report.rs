//! Reports of a replacement to operators: counters, and one log line for each step.

use std::fmt;

use crate::types::Node;

/// Why a step was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// The planned prefixes have been prefilled.
    Read,
    Deadline,
    NewLost,
    OldLost,
    Superseded,
}

/// A change in a replacement, reported as one log line.
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
    /// The old node may drain now.
    Done {
        old: Option<Node>,
    },
}

/// Counters of one replacement.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Planned prefixes.
    pub planned: usize,
    /// Planned prefixes that have been prefilled.
    pub read: usize,
    /// Slices that the new node owns.
    pub moved: usize,
    /// Slices in total.
    pub slices: usize,
    /// Share of the requested prefix tokens that should be cached, for the slices that have moved.
    pub expected: f64,
    /// Prefix tokens requested at the new node.
    pub asked_tokens: u64,
    /// Those of `asked_tokens` that were cached there.
    pub found_tokens: u64,
}

impl Figures {
    /// Returns the share of requested prefix tokens that was cached; `None` before the first request.
    pub fn found(&self) -> Option<f64> {
        (self.asked_tokens > 0).then(|| self.found_tokens as f64 / self.asked_tokens as f64)
    }
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Why::Read => "prefilled",
            Why::Deadline => "deadline",
            Why::NewLost => "new node unavailable",
            Why::OldLost => "old node unavailable",
            Why::Superseded => "superseded",
        })
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Step::Moved { slice, why } => write!(f, "slice {slice} moved ({why})"),
            Step::AllMoved { why } => write!(f, "all slices moved ({why})"),
            Step::Back { why } => write!(f, "all slices returned to the old node ({why})"),
            Step::Done { old: Some(_) } => write!(f, "replacement finished; the old node may drain"),
            Step::Done { old: None } => write!(f, "replacement finished"),
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
