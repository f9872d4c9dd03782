//! The servers as the list tells them: who has come, who has gone, who runs anew. No decision, no I/O.

use std::collections::BTreeMap;

use crate::api::*;
use crate::state::*;

/// What a server is taken to hold whose kind does not say (tokens).
const MEMORY_TOKENS: f64 = 1e5;

pub type Servers = BTreeMap<ServerId, Server>;

/// Takes in a list, or a change to it. A server that is new or runs anew begins with a part of a send earned that is
/// drawn by chance, as all routers learn of it at once.
pub fn take(
    servers: &mut Servers, scope: ListUpdate, members: Vec<ServerEntry>, kinds: &[ServerKind],
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
            if info.started.is_some() && info.started != old.info.started {
                old.renew(info.started, now, random.unit());
            }
            old.info = info;
        } else {
            servers.insert(info.server, server(info, kinds, random.unit(), now));
        }
    }
}

fn server(info: ServerEntry, kinds: &[ServerKind], credit: f64, now: Millis) -> Server {
    let kind = kinds.get(info.kind as usize);
    let (role, memory) = kind.map_or((Role::Mixed, 0.0), |k| (k.role, k.memory_tokens));
    Server {
        role,
        memory_tokens: if memory > 0.0 { memory } else { MEMORY_TOKENS },
        memory_seen: now,
        cold_since: info.started,
        credit,
        credit_at: now,
        heard: now,
        answered: now,
        info,
        ..Server::default()
    }
}
