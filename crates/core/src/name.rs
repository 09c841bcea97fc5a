//! Types for the names that operators give to hosts, zones, workspaces, endpoints, models and
//! services.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Initial value and factor of the 64-bit FNV-1a hash.
const FNV: (u64, u64) = (0xcbf2_9ce4_8422_2325, 0x0100_0000_01b3);

/// Returns a hash of a name, which is the same in all processes.
pub fn hash(text: &str) -> u64 {
    text.bytes().fold(FNV.0, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(FNV.1))
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }
    )*};
}

names! {
    /// Name of a host that runs an entry or a side.
    Host;
    /// Name of an availability zone.
    Zone;
    /// Name of a workspace: one customer with one contract.
    Workspace;
    /// Name of an endpoint: one model engine or one plain service.
    Endpoint;
    /// Name of a model that callers request.
    Model;
    /// Name of a plain service that callers request.
    Service;
}
