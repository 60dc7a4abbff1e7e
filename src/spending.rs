//! Calls under a ledger: each runs at most once, and is answered again from its line.

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
use crate::workers::{fingerprint, run};

/// How often a call looks whether the first one with its key has ended.
const WAIT_POLL: Duration = Duration::from_millis(10);

/// Runs a call under this incarnation's ledger.
pub(crate) async fn spend(kernel: &Arc<Kernel>, call: &Call) -> CallEnd {
    let fingerprint = fingerprint(call).0;
    loop {
        if now_ms() >= call.deadline_ms {
            // An earlier call with this key may still run.
            return CallEnd::unknown(Reason::DeadlinePassed);
        }
        let expires_at_ms = call.ticket_expires_at_ms;
        let begin = kernel.calls.ledger().begin(now_ms(), &call.key, fingerprint, expires_at_ms);
        match begin {
            CallDecision::Run => break,
            CallDecision::Wait => tokio::time::sleep(WAIT_POLL).await,
            begin => return end_of(begin),
        }
    }
    // The run goes on also when its caller hangs up, so that it gets its line.
    let (kernel, call) = (kernel.clone(), call.clone());
    let spent = tokio::spawn(async move {
        let _running = kernel.calls.count_running();
        let end = run(&kernel, &call, false).await;
        kernel.calls.ledger().record_outcome(&call.key, &end.outcome);
        end
    });
    spent.await.unwrap_or_else(|_| CallEnd::unknown(Reason::UpstreamFailed))
}

fn end_of(begin: CallDecision) -> CallEnd {
    match begin {
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

/// Answers from the ledger of a box that has stopped; it is closed, so that
/// nothing runs.
pub(crate) fn answer_as_heir(kernel: &Kernel, spender: &BoxRef, call: &Call) -> Option<CallEnd> {
    let mut inherited = locked(&kernel.calls.inherited_ledgers);
    let ledger = inherited.get_mut(spender)?;
    let begin = ledger.begin(now_ms(), &call.key, fingerprint(call).0, call.ticket_expires_at_ms);
    check(Invariant::SentOnce, begin != CallDecision::Run, || call.key.key.clone());
    Some(end_of(begin))
}
