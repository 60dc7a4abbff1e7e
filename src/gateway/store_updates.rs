//! What stores of context keep, told from boxes that follow them to the others
//! of their hall.
//!
//! In a large fleet just a few boxes follow the stores, since a store serves a
//! few followers only. Each of the others holds a connection to one of them, on
//! which it first gets all and then every change. When the connection breaks, the
//! box knows nothing of the stores until it has another: a part that is being
//! written again must not be read.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::clock::now_ms;
use crate::error::{Error, Result};
use crate::gateway::catch_up::PeerQuery;
use crate::gateway::decisions::cache_contents::CacheUpdate;
use crate::gateway::kernel::{Gateway, State};
use crate::names::number;
use crate::phase::Phase;

/// Time between two messages when there is something to tell: short beside the
/// seconds after which a part is asked for again.
const TELL_PERIOD: Duration = Duration::from_millis(100);
/// Messages without content that are left out between two that show that the
/// connection lives.
const QUIET_TURNS: u32 = 4;
/// Silence after which a connection is given up: twice the time between messages.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time in which a connection must come up, or take a message.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before another connection is tried.
const PAUSE: Duration = Duration::from_millis(100);
/// Longest message: some hundred thousand parts.
const MAX_MESSAGE_BYTES: u32 = 4 << 20;

/// What is told of one store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// Number of its name.
    pub store: u32,
    /// What has changed.
    pub update: CacheUpdate,
}

/// Learns from a box that follows the stores, while this one does not.
pub async fn subscribe(gateway: Arc<Gateway>) {
    while gateway.phase() != Phase::Stopped {
        sleep(PAUSE).await;
        let peer = {
            let state = gateway.state();
            state.peers.cache_publisher(now_ms()).filter(|_| !state.follows_caches)
        };
        let Some(peer) = peer else { continue };
        let ended = subscribe_to(&gateway, peer).await;
        let mut state = gateway.state();
        state.forget_store_contents();
        match ended {
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
    let connected = timeout(CALL_TIMEOUT, async {
        let mut stream = TcpStream::connect(peer).await?;
        stream.write_all(&query).await?;
        stream.shutdown().await?;
        Ok(stream)
    });
    let mut stream = in_time(connected.await, peer)?;
    info!(target: "stores", "event=subscribed peer={peer}");
    while !gateway.state().follows_caches {
        let update = in_time(timeout(SILENCE_TIMEOUT, read_message(&mut stream)).await, peer)?;
        take(&mut gateway.state(), update);
    }
    Ok(())
}

async fn read_message(stream: &mut TcpStream) -> std::io::Result<Vec<StoreUpdate>> {
    let length = stream.read_u32().await?;
    let invalid = |text| std::io::Error::new(std::io::ErrorKind::InvalidData, text);
    if length > MAX_MESSAGE_BYTES {
        return Err(invalid("a message is too long".to_owned()));
    }
    let mut bytes = vec![0; usize::try_from(length).unwrap_or_default()];
    stream.read_exact(&mut bytes).await?;
    postcard::from_bytes(&bytes).map_err(|error| invalid(error.to_string()))
}

fn take(state: &mut State, all: Vec<StoreUpdate>) {
    for StoreUpdate { store: told, update } in all {
        let found = state.stores.iter_mut().find(|(store, _)| number(&store.name) == told);
        if let Some((_, one)) = found {
            one.holder.apply_update(update);
        }
    }
}

/// Tells a box of the stores until it goes or this box follows them no more.
///
/// # Errors
/// Fails when the other box takes no message in time.
pub async fn publish(gateway: &Gateway, stream: &mut TcpStream) -> Result<()> {
    let mut told: HashMap<u32, u64> = HashMap::new();
    let mut quiet = 0;
    while gateway.phase() != Phase::Stopped && gateway.state().follows_caches {
        let update = compose(&gateway.state(), &mut told);
        if update.is_empty() && quiet < QUIET_TURNS {
            quiet += 1;
        } else {
            quiet = 0;
            send(stream, &update).await?;
        }
        sleep(TELL_PERIOD).await;
    }
    Ok(())
}

/// What has changed since it was told last.
fn compose(state: &State, told: &mut HashMap<u32, u64>) -> Vec<StoreUpdate> {
    let mut all = Vec::new();
    for (store, one) in state.stores.iter() {
        let store = number(&store.name);
        let (update, next) = one.holder.update_since(told.get(&store).copied());
        told.insert(store, next);
        all.extend(update.map(|update| StoreUpdate { store, update }));
    }
    all
}

async fn send(stream: &mut TcpStream, update: &[StoreUpdate]) -> Result<()> {
    let bytes = to_bytes(&update)?;
    let length = u32::try_from(bytes.len()).map_err(|error| Error::Message(error.to_string()))?;
    let written = timeout(CALL_TIMEOUT, async {
        stream.write_u32(length).await?;
        stream.write_all(&bytes).await
    });
    written
        .await
        .map_err(|_| Error::Message(format!("{length} bytes were not taken in time")))?
        .map_err(|error| Error::Message(error.to_string()))
}

fn to_bytes(value: &impl Serialize) -> Result<Vec<u8>> {
    postcard::to_stdvec(value).map_err(|error| Error::Message(error.to_string()))
}

fn in_time<T>(
    ended: std::result::Result<std::io::Result<T>, tokio::time::error::Elapsed>,
    peer: SocketAddr,
) -> Result<T> {
    ended
        .map_err(|_| Error::Message(format!("{peer} is silent")))?
        .map_err(|error| Error::Message(format!("{peer}: {error}")))
}
