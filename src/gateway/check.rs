//! Validates a request: its framing, route, API key and body.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyDataStream;
use hyper::body::{Body as _, Incoming};
use hyper::{HeaderMap, Uri, header};
use tokio::time::{sleep, timeout};

use crate::box_phase::BoxPhase;
use crate::client_connections::{BodyError, ClientRequest, ReceivedBody};
use crate::clock::now_ms;
use crate::fingerprint::Fingerprint;
use crate::gateway::attempt::OutgoingRequest;
use crate::gateway::decisions::configuration::{Account, Configuration, RetryPolicy, Route};
use crate::gateway::decisions::incarnation::Incarnation;
use crate::gateway::decisions::prompt::Prompt;
use crate::gateway::decisions::returns::{Arriving, Class, Standing};
use crate::gateway::decisions::stream_origins::{StreamId, StreamOrigin};
use crate::gateway::decisions::upstream::Upstream;
use crate::gateway::heads::{RequestHead, ResumedStream};
use crate::gateway::held_request::HeldRequest;
use crate::gateway::kernel::Gateway;
use crate::gateway::origins::{self, FoundOrigin};
use crate::gateway::request_log::{log_origin_guessed, log_resumed_by_client};
use crate::gateway::response::Reason;
use crate::names::short_id;
use crate::part_key::PartKey;
use crate::request_content::RequestContent;

/// Timeout of a request whose client sends none.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;
/// Longest time for which a client is taken to wait.
const MAX_CLIENT_TIMEOUT_MS: u64 = 600_000;
/// Time in which a body still arrives once the box drains.
const DRAIN_BODY_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a request waits for the first configuration after the start of the box.
const FIRST_CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(250);

/// A request that was validated and admitted.
#[derive(Clone)]
pub struct AdmittedRequest {
    /// The request as it is sent to upstreams.
    pub outgoing: OutgoingRequest,
    /// The prompt, if the request describes one.
    pub prompt: Option<Prompt>,
    pub service: String,
    /// The requests with which it shares capacity.
    pub class: Class,
    /// Whether it is a retry that takes precedence.
    pub standing: Standing,
    pub route: Route,
    /// Version of the configuration under which it was admitted.
    pub config_version: u64,
    /// Regions to which its account was restricted then; empty if it was not.
    pub account_regions: Vec<String>,
    pub arrived_at_ms: u64,
    /// When its client stops waiting, as it says.
    pub client_deadline_ms: u64,
    /// The stream that it begins or resumes.
    pub stream: StreamId,
    /// Where the stream began, once its client has received an event of it.
    pub origin: Option<StreamOrigin>,
    /// Whether that was concluded from there being one version only. Others are not told then.
    pub is_origin_guessed: bool,
    /// Upstreams that it has been sent to.
    pub tried: Vec<Incarnation>,
    /// Attempts that count towards the route's limit: the intended upstream may have received them.
    pub attempts_made: u32,
    /// Attempts that reached no upstream, or another incarnation than the intended one.
    pub undelivered_attempts: u32,
    /// Whether any attempt may have run.
    pub may_have_run: bool,
    /// Counts its body until there is a response.
    pub held_request: Option<Arc<HeldRequest>>,
}

impl AdmittedRequest {
    /// Records an attempt that counts towards the route's limit.
    pub fn record_attempt(&mut self, upstream: &Incarnation) {
        self.tried.push(upstream.clone());
        self.attempts_made += 1;
    }

    /// Whether it has been sent to an upstream.
    #[must_use]
    pub fn has_tried(&self, upstream: &Upstream) -> bool {
        self.tried.iter().any(|tried| upstream.is_incarnation(tried))
    }

    /// Whether its response is a stream that may be resumed.
    #[must_use]
    pub fn is_resumable(&self) -> bool {
        self.outgoing.retry_policy == RetryPolicy::StreamResumable
    }

    /// Moves the request out, to be continued in a stream.
    #[must_use]
    pub fn detach(&mut self) -> Self {
        Self { tried: std::mem::take(&mut self.tried), ..self.clone() }
    }
}

/// Validates a request and reads its body.
///
/// # Errors
/// Fails with the reason for refusing the request; no upstream has received it.
pub async fn validate(
    gateway: &Gateway,
    client: &ClientRequest,
    head: &RequestHead,
    parts: hyper::http::request::Parts,
    body: Incoming,
    arrived_at_ms: u64,
) -> Result<AdmittedRequest, Reason> {
    let configuration = wait_for_configuration(gateway).await.ok_or(Reason::NotReady)?;
    if has_ambiguous_framing(&parts.headers) {
        return Err(Reason::BadRequest);
    }
    let (Some(host), Some(request_id)) = (&head.host, &head.request_id) else {
        return Err(Reason::BadRequest);
    };
    let target = parts.uri.path_and_query().cloned().map(Uri::from).ok_or(Reason::BadRequest)?;
    let route = configuration.route(host, target.path()).ok_or(Reason::NoRoute)?.clone();
    let account = authenticate(&configuration, &route, head)?.cloned();
    let account_id = short_id(account.as_ref().map_or("", |account| &account.name));
    let body = read_body(gateway, client, configuration.limits.max_body_bytes, body).await?;
    let held_request = HeldRequest::reserve(gateway, account_id, body.len()).await?;
    client.begin_serving().map_err(|_| Reason::NoRoom)?;
    let account_name = account.as_ref().map(|account| account.name.as_str());
    let stream = StreamId::new(account_name.unwrap_or_default(), began_as(head, request_id));
    let certain = match &head.resumed {
        Some(resumed) if route.retry_policy == RetryPolicy::StreamResumable => {
            let found = match resumed {
                ResumedStream::Named(_) => origins::find(gateway, stream).await,
                ResumedStream::Unnamed => FoundOrigin::Unknown,
                ResumedStream::Malformed => return Err(Reason::BadRequest),
            };
            log_resumed_by_client(request_id, resumed, found);
            Some(certain_origin(gateway, &route, request_id, found).await?)
        }
        Some(_) | None => None,
    };
    let (origin, is_origin_guessed) = certain.unzip();
    // Chosen only now, since a configuration change may have come into force while the body
    // arrived.
    let service = match origin {
        Some(origin) => route.service_by_short_id(origin.service),
        None => route.service(routing_hash(request_id)),
    };
    let service = service.ok_or(Reason::NoUpstream)?;
    let timeout_ms = head.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
    let priority = account.as_ref().and_then(|account| account.priority).unwrap_or(route.priority);
    let isolated_account = account.as_ref().filter(|account| account.isolated);
    let target_text = target.path_and_query().map_or("", |target| target.as_str());
    let fingerprint = Fingerprint::new(
        account_name.unwrap_or_default(),
        &[parts.method.as_str(), host, target_text],
        &body,
    );
    let rank = configuration.higher_priority_ranks(service, route.priority);
    let class = Class { service: short_id(service), rank };
    let (waited_ms, standing) = {
        let mut state = gateway.state();
        let elapsed_ms = state.route_timeouts.elapsed_ms(arrived_at_ms, &route.name, timeout_ms);
        let timeout_ms = timeout_ms.min(route.timeout_ms);
        let arriving = Arriving { class, fingerprint, route: &route.name, timeout_ms };
        (elapsed_ms, state.returns.arrive(arrived_at_ms, arriving))
    };
    let objective_at_ms = (arrived_at_ms + route.latency_objective_ms).saturating_sub(waited_ms);
    Ok(AdmittedRequest {
        prompt: head.prompt.clone(),
        service: service.to_owned(),
        class,
        standing,
        config_version: configuration.version,
        account_regions: account
            .as_ref()
            .map(|account| account.allowed_regions.clone())
            .unwrap_or_default(),
        arrived_at_ms,
        client_deadline_ms: arrived_at_ms + timeout_ms.min(MAX_CLIENT_TIMEOUT_MS),
        stream,
        origin,
        is_origin_guessed: is_origin_guessed.unwrap_or_default(),
        tried: Vec::new(),
        attempts_made: 0,
        undelivered_attempts: 0,
        may_have_run: false,
        held_request,
        outgoing: OutgoingRequest {
            request_id: request_id.clone(),
            content: RequestContent {
                fingerprint,
                account: account_id,
                parts: shared_part_keys(head.prompt.as_ref(), isolated_account),
            },
            trial: None,
            method: parts.method,
            target,
            headers: parts.headers,
            body,
            account: account.map(|account| account.name),
            priority,
            retry_policy: route.retry_policy,
            resumes: origin.is_some(),
            deadline_ms: arrived_at_ms + timeout_ms.min(route.timeout_ms),
            objective_at_ms,
        },
        route,
    })
}

/// The shared parts of a prompt, as crashes are put down to them: whatever the service, and under any
/// weights.
fn shared_part_keys(prompt: Option<&Prompt>, isolated_account: Option<&Account>) -> Arc<[PartKey]> {
    let Some(prompt) = prompt else { return Arc::default() };
    let account = isolated_account.map_or("", |account| &account.name);
    let scope = format!("{}/{account}", prompt.model);
    prompt.shared_parts().iter().map(|part| PartKey::new(&scope, &part.id)).collect()
}

/// The configuration in force. A box that has just started waits for it briefly, since fetching it
/// takes a few round trips.
async fn wait_for_configuration(gateway: &Gateway) -> Option<Arc<Configuration>> {
    let known = gateway.state().configuration.clone();
    if known.is_some() {
        return known;
    }
    let mut changed = gateway.upstreams_changed.subscribe();
    // On a timeout the state read below decides.
    let _ = timeout(FIRST_CONFIGURATION_TIMEOUT, changed.changed()).await;
    gateway.state().configuration.clone()
}

/// The id of the request whose response begins or began the stream.
fn began_as<'a>(head: &'a RequestHead, request_id: &'a str) -> &'a str {
    match &head.resumed {
        Some(ResumedStream::Named(began_as)) => began_as,
        Some(ResumedStream::Unnamed | ResumedStream::Malformed) | None => request_id,
    }
}

/// Where the stream began that a client resumes: where it was found to have begun, or else could only
/// have begun; and whether the latter was concluded.
async fn certain_origin(
    gateway: &Gateway,
    route: &Route,
    request_id: &str,
    found: FoundOrigin,
) -> Result<(StreamOrigin, bool), Reason> {
    let reason = match found {
        FoundOrigin::Known(origin) => return Ok((origin, false)),
        FoundOrigin::Unknown => Reason::OriginUnknown,
        FoundOrigin::Unanswered => Reason::OriginUnanswered,
    };
    let service = route.only_service().ok_or(reason)?;
    let software = origins::only_version(gateway, service).await;
    // A retry may be served once this box is in step again.
    let is_current = gateway.state().upstreams.software_history().is_current(now_ms());
    let reason = if is_current { reason } else { Reason::OriginUnconfirmed };
    log_origin_guessed(gateway, request_id, service, software);
    let origin = StreamOrigin { service: short_id(service), software: software.ok_or(reason)? };
    Ok((origin, true))
}

/// Hash that spreads requests evenly over the target services of a route.
fn routing_hash(request_id: &str) -> u64 {
    let mut bytes = [0; 8];
    blake3::Hasher::new().update(request_id.as_bytes()).finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}

/// Whether the headers leave open where the body ends, or which host is meant.
fn has_ambiguous_framing(headers: &HeaderMap) -> bool {
    let lengths = headers.get_all(header::CONTENT_LENGTH).iter().count();
    let encodings = headers.get_all(header::TRANSFER_ENCODING).iter().count();
    lengths + encodings > 1 || headers.get_all(header::HOST).iter().count() > 1
}

fn authenticate<'a>(
    configuration: &'a Configuration,
    route: &Route,
    head: &RequestHead,
) -> Result<Option<&'a Account>, Reason> {
    let account = head.api_key.as_deref().and_then(|key| configuration.account(key));
    if account.is_none() && configuration.requires_keys() && !route.public {
        return Err(Reason::UnknownKey);
    }
    Ok(account)
}

async fn read_body(
    gateway: &Gateway,
    client: &ClientRequest,
    max_bytes: usize,
    body: Incoming,
) -> Result<Bytes, Reason> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let announced_bytes = body.size_hint().exact();
    let announced_bytes = announced_bytes.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    let stopped = async {
        gateway.wait_for_phase(BoxPhase::Draining).await;
        sleep(DRAIN_BODY_TIMEOUT).await;
    };
    let frames = BodyDataStream::new(body);
    let received = client.read_body(frames, announced_bytes, max_bytes, stopped).await;
    received.map(ReceivedBody::into_bytes).map_err(|error| match error {
        BodyError::TooLong => Reason::BodyTooLong,
        BodyError::Broken => Reason::BodyIncomplete,
        BodyError::Stalled => Reason::BodyStalled,
        BodyError::NoRoom => Reason::NoRoom,
        BodyError::TimeOver => Reason::NotReady,
    })
}
