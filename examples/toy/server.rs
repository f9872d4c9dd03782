//! A toy model server for trying the gateway: `cargo run -p glenrail --example toy_server -- 127.0.0.1:9001`.
//!
//! It answers embeddings, rerank and chat with figures made from the text's bytes. No model is behind it.

use std::convert::Infallible;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use tokio::net::TcpListener;

fn figures(text: &str) -> Vec<f64> {
    let sum = |step: usize| text.bytes().step_by(step).map(f64::from).sum::<f64>();
    (1..=4).map(|step| (sum(step) % 97.0) / 97.0).collect()
}

fn texts(v: &Value) -> Vec<String> {
    match v {
        Value::Array(all) => all.iter().map(Value::to_string).collect(),
        one => vec![one.to_string()],
    }
}

fn reply(path: &str, body: &Value) -> Response<Full<Bytes>> {
    let json = |v: Value| (200, "application/json", v.to_string());
    let (status, kind, text) = match path {
        "/v1/embeddings" => {
            let one = |(index, text): (usize, &String)| json!({"index": index, "embedding": figures(text)});
            let data: Vec<Value> = texts(&body["input"]).iter().enumerate().map(one).collect();
            json(json!({"object": "list", "model": body["model"], "data": data}))
        }
        "/v1/rerank" => {
            let documents = texts(&body["documents"]);
            let score = |(index, text): (usize, &String)| json!({"index": index, "relevance_score": figures(text)[0]});
            let results: Vec<Value> = documents.iter().enumerate().map(score).collect();
            json(json!({"model": body["model"], "results": results}))
        }
        "/v1/chat/completions" if body["stream"] == true => {
            let event = |word: &str| {
                let delta = json!({"choices": [{"index": 0, "delta": {"content": word}}]});
                format!("data: {delta}\n\n")
            };
            let words: String = ["A ", "toy ", "answer."].map(event).concat();
            (200, "text/event-stream", words + "data: [DONE]\n\n")
        }
        "/v1/chat/completions" => {
            let message = json!({"role": "assistant", "content": "A toy answer."});
            json(json!({"choices": [{"index": 0, "message": message, "finish_reason": "stop"}]}))
        }
        _ => (404, "text/plain", "no such path\n".into()),
    };
    let response = Response::builder().status(status).header("content-type", kind);
    response.body(Full::from(text)).expect("status and header are plain")
}

async fn answer(request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let path = request.uri().path().to_string();
    let body =
        request.into_body().collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default();
    Ok(reply(&path, &serde_json::from_slice(&body).unwrap_or(Value::Null)))
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let address = std::env::args().nth(1).unwrap_or("127.0.0.1:9001".into());
    let listener = TcpListener::bind(&address).await?;
    println!("toy server on {address}");
    loop {
        let (socket, _) = listener.accept().await?;
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(socket), service_fn(answer)));
    }
}
