//! Forwards calls to the box that issued their ticket, or to the heir of its ledger.
//!
//! Messages may be lost, and this box may learn of an heir late, so a call is sent again
//! until it is answered, each time to the current holder of the ledger, while peers are
//! asked for its heir. What membership says of the holder's health only limits how long
//! that goes on. The call keeps its number: the receiver does not start a call again that
//! is still running there, nor one that it has answered as not run. In all other cases it
//! answers from the ledger.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::sync::mpsc;

use crate::call_state::ReceivedCall;
use crate::clock::{instant_at, now_ms, now_us};
use crate::gossip::send_gossip;
use crate::kernel::Kernel;
use crate::ledger::Outcome;
use crate::member::Health;
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
    let mut queries = HeirQueries { kernel, spender, next_at_ms: now_ms() };
    while now_ms() < call.deadline_ms {
        let ledger_holder = kernel.membership().view().ledger_holder(spender).cloned();
        let mut is_considered_alive = false;
        let end = match ledger_holder {
            Some(holder) if holder.id == kernel.box_id => {
                answer_from_inherited_ledger(kernel, spender, call)
            }
            Some(holder) => {
                is_considered_alive = holder.health != Health::Dead;
                let wait_ms = if is_considered_alive {
                    let wait_ms = resend_after_ms;
                    resend_after_ms *= 2;
                    wait_ms
                } else {
                    // It may be running, or have an heir that this box does not know.
                    queries.send_if_due();
                    HEIR_QUERY_PERIOD_MS
                };
                let resend_at_ms = call.deadline_ms.min(now_ms() + wait_ms);
                let message = Message::Call {
                    number,
                    spender: spender.clone(),
                    call: Box::new(call.clone()),
                };
                kernel.send(&holder.address, message);
                let end = tokio::time::timeout_at(instant_at(resend_at_ms), ends.recv());
                end.await.unwrap_or_default()
            }
            None => None,
        };
        // A box that has not answered yet may be running the call.
        let may_be_running = is_considered_alive && end.is_none();
        match end {
            Some(end) if end != unreachable => return end,
            Some(_) | None => queries.send_if_due(),
        }
        if may_be_running {
            continue;
        }
        if now_ms() >= lookup_deadline_ms {
            break;
        }
        tokio::time::sleep(HEIR_POLL_PERIOD).await;
    }
    log_undelivered(kernel, spender, call);
    unreachable
}

/// Queries of peers for the heir of a ledger's holder, at most one for each
/// [`HEIR_QUERY_PERIOD_MS`].
struct HeirQueries<'a> {
    kernel: &'a Kernel,
    spender: &'a BoxRef,
    next_at_ms: u64,
}

impl HeirQueries<'_> {
    fn send_if_due(&mut self) {
        if now_ms() < self.next_at_ms {
            return;
        }
        self.next_at_ms = now_ms() + HEIR_QUERY_PERIOD_MS;
        let queries = self.kernel.membership().query_heirs(self.spender);
        send_gossip(self.kernel, queries);
    }
}

/// Logs what this box knows of the heirs of a ledger whose holder it has not found.
fn log_undelivered(kernel: &Kernel, spender: &BoxRef, call: &Call) {
    let membership = kernel.membership();
    let chain = membership.view().heir_chain(spender);
    let chain: Vec<String> = chain
        .into_iter()
        .map(|member| format!("{} {:?} heir {:?}", member.id, member.health, member.heir))
        .collect();
    info!(target: "calls", "Call {} not delivered to the holder of the ledger of {spender}; heirs known: [{}].",
        call.key.key, chain.join(", "));
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
