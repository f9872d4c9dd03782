//! Client side of a response that another process began: its remaining chunks are written to the socket directly.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::counted_socket::wait_for_peer_close;
use crate::exchange::{ClientSide, ResponsePart, StreamRemainder};

/// Last chunk of a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// How the remainder of a response ended.
pub enum StreamResult {
    /// The last chunk was written.
    Complete,
    /// The server aborted it.
    Broken,
    /// The client disconnected.
    ClientDisconnected,
    /// A further process continues it.
    HandedOver(StreamRemainder),
}

/// Writes the remaining parts of a response as chunks, until the response ends or the client disconnects.
pub async fn write_remainder(socket: &mut TcpStream, mut response: ClientSide) -> StreamResult {
    loop {
        let part = tokio::select! {
            biased;
            part = response.next_part() => part,
            // What the client sends before it has its response stays unread.
            () = wait_for_peer_close(socket) => return StreamResult::ClientDisconnected,
        };
        match part {
            Some(ResponsePart::Chunk(bytes)) => {
                if socket.write_all(&chunk(&bytes)).await.is_err() {
                    return StreamResult::ClientDisconnected;
                }
            }
            Some(ResponsePart::End) => {
                return match socket.write_all(LAST_CHUNK).await {
                    Ok(()) => StreamResult::Complete,
                    Err(_) => StreamResult::ClientDisconnected,
                }
            }
            Some(ResponsePart::HandedOver(remainder)) => return StreamResult::HandedOver(remainder),
            // The response was aborted: the connection is closed without the last chunk.
            _ => return StreamResult::Broken,
        }
    }
}

fn chunk(data: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
    chunk.extend_from_slice(data);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

#[cfg(test)]
mod tests;
