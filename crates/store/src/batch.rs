//! Keyspaces with typed keys and values, and batches of changes to several of them.

use std::borrow::Borrow;
use std::marker::PhantomData;

use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::error::{Error, Result};
use crate::view::View;

/// A key whose encoded bytes sort in the same order as the key.
pub trait Key: ToOwned {
    fn encode(&self, out: &mut Vec<u8>);
    fn decode(bytes: &[u8]) -> Option<Self::Owned>;
}

impl Key for str {
    fn encode(&self, out: &mut Vec<u8>) {
        out.extend_from_slice(self.as_bytes());
    }
    fn decode(bytes: &[u8]) -> Option<String> {
        String::from_utf8(bytes.to_vec()).ok()
    }
}

impl Key for [u8] {
    fn encode(&self, out: &mut Vec<u8>) {
        out.extend_from_slice(self);
    }
    fn decode(bytes: &[u8]) -> Option<Vec<u8>> {
        Some(bytes.to_vec())
    }
}

impl Key for u64 {
    fn encode(&self, out: &mut Vec<u8>) {
        out.extend_from_slice(&self.to_be_bytes());
    }
    fn decode(bytes: &[u8]) -> Option<u64> {
        bytes.try_into().ok().map(u64::from_be_bytes)
    }
}

/// A part of the store with keys and values of one type. Its number must never change and must not be used
/// for another keyspace.
pub struct Keyspace<K: ?Sized, V> {
    number: u16,
    keys: PhantomData<fn(&K)>,
    values: PhantomData<fn() -> V>,
}

impl<K: Key + ?Sized, V: Serialize + DeserializeOwned> Keyspace<K, V> {
    pub const fn new(number: u16) -> Self {
        Keyspace { number, keys: PhantomData, values: PhantomData }
    }

    fn key(&self, key: &K) -> Vec<u8> {
        let mut out = self.number.to_be_bytes().to_vec();
        key.encode(&mut out);
        out
    }

    fn value(bytes: &[u8]) -> Result<V> {
        postcard::from_bytes(bytes).map_err(|e| Error::Codec(e.to_string()))
    }

    /// Returns the value of a key at time `now` (ms on the caller's clock).
    pub fn get(&self, view: &View, key: &K, now: u64) -> Result<Option<V>> {
        view.get(&self.key(key), now)?.map(|(value, _)| Self::value(&value)).transpose()
    }

    /// Returns the value with its version, which a later batch can expect.
    pub fn get_versioned(&self, view: &View, key: &K, now: u64) -> Result<Option<(V, u64)>> {
        let found = view.get(&self.key(key), now)?;
        found.map(|(value, version)| Ok((Self::value(&value)?, version))).transpose()
    }

    /// Returns all entries that have not expired and whose key starts with `prefix`, in the order of their
    /// keys.
    pub fn scan(&self, view: &View, prefix: &K, now: u64) -> Result<Vec<(K::Owned, V)>>
    where
        K::Owned: Borrow<K>,
    {
        let prefix = self.key(prefix);
        let found = view.scan(&prefix, now).map(|found| {
            let (key, value) = found?;
            let decoded = K::decode(&key[2..])
                .ok_or_else(|| Error::Codec("the key is not of the keyspace's type".into()))?;
            Ok((decoded, Self::value(&value)?))
        });
        found.collect()
    }
}

/// One change of a batch, as the caller requested it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Change {
    pub key: Vec<u8>,
    pub value: Option<Vec<u8>>,
    pub expires_at: Option<u64>,
}

/// Changes that are applied together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    pub(crate) changes: Vec<Change>,
    /// Keys and the versions that they must have; `None`: the key must be absent.
    pub(crate) expected: Vec<(Vec<u8>, Option<u64>)>,
}

impl Batch {
    pub fn new() -> Self {
        Batch::default()
    }

    pub fn put<K: Key + ?Sized, V: Serialize + DeserializeOwned>(
        self, keyspace: &Keyspace<K, V>, key: &K, value: &V,
    ) -> Result<Self> {
        self.change(keyspace, key, value, None)
    }

    /// Puts a value that expires at time `expires_at` (ms on the caller's clock).
    pub fn put_until<K: Key + ?Sized, V: Serialize + DeserializeOwned>(
        self, keyspace: &Keyspace<K, V>, key: &K, value: &V, expires_at: u64,
    ) -> Result<Self> {
        self.change(keyspace, key, value, Some(expires_at))
    }

    fn change<K: Key + ?Sized, V: Serialize + DeserializeOwned>(
        mut self, keyspace: &Keyspace<K, V>, key: &K, value: &V, expires_at: Option<u64>,
    ) -> Result<Self> {
        let value = postcard::to_stdvec(value).map_err(|e| Error::Codec(e.to_string()))?;
        self.changes.push(Change { key: keyspace.key(key), value: Some(value), expires_at });
        Ok(self)
    }

    pub fn delete<K: Key + ?Sized, V: Serialize + DeserializeOwned>(
        mut self, keyspace: &Keyspace<K, V>, key: &K,
    ) -> Self {
        self.changes.push(Change { key: keyspace.key(key), value: None, expires_at: None });
        self
    }

    /// Adds a condition: the whole batch is rejected unless the key has this version, or is absent if the
    /// version is `None`. An expired value counts as present until compaction removes it.
    pub fn expect<K: Key + ?Sized, V: Serialize + DeserializeOwned>(
        mut self, keyspace: &Keyspace<K, V>, key: &K, version: Option<u64>,
    ) -> Self {
        self.expected.push((keyspace.key(key), version));
        self
    }
}
