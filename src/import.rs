//! Brings kept context to an engine before a run.

use std::sync::Arc;

use crate::ask::{Import, ImportReport, ImportResult, SlotReport};
use crate::clock::{instant_at, now_ms, now_us};
use crate::external::{ContextStores, ModelEngines, StageResult};
use crate::invariant::{Invariant, check};
use crate::kernel::Kernel;
use crate::placing::HeldSlot;
use crate::trace::{Hop, TraceId};

/// Context that is brought for a run.
pub struct Bringing<'a> {
    /// This box.
    pub kernel: &'a Arc<Kernel>,
    /// The place of the run.
    pub slot: &'a HeldSlot,
    /// Prompt of the run.
    pub prompt: &'a str,
    /// Salt of the account's context.
    pub salt: &'a str,
    /// Trace of the request.
    pub trace: TraceId,
}

impl Bringing<'_> {
    /// Brings kept context to the engine; without it, the run recomputes.
    pub async fn import(&self, import: &Import) {
        let (kernel, slot) = (self.kernel, self.slot);
        let (span_at_us, began_at_ms) = (now_us(), now_ms());
        let deadline = instant_at(import.deadline_ms);
        let bring = self.bring(&slot.grant.url, import);
        let brought = tokio::time::timeout_at(deadline, bring).await;
        let result = brought.unwrap_or(ImportResult::TimedOut);
        let took_ms = u32::try_from(now_ms() - began_at_ms).unwrap_or(u32::MAX);
        metrics::counter!("coursestile_imports_total", "result" => format!("{result:?}"))
            .increment(1);
        let note = format!("{} to {}: {result:?}", import.block.0, slot.grant.engine);
        kernel.span(self.trace, Hop::Import, span_at_us, note);
        let (block, expected_ms) = (import.block.clone(), import.expected_ms);
        let imported = ImportReport { block, expected_ms, took_ms, result };
        slot.report(kernel, SlotReport::Imported { id: slot.id().clone(), imported });
    }

    /// Pins the block, has it staged, and uses it only as it was sealed.
    async fn bring(&self, url: &str, import: &Import) -> ImportResult {
        let upstreams = &self.kernel.upstreams;
        let Import { block, store_url, seal, pinned_until_ms, .. } = import;
        let pinned = upstreams.pin(store_url, block, *pinned_until_ms).await;
        if pinned.as_ref() != Some(seal) {
            return ImportResult::NotFound;
        }
        let arrived = match upstreams.stage(url, store_url, block, self.prompt, self.salt).await {
            StageResult::Staged(arrived) => arrived,
            StageResult::NotFound => return ImportResult::NotFound,
            StageResult::Failed => return ImportResult::TimedOut,
        };
        let in_time = now_ms() < *pinned_until_ms;
        if arrived != *seal || !in_time {
            upstreams.commit(url, block, 0).await;
            return ImportResult::NotFound;
        }
        check(Invariant::BlockReadAsSealed, arrived == *seal, || block.0.clone());
        if upstreams.commit(url, block, import.tokens).await {
            ImportResult::Done
        } else {
            ImportResult::NotFound
        }
    }
}
