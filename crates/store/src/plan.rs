//! Which files to compact, and when. No I/O.
//!
//! Files are in the order of the log; only whole runs of neighbours are merged, so that the order stays. A run costs
//! the live bytes that are copied and gives back the dead ones; the best run is the one with the most dead bytes for
//! each byte copied.

/// One file of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct File {
    /// What all its changes count for.
    pub bytes: u64,
    /// Of these, what is still current.
    pub live: u64,
    /// Of these, what takes keys out: it has to stay as long as an older file may have a value of the key.
    pub tombs: u64,
}

impl File {
    /// What a run gives back of it.
    fn gain(&self, oldest: bool) -> u64 {
        self.bytes.saturating_sub(self.live + if oldest { 0 } else { self.tombs })
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Compaction begins once so large a part of all bytes is dead.
    pub garbage: f64,
    /// Most live bytes that one run copies: the extra space while it goes on.
    pub extra: u64,
    /// Most files of a run.
    pub files: usize,
    /// Below so many dead bytes nothing is worth a run.
    pub worth: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { garbage: 0.5, extra: 32 << 20, files: 8, worth: 64 << 10 }
    }
}

impl Limits {
    /// The most bytes that compaction writes for each byte that a caller writes, in the long run: a run that gives back
    /// a part `g` of what it reads copies `(1 - g) / g` for each byte given back.
    pub fn amplification(&self) -> f64 {
        (1.0 - self.garbage) / self.garbage
    }
}

/// The run of sealed files, first and last, that is to be merged now.
pub fn choose(sealed: &[File], limits: &Limits) -> Option<(usize, usize)> {
    let (all, dead) = sealed.iter().fold((0, 0), |(a, d), f| (a + f.bytes, d + f.gain(true)));
    if dead < limits.worth.max(1) || (dead as f64) < limits.garbage * all as f64 {
        return None;
    }
    let mut best: Option<(f64, (usize, usize))> = None;
    for first in 0..sealed.len() {
        let (mut bytes, mut gain) = (0, 0);
        for (last, file) in sealed.iter().enumerate().skip(first).take(limits.files) {
            bytes += file.bytes;
            gain += file.gain(first == 0);
            let live = bytes - gain;
            if live > limits.extra {
                break;
            }
            // No worse than the whole, which is what bounds the amplification.
            if (gain as f64) < limits.garbage * bytes as f64 || gain == 0 {
                continue;
            }
            let score = gain as f64 / (live + 1) as f64;
            if best.is_none_or(|(b, _)| score > b) {
                best = Some((score, (first, last)));
            }
        }
    }
    best.map(|b| b.1)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn file(bytes: u64, live: u64) -> File {
        File { bytes, live, tombs: 0 }
    }

    fn files() -> impl Strategy<Value = Vec<File>> {
        let file =
            (1u64..1 << 20, 0.0..1.0f64).prop_map(|(bytes, live)| file(bytes, (bytes as f64 * live) as u64));
        prop::collection::vec(file, 0..20)
    }

    proptest! {
        /// Guards space and wear: a run is worth it, within its bounds, and there is one as long as too much is dead.
        #[test]
        fn a_run_pays(files in files()) {
            let limits = Limits { extra: 4 << 20, worth: 1, ..Limits::default() };
            let (all, dead) = files.iter().fold((0, 0), |(a, d), f| (a + f.bytes, d + f.gain(true)));
            match choose(&files, &limits) {
                Some((first, last)) => {
                    let run = &files[first..=last];
                    let (bytes, live) = run.iter().fold((0, 0), |(b, l), f| (b + f.bytes, l + f.live));
                    prop_assert!(run.len() <= limits.files && live <= limits.extra);
                    let given_back = (bytes - live) as f64;
                    prop_assert!(live as f64 <= limits.amplification() * given_back + 1.0);
                }
                // Some single file is at least as dead as all together, and each is within the bounds here.
                None => prop_assert!(dead == 0 || (dead as f64) < limits.garbage * all as f64),
            }
        }
    }

    /// Guards the order of the log and the space: neighbours only, and the deadest first.
    #[test]
    fn the_deadest_run_is_taken() {
        let limits = Limits { worth: 1, ..Limits::default() };
        assert_eq!(
            choose(&[file(100, 90), file(100, 0), file(100, 5), file(100, 60)], &limits),
            Some((1, 1))
        );
        assert_eq!(choose(&[file(100, 90), file(100, 80)], &limits), None);
        assert_eq!(choose(&[], &limits), None);
    }

    /// Guards against merging for ever: what takes keys out goes only with the oldest file.
    #[test]
    fn what_takes_keys_out_is_gained_with_the_oldest_file_alone() {
        let limits = Limits { worth: 1, ..Limits::default() };
        let tombs = File { bytes: 100, live: 0, tombs: 100 };
        assert_eq!(choose(&[file(10, 10), tombs], &limits), Some((0, 1)));
        assert_eq!(choose(&[file(1_000, 1_000), tombs], &limits), None);
        assert_eq!(choose(&[tombs], &limits), Some((0, 0)));
    }
}
