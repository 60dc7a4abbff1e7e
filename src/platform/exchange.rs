//! Converts the heads of HTTP requests and answers to and from the types of the gateway.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::uri::Authority;
use hyper::{Method, Request, StatusCode, Uri};

use crate::gateway::decisions::context::{ContextPlan, PartSource};
use crate::gateway::decisions::notice::Notice;
use crate::gateway::decisions::prompt::Prompt;
use crate::gateway::decisions::rate_limit::Rate;
use crate::gateway::heads::{
    ForwardHead, Framing, NamedRateLimit, RequestHead, ResponseHead, ResumedStream,
};
use crate::platform::headers;

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Longest id by which a client may name a request.
const MAX_REQUEST_ID_BYTES: usize = 1024;

/// Decodes the head of a client's request.
#[must_use]
pub fn request_head(uri: &Uri, head: &HeaderMap) -> RequestHead {
    let host = text(head, &header::HOST).or_else(|| uri.authority().map(Authority::as_str));
    let prompt = match (
        text(head, &headers::MODEL),
        text(head, &headers::TOKENS),
        text(head, &headers::PARTS),
    ) {
        (Some(model), Some(lengths), Some(parts)) => Prompt::parse(model, lengths, parts),
        _ => None,
    };
    RequestHead {
        request_id: text(head, &headers::REQUEST_ID).map(str::to_owned),
        host: host.map(|host| host.split(':').next().unwrap_or(host).to_ascii_lowercase()),
        api_key: text(head, &headers::API_KEY).map(str::to_owned),
        timeout_ms: text(head, &headers::TIME_LEFT_MS).and_then(parse_ms),
        prompt,
        resumed: resumed_stream(head),
    }
}

/// The stream that a client resumes. Without the id of an event, it has received none.
fn resumed_stream(head: &HeaderMap) -> Option<ResumedStream> {
    let mut last_events = head.get_all(&headers::LAST_EVENT_ID).iter();
    let last_event = last_events.next()?;
    if last_events.next().is_some() {
        return Some(ResumedStream::Malformed);
    }
    if last_event.is_empty() {
        return None;
    }
    let mut names = head.get_all(&headers::RESUMES).iter();
    let Some(name) = names.next() else { return Some(ResumedStream::Unnamed) };
    let is_single = names.next().is_none();
    match name.to_str() {
        Ok(name) if is_single && (1..=MAX_REQUEST_ID_BYTES).contains(&name.len()) => {
            Some(ResumedStream::Named(name.to_owned()))
        }
        _ => Some(ResumedStream::Malformed),
    }
}

/// Builds the request that is sent to an upstream.
#[must_use]
pub fn upstream_request(
    method: &Method,
    target: &Uri,
    client_head: &HeaderMap,
    body: &Bytes,
    forward: &ForwardHead<'_>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body.clone()));
    *request.method_mut() = method.clone();
    *request.uri_mut() = target.clone();
    let head = request.headers_mut();
    for (name, value) in end_to_end_headers(client_head) {
        let is_set_here = headers::GATEWAY_ONLY.contains(name) || *name == header::CONTENT_LENGTH;
        if !is_set_here && *name != header::EXPECT {
            head.append(name, value.clone());
        }
    }
    if !body.is_empty() || client_head.contains_key(header::CONTENT_LENGTH) {
        head.insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
    }
    set(head, headers::UPSTREAM_ID, forward.upstream_id);
    head.insert(headers::TIME_LEFT_MS, HeaderValue::from(forward.remaining_ms));
    head.insert(headers::PRIORITY, HeaderValue::from(u16::from(forward.priority.min(9))));
    if let Some(account) = forward.account {
        set(head, headers::ACCOUNT, account);
    }
    if let Some(event) = forward.last_event_id {
        set(head, headers::LAST_EVENT_ID, event);
    }
    if let Some(context) = forward.context {
        set_context(head, context, forward.transfers_until_ms);
    }
    request
}

/// Builds a request to which the upstream with this id replies at once while it runs, and no other does.
#[must_use]
pub fn liveness_request(upstream_id: &str) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static("/coursestile/report");
    let head = request.headers_mut();
    head.insert(header::HOST, HeaderValue::from_static("upstream"));
    set(head, headers::UPSTREAM_ID, upstream_id);
    request
}

/// Sets the headers that tell an engine which context to fetch and where to save it.
fn set_context(head: &mut HeaderMap, context: &ContextPlan, until_ms: Option<u64>) {
    set(head, headers::CONTEXT_SCOPE, &context.scope);
    head.insert(headers::WEIGHT_VERSION, HeaderValue::from(context.version));
    let fetches = context.sources.iter().any(|source| matches!(source, PartSource::Remote { .. }));
    if let Some(until_ms) = until_ms.filter(|_| fetches) {
        let sources = context.sources.iter().map(|source| match source {
            PartSource::Prefill => None,
            PartSource::Local { alternate_address } => {
                alternate_address.as_deref().filter(|_| context.per_part_sources)
            }
            PartSource::Remote { address, .. } => Some(address.as_str()),
        });
        set(head, headers::CONTEXT_SOURCES, &addresses(context, sources));
        head.insert(headers::CONTEXT_UNTIL_MS, HeaderValue::from(until_ms));
    }
    if context.saves.iter().any(Option::is_some) {
        let saves =
            context.saves.iter().map(|save| save.as_ref().map(|save| save.address.as_str()));
        set(head, headers::CONTEXT_DESTINATIONS, &addresses(context, saves));
    }
}

/// Formats addresses for a header: one for each part, or `-` where there is none. For an engine
/// that takes one address for the whole prompt, it is the first one.
fn addresses<'a>(context: &ContextPlan, parts: impl Iterator<Item = Option<&'a str>>) -> String {
    if context.per_part_sources {
        let parts: Vec<&str> = parts.map(|address| address.unwrap_or("-")).collect();
        return parts.join(",");
    }
    parts.flatten().next().unwrap_or("-").to_owned()
}

/// Decodes the head of an upstream's answer.
#[must_use]
pub fn answer_head(status: StatusCode, head: &HeaderMap) -> ResponseHead {
    let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
    ResponseHead {
        request_id: text(head, &headers::REQUEST_ID).map(str::to_owned),
        sealed: head.contains_key(headers::SEAL),
        not_run: misdirected || head.contains_key(headers::NOT_RUN),
        upstream_id: text(head, &HeaderName::from_static("x-instance-id")).map(str::to_owned),
        ran_version: text(head, &headers::RAN_VERSION).and_then(|version| version.parse().ok()),
        encoded: head.contains_key(header::CONTENT_ENCODING),
        framing: framing(head),
        max_rejections: text(head, &headers::BRITTLE).and_then(|text| text.trim().parse().ok()),
        rate_limit: rate_limit(head),
        notice: Notice { leaving: is_leaving(head), backoff_ms: backoff_ms(status, head) },
    }
}

/// The limit that the upstream names; the lowest if it names several.
fn rate_limit(head: &HeaderMap) -> NamedRateLimit {
    let texts = head.get_all(headers::RATE_LIMIT).iter().flat_map(|value| {
        let text = value.to_str().unwrap_or_default();
        text.split(',')
    });
    let parse = |text: &str| text.trim().parse().ok().and_then(Rate::from_per_s);
    let rates: Option<Vec<Rate>> = texts.map(parse).collect();
    match rates.map(|rates| rates.into_iter().min()) {
        Some(Some(rate)) => NamedRateLimit::Rate(rate),
        Some(None) => NamedRateLimit::None,
        None => NamedRateLimit::Unreadable,
    }
}

/// How the end of a body that follows the head is marked.
fn framing(head: &HeaderMap) -> Framing {
    let encoding = head.get_all(header::TRANSFER_ENCODING).iter().next_back();
    let is_delimited = match encoding.map(|encoding| encoding.to_str().unwrap_or_default()) {
        Some(encodings) => {
            let last = encodings.rsplit(',').next().unwrap_or_default();
            last.trim().eq_ignore_ascii_case("chunked")
        }
        None => head.contains_key(header::CONTENT_LENGTH),
    };
    if is_delimited { Framing::Delimited } else { Framing::CloseDelimited }
}

/// Whether the sender closes the connection after this answer.
#[must_use]
pub fn announces_close(head: &HeaderMap) -> bool {
    text(head, &header::CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close"))
}

/// Whether the upstream announces that it is about to leave.
fn is_leaving(head: &HeaderMap) -> bool {
    text(head, &headers::LEAVING).is_some_and(|value| value.trim() == "1")
}

/// How long an upstream that refuses a request asks not to be sent others. The header gives
/// seconds, possibly with a fraction.
fn backoff_ms(status: StatusCode, head: &HeaderMap) -> Option<u64> {
    let retry_after = text(head, &header::RETRY_AFTER);
    let text = retry_after.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE)?;
    let seconds = text.trim().parse::<f64>().ok().filter(|seconds| seconds.is_finite());
    if seconds.is_none() {
        log::debug!(target: "exchange", "event=retry_after_unreadable value=\"{text}\"");
    }
    seconds.map(|seconds| crate::platform::http::floor_ms((seconds * 1000.0).ceil()))
}

/// The headers that are forwarded: all except those that apply to a single connection, which
/// are [`HOP_BY_HOP`] and those that the `Connection` header lists, and a length that is overridden by
/// a transfer encoding (RFC 9112, section 6.3).
pub fn end_to_end_headers(head: &HeaderMap) -> impl Iterator<Item = (&HeaderName, &HeaderValue)> {
    let connection_headers: Vec<String> = head
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let is_length_overridden = head.contains_key(header::TRANSFER_ENCODING);
    head.iter().filter(move |(name, _)| {
        !HOP_BY_HOP.contains(name)
            && (!is_length_overridden || *name != header::CONTENT_LENGTH)
            && !connection_headers.iter().any(|listed| listed == name.as_str())
    })
}

/// Sets after which time a refused client may retry, in seconds with three decimals.
pub fn set_retry_after(head: &mut HeaderMap, after_ms: u64) {
    let seconds = format!("{}.{:03}", after_ms / 1000, after_ms % 1000);
    set(head, header::RETRY_AFTER, &seconds);
}

/// Sets the id of the request to which an answer of the gateway belongs.
pub fn set_request_id(head: &mut HeaderMap, request_id: &str) {
    set(head, headers::REQUEST_ID, request_id);
}

/// Sets a header; a value that no header can have is logged and left out.
fn set(head: &mut HeaderMap, name: HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            head.insert(name, value);
        }
        Err(error) => {
            log::warn!(target: "exchange", "event=header_left_out name={name} cause=\"{error}\"");
        }
    }
}

/// The value of a header, if it is text.
fn text<'a>(head: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    head.get(name).and_then(|value| value.to_str().ok())
}

/// Parses milliseconds, possibly with a fraction, which is dropped.
fn parse_ms(text: &str) -> Option<u64> {
    text.trim().parse::<f64>().ok().filter(|ms| *ms >= 0.0).map(crate::platform::http::floor_ms)
}
