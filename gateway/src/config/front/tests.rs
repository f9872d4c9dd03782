//! Tests of the validation of the second front's file.

use super::parse_front;

#[test]
fn a_faulty_key_or_line_of_the_file_is_named() {
    let good = "listen = '127.0.0.1:0'\n[embeddings]\nservers = [{ name = 'e', dial = '127.0.0.1:9' }]\n";
    assert_eq!(parse_front(good).expect("a file").max_body, 4 << 20);
    for (text, key) in [
        ("listen = 'x'", "listen"),
        ("listen = '127.0.0.1:0'\nmax_body = 0", "max_body"),
        ("listen = '127.0.0.1:0'\ndeadline_ms = 9000\nmax_deadline_ms = 10", "deadline_ms"),
        ("listen = '127.0.0.1:0'\n\nlisten_too = 1", "line 3"),
        ("listen = '127.0.0.1:0'\n[chat]\nservers = []", "chat.servers"),
        ("listen = '127.0.0.1:0'\n[chat]\nservers = [{ name = 'a', dial = 'b' }]", "chat.servers[0].dial"),
    ] {
        assert_eq!(parse_front(text).expect_err(text).key, key);
    }
}
