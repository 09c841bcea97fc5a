//! What callers and operators see over HTTP.

use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use bytes::Bytes;
use futures_util::stream::{self, Stream};
use oriole_core::config::Config;
use oriole_core::entry::{Generate, Outcome, Request as ServiceRequest};
use oriole_core::message::not_run;
use oriole_core::name;
use oriole_core::request::{Id, Refusal, Refused};
use oriole_core::token;
use oriole_platform::server::{self, BodyError};
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::process::{Command, Piece};
use crate::{auth, chat, problem};

/// Largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Time within which a body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// Start of the paths of plain services.
const SERVICES: &str = "/v1/services/";

/// What all HTTP tasks of one entry share.
pub(crate) struct Shared {
    config: Config,
    commands: mpsc::Sender<Command>,
}

impl Shared {
    pub(crate) fn new(config: Config, commands: mpsc::Sender<Command>) -> Self {
        Self { config, commands }
    }
}

/// A refusal and what to say about it.
struct Problem {
    refused: Refused,
    detail: String,
}

impl Problem {
    fn new(reason: Refusal, detail: impl Into<String>) -> Self {
        Self { refused: not_run(reason, None), detail: detail.into() }
    }

    fn response(&self) -> Response<BoxBody> {
        problem::response("", &self.refused, &self.detail)
    }
}

impl From<BodyError> for Problem {
    fn from(e: BodyError) -> Self {
        let reason = match e {
            BodyError::TooLarge => Refusal::TooLarge,
            BodyError::Slow | BodyError::Incomplete => Refusal::Malformed,
        };
        Self::new(reason, format!("reading the body: {e}"))
    }
}

/// Serves callers and operators until the future is dropped.
pub(crate) async fn serve(listener: TcpListener, shared: Rc<Shared>) {
    server::serve(listener, move |request| answer(request, shared.clone())).await;
}

async fn answer(request: Request, shared: Rc<Shared>) -> Response<BoxBody> {
    let path = request.path().to_owned();
    let result = match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => complete(request, &shared).await,
        (&Method::GET, "/healthz" | "/readyz") => {
            Ok(Response::build(StatusCode::OK).body("ok\n").map_into_boxed_body())
        }
        (_, path) if path.starts_with(SERVICES) => call(request, &shared).await,
        _ => Err(Problem::new(Refusal::NotFound, format!("no resource at {path}"))),
    };
    result.unwrap_or_else(|problem| problem.response())
}

async fn complete(mut request: Request, shared: &Shared) -> Result<Response<BoxBody>, Problem> {
    let workspace = authorize(&request, shared)?;
    let deadline = deadline(&request)?;
    let body = server::body(&mut request, MAX_BODY_BYTES, BODY_TIMEOUT).await?;
    let ask: chat::Request = serde_json::from_slice(&body)
        .map_err(|e| Problem::new(Refusal::Malformed, format!("parsing the body: {e}")))?;
    let model = name::Model::from(ask.model.as_str());
    let allowed = shared.config.contracts.get(&workspace).map(|c| c.models.contains(&model));
    if allowed != Some(true) {
        return Err(Problem::new(Refusal::NotFound, format!("no model {model}")));
    }
    let generate = Generate {
        workspace,
        model,
        prompt: token::encode(&ask.prompt()),
        max_tokens: ask.limit(),
        deadline,
    };
    let (caller, mut pieces) = mpsc::unbounded_channel();
    send(shared, Command::Generate(generate, caller)).await?;
    let id = accepted(&mut pieces).await?;
    let header = chat::Header { id: id.to_string(), model: ask.model };
    if ask.stream { streamed(header, pieces).await } else { whole(header, pieces).await }
}

async fn call(mut request: Request, shared: &Shared) -> Result<Response<BoxBody>, Problem> {
    let workspace = authorize(&request, shared)?;
    let deadline = deadline(&request)?;
    let rest = request.uri().path_and_query().map_or("", |p| p.as_str());
    let rest = rest.strip_prefix(SERVICES).unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = name::Service::from(service);
    let allowed = shared.config.contracts.get(&workspace).map(|c| c.services.contains(&service));
    if allowed != Some(true) {
        return Err(Problem::new(Refusal::NotFound, format!("no service {service}")));
    }
    let path = format!("/{path}");
    let method = request.method().to_string();
    let content_type = header(&request, "content-type").unwrap_or_default().to_owned();
    let body = server::body(&mut request, MAX_BODY_BYTES, BODY_TIMEOUT).await?.to_vec();
    let ask = ServiceRequest { workspace, service, method, path, content_type, body, deadline };
    let (caller, mut pieces) = mpsc::unbounded_channel();
    send(shared, Command::Call(ask, caller)).await?;
    let id = accepted(&mut pieces).await?.to_string();
    match pieces.recv().await {
        Some(Piece::End(Outcome::Answered(answer))) => {
            let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            let mut response = Response::build(status);
            response.insert_header(("content-type", answer.content_type));
            response.insert_header(("x-request-id", id));
            Ok(response.body(answer.body).map_into_boxed_body())
        }
        Some(Piece::End(Outcome::Refused(refused))) => Ok(problem::response(&id, &refused, "")),
        _ => Err(stopped()),
    }
}

/// Waits for the first piece, so that an early refusal still has its HTTP status.
async fn streamed(
    header: chat::Header,
    mut pieces: mpsc::UnboundedReceiver<Piece>,
) -> Result<Response<BoxBody>, Problem> {
    let first = match pieces.recv().await {
        Some(Piece::End(Outcome::Refused(refused))) => {
            return Ok(problem::response(&header.id, &refused, ""));
        }
        Some(piece) => piece,
        None => return Err(stopped()),
    };
    let mut response = Response::build(StatusCode::OK);
    response.insert_header(("content-type", "text/event-stream"));
    response.insert_header(("cache-control", "no-cache"));
    response.insert_header(("x-request-id", header.id.clone()));
    let body = BodyStream::new(events(header, first, pieces));
    Ok(response.body(body).map_into_boxed_body())
}

fn events(
    header: chat::Header,
    first: Piece,
    pieces: mpsc::UnboundedReceiver<Piece>,
) -> impl Stream<Item = Result<Bytes, std::convert::Infallible>> {
    stream::unfold((Some(first), pieces, false), move |(next, mut pieces, ended)| {
        let header = header.clone();
        async move {
            if ended {
                return None;
            }
            let piece = match next {
                Some(piece) => piece,
                None => pieces.recv().await?,
            };
            let (text, ended) = event(&header, piece);
            Some((Ok(Bytes::from(text)), (None, pieces, ended)))
        }
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

async fn whole(
    header: chat::Header,
    mut pieces: mpsc::UnboundedReceiver<Piece>,
) -> Result<Response<BoxBody>, Problem> {
    let mut answer = String::new();
    while let Some(piece) = pieces.recv().await {
        match piece {
            Piece::Text(text) => answer.push_str(&text),
            Piece::End(Outcome::Complete { prompt, answer: count, ended }) => {
                let end = chat::End { prompt, answer: count, ended };
                return Ok(json(&header.id, &chat::whole(&header, &answer, end)));
            }
            Piece::End(Outcome::Refused(refused)) => {
                return Ok(problem::response(&header.id, &refused, ""));
            }
            Piece::Accepted(_) | Piece::End(Outcome::Answered(_)) => {}
        }
    }
    Err(stopped())
}

fn json(id: &str, value: &Value) -> Response<BoxBody> {
    let mut response = Response::build(StatusCode::OK);
    response.insert_header(("content-type", "application/json"));
    response.insert_header(("x-request-id", id));
    response.body(value.to_string()).map_into_boxed_body()
}

async fn send(shared: &Shared, command: Command) -> Result<(), Problem> {
    shared.commands.send(command).await.map_err(|_| stopped())
}

async fn accepted(pieces: &mut mpsc::UnboundedReceiver<Piece>) -> Result<Id, Problem> {
    match pieces.recv().await {
        Some(Piece::Accepted(id)) => Ok(id),
        _ => Err(stopped()),
    }
}

fn stopped() -> Problem {
    Problem::new(Refusal::Stopping, "the entry is stopping")
}

fn authorize(request: &Request, shared: &Shared) -> Result<name::Workspace, Problem> {
    let key = header(request, "authorization").and_then(|value| value.strip_prefix("Bearer "));
    key.and_then(|key| auth::find(&shared.config, key))
        .ok_or_else(|| Problem::new(Refusal::Unauthorized, "unknown or missing key"))
}

fn deadline(request: &Request) -> Result<Option<Duration>, Problem> {
    let Some(text) = header(request, "x-deadline-ms") else { return Ok(None) };
    let ms: u64 = text.parse().map_err(|_| {
        Problem::new(Refusal::Malformed, "header x-deadline-ms: expected whole milliseconds")
    })?;
    Ok(Some(Duration::from_millis(ms)))
}

fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name).and_then(|value| value.to_str().ok())
}
