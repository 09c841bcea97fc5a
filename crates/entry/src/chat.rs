//! The JSON of chat completions, in the format of the OpenAI API.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Maximum length of an answer if the request sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// A request. Unknown members are ignored, because client libraries send many.
#[derive(Clone, Debug, Deserialize)]
pub struct Request {
    /// Name of the model.
    pub model: String,
    /// The conversation.
    pub messages: Vec<Message>,
    /// Whether the answer is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens in the answer; the older name of `max_completion_tokens`.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Maximum number of tokens in the answer; takes precedence over `max_tokens`.
    #[serde(default)]
    pub max_completion_tokens: Option<u32>,
}

/// One message of a conversation.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Message {
    /// Author of the message, such as `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

impl Request {
    /// Returns the conversation as one text, with a line for each message.
    pub fn prompt(&self) -> String {
        let lines = self.messages.iter().map(|m| format!("{}: {}\n", m.role, m.content));
        lines.collect()
    }

    /// Returns the maximum number of tokens in the answer, or the default if there is none.
    pub fn max_answer_tokens(&self) -> u32 {
        self.max_completion_tokens.or(self.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS)
    }
}

/// Members that all answers to one request share.
#[derive(Clone, Debug)]
pub struct Header {
    /// The request id.
    pub id: String,
    /// Name of the model, as in the request.
    pub model: String,
}

/// Token counts of a finished answer, and why it finished.
#[derive(Clone, Copy, Debug)]
pub struct Finish {
    /// Number of tokens in the prompt.
    pub prompt: u32,
    /// Number of tokens in the answer.
    pub answer: u32,
    /// Whether the model ended the answer; false if the limit on tokens was reached.
    pub ended: bool,
}

impl Finish {
    fn finish_reason(self) -> &'static str {
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

/// Returns a buffered answer.
pub fn completion(header: &Header, text: &str, finish: Finish) -> Value {
    json!({
        "id": header.id,
        "object": "chat.completion",
        "model": header.model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": finish.finish_reason(),
        }],
        "usage": finish.usage(),
    })
}

/// Returns one chunk of a streamed answer.
pub fn chunk(header: &Header, text: &str) -> Value {
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

/// Returns the last chunk of a streamed answer.
pub fn last_chunk(header: &Header, finish: Finish) -> Value {
    json!({
        "id": header.id,
        "object": "chat.completion.chunk",
        "model": header.model,
        "choices": [{ "index": 0, "delta": {}, "finish_reason": finish.finish_reason() }],
        "usage": finish.usage(),
    })
}
