//! Errors of exchanges, and what they tell of the peer.

use std::io::{self, ErrorKind};

use actix_http::StatusCode;
use actix_http::error::{ParseError, PayloadError};
use derive_more::{Display, Error, From};

/// Why an exchange yielded no complete response.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// No connection could be opened; nothing was sent.
    #[display("opening a connection: {_0}")]
    #[from(ignore)]
    Connect(io::Error),
    /// No connection was opened within the limit; nothing was sent.
    #[display("opening a connection: time limit exceeded")]
    ConnectTimeout,
    /// The connection failed; the peer may have received the request.
    #[display("exchanging data with the peer: {_0}")]
    Io(io::Error),
    /// The peer closed the connection before the response was complete.
    #[display("the peer closed the connection before the response was complete")]
    Closed,
    /// The response head is not valid HTTP/1.1.
    #[display("parsing the response head: {_0}")]
    Head(ParseError),
    /// The body does not match the framing that the response head declares.
    #[display("reading the response body: {_0}")]
    Body(PayloadError),
    /// The request cannot be encoded, or the response body cannot be decoded.
    #[display("the request cannot be encoded, or the response cannot be decoded")]
    Malformed,
    /// The head has a status that no final answer has.
    #[display("the response has status {_0}, which no answer has")]
    #[from(ignore)]
    #[error(ignore)]
    NoAnswer(StatusCode),
    /// The peer answered with a status that is not one of success.
    #[display("the peer answered with status {_0}")]
    #[from(ignore)]
    #[error(ignore)]
    Status(StatusCode),
    /// The response or its body is larger than allowed.
    #[display("the response exceeds the size limit")]
    TooLong,
    /// The response was not complete within the limit.
    #[display("no complete response within the time limit")]
    Timeout,
}

impl Error {
    /// Returns whether the peer sent a response, whatever is wrong with it.
    pub fn is_response(&self) -> bool {
        self.is_invalid() || matches!(self, Self::Status(_))
    }

    /// Returns whether nothing was heard of the peer.
    ///
    /// A lack of descriptors or ports of this process says nothing of the peer, and one that closes a connection has
    /// been heard of.
    pub fn is_silence(&self) -> bool {
        match self {
            Self::ConnectTimeout | Self::Timeout => true,
            Self::Connect(error) => matches!(
                error.kind(),
                ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable
            ),
            _ => false,
        }
    }

    /// Returns whether the peer sent what is no answer, and not merely none or a part of one.
    pub fn is_invalid(&self) -> bool {
        matches!(
            self,
            Self::Head(_) | Self::Body(_) | Self::Malformed | Self::NoAnswer(_) | Self::TooLong
        )
    }

    /// Returns whether it is certain that the peer received no part of the request.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::ConnectTimeout)
    }
}
