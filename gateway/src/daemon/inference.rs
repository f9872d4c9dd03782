//! The second front and its pools.

use std::path::PathBuf;

use tokio::task::spawn_local;

use super::error::DaemonError;
use super::handover::InheritedFront;
use super::listeners::{listen, ListenAddress};
use super::{Context, Parts};
use crate::config;
use crate::front::server::{self, FrontListener};
use crate::log;
use crate::pools::{InferencePools, PlatformChat};
use crate::upgrade;

/// The second front's file as it was read, and where it is read again.
pub(super) struct FrontFile {
    pub(super) front: config::InferenceFrontConfig,
    pub(super) path: PathBuf,
}

/// Starts the second front. `platform`: the platform's servers, for chat. `max_connections`: of clients at this front.
pub(super) async fn start(
    file: FrontFile, platform: Option<PlatformChat>, inherited: InheritedFront, max_connections: usize,
    context: &Context, parts: &mut Parts,
) -> Result<(), DaemonError> {
    let FrontFile { front: file, path } = file;
    let listen_address = ListenAddress { address: &file.listen, key: "listen", front: "second" };
    let listener = listen(listen_address, inherited.listener).await?;
    parts.listeners.add(upgrade::SECOND, &listener)?;
    let (slots, budget, metrics) = (context.slots.clone(), context.budget.clone(), context.metrics.clone());
    let inference = InferencePools::new(&file, platform, &context.plugin, slots, budget, metrics)?;
    let own_pools = inference.pools();
    // Any pool can go on with a stream that began in another: reading on needs none of its servers.
    let resuming = own_pools.first().or(parts.pools.first());
    let front_listener = FrontListener {
        number: upgrade::SECOND,
        listener,
        inbox: Some(inherited.inbox),
        resume: resuming.map(|pool| server::resume(pool, &context.metrics)),
        open: context.accepting.clone(),
    };
    parts.pools.extend(own_pools);
    let front = inference.front.clone();
    spawn_local(server::serve(front_listener, front, max_connections, context.shutdown.clone()));
    parts.reloads.add(move || match config::front(&path) {
        Ok(file) => inference.reload(&file),
        Err(e) => log!("{e}; the servers are unchanged"),
    });
    Ok(())
}
