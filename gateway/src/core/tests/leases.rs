//! What is held while attempts come to nothing: its time, its release, and the time in which a request may be repeated.

use super::*;

/// A router that sends each request to one reader and then to one writer, calls the write back after so long, and then
/// forgets the request.
struct CallsBack {
    after: Millis,
    told: Rc<RefCell<Vec<AttemptStatus>>>,
}

impl DecisionPolicy for CallsBack {
    fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Request(ask) => {
                out.push(Action::Send { id: ask.id, server: ServerId(READERS[0]), timeout: 5_000.0 });
            }
            Event::Outcome(o) => {
                self.told.borrow_mut().push(o.status);
                if o.status == AttemptStatus::Prefilled {
                    out.push(Action::Send { id: o.id, server: ServerId(WRITERS[0]), timeout: 5_000.0 });
                    out.push(Action::Timer { at: now + self.after, key: o.id.0, request: Some(o.id) });
                }
            }
            Event::Timer { key } => out.push(Action::Cancel { id: RequestId(key), attempt: 1 }),
            _ => {}
        }
    }
}

/// Plays a request whose write is called back after 250 ms, and gives what the router was told, and how long after the read
/// its state was let go.
fn called_back(write: Does) -> (Vec<AttemptStatus>, Duration) {
    paused(async move {
        let servers = Servers::new(move |_, server| match READERS.contains(&server.0) {
            true => (20, Does::Read),
            false => (0, write.clone()),
        });
        let (scripted, told) = (servers.clone(), Rc::default());
        let service = tower::service_fn(move |call| scripted.clone().answer(call));
        let router = CallsBack { after: 250.0, told: Rc::clone(&told) };
        let core = Core::with_policy(router, settings(), Clock::new(Duration::from_secs(1_000_000)), service);
        let member =
            |id, kind| ServerEntry { server: ServerId(id), kind, weight: 1.0, ..ServerEntry::default() };
        core.update_servers(ListUpdate::Full, vec![member(READERS[0], 0), member(WRITERS[0], 1)]);
        let _client = core.submit(request(0, 10_000.0));
        sleep(Duration::from_millis(20)).await;
        let read = Instant::now();
        while !servers.calls.borrow().iter().any(|c| c.0 == "release") {
            sleep(Duration::from_millis(1)).await;
        }
        let told = told.borrow().clone();
        (told, read.elapsed())
    })
}

/// Guards rule 5 against a clock that begins anew: a write that is called back while it is dialled never was out, so the
/// state waits since its read has ended.
#[test]
fn a_write_called_back_while_it_is_dialled_stops_no_clock() {
    let (told, after) = called_back(Does::Dial);
    assert_eq!(told, [AttemptStatus::Prefilled, AttemptStatus::NotSent]);
    assert!((455..=475).contains(&after.as_millis()), "{after:?}");
    // One that was written was out: from its end on there is the whole time, and 25 ms for the cut to be seen.
    let (told, after) = called_back(Does::Nothing);
    assert_eq!(told, [AttemptStatus::Prefilled, AttemptStatus::Cancelled]);
    assert!((705..=745).contains(&after.as_millis()), "{after:?}");
}

/// Guards rule 5 while nobody can be reached: a release that no server took is tried again until one takes it, and the
/// request is not sent again before.
#[test]
fn a_release_that_nobody_took_is_tried_again() {
    paused(async {
        let script = |n: usize, server: ServerId| match READERS.contains(&server.0) {
            true => (20, if n == 0 { Does::Fail(CallError::Reset) } else { Does::Read }),
            false => (20, Does::Stream),
        };
        let servers = Servers::new(script);
        servers.lose_releases.set(3);
        let core = core(&servers);
        let pieces = all(core.submit(request(1, 12_000.0))).await;
        assert_eq!(pieces.last(), Some(&Some(ResponsePart::End)));
        let calls: Vec<&str> = servers.calls.borrow().iter().map(|c| c.0).collect();
        let whole = ["attempt", "release", "release", "release", "release", "released", "attempt", "attempt"];
        assert_eq!(calls, whole);
    });
}

/// Guards the end of a process, and of a request's name: where no release is ever taken it is given up in time.
#[test]
fn a_release_that_nobody_ever_takes_is_given_up() {
    paused(async {
        let servers = Servers::new(|_, _| (20, Does::Fail(CallError::Reset)));
        servers.lose_releases.set(usize::MAX);
        let (core, begun) = (core(&servers), Instant::now());
        let client = core.submit(request(1, 3_000.0));
        until_called(&servers, "attempt").await;
        drop(client);
        settled(&core).await;
        assert!(servers.calls.borrow().iter().filter(|c| c.0 == "release").count() > 10);
        assert!(begun.elapsed() < Duration::from_millis(3_200), "{:?}", begun.elapsed());
    });
}

/// Guards rule 2 where a class may be repeated for 300 ms: while the dial lasts, that time runs on.
#[test]
fn a_repeat_is_not_written_after_its_window() {
    paused(async {
        // The first write is reset after 200 ms; 100 ms are left.
        let script = |_: usize, server: ServerId| match READERS.contains(&server.0) {
            true => (20, Does::Read),
            false => (200, Does::Fail(CallError::Reset)),
        };
        let servers = Servers::new(script);
        let core = core(&servers);
        let _client = core.submit(request(2, 12_000.0));
        sleep(Duration::from_millis(230)).await;
        let connects: Vec<_> = servers.connects.borrow().iter().map(|c| c.map(|c| c.as_millis())).collect();
        assert_eq!(connects, [None, Some(400), Some(100)]);
        // Later than that it may not be sent at all: it is failed at once, and its state let go.
        sleep(Duration::from_millis(280)).await;
        assert_eq!(servers.attempts(&WRITERS), 2);
        assert!(core.is_idle(), "{:?}", servers.calls.borrow());
    });
}

/// A router that writes again as soon as a write was reset, and first lets go of what is held.
struct WritesAgain;

impl DecisionPolicy for WritesAgain {
    fn handle(&mut self, _: Millis, event: Event, out: &mut Vec<Action>) {
        let send = |id, server| Action::Send { id, server: ServerId(server), timeout: 5_000.0 };
        match event {
            Event::Request(ask) => out.push(send(ask.id, READERS[0])),
            Event::Outcome(o) if o.status == AttemptStatus::Prefilled => out.push(send(o.id, WRITERS[0])),
            Event::Outcome(o) if o.status == AttemptStatus::Reset => {
                out.extend([Action::Release { id: o.id }, send(o.id, WRITERS[0])]);
            }
            _ => {}
        }
    }
}

/// Guards rule 2 where a repeat is ordered within its window and waits for a release until after it: no time is left in which
/// it may be written, on whatever connection.
#[test]
fn a_repeat_that_waits_for_a_release_is_not_written_after_its_window() {
    paused(async {
        let script = |_: usize, server: ServerId| match READERS.contains(&server.0) {
            true => (20, Does::Read),
            false => (200, Does::Fail(CallError::Reset)),
        };
        let servers = Servers::new(script);
        // Three calls of 40 ms that nobody takes, and pauses between them; 100 ms of the window are left.
        servers.lose_releases.set(3);
        let scripted = servers.clone();
        let service = tower::service_fn(move |call| scripted.clone().answer(call));
        let core =
            Core::with_policy(WritesAgain, settings(), Clock::new(Duration::from_secs(1_000_000)), service);
        let member =
            |id, kind| ServerEntry { server: ServerId(id), kind, weight: 1.0, ..ServerEntry::default() };
        core.update_servers(ListUpdate::Full, vec![member(READERS[0], 0), member(WRITERS[0], 1)]);
        let _client = core.submit(request(2, 12_000.0));
        while servers.attempts(&WRITERS) < 2 {
            sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(servers.connects.borrow().last(), Some(&Some(Duration::ZERO)));
    });
}
