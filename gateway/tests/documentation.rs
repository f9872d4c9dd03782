//! The pages for engineers name files and tests that exist.

use std::fs;
use std::path::{Path, PathBuf};

/// Pages whose paths and tests are checked.
const PAGES: [&str; 4] = ["README.md", "docs/ARCHITECTURE.md", "docs/guarantees.md", "docs/on-call.md"];
/// Top folders of the repository that hold sources; a path in backticks that begins with one must exist.
const SOURCE_FOLDERS: [&str; 7] =
    ["crates/", "gateway/", "simulator-adapter/", "model-checker/", "fault-tests/", "log-report/", "docs/"];
/// Fixed parts of a log line that are shorter are no words to look for.
const SHORTEST_TEXT: usize = 6;
/// Where a test file without a folder is looked for.
const TEST_FOLDER: &str = "gateway/tests";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn page(name: &str) -> String {
    fs::read_to_string(root().join(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
}

/// The texts between backticks on a page; blocks of commands are no references.
fn references(text: &str) -> Vec<&str> {
    text.lines()
        .filter(|line| !line.starts_with("    "))
        .flat_map(|line| line.split('`').skip(1).step_by(2))
        .collect()
}

fn is_source_path(reference: &str) -> bool {
    SOURCE_FOLDERS.iter().any(|folder| reference.starts_with(folder)) && !reference.contains([' ', '*', '{'])
}

/// A reference `file::test`, as the path of the file and the test's name.
fn test_reference(reference: &str) -> Option<(PathBuf, &str)> {
    let (file, test) = reference.split_once(".rs::")?;
    let file = if file.contains('/') { format!("{file}.rs") } else { format!("{TEST_FOLDER}/{file}.rs") };
    Some((root().join(file), test))
}

#[test]
fn every_path_on_the_pages_exists() {
    let mut checked = 0;
    for name in PAGES {
        let text = page(name);
        for reference in references(&text).into_iter().filter(|r| is_source_path(r) && !r.contains("::")) {
            assert!(root().join(reference).exists(), "{name} names {reference}, which is not there");
            checked += 1;
        }
    }
    assert!(checked > 40, "only {checked} paths were found on the pages");
}

#[test]
fn every_test_on_the_pages_exists() {
    let mut checked = 0;
    for name in PAGES {
        let text = page(name);
        for (file, test) in references(&text).into_iter().filter_map(test_reference) {
            let source = fs::read_to_string(&file)
                .unwrap_or_else(|error| panic!("{name}: {}: {error}", file.display()));
            let defined = source.contains(&format!("fn {test}("));
            assert!(defined, "{name} names {test}, which is not in {}", file.display());
            checked += 1;
        }
    }
    assert!(checked > 30, "only {checked} tests were found on the pages");
}

/// The fixed parts of the first text of each log call in a source.
fn log_texts(source: &str) -> Vec<Vec<String>> {
    source
        .split("log!(")
        .skip(1)
        .filter_map(|call| call.trim_start().strip_prefix('"'))
        .map(fixed_parts)
        .collect()
}

/// What stands between the placeholders of a format string, up to its end.
fn fixed_parts(text: &str) -> Vec<String> {
    let end = text.find('"').unwrap_or(text.len());
    let without_values =
        text[..end].split('{').map(|part| part.split_once('}').map_or(part, |(_, fixed)| fixed));
    let fixed = without_values.map(|part| part.trim_matches([' ', ':', ';', ',']).to_string());
    fixed.filter(|part| part.len() >= SHORTEST_TEXT).collect()
}

fn sources(folder: &Path, into: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() && !path.ends_with("tests") {
            sources(&path, into);
        } else if path.extension().is_some_and(|ending| ending == "rs") && !path.ends_with("tests.rs") {
            into.push(path);
        }
    }
}

/// Whoever is on call finds every line of the log on the page, with what to do.
#[test]
fn every_log_line_is_on_the_on_call_page() {
    let on_call = page("docs/on-call.md");
    let mut files = Vec::new();
    sources(&root().join("gateway/src"), &mut files);
    let mut checked = 0;
    for file in files.iter().filter(|file| !file.components().any(|part| part.as_os_str() == "fleet")) {
        let source = fs::read_to_string(file).expect("a source");
        for part in log_texts(&source).concat() {
            assert!(on_call.contains(&part), "docs/on-call.md lacks {part:?} of {}", file.display());
            checked += 1;
        }
    }
    assert!(checked > 25, "only {checked} texts were found in the sources");
}

#[test]
fn the_fixed_parts_of_a_log_line_are_found() {
    let source =
        "log!(\"discovery: {error}; {failures} failed polls; next poll in {} ms\", 3); log!(\"{e}\")";
    let expected = ["discovery", "failed polls; next poll in"].map(String::from);
    assert_eq!(log_texts(source), [expected.to_vec(), Vec::new()]);
}

/// The checks above must be able to fail.
#[test]
fn a_reference_that_leads_nowhere_is_found() {
    let text = "see `gateway/src/nowhere.rs` and `platform.rs::no_such_test`\n    `crates/command/`";
    let found = references(text);
    assert_eq!(found, ["gateway/src/nowhere.rs", "platform.rs::no_such_test"]);
    assert!(is_source_path(found[0]) && !root().join(found[0]).exists());
    let (file, test) = test_reference(found[1]).expect("a test");
    let source = fs::read_to_string(file).expect("a test file");
    assert!(!source.contains(&format!("fn {test}(")));
}
