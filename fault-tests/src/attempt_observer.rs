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
    began: Option<u64>,
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
            began: None,
            attempt: None,
            on_attempt: Box::new(on_attempt),
        }
    }

    /// These bytes pass from the gateway.
    pub fn bytes_passed(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = match self.framing {
                Framing::Head => self.head_bytes(bytes),
                Framing::Body(left) => self.body_bytes(bytes, left),
            };
        }
    }

    fn head_bytes<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        self.began.get_or_insert_with(crate::clock::now);
        let before = self.head.len();
        self.head.extend_from_slice(bytes);
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let Ok(httparse::Status::Complete(size)) = request.parse(&self.head) else { return &[] };
        let header = |name: &str| {
            let found = request.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
            std::str::from_utf8(found.value).ok().map(str::to_string)
        };
        let length = header("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
        let told = header("req-deadline").and_then(|n| n.parse().ok());
        let attempt = header("req-id").map(|request| Attempt {
            request,
            announced_deadline: told,
            response_began: false,
        });
        self.head.clear();
        let began = self.began.take().unwrap_or_else(crate::clock::now);
        if let Some(Attempt { request, .. }) = &attempt {
            let event = Event::FirstByte { request: request.clone(), connection: self.connection };
            self.records.push(crate::record::Record { at: began, source: self.link.clone(), event });
        }
        self.attempt = attempt;
        self.body(length);
        &bytes[size - before..]
    }

    fn body_bytes<'a>(&mut self, bytes: &'a [u8], left: usize) -> &'a [u8] {
        let passed = left.min(bytes.len());
        self.body(left - passed);
        &bytes[passed..]
    }

    /// So much of a body is left.
    fn body(&mut self, left: usize) {
        self.framing = if left > 0 { Framing::Body(left) } else { Framing::Head };
        let Some(Attempt { request, announced_deadline: told, .. }) =
            self.attempt.clone().filter(|_| left == 0)
        else {
            return;
        };
        self.record(Event::Written { request, connection: self.connection, announced_deadline: told });
        (self.on_attempt)();
    }

    /// Bytes of an answer are given to the gateway.
    pub fn response_began(&mut self) {
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
