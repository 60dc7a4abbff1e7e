//! Keeps this box's view of the metadata store up to date, from the store's watches or, when
//! the store is out of reach, from peers.
//!
//! One watch covers all keys, so a box that knows a change also knows every earlier one.
//! After a failure the watch resumes at the same revision; if the store no longer has the
//! history from there, all keys are listed again.
//!
//! A watch whose answer is lost looks like a store without changes. Each change ends the
//! watches of all boxes at once, so all of their answers can be lost together. Watches are
//! therefore short enough that a lost one is noticed well before a change must be in force.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::time::Duration;

use log::{Level, debug, error, info, log, warn};
use tokio::time::{Instant, sleep, sleep_until};

use crate::box_phase::BoxPhase;
use crate::clock::now_ms;
use crate::error::{Error, Result};
use crate::gateway::decisions::listing::{Listing, PageRequest};
use crate::gateway::decisions::units::{as_f64, rounded_ms};
use crate::gateway::decisions::view::{CatchUp, VersionedValue, ViewChange};
use crate::gateway::decisions::weights::UNKNOWN_TIME_MS;
use crate::gateway::kernel::{Gateway, State};
use crate::gateway::metadata::{Change, Freshness, Item, WatchResult, WatchWait};
use crate::gateway::settings::Bounds;
use crate::gateway::{
    claims, cold_starts, configuration_check, engine_speeds, entries, members, quarantine,
    rate_limits, stored_versions,
};
use crate::platform::keys::{self, KeyKind};
use crate::supervisor::panic_text;

/// A watch waits for at most this fraction (1/n) of the time in which a change must be in
/// force.
const WAIT_DIVISOR: u64 = 2;
/// The answer to a watch may be late by this fraction (1/n) of that time; the remainder is
/// left for another watch.
const GRACE_DIVISOR: u64 = 4;
/// Minimum wait of a watch whatever the configured bounds are, which limits a box to ten
/// calls per second.
const MIN_WAIT_MS: u64 = 100;
/// Wait of a watch after a failed call: short, so that the recovery of the store is noticed
/// soon, with a long grace period in case the store is only slow.
const WAIT_AFTER_FAILURE: WatchWait = WatchWait { wait_ms: 200, grace_ms: 1000 };
/// Pause between two watches in a large fleet, so that one answer covers several changes:
/// each change ends the watches of the followers in all halls. A small part of the two
/// seconds in which a change must be in force.
const BATCH_PAUSE: Duration = Duration::from_millis(400);
/// Pause after the first failed call; it doubles with each further failure.
const MIN_RETRY_PAUSE_MS: u64 = 100;
/// Maximum pause after failed calls: upstreams that left during an outage of the store must
/// be known soon after it.
const MAX_RETRY_PAUSE_MS: u64 = 400;
/// Maximum time for which a newly started box waits for gossip from its peers before it
/// decides whether to follow the store: in a large fleet only a few boxes do.
const PEER_DISCOVERY_MS: u64 = 500;
/// Most changes of upstreams in one update that are logged one by one. Otherwise each box of a fleet
/// would log all of its upstreams whenever it starts or falls behind, which is boxes times upstreams.
const MAX_LOGGED_CHANGES: usize = 256;
/// Interval of the periodic work in [`tick`], and of checks while waiting.
const TICK: Duration = Duration::from_millis(100);
/// What a listing reads. The boxes' own items are first: their list of members shows a box how many
/// others start with it.
const LISTED_PREFIXES: &[&str] = &[keys::OWN_PREFIX, keys::UPSTREAM_PREFIX, keys::OPERATOR_PREFIX];

/// Follows the metadata store until the box stops.
pub async fn run(gateway: Arc<Gateway>) {
    let mut pause_ms = MIN_RETRY_PAUSE_MS;
    let mut listed = false;
    // A stale listing costs the store little; all boxes of a fleet may start at once.
    let mut freshness = Freshness::Stale;
    let mut listing = None;
    while gateway.phase() != BoxPhase::Stopped {
        if !needs_store(&gateway, listed) {
            listing = None;
            wait_for_peers(&gateway).await;
            sleep(TICK).await;
            continue;
        }
        let asked_at_ms = now_ms();
        let result = if listed {
            watch(&gateway).await
        } else {
            list(&gateway, &mut listing, freshness).await
        };
        match result {
            Ok(CallEnd::Interrupted) => {}
            Ok(end) => {
                listed = end == CallEnd::Answered;
                freshness = Freshness::Latest;
                wait_for_peers(&gateway).await;
                pause_ms = MIN_RETRY_PAUSE_MS;
                if gateway.state().peers.may_be_large_fleet(now_ms()) {
                    sleep(BATCH_PAUSE).await;
                }
            }
            Err(error) => {
                note_store_failed(&gateway, asked_at_ms, &error);
                let pause = Duration::from_millis(pause_ms + fastrand::u64(0..pause_ms));
                wait_unless_loaded(&gateway, pause).await;
                pause_ms = (pause_ms * 2).min(MAX_RETRY_PAUSE_MS);
            }
        }
    }
}

/// Whether this box has to ask the store: if it follows the store, or has not learned its items yet,
/// from the store or from a peer.
fn needs_store(gateway: &Gateway, listed: bool) -> bool {
    let state = gateway.state();
    state.follows_metadata || !(listed || state.view.is_loaded())
}

/// Waits, but no longer than until a peer has told this box the items of the store.
async fn wait_unless_loaded(gateway: &Gateway, pause: Duration) {
    let until = Instant::now() + pause;
    let was_loaded = gateway.state().view.is_loaded();
    while Instant::now() < until && gateway.state().view.is_loaded() == was_loaded {
        sleep_until(until.min(Instant::now() + TICK)).await;
    }
}

/// Waits, once after the start, until the box knows its peers and thus the size of its fleet.
async fn wait_for_peers(gateway: &Gateway) {
    if gateway.state().warmed_up_at_ms.is_some() {
        return;
    }
    let until_ms = now_ms() + PEER_DISCOVERY_MS;
    while now_ms() < until_ms && !gateway.state().peers.is_fleet_known(now_ms()) {
        sleep(TICK).await;
    }
    let mut state = gateway.state();
    let now_ms = now_ms();
    update_role(gateway, &mut state, now_ms);
    state.warmed_up_at_ms = Some(now_ms);
}

/// Re-evaluates whether this box follows the metadata store, and whether it follows the context
/// that engines and context stores cache.
fn update_role(gateway: &Gateway, state: &mut State, now_ms: u64) {
    let follows = state.peers.is_follower(now_ms);
    let caches = state.peers.is_cache_follower(now_ms, state.reach.misses_stores());
    let small_fleet = state.peers.is_small_fleet();
    let before = (state.follows_metadata, state.follows_caches, state.small_fleet);
    if (follows, caches, small_fleet) == before {
        return;
    }
    info!(target: "follow",
        "event=role_changed follows={follows} caches={caches} small_fleet={small_fleet} boxes={}",
        state.peers.live_boxes(now_ms));
    if follows && !state.follows_metadata && state.view.is_loaded() {
        state.upstreams.require_versions_read();
        state.configuration_knowledge.require_read();
    }
    state.follows_metadata = follows;
    state.follows_caches = caches;
    state.small_fleet = small_fleet;
    gateway.upstreams_changed.send_modify(|count| *count += 1);
    // Interrupts the current watch, which could otherwise last for seconds.
    gateway.refresh_metadata.notify_one();
}

/// Periodically updates the role of this box, applies removals that are due and expires
/// outdated state.
pub async fn tick(gateway: Arc<Gateway>) {
    let mut expiry_due_at_ms = 0;
    gateway.state().pauses.tick(now_ms());
    while gateway.phase() != BoxPhase::Stopped {
        sleep(TICK).await;
        let mut state = gateway.state();
        let now_ms = now_ms();
        state.configuration_knowledge.tick(now_ms);
        state.pauses.tick(now_ms);
        update_role(&gateway, &mut state, now_ms);
        if now_ms >= expiry_due_at_ms {
            expiry_due_at_ms = now_ms + state.peers.expiry_period_ms();
            state.apply_peer_reports(now_ms);
            engine_speeds::update_gauge(&mut state, now_ms);
        }
        state.update_account_shares(now_ms);
        metrics::gauge!("coursestile_limited_accounts")
            .set(as_f64(state.account_shares.limited_count() as u64));
        cold_starts::update_allowances(&gateway, &mut state, now_ms);
        rate_limits::update_gauge(&state);
        state.admission_limits.recover(now_ms, TICK.as_secs_f64());
        let changes = state.view.apply_due_removals(now_ms);
        apply(&gateway, &mut state, now_ms, NamedAt::Now, &changes);
        if !state.small_fleet {
            for (_, store) in state.stores.iter_mut() {
                store.speed.check_overdue(now_ms);
            }
        }
        for (store, count) in state.stores.settle_saves(now_ms) {
            info!(target: "stores", "event=saves_lost store={store} count={count}");
        }
        gateway.connections.close_expired(now_ms, |path| state.is_path_usable(now_ms, path));
    }
}

/// Longest time, in seconds, for which any engine has lacked a newer weight version, as far
/// as this box knows.
#[must_use]
pub fn longest_weight_lag_s(state: &State, now_ms: u64) -> f64 {
    let since_ms = state.weights.iter().flat_map(|(model, named)| {
        let engines = state.upstreams.current().map(|engine| engine.weight_version(model));
        let since_ms = engines.filter_map(|version| named.behind_since_ms(version));
        since_ms.filter(|since_ms| *since_ms != UNKNOWN_TIME_MS)
    });
    let first_ms = since_ms.min().unwrap_or(now_ms);
    Duration::from_millis(now_ms.saturating_sub(first_ms)).as_secs_f64()
}

/// Applies a peer's answer to a catch-up query, unless this box already knows more.
pub fn apply_catch_up(gateway: &Gateway, catch_up: CatchUp) {
    let mut state = gateway.state();
    let (at_revision, is_full) = match &catch_up {
        CatchUp::Full(snapshot) => (snapshot.at_revision, true),
        CatchUp::Delta { changed, .. } | CatchUp::Listed { changed, .. } => {
            (changed.at_revision, false)
        }
    };
    if at_revision < state.view.last_change_revision() {
        return;
    }
    let now_ms = now_ms();
    let named = named_at(gateway, &state, now_ms);
    let is_first = !state.view.is_loaded();
    let changes = state.view.apply_catch_up(now_ms, catch_up, is_covered);
    info!(target: "follow",
        "event=caught_up at_revision={at_revision} whole={is_full} changes={}", changes.len());
    apply(gateway, &mut state, now_ms, named, &changes);
    if is_first {
        // Boxes of the hall that have started together with this one can get the items from it.
        gateway.gossip_now.notify_one();
    }
}

/// How a listing or a watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallEnd {
    /// The store answered; the next watch resumes at the revision of the answer.
    Answered,
    /// The store no longer has the history since the known revision.
    HistoryLost,
    /// This box ended the wait itself, which says nothing about the store.
    Interrupted,
}

/// Reads the pages that `listing` still lacks, and replaces the view by it once it is complete.
async fn list(
    gateway: &Gateway,
    listing: &mut Option<Listing>,
    freshness: Freshness,
) -> Result<CallEnd> {
    let pending = listing.get_or_insert_with(|| Listing::new(now_ms(), LISTED_PREFIXES, freshness));
    while let Some(PageRequest { prefix, after }) = pending.next_page() {
        let is_long = prefix == keys::UPSTREAM_PREFIX && after.is_some();
        if is_long && !wait_for_turn(gateway, pending).await {
            return Ok(CallEnd::Interrupted);
        }
        metrics::counter!("coursestile_listing_pages_total").increment(1);
        let freshness = pending.freshness();
        let page = gateway.metadata.list_page(prefix, after.as_deref(), freshness).await?;
        note_store_answered(gateway);
        pending.add_page(page);
        if prefix == keys::OWN_PREFIX
            && let Some(members) = pending.get(&keys::members())
        {
            members::apply(gateway, &mut gateway.state().peers, &members.value);
        }
    }
    if let Some(complete) = listing.take() {
        apply_listing(gateway, complete);
    }
    Ok(CallEnd::Answered)
}

/// Waits until this box is to read the rest of a long listing. Returns false if it need not read it
/// any more, because a peer has told it the items.
async fn wait_for_turn(gateway: &Gateway, listing: &mut Listing) -> bool {
    wait_for_peers(gateway).await;
    let since_ms = listing.turn_awaited_since_ms(now_ms());
    while gateway.phase() != BoxPhase::Stopped && needs_store(gateway, false) {
        let now_ms = now_ms();
        if now_ms >= since_ms + gateway.state().peers.listing_delay_ms(now_ms) {
            return true;
        }
        sleep(TICK).await;
    }
    false
}

fn apply_listing(gateway: &Gateway, listing: Listing) {
    let (pages, freshness) = (listing.pages(), listing.freshness());
    let started_at_ms = listing.started_at_ms();
    let snapshot = listing.into_snapshot();
    let mut state = gateway.state();
    let now_ms = now_ms();
    let named = NamedAt::After(state.view.synced_at_ms().unwrap_or(UNKNOWN_TIME_MS));
    if freshness == Freshness::Latest {
        state.view.mark_synced(now_ms);
        state.upstreams.record_followed(started_at_ms);
        state.configuration_knowledge.record_followed(started_at_ms);
    }
    let (at_revision, items) = (snapshot.at_revision, snapshot.items.len());
    let changes = state.view.apply_snapshot(now_ms, snapshot, is_covered, is_ephemeral);
    info!(target: "follow",
        "event=listed at_revision={at_revision} items={items} changes={} pages={pages} took_ms={}",
        changes.len(), now_ms.saturating_sub(started_at_ms));
    apply(gateway, &mut state, now_ms, named, &changes);
}

/// Waits for changes and applies them.
async fn watch(gateway: &Gateway) -> Result<CallEnd> {
    let (after, is_available) = {
        let state = gateway.state();
        (state.view.at_revision(), state.view.is_store_available())
    };
    let asked_at_ms = now_ms();
    let wait =
        if is_available { regular_wait(&gateway.settings.bounds) } else { WAIT_AFTER_FAILURE };
    let wait = with_jitter(wait);
    let watched = tokio::select! {
        watched = gateway.metadata.watch("", after, wait) => watched?,
        () = gateway.refresh_metadata.notified() => return Ok(CallEnd::Interrupted),
    };
    let (changes, at_revision) = match watched {
        WatchResult::Changes { changes, at_revision } => (changes, at_revision),
        WatchResult::HistoryLost => {
            info!(target: "follow", "event=history_lost after_revision={after}");
            note_store_answered(gateway);
            return Ok(CallEnd::HistoryLost);
        }
    };
    note_store_answered(gateway);
    let mut state = gateway.state();
    let now_ms = now_ms();
    // The store answers without changes only once the wait is over.
    let waited_ms = if changes.is_empty() { wait.wait_ms } else { 0 };
    let complete_as_of_ms = Some(asked_at_ms + waited_ms).filter(|as_of_ms| *as_of_ms <= now_ms);
    let mut applied = Vec::new();
    for change in changes {
        match change {
            Change::Put(Item { key, value, revision }) if is_covered(&key) => {
                applied.extend(state.view.put(key, VersionedValue { revision, value }));
            }
            Change::Removed { key, revision } if is_covered(&key) => {
                let is_ephemeral = is_ephemeral(&key);
                applied.extend(state.view.remove(now_ms, &key, revision, is_ephemeral));
            }
            Change::Put(_) | Change::Removed { .. } => {}
        }
    }
    state.view.advance_to(at_revision);
    let named = named_at(gateway, &state, now_ms);
    state.view.mark_synced(now_ms);
    state.upstreams.record_followed(asked_at_ms);
    let as_of_ms = complete_as_of_ms.unwrap_or(asked_at_ms);
    state.configuration_knowledge.record_followed(as_of_ms);
    apply(gateway, &mut state, now_ms, named, &applied);
    Ok(CallEnd::Answered)
}

/// Wait of a watch while the store answers.
fn regular_wait(bounds: &Bounds) -> WatchWait {
    let change_ms = bounds.change_apply_ms.min(bounds.departure_apply_ms);
    let wait_ms = (change_ms / WAIT_DIVISOR).max(MIN_WAIT_MS);
    WatchWait { wait_ms, grace_ms: (change_ms / GRACE_DIVISOR).max(MIN_WAIT_MS) }
}

/// Maximum time without an answer that a single lost watch can account for.
#[must_use]
pub fn lost_watch_ms(bounds: &Bounds) -> u64 {
    let WatchWait { wait_ms, grace_ms } = regular_wait(bounds);
    let pauses_ms = 2 * MIN_RETRY_PAUSE_MS + rounded_ms(BATCH_PAUSE.as_secs_f64() * 1000.0);
    wait_ms + grace_ms + pauses_ms
}

/// Shortens a wait at random, so that the watches of all boxes do not end together.
fn with_jitter(wait: WatchWait) -> WatchWait {
    WatchWait { wait_ms: wait.wait_ms - fastrand::u64(0..=wait.wait_ms / 4), ..wait }
}

/// Whether the gateway uses the item with this key.
fn is_covered(key: &str) -> bool {
    keys::kind(key) != KeyKind::Other
}

/// Whether the item disappears by itself when its writer stops renewing it.
fn is_ephemeral(key: &str) -> bool {
    matches!(keys::kind(key), KeyKind::Upstream { .. })
}

fn note_store_answered(gateway: &Gateway) {
    if gateway.state().view.note_store_answer(now_ms()) {
        configuration_check::note_store_answers(gateway);
        gateway.gossip_now.notify_one();
        info!(target: "follow", "event=dependency_regained dependency=metadata_store");
    }
}

fn note_store_failed(gateway: &Gateway, asked_at_ms: u64, error: &Error) {
    metrics::counter!("coursestile_metadata_failures_total").increment(1);
    let mut state = gateway.state();
    let after_revision = state.view.at_revision();
    let waited_ms = now_ms().saturating_sub(asked_at_ms);
    if matches!(error, Error::PlatformUnable(_)) {
        state.view.note_store_unavailable();
    }
    if state.view.note_store_failure() {
        // Another box of the hall is to follow the store in place of this one.
        gateway.gossip_now.notify_one();
        warn!(target: "follow",
            "event=dependency_lost dependency=metadata_store after_revision={after_revision} \
             waited_ms={waited_ms} cause=\"{error}\"");
    } else {
        debug!(target: "follow",
            "event=store_call_failed after_revision={after_revision} waited_ms={waited_ms} \
             cause=\"{error}\"");
    }
}

/// When operators named the weight versions that a listing or a watch shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NamedAt {
    /// Just now, as far as this box can know.
    Now,
    /// At some time after this one; boxes that were running then report when.
    After(u64),
}

/// Whether items that this box has not seen may have come and gone since its view was last complete.
fn is_after_gap(gateway: &Gateway, named: NamedAt, now_ms: u64) -> bool {
    match named {
        NamedAt::Now => false,
        NamedAt::After(at_ms) => now_ms > at_ms + lost_watch_ms(&gateway.settings.bounds),
    }
}

/// When weight versions that this box learns of now were named. If its view was last complete
/// longer ago than a lost watch accounts for, they were named at some time since then.
fn named_at(gateway: &Gateway, state: &State, now_ms: u64) -> NamedAt {
    let synced_at_ms = state.view.synced_at_ms();
    let lost_watch_ms = lost_watch_ms(&gateway.settings.bounds);
    match synced_at_ms {
        Some(at_ms) if now_ms > at_ms + lost_watch_ms => NamedAt::After(at_ms),
        Some(_) => NamedAt::Now,
        // This box learns from peers only, or has just started.
        None if state.view.is_loaded() => NamedAt::Now,
        None => NamedAt::After(UNKNOWN_TIME_MS),
    }
}

/// Applies changes of the view to the other parts of the state.
fn apply(
    gateway: &Gateway,
    state: &mut State,
    now_ms: u64,
    named: NamedAt,
    changes: &[ViewChange],
) {
    claims::note_leader(state, now_ms);
    if !changes.is_empty() && state.follows_metadata {
        // Other boxes learn of the changes from this one.
        gateway.gossip_now.notify_one();
    }
    let is_logged = changes.len() <= MAX_LOGGED_CHANGES;
    let level = if is_logged { Level::Info } else { Level::Debug };
    if !is_logged {
        info!(target: "follow", "event=many_changes count={}", changes.len());
    }
    if is_after_gap(gateway, named, now_ms) {
        state.upstreams.record_gap(now_ms);
    }
    let mut upstreams_changed = false;
    for change in changes {
        // An item that meets a fault of this program must not keep the others from being applied.
        let applied = catch_unwind(AssertUnwindSafe(|| {
            apply_change(gateway, state, now_ms, named, level, change)
        }));
        upstreams_changed |= applied.unwrap_or_else(|cause| {
            log_failed(change, panic_text(&*cause));
            true
        });
    }
    stored_versions::update_from_view(state);
    if state.view.is_loaded() {
        state.upstreams.record_complete(now_ms);
    }
    if upstreams_changed {
        notify_changed(gateway, state, now_ms);
    }
}

/// Wakes what waits for a change of the upstreams or of the configuration.
fn notify_changed(gateway: &Gateway, state: &mut State, now_ms: u64) {
    cold_starts::update_allowances(gateway, state, now_ms);
    gateway.upstreams_changed.send_modify(|count| *count += 1);
    gateway.capacity_changed.notify_waiters();
}

/// Applies a change of one item; returns whether the set of usable upstreams has changed.
fn apply_change(
    gateway: &Gateway,
    state: &mut State,
    now_ms: u64,
    named: NamedAt,
    level: Level,
    change: &ViewChange,
) -> bool {
    let (key, value) = match change {
        ViewChange::Put { key, value } => (key, Some(value.as_slice())),
        ViewChange::Removed { key } => (key, None),
    };
    match (keys::kind(key), value) {
        (KeyKind::Configuration, Some(value)) => {
            return apply_configuration(state, value) == ConfigurationChange::InForce;
        }
        (KeyKind::Weights { model }, Some(value)) => {
            apply_named_version(state, now_ms, named, model, value);
        }
        (KeyKind::Upstream { id }, Some(value)) => {
            return entries::apply(gateway, state, now_ms, (id, value), level);
        }
        (KeyKind::Upstream { id }, None) => {
            log!(target: "follow", level, "event=upstream_gone upstream={id}");
            entries::remove(gateway, state, now_ms, id);
            return true;
        }
        (KeyKind::Evacuation { hall }, Some(_)) => {
            info!(target: "follow", "event=evacuation_began hall={hall}");
            state.upstreams.begin_evacuation(hall);
            return true;
        }
        (KeyKind::Evacuation { hall }, None) => {
            info!(target: "follow", "event=evacuation_ended hall={hall}");
            let configuration = state.configuration.clone();
            state.upstreams.end_evacuation(now_ms, hall, |service| {
                let services = configuration.as_ref().map(|known| &known.services);
                let service = services.and_then(|services| services.get(service));
                service.map_or(0, |service| service.cold_start.duration_ms)
            });
            return true;
        }
        (KeyKind::Configuration | KeyKind::Weights { .. }, None) => {
            warn!(target: "follow", "event=removal_ignored key={key} reason=never_reverts");
        }
        (KeyKind::Members, Some(value)) => members::apply(gateway, &mut state.peers, value),
        (KeyKind::Quarantine, Some(value)) => {
            quarantine::restore(gateway, state, now_ms, value);
        }
        (KeyKind::QuarantinedParts, Some(value)) => {
            quarantine::restore_parts(gateway, state, now_ms, value);
        }
        (KeyKind::Members | KeyKind::Quarantine | KeyKind::QuarantinedParts, None)
        // The stored versions are taken from the view, which may have them again as they were.
        | (KeyKind::Software | KeyKind::Own | KeyKind::Other, _) => {}
    }
    false
}

fn log_failed(change: &ViewChange, cause: &str) {
    let (ViewChange::Put { key, .. } | ViewChange::Removed { key }) = change;
    metrics::counter!("coursestile_items_failed_total").increment(1);
    error!(target: "follow", "event=item_failed key={key} cause=\"{cause}\"");
}

/// What became of a configuration that this box has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigurationChange {
    /// It is newer than the one before, and in force now.
    InForce,
    /// It is the one in force, or an older one.
    NotNewer,
    Unreadable,
}

/// Applies the stored configuration, which the view of this box may lack.
pub fn apply_configuration_read(
    gateway: &Gateway,
    state: &mut State,
    value: &[u8],
) -> ConfigurationChange {
    let change = apply_configuration(state, value);
    if change == ConfigurationChange::InForce {
        notify_changed(gateway, state, now_ms());
    }
    change
}

/// Applies a configuration if it is newer than the one in force.
fn apply_configuration(state: &mut State, value: &[u8]) -> ConfigurationChange {
    let configuration = match keys::read_configuration(value) {
        Ok(configuration) => configuration,
        Err(error) => {
            warn!(target: "follow", "event=configuration_unreadable kept=last cause=\"{error}\"");
            state.configuration_knowledge.forget();
            return ConfigurationChange::Unreadable;
        }
    };
    let in_force = state.configuration.as_ref().map_or(0, |configuration| configuration.version);
    if state.configuration.is_some() && configuration.version <= in_force {
        if configuration.version < in_force {
            warn!(target: "follow",
                "event=configuration_older version={} in_force={in_force}", configuration.version);
        }
        return ConfigurationChange::NotNewer;
    }
    info!(target: "follow",
        "event=configuration_in_force version={} before={in_force} routes={} accounts={}",
        configuration.version, configuration.routes.len(), configuration.accounts.len());
    state.stores.configure(&configuration.stores);
    state.route_timeouts.retain(|route| configuration.has_route(route));
    state.returns.retain_routes(|route| configuration.has_route(route));
    state.run_lengths.retain(|route| configuration.has_route_id(route));
    state.configuration = Some(Arc::new(configuration));
    ConfigurationChange::InForce
}

/// Notes a weight version that operators have named for a model.
fn apply_named_version(state: &mut State, now_ms: u64, named: NamedAt, model: &str, value: &[u8]) {
    match keys::read_weights(model, value) {
        Ok(version) => {
            let known = state.weights.entry(model.to_owned()).or_default();
            let is_new = match named {
                NamedAt::Now => known.add_named_at(now_ms, version),
                NamedAt::After(after_ms) => known.add_named_after(after_ms, version),
            };
            if is_new {
                info!(target: "follow",
                    "event=weights_named model={model} version={version} named={named:?}");
            }
        }
        Err(error) => warn!(target: "follow", "event=weights_unreadable cause=\"{error}\""),
    }
}
