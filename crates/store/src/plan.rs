//! Selection of the files to compact. No I/O.
//!
//! Files are in the order of the log, and only adjacent ones are merged in a run, so that the order is kept.
//! A run costs the live bytes that it copies and reclaims the dead ones. The best run reclaims the most bytes
//! for each byte copied.

/// Space that one file of the log takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FileUsage {
    /// Bytes of all its changes.
    pub bytes: u64,
    /// Bytes of the changes that are still current.
    pub live_bytes: u64,
    /// Bytes of its deletions, which must be kept as long as an older file may hold a value of the key.
    pub tombstone_bytes: u64,
}

impl FileUsage {
    /// Returns the bytes of the file that a run reclaims.
    fn reclaimable(&self, includes_oldest: bool) -> u64 {
        self.bytes.saturating_sub(self.live_bytes + if includes_oldest { 0 } else { self.tombstone_bytes })
    }
}

/// When compaction runs, and how large a run may be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompactionLimits {
    /// Minimum share of dead bytes, in all sealed files and in the run, for a compaction.
    pub min_dead_share: f64,
    /// Maximum number of bytes that one run copies (live values and deletions that must be kept), which is
    /// the extra space that it needs.
    pub max_copied_bytes: u64,
    /// Maximum number of files in a run.
    pub max_files: usize,
    /// Minimum number of dead bytes in all sealed files for a compaction.
    pub min_dead_bytes: u64,
}

impl Default for CompactionLimits {
    fn default() -> Self {
        CompactionLimits {
            min_dead_share: 0.5,
            max_copied_bytes: 32 << 20,
            max_files: 8,
            min_dead_bytes: 64 << 10,
        }
    }
}

impl CompactionLimits {
    /// Returns the maximum number of bytes that compaction writes, in the long run, for each byte that
    /// callers write. A run that reclaims a share `g` of what it reads copies `(1 - g) / g` bytes for each
    /// byte reclaimed.
    pub fn max_write_amplification(&self) -> f64 {
        (1.0 - self.min_dead_share) / self.min_dead_share
    }
}

/// Returns the indices of the first and the last file of the run that is to be merged now, if there is one.
pub fn choose(sealed: &[FileUsage], limits: &CompactionLimits) -> Option<(usize, usize)> {
    let (total, dead_bytes) = sealed.iter().fold((0, 0), |(a, d), f| (a + f.bytes, d + f.reclaimable(true)));
    if dead_bytes < limits.min_dead_bytes.max(1) || (dead_bytes as f64) < limits.min_dead_share * total as f64
    {
        return None;
    }
    let mut best: Option<(f64, (usize, usize))> = None;
    for first in 0..sealed.len() {
        let (mut bytes, mut reclaimed) = (0, 0);
        for (last, file) in sealed.iter().enumerate().skip(first).take(limits.max_files) {
            bytes += file.bytes;
            reclaimed += file.reclaimable(first == 0);
            let live_bytes = bytes - reclaimed;
            if live_bytes > limits.max_copied_bytes {
                break;
            }
            // The minimum share of dead bytes applies to each run too, which bounds the write amplification.
            if (reclaimed as f64) < limits.min_dead_share * bytes as f64 || reclaimed == 0 {
                continue;
            }
            let score = reclaimed as f64 / (live_bytes + 1) as f64;
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

    fn file(bytes: u64, live_bytes: u64) -> FileUsage {
        FileUsage { bytes, live_bytes, tombstone_bytes: 0 }
    }

    fn files() -> impl Strategy<Value = Vec<FileUsage>> {
        let file = (1u64..1 << 20, 0.0..1.0f64)
            .prop_map(|(bytes, live_bytes)| file(bytes, (bytes as f64 * live_bytes) as u64));
        prop::collection::vec(file, 0..20)
    }

    proptest! {
        /// Guards against wasted space and wear of the disk: a run is within its limits and reclaims enough
        /// for what it copies, and there is a run as long as too many bytes are dead.
        #[test]
        fn a_run_reclaims_enough_for_what_it_copies(files in files()) {
            let limits = CompactionLimits {
                max_copied_bytes: 4 << 20,
                min_dead_bytes: 1,
                ..CompactionLimits::default()
            };
            let (total, dead_bytes) = files.iter().fold((0, 0), |(a, d), f| (a + f.bytes, d + f.reclaimable(true)));
            match choose(&files, &limits) {
                Some((first, last)) => {
                    let run = &files[first..=last];
                    let (bytes, live_bytes) = run.iter().fold((0, 0), |(b, l), f| (b + f.bytes, l + f.live_bytes));
                    prop_assert!(run.len() <= limits.max_files && live_bytes <= limits.max_copied_bytes);
                    let reclaimed_bytes = (bytes - live_bytes) as f64;
                    prop_assert!(live_bytes as f64 <= limits.max_write_amplification() * reclaimed_bytes + 1.0);
                }
                // Some single file has at least the share of dead bytes of all files together, and each file
                // is within the limits here.
                None => prop_assert!(dead_bytes == 0 || (dead_bytes as f64) < limits.min_dead_share * total as f64),
            }
        }
    }

    /// Only adjacent files are merged, and the run that reclaims the most bytes for each byte copied is
    /// chosen.
    #[test]
    fn the_run_with_the_most_dead_bytes_is_chosen() {
        let limits = CompactionLimits { min_dead_bytes: 1, ..CompactionLimits::default() };
        assert_eq!(
            choose(&[file(100, 90), file(100, 0), file(100, 5), file(100, 60)], &limits),
            Some((1, 1))
        );
        assert_eq!(choose(&[file(100, 90), file(100, 80)], &limits), None);
        assert_eq!(choose(&[], &limits), None);
    }

    /// Guards against endless compaction: deletions are reclaimed only together with the oldest file.
    #[test]
    fn deletions_are_reclaimed_with_the_oldest_file_only() {
        let limits = CompactionLimits { min_dead_bytes: 1, ..CompactionLimits::default() };
        let deletions = FileUsage { bytes: 100, live_bytes: 0, tombstone_bytes: 100 };
        assert_eq!(choose(&[file(10, 10), deletions], &limits), Some((0, 1)));
        assert_eq!(choose(&[file(1_000, 1_000), deletions], &limits), None);
        assert_eq!(choose(&[deletions], &limits), Some((0, 0)));
    }
}
