//! Stand-in for the platform's key-value service.
//!
//! Implements the key-value and session calls of Consul's HTTP interface:
//! compare-and-swap with `?cas=`, leases with sessions and `?acquire=`, watches
//! with blocking queries (`?index=&wait=`). Calls are rate-limited per second,
//! reads and writes separately; a blocking query counts as one read.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use poem::http::StatusCode;
use poem::web::{Data, Json, Path, Query};
use poem::{EndpointExt, IntoResponse, Response, Route, get, handler, put};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::faults::{Faults, serve};

/// Largest value that is accepted, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Longest wait of a blocking query.
const MAX_WAIT: Duration = Duration::from_secs(60);

#[derive(Clone)]
struct Entry {
    value: Vec<u8>,
    modify_index: u64,
    lock_index: u64,
    session: Option<String>,
}

struct Session {
    ttl: Duration,
    expires_at: Instant,
}

#[derive(Default)]
struct RateLimit {
    second: u64,
    used: u64,
    total: u64,
    refused: u64,
}

impl RateLimit {
    fn try_take(&mut self, second: u64, limit: u64) -> bool {
        if self.second != second {
            (self.second, self.used) = (second, 0);
        }
        self.total += 1;
        self.used += 1;
        let admitted = self.used <= limit;
        self.refused += u64::from(!admitted);
        admitted
    }
}

#[derive(Default)]
struct Tables {
    index: u64,
    entries: BTreeMap<String, Entry>,
    sessions: BTreeMap<String, Session>,
    reads: RateLimit,
    writes: RateLimit,
}

impl Tables {
    fn expire_sessions(&mut self) {
        let now = Instant::now();
        self.sessions.retain(|_, session| session.expires_at > now);
        let sessions = &self.sessions;
        for entry in self.entries.values_mut() {
            let held = entry.session.as_ref();
            if held.is_some_and(|id| !sessions.contains_key(id)) {
                entry.session = None;
            }
        }
    }
}

/// State of the service.
struct Kv {
    tables: Mutex<Tables>,
    changed: watch::Sender<u64>,
    started_at: Instant,
    reads_per_s: u64,
    writes_per_s: u64,
}

enum CallKind {
    Read,
    Write,
}

impl Kv {
    fn admit(&self, call: &CallKind) -> Result<(), poem::Error> {
        let second = self.started_at.elapsed().as_secs();
        let mut tables = self.tables.lock().expect("kv lock");
        let admitted = match call {
            CallKind::Read => tables.reads.try_take(second, self.reads_per_s),
            CallKind::Write => tables.writes.try_take(second, self.writes_per_s),
        };
        if admitted {
            return Ok(());
        }
        Err(poem::Error::from_status(StatusCode::TOO_MANY_REQUESTS))
    }

    /// Returns the index of the last write to a key that starts with `prefix`, and the names
    /// of these keys.
    fn list(&self, prefix: &str) -> (u64, Option<Value>) {
        let tables = self.tables.lock().expect("kv lock");
        let found = tables.entries.iter().filter(|(key, _)| key.starts_with(prefix));
        let (names, indexes): (Vec<_>, Vec<_>) =
            found.map(|(key, entry)| (key.clone(), entry.modify_index)).unzip();
        let index = indexes.into_iter().max();
        (index.unwrap_or(0), index.map(|_| json!(names)))
    }

    /// Returns the index to report, the index of the last write to the key, and the body of
    /// the answer. With `names_only`, `key` is a prefix.
    fn lookup(&self, key: &str, names_only: bool) -> (u64, u64, Option<Value>) {
        if names_only {
            let (index, names) = self.list(key);
            return (index, index, names);
        }
        let (index, entry) = self.read(key);
        (index, modify_index(entry.as_ref()), entry)
    }

    fn read(&self, key: &str) -> (u64, Option<Value>) {
        let mut tables = self.tables.lock().expect("kv lock");
        tables.expire_sessions();
        let entry = tables.entries.get(key).map(|entry| entry_body(key, entry));
        (tables.index, entry)
    }
}

fn entry_body(key: &str, entry: &Entry) -> Value {
    json!([{
        "Key": key,
        "Value": STANDARD.encode(&entry.value),
        "ModifyIndex": entry.modify_index,
        "LockIndex": entry.lock_index,
        "Session": entry.session,
    }])
}

#[derive(Deserialize)]
struct ReadQuery {
    keys: Option<String>,
    index: Option<u64>,
    wait: Option<String>,
}

#[derive(Deserialize)]
struct WriteQuery {
    cas: Option<u64>,
    acquire: Option<String>,
    release: Option<String>,
}

fn parse_duration(text: &str) -> Duration {
    let seconds = text.trim_end_matches('s').parse().unwrap_or(10);
    Duration::from_secs(seconds).min(MAX_WAIT)
}

fn modify_index(entry: Option<&Value>) -> u64 {
    entry.map_or(0, |value| value[0]["ModifyIndex"].as_u64().unwrap_or(0))
}

#[handler]
async fn read_key(
    Path(key): Path<String>,
    Query(query): Query<ReadQuery>,
    Data(kv): Data<&Arc<Kv>>,
) -> poem::Result<Response> {
    kv.admit(&CallKind::Read)?;
    let mut changed = kv.changed.subscribe();
    let wait = query.wait.as_deref().map_or(MAX_WAIT, parse_duration);
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        let (index, modify_index, entry) = kv.lookup(&key, query.keys.is_some());
        // Index 0 requests an immediate answer.
        let has_changed = query.index.is_none_or(|seen| seen == 0 || modify_index > seen);
        let timed_out =
            !has_changed && tokio::time::timeout_at(deadline, changed.changed()).await.is_err();
        if has_changed || timed_out {
            let status = entry.as_ref().map_or(StatusCode::NOT_FOUND, |_| StatusCode::OK);
            let body = Json(entry.unwrap_or(Value::Null));
            return Ok((status, body).with_header("X-Consul-Index", index.max(1)).into_response());
        }
    }
}

#[handler]
fn write_key(
    Path(key): Path<String>,
    Query(query): Query<WriteQuery>,
    body: Vec<u8>,
    Data(kv): Data<&Arc<Kv>>,
) -> poem::Result<Response> {
    kv.admit(&CallKind::Write)?;
    if body.len() > MAX_VALUE_BYTES {
        return Ok(StatusCode::PAYLOAD_TOO_LARGE.into());
    }
    let mut tables = kv.tables.lock().expect("kv lock");
    tables.expire_sessions();
    let written = write(&mut tables, &key, &query, body);
    kv.changed.send_replace(tables.index);
    Ok(Json(written).into_response())
}

#[handler]
fn delete_key(Path(key): Path<String>, Data(kv): Data<&Arc<Kv>>) -> poem::Result<Json<bool>> {
    kv.admit(&CallKind::Write)?;
    let mut tables = kv.tables.lock().expect("kv lock");
    tables.index += 1;
    tables.entries.remove(&key);
    Ok(Json(true))
}

fn write(tables: &mut Tables, key: &str, query: &WriteQuery, value: Vec<u8>) -> bool {
    let old = tables.entries.get(key).cloned();
    let old_index = old.as_ref().map_or(0, |entry| entry.modify_index);
    if query.cas.is_some_and(|expected| expected != old_index) {
        return false;
    }
    let mut lock_index = old.as_ref().map_or(0, |entry| entry.lock_index);
    let mut session = old.and_then(|entry| entry.session);
    if let Some(id) = &query.acquire {
        let free = session.as_ref().is_none_or(|holder| holder == id);
        if !free || !tables.sessions.contains_key(id) {
            return false;
        }
        lock_index += u64::from(session.is_none());
        session = Some(id.clone());
    }
    if let Some(id) = &query.release {
        if session.as_ref() != Some(id) {
            return false;
        }
        session = None;
    }
    tables.index += 1;
    let modify_index = tables.index;
    let entry = Entry { value, modify_index, lock_index, session };
    tables.entries.insert(key.to_owned(), entry);
    true
}

#[derive(Deserialize)]
struct SessionRequest {
    #[serde(rename = "TTL")]
    ttl: String,
}

#[handler]
fn create_session(
    Json(request): Json<SessionRequest>,
    Data(kv): Data<&Arc<Kv>>,
) -> poem::Result<Json<Value>> {
    kv.admit(&CallKind::Write)?;
    let ttl = parse_duration(&request.ttl);
    let id = format!("{:016x}", fastrand::u64(..));
    let session = Session { ttl, expires_at: Instant::now() + ttl };
    kv.tables.lock().expect("kv lock").sessions.insert(id.clone(), session);
    Ok(Json(json!({ "ID": id })))
}

#[handler]
fn renew_session(Path(id): Path<String>, Data(kv): Data<&Arc<Kv>>) -> poem::Result<StatusCode> {
    kv.admit(&CallKind::Write)?;
    let mut tables = kv.tables.lock().expect("kv lock");
    tables.expire_sessions();
    let Some(session) = tables.sessions.get_mut(&id) else {
        return Ok(StatusCode::NOT_FOUND);
    };
    session.expires_at = Instant::now() + session.ttl;
    Ok(StatusCode::OK)
}

#[handler]
fn counts(Data(kv): Data<&Arc<Kv>>) -> Json<Value> {
    let tables = kv.tables.lock().expect("kv lock");
    Json(json!({
        "reads": tables.reads.total, "reads_refused": tables.reads.refused,
        "writes": tables.writes.total, "writes_refused": tables.writes.refused,
    }))
}

/// Runs the service until the process ends.
///
/// # Errors
/// Fails when the address cannot be bound.
pub async fn run(listen: &str, reads_per_s: u64, writes_per_s: u64) -> std::io::Result<()> {
    let kv = Arc::new(Kv {
        tables: Mutex::default(),
        changed: watch::Sender::new(0),
        started_at: Instant::now(),
        reads_per_s,
        writes_per_s,
    });
    let routes = Route::new()
        .at("/v1/kv/*key", get(read_key).put(write_key).delete(delete_key).data(kv.clone()))
        .at("/v1/session/create", put(create_session.data(kv.clone())))
        .at("/v1/session/renew/:id", put(renew_session.data(kv.clone())))
        .at("/counts", get(counts.data(kv)));
    serve(listen, routes, Faults::default()).await
}
