//! What a router has learned and no list tells, as bytes for a second process that takes the place of this one:
//! what each role has carried, the paces, and the newest homes of sessions and beginnings. Times are ages.

use crate::api::*;
use crate::policy::Router;
use crate::state::*;

/// The form of the bytes.
const FORM: u64 = 1;
/// Most homes that are told; the newest ones.
const HOMES: usize = 4_000;

/// Numbers, eight bytes each.
#[derive(Default)]
struct Words(Vec<u8>);

impl Words {
    fn put(&mut self, word: u64) {
        self.0.extend_from_slice(&word.to_le_bytes());
    }
    fn number(&mut self, x: f64) {
        self.put(x.to_bits());
    }
}

fn words(bytes: &[u8]) -> impl Iterator<Item = u64> + '_ {
    let word = |b: &[u8]| b.iter().rev().fold(0, |w, b| w << 8 | u64::from(*b));
    bytes.chunks_exact(8).map(word)
}

impl Router {
    pub fn export_state(&self) -> Vec<u8> {
        let mut all = Words::default();
        all.put(FORM);
        all.number(self.now - self.started_at.unwrap_or(self.now));
        all.number(self.statistics.mean_prompt_tokens);
        for c in &self.statistics.throughput_by_role {
            [c.completions, self.now - c.updated_at, c.capacity_units, c.peak_rate]
                .into_iter()
                .for_each(|x| all.number(x));
        }
        for p in &self.statistics.service_time_by_stage {
            all.number(p.per_token);
            all.put(u64::from(p.samples));
        }
        for (key, (server, at)) in self.affinity_table.iter().take(HOMES) {
            let (kind, name) = match key {
                AffinityKey::Session(name) => (0, *name),
                AffinityKey::Prefix(name) => (1, *name),
            };
            [kind, name, server.0].into_iter().for_each(|word| all.put(word));
            all.number(self.now - at);
        }
        all.0
    }

    /// Takes such bytes in, as far as they can be read. What this router has learned itself by now gives way.
    pub fn import_state(&mut self, bytes: &[u8]) {
        let mut words = words(bytes);
        if words.next() != Some(FORM) {
            return;
        }
        let now = self.now;
        let mut number = || words.next().map(|word| sanitize(f64::from_bits(word)));
        let (Some(age), Some(prompt)) = (number(), number()) else { return };
        let mut carried = [RoleThroughput::default(); 3];
        for c in &mut carried {
            let (Some(count), Some(age), Some(units), Some(peak)) = (number(), number(), number(), number())
            else {
                return;
            };
            *c = RoleThroughput {
                completions: count,
                updated_at: now - age,
                capacity_units: units,
                peak_rate: peak,
            };
        }
        let mut pace = [ServiceTime::default(); 2];
        for p in &mut pace {
            let (Some(low), Some(samples)) = (words.next(), words.next()) else { return };
            *p = ServiceTime {
                per_token: sanitize(f64::from_bits(low)),
                samples: u32::try_from(samples).unwrap_or(u32::MAX),
            };
        }
        self.started_at = Some(now - age);
        self.statistics = RoutingStatistics {
            mean_prompt_tokens: prompt,
            throughput_by_role: carried,
            service_time_by_stage: pace,
            ..self.statistics
        };
        let rest: Vec<u64> = words.take(4 * HOMES).collect();
        // The newest came first, and what is put last counts as the newest.
        for home in rest.chunks_exact(4).rev() {
            let key = if home[0] == 0 { AffinityKey::Session(home[1]) } else { AffinityKey::Prefix(home[1]) };
            self.affinity_table.put(key, (ServerId(home[2]), now - sanitize(f64::from_bits(home[3]))));
        }
    }
}
