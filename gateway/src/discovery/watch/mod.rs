//! The calls of discovery: a watch that never pauses for long, over a connection of its own.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenrail_request_lifecycle::watch::{self as calls, BackoffPolicy, Limits, Poll, PollSchedule as Calls};
use glenrail_router::{Discovery, ListUpdate, Settings};
use http::{header, Request, Response, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, timeout, Instant};

use super::list::EndpointList;
use crate::core::duration;
use crate::log;

/// A list longer than this is taken for a broken one.
const LIST: usize = 4 << 20;
/// A connection that does not come up by then is tried anew, of whatever time its call has left.
const CONNECT: Duration = Duration::from_millis(500);

/// What a place has written just as discovery moves is taken in before the new place is asked: it was told. By then a turn of
/// the reactor has read what is here.
const LAST_WORD: Duration = Duration::from_millis(20);

/// What the watch has cost: calls answered, the lines that came with them, calls that failed.
#[derive(Debug, Default)]
pub struct DiscoveryMetrics {
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
struct Failed(String, calls::PollFailure);

impl<T: ToString> From<T> for Failed {
    fn from(words: T) -> Self {
        Failed(words.to_string(), calls::PollFailure::Lost)
    }
}

fn judged<B>(answer: &Response<B>) -> calls::PollFailure {
    if !matches!(answer.status(), StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
        return calls::PollFailure::Lost;
    }
    let wanted = answer.headers().get(header::RETRY_AFTER).and_then(|v| v.to_str().ok()?.parse().ok());
    calls::PollFailure::Throttled(wanted.and_then(|seconds: f64| Duration::try_from_secs_f64(seconds).ok()))
}

/// Whether discovery ends the connection with this answer.
fn ends<B>(answer: &Response<B>) -> bool {
    let words = answer.headers().get_all(header::CONNECTION).iter().filter_map(|v| v.to_str().ok());
    words.flat_map(|v| v.split(',')).any(|word| word.trim().eq_ignore_ascii_case("close"))
}

/// Asks on the connection that is open, or on a new one; leaves it open for the next call where it may.
async fn call(
    open: Option<Watch>, address: &str, ask: Poll, from: Option<u64>, limits: Limits,
) -> Result<(Option<Watch>, EndpointList), Failed> {
    let target = match (ask, from) {
        (Poll::Changes { hold, .. }, Some(seq)) => {
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
    let whole = async {
        let (watch, response) =
            timeout(limits.first_byte, begins).await.map_err(|_| "no answer in time")??;
        if !response.status().is_success() {
            return Err(Failed(format!("status {}", response.status()), judged(&response)));
        }
        let ends = ends(&response);
        let (mut body, mut text) = (Limited::new(response.into_body(), LIST), Vec::new());
        while let Some(part) =
            timeout(limits.between_parts, body.frame()).await.map_err(|_| "half an answer")?
        {
            text.extend_from_slice(part?.data_ref().map_or(&[], |data| data));
        }
        Ok(((!ends).then_some(watch), EndpointList::read(&text)?))
    };
    timeout(limits.total, whole).await.map_err(|_| "an answer does not end in time")?
}

/// The calls of a gateway with this seed, one of as many as the settings say.
pub fn poll_schedule(settings: &Settings, seed: u64) -> Calls {
    let pauses = match settings.discovery {
        Discovery::Push => BackoffPolicy::PUSHED,
        Discovery::Subscribe => {
            BackoffPolicy::polled(settings.router_count, duration(settings.rules.discovery_poll_limit))
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
    mut address: watch::Receiver<String>, mut from: Option<u64>, mut calls: Calls,
    tally: Rc<DiscoveryMetrics>, take: impl Fn(&EndpointList, ListUpdate),
) {
    let mut open: Option<Watch> = None;
    let mut at = address.borrow_and_update().clone();
    // Whoever has a list can wait for its turn, where it has to.
    let begin = calls.initial_delay();
    if from.is_some() && !begin.is_zero() {
        pause(&mut address, begin).await;
    }
    loop {
        let told = address.borrow_and_update().clone();
        if told != at {
            log!("discovery: moved to {told}");
            (at, open, from) = (told, None, None);
            calls.address_changed();
        }
        let (ask, began) = (calls.next_poll(from.is_some()), Instant::now());
        let answer = call(open.take(), &at, ask, from, calls.limits(ask));
        tokio::pin!(answer);
        let answer = tokio::select! {
            biased;
            Ok(()) = address.changed() => match timeout(LAST_WORD, answer).await {
                Ok(Ok(last)) => Ok(last),
                _ => continue,
            },
            answer = &mut answer => answer,
        };
        let whole = |list: &EndpointList| list.whole || matches!(ask, Poll::FullList { .. });
        let answer = answer.and_then(|(watch, list)| match whole(&list) && list.hosts.is_empty() {
            // An agent that has been sent nothing yet: the list known is better.
            true => Err("a whole list with no line that can be used".into()),
            false => Ok((watch, list)),
        });
        match answer {
            Ok((watch, list)) => {
                open = watch;
                if calls.failures() > 0 {
                    log!("discovery: answers again, after {} calls that failed", calls.failures());
                }
                calls.poll_succeeded();
                tally.answered.set(tally.answered.get() + 1);
                tally.lines.set(tally.lines.get() + list.hosts.len() as u64);
                let whole = whole(&list);
                if whole || !list.hosts.is_empty() {
                    let (kind, lines) = (if whole { "whole" } else { "changes" }, list.hosts.len());
                    log!("discovery: version {}, {kind}, {lines} lines", list.seq);
                    take(&list, if whole { ListUpdate::Full } else { ListUpdate::Delta });
                }
                from = Some(list.seq);
            }
            Err(Failed(e, why)) => {
                let time = calls.poll_failed(why, began.elapsed());
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
mod tests;
