//! Replicas of the document: a merge loses no change in any order, a restored store does not override newer
//! changes, and conflicts allow only what all siblings allow.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use glenrail_grants::compiled::Table;
use glenrail_grants::document::{Document, Fault};
use glenrail_grants::sections::{SectionKey, TeamSection};
use glenrail_grants::versions::{Dot, Entry, EntryError, Origin, Replica, ReplicaError, ENTRY_FORMAT};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::select;

const DOCUMENT: &str = r#"
[[model]]
name = "m"
[[model]]
name = "n"
[[team]]
name = "a"
[[team]]
name = "b"
parents = ["a"]
[[rule]]
name = "both"
effect = "allow"
teams = ["a"]
models = ["m", "n"]
"#;

fn replica(member: u64, incarnation: u64) -> Replica {
    Replica::new(Origin { member, incarnation })
}

fn team(name: &str) -> SectionKey {
    SectionKey::Team(name.to_owned())
}

/// Creates replicas that all have the document; the first one proposed it.
fn replicas(members: u64) -> Vec<Replica> {
    let mut all: Vec<Replica> = (0..members).map(|member| replica(member, 1)).collect();
    let document = Document::from_toml(DOCUMENT).unwrap();
    let version = all[0].version_of_all();
    let proposal = all[0].propose_document(version, &document).unwrap();
    all[0].apply(&proposal);
    for other in 1..all.len() {
        send(&mut all, 0, other, None);
    }
    all
}

/// Sends one section or all of them as encoded entries. Returns the dots that the receiver replaced.
fn send(all: &mut [Replica], from: usize, to: usize, only: Option<&SectionKey>) -> Vec<Dot> {
    let mut replaced = Vec::new();
    let entries: Vec<_> =
        all[from].sections().map(|(key, section)| Entry::encode(key, section).unwrap()).collect();
    for entry in entries {
        let (key, section) = entry.decode().unwrap();
        if only.is_none_or(|only| *only == key) {
            replaced.extend(all[to].merge(&key, &section).replaced);
        }
    }
    replaced
}

fn change(replica: &mut Replica, name: &str, section: Option<TeamSection>) -> Result<Dot, ReplicaError> {
    let version = replica.version(&team(name));
    let proposal = replica.propose(name, version, section)?;
    replica.apply(&proposal);
    Ok(proposal.dots()[0])
}

/// Returns a section for team `a` that allows one model or pattern.
fn allow_only(model: &str) -> TeamSection {
    let text = format!(r#"{{"rules": [{{"name": "own", "effect": "allow", "models": ["{model}"]}}]}}"#);
    TeamSection::from_json("a", &text).unwrap()
}

#[derive(Clone, Debug)]
enum Step {
    Change {
        at: usize,
        team: &'static str,
        section: Option<TeamSection>,
    },
    Send {
        from: usize,
        to: usize,
        team: Option<&'static str>,
    },
    Backup {
        at: usize,
    },
    /// The store is restored from the last backup, under a new incarnation.
    RestoreBackup {
        at: usize,
    },
    /// The store is lost.
    LoseStore {
        at: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let at = || 0..3usize;
    let name = || select(&["a", "b"][..]);
    let section = || select(&["m", "n", "*"][..]).prop_map(|model| Some(allow_only(model)));
    prop_oneof![
        5 => (at(), prop_oneof![4 => section(), 1 => Just(None)])
            .prop_map(|(at, section)| Step::Change { at, team: "a", section }),
        2 => at().prop_map(|at| Step::Change { at, team: "b", section: Some(TeamSection::default()) }),
        8 => (at(), at(), proptest::option::of(name())).prop_map(|(from, to, team)| Step::Send { from, to, team }),
        1 => at().prop_map(|at| Step::Backup { at }),
        1 => at().prop_map(|at| Step::RestoreBackup { at }),
        1 => at().prop_map(|at| Step::LoseStore { at }),
    ]
}

/// The dots that each change replaced, by the change's section and dot.
type Changes = BTreeMap<(SectionKey, Dot), Vec<Dot>>;

fn run_steps(steps: Vec<Step>) -> (Vec<Replica>, Changes) {
    let mut all = replicas(3);
    let mut backups = all.clone();
    let mut incarnations = 1;
    let mut changes = BTreeMap::new();
    for step in steps {
        match step {
            Step::Change { at, team: name, section } => {
                let key = team(name);
                let replaced: Vec<Dot> = all[at]
                    .section(&key)
                    .map(|versioned| versioned.siblings().map(|sibling| sibling.dot).collect())
                    .unwrap_or_default();
                if let Ok(dot) = change(&mut all[at], name, section) {
                    changes.insert((key, dot), replaced);
                }
            }
            Step::Send { from, to, team: name } => drop(send(&mut all, from, to, name.map(team).as_ref())),
            Step::Backup { at } => backups[at] = all[at].clone(),
            Step::RestoreBackup { at } | Step::LoseStore { at } => {
                incarnations += 1;
                let origin = Origin { member: at as u64, incarnation: incarnations };
                let sections: Vec<_> = match step {
                    Step::LoseStore { .. } => Vec::new(),
                    _ => {
                        backups[at].sections().map(|(key, section)| (key.clone(), section.clone())).collect()
                    }
                };
                // Changes that only this replica has would be lost with its store, so it sends them to
                // another one first.
                send(&mut all, at, (at + 1) % 3, None);
                all[at] = Replica::restore(origin, sections).unwrap();
            }
        }
    }
    (all, changes)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn merge_is_commutative_associative_and_idempotent(steps in vec(step(), 0..30)) {
        let (all, _) = run_steps(steps);
        for name in ["a", "b"] {
            let sections: Vec<_> =
                all.iter().map(|copy| copy.section(&team(name)).cloned().unwrap_or_default()).collect();
            let [a, b, c] = &sections[..] else { unreachable!() };
            prop_assert_eq!(a.merge(b), b.merge(a));
            prop_assert_eq!(a.merge(b).merge(c), a.merge(&b.merge(c)));
            prop_assert_eq!(&a.merge(a), a);
            prop_assert_eq!(a.merge(b).merge(b), a.merge(b));
        }
    }

    #[test]
    fn no_change_is_lost_and_replicas_converge(steps in vec(step(), 0..40)) {
        let (mut all, changes) = run_steps(steps);
        for round in 0..2 {
            for (from, to) in [(0, 1), (1, 2), (2, 0), (1, 0), (0, 2), (2, 1)] {
                let replaced = send(&mut all, from, to, None);
                prop_assert!(round == 0 || replaced.is_empty());
            }
        }
        prop_assert_eq!(all[0].version_of_all(), all[1].version_of_all());
        prop_assert_eq!(all[0].contents(), all[1].contents());
        prop_assert_eq!(all[0].contents(), all[2].contents());
        // A change is a sibling unless another change replaced it, and there are no other siblings.
        for name in ["a", "b"] {
            let key = team(name);
            let replaced_dots: BTreeSet<Dot> =
                changes.iter().filter(|((of, _), _)| *of == key).flat_map(|(_, dots)| dots).copied().collect();
            let versioned = all[0].section(&key).unwrap();
            let siblings: BTreeSet<Dot> = versioned.siblings().map(|sibling| sibling.dot).collect();
            for (of, dot) in changes.keys() {
                prop_assert!(*of != key || siblings.contains(dot) != replaced_dots.contains(dot), "{} {}", name, dot);
            }
            prop_assert!(siblings.is_disjoint(&replaced_dots));
            prop_assert!(versioned.forked_dots().is_empty());
        }
    }

    #[test]
    fn no_bytes_cause_a_panic(bytes in vec(any::<u8>(), 0..60), key in "[cst][a-c]{0,2}") {
        for value in [bytes.clone(), [vec![ENTRY_FORMAT], bytes.clone()].concat()] {
            if let Ok((key, section)) = (Entry { key: key.clone().into_bytes(), value }).decode() {
                let mut all = replicas(1);
                all[0].merge(&key, &section);
                Table::compile(&all[0].contents());
            }
        }
    }
}

#[test]
fn concurrent_changes_allow_what_both_allow_until_a_third_resolves_the_conflict() {
    let mut all = replicas(3);
    let (one, other) =
        (change(&mut all[0], "a", Some(allow_only("m"))), change(&mut all[1], "a", Some(allow_only("*"))));
    for (from, to) in [(0, 1), (1, 0), (1, 2)] {
        send(&mut all, from, to, None);
    }
    for replica in &all {
        let table = Table::compile(&replica.contents());
        assert!(table.check_names("b", "m", 0).allowed);
        assert!(!table.check_names("b", "n", 0).allowed);
        let (key, siblings) = replica.conflicts().next().unwrap();
        assert_eq!(*key, team("a"));
        let dots: Vec<Dot> = siblings.iter().map(|sibling| sibling.dot).collect();
        assert_eq!(dots, [one.clone().unwrap(), other.clone().unwrap()]);
    }
    // A change based on a version from before the conflict is rejected; the error has the current version.
    let (outdated, current) = (replicas(1)[0].version(&team("a")), all[2].version(&team("a")));
    let rejected = all[2].propose("a", outdated, Some(allow_only("n"))).unwrap_err();
    assert_eq!(rejected, ReplicaError::VersionMismatch { key: Some(team("a")), expected: outdated, current });
    // A change based on both siblings resolves the conflict on every replica that receives it.
    change(&mut all[2], "a", Some(allow_only("n"))).unwrap();
    assert_eq!(send(&mut all, 2, 0, None), dots_of(&[one, other]));
    assert_eq!(all[0].conflicts().count(), 0);
    assert!(Table::compile(&all[0].contents()).check_names("b", "n", 0).allowed);
}

fn dots_of(results: &[Result<Dot, ReplicaError>]) -> Vec<Dot> {
    results.iter().map(|dot| dot.clone().unwrap()).collect()
}

#[test]
fn a_restored_store_does_not_override_newer_changes() {
    let mut all = replicas(2);
    let backup: Vec<_> = all[0].sections().map(|(key, section)| (key.clone(), section.clone())).collect();
    change(&mut all[0], "a", Some(allow_only("m"))).unwrap();
    send(&mut all, 0, 1, None);
    let error = Replica::restore(Origin { member: 0, incarnation: 1 }, backup.clone()).unwrap_err();
    assert_eq!(error, ReplicaError::IncarnationUsed { origin: Origin { member: 0, incarnation: 1 } });
    all[0] = Replica::restore(Origin { member: 0, incarnation: 2 }, backup).unwrap();
    let current = all[1].contents();
    assert!(send(&mut all, 0, 1, None).is_empty());
    assert_eq!(all[1].contents(), current);
    assert_eq!(send(&mut all, 1, 0, None).len(), 1);
    assert_eq!(all[0].contents(), current);
}

#[test]
fn an_incarnation_used_twice_is_detected_and_both_changes_are_kept() {
    let mut all = replicas(2);
    let mut duplicate = all[0].clone();
    change(&mut all[0], "a", Some(allow_only("m"))).unwrap();
    let dot = change(&mut duplicate, "a", Some(allow_only("n"))).unwrap();
    let outcome = all[0].merge(&team("a"), duplicate.section(&team("a")).unwrap());
    assert_eq!((outcome.forked, outcome.in_conflict, outcome.foreign_change), (vec![dot], true, false));
    change(&mut duplicate, "a", Some(allow_only("n"))).unwrap();
    assert!(all[0].merge(&team("a"), duplicate.section(&team("a")).unwrap()).foreign_change);
}

#[test]
fn a_rejected_change_with_an_unknown_name_or_a_cycle_changes_nothing() {
    let mut all = replicas(1);
    let before = all[0].version_of_all();
    let text = "{\"rules\": [\n {\"name\": \"own\", \"effect\": \"deny\",\n  \"models\": [\"m\", \"zz\"]}]}";
    let section = TeamSection::from_json("b", text).unwrap();
    let Err(ReplicaError::Document(error)) = change(&mut all[0], "b", Some(section)) else {
        panic!("the change was accepted")
    };
    assert_eq!(
        error.with_position(text).to_string(),
        "line 3, column 19: rules[0].models[1]: there is no model, alias or group `zz`"
    );
    // A team that is a parent cannot be removed, and cannot become a child of its own child.
    let Err(ReplicaError::Document(error)) = change(&mut all[0], "a", None) else {
        panic!("the change was accepted")
    };
    assert!(matches!(error.fault, Fault::UnknownName { .. }), "{error}");
    let cycle = TeamSection { parents: vec!["b".to_owned()], rules: Vec::new() };
    let Err(ReplicaError::Document(error)) = change(&mut all[0], "a", Some(cycle)) else {
        panic!("the change was accepted")
    };
    assert!(matches!(error.fault, Fault::Cycle { .. }), "{error}");
    assert_eq!(all[0].version_of_all(), before);
}

#[test]
fn an_unsupported_entry_format_is_rejected() {
    let all = replicas(1);
    let (key, section) = all[0].sections().next().unwrap();
    let mut entry = Entry::encode(key, section).unwrap();
    entry.value[0] = ENTRY_FORMAT + 1;
    assert_eq!(
        entry.decode().unwrap_err(),
        EntryError::UnsupportedFormat { format: ENTRY_FORMAT + 1, supported: ENTRY_FORMAT }
    );
}
