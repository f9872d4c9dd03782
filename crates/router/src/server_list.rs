//! Endpoint list: applies updates in which servers join, leave or restart.
//!
//! The router owns the map of servers, and the caller owns the clock.

use std::collections::BTreeMap;

use crate::api::{ListUpdate, Millis, Role, ServerEntry, ServerId, ServerKind, ServerState};
use crate::state::{Random, ServerRecord};

/// Memory of a server whose kind does not specify it, in tokens.
const DEFAULT_MEMORY_TOKENS: f64 = 1e5;

/// All listed servers, by identifier.
pub type ServerMap = BTreeMap<ServerId, ServerRecord>;

/// Applies a server list or a change to it.
///
/// A server that is new or has restarted receives a random fraction of a send as slow-start credit, because
/// all routers are notified of it at the same time.
pub fn apply_update(
    servers: &mut ServerMap, update: ListUpdate, entries: Vec<ServerEntry>, kinds: &[ServerKind],
    random: &mut Random, now: Millis,
) {
    if update != ListUpdate::Delta {
        let listed: Vec<ServerId> = entries.iter().map(|entry| entry.server).collect();
        servers.retain(|id, _| listed.contains(id));
    }
    for entry in entries {
        if entry.state == ServerState::Terminated {
            servers.remove(&entry.server);
        } else if let Some(known) = servers.get_mut(&entry.server) {
            if entry.started.is_some() && entry.started != known.entry.started {
                known.restart(entry.started, now, random.next_unit());
            }
            known.entry = entry;
        } else {
            let id = entry.server;
            servers.insert(id, new_record(entry, kinds, random.next_unit(), now));
        }
    }
}

/// Creates the record of a newly listed server, which counts as responsive and has not been probed.
fn new_record(entry: ServerEntry, kinds: &[ServerKind], send_credit: f64, now: Millis) -> ServerRecord {
    let kind = kinds.get(entry.kind as usize);
    let memory_tokens = kind.map(|kind| kind.memory_tokens).filter(|tokens| *tokens > 0.0);
    ServerRecord {
        role: kind.map_or(Role::Mixed, |kind| kind.role),
        memory_tokens: memory_tokens.unwrap_or(DEFAULT_MEMORY_TOKENS),
        memory_reported_at: now,
        slow_start_since: entry.started,
        send_credit,
        credit_updated_at: now,
        last_report_at: now,
        last_progress_at: now,
        entry,
        ..ServerRecord::default()
    }
}
