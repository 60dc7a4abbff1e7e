//! Accepts client connections, and serves the load balancer's readiness check and the metrics.

use std::convert::Infallible;
use std::future::pending;
use std::pin::pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body as _, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::debug;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::box_phase::BoxPhase;
use crate::client_connections::{
    ClientConnection, ClientConnections, ClientIo, bound_receive_buffers,
};
use crate::clock::now_ms;
use crate::gateway::client_stream::{ClientStream, CloseDelimited};
use crate::gateway::connections::set_socket_options;
use crate::gateway::decisions::configuration::ClientLimits;
use crate::gateway::follow_metadata::longest_weight_lag_s;
use crate::gateway::kernel::Gateway;
use crate::gateway::relay::client_buffer::{ClientReads, read_ahead};
use crate::gateway::response::is_close_delimited;
use crate::gateway::serve::serve;
use crate::guarded_body::GuardedBody;
use crate::prometheus;
use crate::request_memory::MemoryLimits;
use crate::sync::locked;

/// Pause after `accept` failed, usually because file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time in which the first request on a connection is awaited while the box drains.
pub const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after which the system resets a connection whose client reads nothing at all, where the bytes
/// that the system keeps are bounded. The usual
/// time would end responses that the box holds and that keep no upstream.
const CLOSED_WINDOW_TIMEOUT: Duration = Duration::from_secs(10);
/// Most that connections to the port of the load balancer, or that of the metrics, hold.
const ENDPOINT_LIMITS: MemoryLimits = MemoryLimits { bytes: 1 << 20, descriptors: 32 };
/// Time in which the head of a request arrives there, also on an idle connection.
const ENDPOINT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Smallest buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8192;

/// Accepts client connections until the box drains.
pub async fn accept_clients(gateway: Arc<Gateway>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = gateway.wait_for_phase(BoxPhase::Draining) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                // Without room for it, the connection is closed unread.
                let Some(connection) = gateway.clients.open().await else { continue };
                tokio::spawn(serve_or_shed(gateway.clone(), stream, connection, now_ms()));
            }
            Err(error) => {
                debug!(target: "listener", "event=accept_failed cause=\"{error}\"");
                gateway.clients.evict_oldest();
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    accept_queued(&gateway, listener).await;
}

/// Serves a connection that was accepted at `accepted_at_ms`, or closes it unread if this box does
/// not keep up with its work and there are others for its clients to turn to.
async fn serve_or_shed(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    connection: Arc<ClientConnection>,
    accepted_at_ms: u64,
) {
    let (now_ms, wait_ms) = (now_ms(), now_ms().saturating_sub(accepted_at_ms));
    let is_behind = locked(&gateway.shedding).record_wait(now_ms, wait_ms);
    if is_behind && gateway.state().peers.has_live_hall_peer(now_ms) {
        debug!(target: "listener", "event=connection_shed wait_ms={wait_ms}");
        metrics::counter!("coursestile_connections_shed_total").increment(1);
        return;
    }
    serve_client(gateway, stream, connection).await;
}

/// Accepts the connections that the kernel has established already, since it resets them when the
/// listening socket closes.
async fn accept_queued(gateway: &Arc<Gateway>, listener: TcpListener) {
    let Ok(listener) = listener.into_std() else { return };
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        match stream {
            Ok(stream) => {
                let Some(connection) = gateway.clients.open().await else { continue };
                tokio::spawn(serve_client(gateway.clone(), stream, connection));
            }
            Err(error) => debug!(target: "listener", "event=accept_failed cause=\"{error}\""),
        }
    }
}

async fn serve_client(gateway: Arc<Gateway>, stream: TcpStream, client: Arc<ClientConnection>) {
    if let Err(error) = set_socket_options(&stream) {
        debug!(target: "listener", "event=socket_option_refused cause=\"{error}\"");
    }
    let limits = gateway
        .state()
        .configuration
        .as_ref()
        .map(|configuration| configuration.limits.clone())
        .unwrap_or_default();
    let shared = gateway.clone();
    let request_begun = Arc::new(Notify::new());
    let begun = request_begun.clone();
    let close_delimited = CloseDelimited::default();
    if let Some(bytes) = gateway.settings.socket_buffer_bytes {
        let socket = SockRef::from(&stream);
        let bounded = socket.set_send_buffer_size(bytes);
        if let Err(error) = bounded.and(socket.set_tcp_user_timeout(Some(CLOSED_WINDOW_TIMEOUT))) {
            debug!(target: "listener", "event=socket_option_refused cause=\"{error}\"");
        }
    }
    let reads = gateway
        .settings
        .slow_readers
        .then(|| Arc::new(ClientReads::new(gateway.client_buffers.clone())));
    let stream = ClientStream::new(stream, close_delimited.clone(), reads.clone());
    let stream = ClientIo::new(stream, client.clone());
    let served_client = client.clone();
    let body_reads = reads.clone();
    let open = OnceLock::new();
    let service = service_fn(move |request: Request<Incoming>| {
        begun.notify_one();
        open.get_or_init(|| OpenConnection::begin(&shared.client_connections));
        let (gateway, close_delimited) = (shared.clone(), close_delimited.clone());
        let reads = body_reads.clone();
        let client = served_client.clone();
        let client_request = client.begin_request(!request.body().is_end_stream());
        async move {
            let version = request.version();
            let mut response = serve(gateway.clone(), request, client_request).await;
            if is_close_delimited(version, &response) {
                close_delimited.set();
            }
            if gateway.phase() >= BoxPhase::Leaving || client.closes_after_response() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(match &reads {
                Some(reads) => read_ahead(reads, response),
                None => response,
            })
        }
    });
    let mut connection =
        pin!(http_builder(&limits).serve_connection(TokioIo::new(stream), service));
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = wait_until_closing(&gateway, &request_begun) => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                ended = connection => ended,
                () = wait_until_aborted(reads.as_deref()) => return,
                () = client.wait_until_closed() => return,
            }
        }
        () = client.wait_until_closed() => return,
        // Closing the connection resets it.
        () = wait_until_aborted(reads.as_deref()) => return,
    };
    if let Err(error) = ended {
        debug!(target: "listener", "event=client_connection_broken cause=\"{error}\"");
    }
}

/// Counts a connection on which a request has begun, for as long as this value lives. The last response is
/// on its way until then: the HTTP library may have taken more of it than the client's socket has.
struct OpenConnection(Arc<AtomicUsize>);

impl OpenConnection {
    fn begin(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn wait_until_aborted(reads: Option<&ClientReads>) {
    match reads {
        Some(reads) => reads.wait_until_aborted().await,
        None => pending().await,
    }
}

/// Waits until a connection is to be closed, after the request that is being served. A client that
/// has just connected gets the time to send its first request.
async fn wait_until_closing(gateway: &Gateway, request_begun: &Notify) {
    gateway.wait_for_phase(BoxPhase::Draining).await;
    // Returns at once if a request has begun before.
    let _ = timeout(FIRST_REQUEST_TIMEOUT, request_begun.notified()).await;
}

fn http_builder(limits: &ClientLimits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(
            limits.header_timeout_ms.max(limits.idle_timeout_ms),
        ))
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES));
    builder
}

/// Answers the load balancer's readiness check: whether to send new connections to this box.
pub async fn serve_readiness(gateway: Arc<Gateway>, listener: TcpListener) {
    serve_endpoint(gateway, listener, |gateway| {
        let has_configuration = gateway.state().configuration.is_some();
        let ready = has_configuration && gateway.phase() == BoxPhase::Serving;
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        (status, String::new())
    })
    .await;
}

/// Serves the metrics.
pub async fn serve_metrics(gateway: Arc<Gateway>, listener: TcpListener) {
    serve_endpoint(gateway, listener, |gateway| {
        let lag_s = longest_weight_lag_s(&gateway.state(), now_ms());
        metrics::gauge!("coursestile_weights_behind_seconds").set(lag_s);
        let buffer_bytes = locked(&gateway.client_buffers).box_bytes();
        let request_bytes = gateway.clients.held_bytes();
        for (name, held_bytes) in [
            ("coursestile_client_buffer_bytes", buffer_bytes),
            ("coursestile_request_bytes", request_bytes),
        ] {
            #[expect(clippy::cast_precision_loss, reason = "far fewer than 2^52 bytes")]
            metrics::gauge!(name).set(held_bytes as f64);
        }
        (StatusCode::OK, prometheus::render())
    })
    .await;
}

async fn serve_endpoint(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    respond: fn(&Gateway) -> (StatusCode, String),
) {
    let connections = ClientConnections::new(ENDPOINT_LIMITS);
    bound_receive_buffers(&listener);
    while gateway.phase() != BoxPhase::Stopped {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                debug!(target: "listener", "event=accept_failed cause=\"{error}\"");
                connections.evict_oldest();
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Some(connection) = connections.open().await else { continue };
        tokio::spawn(serve_endpoint_connection(gateway.clone(), stream, connection, respond));
    }
}

async fn serve_endpoint_connection(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    connection: Arc<ClientConnection>,
    respond: fn(&Gateway) -> (StatusCode, String),
) {
    let io = TokioIo::new(ClientIo::new(stream, connection.clone()));
    let served_connection = connection.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let request = served_connection.begin_request(!request.body().is_end_stream());
        let (status, text) = respond(&gateway);
        let mut response = Response::new(Full::new(Bytes::from(text)));
        *response.status_mut() = status;
        let response = response.map(|body| GuardedBody::new(body, request));
        async move { Ok::<_, Infallible>(response) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(ENDPOINT_IDLE_TIMEOUT)
        .max_buf_size(MIN_BUFFER_BYTES);
    let answered = tokio::select! {
        answered = builder.serve_connection(io, service) => answered,
        () = connection.wait_until_closed() => return,
    };
    if let Err(error) = answered {
        debug!(target: "listener", "event=question_broken cause=\"{error}\"");
    }
}
