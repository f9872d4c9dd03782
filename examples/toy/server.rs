//! A toy model server for trying the gateway: `cargo run -p glenrail --example toy_server -- 127.0.0.1:9001`.
//!
//! It responds to embeddings, rerank and chat requests. Its embeddings and scores are computed from the bytes of the
//! text, without a model.

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

/// Returns four numbers computed from the bytes of the text.
fn embed(text: &str) -> Vec<f64> {
    let sum = |step: usize| text.bytes().step_by(step).map(f64::from).sum::<f64>();
    (1..=4).map(|step| (sum(step) % 97.0) / 97.0).collect()
}

/// Returns the texts of an array, or a single text, each as JSON.
fn texts(input: &Value) -> Vec<String> {
    match input {
        Value::Array(all) => all.iter().map(Value::to_string).collect(),
        single => vec![single.to_string()],
    }
}

fn response_for(path: &str, body: &Value) -> Response<Full<Bytes>> {
    let json = |value: Value| (200, "application/json", value.to_string());
    let (status, content_type, text) = match path {
        "/v1/embeddings" => {
            let embedding =
                |(index, text): (usize, &String)| json!({"index": index, "embedding": embed(text)});
            let data: Vec<Value> = texts(&body["input"]).iter().enumerate().map(embedding).collect();
            json(json!({"object": "list", "model": body["model"], "data": data}))
        }
        "/v1/rerank" => {
            let documents = texts(&body["documents"]);
            let score =
                |(index, text): (usize, &String)| json!({"index": index, "relevance_score": embed(text)[0]});
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
    let response = Response::builder().status(status).header("content-type", content_type);
    response.body(Full::from(text)).expect("status and header are valid")
}

async fn answer(request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let path = request.uri().path().to_string();
    let body =
        request.into_body().collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default();
    Ok(response_for(&path, &serde_json::from_slice(&body).unwrap_or(Value::Null)))
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
