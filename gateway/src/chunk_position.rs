//! The framing of a chunked body: where in it a reader stands, and what of it is data.

/// The framing cannot be read.
#[derive(Debug, PartialEq, Eq)]
pub struct Unreadable;

/// Largest chunk that is believed.
const CHUNK: u64 = 1 << 31;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum At {
    /// Before a chunk.
    #[default]
    Start,
    Size(u64),
    /// Past the digits of this size, in the rest of its line.
    Line(u64),
    Data(u64),
    /// Between a chunk's data and the end of its line.
    After,
    /// Behind the last chunk; whether the line so far is empty.
    Trailer(bool),
    End,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChunkPosition(At);

impl ChunkPosition {
    /// Whether the next byte begins a chunk.
    pub fn between(&self) -> bool {
        self.0 == At::Start
    }

    /// Whether the body is over.
    pub fn ended(&self) -> bool {
        self.0 == At::End
    }

    /// Reads on over these bytes and gives out what is data, as far as the body goes, or only as far as to the end of
    /// the chunk that is being read. Says how many bytes that was.
    pub fn read(
        &mut self, bytes: &[u8], one: bool, mut data: impl FnMut(&[u8]),
    ) -> Result<usize, Unreadable> {
        let mut at = 0;
        while at < bytes.len() && !self.ended() && !(one && self.between()) {
            let byte = bytes[at];
            let digit = char::from(byte).to_digit(16).map(u64::from);
            self.0 = match (self.0, byte) {
                (At::Data(left), _) => {
                    let here = left.min((bytes.len() - at) as u64);
                    data(&bytes[at..at + here as usize]);
                    at += here as usize;
                    self.0 = if here == left { At::After } else { At::Data(left - here) };
                    continue;
                }
                (At::Start, _) => At::Size(digit.ok_or(Unreadable)?),
                (At::Size(size), _) if digit.is_some() => {
                    At::Size(size * 16 + digit.filter(|_| size < CHUNK).ok_or(Unreadable)?)
                }
                (At::Size(0) | At::Line(0), b'\n') => At::Trailer(true),
                (At::Size(size) | At::Line(size), b'\n') => At::Data(size),
                (At::Size(size), b'\r' | b';' | b' ' | b'\t') | (At::Line(size), _) => At::Line(size),
                (At::After, b'\n') => At::Start,
                (At::After, b'\r') => At::After,
                (At::Trailer(true), b'\n') => At::End,
                (At::Trailer(_), b'\n') => At::Trailer(true),
                (At::Trailer(empty), b'\r') => At::Trailer(empty),
                (At::Trailer(_), _) => At::Trailer(false),
                (At::Size(_) | At::After | At::End, _) => return Err(Unreadable),
            };
            at += 1;
        }
        Ok(at)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const BODY: &[u8] =
        b"5\r\nhello\r\n1a;x=\"y\"\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\nMore: yes\r\n\r\nnext";

    proptest! {
        /// Guards a body however it is cut, and wherever its reader stops between two chunks: all of its data comes,
        /// once, and nothing of what follows it.
        #[test]
        fn data_comes_once_however_it_is_cut(cuts in prop::collection::vec((1usize..9, any::<bool>()), 120)) {
            let (mut chunks, mut data, mut rest) = (ChunkPosition::default(), Vec::new(), BODY);
            for (cut, one) in cuts {
                let n = cut.min(rest.len());
                let fresh = one && chunks.between();
                let read = chunks.read(&rest[..n], one, |d| data.extend_from_slice(d)).expect("a body");
                prop_assert!(read == n || chunks.ended() || one && chunks.between());
                prop_assert!(!fresh || read == 0);
                rest = &rest[read..];
            }
            while !chunks.ended() {
                let read = chunks.read(rest, false, |d| data.extend_from_slice(d)).expect("a body");
                rest = &rest[read..];
            }
            prop_assert_eq!(&data[..], b"helloabcdefghijklmnopqrstuvwxyz");
            prop_assert_eq!(rest, b"next");
        }
    }

    #[test]
    fn what_is_no_size_is_found_out() {
        for bad in [&b"x"[..], b"5x", b"ffffffffffff\r\n", b"1\r\nab", b"\r\n"] {
            assert_eq!(ChunkPosition::default().read(bad, false, |_| {}), Err(Unreadable), "{bad:?}");
        }
    }
}
