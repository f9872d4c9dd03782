//! Texts for decision reasons, for logs, errors and operators.

use std::fmt;

use crate::sections::SectionKey;

use super::{DecisionReason, Table};

/// Displays a [`DecisionReason`] with the rule names of its table.
#[derive(Clone, Copy, Debug)]
pub struct ReasonText<'a> {
    table: &'a Table,
    reason: DecisionReason,
}

impl Table {
    pub fn describe(&self, reason: DecisionReason) -> ReasonText<'_> {
        ReasonText { table: self, reason }
    }
}

impl fmt::Display for ReasonText<'_> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self.reason {
            DecisionReason::Rule(_) => {
                return match self.table.rule_name(self.reason) {
                    Some(name) if name.section == SectionKey::Shared => write!(out, "rule `{}`", name.rule),
                    Some(name) => write!(out, "rule `{}` of {}", name.rule, name.section),
                    None => out.write_str("a rule of another table"),
                }
            }
            DecisionReason::Default => "no rule allows it",
            DecisionReason::Conflict => "no rule allows it in all siblings of an unresolved conflict",
            DecisionReason::UnresolvedParents => "the team's parents cannot be resolved",
            DecisionReason::UnknownTeam => "unknown team",
            DecisionReason::UnknownModel => "unknown model",
            DecisionReason::OtherTable => "the grants have changed; resolve the names again",
            DecisionReason::LeaseExpired => "this member's lease on the grants has expired",
        };
        out.write_str(text)
    }
}
