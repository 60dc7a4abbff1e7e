//! Requests under which upstreams crash, in the own interface: what a box saw, and what boxes
//! tell each other of it.

use std::sync::Arc;

use log::info;

use crate::clock::now_ms;
use crate::fingerprint::Fingerprint;
use crate::kernel::{Kernel, Plugin, Topic};
use crate::names::number;
use crate::quarantine::UpdateUrgency;
use crate::sync::locked;
use crate::upstream::refuses_connections;
use crate::wire::{Envelope, Message};

/// Boxes that hear of a crash from one to which it is new.
const FANOUT: usize = 4;
/// Time within which an upstream that crashed does not crash again.
const RESTART_MS: u64 = 5000;

inventory::submit! {
    Plugin { name: "crashes", start, receive: Some((Topic::Crashes, receive)) }
}

/// Until when a request is quarantined; `None` if it is not.
#[must_use]
pub fn quarantined_until_ms(kernel: &Kernel, request: Fingerprint) -> Option<u64> {
    locked(&kernel.quarantine).until_ms(now_ms(), request)
}

/// Notes that an upstream broke a request off. If nobody listens there any more, it has
/// crashed.
pub async fn note_broken_off(kernel: &Kernel, upstream: &str, url: &str, request: Fingerprint) {
    if !refuses_connections(url).await {
        return;
    }
    info!(target: "crashes", "Upstream {upstream} has crashed with request {request}.");
    let now_ms = now_ms();
    let crash = number(&format!("{upstream}/{}", now_ms / RESTART_MS));
    locked(&kernel.quarantine).record_crash(now_ms, request, crash, now_ms);
    tell_peers(kernel);
}

/// Notes that an upstream has answered a request to its end.
pub fn note_answered(kernel: &Kernel, request: Fingerprint) {
    if locked(&kernel.quarantine).record_answer(request, now_ms()) {
        tell_peers(kernel);
    }
}

/// Tells some boxes of what happened lately.
fn tell_peers(kernel: &Kernel) {
    let message = {
        let (mut quarantine, now_ms) = (locked(&kernel.quarantine), now_ms());
        let answers = quarantine.answers_to_announce(now_ms);
        Message::CrashReport { crashes: quarantine.crashes_to_announce(now_ms), answers }
    };
    for address in peers(kernel) {
        kernel.send(&address, message.clone());
    }
}

fn peers(kernel: &Kernel) -> Vec<String> {
    let membership = kernel.membership();
    let others = membership.view().members().skip(1).filter(|member| member.takes_work());
    let mut addresses: Vec<String> = others.map(|member| member.address.clone()).collect();
    fastrand::shuffle(&mut addresses);
    addresses.truncate(FANOUT);
    addresses
}

fn receive(kernel: &Arc<Kernel>, envelope: Envelope) {
    let Message::CrashReport { crashes, answers } = envelope.message else { return };
    let news = locked(&kernel.quarantine).merge_reports(now_ms(), &crashes, &answers);
    if news != UpdateUrgency::None {
        tell_peers(kernel);
    }
}

fn start(_: &Arc<Kernel>) {}
