//! Identity of prompt context.
//!
//! A prompt is cut into blocks, and each block is named by a hash of itself
//! and of everything before it. The chain is seeded with client account,
//! model and weight version, so that equal text of two accounts, or under two
//! versions, has nothing in common.

use serde::{Deserialize, Serialize};

/// Prompt bytes that make a token, as the engines count.
pub const TOKEN_BYTES: usize = 4;
/// Tokens in a block.
pub const BLOCK_TOKENS: usize = 256;
/// Most marks that describe a prompt; longer prompts get coarser marks.
pub const MAX_MARKS: usize = 32;

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
pub struct Mark {
    /// Tokens before this point.
    pub tokens: u32,
    /// Hash of scope and of those tokens.
    pub hash: u64,
}

/// Tokens of a prompt of `len_bytes`.
#[must_use]
pub fn tokens(len_bytes: usize) -> u32 {
    u32::try_from(len_bytes.div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX)
}

/// The marks of a prompt, shortest first.
#[must_use]
pub fn marks(scope: &Scope, prompt: &str) -> Vec<Mark> {
    let block_bytes = BLOCK_TOKENS * TOKEN_BYTES;
    let blocks = prompt.len() / block_bytes;
    let stride = blocks.div_ceil(MAX_MARKS).max(1).next_power_of_two();
    let mut hasher = scope_hasher(scope);
    let strides = prompt.as_bytes().chunks_exact(block_bytes * stride);
    let mut at_tokens = 0;
    strides
        .map(|stride_bytes| {
            hasher.update(stride_bytes);
            at_tokens += tokens(stride_bytes.len());
            Mark { tokens: at_tokens, hash: short_hash(&hasher) }
        })
        .collect()
}

/// The salt that keeps an account's context apart in an engine's cache.
#[must_use]
pub fn salt(scope: &Scope) -> String {
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

/// Tokens that two prompts have in common, by their marks.
#[must_use]
pub fn common_tokens(left: &[Mark], right: &[Mark]) -> u32 {
    let mut common = 0;
    let mut right = right.iter().peekable();
    for mark in left {
        while right.next_if(|other| other.tokens < mark.tokens).is_some() {}
        match right.peek() {
            Some(other) if other.tokens > mark.tokens => {}
            Some(other) if other.hash == mark.hash => common = mark.tokens,
            _ => break,
        }
    }
    common
}
