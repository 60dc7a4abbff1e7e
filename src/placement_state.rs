//! Asks made from a box, the places that it holds, and what it may retry.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;

use tokio::sync::mpsc;

use crate::ask::{SlotRequestId, SlotResponse};
use crate::retry::RetryBudget;

/// A verdict that came in.
pub(crate) struct ReceivedResponse {
    /// Dispatcher that gave it.
    pub(crate) from: String,
    /// The verdict.
    pub(crate) response: SlotResponse,
}

/// Asks made from this box, and the places that it holds.
#[derive(Default)]
pub struct Placements {
    /// Where the verdicts on each ask go.
    pub(crate) response_senders: Mutex<BTreeMap<SlotRequestId, mpsc::Sender<ReceivedResponse>>>,
    /// Places in use: dispatcher, model and ask.
    pub(crate) held_slots: Mutex<BTreeSet<(String, String, SlotRequestId)>>,
    /// Until when each dispatcher that did not answer is passed over.
    pub(crate) dispatcher_cooldowns: Mutex<BTreeMap<String, u64>>,
    /// Budget for further attempts.
    pub retries: Mutex<RetryBudget>,
}
