//! The front that spreads clients' connections among the gateways that it admits.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use tokio::sync::watch;

/// One gateway as the front knows it.
#[derive(Debug)]
pub struct FrontedGateway {
    pub name: String,
    pub address: SocketAddr,
    admitted: AtomicBool,
    /// How often it was told to end.
    terminations: watch::Sender<u64>,
}

/// All gateways.
#[derive(Debug)]
pub struct Front(Vec<FrontedGateway>);

impl Front {
    /// A front that admits all of these.
    pub fn new(gateways: impl IntoIterator<Item = (String, SocketAddr)>) -> Front {
        let fronted = |(name, address)| FrontedGateway {
            name,
            address,
            admitted: AtomicBool::new(true),
            terminations: watch::Sender::new(0),
        };
        Front(gateways.into_iter().map(fronted).collect())
    }

    /// A gateway that is admitted, at random; any where none is.
    pub fn choose(&self, random: &mut StdRng) -> &FrontedGateway {
        let admitted: Vec<&FrontedGateway> =
            self.0.iter().filter(|gateway| gateway.admitted.load(Ordering::Relaxed)).collect();
        let chosen = admitted.choose(random).copied();
        chosen.or_else(|| self.0.choose(random)).expect("a front has gateways")
    }

    /// Sends new connections to this gateway, or none.
    pub fn set_admitted(&self, gateway: usize, admitted: bool) {
        self.0[gateway].admitted.store(admitted, Ordering::Relaxed);
    }

    /// Says that a gateway is told to end now.
    pub fn note_termination(&self, gateway: usize) {
        self.0[gateway].terminations.send_modify(|count| *count += 1);
    }
}

impl FrontedGateway {
    /// Waits until the gateway is told to end.
    pub async fn wait_for_termination(&self) {
        let mut terminations = self.terminations.subscribe();
        // An error would be the front's end, and with it the client's.
        let _ = terminations.changed().await;
    }
}
