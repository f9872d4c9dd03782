//! Parser of the command line.

use std::path::PathBuf;

use super::{error, ConfigError};

/// Action requested on the command line.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// Run the gateway with these files.
    Serve(Files),
    /// Convert the HAProxy configuration at this path into the second front's file.
    Import(PathBuf),
    /// Print [`USAGE`].
    Help,
}

/// Files given by the operator. A feature whose file is `None` is disabled.
#[derive(Debug, Default, PartialEq)]
pub struct Files {
    /// Configuration of the second front (`--front`).
    pub front: Option<PathBuf>,
    /// Script of the plug-in (`--plugin`).
    pub plugin: Option<PathBuf>,
    /// Configuration of the fleet membership (`--fleet`).
    pub fleet: Option<PathBuf>,
}

/// Text printed for `--help`.
pub const USAGE: &str = "\
usage: glenrail [--front FILE] [--plugin FILE] [--fleet FILE]
                                      serve: the platform's front where EDGE_CONFIG is set, the second front
                                      where --front is given, as a member of a fleet where --fleet is
       glenrail import-haproxy FILE   an HAProxy configuration as the second front's file
";

/// Parses the command-line arguments, which must not include the program name.
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
