//! Which prompts are known, and where their context is.
//!
//! A record stands for prompts that share a course: one continues the other. It says which engines are believed to hold how much
//! of it, and which sealed block a store keeps. What engines hold is a belief,
//! corrected by what they report with each answer.

use std::collections::HashMap;

use crate::blocks::BlockId;
use crate::cache::CacheUse;
use crate::context::PrefixChain;
use crate::retention::{ReusePrior, ReuseStats};

/// Most records that start with the same block.
const MAX_RECORDS_PER_ROOT: usize = 8;

/// What an engine is believed to hold of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineCopy {
    /// Index of the engine in the fleet.
    pub engine: u16,
    /// Tokens from the start on.
    pub tokens: u32,
    /// When the engine used it last.
    pub last_use: CacheUse,
}

/// A known course of prompts.
#[derive(Clone, Debug)]
pub struct PromptRecord {
    /// Client account that it belongs to.
    pub account: String,
    /// Course of the longest prompt seen.
    pub prefix: PrefixChain,
    /// Engines that are believed to hold some of it.
    pub copies: Vec<EngineCopy>,
    /// Block that a store keeps or is being given.
    pub block: Option<BlockId>,
    /// How often it comes back.
    pub reuse: ReuseStats,
    /// When its context is no longer worth keeping, in Unix milliseconds.
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
    /// An empty directory of at most `capacity` records.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there is no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Records that share their start with `course`, with the tokens in common.
    pub fn matching<'a>(
        &'a self,
        prefix: &'a PrefixChain,
    ) -> impl Iterator<Item = (&'a PromptRecord, u32)> {
        let records = self.by_root.get(&prefix.root).into_iter().flatten();
        records.map(move |record| (record, prefix.common_tokens(&record.prefix)))
    }

    /// What is known of the prompts of an account.
    #[must_use]
    pub fn prior(&self, account: &str) -> ReusePrior {
        self.priors.get(account).copied().unwrap_or_default()
    }

    /// Counts a use of the prompt; its record is made when there is none.
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
                self.len -= usize::from(drop_least_recent(records));
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

    /// Takes over a block that a store listed.
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

    /// The record that `course` belongs to.
    pub fn record_mut(&mut self, prefix: &PrefixChain) -> Option<&mut PromptRecord> {
        let records = self.by_root.get_mut(&prefix.root)?;
        let index = index_of(records, prefix)?;
        Some(&mut records[index])
    }

    /// All records.
    pub fn iter(&self) -> impl Iterator<Item = &PromptRecord> {
        self.by_root.values().flatten()
    }

    /// Forgets what an engine is believed to hold.
    pub fn forget_engine(&mut self, engine: u16) {
        for record in self.by_root.values_mut().flatten() {
            record.copies.retain(|copy| copy.engine != engine);
        }
    }

    /// Forgets a block; true when a record knew it.
    pub fn forget_block(&mut self, root: u64, block: &BlockId) -> bool {
        let records = self.by_root.get_mut(&root).into_iter().flatten();
        let mut known = records.filter(|record| record.block.as_ref() == Some(block));
        known.next().is_some_and(|record| record.block.take().is_some())
    }

    /// Drops records that are past their deadline and have no block, and the
    /// oldest ones when there are too many.
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

    /// When an engine used this course last.
    #[must_use]
    pub fn last_use_by(&self, engine: u16) -> Option<CacheUse> {
        self.copies.iter().find(|copy| copy.engine == engine).map(|copy| copy.last_use)
    }

    /// Notes that an engine holds `tokens` of this course.
    pub fn record_copy(&mut self, engine: u16, tokens: u32, last_use: CacheUse) {
        let copy = EngineCopy { engine, tokens, last_use };
        match self.copies.iter_mut().find(|copy| copy.engine == engine) {
            Some(known) => *known = copy,
            None => self.copies.push(copy),
        }
    }
}

/// The record that continues `course` or is continued by it.
fn index_of(records: &[PromptRecord], prefix: &PrefixChain) -> Option<usize> {
    records.iter().position(|record| record.prefix.continues(prefix))
}

/// Drops the record used longest ago among those without a block.
fn drop_least_recent(records: &mut Vec<PromptRecord>) -> bool {
    let without_block = records.iter().enumerate().filter(|(_, record)| record.block.is_none());
    let oldest = without_block.min_by_key(|(_, record)| record.reuse.last_used_at_ms);
    let index = oldest.map(|(index, _)| index);
    index.map(|index| records.swap_remove(index)).is_some()
}
