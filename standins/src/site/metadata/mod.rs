//! Stand-in for the platform's metadata store: items with revisions, watches,
//! transactions and leases. Tests can inject faults.

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

/// Interval at which expired leases are removed.
const LEASE_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Fault of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// The store works.
    #[default]
    None,
    /// Every call is answered with 503; leases expire as nobody can renew them.
    Unavailable,
    /// Calls get no answer for a minute, and are not carried out.
    Unresponsive,
    /// Writes are carried out, but their answers are held back for a minute.
    WriteAnswersLost,
}

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    rev: u64,
    created_rev: u64,
    lease: u64,
    /// JSON text that is sent in place of the item, if any; `$rev` stands for its revision.
    raw: Option<String>,
}

#[derive(Default)]
struct Tables {
    rev: u64,
    items: BTreeMap<String, Item>,
    /// Revision and items that stale reads get, if not the newest ones.
    stale: Option<(u64, BTreeMap<String, Item>)>,
    history: VecDeque<(u64, String, Option<Item>)>,
    compacted_rev: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    /// Duration that the answer to a call for a lease names, if not the one in force.
    named_ttl_ms: Option<u64>,
    fault: StoreFault,
    calls: BTreeMap<&'static str, u64>,
    /// Pages of listings that were sent, by their prefix.
    pages: BTreeMap<String, u64>,
}

impl Tables {
    fn put(&mut self, key: &str, value: &[u8], lease: u64) {
        self.rev += 1;
        let created_rev = self.items.get(key).map_or(self.rev, |item| item.created_rev);
        let item = Item { value: value.to_vec(), rev: self.rev, created_rev, lease, raw: None };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push_back((self.rev, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            self.history.push_back((self.rev, key.to_owned(), None));
        }
    }

    fn remove_expired(&mut self) {
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

    fn notify_watches(&self) {
        self.changed.send_modify(|count| *count += 1);
    }
}

/// A metadata store.
pub struct Metadata {
    /// Address that it listens on.
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
        let expiring = shared.clone();
        let app = routes(&shared);
        let serving = tokio::spawn(async move {
            tokio::select! {
                result = Server::new_with_acceptor(acceptor).run(app) => drop(result),
                () = expire_leases(expiring) => {}
            }
        });
        Self { address, shared, serving }
    }

    /// Opens another address of the same store, for a single box.
    ///
    /// # Panics
    /// Panics when no address can be had.
    pub async fn open_endpoint(&self) -> MetadataEndpoint {
        let acceptor = TcpListener::bind("127.0.0.1:0").into_acceptor().await.expect("address");
        let address = acceptor.local_addr()[0].as_socket_addr().expect("address").to_string();
        let refuses_calls = Arc::new(AtomicBool::new(false));
        let refusing = refuses_calls.clone();
        let app = routes(&self.shared).before(move |request: Request| {
            let refusing = refusing.load(Ordering::Relaxed);
            async move {
                if refusing {
                    return Err(poem::Error::from_status(StatusCode::SERVICE_UNAVAILABLE));
                }
                Ok(request)
            }
        });
        let serving = tokio::spawn(async move {
            // The task is aborted when the endpoint is dropped.
            let _ = Server::new_with_acceptor(acceptor).run(app).await;
        });
        MetadataEndpoint { address, refuses_calls, serving }
    }

    /// Writes an item, as the operator or an upstream does.
    pub fn put(&self, key: &str, value: &[u8], lease: u64) {
        self.shared.tables().put(key, value, lease);
        self.shared.notify_watches();
    }

    /// Writes an item whose content is sent as text that is not valid base64.
    ///
    /// # Panics
    /// Panics when a task has panicked under the lock.
    pub fn put_undecodable(&self, key: &str) {
        let quoted = serde_json::Value::from(key);
        self.put_raw(key, &format!(r#"{{"key":{quoted},"value":"!c3BvaWxlZA==","rev":$rev}}"#));
    }

    /// Writes an item that is sent as this JSON text, in which `$rev` stands for its revision.
    ///
    /// # Panics
    /// Panics when a task has panicked under the lock.
    pub fn put_raw(&self, key: &str, raw: &str) {
        let mut tables = self.shared.tables();
        tables.put(key, b"", 0);
        let newest = tables.items.get_mut(key).expect("it was written");
        newest.raw = Some(raw.to_owned());
        let newest = newest.clone();
        tables.history.back_mut().expect("it was written").2 = Some(newest);
        drop(tables);
        self.shared.notify_watches();
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.shared.tables().remove(key);
        self.shared.notify_watches();
    }

    /// Content of an item, if it exists.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.shared.tables().items.get(key).map(|item| item.value.clone())
    }

    /// Names this duration in the answers to calls for a lease, whatever is in force.
    pub fn name_lease_ms(&self, ttl_ms: u64) {
        self.shared.tables().named_ttl_ms = Some(ttl_ms);
    }

    /// Sets the fault of the store, or clears it with `StoreFault::None`.
    pub fn set_fault(&self, fault: StoreFault) {
        self.shared.tables().fault = fault;
        // Waiting watches check for the fault too.
        self.shared.notify_watches();
    }

    /// Answers stale reads with what there is now, also later.
    pub fn hold_stale_reads(&self) {
        let mut tables = self.shared.tables();
        tables.stale = Some((tables.rev, tables.items.clone()));
    }

    /// Discards the history of changes; watches from before it get 410 (Gone).
    pub fn compact(&self) {
        let mut tables = self.shared.tables();
        tables.history.clear();
        tables.compacted_rev = tables.rev;
        drop(tables);
        self.shared.notify_watches();
    }

    /// How often a call was made, by the name in its path, such as `kv-range`.
    #[must_use]
    pub fn call_count(&self, name: &str) -> u64 {
        self.shared.tables().calls.get(name).copied().unwrap_or_default()
    }

    /// Number of pages that listings of the items under `prefix` have received.
    #[must_use]
    pub fn page_count(&self, prefix: &str) -> u64 {
        self.shared.tables().pages.get(prefix).copied().unwrap_or_default()
    }
}

/// Another address of the store, for a single box, whose calls can be refused.
pub struct MetadataEndpoint {
    /// Address that it listens on.
    pub address: String,
    refuses_calls: Arc<AtomicBool>,
    serving: JoinHandle<()>,
}

impl MetadataEndpoint {
    /// Serves the box's calls again.
    pub fn accept_calls(&self) {
        self.refuses_calls.store(false, Ordering::Relaxed);
    }

    /// Answers the box's new calls with 503; a watch that already waits goes on.
    pub fn refuse_calls(&self) {
        self.refuses_calls.store(true, Ordering::Relaxed);
    }
}

impl Drop for MetadataEndpoint {
    fn drop(&mut self) {
        self.serving.abort();
    }
}

impl Drop for Metadata {
    fn drop(&mut self) {
        self.serving.abort();
    }
}

async fn expire_leases(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(LEASE_CHECK_PERIOD).await;
        let before = shared.tables().rev;
        shared.tables().remove_expired();
        if shared.tables().rev != before {
            shared.notify_watches();
        }
    }
}
