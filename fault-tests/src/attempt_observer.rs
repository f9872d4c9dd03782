//! What a link sees of the requests that pass on one connection from a gateway to an engine.

use crate::record::{Event, Records};

const MAX_HEADERS: usize = 64;

/// Where the framing of what a gateway sends stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Head,
    /// So many bytes of the body are still to come.
    Body(usize),
}

/// An attempt whose head has passed.
#[derive(Clone, Debug)]
struct Attempt {
    request: String,
    announced_deadline: Option<f64>,
    response_began: bool,
}

/// Reads requests as they pass, and records those that carry a request's id.
pub struct AttemptObserver {
    records: Records,
    link: String,
    connection: u64,
    framing: Framing,
    head: Vec<u8>,
    /// When the first byte of the head under way passed.
    head_began_at: Option<u64>,
    attempt: Option<Attempt>,
    /// Called when the last byte of an attempt has been seen, before it is passed on.
    on_attempt: Box<dyn Fn() + Send>,
}

impl AttemptObserver {
    pub fn new(
        records: Records, link: &str, connection: u64, on_attempt: impl Fn() + Send + 'static,
    ) -> AttemptObserver {
        AttemptObserver {
            records,
            link: link.to_string(),
            connection,
            framing: Framing::Head,
            head: Vec::new(),
            head_began_at: None,
            attempt: None,
            on_attempt: Box::new(on_attempt),
        }
    }

    /// These bytes pass from the gateway.
    pub fn on_request(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = match self.framing {
                Framing::Head => self.parse_head(bytes),
                Framing::Body(remaining) => self.skip_body(bytes, remaining),
            };
        }
    }

    fn parse_head<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        self.head_began_at.get_or_insert_with(crate::clock::now);
        let buffered = self.head.len();
        self.head.extend_from_slice(bytes);
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let Ok(httparse::Status::Complete(size)) = request.parse(&self.head) else { return &[] };
        let header = |name: &str| {
            let found = request.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
            std::str::from_utf8(found.value).ok().map(str::to_string)
        };
        let length = header("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
        let announced = header("req-deadline").and_then(|n| n.parse().ok());
        let attempt = header("req-id").map(|request| Attempt {
            request,
            announced_deadline: announced,
            response_began: false,
        });
        self.head.clear();
        let head_began_at = self.head_began_at.take().unwrap_or_else(crate::clock::now);
        if let Some(Attempt { request, .. }) = &attempt {
            let event = Event::FirstByte { request: request.clone(), connection: self.connection };
            self.records.push(crate::record::Record { at: head_began_at, source: self.link.clone(), event });
        }
        self.attempt = attempt;
        self.set_remaining_body(length);
        &bytes[size - buffered..]
    }

    fn skip_body<'a>(&mut self, bytes: &'a [u8], remaining: usize) -> &'a [u8] {
        let skipped = remaining.min(bytes.len());
        self.set_remaining_body(remaining - skipped);
        &bytes[skipped..]
    }

    /// So much of a body is left.
    fn set_remaining_body(&mut self, remaining: usize) {
        self.framing = if remaining > 0 { Framing::Body(remaining) } else { Framing::Head };
        let Some(Attempt { request, announced_deadline: announced, .. }) =
            self.attempt.clone().filter(|_| remaining == 0)
        else {
            return;
        };
        self.record(Event::Written { request, connection: self.connection, announced_deadline: announced });
        (self.on_attempt)();
    }

    /// Bytes of an answer are given to the gateway.
    pub fn on_response(&mut self) {
        let Some(attempt) = self.attempt.as_mut().filter(|attempt| !attempt.response_began) else { return };
        attempt.response_began = true;
        let request = attempt.request.clone();
        self.record(Event::Replied { request, connection: self.connection });
    }

    fn record(&self, event: Event) {
        self.records.add(&self.link, event);
    }
}

/// The gateway has closed the connection, or it was reset.
impl Drop for AttemptObserver {
    fn drop(&mut self) {
        if let Some(Attempt { request, .. }) = self.attempt.take() {
            self.record(Event::Closed { request, connection: self.connection });
        }
    }
}
