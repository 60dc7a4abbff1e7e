//! Checks a request: its route, its key, its body.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Uri, header};
use tokio::time::timeout;

use crate::fingerprint::Fingerprint;
use crate::gateway::attempt::OutgoingRequest;
use crate::gateway::decisions::incarnation::Incarnation;
use crate::gateway::decisions::prompt::Prompt;
use crate::gateway::decisions::site::{Account, Route, Site};
use crate::gateway::heads::RequestHead;
use crate::gateway::kernel::Gateway;
use crate::gateway::response::Reason;

/// Time that a client without a deadline of its own will wait.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;
/// Longest time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a request waits for the first configuration.
const FIRST_CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(250);

/// A request that has been checked.
#[derive(Clone)]
pub struct AdmittedRequest {
    /// As it is sent.
    pub outgoing: OutgoingRequest,
    /// Prompt, when it has one.
    pub prompt: Option<Prompt>,
    /// Service.
    pub service: String,
    /// Its route.
    pub route: Route,
    /// Version of the configuration that it was admitted under.
    pub config_version: u64,
    /// Account whose context is kept apart.
    pub isolated_account: Option<String>,
    /// When it arrived.
    pub arrived_at_ms: u64,
    /// Upstreams that it was sent to.
    pub tried: Vec<Incarnation>,
    /// Attempts that count: the upstream that was meant got the request.
    pub attempts_made: u32,
    /// Attempts that reached nobody, or another than was meant.
    pub undelivered_attempts: u32,
    /// Whether an attempt may have run.
    pub may_have_run: bool,
}

impl AdmittedRequest {
    /// Notes an attempt that counts.
    pub fn record_attempt(&mut self, upstream: &Incarnation) {
        self.tried.push(upstream.clone());
        self.attempts_made += 1;
    }

    /// The request, to be carried on elsewhere.
    #[must_use]
    pub fn detach(&mut self) -> Self {
        Self { tried: std::mem::take(&mut self.tried), ..self.clone() }
    }
}

/// Checks a request and reads its body.
///
/// # Errors
/// Fails with why the request is refused; it has reached nobody.
pub async fn validate(
    gateway: &Gateway,
    head: &RequestHead,
    parts: hyper::http::request::Parts,
    body: Incoming,
    arrived_at_ms: u64,
) -> Result<AdmittedRequest, Reason> {
    let site = wait_for_configuration(gateway).await.ok_or(Reason::NotReady)?;
    if has_ambiguous_framing(&parts.headers) {
        return Err(Reason::BadRequest);
    }
    let (Some(host), Some(request_id)) = (&head.host, &head.request_id) else {
        return Err(Reason::BadRequest);
    };
    let target = parts.uri.path_and_query().cloned().map(Uri::from).ok_or(Reason::BadRequest)?;
    let route = site.route(host, target.path()).ok_or(Reason::NoRoute)?.clone();
    let account = authenticate(&site, &route, head)?.cloned();
    let bytes = read_body(&site, body).await?;
    // A change may have come into force while the body arrived.
    let service = route.service(routing_hash(request_id)).ok_or(Reason::NoUpstream)?;
    let timeout_ms = head.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
    let priority = account.as_ref().and_then(|one| one.priority).unwrap_or(route.priority);
    let isolated = account.as_ref().filter(|one| one.isolated);
    let waited_ms = gateway.state().usual_limits.waited_ms(arrived_at_ms, &route.name, timeout_ms);
    let objective_at_ms = (arrived_at_ms + route.latency_objective_ms).saturating_sub(waited_ms);
    Ok(AdmittedRequest {
        prompt: head.prompt.clone(),
        service: service.to_owned(),
        config_version: site.version,
        isolated_account: isolated.map(|one| one.name.clone()),
        arrived_at_ms,
        tried: Vec::new(),
        attempts_made: 0,
        undelivered_attempts: 0,
        may_have_run: false,
        outgoing: OutgoingRequest {
            request_id: request_id.clone(),
            fingerprint: Fingerprint::new(
                account.as_ref().map_or("", |one| &one.name),
                &[
                    parts.method.as_str(),
                    host,
                    target.path_and_query().map_or("", |one| one.as_str()),
                ],
                &bytes,
            ),
            method: parts.method,
            target,
            headers: parts.headers,
            body: bytes,
            account: account.map(|one| one.name),
            priority,
            repeat: route.repeat,
            deadline_ms: arrived_at_ms + timeout_ms.min(route.timeout_ms),
            objective_at_ms,
        },
        route,
    })
}

/// The configuration in force; a box that has just started waits for it a
/// little, since it takes some round trips.
async fn wait_for_configuration(gateway: &Gateway) -> Option<Arc<Site>> {
    let known = gateway.state().site.clone();
    if known.is_some() {
        return known;
    }
    let mut changed = gateway.upstreams_changed.subscribe();
    // After the time-out, what is known now decides.
    let _ = timeout(FIRST_CONFIGURATION_TIMEOUT, changed.changed()).await;
    gateway.state().site.clone()
}

/// A number that spreads requests evenly over the targets of a route.
fn routing_hash(request_id: &str) -> u64 {
    let mut bytes = [0; 8];
    blake3::Hasher::new().update(request_id.as_bytes()).finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}

/// Whether it is open where the request's body ends.
fn has_ambiguous_framing(headers: &HeaderMap) -> bool {
    let lengths = headers.get_all(header::CONTENT_LENGTH).iter().count();
    let encodings = headers.get_all(header::TRANSFER_ENCODING).iter().count();
    lengths + encodings > 1 || headers.get_all(header::HOST).iter().count() > 1
}

fn authenticate<'a>(
    site: &'a Site,
    route: &Route,
    head: &RequestHead,
) -> Result<Option<&'a Account>, Reason> {
    let account = head.api_key.as_deref().and_then(|key| site.account(key));
    if account.is_none() && site.asks_for_keys() && !route.public {
        return Err(Reason::UnknownKey);
    }
    Ok(account)
}

async fn read_body(site: &Site, body: Incoming) -> Result<Bytes, Reason> {
    let limited = Limited::new(body, site.limits.max_body_bytes);
    match timeout(BODY_TIMEOUT, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Reason::BodyTooLong)
        }
        Ok(Err(_)) | Err(_) => Err(Reason::BodyIncomplete),
    }
}
