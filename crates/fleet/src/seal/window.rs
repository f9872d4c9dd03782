//! A sliding replay window over the counters of a sender. Each counter within the window is accepted once, in any
//! order. Owned by the state of one sender; needs no clock.

/// Number of counters in the window, from the newest downwards.
pub const WINDOW_WIDTH: u64 = 1_024;

/// Status of a counter in a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CounterStatus {
    /// Not accepted before: now accepted.
    New,
    /// Accepted before.
    Duplicate,
    /// Below the window, or 0. Rejected: whether a counter below the window was accepted before is unknown,
    /// and 0 is never sent.
    TooOld,
}

/// A ring of bits. The bit of a counter has the index `counter % WINDOW_WIDTH`.
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
            // Clears the bits of the counters above the previous newest one: none of them was accepted yet.
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

/// Returns the index of the counter's word in the ring, and the counter's bit in that word.
fn position(counter: u64) -> (usize, u64) {
    let slot = counter % WINDOW_WIDTH;
    ((slot / 64) as usize, 1 << (slot % 64))
}

#[cfg(test)]
mod tests;
