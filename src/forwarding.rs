//! Forwards calls to the box that issued their ticket, or to the heir of its ledger.
//!
//! Messages may be lost, and this box may learn of an heir late, so a call is sent again
//! until it is answered, each time to the current holder of the ledger. It keeps its
//! number: the receiver does not start a call again that is still running there, nor one
//! that it has answered as not run. In all other cases it answers from the ledger.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::call_state::ReceivedCall;
use crate::clock::{instant_at, now_ms, now_us};
use crate::gossip::send_gossip;
use crate::kernel::Kernel;
use crate::ledger::Outcome;
use crate::refusal::Reason;
use crate::spending::{answer_from_inherited_ledger, run_at_most_once};
use crate::sync::locked;
use crate::ticket::BoxRef;
use crate::trace::Hop;
use crate::wire::{Call, CallEnd, Message};

/// Time after which a call is first sent again. It doubles each time, since the other box
/// may still be running the call.
const FIRST_RESEND_AFTER_MS: u64 = 500;
/// Maximum time to wait until the holder of a ticket's ledger is known. A starting box
/// requests the whole member table once a second.
const HEIR_LOOKUP_TIMEOUT_MS: u64 = 2000;
/// How often peers are queried for the heir.
const HEIR_QUERY_PERIOD_MS: u64 = 400;
/// How often the view is checked for the heir.
const HEIR_POLL_PERIOD: Duration = Duration::from_millis(100);
/// Unread messages about the end of a call that are buffered per call.
const END_BUFFER_LEN: usize = 4;

/// Forwards a call to the box `spender`, which issued its ticket, or to its heir.
pub async fn forward_call(kernel: &Arc<Kernel>, spender: &BoxRef, call: Call) -> CallEnd {
    let (started_at_us, trace) = (now_us(), call.trace);
    let number = kernel.unique_number();
    let (end_sender, ends) = mpsc::channel(END_BUFFER_LEN);
    locked(&kernel.calls.forwarded.end_senders).insert(number, end_sender);
    let end = forward_until_answered(kernel, spender, &call, number, ends).await;
    locked(&kernel.calls.forwarded.end_senders).remove(&number);
    kernel.span(trace, Hop::Spender, started_at_us, spender.to_string());
    end
}

async fn forward_until_answered(
    kernel: &Arc<Kernel>,
    spender: &BoxRef,
    call: &Call,
    number: u64,
    mut ends: mpsc::Receiver<CallEnd>,
) -> CallEnd {
    let unreachable = CallEnd::unknown(Reason::SpenderUnreachable);
    let lookup_deadline_ms = now_ms() + HEIR_LOOKUP_TIMEOUT_MS;
    let mut resend_after_ms = FIRST_RESEND_AFTER_MS;
    let mut query_at_ms = now_ms();
    while now_ms() < call.deadline_ms {
        let ledger_holder = kernel.membership().view().ledger_holder(spender).cloned();
        let end = match ledger_holder {
            Some(member) if member.id == kernel.box_id => {
                answer_from_inherited_ledger(kernel, spender, call)
            }
            Some(member) => {
                let (spender, call) = (spender.clone(), Box::new(call.clone()));
                let resend_at_ms = call.deadline_ms.min(now_ms() + resend_after_ms);
                kernel.send(&member.address, Message::Call { number, spender, call });
                resend_after_ms *= 2;
                let received = tokio::time::timeout_at(instant_at(resend_at_ms), ends.recv());
                match received.await {
                    Ok(end) => end,
                    Err(_) => continue,
                }
            }
            None => None,
        };
        match end {
            Some(end) if end != unreachable => return end,
            // No ledger holder is known, or the box that was tried does not hold the ledger:
            // this box may be about to learn of an heir.
            Some(_) | None if now_ms() < lookup_deadline_ms => {
                if now_ms() >= query_at_ms {
                    query_at_ms = now_ms() + HEIR_QUERY_PERIOD_MS;
                    let queries = kernel.membership().query_heirs(spender);
                    send_gossip(kernel, queries);
                }
                tokio::time::sleep(HEIR_POLL_PERIOD).await;
            }
            Some(_) | None => break,
        }
    }
    unreachable
}

/// Answers a call that the box `from`, which listens at `reply_to`, has forwarded. A
/// repeated message for a call that still runs here is ignored.
pub async fn handle_forwarded_call(
    kernel: Arc<Kernel>,
    from: BoxRef,
    reply_to: String,
    number: u64,
    spender: BoxRef,
    call: Box<Call>,
) {
    let _running = kernel.calls.count_running();
    let call_id = (from, number);
    let deadline_ms = call.deadline_ms;
    let earlier = {
        let mut received = locked(&kernel.calls.forwarded.received);
        let earlier = received.get(&call_id).map(|call| call.not_run.clone());
        received.entry(call_id.clone()).or_insert(ReceivedCall { not_run: None, deadline_ms });
        earlier
    };
    let end = match earlier {
        Some(None) => return,
        Some(Some(not_run)) => not_run,
        None if spender == kernel.box_id => run_at_most_once(&kernel, &call).await,
        None => answer_from_inherited_ledger(&kernel, &spender, &call)
            .unwrap_or_else(|| CallEnd::unknown(Reason::SpenderUnreachable)),
    };
    {
        let mut received = locked(&kernel.calls.forwarded.received);
        if end.outcome == Outcome::NotRun {
            received.insert(call_id, ReceivedCall { not_run: Some(end.clone()), deadline_ms });
        } else {
            received.remove(&call_id);
        }
    }
    kernel.send(&reply_to, Message::CallEnd { number, end });
}
