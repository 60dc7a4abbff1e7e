//! Slot requests sent by a box, the slots that it holds, and its retry budget.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;

use tokio::sync::mpsc;

use crate::retry::RetryBudget;
use crate::slot_request::{SlotRequestId, SlotResponse};

/// A response to a slot request.
pub(crate) struct ReceivedResponse {
    /// Peer address of the dispatcher that sent it.
    pub(crate) from: String,
    pub(crate) response: SlotResponse,
}

/// Slot requests sent by this box, and the slots that it holds.
#[derive(Default)]
pub struct Placements {
    /// Channels for the responses to each slot request.
    pub(crate) response_senders: Mutex<BTreeMap<SlotRequestId, mpsc::Sender<ReceivedResponse>>>,
    /// Slots in use: dispatcher, model and slot request.
    pub(crate) held_slots: Mutex<BTreeSet<(String, String, SlotRequestId)>>,
    /// Time until which a dispatcher that did not respond is skipped.
    pub(crate) dispatcher_cooldowns: Mutex<BTreeMap<String, u64>>,
    /// Budget for retries.
    pub retries: Mutex<RetryBudget>,
}
