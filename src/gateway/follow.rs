//! Follows the metadata store, and peers when the store is out of reach.
//!
//! One watch covers all keys, so that knowing a change means knowing all that
//! came before it. After any fault the watch goes on from the same revision;
//! when the store has forgotten it, everything is listed again.
//!
//! A watch that nobody will answer looks like a store without news, and a change ends
//! the watches of all boxes at once, so that all of them may be lost together. The
//! store has to say something well within the time in which a change must be in force.

use std::sync::Arc;
use std::time::Duration;

use log::{debug, info, warn};
use tokio::time::sleep;

use crate::clock::now_ms;
use crate::error::{Error, Result};
use crate::gateway::decisions::units::whole_ms;
use crate::gateway::decisions::view::{CatchUp, Snapshot, VersionedValue, ViewChange};
use crate::gateway::decisions::weights::UNKNOWN_TIME_MS;
use crate::gateway::kernel::{Gateway, State};
use crate::gateway::metadata::{Change, Freshness, Item, WatchResult, WatchWait};
use crate::gateway::settings::Bounds;
use crate::gateway::{claims, entries, members, quarantine};
use crate::phase::Phase;
use crate::platform::keys::{self, Kind};

/// Part of the time in which a change must be in force for which a watch may wait.
const WAIT_PART: u64 = 2;
/// Part of it by which a watch's answer may be late; the rest is for another watch.
const LATE_PART: u64 = 4;
/// Least wait of a watch, whatever the bounds say: ten calls a second.
const LEAST_WAIT_MS: u64 = 100;
/// Watch after a failed call: soon over, so that the store's return is seen, and with
/// patience for a store that is only slow.
const AFTER_FAILURE: WatchWait = WatchWait { wait_ms: 200, grace_ms: 1000 };
/// Pause after changes, in a large fleet, where each wakes the followers of all
/// halls: several are told by one answer. A small part of the two seconds in which
/// a change must be in force.
const CHANGES_PAUSE: Duration = Duration::from_millis(400);
/// Least pause after a failed call.
const LEAST_PAUSE_MS: u64 = 100;
/// Longest pause after failed calls: upstreams that left while the store was
/// away must be known soon after its return.
const MOST_PAUSE_MS: u64 = 400;
/// Longest time for which a box that has just started waits to hear of its peers before it
/// follows the store: in a large fleet a few boxes do so for all.
const SETTLE_MS: u64 = 500;
/// How often due removals are carried out and peers are compared.
const TICK: Duration = Duration::from_millis(100);

/// Follows the metadata store until the box stops.
pub async fn run(gateway: Arc<Gateway>) {
    let mut pause_ms = LEAST_PAUSE_MS;
    let mut listed = false;
    // All boxes of a fleet may start at once.
    let mut freshness = Freshness::Stale;
    while gateway.phase() != Phase::Stopped {
        if listed && !gateway.state().follows_metadata {
            sleep(TICK).await;
            continue;
        }
        let asked_at_ms = now_ms();
        let result = if listed { watch(&gateway).await } else { list(&gateway, freshness).await };
        match result {
            Ok(Followed::Woken) => {}
            Ok(ended) => {
                listed = ended == Followed::Answered;
                freshness = Freshness::Latest;
                settle(&gateway).await;
                pause_ms = LEAST_PAUSE_MS;
                if !gateway.state().small_fleet {
                    sleep(CHANGES_PAUSE).await;
                }
            }
            Err(error) => {
                failed(&gateway, asked_at_ms, &error);
                sleep(Duration::from_millis(pause_ms + fastrand::u64(0..pause_ms))).await;
                pause_ms = (pause_ms * 2).min(MOST_PAUSE_MS);
            }
        }
    }
}

/// Waits until the box knows whether its fleet is a large one, once after its start.
async fn settle(gateway: &Gateway) {
    if gateway.state().warmed_up_at_ms.is_some() {
        return;
    }
    let until_ms = now_ms() + SETTLE_MS;
    while now_ms() < until_ms && !gateway.state().peers.is_fleet_known(now_ms()) {
        sleep(TICK).await;
    }
    let mut state = gateway.state();
    let now_ms = now_ms();
    choose_role(gateway, &mut state, now_ms);
    state.warmed_up_at_ms = Some(now_ms);
}

/// Decides again what this box is to follow itself.
fn choose_role(gateway: &Gateway, state: &mut State, now_ms: u64) {
    let follows = state.peers.is_follower(now_ms);
    let caches = state.peers.is_cache_follower(now_ms);
    let small_fleet = state.peers.is_small_fleet();
    let before = (state.follows_metadata, state.follows_caches, state.small_fleet);
    if (follows, caches, small_fleet) == before {
        return;
    }
    info!(target: "follow",
        "event=role_changed follows={follows} caches={caches} small_fleet={small_fleet} boxes={}",
        state.peers.live_boxes(now_ms));
    state.follows_metadata = follows;
    state.follows_caches = caches;
    state.small_fleet = small_fleet;
    gateway.upstreams_changed.send_modify(|count| *count += 1);
    // A watch would go on for seconds.
    gateway.refresh_metadata.notify_one();
}

/// Carries out due removals, and chooses who follows.
pub async fn tick(gateway: Arc<Gateway>) {
    while gateway.phase() != Phase::Stopped {
        sleep(TICK).await;
        let mut state = gateway.state();
        let now_ms = now_ms();
        choose_role(&gateway, &mut state, now_ms);
        state.apply_peer_reports(now_ms);
        state.limits.recover(TICK.as_secs_f64());
        let changes = state.view.apply_due_removals(now_ms);
        apply(&gateway, &mut state, now_ms, Named::Now, changes);
        metrics::gauge!("coursestile_weights_behind_seconds").set(behind_s(&state, now_ms));
        for (store, count) in state.stores.settle_saves(now_ms) {
            info!(target: "stores", "event=saves_lost store={store} count={count}");
        }
        drop(state);
        gateway.connections.close_expired(now_ms);
    }
}

/// For how long the engine that is behind longest has been, as far as this box knows.
fn behind_s(state: &State, now_ms: u64) -> f64 {
    let since_ms = state.weights.iter().flat_map(|(model, named)| {
        let engines = state.upstreams.current().map(|engine| engine.weight_version(model));
        let since_ms = engines.filter_map(|version| named.behind_since_ms(version));
        since_ms.filter(|since_ms| *since_ms != UNKNOWN_TIME_MS)
    });
    let first_ms = since_ms.min().unwrap_or(now_ms);
    Duration::from_millis(now_ms.saturating_sub(first_ms)).as_secs_f64()
}

/// Takes in what a peer knows.
pub fn take_from_peer(gateway: &Gateway, told: CatchUp) {
    let mut state = gateway.state();
    let (at_revision, whole) = match &told {
        CatchUp::Full(snapshot) => (snapshot.at_revision, true),
        CatchUp::Delta { changed: written, .. } => (written.at_revision, false),
    };
    if at_revision < state.view.last_change_revision() {
        return;
    }
    let now_ms = now_ms();
    let named = named_since(gateway, &state, now_ms);
    let changes = state.view.apply_catch_up(now_ms, told, is_covered);
    info!(target: "follow",
        "event=caught_up at_revision={at_revision} whole={whole} changes={}", changes.len());
    apply(gateway, &mut state, now_ms, named, changes);
}

/// How a call to the store has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Followed {
    /// The store has answered; the next watch goes on from there.
    Answered,
    /// The store has forgotten what came after the revision that is known.
    HistoryLost,
    /// This box has ended the wait itself, which says nothing of the store.
    Woken,
}

async fn list(gateway: &Gateway, freshness: Freshness) -> Result<Followed> {
    let mut snapshot = Snapshot { at_revision: u64::MAX, ..Snapshot::default() };
    for prefix in [keys::OPERATOR_PREFIX, keys::UPSTREAM_PREFIX, keys::OWN_PREFIX] {
        let listing = gateway.metadata.list(prefix, freshness).await?;
        // The watch goes on from the oldest listing, so nothing is missed.
        snapshot.at_revision = snapshot.at_revision.min(listing.at_revision);
        for Item { key, value, revision } in listing.items {
            snapshot.items.insert(key, VersionedValue { revision, value });
        }
    }
    answered(gateway);
    let mut state = gateway.state();
    let now_ms = now_ms();
    let named = Named::After(state.view.synced_at_ms().unwrap_or(UNKNOWN_TIME_MS));
    if freshness == Freshness::Latest {
        state.view.mark_synced(now_ms);
    }
    let (at_revision, items) = (snapshot.at_revision, snapshot.items.len());
    let changes = state.view.apply_snapshot(now_ms, snapshot, is_covered, lapses);
    info!(target: "follow",
        "event=listed at_revision={at_revision} items={items} changes={}", changes.len());
    apply(gateway, &mut state, now_ms, named, changes);
    Ok(Followed::Answered)
}

/// Waits for changes.
async fn watch(gateway: &Gateway) -> Result<Followed> {
    let (after, answers) = {
        let state = gateway.state();
        (state.view.at_revision(), state.view.is_store_available())
    };
    let wait = if answers { usual_wait(&gateway.settings.bounds) } else { AFTER_FAILURE };
    let watched = tokio::select! {
        watched = gateway.metadata.watch("", after, spread(wait)) => watched?,
        () = gateway.refresh_metadata.notified() => return Ok(Followed::Woken),
    };
    let (changes, at_revision) = match watched {
        WatchResult::Changes { changes, at_revision } => (changes, at_revision),
        WatchResult::HistoryLost => {
            info!(target: "follow", "event=history_lost after_revision={after}");
            answered(gateway);
            return Ok(Followed::HistoryLost);
        }
    };
    answered(gateway);
    let mut state = gateway.state();
    let now_ms = now_ms();
    let mut applied = Vec::new();
    for change in changes {
        match change {
            Change::Put(Item { key, value, revision }) if is_covered(&key) => {
                applied.extend(state.view.put(key, VersionedValue { revision, value }));
            }
            Change::Removed { key, revision } if is_covered(&key) => {
                let lapses = lapses(&key);
                applied.extend(state.view.remove(now_ms, &key, revision, lapses));
            }
            Change::Put(_) | Change::Removed { .. } => {}
        }
    }
    state.view.advance_to(at_revision);
    let named = named_since(gateway, &state, now_ms);
    state.view.mark_synced(now_ms);
    apply(gateway, &mut state, now_ms, named, applied);
    Ok(Followed::Answered)
}

/// How long a watch is waited for while the store answers.
fn usual_wait(bounds: &Bounds) -> WatchWait {
    let change_ms = bounds.change_apply_ms.min(bounds.departure_apply_ms);
    let wait_ms = (change_ms / WAIT_PART).max(LEAST_WAIT_MS);
    WatchWait { wait_ms, grace_ms: (change_ms / LATE_PART).max(LEAST_WAIT_MS) }
}

/// Time without an answer that one lost watch explains.
#[must_use]
pub fn lost_watch_ms(bounds: &Bounds) -> u64 {
    let WatchWait { wait_ms, grace_ms } = usual_wait(bounds);
    let pauses_ms = 2 * LEAST_PAUSE_MS + whole_ms(CHANGES_PAUSE.as_secs_f64() * 1000.0);
    wait_ms + grace_ms + pauses_ms
}

/// A wait of another length at each box, so that not all watches end together.
fn spread(wait: WatchWait) -> WatchWait {
    WatchWait { wait_ms: wait.wait_ms - fastrand::u64(0..=wait.wait_ms / 4), ..wait }
}

fn is_covered(key: &str) -> bool {
    keys::kind(key) != Kind::Other
}

/// Whether an item goes by itself when its writer is silent.
fn lapses(key: &str) -> bool {
    matches!(keys::kind(key), Kind::Upstream { .. })
}

fn answered(gateway: &Gateway) {
    if gateway.state().view.note_store_answer(now_ms()) {
        info!(target: "follow", "event=dependency_regained dependency=metadata_store");
    }
}

fn failed(gateway: &Gateway, asked_at_ms: u64, error: &Error) {
    metrics::counter!("coursestile_metadata_failures_total").increment(1);
    let mut state = gateway.state();
    let after_revision = state.view.at_revision();
    let waited_ms = now_ms().saturating_sub(asked_at_ms);
    if matches!(error, Error::PlatformUnable(_)) {
        state.view.note_store_unavailable();
    }
    if state.view.note_store_failure() {
        warn!(target: "follow",
            "event=dependency_lost dependency=metadata_store after_revision={after_revision} \
             waited_ms={waited_ms} cause=\"{error}\"");
    } else {
        debug!(target: "follow",
            "event=store_call_failed after_revision={after_revision} waited_ms={waited_ms} \
             cause=\"{error}\"");
    }
}

/// When versions of weights were named that are among changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Named {
    /// Just now, as far as a box can know.
    Now,
    /// After a time; boxes that were there tell when.
    After(u64),
}

/// When what is told now was named: after the store told all before, if that is longer ago
/// than a watch explains.
fn named_since(gateway: &Gateway, state: &State, now_ms: u64) -> Named {
    let complete_at_ms = state.view.synced_at_ms();
    let grace_ms = lost_watch_ms(&gateway.settings.bounds);
    match complete_at_ms {
        Some(at_ms) if now_ms > at_ms + grace_ms => Named::After(at_ms),
        Some(_) => Named::Now,
        // It learns from peers only, or has just started.
        None if state.view.is_loaded() => Named::Now,
        None => Named::After(UNKNOWN_TIME_MS),
    }
}

/// Puts changes of the view in force.
fn apply(
    gateway: &Gateway,
    state: &mut State,
    now_ms: u64,
    named: Named,
    changes: Vec<ViewChange>,
) {
    claims::note_leader(state, now_ms);
    if !changes.is_empty() && state.follows_metadata {
        // Others learn from this box.
        gateway.gossip_now.notify_one();
    }
    let mut upstreams_changed = false;
    for change in changes {
        let (key, value) = match &change {
            ViewChange::Put { key, value } => (key, Some(value.as_slice())),
            ViewChange::Removed { key } => (key, None),
        };
        match (keys::kind(key), value) {
            (Kind::Configuration, Some(value)) => {
                upstreams_changed |= put_site(state, value);
            }
            (Kind::Weights { model }, Some(value)) => {
                put_weights(state, now_ms, named, model, value);
            }
            (Kind::Upstream { id }, Some(value)) => {
                upstreams_changed |= entries::apply(gateway, state, now_ms, id, value);
            }
            (Kind::Upstream { id }, None) => {
                info!(target: "follow", "event=upstream_gone upstream={id}");
                entries::remove(gateway, state, now_ms, id);
                upstreams_changed = true;
            }
            (Kind::Configuration | Kind::Weights { .. }, None) => {
                warn!(target: "follow", "event=removal_ignored key={key} reason=never_reverts");
            }
            (Kind::Members, Some(value)) => members::take(gateway, &mut state.peers, value),
            (Kind::Quarantine, Some(value)) => quarantine::restore(gateway, state, now_ms, value),
            (Kind::Members | Kind::Quarantine, None) | (Kind::Own | Kind::Other, _) => {}
        }
    }
    if upstreams_changed {
        gateway.upstreams_changed.send_modify(|count| *count += 1);
        gateway.capacity_changed.notify_waiters();
    }
}

fn put_site(state: &mut State, value: &[u8]) -> bool {
    let site = match keys::read_site(value) {
        Ok(site) => site,
        Err(error) => {
            warn!(target: "follow", "event=configuration_unreadable kept=last cause=\"{error}\"");
            return false;
        }
    };
    let in_force = state.site.as_ref().map_or(0, |site| site.version);
    if state.site.is_some() && site.version <= in_force {
        warn!(target: "follow",
            "event=configuration_older version={} in_force={in_force}", site.version);
        return false;
    }
    info!(target: "follow",
        "event=configuration_in_force version={} before={in_force} routes={} accounts={}",
        site.version, site.routes.len(), site.accounts.len());
    state.stores.configure(&site.stores);
    state.usual_limits.retain(|route| site.has_route(route));
    state.site = Some(Arc::new(site));
    true
}

fn put_weights(state: &mut State, now_ms: u64, named: Named, model: &str, value: &[u8]) {
    match keys::read_weights(model, value) {
        Ok(version) => {
            let known = state.weights.entry(model.to_owned()).or_default();
            let is_new = match named {
                Named::Now => known.add_named_at(now_ms, version),
                Named::After(after_ms) => known.add_named_after(after_ms, version),
            };
            if is_new {
                info!(target: "follow", "event=weights_named model={model} version={version} named={named:?}");
            }
        }
        Err(error) => warn!(target: "follow", "event=weights_unreadable cause=\"{error}\""),
    }
}
