//! What a call on a connection that stood when an attempt was written says of the attempt's own connection.

/// An attempt that was written; times are on one clock of the caller's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WrittenAttempt<T> {
    /// When the attempt's connection was opened.
    pub connection_opened: T,
    /// When its first byte was written, right after the connection had answered.
    pub written: T,
}

/// A call on another connection to the same server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StandingCall<T> {
    /// When that connection was opened.
    pub connection_opened: T,
    /// When that connection last carried an answer before the call, or was opened.
    pub last_answer: T,
    /// When the call was written.
    pub asked: T,
}

impl<T: Copy + Ord> StandingCall<T> {
    /// Whether the connection stood when the attempt was written, and was asked after that. If so its answer shows that nothing
    /// has silenced the connections that stood at the write.
    pub fn answer_shows_delivery(&self, attempt: &WrittenAttempt<T>) -> bool {
        self.connection_opened < attempt.written && attempt.written <= self.asked
    }

    /// Whether the connection's silence speaks against the attempt's own connection, too.
    ///
    /// Only if it has worked since the attempt's connection was opened: what silenced it after that met both. An older one
    /// may have been struck before the attempt's connection was there.
    pub fn silence_doubts_delivery(&self, attempt: &WrittenAttempt<T>) -> bool {
        self.answer_shows_delivery(attempt) && self.last_answer >= attempt.connection_opened
    }
}
