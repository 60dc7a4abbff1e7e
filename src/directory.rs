//! Known prompts and the locations of their context.
//!
//! Prompts of which one continues the other share a record. The record lists the engines that are
//! estimated to have a part of the prompt cached, and the sealed block in a store. What engines
//! have cached is an estimate, which is corrected by what they report with each answer.

use std::collections::HashMap;

use crate::blocks::BlockId;
use crate::cache::CacheUse;
use crate::context::PrefixChain;
use crate::retention::{ReusePrior, ReuseStats};

/// Maximum number of records whose prompts start with the same prefix block.
const MAX_RECORDS_PER_ROOT: usize = 8;

/// Part of a prompt that an engine is estimated to have cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineCopy {
    /// Index of the engine in the fleet.
    pub engine: u16,
    /// Cached tokens, from the start of the prompt.
    pub tokens: u32,
    /// Latest use by the engine.
    pub last_use: CacheUse,
}

/// Prompts of which one continues the other.
#[derive(Clone, Debug)]
pub struct PromptRecord {
    /// Client account of the prompts.
    pub account: String,
    /// Prefix chain of the longest prompt seen.
    pub prefix: PrefixChain,
    /// Estimated copies in engine caches.
    pub copies: Vec<EngineCopy>,
    /// Block that a store holds or that is being exported.
    pub block: Option<BlockId>,
    /// When and how often the prompts were used.
    pub reuse: ReuseStats,
    /// When the context is no longer worth keeping, in Unix milliseconds.
    pub worthless_at_ms: u64,
}

/// All records of one dispatcher.
#[derive(Debug, Default)]
pub struct Directory {
    by_root: HashMap<u64, Vec<PromptRecord>>,
    priors: HashMap<String, ReusePrior>,
    len: usize,
    capacity: usize,
}

impl Directory {
    /// Creates an empty directory that holds at most `capacity` records after pruning.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Records that start with the same prefix block as `prefix`, each with the number of common
    /// tokens.
    pub fn matching<'a>(
        &'a self,
        prefix: &'a PrefixChain,
    ) -> impl Iterator<Item = (&'a PromptRecord, u32)> {
        let records = self.by_root.get(&prefix.root).into_iter().flatten();
        records.map(move |record| (record, prefix.common_tokens(&record.prefix)))
    }

    /// Reuse statistics of the prompts of an account.
    #[must_use]
    pub fn prior(&self, account: &str) -> ReusePrior {
        self.priors.get(account).copied().unwrap_or_default()
    }

    /// Records a use of the prompt; adds a record if there is none.
    pub fn record_use(
        &mut self,
        now_ms: u64,
        account: &str,
        prefix: &PrefixChain,
        worthless_at_ms: u64,
    ) -> Option<&mut PromptRecord> {
        if prefix.is_empty() {
            return None;
        }
        let prior = self.priors.entry(account.to_owned()).or_default();
        let records = self.by_root.entry(prefix.root).or_default();
        let index = if let Some(index) = index_of(records, prefix) {
            let record = &mut records[index];
            let gap_ms = now_ms.saturating_sub(record.reuse.last_used_at_ms);
            prior.record_reuse(gap_ms, record.reuse.reuses == 0);
            record.reuse.record_use(now_ms);
            record.worthless_at_ms = record.worthless_at_ms.max(worthless_at_ms);
            index
        } else {
            prior.record_first_use();
            if records.len() >= MAX_RECORDS_PER_ROOT {
                self.len -= usize::from(remove_least_recently_used(records));
            }
            self.len += 1;
            records.reserve_exact(1);
            records.push(PromptRecord::new(now_ms, account, prefix, worthless_at_ms));
            records.len() - 1
        };
        let record = &mut records[index];
        if prefix.tokens() > record.prefix.tokens() {
            record.prefix = prefix.clone();
        }
        Some(record)
    }

    /// Adds a block that a store lists.
    pub fn adopt_block(
        &mut self,
        now_ms: u64,
        account: &str,
        prefix: &PrefixChain,
        worthless_at_ms: u64,
        block: &BlockId,
    ) {
        if prefix.is_empty() {
            return;
        }
        let records = self.by_root.entry(prefix.root).or_default();
        let index = index_of(records, prefix).unwrap_or_else(|| {
            self.len += 1;
            records.reserve_exact(1);
            records.push(PromptRecord::new(now_ms, account, prefix, worthless_at_ms));
            records.len() - 1
        });
        records[index].block.get_or_insert_with(|| block.clone());
    }

    /// The record of the prompt.
    pub fn record_mut(&mut self, prefix: &PrefixChain) -> Option<&mut PromptRecord> {
        let records = self.by_root.get_mut(&prefix.root)?;
        let index = index_of(records, prefix)?;
        Some(&mut records[index])
    }

    /// All records.
    pub fn iter(&self) -> impl Iterator<Item = &PromptRecord> {
        self.by_root.values().flatten()
    }

    /// Removes the records of all copies in an engine's cache.
    pub fn remove_engine_copies(&mut self, engine: u16) {
        for record in self.by_root.values_mut().flatten() {
            record.copies.retain(|copy| copy.engine != engine);
        }
    }

    /// Removes a block from the record that refers to it; returns whether there was one.
    pub fn unlink_block(&mut self, root: u64, block: &BlockId) -> bool {
        let records = self.by_root.get_mut(&root).into_iter().flatten();
        let mut referring = records.filter(|record| record.block.as_ref() == Some(block));
        referring.next().is_some_and(|record| record.block.take().is_some())
    }

    /// Drops records without a block whose context is no longer worth keeping, and the least
    /// recently used ones without a block when there are more than the capacity.
    pub fn prune(&mut self, now_ms: u64) {
        let mut min_last_used_at_ms = 0;
        if self.len > self.capacity {
            let mut uses: Vec<_> = self.iter().map(|record| record.reuse.last_used_at_ms).collect();
            let excess = self.len - self.capacity * 9 / 10;
            let (_, cutoff_ms, _) = uses.select_nth_unstable(excess);
            min_last_used_at_ms = *cutoff_ms;
        }
        self.by_root.retain(|_, records| {
            records.retain(|record| {
                let is_needed = record.worthless_at_ms > now_ms
                    && record.reuse.last_used_at_ms >= min_last_used_at_ms;
                is_needed || record.block.is_some()
            });
            !records.is_empty()
        });
        self.len = self.by_root.values().map(Vec::len).sum();
    }
}

impl PromptRecord {
    fn new(now_ms: u64, account: &str, prefix: &PrefixChain, worthless_at_ms: u64) -> Self {
        Self {
            account: account.to_owned(),
            prefix: prefix.clone(),
            copies: Vec::new(),
            block: None,
            reuse: ReuseStats::new(now_ms),
            worthless_at_ms,
        }
    }

    /// Latest use of this prompt by an engine.
    #[must_use]
    pub fn last_use_by(&self, engine: u16) -> Option<CacheUse> {
        self.copies.iter().find(|copy| copy.engine == engine).map(|copy| copy.last_use)
    }

    /// Records that an engine has `tokens` of this prompt cached.
    pub fn record_copy(&mut self, engine: u16, tokens: u32, last_use: CacheUse) {
        let copy = EngineCopy { engine, tokens, last_use };
        match self.copies.iter_mut().find(|copy| copy.engine == engine) {
            Some(existing) => *existing = copy,
            None => self.copies.push(copy),
        }
    }
}

/// Index of the record whose prompt continues `prefix` or is continued by it.
fn index_of(records: &[PromptRecord], prefix: &PrefixChain) -> Option<usize> {
    records.iter().position(|record| record.prefix.continues(prefix))
}

/// Removes the least recently used record without a block; returns whether there was one.
fn remove_least_recently_used(records: &mut Vec<PromptRecord>) -> bool {
    let without_block = records.iter().enumerate().filter(|(_, record)| record.block.is_none());
    let oldest = without_block.min_by_key(|(_, record)| record.reuse.last_used_at_ms);
    let index = oldest.map(|(index, _)| index);
    index.map(|index| records.swap_remove(index)).is_some()
}
