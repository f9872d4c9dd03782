//! Snapshot: the measurements and affinities of a router, encoded for the successor process of an upgrade.
//!
//! A snapshot contains the age of the router, the mean prompt length, the throughput of each role, the
//! service times, and the most recently used entries of the prefix table. The successor receives the servers
//! from discovery and starts without the other state. The format is fixed (`tests/stored_state.rs`): 64-bit
//! little-endian words, numbers as their IEEE 754 bits, and times as ages, because the two processes have
//! different clocks.

use crate::api::{Millis, ServerId};
use crate::policy::Router;
use crate::state::{sanitize, AffinityEntry, AffinityKey, RoleThroughput, RoutingStatistics, ServiceTime};

/// Version of the format, which is the first word.
const FORMAT_VERSION: u64 = 1;
/// Maximum number of prefix table entries in a snapshot, from the most recently used one.
const MAX_ENTRIES: usize = 4_000;
/// Size of a word in bytes.
const WORD_SIZE: usize = 8;
/// Kind of an entry whose key is a session.
const KIND_SESSION: u64 = 0;
/// Kind of an entry whose key is a shared prefix.
const KIND_PREFIX: u64 = 1;

/// Encoder that appends words in order.
#[derive(Default)]
struct WordWriter(Vec<u8>);

impl WordWriter {
    fn word(&mut self, word: u64) {
        self.0.extend_from_slice(&word.to_le_bytes());
    }

    fn number(&mut self, number: f64) {
        self.word(number.to_bits());
    }
}

/// Decoder that returns words in order, and `None` at the end. An incomplete word at the end is ignored.
struct WordReader<'a>(std::slice::ChunksExact<'a, u8>);

impl<'a> WordReader<'a> {
    fn new(bytes: &'a [u8]) -> Self {
        WordReader(bytes.chunks_exact(WORD_SIZE))
    }

    fn word(&mut self) -> Option<u64> {
        let bytes = self.0.next()?;
        Some(bytes.iter().rev().fold(0, |word, byte| word << 8 | u64::from(*byte)))
    }

    fn number(&mut self) -> Option<f64> {
        self.word().map(|word| sanitize(f64::from_bits(word)))
    }
}

/// Values that precede the entries of the prefix table in a snapshot, without the format version.
struct Header {
    age: Millis,
    mean_prompt_tokens: f64,
    throughput_by_role: [RoleThroughput; 3],
    service_time_by_stage: [ServiceTime; 2],
}

impl Header {
    /// Reads the header, or returns `None` if it is incomplete.
    fn read(reader: &mut WordReader, now: Millis) -> Option<Header> {
        let age = reader.number()?;
        let mean_prompt_tokens = reader.number()?;
        let mut throughput_by_role = [RoleThroughput::default(); 3];
        for throughput in &mut throughput_by_role {
            *throughput = RoleThroughput {
                completions: reader.number()?,
                updated_at: now - reader.number()?,
                capacity_units: reader.number()?,
                peak_rate: reader.number()?,
            };
        }
        let mut service_time_by_stage = [ServiceTime::default(); 2];
        for service_time in &mut service_time_by_stage {
            let per_token = reader.number()?;
            let samples = u32::try_from(reader.word()?).unwrap_or(u32::MAX);
            *service_time = ServiceTime { per_token, samples };
        }
        Some(Header { age, mean_prompt_tokens, throughput_by_role, service_time_by_stage })
    }
}

/// Reads the next entry of the prefix table, or returns `None` if it is incomplete.
fn read_entry(reader: &mut WordReader, now: Millis) -> Option<(AffinityKey, AffinityEntry)> {
    let kind = reader.word()?;
    let key = reader.word()?;
    let server = ServerId(reader.word()?);
    let updated_at = now - reader.number()?;
    let key = if kind == KIND_SESSION { AffinityKey::Session(key) } else { AffinityKey::Prefix(key) };
    Some((key, AffinityEntry { server, updated_at }))
}

impl Router {
    /// Encodes the measurements and affinities of this router for [`Router::import_state`] in another
    /// process.
    pub fn export_state(&self) -> Vec<u8> {
        let mut writer = WordWriter::default();
        writer.word(FORMAT_VERSION);
        writer.number(self.now - self.started_at.unwrap_or(self.now));
        writer.number(self.statistics.mean_prompt_tokens);
        for throughput in &self.statistics.throughput_by_role {
            writer.number(throughput.completions);
            writer.number(self.now - throughput.updated_at);
            writer.number(throughput.capacity_units);
            writer.number(throughput.peak_rate);
        }
        for service_time in &self.statistics.service_time_by_stage {
            writer.number(service_time.per_token);
            writer.word(u64::from(service_time.samples));
        }
        for (key, entry) in self.affinity_table.iter().take(MAX_ENTRIES) {
            let (kind, key) = match key {
                AffinityKey::Session(session) => (KIND_SESSION, *session),
                AffinityKey::Prefix(prefix) => (KIND_PREFIX, *prefix),
            };
            writer.word(kind);
            writer.word(key);
            writer.word(entry.server.0);
            writer.number(self.now - entry.updated_at);
        }
        writer.0
    }

    /// Replaces the measurements and affinities of this router by those that another process has exported.
    ///
    /// Bytes in another format, or without a complete header, have no effect. An incomplete entry at the end
    /// is ignored.
    pub fn import_state(&mut self, bytes: &[u8]) {
        let now = self.now;
        let mut reader = WordReader::new(bytes);
        if reader.word() != Some(FORMAT_VERSION) {
            return;
        }
        let Some(header) = Header::read(&mut reader, now) else { return };
        self.started_at = Some(now - header.age);
        self.statistics = RoutingStatistics {
            mean_prompt_tokens: header.mean_prompt_tokens,
            throughput_by_role: header.throughput_by_role,
            service_time_by_stage: header.service_time_by_stage,
            ..self.statistics
        };
        let mut entries = Vec::new();
        while entries.len() < MAX_ENTRIES {
            let Some(entry) = read_entry(&mut reader, now) else { break };
            entries.push(entry);
        }
        // The most recently used entry comes first in the snapshot, but the map treats the entry that is
        // inserted last as the most recently used.
        for (key, entry) in entries.into_iter().rev() {
            self.affinity_table.put(key, entry);
        }
    }
}
