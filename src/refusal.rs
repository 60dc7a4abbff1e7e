//! Refusals of calls, each with what is known about whether the call has run.

use serde::{Deserialize, Serialize};

/// Whether a refused call has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, displaydoc::Display)]
pub enum Ran {
    /// not run
    NotRun,
    /// outcome unknown
    Unknown,
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, displaydoc::Display)]
pub enum Reason {
    /// the API key is missing or not in force
    BadKey,
    /// the request is malformed
    BadRequest,
    /// the request is too long
    TooLong,
    /// the client account may not use this model or version
    ModelNotAllowed,
    /// the client account has no share of the fleet
    NoShare,
    /// no upstream serves this
    NoUpstream,
    /// all upstreams of this service want no calls for a while
    UpstreamsRest,
    /// the fleet is busy and the request would wait past its deadline
    Overloaded,
    /// the deadline has passed
    DeadlinePassed,
    /// the upstream failed
    UpstreamFailed,
    /// upstreams crash under this request
    Quarantined,
    /// the retry budget is spent
    RetryBudget,
    /// this box has no configuration yet
    NotReady,
    /// this box is stopping
    Stopping,
    /// the ticket is not valid
    BadTicket,
    /// the ticket has expired
    TicketExpired,
    /// the key was used for another call
    KeyMismatch,
    /// the client account holds too many keys
    TooManyKeys,
    /// the box that may spend this ticket cannot be reached
    SpenderUnreachable,
    /// the call was cancelled
    Cancelled,
    /// nothing by this name
    NotFound,
    /// the box has no room for the request
    NoRoom,
    /// the body did not arrive in time
    BodyStalled,
}

impl Reason {
    /// HTTP status of the refusal.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::BadTicket => 400,
            Self::BadKey => 401,
            Self::ModelNotAllowed | Self::NoShare => 403,
            Self::NotFound => 404,
            Self::BodyStalled => 408,
            Self::Cancelled | Self::KeyMismatch => 409,
            Self::TooLong => 413,
            Self::Overloaded | Self::TooManyKeys => 429,
            Self::UpstreamFailed | Self::SpenderUnreachable | Self::TicketExpired => 502,
            Self::NoRoom
            | Self::NoUpstream
            | Self::NotReady
            | Self::Quarantined
            | Self::RetryBudget
            | Self::Stopping
            | Self::UpstreamsRest => 503,
            Self::DeadlinePassed => 504,
        }
    }

    /// Name in answers and metrics.
    #[must_use]
    pub fn name(self) -> String {
        let mut name = String::new();
        for character in format!("{self:?}").chars() {
            if character.is_ascii_uppercase() && !name.is_empty() {
                name.push('_');
            }
            name.push(character.to_ascii_lowercase());
        }
        name
    }
}

/// A refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the call has run.
    pub ran: Ran,
    /// Reason of the refusal.
    pub reason: Reason,
    /// When to retry, in Unix milliseconds; `None` if a retry is pointless.
    pub retry_at_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal of a call that has not run.
    #[must_use]
    pub fn not_run(reason: Reason) -> Self {
        Self { ran: Ran::NotRun, reason, retry_at_ms: None }
    }

    /// Creates a refusal of a call that may have run.
    #[must_use]
    pub fn unknown(reason: Reason) -> Self {
        Self { ran: Ran::Unknown, reason, retry_at_ms: None }
    }

    /// Sets the time at which to retry.
    #[must_use]
    pub fn retry_at(self, retry_at_ms: u64) -> Self {
        Self { retry_at_ms: Some(retry_at_ms), ..self }
    }
}
