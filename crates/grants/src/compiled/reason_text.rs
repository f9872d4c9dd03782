//! What decided, in words for logs, errors and operators.

use std::fmt;

use crate::sections::SectionKey;

use super::{RuleId, Table};

/// [`RuleId`] with the names of its table.
#[derive(Clone, Copy, Debug)]
pub struct Said<'a> {
    table: &'a Table,
    rule: RuleId,
}

impl Table {
    pub fn say(&self, rule: RuleId) -> Said<'_> {
        Said { table: self, rule }
    }
}

impl fmt::Display for Said<'_> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self.rule {
            RuleId::Rule(_) => {
                return match self.table.rule(self.rule) {
                    Some(name) if name.section == SectionKey::Shared => write!(out, "rule `{}`", name.rule),
                    Some(name) => write!(out, "rule `{}` of {}", name.rule, name.section),
                    None => out.write_str("a rule of another table"),
                }
            }
            RuleId::Default => "no rule allows it",
            RuleId::Conflict => "no rule allows it on all sides of an unsettled conflict",
            RuleId::Broken => "the team's parents cannot be made out",
            RuleId::UnknownTeam => "no such team",
            RuleId::UnknownModel => "no such model",
            RuleId::OtherTable => "the grants have changed: resolve the names anew",
            RuleId::Stale => "this member's knowledge of grants has ended",
        };
        out.write_str(text)
    }
}
