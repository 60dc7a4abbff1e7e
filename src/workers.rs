//! Selects workers of plain services and sends them calls.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::clock::{now_ms, now_us};
use crate::crashes::{record_abort, record_answered, withheld_until_ms};
use crate::external::{PlainServices, WorkerReply};
use crate::fingerprint::Fingerprint;
use crate::invariant::{Invariant, check};
use crate::kernel::Kernel;
use crate::ledger::Outcome;
use crate::names::short_id;
use crate::refusal::Reason;
use crate::request_content::RequestContent;
use crate::settings::UpstreamKind;
use crate::sync::locked;
use crate::trace::Hop;
use crate::wire::{Call, CallEnd};

/// Time for which a worker that could not be reached is tried last.
const WORKER_COOLDOWN_MS: u64 = 1000;

/// Sends a call to a worker. It is sent to another one only if no byte of it was sent to
/// the first, or if the call is repeatable.
pub async fn call_worker(kernel: &Arc<Kernel>, call: &Call, repeatable: bool) -> CallEnd {
    let workers = select_workers(kernel, &call.service);
    let mut sent = 0;
    let content = RequestContent {
        fingerprint: call_fingerprint(call),
        account: short_id(&call.key.account),
        parts: Arc::default(),
    };
    let mut end = match workers.retry_at_ms {
        Some(until_ms) if workers.ready.is_empty() => {
            CallEnd::not_run(Reason::UpstreamsRest).retry_at(until_ms)
        }
        Some(_) | None => CallEnd::not_run(Reason::NoUpstream),
    };
    for (name, url) in workers.ready {
        if now_ms() >= call.deadline_ms {
            break;
        }
        if let Some(until_ms) = withheld_until_ms(kernel, &content) {
            if sent == 0 {
                end = CallEnd::not_run(Reason::Quarantined).retry_at(until_ms);
            }
            break;
        }
        let may_send = repeatable || sent == 0;
        if !check(Invariant::SentOnce, may_send, || call.key.key.clone()) {
            break;
        }
        let (started_at_us, sent_at_ms) = (now_us(), now_ms());
        let WorkerReply { outcome, retry_after_ms } = kernel.upstreams.call(&url, call).await;
        if let Some(retry_after_ms) = retry_after_ms {
            locked(&kernel.calls.workers.unavailable_until_ms)
                .insert(name.clone(), now_ms() + retry_after_ms);
        }
        let note = format!("{} {} on {name}", call.method, call.path);
        kernel.span(call.trace, Hop::Upstream, started_at_us, note);
        sent += u32::from(outcome != Outcome::NotRun);
        match outcome {
            Outcome::Answered(answer) => {
                record_answered(kernel, &content);
                return CallEnd::answered(answer);
            }
            Outcome::NotRun => start_cooldown(kernel, name),
            Outcome::Unknown => {
                record_abort(kernel, &name, &url, &content, sent_at_ms).await;
                end = CallEnd::unknown(Reason::UpstreamFailed);
                let budget = &kernel.placements.retries;
                let may_repeat = repeatable && locked(budget).spend();
                if !may_repeat {
                    break;
                }
            }
        }
    }
    let is_true = end.outcome != Outcome::NotRun || sent == 0;
    if !check(Invariant::NotRunIsTrue, is_true, || call.key.key.clone()) {
        return CallEnd::unknown(end.reason);
    }
    end
}

/// Fingerprint of a call's content, without its key.
#[must_use]
pub fn call_fingerprint(call: &Call) -> Fingerprint {
    Fingerprint::new(&call.key.account, &[&call.service, &call.method, &call.path], &call.body)
}

/// The workers of a service that a call may be sent to.
struct WorkerCandidates {
    /// Names and URLs of the workers that accept calls, in the order to try them.
    ready: Vec<(String, String)>,
    /// When the first of the other workers accepts calls again.
    retry_at_ms: Option<u64>,
}

/// Selects the workers of a service in round-robin order, with those on cooldown last.
/// Workers that declined a call for a while, or are leaving, are left out.
fn select_workers(kernel: &Kernel, service: &str) -> WorkerCandidates {
    let config = kernel.configuration.current();
    let cooldowns = locked(&kernel.calls.workers.cooldown_until_ms);
    let now_ms = now_ms();
    let of_service = kernel.settings.upstreams.iter().filter(|upstream| match &upstream.kind {
        UpstreamKind::Service { service: name, .. } => name == service,
        UpstreamKind::Engine(_) | UpstreamKind::Store(_) => false,
    });
    let not_leaving = of_service.filter(|upstream| !config.state.leaving.contains(&upstream.name));
    let all: Vec<_> = not_leaving.map(|worker| (worker.name.clone(), worker.url.clone())).collect();
    let unavailable = locked(&kernel.calls.workers.unavailable_until_ms);
    let unavailable_until_ms =
        |name: &str| unavailable.get(name).copied().filter(|until_ms| now_ms < *until_ms);
    let (skipped, all): (Vec<_>, Vec<_>) =
        all.into_iter().partition(|(name, _)| unavailable_until_ms(name).is_some());
    let is_available =
        |name: &String| cooldowns.get(name).is_none_or(|until_ms| *until_ms <= now_ms);
    let (mut ready, on_cooldown): (Vec<_>, Vec<_>) =
        all.into_iter().partition(|(name, _)| is_available(name));
    if !ready.is_empty() {
        let offset = kernel.calls.workers.round_robin.fetch_add(1, Ordering::Relaxed) % ready.len();
        ready.rotate_left(offset);
    }
    ready.extend(on_cooldown);
    let retry_at_ms = skipped.iter().filter_map(|(name, _)| unavailable_until_ms(name)).min();
    WorkerCandidates { ready, retry_at_ms }
}

fn start_cooldown(kernel: &Kernel, worker: String) {
    let until_ms = now_ms() + WORKER_COOLDOWN_MS;
    locked(&kernel.calls.workers.cooldown_until_ms).insert(worker, until_ms);
}

/// Whether calls to `path` of `service` may be repeated; `None` if the service does not
/// exist.
#[must_use]
pub fn is_repeatable(kernel: &Kernel, service: &str, path: &str) -> Option<bool> {
    kernel.settings.upstreams.iter().find_map(|upstream| match &upstream.kind {
        UpstreamKind::Service { service: name, repeatable } if name == service => {
            Some(repeatable.iter().any(|prefix| path.starts_with(prefix.as_str())))
        }
        _ => None,
    })
}
