//! Parsing of records within log lines.

use crate::{AttemptRecord, RequestRecord, LINE_PREFIX};

#[test]
fn a_record_is_parsed_with_other_text_around_it() {
    let all_attempts = vec![AttemptRecord {
        server: "a1".into(),
        sent_ms: 1.0,
        ended_ms: 40.5,
        outcome: "Read".into(),
        ..AttemptRecord::default()
    }];
    let record = RequestRecord {
        id: "9b".into(),
        class: 1,
        session: u64::MAX,
        latency_objective_ms: 2_000.0,
        attempts: all_attempts,
        ..RequestRecord::default()
    };
    let line = format!("24.1 glenrail: {LINE_PREFIX}{record} (3 like it left out)");
    assert_eq!(RequestRecord::parse_line(&line), Some(record));
    assert_eq!(RequestRecord::parse_line("24.1 glenrail: request the impossible"), None);
}
