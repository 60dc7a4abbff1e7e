//! Names of the HTTP headers exchanged with clients and upstreams.

use hyper::header::HeaderName;

/// Id of a request; each attempt of a client has its own.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Remaining time for the request, in milliseconds: a duration, not a point in time.
pub const TIME_LEFT_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// API key of a client.
pub const API_KEY: HeaderName = HeaderName::from_static("x-api-key");
/// Client account, as sent to upstreams.
pub const ACCOUNT: HeaderName = HeaderName::from_static("x-tenant");
/// Id of the only upstream that may run the request.
pub const UPSTREAM_ID: HeaderName = HeaderName::from_static("x-target-instance");
/// Proof that the answer comes from an upstream.
pub const SEAL: HeaderName = HeaderName::from_static("x-server-seal");
/// Set by an upstream that did not run the request.
pub const NOT_RUN: HeaderName = HeaderName::from_static("x-not-executed");
/// Set by an upstream that is about to leave.
pub const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// Set by an upstream that falls over when it rejects more requests than this within a second.
pub const BRITTLE: HeaderName = HeaderName::from_static("server-brittle");
/// Set by an upstream in need: the requests per second that it takes from all boxes together.
pub const RATE_LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// Model to which a prompt is addressed.
pub const MODEL: HeaderName = HeaderName::from_static("x-model");
/// Lengths of a prompt and of its answer, in tokens.
pub const TOKENS: HeaderName = HeaderName::from_static("x-token-count");
/// Ids of the parts of a prompt.
pub const PARTS: HeaderName = HeaderName::from_static("x-prefix-hash");
/// Id of the last event received, when a stream is resumed.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Id of the request whose response began a stream, when its client resumes it.
pub const RESUMES: HeaderName = HeaderName::from_static("resumes");
/// Priority from 0 to 9; 0 is served first.
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// Weight version with which the request must run.
pub const WEIGHT_VERSION: HeaderName = HeaderName::from_static("expect-version");
/// Weight version with which the request was run.
pub const RAN_VERSION: HeaderName = HeaderName::from_static("versions");
/// Name under which cached context is looked up.
pub const CONTEXT_SCOPE: HeaderName = HeaderName::from_static("cache-salt");
/// Addresses from which to fetch cached context, one for each part.
pub const CONTEXT_SOURCES: HeaderName = HeaderName::from_static("kv-fetch");
/// Addresses of the stores in which to save context, one for each part.
pub const CONTEXT_DESTINATIONS: HeaderName = HeaderName::from_static("kv-save");
/// Time by the upstreams' clock at which a transfer is aborted.
pub const CONTEXT_UNTIL_MS: HeaderName = HeaderName::from_static("kv-until");

/// Headers that only the gateway may set on requests to an upstream; those of clients are
/// dropped.
pub const GATEWAY_ONLY: [HeaderName; 15] = [
    API_KEY,
    ACCOUNT,
    UPSTREAM_ID,
    TIME_LEFT_MS,
    PRIORITY,
    WEIGHT_VERSION,
    CONTEXT_SCOPE,
    CONTEXT_SOURCES,
    CONTEXT_DESTINATIONS,
    CONTEXT_UNTIL_MS,
    NOT_RUN,
    HeaderName::from_static("hold"),
    HeaderName::from_static("pin-ms"),
    HeaderName::from_static("kv-backup"),
    HeaderName::from_static("kv-from"),
];
