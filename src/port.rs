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
enum ProbeResult {
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
            ProbeResult::Refused => return true,
            // A process that exits may close its connections before its listening socket.
            ProbeResult::Closing => {}
            ProbeResult::Open | ProbeResult::NoAnswer => return false,
        }
    }
    false
}

async fn probe(address: impl ToSocketAddrs) -> ProbeResult {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return ProbeResult::Refused;
        }
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionReset => {
            return ProbeResult::Closing;
        }
        Ok(Err(_)) | Err(_) => return ProbeResult::NoAnswer,
    };
    // The peer sends nothing before it has a request, so a readable socket means that the
    // connection was closed.
    if timeout(SETTLE_TIME, stream.readable()).await.is_ok() {
        ProbeResult::Closing
    } else {
        ProbeResult::Open
    }
}
