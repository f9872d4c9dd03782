//! Observer of the requests that a link proxies on one connection from a gateway to an engine.

use crate::record::{Event, Records};

const MAX_HEADERS: usize = 64;

/// Part of a request that the next byte from the gateway belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Head,
    /// The body, of which this many bytes are still missing.
    Body(usize),
}

/// Attempt whose head has been received.
#[derive(Clone, Debug)]
struct Attempt {
    request: String,
    announced_deadline: Option<f64>,
    response_began: bool,
}

/// Parses the requests on a connection and records the attempts, which are the requests with a `req-id`.
pub struct AttemptObserver {
    records: Records,
    link: String,
    connection: u64,
    framing: Framing,
    head: Vec<u8>,
    /// When the first byte of the incomplete head was received.
    head_began_at: Option<u64>,
    attempt: Option<Attempt>,
    /// Called when the last byte of an attempt has been received, before it is forwarded.
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

    /// Processes bytes that were received from the gateway.
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

    /// Sets how many bytes of the body are missing; at 0 an attempt is recorded as written.
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

    /// Records the start of the response, when its first bytes are forwarded to the gateway.
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

/// Records the end of the connection: the gateway has closed it, or it was reset.
impl Drop for AttemptObserver {
    fn drop(&mut self) {
        if let Some(Attempt { request, .. }) = self.attempt.take() {
            self.record(Event::Closed { request, connection: self.connection });
        }
    }
}
