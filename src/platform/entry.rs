//! What an upstream tells of itself in the metadata store.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::gateway::decisions::upstream::UpstreamEntry;

/// The entry as every upstream writes it: one that lacks a field, or has it of another
/// type, is not its own.
#[derive(Deserialize)]
struct Written {
    service: String,
    /// IP and port.
    addr: SocketAddr,
    /// Data hall.
    zone: String,
    /// Version of its software, of no concern here.
    #[serde(rename = "version")]
    _software: String,
    slots: u32,
    state: State,
    /// How long it is still slow from its start, in milliseconds.
    #[serde(rename = "cold_left_ms")]
    _cold_left_ms: f64,
    /// Orders taken.
    #[serde(rename = "seq")]
    _orders_taken: u64,
    #[serde(default)]
    models: Vec<Model>,
    /// Unix milliseconds of its start.
    born: Option<u64>,
}

#[derive(Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
enum State {
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
pub(super) fn entry(bytes: &[u8]) -> serde_json::Result<UpstreamEntry> {
    let written: Written = serde_json::from_slice(bytes)?;
    Ok(UpstreamEntry {
        service: written.service,
        address: written.addr,
        hall: written.zone,
        slots: written.slots,
        leaving: written.state == State::Draining,
        models: written.models.into_iter().map(|model| (model.name, model.version)).collect(),
        started_at_ms: written.born,
    })
}
