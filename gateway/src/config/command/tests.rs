//! Tests of the command-line parser: accepted options, and the option that an error names.

use super::{command, Command, Files};

#[test]
fn options_name_files_and_a_faulty_option_is_named() {
    let parse = |line: &str| command(line.split_whitespace().map(str::to_string));
    assert_eq!(parse(""), Ok(Command::Serve(Files::default())));
    let fleet = Files { fleet: Some("f".into()), ..Files::default() };
    assert_eq!(parse("--fleet f"), Ok(Command::Serve(fleet)));
    assert_eq!(parse("import-haproxy f"), Ok(Command::Import("f".into())));
    assert_eq!(parse("--front").expect_err("an error").key, "--front");
    assert_eq!(parse("--nope").expect_err("an error").key, "--nope");
}
