//! Failures of calls to the key-value service.

use derive_more::{Display, Error as StdError};

use super::Operation;
use crate::http;

/// HTTP status codes with which the gateway answers a call that it has not carried out.
const REFUSED_STATUS: [u16; 8] = [400, 401, 403, 404, 405, 412, 413, 429];

/// A call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Display, StdError)]
#[display("{operation} at the key-value service: {cause}")]
pub struct Error {
    /// The call.
    pub operation: Operation,
    /// Why it failed.
    #[error(source)]
    pub cause: Cause,
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Display, StdError)]
pub enum Cause {
    /// The call or its answer was lost, or took too long.
    #[display("{_0}")]
    Http(http::Error),
    /// The service refused the call.
    #[display("the service refused the call with status {status}")]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The service failed during the call.
    #[display("the service failed with status {status}")]
    Failed {
        /// The HTTP status.
        status: u16,
    },
    /// There is no such lease any more.
    #[display("the lease has ended")]
    LeaseEnded,
    /// The settings name no address of the service.
    #[display("the settings name no address")]
    NoAddress,
    /// The call could not be encoded.
    #[display("the call cannot be encoded")]
    Unencodable,
}

impl Error {
    /// Whether it is certain that the call has not taken effect, and will not.
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
    /// The cause that an HTTP status other than success stands for.
    pub(super) fn of_status(status: u16) -> Self {
        if REFUSED_STATUS.contains(&status) {
            Self::Refused { status }
        } else {
            Self::Failed { status }
        }
    }
}
