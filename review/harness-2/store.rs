//! Stand-in for the platform's store: items, watches, transactions and leases. A read with `stale` = 1
//! shows the store as it was `stale_ms` ago, which the pages allow ("may be seconds old").

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, Message};
use crate::json::{Json, decode_base64, encode_base64};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    rev: u64,
    made: u64,
    lease: u64,
}

struct Event {
    rev: u64,
    at: Instant,
    key: String,
    /// `None` if the item was removed.
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Event>,
    /// Until when each lease lasts, and for how long it is renewed.
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let made = self.items.get(key).map_or(self.rev, |known| known.made);
        let item = Item { value, rev: self.rev, made, lease };
        self.items.insert(key.to_owned(), item.clone());
        let (rev, at) = (self.rev, Instant::now());
        self.history.push(Event { rev, at, key: key.to_owned(), item: Some(item) });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let (rev, at) = (self.rev, Instant::now());
            self.history.push(Event { rev, at, key: key.to_owned(), item: None });
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.rev += 1;
            for key in keys {
                self.remove(&key);
            }
        }
    }

    /// The items as they were at a time, and the revision then.
    fn as_of(&self, time: Instant) -> (BTreeMap<String, Item>, u64) {
        let (mut items, mut rev) = (BTreeMap::new(), 100);
        for event in self.history.iter().filter(|event| event.at <= time) {
            rev = event.rev;
            match &event.item {
                Some(item) => items.insert(event.key.clone(), item.clone()),
                None => items.remove(&event.key),
            };
        }
        (items, rev)
    }
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    /// Age of what a stale read shows.
    pub stale_ms: AtomicU64,
}

impl Store {
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let address = listener.local_addr().expect("an address");
        let state = State { rev: 100, next_lease: 77_000, ..State::default() };
        let store = Arc::new(Self {
            address,
            state: Mutex::new(state),
            changed: Condvar::new(),
            stale_ms: AtomicU64::new(0),
        });
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || {
                    let mut conn = Conn::new(stream);
                    while let Ok(Some(request)) = conn.read_request() {
                        if store.answer(&mut conn, &request).is_err() {
                            break;
                        }
                    }
                });
            }
        });
        let shared = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                let mut state = shared.state.lock().expect("state");
                let now = Instant::now();
                let over: Vec<u64> = state
                    .leases
                    .iter()
                    .filter(|(_, (until, _))| *until <= now)
                    .map(|(id, _)| *id)
                    .collect();
                for id in over {
                    state.end_lease(id);
                    shared.changed.notify_all();
                }
            }
        });
        store
    }

    /// Writes an item for the operator or a worker.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.state.lock().expect("state");
        state.rev += 1;
        state.put(key, value.as_bytes().to_vec(), 0);
        self.changed.notify_all();
    }

    fn answer(&self, conn: &mut Conn, request: &Message) -> std::io::Result<()> {
        let path = request.path().trim_start_matches("/coursestile/").to_owned();
        let (call, id) = path.split_once('/').unwrap_or((&path, ""));
        let id: u64 = id.parse().unwrap_or(0);
        let body = Json::parse(&request.body_text()).unwrap_or(Json::Null);
        match call {
            "kv-key" => {
                let state = self.state.lock().expect("state");
                let key = request.query("key").unwrap_or_default();
                let text = state.items.get(&key).map(|item| item_json(&key, item));
                drop(state);
                match text {
                    Some(text) => conn.respond_json("200 OK", &text),
                    None => conn.respond_json("404 Not Found", "{}"),
                }
            }
            "kv-range" => {
                let stale = request.query("stale").is_some_and(|stale| stale == "1");
                let prefix = request.query("path_prefix").unwrap_or_default();
                let after = request.query("after").unwrap_or_default();
                let state = self.state.lock().expect("state");
                let age = Duration::from_millis(self.stale_ms.load(Ordering::Relaxed));
                let (items, rev) = if stale && !age.is_zero() {
                    state.as_of(Instant::now() - age)
                } else {
                    (state.items.clone(), state.rev)
                };
                drop(state);
                let listed =
                    items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let listed: Vec<String> = listed.map(|(key, item)| item_json(key, item)).collect();
                let text = format!(r#"{{"items":[{}],"more":false,"at":{rev}}}"#, listed.join(","));
                conn.respond_json("200 OK", &text)
            }
            "kv-watch" => {
                let prefix = request.query("path_prefix").unwrap_or_default();
                let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
                let after = number("after").unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
                let mut state = self.state.lock().expect("state");
                loop {
                    let news = state.history.iter().filter(|event| event.rev > after);
                    let news = news.filter(|event| event.key.starts_with(&prefix));
                    let events: Vec<String> = news.map(event_json).collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= until {
                        let text =
                            format!(r#"{{"events":[{}],"at":{}}}"#, events.join(","), state.rev);
                        drop(state);
                        return conn.respond_json("200 OK", &text);
                    }
                    state = self.changed.wait_timeout(state, until - now).expect("state").0;
                }
            }
            "kv-txn" => {
                let mut state = self.state.lock().expect("state");
                let expected = body.get("expected").map_or(&[][..], Json::list);
                let rows = expected.iter().map(|row| {
                    (
                        row.get("key").and_then(Json::text).unwrap_or(""),
                        row.get("rev").and_then(Json::number).unwrap_or(0),
                    )
                });
                let rows: Vec<(&str, u64)> = rows.collect();
                let holds = rows
                    .iter()
                    .all(|(key, rev)| state.items.get(*key).map_or(0, |item| item.rev) == *rev);
                if !holds {
                    let items = rows
                        .iter()
                        .filter_map(|(key, _)| Some(item_json(key, state.items.get(*key)?)));
                    let items: Vec<String> = items.collect();
                    drop(state);
                    return conn.respond_json(
                        "412 Precondition Failed",
                        &format!(r#"{{"items":[{}]}}"#, items.join(",")),
                    );
                }
                let puts = body.get("put").map_or(&[][..], Json::list);
                let lease_of = |put: &Json| put.get("lease").and_then(Json::number).unwrap_or(0);
                if puts
                    .iter()
                    .any(|put| lease_of(put) != 0 && !state.leases.contains_key(&lease_of(put)))
                {
                    drop(state);
                    return conn.respond_json("404 Not Found", "{}");
                }
                state.rev += 1;
                for put in puts {
                    let key = put.get("key").and_then(Json::text).unwrap_or("");
                    let value = decode_base64(put.get("value").and_then(Json::text).unwrap_or(""));
                    state.put(key, value, lease_of(put));
                }
                for key in body.get("remove").map_or(&[][..], Json::list) {
                    state.remove(key.text().unwrap_or(""));
                }
                let rev = state.rev;
                drop(state);
                self.changed.notify_all();
                conn.respond_json("200 OK", &format!(r#"{{"rev":{rev}}}"#))
            }
            "kv-lease" => {
                let ttl_ms =
                    body.get("ttl_ms").and_then(Json::number).unwrap_or(1000).clamp(1000, 600_000);
                let mut state = self.state.lock().expect("state");
                state.next_lease += 1;
                let (id, ttl) = (state.next_lease, Duration::from_millis(ttl_ms));
                state.leases.insert(id, (Instant::now() + ttl, ttl));
                drop(state);
                conn.respond_json("200 OK", &format!(r#"{{"lease":{id},"ttl_ms":{ttl_ms}}}"#))
            }
            "kv-keep" => {
                let mut state = self.state.lock().expect("state");
                let known = state.leases.get_mut(&id);
                let ttl = known.map(|(until, ttl)| {
                    *until = Instant::now() + *ttl;
                    ttl.as_millis()
                });
                drop(state);
                match ttl {
                    Some(ttl) => conn.respond_json("200 OK", &format!(r#"{{"ttl_ms":{ttl}}}"#)),
                    None => conn.respond_json("404 Not Found", "{}"),
                }
            }
            "kv-lease-end" => {
                self.state.lock().expect("state").end_lease(id);
                self.changed.notify_all();
                conn.respond_json("200 OK", "{}")
            }
            _ => conn.respond_json("404 Not Found", "{}"),
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item { value, rev, made, lease } = item;
    let value = encode_base64(value);
    format!(r#"{{"key":"{key}","value":"{value}","rev":{rev},"made":{made},"lease":{lease}}}"#)
}

fn event_json(event: &Event) -> String {
    match &event.item {
        Some(item) => item_json(&event.key, item),
        None => format!(r#"{{"key":"{}","rev":{},"gone":true}}"#, event.key, event.rev),
    }
}
