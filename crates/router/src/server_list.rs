//! The servers as the list tells them: who has come, who has gone, who runs anew. No decision, no I/O.

use std::collections::BTreeMap;

use crate::api::*;
use crate::state::*;

/// What a server is taken to hold whose kind does not say (tokens).
const MEMORY_TOKENS: f64 = 1e5;

pub type ServerMap = BTreeMap<ServerId, ServerRecord>;

/// Takes in a list, or a change to it. A server that is new or runs anew begins with a part of a send earned that is
/// drawn by chance, as all routers learn of it at once.
pub fn apply_update(
    servers: &mut ServerMap, scope: ListUpdate, members: Vec<ServerEntry>, kinds: &[ServerKind],
    random: &mut Random, now: Millis,
) {
    if scope != ListUpdate::Delta {
        let listed: Vec<ServerId> = members.iter().map(|m| m.server).collect();
        servers.retain(|id, _| listed.contains(id));
    }
    for info in members {
        if info.state == ServerState::Terminated {
            servers.remove(&info.server);
        } else if let Some(old) = servers.get_mut(&info.server) {
            if info.started.is_some() && info.started != old.entry.started {
                old.restart(info.started, now, random.next_unit());
            }
            old.entry = info;
        } else {
            servers.insert(info.server, new_record(info, kinds, random.next_unit(), now));
        }
    }
}

fn new_record(info: ServerEntry, kinds: &[ServerKind], credit: f64, now: Millis) -> ServerRecord {
    let kind = kinds.get(info.kind as usize);
    let (role, memory) = kind.map_or((Role::Mixed, 0.0), |k| (k.role, k.memory_tokens));
    ServerRecord {
        role,
        memory_tokens: if memory > 0.0 { memory } else { MEMORY_TOKENS },
        memory_reported_at: now,
        slow_start_since: info.started,
        send_credit: credit,
        credit_updated_at: now,
        last_heard_at: now,
        last_progress_at: now,
        entry: info,
        ..ServerRecord::default()
    }
}
