//! What callers and operators see over HTTP.
//!
//! | call | answer |
//! | --- | --- |
//! | `POST /v1/chat/completions` | a generation, whole or as server-sent events |
//! | any method, `/v1/services/SERVICE/PATH` | the answer of a plain service |
//! | `GET /v1/explain/ID` | what was decided about a request |
//! | `GET /v1/status`, `/v1/counters` | state and counters, for operators |
//! | `GET /healthz` | 200 while the process runs |
//! | `GET /readyz` | 200 while new requests are taken, else 503 |

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use oriole_adapter::server::{self, BodyError};
use oriole_core::config::Config;
use oriole_core::message::not_run;
use oriole_core::name;
use oriole_core::request::{Refusal, Refused};
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::process::Command;
use crate::{auth, complete, operate, problem, service};

/// Largest body of a request, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Time within which a body must arrive.
pub(crate) const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// What all HTTP tasks of one entry share.
pub(crate) struct Shared {
    /// The configuration in force.
    pub(crate) config: RefCell<Rc<Config>>,
    /// The process.
    pub(crate) commands: mpsc::Sender<Command>,
    /// Cloned by each answer that has not been read to its end.
    pub(crate) answers: Rc<()>,
}

impl Shared {
    /// The configuration in force.
    pub(crate) fn config(&self) -> Rc<Config> {
        self.config.borrow().clone()
    }

    /// Hands a command to the process.
    pub(crate) async fn send(&self, command: Command) -> Result<(), Problem> {
        self.commands.send(command).await.map_err(|_| Problem::stopping())
    }
}

/// Milliseconds after which an entry that was starting is likely to have its configuration.
const STARTING_RETRY_MS: u64 = 1_000;

/// Who connects to a listener.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Audience {
    /// Callers only.
    Callers,
    /// Operators only.
    Operators,
    /// Both.
    All,
}

/// A refusal and what to say about it.
pub(crate) struct Problem {
    pub(crate) refused: Refused,
    pub(crate) detail: String,
    pub(crate) workspace: Option<name::Workspace>,
}

impl Problem {
    /// A refusal of a request that did not run.
    pub(crate) fn new(reason: Refusal, detail: impl Into<String>) -> Self {
        Self { refused: not_run(reason, None), detail: detail.into(), workspace: None }
    }

    /// The process has stopped.
    pub(crate) fn stopping() -> Self {
        Self::new(Refusal::Stopping, "the entry is stopping")
    }

    /// The process has no configuration yet.
    fn starting() -> Self {
        let refused = not_run(Refusal::Starting, Some(STARTING_RETRY_MS));
        let detail = "the entry has no configuration yet".to_owned();
        Self { refused, detail, workspace: None }
    }

    /// The same, counted for a workspace.
    pub(crate) fn of(mut self, workspace: &name::Workspace) -> Self {
        self.workspace = Some(workspace.clone());
        self
    }
}

impl From<BodyError> for Problem {
    fn from(e: BodyError) -> Self {
        let reason = match e {
            BodyError::TooLarge => Refusal::TooLarge,
            BodyError::Timeout | BodyError::Incomplete => Refusal::Malformed,
        };
        Self::new(reason, format!("reading the body, at most {MAX_BODY_BYTES} bytes: {e}"))
    }
}

/// Serves callers or operators until the future is dropped.
pub(crate) async fn serve(listener: TcpListener, shared: Rc<Shared>, audience: Audience) {
    server::serve(listener, move |request| answer(request, shared.clone(), audience)).await;
}

async fn answer(request: Request, shared: Rc<Shared>, audience: Audience) -> Response<BoxBody> {
    match route(request, &shared, audience).await {
        Ok(response) => response,
        Err(problem) => {
            let rejected = Command::Rejected(problem.refused.reason, problem.workspace);
            // A full queue costs no more than one count.
            let _ = shared.commands.try_send(rejected);
            problem::response("", &problem.refused, &problem.detail)
        }
    }
}

async fn route(
    request: Request,
    shared: &Rc<Shared>,
    audience: Audience,
) -> Result<Response<BoxBody>, Problem> {
    let path = request.path().to_owned();
    let (callers, operators) = (audience != Audience::Operators, audience != Audience::Callers);
    match (request.method(), path.as_str()) {
        (&Method::GET, "/healthz") => Ok(text(StatusCode::OK, "ok\n")),
        (&Method::GET, "/readyz") => operate::readiness(shared).await,
        (&Method::GET, "/v1/status") if operators => operate::status(shared).await,
        (&Method::GET, "/v1/counters") if operators => operate::counters(shared).await,
        (&Method::GET, path) if path.starts_with(operate::EXPLAIN) => {
            // Without a listener of their own, operators come without a caller's key.
            let workspace = if operators { None } else { Some(authorize(&request, shared)?) };
            operate::explain(path, workspace, shared).await
        }
        (&Method::POST, "/v1/chat/completions") if callers => {
            complete::answer(request, shared).await
        }
        (_, path) if callers && path.starts_with(service::SERVICES) => {
            service::answer(request, shared).await
        }
        _ => Err(Problem::new(Refusal::NotFound, format!("no resource at {path}"))),
    }
}

/// The workspace whose contract lists the caller's key.
pub(crate) fn authorize(request: &Request, shared: &Shared) -> Result<name::Workspace, Problem> {
    let config = shared.config();
    if config.contracts.is_empty() {
        // A caller whose key cannot be looked up yet must not be told that it is wrong.
        return Err(Problem::starting());
    }
    let key = header(request, "authorization").and_then(|value| value.strip_prefix("Bearer "));
    key.and_then(|key| auth::find(&config, key)).ok_or_else(|| {
        let detail = "header authorization: expected \"Bearer KEY\" with the key of a workspace";
        Problem::new(Refusal::Unauthorized, detail)
    })
}

/// The deadline that a caller asks for.
pub(crate) fn deadline(request: &Request) -> Result<Option<Duration>, Problem> {
    let Some(text) = header(request, "x-deadline-ms") else { return Ok(None) };
    match text.parse::<u64>() {
        Ok(ms) if ms > 0 => Ok(Some(Duration::from_millis(ms))),
        _ => {
            let detail = "header x-deadline-ms: expected whole milliseconds, at least 1";
            Err(Problem::new(Refusal::Malformed, detail))
        }
    }
}

/// A header's value, if it is text.
pub(crate) fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name).and_then(|value| value.to_str().ok())
}

/// A JSON answer.
pub(crate) fn json(id: Option<&str>, value: &Value) -> Response<BoxBody> {
    let mut response = Response::build(StatusCode::OK);
    response.insert_header(("content-type", "application/json"));
    if let Some(id) = id {
        response.insert_header(("x-request-id", id));
    }
    response.body(value.to_string()).map_into_boxed_body()
}

/// A plain text answer.
pub(crate) fn text(status: StatusCode, text: &'static str) -> Response<BoxBody> {
    Response::build(status).body(text).map_into_boxed_body()
}
