//! Pool of HTTP/1 connections to upstreams. Each carries one request at a time. A connection leads
//! to its upstream directly, or through a peer (`tunnels`).
//!
//! A connection is reused only after a complete response, and not for long: an upstream may close
//! an idle connection at any time, and a request that crosses the close may or may not have run.
//! Only this module knows whether any byte of a request was sent.
//!
//! Open connections may go silent while new ones work, usually many at once. When one is found
//! silent, all idle connections are closed: a new one costs a round trip, whereas a request that
//! may run only once is lost on a silent one.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
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
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::clock::now_ms;
use crate::gateway::bounded_head::{
    BoundedHead, HeadBound, MAX_BUFFER_BYTES, ReadShares, WriteProgress,
};
use crate::sync::locked;

/// Connect timeout: many round trips, but less than the second after which a lost SYN is
/// retransmitted.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// A connection fails when sent bytes stay unacknowledged for this long, or when nothing has arrived
/// for so long while a keepalive probe is unanswered.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1800);
/// Interval between TCP keepalive probes on an idle connection, in seconds.
const KEEPALIVE_PERIOD_S: u64 = 1;
/// Unanswered probes after which a connection fails where [`SILENCE_TIMEOUT`] does not decide that, as
/// it does on Linux whatever their count: the default count would tolerate ten seconds of silence.
const KEEPALIVE_PROBES: u32 = 2;
/// Longest idle time of a connection; the upstream may announce a shorter one.
const MAX_IDLE_MS: u64 = 3000;
/// Margin below the idle time that the upstream announces.
const IDLE_MARGIN_MS: u64 = 500;
/// How long the rest of a request may take to be sent after its response has ended.
const REQUEST_SENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Size of the system's buffer for bytes that an upstream has sent and nobody has read. By itself, it grows
/// to megabytes for each client that does not read.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;

/// Bytes that are read at a time where the system's buffers are set. Each connection that waits for a slow
/// client holds as many, and a buffer of up to twice the size.
const MAX_READ_BYTES: usize = 16 << 10;

/// How a connection leads to its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    Direct,
    /// Through the peer at this address.
    Tunnel(IpAddr),
}

/// A connection to an upstream.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    pub path: Path,
    head_bound: HeadBound,
    pub written: WriteProgress,
    /// Responses that it has carried.
    responses: u32,
    /// Whether it may be used for another request.
    reusable: bool,
}

impl Connection {
    /// Whether it had carried a response before the present one.
    #[must_use]
    pub fn is_reused(&self) -> bool {
        self.responses > 1
    }

    /// Waits until it takes another request; `false` if it is closed.
    pub async fn wait_until_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Keeps it from being used for another request.
    pub fn forbid_reuse(&mut self) {
        self.reusable = false;
    }
}

/// A new connection, with a task that ends when it is closed.
pub type NewConnection = (Connection, JoinHandle<()>);

struct IdleConnection {
    connection: Connection,
    until_ms: u64,
}

/// Idle connections.
#[derive(Default)]
struct Pool {
    /// By the id of their upstream.
    idle: HashMap<String, Vec<IdleConnection>>,
    /// When all idle connections were last closed because one was silent.
    closed_at_ms: u64,
}

impl Pool {
    /// Closes all idle connections and returns how many. Silence that began before the last time
    /// says nothing about the present ones, so nothing is closed for it.
    fn close_all_idle(&mut self, now_ms: u64, silent_since_ms: u64) -> Option<usize> {
        if silent_since_ms < self.closed_at_ms {
            return None;
        }
        self.closed_at_ms = now_ms;
        Some(self.idle.drain().map(|(_, connections)| connections.len()).sum())
    }
}

/// Connections to upstreams.
pub struct Connections {
    pool: Arc<Mutex<Pool>>,
    /// Bytes that the system keeps in each direction of a new connection, if they are bounded.
    socket_buffer_bytes: Option<usize>,
    read_shares: Arc<ReadShares>,
}

/// Why there is no response to a request.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was sent.
    NotSent(String),
    /// The request may have arrived.
    Unknown(String),
}

impl Connections {
    /// Connections for which the system keeps `socket_buffer_bytes` in each direction. By default it
    /// keeps up to megabytes of what is sent, and little of what is received.
    #[must_use]
    pub fn new(socket_buffer_bytes: Option<usize>) -> Self {
        let max_read_bytes = socket_buffer_bytes.map_or(MAX_BUFFER_BYTES, |_| MAX_READ_BYTES);
        let read_shares = Arc::new(ReadShares::new(max_read_bytes));
        Self { pool: Arc::default(), socket_buffer_bytes, read_shares }
    }

    /// Opens a connection to an upstream's address.
    ///
    /// # Errors
    /// Fails when no connection can be established in time.
    pub async fn open(&self, address: SocketAddr) -> io::Result<NewConnection> {
        metrics::counter!("coursestile_connections_opened_total").increment(1);
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let timed_out =
            |_| io::Error::new(io::ErrorKind::TimedOut, "no connection within the connect timeout");
        let stream = connecting.await.map_err(timed_out)??;
        set_socket_options(&stream)?;
        let socket = SockRef::from(&stream);
        if let Some(bytes) = self.socket_buffer_bytes {
            socket.set_send_buffer_size(bytes)?;
        }
        socket.set_recv_buffer_size(self.socket_buffer_bytes.unwrap_or(RECEIVE_BUFFER_BYTES))?;
        self.start(stream, Path::Direct).await
    }

    /// Starts to use a byte stream that leads to an upstream.
    ///
    /// # Errors
    /// Fails when the HTTP library does not accept it.
    pub async fn start(
        &self,
        io: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
        path: Path,
    ) -> io::Result<NewConnection> {
        let head_bound = HeadBound::default();
        let written = WriteProgress::default();
        let shares = self.read_shares.clone();
        let io = BoundedHead::new(io, head_bound.clone(), written.clone(), shares);
        let io = TokioIo::new(io);
        let handshake = http1::Builder::new().max_buf_size(MAX_BUFFER_BYTES).handshake(io).await;
        let (sender, driver) = handshake.map_err(io::Error::other)?;
        let pool = self.pool.clone();
        let closed = tokio::spawn(async move {
            if let Err(error) = driver.await {
                debug!(target: "connections", "event=closed path={path:?} cause=\"{error}\"");
                if path == Path::Direct && is_timeout(&error) {
                    // The first unanswered probe was sent this long ago.
                    close_all_idle(&pool, now_ms().saturating_sub(KEEPALIVE_PERIOD_S * 1000));
                }
            }
        });
        let connection =
            Connection { sender, path, head_bound, written, responses: 0, reusable: true };
        Ok((connection, closed))
    }

    /// Takes an idle connection to an upstream.
    #[must_use]
    pub fn take_idle(&self, id: &str) -> Option<Connection> {
        let now_ms = now_ms();
        let mut pool = locked(&self.pool);
        let connections = pool.idle.get_mut(id)?;
        while let Some(idle) = connections.pop() {
            if idle.until_ms > now_ms && idle.connection.sender.is_ready() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool once its request has been sent completely.
    pub async fn check_in(&self, id: &str, head: &HeaderMap, mut connection: Connection) {
        let Some(idle_ms) = idle_ms(head).filter(|_| connection.reusable) else {
            return;
        };
        let request_sent =
            tokio::time::timeout(REQUEST_SENT_TIMEOUT, connection.sender.ready()).await;
        if matches!(request_sent, Ok(Ok(()))) {
            self.insert_idle(id, connection, idle_ms);
        }
    }

    /// Adds a new connection to the pool.
    pub fn add_idle(&self, id: &str, connection: Connection) {
        self.insert_idle(id, connection, MAX_IDLE_MS);
    }

    fn insert_idle(&self, id: &str, connection: Connection, idle_ms: u64) {
        let until_ms = now_ms() + idle_ms;
        locked(&self.pool)
            .idle
            .entry(id.to_owned())
            .or_default()
            .push(IdleConnection { connection, until_ms });
    }

    /// Closes connections that have reached their idle time, or whose path is not usable any more.
    pub fn close_expired(&self, now_ms: u64, is_usable: impl Fn(Path) -> bool) {
        let mut pool = locked(&self.pool);
        for connections in pool.idle.values_mut() {
            connections.retain(|idle| {
                let Connection { sender, path, .. } = &idle.connection;
                idle.until_ms > now_ms && !sender.is_closed() && is_usable(*path)
            });
        }
        pool.idle.retain(|_, connections| !connections.is_empty());
    }

    /// Closes all idle connections, because one to an upstream has been silent since
    /// `silent_since_ms`.
    pub fn close_all_idle(&self, silent_since_ms: u64) {
        close_all_idle(&self.pool, silent_since_ms);
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle_to(&self, id: &str) {
        locked(&self.pool).idle.remove(id);
    }
}

fn close_all_idle(pool: &Mutex<Pool>, silent_since_ms: u64) {
    let closed = locked(pool).close_all_idle(now_ms(), silent_since_ms);
    if let Some(count) = closed.filter(|count| *count > 0) {
        info!(target: "connections",
            "event=connections_suspected closed={count} silent_since_ms={silent_since_ms}");
        metrics::counter!("coursestile_connections_suspected_total").increment(count as u64);
    }
}

/// Whether the operating system timed the connection out.
fn is_timeout(error: &hyper::Error) -> bool {
    let cause = std::error::Error::source(error);
    let cause = cause.and_then(|cause| cause.downcast_ref::<std::io::Error>());
    cause.is_some_and(|cause| cause.kind() == std::io::ErrorKind::TimedOut)
}

/// Sends a request and waits for the head of the response.
///
/// # Errors
/// Fails with whether the request may have arrived.
pub async fn send(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, SendError> {
    connection.head_bound.begin();
    let sent = connection.sender.try_send_request(request).await;
    connection.head_bound.end();
    match sent {
        Ok(response) => {
            connection.responses += 1;
            Ok(response)
        }
        Err(mut error) => {
            let cause = error_with_cause(error.error());
            let is_unsent = error.take_message().is_some();
            Err(if is_unsent { SendError::NotSent(cause) } else { SendError::Unknown(cause) })
        }
    }
}

/// The error's message, with that of its source.
#[must_use]
pub fn error_with_cause(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}

/// Sets TCP options so that a silent peer is detected in bounded time.
///
/// # Errors
/// Fails when the socket rejects an option.
pub fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(SILENCE_TIMEOUT))?;
    let period = Duration::from_secs(KEEPALIVE_PERIOD_S);
    let keepalive =
        TcpKeepalive::new().with_time(period).with_interval(period).with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}

/// How long the connection may be idle after a response with these headers; `None` if it closes.
fn idle_ms(head: &HeaderMap) -> Option<u64> {
    let value_of = |name| head.get(name).and_then(|value| value.to_str().ok());
    if value_of(header::CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        return None;
    }
    let announced_s = value_of(header::HeaderName::from_static("keep-alive"))
        .and_then(|value| value.split(',').find_map(|item| item.trim().strip_prefix("timeout=")))
        .and_then(|seconds| seconds.trim().parse::<u64>().ok());
    match announced_s {
        Some(seconds) => (seconds * 1000).checked_sub(IDLE_MARGIN_MS).map(|ms| ms.min(MAX_IDLE_MS)),
        None => Some(MAX_IDLE_MS),
    }
}
