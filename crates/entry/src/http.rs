//! The HTTP interface for callers and operators.
//!
//! | request | answer |
//! | --- | --- |
//! | `POST /v1/chat/completions` | a generation, buffered or as server-sent events |
//! | any method, `/v1/services/SERVICE/PATH` | the answer of a plain service |
//! | `GET /v1/explain/ID` | the record of the decisions on a request |
//! | `GET /v1/status`, `/v1/counters` | status and counters, for operators |
//! | `GET /healthz` | 200 while the process runs |
//! | `GET /readyz` | 200 while the entry takes new requests, else 503 |

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use oriole_adapter::clock::Clock;
use oriole_adapter::connections::Connections;
use oriole_adapter::limits::Limits;
use oriole_adapter::memory::Memory;
use oriole_adapter::server::{self, BodyError, BodyReader};
use oriole_core::config::Config;
use oriole_core::message::not_run;
use oriole_core::name;
use oriole_core::request::{Refusal, Refused};
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::process::Command;
use crate::{auth, completion, operator, problem, service};

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Maximum time for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// Copies of a body while its request is served: as received, as tokens or a call, for a further attempt, and as it
/// is sent to a side.
const BODY_COPIES: usize = 4;

/// State that the HTTP tasks of an entry share.
pub(crate) struct Shared {
    /// The configuration in force.
    pub(crate) config: RefCell<Rc<Config>>,
    /// Commands to the process.
    pub(crate) commands: mpsc::Sender<Command>,
    /// Reads the bodies of requests, which share one bound on memory.
    pub(crate) bodies: BodyReader,
    /// Reference count of streamed answers: each holds a clone until it has been read to its end.
    pub(crate) open_answers: Rc<()>,
}

/// Returns what reads the bodies of requests of an entry with the given limits.
pub(crate) fn body_reader(limits: &Limits, clock: Clock) -> BodyReader {
    BodyReader {
        memory: Memory::new(limits.request_bytes()),
        clock,
        max_bytes: MAX_BODY_BYTES,
        limit: BODY_TIMEOUT,
        copies: BODY_COPIES,
    }
}

impl Shared {
    /// Returns the configuration in force.
    pub(crate) fn config(&self) -> Rc<Config> {
        self.config.borrow().clone()
    }

    /// Sends a command to the process; fails if the process has stopped.
    pub(crate) async fn send(&self, command: Command) -> Result<(), Problem> {
        self.commands.send(command).await.map_err(|_| Problem::stopping())
    }
}

/// Delay for retries that is suggested to callers of an entry without a configuration; it is likely
/// to have one by then.
const STARTING_RETRY_MS: u64 = 1_000;

/// Delay for retries that is suggested when there is no memory for a body: bodies that hardly arrive give way after
/// that time.
const NO_MEMORY_RETRY_MS: u64 = 1_000;

/// The clients that a listener serves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Audience {
    /// Callers only.
    Callers,
    /// Operators only.
    Operators,
    /// Both.
    All,
}

/// A refusal before the request reached the state machine.
pub(crate) struct Problem {
    pub(crate) refused: Refused,
    /// Description for the caller.
    pub(crate) detail: String,
    /// Workspace for which the refusal is counted, if it is known.
    pub(crate) workspace: Option<name::Workspace>,
}

impl Problem {
    /// Creates a refusal of a request that did not run.
    pub(crate) fn new(reason: Refusal, detail: impl Into<String>) -> Self {
        Self { refused: not_run(reason, None), detail: detail.into(), workspace: None }
    }

    /// Creates the refusal of an entry that is stopping.
    pub(crate) fn stopping() -> Self {
        Self::new(Refusal::Stopping, "the entry is stopping")
    }

    /// Creates the refusal of an entry that has no configuration yet.
    fn starting() -> Self {
        let refused = not_run(Refusal::Starting, Some(STARTING_RETRY_MS));
        let detail = "the entry has no configuration yet".to_owned();
        Self { refused, detail, workspace: None }
    }

    /// Attributes the refusal to a workspace, for the counters.
    pub(crate) fn for_workspace(mut self, workspace: &name::Workspace) -> Self {
        self.workspace = Some(workspace.clone());
        self
    }
}

impl From<BodyError> for Problem {
    fn from(e: BodyError) -> Self {
        let reason = match e {
            BodyError::TooLarge => Refusal::TooLarge,
            BodyError::NoMemory => Refusal::NoMemory,
            BodyError::Timeout | BodyError::Incomplete => Refusal::Malformed,
        };
        let mut problem =
            Self::new(reason, format!("reading the body, at most {MAX_BODY_BYTES} bytes: {e}"));
        if reason == Refusal::NoMemory {
            problem.refused = not_run(reason, Some(NO_MEMORY_RETRY_MS));
        }
        problem
    }
}

/// Serves the given audience until the future is dropped.
pub(crate) async fn serve(
    listener: TcpListener,
    connections: Rc<Connections>,
    shared: Rc<Shared>,
    audience: Audience,
) {
    let handler = move |request| answer(request, shared.clone(), audience);
    server::serve(listener, connections, handler).await;
}

async fn answer(request: Request, shared: Rc<Shared>, audience: Audience) -> Response<BoxBody> {
    match route(request, &shared, audience).await {
        Ok(response) => response,
        Err(problem) => {
            let rejected = Command::Rejected(problem.refused.reason, problem.workspace);
            // If the queue is full, only this count is lost.
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
        (&Method::GET, "/readyz") => operator::readiness(shared).await,
        (&Method::GET, "/v1/status") if operators => operator::status(shared).await,
        (&Method::GET, "/v1/counters") if operators => operator::counters(shared).await,
        (&Method::GET, path) if path.starts_with(operator::EXPLAIN_PREFIX) => {
            // Operators have no API key. A listener for both cannot distinguish them from callers,
            // so it requires no key for explanations.
            let workspace = if operators { None } else { Some(authenticate(&request, shared)?) };
            operator::explain(path, workspace, shared).await
        }
        (&Method::POST, "/v1/chat/completions") if callers => {
            completion::answer(request, shared).await
        }
        (_, path) if callers && path.starts_with(service::SERVICES_PREFIX) => {
            service::answer(request, shared).await
        }
        _ => Err(Problem::new(Refusal::NotFound, format!("no resource at {path}"))),
    }
}

/// Returns the workspace whose contract lists the caller's key.
pub(crate) fn authenticate(request: &Request, shared: &Shared) -> Result<name::Workspace, Problem> {
    let config = shared.config();
    if config.contracts.is_empty() {
        // Without contracts, no key can be looked up; the key must not be reported as wrong.
        return Err(Problem::starting());
    }
    let key = header(request, "authorization").and_then(|value| value.strip_prefix("Bearer "));
    key.and_then(|key| auth::find_workspace(&config, key)).ok_or_else(|| {
        let detail = "header authorization: expected \"Bearer KEY\" with the key of a workspace";
        Problem::new(Refusal::Unauthorized, detail)
    })
}

/// Returns the deadline from the header `x-deadline-ms`, or `None` if there is none.
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

/// Returns a header's value, or `None` if it is absent or not visible ASCII.
pub(crate) fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name).and_then(|value| value.to_str().ok())
}

/// Returns a JSON response with status 200, and with the request id if there is one.
pub(crate) fn json(id: Option<&str>, value: &Value) -> Response<BoxBody> {
    let mut response = Response::build(StatusCode::OK);
    response.insert_header(("content-type", "application/json"));
    if let Some(id) = id {
        response.insert_header(("x-request-id", id));
    }
    response.body(value.to_string()).map_into_boxed_body()
}

/// Returns a plain text response.
pub(crate) fn text(status: StatusCode, text: &'static str) -> Response<BoxBody> {
    Response::build(status).body(text).map_into_boxed_body()
}
