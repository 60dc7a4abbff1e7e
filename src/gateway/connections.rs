//! Connections to upstreams, one request at a time on each.
//!
//! A connection is used again only after a whole answer, and not for long: an
//! upstream may close an idle one at any time, and a request that crosses the
//! close may or may not have run. Whether a byte of a request left is known
//! here and nowhere else.
//!
//! Open connections may go silent while new ones work, mostly many at once. When
//! one was found so, all that are idle are suspects and are closed: a new one
//! costs a round trip, a request on a silent one is lost if it may run only once.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, Response, header};
use hyper_util::rt::TokioIo;
use log::{debug, info};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use crate::clock::now_ms;
use crate::sync::locked;

/// Time in which a connection must come up: many round trips, less than the
/// second after which a lost packet is sent again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which unacknowledged bytes end a connection.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1800);
/// Time between probes of a connection on which nothing moves, in seconds.
const KEEPALIVE_S: u64 = 1;
/// Probes without an answer that end a connection, where the system does not go by
/// [`SILENCE_TIMEOUT`]: its own number would let silence last for ten seconds.
const KEEPALIVE_PROBES: u32 = 2;
/// Longest idle time when the upstream names none.
const IDLE_MS: u64 = 3000;
/// Margin kept to the idle time that the upstream names.
const IDLE_MARGIN_MS: u64 = 500;
/// Time that the rest of a request may take to leave after its answer.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection to an upstream.
pub type Connection = SendRequest<Full<Bytes>>;

struct Idle {
    connection: Connection,
    until_ms: u64,
}

/// Connections that wait for a request.
#[derive(Default)]
struct Pool {
    /// By the id of their upstream.
    idle: HashMap<String, Vec<Idle>>,
    /// When all were closed as suspects.
    closed_at_ms: u64,
}

impl Pool {
    /// Closes all; their number. Silence that began before they were closed the
    /// last time says nothing of those that wait now.
    fn close_suspects(&mut self, now_ms: u64, silent_since_ms: u64) -> Option<usize> {
        if silent_since_ms < self.closed_at_ms {
            return None;
        }
        self.closed_at_ms = now_ms;
        Some(self.idle.drain().map(|(_, waiting)| waiting.len()).sum())
    }
}

/// Connections to upstreams.
#[derive(Default)]
pub struct Connections {
    pool: Arc<Mutex<Pool>>,
}

/// Why a request was not answered.
#[derive(Debug)]
pub enum SendError {
    /// No byte of it left.
    NotSent(String),
    /// It may have arrived.
    Unknown(String),
}

impl Connections {
    /// A connection to an upstream, used before or new.
    ///
    /// # Errors
    /// Fails when none comes up in time.
    pub async fn check_out(&self, id: &str, address: SocketAddr) -> Result<Connection, String> {
        if let Some(connection) = self.take_idle(id) {
            return Ok(connection);
        }
        self.open(address).await.map_err(|error| error.to_string())
    }

    async fn open(&self, address: SocketAddr) -> io::Result<Connection> {
        metrics::counter!("coursestile_connections_opened_total").increment(1);
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let late = |_| io::Error::new(io::ErrorKind::TimedOut, "no connection in time");
        let stream = connecting.await.map_err(late)??;
        set_socket_options(&stream)?;
        let handshake = http1::Builder::new().handshake(TokioIo::new(stream)).await;
        let (connection, driver) = handshake.map_err(io::Error::other)?;
        let pool = self.pool.clone();
        tokio::spawn(async move {
            if let Err(error) = driver.await {
                debug!(target: "connections", "event=closed upstream={address} cause=\"{error}\"");
                if is_timeout(&error) {
                    // The first probe without an answer left that long ago.
                    close_suspects(&pool, now_ms().saturating_sub(KEEPALIVE_S * 1000));
                }
            }
        });
        Ok(connection)
    }

    fn take_idle(&self, id: &str) -> Option<Connection> {
        let now_ms = now_ms();
        let mut pool = locked(&self.pool);
        let waiting = pool.idle.get_mut(id)?;
        while let Some(one) = waiting.pop() {
            if one.until_ms > now_ms && one.connection.is_ready() {
                return Some(one.connection);
            }
        }
        None
    }

    /// Keeps a connection for the next request, once the last one has left it.
    pub async fn check_in(&self, id: &str, head: &HeaderMap, mut connection: Connection) {
        let Some(idle_ms) = idle_ms(head) else {
            return;
        };
        let settled = tokio::time::timeout(SETTLE_TIMEOUT, connection.ready()).await;
        if matches!(settled, Ok(Ok(()))) {
            self.push(id, connection, idle_ms);
        }
    }

    /// Keeps a new connection for the next request.
    pub fn add_idle(&self, id: &str, connection: Connection) {
        self.push(id, connection, IDLE_MS);
    }

    fn push(&self, id: &str, connection: Connection, idle_ms: u64) {
        let until_ms = now_ms() + idle_ms;
        locked(&self.pool)
            .idle
            .entry(id.to_owned())
            .or_default()
            .push(Idle { connection, until_ms });
    }

    /// Closes connections that have been idle for long.
    pub fn close_expired(&self, now_ms: u64) {
        let mut pool = locked(&self.pool);
        for waiting in pool.idle.values_mut() {
            waiting.retain(|one| one.until_ms > now_ms && !one.connection.is_closed());
        }
        pool.idle.retain(|_, waiting| !waiting.is_empty());
    }

    /// Closes all idle connections, since one to an upstream is silent.
    pub fn close_suspects(&self, silent_since_ms: u64) {
        close_suspects(&self.pool, silent_since_ms);
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle_to(&self, id: &str) {
        locked(&self.pool).idle.remove(id);
    }
}

fn close_suspects(pool: &Mutex<Pool>, silent_since_ms: u64) {
    let closed = locked(pool).close_suspects(now_ms(), silent_since_ms);
    if let Some(count) = closed.filter(|count| *count > 0) {
        info!(target: "connections",
            "event=connections_suspected closed={count} silent_since_ms={silent_since_ms}");
        metrics::counter!("coursestile_connections_suspected_total").increment(count as u64);
    }
}

/// Whether the system gave a connection up for its silence.
fn is_timeout(error: &hyper::Error) -> bool {
    let cause = std::error::Error::source(error);
    let cause = cause.and_then(|cause| cause.downcast_ref::<std::io::Error>());
    cause.is_some_and(|cause| cause.kind() == std::io::ErrorKind::TimedOut)
}

/// Sends a request and waits for the head of its answer.
///
/// # Errors
/// Fails with whether the request can have arrived.
pub async fn send(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, SendError> {
    match connection.try_send_request(request).await {
        Ok(response) => Ok(response),
        Err(mut error) => {
            let cause = error_with_cause(error.error());
            let unsent = error.take_message().is_some();
            Err(if unsent { SendError::NotSent(cause) } else { SendError::Unknown(cause) })
        }
    }
}

/// An error with what caused it.
#[must_use]
pub fn error_with_cause(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}

/// Makes silence of the other side visible in bounded time.
///
/// # Errors
/// Fails when the socket refuses an option.
pub fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(SILENCE_TIMEOUT))?;
    let period = Duration::from_secs(KEEPALIVE_S);
    let keepalive =
        TcpKeepalive::new().with_time(period).with_interval(period).with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}

/// How long a connection may be idle after this answer; `None` when it closes.
fn idle_ms(head: &HeaderMap) -> Option<u64> {
    let text = |name| head.get(name).and_then(|value| value.to_str().ok());
    if text(header::CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        return None;
    }
    let named_s = text(header::HeaderName::from_static("keep-alive"))
        .and_then(|value| value.split(',').find_map(|item| item.trim().strip_prefix("timeout=")))
        .and_then(|seconds| seconds.trim().parse::<u64>().ok());
    match named_s {
        Some(seconds) => (seconds * 1000).checked_sub(IDLE_MARGIN_MS).map(|ms| ms.min(IDLE_MS)),
        None => Some(IDLE_MS),
    }
}
