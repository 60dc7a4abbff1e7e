//! States of the blocks in stores.
//!
//! A block is written, then sealed, and finally deleted. Its id contains hashes of everything that
//! its content depends on, and a nonce that is never reused, so that a deleted block cannot be
//! mistaken for another one. Only sealed blocks can be pinned, and a pinned block is not deleted.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::context::{PrefixHash, Scope};
use crate::invariant::{Invariant, check};

/// Time after the end of a pin before the block is deleted, as clocks may differ.
pub const PIN_MARGIN_MS: u64 = 2000;

/// Id of a block in a store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BlockId(pub String);

impl BlockId {
    /// Creates the id of a block that the box incarnation `writer` exports. The writer must never
    /// reuse a `nonce`.
    #[must_use]
    pub fn new(scope: &Scope, prefix_end: PrefixHash, writer: &str, nonce: u64) -> Self {
        let scope = &crate::context::cache_salt(scope)[..16];
        let mut hasher = blake3::Hasher::new();
        hasher.update(writer.as_bytes());
        hasher.update(&nonce.to_le_bytes());
        let nonce = &hasher.finalize().to_hex()[..24];
        Self(format!("{scope}-{:016x}-{}-{nonce}", prefix_end.hash, prefix_end.tokens))
    }
}

/// Length and checksum that the content of a sealed block must have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seal {
    /// Length of the content.
    pub len_bytes: u64,
    /// Hash of the content, in hex.
    pub checksum: String,
}

/// State of a block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BlockPhase {
    /// Being written; the write fails at the deadline.
    Writing { deadline_ms: u64 },
    /// Complete and readable.
    Sealed(Seal),
    /// Unreadable; deleted when its pins have expired.
    Freeing,
}

/// A block in a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Block {
    /// Account, model and weight version of the context.
    pub scope: Scope,
    /// Name of the store.
    pub store: String,
    /// The prefix that the block covers.
    pub prefix_end: PrefixHash,
    /// Size on the link and in the store.
    pub size_bytes: u64,
    /// State of the block.
    pub phase: BlockPhase,
    /// End of the latest pin, in Unix milliseconds; readers may access the block until then.
    pub pinned_until_ms: u64,
}

/// All blocks that one dispatcher manages.
#[derive(Debug, Default)]
pub struct Blocks {
    by_id: HashMap<BlockId, Block>,
}

impl Blocks {
    /// Adds a block whose write starts.
    pub fn begin_write(&mut self, id: &BlockId, block: Block) {
        let previous = self.by_id.insert(id.clone(), block);
        check(Invariant::BlockIdUsedOnce, previous.is_none(), || id.0.clone());
    }

    /// Adds a sealed block that a store lists.
    pub fn adopt(&mut self, id: &BlockId, block: Block) {
        if matches!(block.phase, BlockPhase::Sealed(_)) {
            self.by_id.entry(id.clone()).or_insert(block);
        }
    }

    /// Seals a block after its write; returns false if the write has expired.
    pub fn seal(&mut self, id: &BlockId, seal: Seal, size_bytes: u64) -> bool {
        match self.by_id.get_mut(id) {
            Some(block) if matches!(block.phase, BlockPhase::Writing { .. }) => {
                block.phase = BlockPhase::Sealed(seal);
                block.size_bytes = size_bytes;
                true
            }
            _ => false,
        }
    }

    /// Pins a sealed block of `scope`.
    pub fn pin(&mut self, id: &BlockId, scope: &Scope, until_ms: u64) -> Option<(&Block, &Seal)> {
        let block = self.by_id.get_mut(id)?;
        let is_in_scope = block.scope == *scope;
        if !check(Invariant::ContextStaysInScope, is_in_scope, || id.0.clone()) {
            return None;
        }
        if matches!(block.phase, BlockPhase::Sealed(_)) {
            block.pinned_until_ms = block.pinned_until_ms.max(until_ms);
        }
        match &block.phase {
            BlockPhase::Sealed(seal) => Some((block, seal)),
            BlockPhase::Writing { .. } | BlockPhase::Freeing => None,
        }
    }

    /// Makes a block unreadable and marks it for deletion.
    pub fn free(&mut self, id: &BlockId) {
        if let Some(block) = self.by_id.get_mut(id) {
            block.phase = BlockPhase::Freeing;
        }
    }

    /// Blocks that can be deleted now: marked for deletion and not pinned.
    #[must_use]
    pub fn deletable(&self, now_ms: u64) -> Vec<BlockId> {
        let is_unpinned = |block: &Block| now_ms >= block.pinned_until_ms + PIN_MARGIN_MS;
        let freeing = self.by_id.iter().filter(|(_, block)| block.phase == BlockPhase::Freeing);
        freeing.filter(|(_, block)| is_unpinned(block)).map(|(id, _)| id.clone()).collect()
    }

    /// Marks blocks for deletion whose write has exceeded its deadline.
    pub fn expire_writes(&mut self, now_ms: u64) {
        for block in self.by_id.values_mut() {
            if matches!(block.phase, BlockPhase::Writing { deadline_ms } if deadline_ms <= now_ms) {
                block.phase = BlockPhase::Freeing;
            }
        }
    }

    /// Removes a block that its store no longer holds.
    pub fn remove(&mut self, id: &BlockId) {
        self.by_id.remove(id);
    }

    /// The block with this id.
    #[must_use]
    pub fn get(&self, id: &BlockId) -> Option<&Block> {
        self.by_id.get(id)
    }

    /// All blocks with their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&BlockId, &Block)> {
        self.by_id.iter()
    }

    /// Bytes of blocks in `store`, except those marked for deletion.
    #[must_use]
    pub fn live_bytes(&self, store: &str) -> u64 {
        let in_store = self.by_id.values().filter(|block| block.store == store);
        let live = in_store.filter(|block| block.phase != BlockPhase::Freeing);
        live.map(|block| block.size_bytes).sum()
    }

    /// Bytes of all blocks in `store`, including those being written or deleted.
    #[must_use]
    pub fn used_bytes(&self, store: &str) -> u64 {
        let in_store = self.by_id.values().filter(|block| block.store == store);
        in_store.map(|block| block.size_bytes).sum()
    }
}
