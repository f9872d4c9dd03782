//! Validation of one line of an event stream: the only place that decides which bytes make a stream malformed.
//!
//! The rules follow the event-stream format of the HTML standard, with two restrictions that detect a broken framing: the
//! text of a field must be UTF-8 without control characters other than tab, and a field that the format does not define
//! must have a plain name and a colon. A comment may hold any bytes, because its readers ignore it.

/// Names of the fields that the event-stream format defines.
const KNOWN_FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// Maximum length in bytes of the name of a field that the format does not define.
const MAX_FIELD_NAME_BYTES: usize = 64;

/// The bytes are not a valid event, or the event exceeds its maximum size.
#[derive(Debug, PartialEq, Eq)]
pub struct MalformedEvent;

/// What a complete line means to a reader of the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    /// Ends an event.
    Empty,
    /// A comment or a field that the format does not define. Readers ignore it.
    Ignored,
    /// Data of an event.
    Data,
    /// Another field of an event.
    OtherField,
}

/// Validates a line without its line feed, and returns its kind.
///
/// The first `validated` bytes are skipped, as in [`check_partial`].
pub fn check_complete(line: &[u8], validated: usize) -> Result<LineKind, MalformedEvent> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    if line.is_empty() {
        return Ok(LineKind::Empty);
    }
    if is_comment(line) {
        return Ok(LineKind::Ignored);
    }
    let text = line.get(validated..).unwrap_or_default();
    if std::str::from_utf8(text).is_err() || text.iter().any(is_forbidden_control) {
        return Err(MalformedEvent);
    }
    match colon(line).map(|end| &line[..end]) {
        Some(name) if is_known(name) => Ok(field_kind(name)),
        Some(name) if is_plain_name(name) => Ok(LineKind::Ignored),
        // Where a chunk is longer than its data, the size line of the next one appears as a name without a colon.
        None if is_known(line) => Ok(field_kind(line)),
        _ => Err(MalformedEvent),
    }
}

/// Validates that a line whose end was not received is the beginning of a valid one.
///
/// The first `validated` bytes are skipped since an earlier call has validated them. A long line in small pieces is thus
/// examined only once, which matters because all streams share this thread. Returns the number of validated bytes.
pub fn check_partial(line: &[u8], validated: usize) -> Result<usize, MalformedEvent> {
    if is_comment(line) {
        return Ok(line.len());
    }
    // A carriage return at the end may belong to the line ending.
    let content = line.strip_suffix(b"\r").unwrap_or(line);
    if content.is_empty() {
        return Ok(0);
    }
    let name = colon(content).map_or(content, |end| &content[..end]);
    if !is_plain_name(name) {
        return Err(MalformedEvent);
    }
    let text = &content[validated..];
    let text_length = match std::str::from_utf8(text) {
        Ok(_) => text.len(),
        // The line may end within a multi-byte character, if no line ending follows.
        Err(error) if error.error_len().is_none() && content.len() == line.len() => error.valid_up_to(),
        Err(_) => return Err(MalformedEvent),
    };
    if text.iter().any(is_forbidden_control) {
        return Err(MalformedEvent);
    }
    Ok(validated + text_length)
}

/// Returns whether the beginning of a line can belong to an event: the name of its field is known, or may become so.
pub fn may_belong_to_event(line: &[u8]) -> bool {
    match colon(line) {
        Some(end) => is_known(&line[..end]),
        None => KNOWN_FIELDS.iter().any(|name| name.starts_with(line.strip_suffix(b"\r").unwrap_or(line))),
    }
}

/// Returns whether a line is a comment.
pub fn is_comment(line: &[u8]) -> bool {
    line.first() == Some(&b':')
}

/// Returns the offset of the colon behind a field's name, if it is within the maximum length of a name.
fn colon(line: &[u8]) -> Option<usize> {
    line.iter().take(MAX_FIELD_NAME_BYTES + 1).position(|byte| *byte == b':')
}

fn is_known(name: &[u8]) -> bool {
    KNOWN_FIELDS.contains(&name)
}

fn field_kind(name: &[u8]) -> LineKind {
    if name == b"data" {
        LineKind::Data
    } else {
        LineKind::OtherField
    }
}

/// Returns whether a name is a letter followed by letters, digits and the punctuation of header names. Parts of JSON
/// documents, size lines that begin with a digit and heads of responses are not.
fn is_plain_name(name: &[u8]) -> bool {
    let is_name_byte = |byte: &u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    name.len() <= MAX_FIELD_NAME_BYTES
        && name.first().is_some_and(u8::is_ascii_alphabetic)
        && name.iter().all(is_name_byte)
}

/// Returns whether a byte is a control character that neither JSON nor the event-stream format allows within a line.
fn is_forbidden_control(byte: &u8) -> bool {
    *byte < b' ' && *byte != b'\t'
}
