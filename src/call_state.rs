//! State of a box's calls to plain services: ledgers, forwarded calls, and workers.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};

use tokio::sync::{mpsc, watch};

use crate::inherited_ledgers::InheritedLedgers;
use crate::ledger::Ledger;
use crate::sync::locked;
use crate::ticket::BoxRef;
use crate::wire::CallEnd;

/// Ledgers, forwarded calls, and the availability of workers.
pub struct Calls {
    pub(crate) own_ledger: Mutex<Ledger>,
    /// Ledgers that stopped boxes have handed over to this one.
    pub(crate) inherited_ledgers: Mutex<InheritedLedgers>,
    pub(crate) forwarded: ForwardedCalls,
    /// Availability of the workers of plain services.
    pub workers: WorkerStates,
    running: AtomicUsize,
    /// Latest confirmation of a handover: the heir, and the box whose ledger it took.
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

/// Counts as a running call until it is dropped.
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
    /// Counts a running call until the guard is dropped.
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

    /// Number of keys in this box's own ledger.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.ledger().len()
    }
}

/// Calls that this box forwards to others, and calls that others forward to it.
#[derive(Default)]
pub struct ForwardedCalls {
    /// Channels for the ends of calls that this box forwards, by call number.
    pub(crate) end_senders: Mutex<HashMap<u64, mpsc::Sender<CallEnd>>>,
    /// Calls that other boxes have forwarded to this one, by box and call number.
    pub(crate) received: Mutex<HashMap<(BoxRef, u64), ReceivedCall>>,
}

/// A call that another box has forwarded to this one.
pub(crate) struct ReceivedCall {
    /// Result of a call that was not run; `None` while the call is in progress.
    pub(crate) not_run: Option<CallEnd>,
    /// When it may be removed: a call past its deadline would not be started again.
    pub(crate) deadline_ms: u64,
}

impl ForwardedCalls {
    /// Delivers the end of a forwarded call to the task that waits for it.
    pub fn deliver_end(&self, number: u64, end: CallEnd) {
        if let Some(sender) = locked(&self.end_senders).get(&number) {
            // Fails if the task has an earlier message about the end or has timed out; this one
            // is not needed then.
            let _ = sender.try_send(end);
        }
    }

    /// Removes calls that were not run and whose deadline has passed.
    pub fn expire(&self, now_ms: u64) {
        locked(&self.received)
            .retain(|_, call| call.not_run.is_none() || now_ms < call.deadline_ms);
    }
}

/// Availability of workers, by name.
#[derive(Default)]
pub struct WorkerStates {
    /// Time until which a worker that could not be reached is tried last.
    pub(crate) cooldown_until_ms: Mutex<BTreeMap<String, u64>>,
    /// Time until which a worker that refused a call has asked not to be called.
    pub(crate) unavailable_until_ms: Mutex<BTreeMap<String, u64>>,
    /// Counter for starting each call at the next worker.
    pub(crate) round_robin: AtomicUsize,
}
