//! Selection of the files to compact. No I/O.
//!
//! Files are in the order of the log, and only adjacent ones are merged in a run, so that the order is kept.
//! A run costs the live bytes that it copies and reclaims the dead ones. The best run reclaims the most bytes
//! for each byte copied.

/// Space that one file of the log takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct File {
    /// Bytes of all its changes.
    pub bytes: u64,
    /// Bytes of the changes that are still current.
    pub live: u64,
    /// Bytes of its deletions, which must be kept as long as an older file may hold a value of the key.
    pub tombs: u64,
}

impl File {
    /// Returns the bytes of the file that a run reclaims.
    fn gain(&self, oldest: bool) -> u64 {
        self.bytes.saturating_sub(self.live + if oldest { 0 } else { self.tombs })
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Minimum share of dead bytes, in all files and in a run, for a compaction.
    pub garbage: f64,
    /// Maximum number of live bytes that one run copies, which is the extra space that it needs.
    pub extra: u64,
    /// Maximum number of files in a run.
    pub files: usize,
    /// Minimum number of dead bytes in all files for a compaction.
    pub worth: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { garbage: 0.5, extra: 32 << 20, files: 8, worth: 64 << 10 }
    }
}

impl Limits {
    /// Returns the maximum number of bytes that compaction writes, in the long run, for each byte that
    /// callers write. A run that reclaims a share `g` of what it reads copies `(1 - g) / g` bytes for each
    /// byte reclaimed.
    pub fn amplification(&self) -> f64 {
        (1.0 - self.garbage) / self.garbage
    }
}

/// Returns the first and the last file of the run that is to be merged now, if there is one.
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
            // The limit that holds for all files holds for each run, which bounds the amplification.
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
        /// Guards against wasted space and wear of the disk: a run is within its limits and reclaims enough
        /// for what it copies, and there is a run as long as too many bytes are dead.
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
                // Some single file has at least the share of dead bytes of all files together, and each file
                // is within the limits here.
                None => prop_assert!(dead == 0 || (dead as f64) < limits.garbage * all as f64),
            }
        }
    }

    /// Guards the order of the log and the space: only adjacent files are merged, and the ones with the most
    /// dead bytes first.
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

    /// Guards against endless compaction: deletions are reclaimed only together with the oldest file.
    #[test]
    fn what_takes_keys_out_is_gained_with_the_oldest_file_alone() {
        let limits = Limits { worth: 1, ..Limits::default() };
        let tombs = File { bytes: 100, live: 0, tombs: 100 };
        assert_eq!(choose(&[file(10, 10), tombs], &limits), Some((0, 1)));
        assert_eq!(choose(&[file(1_000, 1_000), tombs], &limits), None);
        assert_eq!(choose(&[tombs], &limits), Some((0, 0)));
    }
}
