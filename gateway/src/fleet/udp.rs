//! Task that receives datagrams and passes them to the driver.

use std::rc::Rc;

use glenrail_fleet::MAX_DATAGRAM_BYTES;
use tokio::time::sleep;

use super::driver::Driver;
use super::error::WireError;
use super::sockets::RETRY_PAUSE;

/// Receives datagrams until the future is dropped.
pub(super) async fn receive(driver: &Rc<Driver>) {
    // One byte more than the maximum: a longer datagram is truncated to this size and rejected for its length.
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        match driver.sockets.receiver.recv_from(&mut buffer).await {
            Ok((bytes, from)) => {
                let result = driver
                    .step(|fleet, now, effects| fleet.handle_datagram(now, from, &buffer[..bytes], effects));
                if let Err(rejection) = result {
                    driver.log_rejection(from, rejection);
                }
            }
            Err(error) => {
                driver.log_failure(&WireError::Receive(error));
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}
