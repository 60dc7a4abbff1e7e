//! Calls to engines and context stores about the context that they cache: its changes, its full
//! list, and the order to free parts of it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use log::warn;
use reqwest::{RequestBuilder, StatusCode};
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::gateway::decisions::cache_reports::{
    CacheChange, CacheChanges, CacheListing, CachedPart, FreeOutcome, PartialPart,
};
use crate::platform::http::{HttpClient, decode, floor_ms};

/// Time for which a call for events waits if there are none; calls that wait 200 ms or more
/// cost the cache nothing.
pub const EVENTS_WAIT_MS: u64 = 1000;
/// Time in which a call must be answered, in addition to its wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Upper limit for clock readings, in Unix milliseconds: the year 10000, so that adding a clock
/// difference does not overflow.
const MAX_CLOCK_MS: f64 = 253_402_300_800_000.0;

/// An item of a list. Items are decoded one by one, so that an invalid item does not make the
/// others unreadable.
#[derive(Deserialize)]
#[serde(untagged)]
enum Item<T> {
    Read(T),
    Unreadable(IgnoredAny),
}

/// Position, sign, scope, part, tokens now cached, model. The sign adds nothing to the number of
/// tokens and is ignored.
type Event = (u64, String, String, String, u32, String);
/// Scope, part, number of tokens, model.
type Held = (String, String, u32, String);
/// Scope, part, number of complete tokens, number of all tokens.
type Partial = (String, String, u32, u32);

#[derive(Deserialize)]
struct EventsBody {
    boot_epoch: u64,
    /// `since` of the next call.
    next_token: u64,
    #[serde(default)]
    lost: bool,
    #[serde(default)]
    events: Vec<Item<Event>>,
    clock_ms: Option<f64>,
    /// Start of the engine's or store's process, in Unix milliseconds.
    born: Option<u64>,
}

#[derive(Deserialize)]
struct ListBody {
    boot_epoch: u64,
    next_token: u64,
    #[serde(default)]
    held: Vec<Item<Held>>,
    #[serde(default)]
    partial: Vec<Item<Partial>>,
}

#[derive(Serialize)]
struct FreeBody<'a> {
    parts: Vec<(&'a str, &'a str)>,
    boot_epoch: u64,
    until_ms: u64,
}

/// HTTP client for the context that engines and stores cache.
#[derive(Clone)]
pub struct CacheClient {
    http: HttpClient,
}

impl CacheClient {
    /// Creates a client that uses `http`.
    #[must_use]
    pub fn new(http: HttpClient) -> Self {
        Self { http }
    }

    /// Waits for changes after the position `since`.
    ///
    /// # Errors
    /// Fails when the cache does not answer in time, or not with a valid answer.
    pub async fn changes(&self, address: SocketAddr, since: u64) -> Result<CacheChanges> {
        let url = format!("http://{address}/coursestile/kv-events?since={since}");
        let timeout = CALL_TIMEOUT + Duration::from_millis(EVENTS_WAIT_MS);
        let request = self.http.get(&url).header("Wait-Ms", EVENTS_WAIT_MS).timeout(timeout);
        read_changes(address, &self.fetch(request).await?)
    }

    /// Lists all context of a cache. Engines stop working while they answer.
    ///
    /// # Errors
    /// Fails when the cache does not answer in time, or not with a valid answer.
    pub async fn list(&self, address: SocketAddr) -> Result<CacheListing> {
        let url = format!("http://{address}/coursestile/kv-list");
        let body = self.fetch(self.http.get(&url).timeout(CALL_TIMEOUT)).await?;
        read_listing(address, &body)
    }

    /// Sends a call and returns the body of the answer.
    async fn fetch(&self, request: RequestBuilder) -> Result<Bytes> {
        let answer = self.http.send(request).await?;
        // A cache serves only a few such calls at the same time.
        if answer.status() == StatusCode::TOO_MANY_REQUESTS {
            return Err(Error::Busy(answer.url().to_string()));
        }
        self.http.bytes(self.http.success(answer)?).await
    }

    /// Frees parts of a store, unless its incarnation is no longer the one with `boot_epoch`, or
    /// the call arrives after `until_ms` by the upstreams' clock.
    ///
    /// # Errors
    /// Fails when the store does not answer in time, or not with a valid answer; the parts may
    /// still be freed until `until_ms`.
    pub async fn free(
        &self,
        address: SocketAddr,
        parts: &[CachedPart],
        boot_epoch: u64,
        until_ms: u64,
    ) -> Result<FreeOutcome> {
        let url = format!("http://{address}/coursestile/kv-free");
        let parts = parts.iter().map(|part| (part.scope.as_str(), part.part_id.as_str()));
        let body = FreeBody { parts: parts.collect(), boot_epoch, until_ms };
        let request = self.http.post(&url).json(&body).timeout(CALL_TIMEOUT);
        let answer = self.http.send(request).await?;
        if answer.status() == StatusCode::CONFLICT {
            return Ok(FreeOutcome::Refused);
        }
        self.http.success(answer)?;
        Ok(FreeOutcome::Freed)
    }
}

/// Decodes the changes that a cache reports.
///
/// # Errors
/// Fails when the body is invalid. An invalid event does not fail, but counts as a gap.
pub fn read_changes(cache: SocketAddr, body: &[u8]) -> Result<CacheChanges> {
    let body: EventsBody = decode(body)?;
    let reported = body.events.len();
    let events = readable(cache, body.events);
    let all_read = events.len() == reported;
    let changes = events.into_iter().map(|(_, _, scope, part, tokens, _)| CacheChange {
        part: CachedPart { scope, part_id: part },
        tokens,
    });
    Ok(CacheChanges {
        boot_epoch: body.boot_epoch,
        next_position: body.next_token,
        gap: body.lost || !all_read,
        changes: changes.collect(),
        clock_ms: body.clock_ms.and_then(|clock_ms| read_clock(cache, clock_ms)),
        started_at_ms: body.born,
    })
}

/// Decodes a cache's list of all its context.
///
/// # Errors
/// Fails when the body is invalid. An invalid item does not fail, but is left out.
pub fn read_listing(cache: SocketAddr, body: &[u8]) -> Result<CacheListing> {
    let body: ListBody = decode(body)?;
    let complete = readable(cache, body.held).into_iter().map(|(scope, part, tokens, _)| {
        CacheChange { part: CachedPart { scope, part_id: part }, tokens }
    });
    let partial =
        readable(cache, body.partial).into_iter().map(|(scope, part, complete_tokens, _)| {
            PartialPart { part: CachedPart { scope, part_id: part }, complete_tokens }
        });
    Ok(CacheListing {
        boot_epoch: body.boot_epoch,
        next_position: body.next_token,
        complete: complete.collect(),
        partial: partial.collect(),
    })
}

/// The items that could be decoded; the others are logged and counted.
fn readable<T>(cache: SocketAddr, items: Vec<Item<T>>) -> Vec<T> {
    let item_count = items.len();
    let read: Vec<T> = items
        .into_iter()
        .filter_map(|item| match item {
            Item::Read(read) => Some(read),
            Item::Unreadable(_) => None,
        })
        .collect();
    if read.len() < item_count {
        let count = item_count - read.len();
        warn!(target: "caches", "event=items_unreadable holder={cache} count={count}");
        metrics::counter!("coursestile_items_unreadable_total").increment(count as u64);
    }
    read
}

/// Converts a clock reading to whole milliseconds; `None` if it is out of range.
fn read_clock(cache: SocketAddr, clock_ms: f64) -> Option<u64> {
    if (0.0..MAX_CLOCK_MS).contains(&clock_ms) {
        return Some(floor_ms(clock_ms));
    }
    warn!(target: "caches", "event=clock_unreadable holder={cache} clock_ms={clock_ms}");
    None
}
