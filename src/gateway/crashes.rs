//! Finds out whether an upstream that aborted requests has crashed.
//!
//! A connection that ends early proves little, since the upstream may have dropped that request
//! alone. A crashed upstream refuses new connections until it is restarted.

use std::sync::Arc;

use log::info;

use crate::clock::now_ms;
use crate::fingerprint::Fingerprint;
use crate::gateway::decisions::incarnation::Incarnation;
use crate::gateway::kernel::Gateway;
use crate::gateway::quarantine;
use crate::port::is_closed;
use crate::quarantine::UpdateUrgency;
use crate::sync::locked;

/// Records that an upstream aborted a request before its response was complete. A crash aborts all
/// requests there, so they are collected and checked together.
pub fn record_abort(gateway: &Arc<Gateway>, upstream: &Incarnation, request: Fingerprint) {
    let mut aborts = locked(&gateway.unexplained_aborts);
    let requests = aborts.entry(upstream.id.clone()).or_default();
    requests.push(request);
    if requests.len() == 1 {
        tokio::spawn(check_for_crash(gateway.clone(), upstream.clone()));
    }
}

async fn check_for_crash(gateway: Arc<Gateway>, upstream: Incarnation) {
    let crashed = has_crashed(&gateway, &upstream).await;
    let requests = locked(&gateway.unexplained_aborts).remove(&upstream.id).unwrap_or_default();
    info!(target: "crashes", "event=upstream_broke_off upstream={} crashed={crashed} requests={}",
        upstream.id, join_fingerprints(&requests));
    if crashed {
        metrics::counter!("coursestile_upstream_crashes_total").increment(1);
        record_crash(&gateway, &upstream, &requests);
    }
}

fn record_crash(gateway: &Gateway, upstream: &Incarnation, requests: &[Fingerprint]) {
    let mut state = gateway.state();
    let now_ms = now_ms();
    if let Some(upstream) = state.upstreams.get_incarnation_mut(upstream) {
        upstream.mark_unreachable();
    }
    let mut is_urgent = false;
    for request in requests {
        if state.quarantine.record_crash(now_ms, *request, upstream.short_id(), now_ms)
            == UpdateUrgency::Urgent
        {
            quarantine::log_quarantined(&state, now_ms, *request);
            is_urgent = true;
        }
    }
    drop(state);
    if is_urgent {
        gateway.gossip_now.notify_one();
        gateway.quarantine_changed.notify_waiters();
    }
}

/// Records that an upstream has answered a request completely.
pub fn record_answered(gateway: &Gateway, request: Fingerprint) {
    if gateway.state().quarantine.record_answer(request, now_ms()) {
        info!(target: "crashes", "event=suspect_answered fingerprint={request}");
        gateway.gossip_now.notify_one();
    }
}

/// Whether nothing listens at the upstream's address any more.
async fn has_crashed(gateway: &Gateway, upstream: &Incarnation) -> bool {
    let Some(address) = gateway.state().upstreams.address(&upstream.id) else { return false };
    is_closed(address).await
}

fn join_fingerprints(requests: &[Fingerprint]) -> String {
    let fingerprints: Vec<String> = requests.iter().map(Fingerprint::to_string).collect();
    fingerprints.join(",")
}
