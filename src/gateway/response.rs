//! Responses to clients: an upstream's, forwarded, or the gateway's own refusal.

use bytes::Bytes;
use futures_util::{future, stream};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body as HttpBody, Frame};
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Response, StatusCode, Version, header};

use crate::gateway::heads::Framing;
use crate::guarded_body::GuardedBody;
use crate::platform::exchange;

/// Why a response body was aborted. The client's connection is closed, so that the response does
/// not look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum BodyAborted {
    /// the upstream broke off
    Upstream,
    /// the time is over
    TimeOver,
}

impl std::error::Error for BodyAborted {}

pub type Body = UnsyncBoxBody<Bytes, BodyAborted>;

pub type ClientResponse = Response<Body>;

/// Why the gateway refuses or fails a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Reason {
    /// bad request
    BadRequest,
    /// unknown key
    UnknownKey,
    /// no route
    NoRoute,
    /// body too long
    BodyTooLong,
    /// body incomplete
    BodyIncomplete,
    /// body not received in time
    BodyStalled,
    /// no room for the request
    NoRoom,
    /// not ready
    NotReady,
    /// this box stops before it is sure to end
    Stopping,
    /// no upstream
    NoUpstream,
    /// upstreams full
    UpstreamsFull,
    /// upstreams at their rate limits
    RateLimited,
    /// all halls are evacuated
    Evacuated,
    /// upstreams crash under it
    Quarantined,
    /// upstreams may have crashed under it
    Withheld,
    /// upstreams crash under a part of its prompt
    PartQuarantined,
    /// a part of its prompt is on trial
    PartOnTrial,
    /// not known where the stream began
    OriginUnknown,
    /// no answer about where the stream began
    OriginUnanswered,
    /// not confirmed which software may have begun the stream
    OriginUnconfirmed,
    /// no upstream has the software of the stream
    SoftwareGone,
    /// all software is too new to begin a stream
    SoftwareNew,
    /// deadline passed
    DeadlinePassed,
    /// upstream failed
    UpstreamFailed,
    /// upstream silent
    UpstreamSilent,
}

impl Reason {
    /// Status of the response. 408 and 503 mean that the request has not run and never will; 502 and 504
    /// leave open whether it ran.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest | Self::BodyIncomplete => StatusCode::BAD_REQUEST,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyStalled => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoom
            | Self::NotReady
            | Self::Stopping
            | Self::NoUpstream
            | Self::UpstreamsFull
            | Self::RateLimited
            | Self::Evacuated
            | Self::Quarantined
            | Self::Withheld
            | Self::PartQuarantined
            | Self::PartOnTrial
            | Self::OriginUnknown
            | Self::OriginUnanswered
            | Self::OriginUnconfirmed
            | Self::SoftwareGone
            | Self::SoftwareNew
            | Self::DeadlinePassed => StatusCode::SERVICE_UNAVAILABLE,
            Self::UpstreamFailed => StatusCode::BAD_GATEWAY,
            Self::UpstreamSilent => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// The gateway's own response to a request that it refuses or fails.
#[must_use]
pub fn refusal(
    reason: Reason,
    request_id: Option<&str>,
    retry_after_ms: Option<u64>,
) -> ClientResponse {
    let mut response = Response::new(full_body(Bytes::from(format!("{reason}\n"))));
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(request_id) = request_id {
        exchange::set_request_id(headers, request_id);
    }
    if let Some(after_ms) = retry_after_ms {
        exchange::set_retry_after(headers, after_ms);
    }
    response
}

/// A response with an upstream's status and headers. A close-delimited body stays so, since a length
/// or a last chunk would vouch for an end that the upstream has not marked.
#[must_use]
pub fn from_upstream(
    status: StatusCode,
    upstream_headers: &HeaderMap,
    framing: Framing,
    body: Body,
) -> ClientResponse {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    for (name, value) in exchange::end_to_end_headers(upstream_headers) {
        response.headers_mut().append(name, value.clone());
    }
    if framing == Framing::CloseDelimited {
        // The HTTP library sends a body without chunks only in this version.
        *response.version_mut() = Version::HTTP_10;
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Whether the end of a response's body is marked by the end of the connection alone, when it is
/// sent to a client that speaks `client_version`.
#[must_use]
pub fn is_close_delimited(client_version: Version, response: &ClientResponse) -> bool {
    let has_chunks = client_version >= Version::HTTP_11 && response.version() >= Version::HTTP_11;
    !has_chunks && response.body().size_hint().exact().is_none()
}

/// A body that is already complete.
#[must_use]
pub fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// A body that is already complete, with a length only if it is to be delimited by it.
#[must_use]
pub fn buffered_body(bytes: Bytes, framing: Framing) -> Body {
    match framing {
        Framing::Delimited => full_body(bytes),
        Framing::CloseDelimited => {
            let frame = Ok(Frame::data(bytes));
            StreamBody::new(stream::once(future::ready(frame))).boxed_unsync()
        }
    }
}

/// Keeps `guard` alive until `body` has been sent.
pub fn with_guard<T: Unpin + Send + 'static>(body: Body, guard: T) -> Body {
    GuardedBody::new(body, guard).boxed_unsync()
}
