//! The earliest arrival of a connection, by a scripted clock.

use super::*;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards requests from being told time that passed while the process stood still: all that lay in the queue count from the loop's
/// last turn, and what comes after it was empty does not.
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

/// Guards requests to an idle gateway from losing time: a heartbeat in time says that the loop would have looked.
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

/// Guards requests that wait while the table is full, each behind others, and those of a queue that is never empty.
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
