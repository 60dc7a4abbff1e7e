//! Kept context of one dispatcher: what to write, bring and free.
//!
//! Brings together the directory of prompts, the life of blocks and the
//! policy of their worth. Transfers are planned against each store's link, so
//! that an offer includes what the link has to do before.

mod eviction;

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::blocks::{Block, BlockId, Blocks, Phase, Seal};
use crate::context::{PrefixChain, Scope};
use crate::directory::Directory;
use crate::retention::{self, BlockStats, RetentionPolicy};
use crate::route::ImportEstimate;
use crate::slot_request::{Import, ImportReport, ImportResult, SlotRequest};
use crate::store::{Store, ceil_ms, to_f64};

/// Least context worth a block, in tokens.
const MIN_BLOCK_TOKENS: u32 = 512;
/// Time in which a write must be done.
const EXPORT_TIMEOUT_MS: u64 = 10_000;
/// Time for which a write may be put off.
const MAX_DEFERRAL_MS: u64 = 3000;
/// Writes put off at most.
const MAX_DEFERRED_EXPORTS: usize = 64;
/// An import may take so many times its estimate, and the slack.
const IMPORT_TIMEOUT_FACTOR: f64 = 2.0;
/// Slack of an import's deadline.
const IMPORT_TIMEOUT_SLACK_MS: f64 = 20.0;
/// Time for which a block is pinned past its import's deadline.
const PIN_AFTER_DEADLINE_MS: u64 = 5000;

/// What a block says of itself, for dispatchers that come after.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BlockMeta {
    /// Whose context it is.
    pub scope: Scope,
    /// Course of its prompt.
    #[serde(rename = "course")]
    pub prefix: PrefixChain,
    /// When it is no longer worth keeping, in Unix milliseconds.
    pub worthless_at_ms: u64,
}

/// A block that a store lists.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredBlock {
    /// The block.
    pub id: BlockId,
    /// Its size as the store counts it.
    pub size_bytes: u64,
    /// What its content must match.
    pub seal: Seal,
    /// What it says of itself.
    pub meta: BlockMeta,
}

/// An order to write context to a store.
#[derive(Clone, Debug, PartialEq)]
pub struct Export {
    /// The new block.
    pub block: BlockId,
    /// Where the engine listens that holds the context.
    pub engine_url: String,
    /// Request whose context it is.
    pub request_id: String,
    /// Where the store listens.
    pub store_url: String,
    /// What the block says of itself.
    pub meta: BlockMeta,
}

/// Context that an engine holds after a request.
#[derive(Clone, Debug, PartialEq)]
pub struct ExportSource {
    /// The request.
    pub slot_request: SlotRequest,
    /// Where the engine listens.
    pub engine_url: String,
    /// The request's name at the engine.
    pub request_id: String,
    /// Time to prefill a token there.
    pub prefill_ms_per_token: f64,
}

/// How a write ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExportResult {
    /// It is sealed, and takes so many bytes.
    Sealed(Seal, u64),
    /// The engine does not hold the context any more.
    ContextGone,
    /// The store or the engine failed.
    Failed,
}

/// An order to delete a block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockDeletion {
    /// The block.
    pub block: BlockId,
    /// Where its store listens.
    pub store_url: String,
}

/// Kept context of one dispatcher.
#[derive(Debug)]
pub struct ContextManager {
    policy: RetentionPolicy,
    /// Known prompts.
    pub directory: Directory,
    blocks: Blocks,
    stores: BTreeMap<String, Store>,
    shares: BTreeMap<String, f64>,
    deferred_exports: VecDeque<(u64, ExportSource)>,
    writer: String,
    next_nonce: u64,
    token_bytes: u64,
}

impl ContextManager {
    /// Starts without knowledge of prompts or blocks.
    #[must_use]
    pub fn new(
        policy: RetentionPolicy,
        stores: BTreeMap<String, Store>,
        capacity: usize,
        token_bytes: u64,
        writer: &str,
    ) -> Self {
        Self {
            policy,
            directory: Directory::new(capacity),
            blocks: Blocks::default(),
            stores,
            shares: BTreeMap::new(),
            deferred_exports: VecDeque::new(),
            writer: writer.to_owned(),
            next_nonce: 1,
            token_bytes,
        }
    }

    /// The best kept block for a prompt, and what bringing it takes.
    #[must_use]
    pub fn best_import(
        &self,
        now_ms: u64,
        slot_request: &SlotRequest,
    ) -> Option<(BlockId, ImportEstimate)> {
        let estimates =
            self.directory.matching(&slot_request.prefix).filter_map(|(record, common)| {
                let id = record.block.as_ref()?;
                let block =
                    self.blocks.get(id).filter(|block| block.scope == slot_request.scope)?;
                let store = self.stores.get(&block.store)?;
                let is_usable =
                    matches!(block.phase, Phase::Sealed(_)) && now_ms >= store.cooldown_until_ms;
                is_usable.then(|| (id.clone(), store.import_offer(now_ms, block, common)))
            });
        estimates.max_by_key(|(_, estimate)| estimate.tokens)
    }

    /// Plans the import of a block that was offered; it spares `spared_ms` of reading.
    pub fn plan_import(
        &mut self,
        now_ms: u64,
        scope: &Scope,
        id: &BlockId,
        estimate: &ImportEstimate,
        saved_ms: f64,
    ) -> Option<Import> {
        // Given up before it is late by what reading takes, it would cost more than it may.
        let min_timeout_ms = estimate.link_ms * IMPORT_TIMEOUT_FACTOR + IMPORT_TIMEOUT_SLACK_MS;
        let timeout_ms = ceil_ms(min_timeout_ms.max(estimate.link_ms + saved_ms));
        let deadline_ms = now_ms + timeout_ms;
        let pinned_until_ms = deadline_ms + PIN_AFTER_DEADLINE_MS;
        let (block, seal) = self.blocks.pin(id, scope, pinned_until_ms)?;
        let store = self.stores.get_mut(&block.store)?;
        store.plan_transfer(now_ms, estimate.transfer_ms);
        Some(Import {
            block: id.clone(),
            tokens: estimate.tokens,
            store_url: store.url.clone(),
            seal: seal.clone(),
            expected_ms: u32::try_from(ceil_ms(estimate.link_ms)).unwrap_or(u32::MAX),
            deadline_ms,
            pinned_until_ms,
        })
    }

    /// Takes in how an import went.
    pub fn record_import(&mut self, now_ms: u64, prefix: &PrefixChain, report: &ImportReport) {
        let Some(block) = self.blocks.get(&report.block) else {
            return;
        };
        let Some(store) = self.stores.get_mut(&block.store) else {
            return;
        };
        match report.result {
            ImportResult::Done => store.update_rate(report.expected_ms, report.took_ms),
            ImportResult::TimedOut => store.mark_failed(now_ms),
            ImportResult::NotFound => {
                self.blocks.free(&report.block);
                self.directory.forget_block(prefix.root, &report.block);
            }
        }
    }

    /// Plans to write the context of a finished request, if it is worth it.
    /// While the links are busy it is put off for a little.
    pub fn plan_export(&mut self, now_ms: u64, source: ExportSource) -> Option<Export> {
        let size_bytes = self.export_size_bytes(now_ms, &source)?;
        let root = source.slot_request.prefix.root;
        if let Some(store) = self.select_store(now_ms, root, size_bytes) {
            return self.begin_export(now_ms, source, &store, size_bytes);
        }
        if self.deferred_exports.len() < MAX_DEFERRED_EXPORTS {
            self.deferred_exports.push_back((now_ms + MAX_DEFERRAL_MS, source));
        }
        None
    }

    /// Plans one of the writes that were put off.
    pub fn plan_deferred_export(&mut self, now_ms: u64) -> Option<Export> {
        let (until_ms, source) = self.deferred_exports.pop_front()?;
        if until_ms <= now_ms {
            return None;
        }
        let size_bytes = self.export_size_bytes(now_ms, &source)?;
        if let Some(store) = self.select_store(now_ms, source.slot_request.prefix.root, size_bytes)
        {
            return self.begin_export(now_ms, source, &store, size_bytes);
        }
        self.deferred_exports.push_front((until_ms, source));
        None
    }

    /// Size of the block that would be written; none when it is not worth it.
    fn export_size_bytes(&mut self, now_ms: u64, source: &ExportSource) -> Option<u64> {
        let ExportSource { slot_request, prefill_ms_per_token, .. } = source;
        let prefix_end = slot_request
            .prefix
            .last()
            .filter(|prefix_end| prefix_end.tokens >= MIN_BLOCK_TOKENS)?;
        self.shares.insert(slot_request.scope.account.clone(), slot_request.share);
        let record = self.directory.record_mut(&slot_request.prefix)?;
        if record.block.is_some() {
            return None;
        }
        let size_bytes = u64::from(prefix_end.tokens) * self.token_bytes;
        let block_stats = BlockStats {
            reuse: record.reuse,
            worthless_at_ms: record.worthless_at_ms,
            saved_ms: f64::from(prefix_end.tokens) * prefill_ms_per_token,
            size_bytes,
            over_share: false,
        };
        let rates = self.stores.values().map(|store| store.bytes_per_ms);
        let transfer_ms = to_f64(size_bytes) / rates.fold(1.0, f64::max);
        let prior = self.directory.prior(&slot_request.scope.account);
        retention::worth_exporting(self.policy, now_ms, &block_stats, &prior, transfer_ms)
            .then_some(size_bytes)
    }

    fn begin_export(
        &mut self,
        now_ms: u64,
        source: ExportSource,
        store_name: &str,
        size_bytes: u64,
    ) -> Option<Export> {
        let ExportSource { slot_request, engine_url, request_id, .. } = source;
        let store = self.stores.get_mut(store_name)?;
        store.plan_transfer(now_ms, to_f64(size_bytes) / store.bytes_per_ms);
        let store_url = store.url.clone();
        let prefix_end = slot_request.prefix.last()?;
        let id = BlockId::new(&slot_request.scope, prefix_end, &self.writer, self.next_nonce);
        self.next_nonce += 1;
        let block = Block {
            scope: slot_request.scope.clone(),
            store: store_name.to_owned(),
            prefix_end,
            size_bytes,
            phase: Phase::Writing { deadline_ms: now_ms + EXPORT_TIMEOUT_MS },
            pinned_until_ms: 0,
        };
        self.blocks.begin_write(&id, block);
        self.directory.record_mut(&slot_request.prefix)?.block = Some(id.clone());
        let SlotRequest { scope, prefix, worthless_at_ms, .. } = slot_request;
        let meta = BlockMeta { scope, prefix, worthless_at_ms };
        Some(Export { block: id, engine_url, request_id, store_url, meta })
    }

    /// Takes in how a write ended.
    pub fn record_export(&mut self, now_ms: u64, export: &Export, result: ExportResult) {
        let is_failed = result == ExportResult::Failed;
        let is_sealed = match result {
            ExportResult::Sealed(seal, size_bytes) => {
                self.blocks.seal(&export.block, seal, size_bytes)
            }
            ExportResult::ContextGone | ExportResult::Failed => false,
        };
        if is_sealed {
            return;
        }
        self.drop_block(&export.block, export.meta.prefix.root);
        let store = self.stores.values_mut().find(|store| store.url == export.store_url);
        if let Some(store) = store.filter(|_| is_failed) {
            store.mark_failed(now_ms);
        }
    }

    /// Takes over a block that a store lists.
    pub fn adopt_block(&mut self, now_ms: u64, store: &str, stored: StoredBlock) {
        let Some(prefix_end) = stored.meta.prefix.last() else {
            return;
        };
        let meta = stored.meta;
        let block = Block {
            scope: meta.scope.clone(),
            store: store.to_owned(),
            prefix_end,
            size_bytes: stored.size_bytes,
            phase: Phase::Sealed(stored.seal),
            pinned_until_ms: now_ms,
        };
        self.blocks.adopt(&stored.id, block);
        let account = &meta.scope.account;
        self.directory.adopt_block(now_ms, account, &meta.prefix, meta.worthless_at_ms, &stored.id);
    }

    /// Forgets a block that was deleted.
    pub fn record_deletion(&mut self, id: &BlockId) {
        self.blocks.remove(id);
    }

    /// Frees what is expired or must give way; returns what to delete now.
    pub fn tick(&mut self, now_ms: u64) -> Vec<BlockDeletion> {
        self.blocks.expire_writes(now_ms);
        for name in self.stores.keys().cloned().collect::<Vec<_>>() {
            self.evict_blocks(now_ms, &name);
        }
        for store in self.stores.values_mut() {
            store.restore_rate();
        }
        self.directory.prune(now_ms);
        let deletable = self.blocks.deletable(now_ms);
        deletable.into_iter().filter_map(|block| self.delete(block)).collect()
    }

    fn delete(&self, block: BlockId) -> Option<BlockDeletion> {
        let store = self.stores.get(&self.blocks.get(&block)?.store)?;
        Some(BlockDeletion { block, store_url: store.url.clone() })
    }
}
