//! The HTTP interface for operators.
//!
//! | request | answer |
//! | --- | --- |
//! | `GET /healthz` | 200 while the process runs |
//! | `GET /readyz` | 200 while an endpoint takes new work, else 503 |
//! | `GET /v1/status` | [`Status`] |
//! | `GET /v1/counters` | all counters that are not 0 |
//! | `GET /v1/explain/ID` | the events of a request at this side |
//! | `POST /v1/drain`, `/v1/undrain` | drains or reopens all or `?endpoint=NAME`; [`Status`] |

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use derive_more::{Display, Error};
use oriole_adapter::clock::Clock;
use oriole_adapter::connections::Connections;
use oriole_adapter::server;
use oriole_core::name;
use oriole_core::request::{Id, ParseError};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

use crate::process::Command;
use crate::status::Status;

/// Maximum number of connections of operators.
const MAX_CONNECTIONS: usize = 32;

/// Prefix of the paths of explanations.
const EXPLAIN_PREFIX: &str = "/v1/explain/";

/// Why a request of an operator fails.
#[derive(Debug, Display, Error)]
enum Problem {
    /// No resource has this path.
    #[display("no resource at {path}")]
    NoResource {
        /// Path of the request.
        path: String,
    },
    /// No endpoint of this host has this name.
    #[display("no endpoint {name} on this host")]
    NoEndpoint {
        /// Name in the request.
        name: String,
    },
    /// The request id cannot be parsed.
    #[display("reading the request id: {source}")]
    BadId {
        /// The reason.
        source: ParseError,
    },
    /// The process is stopping.
    #[display("the side is stopping")]
    Stopping,
}

/// Serves operators until the future is dropped.
pub(crate) async fn serve(listener: TcpListener, commands: mpsc::Sender<Command>) {
    let connections = Connections::new(MAX_CONNECTIONS, Clock::start());
    let handler = move |request| answer(request, commands.clone());
    server::serve(listener, connections, handler).await;
}

async fn answer(request: Request, commands: mpsc::Sender<Command>) -> Response<BoxBody> {
    let result = route(&request, &commands).await;
    result.unwrap_or_else(|problem| problem.response())
}

async fn route(
    request: &Request,
    commands: &mpsc::Sender<Command>,
) -> Result<Response<BoxBody>, Problem> {
    let path = request.path();
    match (request.method(), path) {
        (&Method::GET, "/healthz") => Ok(json(StatusCode::OK, &"ok")),
        (&Method::GET, "/readyz") => {
            let status = query_process(commands, Command::Status).await?;
            let ready = status.is_ready();
            let code = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            Ok(json(code, &ready))
        }
        (&Method::GET, "/v1/status") => {
            Ok(json(StatusCode::OK, &query_process(commands, Command::Status).await?))
        }
        (&Method::GET, "/v1/counters") => {
            Ok(json(StatusCode::OK, &query_process(commands, Command::Counters).await?))
        }
        (&Method::GET, path) if path.starts_with(EXPLAIN_PREFIX) => {
            let id: Id =
                path[EXPLAIN_PREFIX.len()..].parse().map_err(|source| Problem::BadId { source })?;
            let explained = query_process(commands, |reply| Command::Explain(id, reply)).await?;
            Ok(json(StatusCode::OK, &explained))
        }
        (&Method::POST, "/v1/drain") => set_leaving(request, commands, true).await,
        (&Method::POST, "/v1/undrain") => set_leaving(request, commands, false).await,
        _ => Err(Problem::NoResource { path: path.to_owned() }),
    }
}

/// Starts or ends the drain of the endpoint that the query names, or of all endpoints.
async fn set_leaving(
    request: &Request,
    commands: &mpsc::Sender<Command>,
    leaving: bool,
) -> Result<Response<BoxBody>, Problem> {
    let query = request.uri().query().unwrap_or_default();
    let name = query.split('&').find_map(|pair| pair.strip_prefix("endpoint="));
    let endpoint = name.map(name::Endpoint::from);
    let known =
        query_process(commands, |reply| Command::SetLeaving { endpoint, leaving, reply }).await?;
    if !known {
        return Err(Problem::NoEndpoint { name: name.unwrap_or_default().to_owned() });
    }
    let status: Status = query_process(commands, Command::Status).await?;
    Ok(json(StatusCode::OK, &status))
}

/// Sends a command to the process and waits for the reply.
async fn query_process<T>(
    commands: &mpsc::Sender<Command>,
    command: impl FnOnce(oneshot::Sender<T>) -> Command,
) -> Result<T, Problem> {
    let (reply, answer) = oneshot::channel();
    commands.send(command(reply)).await.map_err(|_| Problem::Stopping)?;
    answer.await.map_err(|_| Problem::Stopping)
}

impl Problem {
    fn response(&self) -> Response<BoxBody> {
        let code = match self {
            Self::NoResource { .. } | Self::NoEndpoint { .. } => StatusCode::NOT_FOUND,
            Self::BadId { .. } => StatusCode::BAD_REQUEST,
            Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        };
        json(code, &serde_json::json!({ "status": code.as_u16(), "detail": self.to_string() }))
    }
}

fn json<T: Serialize>(code: StatusCode, value: &T) -> Response<BoxBody> {
    let mut body = serde_json::to_string(value).unwrap_or_default();
    body.push('\n');
    let mut response = Response::build(code);
    response.insert_header(("content-type", "application/json"));
    response.body(body).map_into_boxed_body()
}
