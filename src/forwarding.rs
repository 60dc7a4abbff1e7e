//! Calls that another box must answer: the one that gave their ticket, or its heir.
//!
//! A message may be lost, and news of an heir come late, so a call is sent again until
//! it is answered, to whoever answers for the ticket by then. It keeps its number: the
//! other box does not begin a call again that is under way there, nor one of which it
//! has said that it has not run. All else it answers from the ledger.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::call_state::ReceivedCall;
use crate::clock::{instant_at, now_ms, now_us};
use crate::gossip::send_gossip;
use crate::kernel::Kernel;
use crate::ledger::Outcome;
use crate::refusal::Reason;
use crate::spending::{answer_as_heir, spend};
use crate::sync::locked;
use crate::ticket::BoxRef;
use crate::trace::Hop;
use crate::wire::{Call, CallEnd, Message};

/// Time after which a call is sent again; each next time is twice as long, since the
/// other box may be at work on it.
const RESEND_AFTER_MS: u64 = 500;
/// Time in which news of who answers for a ticket is waited for: a box that starts
/// asks for all of it once a second.
const NEWS_TIMEOUT_MS: u64 = 2000;
/// How often some peers are asked for it.
const NEWS_ASK_PERIOD_MS: u64 = 400;
/// How often that is looked for.
const NEWS_POLL: Duration = Duration::from_millis(100);
/// Answers to one call that may wait to be read.
const ANSWERS_LEN: usize = 4;

/// Forwards a call to the box that may spend its ticket, or to its heir.
pub async fn forward(kernel: &Arc<Kernel>, spender: &BoxRef, call: Call) -> CallEnd {
    let (began_at_us, trace) = (now_us(), call.trace);
    let number = kernel.unique_number();
    let (waiting, answers) = mpsc::channel(ANSWERS_LEN);
    locked(&kernel.calls.forwarded.answer_senders).insert(number, waiting);
    let end = forward_until_answered(kernel, spender, &call, number, answers).await;
    locked(&kernel.calls.forwarded.answer_senders).remove(&number);
    kernel.span(trace, Hop::Spender, began_at_us, spender.to_string());
    end
}

async fn forward_until_answered(
    kernel: &Arc<Kernel>,
    spender: &BoxRef,
    call: &Call,
    number: u64,
    mut answers: mpsc::Receiver<CallEnd>,
) -> CallEnd {
    let unreachable = CallEnd::unknown(Reason::SpenderUnreachable);
    let news_deadline_ms = now_ms() + NEWS_TIMEOUT_MS;
    let mut resend_after_ms = RESEND_AFTER_MS;
    let mut ask_at_ms = now_ms();
    while now_ms() < call.deadline_ms {
        let found = kernel.membership().view().ledger_holder(spender).cloned();
        let end = match found {
            Some(member) if member.id == kernel.box_id => answer_as_heir(kernel, spender, call),
            Some(member) => {
                let (spender, call) = (spender.clone(), Box::new(call.clone()));
                let resend_at_ms = call.deadline_ms.min(now_ms() + resend_after_ms);
                kernel.send(&member.address, Message::Call { number, spender, call });
                resend_after_ms *= 2;
                let answer = tokio::time::timeout_at(instant_at(resend_at_ms), answers.recv());
                match answer.await {
                    Ok(end) => end,
                    Err(_) => continue,
                }
            }
            None => None,
        };
        match end {
            Some(end) if end != unreachable => return end,
            // Nobody is known to answer, or the box asked does not: news may be due.
            Some(_) | None if now_ms() < news_deadline_ms => {
                if now_ms() >= ask_at_ms {
                    ask_at_ms = now_ms() + NEWS_ASK_PERIOD_MS;
                    let asked = kernel.membership().ask_heirs(spender);
                    send_gossip(kernel, asked);
                }
                tokio::time::sleep(NEWS_POLL).await;
            }
            Some(_) | None => break,
        }
    }
    unreachable
}

/// Answers a call that the box `from`, which listens at `reply_to`, has forwarded.
pub async fn take_call(
    kernel: Arc<Kernel>,
    from: BoxRef,
    reply_to: String,
    number: u64,
    spender: BoxRef,
    call: Box<Call>,
) {
    let _running = kernel.calls.count_running();
    let name = (from, number);
    let deadline_ms = call.deadline_ms;
    let known = {
        let mut received = locked(&kernel.calls.forwarded.received);
        let known = received.get(&name).map(|call| call.not_run.clone());
        received.entry(name.clone()).or_insert(ReceivedCall { not_run: None, deadline_ms });
        known
    };
    let end = match known {
        Some(None) => return,
        Some(Some(not_run)) => not_run,
        None if spender == kernel.box_id => spend(&kernel, &call).await,
        None => answer_as_heir(&kernel, &spender, &call)
            .unwrap_or_else(|| CallEnd::unknown(Reason::SpenderUnreachable)),
    };
    {
        let mut received = locked(&kernel.calls.forwarded.received);
        if end.outcome == Outcome::NotRun {
            received.insert(name, ReceivedCall { not_run: Some(end.clone()), deadline_ms });
        } else {
            received.remove(&name);
        }
    }
    kernel.send(&reply_to, Message::CallEnd { number, end });
}
