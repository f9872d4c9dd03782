//! The gateway's end of each attempt: its connection, from opening to its end.

use glenrail_request_lifecycle::request::{AttemptState, Input, Reply, Stage, StreamEnd};
use glenrail_request_lifecycle::server::{self, Connection};
use glenrail_request_lifecycle::InvalidTransition;

use super::{Log, Setup, World};
use crate::coverage;
use crate::rules::Rule;

/// What a server knows of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum ServerWork {
    /// Nothing yet.
    NotReceived,
    /// Its last byte has arrived.
    Received,
    /// This reply is on its way to the gateway.
    Replying(Reply),
    /// Answered or given up.
    Done,
    /// The gateway has closed the connection, and the server has not noticed yet.
    Abandoned,
}

/// Where the gateway's end of an attempt stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum CallState {
    /// The machine has not started the attempt.
    NotStarted,
    /// Started, without a connection.
    Starting,
    /// It has a connection.
    Open,
    /// Its connection was reset, and its server is asked what has become of it.
    Asking,
    /// Its connection is closed.
    Closed,
}

/// The call of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Call {
    pub(super) server: u8,
    pub(super) stage: Stage,
    pub(super) state: CallState,
    pub(super) connection: Connection,
    pub(super) work: ServerWork,
    /// Its server has begun an answer.
    pub(super) answer_begun: bool,
    /// It was written to a connection that is dead without an error.
    pub(super) on_dead_connection: bool,
}

impl Call {
    pub(super) fn new(server: u8, stage: Stage) -> Self {
        Call {
            server,
            stage,
            state: CallState::NotStarted,
            connection: Connection::default(),
            work: ServerWork::NotReceived,
            answer_begun: false,
            on_dead_connection: false,
        }
    }

    /// Whether the gateway has started it and not closed it.
    pub(super) fn is_open(&self) -> bool {
        matches!(self.state, CallState::Starting | CallState::Open | CallState::Asking)
    }

    /// Its connection is closed before its answer has come; its server may not have noticed.
    pub(super) fn cut(&mut self) {
        // What a dead connection has held back may arrive at any time, and long before the connection's end does.
        let may_arrive = self.on_dead_connection && self.work == ServerWork::NotReceived;
        // Else what the server did is done, whether or not its answer is read.
        let may_run = may_arrive || self.work == ServerWork::Received;
        self.work = if may_run { ServerWork::Abandoned } else { ServerWork::Done };
        self.close();
    }

    /// Nothing of a closed connection matters any more.
    pub(super) fn close(&mut self) {
        self.state = CallState::Closed;
        self.on_dead_connection = false;
        self.connection = Connection::default();
    }

    /// Whether its last byte has arrived at a server and its connection is open.
    pub(super) fn has_arrived(&self) -> bool {
        let has_connection = self.is_open() && self.state != CallState::Asking;
        has_connection && self.work != ServerWork::NotReceived
    }
}

impl World {
    pub(super) fn call(&self, attempt: u8) -> &Call {
        &self.calls[usize::from(attempt)]
    }

    pub(super) fn call_mut(&mut self, attempt: u8) -> &mut Call {
        &mut self.calls[usize::from(attempt)]
    }

    /// Feeds the machine of an attempt's connection.
    pub(super) fn step_connection(&mut self, attempt: u8, input: server::Input) -> Option<server::Effect> {
        let connection = &mut self.call_mut(attempt).connection;
        coverage::mark_server(connection.stage(), input);
        match connection.step(input) {
            Ok(effect) => Some(effect),
            Err(InvalidTransition { .. }) => {
                self.violate(Rule::NothingImpossible);
                None
            }
        }
    }

    /// Uses a connection that has carried another request before.
    pub(super) fn reuse_connection(&mut self, setup: &Setup, attempt: u8, log: &mut Log) {
        let mut connection = Connection::default();
        connection.plant(setup.connection_fault);
        let former_request = [
            server::Input::Connected,
            server::Input::Send { serving: true },
            server::Input::LastByteWritten,
            server::Input::HeadReceived,
            server::Input::ResponseComplete,
        ];
        for input in former_request {
            let _ = connection.step(input);
        }
        let call = self.call_mut(attempt);
        call.connection = connection;
        call.state = CallState::Open;
        self.write_first_byte(setup, attempt, log);
    }

    pub(super) fn connected(&mut self, setup: &Setup, attempt: u8, log: &mut Log) {
        if self.step_connection(attempt, server::Input::Connected).is_some() {
            self.write_first_byte(setup, attempt, log);
        }
    }

    /// Writes the first byte, if the server may receive it.
    fn write_first_byte(&mut self, setup: &Setup, attempt: u8, log: &mut Log) {
        if self.call(attempt).connection.stage() == server::Stage::Closing {
            return;
        }
        let drained = self.server(self.call(attempt).server).drain_announced;
        match self.step_connection(attempt, server::Input::Send { serving: !drained }) {
            Some(server::Effect::Write) if drained => self.violate(Rule::NothingToDrained),
            None | Some(server::Effect::Write) => {}
            Some(_) => {
                self.call_mut(attempt).state = CallState::Closed;
                self.feed(setup, Input::Replied { attempt: attempt.into(), reply: Reply::NotSent }, log);
            }
        }
    }

    pub(super) fn write_bytes(&mut self, attempt: u8) {
        let _ = self.step_connection(attempt, server::Input::BytesWritten);
    }

    pub(super) fn write_last_byte(&mut self, attempt: u8) {
        if self.step_connection(attempt, server::Input::LastByteWritten).is_some() {
            self.call_mut(attempt).work = ServerWork::Received;
        }
    }

    pub(super) fn write_to_dead_connection(&mut self, attempt: u8) {
        if self.step_connection(attempt, server::Input::LastByteWritten).is_some() {
            self.call_mut(attempt).on_dead_connection = true;
        }
    }

    /// Receives the reply that the server has prepared.
    pub(super) fn receive_reply(&mut self, setup: &Setup, attempt: u8, log: &mut Log) {
        let ServerWork::Replying(reply) = self.call(attempt).work else { return };
        if self.step_connection(attempt, server::Input::HeadReceived).is_none() {
            return;
        }
        self.call_mut(attempt).work = ServerWork::Done;
        if reply == Reply::FirstEvent {
            return self.receive_first_event(setup, attempt, log);
        }
        self.step_connection(attempt, server::Input::ResponseComplete);
        self.call_mut(attempt).close();
        self.feed(setup, Input::Replied { attempt: attempt.into(), reply }, log);
    }

    /// The first event begins the client's stream, or the call is dropped because nobody waits for it.
    fn receive_first_event(&mut self, setup: &Setup, attempt: u8, log: &mut Log) {
        let reply = Reply::FirstEvent;
        self.feed(setup, Input::Replied { attempt: attempt.into(), reply }, log);
        if self.machine.attempts()[usize::from(attempt)].state != AttemptState::Streaming {
            self.close(attempt);
            self.feed(setup, Input::CancelCompleted { attempt: attempt.into() }, log);
        }
    }

    /// The connection fails, with what that shows of the request.
    pub(super) fn lose_connection(
        &mut self, setup: &Setup, attempt: u8, input: server::Input, log: &mut Log,
    ) {
        let Some(effect) = self.step_connection(attempt, input) else { return };
        let call = self.call_mut(attempt);
        let arrived = call.work != ServerWork::NotReceived;
        if arrived && matches!(effect, server::Effect::Replace | server::Effect::NeverRan) {
            return self.violate(Rule::NeverRanIsTrue);
        }
        if effect == server::Effect::Replace {
            // Another connection for the same attempt.
            call.connection = Connection::default();
            call.connection.plant(setup.connection_fault);
            call.state = CallState::Open;
            return;
        }
        call.cut();
        let reply = if effect == server::Effect::NeverRan { Reply::ConnectFailed } else { Reply::Reset };
        self.feed(setup, Input::Replied { attempt: attempt.into(), reply }, log);
    }

    /// The connection of a prefill is reset, and a new one is to show what has become of its server.
    pub(super) fn reset_and_ask(&mut self, attempt: u8) {
        if self.step_connection(attempt, server::Input::Broken).is_some() {
            let call = self.call_mut(attempt);
            call.cut();
            call.state = CallState::Asking;
        }
    }

    /// The new connection has shown that the server works on the prefill no more.
    pub(super) fn answer_after_reset(&mut self, setup: &Setup, attempt: u8, log: &mut Log) {
        self.call_mut(attempt).close();
        let reply = Reply::ResetAndEnded;
        self.feed(setup, Input::Replied { attempt: attempt.into(), reply }, log);
    }

    /// The gateway closes its end.
    fn close(&mut self, attempt: u8) {
        if self.call(attempt).state == CallState::Asking {
            return self.call_mut(attempt).close();
        }
        self.step_connection(attempt, server::Input::Abandoned);
        self.call_mut(attempt).cut();
    }

    pub(super) fn attempt_times_out(&mut self, setup: &Setup, attempt: u8, log: &mut Log) {
        self.close(attempt);
        self.feed(setup, Input::TimedOut { attempt: attempt.into() }, log);
    }

    /// The call of a cancelled attempt is dropped.
    pub(super) fn cancel_completes(&mut self, setup: &Setup, attempt: u8, log: &mut Log) {
        let call = self.call(attempt);
        let unwritten =
            call.state == CallState::Starting || call.connection.stage() == server::Stage::Connecting;
        let unwritten = unwritten && call.state != CallState::Asking;
        self.close(attempt);
        let attempt = usize::from(attempt);
        let input = if unwritten {
            Input::Replied { attempt, reply: Reply::NotSent }
        } else {
            Input::CancelCompleted { attempt }
        };
        self.feed(setup, input, log);
    }

    pub(super) fn stream_ends(&mut self, setup: &Setup, attempt: u8, end: StreamEnd, log: &mut Log) {
        let input = match end {
            StreamEnd::Complete => server::Input::ResponseComplete,
            StreamEnd::HandedOver => server::Input::ReadPaused,
            StreamEnd::ClientStalled | StreamEnd::IdleTimeout => server::Input::Abandoned,
            StreamEnd::Reset | StreamEnd::MalformedResponse => server::Input::Broken,
        };
        self.step_connection(attempt, input);
        let call = self.call_mut(attempt);
        call.close();
        call.work = ServerWork::Done;
        self.feed(setup, Input::StreamEnded { attempt: attempt.into(), end }, log);
    }
}
