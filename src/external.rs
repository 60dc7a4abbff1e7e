//! The process's edges: what outside systems are asked for.
//!
//! Each outside system is met at one adapter that implements one of these
//! traits. No decision depends on an adapter.

use std::future::Future;
use std::pin::Pin;

use futures_util::Stream;
use serde::Serialize;

use crate::assembler::Piece;
use crate::blocks::{BlockId, Seal};
use crate::error::Result;
use crate::keeper::{Export, ExportResult, StoredBlock};
use crate::ledger::Outcome;
use crate::wire::Call;

/// A value in the platform's key-value service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyValueEntry {
    /// Content; empty when the key does not exist.
    pub bytes: Vec<u8>,
    /// Index of the last write; 0 when the key does not exist.
    pub index: u64,
    /// Fencing token of the newest lease on the key.
    pub fence: u64,
    /// Session that holds the lease on the key.
    pub session: Option<String>,
}

/// The platform's key-value service.
pub trait KeyValueStore: Send + Sync {
    /// Reads a key.
    fn read(&self, key: &str) -> impl Future<Output = Result<KeyValueEntry>> + Send;

    /// Waits until the key is written after `index`, or for a second; returns its
    /// index then. Index 0 is answered at once.
    fn watch(&self, key: &str, index: u64) -> impl Future<Output = Result<u64>> + Send;

    /// Writes a key if its index is still `index`; false when it is not. An
    /// error says nothing about the write.
    fn compare_and_swap(
        &self,
        key: &str,
        index: u64,
        bytes: &[u8],
    ) -> impl Future<Output = Result<bool>> + Send;

    /// Deletes a key.
    fn delete(&self, key: &str) -> impl Future<Output = Result<()>> + Send;

    /// Opens a session that ends unless it is renewed.
    fn open_session(&self, ttl_s: u64) -> impl Future<Output = Result<String>> + Send;

    /// Renews a session; false when it has ended.
    fn renew_session(&self, session: &str) -> impl Future<Output = Result<bool>> + Send;

    /// Takes the lease on `key` for a session and writes `bytes` there; false when
    /// another holds it.
    fn acquire(
        &self,
        key: &str,
        session: &str,
        bytes: &[u8],
    ) -> impl Future<Output = Result<bool>> + Send;

    /// Gives the lease on `key` back; false when the session did not hold it.
    fn release(&self, key: &str, session: &str) -> impl Future<Output = Result<bool>> + Send;
}

/// What a model engine is asked to run.
#[derive(Clone, Debug, Serialize)]
pub struct GenerateRequest<'a> {
    /// Names the run at the engine.
    pub request_id: &'a str,
    /// Model.
    pub model: &'a str,
    /// Weight version that must run.
    pub weight_version: &'a str,
    /// Prompt.
    pub prompt: &'a str,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Order of work, lower first.
    pub priority: i8,
    /// Keeps the account's context apart.
    pub cache_salt: &'a str,
    /// Always streamed.
    pub stream: bool,
}

/// A piece as an engine sends it.
#[derive(Clone, Debug)]
pub struct EnginePiece {
    /// Run that it belongs to.
    pub request_id: String,
    /// Weight version that ran.
    pub version: String,
    /// Prompt tokens that were cached.
    pub cached_tokens: u32,
    /// The piece.
    pub piece: Piece,
}

/// Why an engine did not go on.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum EngineError {
    /// not run: it runs another weight version
    OtherVersion,
    /// it does not check, and ran another weight version
    RanOtherVersion,
    /// not run: it leaves or does not know the model
    Refused,
    /// not run: it could not be reached
    Unreachable,
    /// it broke off: {0}
    Broken(String),
}

/// Pieces of a run as they come.
pub type PieceStream =
    Pin<Box<dyn Stream<Item = std::result::Result<EnginePiece, EngineError>> + Send>>;

/// An engine's own report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// Weight version for new requests.
    pub version: String,
    /// It takes no new work.
    pub leaving: bool,
    /// It loads weights and takes no work until that is done.
    pub loading: bool,
}

/// An order to an engine.
#[derive(Clone, Debug, Serialize)]
pub struct LoadOrder<'a> {
    /// Fencing token of the lease under which it is given.
    pub fence: u64,
    /// Version that the order replaces.
    pub expect_version: &'a str,
    /// Version to load.
    pub version: &'a str,
}

/// The model engines.
pub trait ModelEngines: Send + Sync {
    /// Starts a run. `attempt` goes into its pieces, `first_seq` is added to
    /// their places.
    fn generate(
        &self,
        url: &str,
        request: &GenerateRequest<'_>,
        attempt: u32,
        first_seq: u64,
    ) -> impl Future<Output = std::result::Result<PieceStream, EngineError>> + Send;

    /// Goes on reading a run from place `from` of that run.
    fn resume(
        &self,
        url: &str,
        request_id: &str,
        attempt: u32,
        from: u64,
        first_seq: u64,
    ) -> impl Future<Output = std::result::Result<PieceStream, EngineError>> + Send;

    /// Cancels a run.
    fn cancel(&self, url: &str, request_id: &str) -> impl Future<Output = ()> + Send;

    /// Asks for the engine's report.
    fn report(&self, url: &str) -> impl Future<Output = Option<EngineReport>> + Send;

    /// Has a run's context written to a store.
    fn export(&self, export: &Export) -> impl Future<Output = ExportResult> + Send;

    /// Has a block staged from a store; returns what arrived.
    fn stage(
        &self,
        url: &str,
        store_url: &str,
        block: &BlockId,
        prompt: &str,
        salt: &str,
    ) -> impl Future<Output = StageResult> + Send;

    /// Uses the first `tokens` of a staged block; 0 discards it.
    fn commit(&self, url: &str, block: &BlockId, tokens: u32) -> impl Future<Output = bool> + Send;

    /// Gives an order; true when it was carried out.
    fn order(&self, url: &str, order: &LoadOrder<'_>) -> impl Future<Output = bool> + Send;
}

/// What came of staging a block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StageResult {
    /// The engine has a block, whose content is thus.
    Staged(Seal),
    /// The store has no such block.
    NotFound,
    /// The store or the engine failed.
    Failed,
}

/// The context store boxes.
pub trait ContextStores: Send + Sync {
    /// Pins a block until a deadline; returns its seal, when it has one.
    fn pin(
        &self,
        url: &str,
        block: &BlockId,
        until_ms: u64,
    ) -> impl Future<Output = Option<Seal>> + Send;

    /// Deletes a block; true when the store does not hold it any more.
    fn delete(&self, url: &str, block: &BlockId) -> impl Future<Output = bool> + Send;

    /// Lists the sealed blocks.
    fn list(&self, url: &str) -> impl Future<Output = Option<Vec<StoredBlock>>> + Send;
}

/// What a worker of a plain service made of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerReply {
    /// Whether the call can have run, and the answer.
    pub outcome: Outcome,
    /// Time for which the worker, which turned the call away, wants no other.
    pub retry_after_ms: Option<u64>,
}

impl From<Outcome> for WorkerReply {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, retry_after_ms: None }
    }
}

/// The plain services.
pub trait PlainServices: Send + Sync {
    /// Makes a call.
    fn call(&self, url: &str, call: &Call) -> impl Future<Output = WorkerReply> + Send;
}
