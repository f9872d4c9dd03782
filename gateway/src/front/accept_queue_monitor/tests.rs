//! Tests of the earliest arrival of a connection, with a scripted clock.

use super::*;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against granting requests extra time after a pause of the process: connections that were queued
/// during the pause count from the last turn of the loop, later ones do not.
#[test]
fn connections_queued_during_a_pause_count_from_the_last_turn() {
    let start = Instant::now();
    let monitor = AcceptQueueMonitor::new(start);
    monitor.note_turn(start + ms(200));
    monitor.note_empty();
    assert_eq!(monitor.earliest_arrival(start + ms(700)), start + ms(200));
    assert_eq!(monitor.earliest_arrival(start + ms(701)), start + ms(200));
    monitor.note_empty();
    assert_eq!(monitor.earliest_arrival(start + ms(702)), start + ms(702));
}

/// Guards against shortening the time of requests to an idle gateway: while heartbeats are on time, a
/// connection has just arrived when it is accepted.
#[test]
fn connection_to_an_idle_gateway_has_just_arrived() {
    let start = Instant::now();
    let monitor = AcceptQueueMonitor::new(start);
    for beat in 1..40 {
        monitor.note_turn(start + HEARTBEAT * beat);
        monitor.note_empty();
    }
    let now = start + HEARTBEAT * 40 + HEARTBEAT_SLACK;
    assert_eq!(monitor.earliest_arrival(now), now);
}

/// Guards the arrival time of connections that queue while the table is full, and the maximum of a counted wait
/// for a queue that never becomes empty.
#[test]
fn wait_for_a_vacancy_counts_from_its_start_up_to_a_maximum() {
    let start = Instant::now();
    let monitor = AcceptQueueMonitor::new(start);
    monitor.note_unpolled(start + ms(10));
    monitor.note_unpolled(start + ms(100));
    assert_eq!(monitor.earliest_arrival(start + ms(200)), start + ms(10));
    let late = start + ms(10) + MAX_COUNTED_WAIT * 3;
    assert_eq!(monitor.earliest_arrival(late), late - MAX_COUNTED_WAIT);
}
