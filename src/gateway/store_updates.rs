//! Publishes the contents of the context stores from the boxes that follow them to the other
//! boxes of their hall.
//!
//! A context store serves only a few followers, so in a large fleet only a few boxes follow
//! the stores. Every other box subscribes to one of these by TCP; it first receives the full
//! contents and then each change. When the connection breaks, the box discards what it knows
//! of the stores until it has a new subscription: a part that is being rewritten must not be
//! read.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::box_phase::BoxPhase;
use crate::clock::now_ms;
use crate::error::{Error, Result};
use crate::gateway::catch_up::PeerQuery;
use crate::gateway::decisions::cache_contents::CacheUpdate;
use crate::gateway::kernel::{Gateway, State};
use crate::names::short_id;

/// Interval between two messages while there are changes: short compared with the seconds
/// after which a part is requested again.
const PUBLISH_PERIOD: Duration = Duration::from_millis(100);
/// Number of periods without changes that pass before an empty message is sent as keep-alive.
const SKIPPED_EMPTY_MESSAGES: u32 = 4;
/// Silence after which a subscription is ended: twice the interval between keep-alives.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time to establish a connection, or to send a message.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before a box subscribes, also after a failed attempt.
const SUBSCRIBE_PAUSE: Duration = Duration::from_millis(100);
/// Maximum length of a message: room for some hundred thousand parts.
const MAX_MESSAGE_BYTES: u32 = 4 << 20;

/// An update of what is known of one context store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// Short id of the store.
    pub store: u32,
    /// Change of its contents.
    pub update: CacheUpdate,
}

/// Subscribes to a box that follows the context stores, while this box does not.
pub async fn subscribe(gateway: Arc<Gateway>) {
    while gateway.phase() != BoxPhase::Stopped {
        sleep(SUBSCRIBE_PAUSE).await;
        let peer = {
            let state = gateway.state();
            state.peers.cache_publisher(now_ms()).filter(|_| !state.follows_caches)
        };
        let Some(peer) = peer else { continue };
        let result = subscribe_to(&gateway, peer).await;
        let mut state = gateway.state();
        state.forget_store_contents();
        match result {
            Ok(()) => info!(target: "stores", "event=publisher_left peer={peer}"),
            Err(error) => {
                state.peers.note_unanswered(now_ms(), peer.ip());
                info!(target: "stores", "event=publisher_lost cause=\"{error}\"");
            }
        }
    }
}

async fn subscribe_to(gateway: &Gateway, peer: SocketAddr) -> Result<()> {
    let query = to_bytes(&PeerQuery::ContextStores)?;
    let connected = timeout(SEND_TIMEOUT, async {
        let mut stream = TcpStream::connect(peer).await?;
        stream.write_all(&query).await?;
        stream.shutdown().await?;
        Ok(stream)
    });
    let mut stream = in_time(connected.await, peer)?;
    info!(target: "stores", "event=subscribed peer={peer}");
    while !gateway.state().follows_caches {
        let updates = in_time(timeout(SILENCE_TIMEOUT, read_message(&mut stream)).await, peer)?;
        apply_updates(&mut gateway.state(), updates);
    }
    Ok(())
}

async fn read_message(stream: &mut TcpStream) -> std::io::Result<Vec<StoreUpdate>> {
    let length = stream.read_u32().await?;
    let invalid = |text| std::io::Error::new(std::io::ErrorKind::InvalidData, text);
    if length > MAX_MESSAGE_BYTES {
        return Err(invalid(format!(
            "store update of {length} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes"
        )));
    }
    let mut bytes = vec![0; usize::try_from(length).unwrap_or_default()];
    stream.read_exact(&mut bytes).await?;
    postcard::from_bytes(&bytes).map_err(|error| invalid(error.to_string()))
}

fn apply_updates(state: &mut State, updates: Vec<StoreUpdate>) {
    for StoreUpdate { store: store_short_id, update } in updates {
        let found =
            state.stores.iter_mut().find(|(store, _)| short_id(&store.name) == store_short_id);
        if let Some((_, store_state)) = found {
            store_state.contents.apply_update(update);
        }
    }
}

/// Sends updates to a subscriber until the connection breaks or this box no longer follows
/// the context stores.
///
/// # Errors
/// Fails when the subscriber does not accept a message in time.
pub async fn publish(gateway: &Gateway, stream: &mut TcpStream) -> Result<()> {
    let mut sent_up_to: HashMap<u32, u64> = HashMap::new();
    let mut skipped = 0;
    while gateway.phase() != BoxPhase::Stopped && gateway.state().follows_caches {
        let updates = compose(&gateway.state(), &mut sent_up_to);
        if updates.is_empty() && skipped < SKIPPED_EMPTY_MESSAGES {
            skipped += 1;
        } else {
            skipped = 0;
            send(stream, &updates).await?;
        }
        sleep(PUBLISH_PERIOD).await;
    }
    Ok(())
}

/// The changes since the last message. `sent_up_to` holds the position in each store's
/// changes up to which the subscriber has them.
fn compose(state: &State, sent_up_to: &mut HashMap<u32, u64>) -> Vec<StoreUpdate> {
    let mut updates = Vec::new();
    for (store, store_state) in state.stores.iter() {
        let store = short_id(&store.name);
        let (update, next) = store_state.contents.update_since(sent_up_to.get(&store).copied());
        sent_up_to.insert(store, next);
        updates.extend(update.map(|update| StoreUpdate { store, update }));
    }
    updates
}

async fn send(stream: &mut TcpStream, updates: &[StoreUpdate]) -> Result<()> {
    let bytes = to_bytes(&updates)?;
    let length = u32::try_from(bytes.len()).map_err(|error| Error::Message(error.to_string()))?;
    let written = timeout(SEND_TIMEOUT, async {
        stream.write_u32(length).await?;
        stream.write_all(&bytes).await
    });
    written
        .await
        .map_err(|_| Error::Message(format!("subscriber did not accept {length} bytes in time")))?
        .map_err(|error| Error::Message(error.to_string()))
}

fn to_bytes(value: &impl Serialize) -> Result<Vec<u8>> {
    postcard::to_stdvec(value).map_err(|error| Error::Message(error.to_string()))
}

/// The result of an exchange with `peer` that was limited by a timeout.
fn in_time<T>(
    result: std::result::Result<std::io::Result<T>, tokio::time::error::Elapsed>,
    peer: SocketAddr,
) -> Result<T> {
    result
        .map_err(|_| Error::Message(format!("{peer}: no answer or message in time")))?
        .map_err(|error| Error::Message(format!("{peer}: {error}")))
}
