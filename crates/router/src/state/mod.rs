//! What the router keeps in mind: plain data and look-ups, no decisions.

mod math;
mod request_state;
mod server_record;
mod statistics;

pub use math::*;
pub use request_state::*;
pub use server_record::*;
pub use statistics::*;

use crate::api::*;

/// A load seen so long ago needs no second look (ms): a report is refreshed about as seldom.
pub const LOAD_REPORT_TTL: Millis = 500.0;

#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub enum AffinityKey {
    Session(u64),
    Prefix(u64),
}

#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub enum Stage {
    #[default]
    Prefill,
    Decode,
}

impl Stage {
    /// The stage at which a request comes to a server of this role first.
    pub fn first_for(role: Role) -> Self {
        match role {
            Role::Prefill => Stage::Prefill,
            Role::Decode | Role::Mixed => Stage::Decode,
        }
    }
}

/// Where a request goes next, at which stage, and how much of its prompt should be kept there.
pub type Placement = (ServerId, Stage, f64);

/// What speaks against a server.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FailureKind {
    Error,
    Reset,
    MalformedResponse,
    Unresponsive,
    ConnectFailed,
}

impl FailureKind {
    /// What the end of an attempt speaks of.
    pub fn from_status(status: AttemptStatus) -> Option<Self> {
        match status {
            AttemptStatus::ConnectFailed => Some(FailureKind::ConnectFailed),
            AttemptStatus::Undelivered => Some(FailureKind::Unresponsive),
            AttemptStatus::Error => Some(FailureKind::Error),
            AttemptStatus::Reset => Some(FailureKind::Reset),
            AttemptStatus::MalformedResponse => Some(FailureKind::MalformedResponse),
            _ => None,
        }
    }
}

impl Request {
    /// Puts right what cannot be meant.
    pub(crate) fn sanitize(&mut self) {
        for x in
            [&mut self.prompt_tokens, &mut self.prefix_tokens, &mut self.max_tokens, &mut self.client_timeout]
        {
            *x = sanitize(*x);
        }
    }
    /// What it is read by when it has no home yet: the beginning it shares with others, or else its session.
    pub(crate) fn affinity_key(&self) -> u64 {
        self.prefix.unwrap_or(self.session)
    }
}

impl AttemptStatus {
    /// Whether it proves that a write did not run.
    pub(crate) fn proves_not_run(self) -> bool {
        matches!(
            self,
            AttemptStatus::Rejected
                | AttemptStatus::ConnectFailed
                | AttemptStatus::NotSent
                | AttemptStatus::Prefilled
        )
    }
}

impl ServerEntry {
    /// Its zone, and its cell in it.
    pub(crate) fn location(&self) -> (u32, u32) {
        (self.zone, self.cell)
    }
}

impl DeduplicationScope {
    /// Whether two places, each a zone and a cell in it, share the group.
    pub fn covers(self, a: (u32, u32), b: (u32, u32)) -> bool {
        match self {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => a.0 == b.0,
            DeduplicationScope::Cell => a == b,
        }
    }
}
