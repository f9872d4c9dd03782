//! The calls of discovery: a watch that never pauses for long, over a connection of its own.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use deckhub::{Discovery, Scope, Settings};
use glenrail_lifecycle::watch::{self as calls, Ask, Pauses, Watch as Calls};
use http::{header, Request, Response, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, timeout};

use super::list::List;
use crate::core::duration;
use crate::log;

/// A watch is held no longer than this, so that a lost one is noticed soon.
const HOLD: Duration = Duration::from_millis(2_000);
/// A call must be answered so soon after its hold has passed; then it starts anew on a new connection.
const LATE: Duration = Duration::from_millis(1_000);
/// An answer that has begun must be whole so much later.
const BODY: Duration = Duration::from_millis(1_000);
const CONNECT: Duration = Duration::from_millis(500);
/// Mean pause after a first failed call: short enough for the watch to go on as the same one.
const AGAIN: Duration = Duration::from_millis(100);
/// The longest mean pause: with a half more and a call's own time, a list that can be had again is here before what it
/// says counts as told (6 s, the protocol's figure).
const LONGEST: Duration = Duration::from_millis(2_500);
/// The same where lists are pushed: calls go to an agent on the same machine, at no cost. What it has counts as told
/// whether or not a watch is open, and a drain may have to be kept within 300 ms: no call and pause take longer.
const AGENT: Pauses = Pauses {
    first: Duration::from_millis(60),
    most: Duration::from_millis(60),
    round: Duration::ZERO,
    longest_round: Duration::from_millis(1_000),
    hold: Duration::from_millis(1_000),
    late: Duration::from_millis(500),
    at_once: Some(Duration::from_millis(150)),
};
/// Where discovery has to be asked, each gateway is given so much of its time: a hundred that start together and call
/// within 5 s are all answered (measured; within 2 s a third of them are turned away, at once nearly all).
const TURN: Duration = Duration::from_millis(50);
/// Whoever has not asked for the settings' time, or for four times that after a call that failed, counts as told all the
/// same: calls come before this share of it, give or take the half by which pauses are drawn.
const ASKED_BY: f64 = 0.8;
const AFTER_FAILED: f64 = 4.0 / 1.5;
const LIST: usize = 4 << 20;

/// What the watch has cost: calls answered, the lines that came with them, calls that failed.
#[derive(Debug, Default)]
pub struct Tally {
    pub answered: Cell<u64>,
    pub lines: Cell<u64>,
    pub failed: Cell<u64>,
}

struct Watch {
    sender: SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn connect(address: &str) -> Result<Watch, Failed> {
    let socket =
        timeout(CONNECT, TcpStream::connect(address)).await.map_err(|_| "no connection in time")??;
    let (sender, connection) = handshake(TokioIo::new(socket)).await?;
    let task = spawn_local(async move {
        // Whoever waits for the answer is told of the error.
        let _ = connection.await;
    });
    Ok(Watch { sender, task: task.abort_handle() })
}

/// Why a call brought no list, in words and as it is judged.
struct Failed(String, calls::Failed);

impl<T: ToString> From<T> for Failed {
    fn from(words: T) -> Self {
        Failed(words.to_string(), calls::Failed::Lost)
    }
}

fn judged<B>(answer: &Response<B>) -> calls::Failed {
    if !matches!(answer.status(), StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
        return calls::Failed::Lost;
    }
    let wanted = answer.headers().get(header::RETRY_AFTER).and_then(|v| v.to_str().ok()?.parse().ok());
    calls::Failed::TurnedAway(wanted.and_then(|seconds: f64| Duration::try_from_secs_f64(seconds).ok()))
}

/// Asks on the connection that is open, or on a new one.
async fn call(
    open: Option<Watch>, address: &str, ask: Ask, from: Option<u64>,
) -> Result<(Watch, List), Failed> {
    let target = match (ask, from) {
        (Ask::Changes { hold, .. }, Some(seq)) => {
            format!("/v1/endpoints?from={seq}&hold_ms={}", hold.as_millis())
        }
        _ => "/v1/endpoints".to_string(),
    };
    let request = Request::get(target).header(header::HOST, address).body(Empty::new());
    let begins = async {
        let mut watch = match open {
            Some(watch) => watch,
            None => connect(address).await?,
        };
        watch.sender.ready().await?;
        let response = watch.sender.send_request(request?).await?;
        Ok::<_, Failed>((watch, response))
    };
    let (watch, response) = timeout(ask.within(), begins).await.map_err(|_| "no answer in time")??;
    if !response.status().is_success() {
        return Err(Failed(format!("status {}", response.status()), judged(&response)));
    }
    let body = timeout(BODY, Limited::new(response.into_body(), LIST).collect()).await;
    let body = body.map_err(|_| "an answer does not end in time")??;
    Ok((watch, List::read(&body.to_bytes())?))
}

/// The calls of a gateway with this seed, one of as many as the settings say.
pub fn calls(settings: &Settings, seed: u64) -> Calls {
    let pauses = match settings.discovery {
        Discovery::Push => AGENT,
        Discovery::Subscribe => {
            let ask_within = duration(settings.rules.ask_within * ASKED_BY).max(AGAIN);
            Pauses {
                first: AGAIN,
                most: LONGEST,
                round: (TURN * settings.routers).min(ask_within),
                longest_round: ask_within.mul_f64(AFTER_FAILED),
                hold: HOLD,
                late: LATE,
                at_once: None,
            }
        }
    };
    Calls::new(pauses, seed)
}

/// Waits so long, or until there is another address to call.
async fn pause(address: &mut watch::Receiver<String>, time: Duration) {
    tokio::select! {
        () = sleep(time) => {}
        Ok(()) = address.changed() => address.mark_changed(),
    }
}

/// Watches for as long as the process runs, from the version of the list that it began with. Where the address
/// changes, the call under way or the pause is given up at once, and the new place's whole list is the truth about what
/// is gone.
pub async fn watch(
    mut address: watch::Receiver<String>, mut from: Option<u64>, mut calls: Calls, tally: Rc<Tally>,
    take: impl Fn(&List, Scope),
) {
    let mut open: Option<Watch> = None;
    let mut at = address.borrow_and_update().clone();
    // Whoever has a list can wait for its turn, where it has to.
    let begin = calls.begin();
    if from.is_some() && !begin.is_zero() {
        pause(&mut address, begin).await;
    }
    loop {
        let told = address.borrow_and_update().clone();
        if told != at {
            log!("discovery: moved to {told}");
            (at, open, from) = (told, None, None);
            calls.moved();
        }
        let ask = calls.ask(from.is_some());
        let answer = tokio::select! {
            biased;
            Ok(()) = address.changed() => continue,
            answer = call(open.take(), &at, ask, from) => answer,
        };
        let whole = |list: &List| list.whole || matches!(ask, Ask::Whole { .. });
        let answer = answer.and_then(|(watch, list)| match whole(&list) && list.hosts.is_empty() {
            // An agent that has been sent nothing yet: the list known is better.
            true => Err("a whole list with no line that can be used".into()),
            false => Ok((watch, list)),
        });
        match answer {
            Ok((watch, list)) => {
                open = Some(watch);
                if calls.failures() > 0 {
                    log!("discovery: answers again, after {} calls that failed", calls.failures());
                }
                calls.answered();
                tally.answered.set(tally.answered.get() + 1);
                tally.lines.set(tally.lines.get() + list.hosts.len() as u64);
                let whole = whole(&list);
                if whole || !list.hosts.is_empty() {
                    let (kind, lines) = (if whole { "whole" } else { "changes" }, list.hosts.len());
                    log!("discovery: version {}, {kind}, {lines} lines", list.seq);
                    take(&list, if whole { Scope::Full } else { Scope::Delta });
                }
                from = Some(list.seq);
            }
            Err(Failed(e, why)) => {
                let time = calls.failed(why);
                tally.failed.set(tally.failed.get() + 1);
                // Calls that come so soon after each other would fill the log.
                if calls.failures().is_power_of_two() {
                    log!(
                        "discovery: {e}; {} calls failed; asked again in {} ms",
                        calls.failures(),
                        time.as_millis()
                    );
                }
                pause(&mut address, time).await;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards discovery against a hundred gateways that start together: each draws its moment, whoever is turned away comes
    /// back later, and a gateway alone, or where the list is pushed, waits for nothing.
    #[test]
    fn calls_are_spread_where_discovery_has_to_be_asked() {
        let settings = |v: serde_json::Value| glenrail_settings::settings(&v);
        let asked = |n: u32| {
            settings(serde_json::json!({"balancers": n, "discovery": "subscribe",
            "rules": {"ask-within": 10_000.0}}))
        };
        let begin = |n: u32, seed| super::calls(&asked(n), seed).begin();
        let latest = (1..=100).map(|seed| begin(100, seed)).max().expect("a call");
        assert!((Duration::from_secs(4)..Duration::from_secs(5)).contains(&latest), "{latest:?}");
        assert!((1..=100).all(|seed| begin(2, seed) < Duration::from_millis(100)));
        assert!((1..=300).all(|seed| begin(300, seed) < Duration::from_secs(8)), "before it counts as told");
        let pushed = settings(serde_json::json!({"balancers": 100, "rules": {"ask-within": 10_000.0}}));
        assert_eq!(super::calls(&pushed, 1).begin(), Duration::ZERO);
    }

    #[test]
    fn an_answer_is_judged_by_its_status() {
        let judge = |status: u16, after: Option<&str>| {
            let mut answer = Response::builder().status(status);
            if let Some(after) = after {
                answer = answer.header(header::RETRY_AFTER, after);
            }
            judged(&answer.body(()).expect("an answer"))
        };
        assert_eq!(judge(503, None), calls::Failed::TurnedAway(None));
        assert_eq!(judge(429, Some("1.5")), calls::Failed::TurnedAway(Some(Duration::from_millis(1_500))));
        assert_eq!(judge(503, Some("-1")), calls::Failed::TurnedAway(None));
        assert_eq!(judge(500, Some("1")), calls::Failed::Lost);
    }
}
