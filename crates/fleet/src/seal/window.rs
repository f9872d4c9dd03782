//! A sliding window over a sender's counters: each is accepted once, however late within the window.

/// Counters behind the newest that are still told apart.
pub const WIDTH: u64 = 1_024;

/// What a counter is to a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    New,
    Before,
    /// Too far behind to tell; treated as seen.
    TooFarBehind,
}

/// Ring of bits: the bit of a counter is at its remainder by the width.
#[derive(Clone, Debug)]
pub struct Window {
    newest: u64,
    bits: [u64; (WIDTH / 64) as usize],
}

impl Default for Window {
    fn default() -> Window {
        Window { newest: 0, bits: [0; (WIDTH / 64) as usize] }
    }
}

impl Window {
    /// Counters begin at 1; 0 was never sent.
    pub fn accept(&mut self, counter: u64) -> Seen {
        if counter == 0 || self.newest.saturating_sub(counter) >= WIDTH {
            return Seen::TooFarBehind;
        }
        if counter > self.newest {
            // Bits between the old newest and the new one belong to counters that were not seen yet.
            if counter - self.newest >= WIDTH {
                self.bits = Default::default();
            } else {
                (self.newest + 1..=counter).for_each(|passed| self.set(passed, false));
            }
            self.newest = counter;
        }
        if self.get(counter) {
            return Seen::Before;
        }
        self.set(counter, true);
        Seen::New
    }

    fn get(&self, counter: u64) -> bool {
        let place = counter % WIDTH;
        self.bits[(place / 64) as usize] >> (place % 64) & 1 == 1
    }

    fn set(&mut self, counter: u64, to: bool) {
        let place = counter % WIDTH;
        let bit = 1 << (place % 64);
        let word = &mut self.bits[(place / 64) as usize];
        *word = if to { *word | bit } else { *word & !bit };
    }
}

#[cfg(test)]
mod tests;
