//! `import-haproxy`: converts an HAProxy configuration into the second front's file.
//!
//! Each setting without a counterpart is reported with its line; nothing is omitted silently. All functions are pure,
//! except for [`import`], which reads the file and prints the result.
#![deny(missing_docs)]

mod line;
mod reader;

use std::io;
use std::path::{Path, PathBuf};

use crate::config::{self, parse_front, InferenceFrontConfig, PoolConfig};

use self::line::ApiPart;
pub use self::line::SkipReason;
use self::reader::{Backend, Reader};

/// Result of a conversion: the second front's file, and the lines that were not converted.
#[derive(Debug)]
pub struct Imported {
    /// Contents of the second front's file (TOML).
    pub text: String,
    /// Lines that were not converted, in order.
    pub left_out: Vec<SkippedLine>,
}

/// A line of the input that was not converted, or only in part.
#[derive(Debug)]
pub struct SkippedLine {
    /// Line number, starting at 1.
    pub line: usize,
    /// Reason why it was not converted.
    pub reason: SkipReason,
}

/// Error of an import.
#[derive(Debug, thiserror::Error)]
pub enum ImportError {
    /// The file cannot be read. The path must name a file that this process may read.
    #[error("{}: {error}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Cause reported by the system.
        error: io::Error,
    },
    /// The file's contents cannot be converted.
    #[error(transparent)]
    Convert(#[from] ConvertError),
}

/// Error of a conversion.
#[derive(Debug, thiserror::Error)]
pub enum ConvertError {
    /// No usable `bind` line, so the second front has no address to listen on.
    #[error("no bind line that could be taken over")]
    NoBind,
    /// The defaults of the second front could not be created.
    #[error("{0}")]
    Defaults(#[from] toml::de::Error),
    /// The second front's file could not be serialized.
    #[error("{0}")]
    Write(#[from] toml::ser::Error),
    /// The converted file is not valid for the second front.
    #[error("nothing that could be served comes out: {0}")]
    Unusable(config::ConfigError),
}

/// Converts a file: prints the second front's file to standard output and the lines not converted to standard error.
pub fn import(path: &Path) -> Result<(), ImportError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| ImportError::Unreadable { path: path.into(), error })?;
    let imported = convert(&text)?;
    for SkippedLine { line, reason } in &imported.left_out {
        eprintln!("{}: line {line}: not taken over: {reason}", path.display());
    }
    print!("{}", imported.text);
    Ok(())
}

/// Converts the text of an HAProxy configuration.
pub fn convert(text: &str) -> Result<Imported, ConvertError> {
    let mut reader = Reader::default();
    for (index, line) in text.lines().enumerate() {
        reader.read_line(index + 1, line);
    }
    let listen = reader.listen_address().ok_or(ConvertError::NoBind)?;
    let chosen = reader.choose_backends();
    let front = front(&reader, &listen, &chosen)?;
    let mut left_out = reader.left_out;
    left_out.sort_by_cached_key(|left_out| (left_out.line, left_out.reason.to_string()));
    let text = file_text(&front, &left_out)?;
    // The converted file must load.
    parse_front(&text).map_err(ConvertError::Unusable)?;
    Ok(Imported { text, left_out })
}

/// Names of the backends chosen for the parts of the API; `None` if a part has no backend.
#[derive(Default)]
struct ChosenBackends {
    embeddings: Option<String>,
    chat: Option<String>,
}

impl ChosenBackends {
    fn part(&mut self, part: ApiPart) -> &mut Option<String> {
        match part {
            ApiPart::Embeddings => &mut self.embeddings,
            ApiPart::Chat => &mut self.chat,
        }
    }

    fn contains(&self, name: &str) -> bool {
        [&self.embeddings, &self.chat].into_iter().flatten().any(|chosen| chosen == name)
    }
}

/// Builds the second front's file: the defaults, overridden by the values of the HAProxy configuration.
fn front(
    reader: &Reader, listen: &str, chosen: &ChosenBackends,
) -> Result<InferenceFrontConfig, ConvertError> {
    let backend = |name: &Option<String>| name.as_ref().map(|name| &reader.backends[name]);
    let (embeddings, chat) = (backend(&chosen.embeddings), backend(&chosen.chat));
    let mut front: InferenceFrontConfig = toml::from_str(&format!("listen = {listen:?}"))?;
    front.max_connections = reader.max_connections.unwrap_or(front.max_connections);
    let server_timeout = |backend: &Backend| backend.server_ms.or(reader.defaults.server_ms);
    let longest = [embeddings, chat].into_iter().flatten().filter_map(server_timeout).max();
    front.deadline_ms = longest.unwrap_or(front.deadline_ms);
    front.max_deadline_ms = reader.client_ms.unwrap_or(front.max_deadline_ms).max(front.deadline_ms);
    front.embeddings = embeddings.and_then(|backend| pool(backend, &reader.defaults));
    front.chat = chat.and_then(|backend| pool(backend, &reader.defaults));
    Ok(front)
}

fn pool(backend: &Backend, defaults: &Backend) -> Option<PoolConfig> {
    let mut pool: PoolConfig = toml::from_str("").ok()?;
    pool.connect_ms = backend.connect_ms.or(defaults.connect_ms).unwrap_or(pool.connect_ms);
    pool.servers = backend.servers.clone();
    Some(pool)
}

fn file_text(front: &InferenceFrontConfig, left_out: &[SkippedLine]) -> Result<String, ConvertError> {
    let mut text = String::from("# From an HAProxy configuration.\n");
    for SkippedLine { line, reason } in left_out {
        text += &format!("# line {line} was not taken over: {reason}\n");
    }
    text += &toml::to_string(front)?;
    Ok(text)
}

#[cfg(test)]
mod tests;
