//! Queries between boxes by TCP: for missing items of the metadata store, and for the contents
//! of the context stores.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use log::{debug, info};
use lz4_flex::block;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::box_phase::BoxPhase;
use crate::clock::now_ms;
use crate::error::{Error, Result};
use crate::gateway::connections::set_socket_options;
use crate::gateway::decisions::view::{CatchUp, CatchUpNeed, MetadataView, ViewDigest};
use crate::gateway::follow_metadata;
use crate::gateway::kernel::Gateway;
use crate::gateway::settings::Bounds;
use crate::gateway::store_updates::publish;
use crate::sync::locked;

/// Maximum length of an update, as sent and as decompressed: room for the metadata store's largest
/// value and all upstreams.
const MAX_SNAPSHOT_BYTES: u64 = 8 << 20;
/// Maximum time in which a peer must begin to send an update; with each byte it gets more time.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(800);
/// Lowest rate at which an update is sent: a box with a slow link shares it with its requests.
const MIN_BYTES_PER_MS: u64 = 50;
/// Size of the pieces in which an update is sent and read.
const PIECE_BYTES: usize = 64 << 10;
/// Updates of more than a piece that a box sends at a time. The boxes that have got one send it on, so
/// that a hall of any size is told in a few rounds over slow links.
pub const MAX_LARGE_UPDATES: usize = 4;
/// Percentage of the time in which a change must be in force that one peer may take to
/// answer: if it does not, there must be time to ask another.
const SNAPSHOT_TIMEOUT_PERCENT: u64 = 40;
/// Maximum interval between two checks whether a peer knows more.
const COMPARE_PERIOD: Duration = Duration::from_millis(200);
/// Pause after each catch-up, so that several changes are fetched together.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(100);
/// Maximum length of a query.
const MAX_QUERY_BYTES: u64 = 64;
/// Pause after a socket error, so that a persistent error does not cause a busy loop.
const SOCKET_ERROR_PAUSE: Duration = Duration::from_millis(10);

/// A query of one box to another by TCP.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerQuery {
    /// Asks for the items of the metadata store that differ from those of the sender.
    CatchUp(ViewDigest),
    /// Subscribes to the contents of the context stores.
    ContextStores,
}

/// Fetches missing items from a peer whenever one knows more of the metadata store.
pub async fn run(gateway: Arc<Gateway>) {
    while gateway.phase() != BoxPhase::Stopped {
        // Ends early when gossip shows that a peer is ahead.
        let _ = timeout(COMPARE_PERIOD, gateway.catch_up_now.notified()).await;
        let (peer, own) = {
            let state = gateway.state();
            let own = state.view.digest();
            (state.peers.catch_up_source(now_ms(), own, state.metadata_store_status()), own)
        };
        let Some(peer) = peer else { continue };
        match fetch(peer, own, snapshot_timeout(&gateway.settings.bounds)).await {
            Ok(catch_up) => {
                follow_metadata::apply_catch_up(&gateway, catch_up);
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
    SNAPSHOT_TIMEOUT.min(Duration::from_millis(change_ms * SNAPSHOT_TIMEOUT_PERCENT / 100))
}

/// Asks a peer for the items that this box lacks.
async fn fetch(peer: SocketAddr, own: ViewDigest, limit: Duration) -> Result<CatchUp> {
    let query = postcard::to_stdvec(&PeerQuery::CatchUp(own))
        .map_err(|error| Error::Message(error.to_string()))?;
    let read = async {
        let mut stream = TcpStream::connect(peer).await?;
        stream.write_all(&query).await?;
        stream.shutdown().await?;
        std::io::Result::Ok(stream)
    };
    let started_at = Instant::now();
    let peer_error = |error: std::io::Error| Error::Message(format!("{peer}: {error}"));
    let late = || Error::Message(format!("{peer}: no update in time"));
    let stream = timeout(limit, read).await.map_err(|_| late())?.map_err(peer_error)?;
    let mut stream = stream.take(MAX_SNAPSHOT_BYTES);
    let mut bytes = Vec::new();
    loop {
        let due_at = started_at + limit + transfer_time(bytes.len());
        bytes.reserve(PIECE_BYTES);
        match timeout_at(due_at, stream.read_buf(&mut bytes)).await {
            Ok(Ok(0)) => break,
            Ok(Ok(_)) => {}
            Ok(Err(error)) => return Err(peer_error(error)),
            Err(_) => return Err(late()),
        }
    }
    decoded(&bytes).map_err(|error| Error::Message(format!("{peer}: {error}")))
}

/// An update as it arrived from a peer.
///
/// # Errors
/// Fails when it is longer than an update may be, or malformed.
pub fn decoded(bytes: &[u8]) -> Result<CatchUp> {
    let malformed = |error: &dyn std::fmt::Display| Error::Message(error.to_string());
    let (length, compressed) =
        block::uncompressed_size(bytes).map_err(|error| malformed(&error))?;
    if length as u64 > MAX_SNAPSHOT_BYTES {
        return Err(malformed(&"too long"));
    }
    let encoded = block::decompress(compressed, length).map_err(|error| malformed(&error))?;
    postcard::from_bytes(&encoded).map_err(|error| malformed(&error))
}

/// Longest time in which so many bytes of an update arrive, after the time to begin it.
#[must_use]
pub fn transfer_time(bytes: usize) -> Duration {
    Duration::from_millis(u64::try_from(bytes).unwrap_or(u64::MAX) / MIN_BYTES_PER_MS)
}

/// Answers the queries of peers until the box stops.
pub async fn serve(gateway: Arc<Gateway>, listener: TcpListener) {
    while gateway.phase() != BoxPhase::Stopped {
        let (mut stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                debug!(target: "gossip", "event=accept_failed cause=\"{error}\"");
                sleep(SOCKET_ERROR_PAUSE).await;
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

/// Encoded updates for peers that have fallen behind, all from the same view. Many peers need the
/// same one at the same time, and each copy may have megabytes.
#[derive(Default)]
pub struct EncodedUpdates {
    digest: ViewDigest,
    by_need: HashMap<CatchUpNeed, Bytes>,
}

impl EncodedUpdates {
    /// The update that a peer whose view has `digest` needs.
    ///
    /// # Errors
    /// Fails when it cannot be encoded.
    pub fn update_for(
        &mut self,
        view: &MetadataView,
        digest: ViewDigest,
    ) -> postcard::Result<Bytes> {
        if self.digest != view.digest() {
            *self = Self { digest: view.digest(), by_need: HashMap::new() };
        }
        let need = view.catch_up_need(digest);
        if let Some(bytes) = self.by_need.get(&need) {
            return Ok(bytes.clone());
        }
        // Entries of upstreams differ in a few characters each.
        let encoded = postcard::to_stdvec(&view.catch_up(digest))?;
        let bytes = Bytes::from(block::compress_prepend_size(&encoded));
        self.by_need.insert(need, bytes.clone());
        Ok(bytes)
    }
}

async fn answer(gateway: &Gateway, stream: &mut TcpStream) -> Result<()> {
    let codec_error = |error: postcard::Error| Error::Message(error.to_string());
    // Without this, data for a subscriber that stopped responding would stay unacknowledged for
    // a quarter of an hour before the connection ends.
    set_socket_options(stream).map_err(|error| Error::Message(error.to_string()))?;
    let mut query = Vec::new();
    let mut limited = (&mut *stream).take(MAX_QUERY_BYTES);
    in_time(timeout(SNAPSHOT_TIMEOUT, limited.read_to_end(&mut query)).await)?;
    match postcard::from_bytes(&query).map_err(codec_error)? {
        PeerQuery::CatchUp(digest) => {
            let bytes = locked(&gateway.encoded_updates)
                .update_for(&gateway.state().view, digest)
                .map_err(codec_error)?;
            let _permit = if bytes.len() > PIECE_BYTES {
                let permit = timeout(SNAPSHOT_TIMEOUT, gateway.large_updates.acquire()).await;
                Some(permit.map_err(|_| Error::Message("too many updates at once".to_owned()))?)
            } else {
                None
            };
            let started_at = Instant::now();
            for (piece, sent_bytes) in bytes.chunks(PIECE_BYTES).zip((0..).step_by(PIECE_BYTES)) {
                let due_at = started_at + SNAPSHOT_TIMEOUT + transfer_time(sent_bytes);
                in_time(timeout_at(due_at, stream.write_all(piece)).await)?;
            }
            in_time(timeout(SNAPSHOT_TIMEOUT, stream.shutdown()).await)
        }
        PeerQuery::ContextStores => publish(gateway, stream).await,
    }
}

/// The result of an exchange that was limited by a timeout.
fn in_time<T>(
    result: std::result::Result<std::io::Result<T>, tokio::time::error::Elapsed>,
) -> Result<T> {
    result
        .map_err(|_| Error::Message("the peer did not send or accept data in time".to_owned()))?
        .map_err(|error| Error::Message(error.to_string()))
}
