//! The command line.

use std::path::PathBuf;

use super::{error, ConfigError};

/// What the command line asks for.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// Serve, with these files.
    Serve(Files),
    /// Convert this HAProxy configuration.
    Import(PathBuf),
    /// Print [`USAGE`].
    Help,
}

/// Operators' files. A part whose file is not named is off.
#[derive(Debug, Default, PartialEq)]
pub struct Files {
    /// The second front's file.
    pub front: Option<PathBuf>,
    /// The plug-in's script.
    pub plugin: Option<PathBuf>,
    /// The fleet's file.
    pub fleet: Option<PathBuf>,
}

/// The text of `--help`.
pub const USAGE: &str = "\
usage: glenrail [--front FILE] [--plugin FILE] [--fleet FILE]
                                      serve: the platform's front where EDGE_CONFIG is set, the second front
                                      where --front is given, as a member of a fleet where --fleet is
       glenrail import-haproxy FILE   an HAProxy configuration as the second front's file
";

/// Parses the command line without the program's name.
pub fn command(arguments: impl IntoIterator<Item = String>) -> Result<Command, ConfigError> {
    let mut arguments = arguments.into_iter();
    let mut files = Files::default();
    while let Some(argument) = arguments.next() {
        let mut file = || match arguments.next() {
            Some(path) => Ok(PathBuf::from(path)),
            None => error(argument.clone(), "a file wanted"),
        };
        match argument.as_str() {
            "--front" => files.front = Some(file()?),
            "--plugin" => files.plugin = Some(file()?),
            "--fleet" => files.fleet = Some(file()?),
            "import-haproxy" => return Ok(Command::Import(file()?)),
            "--help" | "-h" => return Ok(Command::Help),
            _ => return error(argument, "no such option"),
        }
    }
    Ok(Command::Serve(files))
}

#[cfg(test)]
mod tests;
