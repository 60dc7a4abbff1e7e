//! HTTP listeners that send each piece at once.

use std::io::Result;
use std::net::SocketAddr;
use std::time::Duration;

use poem::Server;
use poem::listener::TcpAcceptor;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpSocket;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Silence after which the kernel probes a caller's connection, and time between its
/// probes.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(5);
/// Time for which a caller may acknowledge nothing, or read nothing, before its
/// connection is over. It can go on reading its answer by the request's id.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(15);

/// A server on `address`. Accepted connections inherit that small pieces are
/// not held back until earlier ones are acknowledged, and that silent callers are
/// noticed.
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
