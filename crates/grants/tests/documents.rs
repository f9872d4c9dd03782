//! Parsing of documents: each error names the line and the key, and TOML and JSON yield the same document.

use glenrail_grants::document::{Document, DocumentError, Fault, NameKind};

const VALID: &str = r#"
[[group]]
name = "large"

[[group]]
name = "new"
groups = ["large"]

[[model]]
name = "atlas-70b"
aliases = ["atlas"]
groups = ["new"]
restricted = true

[[team]]
name = "search"
parents = ["research"]

[[team]]
name = "research"

[[rule]]
name = "large-for-research"
effect = "allow"
teams = ["research", "proj-*"]
models = ["large"]
until = 1900000000000
streams = "cut"
"#;

#[test]
fn toml_and_json_round_trips_yield_the_same_document() {
    let document = Document::from_toml(VALID).unwrap();
    assert_eq!(Document::from_json(&document.to_json().unwrap()).unwrap(), document);
    assert_eq!(Document::from_toml(&document.to_toml().unwrap()).unwrap(), document);
}

/// Returns the error for the valid document with one text replaced.
fn error_after_replacing(from: &str, to: &str) -> DocumentError {
    assert!(VALID.contains(from), "{from}");
    Document::from_toml(&VALID.replacen(from, to, 1)).unwrap_err()
}

#[test]
fn validation_errors_name_line_and_key() {
    for (from, to, message) in [
        ("[\"research\"]", "[\"resaerch\"]", "line 17, column 12: team[0].parents[0]: there is no team `resaerch`"),
        ("[\"large\"]\n\n", "[\"big\"]\n\n", "line 7, column 11: group[1].groups[0]: there is no group `big`"),
        ("\"proj-*\"]", "\"proj\"]", "line 25, column 22: rule[0].teams[1]: there is no team `proj`"),
        ("\"atlas\"", "\"large\"", "line 11, column 12: model[0].aliases[0]: there are two of model, alias or group `large`"),
        ("\"atlas\"", "\"a*\"", "line 11, column 12: model[0].aliases[0]: `a*` cannot be a name: 1 to 200 bytes, no `*`, no control characters"),
        ("until", "from = 1900000000000\nuntil", "line 28, column 9: rule[0].until: the rule ends at 1900000000000 ms, not after it begins at 1900000000000 ms"),
        ("models = [\"large\"]", "models = []", "line 26, column 10: rule[0].models: the rule names nothing here, so it could never hold"),
        ("name = \"research\"", "name = \"research\"\nparents = [\"search\"]", "line 17, column 11: team[0].parents: team `search` is its own parent by way of research, search"),
        ("name = \"large\"", "name = \"large\"\ngroups = [\"new\"]", "line 4, column 10: group[0].groups: group `large` is its own parent by way of new, large"),
        ("name = \"research\"", "name = \"search\"", "line 20, column 8: team[1].name: there are two of team `search`"),
    ] {
        let error = error_after_replacing(from, to);
        assert_eq!(error.to_string(), message);
        assert!(!error.advice().is_empty());
    }
}

#[test]
fn syntax_and_type_errors_name_line_and_key() {
    let error = error_after_replacing("\"allow\"", "\"permit\"");
    assert_eq!(error.key.to_string(), "rule[0].effect");
    assert_eq!(error.position.unwrap().line, 24);
    let error = error_after_replacing("restricted = true", "restrict = true");
    assert_eq!((error.key.to_string().as_str(), error.position.unwrap().line), ("model[0].restrict", 13));
    let error = error_after_replacing("[[team]]", "[[team]");
    assert!(matches!(error.fault, Fault::Malformed { .. }));
    assert_eq!(error.position.unwrap().line, 15);
}

#[test]
fn json_errors_name_line_and_key() {
    let text = "{\n \"team\": [\n  {\"name\": \"a\",\n   \"parents\": [\"é\",\n    \"b\"]}]}";
    let error = Document::from_json(text).unwrap_err();
    assert_eq!(error.to_string(), "line 4, column 16: team[0].parents[0]: there is no team `é`");
    assert_eq!(error.fault, Fault::UnknownName { kind: NameKind::Team, name: "é".to_owned() });
    let error = Document::from_json("{\n\"rule\": [{\"name\": 3}]}").unwrap_err();
    assert_eq!((error.key.to_string().as_str(), error.position.unwrap().line), ("rule[0].name", 2));
    assert!(Document::from_json("{} x").is_err());
    assert!(Document::from_json("").is_err());
}

proptest::proptest! {
    #[test]
    fn no_text_causes_a_panic(text in "[\\[\\]a-z=\"'{}:,.\n 0-9*]{0,80}") {
        let _ = Document::from_toml(&text);
        let _ = Document::from_json(&text);
    }
}
