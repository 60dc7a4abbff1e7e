//! What a box knows of calls: ledgers, calls forwarded, and workers.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};

use tokio::sync::{mpsc, watch};

use crate::ledger::Ledger;
use crate::sync::locked;
use crate::ticket::BoxRef;
use crate::wire::CallEnd;

/// Ledgers, forwarded calls and the workers of plain services.
pub struct Calls {
    pub(crate) own_ledger: Mutex<Ledger>,
    pub(crate) inherited_ledgers: Mutex<HashMap<BoxRef, Ledger>>,
    pub(crate) forwarded: ForwardedCalls,
    /// The workers of plain services.
    pub workers: WorkerStates,
    running: AtomicUsize,
    pub(crate) handover_confirmed: watch::Sender<Option<(BoxRef, BoxRef)>>,
}

impl Default for Calls {
    fn default() -> Self {
        Self {
            own_ledger: Mutex::default(),
            inherited_ledgers: Mutex::default(),
            forwarded: ForwardedCalls::default(),
            workers: WorkerStates::default(),
            running: AtomicUsize::new(0),
            handover_confirmed: watch::Sender::new(None),
        }
    }
}

/// Counts a running call for as long as it lives.
pub(crate) struct RunningCall<'a>(&'a AtomicUsize);

impl<'a> RunningCall<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(count)
    }
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Calls {
    /// Counts a call that runs until the value is dropped.
    pub(crate) fn count_running(&self) -> RunningCall<'_> {
        RunningCall::new(&self.running)
    }

    pub(crate) fn ledger(&self) -> MutexGuard<'_, Ledger> {
        locked(&self.own_ledger)
    }

    /// Number of calls that have not ended.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.running.load(Ordering::Acquire)
    }

    /// Number of keys in the ledger.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.ledger().len()
    }
}

/// Calls forwarded to other boxes, and by them to this one.
#[derive(Default)]
pub struct ForwardedCalls {
    /// Where the answers to calls forwarded go, by the number of the call.
    pub(crate) answer_senders: Mutex<HashMap<u64, mpsc::Sender<CallEnd>>>,
    /// Calls that other boxes forwarded, by box and number.
    pub(crate) received: Mutex<HashMap<(BoxRef, u64), ReceivedCall>>,
}

/// A call that another box forwarded.
pub(crate) struct ReceivedCall {
    /// How it ended, if it has not run; none while it is under way.
    pub(crate) not_run: Option<CallEnd>,
    /// When it may be forgotten, since it would not be begun again.
    pub(crate) deadline_ms: u64,
}

impl ForwardedCalls {
    /// Takes the answer to a forwarded call.
    pub fn deliver_answer(&self, number: u64, end: CallEnd) {
        if let Some(sender) = locked(&self.answer_senders).get(&number) {
            // A caller that has its answer, or has given up, does not read this one.
            let _ = sender.try_send(end);
        }
    }

    /// Forgets calls past their deadline.
    pub fn expire(&self, now_ms: u64) {
        locked(&self.received)
            .retain(|_, call| call.not_run.is_none() || now_ms < call.deadline_ms);
    }
}

/// What this box knows of the workers.
#[derive(Default)]
pub struct WorkerStates {
    /// Until when each worker that could not be reached is left alone.
    pub(crate) cooldown_until_ms: Mutex<BTreeMap<String, u64>>,
    /// Until when each worker that turned a call away wants no other.
    pub(crate) unavailable_until_ms: Mutex<BTreeMap<String, u64>>,
    /// Counts calls, so that each begins at another worker.
    pub(crate) round_robin: AtomicUsize,
}
