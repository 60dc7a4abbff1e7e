//! TCP relay that stands in for a network path, and can be cut or silenced.
//!
//! The fault `outage` closes open connections, and new ones at once. Increasing
//! the fault `silences` silences the open connections: both ends stay open, but
//! all bytes are dropped. While the fault `dark` is set, the bytes of all
//! connections are dropped; a connection that has lost any stays silent after
//! `dark` is reset. The fault `delay_ms` delays bytes, which stay in order.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use poem::Route;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

use crate::faults::{Faults, serve};

/// Interval at which a connection checks for an outage.
const OUTAGE_POLL_PERIOD: Duration = Duration::from_millis(20);
/// Most bytes that are relayed at a time.
const BUFFER_BYTES: usize = 16 << 10;

/// Relays connections from the first address of each pair to the second until the process
/// ends; serves the faults at `control`.
///
/// # Errors
/// Fails when an address cannot be bound.
pub async fn run(control: &str, pairs: Vec<(String, String)>) -> std::io::Result<()> {
    let faults = Faults::default();
    for (from, to) in pairs {
        let listener = TcpListener::bind(&from).await?;
        tokio::spawn(accept(listener, to, faults.clone()));
    }
    serve(control, Route::new(), faults).await
}

async fn accept(listener: TcpListener, to: String, faults: Faults) {
    while let Ok((stream, _)) = listener.accept().await {
        if !faults.current().outage {
            tokio::spawn(relay_connection(stream, to.clone(), faults.clone()));
        }
    }
}

/// State from which a connection knows whether it is silent.
struct ConnectionState {
    faults: Faults,
    silences_at_open: u64,
    lost_bytes: AtomicBool,
}

impl ConnectionState {
    /// Whether bytes that arrive now are to be dropped.
    fn drops_bytes(&self) -> bool {
        let state = self.faults.current();
        if state.dark {
            self.lost_bytes.store(true, Ordering::Relaxed);
        }
        self.lost_bytes.load(Ordering::Relaxed) || state.silences > self.silences_at_open
    }
}

async fn relay_connection(near: TcpStream, to: String, faults: Faults) {
    let Ok(far) = TcpStream::connect(&to).await else {
        return;
    };
    // Without TCP_NODELAY the relay would delay small messages.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let silences_at_open = faults.current().silences;
    let lost_bytes = AtomicBool::new(false);
    let connection =
        Arc::new(ConnectionState { faults: faults.clone(), silences_at_open, lost_bytes });
    let (near_reader, near_writer) = near.into_split();
    let (far_reader, far_writer) = far.into_split();
    tokio::select! {
        _ = futures_util::future::join(
            relay_one_way(near_reader, far_writer, connection.clone()),
            relay_one_way(far_reader, near_writer, connection),
        ) => {}
        () = wait_for_outage(faults) => {}
    }
}

/// Relays bytes in one direction until their sender closes; a silent connection does not
/// relay the close either.
async fn relay_one_way(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    connection: Arc<ConnectionState>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        let delay_ms = connection.faults.current().delay_ms;
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if !connection.drops_bytes() && to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
    if connection.drops_bytes() {
        std::future::pending::<()>().await;
    }
    let _ = to.shutdown().await;
}

async fn wait_for_outage(faults: Faults) {
    while !faults.current().outage {
        tokio::time::sleep(OUTAGE_POLL_PERIOD).await;
    }
}
