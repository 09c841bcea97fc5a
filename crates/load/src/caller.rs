//! A client that sends requests to entries and checks the answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::error::SendRequestError;
use bytes::Bytes;
use futures_util::StreamExt;
use oriole_core::request::Id;
use oriole_core::token;
use oriole_entry::chat;
use oriole_standin::model;
use serde_json::{Value, json};

/// Time after the deadline at which a caller stops waiting for the answer.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(5);

/// Time for which refused requests are retried.
const RETRY_PERIOD: Duration = Duration::from_secs(15);

/// Largest body that is read as a whole; streamed answers have no bound.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// A request for a generation.
#[derive(Clone, Debug)]
pub struct Generation {
    /// API key of the caller.
    pub api_key: String,
    /// Name of the model.
    pub model: String,
    /// Content of the only message, which has the role `user`.
    pub content: String,
    /// Largest number of tokens of the answer.
    pub max_tokens: u32,
    /// Time from sending the request until the answer must be complete.
    pub deadline: Duration,
    /// Number of layers of the model, from which the expected answer is computed.
    pub layers: u16,
}

/// How a request ended for the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The answer was received to its end marker.
    Complete,
    /// The system refused the request, possibly after part of the answer.
    Refused {
        /// Reason in the problem details.
        reason: String,
        /// Whether the request ran, according to the problem details: `no` or `unknown`.
        ran: String,
        /// Time after which the caller may retry, in milliseconds; `None` if none is given.
        retry_after_ms: Option<u64>,
    },
    /// No connection to the entry could be opened.
    Unreachable,
    /// The connection failed or was closed before the end of the answer.
    Cut,
    /// The answer did not end within the deadline and `TIMEOUT_MARGIN`.
    Silent,
}

impl Outcome {
    /// Returns the time to wait before a retry; `None` if the request may have run or the refusal
    /// gives no time.
    fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused { ran, retry_after_ms, .. } if ran == "no" => {
                retry_after_ms.map(Duration::from_millis)
            }
            _ => None,
        }
    }
}

/// The answer to a generation, as far as the caller received it.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Request ID, if the response contained one.
    pub id: Option<String>,
    /// Generated text.
    pub text: String,
    /// How the request ended.
    pub outcome: Outcome,
    /// Arrival time of each token.
    pub token_times: Vec<Instant>,
    /// Time at which the request was sent.
    pub sent_at: Instant,
}

impl Answer {
    fn new() -> Self {
        let (id, text, token_times) = (None, String::new(), Vec::new());
        Self { id, text, outcome: Outcome::Cut, token_times, sent_at: Instant::now() }
    }

    /// Returns the time from sending the request to its first token.
    pub fn first_token(&self) -> Option<Duration> {
        self.token_times.first().map(|first| first.duration_since(self.sent_at))
    }

    /// Returns the times between consecutive tokens, each with the arrival time of the later one.
    pub fn gaps(&self) -> impl Iterator<Item = (Instant, Duration)> {
        self.token_times.windows(2).map(|pair| (pair[1], pair[1].duration_since(pair[0])))
    }

    /// Returns whether the text equals that of a run without faults, or is a prefix of it if the
    /// answer is not complete.
    pub fn is_correct(&self, generation: &Generation) -> bool {
        let Some(id) = self.id.as_ref().and_then(|id| id.parse::<Id>().ok()) else {
            return self.text.is_empty();
        };
        let expected_text = expected_text(generation, id);
        match self.outcome {
            Outcome::Complete => self.text == expected_text,
            _ => expected_text.starts_with(&self.text),
        }
    }
}

/// Returns the text that a run without faults generates for a request with this ID.
pub fn expected_text(generation: &Generation, id: Id) -> String {
    let message = chat::Message { role: "user".to_owned(), content: generation.content.clone() };
    let request = chat::Request {
        model: generation.model.clone(),
        messages: vec![message],
        stream: true,
        max_tokens: Some(generation.max_tokens),
        max_completion_tokens: None,
    };
    let prompt = token::encode(&request.prompt());
    let request = model::Request {
        prompt: &prompt,
        seed: id.seq,
        max_tokens: generation.max_tokens,
        layers: generation.layers,
    };
    model::expected_text(&request)
}

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// API key of the caller.
    pub api_key: String,
    /// Name of the service.
    pub service: String,
    /// Path within the service, with a leading slash.
    pub path: String,
    /// ID in the body, by which the stand-in counts how often the call ran.
    pub id: String,
    /// Idempotency key, if the caller sends one.
    pub idempotency_key: Option<String>,
}

/// The response to a call of a plain service.
#[derive(Clone, Debug)]
pub struct Response {
    /// Request ID, if the response contained one.
    pub id: Option<String>,
    /// HTTP status and body, or how the call failed.
    pub result: Result<(u16, Value), Outcome>,
}

/// An HTTP client. Clones share its connections.
#[derive(Clone)]
pub struct Caller {
    http: awc::Client,
}

impl Default for Caller {
    fn default() -> Self {
        // The number of connections is unlimited, so that requests do not wait for each other.
        let connector = awc::Connector::new().limit(0).timeout(Duration::from_secs(2));
        let http = awc::Client::builder().connector(connector).disable_timeout().finish();
        Self { http }
    }
}

impl Caller {
    /// Creates a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requests a generation and reads the streamed answer.
    ///
    /// Calls `on_token` after each token with the number of tokens so far and the request ID.
    pub async fn generate(
        &self,
        entry: SocketAddr,
        generation: &Generation,
        mut on_token: impl FnMut(usize, &str),
    ) -> Answer {
        let mut answer = Answer::new();
        let receiving = self.stream(entry, generation, &mut answer, &mut on_token);
        match tokio::time::timeout(generation.deadline + TIMEOUT_MARGIN, receiving).await {
            Ok(outcome) => answer.outcome = outcome,
            Err(_) => answer.outcome = Outcome::Silent,
        }
        answer
    }

    /// Like [`Caller::generate`], but retries refused requests for up to `RETRY_PERIOD`.
    pub async fn generate_with_retries(
        &self,
        entry: SocketAddr,
        generation: &Generation,
        mut on_token: impl FnMut(usize, &str),
    ) -> Answer {
        let start = Instant::now();
        loop {
            let answer = self.generate(entry, generation, &mut on_token).await;
            match answer.outcome.retry_after().filter(|_| start.elapsed() < RETRY_PERIOD) {
                Some(wait) => tokio::time::sleep(wait).await,
                None => return answer,
            }
        }
    }

    async fn stream(
        &self,
        entry: SocketAddr,
        generation: &Generation,
        answer: &mut Answer,
        on_token: &mut impl FnMut(usize, &str),
    ) -> Outcome {
        let body = json!({
            "model": generation.model,
            "messages": [{ "role": "user", "content": generation.content }],
            "max_tokens": generation.max_tokens,
            "stream": true,
        });
        let sending = self
            .http
            .post(format!("http://{entry}/v1/chat/completions"))
            .insert_header(("authorization", format!("Bearer {}", generation.api_key)))
            .insert_header(("content-type", "application/json"))
            .insert_header(("x-deadline-ms", generation.deadline.as_millis().to_string()))
            .send_body(body.to_string());
        let mut response = match sending.await {
            Ok(response) => response,
            Err(SendRequestError::Connect(awc::error::ConnectError::Disconnected)) => {
                return Outcome::Cut;
            }
            Err(SendRequestError::Connect(_)) => return Outcome::Unreachable,
            Err(_) => return Outcome::Cut,
        };
        let id = response.headers().get("x-request-id").and_then(|id| id.to_str().ok());
        answer.id = id.filter(|id| !id.is_empty()).map(str::to_owned);
        if !response.status().is_success() {
            return match response.body().limit(MAX_ANSWER_BYTES).await {
                Ok(body) => refusal(&serde_json::from_slice(&body).unwrap_or_default()),
                Err(_) => Outcome::Cut,
            };
        }
        let mut parser = EventParser::default();
        while let Some(chunk) = response.next().await {
            let Ok(chunk) = chunk else { return Outcome::Cut };
            for event in parser.push(&chunk) {
                if let Some(outcome) = handle_event(&event, answer, on_token) {
                    return outcome;
                }
            }
        }
        Outcome::Cut
    }

    /// Calls a plain service and reads its response.
    pub async fn call(&self, entry: SocketAddr, call: &Call) -> Response {
        let url = format!("http://{entry}/v1/services/{}{}", call.service, call.path);
        let mut request = self
            .http
            .post(url)
            .insert_header(("authorization", format!("Bearer {}", call.api_key)))
            .insert_header(("content-type", "application/json"));
        if let Some(key) = &call.idempotency_key {
            request = request.insert_header(("idempotency-key", key.as_str()));
        }
        let sent = request.send_body(json!({ "id": call.id }).to_string()).await;
        let Ok(mut response) = sent else {
            return Response { id: None, result: Err(Outcome::Cut) };
        };
        let id = response.headers().get("x-request-id").and_then(|id| id.to_str().ok());
        let id = id.filter(|id| !id.is_empty()).map(str::to_owned);
        let Ok(body) = response.body().limit(MAX_ANSWER_BYTES).await else {
            return Response { id, result: Err(Outcome::Cut) };
        };
        let value: Value = serde_json::from_slice(&body).unwrap_or_default();
        let is_refusal = value.get("reason").is_some();
        let result =
            if is_refusal { Err(refusal(&value)) } else { Ok((response.status().as_u16(), value)) };
        Response { id, result }
    }

    /// Like [`Caller::call`], but retries refused calls for up to `RETRY_PERIOD`.
    pub async fn call_with_retries(&self, entry: SocketAddr, call: &Call) -> Response {
        let start = Instant::now();
        loop {
            let response = self.call(entry, call).await;
            let wait = response.result.as_ref().err().and_then(Outcome::retry_after);
            match wait.filter(|_| start.elapsed() < RETRY_PERIOD) {
                Some(wait) => tokio::time::sleep(wait).await,
                None => return response,
            }
        }
    }

    /// Gets a resource of an entry.
    ///
    /// Returns its HTTP status and its body as text, or `None` if the entry does not answer.
    pub async fn get(&self, entry: SocketAddr, api_key: &str, path: &str) -> Option<(u16, String)> {
        let request = self.http.get(format!("http://{entry}{path}"));
        let request = request.insert_header(("authorization", format!("Bearer {api_key}")));
        let mut response = request.send().await.ok()?;
        let body = response.body().limit(MAX_ANSWER_BYTES).await.ok()?;
        Some((response.status().as_u16(), String::from_utf8_lossy(&body).into_owned()))
    }
}

/// Adds one event of the stream to the answer; returns the outcome if the event ends the answer.
fn handle_event(
    event: &str,
    answer: &mut Answer,
    on_token: &mut impl FnMut(usize, &str),
) -> Option<Outcome> {
    if event == "[DONE]" {
        return Some(Outcome::Complete);
    }
    let value: Value = serde_json::from_str(event).unwrap_or_default();
    if let Some(error) = value.get("error") {
        return Some(refusal(error));
    }
    let text = value.pointer("/choices/0/delta/content").and_then(Value::as_str)?;
    answer.text.push_str(text);
    answer.token_times.push(Instant::now());
    on_token(answer.token_times.len(), answer.id.as_deref().unwrap_or_default());
    None
}

fn refusal(problem: &Value) -> Outcome {
    let member = |name| problem.get(name).and_then(Value::as_str).unwrap_or("?").to_owned();
    let retry_after_ms = problem.get("retry-after-ms").and_then(Value::as_u64);
    Outcome::Refused { reason: member("reason"), ran: member("ran"), retry_after_ms }
}

/// Splits a byte stream into server-sent events.
#[derive(Default)]
struct EventParser {
    buffer: Vec<u8>,
}

impl EventParser {
    /// Adds a chunk and returns the data of the events that it completes.
    fn push(&mut self, chunk: &Bytes) -> Vec<String> {
        self.buffer.extend_from_slice(chunk);
        let mut events = Vec::new();
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let text = String::from_utf8_lossy(&event);
            let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
            events.extend(data.map(str::to_owned));
        }
        events
    }
}
