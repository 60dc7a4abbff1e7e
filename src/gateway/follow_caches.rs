//! Follows the contents of caches, that is, of engines and context stores, by the change events
//! that each of them publishes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::{debug, info};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::box_phase::BoxPhase;
use crate::clock::now_ms;
use crate::error::{Error, Result};
use crate::gateway::decisions::cache_contents::CacheContents;
use crate::gateway::decisions::cache_reports::{CacheChanges, CacheListing};
use crate::gateway::decisions::upstream::{ReportedIncarnation, Upstream};
use crate::gateway::entries;
use crate::gateway::kernel::{Gateway, State};

/// Maximum time for which a newly started box waits for gossip from its peers; after a power
/// failure, boxes of a fleet may start seconds apart.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval of the checks while it waits.
const DISCOVERY_POLL: Duration = Duration::from_millis(20);
/// Pause after a call to a cache has failed: short, since no context is fetched from a store
/// whose contents are unknown.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Pause after a cache has refused this box as a follower for the first time; it doubles with
/// each refusal.
const BUSY_PAUSE: Duration = Duration::from_millis(700);
/// Maximum pause after refusals: a cache at its limit of followers refuses all others, and
/// each refusal costs it a call.
const MAX_BUSY_PAUSE: Duration = Duration::from_secs(6);

/// Identifies a cache of context: an engine or a context store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum CacheId {
    /// An engine, by its id.
    Engine(String),
    /// A store, by its name.
    Store(String),
}

/// Follows every cache that this box should follow, until the box stops.
pub async fn run(gateway: Arc<Gateway>) {
    let mut followed: HashMap<(CacheId, SocketAddr), JoinHandle<()>> = HashMap::new();
    let mut changed = gateway.upstreams_changed.subscribe();
    // Otherwise all boxes of a large fleet that start together would list every store and
    // fetch every engine's history: 12 MB over a 10 Mbit/s link. A box that learns of no peer
    // in time assumes that it is the only one.
    let _ = timeout(DISCOVERY_TIMEOUT, wait_for_peers(&gateway)).await;
    while gateway.phase() != BoxPhase::Stopped {
        let wanted = caches_to_follow(&gateway);
        followed.retain(|cache_id, task| {
            let keep = wanted.contains(cache_id);
            if !keep {
                task.abort();
                with_contents(&mut gateway.state(), &cache_id.0, CacheContents::mark_unknown);
            }
            keep
        });
        for cache_id in wanted {
            followed.entry(cache_id).or_insert_with_key(|(cache_id, address)| {
                tokio::spawn(follow(gateway.clone(), cache_id.clone(), *address))
            });
        }
        // Cannot fail: the gateway owns the sender.
        let _ = changed.changed().await;
    }
}

/// Waits until the box has learned of its peers.
async fn wait_for_peers(gateway: &Gateway) {
    while !gateway.state().peers.is_fleet_known(now_ms()) {
        sleep(DISCOVERY_POLL).await;
    }
}

/// The caches that this box should follow, with their addresses.
fn caches_to_follow(gateway: &Gateway) -> Vec<(CacheId, SocketAddr)> {
    let state = gateway.state();
    let Some(configuration) = &state.configuration else {
        return Vec::new();
    };
    let is_engine = |upstream: &&Upstream| {
        let service = configuration.services.get(&upstream.entry.service);
        service.is_some_and(|service| service.engine.is_some())
    };
    let engines = state.upstreams.current().filter(is_engine);
    // In a large fleet, engines evict context before all boxes could learn of it.
    let follows_engines =
        state.small_fleet && state.peers.is_engine_follower(engines.clone().count());
    let engines = engines.filter(|_| follows_engines);
    let engines = engines.map(|engine| (CacheId::Engine(engine.id.clone()), engine.entry.address));
    let stores = state.stores.iter().filter(|_| state.follows_caches);
    let stores = stores.map(|(store, _)| {
        (CacheId::Store(store.name.clone()), gateway.settings.dial_address(store.address))
    });
    engines.chain(stores).collect()
}

/// Follows one cache until the task is aborted.
async fn follow(gateway: Arc<Gateway>, cache_id: CacheId, address: SocketAddr) {
    let mut known = false;
    let mut pause = BUSY_PAUSE;
    loop {
        match step(&gateway, &cache_id, address, &mut known).await {
            Ok(()) => pause = BUSY_PAUSE,
            Err(error) => {
                debug!(target: "caches",
                    "event=holder_silent holder={cache_id:?} cause=\"{error}\"");
                if let CacheId::Store(name) = &cache_id {
                    record_store_failure(&mut gateway.state(), name);
                    known = false;
                }
                if matches!(error, Error::Busy(_)) {
                    sleep(pause).await;
                    pause = (pause * 2).min(MAX_BUSY_PAUSE);
                } else {
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }
}

/// Records that a call to a store failed.
fn record_store_failure(state: &mut State, name: &str) {
    state.reach.record_store_failure(state.upstreams.missed_count());
    if let Some((_, store)) = state.stores.get_mut(name) {
        store.record_failure(now_ms());
        // The store may have lost its contents, and parts may be rewritten.
        store.contents.mark_unknown();
    }
}

/// Waits for the next changes of a cache and applies them; lists its contents first if they
/// are unknown.
async fn step(
    gateway: &Gateway,
    cache_id: &CacheId,
    address: SocketAddr,
    known: &mut bool,
) -> Result<()> {
    // The events of a store do not cover what it contained before this box followed it.
    if !*known && matches!(cache_id, CacheId::Store(_)) {
        list(gateway, cache_id, address).await?;
        *known = true;
    }
    let since = with_contents(&mut gateway.state(), cache_id, |contents| contents.next_position());
    let Some(since) = since else {
        sleep(BUSY_PAUSE).await;
        return Ok(());
    };
    let asked_at_ms = now_ms();
    let changes = gateway.caches.changes(address, since).await?;
    if let CacheId::Engine(id) = cache_id
        && entries::note_answering_incarnation(gateway, id, changes.started_at_ms, asked_at_ms)
            != ReportedIncarnation::Current
    {
        // The engine has restarted: `since` was a position in the events of its previous
        // incarnation.
        return Ok(());
    }
    *known = true;
    let gap = apply_changes(gateway, cache_id, &changes);
    if gap && matches!(cache_id, CacheId::Store(_)) {
        list(gateway, cache_id, address).await?;
    }
    Ok(())
}

/// Replaces what is known of a cache by a full listing.
async fn list(gateway: &Gateway, cache_id: &CacheId, address: SocketAddr) -> Result<()> {
    let listing: CacheListing = gateway.caches.list(address).await?;
    info!(target: "caches", "event=holder_listed holder={cache_id:?} boot={} parts={} partial={}",
        listing.boot_epoch, listing.complete.len(), listing.partial.len());
    with_contents(&mut gateway.state(), cache_id, |contents| contents.apply_listing(&listing));
    Ok(())
}

/// Applies changes of a cache; returns whether some are missing in between.
fn apply_changes(gateway: &Gateway, cache_id: &CacheId, changes: &CacheChanges) -> bool {
    let mut state = gateway.state();
    if let Some(clock_ms) = changes.clock_ms {
        state.update_upstream_clock_offset(now_ms(), clock_ms);
    }
    with_contents(&mut state, cache_id, |contents| contents.apply_changes(changes))
        .unwrap_or_default()
}

/// Runs `action` on the known contents of a cache, if it still exists.
fn with_contents<T>(
    state: &mut State,
    cache_id: &CacheId,
    action: impl FnOnce(&mut CacheContents) -> T,
) -> Option<T> {
    match cache_id {
        CacheId::Engine(id) => {
            state.upstreams.get_mut(id).map(|engine| action(&mut engine.contents))
        }
        CacheId::Store(name) => {
            state.stores.get_mut(name).map(|(_, store)| action(&mut store.contents))
        }
    }
}
