//! The JSON of chat completions, in the widely used form.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Tokens of an answer if the caller names no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// A caller's request. Unknown members are ignored, as callers' libraries send many.
#[derive(Clone, Debug, Deserialize)]
pub struct Request {
    /// The model.
    pub model: String,
    /// The conversation.
    pub messages: Vec<Message>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Most tokens of the answer.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Most tokens of the answer, by its newer name.
    #[serde(default)]
    pub max_completion_tokens: Option<u32>,
}

/// One message of a conversation.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Message {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: String,
}

impl Request {
    /// The prompt as one text.
    pub fn prompt(&self) -> String {
        let lines = self.messages.iter().map(|m| format!("{}: {}\n", m.role, m.content));
        lines.collect()
    }

    /// Most tokens of the answer.
    pub fn limit(&self) -> u32 {
        self.max_completion_tokens.or(self.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS)
    }
}

/// What stands in every answer to one request.
#[derive(Clone, Debug)]
pub struct Header {
    /// The request id.
    pub id: String,
    /// The model.
    pub model: String,
}

/// How an answer ended.
#[derive(Clone, Copy, Debug)]
pub struct End {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the answer.
    pub answer: u32,
    /// Whether the model ended it by itself.
    pub ended: bool,
}

impl End {
    fn reason(self) -> &'static str {
        if self.ended { "stop" } else { "length" }
    }

    fn usage(self) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.answer,
            "total_tokens": self.prompt + self.answer,
        })
    }
}

/// The whole answer.
pub fn whole(header: &Header, text: &str, end: End) -> Value {
    json!({
        "id": header.id,
        "object": "chat.completion",
        "model": header.model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": end.reason(),
        }],
        "usage": end.usage(),
    })
}

/// One piece of a streamed answer.
pub fn piece(header: &Header, text: &str) -> Value {
    json!({
        "id": header.id,
        "object": "chat.completion.chunk",
        "model": header.model,
        "choices": [{
            "index": 0,
            "delta": { "role": "assistant", "content": text },
            "finish_reason": null,
        }],
    })
}

/// The last piece of a streamed answer.
pub fn last(header: &Header, end: End) -> Value {
    json!({
        "id": header.id,
        "object": "chat.completion.chunk",
        "model": header.model,
        "choices": [{ "index": 0, "delta": {}, "finish_reason": end.reason() }],
        "usage": end.usage(),
    })
}
