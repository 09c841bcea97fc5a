//! Chat completions: answered whole, or as server-sent events.

use std::convert::Infallible;
use std::rc::Rc;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use futures_util::stream::{self, Stream};
use oriole_adapter::server;
use oriole_core::entry::{Generate, Outcome};
use oriole_core::request::Refusal;
use oriole_core::{name, token};
use serde_json::Value;

use crate::caller::{self, Piece, Receiver};
use crate::http::{BODY_TIMEOUT, MAX_BODY_BYTES, Problem, Shared, authorize, deadline, json};
use crate::process::Command;
use crate::{chat, problem};

/// Answers one request.
pub(crate) async fn answer(
    mut request: Request,
    shared: &Rc<Shared>,
) -> Result<Response<BoxBody>, Problem> {
    let workspace = authorize(&request, shared)?;
    let fail = |problem: Problem| problem.of(&workspace);
    let deadline = deadline(&request).map_err(fail)?;
    let body = server::read_body(&mut request, MAX_BODY_BYTES, BODY_TIMEOUT).await;
    let body = body.map_err(|e| fail(e.into()))?;
    let ask: chat::Request = serde_json::from_slice(&body)
        .map_err(|e| fail(Problem::new(Refusal::Malformed, format!("parsing the body: {e}"))))?;
    let model = name::Model::from(ask.model.as_str());
    let config = shared.config();
    let allowed = config.contracts.get(&workspace).is_some_and(|c| c.models.contains(&model));
    if !allowed {
        return Err(fail(Problem::new(Refusal::NotFound, format!("no model {model:?}"))));
    }
    let generate = Generate {
        workspace,
        model,
        prompt: token::encode(&ask.prompt()),
        max_tokens: ask.limit(),
        deadline,
    };
    let (sender, mut pieces) = caller::channel(shared.commands.clone());
    shared.send(Command::Generate(generate, sender)).await?;
    let Some(Piece::Accepted(id)) = pieces.recv().await else { return Err(Problem::stopping()) };
    let header = chat::Header { id: id.to_string(), model: ask.model };
    if ask.stream { streamed(header, pieces, shared).await } else { whole(header, pieces).await }
}

/// Waits for the first piece, so that an early refusal still has its HTTP status.
async fn streamed(
    header: chat::Header,
    mut pieces: Receiver,
    shared: &Shared,
) -> Result<Response<BoxBody>, Problem> {
    let first = match pieces.recv().await {
        Some(Piece::End(Outcome::Refused(refused))) => {
            return Ok(problem::response(&header.id, &refused, ""));
        }
        Some(piece) => piece,
        None => return Err(Problem::stopping()),
    };
    let mut response = Response::build(StatusCode::OK);
    response.insert_header(("content-type", "text/event-stream"));
    response.insert_header(("cache-control", "no-cache"));
    response.insert_header(("x-request-id", header.id.clone()));
    let reading = Reading { header, first: Some(first), pieces, over: false };
    let body = BodyStream::new(events(reading, shared.answers.clone()));
    Ok(response.body(body).map_into_boxed_body())
}

/// A streamed answer as far as the caller has read it.
struct Reading {
    header: chat::Header,
    first: Option<Piece>,
    pieces: Receiver,
    over: bool,
}

/// The events of an answer; `answer` is held until the caller has read them all or has gone.
fn events(reading: Reading, answer: Rc<()>) -> impl Stream<Item = Result<Bytes, Infallible>> {
    stream::unfold((reading, answer), |(mut reading, answer)| async move {
        if reading.over {
            return None;
        }
        let piece = match reading.first.take() {
            Some(piece) => piece,
            None => reading.pieces.recv().await?,
        };
        let (text, over) = event(&reading.header, piece);
        reading.over = over;
        Some((Ok(Bytes::from(text)), (reading, answer)))
    })
}

/// One piece as server-sent events, and whether it is the last.
fn event(header: &chat::Header, piece: Piece) -> (String, bool) {
    let data = |value: &Value| format!("data: {value}\n\n");
    match piece {
        Piece::Text(text) => (data(&chat::piece(header, &text)), false),
        Piece::End(Outcome::Complete { prompt, answer, ended }) => {
            let last = chat::last(header, chat::End { prompt, answer, ended });
            (data(&last) + "data: [DONE]\n\n", true)
        }
        Piece::End(Outcome::Refused(refused)) => {
            let error = serde_json::json!({ "error": problem::body(&header.id, &refused, "") });
            (data(&error), true)
        }
        Piece::Accepted(_) | Piece::End(Outcome::Answered(_)) => (String::new(), false),
    }
}

async fn whole(header: chat::Header, mut pieces: Receiver) -> Result<Response<BoxBody>, Problem> {
    let mut answer = String::new();
    while let Some(piece) = pieces.recv().await {
        match piece {
            Piece::Text(text) => answer.push_str(&text),
            Piece::End(Outcome::Complete { prompt, answer: count, ended }) => {
                let end = chat::End { prompt, answer: count, ended };
                return Ok(json(Some(&header.id), &chat::whole(&header, &answer, end)));
            }
            Piece::End(Outcome::Refused(refused)) => {
                return Ok(problem::response(&header.id, &refused, ""));
            }
            Piece::Accepted(_) | Piece::End(Outcome::Answered(_)) => {}
        }
    }
    Err(Problem::stopping())
}
