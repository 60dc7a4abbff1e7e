//! What the heads of requests and answers say.

use crate::gateway::decisions::context::ContextPlan;
use crate::gateway::decisions::notice::Notice;
use crate::gateway::decisions::prompt::Prompt;

/// What a client's request says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Id of the request.
    pub request_id: Option<String>,
    /// Host, in lower case and without a port.
    pub host: Option<String>,
    /// Key of the client.
    pub api_key: Option<String>,
    /// Time that the client will wait.
    pub timeout_ms: Option<u64>,
    /// Prompt, when it describes one.
    pub prompt: Option<Prompt>,
}

/// What an upstream's answer says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Request that it answers.
    pub request_id: Option<String>,
    /// Whether the upstream vouches for it.
    pub sealed: bool,
    /// Whether the request was not run and never will be.
    pub not_run: bool,
    /// Incarnation that answers, when it is not the one that was meant.
    pub upstream_id: Option<String>,
    /// Weight version that ran.
    pub ran_version: Option<u64>,
    /// Whether the body is encoded, and so not the upstream's own.
    pub encoded: bool,
    /// What the upstream asks of this box from now on.
    pub notice: Notice,
}

/// What is set towards an upstream beside the client's own headers.
pub struct ForwardHead<'a> {
    /// Incarnation that may run the request.
    pub upstream_id: &'a str,
    /// Time that is left.
    pub remaining_ms: u64,
    /// Client account.
    pub account: Option<&'a str>,
    /// Order of work.
    pub priority: u8,
    /// Kept context.
    pub context: Option<&'a ContextPlan>,
    /// Moment on the upstreams' clock at which transfers are given up; without
    /// one nothing is fetched.
    pub transfers_until_ms: Option<u64>,
    /// Last event that the client has, when a stream is taken up again.
    pub last_event_id: Option<&'a str>,
}
