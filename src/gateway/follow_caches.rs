//! Follows what engines and stores keep, by their own events.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::{debug, info};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::clock::now_ms;
use crate::error::{Error, Result};
use crate::gateway::decisions::cache_contents::CacheContents;
use crate::gateway::decisions::cache_reports::{CacheChanges, CacheListing};
use crate::gateway::decisions::upstream::ReportedRun;
use crate::gateway::entries;
use crate::gateway::kernel::{Gateway, State};
use crate::phase::Phase;

/// Longest time for which a box that starts waits to hear of its peers; the first
/// boxes of a fleet that lost power may be seconds behind others.
const ALONE_TIMEOUT: Duration = Duration::from_secs(3);
/// How often it looks whether it has.
const FLEET_POLL: Duration = Duration::from_millis(20);
/// Pause after a holder that could not be reached: short, since nothing is fetched
/// from a store that is not known.
const UNREACHED_PAUSE: Duration = Duration::from_millis(300);
/// First pause after a holder that takes no more followers.
const BUSY_PAUSE: Duration = Duration::from_millis(700);
/// Longest pause: a holder with as many followers as it takes refuses all
/// others, and each refusal costs it a call.
const MOST_PAUSE: Duration = Duration::from_secs(6);

/// Who keeps context.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum HolderId {
    /// An engine, by its id.
    Engine(String),
    /// A store, by its name.
    Store(String),
}

/// Follows every holder of context until the box stops.
pub async fn run(gateway: Arc<Gateway>) {
    let mut followed: HashMap<(HolderId, SocketAddr), JoinHandle<()>> = HashMap::new();
    let mut changed = gateway.upstreams_changed.subscribe();
    // Else all boxes of a large fleet that start at once would have every store
    // listed and every engine's history sent: 12 MB over a link of 10 Mbit/s.
    // Without an answer in time, the box is alone.
    let _ = timeout(ALONE_TIMEOUT, fleet_known(&gateway)).await;
    while gateway.phase() != Phase::Stopped {
        let wanted = holders(&gateway);
        followed.retain(|holder_id, task| {
            let keep = wanted.contains(holder_id);
            if !keep {
                task.abort();
                with_holder(&mut gateway.state(), &holder_id.0, CacheContents::mark_unknown);
            }
            keep
        });
        for holder_id in wanted {
            followed.entry(holder_id).or_insert_with_key(|(holder_id, address)| {
                tokio::spawn(follow(gateway.clone(), holder_id.clone(), *address))
            });
        }
        // The sender lives as long as the gateway.
        let _ = changed.changed().await;
    }
}

/// Waits until the box has learned of its peers.
async fn fleet_known(gateway: &Gateway) {
    while !gateway.state().peers.is_fleet_known(now_ms()) {
        sleep(FLEET_POLL).await;
    }
}

fn holders(gateway: &Gateway) -> Vec<(HolderId, SocketAddr)> {
    let state = gateway.state();
    let Some(site) = &state.site else {
        return Vec::new();
    };
    if !state.follows_caches {
        return Vec::new();
    }
    // In a large fleet, what engines keep is gone before all boxes could know.
    let follows_engines = state.small_fleet;
    let engines = state.upstreams.current().filter(|upstream| {
        follows_engines
            && site.services.get(&upstream.entry.service).is_some_and(|one| one.engine.is_some())
    });
    let engines = engines.map(|engine| (HolderId::Engine(engine.id.clone()), engine.entry.address));
    let stores =
        state.stores.iter().map(|(store, _)| (HolderId::Store(store.name.clone()), store.address));
    engines.chain(stores).collect()
}

async fn follow(gateway: Arc<Gateway>, holder_id: HolderId, address: SocketAddr) {
    let mut known = false;
    let mut pause = BUSY_PAUSE;
    loop {
        match step(&gateway, &holder_id, address, &mut known).await {
            Ok(()) => pause = BUSY_PAUSE,
            Err(error) => {
                debug!(target: "caches", "event=holder_silent holder={holder_id:?} cause=\"{error}\"");
                if let HolderId::Store(name) = &holder_id
                    && let Some((_, state)) = gateway.state().stores.get_mut(name)
                {
                    state.record_failure(now_ms());
                    // It may have lost all, and have a part written again.
                    state.holder.mark_unknown();
                    known = false;
                }
                if matches!(error, Error::Busy(_)) {
                    sleep(pause).await;
                    pause = (pause * 2).min(MOST_PAUSE);
                } else {
                    sleep(UNREACHED_PAUSE).await;
                }
            }
        }
    }
}

async fn step(
    gateway: &Gateway,
    holder_id: &HolderId,
    address: SocketAddr,
    known: &mut bool,
) -> Result<()> {
    // A process that has just started must learn what a store kept before.
    if !*known && matches!(holder_id, HolderId::Store(_)) {
        list(gateway, holder_id, address).await?;
        *known = true;
    }
    let since = with_holder(&mut gateway.state(), holder_id, |holder| holder.next_change());
    let Some(since) = since else {
        sleep(BUSY_PAUSE).await;
        return Ok(());
    };
    let asked_at_ms = now_ms();
    let changes = gateway.caches.changes(address, since).await?;
    if let HolderId::Engine(id) = holder_id
        && entries::note_answering_run(gateway, id, changes.started_at_ms, asked_at_ms)
            != ReportedRun::Current
    {
        // A new run has told only what came after a place in the events of the old one.
        return Ok(());
    }
    *known = true;
    let gap = take(gateway, holder_id, &changes);
    if gap && matches!(holder_id, HolderId::Store(_)) {
        list(gateway, holder_id, address).await?;
    }
    Ok(())
}

async fn list(gateway: &Gateway, holder_id: &HolderId, address: SocketAddr) -> Result<()> {
    let listing: CacheListing = gateway.caches.list(address).await?;
    info!(target: "caches", "event=holder_listed holder={holder_id:?} boot={} parts={} partial={}",
        listing.boot_epoch, listing.complete.len(), listing.partial.len());
    with_holder(&mut gateway.state(), holder_id, |holder| holder.apply_listing(&listing));
    Ok(())
}

fn take(gateway: &Gateway, holder_id: &HolderId, changes: &CacheChanges) -> bool {
    let mut state = gateway.state();
    if let Some(clock_ms) = changes.clock_ms {
        state.update_upstream_clock_offset(now_ms(), clock_ms);
    }
    with_holder(&mut state, holder_id, |holder| holder.apply_changes(changes)).unwrap_or_default()
}

fn with_holder<T>(
    state: &mut State,
    holder_id: &HolderId,
    act: impl FnOnce(&mut CacheContents) -> T,
) -> Option<T> {
    match holder_id {
        HolderId::Engine(id) => state.upstreams.get_mut(id).map(|engine| act(&mut engine.holder)),
        HolderId::Store(name) => {
            state.stores.get_mut(name).map(|(_, store)| act(&mut store.holder))
        }
    }
}
