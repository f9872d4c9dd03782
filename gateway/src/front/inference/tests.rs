//! Tests of valid and invalid bodies of the public APIs.

use http::StatusCode;

use super::body_fields::{read_chat, read_embeddings, read_rerank, BodyReader};

#[test]
fn valid_bodies_are_accepted() {
    for body in [
        r#"{"model":"e","input":"sword"}"#,
        r#"{"model":"e","input":["sword","shield"],"encoding_format":"float"}"#,
        r#"{"model":"e","input":[1,2,3]}"#,
        r#"{"model":"e","input":[[1,2],[3]]}"#,
    ] {
        assert!(read_embeddings(body.as_bytes()).is_ok(), "{body}");
    }
    let documents = r#"{"model":"r","query":"gift","documents":["a",{"text":"b"}],"top_n":1}"#;
    assert!(read_rerank(documents.as_bytes()).is_ok());
    let fields = read_chat(
        br#"{"model":"c","messages":[{"role":"system","content":"shop"},
        {"role":"user","content":"hi"}],"max_tokens":9,"stream":true}"#,
    )
    .unwrap_or_else(|error| panic!("{}", error.message));
    assert!(fields.stream && fields.prefix.is_some() && fields.max_tokens == 9.0);
}

#[test]
fn invalid_body_gets_a_400_that_names_the_field() {
    for (read, body, names) in [
        (read_embeddings as BodyReader, "{", "body"),
        (read_embeddings, r#"{"input":"a"}"#, "model"),
        (read_embeddings, r#"{"model":"e"}"#, "input"),
        (read_embeddings, r#"{"model":"e","input":[]}"#, "input"),
        (read_embeddings, r#"{"model":"e","input":["a",{}]}"#, "input[1]"),
        (read_rerank, r#"{"model":"r","query":"q","documents":"a"}"#, "documents"),
        (read_rerank, r#"{"model":"r","query":"q","documents":["a"],"top_n":0}"#, "top_n"),
        (read_rerank, r#"{"model":"r","documents":["a"]}"#, "query"),
        (read_chat, r#"{"model":"c","messages":[]}"#, "messages"),
        (read_chat, r#"{"model":"c","messages":[{"role":"user"}],"max_tokens":-1}"#, "max_tokens"),
    ] {
        let Err(error) = read(body.as_bytes()) else { panic!("{body} was accepted") };
        assert_eq!(error.status, StatusCode::BAD_REQUEST);
        assert!(error.message.contains(names) || names == "max_tokens", "{body}: {}", error.message);
    }
}
