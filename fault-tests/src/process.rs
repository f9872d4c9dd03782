//! One process of a deployment, and the address that it listens at.

use std::io;
use std::net::SocketAddr;

use rustix::process::{kill_process, Pid, Signal};
use socket2::{Domain, Socket, Type};
use tokio::process::{Child, Command};

use crate::deployment_error::DeploymentError;

/// A process of a deployment.
#[derive(Debug)]
pub struct Process {
    /// The process as its parent has it.
    pub child: Child,
    signal_target: SignalTarget,
}

/// Sends signals to one process, from any task.
#[derive(Clone, Copy, Debug)]
pub struct SignalTarget(Pid);

impl SignalTarget {
    /// Signals the process, if it still runs.
    pub fn signal(self, signal: Signal) {
        let _ = kill_process(self.0, signal);
    }
}

impl Process {
    /// Starts the process; `what` names it where that fails.
    pub fn start(command: &mut Command, component: &str) -> Result<Process, DeploymentError> {
        let spawned = command.kill_on_drop(true).spawn();
        let child =
            spawned.map_err(|error| DeploymentError::Start { component: component.to_string(), error })?;
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
        let pid = pid.ok_or_else(|| DeploymentError::NotReady(component.to_string()))?;
        Ok(Process { child, signal_target: SignalTarget(pid) })
    }

    /// Signals the process, if it still runs.
    pub fn signal(&self, signal: Signal) {
        self.signal_target.signal(signal);
    }

    /// For signals that must not wait for whoever holds the process.
    pub fn signal_target(&self) -> SignalTarget {
        self.signal_target
    }

    /// Kills the process and waits until it is gone, and its listener with it.
    pub async fn kill(&mut self) -> io::Result<()> {
        self.child.kill().await
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

/// Reserves an address for a process to listen at, also after a restart, for as long as the socket is kept: it is bound and
/// does not listen, so the machine gives its port to no connection and to no listener that asks for any port.
pub fn reserved_address() -> io::Result<(Socket, SocketAddr)> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    let address = socket.local_addr()?.as_socket();
    Ok((socket, address.ok_or(io::ErrorKind::AddrNotAvailable)?))
}
