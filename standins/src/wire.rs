//! TCP relay that stands in for a network path, and can be cut or silenced.
//!
//! The fault `outage` closes open connections, and new ones at once. Increasing
//! the fault `silences` silences the open connections: both ends stay open, but
//! all bytes are dropped. While the fault `dark` is set, the bytes of all
//! connections are dropped; a connection that has lost any stays silent after
//! `dark` is reset.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use poem::Route;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

use crate::faults::{Faults, serve};

/// Interval at which a connection checks for an outage.
const CUT_POLL: Duration = Duration::from_millis(20);
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
        if !faults.now().outage {
            tokio::spawn(relay(stream, to.clone(), faults.clone()));
        }
    }
}

/// State from which a connection knows whether it is silent.
struct Silence {
    faults: Faults,
    opened_after: u64,
    lost_bytes: AtomicBool,
}

impl Silence {
    /// Whether bytes that arrive now are to be dropped.
    fn swallows(&self) -> bool {
        let state = self.faults.now();
        if state.dark {
            self.lost_bytes.store(true, Ordering::Relaxed);
        }
        self.lost_bytes.load(Ordering::Relaxed) || state.silences > self.opened_after
    }
}

async fn relay(near: TcpStream, to: String, faults: Faults) {
    let Ok(far) = TcpStream::connect(&to).await else {
        return;
    };
    // Without TCP_NODELAY the relay would delay small messages.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let opened_after = faults.now().silences;
    let lost_bytes = AtomicBool::new(false);
    let silence = Arc::new(Silence { faults: faults.clone(), opened_after, lost_bytes });
    let (near_reads, near_writes) = near.into_split();
    let (far_reads, far_writes) = far.into_split();
    tokio::select! {
        _ = futures_util::future::join(
            pass(near_reads, far_writes, silence.clone()),
            pass(far_reads, near_writes, silence),
        ) => {}
        () = cut(faults) => {}
    }
}

/// Relays bytes in one direction until their sender closes; a silent connection does not
/// relay the close either.
async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, silence: Arc<Silence>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        if !silence.swallows() && to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
    if silence.swallows() {
        std::future::pending::<()>().await;
    }
    let _ = to.shutdown().await;
}

async fn cut(faults: Faults) {
    while !faults.now().outage {
        tokio::time::sleep(CUT_POLL).await;
    }
}
