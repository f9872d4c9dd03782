//! Tests of the eviction from a full table, on paused time.

use std::future::Future;
use std::time::Duration;

use futures_util::FutureExt;
use glenrail_request_lifecycle::client::{Framing, Input};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::advance;

use super::*;
use crate::counted_socket::CountedSocket;
use crate::front::connection_state::{EVICTION_GRACE, HEAD_EVICTION_GRACE};
use crate::front::unanswered::{self, EndReason, RequestProgress};

/// Returns both ends of a connection, the client's first, and its entry in the table.
async fn insert_connection(table: &Rc<ConnectionTable>) -> (TcpStream, CountedSocket, TableEntry) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let client = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("a connection");
    let socket = CountedSocket::new(listener.accept().await.expect("a connection").0);
    let entry = table.insert(None);
    entry.state.set_socket(&socket);
    (client, socket, entry)
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(test);
}

/// Guards against evicting a connection whose request begins after it was chosen as idle: the first bytes have been
/// read by then, and the grace period for the rest of the head applies.
#[test]
fn head_that_begins_after_the_choice_gets_its_grace_period() {
    run(async {
        let table = Rc::new(ConnectionTable::new(1));
        let (_client, _socket, entry) = insert_connection(&table).await;
        entry.state.feed(Input::HeadStarted);
        entry.state.feed(Input::HeadComplete(Framing::Complete));
        entry.state.response_finished();
        advance(EVICTION_GRACE).await;
        assert!(table.evict() && table.len() == 0, "the idle connection was not chosen");
        entry.state.feed(Input::HeadStarted);
        for _ in 0..3 {
            assert_eq!(
                entry.close_required().now_or_never(),
                None,
                "evicted after its first bytes were read"
            );
        }
        assert_eq!(table.len(), 1, "the connection is not in the table again");
        assert!(!table.evict(), "chosen again within the grace period of a head");
        advance(HEAD_EVICTION_GRACE + Duration::from_millis(1)).await;
        assert!(table.evict());
        assert_eq!(entry.close_required().await, CloseReason::Evicted);
    });
}

/// Guards the report of a partly read request whose connection is dropped without a decision to end it, as at
/// the end of the process.
#[test]
fn connection_dropped_without_a_decision_is_reported() {
    run(async {
        let table = Rc::new(ConnectionTable::new(1));
        let (_client, _socket, entry) = insert_connection(&table).await;
        entry.state.feed(Input::HeadStarted);
        entry.state.end.note_read(8);
        drop(entry);
        assert_eq!(unanswered::count(EndReason::ProcessEnded, RequestProgress::PartlyRead), 1);
    });
}
