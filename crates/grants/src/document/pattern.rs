//! Patterns over names: `*` stands for any run of characters, none included.

/// Whether the text is a pattern rather than a name.
pub fn is_pattern(text: &str) -> bool {
    text.contains('*')
}

/// Whether the name is one that the pattern stands for. Takes time of at most the product of both lengths.
pub fn matches(pattern: &str, name: &str) -> bool {
    let (pattern, name) = (pattern.as_bytes(), name.as_bytes());
    let (mut at, mut read) = (0, 0);
    let mut star: Option<(usize, usize)> = None;
    while read < name.len() {
        if pattern.get(at) == Some(&b'*') {
            star = Some((at, read));
            at += 1;
        } else if pattern.get(at) == Some(&name[read]) {
            (at, read) = (at + 1, read + 1);
        } else if let Some((stood, from)) = star {
            // The last star takes one more character.
            star = Some((stood, from + 1));
            (at, read) = (stood + 1, from + 1);
        } else {
            return false;
        }
    }
    pattern[at..].iter().all(|&byte| byte == b'*')
}

#[cfg(test)]
mod tests {
    use super::matches;

    #[test]
    fn a_star_is_any_run() {
        for (pattern, name, is) in [
            ("*", "", true),
            ("*", "a", true),
            ("a*", "abc", true),
            ("*c", "abc", true),
            ("a*b*c", "aXbYbZc", true),
            ("a*b", "abc", false),
            ("a", "ab", false),
            ("ab*", "a", false),
            ("a**", "a", true),
        ] {
            assert_eq!(matches(pattern, name), is, "{pattern} {name}");
        }
    }
}
