//! What a probe shows of an endpoint.

use oriole_macros::key;

/// How an endpoint responded to a probe.
#[key]
pub enum Contact {
    /// It answered.
    Answered,
    /// Its address belongs to another endpoint or to another run of it by now.
    Replaced,
    /// Nothing listens at its address.
    Refused,
    /// It took the connection, and closed it or sent what does not say which run it is.
    Rejected,
    /// It took the connection and sent nothing in time.
    Unanswered,
    /// It took no connection in time.
    Unreachable,
}

impl Contact {
    /// Returns the contact as a label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Replaced => "replaced",
            Self::Refused => "refused",
            Self::Rejected => "rejected",
            Self::Unanswered => "unanswered",
            Self::Unreachable => "unreachable",
        }
    }

    /// Returns whether this shows that an endpoint known to be silent is still silent.
    ///
    /// Endpoints close connections above a bound. Where the probe `may_wait` for a slot, the lack of an answer
    /// may mean that the endpoint is busy. Neither keeps an endpoint out of use, since no request of a caller could
    /// end the finding.
    pub fn is_silence(self, may_wait: bool) -> bool {
        match self {
            Self::Unreachable => true,
            Self::Unanswered => !may_wait,
            Self::Answered | Self::Replaced | Self::Refused | Self::Rejected => false,
        }
    }
}
