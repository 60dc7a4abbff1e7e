//! Takes what upstreams tell of themselves, in the metadata store or in an answer, and acts
//! on what it means: one that has gone or started again has no connection that is of use.

use log::{info, warn};

use crate::clock::now_ms;
use crate::gateway::decisions::upstream::ReportedRun;
use crate::gateway::kernel::{Gateway, State};
use crate::platform::keys;

/// Takes an upstream's entry; whether who can be asked has changed.
pub fn apply(gateway: &Gateway, state: &mut State, now_ms: u64, id: &str, value: &[u8]) -> bool {
    let entry = match keys::read_upstream(id, value) {
        Ok(entry) => entry,
        Err(error) => {
            // Whoever wrote this, what the key named before is not there any more.
            warn!(target: "entries", "event=upstream_unreadable upstream={id} cause=\"{error}\"");
            metrics::counter!("coursestile_entries_unreadable_total").increment(1);
            remove(gateway, state, now_ms, id);
            return true;
        }
    };
    let known = state.upstreams.get(id);
    let mut changed = known.is_none_or(|known| known.entry.leaving != entry.leaving);
    let seen = format!(
        "upstream={id} service={} hall={} leaving={} started_at_ms={}",
        entry.service,
        entry.hall,
        entry.leaving,
        shown(entry.started_at_ms)
    );
    match state.upstreams.upsert(now_ms, id, entry) {
        ReportedRun::Current if changed => info!(target: "entries", "event=upstream_seen {seen}"),
        ReportedRun::Current => {}
        ReportedRun::Outdated => info!(target: "entries", "event=upstream_outdated {seen}"),
        ReportedRun::Restarted => {
            info!(target: "entries", "event=upstream_restarted {seen}");
            gateway.connections.close_idle_to(id);
            changed = true;
        }
    }
    changed
}

/// Takes an upstream out; what runs there goes on.
pub fn remove(gateway: &Gateway, state: &mut State, now_ms: u64, id: &str) {
    state.upstreams.remove(now_ms, id);
    gateway.connections.close_idle_to(id);
}

/// Takes the start of the run that answered a call made at `asked_at_ms`, by which it may
/// be known sooner than by its entry that an upstream has started again.
pub fn note_answering_run(
    gateway: &Gateway,
    id: &str,
    started_at_ms: Option<u64>,
    asked_at_ms: u64,
) -> ReportedRun {
    let told =
        gateway.state().upstreams.record_answering_run(now_ms(), id, started_at_ms, asked_at_ms);
    if told == ReportedRun::Restarted {
        info!(target: "entries", "event=upstream_restarted upstream={id} started_at_ms={} told_by=itself",
            shown(started_at_ms));
        gateway.connections.close_idle_to(id);
        gateway.capacity_changed.notify_waiters();
    }
    told
}

/// A start, for a log line.
fn shown(started_at_ms: Option<u64>) -> String {
    started_at_ms.map_or_else(|| "-".to_owned(), |started_at_ms| started_at_ms.to_string())
}
