//! HTTP interface of the engine.
//!
//! Completions follow the common `/v1/completions` protocol, streamed as
//! server-sent events, with the additional request fields `priority`, `cache_salt`
//! and `weight_version`. `system_fingerprint` is the weight version that ran.

use std::sync::Arc;
use std::time::Duration;

use futures_util::{Stream, stream};
use poem::http::StatusCode;
use poem::web::sse::{Event, SSE};
use poem::web::{Data, Json, Path, Query};
use poem::{EndpointExt, IntoResponse, Response, Route, get, handler, post};
use serde::Deserialize;
use serde_json::{Value, json};

use super::cache::{BLOCK_TOKENS, ChainHash, chain};
use super::{AcceptedOrder, Engine, EngineConfig, Run};
use crate::faults::{Faults, serve};

fn refuse(status: StatusCode, kind: &str) -> Response {
    let body = Json(json!({ "error": { "type": kind, "not_run": true } }));
    (status, body).into_response()
}

#[derive(Deserialize)]
struct Completion {
    model: String,
    prompt: String,
    max_tokens: usize,
    #[serde(default)]
    priority: i64,
    #[serde(default)]
    cache_salt: String,
    weight_version: Option<String>,
    request_id: String,
}

#[handler]
fn complete(Json(request): Json<Completion>, Data(engine): Data<&Arc<Engine>>) -> Response {
    let mut state = engine.state.lock().expect("engine lock");
    if request.model != engine.config.model {
        return refuse(StatusCode::NOT_FOUND, "unknown_model");
    }
    if state.leaving || state.loading {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "leaving");
    }
    let expected = request.weight_version.as_ref().unwrap_or(&state.version);
    if engine.config.check_version && *expected != state.version {
        return refuse(StatusCode::CONFLICT, "version_mismatch");
    }
    engine.faults.crash_if_triggered(&request.prompt);
    let run = Arc::new(Run::new(
        &request.prompt,
        &request.cache_salt,
        &state.version,
        request.max_tokens,
        request.priority,
    ));
    if state.cache.is_corrupt(&run.chain) {
        run.corrupt();
    }
    state.waiting.push(run.clone());
    state.runs.insert(request.request_id.clone(), run.clone());
    state.started.insert(request.request_id.clone());
    drop(state);
    engine.work.notify_one();
    SSE::new(stream_events(engine.clone(), request.request_id, run, 0)).into_response()
}

struct StreamCursor {
    engine: Arc<Engine>,
    id: String,
    run: Arc<Run>,
    next: usize,
    sent: u64,
    ended: bool,
}

fn stream_events(
    engine: Arc<Engine>,
    id: String,
    run: Arc<Run>,
    from: usize,
) -> impl Stream<Item = Event> {
    let cursor = StreamCursor { engine, id, run, next: from, sent: 0, ended: false };
    let batches = stream::unfold(cursor, |mut cursor| async move {
        let batch = cursor.next_batch().await?;
        Some((stream::iter(batch), cursor))
    });
    futures_util::StreamExt::flatten(batches)
}

impl StreamCursor {
    async fn next_batch(&mut self) -> Option<Vec<Event>> {
        if self.ended {
            return None;
        }
        let faults = self.engine.faults.current();
        if faults.break_after_pieces > 0 && self.sent >= faults.break_after_pieces {
            return None;
        }
        let Some(words) = self.run.words_from(self.next).await else {
            self.ended = true;
            return Some(vec![Event::message("[DONE]")]);
        };
        let mut events: Vec<Event> = Vec::new();
        for word in words {
            events.push(Event::message(self.event_body(&word).to_string()));
            self.next += 1;
            self.sent += 1;
        }
        if faults.reorder {
            events.reverse();
        }
        Some(events)
    }

    fn event_body(&self, word: &str) -> Value {
        let last = self.next + 1 == self.run.max_tokens;
        json!({
            "id": self.id,
            "object": "text_completion",
            "model": self.engine.config.model,
            "system_fingerprint": self.run.version,
            "seq": self.next,
            "choices": [{ "index": 0, "text": word, "finish_reason": last.then_some("length") }],
            "usage": {
                "prompt_tokens": self.run.prompt_tokens,
                "prompt_tokens_details": { "cached_tokens": self.run.cached() },
            },
        })
    }
}

#[derive(Deserialize)]
struct ResumeQuery {
    #[serde(default)]
    from: usize,
}

#[handler]
fn resume(
    Path(id): Path<String>,
    Query(query): Query<ResumeQuery>,
    Data(engine): Data<&Arc<Engine>>,
) -> Response {
    let run = engine.state.lock().expect("engine lock").runs.get(&id).cloned();
    match run {
        Some(run) => SSE::new(stream_events(engine.clone(), id, run, query.from)).into_response(),
        None => refuse(StatusCode::NOT_FOUND, "unknown_request"),
    }
}

#[handler]
fn cancel(Path(id): Path<String>, Data(engine): Data<&Arc<Engine>>) -> StatusCode {
    let run = engine.state.lock().expect("engine lock").runs.get(&id).cloned();
    match run {
        Some(run) => run.cancel(),
        None => return StatusCode::NOT_FOUND,
    }
    StatusCode::OK
}

#[derive(Deserialize)]
struct Transfer {
    block_id: String,
    store: String,
    request_id: Option<String>,
    prompt: Option<String>,
    #[serde(default)]
    cache_salt: String,
    #[serde(default)]
    meta: Value,
}

fn store_failed(error: &reqwest::Error) -> Response {
    (StatusCode::BAD_GATEWAY, error.to_string()).into_response()
}

#[handler]
async fn export(Json(transfer): Json<Transfer>, Data(engine): Data<&Arc<Engine>>) -> Response {
    let id = transfer.request_id.clone().unwrap_or_default();
    let run = engine.state.lock().expect("engine lock").runs.get(&id).cloned();
    let Some(run) = run else {
        return refuse(StatusCode::NOT_FOUND, "unknown_request");
    };
    let payload: Vec<u8> = run.chain.concat();
    let tokens = run.block_tokens();
    let size_bytes = tokens as u64 * engine.config.kv_token_bytes;
    let checksum = blake3::hash(&payload).to_hex().to_string();
    let len_bytes = payload.len();
    let url = format!("{}/blocks/{}", transfer.store, transfer.block_id);
    let write = engine.http.put(&url).header("x-size-bytes", size_bytes).body(payload);
    match write.send().await {
        Ok(answer) if answer.status().is_success() => {}
        Ok(answer) => return answer.status().into_response(),
        Err(error) => return store_failed(&error),
    }
    let seal = json!({ "len_bytes": len_bytes, "checksum": checksum, "meta": transfer.meta });
    match engine.http.post(format!("{url}/seal")).json(&seal).send().await {
        Ok(answer) if answer.status().is_success() => {}
        Ok(answer) => return answer.status().into_response(),
        Err(error) => return store_failed(&error),
    }
    Json(json!({
        "block_id": transfer.block_id, "tokens": tokens, "size_bytes": size_bytes,
        "len_bytes": len_bytes, "checksum": checksum,
    }))
    .into_response()
}

/// Reads a block from a store and stages it unchecked; it is not used before a commit.
#[handler]
async fn import(Json(transfer): Json<Transfer>, Data(engine): Data<&Arc<Engine>>) -> Response {
    let url = format!("{}/blocks/{}", transfer.store, transfer.block_id);
    let answer = match engine.http.get(&url).send().await {
        Ok(answer) if answer.status().is_success() => answer,
        Ok(answer) => return answer.status().into_response(),
        Err(error) => return store_failed(&error),
    };
    let payload = match answer.bytes().await {
        Ok(payload) => payload,
        Err(error) => return store_failed(&error),
    };
    let content: Vec<ChainHash> = payload.as_chunks().0.to_vec();
    let prompt = transfer.prompt.unwrap_or_default();
    let mut state = engine.state.lock().expect("engine lock");
    let keys = chain(&transfer.cache_salt, &state.version, &prompt);
    let tokens = content.len() * BLOCK_TOKENS;
    state.staged.insert(transfer.block_id.clone(), (keys, content));
    Json(json!({
        "block_id": transfer.block_id,
        "tokens": tokens,
        "len_bytes": payload.len(),
        "checksum": blake3::hash(&payload).to_hex().to_string(),
    }))
    .into_response()
}

#[derive(Deserialize)]
struct Commit {
    block_id: String,
    tokens: usize,
}

/// Moves the first `tokens` of a staged block into the cache and discards the rest; 0 discards
/// all of it. The caller is responsible for checking the block before.
#[handler]
fn commit(Json(commit): Json<Commit>, Data(engine): Data<&Arc<Engine>>) -> StatusCode {
    let mut state = engine.state.lock().expect("engine lock");
    let Some((keys, content)) = state.staged.remove(&commit.block_id) else {
        return StatusCode::NOT_FOUND;
    };
    let used = (commit.tokens / BLOCK_TOKENS).min(content.len());
    let events = state.cache.insert_content(&keys, &content[..used]);
    engine.publish_cache_events(&mut state, events);
    StatusCode::OK
}

#[handler]
fn report_load(Data(engine): Data<&Arc<Engine>>) -> Json<Value> {
    let state = engine.state.lock().expect("engine lock");
    let load = state.loads.front().map(|(_, load)| load.clone()).unwrap_or_default();
    Json(json!({
        "running": load.running, "waiting": load.waiting,
        "prefill_tokens": load.prefill_tokens, "version": state.version,
        "leaving": state.leaving, "loading": state.loading,
    }))
}

#[derive(Deserialize)]
struct EventsQuery {
    #[serde(default)]
    after: u64,
}

#[handler]
fn list_events(Query(query): Query<EventsQuery>, Data(engine): Data<&Arc<Engine>>) -> Json<Value> {
    let lag = Duration::from_millis(engine.config.lag_ms);
    let state = engine.state.lock().expect("engine lock");
    let visible =
        state.events.iter().filter(|event| event.seq > query.after && event.at.elapsed() >= lag);
    Json(visible.map(|event| json!({ "seq": event.seq, "event": event.body })).collect())
}

#[derive(Deserialize)]
struct Order {
    fence: u64,
    expect_version: Option<String>,
    version: Option<String>,
    leave: Option<bool>,
}

#[handler]
async fn order(Json(order): Json<Order>, Data(engine): Data<&Arc<Engine>>) -> Response {
    if engine.faults.current().refuse_orders {
        return refuse(StatusCode::FORBIDDEN, "deaf");
    }
    {
        let mut state = engine.state.lock().expect("engine lock");
        if engine.config.check_orders && order.fence < state.fence {
            return refuse(StatusCode::FORBIDDEN, "stale_fence");
        }
        let expected = order.expect_version.as_ref().unwrap_or(&state.version);
        if state.loading || *expected != state.version {
            return refuse(StatusCode::CONFLICT, "unexpected_state");
        }
        state.fence = state.fence.max(order.fence);
        let accepted = AcceptedOrder { fence: order.fence, version: order.version.clone() };
        state.orders.push(accepted);
        state.leaving = order.leave.unwrap_or(state.leaving);
        state.loading = order.version.is_some();
    }
    let Some(version) = order.version else {
        return StatusCode::OK.into();
    };
    let slowdown = engine.faults.current().slowdown.max(1);
    tokio::time::sleep(Duration::from_millis(engine.config.load_ms * slowdown)).await;
    let mut state = engine.state.lock().expect("engine lock");
    state.version = version;
    state.loading = false;
    state.cache.clear();
    StatusCode::OK.into()
}

#[handler]
fn list_runs(Data(engine): Data<&Arc<Engine>>) -> Json<Value> {
    let state = engine.state.lock().expect("engine lock");
    Json(json!({
        "started": state.started,
        "orders": state.orders,
        "prompt_tokens": state.prompt_tokens,
        "cached_tokens": state.cached_tokens,
    }))
}

#[handler]
fn counts(Data(engine): Data<&Arc<Engine>>) -> Json<Value> {
    let started = engine.state.lock().expect("engine lock").started.len() as u64;
    Json(json!({ "completions": started + engine.faults.refused_calls() }))
}

/// Runs the engine until the process ends.
///
/// # Errors
/// Fails when the address cannot be bound.
pub async fn run(config: EngineConfig) -> std::io::Result<()> {
    let faults = Faults::default();
    let listen = config.listen.clone();
    let engine = Arc::new(Engine::new(config, faults.clone()));
    let stepping = engine.clone();
    tokio::spawn(async move { stepping.step_forever().await });
    let routes = Route::new()
        .at("/v1/completions", post(complete))
        .at("/v1/completions/:id", get(resume).delete(cancel))
        .at("/kv/export", post(export))
        .at("/kv/import", post(import))
        .at("/kv/commit", post(commit))
        .at("/load", get(report_load))
        .at("/events", get(list_events))
        .at("/orders", post(order))
        .at("/counts", get(counts))
        .at("/runs", get(list_runs));
    serve(&listen, Route::new().nest("/", routes.data(engine)), faults).await
}
