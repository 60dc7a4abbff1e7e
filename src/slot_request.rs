//! Messages about slots between an entry box, which has received a caller's request, and the
//! dispatcher of the request's model.
//!
//! A slot is the right to run one request on an engine. The dispatcher grants it; the entry box
//! sends the request to the engine, renews the grant meanwhile, and reports how the slot ended.

use serde::{Deserialize, Serialize};

use crate::account::Weights;
use crate::blocks::{BlockId, Seal};
use crate::context::{PrefixChain, Scope};
use crate::refusal::Refusal;
use crate::ticket::BoxRef;
use crate::trace::TraceId;

/// Id of a slot request. The dispatcher treats a repeated id as the same request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SlotRequestId {
    /// The entry box.
    pub entry_box: BoxRef,
    /// Number that the box never reuses.
    pub number: u64,
}

/// Requests a slot on an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Id of the slot request.
    pub id: SlotRequestId,
    /// Account, model and weight version of the request.
    pub scope: Scope,
    /// Prefix chain of the prompt.
    pub prefix: PrefixChain,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Share of the fleet that the account has.
    pub share: f64,
    /// Priority of the account.
    pub priority: i8,
    /// The account's weights in the routing cost.
    pub weights: Weights,
    /// When the context is no longer worth keeping, in Unix milliseconds.
    pub worthless_at_ms: u64,
    /// When the caller's deadline passes, in Unix milliseconds.
    pub deadline_ms: u64,
    /// Engines on which this request has failed.
    pub excluded_engines: Vec<String>,
    /// Refuse the request if no slot is free now.
    pub no_wait: bool,
    /// Trace that the request belongs to.
    pub trace: TraceId,
}

/// Stored context to import into the engine before the request runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Import {
    /// Id of the block.
    pub block: BlockId,
    /// URL of the store.
    pub store_url: String,
    /// Tokens that the block and the prompt have in common; only these are used.
    pub tokens: u32,
    /// Length and checksum of the block's content.
    pub seal: Seal,
    /// Estimated time of the import.
    pub expected_ms: u32,
    /// When the request runs without the import, in Unix milliseconds.
    pub deadline_ms: u64,
    /// End of the block's pin, in Unix milliseconds.
    pub pinned_until_ms: u64,
}

/// A granted slot on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Name of the engine.
    pub engine: String,
    /// URL of the engine.
    pub url: String,
    /// Context to import before the request runs.
    pub import: Option<Import>,
}

/// Response to a slot request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotResponse {
    /// The request may run in this slot.
    Granted(Grant),
    /// The request is queued; another response follows.
    Queued,
    /// The request is refused and has not run.
    Refused(Refusal),
}

/// How the use of a granted slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotEnd {
    /// The engine answered completely.
    Finished,
    /// The caller cancelled the request or its deadline passed.
    Cancelled,
    /// The engine failed.
    Failed,
    /// The engine refused the request and has not run it.
    Refused,
    /// The slot was not used.
    Unused,
}

/// Result of an import with its timing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImportReport {
    /// Id of the block.
    pub block: BlockId,
    /// Estimated time.
    pub expected_ms: u32,
    /// Actual time.
    pub took_ms: u32,
    /// Result.
    pub result: ImportResult,
}

/// Result of an import.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ImportResult {
    /// The engine holds the block, and its content matches the seal.
    Done,
    /// The store no longer holds the block, or its content does not match the seal.
    NotFound,
    /// The import exceeded its deadline, or the store is unreachable.
    TimedOut,
}

/// Report of an entry box on its granted slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotReport {
    /// An import has ended.
    Imported { id: SlotRequestId, imported: ImportReport },
    /// The engine has generated the first token, so that the prefill has ended.
    FirstToken { id: SlotRequestId, cached_tokens: u32, took_ms: u32 },
    /// The slot is no longer in use.
    Done { id: SlotRequestId, run_id: String, generated_tokens: u32, end: SlotEnd },
    /// Renews the grants of slots in use.
    Renew { ids: Vec<SlotRequestId> },
}
