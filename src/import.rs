//! Imports stored context from a store into an engine before a run.

use std::sync::Arc;

use crate::clock::{instant_at, now_ms, now_us};
use crate::external::{ContextStores, ModelEngines, StageResult};
use crate::invariant::{Invariant, check};
use crate::kernel::Kernel;
use crate::placing::HeldSlot;
use crate::slot_request::{Import, ImportReport, ImportResult, SlotReport};
use crate::trace::{Hop, TraceId};

/// An import of stored context for one run.
pub struct ContextImport<'a> {
    /// This box.
    pub kernel: &'a Arc<Kernel>,
    /// Slot that the run holds.
    pub slot: &'a HeldSlot,
    /// Prompt of the run.
    pub prompt: &'a str,
    /// Salt that separates the account's context from that of others.
    pub salt: &'a str,
    /// Trace of the request.
    pub trace: TraceId,
}

impl ContextImport<'_> {
    /// Imports stored context into the engine and reports the result to the dispatcher. If it
    /// fails, the engine computes the context again.
    pub async fn run(&self, import: &Import) {
        let (kernel, slot) = (self.kernel, self.slot);
        let (span_start_us, started_at_ms) = (now_us(), now_ms());
        let deadline = instant_at(import.deadline_ms);
        let transfer = self.transfer(&slot.grant.url, import);
        let finished = tokio::time::timeout_at(deadline, transfer).await;
        let result = finished.unwrap_or(ImportResult::TimedOut);
        let took_ms = u32::try_from(now_ms() - started_at_ms).unwrap_or(u32::MAX);
        metrics::counter!("coursestile_imports_total", "result" => format!("{result:?}"))
            .increment(1);
        let note = format!("{} to {}: {result:?}", import.block.0, slot.grant.engine);
        kernel.span(self.trace, Hop::Import, span_start_us, note);
        let (block, expected_ms) = (import.block.clone(), import.expected_ms);
        let imported = ImportReport { block, expected_ms, took_ms, result };
        slot.report(kernel, SlotReport::Imported { id: slot.id().clone(), imported });
    }

    /// Pins the block, stages it at the engine, and commits it if its content still matches
    /// its seal and the pin has not expired.
    async fn transfer(&self, url: &str, import: &Import) -> ImportResult {
        let upstreams = &self.kernel.upstreams;
        let Import { block, store_url, seal, pinned_until_ms, .. } = import;
        let pinned_seal = upstreams.pin(store_url, block, *pinned_until_ms).await;
        if pinned_seal.as_ref() != Some(seal) {
            return ImportResult::NotFound;
        }
        let staged_seal = match upstreams.stage(url, store_url, block, self.prompt, self.salt).await
        {
            StageResult::Staged(staged_seal) => staged_seal,
            StageResult::NotFound => return ImportResult::NotFound,
            StageResult::Failed => return ImportResult::TimedOut,
        };
        let is_pinned = now_ms() < *pinned_until_ms;
        if staged_seal != *seal || !is_pinned {
            upstreams.commit(url, block, 0).await;
            return ImportResult::NotFound;
        }
        check(Invariant::BlockReadAsSealed, staged_seal == *seal, || block.0.clone());
        if upstreams.commit(url, block, import.tokens).await {
            ImportResult::Done
        } else {
            ImportResult::NotFound
        }
    }
}
