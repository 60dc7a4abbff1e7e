//! Prefix cache of the engine, with least-recently-used eviction.

use std::collections::BTreeMap;

use serde_json::{Value, json};

/// Tokens per cache block.
pub const BLOCK_TOKENS: usize = 256;
/// Prompt bytes per token.
pub const TOKEN_BYTES: usize = 4;

/// Hash of a block and all blocks before it.
pub type ChainHash = [u8; 32];

/// Chained hashes of the complete blocks of a prompt.
pub fn chain(salt: &str, version: &str, prompt: &str) -> Vec<ChainHash> {
    let seed = format!("{salt}\0{version}");
    let mut parent = *blake3::hash(seed.as_bytes()).as_bytes();
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_TOKENS * TOKEN_BYTES);
    blocks
        .map(|block| {
            let mut hasher = blake3::Hasher::new();
            hasher.update(&parent);
            hasher.update(block);
            parent = *hasher.finalize().as_bytes();
            parent
        })
        .collect()
}

struct Slot {
    used: u64,
    content: ChainHash,
}

/// Cached blocks, by chain hash.
pub struct PrefixCache {
    slots: BTreeMap<ChainHash, Slot>,
    capacity: usize,
    clock: u64,
}

impl PrefixCache {
    pub fn new(capacity: usize) -> Self {
        Self { slots: BTreeMap::new(), capacity, clock: 0 }
    }

    /// Returns the number of tokens of the longest cached prefix, and marks its blocks as used.
    pub fn lookup(&mut self, chain: &[ChainHash]) -> usize {
        self.clock += 1;
        let mut found = 0;
        for hash in chain {
            let Some(slot) = self.slots.get_mut(hash) else {
                break;
            };
            slot.used = self.clock;
            found += 1;
        }
        found * BLOCK_TOKENS
    }

    /// Whether a cached block of the prefix holds content that does not match its key.
    pub fn corrupt(&self, chain: &[ChainHash]) -> bool {
        let slots = chain.iter().map_while(|hash| Some((hash, self.slots.get(hash)?)));
        slots.into_iter().any(|(hash, slot)| *hash != slot.content)
    }

    pub fn insert(&mut self, chain: &[ChainHash]) -> Vec<Value> {
        self.insert_content(chain, chain)
    }

    /// Caches `content` under the keys of `chain`, evicting the least recently used blocks;
    /// returns the cache events.
    pub fn insert_content(&mut self, chain: &[ChainHash], content: &[ChainHash]) -> Vec<Value> {
        self.clock += 1;
        let mut events = Vec::new();
        for (hash, content) in chain.iter().zip(content) {
            let used = self.clock;
            let slot = Slot { used, content: *content };
            if self.slots.insert(*hash, slot).is_none() {
                events.push(json!({ "type": "stored", "hash": hex(hash) }));
            }
        }
        while self.slots.len() > self.capacity {
            let oldest = self.slots.iter().min_by_key(|(_, slot)| slot.used);
            let Some(hash) = oldest.map(|(hash, _)| *hash) else {
                break;
            };
            self.slots.remove(&hash);
            events.push(json!({ "type": "removed", "hash": hex(&hash) }));
        }
        events
    }

    pub fn clear(&mut self) {
        self.slots.clear();
    }
}

fn hex(hash: &ChainHash) -> String {
    blake3::Hash::from_bytes(*hash).to_hex().to_string()
}
