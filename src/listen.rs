//! HTTP listeners for streamed responses, which must not be delayed by TCP.
//!
//! The kernel establishes connections before the process accepts them, and resets those that are
//! left when the listening socket is closed. A box that stops therefore accepts them first.

use std::convert::Infallible;
use std::future::pending;
use std::io::Result;
use std::net::SocketAddr;
use std::time::Duration;

use poem::http::uri::Scheme;
use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};
use poem::{IntoEndpoint, Server};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 1024;
/// Idle time after which TCP sends a keep-alive probe to a caller, and time between probes.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(5);
/// Time for which sent data may stay unacknowledged, or the caller's receive window closed,
/// before the connection is closed. The caller can still resume its answer by the request's
/// id.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(15);

/// Time in which a connection that was accepted last sends its first request.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);

/// Serves `app` on `address` until `closing` has completed, every connection that was established
/// by then is accepted, and the last answers are sent or `time_limit` has passed.
///
/// # Errors
/// Fails when the address cannot be bound.
pub async fn serve_until<E: IntoEndpoint + 'static>(
    address: SocketAddr,
    app: E,
    closing: impl Future<Output = ()> + Send + 'static,
    time_limit: Duration,
) -> Result<()> {
    let (is_closing, closed) = (watch::Sender::new(false), watch::Sender::new(false));
    let acceptor = ClosingAcceptor {
        socket: ListeningSocket::Open(listen(address)?),
        address,
        closing: is_closing.subscribe(),
        closed: closed.clone(),
    };
    let mut port_closed = closed.subscribe();
    let close = async move {
        closing.await;
        is_closing.send_replace(true);
        // The acceptor owns a sender and lives as long as the server.
        let _ = port_closed.wait_for(|is_closed| *is_closed).await;
        sleep(FIRST_REQUEST_TIMEOUT).await;
    };
    Server::new_with_acceptor(acceptor)
        .run_with_graceful_shutdown(app, close, Some(time_limit))
        .await
}

/// State of a listening socket.
enum ListeningSocket {
    Open(TcpListener),
    /// The port is closing: connections that are established already are still accepted.
    Closing(std::net::TcpListener),
    Closed,
}

/// Accepts connections until the port is to be closed, and then those that are established already.
struct ClosingAcceptor {
    socket: ListeningSocket,
    address: SocketAddr,
    closing: watch::Receiver<bool>,
    closed: watch::Sender<bool>,
}

impl ClosingAcceptor {
    /// The next connection; `None` if the state of the socket has changed.
    async fn next(&mut self) -> Option<Result<(TcpStream, SocketAddr)>> {
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
            ListeningSocket::Closed => return pending().await,
        }
        self.socket = match std::mem::replace(&mut self.socket, ListeningSocket::Closed) {
            ListeningSocket::Open(listener) => {
                listener.into_std().map_or(ListeningSocket::Closed, ListeningSocket::Closing)
            }
            ListeningSocket::Closing(_) | ListeningSocket::Closed => {
                self.closed.send_replace(true);
                ListeningSocket::Closed
            }
        };
        None
    }
}

impl Acceptor for ClosingAcceptor {
    type Io = TcpStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(self.address.into())]
    }

    async fn accept(&mut self) -> Result<(TcpStream, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            if let Some(accepted) = self.next().await {
                let (stream, from) = accepted?;
                let (local, remote) = (LocalAddr(self.address.into()), RemoteAddr(from.into()));
                return Ok((stream, local, remote, Scheme::HTTP));
            }
        }
    }
}

/// A server on `address` that runs until the process ends.
///
/// # Errors
/// Fails when the address cannot be bound.
pub fn server(address: SocketAddr) -> Result<Server<Infallible, TcpAcceptor>> {
    Ok(Server::new_with_acceptor(TcpAcceptor::from_tokio(listen(address)?)?))
}

/// Listens on `address`. Accepted connections inherit the options of the listening socket:
/// `TCP_NODELAY`, so that small writes are not held back until earlier data is acknowledged,
/// and keep-alive and user timeout, so that silent callers are detected.
///
/// # Errors
/// Fails when the address cannot be bound.
fn listen(address: SocketAddr) -> Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    let options = SockRef::from(&socket);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_PERIOD).with_interval(KEEPALIVE_PERIOD);
    options.set_tcp_keepalive(&keepalive)?;
    options.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
