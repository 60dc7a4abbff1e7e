//! State that the tasks of a gateway process share.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU64, AtomicUsize};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};

use tokio::net::UdpSocket;
use tokio::sync::{Notify, Semaphore, watch};

use crate::box_phase::BoxPhase;
use crate::client_connections::ClientConnections;
use crate::clock::now_ms;
use crate::crash_reports::CrashReports;
use crate::error::Result;
use crate::fingerprint::Fingerprint;
use crate::gateway::catch_up::{EncodedUpdates, MAX_LARGE_UPDATES};
use crate::gateway::claims::ClaimRecord;
use crate::gateway::configuration_check::{ConfigurationAnswer, ConfigurationChecks};
use crate::gateway::connections::{Connections, Path};
use crate::gateway::crashes::UncheckedRuns;
use crate::gateway::decisions::account_shares::AccountShares;
use crate::gateway::decisions::admission::AdmissionLimits;
use crate::gateway::decisions::brittle::BrittleServices;
use crate::gateway::decisions::budget::{self, RetryBudget};
use crate::gateway::decisions::claims::LeaderTerms;
use crate::gateway::decisions::configuration::Configuration;
use crate::gateway::decisions::gossip_message::MetadataStoreStatus;
use crate::gateway::decisions::incarnation::Incarnation;
use crate::gateway::decisions::pauses::Pauses;
use crate::gateway::decisions::peers::{LocalBox, Peers};
use crate::gateway::decisions::permits::{PermitAnswer, PermitBuckets};
use crate::gateway::decisions::reach::Reach;
use crate::gateway::decisions::returns::Returns;
use crate::gateway::decisions::run_lengths::RunLengths;
use crate::gateway::decisions::shedding::Shedding;
use crate::gateway::decisions::slow_readers::BufferedBytes;
use crate::gateway::decisions::stopping::PlannedStop;
use crate::gateway::decisions::store_knowledge::StoreKnowledge;
use crate::gateway::decisions::stores::Stores;
use crate::gateway::decisions::stream_origins::StreamOrigins;
use crate::gateway::decisions::trials::Trials;
use crate::gateway::decisions::upstreams::Upstreams;
use crate::gateway::decisions::urgency::RouteTimeouts;
use crate::gateway::decisions::view::MetadataView;
use crate::gateway::decisions::weights::NamedVersions;
use crate::gateway::follow_metadata;
use crate::gateway::leader_calls::DelegatedReply;
use crate::gateway::leadership::Leadership;
use crate::gateway::open_queries::OpenQueries;
use crate::gateway::origins::OriginQueries;
use crate::gateway::peer_traffic::PeerTraffic;
use crate::gateway::settings::{Bounds, Settings};
use crate::gateway::stored_versions::VersionsAnswer;
use crate::names::short_id;
use crate::part_key::PartKey;
use crate::platform::caches::CacheClient;
use crate::platform::engine::EngineClient;
use crate::platform::http::HttpClient;
use crate::platform::metadata::MetadataClient;
use crate::quarantine::Quarantine;
use crate::suspect_parts::SuspectParts;
use crate::sync::locked;

/// Latest clock reading of a peer that counts, in Unix milliseconds: the year 10000.
const MAX_CLOCK_MS: u64 = 253_402_300_800_000;
/// Heartbeats for which the metadata store must have been unavailable before an upstream's entry
/// can have expired. An entry expires after three missed heartbeats, the first of which may have
/// been due at any time in the first period.
const EXPIRY_HEARTBEATS: u64 = 2;

/// Allowance for the time that the store takes to answer a new watch, and for slow boxes.
const RESPONSE_MS: u64 = 100;

/// Bytes that a box keeps of all responses until they can be passed on, unless there are so many that
/// each gets the least.
const MAX_BUFFERED_BYTES: usize = 16 << 20;
/// Where there are slow readers, by what the bytes are divided: what is held for clients comes on top.
const SLOW_READERS_DIVISOR: usize = 4;
/// Least and most bytes that are kept of one response.
const MIN_RESPONSE_BUFFER_BYTES: usize = 16 << 10;
const MAX_RESPONSE_BUFFER_BYTES: usize = 256 << 10;

/// State behind the gateway's lock. No call is awaited while the lock is held.
pub struct State {
    /// Items of the metadata store, as this box knows them.
    pub view: MetadataView,
    /// The configuration in force; `None` until the first one arrives.
    pub configuration: Option<Arc<Configuration>>,
    /// As of when no newer configuration was stored.
    pub configuration_knowledge: StoreKnowledge,
    pub pauses: Pauses,
    /// Weight versions that operators have named, by model.
    pub weights: HashMap<String, NamedVersions>,
    /// Upstreams of all services, by id.
    pub upstreams: Upstreams,
    pub stores: Stores,
    /// The recent timeouts of each route.
    pub route_timeouts: RouteTimeouts,
    /// Admission limits of the services.
    pub admission_limits: AdmissionLimits,
    /// Retries that refused clients were told to make.
    pub returns: Returns,
    /// How services that refuse requests are divided between client accounts.
    pub account_shares: AccountShares,
    /// The lengths of recent runs, by service and route.
    pub run_lengths: RunLengths,
    /// Retry budgets, by service.
    pub retry_budget: RetryBudget,
    /// Requests that crash upstreams.
    pub quarantine: Quarantine,
    /// Parts of prompts under which upstreams crash.
    pub suspect_parts: SuspectParts,
    /// Trials of such parts that this box has granted.
    pub trials: Trials,
    /// Whether this box is cut off from all upstreams.
    pub reach: Reach,
    /// Services whose upstreams are brittle.
    pub brittle: BrittleServices,
    /// Permits that this box issues to send to upstreams with a rate limit.
    pub permit_buckets: PermitBuckets,
    /// Where streams began.
    pub stream_origins: StreamOrigins,
    /// The other boxes of the fleet.
    pub peers: Peers,
    /// Whether this box follows the metadata store itself instead of receiving changes from
    /// peers.
    pub follows_metadata: bool,
    /// Whether this box follows the context stores itself.
    pub follows_caches: bool,
    /// When this box had waited long enough after its start to have received gossip from its
    /// peers.
    pub warmed_up_at_ms: Option<u64>,
    /// Whether the fleet is so small that every box follows everything.
    pub small_fleet: bool,
    /// How far the upstreams' clock is ahead of the local one; `None` until a message has shown it.
    pub upstream_clock_offset_ms: Option<i64>,
    /// Client requests in flight, including those whose response body is still being sent.
    pub requests_in_flight: usize,
    /// The term of this box as the leader, while it lasts.
    pub leadership: Option<Leadership>,
    /// When the terms of earlier leaders were seen to end.
    pub terms: LeaderTerms,
    /// Claims that leaders have written, while this box leads.
    pub claim_record: Option<ClaimRecord>,
    /// Number of orders of this box that engines have not answered yet.
    pub orders_in_flight: usize,
    /// Engines whose weights this box is replacing; they get no new requests.
    pub loading_engines: HashSet<String>,
    /// Those among them that may load now, with the time at which each permit expires.
    pub load_permits: HashMap<String, u64>,
    /// Engines whose latest orders failed, by id.
    pub failed_orders: HashMap<String, FailedOrders>,
    /// Weight versions that engines were recently seen to reach, to be gossiped.
    pub observed_versions: Vec<ObservedVersion>,
}

impl State {
    /// Whether this box holds the leader lease with fencing token `fence`.
    #[must_use]
    pub fn leads(&self, now_ms: u64, fence: u64) -> bool {
        self.leadership
            .is_some_and(|leadership| leadership.fence == fence && now_ms < leadership.until_ms)
    }

    /// Ends the leadership locally: no order is given from now on.
    pub fn stop_leading(&mut self) {
        self.claim_record = None;
        if let Some(leadership) = &mut self.leadership {
            leadership.until_ms = 0;
        }
    }

    /// Forgets what the context stores contain.
    pub fn forget_store_contents(&mut self) {
        for (_, store) in self.stores.iter_mut() {
            store.contents.mark_unknown();
        }
    }

    /// Whether this box passes gossip on between its hall and others. In a large fleet the boxes
    /// that follow the context stores do, which are the strongest of each hall.
    #[must_use]
    pub fn is_bridge(&self) -> bool {
        self.follows_caches && !self.small_fleet
    }

    /// Applies the combined load that all other boxes report for one upstream.
    pub fn apply_peer_load(&mut self, upstream_id: u32) {
        if let Some(upstream) = self.upstreams.get_by_short_id_mut(upstream_id) {
            upstream.peer_load = self.peers.load(upstream_id);
            upstream.record_peer_receive(self.peers.received_at_ms(upstream_id));
        }
    }

    /// Applies the reports of all other boxes. Load reported by boxes that have fallen silent
    /// expires; and an upstream may be new to this box although peers have reported on it before.
    pub fn apply_peer_reports(&mut self, now_ms: u64) {
        let Self { peers, upstreams, stores, admission_limits, .. } = self;
        peers.expire(now_ms);
        for upstream in peers.loaded_upstreams() {
            // Marks it as active.
            upstreams.get_by_short_id_mut(upstream);
        }
        upstreams.update_active(|upstream| {
            upstream.peer_load = peers.load(upstream.short_id);
            upstream.record_peer_receive(peers.received_at_ms(upstream.short_id));
        });
        upstreams.retire_resting(now_ms);
        if !peers.is_small_fleet() {
            upstreams.update_hall_loads(now_ms);
        }
        let requests = upstreams.active().map(|upstream| upstream.total_load().requests);
        let requests = requests.fold(0, u32::saturating_add);
        peers.update_news_pace(now_ms, requests, upstreams.len());
        for (_, store) in stores.iter_mut() {
            store.set_peer_fetch_tokens(peers.fetch_tokens(store.short_id()));
        }
        admission_limits.set_peer_limits(peers.limits(now_ms));
    }

    /// Divides services that refuse requests between client accounts.
    pub fn update_account_shares(&mut self, now_ms: u64) {
        if let Some(configuration) = &self.configuration {
            let weight_of = |account| configuration.account_weight(account);
            self.account_shares.update(now_ms, &self.peers.account_sums(), weight_of);
        }
    }

    /// Updates the offset from the time that the upstreams' clock showed when a message was sent.
    /// Transit time makes that clock appear late, never early, so the largest offset is kept.
    pub fn update_upstream_clock_offset(&mut self, now_ms: u64, clock_ms: u64) {
        let ahead_ms = clock_ms.min(MAX_CLOCK_MS).cast_signed() - now_ms.cast_signed();
        let known = self.upstream_clock_offset_ms.unwrap_or(i64::MIN);
        self.upstream_clock_offset_ms = Some(known.max(ahead_ms));
    }

    /// Whether an upstream that has crashed is brittle, and rejected requests just before.
    #[must_use]
    pub fn has_fallen(&self, now_ms: u64, upstream: &Incarnation) -> bool {
        self.upstreams.get_incarnation(upstream).is_some_and(|upstream| {
            let limit = self.brittle.max_rejections(now_ms, &upstream.entry.service);
            limit.is_some() && upstream.has_rejected(now_ms)
        })
    }

    /// Whether new requests may be sent on connections over this path.
    #[must_use]
    pub fn is_path_usable(&self, now_ms: u64, path: Path) -> bool {
        match path {
            Path::Direct => !self.reach.is_cut_off(),
            Path::Tunnel(peer) => self.peers.offers_tunnels(now_ms, peer),
        }
    }

    /// How the metadata store responds to this box.
    #[must_use]
    pub fn metadata_store_status(&self) -> MetadataStoreStatus {
        match (self.follows_metadata, self.view.is_store_available()) {
            (false, _) => MetadataStoreStatus::NotUsed,
            (true, true) => MetadataStoreStatus::Available,
            (true, false) => MetadataStoreStatus::Failing,
        }
    }
}

/// Consecutive orders to an engine that failed.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailedOrders {
    pub count: u32,
    /// When the engine may be given an order again.
    pub retry_at_ms: u64,
}

/// A weight version that an engine was seen to reach.
#[derive(Clone, Debug)]
pub struct ObservedVersion {
    /// Short id of the engine's incarnation.
    pub engine: u32,
    /// Short id of the model.
    pub model: u32,
    pub version: u64,
    /// When this box stops reporting it to peers.
    pub until_ms: u64,
}

/// What the tasks of a gateway process share.
pub struct Gateway {
    pub settings: Settings,
    pub metadata: MetadataClient,
    /// Client for calls to engines and stores about cached context.
    pub caches: CacheClient,
    /// Client for reports of engines and orders to them.
    pub engines: EngineClient,
    /// Connection pool to upstreams.
    pub connections: Connections,
    /// Wakes requests that wait for an upstream.
    pub capacity_changed: Notify,
    /// Interrupts the current watch of the metadata store, so that it is read again.
    pub refresh_metadata: Notify,
    /// Wakes the task that fetches missing items from a peer that is ahead.
    pub catch_up_now: Notify,
    /// Sends gossip to this box's own hall at once.
    pub load_changed: Notify,
    /// Sends gossip to all recipients at once.
    pub gossip_now: Notify,
    /// Sends gossip to the boxes that this one has not introduced itself to.
    pub introduce_now: Notify,
    /// Wakes tasks that wait for a request to be quarantined.
    pub quarantine_changed: Notify,
    /// Starts the next round of probes early.
    pub probe_now: Notify,
    /// Halls of which this box has just reached no upstream, until when they count as such.
    pub unreached_halls: Mutex<HashMap<String, u64>>,
    /// Whether this box is cut off from all upstreams, for tasks that wait for it.
    pub cut_off: watch::Sender<bool>,
    /// When data last arrived from any upstream on a direct connection.
    pub last_receive_ms: AtomicU64,
    /// Number of tunnels that this box keeps for its peers.
    pub tunnels_kept: Arc<AtomicUsize>,
    /// Connections of clients on which a request has begun.
    pub client_connections: Arc<AtomicUsize>,
    /// Connections of clients, with what they and their requests hold.
    pub clients: Arc<ClientConnections>,
    /// Changes when upstreams, stores, the configuration or this box's role may have changed.
    pub upstreams_changed: watch::Sender<u64>,
    /// Whether this box must no longer lead because it is stopping.
    pub resigned: watch::Sender<bool>,
    /// Replies of peers that made a metadata store call on behalf of this box.
    pub delegated_replies: watch::Sender<Option<DelegatedReply>>,
    /// Requests whose upstream aborted them, by upstream, while it is being checked whether the
    /// upstream crashed.
    pub unchecked_runs: Mutex<HashMap<String, UncheckedRuns>>,
    /// Encoded updates for peers whose view of the metadata store is behind.
    pub encoded_updates: Mutex<EncodedUpdates>,
    /// Permits to send large updates to peers.
    pub large_updates: Semaphore,
    /// What this box exchanges with its peers, and its probes.
    pub peer_traffic: PeerTraffic,
    /// Reports of aborts to the peers.
    pub crash_reports: CrashReports<Fingerprint>,
    /// Reports of parts of prompts under which upstreams crash.
    pub part_reports: CrashReports<PartKey>,
    /// Queries for trials of such parts.
    pub trial_queries: OpenQueries<bool>,
    /// Queries for permits to send to upstreams with a rate limit.
    pub permit_queries: OpenQueries<PermitAnswer>,
    /// Queries for the origins of streams.
    pub origin_queries: OriginQueries,
    /// Socket for datagrams to peers, once it is bound.
    pub peer_socket: OnceLock<Arc<UdpSocket>>,
    /// When the stored versions of software may be asked for again after nobody has answered; locked while
    /// they are.
    pub versions_retry_at_ms: tokio::sync::Mutex<u64>,
    /// Queries to peers for the stored versions.
    pub versions_queries: OpenQueries<VersionsAnswer>,
    /// Checks whether the configuration is the newest.
    pub configuration_checks: ConfigurationChecks,
    /// Queries to peers for the version of the configuration.
    pub configuration_queries: OpenQueries<ConfigurationAnswer>,
    /// Serialises writes of claims.
    pub claim_lock: tokio::sync::Mutex<()>,
    /// How long accepted connections wait.
    pub shedding: Mutex<Shedding>,
    /// What is held for clients that have not read it yet.
    pub client_buffers: Arc<Mutex<BufferedBytes>>,
    /// Bodies of requests that upstreams have not responded to yet, if they are bounded.
    pub request_buffers: Arc<Mutex<BufferedBytes>>,
    /// The times of the planned stop, once it has begun.
    pub planned_stop: OnceLock<PlannedStop>,
    state: Mutex<State>,
    phase: watch::Sender<BoxPhase>,
}

impl Gateway {
    /// How many bytes of one response may be kept before they are passed on: its share of what a box
    /// has for all requests.
    #[must_use]
    pub fn max_buffered_bytes(&self) -> usize {
        let requests = self.state().requests_in_flight.max(1);
        let divisor = if self.settings.slow_readers { SLOW_READERS_DIVISOR } else { 1 };
        (MAX_BUFFERED_BYTES / requests / divisor)
            .clamp(MIN_RESPONSE_BUFFER_BYTES, MAX_RESPONSE_BUFFER_BYTES / divisor)
    }

    /// Creates the shared state.
    ///
    /// # Errors
    /// Fails when an HTTP client cannot be created.
    pub fn new(settings: Settings) -> Result<Arc<Self>> {
        let bounds = &settings.bounds;
        let retry_config = budget::RetryBudgetConfig {
            ratio: bounds.retry_ratio,
            window_ms: bounds.retry_window_ms,
            extra: bounds.retry_extra,
        };
        let http = HttpClient::new()?;
        let state = State {
            view: MetadataView::new(min_outage_ms(bounds)),
            configuration: None,
            configuration_knowledge: StoreKnowledge::default(),
            pauses: Pauses::default(),
            weights: HashMap::new(),
            upstreams: Upstreams::default(),
            stores: Stores::default(),
            route_timeouts: RouteTimeouts::default(),
            admission_limits: AdmissionLimits::default(),
            returns: Returns::default(),
            account_shares: AccountShares::default(),
            run_lengths: RunLengths::default(),
            retry_budget: RetryBudget::new(retry_config, now_ms()),
            quarantine: Quarantine::default(),
            suspect_parts: SuspectParts::default(),
            trials: Trials::default(),
            reach: Reach::default(),
            brittle: BrittleServices::default(),
            permit_buckets: PermitBuckets::default(),
            stream_origins: StreamOrigins::default(),
            peers: Peers::new(local_box(&settings), &settings.seeds),
            follows_metadata: true,
            follows_caches: true,
            warmed_up_at_ms: None,
            small_fleet: true,
            upstream_clock_offset_ms: None,
            requests_in_flight: 0,
            leadership: None,
            terms: LeaderTerms::default(),
            claim_record: None,
            orders_in_flight: 0,
            loading_engines: HashSet::new(),
            load_permits: HashMap::new(),
            failed_orders: HashMap::new(),
            observed_versions: Vec::new(),
        };
        Ok(Arc::new(Self {
            metadata: MetadataClient::new(
                HttpClient::for_metadata_store()?,
                &settings.metadata_address,
            ),
            caches: CacheClient::new(http.clone()),
            engines: EngineClient::new(http),
            connections: Connections::new(settings.socket_buffer_bytes),
            capacity_changed: Notify::new(),
            refresh_metadata: Notify::new(),
            catch_up_now: Notify::new(),
            load_changed: Notify::new(),
            gossip_now: Notify::new(),
            introduce_now: Notify::new(),
            quarantine_changed: Notify::new(),
            probe_now: Notify::new(),
            unreached_halls: Mutex::default(),
            cut_off: watch::Sender::new(false),
            last_receive_ms: AtomicU64::new(0),
            tunnels_kept: Arc::default(),
            client_connections: Arc::default(),
            clients: ClientConnections::new(settings.memory_limits),
            upstreams_changed: watch::Sender::new(0),
            resigned: watch::Sender::new(false),
            delegated_replies: watch::Sender::new(None),
            unchecked_runs: Mutex::default(),
            encoded_updates: Mutex::default(),
            large_updates: Semaphore::new(MAX_LARGE_UPDATES),
            peer_traffic: PeerTraffic::default(),
            crash_reports: CrashReports::default(),
            part_reports: CrashReports::default(),
            trial_queries: OpenQueries::default(),
            permit_queries: OpenQueries::default(),
            origin_queries: OriginQueries::default(),
            peer_socket: OnceLock::new(),
            versions_retry_at_ms: tokio::sync::Mutex::default(),
            versions_queries: OpenQueries::default(),
            configuration_checks: ConfigurationChecks::default(),
            configuration_queries: OpenQueries::default(),
            claim_lock: tokio::sync::Mutex::new(()),
            shedding: Mutex::default(),
            client_buffers: Arc::default(),
            request_buffers: Arc::default(),
            planned_stop: OnceLock::new(),
            state: Mutex::new(state),
            phase: watch::Sender::new(BoxPhase::Serving),
            settings,
        }))
    }

    /// Locks the state.
    pub fn state(&self) -> MutexGuard<'_, State> {
        locked(&self.state)
    }

    /// The lifecycle phase of this box.
    #[must_use]
    pub fn phase(&self) -> BoxPhase {
        *self.phase.borrow()
    }

    /// Advances to a later phase.
    pub fn enter(&self, phase: BoxPhase) {
        self.phase.send_replace(phase);
    }

    /// Waits until `phase` or a later one is reached.
    pub async fn wait_for_phase(&self, phase: BoxPhase) {
        let mut phases = self.phase.subscribe();
        // The sender lives as long as the gateway, so this cannot fail.
        let _ = phases.wait_for(|current| *current >= phase).await;
    }
}

/// Time for which the metadata store must have been unavailable before an upstream's item can have
/// expired. It is at least as long as a watch takes to be re-established, since a lost connection
/// alone does not mean that the store is down.
fn min_outage_ms(bounds: &Bounds) -> u64 {
    let lost_watch_ms = follow_metadata::lost_watch_ms(bounds) + RESPONSE_MS;
    (EXPIRY_HEARTBEATS * bounds.heartbeat_ms).max(lost_watch_ms)
}

/// The identity that this box announces to its peers.
fn local_box(settings: &Settings) -> LocalBox {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a box has far fewer than 2^32 thousandths of a core"
    )]
    let millicores = (settings.cores * 1000.0) as u32;
    let address = settings.peers;
    let box_short_id = short_id(&address.ip().to_string());
    LocalBox { short_id: box_short_id, address, hall: short_id(&settings.hall), millicores }
}
