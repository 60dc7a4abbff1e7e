//! HTTP listeners for streamed responses, which must not be delayed by TCP.
//!
//! The kernel establishes connections before the process accepts them, and resets those that are
//! left when the listening socket is closed. A box that stops therefore accepts them first.

use std::convert::Infallible;
use std::io::Result;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::{Body as _, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::debug;
use poem::http::uri::Scheme;
use poem::web::{LocalAddr, RemoteAddr};
use poem::{Endpoint, EndpointExt, IntoEndpoint, Response};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::client_connections::{
    ClientConnection, ClientConnections, ClientIo, bound_receive_buffers,
};
use crate::guarded_body::GuardedBody;

/// Idle time after which TCP sends a keep-alive probe to a caller, and time between probes.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(5);
/// Time for which sent data may stay unacknowledged, or the caller's receive window closed,
/// before the connection is closed. The caller can still resume its answer by the request's
/// id.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(15);

/// Time in which a connection that was accepted last sends its first request.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause after `accept` failed, usually because file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Longest head of a request.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Serves `app` on `address` until `closing` has completed, every connection that was established
/// by then is accepted, and the last answers are sent or `time_limit` has passed. A connection on
/// which no head of a request arrives within `idle_timeout` is closed. Up to `max_queued` wait to be
/// accepted.
///
/// # Errors
/// Fails when the address cannot be bound.
pub async fn serve_until<E: IntoEndpoint + 'static>(
    address: SocketAddr,
    app: E,
    connections: Arc<ClientConnections>,
    max_queued: u32,
    idle_timeout: Duration,
    closing: impl Future<Output = ()> + Send + 'static,
    time_limit: Duration,
) -> Result<()> {
    let listener = listen(address, max_queued)?;
    bound_receive_buffers(&listener);
    let app = Arc::new(app.into_endpoint().map_to_response());
    let (is_closing, stopping) = (watch::Sender::new(false), watch::Sender::new(false));
    let mut listener = ClosingListener {
        socket: ListeningSocket::Open(listener),
        closing: is_closing.subscribe(),
    };
    let mut closing = pin!(async {
        closing.await;
        is_closing.send_replace(true);
    });
    let mut is_open = true;
    let mut tasks = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            () = closing.as_mut(), if is_open => {
                is_open = false;
                continue;
            }
            Some(_) = tasks.join_next() => continue,
            accepted = listener.next() => accepted,
        };
        match accepted {
            Some(Ok((stream, from))) => {
                // Without room for it, the connection is closed unread.
                let Some(connection) = connections.open().await else { continue };
                let addresses = (address, from);
                let (app, stopping) = (app.clone(), stopping.subscribe());
                tasks.spawn(serve_caller(
                    app,
                    stream,
                    addresses,
                    connection,
                    idle_timeout,
                    stopping,
                ));
            }
            Some(Err(error)) => {
                debug!(target: "listen", "Cannot accept a connection: {error}.");
                connections.evict_oldest();
                sleep(ACCEPT_PAUSE).await;
            }
            None => break,
        }
    }
    sleep(FIRST_REQUEST_TIMEOUT).await;
    stopping.send_replace(true);
    let ended = async { while tasks.join_next().await.is_some() {} };
    // Connections that are left are closed with their tasks.
    let _ = timeout(time_limit, ended).await;
    Ok(())
}

/// Serves the requests on a caller's connection.
async fn serve_caller<E: Endpoint<Output = Response> + 'static>(
    app: Arc<E>,
    stream: TcpStream,
    (local, from): (SocketAddr, SocketAddr),
    connection: Arc<ClientConnection>,
    idle_timeout: Duration,
    mut stopping: watch::Receiver<bool>,
) {
    let io = TokioIo::new(ClientIo::new(stream, connection.clone()));
    let served_connection = connection.clone();
    let service = service_fn(move |mut request: hyper::Request<Incoming>| {
        let (app, connection) = (app.clone(), served_connection.clone());
        let caller_request = Arc::new(connection.begin_request(!request.body().is_end_stream()));
        request.extensions_mut().insert(caller_request.clone());
        let addresses = (LocalAddr(local.into()), RemoteAddr(from.into()));
        async move {
            let request = (request, addresses.0, addresses.1, Scheme::HTTP).into();
            let mut response = hyper::Response::from(app.get_response(request).await);
            if connection.closes_after_response() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| GuardedBody::new(body, caller_request)))
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(idle_timeout).max_buf_size(MAX_HEAD_BYTES);
    let mut serving = pin!(builder.serve_connection(io, service));
    let stopped = async {
        // Also completes if the sender is gone, which ends the server.
        let _ = stopping.wait_for(|stopping| *stopping).await;
    };
    let served = tokio::select! {
        served = serving.as_mut() => served,
        () = connection.wait_until_closed() => return,
        () = stopped => {
            serving.as_mut().graceful_shutdown();
            tokio::select! {
                served = serving => served,
                () = connection.wait_until_closed() => return,
            }
        }
    };
    if let Err(error) = served {
        debug!(target: "listen", "A caller's connection broke: {error}.");
    }
}

/// State of a listening socket.
enum ListeningSocket {
    Open(TcpListener),
    /// The port is closing: connections that are established already are still accepted.
    Closing(std::net::TcpListener),
    Closed,
}

/// Accepts connections until the port is to be closed, and then those that are established already.
struct ClosingListener {
    socket: ListeningSocket,
    closing: watch::Receiver<bool>,
}

impl ClosingListener {
    /// The next connection; `None` once the port is closed.
    async fn next(&mut self) -> Option<Result<(TcpStream, SocketAddr)>> {
        loop {
            if let Some(accepted) = self.accept().await {
                return Some(accepted);
            }
            if matches!(self.socket, ListeningSocket::Closed) {
                return None;
            }
        }
    }

    /// The next connection; `None` if the state of the socket has changed.
    async fn accept(&mut self) -> Option<Result<(TcpStream, SocketAddr)>> {
        match &mut self.socket {
            ListeningSocket::Open(listener) => tokio::select! {
                accepted = listener.accept() => return Some(accepted),
                // Also completes if the sender is gone, which ends the server.
                _ = self.closing.wait_for(|is_closing| *is_closing) => {}
            },
            ListeningSocket::Closing(listener) => {
                if let Ok((stream, from)) = listener.accept() {
                    let stream =
                        stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                    return Some(stream.map(|stream| (stream, from)));
                }
            }
            ListeningSocket::Closed => return None,
        }
        self.socket = match std::mem::replace(&mut self.socket, ListeningSocket::Closed) {
            ListeningSocket::Open(listener) => {
                listener.into_std().map_or(ListeningSocket::Closed, ListeningSocket::Closing)
            }
            ListeningSocket::Closing(_) | ListeningSocket::Closed => ListeningSocket::Closed,
        };
        None
    }
}

/// Listens on `address`, where up to `max_queued` connections wait to be accepted. Accepted ones
/// inherit the options of the listening socket: `TCP_NODELAY`, so that small writes are not held back
/// until earlier data is acknowledged, and keep-alive and user timeout, so that silent callers are
/// detected.
///
/// # Errors
/// Fails when the address cannot be bound.
fn listen(address: SocketAddr, max_queued: u32) -> Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    let options = SockRef::from(&socket);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_PERIOD).with_interval(KEEPALIVE_PERIOD);
    options.set_tcp_keepalive(&keepalive)?;
    options.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    socket.bind(address)?;
    socket.listen(max_queued)
}
