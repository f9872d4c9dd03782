//! Engines that leave and come back between the steps of one request.

mod common;

use std::cell::Cell;
use std::rc::Rc;

use common::gateway::*;
use common::*;
use glenrail_router::ListUpdate;

/// A reader whose answers wait until this says so.
async fn held_back(go: &Rc<Cell<bool>>) -> StandIn {
    let go = go.clone();
    let answers = move |_: usize, seen: &Seen| match seen.method.as_str() {
        "DELETE" => Act::Answer(answer(204, &[], "")),
        _ if go.get() => read(),
        _ => Act::When(go.clone(), answer(202, &[], r#"{"cached_tokens":4}"#)),
    };
    StandIn::start(answers).await
}

/// Guards the rule on drains between read and write: the only writer is told to drain, or leaves, while the prompt is read.
/// It gets nothing, also if it never goes; what was read is let go; and once it is back under its name, at its old address
/// or another, the next request is served there.
#[test]
fn a_decode_server_that_drains_after_the_prefill_gets_no_work() {
    for (gone, moves) in [(false, false), (false, true), (true, false), (true, true)] {
        run(async {
            let go = Rc::new(Cell::new(false));
            let reader = held_back(&go).await;
            let [old, other] = [0, 1].map(|_| {
                StandIn::start(|_, seen| match seen.method.as_str() {
                    "DELETE" => Act::Answer(answer(204, &[], "")),
                    _ => stream(),
                })
            });
            let (old, other) = (old.await, other.await);
            let g = gateway(&[&reader], &[&old], None, 50).await;
            let asked = chat(&g, "order-chat", "20");
            tokio::pin!(asked);
            tokio::select! {
                _ = &mut asked => panic!("nobody answers"),
                () = until(|| reader.count("POST") == 1) => {}
            }
            let health = if gone { "DELETED" } else { "DRAINING" };
            apply(&g.pool, ListUpdate::Delta, vec![host("w0", "answer-side", &old, health)]);
            go.set(true);
            // No other writer is there: turned away in time, and what was read is let go.
            assert_eq!(asked.await.status(), 503, "{gone} {moves}");
            until(|| reader.count("DELETE") + old.count("DELETE") > 0 && g.pool.core.is_idle()).await;
            assert_eq!(old.count("POST"), 0, "{gone} {moves}");
            let back = if moves { &other } else { &old };
            let mut line = host("w0", "answer-side", back, "SERVING");
            line["born_ms"] = 5.into();
            apply(&g.pool, ListUpdate::Delta, vec![line]);
            assert_eq!(chat_as(&g, "a2").await.status(), 200, "{gone} {moves}");
            let [here, there] = if moves { [1, 0] } else { [0, 1] };
            assert_eq!((other.count("POST"), old.count("POST")), (here, there), "{gone} {moves}");
        });
    }
}
