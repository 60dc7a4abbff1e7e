//! Follows what engines and stores keep, by their own events.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::{debug, info};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::clock::now_ms;
use crate::error::Result;
use crate::gateway::holder::Holder;
use crate::gateway::kernel::{Gateway, State};
use crate::phase::Phase;
use crate::platform::caches::{CacheChanges, CacheListing};

/// First pause after a holder that did not answer.
const PAUSE: Duration = Duration::from_millis(700);
/// Longest pause: a holder with as many followers as it takes refuses all
/// others, and each refusal is priced.
const MOST_PAUSE: Duration = Duration::from_secs(6);

/// Who keeps context.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Keeper {
    /// An engine, by its id.
    Engine(String),
    /// A store, by its name.
    Store(String),
}

/// Follows every holder of context until the box stops.
pub async fn run(gateway: Arc<Gateway>) {
    let mut followed: HashMap<(Keeper, SocketAddr), JoinHandle<()>> = HashMap::new();
    let mut changed = gateway.upstreams_changed.subscribe();
    while gateway.phase() != Phase::Stopped {
        let wanted = keepers(&gateway);
        followed.retain(|keeper, task| {
            let keep = wanted.contains(keeper);
            if !keep {
                task.abort();
            }
            keep
        });
        for keeper in wanted {
            followed.entry(keeper).or_insert_with_key(|(keeper, address)| {
                tokio::spawn(follow(gateway.clone(), keeper.clone(), *address))
            });
        }
        // The sender lives as long as the gateway.
        let _ = changed.changed().await;
    }
}

fn keepers(gateway: &Gateway) -> Vec<(Keeper, SocketAddr)> {
    let state = gateway.state();
    let Some(site) = &state.site else {
        return Vec::new();
    };
    let engines = state.upstreams.iter().filter(|upstream| {
        site.services.get(&upstream.entry.service).is_some_and(|one| one.engine.is_some())
    });
    let engines = engines.map(|engine| (Keeper::Engine(engine.id.clone()), engine.entry.address));
    let stores =
        state.stores.iter().map(|(store, _)| (Keeper::Store(store.name.clone()), store.address));
    engines.chain(stores).collect()
}

async fn follow(gateway: Arc<Gateway>, keeper: Keeper, address: SocketAddr) {
    let mut known = false;
    let mut pause = PAUSE;
    loop {
        match step(&gateway, &keeper, address, &mut known).await {
            Ok(()) => pause = PAUSE,
            Err(error) => {
                debug!(target: "caches", "event=holder_silent holder={keeper:?} cause=\"{error}\"");
                if let Keeper::Store(name) = &keeper
                    && let Some((_, state)) = gateway.state().stores.get_mut(name)
                {
                    state.failed(now_ms());
                }
                sleep(pause).await;
                pause = (pause * 2).min(MOST_PAUSE);
            }
        }
    }
}

async fn step(
    gateway: &Gateway,
    keeper: &Keeper,
    address: SocketAddr,
    known: &mut bool,
) -> Result<()> {
    // A process that has just started must learn what a store kept before.
    if !*known && matches!(keeper, Keeper::Store(_)) {
        list(gateway, keeper, address).await?;
        *known = true;
    }
    let since = with_holder(&mut gateway.state(), keeper, |holder| holder.next());
    let Some(since) = since else {
        sleep(PAUSE).await;
        return Ok(());
    };
    let changes = gateway.caches.changes(address, since).await?;
    *known = true;
    let gap = take(gateway, keeper, &changes);
    if gap && matches!(keeper, Keeper::Store(_)) {
        list(gateway, keeper, address).await?;
    }
    Ok(())
}

async fn list(gateway: &Gateway, keeper: &Keeper, address: SocketAddr) -> Result<()> {
    let listing: CacheListing = gateway.caches.list(address).await?;
    info!(target: "caches", "event=holder_listed holder={keeper:?} boot={} parts={} partial={}",
        listing.boot, listing.held.len(), listing.partial.len());
    with_holder(&mut gateway.state(), keeper, |holder| holder.listed(&listing));
    Ok(())
}

fn take(gateway: &Gateway, keeper: &Keeper, changes: &CacheChanges) -> bool {
    let mut state = gateway.state();
    if let Some(clock_ms) = changes.clock_ms {
        let ahead_ms = clock_ms.cast_signed() - now_ms().cast_signed();
        // An answer under way makes the clock look late, never early.
        let known = state.upstream_clock_ahead_ms.unwrap_or(i64::MIN);
        state.upstream_clock_ahead_ms = Some(known.max(ahead_ms));
    }
    with_holder(&mut state, keeper, |holder| holder.changed(changes)).unwrap_or_default()
}

fn with_holder<T>(
    state: &mut State,
    keeper: &Keeper,
    act: impl FnOnce(&mut Holder) -> T,
) -> Option<T> {
    match keeper {
        Keeper::Engine(id) => state.upstreams.get_mut(id).map(|engine| act(&mut engine.holder)),
        Keeper::Store(name) => state.stores.get_mut(name).map(|(_, store)| act(&mut store.holder)),
    }
}
