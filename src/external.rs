//! Interfaces of the external systems that a box calls.
//!
//! Each external system has one adapter, which implements one of these traits, so
//! that the routing decisions do not depend on any adapter.

use std::future::Future;
use std::pin::Pin;

use futures_util::Stream;
use serde::Serialize;

use crate::assembler::Piece;
use crate::blocks::{BlockId, Seal};
use crate::context_manager::{Export, ExportResult, StoredBlock};
use crate::error::Result;
use crate::ledger::Outcome;
use crate::wire::Call;

/// A key's entry in the platform's key-value store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyValueEntry {
    /// Value; empty when the key does not exist.
    pub bytes: Vec<u8>,
    /// Index of the last write; 0 when the key does not exist.
    pub index: u64,
    /// Fencing token of the latest lease on the key.
    pub fence: u64,
    /// Session that holds the lease on the key.
    pub session: Option<String>,
}

/// The platform's key-value store.
pub trait KeyValueStore: Send + Sync {
    /// Reads a key.
    fn read(&self, key: &str) -> impl Future<Output = Result<KeyValueEntry>> + Send;

    /// Waits until the key is written after `index`, or for a second; returns the
    /// key's index at that time. Returns at once for index 0.
    fn watch(&self, key: &str, index: u64) -> impl Future<Output = Result<u64>> + Send;

    /// Writes a key if its index is still `index`; returns false when it is not. After
    /// an error the write may or may not have been applied.
    fn compare_and_swap(
        &self,
        key: &str,
        index: u64,
        bytes: &[u8],
    ) -> impl Future<Output = Result<bool>> + Send;

    /// Deletes a key.
    fn delete(&self, key: &str) -> impl Future<Output = Result<()>> + Send;

    /// Opens a session that expires after `ttl_s` unless it is renewed.
    fn open_session(&self, ttl_s: u64) -> impl Future<Output = Result<String>> + Send;

    /// Renews a session; returns false when it has expired.
    fn renew_session(&self, session: &str) -> impl Future<Output = Result<bool>> + Send;

    /// Acquires the lease on `key` for a session and writes `bytes` to it; returns
    /// false when another session holds the lease.
    fn acquire(
        &self,
        key: &str,
        session: &str,
        bytes: &[u8],
    ) -> impl Future<Output = Result<bool>> + Send;

    /// Releases the lease on `key`; returns false when the session did not hold it.
    fn release(&self, key: &str, session: &str) -> impl Future<Output = Result<bool>> + Send;
}

/// A completion request to a model engine.
#[derive(Clone, Debug, Serialize)]
pub struct GenerateRequest<'a> {
    /// Id of the run at the engine.
    pub request_id: &'a str,
    /// Model to run.
    pub model: &'a str,
    /// Weight version that must run; an engine that checks it refuses the request when it
    /// has another one.
    pub weight_version: &'a str,
    /// Prompt text.
    pub prompt: &'a str,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Scheduling priority; lower values run first.
    pub priority: i8,
    /// Salt of the engine's prefix cache, so that accounts do not share entries.
    pub cache_salt: &'a str,
    /// Whether the response is streamed; always true.
    pub stream: bool,
}

/// A piece of an answer as an engine sends it.
#[derive(Clone, Debug)]
pub struct EnginePiece {
    /// Id of the run that it belongs to.
    pub run_id: String,
    /// Weight version that the engine ran.
    pub version: String,
    /// Prompt tokens found in the engine's prefix cache.
    pub cached_tokens: u32,
    /// Text and position of the piece.
    pub piece: Piece,
}

/// Why an engine did not start or finish a run.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum EngineError {
    /// not run: the engine has another weight version
    OtherVersion,
    /// the engine does not check the weight version, and ran another one
    RanOtherVersion,
    /// not run: the engine is leaving or does not know the model
    Refused,
    /// not run: the engine could not be reached
    Unreachable,
    /// the engine's response failed or broke off: {0}
    Broken(String),
}

/// Stream of the pieces of a run.
pub type PieceStream =
    Pin<Box<dyn Stream<Item = std::result::Result<EnginePiece, EngineError>> + Send>>;

/// Status that an engine reports about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// Weight version that it uses for new requests.
    pub version: String,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
    /// Whether it is loading weights; it takes no work until they are loaded.
    pub loading: bool,
}

/// An order to an engine to load a weight version.
#[derive(Clone, Debug, Serialize)]
pub struct LoadOrder<'a> {
    /// Fencing token of the lease under which the order is given.
    pub fence: u64,
    /// Version that the order replaces.
    pub expect_version: &'a str,
    /// Version to load.
    pub version: &'a str,
}

/// Calls to model engines.
pub trait ModelEngines: Send + Sync {
    /// Starts a run. Its pieces carry `attempt`, and `first_seq` is added to their
    /// positions.
    fn generate(
        &self,
        url: &str,
        request: &GenerateRequest<'_>,
        attempt: u32,
        first_seq: u64,
    ) -> impl Future<Output = std::result::Result<PieceStream, EngineError>> + Send;

    /// Continues to read a run from its piece `from` on.
    fn resume(
        &self,
        url: &str,
        run_id: &str,
        attempt: u32,
        from: u64,
        first_seq: u64,
    ) -> impl Future<Output = std::result::Result<PieceStream, EngineError>> + Send;

    /// Cancels a run.
    fn cancel(&self, url: &str, run_id: &str) -> impl Future<Output = ()> + Send;

    /// Fetches the engine's status report.
    fn report(&self, url: &str) -> impl Future<Output = Option<EngineReport>> + Send;

    /// Tells the engine to write a run's context to a store.
    fn export(&self, export: &Export) -> impl Future<Output = ExportResult> + Send;

    /// Tells the engine to stage a block from a store.
    fn stage(
        &self,
        url: &str,
        store_url: &str,
        block: &BlockId,
        prompt: &str,
        salt: &str,
    ) -> impl Future<Output = StageResult> + Send;

    /// Puts the first `tokens` of a staged block into use; 0 discards it.
    fn commit(&self, url: &str, block: &BlockId, tokens: u32) -> impl Future<Output = bool> + Send;

    /// Gives an order; returns true when the engine has carried it out.
    fn order(&self, url: &str, order: &LoadOrder<'_>) -> impl Future<Output = bool> + Send;
}

/// Result of staging a block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StageResult {
    /// The engine has staged the block, whose content has this seal.
    Staged(Seal),
    /// The store has no such block.
    NotFound,
    /// The store or the engine failed.
    Failed,
}

/// Calls to context stores.
pub trait ContextStores: Send + Sync {
    /// Pins a block until a deadline; returns its seal, if the block has one.
    fn pin(
        &self,
        url: &str,
        block: &BlockId,
        until_ms: u64,
    ) -> impl Future<Output = Option<Seal>> + Send;

    /// Deletes a block; returns true when the store does not hold it any more.
    fn delete(&self, url: &str, block: &BlockId) -> impl Future<Output = bool> + Send;

    /// Lists the sealed blocks.
    fn list(&self, url: &str) -> impl Future<Output = Option<Vec<StoredBlock>>> + Send;
}

/// Reply of a plain service's worker to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerReply {
    /// Whether the call may have run, and the answer if there is one.
    pub outcome: Outcome,
    /// Time for which the worker asked not to be called again, when it refused the call.
    pub retry_after_ms: Option<u64>,
}

impl From<Outcome> for WorkerReply {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, retry_after_ms: None }
    }
}

/// Calls to plain services.
pub trait PlainServices: Send + Sync {
    /// Makes a call.
    fn call(&self, url: &str, call: &Call) -> impl Future<Output = WorkerReply> + Send;
}
