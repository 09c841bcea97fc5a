//! Answers calls of plain services, which are HTTP back ends without a model.

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{HttpMessage, Request, Response, StatusCode};
use oriole_core::entry::{Outcome, Request as Call};
use oriole_core::request::Refusal;
use oriole_core::{home, name};
use uuid::Uuid;

use crate::caller::{self, Update};
use crate::http::{Problem, Shared, authenticate, deadline, header};
use crate::problem;
use crate::process::Command;

/// Prefix of the paths of plain services.
pub(crate) const SERVICES_PREFIX: &str = "/v1/services/";

/// Forwards one call to the process and returns the answer or the refusal as HTTP.
pub(crate) async fn answer(
    mut request: Request,
    shared: &Rc<Shared>,
) -> Result<Response<BoxBody>, Problem> {
    let workspace = authenticate(&request, shared)?;
    let refuse = |problem: Problem| problem.for_workspace(&workspace);
    let deadline = deadline(&request).map_err(refuse)?;
    let key = key(&request).map_err(refuse)?;
    let rest = request.uri().path_and_query().map_or("", |p| p.as_str());
    let rest = rest.strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = name::Service::from(service);
    let config = shared.config();
    let allowed = config.contracts.get(&workspace).is_some_and(|c| c.services.contains(&service));
    if !allowed {
        return Err(refuse(Problem::new(Refusal::NotFound, format!("no service {service:?}"))));
    }
    let path = format!("/{path}");
    let method = request.method().to_string();
    let content_type = header(&request, "content-type").unwrap_or_default().to_owned();
    // What the request holds is dropped when the call is answered.
    let (body, _held) = shared.bodies.read(&mut request).await.map_err(|e| refuse(e.into()))?;
    let body = Vec::from(body);
    let call = Call { workspace, service, method, path, content_type, body, key, deadline };
    let (sender, mut updates) = caller::channel(shared.commands.clone());
    shared.send(Command::Call(call, sender)).await?;
    let Some(Update::Accepted(id)) = updates.recv().await else { return Err(Problem::stopping()) };
    let id = id.to_string();
    match updates.recv().await {
        Some(Update::End(Outcome::Answered(answer))) => {
            let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            let mut response = Response::build(status);
            response.insert_header(("content-type", answer.content_type));
            response.insert_header(("x-request-id", id));
            Ok(response.body(answer.body).map_into_boxed_body())
        }
        Some(Update::End(Outcome::Refused(refused))) => Ok(problem::response(&id, &refused, "")),
        _ => Err(Problem::stopping()),
    }
}

/// Returns the idempotency key, or `None` if the caller sent none. The key must be a UUIDv7, whose
/// timestamp is the time of issue.
fn key(request: &Request) -> Result<Option<u128>, Problem> {
    if !request.headers().contains_key("idempotency-key") {
        return Ok(None);
    }
    let text = header(request, "idempotency-key").unwrap_or_default();
    let key = Uuid::parse_str(text.trim_matches('"')).ok().map(|uuid| uuid.as_u128());
    key.filter(|key| home::issue_ms(*key).is_some()).map(Some).ok_or_else(|| {
        let detail = "header idempotency-key: expected a UUIDv7, made when the key is issued";
        Problem::new(Refusal::Malformed, detail)
    })
}
