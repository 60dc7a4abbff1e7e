//! Asks made from a box, the places that it holds, and what it may retry.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;

use tokio::sync::mpsc;

use crate::ask::{SlotRequestId, SlotResponse};
use crate::retry::RetryBudget;

/// A verdict that came in.
pub(crate) struct Heard {
    /// Dispatcher that gave it.
    pub(crate) from: String,
    /// The verdict.
    pub(crate) verdict: SlotResponse,
}

/// Asks made from this box, and the places that it holds.
#[derive(Default)]
pub struct Placing {
    /// Where the verdicts on each ask go.
    pub(crate) inboxes: Mutex<BTreeMap<SlotRequestId, mpsc::Sender<Heard>>>,
    /// Places in use: dispatcher, model and ask.
    pub(crate) held: Mutex<BTreeSet<(String, String, SlotRequestId)>>,
    /// Until when each dispatcher that did not answer is passed over.
    pub(crate) passed_over: Mutex<BTreeMap<String, u64>>,
    /// Budget for further attempts.
    pub retries: Mutex<RetryBudget>,
}
