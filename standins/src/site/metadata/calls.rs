//! HTTP calls of the metadata store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use poem::http::StatusCode;
use poem::web::{Data, Json, Path, Query};
use poem::{Endpoint, EndpointExt, IntoResponse, Response, Route, delete, get, handler, post};
use serde::Deserialize;
use serde_json::json;

use super::{Item, Shared, StoreFault, Tables};

/// Most items on a page of a range.
const PAGE_ITEMS: usize = 3;

/// Routes of the store's calls.
pub(super) fn routes(shared: &Arc<Shared>) -> impl Endpoint<Output = Response> + 'static {
    Route::new()
        .at("/coursestile/kv-key", get(read))
        .at("/coursestile/kv-range", get(range))
        .at("/coursestile/kv-watch", get(watch_items))
        .at("/coursestile/kv-txn", post(transact))
        .at("/coursestile/kv-lease", post(open_lease))
        .at("/coursestile/kv-keep/:id", post(keep_lease))
        .at("/coursestile/kv-lease-end/:id", delete(end_lease))
        .data(shared.clone())
        .map_to_response()
}

/// Counts a call; returns the answer, as an error, if a fault keeps the call from being served.
async fn check_call(shared: &Shared, name: &'static str) -> Result<(), Response> {
    *shared.tables().calls.entry(name).or_default() += 1;
    let fault = shared.tables().fault;
    match fault {
        StoreFault::None | StoreFault::WriteAnswersLost => Ok(()),
        StoreFault::Unavailable => Err(StatusCode::SERVICE_UNAVAILABLE.into_response()),
        StoreFault::Unresponsive => {
            tokio::time::sleep(Duration::from_secs(60)).await;
            Err(StatusCode::SERVICE_UNAVAILABLE.into_response())
        }
    }
}

/// Returns the answer to a completed write, late if the fault says so.
async fn answer_write(shared: &Shared, answer: Response) -> Response {
    if shared.tables().fault == StoreFault::WriteAnswersLost {
        tokio::time::sleep(Duration::from_secs(60)).await;
    }
    answer
}

/// JSON text of an item.
fn item_body(key: &str, item: &Item) -> String {
    if let Some(raw) = &item.raw {
        return raw.replace("$rev", &item.rev.to_string());
    }
    json!({ "key": key, "value": STANDARD.encode(&item.value), "rev": item.rev,
        "made": item.created_rev, "lease": item.lease })
    .to_string()
}

fn json_response(text: String) -> Response {
    Response::builder().content_type("application/json").body(text)
}

#[derive(Deserialize)]
struct KeyQuery {
    key: String,
}

#[handler]
async fn read(Data(shared): Data<&Arc<Shared>>, Query(query): Query<KeyQuery>) -> Response {
    if let Err(answer) = check_call(shared, "kv-key").await {
        return answer;
    }
    let tables = shared.tables();
    match tables.items.get(&query.key) {
        Some(item) => json_response(item_body(&query.key, item)),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

#[derive(Deserialize)]
struct RangeQuery {
    path_prefix: String,
    #[serde(default)]
    after: String,
    /// Whether the answer may be old.
    #[serde(default)]
    stale: u8,
}

#[handler]
async fn range(Data(shared): Data<&Arc<Shared>>, Query(query): Query<RangeQuery>) -> Response {
    if let Err(answer) = check_call(shared, "kv-range").await {
        return answer;
    }
    let mut tables = shared.tables();
    *tables.pages.entry(query.path_prefix.clone()).or_default() += 1;
    let newest = (tables.rev, &tables.items);
    let held = tables.stale.as_ref().filter(|_| query.stale == 1);
    let (at, items) = held.map_or(newest, |(rev, items)| (*rev, items));
    let mut items =
        items.iter().filter(|(key, _)| key.starts_with(&query.path_prefix) && **key > query.after);
    let page: Vec<String> =
        items.by_ref().take(PAGE_ITEMS).map(|(key, item)| item_body(key, item)).collect();
    let more = items.next().is_some();
    json_response(format!(r#"{{"items":[{}],"more":{more},"at":{at}}}"#, page.join(",")))
}

#[derive(Deserialize)]
struct WatchQuery {
    path_prefix: String,
    after: u64,
    wait_ms: u64,
}

#[handler]
async fn watch_items(
    Data(shared): Data<&Arc<Shared>>,
    Query(query): Query<WatchQuery>,
) -> Response {
    let mut changed = shared.changed.subscribe();
    let deadline = tokio::time::Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        if let Err(answer) = check_call(shared, "kv-watch").await {
            return answer;
        }
        changed.mark_unchanged();
        if let Some(answer) = events_after(&shared.tables(), &query) {
            return answer;
        }
        if tokio::time::timeout_at(deadline, changed.changed()).await.is_err() {
            let at = shared.tables().rev;
            return Json(json!({ "events": [], "at": at })).into_response();
        }
    }
}

fn events_after(tables: &Tables, query: &WatchQuery) -> Option<Response> {
    if query.after < tables.compacted_rev {
        return Some(StatusCode::GONE.into_response());
    }
    let events: Vec<String> = tables
        .history
        .iter()
        .filter(|(rev, key, _)| *rev > query.after && key.starts_with(&query.path_prefix))
        .map(|(rev, key, item)| match item {
            Some(item) => item_body(key, item),
            None => json!({ "key": key, "rev": rev, "gone": true }).to_string(),
        })
        .collect();
    let at = tables.rev;
    let events = (!events.is_empty()).then(|| events.join(","))?;
    Some(json_response(format!(r#"{{"events":[{events}],"at":{at}}}"#)))
}

#[derive(Deserialize)]
struct Expected {
    key: String,
    rev: u64,
}

#[derive(Deserialize)]
struct Put {
    key: String,
    value: String,
    lease: u64,
}

#[derive(Deserialize)]
struct Txn {
    expected: Vec<Expected>,
    put: Vec<Put>,
    remove: Vec<String>,
}

#[handler]
async fn transact(Data(shared): Data<&Arc<Shared>>, Json(txn): Json<Txn>) -> Response {
    if let Err(answer) = check_call(shared, "kv-txn").await {
        return answer;
    }
    let answer = apply(&mut shared.tables(), &txn);
    shared.notify_watches();
    answer_write(shared, answer).await
}

fn apply(tables: &mut Tables, txn: &Txn) -> Response {
    let rev_of = |key: &str| tables.items.get(key).map_or(0, |item| item.rev);
    if txn.expected.iter().any(|expected| rev_of(&expected.key) != expected.rev) {
        return StatusCode::PRECONDITION_FAILED.into_response();
    }
    if txn.put.iter().any(|put| put.lease != 0 && !tables.leases.contains_key(&put.lease)) {
        return StatusCode::NOT_FOUND.into_response();
    }
    for put in &txn.put {
        let value = STANDARD.decode(&put.value).unwrap_or_default();
        tables.put(&put.key, &value, put.lease);
    }
    for key in &txn.remove {
        tables.remove(key);
    }
    Json(json!({ "rev": tables.rev })).into_response()
}

#[derive(Deserialize)]
struct LeaseRequest {
    ttl_ms: u64,
}

#[handler]
async fn open_lease(
    Data(shared): Data<&Arc<Shared>>,
    Json(request): Json<LeaseRequest>,
) -> Response {
    if let Err(answer) = check_call(shared, "kv-lease").await {
        return answer;
    }
    let id = fastrand::u64(1..1 << 40);
    let ttl = Duration::from_millis(request.ttl_ms);
    shared.tables().leases.insert(id, (ttl, Instant::now() + ttl));
    let ttl_ms = shared.tables().named_ttl_ms.unwrap_or(request.ttl_ms);
    answer_write(shared, Json(json!({ "lease": id, "ttl_ms": ttl_ms })).into_response()).await
}

#[handler]
async fn keep_lease(Data(shared): Data<&Arc<Shared>>, Path(id): Path<u64>) -> Response {
    if let Err(answer) = check_call(shared, "kv-keep").await {
        return answer;
    }
    let mut tables = shared.tables();
    match tables.leases.get_mut(&id) {
        Some((ttl, expires_at)) => {
            *expires_at = Instant::now() + *ttl;
            let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or_default();
            Json(json!({ "ttl_ms": ttl_ms })).into_response()
        }
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

#[handler]
async fn end_lease(Data(shared): Data<&Arc<Shared>>, Path(id): Path<u64>) -> Response {
    if let Err(answer) = check_call(shared, "kv-lease-end").await {
        return answer;
    }
    shared.tables().leases.remove(&id);
    shared.tables().remove_expired();
    shared.notify_watches();
    StatusCode::OK.into_response()
}
