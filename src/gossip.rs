//! Runs the membership protocol of this box and sends heartbeats to peers.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::now_ms;
use crate::kernel::{Kernel, Plugin, Topic};
use crate::member::Outgoing;
use crate::supervisor;
use crate::wire::{Envelope, Message};

/// How often the membership protocol checks for due work.
const TICK: Duration = Duration::from_millis(100);

inventory::submit! {
    Plugin { name: "gossip", start, receive: Some((Topic::Gossip, receive)) }
}

fn start(kernel: &Arc<Kernel>) {
    let kernel = kernel.clone();
    supervisor::spawn("gossip", move || {
        let kernel = kernel.clone();
        async move {
            let mut ticks = tokio::time::interval(TICK);
            loop {
                ticks.tick().await;
                let outgoing = kernel.membership().tick(now_ms());
                send_gossip(&kernel, outgoing);
                kernel.send_heartbeats();
            }
        }
    });
}

fn receive(kernel: &Arc<Kernel>, envelope: Envelope) {
    if let Message::Gossip(gossip) = envelope.message {
        let outgoing = kernel.membership().receive(now_ms(), &envelope.reply_to, gossip);
        send_gossip(kernel, outgoing);
    }
}

/// Sends messages of the membership protocol.
pub fn send_gossip(kernel: &Kernel, outgoing: Vec<Outgoing>) {
    for Outgoing { to, gossip } in outgoing {
        kernel.send(&to, Message::Gossip(gossip));
    }
}
