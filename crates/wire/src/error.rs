//! Failures of a connection.

use derive_more::{Display, Error, From};

/// Why a connection could not be opened, or ended.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The network failed.
    #[display("network: {_0}")]
    Io(std::io::Error),
    /// The WebSocket layer failed.
    #[display("websocket: {_0}")]
    Socket(Box<tokio_tungstenite::tungstenite::Error>),
    /// A frame could not be decoded.
    #[display("malformed frame")]
    #[from(skip)]
    Malformed,
    /// A frame could not be encoded.
    #[display("frame that cannot be encoded")]
    #[from(skip)]
    Unencodable,
    /// A frame is larger than allowed.
    #[display("oversized frame")]
    #[from(skip)]
    Oversized,
    /// A frame that does not belong at this point of the conversation.
    #[display("frame out of place")]
    #[from(skip)]
    UnexpectedFrame,
    /// The other end speaks another version.
    #[display("peer speaks version {found}, this process speaks {expected}")]
    #[from(skip)]
    Version {
        /// Version of the peer.
        found: u16,
        /// Our version.
        expected: u16,
    },
    /// The other end does not know the secret, or is not the host that was dialled.
    #[display("peer failed to prove its identity")]
    #[from(skip)]
    Unauthenticated,
    /// Nothing was heard within the deadline.
    #[display("peer is silent")]
    #[from(skip)]
    Silent,
    /// The other end closed the connection.
    #[display("closed by peer")]
    #[from(skip)]
    Closed,
    /// No random numbers could be had.
    #[display("no random numbers: {_0}")]
    Random(getrandom::Error),
}

impl From<tokio_tungstenite::tungstenite::Error> for Error {
    fn from(e: tokio_tungstenite::tungstenite::Error) -> Self {
        use tokio_tungstenite::tungstenite::Error as Socket;
        match e {
            Socket::ConnectionClosed | Socket::AlreadyClosed => Self::Closed,
            Socket::Capacity(_) => Self::Oversized,
            Socket::Io(e) => Self::Io(e),
            other => Self::Socket(Box::new(other)),
        }
    }
}

impl Error {
    /// A short name of the failure for counters.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Io(_) => "io",
            Self::Socket(_) => "websocket",
            Self::Malformed => "malformed",
            Self::Unencodable => "unencodable",
            Self::Oversized => "oversized",
            Self::UnexpectedFrame => "out-of-place",
            Self::Version { .. } => "version",
            Self::Unauthenticated => "unproven",
            Self::Silent => "silent",
            Self::Closed => "closed",
            Self::Random(_) => "random",
        }
    }
}
