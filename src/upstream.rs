//! HTTP clients of the upstreams: model engines, context stores and plain services.
//!
//! Engines implement the OpenAI-style completions API, streamed as server-sent events.

use std::sync::Arc;
use std::time::Duration;

use eventsource_stream::Eventsource;
use futures_util::{StreamExt, stream};
use log::debug;
use reqwest::header::{RETRY_AFTER, TRANSFER_ENCODING};
use reqwest::{Method, RequestBuilder, Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::assembler::Piece;
use crate::blocks::{BlockId, Seal};
use crate::clock::{instant_at, now_ms};
use crate::context_manager::{BlockMeta, Export, ExportResult, StoredBlock};
use crate::external::{
    ContextStores, EngineError, EnginePiece, EngineReport, GenerateRequest, LoadOrder,
    ModelEngines, PieceStream, PlainServices, StageResult, WorkerReply,
};
use crate::ledger::{Answer, Outcome};
use crate::pool::{ConnectionPool, ConnectionPools, PooledClient};
use crate::port::{has_server_ended, has_server_replied};
use crate::wire::Call;

/// Timeout of calls that do not transfer context or load weights.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of calls that transfer context, list a store's blocks or load weights.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(15);
/// Time without a piece after which a stream is considered broken.
const PIECE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Time allowed between the end mark of a stream and the end of the response.
const END_TIMEOUT: Duration = Duration::from_millis(100);
/// Upper limit on a worker's Retry-After; longer times are cut to it.
const MAX_RETRY_AFTER_MS: u64 = 600_000;
/// Data of the last event of a stream.
const END_MARK: &str = "[DONE]";

/// Error type with which an engine refuses a request for another weight version.
const VERSION_MISMATCH: &str = "version_mismatch";

/// Client of all upstreams.
pub struct HttpUpstreams {
    /// Connections to engines and stores, by URL.
    pools: ConnectionPools,
    /// Connections to workers of plain services, which are not reused: reuse saves some
    /// tenths of a millisecond per call, but a call on a connection that has gone silent
    /// is lost and may not be repeated.
    service_workers: Arc<ConnectionPool>,
}

impl Default for HttpUpstreams {
    fn default() -> Self {
        Self {
            pools: ConnectionPools::default(),
            service_workers: Arc::new(ConnectionPool::without_reuse()),
        }
    }
}

/// Whether the process of the upstream at `url` has ended.
pub async fn has_ended(url: &str) -> bool {
    match host_and_port(url) {
        Some((host, port)) => has_server_ended((host.as_str(), port)).await,
        None => false,
    }
}

/// Whether the upstream at `url` replies.
async fn has_replied(url: &str) -> bool {
    match host_and_port(url) {
        Some((host, port)) => has_server_replied((host.as_str(), port)).await,
        None => false,
    }
}

fn host_and_port(url: &str) -> Option<(String, u16)> {
    let url = reqwest::Url::parse(url).ok()?;
    Some((url.host_str()?.to_owned(), url.port_or_known_default()?))
}

#[derive(Deserialize)]
struct Chunk {
    id: String,
    system_fingerprint: String,
    seq: u64,
    choices: Vec<ChunkChoice>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    text: String,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens_details: Option<PromptDetails>,
}

#[derive(Deserialize)]
struct PromptDetails {
    cached_tokens: u32,
}

fn failed_response(error: impl std::fmt::Display) -> EngineError {
    EngineError::Broken(error.to_string())
}

/// Decodes a chunk of a stream.
fn read_chunk(data: &str, attempt: u32, first_seq: u64) -> Result<EnginePiece, EngineError> {
    let chunk: Chunk = serde_json::from_str(data).map_err(failed_response)?;
    let choice =
        chunk.choices.into_iter().next().ok_or_else(|| failed_response("chunk without choices"))?;
    let details = chunk.usage.and_then(|usage| usage.prompt_tokens_details);
    let seq = first_seq + chunk.seq;
    let piece = Piece { attempt, seq, text: choice.text, finish: choice.finish_reason };
    Ok(EnginePiece {
        run_id: chunk.id,
        version: chunk.system_fingerprint,
        cached_tokens: details.map_or(0, |details| details.cached_tokens),
        piece,
    })
}

/// Reads a stream up to its end mark, its first error, or a timeout without pieces.
fn read_stream(
    response: Response,
    client: PooledClient,
    attempt: u32,
    first_seq: u64,
) -> PieceStream {
    let events = Box::pin(response.bytes_stream().eventsource());
    Box::pin(stream::unfold(Some((events, client)), move |state| async move {
        let (mut events, client) = state?;
        match tokio::time::timeout(PIECE_TIMEOUT, events.next()).await {
            Err(_) => {
                client.report_silent();
                Some((Err(failed_response("no piece within the timeout")), None))
            }
            Ok(None) => None,
            Ok(Some(Err(error))) => Some((Err(failed_response(error)), None)),
            Ok(Some(Ok(event))) if event.data == END_MARK => {
                // A connection is reused only after its response was read to the end.
                let _ = tokio::time::timeout(END_TIMEOUT, events.next()).await;
                None
            }
            Ok(Some(Ok(event))) => {
                let piece = read_chunk(&event.data, attempt, first_seq);
                let next_state = piece.is_ok().then_some((events, client));
                Some((piece, next_state))
            }
        }
    }))
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorDetails,
}

#[derive(Deserialize)]
struct ErrorDetails {
    #[serde(rename = "type")]
    kind: String,
    not_run: bool,
}

/// Returns the response of an accepted run. A refused request counts as not run only if
/// the engine says so.
async fn check_accepted(response: Response) -> Result<Response, EngineError> {
    let status = response.status();
    if status == StatusCode::OK {
        return Ok(response);
    }
    match response.json::<ErrorBody>().await {
        Ok(ErrorBody { error }) if error.not_run && error.kind == VERSION_MISMATCH => {
            Err(EngineError::OtherVersion)
        }
        Ok(ErrorBody { error }) if error.not_run => Err(EngineError::Refused),
        Ok(_) | Err(_) => Err(failed_response(status)),
    }
}

fn send_error(error: &reqwest::Error) -> EngineError {
    if error.is_connect() { EngineError::Unreachable } else { failed_response(error) }
}

/// Sends a request for a run and waits for the response head.
async fn await_response(
    client: &PooledClient,
    call: RequestBuilder,
    timeout: Duration,
) -> Result<Response, EngineError> {
    let Ok(response) = tokio::time::timeout(timeout, call.send()).await else {
        client.report_silent();
        return Err(failed_response("no response within the timeout"));
    };
    check_accepted(response.map_err(|error| send_error(&error))?).await
}

impl ModelEngines for HttpUpstreams {
    async fn generate(
        &self,
        url: &str,
        request: &GenerateRequest<'_>,
        attempt: u32,
        first_seq: u64,
    ) -> Result<PieceStream, EngineError> {
        let client = self.pools.client(url);
        let call = client.http.post(format!("{url}/v1/completions")).json(request);
        let response = await_response(&client, call, PIECE_TIMEOUT).await?;
        Ok(read_stream(response, client, attempt, first_seq))
    }

    async fn resume(
        &self,
        url: &str,
        run_id: &str,
        attempt: u32,
        from: u64,
        first_seq: u64,
    ) -> Result<PieceStream, EngineError> {
        let client = self.pools.client(url);
        let url = format!("{url}/v1/completions/{run_id}?from={from}");
        let response = await_response(&client, client.http.get(url), CALL_TIMEOUT).await?;
        Ok(read_stream(response, client, attempt, first_seq))
    }

    async fn cancel(&self, url: &str, run_id: &str) {
        let client = self.pools.client(url);
        let url = format!("{url}/v1/completions/{run_id}");
        // An error is ignored: an engine that cannot be reached has no run to cancel.
        let _ = client.send(client.http.delete(url).timeout(CALL_TIMEOUT)).await;
    }

    async fn report(&self, url: &str) -> Option<EngineReport> {
        let client = self.pools.client(url);
        let call = client.http.get(format!("{url}/load")).timeout(CALL_TIMEOUT);
        let load: Value = client.send(call).await.ok()?.json().await.ok()?;
        let version = load["version"].as_str()?.to_owned();
        let (leaving, loading) = (load["leaving"] == true, load["loading"] == true);
        Some(EngineReport { version, leaving, loading })
    }

    async fn export(&self, export: &Export) -> ExportResult {
        let body = json!({
            "block_id": export.block, "store": export.store_url,
            "request_id": export.run_id, "meta": export.meta,
        });
        let client = self.pools.client(&export.engine_url);
        let call = client.http.post(format!("{}/kv/export", export.engine_url));
        let Ok(response) = client.send(call.json(&body).timeout(TRANSFER_TIMEOUT)).await else {
            return ExportResult::Failed;
        };
        if response.status() == StatusCode::NOT_FOUND {
            return ExportResult::ContextGone;
        }
        let done: Value = response.json().await.unwrap_or_default();
        match (read_seal(&done), done["size_bytes"].as_u64()) {
            (Some(seal), Some(size_bytes)) => ExportResult::Sealed(seal, size_bytes),
            _ => ExportResult::Failed,
        }
    }

    async fn stage(
        &self,
        url: &str,
        store_url: &str,
        block: &BlockId,
        prompt: &str,
        salt: &str,
    ) -> StageResult {
        let body = json!({
            "block_id": block, "store": store_url, "prompt": prompt, "cache_salt": salt,
        });
        let client = self.pools.client(url);
        let call = client.http.post(format!("{url}/kv/import")).json(&body);
        let Ok(response) = client.send(call.timeout(TRANSFER_TIMEOUT)).await else {
            return StageResult::Failed;
        };
        match response.status() {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND | StatusCode::GONE => return StageResult::NotFound,
            _ => return StageResult::Failed,
        }
        let staged = response.json::<Value>().await.ok();
        staged.as_ref().and_then(read_seal).map_or(StageResult::Failed, StageResult::Staged)
    }

    async fn commit(&self, url: &str, block: &BlockId, tokens: u32) -> bool {
        let body = json!({ "block_id": block, "tokens": tokens });
        let client = self.pools.client(url);
        let call = client.http.post(format!("{url}/kv/commit")).json(&body).timeout(CALL_TIMEOUT);
        client.send(call).await.is_ok_and(|response| response.status().is_success())
    }

    async fn order(&self, url: &str, order: &LoadOrder<'_>) -> bool {
        let client = self.pools.client(url);
        let call = client.http.post(format!("{url}/orders")).json(order).timeout(TRANSFER_TIMEOUT);
        client.send(call).await.is_ok_and(|response| response.status().is_success())
    }
}

fn read_seal(value: &Value) -> Option<Seal> {
    let len_bytes = value["len_bytes"].as_u64()?;
    let checksum = value["checksum"].as_str()?.to_owned();
    Some(Seal { len_bytes, checksum })
}

#[derive(Deserialize)]
struct ListedBlock {
    id: BlockId,
    size_bytes: u64,
    seal: ListedSeal,
}

#[derive(Deserialize)]
struct ListedSeal {
    len_bytes: u64,
    checksum: String,
    meta: BlockMeta,
}

impl ContextStores for HttpUpstreams {
    async fn pin(&self, url: &str, block: &BlockId, until_ms: u64) -> Option<Seal> {
        let client = self.pools.client(url);
        let call = client.http.post(format!("{url}/blocks/{}/pin", block.0));
        let call = call.json(&json!({ "until_ms": until_ms })).timeout(CALL_TIMEOUT);
        let response = client.send(call).await.ok()?.error_for_status().ok()?;
        read_seal(&response.json::<Value>().await.ok()?)
    }

    async fn delete(&self, url: &str, block: &BlockId) -> bool {
        let client = self.pools.client(url);
        let call = client.http.delete(format!("{url}/blocks/{}", block.0));
        let status =
            client.send(call.timeout(CALL_TIMEOUT)).await.map(|response| response.status());
        matches!(status, Ok(StatusCode::OK | StatusCode::NOT_FOUND))
    }

    async fn list(&self, url: &str) -> Option<Vec<StoredBlock>> {
        let client = self.pools.client(url);
        let call = client.http.get(format!("{url}/blocks")).timeout(TRANSFER_TIMEOUT);
        let blocks: Vec<ListedBlock> = client.send(call).await.ok()?.json().await.ok()?;
        let listed = blocks.into_iter().map(|block| {
            let ListedSeal { len_bytes, checksum, meta } = block.seal;
            let seal = Seal { len_bytes, checksum };
            StoredBlock { id: block.id, size_bytes: block.size_bytes, seal, meta }
        });
        Some(listed.collect())
    }
}

impl PlainServices for HttpUpstreams {
    async fn call(&self, url: &str, call: &Call) -> WorkerReply {
        let Ok(method) = Method::from_bytes(call.method.as_bytes()) else {
            return Outcome::NotRun.into();
        };
        let http = self.service_workers.client().http;
        let mut request = http.request(method, format!("{url}{}", call.path));
        if let Some(content_type) = &call.content_type {
            request = request.header("content-type", content_type);
        }
        let request = request
            .header("traceparent", call.trace.header())
            .header("x-call-id", &call.key.key)
            .body(call.body.clone());
        if call.deadline_ms <= now_ms() {
            return Outcome::NotRun.into();
        }
        let response = tokio::time::timeout_at(instant_at(call.deadline_ms), request.send()).await;
        match response {
            Ok(Ok(response)) => {
                let retry_after_ms = retry_after_ms(&response);
                let is_close_delimited = is_close_delimited(&response);
                let mut answer = read_answer(response).await;
                if is_close_delimited && !is_running(url, call.deadline_ms).await {
                    answer = None;
                }
                WorkerReply {
                    outcome: answer.map_or(Outcome::Unknown, Outcome::Answered),
                    retry_after_ms,
                }
            }
            // Without a connection, no byte of the call was sent.
            Ok(Err(error)) if error.is_connect() => Outcome::NotRun.into(),
            Ok(Err(_)) | Err(_) => Outcome::Unknown.into(),
        }
    }
}

/// Whether the end of the body is marked by the end of the connection alone. A worker that crashes
/// closes it, too, and leaves a part of the body that looks complete.
fn is_close_delimited(response: &Response) -> bool {
    response.content_length().is_none() && !response.headers().contains_key(TRANSFER_ENCODING)
}

/// Whether a worker replies by the deadline.
async fn is_running(url: &str, deadline_ms: u64) -> bool {
    tokio::time::timeout_at(instant_at(deadline_ms), has_replied(url)).await.unwrap_or(false)
}

/// Time in the Retry-After header of a 503 response; the header has whole seconds.
fn retry_after_ms(response: &Response) -> Option<u64> {
    let header = response.headers().get(RETRY_AFTER);
    let header = header.filter(|_| response.status() == StatusCode::SERVICE_UNAVAILABLE)?;
    let seconds: Option<u64> = header.to_str().ok().and_then(|text| text.trim().parse().ok());
    if seconds.is_none() {
        debug!(target: "upstream", "Retry-After header ignored: {header:?} is not a number of seconds.");
    }
    Some(seconds?.saturating_mul(1000).min(MAX_RETRY_AFTER_MS))
}

async fn read_answer(response: Response) -> Option<Answer> {
    let status = response.status().as_u16();
    let content_type = response.headers().get("content-type");
    let content_type = content_type.and_then(|value| value.to_str().ok()).map(str::to_owned);
    let body = response.bytes().await.ok()?.to_vec();
    Some(Answer { status, content_type, body })
}
