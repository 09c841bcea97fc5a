//! Errors of calls to the key-value service.

use derive_more::{Display, Error as StdError};

use super::Operation;
use crate::http;

/// HTTP status codes by which the gateway reports that it did not execute the call.
const NOT_APPLIED_STATUSES: [u16; 8] = [400, 401, 403, 404, 405, 412, 413, 429];

/// A call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Display, StdError)]
#[display("calling {operation} of the key-value service: {cause}")]
pub struct Error {
    /// The operation that was called.
    pub operation: Operation,
    /// Why it failed.
    #[error(source)]
    pub cause: Cause,
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Display, StdError)]
pub enum Cause {
    /// The HTTP exchange failed or timed out, or its response is malformed.
    #[display("{_0}")]
    Http(http::Error),
    /// The service refused the call and did not execute it.
    #[display("the service refused the call with status {status}")]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The service failed; the call may have taken effect.
    #[display("the service failed with status {status}")]
    Failed {
        /// The HTTP status.
        status: u16,
    },
    /// The lease has expired or was revoked.
    #[display("the lease has expired or was revoked")]
    LeaseEnded,
    /// The settings name no address of the service.
    #[display("the settings contain no address of the service")]
    NoAddress,
    /// The call cannot be encoded as JSON, and was not sent.
    #[display("the call cannot be encoded as JSON")]
    Unencodable,
}

impl Error {
    /// Returns whether it is certain that the call has not taken effect and will not.
    pub fn is_not_applied(&self) -> bool {
        match self.cause {
            Cause::Http(e) => e.is_not_run(),
            Cause::Failed { .. } => false,
            Cause::Refused { .. } | Cause::LeaseEnded | Cause::NoAddress | Cause::Unencodable => {
                true
            }
        }
    }
}

impl Cause {
    /// Classifies an HTTP status other than 200.
    pub(super) fn from_status(status: u16) -> Self {
        if NOT_APPLIED_STATUSES.contains(&status) {
            Self::Refused { status }
        } else {
            Self::Failed { status }
        }
    }
}
