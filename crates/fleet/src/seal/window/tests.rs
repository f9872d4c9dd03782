use std::collections::BTreeSet;

use proptest::prelude::*;

use super::*;

proptest! {
    /// Compares the window with a set of all counters: a counter within the width is new once, one below it never.
    #[test]
    fn the_window_agrees_with_an_unbounded_set(steps in prop::collection::vec((0u64..2_600, any::<bool>()), 1..400)) {
        let (mut window, mut seen, mut newest) = (Window::default(), BTreeSet::new(), 0u64);
        for (jump, back) in steps {
            let counter = if back { newest.saturating_sub(jump) } else { newest + jump / 20 };
            let expected = if counter == 0 || counter + WINDOW_WIDTH <= newest {
                CounterStatus::TooOld
            } else if seen.insert(counter) {
                CounterStatus::New
            } else {
                CounterStatus::Duplicate
            };
            newest = newest.max(counter);
            prop_assert_eq!(window.accept(counter), expected);
        }
    }
}

#[test]
fn the_largest_counter_does_not_overflow() {
    let mut window = Window::default();
    assert_eq!(window.accept(u64::MAX), CounterStatus::New);
    assert_eq!(window.accept(u64::MAX), CounterStatus::Duplicate);
    assert_eq!(window.accept(u64::MAX - WINDOW_WIDTH), CounterStatus::TooOld);
    assert_eq!(window.accept(u64::MAX - WINDOW_WIDTH + 1), CounterStatus::New);
}
