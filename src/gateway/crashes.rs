//! Finds out whether an upstream on which requests broke off has crashed.
//!
//! A connection that ends early says little: the upstream may have dropped that request
//! alone. One that has crashed refuses new connections until it is started again.

use std::io::ErrorKind;
use std::sync::Arc;

use log::info;

use crate::fingerprint::Fingerprint;
use crate::gateway::decisions::incarnation::Incarnation;
use crate::gateway::kernel::Gateway;
use crate::sync::locked;

/// Notes that an upstream broke a request off before the end of its answer. A crash ends all
/// that ran there, and is looked for once.
pub fn note_broken_off(gateway: &Arc<Gateway>, upstream: &Incarnation, request: Fingerprint) {
    let mut broken_off = locked(&gateway.broken_off);
    let requests = broken_off.entry(upstream.id.clone()).or_default();
    requests.push(request);
    if requests.len() == 1 {
        tokio::spawn(look(gateway.clone(), upstream.clone()));
    }
}

async fn look(gateway: Arc<Gateway>, upstream: Incarnation) {
    let crashed = has_crashed(&gateway, &upstream).await;
    let requests = locked(&gateway.broken_off).remove(&upstream.id).unwrap_or_default();
    info!(target: "crashes", "event=upstream_broke_off upstream={} crashed={crashed} requests={}",
        upstream.id, listed(&requests));
}

/// Whether nobody listens at the upstream's address any more.
async fn has_crashed(gateway: &Gateway, upstream: &Incarnation) -> bool {
    let Some(address) = gateway.state().upstreams.address(&upstream.id) else { return false };
    match gateway.connections.open(address).await {
        Ok(sender) => {
            gateway.connections.keep(&upstream.id, sender);
            false
        }
        Err(error) => error.kind() == ErrorKind::ConnectionRefused,
    }
}

fn listed(requests: &[Fingerprint]) -> String {
    let shown: Vec<String> = requests.iter().map(Fingerprint::to_string).collect();
    shown.join(",")
}
