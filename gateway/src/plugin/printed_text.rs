//! Text of scripts in log lines.

/// Maximum length in bytes of a script's text in one log line.
const MAX_LOGGED_BYTES: usize = 1 << 10;

/// Returns a script's text as it may be logged: on one line, without control characters, and of limited length.
pub fn printed_text(text: &str) -> String {
    let mut printed = String::new();
    for character in text.chars() {
        if printed.len() >= MAX_LOGGED_BYTES {
            printed.push_str("...");
            break;
        }
        if character.is_control() {
            printed.extend(character.escape_default());
        } else {
            printed.push(character);
        }
    }
    printed
}
