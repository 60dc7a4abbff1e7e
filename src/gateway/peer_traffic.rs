//! Counts what this box exchanges with its peers and does to reach upstreams: datagrams by what they
//! hold, probes, tunnels. In a large fleet it can be most of what a box does.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use log::info;
use tokio::time::sleep;

use crate::box_phase::BoxPhase;
use crate::gateway::gossip::Datagram;
use crate::gateway::kernel::Gateway;

/// Interval between two looks at the counts.
const PERIOD: Duration = Duration::from_secs(1);
/// Received datagrams, or probes and tunnels, within a period from which the counts are logged.
const BUSY_DATAGRAMS: u64 = 1000;
const BUSY_PROBES: u64 = 50;
/// Kinds of datagrams, in the order of [`kind`].
const KINDS: [&str; 14] = [
    "gossip",
    "load_changes",
    "hall_summary",
    "other_halls_summary",
    "aborts",
    "delegated",
    "stream_origin",
    "origin_query",
    "parts",
    "trials",
    "rate_limits",
    "permits",
    "versions",
    "configuration",
];

/// Datagrams since the last look, by kind.
#[derive(Debug, Default)]
pub struct PeerTraffic {
    sent: [AtomicU64; KINDS.len()],
    received: [AtomicU64; KINDS.len()],
    /// Probes of upstreams by own connections.
    pub probes: AtomicU64,
    /// Peers that were asked for a tunnel.
    pub tunnels_asked: AtomicU64,
    /// Tunnels that peers asked of this box.
    pub tunnels_served: AtomicU64,
}

impl PeerTraffic {
    pub fn record_sent(&self, datagram: &Datagram, targets: usize) {
        self.sent[kind(datagram)].fetch_add(targets as u64, Ordering::Relaxed);
    }

    pub fn record_received(&self, datagram: &Datagram) {
        self.received[kind(datagram)].fetch_add(1, Ordering::Relaxed);
    }
}

/// Index in [`KINDS`].
fn kind(datagram: &Datagram) -> usize {
    match datagram {
        Datagram::Gossip(_) => 0,
        Datagram::LoadChanges(_) => 1,
        Datagram::HallSummary(_) => 2,
        Datagram::OtherHallsSummary(_) => 3,
        Datagram::AbortsReport(_) | Datagram::Acknowledged { .. } => 4,
        Datagram::DelegatedCall(_) | Datagram::DelegatedReply(_) => 5,
        Datagram::StreamOrigin(_) => 6,
        Datagram::OriginQuery(_) | Datagram::OriginAnswer(_) => 7,
        Datagram::PartReports(_) => 8,
        Datagram::TrialQuery(_) | Datagram::TrialAnswer(_) | Datagram::TrialEnd(_) => 9,
        Datagram::RateLimits(_) => 10,
        Datagram::PermitQuery(_) | Datagram::PermitAnswer(_) => 11,
        Datagram::VersionsQuery(_) | Datagram::VersionsAnswer(_) => 12,
        Datagram::ConfigurationQuery(_) | Datagram::ConfigurationAnswer(_) => 13,
    }
}

/// Adds the counts to the metrics until the box stops, and logs them while they are high.
pub async fn run(gateway: Arc<Gateway>) {
    while gateway.phase() != BoxPhase::Stopped {
        sleep(PERIOD).await;
        let traffic = &gateway.peer_traffic;
        let received = take(&traffic.received, "coursestile_datagrams_received_total");
        let sent = take(&traffic.sent, "coursestile_datagrams_sent_total");
        let counts = [&traffic.probes, &traffic.tunnels_asked, &traffic.tunnels_served];
        let [probes, asked, served] = counts.map(|count| count.swap(0, Ordering::Relaxed));
        if received.iter().sum::<u64>() >= BUSY_DATAGRAMS || probes + asked + served >= BUSY_PROBES
        {
            let (pace, active, missed) = {
                let state = gateway.state();
                let upstreams = &state.upstreams;
                (state.peers.news_pace(), upstreams.active().count(), upstreams.missed_count())
            };
            info!(target: "gossip",
                "event=peer_traffic pace={pace:?} received=\"{}\" sent=\"{}\" probes={probes} \
                 tunnels_asked={asked} tunnels_served={served} active={active} missed={missed}",
                by_kind(received), by_kind(sent));
        }
    }
}

fn take(counts: &[AtomicU64; KINDS.len()], metric: &'static str) -> [u64; KINDS.len()] {
    std::array::from_fn(|index| {
        let count = counts[index].swap(0, Ordering::Relaxed);
        metrics::counter!(metric, "kind" => KINDS[index]).increment(count);
        count
    })
}

fn by_kind(counts: [u64; KINDS.len()]) -> String {
    let counts = KINDS.iter().zip(counts).filter(|(_, count)| *count > 0);
    counts.map(|(kind, count)| format!("{kind}:{count}")).collect::<Vec<_>>().join(" ")
}
