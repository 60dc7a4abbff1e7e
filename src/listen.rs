//! HTTP listeners for streamed responses, which must not be delayed by TCP.

use std::io::Result;
use std::net::SocketAddr;
use std::time::Duration;

use poem::Server;
use poem::listener::TcpAcceptor;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpSocket;

/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 1024;
/// Idle time after which TCP sends a keep-alive probe to a caller, and time between probes.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(5);
/// Time for which sent data may stay unacknowledged, or the caller's receive window closed,
/// before the connection is closed. The caller can still resume its answer by the request's
/// id.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(15);

/// A server on `address`. Accepted connections inherit the options of the listening socket:
/// `TCP_NODELAY`, so that small writes are not held back until earlier data is acknowledged,
/// and keep-alive and user timeout, so that silent callers are detected.
///
/// # Errors
/// Fails when the address cannot be bound.
pub fn server(address: SocketAddr) -> Result<Server<std::convert::Infallible, TcpAcceptor>> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    let options = SockRef::from(&socket);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_PERIOD).with_interval(KEEPALIVE_PERIOD);
    options.set_tcp_keepalive(&keepalive)?;
    options.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    socket.bind(address)?;
    let listener = socket.listen(BACKLOG)?;
    Ok(Server::new_with_acceptor(TcpAcceptor::from_tokio(listener)?))
}
