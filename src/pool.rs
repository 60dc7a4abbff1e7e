//! HTTP connections kept open to one outside system.
//!
//! A connection can go silent while both its ends stay up: the system's keep-alive
//! shows it where the network loses what is sent, and only a time-out of the call's
//! own where it does not. The connections kept beside one that was silent have most
//! likely gone the same way, so all are let go together, and the next call connects
//! anew.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use reqwest::{Client, RequestBuilder, Response};

use crate::sync::locked;

/// Time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Connections kept open to one system for later calls.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Time for which they are kept.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);
/// Silence after which the kernel probes a connection, and time between its probes.
pub const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is over.
pub const KEEPALIVE_RETRIES: u32 = 2;
/// Time for which bytes that were sent may stay unacknowledged.
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// The connections to one system.
pub struct ConnectionPool {
    current: Mutex<ClientGeneration>,
    max_idle: usize,
}

/// Connections that are let go together.
#[derive(Clone)]
struct ClientGeneration {
    http: Client,
    number: u64,
}

/// The connections that a call uses.
#[derive(Clone)]
pub struct PooledClient {
    /// Client that opens and keeps them.
    pub http: Client,
    number: u64,
    pool: Arc<ConnectionPool>,
}

impl Default for ConnectionPool {
    fn default() -> Self {
        Self::with_max_idle(MAX_IDLE_CONNECTIONS)
    }
}

impl ConnectionPool {
    fn with_max_idle(max_idle: usize) -> Self {
        let current = Mutex::new(ClientGeneration { http: build_client(max_idle), number: 0 });
        Self { current, max_idle }
    }

    /// A pool that keeps no connection: each call opens its own.
    #[must_use]
    pub fn without_reuse() -> Self {
        Self::with_max_idle(0)
    }

    /// The connections to use for a call.
    #[must_use]
    pub fn client(self: &Arc<Self>) -> PooledClient {
        let ClientGeneration { http, number } = locked(&self.current).clone();
        PooledClient { http, number, pool: self.clone() }
    }
}

impl PooledClient {
    /// Sends a call; when it is not answered in time, the others are let go.
    ///
    /// # Errors
    /// Fails as the call does.
    pub async fn send(&self, call: RequestBuilder) -> reqwest::Result<Response> {
        let answer = call.send().await;
        if answer.as_ref().is_err_and(reqwest::Error::is_timeout) {
            self.report_silent();
        }
        answer
    }

    /// Lets the kept connections go, since one was silent; does nothing when that
    /// was done since this call began.
    pub fn report_silent(&self) {
        let mut current = locked(&self.pool.current);
        if current.number == self.number {
            *current = ClientGeneration {
                http: build_client(self.pool.max_idle),
                number: self.number + 1,
            };
            metrics::counter!("coursestile_silent_connections_total").increment(1);
        }
    }
}

/// A pool for each of several systems.
#[derive(Default)]
pub struct ConnectionPools {
    by_url: Mutex<HashMap<String, Arc<ConnectionPool>>>,
}

impl ConnectionPools {
    /// The connections to use for a call to the system at `url`.
    #[must_use]
    pub fn client(&self, url: &str) -> PooledClient {
        let mut by_url = locked(&self.by_url);
        if let Some(pool) = by_url.get(url) {
            return pool.client();
        }
        by_url.entry(url.to_owned()).or_default().client()
    }
}

fn build_client(max_idle: usize) -> Client {
    let http = Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .tcp_keepalive(KEEPALIVE_PERIOD)
        .tcp_keepalive_interval(KEEPALIVE_PERIOD)
        .tcp_keepalive_retries(KEEPALIVE_RETRIES)
        .tcp_user_timeout(UNACKNOWLEDGED_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
        .build();
    http.expect("a client without TLS can be built")
}
