//! What engines and stores tell of the context that they keep, and the calls
//! that free it.

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
use crate::platform::http::{HttpClient, decoded, whole_ms};

/// Time for which a call for events waits; calls that wait 200 ms or more cost
/// nothing.
pub const EVENTS_WAIT_MS: u64 = 1000;
/// Time in which a call must be answered beyond its wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// What no clock shows, in Unix milliseconds: the year 10000, so that no sum with a
/// difference of clocks overflows.
const MOST_CLOCK_MS: f64 = 253_402_300_800_000.0;

/// An item of a list. Each is read by itself: what another writer put there spoils no other.
#[derive(Deserialize)]
#[serde(untagged)]
enum Item<T> {
    Read(T),
    Unreadable(IgnoredAny),
}

/// Number, sign, scope, part, tokens that are kept now, model. The sign says no more than
/// the tokens.
type Event = (u64, String, String, String, u32, String);
/// Scope, part, tokens, model.
type Held = (String, String, u32, String);
/// Scope, part, whole tokens, all tokens.
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
    /// Unix milliseconds of its start.
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

/// Calls to engines and stores about kept context.
#[derive(Clone)]
pub struct CacheClient {
    http: HttpClient,
}

impl CacheClient {
    /// Calls over `http`.
    #[must_use]
    pub fn new(http: HttpClient) -> Self {
        Self { http }
    }

    /// Waits for changes after `since`.
    ///
    /// # Errors
    /// Fails when the holder does not answer as it should.
    pub async fn changes(&self, address: SocketAddr, since: u64) -> Result<CacheChanges> {
        let url = format!("http://{address}/coursestile/kv-events?since={since}");
        let timeout = CALL_TIMEOUT + Duration::from_millis(EVENTS_WAIT_MS);
        let request = self.http.get(&url).header("Wait-Ms", EVENTS_WAIT_MS).timeout(timeout);
        read_changes(address, &self.bytes(request).await?)
    }

    /// Lists all that is kept. Engines stop working meanwhile.
    ///
    /// # Errors
    /// Fails when the holder does not answer as it should.
    pub async fn list(&self, address: SocketAddr) -> Result<CacheListing> {
        let url = format!("http://{address}/coursestile/kv-list");
        let body = self.bytes(self.http.get(&url).timeout(CALL_TIMEOUT)).await?;
        read_listing(address, &body)
    }

    /// Sends a call; the body of its answer.
    async fn bytes(&self, request: RequestBuilder) -> Result<Bytes> {
        let answer = self.http.send(request).await?;
        // Each holder serves a few such calls at once.
        if answer.status() == StatusCode::TOO_MANY_REQUESTS {
            return Err(Error::Busy(answer.url().to_string()));
        }
        self.http.bytes(self.http.success(answer)?).await
    }

    /// Frees parts of a store, unless it has restarted since `boot` or
    /// `until_ms` on the upstreams' clock is over when the call arrives.
    ///
    /// # Errors
    /// Fails when the store does not answer as it should; the parts may be
    /// freed all the same, until `until_ms`.
    pub async fn free(
        &self,
        address: SocketAddr,
        parts: &[CachedPart],
        boot: u64,
        until_ms: u64,
    ) -> Result<FreeOutcome> {
        let url = format!("http://{address}/coursestile/kv-free");
        let parts = parts.iter().map(|kept| (kept.scope.as_str(), kept.part_id.as_str()));
        let body = FreeBody { parts: parts.collect(), boot_epoch: boot, until_ms };
        let request = self.http.post(&url).json(&body).timeout(CALL_TIMEOUT);
        let answer = self.http.send(request).await?;
        if answer.status() == StatusCode::CONFLICT {
            return Ok(FreeOutcome::Refused);
        }
        self.http.success(answer)?;
        Ok(FreeOutcome::Freed)
    }
}

/// Reads the changes that a holder tells.
///
/// # Errors
/// Fails when they are not such; an event that is none makes a gap.
pub fn read_changes(holder: SocketAddr, body: &[u8]) -> Result<CacheChanges> {
    let body: EventsBody = decoded(body)?;
    let told = body.events.len();
    let events = readable(holder, body.events);
    let all_read = events.len() == told;
    let changes = events.into_iter().map(|(_, _, scope, part, tokens, _)| CacheChange {
        part: CachedPart { scope, part_id: part },
        tokens,
    });
    Ok(CacheChanges {
        boot_epoch: body.boot_epoch,
        next_position: body.next_token,
        gap: body.lost || !all_read,
        changes: changes.collect(),
        clock_ms: body.clock_ms.and_then(|clock_ms| read_clock(holder, clock_ms)),
        started_at_ms: body.born,
    })
}

/// Reads a holder's list of all that it keeps.
///
/// # Errors
/// Fails when it is none; an item that is no part is left out.
pub fn read_listing(holder: SocketAddr, body: &[u8]) -> Result<CacheListing> {
    let body: ListBody = decoded(body)?;
    let held = readable(holder, body.held).into_iter().map(|(scope, part, tokens, _)| {
        CacheChange { part: CachedPart { scope, part_id: part }, tokens }
    });
    let partial =
        readable(holder, body.partial).into_iter().map(|(scope, part, complete_tokens, _)| {
            PartialPart { part: CachedPart { scope, part_id: part }, complete_tokens }
        });
    Ok(CacheListing {
        boot_epoch: body.boot_epoch,
        next_position: body.next_token,
        complete: held.collect(),
        partial: partial.collect(),
    })
}

/// The items that can be read.
fn readable<T>(holder: SocketAddr, items: Vec<Item<T>>) -> Vec<T> {
    let told = items.len();
    let read: Vec<T> = items
        .into_iter()
        .filter_map(|item| match item {
            Item::Read(read) => Some(read),
            Item::Unreadable(_) => None,
        })
        .collect();
    if read.len() < told {
        let count = told - read.len();
        warn!(target: "caches", "event=items_unreadable holder={holder} count={count}");
        metrics::counter!("coursestile_items_unreadable_total").increment(count as u64);
    }
    read
}

/// A clock in whole milliseconds, if it can be one.
fn read_clock(holder: SocketAddr, clock_ms: f64) -> Option<u64> {
    if (0.0..MOST_CLOCK_MS).contains(&clock_ms) {
        return Some(whole_ms(clock_ms));
    }
    warn!(target: "caches", "event=clock_unreadable holder={holder} clock_ms={clock_ms}");
    None
}
