//! The framing of a response's body according to its head.

use super::{FramingError, FramingLimits};

/// How the end of a response's body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFraming {
    /// The status has no body.
    NoBody,
    /// The body has the chunked coding.
    Chunked,
    /// The head states the length in bytes.
    Length(u64),
    /// The body ends with the connection.
    UntilClose,
}

impl ResponseFraming {
    /// Returns the framing of a response to a request other than HEAD or CONNECT; `headers` are its names and values.
    ///
    /// A transfer coding takes precedence over a stated length (RFC 9112, section 6.3).
    pub fn of<'a>(
        status: u16, headers: impl Iterator<Item = (&'a str, &'a [u8])> + Clone, limits: FramingLimits,
    ) -> Result<Self, FramingError> {
        if matches!(status, 100..=199 | 204 | 304) {
            return Ok(ResponseFraming::NoBody);
        }
        let values = |wanted: &'static str| {
            headers.clone().filter(move |(name, _)| name.eq_ignore_ascii_case(wanted)).map(|(_, value)| value)
        };
        if let Some(codings) = values("transfer-encoding").last() {
            let last = codings.rsplit(|byte| *byte == b',').next().unwrap_or_default();
            let is_chunked = last.trim_ascii().eq_ignore_ascii_case(b"chunked");
            return Ok(if is_chunked { ResponseFraming::Chunked } else { ResponseFraming::UntilClose });
        }
        let lengths = values("content-length").flat_map(|value| value.split(|byte| *byte == b','));
        let mut length = None;
        for stated in lengths {
            let stated = parse_length(stated.trim_ascii()).ok_or(FramingError::LengthUnreadable)?;
            if length.replace(stated).is_some_and(|earlier| earlier != stated) {
                return Err(FramingError::LengthUnreadable);
            }
        }
        match length {
            None => Ok(ResponseFraming::UntilClose),
            Some(length) if length <= limits.max_stated_bytes => Ok(ResponseFraming::Length(length)),
            Some(_) => Err(FramingError::LengthTooLarge),
        }
    }
}

/// Parses a decimal length; one that exceeds the range is the largest number.
fn parse_length(digits: &[u8]) -> Option<u64> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    let add = |length: u64, digit: &u8| length.saturating_mul(10).saturating_add(u64::from(digit - b'0'));
    Some(digits.iter().fold(0, add))
}

#[cfg(test)]
mod tests;
