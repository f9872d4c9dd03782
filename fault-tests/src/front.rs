//! Front that distributes clients' connections over the gateways that it admits.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use tokio::sync::watch;

/// Gateway behind the front.
#[derive(Debug)]
pub struct FrontedGateway {
    pub name: String,
    pub address: SocketAddr,
    admitted: AtomicBool,
    /// Number of times that the gateway was sent SIGTERM by a planned restart.
    terminations: watch::Sender<u64>,
}

/// Front with all gateways of a deployment.
#[derive(Debug)]
pub struct Front(Vec<FrontedGateway>);

impl Front {
    /// Returns a front that admits all `gateways`, given by name and address.
    pub fn new(gateways: impl IntoIterator<Item = (String, SocketAddr)>) -> Front {
        let fronted = |(name, address)| FrontedGateway {
            name,
            address,
            admitted: AtomicBool::new(true),
            terminations: watch::Sender::new(0),
        };
        Front(gateways.into_iter().map(fronted).collect())
    }

    /// Returns a random admitted gateway, or any gateway if none is admitted.
    pub fn choose(&self, random: &mut StdRng) -> &FrontedGateway {
        let admitted: Vec<&FrontedGateway> =
            self.0.iter().filter(|gateway| gateway.admitted.load(Ordering::Relaxed)).collect();
        let chosen = admitted.choose(random).copied();
        chosen.or_else(|| self.0.choose(random)).expect("a front has gateways")
    }

    /// Sets whether new connections go to this gateway.
    pub fn set_admitted(&self, gateway: usize, admitted: bool) {
        self.0[gateway].admitted.store(admitted, Ordering::Relaxed);
    }

    /// Counts a SIGTERM that has been sent to a gateway, and notifies the clients that wait for it.
    pub fn note_termination(&self, gateway: usize) {
        self.0[gateway].terminations.send_modify(|count| *count += 1);
    }
}

impl FrontedGateway {
    /// Waits until the gateway is next sent SIGTERM by a planned restart.
    pub async fn wait_for_termination(&self) {
        let mut terminations = self.terminations.subscribe();
        // The channel closes only when the front is dropped, and clients hold it.
        let _ = terminations.changed().await;
    }
}
