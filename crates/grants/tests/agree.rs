//! Property tests: the compiled table and the reference implementation make the same decisions.

mod support;

use glenrail_grants::compiled::{DecisionReason, Table};
use glenrail_grants::reference::ReferenceTable;
use glenrail_grants::sections::Sections;
use proptest::prelude::*;
use support::{sections, REQUESTED_MODELS, TEAMS};

fn check_agreement(sections: &Sections) -> Result<(), TestCaseError> {
    let (table, reference) = (Table::compile(sections), ReferenceTable::new(sections));
    for now in 0..12 {
        for team in TEAMS {
            for model in REQUESTED_MODELS {
                let (compiled, expected) =
                    (table.check_names(team, model, now), reference.check(team, model, now));
                let context = || format!("{team} {model} at {now}: {compiled:?} {expected:?}");
                prop_assert_eq!(compiled.allowed, expected.allowed, "{}", context());
                if !(compiled.allowed && expected.in_conflict) {
                    prop_assert_eq!(compiled.reason, expected.reason, "{}", context());
                }
                // A check by ids has the same result as a check by names.
                if let (Some(team), Some(model)) = (table.team(team), table.model(model)) {
                    prop_assert_eq!(table.check(team, model, now), compiled);
                }
            }
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn compiled_table_matches_reference_without_conflicts(sections in sections(1)) {
        check_agreement(&sections)?;
    }

    #[test]
    fn compiled_table_matches_reference_with_conflicts(sections in sections(3)) {
        check_agreement(&sections)?;
    }

    #[test]
    fn decisions_are_constant_until_the_next_change(sections in sections(2)) {
        let table = Table::compile(&sections);
        for now in 0..12 {
            let next = table.next_change(now).unwrap_or(12);
            prop_assert!(next > now);
            let mut unchanged = true;
            for (_, team) in table.teams() {
                for (_, model) in table.models() {
                    let first = table.check(team, model, now);
                    unchanged &= table.check(team, model, next) == first;
                    for time in now..next {
                        prop_assert_eq!(table.check(team, model, time), first);
                    }
                }
            }
            prop_assert!(!unchanged || table.next_change(now).is_none(), "no decision changes at {}", next);
        }
    }

    #[test]
    fn a_call_that_any_sibling_refuses_is_refused(sections in sections(2)) {
        // Reduces one section at a time to each of its siblings and leaves the other sections unchanged.
        let table = Table::compile(&sections);
        for (team, siblings) in &sections.teams {
            for sibling in siblings {
                let mut reduced = sections.clone();
                reduced.teams.insert(team.clone(), vec![sibling.clone()]);
                check_allows_no_more(&table, &Table::compile(&reduced))?;
            }
        }
        for sibling in &sections.shared {
            check_allows_no_more(
                &table,
                &Table::compile(&Sections { shared: vec![sibling.clone()], ..sections.clone() }),
            )?;
        }
        for sibling in &sections.catalogue {
            check_allows_no_more(
                &table,
                &Table::compile(&Sections { catalogue: vec![sibling.clone()], ..sections.clone() }),
            )?;
        }
    }
}

fn check_allows_no_more(merged: &Table, reduced: &Table) -> Result<(), TestCaseError> {
    for now in [0, 3, 6, 9] {
        for team in TEAMS {
            for model in REQUESTED_MODELS {
                let with_siblings = merged.check_names(team, model, now);
                let with_one = reduced.check_names(team, model, now);
                prop_assert!(
                    !with_siblings.allowed || with_one.allowed,
                    "{} {} {}: {:?} {:?}",
                    team,
                    model,
                    now,
                    with_siblings,
                    with_one
                );
            }
        }
    }
    Ok(())
}

#[test]
fn ids_of_another_table_are_refused() {
    let document = glenrail_grants::document::Document::from_toml(
        "[[team]]\nname='t'\n[[model]]\nname='m'\n[[rule]]\nname='r'\neffect='allow'\nteams=['*']\nmodels=['*']",
    )
    .unwrap();
    let (old, new) = (Table::from_document(&document), Table::from_document(&document));
    let (team, model) = (old.team("t").unwrap(), old.model("m").unwrap());
    assert!(old.check(team, model, 0).allowed);
    assert_eq!(new.check(team, model, 0).reason, DecisionReason::OtherTable);
    assert!(new.restricted(model));
}
