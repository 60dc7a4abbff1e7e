//! HTTP interface for callers.
//!
//! Completions follow the `OpenAI` completions protocol. Calls to plain services go to
//! `/app/<service>/`. Every refusal says whether the call has run, why it was refused,
//! and when to retry.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use log::error;
use poem::http::StatusCode;
use poem::web::sse::SSE;
use poem::web::{Data, Json, Path, Query};
use poem::{
    Body, Endpoint, EndpointExt, IntoResponse, Request, Response, Route, get, handler, post,
};
use serde::Deserialize;
use serde_json::json;
use tokio::time::{sleep_until, timeout_at};

use crate::account::Terms;
use crate::box_phase::BoxPhase;
use crate::calls::{generate_key, issue_ticket, serve_at_most_once, serve_without_ticket};
use crate::chunk::{events, last_chunk};
use crate::client_connections::{BodyError, ClientRequest, ReceivedBody};
use crate::clock::{instant_at, now_ms};
use crate::completion::{self, CompletionJob};
use crate::context::token_count;
use crate::kernel::{Kernel, Plugin};
use crate::ledger::{Answer, CallKey};
use crate::listen::serve_until;
use crate::refusal::{Reason, Refusal};
use crate::rejection::{Rejection, bad_request, header_value};
use crate::streams::{AnswerStream, StreamEnd, StreamUpdate};
use crate::supervisor;
use crate::trace::TraceId;
use crate::wire::Call;
use crate::workers::is_repeatable;

/// Header with the time for which the caller waits, in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-timeout-ms";
/// Header with the id of a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the trace id of a request.
pub const TRACE_ID_HEADER: &str = "x-trace-id";
/// Maximum value of [`TIMEOUT_HEADER`].
const MAX_TIMEOUT_MS: u64 = 3_600_000;
/// Time after which a caller may retry for whose request there was no room.
const NO_ROOM_RETRY_MS: u64 = 1000;
/// Copies of a prompt, or of the body of a call, that are made while it is served.
const BODY_COPIES: usize = 3;
/// Maximum number of tokens that a completion may request.
const MAX_COMPLETION_TOKENS: u32 = 32_768;
/// Time that open connections get to close when the box stops.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

inventory::submit! {
    Plugin { name: "callers", start, receive: None }
}

/// When a request arrived, in Unix milliseconds.
#[derive(Clone, Copy)]
struct ArrivedAtMs(u64);

/// The authenticated sender of a request, and the request's deadline.
struct Caller {
    account: String,
    terms: Terms,
    deadline_ms: u64,
    trace: TraceId,
}

fn authenticate(kernel: &Kernel, request: &Request) -> Result<Caller, Rejection> {
    let config = kernel.configuration.current();
    if config.state.revision == 0 {
        return Err(not_ready());
    }
    if kernel.phase() >= BoxPhase::Draining {
        return Err(Refusal::not_run(Reason::Stopping).retry_at(now_ms()).into());
    }
    let bearer = request.header("authorization").and_then(|value| value.strip_prefix("Bearer "));
    let account = bearer.and_then(|key| config.account_of(key)).ok_or(Reason::BadKey)?;
    let terms = config.terms(account).ok_or(Reason::BadKey)?;
    if terms.share <= 0.0 {
        return Err(Reason::NoShare.into());
    }
    let timeout_ms = timeout_ms(kernel, request)?;
    let trace = TraceId::from_header(request.header("traceparent"));
    let arrived_at_ms = request.data::<ArrivedAtMs>().map_or_else(now_ms, |arrived| arrived.0);
    let deadline_ms = arrived_at_ms + timeout_ms;
    Ok(Caller { account: account.to_owned(), terms, deadline_ms, trace })
}

/// The refusal of a box that does not know enough to run requests yet.
fn not_ready() -> Rejection {
    Refusal::not_run(Reason::NotReady).retry_at(now_ms() + 1000).into()
}

fn timeout_ms(kernel: &Kernel, request: &Request) -> Result<u64, Rejection> {
    let Some(text) = request.header(TIMEOUT_HEADER) else {
        return Ok(kernel.settings.default_timeout_ms);
    };
    let parsed = text.parse().ok().filter(|timeout_ms| (1..=MAX_TIMEOUT_MS).contains(timeout_ms));
    parsed.ok_or_else(|| {
        bad_request(format!(
            "{TIMEOUT_HEADER}: '{text}' is not a number of milliseconds between 1 and {MAX_TIMEOUT_MS}"
        ))
    })
}

/// Reads a body, and waits for it until the deadline as long as it makes progress.
async fn read_body(
    kernel: &Kernel,
    request: &Request,
    body: Body,
    deadline_ms: u64,
) -> Result<ReceivedBody, Rejection> {
    let limit = kernel.settings.max_body_bytes;
    let caller_request = caller_request(request)?;
    let announced = request.header("content-length").and_then(|length| length.parse().ok());
    let deadline = sleep_until(instant_at(deadline_ms));
    let frames = body.into_bytes_stream();
    let received = caller_request.read_body(frames, announced, limit, deadline).await;
    let received = match received {
        Ok(received) => caller_request.begin_serving().map(|()| received),
        Err(error) => Err(error),
    };
    received.map_err(|error| match error {
        BodyError::TooLong => {
            let detail = format!("the body is longer than {limit} bytes");
            Rejection { refusal: Refusal::not_run(Reason::TooLong), detail }
        }
        BodyError::Broken => bad_request("the body could not be read to its end".to_owned()),
        BodyError::Stalled => Reason::BodyStalled.into(),
        BodyError::NoRoom => no_room(),
        BodyError::TimeOver => Reason::DeadlinePassed.into(),
    })
}

fn no_room() -> Rejection {
    Refusal::not_run(Reason::NoRoom).retry_at(now_ms() + NO_ROOM_RETRY_MS).into()
}

/// What a request holds; the listener adds it to each.
fn caller_request(request: &Request) -> Result<&Arc<ClientRequest>, Rejection> {
    let held = request.data::<Arc<ClientRequest>>();
    held.ok_or_else(|| bad_request("the request came through no listener".to_owned()))
}

#[derive(Deserialize)]
struct CompletionBody {
    model: String,
    prompt: String,
    #[serde(default = "default_max_tokens")]
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
}

fn default_max_tokens() -> u32 {
    16
}

fn completion_job(
    kernel: &Kernel,
    caller: Caller,
    body: &[u8],
) -> Result<(CompletionJob, bool), Rejection> {
    let request: CompletionBody =
        serde_json::from_slice(body).map_err(|error| bad_request(error.to_string()))?;
    if !(1..=MAX_COMPLETION_TOKENS).contains(&request.max_tokens) {
        return Err(bad_request(format!(
            "max_tokens must be between 1 and {MAX_COMPLETION_TOKENS}"
        )));
    }
    let config = kernel.configuration.current();
    let (model, version) = match request.model.split_once('@') {
        Some((model, version)) => (model, Some(version)),
        None => {
            (request.model.as_str(), config.state.models.get(&request.model).map(String::as_str))
        }
    };
    let (model, version) = (model.to_owned(), version.ok_or(Reason::NoUpstream)?.to_owned());
    if !caller.terms.allows(&model, &version) {
        return Err(Reason::ModelNotAllowed.into());
    }
    let Caller { account, terms, deadline_ms, trace } = caller;
    let (prompt, max_tokens) = (request.prompt, request.max_tokens);
    let job =
        CompletionJob { account, terms, model, version, prompt, max_tokens, deadline_ms, trace };
    Ok((job, request.stream))
}

#[handler]
async fn complete(request: &Request, body: Body, Data(kernel): Data<&Arc<Kernel>>) -> Response {
    match start_completion(kernel, request, body).await {
        Ok((stream, true)) => send_events(stream, 0).await,
        Ok((stream, false)) => send_complete_answer(&stream).await,
        Err(rejection) => rejection.into_response(),
    }
}

async fn start_completion(
    kernel: &Arc<Kernel>,
    request: &Request,
    body: Body,
) -> Result<(Arc<AnswerStream>, bool), Rejection> {
    let caller = authenticate(kernel, request)?;
    let body = read_body(kernel, request, body, caller.deadline_ms).await?;
    let (job, streamed) = completion_job(kernel, caller, &body.bytes)?;
    let held = caller_request(request)?.hold(BODY_COPIES * body.bytes.len());
    drop(body);
    metrics::counter!("coursestile_requests_total", "kind" => "completion").increment(1);
    let id = format!("{}-{:x}", kernel.box_id.name, fastrand::u128(..));
    let prompt_tokens = token_count(job.prompt.len());
    let stream = kernel.streams.open(id, &job.account, &job.model, prompt_tokens);
    let serving = completion::serve(kernel.clone(), job, stream.clone());
    tokio::spawn(async move {
        serving.await;
        drop(held);
    });
    Ok((stream, streamed))
}

async fn send_complete_answer(stream: &Arc<AnswerStream>) -> Response {
    let _reader = stream.add_reader();
    let mut read_texts = 0;
    loop {
        match stream.next(read_texts).await {
            StreamUpdate::Texts(texts) => read_texts += texts.len(),
            StreamUpdate::End(StreamEnd::Refused(refusal)) => {
                return Rejection::from(refusal).into_response();
            }
            StreamUpdate::End(StreamEnd::Finished(reason)) => {
                let (version, text) = (stream.version_and_cached_tokens().0, stream.text());
                let body = Json(last_chunk(stream, &version, read_texts, &text, &reason));
                return body.with_header(REQUEST_ID_HEADER, &stream.id).into_response();
            }
        }
    }
}

/// Sends the answer as server-sent events from event number `from` on. Waits for the first one
/// or the end, so that a refusal still gets its own HTTP status.
async fn send_events(stream: Arc<AnswerStream>, from: usize) -> Response {
    let reader = stream.add_reader();
    if let StreamUpdate::End(StreamEnd::Refused(refusal)) = stream.next(from).await {
        return Rejection::from(refusal).into_response();
    }
    let id = stream.id.clone();
    SSE::new(events(stream, reader, from)).with_header(REQUEST_ID_HEADER, id).into_response()
}

#[derive(Deserialize)]
struct ResumeQuery {
    #[serde(default)]
    from: usize,
}

fn find_stream(
    kernel: &Kernel,
    request: &Request,
    id: &str,
) -> Result<Arc<AnswerStream>, Rejection> {
    let caller = authenticate(kernel, request)?;
    let stream = kernel.streams.find(&caller.account, id).ok_or(Reason::NotFound)?;
    caller_request(request)?.begin_serving().map_err(|_| no_room())?;
    Ok(stream)
}

#[handler]
async fn resume(
    request: &Request,
    Path(id): Path<String>,
    Query(query): Query<ResumeQuery>,
    Data(kernel): Data<&Arc<Kernel>>,
) -> Response {
    match find_stream(kernel, request, &id) {
        Ok(stream) => send_events(stream, query.from).await,
        Err(rejection) => rejection.into_response(),
    }
}

#[handler]
fn cancel(request: &Request, Path(id): Path<String>, Data(kernel): Data<&Arc<Kernel>>) -> Response {
    match find_stream(kernel, request, &id) {
        Ok(stream) => {
            stream.cancel();
            StatusCode::OK.into()
        }
        Err(rejection) => rejection.into_response(),
    }
}

#[handler]
fn ticket(request: &Request, Data(kernel): Data<&Arc<Kernel>>) -> Response {
    match authenticate(kernel, request) {
        Ok(caller) => {
            let (prefix, expires_at_ms) = issue_ticket(kernel, &caller.account);
            Json(json!({ "prefix": prefix, "expires_at_ms": expires_at_ms })).into_response()
        }
        Err(rejection) => rejection.into_response(),
    }
}

#[handler]
async fn app_call(
    request: &Request,
    Path((service, _)): Path<(String, String)>,
    body: Body,
    Data(kernel): Data<&Arc<Kernel>>,
) -> Response {
    match call_service(kernel, request, service, body).await {
        Ok(answer) => answer_response(answer),
        Err(rejection) => rejection.into_response(),
    }
}

fn answer_response(answer: Answer) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let response = Response::builder().status(status);
    let response = match &answer.content_type {
        Some(content_type) => response.content_type(content_type),
        None => response,
    };
    response.body(answer.body)
}

async fn call_service(
    kernel: &Arc<Kernel>,
    request: &Request,
    service: String,
    body: Body,
) -> Result<Answer, Rejection> {
    let caller = authenticate(kernel, request)?;
    let uri = request.uri();
    let prefix = format!("/app/{service}");
    let path = uri.path().strip_prefix(&prefix).unwrap_or(uri.path());
    let repeatable = is_repeatable(kernel, &service, path).ok_or(Reason::NotFound)?;
    let query = uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    let key = request.header("idempotency-key").map(str::to_owned);
    let account = caller.account;
    let call_key = match &key {
        Some(key) => CallKey { account, key: key.clone() },
        None => generate_key(kernel, &account),
    };
    let ReceivedBody { bytes: body, held: _held } =
        read_body(kernel, request, body, caller.deadline_ms).await?;
    let _held_copies = caller_request(request)?.hold(BODY_COPIES * body.len());
    let call = Call {
        key: call_key,
        ticket_expires_at_ms: 0,
        method: request.method().to_string(),
        path: format!("/app{path}{query}"),
        content_type: request.header("content-type").map(str::to_owned),
        body,
        deadline_ms: caller.deadline_ms,
        trace: caller.trace,
        service,
    };
    metrics::counter!("coursestile_requests_total", "kind" => "call").increment(1);
    let answer = match key {
        Some(key) if !repeatable => serve_at_most_once(kernel, call, &key).await,
        _ => serve_without_ticket(kernel, &call, repeatable).await,
    };
    Ok(answer?)
}

/// Adds the trace id to each response, and closes connections while the box stops. A box that has
/// just started runs nothing before it knows which requests are quarantined, and holds no request
/// for that beyond its deadline.
async fn add_headers<E: Endpoint>(
    kernel: Arc<Kernel>,
    endpoint: Arc<E>,
    mut request: Request,
) -> poem::Result<Response> {
    let trace = TraceId::from_header(request.header("traceparent"));
    request.headers_mut().insert("traceparent", header_value(&trace.header()));
    let arrived_at_ms = now_ms();
    request.set_data(ArrivedAtMs(arrived_at_ms));
    let deadline_ms = arrived_at_ms + timeout_ms(&kernel, &request).unwrap_or_default();
    let informed = timeout_at(instant_at(deadline_ms), kernel.crashes.wait_until_informed());
    let held = caller_request(&request).cloned();
    let evicted = async {
        match &held {
            Ok(held) => held.wait_until_evicted().await,
            Err(_) => pending().await,
        }
    };
    let refused = tokio::select! {
        informed = informed => informed.err().map(|_| not_ready()),
        () = evicted => Some(no_room()),
    };
    let mut response = match refused {
        None => endpoint.call(request).await?.into_response(),
        Some(rejection) => rejection.into_response(),
    };
    response.headers_mut().insert(TRACE_ID_HEADER, header_value(&trace.to_string()));
    if kernel.phase() > BoxPhase::Serving {
        response.headers_mut().insert("connection", header_value("close"));
    }
    Ok(response)
}

fn start(kernel: &Arc<Kernel>) {
    let kernel = kernel.clone();
    supervisor::spawn_single("callers", async move {
        let calls = get(app_call).post(app_call).put(app_call).delete(app_call);
        let header_kernel = kernel.clone();
        let app = Route::new()
            .at("/v1/completions", post(complete))
            .at("/v1/completions/:id", get(resume).delete(cancel))
            .at("/v1/tickets", post(ticket))
            .at("/app/:service/*path", calls)
            .data(kernel.clone())
            .around(move |endpoint, request| add_headers(header_kernel.clone(), endpoint, request));
        let address = kernel.settings.callers;
        let closing = kernel.reached(BoxPhase::Closing);
        let connections = kernel.callers.clone();
        let idle_timeout = Duration::from_millis(kernel.settings.idle_timeout_ms);
        let max_queued = kernel.settings.max_queued;
        let served = serve_until(
            address,
            app,
            connections,
            max_queued,
            idle_timeout,
            closing,
            CLOSE_TIMEOUT,
        )
        .await;
        kernel.port_closed.notify_one();
        if let Err(error) = served {
            error!(target: "callers", "Cannot serve {address}: {error}.");
            std::process::exit(1);
        }
    });
}
