//! Calls to plain services, some of which run at most once.
//!
//! A call with a ticket is run by the box incarnation that issued the ticket, its
//! spender, and is recorded in the ledger there (`spending`). Any other box forwards the
//! call to it (`forwarding`). If the spender cannot be reached, the outcome is unknown.
//! After a planned stop, its heir, a peer that took over the ledger, answers from it.

use std::sync::Arc;
use std::time::Duration;

use log::info;

use crate::box_phase::BoxPhase;
use crate::clock::now_ms;
use crate::forwarding::{forward_call, handle_forwarded_call};
use crate::kernel::{Kernel, Plugin, Topic};
use crate::ledger::{Answer, CallKey, Ledger, Outcome};
use crate::refusal::{Reason, Refusal};
use crate::spending::run_at_most_once;
use crate::supervisor;
use crate::sync::locked;
use crate::ticket::{BoxRef, Ticket, TicketError};
use crate::wire::{Call, CallEnd, Envelope, Message};
use crate::workers::call_worker;

/// Lifetime of a ticket prefix, in milliseconds.
pub const TICKET_TTL_MS: u64 = 600_000;
/// How often expired keys are removed.
const EXPIRE_PERIOD: Duration = Duration::from_secs(5);
/// Time after which the caller may retry if no other time is known.
const UNREACHABLE_RETRY_MS: u64 = 2000;

inventory::submit! {
    Plugin { name: "calls", start, receive: Some((Topic::Calls, receive)) }
}

/// Issues a ticket prefix for `account`, and returns it with its expiry time.
#[must_use]
pub fn issue_ticket(kernel: &Kernel, account: &str) -> (String, u64) {
    let ticket = Ticket {
        spender: kernel.box_id.clone(),
        expires_at_ms: now_ms() + TICKET_TTL_MS,
        serial: kernel.unique_number(),
    };
    (ticket.sign(&kernel.settings.cluster_key, account), ticket.expires_at_ms)
}

/// Serves a call that is repeatable or has no key.
///
/// # Errors
/// Fails with a refusal that says whether the call may have run.
pub async fn serve_without_ticket(
    kernel: &Arc<Kernel>,
    call: &Call,
    repeatable: bool,
) -> Result<Answer, Refusal> {
    let _running = kernel.calls.count_running();
    let end = call_worker(kernel, call, repeatable).await;
    into_answer(end)
}

/// Serves a call that runs at most once, under the ticket in its key.
///
/// # Errors
/// Fails with a refusal that says whether the call may have run.
pub async fn serve_at_most_once(
    kernel: &Arc<Kernel>,
    mut call: Call,
    idempotency_key: &str,
) -> Result<Answer, Refusal> {
    let _running = kernel.calls.count_running();
    let key = &kernel.settings.cluster_key;
    let ticket = Ticket::verify(key, &call.key.account, idempotency_key).map_err(ticket_refusal)?;
    call.ticket_expires_at_ms = ticket.expires_at_ms;
    let end = if ticket.spender == kernel.box_id {
        run_at_most_once(kernel, &call).await
    } else {
        forward_call(kernel, &ticket.spender, call).await
    };
    into_answer(end)
}

fn ticket_refusal(error: TicketError) -> Refusal {
    info!(target: "calls", "Ticket rejected: {error}.");
    Refusal::not_run(Reason::BadTicket)
}

fn into_answer(end: CallEnd) -> Result<Answer, Refusal> {
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
            tokio::spawn(handle_forwarded_call(
                kernel.clone(),
                envelope.from,
                envelope.reply_to,
                number,
                spender,
                call,
            ));
        }
        Message::CallEnd { number, end } => {
            kernel.calls.forwarded.deliver_end(number, end);
        }
        Message::Handover { of, ledger } => {
            accept_ledger(kernel, &envelope.from, &envelope.reply_to, of, *ledger);
        }
        Message::HandoverConfirmed { of } => {
            kernel.calls.handover_confirmed.send_replace(Some((envelope.from, of)));
        }
        _ => {}
    }
}

/// Takes over a ledger that the leaving box `from` holds, and confirms it. A box that hands its own
/// ledgers over does not confirm, so that the leaving box tries another heir.
fn accept_ledger(kernel: &Kernel, from: &BoxRef, reply_to: &str, of: BoxRef, ledger: Ledger) {
    let keys = ledger.len();
    if !locked(&kernel.calls.inherited_ledgers).accept(of.clone(), ledger) {
        return info!(target: "calls", "Did not take over the ledger of {of}: this box is stopping.");
    }
    info!(target: "calls", "Took over the ledger of {of} with {keys} keys.");
    // The own ledger comes last: with it, this box has all ledgers of the leaving box.
    if of == *from {
        kernel.membership().record_inheritance(now_ms(), from);
    }
    kernel.send(reply_to, Message::HandoverConfirmed { of });
}

fn start(kernel: &Arc<Kernel>) {
    let kernel = kernel.clone();
    supervisor::spawn("calls", move || {
        let kernel = kernel.clone();
        async move {
            let mut ticks = tokio::time::interval(EXPIRE_PERIOD);
            while kernel.phase() != BoxPhase::Stopped {
                ticks.tick().await;
                kernel.calls.ledger().expire(now_ms());
                kernel.calls.forwarded.expire(now_ms());
                locked(&kernel.calls.inherited_ledgers).expire(now_ms());
            }
        }
    });
}

/// Generates a key for a call whose caller gave none.
#[must_use]
pub fn generate_key(kernel: &Kernel, account: &str) -> CallKey {
    CallKey {
        account: account.to_owned(),
        key: format!("{}-{}", kernel.box_id, kernel.unique_number()),
    }
}
