//! Carries gossip between boxes: datagrams out and in. What needs more room is asked for by
//! TCP (`catch_up`).

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use log::{debug, warn};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::clock::now_ms;
use crate::gateway::claims::pause_ms;
use crate::gateway::decisions::gossip_message::{
    Gossip, LoadChanges, LoadReport, NamedVersionReport, changed_loads, reported_loads,
};
use crate::gateway::decisions::hall_summary::{HallSummary, OtherHallsSummary};
use crate::gateway::decisions::notice::NoticeState;
use crate::gateway::decisions::peers::{Audience, GOSSIP_PERIOD_MS, GossipScope};
use crate::gateway::decisions::weights::NamedVersion;
use crate::gateway::kernel::{Gateway, ObservedVersion, State};
use crate::gateway::leader_calls::{DelegatedCall, DelegatedReply, execute_for_peer};
use crate::gateway::quarantine;
use crate::gateway::weight_loads::{LOADING_GOSSIP_MS, VERSION_GOSSIP_MS};
use crate::names::number;
use crate::phase::Phase;

/// Longest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 8192;
/// Least time between two messages: changes meanwhile are told together.
const LEAST_PERIOD: Duration = Duration::from_millis(20);
/// Time over which boxes spread that go back to an upstream that rested: the first is turned
/// away and tells the others, if it rests on.
const REST_SPREAD_MS: u64 = 500;
/// Pause after a socket that failed, so that a lasting fault does not spin.
const FAILED_PAUSE: Duration = Duration::from_millis(10);

/// What boxes send each other by datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// What the sender knows and does.
    Gossip(Box<Gossip>),
    /// What has changed since the sender's gossip; for the own hall, many times a second.
    LoadChanges(LoadChanges),
    /// What the sender's hall does and knows.
    HallSummary(HallSummary),
    /// What all halls but the sender's do.
    OtherHallsSummary(OtherHallsSummary),
    /// The sender leads, and the metadata store does not answer it.
    DelegatedCall(DelegatedCall),
    /// The answer to that.
    DelegatedReply(DelegatedReply),
}

/// Tells peers, a few times a second.
pub async fn send(gateway: Arc<Gateway>, socket: Arc<UdpSocket>, incarnation: u64) {
    let mut audience = Audience::All;
    let mut told = Vec::new();
    while gateway.phase() != Phase::Stopped {
        for (datagram, targets) in compose(&gateway, incarnation, audience, &mut told) {
            send_to(&socket, &datagram, &targets).await;
        }
        audience = next_audience(&gateway).await;
    }
}

async fn send_to(socket: &UdpSocket, datagram: &Datagram, targets: &[SocketAddr]) {
    if targets.is_empty() {
        return;
    }
    let bytes = match postcard::to_stdvec(datagram) {
        Ok(bytes) => bytes,
        Err(error) => {
            warn!(target: "gossip", "event=gossip_unwritable cause=\"{error}\"");
            return;
        }
    };
    for target in targets {
        if let Err(error) = socket.send_to(&bytes, target).await {
            debug!(target: "gossip", "event=gossip_lost peer={target} cause=\"{error}\"");
        }
    }
}

/// What is told next, and to whom. `told` is what was told of loads last.
fn compose(
    gateway: &Gateway,
    incarnation: u64,
    audience: Audience,
    told: &mut Vec<LoadReport>,
) -> Vec<(Datagram, Vec<SocketAddr>)> {
    let mut state = gateway.state();
    let now_ms = now_ms();
    let audience = state.peers.due_audience(now_ms, audience);
    let reach = reach(&state);
    let targets = state.peers.next_targets(now_ms, audience, reach);
    if audience == Audience::OwnHall {
        let changes = compose_changes(&state, now_ms, incarnation, told);
        return vec![(Datagram::LoadChanges(changes), targets.full)];
    }
    let mut composed = Vec::new();
    if !targets.bridges.is_empty() {
        let fetches = fetches(&state);
        let news = state.peers.hall_summary(now_ms, own_loads(&state, now_ms), &fetches);
        composed.push((Datagram::HallSummary(news), targets.bridges));
        let others = state.peers.other_halls_summary(now_ms);
        composed.push((Datagram::OtherHallsSummary(others), targets.own_hall));
    }
    let gossip = compose_gossip(gateway, &mut state, now_ms, incarnation);
    told.clone_from(&gossip.loads);
    let brief = Datagram::Gossip(Box::new(gossip.abridged()));
    composed.push((Datagram::Gossip(Box::new(gossip)), targets.full));
    composed.push((brief, targets.abridged));
    composed
}

/// How far the word of this box reaches.
fn reach(state: &State) -> GossipScope {
    let reaches_halls = state.is_bridge() || state.leadership.is_some();
    if reaches_halls { GossipScope::AllBridges } else { GossipScope::OwnHall }
}

/// The loads that have changed since they were told.
fn compose_changes(
    state: &State,
    now_ms: u64,
    incarnation: u64,
    told: &mut Vec<LoadReport>,
) -> LoadChanges {
    let loads = changed_loads(told, own_loads(state, now_ms));
    told.retain(|known| loads.iter().all(|one| one.upstream != known.upstream));
    told.extend(&loads);
    let resting = resting(state, now_ms);
    LoadChanges { incarnation, loads, superseded: superseded(state), resting }
}

/// What this box has to do with each upstream.
fn own_loads(state: &State, now_ms: u64) -> impl Iterator<Item = LoadReport> {
    state.upstreams.iter().map(move |one| LoadReport {
        upstream: one.number,
        load: one.own_load,
        heard_age_ms: one.receive_age_ms(now_ms),
    })
}

/// Waits until there is something to tell; who is to hear it.
async fn next_audience(gateway: &Gateway) -> Audience {
    sleep(LEAST_PERIOD).await;
    let period = Duration::from_millis(GOSSIP_PERIOD_MS);
    tokio::select! {
        () = sleep(period) => Audience::All,
        () = gateway.gossip_now.notified() => Audience::All,
        () = gateway.load_changed.notified() => Audience::OwnHall,
    }
}

fn compose_gossip(gateway: &Gateway, state: &mut State, now_ms: u64, incarnation: u64) -> Gossip {
    Gossip {
        incarnation,
        hall: state.peers.local().hall,
        millicores: state.peers.local().millicores,
        view_digest: state.view.digest(),
        site_version: state.site.as_ref().map_or(0, |site| site.version),
        metadata_store: state.metadata_store_status(),
        follows_caches: state.follows_caches,
        peers: state.peers.addresses_to_share(now_ms),
        loads: reported_loads(own_loads(state, now_ms)),
        fetches: fetches(state),
        limits: state.limits.own_limits(),
        loading_engines: loading(state, now_ms),
        superseded: superseded(state),
        leaving: leaving(state),
        resting: resting(state, now_ms),
        upstream_clock_ms: state
            .upstream_clock_offset_ms
            .and_then(|ahead_ms| now_ms.checked_add_signed(ahead_ms)),
        engine_versions: versions(state, now_ms),
        named_versions: named(state, now_ms, gateway.settings.bounds.weights_apply_ms),
        leader_terms: terms(state, now_ms, pause_ms(&gateway.settings.bounds)),
        crashes: state.quarantine.told_crashes(now_ms),
        answers: state.quarantine.told_answers(now_ms),
    }
}

/// Tokens that this box fetches from stores, by their numbers.
fn fetches(state: &State) -> Vec<(u32, u32)> {
    let stores = state.stores.iter().filter(|(_, one)| one.own_fetch_tokens() > 0);
    let told = stores
        .map(|(_, one)| (one.number(), u32::try_from(one.own_fetch_tokens()).unwrap_or(u32::MAX)));
    told.collect()
}

fn superseded(state: &State) -> Vec<u32> {
    let superseded = state.upstreams.iter().filter(|one| one.is_superseded());
    superseded.map(|one| one.number).collect()
}

fn leaving(state: &State) -> Vec<u32> {
    let leaving = state.upstreams.iter().filter(|one| one.notices().leaving);
    leaving.map(|one| one.number).collect()
}

fn resting(state: &State, now_ms: u64) -> Vec<(u32, u16)> {
    let resting = state.upstreams.iter().filter_map(|one| {
        let left_ms = one.backoff_until_ms(now_ms)? - now_ms;
        Some((one.number, u16::try_from(left_ms).unwrap_or(u16::MAX)))
    });
    resting.collect()
}

/// Engines that load weights: those that this box orders, and at a bridge those that it has
/// heard of, for as long as they load still.
fn loading(state: &State, now_ms: u64) -> Vec<(u32, u16)> {
    let in_message = |left_ms: u64| u16::try_from(left_ms).unwrap_or(u16::MAX);
    let ordered = state.loading_engines.iter().filter_map(|id| state.upstreams.get(id));
    let ordered = ordered.map(|engine| (engine.number, in_message(LOADING_GOSSIP_MS)));
    let heard = state.upstreams.iter().filter(|one| {
        state.is_bridge() && one.is_loading(now_ms) && !state.loading_engines.contains(&one.id)
    });
    let heard = heard.map(|one| (one.number, in_message(one.loading_left_ms(now_ms))));
    ordered.chain(heard).collect()
}

fn versions(state: &mut State, now_ms: u64) -> Vec<(u32, u32, u64)> {
    state.observed_versions.retain(|told| told.until_ms > now_ms);
    state.observed_versions.iter().map(|told| (told.engine, told.model, told.version)).collect()
}

/// The versions of weights that were named while an engine with older ones may still be in
/// time, and as long again: all others are long overdue.
fn named(state: &State, now_ms: u64, apply_ms: u64) -> Vec<NamedVersionReport> {
    let since_ms = now_ms.saturating_sub(2 * apply_ms);
    let models = state.weights.iter().flat_map(|(model, named)| {
        let model = number(model);
        named.named_after(since_ms).map(move |naming| NamedVersionReport {
            model,
            version: naming.version,
            previous: naming.previous,
            age_ms: age_ms(now_ms, naming.named_at_ms),
        })
    });
    models.collect()
}

fn terms(state: &State, now_ms: u64, pause_ms: u64) -> Vec<(u64, u32)> {
    let told = state.terms.recent(now_ms, pause_ms);
    told.map(|(revision, at_ms)| (revision, age_ms(now_ms, at_ms))).collect()
}

fn age_ms(now_ms: u64, at_ms: u64) -> u32 {
    u32::try_from(now_ms.saturating_sub(at_ms)).unwrap_or(u32::MAX)
}

/// Hears peers.
pub async fn receive(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while gateway.phase() != Phase::Stopped {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                debug!(target: "gossip", "event=receive_failed cause=\"{error}\"");
                sleep(FAILED_PAUSE).await;
                continue;
            }
        };
        match postcard::from_bytes(&buffer[..length]) {
            Ok(Datagram::Gossip(gossip)) => hear(&gateway, from.ip(), *gossip),
            Ok(Datagram::LoadChanges(changes)) => hear_loads(&gateway, from.ip(), &changes),
            Ok(Datagram::HallSummary(news)) => {
                gateway.state().peers.receive_hall_summary(now_ms(), news);
            }
            Ok(Datagram::OtherHallsSummary(news)) => {
                gateway.state().peers.receive_other_halls(now_ms(), &news);
            }
            Ok(Datagram::DelegatedCall(request)) => {
                tokio::spawn(execute_for_peer(gateway.clone(), socket.clone(), request, from));
            }
            Ok(Datagram::DelegatedReply(reply)) => {
                gateway.delegated_replies.send_replace(Some(reply));
            }
            Err(error) => {
                warn!(target: "gossip", "event=gossip_unreadable peer={from} cause=\"{error}\"");
            }
        }
    }
}

/// Takes what a peer knows and does.
fn hear(gateway: &Gateway, from: IpAddr, gossip: Gossip) {
    let mut state = gateway.state();
    let now_ms = now_ms();
    let own = state.view.digest();
    if take_weights(&mut state, now_ms, &gossip) && state.is_bridge() {
        // The own hall hears it from this bridge.
        gateway.gossip_now.notify_one();
    }
    take_namings(&mut state, now_ms, &gossip);
    for (revision, age_ms) in &gossip.leader_terms {
        state.terms.merge(*revision, now_ms.saturating_sub(u64::from(*age_ms)));
    }
    supersede(&mut state, &gossip.superseded);
    take_leaving(&mut state, &gossip.leaving);
    take_resting(&mut state, now_ms, &gossip.resting);
    quarantine::merge_peer_reports(gateway, &mut state, now_ms, &gossip);
    if let Some(clock_ms) = gossip.upstream_clock_ms {
        state.update_upstream_clock_offset(now_ms, clock_ms);
    }
    if !gossip.engine_versions.is_empty() {
        // Requests may wait for an engine that has its new weights now.
        gateway.capacity_changed.notify_waiters();
    }
    let mut upstreams = state.peers.upstreams_reported_by(from);
    upstreams.extend(gossip.loads.iter().map(|told| told.upstream));
    if state.peers.receive_gossip(now_ms, from, gossip, own) {
        // Boxes that start together know each other within some round trips.
        gateway.gossip_now.notify_one();
    }
    if state.peers.has_different_view(from, own) {
        gateway.catch_up_now.notify_one();
    }
    for upstream in upstreams {
        state.apply_peer_load(upstream);
    }
    let State { stores, peers, .. } = &mut *state;
    for (_, store) in stores.iter_mut() {
        store.set_peer_fetch_tokens(peers.fetch_tokens(store.number()));
    }
}

/// Takes the loads that a peer has changed.
fn hear_loads(gateway: &Gateway, from: IpAddr, changes: &LoadChanges) {
    let mut state = gateway.state();
    let now_ms = now_ms();
    supersede(&mut state, &changes.superseded);
    take_resting(&mut state, now_ms, &changes.resting);
    state.peers.receive_load_changes(now_ms, from, changes);
    for told in &changes.loads {
        state.apply_peer_load(told.upstream);
    }
}

/// Takes which upstreams said to a peer that they leave.
fn take_leaving(state: &mut State, leaving: &[u32]) {
    for number in leaving {
        if let Some(upstream) = state.upstreams.get_by_number_mut(*number) {
            upstream.apply_notices(NoticeState { leaving: true, ..NoticeState::default() });
        }
    }
}

/// Takes which upstreams a peer leaves alone, and for how long.
fn take_resting(state: &mut State, now_ms: u64, resting: &[(u32, u16)]) {
    let spread_ms = u64::from(state.peers.local().number) % REST_SPREAD_MS;
    for (number, left_ms) in resting {
        if let Some(upstream) = state.upstreams.get_by_number_mut(*number) {
            upstream.set_peer_backoff(now_ms + u64::from(*left_ms) + spread_ms);
        }
    }
}

fn supersede(state: &mut State, upstreams: &[u32]) {
    for upstream in upstreams {
        if let Some(upstream) = state.upstreams.get_by_number_mut(*upstream) {
            upstream.mark_superseded();
        }
    }
}

/// Takes what the leader tells of engines' weights; whether some of it is new.
fn take_weights(state: &mut State, now_ms: u64, gossip: &Gossip) -> bool {
    let mut is_new = false;
    for (engine, left_ms) in &gossip.loading_engines {
        let Some(engine) = state.upstreams.get_by_number_mut(*engine) else { continue };
        is_new |= !engine.is_loading(now_ms);
        engine.set_loading_until(now_ms + u64::from(*left_ms));
    }
    for (number, model, version) in &gossip.engine_versions {
        if let Some(engine) = state.upstreams.get_by_number_mut(*number)
            && let Some(name) = engine.model_by_number(*model)
            && *version > engine.weight_version(&name)
        {
            engine.set_loading_until(0);
            engine.record_weight_version(&name, *version);
            is_new = true;
            if state.is_bridge() {
                state.observed_versions.push(ObservedVersion {
                    engine: *number,
                    model: *model,
                    version: *version,
                    until_ms: now_ms + VERSION_GOSSIP_MS,
                });
            }
        }
    }
    is_new
}

/// Takes since when versions of weights are named.
fn take_namings(state: &mut State, now_ms: u64, gossip: &Gossip) {
    for told in &gossip.named_versions {
        let mut known = state.weights.iter_mut();
        if let Some((_, named)) = known.find(|(model, _)| number(model) == told.model) {
            let at_ms = now_ms.saturating_sub(u64::from(told.age_ms));
            let naming =
                NamedVersion { version: told.version, previous: told.previous, named_at_ms: at_ms };
            named.merge(naming);
        }
    }
}
