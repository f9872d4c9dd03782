//! Events of streams on their way through the built program: each as it comes, whatever else goes on.

mod common;

use std::cell::{OnceCell, RefCell};
use std::rc::Rc;

use common::child::{config, Program};
use common::raw::*;
use common::*;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

/// An event near the most that one may hold.
const LARGE: usize = 200 << 10;

type Tellers = Rc<RefCell<Vec<UnboundedReceiver<bytes::Bytes>>>>;

/// A writer whose streams are told in the order in which their requests come.
async fn told(streams: usize) -> (StandIn, Vec<UnboundedSender<bytes::Bytes>>) {
    let (tell, told): (Vec<_>, Vec<_>) = (0..streams).map(|_| mpsc::unbounded_channel()).unzip();
    let told: Tellers = Rc::new(RefCell::new(told));
    let writer = StandIn::start(move |_, _| Act::Told(told.borrow_mut().remove(0))).await;
    (writer, tell)
}

/// Guards events from being held back or lumped: the engine writes each only once the client has the one before, small
/// ones, some in one piece with half of the next, and a large one; beside it a client takes nothing of a stream that
/// is as large, and stalls nobody.
#[test]
fn each_event_is_forwarded_before_the_next_is_written() {
    run(async {
        let reader = StandIn::start(|_, _| read()).await;
        let (writer, mut tell) = told(2).await;
        let program = Program::start("events", &config(&reader, &writer));
        let slow = connect(program.address).await;
        say(&slow, &request("slow"));
        until(|| writer.count("POST") == 1).await;
        let flood = tell.remove(0);
        for _ in 0..80 {
            flood.send(format!("data: {}\n\n", "y".repeat(LARGE)).into()).expect("told");
        }
        slow.peek(&mut [0]).await.expect("it has begun, and nobody reads it");
        let mut client = connect(program.address).await;
        say(&client, &request("a1"));
        let tell = tell.remove(0);
        for n in 0..100 {
            tell.send(format!("data: small {n}\n\n").into()).expect("told");
            comes(&mut client, &format!("data: small {n}\n\n")).await;
        }
        tell.send("data: one\n\ndata: two\n\ndata: ha".into()).expect("told");
        comes(&mut client, "data: two\n\n").await;
        tell.send("lf\n\n".into()).expect("told");
        comes(&mut client, "data: half\n\n").await;
        tell.send(format!("data: {}end of it\n\n", "x".repeat(LARGE)).into()).expect("told");
        comes(&mut client, "end of it\n\n").await;
        tell.send("data: [DONE]\n\n".into()).expect("told");
        drop(tell);
        comes(&mut client, "0\r\n\r\n").await;
    });
}

/// Guards events that have come whole, the first with the answer's head included, from a break that comes in the same
/// wake-up: they pass on, and then the connection ends without the last chunk.
#[test]
fn an_event_just_before_its_stream_breaks_is_forwarded() {
    run(async {
        let reader = StandIn::start(|_, _| read()).await;
        let program: Rc<OnceCell<Program>> = Rc::default();
        let stops = program.clone();
        let writer = StandIn::start(move |_, _| {
            stops.get().expect("it runs").halt();
            Act::Part("data: first\n\ndata: second\n\nda")
        })
        .await;
        let program = program.get_or_init(|| Program::start("breaks", &config(&reader, &writer)));
        let mut client = connect(program.address).await;
        say(&client, &request("a1"));
        until(|| writer.closed.get() == 1).await;
        program.go_on();
        let (answer, reset) = to_the_end(&mut client).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
        assert!(
            answer.contains("data: first\n\ndata: second\n\n") && !answer.ends_with("0\r\n\r\n"),
            "{answer:?}"
        );
        assert!(!reset);
    });
}
