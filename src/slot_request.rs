//! What an entry box and a dispatcher say to each other about a request.

use serde::{Deserialize, Serialize};

use crate::account::Weights;
use crate::blocks::{BlockId, Seal};
use crate::context::{PrefixChain, Scope};
use crate::refusal::Refusal;
use crate::ticket::BoxRef;
use crate::trace::TraceId;

/// Names an ask; a repeated one is the same ask.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SlotRequestId {
    /// Box that entered the request.
    pub entry_box: BoxRef,
    /// Number that the box never uses again.
    pub number: u64,
}

/// Asks where a request may run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Name of the ask.
    pub id: SlotRequestId,
    /// Account, model and weight version of the request.
    pub scope: Scope,
    /// Course of the prompt.
    pub prefix: PrefixChain,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// The account's share.
    pub share: f64,
    /// The account's priority.
    pub priority: i8,
    /// The account's weights.
    pub weights: Weights,
    /// When the context is no longer worth keeping, in Unix milliseconds.
    pub worthless_at_ms: u64,
    /// When the caller gives up, in Unix milliseconds.
    pub deadline_ms: u64,
    /// Engines that failed this request already.
    pub excluded_engines: Vec<String>,
    /// Refuse rather than let it wait.
    pub no_wait: bool,
    /// Trace that the request belongs to.
    pub trace: TraceId,
}

/// Kept context to bring to the engine first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Import {
    /// The block.
    pub block: BlockId,
    /// Where the store listens.
    pub store_url: String,
    /// Tokens of it that the prompt has in common, which alone are used.
    pub tokens: u32,
    /// What the block's content must match.
    pub seal: Seal,
    /// Time that it is expected to take.
    pub expected_ms: u32,
    /// When to go on without it, in Unix milliseconds.
    pub deadline_ms: u64,
    /// Until when the block is pinned, in Unix milliseconds.
    pub pinned_until_ms: u64,
}

/// A place on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Name of the engine.
    pub engine: String,
    /// Where it listens.
    pub url: String,
    /// Kept context to bring there first.
    pub import: Option<Import>,
}

/// Answer to an ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotResponse {
    /// Run it there.
    Granted(Grant),
    /// It waits for its turn; another verdict follows.
    Queued,
    /// It is refused; it has not run.
    Refused(Refusal),
}

/// How the use of a place ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotEnd {
    /// The answer is whole.
    Finished,
    /// The caller gave up.
    Cancelled,
    /// The engine failed.
    Failed,
    /// The engine refused, and has not run it.
    Refused,
    /// The place was not used.
    Unused,
}

/// How the import of a block went.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImportReport {
    /// The block.
    pub block: BlockId,
    /// Time that it was expected to take.
    pub expected_ms: u32,
    /// Time taken.
    pub took_ms: u32,
    /// How it ended.
    pub result: ImportResult,
}

/// End of an import.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ImportResult {
    /// The engine holds the block as it was sealed.
    Done,
    /// The store does not hold it any more, or not as it was sealed.
    NotFound,
    /// It took too long, or the store cannot be reached.
    TimedOut,
}

/// What an entry box reports on a place that it was given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotReport {
    /// An import ended.
    Imported { id: SlotRequestId, imported: ImportReport },
    /// The prefill ended.
    FirstToken { id: SlotRequestId, cached_tokens: u32, took_ms: u32 },
    /// The place is free again.
    Done { id: SlotRequestId, request_id: String, generated_tokens: u32, end: SlotEnd },
    /// These places are still in use.
    Renew { ids: Vec<SlotRequestId> },
}
