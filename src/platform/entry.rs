//! What an upstream tells of itself in the metadata store.

use std::net::SocketAddr;

use serde::Deserialize;

/// An upstream, as it tells of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Service that it belongs to.
    pub service: String,
    /// Address.
    pub address: SocketAddr,
    /// Data hall.
    pub hall: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Models with the versions of their weights.
    pub models: Vec<(String, u64)>,
}

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
