//! What an upstream tells of itself in the metadata store.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::gateway::upstreams::Entry;

/// The entry as it is written.
#[derive(Deserialize)]
struct Written {
    service: String,
    /// IP and port.
    addr: SocketAddr,
    /// Data hall.
    zone: String,
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    state: State,
    #[serde(default)]
    models: Vec<Model>,
}

#[derive(Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
enum State {
    #[default]
    Ready,
    Draining,
}

#[derive(Deserialize)]
pub(super) struct Model {
    pub(super) name: String,
    /// Version of the weights.
    pub(super) version: u64,
}

/// Reads an entry.
pub(super) fn entry(bytes: &[u8]) -> serde_json::Result<Entry> {
    let written: Written = serde_json::from_slice(bytes)?;
    Ok(Entry {
        service: written.service,
        address: written.addr,
        hall: written.zone,
        slots: written.slots,
        leaving: written.state == State::Draining,
        models: written.models.into_iter().map(|model| (model.name, model.version)).collect(),
    })
}
