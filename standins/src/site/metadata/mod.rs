//! The platform's metadata store: items with revisions, watches, transactions
//! and leases, and the faults that it can have.

mod calls;

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use poem::http::StatusCode;
use poem::listener::{Acceptor, Listener, TcpListener};
use poem::{EndpointExt, Request, Server};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use calls::routes;

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
    /// Its content is told as a text that stands for no bytes.
    spoiled: bool,
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
        let item = Item { value: value.to_vec(), rev: self.rev, made, lease, spoiled: false };
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

    /// Writes an item whose content is told as a text that stands for no bytes.
    ///
    /// # Panics
    /// Panics when a task has panicked under the lock.
    pub fn put_spoiled(&self, key: &str) {
        let mut tables = self.shared.tables();
        tables.put(key, b"spoiled", 0);
        let items = tables.items.values_mut();
        let newest = items.max_by_key(|item| item.rev).expect("it was written");
        newest.spoiled = true;
        let newest = newest.clone();
        tables.history.back_mut().expect("it was written").2 = Some(newest);
        drop(tables);
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
    /// Serves the box again.
    pub fn open(&self) {
        self.closed.store(false, Ordering::Relaxed);
    }

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
