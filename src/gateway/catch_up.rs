//! What boxes ask each other by TCP: what they lack of the metadata store's items, and what
//! stores of context keep.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::{debug, info};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::clock::now_ms;
use crate::error::{Error, Result};
use crate::gateway::connections::set_socket_options;
use crate::gateway::decisions::view::{CatchUp, ViewDigest};
use crate::gateway::follow;
use crate::gateway::kernel::Gateway;
use crate::gateway::settings::Bounds;
use crate::gateway::store_updates::publish;
use crate::phase::Phase;

/// Longest snapshot that is read: the store's largest value and its upstreams.
const MAX_SNAPSHOT_BYTES: u64 = 8 << 20;
/// Longest time in which a peer must send a snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(800);
/// Part, in percent, of the time in which a change must be in force that one peer may
/// take: if it is silent, there must be time for another.
const SNAPSHOT_PERCENT: u64 = 40;
/// Longest time between two looks for a peer that knows more.
const COMPARE_PERIOD: Duration = Duration::from_millis(200);
/// Pause after each, so that several changes are fetched at once.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(100);
/// Longest question of a peer that is behind.
const MAX_QUERY_BYTES: u64 = 64;
/// Pause after a socket that failed, so that a lasting fault does not spin.
const FAILED_PAUSE: Duration = Duration::from_millis(10);

/// What a box asks another by TCP.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerQuery {
    /// What it lacks of the metadata store's items.
    CatchUp(ViewDigest),
    /// What stores of context keep, from now on.
    ContextStores,
}

/// Asks a peer that knows more for what this box lacks.
pub async fn run(gateway: Arc<Gateway>) {
    while gateway.phase() != Phase::Stopped {
        // Either is fine: a peer is ahead, or it is time to compare.
        let _ = timeout(COMPARE_PERIOD, gateway.catch_up_now.notified()).await;
        let (peer, own) = {
            let state = gateway.state();
            let own = state.view.digest();
            (state.peers.catch_up_source(now_ms(), own, state.metadata_store_status()), own)
        };
        let Some(peer) = peer else { continue };
        match fetch(peer, own, snapshot_timeout(&gateway.settings.bounds)).await {
            Ok(told) => {
                follow::apply_catch_up(&gateway, told);
                gateway.refresh_metadata.notify_one();
            }
            Err(error) => {
                info!(target: "gossip", "event=catch_up_failed cause=\"{error}\"");
                gateway.state().peers.note_unanswered(now_ms(), peer.ip());
            }
        }
        sleep(CATCH_UP_PAUSE).await;
    }
}

fn snapshot_timeout(bounds: &Bounds) -> Duration {
    let change_ms = bounds.change_apply_ms.min(bounds.departure_apply_ms);
    SNAPSHOT_TIMEOUT.min(Duration::from_millis(change_ms * SNAPSHOT_PERCENT / 100))
}

async fn fetch(peer: SocketAddr, own: ViewDigest, longest: Duration) -> Result<CatchUp> {
    let query = postcard::to_stdvec(&PeerQuery::CatchUp(own))
        .map_err(|error| Error::Message(error.to_string()))?;
    let read = async {
        let mut stream = TcpStream::connect(peer).await?;
        stream.write_all(&query).await?;
        stream.shutdown().await?;
        let mut bytes = Vec::new();
        stream.take(MAX_SNAPSHOT_BYTES).read_to_end(&mut bytes).await?;
        std::io::Result::Ok(bytes)
    };
    let bytes = timeout(longest, read)
        .await
        .map_err(|_| Error::Message(format!("{peer}: no snapshot in time")))?
        .map_err(|error| Error::Message(format!("{peer}: {error}")))?;
    postcard::from_bytes(&bytes).map_err(|error| Error::Message(format!("{peer}: {error}")))
}

/// Tells peers that ask what they lack.
pub async fn serve(gateway: Arc<Gateway>, listener: TcpListener) {
    while gateway.phase() != Phase::Stopped {
        let (mut stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                debug!(target: "gossip", "event=accept_failed cause=\"{error}\"");
                sleep(FAILED_PAUSE).await;
                continue;
            }
        };
        let gateway = gateway.clone();
        tokio::spawn(async move {
            if let Err(error) = answer(&gateway, &mut stream).await {
                debug!(target: "gossip", "event=answer_lost peer={from} cause=\"{error}\"");
            }
        });
    }
}

async fn answer(gateway: &Gateway, stream: &mut TcpStream) -> Result<()> {
    let unreadable = |error: postcard::Error| Error::Message(error.to_string());
    // Else bytes for a subscriber that fell silent would wait for a quarter of an hour.
    set_socket_options(stream).map_err(|error| Error::Message(error.to_string()))?;
    let mut query = Vec::new();
    let mut limited = (&mut *stream).take(MAX_QUERY_BYTES);
    in_time(timeout(SNAPSHOT_TIMEOUT, limited.read_to_end(&mut query)).await)?;
    match postcard::from_bytes(&query).map_err(unreadable)? {
        PeerQuery::CatchUp(digest) => {
            let told = gateway.state().view.catch_up(digest);
            let bytes = postcard::to_stdvec(&told).map_err(unreadable)?;
            let written = timeout(SNAPSHOT_TIMEOUT, async {
                stream.write_all(&bytes).await?;
                stream.shutdown().await
            });
            in_time(written.await)
        }
        PeerQuery::ContextStores => publish(gateway, stream).await,
    }
}

fn in_time<T>(
    ended: std::result::Result<std::io::Result<T>, tokio::time::error::Elapsed>,
) -> Result<T> {
    ended
        .map_err(|_| Error::Message("not in time".to_owned()))?
        .map_err(|error| Error::Message(error.to_string()))
}
