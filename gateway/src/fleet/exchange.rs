//! Whole state over a stream: bounded in number and time; the machine bounds frames and bytes.

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
use super::udp::RETRY_PAUSE;

/// Read at once.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Counts a stream that another opened while it runs.
struct IncomingStream(Rc<Driver>);

impl IncomingStream {
    fn new(driver: &Rc<Driver>) -> Option<IncomingStream> {
        let incoming = driver.incoming.get();
        (incoming < driver.streams_most).then(|| {
            driver.incoming.set(incoming + 1);
            IncomingStream(driver.clone())
        })
    }
}

impl Drop for IncomingStream {
    fn drop(&mut self) {
        self.0.incoming.set(self.0.incoming.get() - 1);
    }
}

/// Takes streams that others open, until it is dropped. One too many is closed at once: a stream that says nothing
/// must not keep members waiting in the queue behind it.
pub(super) async fn accept(driver: &Rc<Driver>) {
    loop {
        match driver.listener.accept().await {
            Ok((stream, with)) => match IncomingStream::new(driver) {
                Some(incoming) => {
                    driver.stream(async move {
                        let run = run(&incoming.0, stream, with, Exchange::accept(), Vec::new());
                        bounded(&incoming.0, with, run).await;
                    });
                }
                None => driver.broke(&WireError::Crowded { with, most: driver.streams_most }),
            },
            Err(error) => {
                driver.failed(&WireError::Accept(error));
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Opens a stream to a member and exchanges whole state.
pub(super) async fn open(driver: Rc<Driver>, with: MemberId, to: SocketAddr) {
    let opened = async {
        let broken = |error| WireError::Broken { with: to, error };
        let stream = TcpStream::connect(to).await.map_err(broken)?;
        // After connecting: a frame that waits long may be taken for an old one.
        let opened = driver.step(|fleet, _, _| fleet.open_exchange(with));
        let (exchange, first) = opened.map_err(|error| WireError::Exchange { with: to, error })?;
        run(&driver, stream, to, exchange, first).await
    };
    bounded(&driver, to, opened).await;
}

async fn bounded(
    driver: &Driver, with: SocketAddr, stream: impl std::future::Future<Output = Result<(), WireError>>,
) {
    let most = driver.stream_time;
    let ended = timeout(Duration::from_millis(most), stream).await;
    if let Err(error) = ended.unwrap_or(Err(WireError::Late { with, most })) {
        driver.broke(&error);
    }
}

/// Bytes in, bytes out, until the machine says that it is over.
async fn run(
    driver: &Rc<Driver>, mut stream: TcpStream, with: SocketAddr, mut exchange: Exchange, first: Vec<u8>,
) -> Result<(), WireError> {
    let broken = |error: io::Error| WireError::Broken { with, error };
    stream.write_all(&first).await.map_err(broken)?;
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let bytes = stream.read(&mut buffer).await.map_err(broken)?;
        if bytes == 0 {
            return Err(WireError::Ended { with });
        }
        let stepped =
            driver.step(|fleet, now, effects| fleet.exchange(now, &mut exchange, &buffer[..bytes], effects));
        let step = stepped.map_err(|error| WireError::Exchange { with, error })?;
        stream.write_all(&step.write).await.map_err(broken)?;
        if step.is_finished {
            return stream.shutdown().await.map_err(broken);
        }
    }
}
