//! Tests of the time limits of a response. The model checker explores their combinations.

use std::time::Duration;

use super::{Expiry, OnPause, Progress, ResponseLimits, ResponseTiming};

const LIMITS: ResponseLimits = ResponseLimits {
    pause: Some(Duration::from_millis(20)),
    event_interval: Duration::from_millis(46),
    event_duration: Duration::from_millis(600),
    framing_duration: Duration::from_millis(40),
    min_framing_wait: Duration::from_millis(46),
    activity: super::Activity::Events,
};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Feeds a new machine with these observations, and returns its limit.
fn limit(limits: ResponseLimits, observed: &[(Progress, u64)]) -> Option<(u64, Expiry)> {
    let mut timing = ResponseTiming::new(limits);
    observed.iter().for_each(|(progress, millis)| timing.observe(*progress, at(*millis)));
    timing.limit().map(|limit| (limit.at.as_millis() as u64, limit.reason))
}

#[test]
fn only_a_pause_ends_a_response_before_its_first_event() {
    use Progress::{EventBytes, HeadBytes, HeadComplete, InterimHead, OtherBytes};
    assert_eq!(limit(LIMITS, &[]), None);
    assert_eq!(limit(LIMITS, &[(HeadBytes, 5), (HeadBytes, 19)]), Some((39, Expiry::HeadStalled)));
    assert_eq!(limit(LIMITS, &[(HeadBytes, 5), (InterimHead, 6)]), None);
    let body = [(HeadBytes, 5), (HeadComplete, 9), (OtherBytes, 11), (EventBytes, 21)];
    assert_eq!(limit(LIMITS, &body), Some((41, Expiry::BodyStalled)));
    assert_eq!(limit(LIMITS.without_pause_limit(), &body), None);
    assert_eq!(limit(ResponseLimits::platform(OnPause::Wait), &body), None);
}

#[test]
fn only_events_and_their_bytes_extend_the_wait() {
    use Progress::{ChunkBegun, EventBytes, EventComplete, IgnoredBytes, OtherBytes};
    let after = |observed: &[(Progress, u64)]| limit(LIMITS, &[&[(EventComplete, 100)], observed].concat());
    assert_eq!(after(&[(IgnoredBytes, 140)]), Some((146, Expiry::EventOverdue)));
    assert_eq!(after(&[(ChunkBegun, 140)]), Some((186, Expiry::EventStalled)));
    assert_eq!(after(&[(ChunkBegun, 140), (OtherBytes, 141)]), Some((146, Expiry::EventOverdue)));
    assert_eq!(after(&[(ChunkBegun, 120), (EventBytes, 160)]), Some((206, Expiry::EventStalled)));
    // An event without data is no event.
    assert_eq!(after(&[(EventBytes, 145), (IgnoredBytes, 150)]), Some((146, Expiry::EventOverdue)));
    assert_eq!(after(&[(EventBytes, 145), (EventComplete, 150)]), Some((196, Expiry::EventOverdue)));
}

#[test]
fn a_size_line_has_a_time_of_its_own_that_its_bytes_do_not_extend() {
    use Progress::{ChunkBegun, EventBytes, EventComplete, FramingBytes, FramingComplete};
    let dripping: Vec<_> = (0..12).map(|byte| (FramingBytes, 105 + 3 * byte)).collect();
    let observed = [&[(EventComplete, 100)], &dripping[..]].concat();
    let public = ResponseLimits { event_interval: at(900), activity: super::Activity::AnyBytes, ..LIMITS };
    for limits in [LIMITS, public] {
        assert_eq!(limit(limits, &observed), Some((146, Expiry::FramingOverdue)));
    }
    let after = |observed: &[(Progress, u64)]| limit(LIMITS, &[&[(EventComplete, 100)], observed].concat());
    assert_eq!(after(&[(FramingBytes, 110), (ChunkBegun, 145)]), Some((191, Expiry::EventStalled)));
    assert_eq!(after(&[(FramingBytes, 110), (FramingComplete, 120)]), Some((146, Expiry::EventOverdue)));
    // The line end of one chunk and the size line of the next are not one line.
    let two_lines = [(FramingBytes, 110), (FramingComplete, 120), (FramingBytes, 130)];
    assert_eq!(after(&two_lines), Some((170, Expiry::FramingOverdue)));
    let between_halves = [(EventBytes, 110), (FramingBytes, 120), (ChunkBegun, 130), (EventBytes, 140)];
    assert_eq!(after(&between_halves), Some((186, Expiry::EventStalled)));
}

#[test]
fn an_event_that_never_ends_is_bounded() {
    let mut observed = vec![(Progress::EventComplete, 0)];
    observed.extend((1..=60).map(|byte| (Progress::EventBytes, byte * 10)));
    assert_eq!(limit(LIMITS, &observed), Some((610, Expiry::EventTooLong)));
}

#[test]
fn time_in_which_nothing_is_read_does_not_count() {
    use Progress::{EventBytes, EventComplete, ReadingResumed, ReadingSuspended};
    let suspended = [(EventComplete, 0), (EventBytes, 10), (ReadingSuspended, 20)];
    assert_eq!(limit(LIMITS, &suspended), None);
    let resumed = [&suspended[..], &[(ReadingResumed, 320)]].concat();
    assert_eq!(limit(LIMITS, &resumed), Some((356, Expiry::EventStalled)));
}

#[test]
fn a_stream_that_was_handed_over_keeps_its_last_event() {
    let timing = ResponseTiming::resumed(LIMITS, at(10));
    assert_eq!((timing.expired(at(55)), timing.expired(at(56))), (None, Some(Expiry::EventOverdue)));
    assert_eq!(timing.last_event(), Some(at(10)));
}

#[test]
fn any_bytes_keep_a_stream_of_a_public_api() {
    let limits = ResponseLimits::public_api(at(100));
    let kept = [(Progress::EventComplete, 0), (Progress::IgnoredBytes, 90), (Progress::OtherBytes, 180)];
    assert_eq!(limit(limits, &kept), Some((280, Expiry::EventOverdue)));
}
