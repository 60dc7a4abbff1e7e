//! The workers of plain services, and one call at them.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::clock::{now_ms, now_us};
use crate::crashes::{note_answered, note_broken_off, quarantined_until_ms};
use crate::edge::PlainServices;
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
    let mut end = CallEnd::not_run(Reason::NoUpstream);
    for (name, url) in workers {
        if now_ms() >= call.deadline_ms {
            break;
        }
        if quarantined_until_ms(kernel, fingerprint).is_some() {
            if sent == 0 {
                end = CallEnd::not_run(Reason::Quarantined);
            }
            break;
        }
        let first = repeatable || sent == 0;
        if !check(Invariant::SentOnce, first, || call.key.key.clone()) {
            break;
        }
        let began_at_us = now_us();
        let outcome = kernel.upstreams.call(&url, call).await;
        let note = format!("{} {} on {name}", call.method, call.path);
        kernel.span(call.trace, Hop::Upstream, began_at_us, note);
        sent += u32::from(outcome != Outcome::NotRun);
        match outcome {
            Outcome::Answered(_) => {
                note_answered(kernel, fingerprint);
                return CallEnd { outcome, reason: Reason::UpstreamFailed };
            }
            Outcome::NotRun => cool_down(kernel, name),
            Outcome::Unknown => {
                note_broken_off(kernel, &name, &url, fingerprint).await;
                end = CallEnd::unknown(Reason::UpstreamFailed);
                let budget = &kernel.placing.retries;
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

fn fingerprint(call: &Call) -> Fingerprint {
    Fingerprint::new(&call.key.account, &[&call.service, &call.method, &call.path], &call.body)
}

/// Workers of a service that take work, another one first each time.
fn workers(kernel: &Kernel, service: &str) -> Vec<(String, String)> {
    let config = kernel.configuration.current();
    let cooldowns = locked(&kernel.calls.workers.cooldowns);
    let now_ms = now_ms();
    let own = kernel.settings.upstreams.iter().filter(|upstream| match &upstream.kind {
        UpstreamKind::Service { service: name, .. } => name == service,
        UpstreamKind::Engine(_) | UpstreamKind::Store(_) => false,
    });
    let staying = own.filter(|upstream| !config.state.leaving.contains(&upstream.name));
    let all: Vec<_> = staying.map(|one| (one.name.clone(), one.url.clone())).collect();
    let cooled = |name: &String| cooldowns.get(name).is_none_or(|until_ms| *until_ms <= now_ms);
    let (mut workers, cooling): (Vec<_>, Vec<_>) =
        all.into_iter().partition(|(name, _)| cooled(name));
    if !workers.is_empty() {
        let turn = kernel.calls.workers.turn.fetch_add(1, Ordering::Relaxed) % workers.len();
        workers.rotate_left(turn);
    }
    workers.extend(cooling);
    workers
}

fn cool_down(kernel: &Kernel, worker: String) {
    let until_ms = now_ms() + WORKER_COOLDOWN_MS;
    locked(&kernel.calls.workers.cooldowns).insert(worker, until_ms);
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
