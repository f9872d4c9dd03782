//! A map of the newest so many entries, hashed alike in every process so that runs repeat.

use std::collections::hash_map::DefaultHasher;
use std::hash::{BuildHasherDefault, Hash};
use std::num::NonZeroUsize;

use lru::LruCache;

use crate::api::Millis;

/// Values and when each was last put in; looking one up by `get` makes it the newest.
pub type RecentEntries<K, V> = LruCache<K, (V, Millis), BuildHasherDefault<DefaultHasher>>;

/// An empty one that holds so many, one at least.
pub fn recent_entries<K: Hash + Eq, V>(cap: usize) -> RecentEntries<K, V> {
    LruCache::with_hasher(NonZeroUsize::new(cap).unwrap_or(NonZeroUsize::MIN), Default::default())
}
