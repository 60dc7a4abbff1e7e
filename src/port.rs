//! Detects whether a process listens at an address. The address of a crashed process
//! refuses connections until the process is started again.

use std::io::ErrorKind;
use std::time::Duration;

use tokio::net::{TcpStream, ToSocketAddrs};
use tokio::time::timeout;

/// Timeout of a connection attempt: less than the second after which TCP sends a lost
/// packet again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time within which a process that exits closes all of its sockets.
const SETTLE_TIME: Duration = Duration::from_millis(50);
/// Maximum number of connection attempts; another one follows only if the last connection
/// was closed at once.
const MAX_ATTEMPTS: u32 = 3;

/// Result of a connection attempt.
enum Probe {
    Open,
    Refused,
    /// The connection was closed as soon as it was established.
    Closing,
    NoAnswer,
}

/// Whether connections to an address are refused.
pub async fn is_closed(address: impl ToSocketAddrs + Copy) -> bool {
    for _ in 0..MAX_ATTEMPTS {
        match probe(address).await {
            Probe::Refused => return true,
            // A process that exits may close its connections before its listening socket.
            Probe::Closing => {}
            Probe::Open | Probe::NoAnswer => return false,
        }
    }
    false
}

async fn probe(address: impl ToSocketAddrs) -> Probe {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => return Probe::Refused,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionReset => return Probe::Closing,
        Ok(Err(_)) | Err(_) => return Probe::NoAnswer,
    };
    // The peer sends nothing before it has a request, so a readable socket means that the
    // connection was closed.
    if timeout(SETTLE_TIME, stream.readable()).await.is_ok() { Probe::Closing } else { Probe::Open }
}
