//! HTTP listeners that send each piece at once.

use std::io::Result;
use std::net::SocketAddr;

use poem::Server;
use poem::listener::TcpAcceptor;
use tokio::net::TcpSocket;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// A server on `address`. Accepted connections inherit that small pieces are
/// not held back until earlier ones are acknowledged.
///
/// # Errors
/// Fails when the address cannot be bound.
pub fn server(address: SocketAddr) -> Result<Server<std::convert::Infallible, TcpAcceptor>> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    let listener = socket.listen(BACKLOG)?;
    Ok(Server::new_with_acceptor(TcpAcceptor::from_tokio(listener)?))
}
