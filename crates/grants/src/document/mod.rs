//! Documents: the teams, models, groups and rules that administrators write. The format is TOML in files and
//! JSON on the network.
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

/// The complete set of grants. A call is refused unless a rule allows it, and a rule that denies it takes
/// precedence over one that allows it. Models, aliases and groups share one namespace.
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

/// A named set of models. The models of a group also belong to the groups listed in its `groups`.
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
    /// Alternative names that requests may use for the model.
    #[serde(default)]
    pub aliases: Vec<String>,
    #[serde(default)]
    pub groups: Vec<String>,
    /// Whether a member whose lease has expired, and which may therefore lack the newest rules, refuses the
    /// model. Its configuration may say otherwise ([`crate::revocation::StalePolicy`]).
    #[serde(default)]
    pub restricted: bool,
}

/// A team. It inherits the rules of its parents, both those that allow and those that deny.
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

/// What happens to an open stream when its grant ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StreamPolicy {
    /// The stream runs to completion.
    #[default]
    Finish,
    /// The stream is closed at the next event boundary.
    Cut,
}

/// A rule that allows or denies calls. Each entry of `teams` is a team or a pattern for teams; each entry of
/// `models` is a model, an alias, a group or a pattern for models. In a pattern, `*` stands for any run of
/// characters. Patterns match models and teams by their own names, never by an alias or a group, and may
/// match nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    pub name: String,
    pub effect: Effect,
    /// May be omitted in a single team's entry; the rule is then for that team.
    #[serde(default)]
    pub teams: Vec<String>,
    pub models: Vec<String>,
    /// Start of the rule's validity (Unix ms, inclusive). `None`: no start.
    #[serde(default)]
    pub from: Option<u64>,
    /// End of the rule's validity (Unix ms, exclusive). `None`: no end.
    #[serde(default)]
    pub until: Option<u64>,
    /// What happens to open streams. In a rule that denies, it applies to the streams that the rule denies.
    /// In a rule that allows, it applies to the streams that the rule admitted, once no rule allows them.
    #[serde(default)]
    pub streams: StreamPolicy,
}

impl Rule {
    /// Returns whether the rule is valid at `now` (Unix ms).
    pub fn is_active(&self, now: u64) -> bool {
        self.from.is_none_or(|from| from <= now) && self.until.is_none_or(|until| now < until)
    }
}
