//! Identifiers and the unit of time.

/// Point in time or duration, in milliseconds.
pub type Millis = f64;

/// Identifier of a request. The caller assigns it and never reuses it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifier of a server. Every router must use the same number for the same server, because prefix affinity
/// hashes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);
