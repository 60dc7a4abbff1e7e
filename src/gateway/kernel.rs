//! What one gateway process shares among its tasks.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::{Notify, watch};

use crate::clock::now_ms;
use crate::error::Result;
use crate::fingerprint::Fingerprint;
use crate::gateway::claims::Book;
use crate::gateway::connections::Connections;
use crate::gateway::decisions::admission::AdmissionLimits;
use crate::gateway::decisions::budget::{self, Budget};
use crate::gateway::decisions::claims::LeaderTerms;
use crate::gateway::decisions::gossip_message::MetadataStoreStatus;
use crate::gateway::decisions::peers::{LocalBox, Peers};
use crate::gateway::decisions::site::Site;
use crate::gateway::decisions::stores::Stores;
use crate::gateway::decisions::upstreams::Upstreams;
use crate::gateway::decisions::urgency::UsualLimits;
use crate::gateway::decisions::view::MetadataView;
use crate::gateway::decisions::weights::NamedVersions;
use crate::gateway::follow;
use crate::gateway::helpers::HelpReply;
use crate::gateway::leadership::Leadership;
use crate::gateway::settings::{Bounds, Settings};
use crate::names::number;
use crate::phase::Phase;
use crate::platform::caches::Caches;
use crate::platform::engine::Engines;
use crate::platform::http::Http;
use crate::platform::metadata::MetadataStore;
use crate::quarantine::Quarantine;
use crate::sync::locked;

/// Heartbeats for which the metadata store must have been away before an upstream's
/// item can have lapsed: it does after three that are missed, the first of which may
/// have been due at any time in the first period.
const LAPSE_HEARTBEATS: u64 = 2;

/// Time in which the store answers a new watch, and boxes that are slow.
const RESPONSE_MS: u64 = 100;

/// State that decisions read and change; no call is awaited under its lock.
pub struct State {
    /// Items of the metadata store.
    pub view: MetadataView,
    /// Configuration in force.
    pub site: Option<Arc<Site>>,
    /// Weight versions named by operators, by model.
    pub weights: HashMap<String, NamedVersions>,
    /// Upstreams of all services.
    pub upstreams: Upstreams,
    /// Stores of kept context.
    pub stores: Stores,
    /// Time that clients usually give, by route.
    pub usual_limits: UsualLimits,
    /// Limits found for the load of engines.
    pub limits: AdmissionLimits,
    /// Budget for repeats.
    pub budget: Budget,
    /// Requests under which upstreams crashed.
    pub quarantine: Quarantine,
    /// The other boxes.
    pub peers: Peers,
    /// Whether this box follows the metadata store itself.
    pub follows_metadata: bool,
    /// Whether this box follows the stores of context itself.
    pub follows_caches: bool,
    /// When the box had had time to hear of its peers, since it started.
    pub warmed_up_at_ms: Option<u64>,
    /// Whether all boxes follow everything, as it was decided last.
    pub small_fleet: bool,
    /// Difference of the upstreams' clock to ours, once it was told.
    pub upstream_clock_offset_ms: Option<i64>,
    /// Requests that are being served.
    pub requests_in_flight: usize,
    /// The leadership, while this box has it.
    pub leadership: Option<Leadership>,
    /// When leaders were seen to be over.
    pub terms: LeaderTerms,
    /// What leaders have written down, while this box leads.
    pub book: Option<Book>,
    /// Orders of this box that are not answered yet.
    pub orders_in_flight: usize,
    /// Engines that this box brings to other weights; they get no new work.
    pub loading_engines: HashSet<String>,
    /// Engines among them that may load, with when they no longer count as loading.
    pub load_permits: HashMap<String, u64>,
    /// Engines whose last orders have failed.
    pub failed_orders: HashMap<String, FailedOrders>,
    /// Versions that engines were seen to reach lately.
    pub observed_versions: Vec<ObservedVersion>,
}

impl State {
    /// Whether this box leads with `fence`.
    #[must_use]
    pub fn leads(&self, now_ms: u64, fence: u64) -> bool {
        self.leadership.is_some_and(|held| held.fence == fence && now_ms < held.until_ms)
    }

    /// Orders nothing from now on.
    pub fn stop_leading(&mut self) {
        self.book = None;
        if let Some(held) = &mut self.leadership {
            held.until_ms = 0;
        }
    }

    /// Forgets what stores of context keep.
    pub fn forget_store_contents(&mut self) {
        for (_, store) in self.stores.iter_mut() {
            store.holder.mark_unknown();
        }
    }

    /// Whether this box passes on between its hall and others: the strongest of each hall do
    /// in a large fleet, those that follow the stores of context.
    #[must_use]
    pub fn is_bridge(&self) -> bool {
        self.follows_caches && !self.small_fleet
    }

    /// Takes what all other boxes together told of an upstream.
    pub fn apply_peer_load(&mut self, number: u32) {
        if let Some(upstream) = self.upstreams.numbered_mut(number) {
            upstream.others = self.peers.load(number);
            upstream.record_peer_receive(self.peers.heard_at_ms(number));
        }
    }

    /// Takes what all other boxes told: of those that fell silent no load is left, and an
    /// upstream may be new to this box alone.
    pub fn apply_peer_reports(&mut self, now_ms: u64) {
        let Self { peers, upstreams, stores, limits, .. } = self;
        peers.expire(now_ms);
        for upstream in upstreams.iter_mut() {
            upstream.others = peers.load(upstream.number);
            upstream.record_peer_receive(peers.heard_at_ms(upstream.number));
        }
        for (_, store) in stores.iter_mut() {
            store.set_peer_fetch_tokens(peers.fetch_tokens(store.number()));
        }
        limits.set_peer_limits(peers.limits(now_ms));
    }

    /// Takes what the upstreams' clock showed when a message left. The time that
    /// it was under way makes the clock look late, never early.
    pub fn update_upstream_clock_offset(&mut self, now_ms: u64, clock_ms: u64) {
        let ahead_ms = clock_ms.cast_signed() - now_ms.cast_signed();
        let known = self.upstream_clock_offset_ms.unwrap_or(i64::MIN);
        self.upstream_clock_offset_ms = Some(known.max(ahead_ms));
    }

    /// How the metadata store answers this box.
    #[must_use]
    pub fn metadata_store_status(&self) -> MetadataStoreStatus {
        match (self.follows_metadata, self.view.is_store_available()) {
            (false, _) => MetadataStoreStatus::NotUsed,
            (true, true) => MetadataStoreStatus::Available,
            (true, false) => MetadataStoreStatus::Failing,
        }
    }
}

/// Orders to an engine that have failed, one after the other.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailedOrders {
    /// How many.
    pub count: u32,
    /// When it may be tried again.
    pub retry_at_ms: u64,
}

/// A version that an engine was seen to reach.
#[derive(Clone, Debug)]
pub struct ObservedVersion {
    /// Number of the engine.
    pub engine: u32,
    /// Number of the model.
    pub model: u32,
    /// Version.
    pub version: u64,
    /// Until when peers are told.
    pub until_ms: u64,
}

/// What one gateway process shares among its tasks.
pub struct Gateway {
    /// Settings of the box.
    pub settings: Settings,
    /// The platform's metadata store.
    pub metadata: MetadataStore,
    /// Calls about kept context.
    pub caches: Caches,
    /// Calls to model engines.
    pub engines: Engines,
    /// Connections to upstreams.
    pub connections: Connections,
    /// Wakes requests that wait for an upstream.
    pub capacity_changed: Notify,
    /// Wakes the follower of the metadata store.
    pub refresh_metadata: Notify,
    /// Wakes who fetches what this box lacks.
    pub catch_up_now: Notify,
    /// Wakes the sender of gossip, for what the own hall should know at once.
    pub load_changed: Notify,
    /// Wakes the sender of gossip.
    pub gossip_now: Notify,
    /// Wakes who acts when a request is quarantined.
    pub quarantine_changed: Notify,
    /// Wakes those who follow the set of upstreams and stores.
    pub upstreams_changed: watch::Sender<u64>,
    /// Whether this box is to lead no more, since it stops.
    pub resigned: watch::Sender<bool>,
    /// Answers of peers that made a call for the leader.
    pub help_replies: watch::Sender<Option<HelpReply>>,
    /// Requests that broke off, by upstreams of which it is not known yet whether they crashed.
    pub unexplained_aborts: Mutex<HashMap<String, Vec<Fingerprint>>>,
    /// Held while a claim is written: one after the other.
    pub claim_lock: tokio::sync::Mutex<()>,
    state: Mutex<State>,
    phase: watch::Sender<Phase>,
}

impl Gateway {
    /// Prepares a gateway.
    ///
    /// # Errors
    /// Fails when an HTTP client cannot be made.
    pub fn new(settings: Settings) -> Result<Arc<Self>> {
        let bounds = &settings.bounds;
        let terms = budget::Terms {
            ratio: bounds.retry_ratio,
            window_ms: bounds.retry_window_ms,
            extra: bounds.retry_extra,
        };
        let http = Http::new()?;
        let state = State {
            view: MetadataView::new(min_outage_ms(bounds)),
            site: None,
            weights: HashMap::new(),
            upstreams: Upstreams::default(),
            stores: Stores::default(),
            usual_limits: UsualLimits::default(),
            limits: AdmissionLimits::default(),
            budget: Budget::new(terms, now_ms()),
            quarantine: Quarantine::default(),
            peers: Peers::new(own(&settings), &settings.seeds),
            follows_metadata: true,
            follows_caches: true,
            warmed_up_at_ms: None,
            small_fleet: true,
            upstream_clock_offset_ms: None,
            requests_in_flight: 0,
            leadership: None,
            terms: LeaderTerms::default(),
            book: None,
            orders_in_flight: 0,
            loading_engines: HashSet::new(),
            load_permits: HashMap::new(),
            failed_orders: HashMap::new(),
            observed_versions: Vec::new(),
        };
        Ok(Arc::new(Self {
            metadata: MetadataStore::new(Http::to_metadata_store()?, &settings.metadata),
            caches: Caches::new(http.clone()),
            engines: Engines::new(http),
            connections: Connections::default(),
            capacity_changed: Notify::new(),
            refresh_metadata: Notify::new(),
            catch_up_now: Notify::new(),
            load_changed: Notify::new(),
            gossip_now: Notify::new(),
            quarantine_changed: Notify::new(),
            upstreams_changed: watch::Sender::new(0),
            resigned: watch::Sender::new(false),
            help_replies: watch::Sender::new(None),
            unexplained_aborts: Mutex::default(),
            claim_lock: tokio::sync::Mutex::new(()),
            state: Mutex::new(state),
            phase: watch::Sender::new(Phase::Serving),
            settings,
        }))
    }

    /// The state, locked.
    pub fn state(&self) -> MutexGuard<'_, State> {
        locked(&self.state)
    }

    /// Where the box is in its life.
    #[must_use]
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Goes on to a later phase.
    pub fn enter(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Waits until a phase is reached.
    pub async fn wait_for_phase(&self, phase: Phase) {
        let mut seen = self.phase.subscribe();
        // The sender lives as long as the gateway.
        let _ = seen.wait_for(|now| *now >= phase).await;
    }
}

/// Time for which the metadata store must not have answered before an upstream's item can
/// have lapsed: a watch that was lost with its connection alone says nothing of the store.
fn min_outage_ms(bounds: &Bounds) -> u64 {
    let lost_watch_ms = follow::lost_watch_ms(bounds) + RESPONSE_MS;
    (LAPSE_HEARTBEATS * bounds.heartbeat_ms).max(lost_watch_ms)
}

/// What a box tells of itself.
fn own(settings: &Settings) -> LocalBox {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a box has far fewer than 2^32 thousandths of a core"
    )]
    let millicores = (settings.cores * 1000.0) as u32;
    let address = settings.peers;
    let own_number = number(&address.ip().to_string());
    LocalBox { number: own_number, address, hall: number(&settings.hall), millicores }
}
