//! Decoded heads of requests and responses.

use crate::gateway::decisions::context::ContextPlan;
use crate::gateway::decisions::notice::Notice;
use crate::gateway::decisions::prompt::Prompt;
use crate::gateway::decisions::rate_limit::Rate;

/// What the head of a client's request says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    pub request_id: Option<String>,
    /// Host in lower case, without a port.
    pub host: Option<String>,
    pub api_key: Option<String>,
    /// How long the client will wait.
    pub timeout_ms: Option<u64>,
    /// The prompt, if the headers describe one.
    pub prompt: Option<Prompt>,
    /// The stream that the client resumes, if it has received events of one.
    pub resumed: Option<ResumedStream>,
}

/// How a client refers to a stream that it resumes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResumedStream {
    /// By the id of the request whose response began the stream.
    Named(String),
    /// Not at all; it only says which event it received last.
    Unnamed,
    /// By headers that are ambiguous or unreadable.
    Malformed,
}

/// How the end of a response body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By a length or a last chunk; also if there is no body.
    Delimited,
    /// By the end of the connection alone. If that is closed, the body may have been broken off.
    CloseDelimited,
}

/// What the head of a response says of the requests per second that its upstream takes.
/// The texts are logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum NamedRateLimit {
    /// none
    None,
    /// {0}
    Rate(Rate),
    /// unreadable
    Unreadable,
}

/// What the head of an upstream's response says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The request that it responds to.
    pub request_id: Option<String>,
    /// Whether the upstream vouches for the body.
    pub sealed: bool,
    /// Whether the request was not run and never will be.
    pub not_run: bool,
    /// The incarnation that responds, if it is not the intended one.
    pub upstream_id: Option<String>,
    /// Weight version that ran the request.
    pub ran_version: Option<u64>,
    /// Whether the body is encoded, which means that it is not the upstream's own.
    pub encoded: bool,
    pub framing: Framing,
    /// Whether the upstream is about to leave, or asks for a back-off.
    pub notice: Notice,
    /// Requests that the upstream may reject within a second, if it is brittle.
    pub max_rejections: Option<u64>,
    /// How many requests the upstream takes from all boxes together.
    pub rate_limit: NamedRateLimit,
}

/// What the gateway adds to the client's headers when it forwards a request.
pub struct ForwardHead<'a> {
    /// The incarnation that may run the request.
    pub upstream_id: &'a str,
    /// Time left until the deadline.
    pub remaining_ms: u64,
    pub account: Option<&'a str>,
    /// Scheduling priority at the engine; lower values run first.
    pub priority: u8,
    /// Where the engine fetches cached context from, and saves it to.
    pub context: Option<&'a ContextPlan>,
    /// When transfers are aborted, by the upstreams' clock. Without it nothing is fetched.
    pub transfers_until_ms: Option<u64>,
    /// The last event that the client has received, if a stream is resumed.
    pub last_event_id: Option<&'a str>,
}
