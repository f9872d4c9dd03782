//! Signal handling: SIGTERM and SIGINT start the graceful shutdown, SIGHUP reloads the configuration.

use tokio::signal::unix::{signal, Signal, SignalKind};

use super::error::DaemonError;
use crate::log;

/// Signal handlers, installed at the start so that a signal received before it is awaited is not lost.
pub(super) struct Signals {
    pub(super) termination: ShutdownSignals,
    pub(super) reload: Signal,
}

/// Signals that start the graceful shutdown. Further ones during the shutdown have no effect.
pub(super) struct ShutdownSignals {
    terminate: Signal,
    /// SIGINT, for a program stopped with Ctrl-C; same effect as SIGTERM.
    interrupt: Signal,
}

impl ShutdownSignals {
    /// Waits for the first of these signals.
    pub(super) async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => log!("SIGINT: ending as at SIGTERM"),
        }
    }
}

impl Signals {
    pub(super) fn new() -> Result<Self, DaemonError> {
        let handle = |kind| signal(kind).map_err(DaemonError::Signals);
        let terminate = handle(SignalKind::terminate())?;
        let interrupt = handle(SignalKind::interrupt())?;
        Ok(Signals {
            termination: ShutdownSignals { terminate, interrupt },
            reload: handle(SignalKind::hangup())?,
        })
    }
}

/// Callbacks run at SIGHUP, in the order in which the components were started.
#[derive(Default)]
pub(super) struct Reloads(Vec<Box<dyn Fn()>>);

impl Reloads {
    pub(super) fn add(&mut self, reload: impl Fn() + 'static) {
        self.0.push(Box::new(reload));
    }

    /// Runs the callbacks at each SIGHUP until the process exits. A reload during the shutdown is harmless.
    pub(super) async fn run(self, mut signal: Signal) {
        while signal.recv().await.is_some() {
            log!("SIGHUP: reloading the configuration");
            for reload in &self.0 {
                reload();
            }
        }
    }
}
