//! Startup and reload of the second front and its pools.

use std::path::PathBuf;

use tokio::task::spawn_local;

use super::error::DaemonError;
use super::handover::InheritedFront;
use super::listeners::{listen, ListenAddress};
use super::{Context, StartedComponents};
use crate::config;
use crate::front::server::{self, FrontListener};
use crate::log;
use crate::pools::{InferencePools, PlatformChat};
use crate::upgrade;

/// Parsed file of the second front, and the path from which it is reloaded.
pub(super) struct FrontFile {
    pub(super) front: config::InferenceFrontConfig,
    pub(super) path: PathBuf,
}

/// Starts the second front. `platform` is the platform's pool, for chat; `max_connections` limits the client
/// connections of this front.
pub(super) async fn start(
    file: FrontFile, platform: Option<PlatformChat>, inherited: InheritedFront, max_connections: usize,
    context: &Context, components: &mut StartedComponents,
) -> Result<(), DaemonError> {
    let FrontFile { front: file, path } = file;
    let listen_address = ListenAddress { address: &file.listen, key: "listen", front: "second" };
    let listener = listen(listen_address, inherited.listener).await?;
    components.listeners.add(upgrade::SECOND, &listener)?;
    let (slots, budget, metrics) = (context.slots.clone(), context.budget.clone(), context.metrics.clone());
    let inference = InferencePools::new(&file, platform, &context.plugin, slots, budget, metrics)?;
    let own_pools = inference.pools();
    for pool in &own_pools {
        pool.core.share_request_ids(context.request_ids.clone());
    }
    // Any pool can resume a stream of another one: a resumed stream needs no server of the pool.
    let resuming = own_pools.first().or(components.pools.first());
    let front_listener = FrontListener {
        number: upgrade::SECOND,
        listener,
        inbox: Some(inherited.inbox),
        resume: resuming.map(|pool| server::resume(pool, &context.metrics)),
        open: context.accepting.clone(),
    };
    components.pools.extend(own_pools);
    let front = inference.front.clone();
    spawn_local(server::serve(front_listener, front, max_connections, context.shutdown.clone()));
    components.reloads.add(move || match config::front(&path) {
        Ok(file) => inference.reload(&file),
        Err(e) => log!("{e}; the servers are unchanged"),
    });
    Ok(())
}
