//! A child process of a deployment, and the reservation of the address that it listens on.

use std::io;
use std::net::SocketAddr;

use rustix::process::{kill_process, Pid, Signal};
use socket2::{Domain, Socket, Type};
use tokio::process::{Child, Command};

use crate::deployment_error::DeploymentError;

/// Child process of a deployment, killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    /// Handle for the output pipes and the exit status.
    pub child: Child,
    signal_target: SignalTarget,
}

/// Target for signals to one process, which any task can copy and use.
#[derive(Clone, Copy, Debug)]
pub struct SignalTarget(Pid);

impl SignalTarget {
    /// Sends a signal; has no effect once the process has exited.
    pub fn signal(self, signal: Signal) {
        let _ = kill_process(self.0, signal);
    }
}

impl Process {
    /// Spawns the process; `component` names it in errors.
    pub fn start(command: &mut Command, component: &str) -> Result<Process, DeploymentError> {
        let spawned = command.kill_on_drop(true).spawn();
        let child =
            spawned.map_err(|error| DeploymentError::Start { component: component.to_string(), error })?;
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
        let pid = pid.ok_or_else(|| DeploymentError::NotReady(component.to_string()))?;
        Ok(Process { child, signal_target: SignalTarget(pid) })
    }

    /// Sends a signal; has no effect once the process has exited.
    pub fn signal(&self, signal: Signal) {
        self.signal_target.signal(signal);
    }

    /// Returns a target for signals that must not wait for exclusive access to the deployment.
    pub fn signal_target(&self) -> SignalTarget {
        self.signal_target
    }

    /// Kills the process and waits for its exit, by which its listener is closed.
    pub async fn kill(&mut self) -> io::Result<()> {
        self.child.kill().await
    }

    /// Returns whether the process has exited, or its status cannot be read.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

/// Reserves a loopback address for a listening process, across its restarts, for as long as the returned socket exists. The
/// socket is bound but does not listen, so the kernel assigns its port neither to an outgoing connection nor to a listener
/// that requests any free port.
pub fn reserved_address() -> io::Result<(Socket, SocketAddr)> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    let address = socket.local_addr()?.as_socket();
    Ok((socket, address.ok_or(io::ErrorKind::AddrNotAvailable)?))
}
