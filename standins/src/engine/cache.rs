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

struct CachedBlock {
    last_used: u64,
    content: ChainHash,
}

/// Cached blocks, by chain hash.
pub struct PrefixCache {
    blocks: BTreeMap<ChainHash, CachedBlock>,
    capacity: usize,
    use_counter: u64,
}

impl PrefixCache {
    pub fn new(capacity: usize) -> Self {
        Self { blocks: BTreeMap::new(), capacity, use_counter: 0 }
    }

    /// Returns the number of tokens of the longest cached prefix, and marks its blocks as used.
    pub fn lookup(&mut self, chain: &[ChainHash]) -> usize {
        self.use_counter += 1;
        let mut found = 0;
        for hash in chain {
            let Some(block) = self.blocks.get_mut(hash) else {
                break;
            };
            block.last_used = self.use_counter;
            found += 1;
        }
        found * BLOCK_TOKENS
    }

    /// Whether a cached block of the prefix holds content that does not match its key.
    pub fn is_corrupt(&self, chain: &[ChainHash]) -> bool {
        let blocks = chain.iter().map_while(|hash| Some((hash, self.blocks.get(hash)?)));
        blocks.into_iter().any(|(hash, block)| *hash != block.content)
    }

    pub fn insert(&mut self, chain: &[ChainHash]) -> Vec<Value> {
        self.insert_content(chain, chain)
    }

    /// Caches `content` under the keys of `chain`, evicting the least recently used blocks;
    /// returns the cache events.
    pub fn insert_content(&mut self, chain: &[ChainHash], content: &[ChainHash]) -> Vec<Value> {
        self.use_counter += 1;
        let mut events = Vec::new();
        for (hash, content) in chain.iter().zip(content) {
            let used = self.use_counter;
            let block = CachedBlock { last_used: used, content: *content };
            if self.blocks.insert(*hash, block).is_none() {
                events.push(json!({ "type": "stored", "hash": hex(hash) }));
            }
        }
        while self.blocks.len() > self.capacity {
            let oldest = self.blocks.iter().min_by_key(|(_, block)| block.last_used);
            let Some(hash) = oldest.map(|(hash, _)| *hash) else {
                break;
            };
            self.blocks.remove(&hash);
            events.push(json!({ "type": "removed", "hash": hex(&hash) }));
        }
        events
    }

    pub fn clear(&mut self) {
        self.blocks.clear();
    }
}

fn hex(hash: &ChainHash) -> String {
    blake3::Hash::from_bytes(*hash).to_hex().to_string()
}
