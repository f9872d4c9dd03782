//! The compiled table and its plain twin say the same of everything.

mod support;

use glenrail_grants::compiled::{DecisionReason, Table};
use glenrail_grants::reference::ReferenceTable;
use glenrail_grants::sections::Sections;
use proptest::prelude::*;
use support::{sections, ASKED, TEAMS};

fn agree(sections: &Sections) -> Result<(), TestCaseError> {
    let (table, twin) = (Table::compile(sections), ReferenceTable::new(sections));
    for now in 0..12 {
        for team in TEAMS {
            for model in ASKED {
                let (fast, plain) = (table.check_names(team, model, now), twin.check(team, model, now));
                let what = || format!("{team} {model} at {now}: {fast:?} {plain:?}");
                prop_assert_eq!(fast.allowed, plain.allowed, "{}", what());
                if !(fast.allowed && plain.in_conflict) {
                    prop_assert_eq!(fast.reason, plain.reason, "{}", what());
                }
                // By ids it is the same as by names.
                if let (Some(team), Some(model)) = (table.team(team), table.model(model)) {
                    prop_assert_eq!(table.check(team, model, now), fast);
                }
            }
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn both_say_the_same_without_conflicts(sections in sections(1)) {
        agree(&sections)?;
    }

    #[test]
    fn both_say_the_same_with_conflicts(sections in sections(3)) {
        agree(&sections)?;
    }

    #[test]
    fn nothing_changes_before_the_next_change(sections in sections(2)) {
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
            prop_assert!(!unchanged || table.next_change(now).is_none(), "nothing changes at {}", next);
        }
    }

    #[test]
    fn what_any_sibling_refuses_is_refused(sections in sections(2)) {
        // Each part alone at its sibling: all choices of siblings, the others as they are.
        let table = Table::compile(&sections);
        for (team, siblings) in &sections.teams {
            for one in siblings {
                let mut alone = sections.clone();
                alone.teams.insert(team.clone(), vec![one.clone()]);
                no_more(&table, &Table::compile(&alone))?;
            }
        }
        for one in &sections.shared {
            no_more(&table, &Table::compile(&Sections { shared: vec![one.clone()], ..sections.clone() }))?;
        }
        for one in &sections.catalogue {
            no_more(&table, &Table::compile(&Sections { catalogue: vec![one.clone()], ..sections.clone() }))?;
        }
    }
}

fn no_more(merged: &Table, alone: &Table) -> Result<(), TestCaseError> {
    for now in [0, 3, 6, 9] {
        for team in TEAMS {
            for model in ASKED {
                let both = merged.check_names(team, model, now);
                let one = alone.check_names(team, model, now);
                prop_assert!(
                    !both.allowed || one.allowed,
                    "{} {} {}: {:?} {:?}",
                    team,
                    model,
                    now,
                    both,
                    one
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
