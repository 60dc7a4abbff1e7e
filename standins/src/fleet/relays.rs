//! TCP relays between boxes and the platform, other boxes, and upstreams.
//!
//! Each kind of target has its own relay, so that the connections to targets of this kind
//! can be silenced while both ends stay up.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

use serde_json::json;

use super::starter::Starter;
use super::{Fleet, Process};

/// The kind of target that a relay leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RelayKind {
    /// To the platform's service.
    Platform,
    /// To other boxes.
    Peers,
    /// To model engines.
    Engines,
    /// To context stores.
    Stores,
    /// To workers of the plain service.
    Workers,
}

impl RelayKind {
    /// All kinds.
    pub const ALL: [Self; 5] =
        [Self::Platform, Self::Peers, Self::Engines, Self::Stores, Self::Workers];

    fn name(self) -> &'static str {
        match self {
            Self::Platform => "relay-platform",
            Self::Peers => "relay-peers",
            Self::Engines => "relay-engines",
            Self::Stores => "relay-stores",
            Self::Workers => "relay-workers",
        }
    }
}

/// The relays of a fleet.
#[derive(Default)]
pub struct Relays {
    by_kind: BTreeMap<RelayKind, Process>,
    /// Relay address by the address of the target.
    relay_addresses: BTreeMap<String, String>,
    silences: AtomicU64,
}

impl Relays {
    /// URL at which boxes reach a process: that of its relay, if there is one.
    pub(super) fn url_for(&self, process: &Process) -> String {
        self.relay_addresses
            .get(&process.address)
            .map_or_else(|| process.url(), |relay_address| format!("http://{relay_address}"))
    }

    /// Processes of all relays.
    pub(super) fn processes(&self) -> impl Iterator<Item = &Process> {
        self.by_kind.values()
    }

    fn start(&mut self, starter: &mut Starter<'_>, kind: RelayKind, addresses: Vec<String>) {
        let mut pairs = Vec::new();
        for address in addresses {
            let relay_address = format!("{}:7000", starter.address());
            pairs.push(format!("{relay_address}>{address}"));
            self.relay_addresses.insert(address, relay_address);
        }
        let pairs = ("pairs".to_owned(), pairs.join(","));
        self.by_kind.insert(kind, starter.standin("wire", kind.name(), "", &[pairs]));
    }
}

impl Fleet {
    /// Starts a relay for each kind of target; returns the setting `routes` for all boxes.
    pub(super) fn start_relays(
        &mut self,
        starter: &mut Starter<'_>,
        hosts: &[(String, String, String)],
    ) -> String {
        let boxes: Vec<_> = hosts.iter().map(|(_, _, host)| format!("{host}:7000")).collect();
        for kind in RelayKind::ALL {
            let addresses = match kind {
                RelayKind::Platform => vec![self.platform.address.clone()],
                RelayKind::Peers => boxes.clone(),
                RelayKind::Engines => addresses(&self.engines),
                RelayKind::Stores => addresses(&self.stores),
                RelayKind::Workers => addresses(&self.workers),
            };
            self.relays.start(starter, kind, addresses);
        }
        let relay_addresses = boxes
            .iter()
            .map(|address| format!("{address}>{}", self.relays.relay_addresses[address]));
        relay_addresses.collect::<Vec<_>>().join(", ")
    }

    /// Silences the open connections through a relay; new ones work.
    ///
    /// # Panics
    /// Panics when the fleet has no relays.
    pub async fn silence_connections(&self, kind: RelayKind) {
        let silences = self.relays.silences.fetch_add(1, Ordering::Relaxed) + 1;
        self.set_fault(&self.relays.by_kind[&kind], json!({ "silences": silences })).await;
    }

    /// Makes a relay drop all bytes that pass through it, or stops that.
    ///
    /// # Panics
    /// Panics when the fleet has no relays.
    pub async fn drop_traffic(&self, kind: RelayKind, dark: bool) {
        self.set_fault(&self.relays.by_kind[&kind], json!({ "dark": dark })).await;
    }
}

fn addresses(processes: &[Process]) -> Vec<String> {
    processes.iter().map(|process| process.address.clone()).collect()
}
