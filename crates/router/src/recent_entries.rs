//! Bounded map that evicts its least recently used entry. Its hash is the same in every process, so that runs
//! are reproducible.

use std::collections::hash_map::DefaultHasher;
use std::hash::{BuildHasherDefault, Hash};
use std::num::NonZeroUsize;

use lru::LruCache;

/// Bounded map with least-recently-used eviction. `get` counts as a use, `peek` does not.
pub type RecentEntries<K, V> = LruCache<K, V, BuildHasherDefault<DefaultHasher>>;

/// Creates an empty map for at most `capacity` entries, and for at least one.
pub fn recent_entries<K: Hash + Eq, V>(capacity: usize) -> RecentEntries<K, V> {
    let capacity = NonZeroUsize::new(capacity).unwrap_or(NonZeroUsize::MIN);
    LruCache::with_hasher(capacity, BuildHasherDefault::default())
}
