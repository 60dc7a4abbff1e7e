//! Client of the platform's metadata store: items, watches, transactions, leases.
//!
//! Every call has a timeout. A call without an answer may have been executed, or may still be
//! executed later; its connection is closed, since the store sends nothing more on it.

use std::time::Duration;

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use log::warn;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use reqwest::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::value::RawValue;

use crate::error::Result;
use crate::gateway::metadata::{
    Change, Freshness, Item, Lease, Page, WatchResult, WatchWait, WriteOutcome,
};
use crate::platform::http::HttpClient;

/// Timeout of most calls: 250 times the usual 4 ms.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time in which a page of a listing must arrive: it may have 1 MB, and boxes share slow links.
const PAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of the renewal of a lease: short, so that there is time for another attempt.
const RENEW_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest lease that the store grants. A longer one would let this box count on what nobody granted.
const MAX_LEASE_MS: u64 = 600_000;
/// Longest part of a key that is logged.
const MAX_LOGGED_KEY_CHARS: usize = 200;
/// Characters of a key that have another meaning in a query.
const ESCAPED: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'/').remove(b'_').remove(b'~');
/// Lease id of items that are written without a lease.
const NO_LEASE: u64 = 0;

/// Client of the platform's metadata store.
#[derive(Clone)]
pub struct MetadataClient {
    http: HttpClient,
    address: String,
}

/// An item. A field other than its key may hold anything.
#[derive(Deserialize)]
struct ItemBody<'a> {
    key: String,
    #[serde(borrow)]
    value: Option<&'a RawValue>,
    #[serde(borrow)]
    rev: Option<&'a RawValue>,
    /// Set by a watch if the item was removed.
    #[serde(borrow)]
    gone: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct RangeBody {
    items: Vec<Box<RawValue>>,
    more: bool,
    /// Revision of the store at the time of the answer.
    at: u64,
}

#[derive(Deserialize)]
struct WatchBody {
    events: Vec<Box<RawValue>>,
    at: u64,
}

#[derive(Serialize)]
struct TxnBody<'a> {
    expected: Vec<Expected<'a>>,
    put: Vec<Put<'a>>,
    remove: Vec<&'a str>,
}

#[derive(Serialize)]
struct Expected<'a> {
    key: &'a str,
    /// Revision that the item must have; 0 if there must be none.
    rev: u64,
}

#[derive(Serialize)]
struct Put<'a> {
    key: &'a str,
    value: String,
    lease: u64,
}

#[derive(Deserialize)]
struct TxnDone {
    rev: u64,
}

#[derive(Serialize)]
struct LeaseRequest {
    ttl_ms: u64,
}

#[derive(Deserialize)]
struct LeaseBody {
    lease: u64,
    ttl_ms: u64,
}

impl MetadataClient {
    /// Creates a client of the store at `address` (IP address and port).
    #[must_use]
    pub fn new(http: HttpClient, address: &str) -> Self {
        Self { http, address: address.to_owned() }
    }

    /// Reads items whose keys start with `prefix`, from the key `after` on. The pages are not a
    /// consistent snapshot: the caller has to watch from the revision of the oldest.
    ///
    /// # Errors
    /// Fails when the store does not answer in time, or not with a valid answer.
    pub async fn list_page(
        &self,
        prefix: &str,
        after: Option<&str>,
        freshness: Freshness,
    ) -> Result<Page> {
        let stale = match freshness {
            Freshness::Latest => "",
            Freshness::Stale => "&stale=1",
        };
        let after = after.map(|key| format!("&after={}", escape(key))).unwrap_or_default();
        let path = format!("kv-range?path_prefix={}{stale}{after}", escape(prefix));
        let answer = self.call(Method::GET, &path, None::<&()>, PAGE_TIMEOUT).await?;
        let body: RangeBody = self.decode(answer).await?;
        let changes = body.items.iter().filter_map(|item| change(item, body.at));
        let items = changes.filter_map(|change| match change {
            Change::Put(item) => Some(item),
            Change::Removed { .. } => None,
        });
        let items = items.collect();
        Ok(Page { items, has_more: body.more, at_revision: body.at })
    }

    /// Waits for changes after the revision `after`.
    ///
    /// # Errors
    /// Fails when the store does not answer in time, or not with a valid answer.
    pub async fn watch(&self, prefix: &str, after: u64, wait: WatchWait) -> Result<WatchResult> {
        let WatchWait { wait_ms, grace_ms } = wait;
        let prefix = escape(prefix);
        let path = format!("kv-watch?path_prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let timeout = Duration::from_millis(wait_ms + grace_ms);
        let answer = self.call(Method::GET, &path, None::<&()>, timeout).await?;
        if answer.status() == StatusCode::GONE {
            return Ok(WatchResult::HistoryLost);
        }
        let body: WatchBody = self.decode(answer).await?;
        let changes = body.events.iter().filter_map(|event| change(event, body.at)).collect();
        Ok(WatchResult::Changes { changes, at_revision: body.at })
    }

    /// Writes `value`, under a lease if one is given, provided that the item has the revision
    /// `expected` (0 if there must be no item).
    ///
    /// # Errors
    /// Fails when the store does not answer; the write may still take effect.
    pub async fn write(
        &self,
        key: &str,
        expected: u64,
        value: &[u8],
        lease: Option<Lease>,
    ) -> Result<WriteOutcome> {
        let lease = lease.map_or(NO_LEASE, |lease| lease.id);
        let put = Put { key, value: BASE64_STANDARD.encode(value), lease };
        let expected = vec![Expected { key, rev: expected }];
        self.transact(&TxnBody { expected, put: vec![put], remove: Vec::new() }).await
    }

    /// Writes `value` without a lease, provided that the item has the revision `expected` (0 if
    /// there must be no item) and the item `guard` has the revision `guard_revision`.
    ///
    /// # Errors
    /// Fails when the store does not answer; the write may still take effect.
    pub async fn write_guarded(
        &self,
        key: &str,
        expected: u64,
        value: &[u8],
        (guard, guard_revision): (&str, u64),
    ) -> Result<WriteOutcome> {
        let put = Put { key, value: BASE64_STANDARD.encode(value), lease: NO_LEASE };
        let expected =
            vec![Expected { key, rev: expected }, Expected { key: guard, rev: guard_revision }];
        self.transact(&TxnBody { expected, put: vec![put], remove: Vec::new() }).await
    }

    async fn transact(&self, body: &TxnBody<'_>) -> Result<WriteOutcome> {
        let answer = self.call(Method::POST, "kv-txn", Some(body), CALL_TIMEOUT).await?;
        match answer.status() {
            StatusCode::PRECONDITION_FAILED => Ok(WriteOutcome::Conflict),
            StatusCode::NOT_FOUND => Ok(WriteOutcome::LeaseOver),
            _ => {
                let done: TxnDone = self.decode(answer).await?;
                Ok(WriteOutcome::Done { revision: done.rev })
            }
        }
    }

    /// Opens a lease. Its duration counts from the arrival of the call at the store.
    ///
    /// # Errors
    /// Fails when the store does not answer in time, or not with a valid answer.
    pub async fn open_lease(&self, ttl_ms: u64) -> Result<Lease> {
        let request = LeaseRequest { ttl_ms };
        let answer = self.call(Method::POST, "kv-lease", Some(&request), CALL_TIMEOUT).await?;
        let body: LeaseBody = self.decode(answer).await?;
        Ok(Lease { id: body.lease, ttl_ms: body.ttl_ms.min(MAX_LEASE_MS) })
    }

    /// Renews a lease; returns false if it has ended.
    ///
    /// # Errors
    /// Fails when the store does not answer in time, or not with a valid answer.
    pub async fn renew_lease(&self, lease: Lease) -> Result<bool> {
        let path = format!("kv-keep/{}", lease.id);
        let answer = self.call(Method::POST, &path, None::<&()>, RENEW_TIMEOUT).await?;
        Ok(answer.status() != StatusCode::NOT_FOUND)
    }

    /// Ends a lease, which removes the items written under it.
    ///
    /// # Errors
    /// Fails when the store does not answer in time, or not with a valid answer.
    pub async fn end_lease(&self, lease: Lease) -> Result<()> {
        let path = format!("kv-lease-end/{}", lease.id);
        self.call(Method::DELETE, &path, None::<&()>, CALL_TIMEOUT).await.map(drop)
    }

    /// Sends a call. Answers with a status that callers handle themselves are returned; all other
    /// error statuses are errors.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&impl Serialize>,
        timeout: Duration,
    ) -> Result<Response> {
        let url = format!("http://{}/coursestile/{path}", self.address);
        let mut request = self.http.request(method, &url).timeout(timeout);
        if let Some(body) = body {
            request = request.json(body);
        }
        let answer = self.http.send(request).await?;
        match answer.status() {
            StatusCode::NOT_FOUND | StatusCode::GONE | StatusCode::PRECONDITION_FAILED => {
                Ok(answer)
            }
            _ => self.http.success(answer),
        }
    }

    async fn decode<T: DeserializeOwned>(&self, answer: Response) -> Result<T> {
        self.http.body(self.http.success(answer)?).await
    }
}

/// Escapes a key for a query.
fn escape(key: &str) -> String {
    utf8_percent_encode(key, ESCAPED).to_string()
}

/// Decodes an item of an answer that shows the store at the revision `at`; `None` if its key cannot be
/// read.
///
/// An item whose value is not valid base64 gets an empty value: what its key held before is gone. A
/// revision that is missing, or later than `at`, counts as `at`: a box that took it for known would
/// ignore all changes up to it.
fn change(text: &RawValue, at: u64) -> Option<Change> {
    let ItemBody { key, value, rev, gone } = match serde_json::from_str(text.get()) {
        Ok(body) => body,
        Err(error) => {
            log_unreadable("-", &error);
            return None;
        }
    };
    let revision = rev.and_then(|rev| serde_json::from_str(rev.get()).ok());
    let revision = revision.unwrap_or(at).min(at);
    if gone.is_some_and(|gone| serde_json::from_str(gone.get()).unwrap_or(false)) {
        return Some(Change::Removed { key, revision });
    }
    let value = read_value(value).unwrap_or_else(|cause| {
        log_unreadable(&key, &cause);
        Vec::new()
    });
    Some(Change::Put(Item { key, value, revision }))
}

/// The bytes of a value; none if there is no value.
fn read_value(value: Option<&RawValue>) -> std::result::Result<Vec<u8>, String> {
    let Some(value) = value else { return Ok(Vec::new()) };
    let text: String = serde_json::from_str(value.get()).map_err(|error| error.to_string())?;
    BASE64_STANDARD.decode(text).map_err(|error| error.to_string())
}

fn log_unreadable(key: &str, cause: &dyn std::fmt::Display) {
    let key: String = key.chars().take(MAX_LOGGED_KEY_CHARS).collect();
    warn!(target: "metadata", "event=item_unreadable key={key} cause=\"{cause}\"");
    metrics::counter!("coursestile_items_unreadable_total").increment(1);
}
