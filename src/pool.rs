//! HTTP connections kept open to one outside system.
//!
//! A connection can go silent while both its ends stay up: the system's keep-alive
//! shows it where the network loses what is sent, and only a time-out of the call's
//! own where it does not. The connections kept beside one that was silent have most
//! likely gone the same way, so all are let go together, and the next call connects
//! anew.

use std::sync::Mutex;
use std::time::Duration;

use reqwest::Client;

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
pub struct Pool {
    current: Mutex<Connections>,
    max_idle: usize,
}

/// The connections that a call uses.
#[derive(Clone)]
pub struct Connections {
    /// Client that opens and keeps them.
    pub http: Client,
    generation: u64,
}

impl Default for Pool {
    fn default() -> Self {
        Self::new(MAX_IDLE_CONNECTIONS)
    }
}

impl Pool {
    fn new(max_idle: usize) -> Self {
        let current = Mutex::new(Connections { http: client(max_idle), generation: 0 });
        Self { current, max_idle }
    }

    /// A pool that keeps no connection: each call opens its own.
    #[must_use]
    pub fn unkept() -> Self {
        Self::new(0)
    }

    /// The connections to use for a call.
    #[must_use]
    pub fn connections(&self) -> Connections {
        locked(&self.current).clone()
    }

    /// Lets the kept connections go, since a call over `used` was not answered in
    /// time; does nothing when that was done already.
    pub fn silent(&self, used: &Connections) {
        let mut current = locked(&self.current);
        if current.generation == used.generation {
            let generation = used.generation + 1;
            *current = Connections { http: client(self.max_idle), generation };
            metrics::counter!("coursestile_silent_connections_total").increment(1);
        }
    }
}

fn client(max_idle: usize) -> Client {
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
