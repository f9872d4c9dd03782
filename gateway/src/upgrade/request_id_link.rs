//! Link between the tables of request ids of two processes: a Unix socket of its own in the state directory, so that the
//! messages of the handover stay as earlier builds know them.
//!
//! A message is one line of JSON. A process without this socket is an earlier build, and its ids are not known.

use std::io;
use std::path::Path;
use std::pin::pin;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::OwnedWriteHalf;
use tokio::net::UnixStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::socket_path::socket_path;
use crate::log;
use crate::request_ids::{Link, Message, RequestIds};

/// File name of the socket in the state directory.
pub(super) const SOCKET_NAME: &str = "request-ids";
/// Maximum time that a successor waits for the predecessor's ids before it serves without them.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of messages that are written together.
const MAX_BATCH: usize = 256;

/// Connects to the predecessor, and waits until all ids that it uses are known and this process grants ids. Returns
/// without them if the predecessor is an earlier build or does not answer in time.
pub async fn connect_request_ids(state: &Path, ids: &RequestIds) {
    match timeout(CONNECT_TIMEOUT, receive_ids(state, ids)).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => log!("upgrade: the predecessor does not report the request ids in use: {e}"),
        Err(_) => {
            log!(
                "upgrade: the predecessor has not reported the request ids in use within {CONNECT_TIMEOUT:?}"
            );
        }
    }
}

async fn receive_ids(state: &Path, ids: &RequestIds) -> io::Result<()> {
    let address = socket_path(state, SOCKET_NAME)?;
    let stream = UnixStream::connect(&address.path).await?;
    let (notify, is_arbiter) = oneshot::channel();
    spawn_local(run(ids.clone(), ids.open_predecessor_link(), stream, Some(notify)));
    is_arbiter.await.map_err(|_| io::ErrorKind::UnexpectedEof.into())
}

/// Serves a successor that has connected. The connection is closed if another process grants ids.
pub(super) fn serve_successor(ids: &RequestIds, stream: UnixStream) {
    match ids.open_successor_link() {
        Some(link) => {
            spawn_local(run(ids.clone(), link, stream, None));
        }
        None => log!("upgrade: a further successor cannot learn the request ids in use"),
    }
}

/// Exchanges messages until the other process or this one closes the link. `is_arbiter` is notified when this process
/// becomes the arbiter.
async fn run(ids: RequestIds, link: Link, stream: UnixStream, mut is_arbiter: Option<oneshot::Sender<()>>) {
    let Link { id, outgoing } = link;
    let (reader, writer) = stream.into_split();
    let mut lines = BufReader::new(reader).lines();
    let mut writing = pin!(write_messages(writer, outgoing, |count| ids.note_written(id, count)));
    let mut can_write = true;
    loop {
        let line = tokio::select! {
            written = &mut writing, if can_write => match written {
                Ok(()) => break,
                // The other process has ended. What it has sent before is still read.
                Err(_) => {
                    can_write = false;
                    continue;
                }
            },
            line = lines.next_line() => line,
        };
        let Ok(Some(line)) = line else { break };
        let message = match serde_json::from_str::<Message>(&line) {
            Ok(message) => message,
            Err(e) => {
                log!("upgrade: a message about request ids cannot be read: {e}");
                break;
            }
        };
        if message == Message::Arbitrate {
            is_arbiter.take().map(|notify| notify.send(()));
        }
        ids.receive(id, message);
    }
    ids.disconnect(id);
}

/// Writes the messages until their channel is closed and empty.
async fn write_messages(
    mut writer: OwnedWriteHalf, mut outgoing: mpsc::Receiver<Message>, note_written: impl Fn(usize),
) -> io::Result<()> {
    let mut batch = Vec::new();
    loop {
        let count = outgoing.recv_many(&mut batch, MAX_BATCH).await;
        if count == 0 {
            return Ok(());
        }
        let mut bytes = Vec::new();
        for message in batch.drain(..) {
            serde_json::to_writer(&mut bytes, &message)?;
            bytes.push(b'\n');
        }
        writer.write_all(&bytes).await?;
        note_written(count);
    }
}
