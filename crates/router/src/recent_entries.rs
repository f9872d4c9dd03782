//! A bounded map that drops its least recently used entry, hashed alike in every process so that runs repeat.

use std::collections::hash_map::DefaultHasher;
use std::hash::{BuildHasherDefault, Hash};
use std::num::NonZeroUsize;

use lru::LruCache;

/// The map. A look-up by `get` counts as a use, one by `peek` does not.
pub type RecentEntries<K, V> = LruCache<K, V, BuildHasherDefault<DefaultHasher>>;

/// An empty map with room for so many entries, one at least.
pub fn recent_entries<K: Hash + Eq, V>(capacity: usize) -> RecentEntries<K, V> {
    let capacity = NonZeroUsize::new(capacity).unwrap_or(NonZeroUsize::MIN);
    LruCache::with_hasher(capacity, BuildHasherDefault::default())
}
