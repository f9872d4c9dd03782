//! Patterns for names: `*` matches any run of characters, including an empty one.

/// Returns whether the text is a pattern rather than a name.
pub fn is_pattern(text: &str) -> bool {
    text.contains('*')
}

/// Returns whether the pattern matches the name. The running time is at most proportional to the product of
/// both lengths.
pub fn matches(pattern: &str, name: &str) -> bool {
    let (pattern, name) = (pattern.as_bytes(), name.as_bytes());
    let (mut pattern_pos, mut name_pos) = (0, 0);
    let mut last_star: Option<(usize, usize)> = None;
    while name_pos < name.len() {
        if pattern.get(pattern_pos) == Some(&b'*') {
            last_star = Some((pattern_pos, name_pos));
            pattern_pos += 1;
        } else if pattern.get(pattern_pos) == Some(&name[name_pos]) {
            (pattern_pos, name_pos) = (pattern_pos + 1, name_pos + 1);
        } else if let Some((star_pos, match_end)) = last_star {
            // Backtrack: the last star matches one more byte.
            last_star = Some((star_pos, match_end + 1));
            (pattern_pos, name_pos) = (star_pos + 1, match_end + 1);
        } else {
            return false;
        }
    }
    pattern[pattern_pos..].iter().all(|&byte| byte == b'*')
}

#[cfg(test)]
mod tests {
    use super::matches;

    #[test]
    fn a_star_matches_any_run_of_characters() {
        for (pattern, name, expected) in [
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
            assert_eq!(matches(pattern, name), expected, "{pattern} {name}");
        }
    }
}
