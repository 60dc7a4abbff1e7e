//! Names of the headers, on the clients' side and on the upstreams'.

use hyper::header::HeaderName;

/// Id of a request; each try of a client has its own.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Time that is left for the request, in milliseconds: a duration, not a
/// deadline.
pub const TIME_LEFT_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// A client's key.
pub const API_KEY: HeaderName = HeaderName::from_static("x-api-key");
/// Client account, as told to upstreams.
pub const ACCOUNT: HeaderName = HeaderName::from_static("x-tenant");
/// The one upstream that may run the request.
pub const UPSTREAM_ID: HeaderName = HeaderName::from_static("x-target-instance");
/// Proof that an upstream made the answer.
pub const SEAL: HeaderName = HeaderName::from_static("x-server-seal");
/// An upstream's word that it did not run the request.
pub const NOT_RUN: HeaderName = HeaderName::from_static("x-not-executed");
/// An upstream's word that it is about to leave.
pub const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// Model of a prompt.
pub const MODEL: HeaderName = HeaderName::from_static("x-model");
/// Lengths of a prompt and of its answer.
pub const TOKENS: HeaderName = HeaderName::from_static("x-token-count");
/// Parts of a prompt.
pub const PARTS: HeaderName = HeaderName::from_static("x-prefix-hash");
/// Last event that arrived, when a stream is taken up again.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Order of work, 0 to 9, 0 first.
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// Weight version that must run.
pub const WEIGHT_VERSION: HeaderName = HeaderName::from_static("expect-version");
/// Weight version that has run.
pub const RAN_VERSION: HeaderName = HeaderName::from_static("versions");
/// Name under which kept context is found.
pub const CONTEXT_SCOPE: HeaderName = HeaderName::from_static("cache-salt");
/// Sources of kept context, one for each part.
pub const CONTEXT_SOURCES: HeaderName = HeaderName::from_static("kv-fetch");
/// Stores that take context, one for each part.
pub const CONTEXT_DESTINATIONS: HeaderName = HeaderName::from_static("kv-save");
/// Moment on the upstreams' clock at which a transfer is given up.
pub const CONTEXT_UNTIL_MS: HeaderName = HeaderName::from_static("kv-until");

/// Headers that only we may set towards an upstream; a client's are dropped.
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
