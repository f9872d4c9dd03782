//! Write half of a connection that a link proxies.

use std::io;

use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

/// Write half of one side of a proxied connection. Dropping it does not shut the connection down, so that no orderly end
/// precedes a reset.
pub struct LinkWriter(Option<OwnedWriteHalf>);

impl LinkWriter {
    /// Takes over the write half of a connection.
    pub fn new(half: OwnedWriteHalf) -> LinkWriter {
        LinkWriter(Some(half))
    }

    /// Writes all of `bytes`.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        match &mut self.0 {
            Some(half) => half.write_all(bytes).await,
            None => Err(io::ErrorKind::NotConnected.into()),
        }
    }

    /// Shuts the write direction down in order.
    pub async fn end(&mut self) {
        if let Some(half) = &mut self.0 {
            // The peer may have closed the connection first.
            let _ = half.shutdown().await;
        }
    }
}

impl Drop for LinkWriter {
    fn drop(&mut self) {
        self.0.take().into_iter().for_each(OwnedWriteHalf::forget);
    }
}
