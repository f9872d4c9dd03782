//! Startup of one incarnation of this member: binds the sockets, creates the [`Driver`], and runs its three tasks
//! (datagrams, timers, streams).

use std::net::SocketAddr;
use std::rc::Rc;

use glenrail_fleet::{Fleet, Incarnation, Keyring};

use super::driver::Driver;
use super::error::FleetError;
use super::sockets::Sockets;
use super::start::MemberConfig;
use super::{exchange, timers, udp};
use crate::log;

/// Binds the sockets and starts the member, which then contacts the seeds.
pub(super) fn start(start: &MemberConfig, keys: Keyring) -> Result<Rc<Driver>, FleetError> {
    let section = &start.section;
    let sockets = Sockets::bind(section.bind).map_err(|error| start.cannot_bind(error))?;
    let bound = sockets.local_address().map_err(|error| start.cannot_bind(error))?;
    let address = section.advertise.unwrap_or(bound);
    // Chosen only once the port is bound: a predecessor is this member as long as it has the port.
    let incarnation = start.next_incarnation()?;
    let fleet = new_fleet(start, keys, incarnation, address)?;
    let id = fleet.local_member().id.0;
    log!(
        "fleet: {} is member {id:016x}, life {}, at {address}, bound to {bound}",
        start.member,
        incarnation.0
    );
    let driver = Rc::new(Driver::new(fleet, sockets, section, exchange::spawn_open));
    driver.step(glenrail_fleet::Fleet::start);
    Ok(driver)
}

fn new_fleet(
    start: &MemberConfig, keys: Keyring, incarnation: Incarnation, address: SocketAddr,
) -> Result<Fleet, FleetError> {
    // The seed only makes members choose differently, so it may be predictable.
    let seed = incarnation.0 ^ u64::from(std::process::id()) << 40;
    let seeds = start.section.seeds.clone();
    let settings = start.section.settings();
    Fleet::new(&start.member, incarnation, address, seeds, keys, settings, seed)
        .map_err(|error| FleetError::Figure { file: start.file.clone(), error })
}

/// Runs the tasks until the future is dropped.
pub(super) async fn run(driver: Rc<Driver>) {
    tokio::join!(udp::receive(&driver), timers::run(&driver), exchange::accept(&driver));
}
