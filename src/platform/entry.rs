//! Decodes the entry that each upstream writes in the metadata store.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::gateway::decisions::units::bounded_ms;
use crate::gateway::decisions::upstream::UpstreamEntry;

/// Longest time for which an entry can call its upstream cold: far more than any start takes. An odd
/// value would otherwise overflow, or limit the upstream for good.
const MAX_COLD_LEFT_MS: u64 = 600_000;

/// An entry as every upstream writes it. A value that lacks a field, or has a field of another
/// type, was not written by an upstream and is rejected.
#[derive(Deserialize)]
struct EntryBody {
    service: String,
    /// IP address and port.
    addr: SocketAddr,
    /// Data hall.
    zone: String,
    /// Version of its software.
    #[serde(rename = "version")]
    software: String,
    slots: u32,
    state: State,
    /// How much longer it is cold.
    cold_left_ms: f64,
    /// Number of orders that it has accepted; must be present, but is not used.
    #[serde(rename = "seq")]
    _orders_taken: u64,
    #[serde(default)]
    models: Vec<Model>,
    /// Start of its process, in Unix milliseconds.
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

/// Decodes an entry.
pub(super) fn entry(bytes: &[u8]) -> serde_json::Result<UpstreamEntry> {
    let body: EntryBody = serde_json::from_slice(bytes)?;
    Ok(UpstreamEntry {
        service: body.service,
        software: body.software,
        address: body.addr,
        hall: body.zone,
        slots: body.slots,
        leaving: body.state == State::Draining,
        cold_left_ms: bounded_ms(body.cold_left_ms, MAX_COLD_LEFT_MS),
        models: body.models.into_iter().map(|model| (model.name, model.version)).collect(),
        started_at_ms: body.born,
    })
}
