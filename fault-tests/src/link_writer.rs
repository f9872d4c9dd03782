//! One side of a connection that a link carries, as the link writes to it.

use std::io;

use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

/// Writes to one side of a connection, and ends nothing by itself when it is dropped: a reset shows as no orderly end.
pub struct LinkWriter(Option<OwnedWriteHalf>);

impl LinkWriter {
    /// Writes to this side.
    pub fn new(half: OwnedWriteHalf) -> LinkWriter {
        LinkWriter(Some(half))
    }

    /// Writes all of it.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        match &mut self.0 {
            Some(half) => half.write_all(bytes).await,
            None => Err(io::ErrorKind::NotConnected.into()),
        }
    }

    /// Ends the connection in order.
    pub async fn end(&mut self) {
        if let Some(half) = &mut self.0 {
            // The other side may have closed first.
            let _ = half.shutdown().await;
        }
    }
}

impl Drop for LinkWriter {
    fn drop(&mut self) {
        self.0.take().into_iter().for_each(OwnedWriteHalf::forget);
    }
}
