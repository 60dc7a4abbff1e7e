//! Identity of prompt context.
//!
//! A prompt is cut into blocks, and each block is named by a hash of itself
//! and of everything before it. The chain is seeded with client account,
//! model and weight version, so that equal text of two accounts, or under two
//! versions, has nothing in common.

use serde::{Deserialize, Serialize};

/// Prompt bytes that make a token, as the engines count.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens in a block.
pub const PREFIX_BLOCK_TOKENS: usize = 256;
/// Most hashes that describe a prompt; longer prompts get coarser courses.
const MAX_HASHES: usize = 32;

/// Whose context it is, and for which weights.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Scope {
    /// Client account that sent the prompt.
    pub account: String,
    /// Model that the prompt is for.
    pub model: String,
    /// Weight version of the model.
    pub version: String,
}

/// A point in a prompt, named by everything before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PrefixHash {
    /// Tokens before this point.
    pub tokens: u32,
    /// Hash of scope and of those tokens.
    pub hash: u64,
}

/// Points along a prompt, each named by everything before it.
///
/// Courses of prompts that share a start share their hashes up to there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixChain {
    /// Hash of the first block; 0 for a prompt shorter than that.
    pub root: u64,
    /// Blocks between two points.
    stride_blocks: u32,
    hashes: Box<[u64]>,
}

impl PrefixChain {
    /// The course of a prompt.
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

    /// Whether the prompt is too short to have context.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hashes.is_empty()
    }

    /// The last point.
    #[must_use]
    pub fn last(&self) -> Option<PrefixHash> {
        let hash = *self.hashes.last()?;
        Some(PrefixHash { tokens: self.tokens_at(self.hashes.len()), hash })
    }

    /// Tokens up to the last point.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.tokens_at(self.hashes.len())
    }

    fn tokens_at(&self, hashes: usize) -> u32 {
        let blocks = u32::try_from(hashes).unwrap_or(u32::MAX).saturating_mul(self.stride_blocks);
        blocks.saturating_mul(u32::try_from(PREFIX_BLOCK_TOKENS).unwrap_or(u32::MAX))
    }

    /// Tokens that two prompts have in common, by the points of both.
    #[must_use]
    pub fn common_tokens(&self, other: &Self) -> u32 {
        if self.stride_blocks > other.stride_blocks {
            return other.common_tokens(self);
        }
        let Some(step) = other.stride_blocks.checked_div(self.stride_blocks) else {
            return 0;
        };
        // Strides are powers of two, so the coarser points are among the finer.
        let step = usize::try_from(step).unwrap_or(usize::MAX);
        let finer = self.hashes.iter().skip(step - 1).step_by(step);
        let common = finer.zip(&other.hashes).take_while(|(left, right)| left == right).count();
        other.tokens_at(common)
    }

    /// Whether one prompt continues the other, as far as their points tell.
    #[must_use]
    pub fn continues(&self, other: &Self) -> bool {
        let coarser = if self.stride_blocks > other.stride_blocks { self } else { other };
        let shorter = self.tokens().min(other.tokens());
        self.root == other.root && self.common_tokens(other) + coarser.tokens_at(1) > shorter
    }
}

/// Tokens of a prompt of `len_bytes`.
#[must_use]
pub fn token_count(len_bytes: usize) -> u32 {
    u32::try_from(len_bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// The salt that keeps an account's context apart in an engine's cache.
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
