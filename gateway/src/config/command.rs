//! The command line.

use std::path::PathBuf;

use super::{error, Error};

/// What the command line asks for.
#[derive(Debug, PartialEq)]
pub enum Command {
    Serve(Files),
    Import(PathBuf),
    Help,
}

/// Operators' files; what belongs to one that is not named is off.
#[derive(Debug, Default, PartialEq)]
pub struct Files {
    pub front: Option<PathBuf>,
    pub plugin: Option<PathBuf>,
    pub fleet: Option<PathBuf>,
}

pub const USAGE: &str = "\
usage: glenrail [--front FILE] [--plugin FILE] [--fleet FILE]
                                      serve: the platform's front where EDGE_CONFIG is set, the second front
                                      where --front is given, as a member of a fleet where --fleet is
       glenrail import-haproxy FILE   an HAProxy configuration as the second front's file
";

pub fn command(args: impl IntoIterator<Item = String>) -> Result<Command, Error> {
    let mut args = args.into_iter();
    let mut files = Files::default();
    while let Some(arg) = args.next() {
        let mut file = || args.next().map(PathBuf::from).ok_or(());
        match arg.as_str() {
            "--front" | "--plugin" | "--fleet" | "import-haproxy" => {
                let Ok(path) = file() else { return error(arg, "a file wanted") };
                match arg.as_str() {
                    "--front" => files.front = Some(path),
                    "--plugin" => files.plugin = Some(path),
                    "--fleet" => files.fleet = Some(path),
                    _ => return Ok(Command::Import(path)),
                }
            }
            "--help" | "-h" => return Ok(Command::Help),
            _ => return error(arg, "no such option"),
        }
    }
    Ok(Command::Serve(files))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_command_line_is_read() {
        let parse = |line: &str| command(line.split_whitespace().map(str::to_string));
        assert_eq!(parse(""), Ok(Command::Serve(Files::default())));
        let fleet = Files { fleet: Some("f".into()), ..Files::default() };
        assert_eq!(parse("--fleet f"), Ok(Command::Serve(fleet)));
        assert_eq!(parse("import-haproxy f"), Ok(Command::Import("f".into())));
        assert_eq!(parse("--front").expect_err("an error").key, "--front");
        assert_eq!(parse("--nope").expect_err("an error").key, "--nope");
    }
}
