//! Calls to plain services, and the promise that some run at most once.
//!
//! A call with a ticket is run by the incarnation that gave the ticket, under
//! its ledger; any other box forwards it there (`forwarding`). When that incarnation cannot
//! be reached the outcome is unknown. When it has stopped as planned, its heir
//! answers from the ledger that it was given.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use log::info;
use tokio::sync::watch;

use crate::clock::now_ms;
use crate::forwarding::{Forwarding, forward, take_call};
use crate::invariant::{Invariant, check};
use crate::kernel::{Kernel, Plugin, Topic};
use crate::ledger::{Answer, Begin, CallKey, Ledger, Outcome};
use crate::phase::Phase;
use crate::refusal::{Reason, Refusal};
use crate::sync::locked;
use crate::ticket::{BoxRef, Ticket, TicketError};
use crate::wire::{Call, CallEnd, Envelope, Message};
use crate::workers::{Workers, run};

/// Time for which a ticket prefix may be used.
pub const TICKET_TTL_MS: u64 = 600_000;
/// How often a call looks whether the first one with its key has ended.
const WAIT_POLL: Duration = Duration::from_millis(10);
/// How often expired keys are forgotten.
const EXPIRE_PERIOD: Duration = Duration::from_secs(5);
/// Time to come back when the spender cannot be reached.
const UNREACHABLE_RETRY_MS: u64 = 2000;

inventory::submit! {
    Plugin { name: "calls", start, receive: Some((Topic::Calls, receive)) }
}

/// Ledgers, forwarded calls and the workers of plain services.
pub struct Calls {
    pub(crate) own: Mutex<Ledger>,
    pub(crate) inherited: Mutex<HashMap<BoxRef, Ledger>>,
    pub(crate) forwarding: Forwarding,
    /// The workers of plain services.
    pub workers: Workers,
    running: AtomicUsize,
    pub(crate) handover_taken: watch::Sender<Option<(BoxRef, BoxRef)>>,
}

impl Default for Calls {
    fn default() -> Self {
        Self {
            own: Mutex::default(),
            inherited: Mutex::default(),
            forwarding: Forwarding::default(),
            workers: Workers::default(),
            running: AtomicUsize::new(0),
            handover_taken: watch::Sender::new(None),
        }
    }
}

/// Counts a running call for as long as it lives.
pub(crate) struct Running<'a>(&'a AtomicUsize);

impl<'a> Running<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(count)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Calls {
    /// Counts a call that runs until the value is dropped.
    pub(crate) fn count_running(&self) -> Running<'_> {
        Running::new(&self.running)
    }

    pub(crate) fn ledger(&self) -> MutexGuard<'_, Ledger> {
        locked(&self.own)
    }

    /// Number of calls that have not ended.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.load(Ordering::Acquire)
    }

    /// Number of keys in the ledger.
    #[must_use]
    pub fn keys(&self) -> usize {
        self.ledger().len()
    }
}

/// A new ticket prefix for `account`.
#[must_use]
pub fn give_ticket(kernel: &Kernel, account: &str) -> (String, u64) {
    let ticket = Ticket {
        spender: kernel.me.clone(),
        expires_at_ms: now_ms() + TICKET_TTL_MS,
        serial: kernel.take_number(),
    };
    (ticket.seal(&kernel.settings.cluster_key, account), ticket.expires_at_ms)
}

/// Serves a call that its caller may repeat, or that has no key.
///
/// # Errors
/// Fails with a refusal that says whether it may have run.
pub async fn serve_plain(
    kernel: &Arc<Kernel>,
    call: &Call,
    repeatable: bool,
) -> Result<Answer, Refusal> {
    let _running = kernel.calls.count_running();
    let end = run(kernel, call, repeatable).await;
    answer_of(end)
}

/// Serves a call under its ticket.
///
/// # Errors
/// Fails with a refusal that says whether it may have run.
pub async fn serve_once(
    kernel: &Arc<Kernel>,
    mut call: Call,
    idempotency_key: &str,
) -> Result<Answer, Refusal> {
    let _running = kernel.calls.count_running();
    let key = &kernel.settings.cluster_key;
    let ticket = Ticket::open(key, &call.key.account, idempotency_key).map_err(bad_ticket)?;
    call.ticket_expires_at_ms = ticket.expires_at_ms;
    let end = if ticket.spender == kernel.me {
        spend(kernel, &call).await
    } else {
        forward(kernel, &ticket.spender, call).await
    };
    answer_of(end)
}

fn bad_ticket(error: TicketError) -> Refusal {
    info!(target: "calls", "Ticket refused: {error}.");
    Refusal::not_run(Reason::BadTicket)
}

fn answer_of(end: CallEnd) -> Result<Answer, Refusal> {
    let retry_at_ms = now_ms() + UNREACHABLE_RETRY_MS;
    match end.outcome {
        Outcome::Answered(answer) => Ok(answer),
        Outcome::Unknown => Err(Refusal::unknown(end.reason).retry_at(retry_at_ms)),
        Outcome::NotRun => Err(Refusal::not_run(end.reason).retry_at(retry_at_ms)),
    }
}

/// Runs a call under this incarnation's ledger.
pub(crate) async fn spend(kernel: &Arc<Kernel>, call: &Call) -> CallEnd {
    let fingerprint = fingerprint(call);
    loop {
        if now_ms() >= call.deadline_ms {
            // An earlier call with this key may still run.
            return CallEnd::unknown(Reason::DeadlinePassed);
        }
        let expires_at_ms = call.ticket_expires_at_ms;
        let begin = kernel.calls.ledger().begin(now_ms(), &call.key, fingerprint, expires_at_ms);
        match begin {
            Begin::Run => break,
            Begin::Wait => tokio::time::sleep(WAIT_POLL).await,
            begin => return end_of(begin),
        }
    }
    // The run goes on also when its caller hangs up, so that it gets its line.
    let (kernel, call) = (kernel.clone(), call.clone());
    let spent = tokio::spawn(async move {
        let _running = kernel.calls.count_running();
        let end = run(&kernel, &call, false).await;
        kernel.calls.ledger().finish(&call.key, &end.outcome);
        end
    });
    spent.await.unwrap_or_else(|_| CallEnd::unknown(Reason::UpstreamFailed))
}

fn end_of(begin: Begin) -> CallEnd {
    match begin {
        Begin::Replay(answer) => {
            CallEnd { outcome: Outcome::Answered(answer), reason: Reason::UpstreamFailed }
        }
        Begin::Unknown | Begin::Run | Begin::Wait => CallEnd::unknown(Reason::UpstreamFailed),
        Begin::Mismatch => CallEnd::not_run(Reason::KeyMismatch),
        Begin::Expired => CallEnd::unknown(Reason::TicketExpired),
        Begin::Full => CallEnd::not_run(Reason::TooManyKeys),
        Begin::Closed => CallEnd::not_run(Reason::Stopping),
    }
}

fn fingerprint(call: &Call) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in [&call.service, &call.method, &call.path] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(&call.body);
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}

/// Answers from the ledger of a box that has stopped; it is closed, so that
/// nothing runs.
pub(crate) fn answer_as_heir(kernel: &Kernel, spender: &BoxRef, call: &Call) -> Option<CallEnd> {
    let mut inherited = locked(&kernel.calls.inherited);
    let ledger = inherited.get_mut(spender)?;
    let begin = ledger.begin(now_ms(), &call.key, fingerprint(call), call.ticket_expires_at_ms);
    check(Invariant::SentOnce, begin != Begin::Run, || call.key.key.clone());
    Some(end_of(begin))
}

fn receive(kernel: &Arc<Kernel>, envelope: Envelope) {
    match envelope.message {
        Message::Call { number, spender, call } => {
            tokio::spawn(take_call(
                kernel.clone(),
                envelope.from,
                envelope.reply_to,
                number,
                spender,
                call,
            ));
        }
        Message::CallEnd { number, end } => {
            kernel.calls.forwarding.answered(number, end);
        }
        Message::Handover { of, ledger } => {
            info!(target: "calls", "Took over {} keys of {of}.", ledger.len());
            let mut inherited = locked(&kernel.calls.inherited);
            inherited.insert(of.clone(), *ledger);
            kernel.send(&envelope.reply_to, Message::HandoverTaken { of });
        }
        Message::HandoverTaken { of } => {
            kernel.calls.handover_taken.send_replace(Some((envelope.from, of)));
        }
        _ => {}
    }
}

fn start(kernel: &Arc<Kernel>) {
    let kernel = kernel.clone();
    tokio::spawn(async move {
        let mut ticks = tokio::time::interval(EXPIRE_PERIOD);
        while kernel.phase() != Phase::Stopped {
            ticks.tick().await;
            kernel.calls.ledger().expire(now_ms());
            kernel.calls.forwarding.expire(now_ms());
            let mut inherited = locked(&kernel.calls.inherited);
            for ledger in inherited.values_mut() {
                ledger.expire(now_ms());
            }
            inherited.retain(|_, ledger| !ledger.is_empty());
        }
    });
}

/// Names the key of a call that has none of its own.
#[must_use]
pub fn single_key(kernel: &Kernel, account: &str) -> CallKey {
    CallKey { account: account.to_owned(), key: format!("{}-{}", kernel.me, kernel.take_number()) }
}
