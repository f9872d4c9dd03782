//! The client side of a response that another process began: chunks, written on to its socket.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::counted_socket::read_closed;
use crate::exchange::{ClientSide, ResponsePart, StreamRemainder};

/// The last chunk of a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// How the remainder of a response ended.
pub enum StreamResult {
    /// With its last chunk.
    Complete,
    /// Its server broke it off.
    Broken,
    /// The client took no more of it.
    ClientDisconnected,
    /// A further process goes on with it.
    HandedOver(StreamRemainder),
}

/// Writes the remainder of a response.
pub async fn write_remainder(socket: &mut TcpStream, mut response: ClientSide) -> StreamResult {
    loop {
        let part = tokio::select! {
            biased;
            part = response.next_part() => part,
            // What the client sends ahead of its response stays unread.
            () = read_closed(socket) => return StreamResult::ClientDisconnected,
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
            // Broken off: the connection ends without the last chunk.
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
