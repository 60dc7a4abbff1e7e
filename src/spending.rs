//! Runs calls at most once: each is recorded in the ledger, from which a repeated call is
//! answered.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::now_ms;
use crate::invariant::{Invariant, check};
use crate::kernel::Kernel;
use crate::ledger::CallDecision;
use crate::refusal::Reason;
use crate::sync::locked;
use crate::ticket::BoxRef;
use crate::wire::{Call, CallEnd};
use crate::workers::{call_fingerprint, call_worker};

/// How often a call checks whether the first call with its key has ended.
const WAIT_POLL_PERIOD: Duration = Duration::from_millis(10);

/// Runs a call unless the ledger of this incarnation has its key already.
pub(crate) async fn run_at_most_once(kernel: &Arc<Kernel>, call: &Call) -> CallEnd {
    let fingerprint = call_fingerprint(call).0;
    loop {
        if now_ms() >= call.deadline_ms {
            // An earlier call with this key may still be running.
            return CallEnd::unknown(Reason::DeadlinePassed);
        }
        let expires_at_ms = call.ticket_expires_at_ms;
        let decision =
            kernel.calls.ledger().try_spend_key(now_ms(), &call.key, fingerprint, expires_at_ms);
        match decision {
            CallDecision::Run => break,
            CallDecision::Wait => tokio::time::sleep(WAIT_POLL_PERIOD).await,
            decision => return call_end(decision),
        }
    }
    // The call runs in its own task, so that its outcome is recorded even if the caller
    // disconnects.
    let (kernel, call) = (kernel.clone(), call.clone());
    let run = tokio::spawn(async move {
        let _running = kernel.calls.count_running();
        let end = call_worker(&kernel, &call, false).await;
        kernel.calls.ledger().record_outcome(&call.key, &end.outcome);
        end
    });
    run.await.unwrap_or_else(|_| CallEnd::unknown(Reason::UpstreamFailed))
}

fn call_end(decision: CallDecision) -> CallEnd {
    match decision {
        CallDecision::Replay(answer) => CallEnd::answered(answer),
        CallDecision::Unknown | CallDecision::Run | CallDecision::Wait => {
            CallEnd::unknown(Reason::UpstreamFailed)
        }
        CallDecision::Mismatch => CallEnd::not_run(Reason::KeyMismatch),
        CallDecision::Expired => CallEnd::unknown(Reason::TicketExpired),
        CallDecision::Full => CallEnd::not_run(Reason::TooManyKeys),
        CallDecision::Closed => CallEnd::not_run(Reason::Stopping),
    }
}

/// Answers from the inherited ledger of a stopped box, if this box has it. The ledger is
/// closed, so that no call runs.
pub(crate) fn answer_from_inherited_ledger(
    kernel: &Kernel,
    spender: &BoxRef,
    call: &Call,
) -> Option<CallEnd> {
    let mut inherited = locked(&kernel.calls.inherited_ledgers);
    let ledger = inherited.get_mut(spender)?;
    let decision = ledger.try_spend_key(
        now_ms(),
        &call.key,
        call_fingerprint(call).0,
        call.ticket_expires_at_ms,
    );
    check(Invariant::SentOnce, decision != CallDecision::Run, || call.key.key.clone());
    Some(call_end(decision))
}
