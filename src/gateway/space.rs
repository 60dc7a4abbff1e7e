//! Space in the stores of context: frees parts of weights that no engine has
//! any more, and parts whose writing broke off.
//!
//! A part is freed only when no transfer that may name it can still run: every
//! engine has had the newer weights for longer than any transfer takes.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use log::{info, warn};

use crate::clock::now_ms;
use crate::gateway::context::{scope_model, scope_version};
use crate::gateway::holder::PartKey;
use crate::gateway::kept::{CacheListing, Freed, KeptPart};
use crate::gateway::kernel::Gateway;

/// Time that any transfer named under old weights takes at most, and more.
const TRANSFERS_OVER_MS: u64 = 2600;
/// How often stores are looked through for parts whose writing broke off.
const PARTIAL_PERIOD_MS: u64 = 6000;
/// Time after which a part that did not grow is taken as broken off.
const BROKEN_OFF_MS: u64 = 5000;
/// Parts that are freed with one call.
const FREE_BATCH: usize = 256;
/// Time in which an order to free must arrive.
const FREE_MS: u64 = 800;

/// What the holder remembers of the stores.
#[derive(Default)]
pub struct Space {
    settled_at_ms: HashMap<String, u64>,
    freed_below: HashMap<String, u64>,
    partial_looked_at_ms: u64,
    partial: HashMap<(String, PartKey), (u32, u64)>,
}

impl Space {
    /// Frees what is due.
    pub async fn step(&mut self, gateway: &Arc<Gateway>) {
        let now_ms = now_ms();
        let old = self.old_scopes(gateway, now_ms);
        let look_for_partial = now_ms >= self.partial_looked_at_ms + PARTIAL_PERIOD_MS;
        if old.is_empty() && !look_for_partial {
            return;
        }
        if look_for_partial {
            self.partial_looked_at_ms = now_ms;
        }
        for (name, address) in managed_stores(gateway) {
            match gateway.caches.list(address).await {
                Ok(listing) => {
                    let parts = self.parts_to_free(now_ms, &name, &listing, &old);
                    free(gateway, &name, address, &listing, parts).await;
                }
                Err(error) => {
                    info!(target: "leader", "event=store_not_listed store={name} cause=\"{error}\"");
                }
            }
        }
        for (model, version) in old {
            self.freed_below.insert(model, version);
        }
    }

    /// Models whose old context can be freed, with the oldest version that is
    /// still of use: every engine has had it for longer than any transfer.
    fn old_scopes(&mut self, gateway: &Gateway, now_ms: u64) -> Vec<(String, u64)> {
        let state = gateway.state();
        let mut old = Vec::new();
        for (model, named) in &state.weights {
            let newest = named.newest();
            let mut engines = state.upstreams.current();
            let behind = engines.any(|one| (1..newest).contains(&one.version(model)));
            if behind {
                self.settled_at_ms.remove(model);
                continue;
            }
            let settled_at_ms = *self.settled_at_ms.entry(model.clone()).or_insert(now_ms);
            let freed = self.freed_below.get(model).is_some_and(|below| *below >= newest);
            if !freed && now_ms >= settled_at_ms + TRANSFERS_OVER_MS {
                old.push((model.clone(), newest));
            }
        }
        old
    }

    fn parts_to_free(
        &mut self,
        now_ms: u64,
        store: &str,
        listing: &CacheListing,
        old: &[(String, u64)],
    ) -> Vec<KeptPart> {
        let is_old = |kept: &KeptPart| {
            let version = scope_version(&kept.scope);
            old.iter().any(|(model, least)| {
                scope_model(&kept.scope) == Some(model) && version.is_some_and(|one| one < *least)
            })
        };
        let mut parts: Vec<KeptPart> = listing
            .held
            .iter()
            .map(|held| &held.kept)
            .filter(|kept| is_old(kept))
            .cloned()
            .collect();
        let mut seen = HashSet::new();
        for partial in &listing.partial {
            let key = (store.to_owned(), PartKey::new(&partial.kept.scope, &partial.kept.part));
            seen.insert(key.clone());
            let known = self.partial.entry(key).or_insert((partial.whole_tokens, now_ms));
            if known.0 != partial.whole_tokens {
                *known = (partial.whole_tokens, now_ms);
            }
            if now_ms >= known.1 + BROKEN_OFF_MS {
                parts.push(partial.kept.clone());
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

async fn free(
    gateway: &Gateway,
    name: &str,
    address: SocketAddr,
    listing: &CacheListing,
    parts: Vec<KeptPart>,
) {
    for batch in parts.chunks(FREE_BATCH) {
        let now_ms = now_ms();
        let (allowed, ahead_ms) = {
            let state = gateway.state();
            let allowed = state.leadership.is_some_and(|held| held.allows_orders(now_ms));
            (allowed, state.upstream_clock_ahead_ms)
        };
        let Some(ahead_ms) = ahead_ms.filter(|_| allowed) else { return };
        let until_ms = now_ms.saturating_add_signed(ahead_ms) + FREE_MS;
        match gateway.caches.free(address, batch, listing.boot, until_ms).await {
            Ok(Freed::Done) => {
                info!(target: "leader", "event=parts_freed store={name} count={}", batch.len());
                if let Some((_, state)) = gateway.state().stores.get_mut(name) {
                    for kept in batch {
                        state.holder.note(PartKey::new(&kept.scope, &kept.part), 0);
                    }
                }
            }
            Ok(Freed::Refused) => {
                warn!(target: "leader", "event=parts_not_freed store={name} reason=refused");
            }
            Err(error) => {
                info!(target: "leader", "event=parts_not_freed store={name} cause=\"{error}\"");
            }
        }
    }
}
