//! `import-haproxy`: converts an HAProxy configuration into the second front's file.
//!
//! What has no counterpart is named with its line; nothing is left out without a note. Pure functions over the text,
//! except for [`import`], which reads the file and prints.
#![deny(missing_docs)]

mod line;
mod reader;

use std::io;
use std::path::{Path, PathBuf};

use crate::config::{self, front_from, InferenceFrontConfig, PoolConfig};

pub use self::line::LeftOutReason;
use self::line::Part;
use self::reader::{Backend, Reader};

/// The second front's file, and what did not go into it.
#[derive(Debug)]
pub struct Imported {
    /// The second front's file.
    pub text: String,
    /// What was not converted, in the order of the lines.
    pub left_out: Vec<LeftOut>,
}

/// A line, or a part of one, that was not converted.
#[derive(Debug)]
pub struct LeftOut {
    /// Number of the line, from 1.
    pub line: usize,
    /// Why it was not converted.
    pub reason: LeftOutReason,
}

/// Why a file cannot be imported.
#[derive(Debug, thiserror::Error)]
pub enum ImportError {
    /// Name a file that this process may read.
    #[error("{}: {error}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why it cannot be read.
        error: io::Error,
    },
    /// The file's contents cannot be converted.
    #[error(transparent)]
    Convert(#[from] ConvertError),
}

/// Why a configuration cannot be converted.
#[derive(Debug, thiserror::Error)]
pub enum ConvertError {
    /// The second front needs an address to listen on.
    #[error("no bind line that could be taken over")]
    NoBind,
    /// The second front's defaults could not be made.
    #[error("{0}")]
    Defaults(#[from] toml::de::Error),
    /// The second front's file could not be written.
    #[error("{0}")]
    Write(#[from] toml::ser::Error),
    /// What was converted is no file that the second front accepts.
    #[error("nothing that could be served comes out: {0}")]
    Unusable(config::ConfigError),
}

/// Reads a file, prints the second front's file and, to standard error, what was left out.
pub fn import(path: &Path) -> Result<(), ImportError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| ImportError::Unreadable { path: path.into(), error })?;
    let imported = convert(&text)?;
    for LeftOut { line, reason } in &imported.left_out {
        eprintln!("{}: line {line}: not taken over: {reason}", path.display());
    }
    print!("{}", imported.text);
    Ok(())
}

/// Converts a configuration's text.
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
    // What comes out must load; else say why it cannot.
    front_from(&text).map_err(ConvertError::Unusable)?;
    Ok(Imported { text, left_out })
}

/// Names of the backends that serve the API's parts.
#[derive(Default)]
struct ChosenBackends {
    embeddings: Option<String>,
    chat: Option<String>,
}

impl ChosenBackends {
    fn part(&mut self, part: Part) -> &mut Option<String> {
        match part {
            Part::Embeddings => &mut self.embeddings,
            Part::Chat => &mut self.chat,
        }
    }

    fn contains(&self, name: &str) -> bool {
        [&self.embeddings, &self.chat].into_iter().flatten().any(|chosen| chosen == name)
    }
}

/// The second front's file: the defaults, and over them what the configuration says.
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

fn file_text(front: &InferenceFrontConfig, left_out: &[LeftOut]) -> Result<String, ConvertError> {
    let mut text = String::from("# From an HAProxy configuration.\n");
    for LeftOut { line, reason } in left_out {
        text += &format!("# line {line} was not taken over: {reason}\n");
    }
    text += &toml::to_string(front)?;
    Ok(text)
}

#[cfg(test)]
mod tests;
