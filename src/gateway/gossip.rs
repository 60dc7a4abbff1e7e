//! Sends and receives the UDP datagrams that boxes exchange. What does not fit into a datagram
//! is fetched by TCP (`catch_up`).

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::{debug, warn};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::{sleep, sleep_until};

use crate::box_phase::BoxPhase;
use crate::clock::{instant_at, now_ms};
use crate::gateway::claims::handover_pause_ms;
use crate::gateway::configuration_check::{ConfigurationAnswer, ConfigurationQuery};
use crate::gateway::decisions::engine_speed::{SampleOrigin, SpeedReport};
use crate::gateway::decisions::gossip_budget::GossipBudget;
use crate::gateway::decisions::gossip_message::{
    AbortsReport, Gossip, LoadChanges, LoadReport, MetadataStoreStatus, NamedVersionReport,
    PartReports, SlowdownReport, changed_loads, reported_loads,
};
use crate::gateway::decisions::hall_summary::{HallSummary, OtherHallsSummary};
use crate::gateway::decisions::notice::NoticeState;
use crate::gateway::decisions::peers::{Audience, GOSSIP_PERIOD_MS, GossipScope};
use crate::gateway::decisions::permits::{PermitAnswer, PermitQuery};
use crate::gateway::decisions::rate_limit::RateLimit;
use crate::gateway::decisions::returns::Source;
use crate::gateway::decisions::stream_origins::{OriginAnswer, OriginQuery, OriginReport};
use crate::gateway::decisions::trials::{TrialAnswer, TrialQuery};
use crate::gateway::decisions::weights::NamedVersion;
use crate::gateway::kernel::{Gateway, ObservedVersion, State};
use crate::gateway::leader_calls::{DelegatedCall, DelegatedReply, execute_for_peer};
use crate::gateway::stored_versions::{VersionsAnswer, VersionsQuery};
use crate::gateway::weight_loads::{LOADING_GOSSIP_MS, VERSION_GOSSIP_MS};
use crate::gateway::{
    configuration_check, crashes, origins, quarantine, rate_limits, stored_versions, trials,
};
use crate::names::short_id;

/// Maximum length of a datagram that is read.
pub const MAX_DATAGRAM_BYTES: usize = 16_384;
/// Minimum interval between two rounds of gossip; changes in between are sent together.
const MIN_PERIOD: Duration = Duration::from_millis(20);
/// Boxes return to an upstream that has rejected requests at different times within this window: if
/// it still rejects requests, the first box to return finds out and informs the others.
const RETURN_SPREAD_MS: u64 = 500;
/// Most rate limits in one message, so that it fits a datagram.
const MAX_RATE_LIMITS: usize = 64;
/// Messages in which a sample of the speed of an engine is sent, so that one may be lost.
const SPEED_MESSAGES: u64 = 2;
/// Pause after a socket error, so that a persistent error does not cause a busy loop.
const SOCKET_ERROR_PAUSE: Duration = Duration::from_millis(10);

/// A message that boxes exchange by UDP.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// State and load of the sender.
    Gossip(Box<Gossip>),
    /// Loads that have changed since the sender's last gossip; sent many times a second within
    /// the hall.
    LoadChanges(LoadChanges),
    /// Summary of the sender's hall, sent to other halls.
    HallSummary(HallSummary),
    /// Summaries of all other halls, sent within the sender's hall.
    OtherHallsSummary(OtherHallsSummary),
    /// A call to the metadata store that the leader asks this box to execute, since the store
    /// does not answer the leader.
    DelegatedCall(DelegatedCall),
    /// Result of such a call.
    DelegatedReply(DelegatedReply),
    /// Requests that upstreams have just aborted.
    AbortsReport(AbortsReport),
    /// Acknowledges a report that has a number.
    Acknowledged {
        /// See [`AbortsReport::number`] and [`PartReports::number`].
        number: u64,
    },
    /// Where a stream has begun.
    StreamOrigin(OriginReport),
    /// A question about where a stream began.
    OriginQuery(OriginQuery),
    /// The answer to an [`OriginQuery`].
    OriginAnswer(OriginAnswer),
    /// Parts of prompts under which upstreams have crashed, and those that were cleared.
    PartReports(PartReports),
    /// A question whether a request may run as the trial of a part.
    TrialQuery(TrialQuery),
    /// The answer to a [`TrialQuery`].
    TrialAnswer(TrialAnswer),
    /// The end of a trial that was granted.
    TrialEnd(TrialQuery),
    /// Rate limits that have changed: short ids of the upstreams, and what is known.
    RateLimits(Vec<(u32, RateLimit)>),
    /// A question for permits to send to an upstream with a rate limit.
    PermitQuery(PermitQuery),
    /// The answer to a [`PermitQuery`].
    PermitAnswer(PermitAnswer),
    /// A question for the stored versions of software.
    VersionsQuery(VersionsQuery),
    /// The answer to a [`VersionsQuery`].
    VersionsAnswer(VersionsAnswer),
    /// A question for the version of the configuration.
    ConfigurationQuery(ConfigurationQuery),
    /// The answer to a [`ConfigurationQuery`].
    ConfigurationAnswer(ConfigurationAnswer),
}

/// Sends gossip to peers, a few times a second and whenever something urgent changes.
pub async fn send(gateway: Arc<Gateway>, socket: Arc<UdpSocket>, incarnation: u64) {
    let mut audience = Audience::All;
    let mut sent_loads = Vec::new();
    let mut budget = GossipBudget::new(now_ms(), gateway.settings.link_mbps);
    while gateway.phase() != BoxPhase::Stopped {
        for (datagram, targets) in compose(&gateway, incarnation, audience, &mut sent_loads) {
            gateway.peer_traffic.record_sent(&datagram, targets.len());
            budget.record_sent(now_ms(), send_to(&socket, &datagram, &targets).await);
        }
        audience = next_audience(&gateway, &budget).await;
    }
}

/// Sends a datagram to each target; one that cannot be sent counts as lost. Returns the number of
/// bytes.
pub async fn send_to(socket: &UdpSocket, datagram: &Datagram, targets: &[SocketAddr]) -> usize {
    if targets.is_empty() {
        return 0;
    }
    let bytes = match postcard::to_stdvec(datagram) {
        Ok(bytes) => bytes,
        Err(error) => {
            warn!(target: "gossip", "event=gossip_unwritable cause=\"{error}\"");
            return 0;
        }
    };
    for target in targets {
        if let Err(error) = socket.send_to(&bytes, target).await {
            debug!(target: "gossip", "event=gossip_lost peer={target} cause=\"{error}\"");
        }
    }
    bytes.len() * targets.len()
}

/// The next datagrams, each with its targets. `sent_loads` holds the loads as last sent to the whole
/// hall.
fn compose(
    gateway: &Gateway,
    incarnation: u64,
    audience: Audience,
    sent_loads: &mut Vec<LoadReport>,
) -> Vec<(Datagram, Vec<SocketAddr>)> {
    let mut state = gateway.state();
    let now_ms = now_ms();
    let audience = state.peers.due_audience(now_ms, audience);
    let scope = gossip_scope(&state);
    let targets = state.peers.next_targets(now_ms, audience, scope);
    if audience == Audience::OwnHall {
        let changes = compose_changes(&state, now_ms, incarnation, sent_loads);
        if changes.is_empty() {
            return Vec::new();
        }
        return vec![(Datagram::LoadChanges(changes), targets.full)];
    }
    let mut composed = Vec::new();
    if !targets.bridges.is_empty() {
        let fetches = fetches(&state);
        let mut summary = state.peers.hall_summary(now_ms, own_loads(&state, now_ms), &fetches);
        summary.returns = state.returns.hall_reports(now_ms);
        let accounts = state.account_shares.reports(now_ms);
        summary.accounts = state.peers.hall_account_reports(now_ms, &accounts);
        let of_hall = [SampleOrigin::ThisBox, SampleOrigin::OwnHall];
        summary.speeds = state.upstreams.speed_reports(now_ms, &of_hall);
        composed.push((Datagram::HallSummary(summary), targets.bridges));
        let mut others = state.peers.other_halls_summary(now_ms);
        others.returns = state.returns.other_halls_reports(now_ms);
        others.speeds = state.upstreams.speed_reports(now_ms, &[SampleOrigin::OtherHalls]);
        composed.push((Datagram::OtherHallsSummary(others), targets.own_hall));
    }
    let gossip = compose_gossip(gateway, &mut state, now_ms, incarnation, scope);
    if targets.includes_hall {
        sent_loads.clone_from(&gossip.loads);
    }
    let parts = state.suspect_parts.reports_to_announce(now_ms);
    if !parts.is_empty() {
        let all = targets.full.iter().chain(&targets.abridged).copied().collect();
        let reports = PartReports { number: None, reports: parts };
        composed.push((Datagram::PartReports(reports), all));
    }
    let abridged = Datagram::Gossip(Box::new(gossip.abridged()));
    composed.push((Datagram::Gossip(Box::new(gossip)), targets.full));
    composed.push((abridged, targets.abridged));
    composed
}

/// How far the gossip of this box goes. While the store does not answer, all boxes of a hall may follow
/// it, and have nothing to tell that must reach the whole hall at once.
#[must_use]
pub fn gossip_scope(state: &State) -> GossipScope {
    let reaches_other_halls = state.is_bridge() || state.leadership.is_some();
    if reaches_other_halls {
        GossipScope::AllBridges
    } else if state.metadata_store_status() == MetadataStoreStatus::Available {
        GossipScope::WholeHall
    } else {
        GossipScope::OwnHall
    }
}

/// The loads that have changed since they were last sent.
fn compose_changes(
    state: &State,
    now_ms: u64,
    incarnation: u64,
    sent_loads: &mut Vec<LoadReport>,
) -> LoadChanges {
    let loads = changed_loads(sent_loads, own_loads(state, now_ms));
    sent_loads.retain(|sent| loads.iter().all(|load| load.upstream != sent.upstream));
    sent_loads.extend(&loads);
    let backoffs = backoffs(state, now_ms);
    LoadChanges { incarnation, loads, superseded: superseded(state), backoffs }
}

/// The load that this box puts on each upstream.
fn own_loads(state: &State, now_ms: u64) -> impl Iterator<Item = LoadReport> {
    state.upstreams.active().map(move |upstream| LoadReport {
        upstream: upstream.short_id,
        load: upstream.own_load,
        receive_age_ms: upstream.receive_age_ms(now_ms),
    })
}

/// Waits until the next gossip is due; returns to whom it goes. Urgent gossip to all boxes waits until
/// there is budget for it.
async fn next_audience(gateway: &Gateway, budget: &GossipBudget) -> Audience {
    sleep(MIN_PERIOD).await;
    let period = Duration::from_millis(GOSSIP_PERIOD_MS);
    let gossip_now = async {
        sleep_until(instant_at(budget.next_urgent_at_ms())).await;
        gateway.gossip_now.notified().await;
    };
    tokio::select! {
        () = sleep(period) => Audience::NextPart,
        () = gossip_now => Audience::All,
        () = gateway.load_changed.notified() => Audience::OwnHall,
        () = gateway.introduce_now.notified() => Audience::Newcomers,
    }
}

fn compose_gossip(
    gateway: &Gateway,
    state: &mut State,
    now_ms: u64,
    incarnation: u64,
    scope: GossipScope,
) -> Gossip {
    Gossip {
        incarnation,
        hall: state.peers.local().hall,
        millicores: state.peers.local().millicores,
        round_ms: state.peers.round_ms(scope),
        view_digest: state.view.digest(),
        config_version: state
            .configuration
            .as_ref()
            .map_or(0, |configuration| configuration.version),
        metadata_store: state.metadata_store_status(),
        follows_caches: state.follows_caches,
        misses_stores: state.reach.misses_stores(),
        offers_tunnels: gateway.phase() == BoxPhase::Serving,
        tunnels: u16::try_from(gateway.tunnels_kept.load(Ordering::Relaxed)).unwrap_or(u16::MAX),
        missed_upstreams: u16::try_from(state.upstreams.missed_count()).unwrap_or(u16::MAX),
        peers: state.peers.addresses_to_share(now_ms),
        loads: reported_loads(own_loads(state, now_ms)),
        fetches: fetches(state),
        slowdowns: slowdowns(state),
        limits: state.admission_limits.own_limits(now_ms),
        loading_engines: loading_engines(state, now_ms),
        superseded: superseded(state),
        leaving: leaving(state),
        backoffs: backoffs(state, now_ms),
        brittle_services: state
            .brittle
            .reports(now_ms)
            .map(|(service, max_rejections)| (short_id(service), max_rejections))
            .collect(),
        rate_limits: rate_limits(state, now_ms),
        upstream_clock_ms: state
            .upstream_clock_offset_ms
            .and_then(|ahead_ms| now_ms.checked_add_signed(ahead_ms)),
        engine_versions: engine_versions(state, now_ms),
        named_versions: named_versions(state, now_ms, gateway.settings.bounds.weights_apply_ms),
        leader_terms: leader_terms(state, now_ms, handover_pause_ms(&gateway.settings.bounds)),
        crashes: state.quarantine.crashes_to_announce(now_ms),
        answers: state.quarantine.answers_to_announce(now_ms),
        returns: {
            state.returns.expire(now_ms);
            state.returns.own_reports(now_ms)
        },
        accounts: state.account_shares.reports(now_ms),
        speeds: speeds(state, now_ms, scope),
    }
}

/// Samples of the speed of engines that this box has taken, until all of its hall were told.
fn speeds(state: &mut State, now_ms: u64, scope: GossipScope) -> Vec<SpeedReport> {
    let sent_ms = SPEED_MESSAGES * u64::from(state.peers.round_ms(scope));
    state.upstreams.expire_speed_reports(now_ms, sent_ms);
    state.upstreams.speed_reports(now_ms, &[SampleOrigin::ThisBox])
}

/// Number of tokens that this box is fetching from each context store.
fn fetches(state: &State) -> Vec<(u32, u32)> {
    let stores = state.stores.iter().filter(|(_, store)| store.speed.fetch_tokens() > 0);
    let fetches = stores.map(|(_, store)| {
        (store.short_id(), u32::try_from(store.speed.fetch_tokens()).unwrap_or(u32::MAX))
    });
    fetches.collect()
}

/// How much longer than expected fetches from stores took since the last message.
fn slowdowns(state: &mut State) -> Vec<SlowdownReport> {
    let reports = state.stores.iter_mut().flat_map(|(_, store)| {
        let store_id = store.short_id();
        let observed = store.speed.take_unreported().into_iter();
        observed.map(move |slowdown| SlowdownReport::new(store_id, slowdown))
    });
    reports.collect()
}

/// Upstreams whose address another incarnation has taken.
fn superseded(state: &State) -> Vec<u32> {
    let superseded = state.upstreams.active().filter(|upstream| upstream.is_superseded());
    superseded.map(|upstream| upstream.short_id).collect()
}

/// Upstreams that have announced that they leave.
fn leaving(state: &State) -> Vec<u32> {
    let leaving = state.upstreams.active().filter(|upstream| upstream.notices().leaving);
    leaving.map(|upstream| upstream.short_id).collect()
}

/// Upstreams that have rejected requests of this box and get none for now, with the remaining
/// time.
fn backoffs(state: &State, now_ms: u64) -> Vec<(u32, u16)> {
    let backoffs = state.upstreams.active().filter_map(|upstream| {
        let left_ms = upstream.backoff_until_ms(now_ms)? - now_ms;
        Some((upstream.short_id, u16::try_from(left_ms).unwrap_or(u16::MAX)))
    });
    backoffs.collect()
}

/// Limits of upstreams that are in force or have just ended, in turn if there are many.
fn rate_limits(state: &State, now_ms: u64) -> Vec<(u32, RateLimit)> {
    let told = state.upstreams.active().filter(|upstream| upstream.rate_limit.is_told(now_ms));
    let told = told.map(|upstream| (upstream.short_id, upstream.rate_limit.limit()));
    let count = told.clone().count();
    if count <= MAX_RATE_LIMITS {
        return told.collect();
    }
    let start = usize::try_from(now_ms / GOSSIP_PERIOD_MS).unwrap_or_default() * MAX_RATE_LIMITS;
    told.cycle().skip(start % count).take(MAX_RATE_LIMITS).collect()
}

/// Engines that load weights, with the remaining time: those that this box has ordered to, and
/// on a bridge also those that it has learned of by gossip.
fn loading_engines(state: &State, now_ms: u64) -> Vec<(u32, u16)> {
    let encoded = |left_ms: u64| u16::try_from(left_ms).unwrap_or(u16::MAX);
    let ordered = state.loading_engines.iter().filter_map(|id| state.upstreams.get(id));
    let ordered = ordered.map(|engine| (engine.short_id, encoded(LOADING_GOSSIP_MS)));
    let learned = state.upstreams.active().filter(|engine| {
        state.is_bridge()
            && engine.is_loading(now_ms)
            && !state.loading_engines.contains(&engine.id)
    });
    let learned = learned.map(|engine| (engine.short_id, encoded(engine.loading_left_ms(now_ms))));
    ordered.chain(learned).collect()
}

/// Weight versions that engines were recently seen to reach.
fn engine_versions(state: &mut State, now_ms: u64) -> Vec<(u32, u32, u64)> {
    state.observed_versions.retain(|observed| observed.until_ms > now_ms);
    state
        .observed_versions
        .iter()
        .map(|observed| (observed.engine, observed.model, observed.version))
        .collect()
}

/// The weight versions that operators named within twice the time in which engines must apply
/// them: an engine that lacks an older one is long overdue, whenever that was named.
fn named_versions(state: &State, now_ms: u64, apply_ms: u64) -> Vec<NamedVersionReport> {
    let since_ms = now_ms.saturating_sub(2 * apply_ms);
    let models = state.weights.iter().flat_map(|(model, named)| {
        let model = short_id(model);
        named.named_after(since_ms).map(move |named_version| NamedVersionReport {
            model,
            version: named_version.version,
            previous: named_version.previous,
            age_ms: age_ms(now_ms, named_version.named_at_ms),
        })
    });
    models.collect()
}

/// Recent changes of leader, each as a revision of the metadata store and its age.
fn leader_terms(state: &State, now_ms: u64, pause_ms: u64) -> Vec<(u64, u32)> {
    let terms = state.terms.recent(now_ms, pause_ms);
    terms.map(|(revision, at_ms)| (revision, age_ms(now_ms, at_ms))).collect()
}

fn age_ms(now_ms: u64, at_ms: u64) -> u32 {
    u32::try_from(now_ms.saturating_sub(at_ms)).unwrap_or(u32::MAX)
}

/// Receives datagrams from peers until the box stops.
pub async fn receive(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while gateway.phase() != BoxPhase::Stopped {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                debug!(target: "gossip", "event=receive_failed cause=\"{error}\"");
                sleep(SOCKET_ERROR_PAUSE).await;
                continue;
            }
        };
        let sender = from.ip().to_string();
        gateway.crash_reports.record_heard(&sender);
        gateway.part_reports.record_heard(&sender);
        let datagram = postcard::from_bytes::<Datagram>(&buffer[..length]);
        if let Ok(datagram) = &datagram {
            gateway.peer_traffic.record_received(datagram);
        }
        match datagram {
            Ok(Datagram::Gossip(gossip)) => apply_gossip(&gateway, from.ip(), *gossip),
            Ok(Datagram::LoadChanges(changes)) => apply_load_changes(&gateway, from.ip(), &changes),
            Ok(Datagram::HallSummary(summary)) => apply_hall_summary(&gateway, summary),
            Ok(Datagram::OtherHallsSummary(summary)) => {
                let (mut state, now_ms) = (gateway.state(), now_ms());
                if !state.peers.has_hall_summaries() {
                    state.returns.receive(now_ms, Source::OtherHalls, &summary.returns);
                }
                let origin = SampleOrigin::OtherHalls;
                state.upstreams.apply_speed_reports(now_ms, origin, &summary.speeds);
                state.peers.receive_other_halls(now_ms, &summary);
            }
            Ok(Datagram::DelegatedCall(request)) => {
                tokio::spawn(execute_for_peer(gateway.clone(), socket.clone(), request, from));
            }
            Ok(Datagram::DelegatedReply(reply)) => {
                gateway.delegated_replies.send_replace(Some(reply));
            }
            Ok(Datagram::AbortsReport(report)) => {
                crashes::receive_aborts(&gateway, &socket, from, report).await;
            }
            Ok(Datagram::Acknowledged { number }) => {
                crashes::record_acknowledgement(&gateway, from.ip(), number);
            }
            Ok(Datagram::StreamOrigin(report)) => origins::receive_report(&gateway, report),
            Ok(Datagram::OriginQuery(query)) => {
                origins::answer(&gateway, &socket, from, query).await;
            }
            Ok(Datagram::OriginAnswer(answer)) => {
                gateway.origin_queries.receive_answer(from.ip(), answer);
            }
            Ok(Datagram::PartReports(message)) => {
                crashes::receive_parts(&gateway, &socket, from, message).await;
            }
            Ok(Datagram::TrialQuery(query)) => {
                trials::answer(&gateway, &socket, from, query).await;
            }
            Ok(Datagram::TrialAnswer(answer)) => {
                gateway.trial_queries.receive_answer(answer.number, answer.is_granted);
            }
            Ok(Datagram::TrialEnd(query)) => trials::end(&gateway, from, query),
            Ok(Datagram::RateLimits(reports)) => {
                rate_limits::merge_reports(&gateway, &mut gateway.state(), &reports);
            }
            Ok(Datagram::PermitQuery(query)) => {
                rate_limits::answer(&gateway, &socket, from, query).await;
            }
            Ok(Datagram::PermitAnswer(answer)) => {
                gateway.permit_queries.receive_answer(answer.number, answer);
            }
            Ok(Datagram::VersionsQuery(query)) => {
                stored_versions::answer(&gateway, &socket, from, query).await;
            }
            Ok(Datagram::VersionsAnswer(answer)) => {
                gateway.versions_queries.receive_answer(answer.number, answer);
            }
            Ok(Datagram::ConfigurationQuery(query)) => {
                tokio::spawn(configuration_check::answer(
                    gateway.clone(),
                    socket.clone(),
                    from,
                    query,
                ));
            }
            Ok(Datagram::ConfigurationAnswer(answer)) => {
                gateway.configuration_queries.receive_answer(answer.number, answer);
            }
            Err(error) => {
                warn!(target: "gossip", "event=gossip_unreadable peer={from} cause=\"{error}\"");
            }
        }
    }
}

/// Applies the summary of another hall.
fn apply_hall_summary(gateway: &Gateway, summary: HallSummary) {
    let (mut state, now_ms) = (gateway.state(), now_ms());
    if summary.hall != state.peers.local().hall {
        state.returns.receive(now_ms, Source::Hall(summary.hall), &summary.returns);
        state.returns.receive(now_ms, Source::OtherHalls, &[]);
    }
    let origin = sample_origin(&state, summary.hall);
    state.upstreams.apply_speed_reports(now_ms, origin, &summary.speeds);
    state.peers.receive_hall_summary(now_ms, summary);
}

/// Applies the gossip of a peer.
fn apply_gossip(gateway: &Gateway, from: IpAddr, gossip: Gossip) {
    let mut state = gateway.state();
    let now_ms = now_ms();
    if gossip.metadata_store == MetadataStoreStatus::Available && !state.peers.has_delegate(now_ms)
    {
        configuration_check::note_store_answers(gateway);
    }
    let own = state.view.digest();
    if apply_engine_reports(&mut state, now_ms, &gossip) && state.is_bridge() {
        // The hall of this bridge learns of it from the bridge only.
        gateway.gossip_now.notify_one();
    }
    apply_named_versions(&mut state, now_ms, &gossip);
    for (revision, age_ms) in &gossip.leader_terms {
        state.terms.merge(*revision, now_ms.saturating_sub(u64::from(*age_ms)));
    }
    supersede(&mut state, &gossip.superseded);
    apply_leaving(&mut state, &gossip.leaving);
    apply_backoffs(&mut state, now_ms, &gossip.backoffs);
    apply_brittle_services(&mut state, now_ms, &gossip.brittle_services);
    rate_limits::merge_reports(gateway, &mut state, &gossip.rate_limits);
    apply_slowdowns(&mut state, now_ms, &gossip.slowdowns);
    if state.small_fleet || gossip.hall == state.peers.local().hall {
        let source = Source::Box { address: from, incarnation: gossip.incarnation };
        state.returns.receive(now_ms, source, &gossip.returns);
    }
    let origin = sample_origin(&state, gossip.hall);
    state.upstreams.apply_speed_reports(now_ms, origin, &gossip.speeds);
    let (crashes, answers) = (&gossip.crashes, &gossip.answers);
    quarantine::merge_peer_reports(gateway, &mut state, now_ms, crashes, answers);
    if let Some(clock_ms) = gossip.upstream_clock_ms {
        state.update_upstream_clock_offset(now_ms, clock_ms);
    }
    if !gossip.engine_versions.is_empty() {
        // Requests may be waiting for an engine that has new weights now.
        gateway.capacity_changed.notify_waiters();
    }
    let mut upstreams = state.peers.upstreams_reported_by(from);
    upstreams.extend(gossip.loads.iter().map(|load| load.upstream));
    if state.peers.receive_gossip(now_ms, from, gossip, own) {
        // Replies at once, so that boxes that start together discover each other within a few
        // round trips.
        gateway.introduce_now.notify_one();
    }
    if state.peers.has_different_view(from, own) {
        gateway.catch_up_now.notify_one();
    }
    for upstream in upstreams {
        state.apply_peer_load(upstream);
    }
    let State { stores, peers, .. } = &mut *state;
    for (_, store) in stores.iter_mut() {
        store.set_peer_fetch_tokens(peers.fetch_tokens(store.short_id()));
    }
}

/// Applies a peer's changed loads.
fn apply_load_changes(gateway: &Gateway, from: IpAddr, changes: &LoadChanges) {
    let mut state = gateway.state();
    let now_ms = now_ms();
    supersede(&mut state, &changes.superseded);
    apply_backoffs(&mut state, now_ms, &changes.backoffs);
    state.peers.receive_load_changes(now_ms, from, changes);
    for load in &changes.loads {
        state.apply_peer_load(load.upstream);
    }
}

/// Marks upstreams as leaving that have announced it to a peer.
fn apply_leaving(state: &mut State, leaving: &[u32]) {
    for upstream in leaving {
        if let Some(upstream) = state.upstreams.get_by_short_id_mut(*upstream) {
            upstream.apply_notices(NoticeState { leaving: true, ..NoticeState::default() });
        }
    }
}

/// Notes the upstreams that have rejected requests of a peer, and for how long it sends them none.
fn apply_backoffs(state: &mut State, now_ms: u64, backoffs: &[(u32, u16)]) {
    let offset_ms = u64::from(state.peers.local().short_id) % RETURN_SPREAD_MS;
    for (upstream, left_ms) in backoffs {
        if let Some(upstream) = state.upstreams.get_by_short_id_mut(*upstream) {
            upstream.set_peer_backoff(now_ms + u64::from(*left_ms) + offset_ms);
        }
    }
}

/// Takes over which services are brittle.
fn apply_brittle_services(state: &mut State, now_ms: u64, services: &[(u32, u64)]) {
    let Some(configuration) = state.configuration.clone() else { return };
    for (reported, max_rejections) in services {
        let service = configuration.services.keys().find(|name| short_id(name) == *reported);
        if let Some(service) = service {
            state.brittle.record_report(now_ms, service, *max_rejections);
        }
    }
}

/// Takes over how fast fetches of a peer were. A box of a small fleet fetches often enough itself.
fn apply_slowdowns(state: &mut State, now_ms: u64, slowdowns: &[SlowdownReport]) {
    if state.small_fleet {
        return;
    }
    for (_, store) in state.stores.iter_mut() {
        let store_id = store.short_id();
        for report in slowdowns.iter().filter(|report| report.store == store_id) {
            store.speed.observe(now_ms, report.slowdown());
        }
    }
}

/// Where samples come from that a box of `hall` has sent.
fn sample_origin(state: &State, hall: u32) -> SampleOrigin {
    if hall == state.peers.local().hall { SampleOrigin::OwnHall } else { SampleOrigin::OtherHalls }
}

/// Marks upstreams whose address another incarnation has taken.
fn supersede(state: &mut State, upstreams: &[u32]) {
    for upstream in upstreams {
        if let Some(upstream) = state.upstreams.get_by_short_id_mut(*upstream) {
            upstream.mark_superseded();
        }
    }
}

/// Applies what the leader has reported of engines: which of them load weights, and which versions
/// they have. Returns whether any of it is new.
fn apply_engine_reports(state: &mut State, now_ms: u64, gossip: &Gossip) -> bool {
    let mut is_new = false;
    for (engine, left_ms) in &gossip.loading_engines {
        let Some(engine) = state.upstreams.get_by_short_id_mut(*engine) else { continue };
        is_new |= !engine.is_loading(now_ms);
        engine.set_loading_until(now_ms + u64::from(*left_ms));
    }
    for (engine_id, model, version) in &gossip.engine_versions {
        if let Some(engine) = state.upstreams.get_by_short_id_mut(*engine_id)
            && let Some(name) = engine.model_by_short_id(*model)
            && *version > engine.weight_version(&name)
        {
            engine.set_loading_until(0);
            engine.record_weight_version(&name, *version);
            is_new = true;
            if state.is_bridge() {
                state.observed_versions.push(ObservedVersion {
                    engine: *engine_id,
                    model: *model,
                    version: *version,
                    until_ms: now_ms + VERSION_GOSSIP_MS,
                });
            }
        }
    }
    is_new
}

/// Applies the times at which operators named weight versions, as a peer reports them.
fn apply_named_versions(state: &mut State, now_ms: u64, gossip: &Gossip) {
    for reported in &gossip.named_versions {
        let mut known = state.weights.iter_mut();
        if let Some((_, named)) = known.find(|(model, _)| short_id(model) == reported.model) {
            let at_ms = now_ms.saturating_sub(u64::from(reported.age_ms));
            let named_version = NamedVersion {
                version: reported.version,
                previous: reported.previous,
                named_at_ms: at_ms,
            };
            named.merge(named_version);
        }
    }
}
