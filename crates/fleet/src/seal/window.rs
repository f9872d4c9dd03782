//! A sliding replay window over a sender's counters: each is accepted once, however late within the window. Owned by
//! the state of one sender; needs no clock.

/// Counters, from the newest downwards, that the window distinguishes.
pub const WINDOW_WIDTH: u64 = 1_024;

/// What a window says of a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CounterStatus {
    /// Not seen before: accepted.
    New,
    /// Accepted before.
    Duplicate,
    /// Below the window, so unknown; treated as seen.
    TooOld,
}

/// A ring of bits: the bit of a counter has the index `counter % WINDOW_WIDTH`.
#[derive(Clone, Debug)]
pub struct Window {
    newest: u64,
    bits: [u64; (WINDOW_WIDTH / 64) as usize],
}

impl Default for Window {
    fn default() -> Window {
        Window { newest: 0, bits: [0; (WINDOW_WIDTH / 64) as usize] }
    }
}

impl Window {
    /// Accepts a counter once. Counters begin at 1; 0 is never sent.
    pub fn accept(&mut self, counter: u64) -> CounterStatus {
        if counter == 0 || self.newest.saturating_sub(counter) >= WINDOW_WIDTH {
            return CounterStatus::TooOld;
        }
        if counter > self.newest {
            // Bits between the old newest and the new one belong to counters that were not seen yet.
            if counter - self.newest >= WINDOW_WIDTH {
                self.bits = Default::default();
            } else {
                (self.newest + 1..=counter).for_each(|skipped| self.clear(skipped));
            }
            self.newest = counter;
        }
        if self.get(counter) {
            return CounterStatus::Duplicate;
        }
        self.set(counter);
        CounterStatus::New
    }

    fn get(&self, counter: u64) -> bool {
        let (index, bit) = position(counter);
        self.bits[index] & bit != 0
    }

    fn set(&mut self, counter: u64) {
        let (index, bit) = position(counter);
        self.bits[index] |= bit;
    }

    fn clear(&mut self, counter: u64) {
        let (index, bit) = position(counter);
        self.bits[index] &= !bit;
    }
}

/// Index into the ring's words, and the counter's bit in that word.
fn position(counter: u64) -> (usize, u64) {
    let slot = counter % WINDOW_WIDTH;
    ((slot / 64) as usize, 1 << (slot % 64))
}

#[cfg(test)]
mod tests;
