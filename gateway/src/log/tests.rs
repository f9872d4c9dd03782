//! The rate limit of log lines.

use super::*;

/// Guards against a flood of log lines that fills the disk.
#[test]
fn a_call_site_is_limited_and_reports_suppressed_lines_later() {
    let (limit, start) = (RateLimit::new(), Instant::now());
    let written = (0..20).filter(|_| limit.admit(start).is_some()).count();
    assert_eq!(written, LINES_PER_PERIOD as usize);
    assert_eq!(limit.admit(start + PERIOD), Some(20 - LINES_PER_PERIOD));
    assert_eq!(limit.admit(start + 2 * PERIOD), Some(0));
}
