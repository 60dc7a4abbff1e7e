//! Space in stores: which blocks are evicted, and which store gets a new block.

use std::collections::BTreeMap;

use crate::blocks::{Block, BlockId, BlockPhase};
use crate::context_manager::ContextManager;
use crate::directory::PromptRecord;
use crate::owner::owner;
use crate::retention::{self, BlockStats};
use crate::store::to_f64;

/// Fill level of a store above which blocks are evicted, in percent.
const HIGH_FILL_PERCENT: u64 = 92;
/// Fill level of a store down to which blocks are evicted, in percent.
const LOW_FILL_PERCENT: u64 = 85;
/// Backlog of a link above which no exports use it.
const MAX_EXPORT_BACKLOG_MS: f64 = 100.0;

impl ContextManager {
    pub(super) fn evict_blocks(&mut self, now_ms: u64, name: &str) {
        let capacity_bytes = self.stores[name].capacity_bytes;
        // Space of blocks that are being deleted needs no further evictions.
        let mut used_bytes = self.blocks.live_bytes(name);
        let target_bytes = if used_bytes > capacity_bytes / 100 * HIGH_FILL_PERCENT {
            capacity_bytes / 100 * LOW_FILL_PERCENT
        } else {
            u64::MAX
        };
        let mut candidates = self.eviction_candidates(name, capacity_bytes);
        candidates.sort_by(|left, right| {
            let rank = |candidate: &EvictionCandidate| {
                retention::eviction_rank(
                    self.policy,
                    now_ms,
                    &candidate.block_stats,
                    &self.directory.prior(&candidate.account),
                )
            };
            rank(left).total_cmp(&rank(right))
        });
        for candidate in candidates {
            let is_expired = retention::is_expired(self.policy, now_ms, &candidate.block_stats);
            if is_expired || used_bytes > target_bytes {
                used_bytes -= candidate.block_stats.size_bytes;
                self.drop_block(&candidate.id, candidate.root);
            }
        }
    }

    fn eviction_candidates(&self, name: &str, capacity_bytes: u64) -> Vec<EvictionCandidate> {
        let mut bytes_by_account: BTreeMap<&str, u64> = BTreeMap::new();
        for (_, block) in self.blocks.iter().filter(|(_, block)| block.store == name) {
            *bytes_by_account.entry(&block.scope.account).or_default() += block.size_bytes;
        }
        let share_of = |account: &str| self.shares.get(account).copied().unwrap_or(1.0);
        let total_share: f64 = bytes_by_account.keys().map(|account| share_of(account)).sum();
        let is_over_share = |account: &str| {
            let fair_bytes = to_f64(capacity_bytes) * share_of(account) / total_share.max(1e-6);
            to_f64(bytes_by_account.get(account).copied().unwrap_or(0)) > fair_bytes
        };
        let records = self.directory.iter().filter_map(|record| {
            let id = record.block.as_ref()?;
            let block = self.blocks.get(id).filter(|block| block.store == name)?;
            let is_sealed = matches!(block.phase, BlockPhase::Sealed(_));
            is_sealed
                .then(|| EvictionCandidate::new(id, record, block, is_over_share(&record.account)))
        });
        records.collect()
    }

    pub(super) fn drop_block(&mut self, id: &BlockId, root: u64) {
        self.blocks.free(id);
        self.directory.unlink_block(root, id);
    }

    pub(super) fn select_store(&self, now_ms: u64, root: u64, size_bytes: u64) -> Option<String> {
        let usable_stores = self.stores.iter().filter(|(name, store)| {
            let fits = self.blocks.used_bytes(name) + size_bytes <= store.capacity_bytes;
            let is_link_free = store.backlog_ms(now_ms) <= MAX_EXPORT_BACKLOG_MS;
            fits && is_link_free && now_ms >= store.cooldown_until_ms
        });
        owner(&root.to_string(), usable_stores.map(|(name, _)| name.as_str())).map(str::to_owned)
    }
}

/// A candidate for eviction.
struct EvictionCandidate {
    id: BlockId,
    account: String,
    root: u64,
    block_stats: BlockStats,
}

impl EvictionCandidate {
    fn new(id: &BlockId, record: &PromptRecord, block: &Block, over_share: bool) -> Self {
        let block_stats = BlockStats {
            reuse: record.reuse,
            worthless_at_ms: record.worthless_at_ms,
            saved_ms: f64::from(block.prefix_end.tokens),
            size_bytes: block.size_bytes,
            over_share,
        };
        let (account, root) = (record.account.clone(), record.prefix.root);
        Self { id: id.clone(), account, root, block_stats }
    }
}
