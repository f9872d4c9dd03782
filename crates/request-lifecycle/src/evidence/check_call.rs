//! What a call on another connection to the same server shows about the delivery of an attempt.

/// Times of an attempt that was written. All times are read from one clock of the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WrittenAttempt<T> {
    /// When the attempt's connection was opened.
    pub connection_opened: T,
    /// When its first byte was written, immediately after a call on the connection was answered.
    pub written: T,
}

/// Times of a call on another connection to the server of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckCall<T> {
    /// When the connection of the call was opened.
    pub connection_opened: T,
    /// When the connection last carried a response before the call; when it was opened if it carried none.
    pub last_answer: T,
    /// When the call was sent.
    pub sent: T,
}

impl<T: Copy + Ord> CheckCall<T> {
    /// Returns whether an answer to this call confirms the delivery of the attempt: the connection was open when the
    /// attempt was written, and the call was sent after that. An answer then shows that no failure has broken the
    /// connections that were open at the write.
    pub fn response_confirms_delivery(&self, attempt: &WrittenAttempt<T>) -> bool {
        self.connection_opened < attempt.written && attempt.written <= self.sent
    }

    /// Returns whether a missing answer to this call makes the delivery of the attempt doubtful.
    ///
    /// This requires that the connection has worked since the attempt's connection was opened, because a failure
    /// after that affects both. Otherwise it may have failed before the attempt's connection was opened.
    pub fn timeout_makes_delivery_doubtful(&self, attempt: &WrittenAttempt<T>) -> bool {
        self.response_confirms_delivery(attempt) && self.last_answer >= attempt.connection_opened
    }
}
