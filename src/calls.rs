//! Calls to plain services, and the promise that some run at most once.
//!
//! A call with a ticket is run by the incarnation that gave the ticket, under
//! its ledger (`spending`); any other box forwards it there (`forwarding`). When that incarnation cannot
//! be reached the outcome is unknown. When it has stopped as planned, its heir
//! answers from the ledger that it was given.

use std::sync::Arc;
use std::time::Duration;

use log::info;

use crate::box_phase::BoxPhase;
use crate::clock::now_ms;
use crate::forwarding::{forward, take_call};
use crate::kernel::{Kernel, Plugin, Topic};
use crate::ledger::{Answer, CallKey, Outcome};
use crate::refusal::{Reason, Refusal};
use crate::spending::spend;
use crate::sync::locked;
use crate::ticket::{Ticket, TicketError};
use crate::wire::{Call, CallEnd, Envelope, Message};
use crate::workers::run;

/// Time for which a ticket prefix may be used.
pub const TICKET_TTL_MS: u64 = 600_000;
/// How often expired keys are forgotten.
const EXPIRE_PERIOD: Duration = Duration::from_secs(5);
/// Time to come back when the spender cannot be reached.
const UNREACHABLE_RETRY_MS: u64 = 2000;

inventory::submit! {
    Plugin { name: "calls", start, receive: Some((Topic::Calls, receive)) }
}

/// A new ticket prefix for `account`.
#[must_use]
pub fn give_ticket(kernel: &Kernel, account: &str) -> (String, u64) {
    let ticket = Ticket {
        spender: kernel.box_id.clone(),
        expires_at_ms: now_ms() + TICKET_TTL_MS,
        serial: kernel.unique_number(),
    };
    (ticket.sign(&kernel.settings.cluster_key, account), ticket.expires_at_ms)
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
    let ticket = Ticket::verify(key, &call.key.account, idempotency_key).map_err(bad_ticket)?;
    call.ticket_expires_at_ms = ticket.expires_at_ms;
    let end = if ticket.spender == kernel.box_id {
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
    let retry_at_ms = end.retry_at_ms.unwrap_or_else(|| now_ms() + UNREACHABLE_RETRY_MS);
    match end.outcome {
        Outcome::Answered(answer) => Ok(answer),
        Outcome::Unknown => Err(Refusal::unknown(end.reason).retry_at(retry_at_ms)),
        Outcome::NotRun => Err(Refusal::not_run(end.reason).retry_at(retry_at_ms)),
    }
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
            kernel.calls.forwarded.deliver_answer(number, end);
        }
        Message::Handover { of, ledger } => {
            info!(target: "calls", "Took over {} keys of {of}.", ledger.len());
            let mut inherited = locked(&kernel.calls.inherited_ledgers);
            inherited.insert(of.clone(), *ledger);
            drop(inherited);
            if of == envelope.from {
                kernel.membership().inherit(now_ms(), &of);
            }
            kernel.send(&envelope.reply_to, Message::HandoverConfirmed { of });
        }
        Message::HandoverConfirmed { of } => {
            kernel.calls.handover_confirmed.send_replace(Some((envelope.from, of)));
        }
        _ => {}
    }
}

fn start(kernel: &Arc<Kernel>) {
    let kernel = kernel.clone();
    tokio::spawn(async move {
        let mut ticks = tokio::time::interval(EXPIRE_PERIOD);
        while kernel.phase() != BoxPhase::Stopped {
            ticks.tick().await;
            kernel.calls.ledger().expire(now_ms());
            kernel.calls.forwarded.expire(now_ms());
            let mut inherited = locked(&kernel.calls.inherited_ledgers);
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
    CallKey {
        account: account.to_owned(),
        key: format!("{}-{}", kernel.box_id, kernel.unique_number()),
    }
}
