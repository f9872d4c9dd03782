//! Tests of claims that another process decides, on paused time.

use std::future::Future;
use std::time::Duration;

use glenrail_request_lifecycle::request_ids::ClaimNumber;
use tokio::task::LocalSet;
use tokio::time::Instant;

use super::{Claim, ClaimError, Decision, Link, Message, PendingClaim, RequestIds, SocketCookie};

const ID: &str = "a";

async fn run_local<F: Future>(test: F) -> F::Output {
    LocalSet::new().run_until(test).await
}

/// Returns ids of a process whose successor grants them, and the link to it.
fn with_successor() -> (RequestIds, Link) {
    let ids = RequestIds::default();
    let mut link = ids.open_successor_link().expect("this process is the arbiter");
    assert_eq!(link.outgoing.try_recv(), Ok(Message::Arbitrate));
    (ids, link)
}

fn pending(ids: &RequestIds, link: &mut Link) -> PendingClaim {
    let Claim::Pending(claim) = ids.claim(ID) else { panic!("the successor decides") };
    assert_eq!(link.outgoing.try_recv(), Ok(Message::Claim(ID.to_owned(), ClaimNumber(1))));
    claim
}

fn granted(ids: &RequestIds, link: &Link) {
    ids.receive(link.id, Message::Decided(ID.to_owned(), ClaimNumber(1), Decision::Granted));
}

#[tokio::test(start_paused = true)]
async fn a_request_waits_for_the_decision_for_a_limited_time() {
    run_local(async {
        let (ids, mut link) = with_successor();
        let started = Instant::now();
        let decision = pending(&ids, &mut link).decided().await;
        assert_eq!(decision.map(drop), Err(ClaimError::Undecided));
        assert!(started.elapsed() < Duration::from_millis(300));
        // A grant that comes too late is void.
        assert_eq!(link.outgoing.try_recv(), Ok(Message::Released(ID.to_owned())));
        granted(&ids, &link);
        assert!(!ids.is_in_use(ID));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_grant_that_crosses_the_end_of_its_request_is_released() {
    run_local(async {
        let (ids, mut link) = with_successor();
        let claim = pending(&ids, &mut link);
        granted(&ids, &link);
        assert!(ids.is_in_use(ID));
        drop(claim);
        assert!(!ids.is_in_use(ID));
        assert_eq!(link.outgoing.try_recv(), Ok(Message::InUse(ID.to_owned())));
        assert_eq!(link.outgoing.try_recv(), Ok(Message::Released(ID.to_owned())));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn an_id_stays_in_use_until_the_last_hold_on_it_is_dropped() {
    run_local(async {
        let ids = RequestIds::default();
        let Claim::Granted(hold) = ids.claim(ID) else { panic!("this process is the arbiter") };
        let second = hold.clone();
        drop(hold);
        assert!(matches!(ids.claim(ID), Claim::InUse));
        drop(second);
        assert!(ids.is_empty());
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn ids_of_a_process_that_was_killed_are_free_after_a_limited_time() {
    run_local(async {
        let ids = RequestIds::default();
        let link = ids.open_predecessor_link();
        ids.receive(link.id, Message::InUse(ID.to_owned()));
        ids.disconnect(link.id);
        tokio::time::sleep(Duration::from_secs(60)).await;
        assert!(matches!(ids.claim(ID), Claim::InUse));
        tokio::time::sleep(Duration::from_secs(60)).await;
        assert!(matches!(ids.claim(ID), Claim::Granted(_)));
    })
    .await;
}

/// Guards the memory of a process beside one that does not read: its link is closed, and no request waits for it.
#[tokio::test(start_paused = true)]
async fn a_link_that_is_not_read_is_closed() {
    run_local(async {
        let (ids, mut link) = with_successor();
        let sent = (0..2 * super::MAX_QUEUED_MESSAGES).map(|number| ids.claim(&number.to_string()));
        sent.for_each(drop);
        let mut received = 0;
        while link.outgoing.recv().await.is_some() {
            received += 1;
        }
        assert_eq!(received, super::MAX_QUEUED_MESSAGES);
    })
    .await;
}

/// Guards upgrades between builds: each message is written and read as recorded.
#[test]
fn messages_keep_their_recorded_form() {
    let id = || ID.to_owned();
    let messages = [
        Message::InUse(id()),
        Message::Released(id()),
        Message::Claim(id(), ClaimNumber(1)),
        Message::Decided(id(), ClaimNumber(1), Decision::Granted),
        Message::Decided(id(), ClaimNumber(1), Decision::InUse),
        Message::ContinueStream(id(), SocketCookie(7)),
        Message::Arbitrate,
        Message::ArbitrationPassedOn,
        Message::ArbitrationResumed,
    ];
    let recorded: Vec<&str> = include_str!("../../tests/fixtures/request_id_messages.txt").lines().collect();
    assert_eq!(recorded.len(), messages.len());
    for (message, line) in messages.iter().zip(recorded) {
        assert_eq!(serde_json::to_string(message).expect("a message"), line);
        assert_eq!(serde_json::from_str::<Message>(line).expect("a message"), *message);
    }
}
