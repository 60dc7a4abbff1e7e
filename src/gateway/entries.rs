//! Applies what upstreams report about themselves, in their entries in the metadata store and in
//! their answers. Connections to an upstream that has gone or restarted are discarded.

use log::{Level, info, log, warn};

use crate::clock::now_ms;
use crate::gateway::decisions::upstream::{ReportedIncarnation, UpstreamEntry};
use crate::gateway::kernel::{Gateway, State};
use crate::platform::keys;

/// Applies an upstream's entry; returns whether the set of usable upstreams has changed. What it
/// shows is logged at `level`.
pub fn apply(
    gateway: &Gateway,
    state: &mut State,
    now_ms: u64,
    (id, value): (&str, &[u8]),
    level: Level,
) -> bool {
    let entry = match keys::read_upstream(id, value) {
        Ok(entry) => {
            UpstreamEntry { address: gateway.settings.dial_address(entry.address), ..entry }
        }
        Err(error) => {
            // Whoever wrote this value, the upstream of the previous entry is gone.
            warn!(target: "entries", "event=upstream_unreadable upstream={id} cause=\"{error}\"");
            metrics::counter!("coursestile_entries_unreadable_total").increment(1);
            remove(gateway, state, now_ms, id);
            return true;
        }
    };
    let known = state.upstreams.get(id);
    let mut changed = known.is_none_or(|known| known.entry.leaving != entry.leaving);
    let details = format!(
        "upstream={id} service={} hall={} leaving={} started_at_ms={} software={}",
        entry.service,
        entry.hall,
        entry.leaving,
        format_start(entry.started_at_ms),
        entry.software
    );
    if entry.cold_left_ms > 0 {
        info!(target: "entries", "event=upstream_cold upstream={id} left_ms={}", entry.cold_left_ms);
    }
    match state.upstreams.upsert(now_ms, id, entry) {
        ReportedIncarnation::Current if changed => {
            log!(target: "entries", level, "event=upstream_seen {details}");
        }
        ReportedIncarnation::Current => {}
        ReportedIncarnation::Outdated => {
            info!(target: "entries", "event=upstream_outdated {details}");
        }
        ReportedIncarnation::Restarted => {
            log!(target: "entries", level, "event=upstream_restarted {details}");
            gateway.connections.close_idle_to(id);
            changed = true;
        }
    }
    changed
}

/// Removes an upstream; requests that run there continue.
pub fn remove(gateway: &Gateway, state: &mut State, now_ms: u64, id: &str) {
    state.upstreams.remove(now_ms, id);
    gateway.connections.close_idle_to(id);
}

/// Compares the start time that came with the answer to a call made at `asked_at_ms` with the
/// known one. This may show a restart of the upstream before its entry does.
pub fn note_answering_incarnation(
    gateway: &Gateway,
    id: &str,
    started_at_ms: Option<u64>,
    asked_at_ms: u64,
) -> ReportedIncarnation {
    let report = gateway.state().upstreams.record_answering_incarnation(
        now_ms(),
        id,
        started_at_ms,
        asked_at_ms,
    );
    if report == ReportedIncarnation::Restarted {
        info!(target: "entries",
            "event=upstream_restarted upstream={id} started_at_ms={} told_by=itself",
            format_start(started_at_ms));
        gateway.connections.close_idle_to(id);
        gateway.capacity_changed.notify_waiters();
    }
    report
}

/// Formats a start time for a log line.
fn format_start(started_at_ms: Option<u64>) -> String {
    started_at_ms.map_or_else(|| "-".to_owned(), |started_at_ms| started_at_ms.to_string())
}
