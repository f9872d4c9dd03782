//! The client side of an answer that another process began: chunks, written on to its socket.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::counted_socket::read_closed;
use crate::exchange::{ClientSide, ResponsePart, StreamRemainder};

/// How the rest of an answer ended.
pub enum Ended {
    Whole,
    Broken,
    ClientGone,
    /// A further process goes on with it.
    Moved(StreamRemainder),
}

/// Writes the rest of an answer.
pub async fn resume(socket: &mut TcpStream, mut answer: ClientSide) -> Ended {
    loop {
        let piece = tokio::select! {
            biased;
            piece = answer.next_part() => piece,
            // What it sends ahead of its answer stays unread.
            () = read_closed(socket) => return Ended::ClientGone,
        };
        match piece {
            Some(ResponsePart::Chunk(bytes)) => {
                let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
                chunk.extend_from_slice(&bytes);
                chunk.extend_from_slice(b"\r\n");
                if socket.write_all(&chunk).await.is_err() {
                    return Ended::ClientGone;
                }
            }
            Some(ResponsePart::End) => match socket.write_all(b"0\r\n\r\n").await {
                Ok(()) => return Ended::Whole,
                Err(_) => return Ended::ClientGone,
            },
            Some(ResponsePart::HandedOver(rest)) => return Ended::Moved(rest),
            // Broken off: the connection ends without the last chunk.
            _ => return Ended::Broken,
        }
    }
}

#[cfg(test)]
mod tests;
