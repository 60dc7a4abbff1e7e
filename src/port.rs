//! Detects whether the process at an address has ended. The address of a crashed process
//! refuses connections until the process is started again.
//!
//! A process that exits may close its connections before its listening socket. Until that is
//! closed too, which may take a while on a busy machine, the kernel accepts new connections. An
//! accepted connection therefore proves nothing: it is watched until it is answered or closed.

use std::io::ErrorKind;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpStream, ToSocketAddrs};
use tokio::time::timeout;

/// Timeout of a connection attempt: less than the second after which TCP sends a lost
/// packet again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time within which a process that exits closes all of its sockets.
pub const EXIT_TIMEOUT: Duration = Duration::from_secs(2);
/// A request that every HTTP server answers, in whichever way, without running anything.
const HTTP_PING: &[u8] = b"OPTIONS * HTTP/1.1\r\nHost: upstream\r\nConnection: close\r\n\r\n";
/// Maximum number of connection attempts.
const MAX_ATTEMPTS: u32 = 3;

/// Result of a connection attempt.
enum Probe {
    /// The server has answered, or has kept the connection open.
    Open,
    Refused,
    /// The connection was closed without an answer.
    Closed,
    NoAnswer,
}

/// Whether connections to an address are refused. Nothing is sent, so that a process that keeps
/// running is only recognized after [`EXIT_TIMEOUT`].
pub async fn is_closed(address: impl ToSocketAddrs + Copy) -> bool {
    is_refused(address, &[]).await
}

/// Whether the HTTP server at an address replies, and thus runs.
pub async fn has_server_replied(address: impl ToSocketAddrs + Copy) -> bool {
    for _ in 0..MAX_ATTEMPTS {
        match probe(address, HTTP_PING).await {
            Probe::Open => return true,
            Probe::Refused => return false,
            Probe::Closed | Probe::NoAnswer => {}
        }
    }
    false
}

/// Whether the HTTP server at an address has ended. A running one is recognized by its answer.
pub async fn has_server_ended(address: impl ToSocketAddrs + Copy) -> bool {
    is_refused(address, HTTP_PING).await
}

/// Whether connections are refused, now or once an accepted one has been closed. `ping` is sent on
/// each.
async fn is_refused(address: impl ToSocketAddrs + Copy, ping: &[u8]) -> bool {
    for _ in 0..MAX_ATTEMPTS {
        match probe(address, ping).await {
            Probe::Refused => return true,
            Probe::Closed => {}
            Probe::Open | Probe::NoAnswer => return false,
        }
    }
    false
}

async fn probe(address: impl ToSocketAddrs, ping: &[u8]) -> Probe {
    let mut stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => return Probe::Refused,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionReset => return Probe::Closed,
        Ok(Err(_)) | Err(_) => return Probe::NoAnswer,
    };
    if stream.write_all(ping).await.is_err() {
        return Probe::Closed;
    }
    match timeout(EXIT_TIMEOUT, stream.readable()).await {
        // The end of the connection makes it readable, too.
        Ok(_) => match stream.try_read(&mut [0]) {
            Ok(1..) => Probe::Open,
            Ok(0) | Err(_) => Probe::Closed,
        },
        Err(_) if ping.is_empty() => Probe::Open,
        Err(_) => Probe::NoAnswer,
    }
}
