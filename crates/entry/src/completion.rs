//! Answers chat completions, in one piece or as server-sent events.

use std::convert::Infallible;
use std::rc::Rc;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use futures_util::stream::{self, Stream};
use oriole_adapter::server::Held;
use oriole_core::entry::{Generate, Outcome};
use oriole_core::request::Refusal;
use oriole_core::{name, token};
use serde_json::Value;

use crate::caller::{self, Receiver, Update};
use crate::http::{Problem, Shared, authenticate, deadline, json};
use crate::process::Command;
use crate::{chat, problem};

/// Passes one request to the process and returns the answer or the refusal as HTTP.
pub(crate) async fn answer(
    mut request: Request,
    shared: &Rc<Shared>,
) -> Result<Response<BoxBody>, Problem> {
    let workspace = authenticate(&request, shared)?;
    let refuse = |problem: Problem| problem.for_workspace(&workspace);
    let deadline = deadline(&request).map_err(refuse)?;
    let body = shared.bodies.read(&mut request).await;
    let (body, held) = body.map_err(|e| refuse(e.into()))?;
    let chat_request: chat::Request = serde_json::from_slice(&body)
        .map_err(|e| refuse(Problem::new(Refusal::Malformed, format!("parsing the body: {e}"))))?;
    let model = name::Model::from(chat_request.model.as_str());
    let config = shared.config();
    let allowed = config.contracts.get(&workspace).is_some_and(|c| c.models.contains(&model));
    if !allowed {
        return Err(refuse(Problem::new(Refusal::NotFound, format!("no model {model:?}"))));
    }
    let generate = Generate {
        workspace,
        model,
        prompt: token::encode(&chat_request.prompt()),
        max_tokens: chat_request.max_answer_tokens(),
        deadline,
    };
    let (sender, mut updates) = caller::channel(shared.commands.clone());
    shared.send(Command::Generate(generate, sender)).await?;
    let Some(Update::Accepted(id)) = updates.recv().await else { return Err(Problem::stopping()) };
    let header = chat::Header { id: id.to_string(), model: chat_request.model };
    if chat_request.stream {
        streamed(header, updates, shared, held).await
    } else {
        // What the request holds is dropped when the answer is complete.
        buffered(header, updates).await
    }
}

/// Streams the answer as server-sent events. Waits for the first update before it answers, so that
/// an early refusal still gets its HTTP status.
async fn streamed(
    header: chat::Header,
    mut updates: Receiver,
    shared: &Shared,
    held: Held,
) -> Result<Response<BoxBody>, Problem> {
    let first = match updates.recv().await {
        Some(Update::End(Outcome::Refused(refused))) => {
            return Ok(problem::response(&header.id, &refused, ""));
        }
        Some(update) => update,
        None => return Err(Problem::stopping()),
    };
    let mut response = Response::build(StatusCode::OK);
    response.insert_header(("content-type", "text/event-stream"));
    response.insert_header(("cache-control", "no-cache"));
    response.insert_header(("x-request-id", header.id.clone()));
    let state = StreamState { header, first: Some(first), updates, finished: false, _held: held };
    let body = BodyStream::new(events(state, shared.open_answers.clone()));
    Ok(response.body(body).map_into_boxed_body())
}

/// State of a streamed answer between two events.
struct StreamState {
    header: chat::Header,
    /// The update that was received before the stream was started.
    first: Option<Update>,
    updates: Receiver,
    finished: bool,
    /// What the request holds.
    _held: Held,
}

/// Returns the events of an answer. The stream holds `guard` until the caller has read all events
/// or has left.
fn events(state: StreamState, guard: Rc<()>) -> impl Stream<Item = Result<Bytes, Infallible>> {
    stream::unfold((state, guard), |(mut state, guard)| async move {
        if state.finished {
            return None;
        }
        let update = match state.first.take() {
            Some(update) => update,
            None => state.updates.recv().await?,
        };
        let (text, finished) = format_event(&state.header, update);
        state.finished = finished;
        Some((Ok(Bytes::from(text)), (state, guard)))
    })
}

/// Formats an update as server-sent events. Returns the text and whether it is the last one.
fn format_event(header: &chat::Header, update: Update) -> (String, bool) {
    let data = |value: &Value| format!("data: {value}\n\n");
    match update {
        Update::Text(text) => (data(&chat::chunk(header, &text)), false),
        Update::End(Outcome::Complete { prompt, answer, ended }) => {
            let last = chat::last_chunk(header, chat::Finish { prompt, answer, ended });
            (data(&last) + "data: [DONE]\n\n", true)
        }
        Update::End(Outcome::Refused(refused)) => {
            let error = serde_json::json!({ "error": problem::body(&header.id, &refused, "") });
            (data(&error), true)
        }
        Update::Accepted(_) | Update::End(Outcome::Answered(_)) => (String::new(), false),
    }
}

/// Waits for the complete answer and returns it in one response.
async fn buffered(
    header: chat::Header,
    mut updates: Receiver,
) -> Result<Response<BoxBody>, Problem> {
    let mut answer = String::new();
    while let Some(update) = updates.recv().await {
        match update {
            Update::Text(text) => answer.push_str(&text),
            Update::End(Outcome::Complete { prompt, answer: count, ended }) => {
                let finish = chat::Finish { prompt, answer: count, ended };
                return Ok(json(Some(&header.id), &chat::completion(&header, &answer, finish)));
            }
            Update::End(Outcome::Refused(refused)) => {
                return Ok(problem::response(&header.id, &refused, ""));
            }
            Update::Accepted(_) | Update::End(Outcome::Answered(_)) => {}
        }
    }
    Err(Problem::stopping())
}
