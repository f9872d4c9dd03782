//! Decisions of the request hook.

use http::{HeaderName, HeaderValue};
use rhai::{Dynamic, Map};

use super::printed_text::printed_text;
use crate::log;

/// Maximum number of notes that a script may add to one request.
const MAX_NOTES: usize = 16;
/// Maximum total length in bytes of the names and values of a request's notes, so that they fit into a server's limit for
/// heads beside the client's headers.
const MAX_NOTES_BYTES: usize = 4 << 10;
/// Prefix of the headers with notes, so that they cannot overwrite a header of the client.
const NOTE_PREFIX: &str = "x-note-";

/// A header for the server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// Name of the header.
    pub name: HeaderName,
    /// Value of the header.
    pub value: HeaderValue,
}

impl Note {
    /// Creates a note. Returns `None` if its name or its value is not valid in a header.
    pub fn new(name: &str, value: &str) -> Option<Self> {
        let name = HeaderName::from_bytes(format!("{NOTE_PREFIX}{name}").as_bytes()).ok()?;
        let value = HeaderValue::from_str(value).ok()?;
        Some(Note { name, value })
    }

    fn length(&self) -> usize {
        self.name.as_str().len() + self.value.len()
    }
}

/// A script's decision on a request.
#[derive(Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request continues, with these notes for the server.
    Pass(Vec<Note>),
    /// The request is rejected for this reason, which is logged.
    Reject(String),
}

impl Verdict {
    /// Converts the result of a script's request hook. The request passes if the result has no meaning.
    pub fn from_script(result: Dynamic) -> Self {
        if result.is_string() {
            return Verdict::Reject(printed_text(&result.into_string().unwrap_or_default()));
        }
        if result.as_bool() == Ok(false) {
            return Verdict::Reject("no reason given".into());
        }
        Verdict::Pass(notes(result.try_cast::<Map>().unwrap_or_default()))
    }
}

/// Returns the notes that are valid headers, up to the limits.
fn notes(fields: Map) -> Vec<Note> {
    let mut notes = Vec::new();
    let mut length = 0;
    for (name, value) in fields.into_iter().take(MAX_NOTES) {
        let Some(note) = Note::new(&name, &value.to_string()) else {
            log!("plugin: skipped a note that is not a valid header");
            continue;
        };
        if length + note.length() > MAX_NOTES_BYTES {
            log!("plugin: skipped a note that exceeds the limit of {MAX_NOTES_BYTES} bytes for all notes");
            continue;
        }
        length += note.length();
        notes.push(note);
    }
    notes
}
