//! Guard of a slot on an engine, held for one attempt.

use std::sync::Arc;

use crate::external::ModelEngines;
use crate::kernel::Kernel;
use crate::placing::HeldSlot;
use crate::slot_request::SlotEnd;

/// Releases a slot when dropped, also when the attempt is dropped at its deadline.
pub struct SlotGuard<'a> {
    kernel: &'a Arc<Kernel>,
    slot: Option<HeldSlot>,
    run_id: &'a str,
}

impl<'a> SlotGuard<'a> {
    /// Holds a slot for the run with id `run_id`.
    #[must_use]
    pub fn new(kernel: &'a Arc<Kernel>, slot: HeldSlot, run_id: &'a str) -> Self {
        Self { kernel, slot: Some(slot), run_id }
    }

    /// The slot.
    ///
    /// # Panics
    /// Panics when the slot was released.
    #[must_use]
    pub fn slot(&self) -> &HeldSlot {
        self.slot.as_ref().expect("the slot is held until it is released")
    }

    /// Releases the slot, and cancels its run if `end` says so; later calls have no effect.
    pub fn release(&mut self, generated_tokens: u32, end: SlotEnd) {
        let Some(slot) = self.slot.take() else {
            return;
        };
        if end == SlotEnd::Cancelled {
            let (kernel, run_id) = (self.kernel.clone(), self.run_id.to_owned());
            let url = slot.grant.url.clone();
            tokio::spawn(async move { kernel.upstreams.cancel(&url, &run_id).await });
        }
        slot.release(self.kernel, self.run_id, generated_tokens, end);
    }
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.release(0, SlotEnd::Cancelled);
    }
}
