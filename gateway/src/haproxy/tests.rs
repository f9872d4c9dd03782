//! Tests of the conversion, and of the report of lines that are not converted.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::convert;
use crate::config::parse_front;

const FILE: &str = "\
global
    maxconn 300
    daemon
defaults
    mode http
    timeout connect 200ms
    timeout server 20s
    timeout client 1m
frontend search
    bind 127.0.0.1:8080 ssl
    use_backend vectors if { path_beg /v1/embeddings /v1/rerank }
    default_backend talk   # the rest
backend vectors
    balance leastconn
    server e1 127.0.0.1:9001 weight 50 check
    server e2 127.0.0.1:9002 disabled
backend talk
    server c1 127.0.0.1:9101
    server c2 chat.internal:80
backend unused
    server u 127.0.0.1:9
";

#[test]
fn a_converted_file_loads() {
    let imported = convert(FILE).expect("a file");
    let front = parse_front(&imported.text).expect("it loads");
    assert_eq!((front.listen.as_str(), front.max_connections), ("127.0.0.1:8080", 300));
    assert_eq!((front.deadline_ms, front.max_deadline_ms), (20_000, 60_000));
    let embeddings = front.embeddings.expect("a pool");
    assert_eq!((embeddings.connect_ms, embeddings.servers[0].weight), (200, 0.5));
    assert!(embeddings.servers[1].drain);
    assert_eq!(front.chat.expect("a pool").servers.len(), 1);
}

/// Guards against lines that are omitted silently.
#[test]
fn each_line_left_out_is_named() {
    let lines: Vec<usize> =
        convert(FILE).expect("a file").left_out.iter().map(|left_out| left_out.line).collect();
    assert_eq!(lines, [3, 10, 14, 15, 19, 20]);
}

#[test]
fn a_file_with_nothing_to_serve_is_an_error() {
    for text in ["", "frontend f\n bind 127.0.0.1:1\n default_backend b\nbackend b\n", "backend b\n"] {
        assert!(convert(text).is_err(), "{text}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against panics on malformed input and against converted files that do not load.
    #[test]
    fn any_text_is_converted_or_refused_without_a_panic(lines in prop::collection::vec(
        prop::sample::select(FILE.lines().collect::<Vec<_>>()), 0..30), noise in ".{0,40}") {
        if let Ok(imported) = convert(&format!("{}\n{noise}", lines.join("\n"))) {
            prop_assert!(parse_front(&imported.text).is_ok());
        }
    }
}
