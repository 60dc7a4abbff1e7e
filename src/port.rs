//! Whether anybody listens at an address: a process that has crashed refuses connections
//! until it is started again.

use std::io::ErrorKind;
use std::time::Duration;

use tokio::net::{TcpStream, ToSocketAddrs};
use tokio::time::timeout;

/// Time in which a connection must come up: less than the second after which a lost packet
/// is sent again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time in which a process that ends closes all of its sockets.
const SETTLE_TIME: Duration = Duration::from_millis(50);
/// Connections that are tried, while each comes up and is closed again.
const LOOKS: u32 = 3;

/// What a connection shows of a port.
enum Look {
    Open,
    Refused,
    /// The connection was closed as soon as it came up.
    Closing,
    NoAnswer,
}

/// Whether connections to an address are refused.
pub async fn is_closed(address: impl ToSocketAddrs + Copy) -> bool {
    for _ in 0..LOOKS {
        match look(address).await {
            Look::Refused => return true,
            // A process that ends may close its connections before its port.
            Look::Closing => {}
            Look::Open | Look::NoAnswer => return false,
        }
    }
    false
}

async fn look(address: impl ToSocketAddrs) -> Look {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => return Look::Refused,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionReset => return Look::Closing,
        Ok(Err(_)) | Err(_) => return Look::NoAnswer,
    };
    // The other side has nothing to say: what can be read is its end.
    if timeout(SETTLE_TIME, stream.readable()).await.is_ok() { Look::Closing } else { Look::Open }
}
