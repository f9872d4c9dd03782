//! Tests of the earliest arrival of a connection, with a scripted clock.

use super::*;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against granting requests extra time after a pause of the process: connections that were queued
/// during the pause count from the last turn of the loop, later ones do not.
#[test]
fn what_lay_in_the_queue_while_the_process_stood_still_counts_from_the_last_turn() {
    let start = Instant::now();
    let watch = AcceptWatch::new(start);
    watch.note_turn(start + ms(200));
    watch.note_empty();
    assert_eq!(watch.earliest_arrival(start + ms(700)), start + ms(200));
    assert_eq!(watch.earliest_arrival(start + ms(701)), start + ms(200));
    watch.note_empty();
    assert_eq!(watch.earliest_arrival(start + ms(702)), start + ms(702));
}

/// Guards against shortening the time of requests to an idle gateway: while heartbeats are on time, a
/// connection has just arrived when it is accepted.
#[test]
fn a_connection_to_an_idle_gateway_has_just_come() {
    let start = Instant::now();
    let watch = AcceptWatch::new(start);
    for beat in 1..40 {
        watch.note_turn(start + HEARTBEAT * beat);
        watch.note_empty();
    }
    let now = start + HEARTBEAT * 40 + HEARTBEAT_SLACK;
    assert_eq!(watch.earliest_arrival(now), now);
}

/// Guards the arrival time of connections that queue while the table is full, and the maximum of a counted wait
/// for a queue that never becomes empty.
#[test]
fn a_wait_for_a_vacancy_counts_from_its_beginning_up_to_a_bound() {
    let start = Instant::now();
    let watch = AcceptWatch::new(start);
    watch.note_unattended(start + ms(10));
    watch.note_unattended(start + ms(100));
    assert_eq!(watch.earliest_arrival(start + ms(200)), start + ms(10));
    let late = start + ms(10) + MAX_COUNTED_WAIT * 3;
    assert_eq!(watch.earliest_arrival(late), late - MAX_COUNTED_WAIT);
}
