//! Tests of the framing that a response's head states.

use super::*;

fn framing(status: u16, headers: &[(&str, &str)]) -> Result<ResponseFraming, FramingError> {
    let headers = headers.iter().map(|(name, value)| (*name, value.as_bytes()));
    ResponseFraming::of(status, headers, FramingLimits::RESPONSE)
}

#[test]
fn a_head_states_where_its_body_ends() {
    use ResponseFraming::{Chunked, Length, NoBody, UntilClose};
    let cases: [(u16, &[(&str, &str)], _); 9] = [
        (200, &[("Transfer-Encoding", "Chunked")], Chunked),
        (200, &[("transfer-encoding", "gzip, chunked")], Chunked),
        (200, &[("transfer-encoding", "chunked"), ("content-length", "5")], Chunked),
        (200, &[("transfer-encoding", "gzip")], UntilClose),
        (202, &[("content-length", " 19 ")], Length(19)),
        (200, &[("content-length", "19, 19"), ("content-length", "19")], Length(19)),
        (200, &[], UntilClose),
        (204, &[], NoBody),
        (304, &[("content-length", "3221225472")], NoBody),
    ];
    for (status, headers, expected) in cases {
        assert_eq!(framing(status, headers), Ok(expected), "{status} {headers:?}");
    }
}

#[test]
fn a_length_that_is_too_large_or_no_number_is_malformed() {
    for length in ["3221225472", "67108865", "99999999999999999999999999"] {
        assert_eq!(framing(200, &[("content-length", length)]), Err(FramingError::LengthTooLarge));
    }
    for length in ["", "-1", "+5", "5x", "5, 6", "0x10"] {
        assert_eq!(framing(200, &[("content-length", length)]), Err(FramingError::LengthUnreadable));
    }
    assert_eq!(framing(200, &[("content-length", "67108864")]), Ok(ResponseFraming::Length(64 << 20)));
}
