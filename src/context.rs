//! Identity of prompt context.
//!
//! A prompt is divided into prefix blocks, and each is identified by a hash of itself and
//! everything before it. The hash chain is seeded with the client account, model and weight
//! version, so that equal prompts of two accounts, or under two versions, have no hash in common.

use serde::{Deserialize, Serialize};

/// Bytes of a prompt per token, as counted by the engines.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens in a prefix block.
pub const PREFIX_BLOCK_TOKENS: usize = 256;
/// Maximum number of hashes in a prefix chain; chains of longer prompts have larger strides.
const MAX_HASHES: usize = 32;

/// Account, model and weight version that context belongs to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Scope {
    /// Client account that sent the prompt.
    pub account: String,
    /// Model that the prompt is for.
    pub model: String,
    /// Weight version of the model.
    pub version: String,
}

/// Identifies a prefix of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PrefixHash {
    /// Length of the prefix in tokens.
    pub tokens: u32,
    /// Hash of the scope and the prefix.
    pub hash: u64,
}

/// Hashes of a prompt's prefixes, at a constant stride.
///
/// The chains of prompts with a common prefix have the same hashes up to the end of that prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixChain {
    /// Hash of the first prefix block; 0 if the prompt is shorter than one block.
    pub root: u64,
    /// Prefix blocks from one hash to the next.
    stride_blocks: u32,
    hashes: Box<[u64]>,
}

impl PrefixChain {
    /// Computes the prefix chain of a prompt.
    #[must_use]
    pub fn new(scope: &Scope, prompt: &str) -> Self {
        let block_bytes = PREFIX_BLOCK_TOKENS * BYTES_PER_TOKEN;
        let blocks = prompt.len() / block_bytes;
        if blocks == 0 {
            return Self::default();
        }
        let stride = blocks.div_ceil(MAX_HASHES).next_power_of_two();
        let mut hasher = scope_hasher(scope);
        let mut root = 0;
        let mut prefix_hashes = Vec::with_capacity(blocks / stride);
        for (index, block) in prompt.as_bytes().chunks_exact(block_bytes).enumerate() {
            hasher.update(block);
            if index == 0 {
                root = short_hash(&hasher);
            }
            if (index + 1).is_multiple_of(stride) {
                prefix_hashes.push(short_hash(&hasher));
            }
        }
        let stride_blocks = u32::try_from(stride).unwrap_or(u32::MAX);
        Self { root, stride_blocks, hashes: prefix_hashes.into() }
    }

    /// Whether the prompt is too short for a prefix hash.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hashes.is_empty()
    }

    /// Hashes of the prefixes, from the shortest to the longest.
    #[must_use]
    pub fn hashes(&self) -> &[u64] {
        &self.hashes
    }

    /// Hash of the longest prefix.
    #[must_use]
    pub fn last(&self) -> Option<PrefixHash> {
        let hash = *self.hashes.last()?;
        Some(PrefixHash { tokens: self.tokens_at(self.hashes.len()), hash })
    }

    /// Length of the longest prefix in tokens.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.tokens_at(self.hashes.len())
    }

    fn tokens_at(&self, hashes: usize) -> u32 {
        let blocks = u32::try_from(hashes).unwrap_or(u32::MAX).saturating_mul(self.stride_blocks);
        blocks.saturating_mul(u32::try_from(PREFIX_BLOCK_TOKENS).unwrap_or(u32::MAX))
    }

    /// Length of the common prefix of two prompts in tokens, as far as both chains have hashes for
    /// it.
    #[must_use]
    pub fn common_tokens(&self, other: &Self) -> u32 {
        if self.stride_blocks > other.stride_blocks {
            return other.common_tokens(self);
        }
        let Some(step) = other.stride_blocks.checked_div(self.stride_blocks) else {
            return 0;
        };
        // Strides are powers of two, so that all prefixes of the coarser chain are in the finer one.
        let step = usize::try_from(step).unwrap_or(usize::MAX);
        let finer = self.hashes.iter().skip(step - 1).step_by(step);
        let common = finer.zip(&other.hashes).take_while(|(left, right)| left == right).count();
        other.tokens_at(common)
    }

    /// Whether one prompt continues the other, as far as their hashes tell.
    #[must_use]
    pub fn continues(&self, other: &Self) -> bool {
        let coarser = if self.stride_blocks > other.stride_blocks { self } else { other };
        let shorter = self.tokens().min(other.tokens());
        self.root == other.root && self.common_tokens(other) + coarser.tokens_at(1) > shorter
    }
}

/// Number of tokens in a prompt of `len_bytes`.
#[must_use]
pub fn token_count(len_bytes: usize) -> u32 {
    u32::try_from(len_bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Cache salt that separates the context of different scopes in an engine's cache.
#[must_use]
pub fn cache_salt(scope: &Scope) -> String {
    scope_hasher(scope).finalize().to_hex()[..32].to_owned()
}

fn scope_hasher(scope: &Scope) -> blake3::Hasher {
    let mut hasher = blake3::Hasher::new();
    for part in [&scope.account, &scope.model, &scope.version] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher
}

fn short_hash(hasher: &blake3::Hasher) -> u64 {
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}
