//! Exchanges over streams, opened by this member or accepted from others. This module limits the number of accepted
//! streams and the duration of all; the state machine limits frames and bytes.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use glenrail_fleet::{Exchange, MemberId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::driver::Driver;
use super::error::WireError;
use super::sockets::RETRY_PAUSE;

/// Size of the read buffer of a stream, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Counts a stream opened by another member, until it is dropped.
struct IncomingStream(Rc<Driver>);

impl IncomingStream {
    /// Returns `None` if the maximum number of streams is in progress.
    fn new(driver: &Rc<Driver>) -> Option<IncomingStream> {
        let incoming = driver.incoming.get();
        if incoming >= driver.max_incoming {
            return None;
        }
        driver.incoming.set(incoming + 1);
        Some(IncomingStream(driver.clone()))
    }
}

impl Drop for IncomingStream {
    fn drop(&mut self) {
        self.0.incoming.set(self.0.incoming.get() - 1);
    }
}

/// Accepts streams until the future is dropped. Streams over the limit are closed at once, so that idle streams do not
/// keep other members waiting in the listen queue.
pub(super) async fn accept(driver: &Rc<Driver>) {
    loop {
        match driver.sockets.listener.accept().await {
            Ok((stream, with)) => match IncomingStream::new(driver) {
                Some(incoming) => spawn_accepted(incoming, stream, with),
                None => driver
                    .record_stream_failure(&WireError::TooManyStreams { with, limit: driver.max_incoming }),
            },
            Err(error) => {
                driver.log_failure(&WireError::Accept(error));
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn spawn_accepted(incoming: IncomingStream, stream: TcpStream, with: SocketAddr) {
    let driver = incoming.0.clone();
    driver.spawn_stream(async move {
        let exchange = run(&incoming.0, stream, with, Exchange::accept(), Vec::new());
        limit_time(&incoming.0, with, exchange).await;
    });
}

/// Opens a stream to a member and runs an exchange over it, in a separate task.
pub(super) fn spawn_open(driver: &Rc<Driver>, with: MemberId, to: SocketAddr) {
    driver.spawn_stream(open(driver.clone(), with, to));
}

async fn open(driver: Rc<Driver>, with: MemberId, to: SocketAddr) {
    let opened = async {
        let broken = |error| WireError::Broken { with: to, error };
        let stream = TcpStream::connect(to).await.map_err(broken)?;
        // The first frame is created after connecting: a frame that is delayed for long may fall below the replay
        // window.
        let opened = driver.step(|fleet, _, _| fleet.open_exchange(with));
        let (exchange, first) = opened.map_err(|error| WireError::Exchange { with: to, error })?;
        run(&driver, stream, to, exchange, first).await
    };
    limit_time(&driver, to, opened).await;
}

/// Runs `exchange` within the time limit, and counts and logs a failure.
async fn limit_time(
    driver: &Driver, with: SocketAddr, exchange: impl Future<Output = Result<(), WireError>>,
) {
    let limit_ms = driver.stream_timeout;
    let result = timeout(Duration::from_millis(limit_ms), exchange).await;
    if let Err(error) = result.unwrap_or(Err(WireError::TimedOut { with, limit_ms })) {
        driver.record_stream_failure(&error);
    }
}

/// Writes `first`, then passes the bytes read to the state machine until the exchange is finished.
async fn run(
    driver: &Rc<Driver>, mut stream: TcpStream, with: SocketAddr, mut exchange: Exchange, first: Vec<u8>,
) -> Result<(), WireError> {
    let broken = |error: io::Error| WireError::Broken { with, error };
    stream.write_all(&first).await.map_err(broken)?;
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let bytes = stream.read(&mut buffer).await.map_err(broken)?;
        if bytes == 0 {
            return Err(WireError::Closed { with });
        }
        let stepped = driver.step(|fleet, now, effects| {
            fleet.handle_exchange_bytes(now, &mut exchange, &buffer[..bytes], effects)
        });
        let step = stepped.map_err(|error| WireError::Exchange { with, error })?;
        stream.write_all(&step.write).await.map_err(broken)?;
        if step.is_finished {
            return stream.shutdown().await.map_err(broken);
        }
    }
}
