//! The platform's metadata store: items with revisions, watches, transactions
//! and leases, and the faults that it can have.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use poem::http::StatusCode;
use poem::listener::{Acceptor, Listener, TcpListener};
use poem::web::{Data, Json, Path, Query};
use poem::{
    Endpoint, EndpointExt, IntoResponse, Request, Response, Route, Server, delete, get, handler,
    post,
};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Items on one page.
const PAGE: usize = 3;
/// How often leases are looked at.
const LEASE_PERIOD: Duration = Duration::from_millis(20);

/// What is wrong with the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    #[default]
    None,
    /// It answers 503 to everything; leases run out.
    Busy,
    /// It says nothing.
    Silent,
    /// Writes are done and not answered.
    AnswersLost,
}

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    rev: u64,
    made: u64,
    lease: u64,
}

#[derive(Default)]
struct Tables {
    rev: u64,
    items: BTreeMap<String, Item>,
    history: VecDeque<(u64, String, Option<Item>)>,
    forgotten: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    trouble: Trouble,
    calls: BTreeMap<&'static str, u64>,
}

impl Tables {
    fn put(&mut self, key: &str, value: &[u8], lease: u64) {
        self.rev += 1;
        let made = self.items.get(key).map_or(self.rev, |item| item.made);
        let item = Item { value: value.to_vec(), rev: self.rev, made, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push_back((self.rev, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            self.history.push_back((self.rev, key.to_owned(), None));
        }
    }

    fn lapse(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (_, until)| *until > now);
        let leases = &self.leases;
        let gone: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease != 0 && !leases.contains_key(&item.lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            self.remove(&key);
        }
    }
}

struct Shared {
    tables: Mutex<Tables>,
    changed: watch::Sender<u64>,
}

impl Shared {
    fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().expect("no task panics under the lock")
    }

    fn tell(&self) {
        self.changed.send_modify(|count| *count += 1);
    }
}

/// The store.
pub struct Metadata {
    /// Address.
    pub address: String,
    shared: Arc<Shared>,
    serving: JoinHandle<()>,
}

impl Metadata {
    /// Starts an empty store.
    ///
    /// # Panics
    /// Panics when no address can be had.
    pub async fn start() -> Self {
        let shared = Arc::new(Shared { tables: Mutex::default(), changed: watch::Sender::new(0) });
        let acceptor = TcpListener::bind("127.0.0.1:0").into_acceptor().await.expect("address");
        let address = acceptor.local_addr()[0].as_socket_addr().expect("address").to_string();
        let lapsing = shared.clone();
        let app = routes(&shared);
        let serving = tokio::spawn(async move {
            tokio::select! {
                result = Server::new_with_acceptor(acceptor).run(app) => drop(result),
                () = lapse(lapsing) => {}
            }
        });
        Self { address, shared, serving }
    }

    /// Opens another address of the same store, for one box.
    ///
    /// # Panics
    /// Panics when no address can be had.
    pub async fn door(&self) -> Door {
        let acceptor = TcpListener::bind("127.0.0.1:0").into_acceptor().await.expect("address");
        let address = acceptor.local_addr()[0].as_socket_addr().expect("address").to_string();
        let closed = Arc::new(AtomicBool::new(false));
        let turned_away = closed.clone();
        let app = routes(&self.shared).before(move |request: Request| {
            let turned_away = turned_away.load(Ordering::Relaxed);
            async move {
                if turned_away {
                    return Err(poem::Error::from_status(StatusCode::SERVICE_UNAVAILABLE));
                }
                Ok(request)
            }
        });
        let serving = tokio::spawn(async move {
            // It ends with the test.
            let _ = Server::new_with_acceptor(acceptor).run(app).await;
        });
        Door { address, closed, serving }
    }

    /// Writes an item, as the operator or an upstream does.
    pub fn put(&self, key: &str, value: &[u8], lease: u64) {
        self.shared.tables().put(key, value, lease);
        self.shared.tell();
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.shared.tables().remove(key);
        self.shared.tell();
    }

    /// Content of an item.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.shared.tables().items.get(key).map(|item| item.value.clone())
    }

    /// Brings trouble, or ends it.
    pub fn trouble(&self, trouble: Trouble) {
        self.shared.tables().trouble = trouble;
        // Waiting watches are cut.
        self.shared.tell();
    }

    /// Forgets the changes so far.
    pub fn compact(&self) {
        let mut tables = self.shared.tables();
        tables.history.clear();
        tables.forgotten = tables.rev;
        drop(tables);
        self.shared.tell();
    }

    /// How often a call was made.
    #[must_use]
    pub fn calls(&self, name: &str) -> u64 {
        self.shared.tables().calls.get(name).copied().unwrap_or_default()
    }
}

/// An address of the store for one box, which the store may turn away.
pub struct Door {
    /// Address.
    pub address: String,
    closed: Arc<AtomicBool>,
    serving: JoinHandle<()>,
}

impl Door {
    /// Turns the box away from now on; a waiting watch goes on.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }
}

impl Drop for Door {
    fn drop(&mut self) {
        self.serving.abort();
    }
}

impl Drop for Metadata {
    fn drop(&mut self) {
        self.serving.abort();
    }
}

/// The store's calls.
fn routes(shared: &Arc<Shared>) -> impl Endpoint<Output = Response> + 'static {
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

async fn lapse(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(LEASE_PERIOD).await;
        let before = shared.tables().rev;
        shared.tables().lapse();
        if shared.tables().rev != before {
            shared.tell();
        }
    }
}

/// Counts a call, and answers it as the trouble has it; true lets it through.
async fn pass(shared: &Shared, name: &'static str) -> Result<(), Response> {
    *shared.tables().calls.entry(name).or_default() += 1;
    let trouble = shared.tables().trouble;
    match trouble {
        Trouble::None | Trouble::AnswersLost => Ok(()),
        Trouble::Busy => Err(StatusCode::SERVICE_UNAVAILABLE.into_response()),
        Trouble::Silent => {
            tokio::time::sleep(Duration::from_secs(60)).await;
            Err(StatusCode::SERVICE_UNAVAILABLE.into_response())
        }
    }
}

/// Answers a write that is done.
async fn written(shared: &Shared, answer: Response) -> Response {
    if shared.tables().trouble == Trouble::AnswersLost {
        tokio::time::sleep(Duration::from_secs(60)).await;
    }
    answer
}

fn item_body(key: &str, item: &Item) -> Value {
    json!({ "key": key, "value": STANDARD.encode(&item.value), "rev": item.rev,
        "made": item.made, "lease": item.lease })
}

#[derive(Deserialize)]
struct KeyQuery {
    key: String,
}

#[handler]
async fn read(Data(shared): Data<&Arc<Shared>>, Query(query): Query<KeyQuery>) -> Response {
    if let Err(answer) = pass(shared, "kv-key").await {
        return answer;
    }
    let tables = shared.tables();
    match tables.items.get(&query.key) {
        Some(item) => Json(item_body(&query.key, item)).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

#[derive(Deserialize)]
struct RangeQuery {
    path_prefix: String,
    #[serde(default)]
    after: String,
}

#[handler]
async fn range(Data(shared): Data<&Arc<Shared>>, Query(query): Query<RangeQuery>) -> Response {
    if let Err(answer) = pass(shared, "kv-range").await {
        return answer;
    }
    let tables = shared.tables();
    let mut items = tables
        .items
        .iter()
        .filter(|(key, _)| key.starts_with(&query.path_prefix) && **key > query.after);
    let page: Vec<Value> =
        items.by_ref().take(PAGE).map(|(key, item)| item_body(key, item)).collect();
    let more = items.next().is_some();
    Json(json!({ "items": page, "more": more, "at": tables.rev })).into_response()
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
    let until = tokio::time::Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        if let Err(answer) = pass(shared, "kv-watch").await {
            return answer;
        }
        changed.mark_unchanged();
        if let Some(answer) = events_after(&shared.tables(), &query) {
            return answer;
        }
        if tokio::time::timeout_at(until, changed.changed()).await.is_err() {
            let at = shared.tables().rev;
            return Json(json!({ "events": [], "at": at })).into_response();
        }
    }
}

fn events_after(tables: &Tables, query: &WatchQuery) -> Option<Response> {
    if query.after < tables.forgotten {
        return Some(StatusCode::GONE.into_response());
    }
    let events: Vec<Value> = tables
        .history
        .iter()
        .filter(|(rev, key, _)| *rev > query.after && key.starts_with(&query.path_prefix))
        .map(|(rev, key, item)| match item {
            Some(item) => item_body(key, item),
            None => json!({ "key": key, "rev": rev, "gone": true }),
        })
        .collect();
    let at = tables.rev;
    (!events.is_empty()).then(|| Json(json!({ "events": events, "at": at })).into_response())
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
    if let Err(answer) = pass(shared, "kv-txn").await {
        return answer;
    }
    let answer = apply(&mut shared.tables(), &txn);
    shared.tell();
    written(shared, answer).await
}

fn apply(tables: &mut Tables, txn: &Txn) -> Response {
    let rev_of = |key: &str| tables.items.get(key).map_or(0, |item| item.rev);
    if txn.expected.iter().any(|one| rev_of(&one.key) != one.rev) {
        return StatusCode::PRECONDITION_FAILED.into_response();
    }
    if txn.put.iter().any(|one| one.lease != 0 && !tables.leases.contains_key(&one.lease)) {
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
struct LeaseAsk {
    ttl_ms: u64,
}

#[handler]
async fn open_lease(Data(shared): Data<&Arc<Shared>>, Json(ask): Json<LeaseAsk>) -> Response {
    if let Err(answer) = pass(shared, "kv-lease").await {
        return answer;
    }
    let id = fastrand::u64(1..1 << 40);
    let ttl = Duration::from_millis(ask.ttl_ms);
    shared.tables().leases.insert(id, (ttl, Instant::now() + ttl));
    written(shared, Json(json!({ "lease": id, "ttl_ms": ask.ttl_ms })).into_response()).await
}

#[handler]
async fn keep_lease(Data(shared): Data<&Arc<Shared>>, Path(id): Path<u64>) -> Response {
    if let Err(answer) = pass(shared, "kv-keep").await {
        return answer;
    }
    let mut tables = shared.tables();
    match tables.leases.get_mut(&id) {
        Some((ttl, until)) => {
            *until = Instant::now() + *ttl;
            let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or_default();
            Json(json!({ "ttl_ms": ttl_ms })).into_response()
        }
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

#[handler]
async fn end_lease(Data(shared): Data<&Arc<Shared>>, Path(id): Path<u64>) -> Response {
    if let Err(answer) = pass(shared, "kv-lease-end").await {
        return answer;
    }
    shared.tables().leases.remove(&id);
    shared.tables().lapse();
    shared.tell();
    StatusCode::OK.into_response()
}
