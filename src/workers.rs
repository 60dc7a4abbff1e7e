//! The workers of plain services, and one call at them.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::clock::{now_ms, now_us};
use crate::crashes::{note_answered, note_broken_off, quarantined_until_ms};
use crate::external::{PlainServices, WorkerReply};
use crate::fingerprint::Fingerprint;
use crate::invariant::{Invariant, check};
use crate::kernel::Kernel;
use crate::ledger::Outcome;
use crate::refusal::Reason;
use crate::settings::UpstreamKind;
use crate::sync::locked;
use crate::trace::Hop;
use crate::wire::{Call, CallEnd};

/// Time for which a worker that could not be reached is left alone.
const WORKER_COOLDOWN_MS: u64 = 1000;

/// Runs a call at a worker. It goes to a second one only when no byte of it
/// has left for the first, or when it may be repeated.
pub async fn run(kernel: &Arc<Kernel>, call: &Call, repeatable: bool) -> CallEnd {
    let workers = workers(kernel, &call.service);
    let mut sent = 0;
    let fingerprint = fingerprint(call);
    let mut end = match workers.rest_until_ms {
        Some(until_ms) if workers.ready.is_empty() => {
            CallEnd::not_run(Reason::UpstreamsRest).retry_at(until_ms)
        }
        Some(_) | None => CallEnd::not_run(Reason::NoUpstream),
    };
    for (name, url) in workers.ready {
        if now_ms() >= call.deadline_ms {
            break;
        }
        if let Some(until_ms) = quarantined_until_ms(kernel, fingerprint) {
            if sent == 0 {
                end = CallEnd::not_run(Reason::Quarantined).retry_at(until_ms);
            }
            break;
        }
        let first = repeatable || sent == 0;
        if !check(Invariant::SentOnce, first, || call.key.key.clone()) {
            break;
        }
        let began_at_us = now_us();
        let WorkerReply { outcome, retry_after_ms } = kernel.upstreams.call(&url, call).await;
        if let Some(retry_after_ms) = retry_after_ms {
            locked(&kernel.calls.workers.unavailable_until_ms)
                .insert(name.clone(), now_ms() + retry_after_ms);
        }
        let note = format!("{} {} on {name}", call.method, call.path);
        kernel.span(call.trace, Hop::Upstream, began_at_us, note);
        sent += u32::from(outcome != Outcome::NotRun);
        match outcome {
            Outcome::Answered(answer) => {
                note_answered(kernel, fingerprint);
                return CallEnd::answered(answer);
            }
            Outcome::NotRun => cool_down(kernel, name),
            Outcome::Unknown => {
                note_broken_off(kernel, &name, &url, fingerprint).await;
                end = CallEnd::unknown(Reason::UpstreamFailed);
                let budget = &kernel.placements.retries;
                let may_repeat = repeatable && locked(budget).spend();
                if !may_repeat {
                    break;
                }
            }
        }
    }
    let honest = end.outcome != Outcome::NotRun || sent == 0;
    if !check(Invariant::NotRunIsTrue, honest, || call.key.key.clone()) {
        return CallEnd::unknown(end.reason);
    }
    end
}

/// What a call asks, whatever its key.
#[must_use]
pub fn fingerprint(call: &Call) -> Fingerprint {
    Fingerprint::new(&call.key.account, &[&call.service, &call.method, &call.path], &call.body)
}

/// The workers of a service.
struct Workers {
    /// Names and addresses of those that may be called, in the order to try them.
    ready: Vec<(String, String)>,
    /// When the first of the others may be called again.
    rest_until_ms: Option<u64>,
}

/// Workers of a service that take work, another one first each time.
fn workers(kernel: &Kernel, service: &str) -> Workers {
    let config = kernel.configuration.current();
    let cooldowns = locked(&kernel.calls.workers.cooldown_until_ms);
    let now_ms = now_ms();
    let own = kernel.settings.upstreams.iter().filter(|upstream| match &upstream.kind {
        UpstreamKind::Service { service: name, .. } => name == service,
        UpstreamKind::Engine(_) | UpstreamKind::Store(_) => false,
    });
    let staying = own.filter(|upstream| !config.state.leaving.contains(&upstream.name));
    let all: Vec<_> = staying.map(|one| (one.name.clone(), one.url.clone())).collect();
    let rests = locked(&kernel.calls.workers.unavailable_until_ms);
    let rest_until_ms = |name: &str| rests.get(name).copied().filter(|until_ms| now_ms < *until_ms);
    let (resting, all): (Vec<_>, Vec<_>) =
        all.into_iter().partition(|(name, _)| rest_until_ms(name).is_some());
    let cooled = |name: &String| cooldowns.get(name).is_none_or(|until_ms| *until_ms <= now_ms);
    let (mut ready, cooling): (Vec<_>, Vec<_>) =
        all.into_iter().partition(|(name, _)| cooled(name));
    if !ready.is_empty() {
        let turn = kernel.calls.workers.round_robin.fetch_add(1, Ordering::Relaxed) % ready.len();
        ready.rotate_left(turn);
    }
    ready.extend(cooling);
    let rest_until_ms = resting.iter().filter_map(|(name, _)| rest_until_ms(name)).min();
    Workers { ready, rest_until_ms }
}

fn cool_down(kernel: &Kernel, worker: String) {
    let until_ms = now_ms() + WORKER_COOLDOWN_MS;
    locked(&kernel.calls.workers.cooldown_until_ms).insert(worker, until_ms);
}

/// Whether calls to `path` of `service` may be repeated; `None` when there is
/// no such service.
#[must_use]
pub fn repeatable(kernel: &Kernel, service: &str, path: &str) -> Option<bool> {
    kernel.settings.upstreams.iter().find_map(|upstream| match &upstream.kind {
        UpstreamKind::Service { service: name, repeatable } if name == service => {
            Some(repeatable.iter().any(|prefix| path.starts_with(prefix.as_str())))
        }
        _ => None,
    })
}
