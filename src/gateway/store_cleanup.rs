//! Space in the stores of context: frees parts of weights that no engine has
//! any more, and parts whose writing broke off.
//!
//! A part is freed only when no transfer that may name it can still run: when no box reads
//! it any more (`release`), or when every engine has had the newer weights for longer than
//! any transfer takes. The latter comes too, for what old engines have saved meanwhile.

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
use crate::gateway::decisions::release::{ContextRelease, KnownBoxes, MAX_TRANSFER_MS};
use crate::gateway::kernel::{Gateway, State};
use crate::names::number;
use crate::platform::keys;

/// How often stores are looked through for parts whose writing broke off.
const PARTIAL_PERIOD_MS: u64 = 6000;
/// Time after which a part that did not grow is taken as broken off.
const BROKEN_OFF_MS: u64 = 5000;
/// Parts that are freed with one call.
const FREE_BATCH: usize = 256;
/// Named versions that are remembered: more than follow each other in a roll-out.
const REMEMBERED_NAMINGS: usize = 16;
/// Time in which an order to free must arrive.
const FREE_MS: u64 = 800;

/// What the holder remembers of the stores.
#[derive(Default)]
pub struct StoreCleanup {
    boxes: KnownBoxes,
    namings: Vec<ContextRelease>,
    settled_at_ms: HashMap<String, u64>,
    /// Oldest version that may still be read, by model.
    oldest_read: HashMap<String, u64>,
    partial_looked_at_ms: u64,
    partial: HashMap<(String, PartKey), (u32, u64)>,
}

impl StoreCleanup {
    /// Frees what is due.
    pub async fn step(&mut self, gateway: &Arc<Gateway>, socket: &UdpSocket, fence: u64) {
        let now_ms = now_ms();
        if !may_order_stores(gateway, now_ms) {
            return;
        }
        let more_is_old = self.note_old(gateway, now_ms);
        let look_for_partial = now_ms >= self.partial_looked_at_ms + PARTIAL_PERIOD_MS;
        if !more_is_old && !look_for_partial {
            return;
        }
        if look_for_partial {
            self.partial_looked_at_ms = now_ms;
        }
        for (name, address) in managed_stores(gateway) {
            match gateway.caches.list(address).await {
                Ok(listing) => {
                    let parts = self.parts_to_free(now_ms, &name, &listing);
                    let store = ManagedStore { name: &name, address, fence };
                    free(gateway, socket, store, &listing, parts).await;
                }
                Err(error) => {
                    info!(target: "leader", "event=store_not_listed store={name} cause=\"{error}\"");
                }
            }
        }
    }

    /// Notes whose old context can be freed; whether that is more than before.
    fn note_old(&mut self, gateway: &Gateway, now_ms: u64) -> bool {
        let mut more = false;
        let state = gateway.state();
        self.note_namings(&state, now_ms);
        let mut old = self.unread(now_ms);
        old.extend(self.settled(&state, now_ms));
        for (model, version) in old {
            let oldest = self.oldest_read.entry(model).or_default();
            more |= version > *oldest;
            *oldest = version.max(*oldest);
        }
        more
    }

    /// Takes named versions, and notes which boxes have learned of them.
    fn note_namings(&mut self, state: &State, now_ms: u64) {
        self.boxes.note(now_ms, state.peers.addresses());
        for (model, named) in &state.weights {
            let version = named.newest();
            let is_known = |one: &ContextRelease| one.model == *model && one.version >= version;
            let written = state.view.get(&keys::weights(model));
            if let Some(written) = written
                && !self.namings.iter().any(is_known)
            {
                self.namings.push(ContextRelease::new(
                    model,
                    version,
                    written.revision,
                    &self.boxes,
                ));
                let first = self.namings.len().saturating_sub(REMEMBERED_NAMINGS);
                self.namings.drain(..first);
            }
        }
        for naming in &mut self.namings {
            let revision = naming.revision;
            naming.note_informed(now_ms, |address| {
                state.peers.has_reached_revision(address, revision)
            });
        }
    }

    /// Models with the oldest version that boxes may read from stores.
    fn unread(&self, now_ms: u64) -> Vec<(String, u64)> {
        let over = self.namings.iter().filter(|naming| naming.is_safe(now_ms));
        over.map(|naming| (naming.model.clone(), naming.version)).collect()
    }

    /// Models whose engines have all had the newest version for longer than any transfer.
    fn settled(&mut self, state: &State, now_ms: u64) -> Vec<(String, u64)> {
        let mut settled = Vec::new();
        for (model, named) in &state.weights {
            let newest = named.newest();
            let mut engines = state.upstreams.current();
            if engines.any(|one| (1..newest).contains(&one.weight_version(model))) {
                self.settled_at_ms.remove(model);
                continue;
            }
            let settled_at_ms = *self.settled_at_ms.entry(model.clone()).or_insert(now_ms);
            if now_ms >= settled_at_ms + MAX_TRANSFER_MS {
                settled.push((model.clone(), newest));
            }
        }
        settled
    }

    fn parts_to_free(
        &mut self,
        now_ms: u64,
        store: &str,
        listing: &CacheListing,
    ) -> Vec<CachedPart> {
        let is_old = |kept: &CachedPart| {
            let version = scope_version(&kept.scope);
            let oldest = scope_model(&kept.scope).and_then(|model| self.oldest_read.get(model));
            oldest.is_some_and(|oldest| version.is_some_and(|one| one < *oldest))
        };
        let mut parts: Vec<CachedPart> = listing
            .complete
            .iter()
            .map(|held| &held.part)
            .filter(|kept| is_old(kept))
            .cloned()
            .collect();
        let mut seen = HashSet::new();
        for partial in &listing.partial {
            let key = (store.to_owned(), PartKey::new(&partial.part.scope, &partial.part.part_id));
            seen.insert(key.clone());
            let known = self.partial.entry(key).or_insert((partial.complete_tokens, now_ms));
            if known.0 != partial.complete_tokens {
                *known = (partial.complete_tokens, now_ms);
            }
            if now_ms >= known.1 + BROKEN_OFF_MS {
                parts.push(partial.part.clone());
            }
        }
        self.partial.retain(|key, _| key.0 != store || seen.contains(key));
        parts
    }
}

fn managed_stores(gateway: &Gateway) -> Vec<(String, SocketAddr)> {
    let state = gateway.state();
    let managed = state.stores.iter().filter(|(store, _)| store.managed);
    managed.map(|(store, _)| (store.name.clone(), store.address)).collect()
}

/// Whether no leader before this one may have ordered a store lately.
fn may_order_stores(gateway: &Gateway, now_ms: u64) -> bool {
    let state = gateway.state();
    let bounds = &gateway.settings.bounds;
    let mut managed = state.stores.iter().filter(|(store, _)| store.managed);
    managed.all(|(store, _)| claims::may_order(&state, bounds, now_ms, number(&store.name)))
}

/// A store that is to free parts.
#[derive(Clone, Copy)]
struct ManagedStore<'a> {
    name: &'a str,
    address: SocketAddr,
    /// Fencing token of the leader.
    fence: u64,
}

async fn free(
    gateway: &Gateway,
    socket: &UdpSocket,
    store: ManagedStore<'_>,
    listing: &CacheListing,
    parts: Vec<CachedPart>,
) {
    let ManagedStore { name, address, fence } = store;
    for batch in parts.chunks(FREE_BATCH) {
        if !claimed(gateway, socket, store).await {
            return;
        }
        let now_ms = now_ms();
        let (allowed, ahead_ms) = {
            let state = gateway.state();
            (state.leads(now_ms, fence), state.upstream_clock_offset_ms)
        };
        let Some(ahead_ms) = ahead_ms.filter(|_| allowed) else { return };
        let until_ms = now_ms.saturating_add_signed(ahead_ms) + FREE_MS;
        match gateway.caches.free(address, batch, listing.boot_epoch, until_ms).await {
            Ok(FreeOutcome::Freed) => {
                info!(target: "leader", "event=parts_freed store={name} count={}", batch.len());
                if let Some((_, state)) = gateway.state().stores.get_mut(name) {
                    for kept in batch {
                        state.holder.set_tokens(PartKey::new(&kept.scope, &kept.part_id), 0);
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

/// Writes down that a store may be ordered; whether it may.
async fn claimed(gateway: &Gateway, socket: &UdpSocket, store: ManagedStore<'_>) -> bool {
    let target = number(store.name);
    match claims::claim(gateway, socket, store.fence, target).await {
        Ok(claimed) => claimed,
        Err(error) => {
            info!(target: "leader", "event=store_not_claimed store={} cause=\"{error}\"", store.name);
            false
        }
    }
}
