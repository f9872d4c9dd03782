//! Requests in the forms that HTTP/1.1 allows, before the platform's front, whole and a byte at a time: each is served, and
//! reaches its engine with method, path, query and body as they were meant.

mod common;

use common::gateway::*;
use common::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const BODY: &str = "{\"model\":\"chat\",\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]}";

/// The fields that a request of this id has to have, with names in this case.
fn fields(id: usize, upper: bool) -> String {
    let text = format!("Host: a\r\nReq-Id: form-{id}\r\nReq-Kind: item-query\r\nReq-Deadline: 9\r\n");
    let case = |line: &str| {
        let (name, value) = line.split_once(':').expect("a field");
        let name = if upper { name.to_uppercase() } else { name.to_lowercase() };
        format!("{name}:{value}\r\n")
    };
    text.lines().map(case).collect()
}

/// Each form, with the path and query that its engine gets.
fn forms() -> Vec<(String, &'static str)> {
    let sized = format!("content-length: {}\r\n\r\n{BODY}", BODY.len());
    let (one, two) = BODY.split_at(7);
    let chunks = format!("{:x}\r\n{one}\r\n{:X}\r\n{two}\r\n0\r\n\r\n", one.len(), two.len());
    let extended = format!(
        "{:04x};a=\"b;c\"\r\n{one}\r\n{:x} ; d\r\n{two}\r\n000\r\nafter: 1\r\n\r\n",
        one.len(),
        two.len()
    );
    let line = |target: &str| format!("POST {target} HTTP/1.1\r\n");
    let whole = |n, upper| format!("{}{}", line(CHAT), fields(n, upper));
    let query = "/v1/chat/completions?a=b&c=%20d";
    let absolute = format!("http://api.internal{query}");
    let spaced = whole(8, false).replace(": ", ": \t ").replace("\r\n", " \t\r\n").replace("1.1 \t", "1.1");
    let named = "connection: Keep-Alive, x-own\r\nx-own: 1\r\nkeep-alive: timeout=5\r\n";
    vec![
        (format!("{}{sized}", whole(0, false)), CHAT),
        (format!("{}{sized}", whole(1, true)), CHAT),
        (format!("{}transfer-encoding: chunked\r\n\r\n{chunks}", whole(2, false)), CHAT),
        (format!("{}Transfer-Encoding: Chunked\r\n\r\n{extended}", whole(3, false)), CHAT),
        (format!("{}{}{sized}", line(query), fields(4, false)), query),
        (format!("{}{}{sized}", line(&absolute), fields(5, false)), query),
        (format!("\r\n{}{sized}", whole(6, false)), CHAT),
        (format!("{}{sized}", whole(7, false).replace(": ", ":")), CHAT),
        (format!("{spaced}{sized}"), CHAT),
        (format!("{}expect: 100-continue\r\n{sized}", whole(9, false)), CHAT),
        (format!("{}{named}{sized}", whole(10, false)), CHAT),
    ]
}

/// Guards every one of these forms, written at once and a byte at a time.
#[test]
fn each_form_of_a_request_is_served() {
    for in_pieces in [false, true] {
        run(async {
            let reader = StandIn::start(|_, _| read()).await;
            let writer = StandIn::start(|_, _| stream()).await;
            let g = gateway(&[&reader], &[&writer], None, 50).await;
            for (n, (form, target)) in forms().into_iter().enumerate() {
                let mut raw = TcpStream::connect(g.address).await.expect("a connection");
                raw.set_nodelay(true).expect("set");
                for piece in form.as_bytes().chunks(if in_pieces { 1 } else { form.len() }) {
                    raw.write_all(piece).await.expect("sent");
                    tokio::task::yield_now().await;
                }
                let mut got = Vec::new();
                while !got.ends_with(b"\r\n0\r\n\r\n") && matches!(raw.read_buf(&mut got).await, Ok(1..)) {}
                let got = String::from_utf8_lossy(&got).into_owned();
                let answer = got.strip_prefix("HTTP/1.1 100 Continue\r\n\r\n").unwrap_or(&got);
                assert!(answer.starts_with("HTTP/1.1 200"), "form {n}, {in_pieces}: {got}");
                for engine in [&reader, &writer] {
                    let seen = engine.seen.borrow().last().cloned().expect("a request");
                    assert_eq!(
                        (seen.id, seen.path),
                        (format!("form-{n}"), target.to_string()),
                        "{in_pieces}"
                    );
                    assert_eq!((&seen.method[..], &seen.body[..]), ("POST", BODY.as_bytes()), "form {n}");
                }
            }
        });
    }
}
