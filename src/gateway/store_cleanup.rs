//! Frees space in the context stores: parts computed with weights that no engine has any more,
//! and parts that were only partly written.
//!
//! A part is freed only when no transfer that may involve it can still be running: when no box
//! reads it any more (`decisions::release`), or when every engine has had newer weights for
//! longer than any transfer takes. The second condition is needed as well, for parts that
//! engines with the old weights have saved after the first one was met.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use log::{info, warn};
use tokio::net::UdpSocket;

use crate::clock::now_ms;
use crate::gateway::claims;
use crate::gateway::decisions::cache_contents::PartKey;
use crate::gateway::decisions::cache_reports::{CacheListing, CachedPart, FreeOutcome};
use crate::gateway::decisions::context::{scope_model, scope_version};
use crate::gateway::decisions::release::{
    ContextRelease, KnownBoxes, MAX_TRANSFER_MS, OutdatedEngines,
};
use crate::gateway::decisions::upstream::Upstream;
use crate::gateway::kernel::{Gateway, State};
use crate::names::short_id;
use crate::platform::keys;

/// Interval at which stores are checked for parts whose writing was aborted.
const PARTIAL_PERIOD_MS: u64 = 6000;
/// Time without growth after which the writing of a part is considered aborted.
const ABORTED_AFTER_MS: u64 = 5000;
/// Maximum number of parts freed by one call.
const FREE_BATCH: usize = 256;
/// Number of releases that are remembered, one for each named weight version: more than can follow
/// each other within one roll-out.
const MAX_RELEASES: usize = 16;
/// Time within which an order to free parts must arrive.
const FREE_ORDER_TIMEOUT_MS: u64 = 800;

/// What the leader remembers between two clean-ups.
#[derive(Default)]
pub struct StoreCleanup {
    boxes: KnownBoxes,
    /// One for each newly named version, oldest first.
    releases: Vec<ContextRelease>,
    /// Engines that may have older weights, by model.
    outdated_engines: HashMap<String, OutdatedEngines>,
    /// When all engines of a model were first seen with its newest weights, by model.
    all_newest_since_ms: HashMap<String, u64>,
    /// Oldest weight version whose context may still be read, by model.
    oldest_readable: HashMap<String, u64>,
    partial_checked_at_ms: u64,
    /// Incomplete parts, by store, each with its length and since when it has this length.
    partial_parts: HashMap<(String, PartKey), (u32, u64)>,
}

impl StoreCleanup {
    /// Frees the parts that are due.
    pub async fn step(&mut self, gateway: &Arc<Gateway>, socket: &UdpSocket, fence: u64) {
        let now_ms = now_ms();
        if !may_order_stores(gateway, now_ms) {
            return;
        }
        let has_more_outdated = self.update_oldest_readable(gateway, now_ms);
        let check_partial = now_ms >= self.partial_checked_at_ms + PARTIAL_PERIOD_MS;
        if !has_more_outdated && !check_partial {
            return;
        }
        if check_partial {
            self.partial_checked_at_ms = now_ms;
        }
        for (name, address) in managed_stores(gateway) {
            match gateway.caches.list(address).await {
                Ok(listing) => {
                    let parts = self.parts_to_free(now_ms, &name, &listing);
                    let store = ManagedStore { name: &name, address, fence };
                    free(gateway, socket, store, &listing, parts).await;
                }
                Err(error) => {
                    info!(target: "leader",
                        "event=store_not_listed store={name} cause=\"{error}\"");
                }
            }
        }
    }

    /// Updates the oldest readable version of each model; returns whether any has risen.
    fn update_oldest_readable(&mut self, gateway: &Gateway, now_ms: u64) -> bool {
        let mut has_risen = false;
        let state = gateway.state();
        self.note_named_versions(&state, now_ms);
        let mut oldest_readable = self.released(now_ms);
        oldest_readable.extend(self.loaded_by_all(&state, now_ms));
        for (model, version) in oldest_readable {
            let oldest = self.oldest_readable.entry(model).or_default();
            has_risen |= version > *oldest;
            *oldest = version.max(*oldest);
        }
        has_risen
    }

    /// Remembers newly named weight versions, and notes which boxes have learned of them.
    fn note_named_versions(&mut self, state: &State, now_ms: u64) {
        self.boxes.note(now_ms, state.peers.addresses());
        self.boxes.note_absent(state.peers.absent());
        for (model, named) in &state.weights {
            let version = named.newest();
            let is_known =
                |release: &ContextRelease| release.model == *model && release.version >= version;
            let item = state.view.get(&keys::weights(model));
            if let Some(item) = item
                && !self.releases.iter().any(is_known)
            {
                self.releases.push(ContextRelease::new(model, version, item.revision, &self.boxes));
                let first = self.releases.len().saturating_sub(MAX_RELEASES);
                self.releases.drain(..first);
            }
        }
        for release in &mut self.releases {
            let revision = release.revision;
            release.note_informed(now_ms, |address| {
                state.peers.has_reached_revision(address, revision)
            });
        }
    }

    /// Models with the oldest version whose context boxes may still read from stores.
    fn released(&self, now_ms: u64) -> Vec<(String, u64)> {
        let released = self.releases.iter().filter(|release| release.is_safe(now_ms));
        released.map(|release| (release.model.clone(), release.version)).collect()
    }

    /// Models all of whose engines have had the newest version for longer than any transfer
    /// takes, with that version.
    fn loaded_by_all(&mut self, state: &State, now_ms: u64) -> Vec<(String, u64)> {
        let mut loaded = Vec::new();
        for (model, named) in &state.weights {
            let newest = named.newest();
            let engines = state.upstreams.current();
            let is_outdated = |engine: &&Upstream| engine.weight_version(model) < newest;
            let (outdated, newest_ones): (Vec<&Upstream>, Vec<&Upstream>) =
                engines.filter(|engine| engine.weight_version(model) > 0).partition(is_outdated);
            let address = |engine: &Upstream| engine.entry.address;
            let known = self.outdated_engines.entry(model.clone()).or_default();
            let outdated = outdated.into_iter().map(address);
            if !known.note(now_ms, outdated, newest_ones.into_iter().map(address)) {
                self.all_newest_since_ms.remove(model);
                continue;
            }
            let since_ms = *self.all_newest_since_ms.entry(model.clone()).or_insert(now_ms);
            if now_ms >= since_ms + MAX_TRANSFER_MS {
                loaded.push((model.clone(), newest));
            }
        }
        loaded
    }

    /// The parts of a store that can be freed, by its listing.
    fn parts_to_free(
        &mut self,
        now_ms: u64,
        store: &str,
        listing: &CacheListing,
    ) -> Vec<CachedPart> {
        let is_outdated = |part: &CachedPart| {
            let version = scope_version(&part.scope);
            let oldest = scope_model(&part.scope).and_then(|model| self.oldest_readable.get(model));
            oldest.is_some_and(|oldest| version.is_some_and(|version| version < *oldest))
        };
        let mut parts: Vec<CachedPart> = listing
            .complete
            .iter()
            .map(|change| &change.part)
            .filter(|part| is_outdated(part))
            .cloned()
            .collect();
        let mut listed = HashSet::new();
        for partial in &listing.partial {
            let key = (store.to_owned(), PartKey::new(&partial.part.scope, &partial.part.part_id));
            listed.insert(key.clone());
            let known = self.partial_parts.entry(key).or_insert((partial.complete_tokens, now_ms));
            if known.0 != partial.complete_tokens {
                *known = (partial.complete_tokens, now_ms);
            }
            if now_ms >= known.1 + ABORTED_AFTER_MS {
                parts.push(partial.part.clone());
            }
        }
        self.partial_parts.retain(|key, _| key.0 != store || listed.contains(key));
        parts
    }
}

/// The context stores whose space the gateway manages.
fn managed_stores(gateway: &Gateway) -> Vec<(String, SocketAddr)> {
    let state = gateway.state();
    let managed = state.stores.iter().filter(|(store, _)| store.managed);
    managed.map(|(store, _)| (store.name.clone(), store.address)).collect()
}

/// Whether the pause after orders of earlier leaders to any managed store is over.
fn may_order_stores(gateway: &Gateway, now_ms: u64) -> bool {
    let state = gateway.state();
    let bounds = &gateway.settings.bounds;
    let mut managed = state.stores.iter().filter(|(store, _)| store.managed);
    managed.all(|(store, _)| claims::may_order(&state, bounds, now_ms, short_id(&store.name)))
}

/// A store in which parts are to be freed.
#[derive(Clone, Copy)]
struct ManagedStore<'a> {
    name: &'a str,
    address: SocketAddr,
    /// Fencing token of the leader.
    fence: u64,
}

/// Orders a store to free parts, batch by batch.
async fn free(
    gateway: &Gateway,
    socket: &UdpSocket,
    store: ManagedStore<'_>,
    listing: &CacheListing,
    parts: Vec<CachedPart>,
) {
    let ManagedStore { name, address, fence } = store;
    for batch in parts.chunks(FREE_BATCH) {
        if !claim_store(gateway, socket, store).await {
            return;
        }
        let now_ms = now_ms();
        let (allowed, ahead_ms) = {
            let state = gateway.state();
            (state.leads(now_ms, fence), state.upstream_clock_offset_ms)
        };
        let Some(ahead_ms) = ahead_ms.filter(|_| allowed) else { return };
        let until_ms = now_ms.saturating_add_signed(ahead_ms) + FREE_ORDER_TIMEOUT_MS;
        match gateway.caches.free(address, batch, listing.boot_epoch, until_ms).await {
            Ok(FreeOutcome::Freed) => {
                info!(target: "leader", "event=parts_freed store={name} count={}", batch.len());
                if let Some((_, store)) = gateway.state().stores.get_mut(name) {
                    for part in batch {
                        store.contents.set_tokens(PartKey::new(&part.scope, &part.part_id), 0);
                    }
                }
            }
            Ok(FreeOutcome::Refused) => {
                warn!(target: "leader", "event=parts_not_freed store={name} reason=refused");
            }
            Err(error) => {
                info!(target: "leader", "event=parts_not_freed store={name} cause=\"{error}\"");
            }
        }
    }
}

/// Claims a store; returns whether this box may send it orders.
async fn claim_store(gateway: &Gateway, socket: &UdpSocket, store: ManagedStore<'_>) -> bool {
    let target = short_id(store.name);
    match claims::claim(gateway, socket, store.fence, target).await {
        Ok(claimed) => claimed,
        Err(error) => {
            info!(target: "leader",
                "event=store_not_claimed store={} cause=\"{error}\"", store.name);
            false
        }
    }
}
