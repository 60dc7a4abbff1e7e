//! A network between processes: relays connections, and can be cut or silenced.
//!
//! A cut, by the fault `outage`, breaks open connections and takes no new ones.
//! Each count of the fault `silences` silences the connections that are open:
//! both ends stay up, and bytes go nowhere. While the fault `dark` holds, bytes go
//! nowhere either, and a connection that has lost some never passes any again.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use poem::Route;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

use crate::faults::{Faults, serve};

/// How often a connection looks whether it is cut.
const CUT_POLL: Duration = Duration::from_millis(20);
/// Bytes relayed at once.
const BUFFER_BYTES: usize = 16 << 10;

/// Relays from each address to its partner until the process ends.
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

/// Whether a connection has gone silent.
struct Silence {
    faults: Faults,
    opened_after: u64,
    lost_bytes: AtomicBool,
}

impl Silence {
    /// Whether bytes that come now go nowhere.
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
    // Pieces are passed on at once, as a cable would.
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

/// Passes bytes on until their sender closes; a silent connection hides that too.
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
