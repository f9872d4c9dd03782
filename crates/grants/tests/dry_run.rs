//! Dry runs of changes, and the policy for open streams.

use std::collections::BTreeSet;

use glenrail_grants::compiled::{DecisionReason, Table};
use glenrail_grants::document::{Document, StreamPolicy};
use glenrail_grants::dry_run::{ConfirmationRequired, DryRun};

fn table(rules: &str) -> Table {
    let head =
        "team=[{name='a'},{name='b',parents=['a']},{name='c'}]\nmodel=[{name='m',aliases=['x']},{name='n'}]";
    Table::from_document(&Document::from_toml(&format!("{head}\n{rules}")).unwrap())
}

#[test]
fn reports_gains_losses_and_active_teams_that_lose_all_models() {
    let before = table("rule=[{name='r',effect='allow',teams=['a'],models=['x']}]");
    let after = table(
        "rule=[{name='r',effect='allow',teams=['c'],models=['*'],until=10},
               {name='no',effect='deny',teams=['b'],models=['m']}]",
    );
    let active_teams: BTreeSet<String> = ["b".to_owned(), "c".to_owned()].into();
    let run = DryRun::compare(&before, &after, 5, &active_teams);
    assert_eq!(run.teams.keys().collect::<Vec<_>>(), ["a", "b", "c"]);
    assert_eq!(run.teams["c"].gained, ["m", "n"]);
    let (model, decision) = &run.teams["b"].lost[0];
    assert_eq!((model.as_str(), after.rule_name(decision.reason).unwrap().rule.as_str()), ("m", "no"));
    assert_eq!(run.teams["a"].lost[0].1.reason, DecisionReason::Default);
    assert_eq!(after.describe(decision.reason).to_string(), "rule `no` of team `b`");
    // Team `a` loses all models too, but is not active.
    assert_eq!(run.require_confirmation(false), Err(ConfirmationRequired { teams: vec!["b".to_owned()] }));
    assert_eq!(run.require_confirmation(true), Ok(()));
    // At its end the rule no longer allows anything.
    assert!(!DryRun::compare(&before, &after, 10, &active_teams).teams.contains_key("c"));
    assert_eq!(DryRun::compare(&after, &after, 5, &active_teams), DryRun::default());
}

#[test]
fn an_open_stream_ends_by_the_policy_of_the_deciding_rule() {
    let granted = |policy| {
        table(&format!("rule=[{{name='r',effect='allow',teams=['a'],models=['m'],streams='{policy}'}}]"))
    };
    let denied = |policy| {
        table(&format!("rule=[{{name='d',effect='deny',teams=['a'],models=['m'],streams='{policy}'}}]"))
    };
    let check = |table: &Table| table.check_names("a", "m", 0);
    let admitted = check(&granted("cut"));
    assert_eq!(admitted.open_stream_policy(&check(&granted("finish"))), None);
    assert_eq!(admitted.open_stream_policy(&check(&table(""))), Some(StreamPolicy::Cut));
    assert_eq!(admitted.open_stream_policy(&check(&denied("finish"))), Some(StreamPolicy::Finish));
    assert_eq!(check(&granted("finish")).open_stream_policy(&check(&denied("cut"))), Some(StreamPolicy::Cut));
    assert_eq!(check(&granted("finish")).open_stream_policy(&check(&table(""))), Some(StreamPolicy::Finish));
}
