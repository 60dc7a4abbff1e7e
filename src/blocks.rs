//! Life of kept blocks in the stores.
//!
//! A block is being written, then sealed, then being freed. Its id names
//! everything that its content depends on, and a nonce that is never used
//! again, so that a freed block cannot be taken for another one. Only a sealed
//! block can be pinned, and a block with a pin in force is not deleted.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::context::{PrefixHash, Scope};
use crate::invariant::{Invariant, check};

/// Time added to a pin before its block is deleted, for clocks that differ.
pub const PIN_MARGIN_MS: u64 = 2000;

/// Name of a block in a store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BlockId(pub String);

impl BlockId {
    /// A new id; `nonce` is never given twice by one `writer`.
    #[must_use]
    pub fn new(scope: &Scope, mark: PrefixHash, writer: &str, nonce: u64) -> Self {
        let scope = &crate::context::cache_salt(scope)[..16];
        let mut hasher = blake3::Hasher::new();
        hasher.update(writer.as_bytes());
        hasher.update(&nonce.to_le_bytes());
        let nonce = &hasher.finalize().to_hex()[..24];
        Self(format!("{scope}-{:016x}-{}-{nonce}", mark.hash, mark.tokens))
    }
}

/// What a sealed block's content must match.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seal {
    /// Length of the content.
    pub len_bytes: u64,
    /// Hash of the content, in hex.
    pub checksum: String,
}

/// Where a block is in its life.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Being written; given up at the deadline.
    Writing { deadline_ms: u64 },
    /// Complete and readable.
    Sealed(Seal),
    /// No longer readable; deleted when its pins have run out.
    Freeing,
}

/// A kept block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Block {
    /// Whose context it is.
    pub scope: Scope,
    /// Store that holds it.
    pub store: String,
    /// End of the context that it covers.
    pub prefix_end: PrefixHash,
    /// Size as the link and the store count it.
    pub size_bytes: u64,
    /// Where it is in its life.
    pub phase: Phase,
    /// Until when readers may be at it, in Unix milliseconds.
    pub pinned_until_ms: u64,
}

/// All blocks that one dispatcher looks after.
#[derive(Debug, Default)]
pub struct Blocks {
    by_id: HashMap<BlockId, Block>,
}

impl Blocks {
    /// Starts a write.
    pub fn begin_write(&mut self, id: &BlockId, block: Block) {
        let previous = self.by_id.insert(id.clone(), block);
        check(Invariant::BlockIdUsedOnce, previous.is_none(), || id.0.clone());
    }

    /// Takes a block over that a store lists as sealed.
    pub fn adopt(&mut self, id: &BlockId, block: Block) {
        if matches!(block.phase, Phase::Sealed(_)) {
            self.by_id.entry(id.clone()).or_insert(block);
        }
    }

    /// Seals a block that is being written; false when its write was given up.
    pub fn seal(&mut self, id: &BlockId, seal: Seal, size_bytes: u64) -> bool {
        match self.by_id.get_mut(id) {
            Some(block) if matches!(block.phase, Phase::Writing { .. }) => {
                block.phase = Phase::Sealed(seal);
                block.size_bytes = size_bytes;
                true
            }
            _ => false,
        }
    }

    /// Pins a sealed block of `scope` until the deadline.
    pub fn pin(&mut self, id: &BlockId, scope: &Scope, until_ms: u64) -> Option<(&Block, &Seal)> {
        let block = self.by_id.get_mut(id)?;
        let is_in_scope = block.scope == *scope;
        if !check(Invariant::ContextStaysInScope, is_in_scope, || id.0.clone()) {
            return None;
        }
        if matches!(block.phase, Phase::Sealed(_)) {
            block.pinned_until_ms = block.pinned_until_ms.max(until_ms);
        }
        match &block.phase {
            Phase::Sealed(seal) => Some((block, seal)),
            Phase::Writing { .. } | Phase::Freeing => None,
        }
    }

    /// Makes a block unreadable; it is deleted later.
    pub fn free(&mut self, id: &BlockId) {
        if let Some(block) = self.by_id.get_mut(id) {
            block.phase = Phase::Freeing;
        }
    }

    /// Blocks that can be deleted now: freed, and past every pin.
    #[must_use]
    pub fn deletable(&self, now_ms: u64) -> Vec<BlockId> {
        let is_unpinned = |block: &Block| now_ms >= block.pinned_until_ms + PIN_MARGIN_MS;
        let freeing = self.by_id.iter().filter(|(_, block)| block.phase == Phase::Freeing);
        freeing.filter(|(_, block)| is_unpinned(block)).map(|(id, _)| id.clone()).collect()
    }

    /// Gives up writes whose deadline has passed.
    pub fn expire_writes(&mut self, now_ms: u64) {
        for block in self.by_id.values_mut() {
            if matches!(block.phase, Phase::Writing { deadline_ms } if deadline_ms <= now_ms) {
                block.phase = Phase::Freeing;
            }
        }
    }

    /// Forgets a block that its store no longer holds.
    pub fn remove(&mut self, id: &BlockId) {
        self.by_id.remove(id);
    }

    /// The block called `id`.
    #[must_use]
    pub fn get(&self, id: &BlockId) -> Option<&Block> {
        self.by_id.get(id)
    }

    /// All blocks.
    pub fn iter(&self) -> impl Iterator<Item = (&BlockId, &Block)> {
        self.by_id.iter()
    }

    /// Bytes in `store` of blocks that are not being freed.
    #[must_use]
    pub fn live_bytes(&self, store: &str) -> u64 {
        let in_store = self.by_id.values().filter(|block| block.store == store);
        let live = in_store.filter(|block| block.phase != Phase::Freeing);
        live.map(|block| block.size_bytes).sum()
    }

    /// Bytes in `store`, also of blocks being written or freed.
    #[must_use]
    pub fn used_bytes(&self, store: &str) -> u64 {
        let in_store = self.by_id.values().filter(|block| block.store == store);
        in_store.map(|block| block.size_bytes).sum()
    }
}
