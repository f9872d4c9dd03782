// Asked about each request before it is routed. Returns nothing to let it pass, a text to refuse it, or a map
// of notes, which reach the server as headers x-note-NAME.
fn on_request(request) {
    if request.body_bytes > 2000000 {
        return "a body of over 2 MB";
    }
    #{ size: if request.prompt_tokens > 1000.0 { "long" } else { "short" } }
}

// Told how each answer ended: served, refused, failed or cut.
fn on_answer(answer) {
    if answer.ended != "served" {
        print(`${answer.path} ${answer.ended} after ${answer.elapsed_ms} ms`);
    }
}
