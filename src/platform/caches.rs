//! What engines and stores tell of the context that they keep, and the calls
//! that free it.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::{RequestBuilder, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::gateway::kept::{CacheChange, CacheChanges, CacheListing, Freed, KeptPart, PartialPart};
use crate::platform::http::{Http, whole_ms};

/// Time for which a call for events waits; calls that wait 200 ms or more cost
/// nothing.
pub const EVENTS_WAIT_MS: u64 = 1000;
/// Time in which a call must be answered beyond its wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
struct EventsBody {
    boot_epoch: u64,
    /// `since` of the next call.
    next_token: u64,
    #[serde(default)]
    lost: bool,
    #[serde(default)]
    events: Vec<(u64, String, String, String, u32, String)>,
    clock_ms: Option<f64>,
    /// Unix milliseconds of its start.
    born: Option<u64>,
}

#[derive(Deserialize)]
struct ListBody {
    boot_epoch: u64,
    next_token: u64,
    #[serde(default)]
    held: Vec<(String, String, u32, String)>,
    #[serde(default)]
    partial: Vec<(String, String, u32, u32)>,
}

#[derive(Serialize)]
struct FreeBody<'a> {
    parts: Vec<(&'a str, &'a str)>,
    boot_epoch: u64,
    until_ms: u64,
}

/// Calls to engines and stores about kept context.
#[derive(Clone)]
pub struct Caches {
    http: Http,
}

impl Caches {
    /// Calls over `http`.
    #[must_use]
    pub fn new(http: Http) -> Self {
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
        let body: EventsBody = self.json(request).await?;
        // The sign says no more than the tokens that are kept now.
        let changes = body.events.into_iter().map(|(_, _sign, scope, part, tokens, _model)| {
            CacheChange { kept: KeptPart { scope, part }, tokens }
        });
        Ok(CacheChanges {
            boot: body.boot_epoch,
            next: body.next_token,
            gap: body.lost,
            changes: changes.collect(),
            clock_ms: body.clock_ms.map(whole_ms),
            started_at_ms: body.born,
        })
    }

    /// Lists all that is kept. Engines stop working meanwhile.
    ///
    /// # Errors
    /// Fails when the holder does not answer as it should.
    pub async fn list(&self, address: SocketAddr) -> Result<CacheListing> {
        let url = format!("http://{address}/coursestile/kv-list");
        let body: ListBody = self.json(self.http.get(&url).timeout(CALL_TIMEOUT)).await?;
        let held = body
            .held
            .into_iter()
            .map(|(scope, part, tokens, _)| CacheChange { kept: KeptPart { scope, part }, tokens });
        let partial = body.partial.into_iter().map(|(scope, part, whole_tokens, _)| PartialPart {
            kept: KeptPart { scope, part },
            whole_tokens,
        });
        Ok(CacheListing {
            boot: body.boot_epoch,
            next: body.next_token,
            held: held.collect(),
            partial: partial.collect(),
        })
    }

    /// Sends a call and decodes the body of its answer.
    async fn json<T: DeserializeOwned>(&self, request: RequestBuilder) -> Result<T> {
        let answer = self.http.send(request).await?;
        // Each holder serves a few such calls at once.
        if answer.status() == StatusCode::TOO_MANY_REQUESTS {
            return Err(Error::Busy(answer.url().to_string()));
        }
        self.http.body(self.http.success(answer)?).await
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
        parts: &[KeptPart],
        boot: u64,
        until_ms: u64,
    ) -> Result<Freed> {
        let url = format!("http://{address}/coursestile/kv-free");
        let parts = parts.iter().map(|kept| (kept.scope.as_str(), kept.part.as_str()));
        let body = FreeBody { parts: parts.collect(), boot_epoch: boot, until_ms };
        let request = self.http.post(&url).json(&body).timeout(CALL_TIMEOUT);
        let answer = self.http.send(request).await?;
        if answer.status() == StatusCode::CONFLICT {
            return Ok(Freed::Refused);
        }
        self.http.success(answer)?;
        Ok(Freed::Done)
    }
}
