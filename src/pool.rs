//! Pools of HTTP connections to external systems.
//!
//! A connection can go silent while both of its ends stay up. TCP keep-alive detects that
//! if the network drops packets; otherwise only the timeout of a call does. The other
//! connections in the pool are then most likely silent too, so the whole pool is
//! discarded, and the next call opens a new connection.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use reqwest::{Client, RequestBuilder, Response};

use crate::sync::locked;

/// Timeout of connection attempts.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of idle connections to one system.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Time after which an idle connection is closed.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle time after which TCP sends a keep-alive probe, and time between probes.
pub const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes after which a connection is closed where
/// [`UNACKNOWLEDGED_TIMEOUT`] does not decide that, as it does on Linux whatever their count.
pub const KEEPALIVE_RETRIES: u32 = 2;
/// Time for which sent data may stay unacknowledged before the connection is closed, or the other
/// end silent while a probe is unanswered.
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Pool of connections to one external system.
pub struct ConnectionPool {
    current: Mutex<ClientGeneration>,
    max_idle: usize,
}

/// A client whose connections are discarded together.
#[derive(Clone)]
struct ClientGeneration {
    http: Client,
    number: u64,
}

/// A pool's client, for use by one call.
#[derive(Clone)]
pub struct PooledClient {
    /// Client that opens and reuses connections.
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

    /// A pool without reuse: each call opens a connection of its own.
    #[must_use]
    pub fn without_reuse() -> Self {
        Self::with_max_idle(0)
    }

    /// The client to use for a call.
    #[must_use]
    pub fn client(self: &Arc<Self>) -> PooledClient {
        let ClientGeneration { http, number } = locked(&self.current).clone();
        PooledClient { http, number, pool: self.clone() }
    }
}

impl PooledClient {
    /// Sends a call; when it times out, the pool's connections are discarded.
    ///
    /// # Errors
    /// Fails when the call does.
    pub async fn send(&self, call: RequestBuilder) -> reqwest::Result<Response> {
        let response = call.send().await;
        if response.as_ref().is_err_and(reqwest::Error::is_timeout) {
            self.report_silent();
        }
        response
    }

    /// Discards the pool's connections, as one of them was silent. Does nothing if they
    /// have been discarded since this client was taken from the pool.
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

/// One pool for each of several systems, by URL.
#[derive(Default)]
pub struct ConnectionPools {
    by_url: Mutex<HashMap<String, Arc<ConnectionPool>>>,
}

impl ConnectionPools {
    /// The client to use for a call to the system at `url`.
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
