//! Reports of a replacement to operators: counters, and one log line for each transition.

use std::fmt;

use crate::types::Node;

/// Why a transition happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The planned prefixes have been prefilled.
    Prefilled,
    Deadline,
    NewNodeLost,
    OldNodeLost,
    Superseded,
}

/// A change in a replacement, reported as one log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    Moved {
        slice: u16,
        reason: Reason,
    },
    AllMoved {
        reason: Reason,
    },
    RolledBack {
        reason: Reason,
    },
    /// The settling time is over; the old node, if there is one, may drain now.
    Done {
        old: Option<Node>,
    },
}

/// Counters of one replacement.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CutoverStats {
    /// Planned prefixes, except those whose grant was revoked before they were prefilled.
    pub planned: usize,
    /// Planned prefixes that have been prefilled.
    pub prefilled: usize,
    /// Slices that the new node owns.
    pub moved: usize,
    /// Slices in total.
    pub slices: usize,
    /// Expected share of the requested prefix tokens that are cached, for the slices that have moved.
    pub expected_hit_ratio: f64,
    /// Prefix tokens requested at the new node.
    pub requested_tokens: u64,
    /// Those of `requested_tokens` that were cached there.
    pub cached_tokens: u64,
}

impl CutoverStats {
    /// Returns the share of requested prefix tokens that was cached; `None` before the first request.
    pub fn hit_ratio(&self) -> Option<f64> {
        (self.requested_tokens > 0).then(|| self.cached_tokens as f64 / self.requested_tokens as f64)
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Reason::Prefilled => "prefilled",
            Reason::Deadline => "deadline",
            Reason::NewNodeLost => "new node unavailable",
            Reason::OldNodeLost => "old node unavailable",
            Reason::Superseded => "superseded",
        })
    }
}

impl fmt::Display for Transition {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Transition::Moved { slice, reason } => write!(f, "slice {slice} moved ({reason})"),
            Transition::AllMoved { reason } => write!(f, "all slices moved ({reason})"),
            Transition::RolledBack { reason } => write!(f, "all slices returned to the old node ({reason})"),
            Transition::Done { old: Some(_) } => write!(f, "replacement finished; the old node may drain"),
            Transition::Done { old: None } => write!(f, "replacement finished"),
        }
    }
}

impl fmt::Display for CutoverStats {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let CutoverStats { planned, prefilled, moved, slices, expected_hit_ratio, .. } = self;
        write!(f, "planned={planned} read={prefilled} moved={moved}/{slices} expected={expected_hit_ratio:.2} found=")?;
        match self.hit_ratio() {
            Some(hit_ratio) => write!(f, "{hit_ratio:.2}"),
            None => write!(f, "-"),
        }
    }
}
