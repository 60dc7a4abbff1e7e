//! The platform's metadata store.

use std::collections::BTreeMap;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{json_answer, Connection, Message};
use crate::json::{base64, Json};

#[derive(Clone)]
struct Item {
    /// In base64, as sent.
    value: String,
    rev: u64,
    made: u64,
    lease: u64,
}

#[derive(Default)]
struct Tables {
    rev: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (u64, Instant)>,
    next_lease: u64,
}

impl Tables {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.rev += 1;
        let made = self.items.get(key).map_or(self.rev, |item| item.made);
        let item = Item { value, rev: self.rev, made, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.rev, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            self.history.push((self.rev, key.to_owned(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (_, until)| now < *until);
        let gone: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease != 0 && !self.leases.contains_key(&item.lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            self.remove(&key);
        }
    }
}

#[derive(Default)]
struct Shared {
    tables: Mutex<Tables>,
    changed: Condvar,
}

pub struct Store {
    shared: Arc<Shared>,
}

impl Store {
    pub fn start(address: &str) -> Self {
        let shared = Arc::new(Shared::default());
        let listener = TcpListener::bind(address).expect("address of the store");
        let serving = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = serving.clone();
                thread::spawn(move || serve(stream, &shared));
            }
        });
        let expiring = shared.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            expiring.tables.lock().unwrap().expire();
            expiring.changed.notify_all();
        });
        Self { shared }
    }

    /// Writes an item, as the operator or a worker does; returns once the store has taken it.
    pub fn put(&self, key: &str, value: &str) {
        self.shared.tables.lock().unwrap().put(key, base64(value.as_bytes()), 0);
        self.shared.changed.notify_all();
    }
}

fn serve(stream: TcpStream, shared: &Shared) {
    let mut connection = Connection::new(stream);
    while let Some(request) = connection.message() {
        let answer = answer(shared, &request);
        if !connection.write(&answer) {
            return;
        }
    }
}

fn item(key: &str, item: &Item) -> String {
    let Item { value, rev, made, lease } = item;
    format!(r#"{{"key":"{key}","value":"{value}","rev":{rev},"made":{made},"lease":{lease}}}"#)
}

fn answer(shared: &Shared, request: &Message) -> Vec<u8> {
    let path = request.word().split('?').next().unwrap_or_default();
    let call = path.strip_prefix("/coursestile/").unwrap_or_default();
    let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
    let mut tables = shared.tables.lock().unwrap();
    let prefix = request.query("path_prefix").unwrap_or_default();
    if call == "kv-range" {
        let after = request.query("after").unwrap_or_default();
        let found = tables.items.iter();
        let found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = found.map(|(key, found)| item(key, found)).collect();
        let text = format!(r#"{{"items":[{}],"more":false,"at":{}}}"#, items.join(","), tables.rev);
        return json_answer(200, &text);
    }
    if call == "kv-watch" {
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let (after, wait_ms) = (number("after").unwrap_or(0), number("wait_ms").unwrap_or(0));
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let news = tables.history.iter();
            let news = news.filter(|(rev, key, _)| *rev > after && key.starts_with(prefix));
            let events: Vec<String> = news
                .map(|(rev, key, known)| match known {
                    Some(known) => item(key, known),
                    None => format!(r#"{{"key":"{key}","rev":{rev},"gone":true}}"#),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let text = format!(r#"{{"events":[{}],"at":{}}}"#, events.join(","), tables.rev);
                return json_answer(200, &text);
            }
            tables = shared.changed.wait_timeout(tables, until - now).unwrap().0;
        }
    }
    let answer = match call {
        "kv-key" => {
            let key = request.query("key").unwrap_or_default();
            let found = tables.items.get(key).map(|found| item(key, found));
            found.map_or_else(|| json_answer(404, "{}"), |text| json_answer(200, &text))
        }
        "kv-txn" => transact(&mut tables, &body),
        "kv-lease" => {
            let ttl_ms = body.get("ttl_ms").map_or(1000, Json::number);
            tables.next_lease += 1;
            let id = 70_000 + tables.next_lease;
            let until = Instant::now() + Duration::from_millis(ttl_ms);
            tables.leases.insert(id, (ttl_ms, until));
            json_answer(200, &format!(r#"{{"lease":{id},"ttl_ms":{ttl_ms}}}"#))
        }
        _ => {
            let id = call.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
            if call.starts_with("kv-keep/") {
                match tables.leases.get_mut(&id) {
                    Some((ttl_ms, until)) => {
                        *until = Instant::now() + Duration::from_millis(*ttl_ms);
                        json_answer(200, &format!(r#"{{"ttl_ms":{ttl_ms}}}"#))
                    }
                    None => json_answer(404, "{}"),
                }
            } else if call.starts_with("kv-lease-end/") {
                tables.leases.remove(&id);
                tables.expire();
                json_answer(200, "{}")
            } else {
                json_answer(404, "{}")
            }
        }
    };
    drop(tables);
    shared.changed.notify_all();
    answer
}

fn transact(tables: &mut Tables, body: &Json) -> Vec<u8> {
    let rows = |name| body.get(name).map(Json::list).unwrap_or_default();
    let key = |row: &Json| row.get("key").map(Json::text).unwrap_or_default().to_owned();
    let holds = rows("expected").iter().all(|row| {
        let rev = tables.items.get(&key(row)).map_or(0, |item| item.rev);
        Some(rev) == row.get("rev").map(Json::number)
    });
    if !holds {
        let expected = rows("expected").iter().map(key);
        let items: Vec<String> = expected
            .filter_map(|key| tables.items.get(&key).map(|found| item(&key, found)))
            .collect();
        return json_answer(412, &format!(r#"{{"items":[{}]}}"#, items.join(",")));
    }
    let lease = |row: &Json| row.get("lease").map(Json::number).unwrap_or_default();
    let alive = |row: &Json| lease(row) == 0 || tables.leases.contains_key(&lease(row));
    if !rows("put").iter().all(alive) {
        return json_answer(404, "{}");
    }
    for row in rows("put") {
        let value = row.get("value").map(Json::text).unwrap_or_default().to_owned();
        tables.put(&key(row), value, lease(row));
    }
    for row in rows("remove") {
        tables.remove(row.text());
    }
    json_answer(200, &format!(r#"{{"rev":{}}}"#, tables.rev))
}
