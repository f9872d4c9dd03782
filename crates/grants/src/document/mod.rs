//! What an admin writes: teams, models, groups and rules. TOML in files, JSON on the wire.
//!
//! ```
//! use glenrail_grants::document::Document;
//!
//! let document = Document::from_toml(r#"
//!     [[model]]
//!     name = "atlas-70b"
//!     aliases = ["atlas"]
//!     restricted = true
//!
//!     [[team]]
//!     name = "search"
//!
//!     [[rule]]
//!     name = "search-atlas"
//!     effect = "allow"
//!     teams = ["search"]
//!     models = ["atlas"]
//! "#)?;
//! assert_eq!(document.models[0].name, "atlas-70b");
//! # Ok::<(), glenrail_grants::document::DocumentError>(())
//! ```

pub mod check;
mod error;
mod pattern;
mod position;
mod read;

use serde::{Deserialize, Serialize};

pub use error::{DocumentError, Fault, NameKind};
pub use pattern::{is_pattern, matches};
pub use position::{KeyPath, KeySegment, Position};

/// The whole of what admins say. What no rule allows is refused; a rule that denies goes before one that
/// allows. Names of models, aliases and groups share one space.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    #[serde(default, rename = "group")]
    pub groups: Vec<Group>,
    #[serde(default, rename = "model")]
    pub models: Vec<Model>,
    #[serde(default, rename = "team")]
    pub teams: Vec<Team>,
    #[serde(default, rename = "rule")]
    pub rules: Vec<Rule>,
}

/// A name for several models. Its models belong to the groups that it belongs to, too.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    pub name: String,
    #[serde(default)]
    pub groups: Vec<String>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    pub name: String,
    /// Other names that requests may use for it.
    #[serde(default)]
    pub aliases: Vec<String>,
    #[serde(default)]
    pub groups: Vec<String>,
    /// A member that may not know the newest rules refuses it, unless the operators' file says otherwise.
    #[serde(default)]
    pub restricted: bool,
}

/// A team has what its parents have, allowed and denied.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub parents: Vec<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    Allow,
    Deny,
}

/// What becomes of a stream under way when its grant ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StreamPolicy {
    /// It runs to its end.
    #[default]
    Finish,
    /// It is cut at the next whole event.
    Cut,
}

/// One rule. Each name in `teams` is a team or a pattern over teams; each in `models` a model, an alias, a
/// group, or a pattern over models. A pattern (`*` is any run of characters) matches models and teams by
/// their own names, never by an alias or a group, and may match nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    pub name: String,
    pub effect: Effect,
    /// May be left out in a team's own entry.
    #[serde(default)]
    pub teams: Vec<String>,
    pub models: Vec<String>,
    /// It holds from this time on (Unix ms).
    #[serde(default)]
    pub from: Option<u64>,
    /// It holds until just before this time (Unix ms).
    #[serde(default)]
    pub until: Option<u64>,
    /// Of a rule that denies: for the streams that it stops. Of one that allows: for the streams that it let in,
    /// when nothing allows them any more.
    #[serde(default)]
    pub streams: StreamPolicy,
}

impl Rule {
    /// Whether it holds at `now` (Unix ms).
    pub fn is_active(&self, now: u64) -> bool {
        self.from.is_none_or(|from| from <= now) && self.until.is_none_or(|until| now < until)
    }
}
