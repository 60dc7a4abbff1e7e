//! Records requests that crash upstreams, and shares them with the other boxes. The module
//! `gateway::crashes` does so for the gateway.

use std::sync::Arc;

use log::info;

use crate::clock::now_ms;
use crate::fingerprint::Fingerprint;
use crate::kernel::{Kernel, Plugin, Topic};
use crate::names::short_id;
use crate::quarantine::UpdateUrgency;
use crate::sync::locked;
use crate::upstream::refuses_connections;
use crate::wire::{Envelope, Message};

/// Number of peers to which a box forwards a crash that is new to it.
const FANOUT: usize = 4;
/// Shortest time in which a crashed upstream restarts: crashes of an upstream in the same
/// interval of this length are counted as those of one incarnation.
const MIN_RESTART_MS: u64 = 5000;

inventory::submit! {
    Plugin { name: "crashes", start, receive: Some((Topic::Crashes, receive)) }
}

/// End of a request's quarantine; `None` if it is not quarantined.
#[must_use]
pub fn quarantined_until_ms(kernel: &Kernel, request: Fingerprint) -> Option<u64> {
    locked(&kernel.quarantine).until_ms(now_ms(), request)
}

/// Records that an upstream closed the connection before the request was answered. If its
/// port then refuses connections, this counts as a crash.
pub async fn record_abort(kernel: &Kernel, upstream: &str, url: &str, request: Fingerprint) {
    if !refuses_connections(url).await {
        return;
    }
    info!(target: "crashes", "Upstream {upstream} crashed while running request {request}.");
    let now_ms = now_ms();
    let incarnation_id = short_id(&format!("{upstream}/{}", now_ms / MIN_RESTART_MS));
    locked(&kernel.quarantine).record_crash(now_ms, request, incarnation_id, now_ms);
    notify_peers(kernel);
}

/// Records that an upstream has answered a request completely.
pub fn record_answered(kernel: &Kernel, request: Fingerprint) {
    if locked(&kernel.quarantine).record_answer(request, now_ms()) {
        notify_peers(kernel);
    }
}

/// Sends recent crashes and answers to some peers.
fn notify_peers(kernel: &Kernel) {
    let message = {
        let (mut quarantine, now_ms) = (locked(&kernel.quarantine), now_ms());
        let answers = quarantine.answers_to_announce(now_ms);
        Message::CrashReport { crashes: quarantine.crashes_to_announce(now_ms), answers }
    };
    for address in random_peers(kernel) {
        kernel.send(&address, message.clone());
    }
}

fn random_peers(kernel: &Kernel) -> Vec<String> {
    let membership = kernel.membership();
    let available_peers = membership.view().members().skip(1).filter(|member| member.takes_work());
    let mut addresses: Vec<String> = available_peers.map(|member| member.address.clone()).collect();
    fastrand::shuffle(&mut addresses);
    addresses.truncate(FANOUT);
    addresses
}

fn receive(kernel: &Arc<Kernel>, envelope: Envelope) {
    let Message::CrashReport { crashes, answers } = envelope.message else { return };
    let urgency = locked(&kernel.quarantine).merge_reports(now_ms(), &crashes, &answers);
    if urgency != UpdateUrgency::None {
        notify_peers(kernel);
    }
}

fn start(_: &Arc<Kernel>) {}
