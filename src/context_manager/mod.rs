//! Stored context of one dispatcher: which blocks to export, import and delete.
//!
//! Combines the directory of prompts, the states of the blocks and the retention policy. Transfers
//! are scheduled on each store's link, so that the estimate of an import includes the transfers
//! scheduled before it.

mod eviction;

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::blocks::{Block, BlockId, BlockPhase, Blocks, Seal};
use crate::context::{PrefixChain, Scope};
use crate::directory::Directory;
use crate::retention::{self, BlockStats, RetentionPolicy};
use crate::route::ImportEstimate;
use crate::slot_request::{Import, ImportReport, ImportResult, SlotRequest};
use crate::store::{Store, ceil_ms, to_f64};

/// Minimum size of a block, in tokens.
const MIN_BLOCK_TOKENS: u32 = 512;
/// Time limit of an export.
const EXPORT_TIMEOUT_MS: u64 = 10_000;
/// Time for which an export may be deferred.
const MAX_DEFERRAL_MS: u64 = 3000;
/// Maximum number of deferred exports.
const MAX_DEFERRED_EXPORTS: usize = 64;
/// Factor by which the estimated time of an import is multiplied to get its time limit.
const IMPORT_TIMEOUT_FACTOR: f64 = 2.0;
/// Time added to that product.
const IMPORT_TIMEOUT_SLACK_MS: f64 = 20.0;
/// Time for which a block stays pinned after its import's deadline.
const PIN_AFTER_DEADLINE_MS: u64 = 5000;

/// Metadata stored with a block, for dispatchers that take the block over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BlockMeta {
    /// Account, model and weight version of the context.
    pub scope: Scope,
    /// Prefix chain of the prompt.
    #[serde(rename = "course")]
    pub prefix: PrefixChain,
    /// When the context is no longer worth keeping, in Unix milliseconds.
    pub worthless_at_ms: u64,
}

/// A block in the listing of a store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredBlock {
    /// Id of the block.
    pub id: BlockId,
    /// Size as counted by the store.
    pub size_bytes: u64,
    /// Length and checksum of the content.
    pub seal: Seal,
    /// Metadata of the block.
    pub meta: BlockMeta,
}

/// An instruction to write context from an engine to a store.
#[derive(Clone, Debug, PartialEq)]
pub struct Export {
    /// Id of the new block.
    pub block: BlockId,
    /// URL of the engine that holds the context.
    pub engine_url: String,
    /// Id of the run whose context it is, as known to the engine.
    pub run_id: String,
    /// URL of the store.
    pub store_url: String,
    /// Metadata to store with the block.
    pub meta: BlockMeta,
}

/// Context that an engine holds after a request.
#[derive(Clone, Debug, PartialEq)]
pub struct ExportSource {
    /// The slot request that the engine has run.
    pub slot_request: SlotRequest,
    /// URL of the engine.
    pub engine_url: String,
    /// Id of the run on the engine.
    pub run_id: String,
    /// Time to prefill one token on the engine, in milliseconds.
    pub prefill_ms_per_token: f64,
}

/// Result of an export.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExportResult {
    /// The block is sealed and has this size in bytes.
    Sealed(Seal, u64),
    /// The engine no longer holds the context.
    ContextGone,
    /// The store or the engine failed.
    Failed,
}

/// An instruction to delete a block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockDeletion {
    /// Id of the block.
    pub block: BlockId,
    /// URL of the store.
    pub store_url: String,
}

/// Manages the stored context of one dispatcher.
#[derive(Debug)]
pub struct ContextManager {
    policy: RetentionPolicy,
    /// Known prompts, with the locations of their context.
    pub directory: Directory,
    blocks: Blocks,
    stores: BTreeMap<String, Store>,
    /// Shares of the accounts whose context was considered for export.
    shares: BTreeMap<String, f64>,
    /// Deferred exports, each with its expiry time in Unix milliseconds.
    deferred_exports: VecDeque<(u64, ExportSource)>,
    /// The box incarnation; block ids contain a hash of it and a nonce.
    writer: String,
    next_nonce: u64,
    kv_token_bytes: u64,
}

impl ContextManager {
    /// Creates a manager without known prompts or blocks.
    #[must_use]
    pub fn new(
        policy: RetentionPolicy,
        stores: BTreeMap<String, Store>,
        max_prompt_records: usize,
        kv_token_bytes: u64,
        writer: &str,
    ) -> Self {
        Self {
            policy,
            directory: Directory::new(max_prompt_records),
            blocks: Blocks::default(),
            stores,
            shares: BTreeMap::new(),
            deferred_exports: VecDeque::new(),
            writer: writer.to_owned(),
            next_nonce: 1,
            kv_token_bytes,
        }
    }

    /// The stored block that covers most of a prompt, with an estimate of its import.
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
                let is_usable = matches!(block.phase, BlockPhase::Sealed(_))
                    && now_ms >= store.cooldown_until_ms;
                is_usable.then(|| (id.clone(), store.estimate_import(now_ms, block, common)))
            });
        estimates.max_by_key(|(_, estimate)| estimate.tokens)
    }

    /// Schedules the import of a block, which saves `saved_ms` of prefill.
    pub fn plan_import(
        &mut self,
        now_ms: u64,
        scope: &Scope,
        id: &BlockId,
        estimate: &ImportEstimate,
        saved_ms: f64,
    ) -> Option<Import> {
        // Giving up before the import is late by the prefill time that it saves would cost more
        // than waiting.
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

    /// Processes the result of an import.
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
                self.directory.unlink_block(prefix.root, &report.block);
            }
        }
    }

    /// Schedules an export of the context of a finished request if that is worthwhile. The export
    /// is deferred while all links are busy.
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

    /// Schedules the oldest deferred export, unless it has expired.
    pub fn plan_deferred_export(&mut self, now_ms: u64) -> Option<Export> {
        let (expires_at_ms, source) = self.deferred_exports.pop_front()?;
        if expires_at_ms <= now_ms {
            return None;
        }
        let size_bytes = self.export_size_bytes(now_ms, &source)?;
        if let Some(store) = self.select_store(now_ms, source.slot_request.prefix.root, size_bytes)
        {
            return self.begin_export(now_ms, source, &store, size_bytes);
        }
        self.deferred_exports.push_front((expires_at_ms, source));
        None
    }

    /// Size of the block to export; `None` if the export is not worthwhile.
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
        let size_bytes = u64::from(prefix_end.tokens) * self.kv_token_bytes;
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
        let ExportSource { slot_request, engine_url, run_id, .. } = source;
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
            phase: BlockPhase::Writing { deadline_ms: now_ms + EXPORT_TIMEOUT_MS },
            pinned_until_ms: 0,
        };
        self.blocks.begin_write(&id, block);
        self.directory.record_mut(&slot_request.prefix)?.block = Some(id.clone());
        let SlotRequest { scope, prefix, worthless_at_ms, .. } = slot_request;
        let meta = BlockMeta { scope, prefix, worthless_at_ms };
        Some(Export { block: id, engine_url, run_id, store_url, meta })
    }

    /// Processes the result of an export.
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

    /// Adds a block that a store lists.
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
            phase: BlockPhase::Sealed(stored.seal),
            pinned_until_ms: now_ms,
        };
        self.blocks.adopt(&stored.id, block);
        let account = &meta.scope.account;
        self.directory.adopt_block(now_ms, account, &meta.prefix, meta.worthless_at_ms, &stored.id);
    }

    /// Removes a block that its store has deleted.
    pub fn record_deletion(&mut self, id: &BlockId) {
        self.blocks.remove(id);
    }

    /// Expires exports and evicts blocks; returns the blocks that can be deleted now.
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
        deletable.into_iter().filter_map(|block| self.deletion(block)).collect()
    }

    fn deletion(&self, block: BlockId) -> Option<BlockDeletion> {
        let store = self.stores.get(&self.blocks.get(&block)?.store)?;
        Some(BlockDeletion { block, store_url: store.url.clone() })
    }
}
