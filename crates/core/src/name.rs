//! Names of things that operators configure.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
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
    /// A host that runs one of the system's processes.
    Host;
    /// An availability zone.
    Zone;
    /// A workspace, that is, one customer with one contract.
    Workspace;
    /// An endpoint: one model engine or one plain service.
    Endpoint;
    /// A model that callers ask for.
    Model;
    /// A plain service that callers ask for.
    Service;
}
