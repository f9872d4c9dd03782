//! Every end of a client's connection that leaves bytes of a request with no complete answer has a reason in the operators'
//! figures, whoever decided it; ends that owe nothing have none.

mod common;

use std::time::Duration;

use common::gateway::{gateway, Gateway};
use common::raw::*;
use common::*;
use glenrail::front::closed_connections;
use glenrail::front::unanswered::{count, EndReason, RequestProgress};
use glenrail::shutdown::Phase;
use tokio::net::TcpStream;
use tokio::time::{pause, resume, sleep};

/// Connections of a gateway whose table is full at once.
const SMALL_CAP: usize = 2;
const ROOMY_CAP: usize = 50;
/// A connection may be evicted after this time in any stage without an open request.
const LONGER_THAN_ANY_GRACE: Duration = Duration::from_millis(150);
/// The first part of a head.
const HALF_HEAD: &str = "POST /v1";

/// A gateway before servers that answer, but for requests whose ids say otherwise.
async fn gateway_before_servers(cap: usize) -> Gateway {
    let reader = StandIn::start(|_, _| read()).await;
    let writer = StandIn::start(|_, seen| match seen.id.as_str() {
        "silent" => Act::Silence,
        "stuck" => Act::Stuck("data: {}\n\n"),
        _ => stream(),
    })
    .await;
    let gateway = gateway(&[&reader], &[&writer], None, cap).await;
    // The servers stay for as long as the test.
    std::mem::forget((reader, writer));
    gateway
}

/// A connection that has been served once.
async fn kept(gateway: &Gateway) -> TcpStream {
    let mut socket = connect(gateway.address).await;
    say(&socket, &request("kept"));
    assert!(answer_of(&mut socket).await.starts_with("HTTP/1.1 200"));
    socket
}

/// All ends that were counted, each with its reason and progress.
fn counted() -> Vec<(EndReason, RequestProgress, u64)> {
    let progresses = [RequestProgress::Unread, RequestProgress::PartlyRead, RequestProgress::Read];
    let all = EndReason::ALL.into_iter().flat_map(|reason| progresses.map(|progress| (reason, progress)));
    let counted = all.map(|(reason, progress)| (reason, progress, count(reason, progress)));
    counted.filter(|(_, _, count)| *count > 0).collect()
}

/// Waits for the one end that is counted.
async fn only_end() -> (EndReason, RequestProgress) {
    until(|| !counted().is_empty()).await;
    let ends = counted();
    assert_eq!((ends.len(), ends[0].2), (1, 1), "{ends:?}");
    (ends[0].0, ends[0].1)
}

/// Guards the operators' figures: each reason is a key, beside those that were there.
#[test]
fn the_figures_name_every_reason() {
    let figures = closed_connections::to_json();
    for key in ["evicted", "evicted_unread", "over_cap"] {
        assert!(figures.get(key).is_some(), "{key}: {figures}");
    }
    for reason in EndReason::ALL {
        for progress in ["unread", "partly_read", "read"] {
            assert_eq!(figures["unanswered"][reason.name()][progress], 0, "{reason:?} {progress}");
        }
    }
}

/// Guards the figures from ends that owe nothing: a served connection that its client ends, one that rests for too long, and a
/// request that is answered early.
#[test]
fn ends_that_owe_nothing_are_not_counted() {
    run(async {
        let gateway = gateway_before_servers(ROOMY_CAP).await;
        drop(kept(&gateway).await);
        drop(connect(gateway.address).await);
        let mut early = connect(gateway.address).await;
        say(&early, &head("large", 2_000_000));
        say(&early, "{");
        assert!(to_the_end(&mut early).await.0.starts_with("HTTP/1.1 413"));
        let mut malformed = connect(gateway.address).await;
        say(&malformed, "no request\r\n\r\n");
        assert!(to_the_end(&mut malformed).await.0.starts_with("HTTP/1.1 400"));
        let mut closing = connect(gateway.address).await;
        say(&closing, &request("closing").replace("host: a", "host: a\r\nconnection: close"));
        assert!(to_the_end(&mut closing).await.0.contains("[DONE]"));
        let mut resting = kept(&gateway).await;
        pause();
        assert_eq!(to_the_end(&mut resting).await, (String::new(), false));
        resume();
        drop((early, malformed, closing, resting));
        sleep(Duration::from_millis(100)).await;
        assert_eq!(counted(), []);
    });
}

#[test]
fn half_a_head_that_times_out_is_counted() {
    run(async {
        let gateway = gateway_before_servers(ROOMY_CAP).await;
        let mut half = kept(&gateway).await;
        say(&half, HALF_HEAD);
        pause();
        assert_eq!(to_the_end(&mut half).await.0, "");
        resume();
        drop(half);
        assert_eq!(only_end().await, (EndReason::TimedOut, RequestProgress::PartlyRead));
    });
}

#[test]
fn a_request_that_crosses_the_idle_timeout_is_counted_unread() {
    run(async {
        let gateway = gateway_before_servers(ROOMY_CAP).await;
        let mut idle = kept(&gateway).await;
        pause();
        until(|| closed_by_peer(&idle)).await;
        resume();
        say(&idle, &request("crossing"));
        assert_eq!(to_the_end(&mut idle).await, (String::new(), false));
        drop(idle);
        assert_eq!(only_end().await, (EndReason::TimedOut, RequestProgress::Unread));
    });
}

#[test]
fn half_a_head_that_is_evicted_is_counted() {
    run(async {
        let gateway = gateway_before_servers(SMALL_CAP).await;
        let mut half = connect(gateway.address).await;
        say(&half, HALF_HEAD);
        let mut open = connect(gateway.address).await;
        say(&open, &request("stuck"));
        comes(&mut open, "data: {}").await;
        sleep(LONGER_THAN_ANY_GRACE).await;
        let _newcomer = connect(gateway.address).await;
        assert_eq!(to_the_end(&mut half).await.0, "");
        drop(half);
        assert_eq!(only_end().await, (EndReason::Evicted, RequestProgress::PartlyRead));
    });
}

#[test]
fn a_request_that_crosses_an_eviction_is_counted_unread() {
    run(async {
        let gateway = gateway_before_servers(SMALL_CAP).await;
        let mut resting = connect(gateway.address).await;
        let _other = connect(gateway.address).await;
        sleep(LONGER_THAN_ANY_GRACE).await;
        let _newcomer = connect(gateway.address).await;
        until(|| closed_by_peer(&resting)).await;
        say(&resting, &request("crossing"));
        assert_eq!(to_the_end(&mut resting).await.0, "");
        drop(resting);
        assert_eq!(only_end().await, (EndReason::Evicted, RequestProgress::Unread));
    });
}

#[test]
fn a_request_that_crosses_the_shutdown_is_counted_unread() {
    run(async {
        let gateway = gateway_before_servers(ROOMY_CAP).await;
        let mut idle = kept(&gateway).await;
        gateway.shutdown.enter(Phase::Draining);
        gateway.shutdown.enter(Phase::Closing);
        until(|| closed_by_peer(&idle)).await;
        say(&idle, &request("crossing"));
        assert_eq!(to_the_end(&mut idle).await.0, "");
        drop(idle);
        assert_eq!(only_end().await, (EndReason::Shutdown, RequestProgress::Unread));
    });
}

/// Guards both sides of a client that leaves: while it waits for an answer, and with half a body sent.
#[test]
fn a_client_that_leaves_its_request_is_counted() {
    for (text, progress) in
        [(request("silent"), RequestProgress::Read), (HALF_HEAD.to_string(), RequestProgress::PartlyRead)]
    {
        run(async {
            let gateway = gateway_before_servers(ROOMY_CAP).await;
            let client = connect(gateway.address).await;
            say(&client, &text);
            sleep(Duration::from_millis(100)).await;
            drop(client);
            until(|| count(EndReason::ClientEnded, progress) == 1).await;
        });
    }
    assert_eq!(counted().len(), 2);
}

#[test]
fn a_response_that_is_aborted_is_counted() {
    run(async {
        let gateway = gateway_before_servers(ROOMY_CAP).await;
        let mut client = connect(gateway.address).await;
        say(&client, &request("stuck").replace("req-deadline: 10", "req-deadline: 1"));
        let (answer, _) = to_the_end(&mut client).await;
        assert!(answer.starts_with("HTTP/1.1 200") && !answer.ends_with("0\r\n\r\n"), "{answer:?}");
        drop(client);
        assert_eq!(only_end().await, (EndReason::ResponseAborted, RequestProgress::Read));
    });
}
