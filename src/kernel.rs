//! The daemon's kernel: the state shared on one box, and the plug-ins that work on it.
//!
//! Plug-ins register themselves with [`inventory`]. The kernel starts them, passes
//! messages from peers to the plug-in for their topic, and holds the phase of the box:
//! serving, leaving, draining or stopped (see `stopping`).

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use log::{debug, info, warn};
use tokio::sync::{Notify, watch};

use crate::box_phase::BoxPhase;
use crate::call_state::Calls;
use crate::client_connections::ClientConnections;
use crate::clock::{now_ms, now_us};
use crate::config_in_force::Configuration;
use crate::consul::Consul;
use crate::crash_state::Crashes;
use crate::dispatch_state::Dispatchers;
use crate::error::Result;
use crate::heartbeat::{HeartbeatAction, Heartbeats};
use crate::member::{Gossip, Health, Member};
use crate::membership::Membership;
use crate::peer_sockets::{self, PeerSockets};
use crate::placement_state::Placements;
use crate::request_memory::MemoryLimits;
use crate::settings::Settings;
use crate::streams::AnswerStreams;
use crate::sync::locked;
use crate::ticket::BoxRef;
use crate::trace::{Hop, Span, TraceId, Traces};
use crate::upstream::HttpUpstreams;
use crate::wire::{Envelope, Message, decode, encode};

/// Age at which a message is dropped.
const MAX_MESSAGE_AGE_MS: u64 = 10_000;
/// Most that connections to the operators' port hold.
const OPERATOR_LIMITS: MemoryLimits = MemoryLimits { bytes: 4 << 20, descriptors: 128 };

/// Topic of a message, which selects the plug-in that handles it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// Membership.
    Gossip,
    /// Configuration.
    Config,
    /// Slot requests and slot reports, handled by the dispatcher.
    Dispatch,
    /// Responses to slot requests, handled by the entry box.
    Placing,
    /// Calls that run at most once.
    Calls,
    /// Requests that crash upstreams.
    Crashes,
}

impl Message {
    /// Topic of this message.
    #[must_use]
    pub fn topic(&self) -> Topic {
        match self {
            Self::Gossip(_) => Topic::Gossip,
            Self::PullConfig { .. } | Self::ConfigEntries(_) | Self::ConfigState(_) => {
                Topic::Config
            }
            Self::SlotRequest(_) | Self::WithdrawSlotRequest { .. } | Self::SlotReport { .. } => {
                Topic::Dispatch
            }
            Self::SlotResponse { .. } => Topic::Placing,
            Self::Call { .. }
            | Self::CallEnd { .. }
            | Self::Handover { .. }
            | Self::HandoverConfirmed { .. } => Topic::Calls,
            Self::CrashReport { .. }
            | Self::ReportCrashes { .. }
            | Self::CrashesConfirmed { .. }
            | Self::QueryCrashes
            | Self::KnownCrashes { .. }
            | Self::PartReports(_) => Topic::Crashes,
        }
    }
}

impl Message {
    /// Whether this answers an earlier message, and so proves that messages reach the peer.
    #[must_use]
    pub fn is_reply(&self) -> bool {
        matches!(
            self,
            Self::Gossip(Gossip::Ack { .. } | Gossip::Joined { .. })
                | Self::SlotResponse { .. }
                | Self::SlotReport { .. }
                | Self::CallEnd { .. }
                | Self::HandoverConfirmed { .. }
                | Self::CrashesConfirmed { .. }
                | Self::KnownCrashes { .. }
        )
    }
}

/// A component of the daemon that registers itself with [`inventory`].
pub struct Plugin {
    /// Name, which is also the target of its log lines.
    pub name: &'static str,
    /// Starts its tasks.
    pub start: fn(&Arc<Kernel>),
    /// Topic that it handles, with the handler.
    pub receive: Option<(Topic, MessageHandler)>,
}

/// Handles a message from a peer.
pub type MessageHandler = fn(&Arc<Kernel>, Envelope);

inventory::collect!(Plugin);

/// State shared by the plug-ins of a box.
pub struct Kernel {
    /// Settings of the box.
    pub settings: Settings,
    /// Name and incarnation of this box.
    pub box_id: BoxRef,
    /// Client of the platform's key-value store.
    pub platform: Consul,
    /// Client of the upstreams.
    pub upstreams: HttpUpstreams,
    /// Trace spans recorded by this box.
    pub traces: Traces,
    /// Configuration in force on this box.
    pub configuration: Configuration,
    /// Slot requests sent by this box, and the slots that it holds.
    pub placements: Placements,
    /// Dispatchers that run on this box.
    pub dispatchers: Dispatchers,
    /// State of calls to plain services.
    pub calls: Calls,
    /// Answers in progress.
    pub streams: AnswerStreams,
    /// Requests that crash upstreams.
    pub crashes: Crashes,
    /// Connections of callers, with what they and their requests hold.
    pub callers: Arc<ClientConnections>,
    /// Connections to the operators' port.
    pub operators: Arc<ClientConnections>,
    peer_sockets: PeerSockets,
    heartbeats: Mutex<Heartbeats>,
    membership: Mutex<Membership>,
    /// Notified when the callers' port is closed and all answers there are sent.
    pub port_closed: Notify,
    phase: watch::Sender<BoxPhase>,
    next_unique_number: AtomicU64,
}

impl Kernel {
    /// Creates the state of a box; nothing runs before [`Kernel::run`].
    #[must_use]
    pub fn new(settings: Settings) -> Arc<Self> {
        let box_id = BoxRef { name: settings.name.clone(), incarnation: now_ms() };
        let member = Member {
            id: box_id.clone(),
            hall: settings.hall.clone(),
            region: settings.region.clone(),
            address: settings.advertise.clone(),
            refutations: 0,
            health: Health::Alive,
            heir: None,
        };
        let membership = Membership::new(member, settings.seeds.clone(), fastrand::u64(..));
        Arc::new(Self {
            box_id,
            platform: Consul::new(&settings.platform_url),
            upstreams: HttpUpstreams::default(),
            traces: Traces::default(),
            configuration: Configuration::default(),
            placements: Placements::default(),
            dispatchers: Dispatchers::default(),
            calls: Calls::default(),
            streams: AnswerStreams::default(),
            crashes: Crashes::default(),
            callers: ClientConnections::new(settings.memory_limits),
            operators: ClientConnections::new(OPERATOR_LIMITS),
            peer_sockets: PeerSockets::new(settings.dial_addresses.clone()),
            heartbeats: Mutex::default(),
            membership: Mutex::new(membership),
            port_closed: Notify::new(),
            phase: watch::Sender::new(BoxPhase::Serving),
            next_unique_number: AtomicU64::new(1),
            settings,
        })
    }

    /// Starts the plug-ins and handles messages until the box has stopped.
    ///
    /// # Errors
    /// Fails when the peer address cannot be bound.
    pub async fn run(self: &Arc<Self>) -> Result<()> {
        let mut received = peer_sockets::listen(&self.settings.peers.to_string())?;
        let mut handlers = BTreeMap::new();
        for plugin in inventory::iter::<Plugin> {
            debug!(target: "kernel", "Starting plug-in {}.", plugin.name);
            (plugin.start)(self);
            handlers.extend(plugin.receive);
        }
        info!(target: "kernel", "Box {} in hall {} is serving.", self.box_id, self.settings.hall);
        let mut phase = self.phase.subscribe();
        loop {
            tokio::select! {
                Some(bytes) = received.recv() => self.receive(&handlers, &bytes),
                _ = phase.wait_for(|phase| *phase == BoxPhase::Stopped) => return Ok(()),
            }
        }
    }

    fn receive(self: &Arc<Self>, handlers: &BTreeMap<Topic, MessageHandler>, bytes: &[u8]) {
        metrics::counter!("coursestile_peer_received_bytes_total").increment(bytes.len() as u64);
        let envelope = match decode(&self.settings.cluster_key, bytes) {
            Ok(envelope) => envelope,
            Err(error) => {
                metrics::counter!("coursestile_peer_rejected_messages_total").increment(1);
                return warn!(target: "kernel", "Message from a peer dropped: {error}.");
            }
        };
        let is_for_this_box = envelope.to == self.settings.advertise;
        let is_recent = envelope.sent_at_ms + MAX_MESSAGE_AGE_MS > now_ms();
        if !is_for_this_box || !is_recent {
            return debug!(target: "kernel", "Stale or misaddressed message from {} dropped.", envelope.from);
        }
        if envelope.message.is_reply() {
            locked(&self.heartbeats).record_reply(now_ms(), &envelope.reply_to);
        }
        self.crashes.reports.record_heard(&envelope.reply_to);
        if envelope.config_revision > self.configuration.revision() {
            let after_revision = self.configuration.revision();
            self.send(&envelope.reply_to, Message::PullConfig { after_revision });
        }
        if let Some(handle) = handlers.get(&envelope.message.topic()) {
            handle(self, envelope);
        }
    }

    /// Sends heartbeats to peers that have not answered lately, and reconnects to those
    /// that do not answer heartbeats.
    pub fn send_heartbeats(&self) {
        let actions = locked(&self.heartbeats).tick(now_ms());
        for action in actions {
            let peer = match action {
                HeartbeatAction::SendHeartbeat(peer) => peer,
                HeartbeatAction::Redial(peer) => {
                    info!(target: "kernel", "Peer {peer} is silent: reconnecting.");
                    self.peer_sockets.redial(&peer);
                    peer
                }
            };
            let heartbeat = self.membership().heartbeat();
            self.send(&peer, Message::Gossip(heartbeat));
        }
    }

    /// Delivers a message to this box's own plug-in when `to` is this box; otherwise
    /// sends it.
    pub fn deliver(self: &Arc<Self>, to: &str, message: Message) {
        if to != self.settings.advertise {
            return self.send(to, message);
        }
        let topic = message.topic();
        let plugins = inventory::iter::<Plugin>.into_iter();
        let mut handlers = plugins.filter_map(|plugin| plugin.receive);
        if let Some((_, handle)) = handlers.find(|(handled, _)| *handled == topic) {
            handle(self, self.envelope(to, message));
        }
    }

    fn envelope(&self, to: &str, message: Message) -> Envelope {
        Envelope {
            from: self.box_id.clone(),
            reply_to: self.settings.advertise.clone(),
            to: to.to_owned(),
            sent_at_ms: now_ms(),
            config_revision: self.configuration.revision(),
            message,
        }
    }

    /// Sends a message to a peer. A message that cannot be sent at once is lost.
    pub fn send(&self, to: &str, message: Message) {
        locked(&self.heartbeats).record_sent(now_ms(), to);
        let envelope = self.envelope(to, message);
        match encode(&self.settings.cluster_key, &envelope) {
            Ok(bytes) => self.peer_sockets.send(to, &bytes),
            Err(error) => warn!(target: "kernel", "Message to peer {to} not sent: {error}."),
        }
    }

    /// This box's view of all boxes.
    pub fn membership(&self) -> MutexGuard<'_, Membership> {
        locked(&self.membership)
    }

    /// A number that is unique within this incarnation of the box.
    pub fn unique_number(&self) -> u64 {
        self.next_unique_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Current phase of the box.
    #[must_use]
    pub fn phase(&self) -> BoxPhase {
        *self.phase.borrow()
    }

    /// Moves the box to a later phase.
    pub(crate) fn enter_phase(&self, phase: BoxPhase) {
        self.phase.send_replace(phase);
    }

    /// Waits until the box has reached a phase.
    pub fn reached(&self, awaited: BoxPhase) -> impl Future<Output = ()> + use<> {
        let mut phase = self.phase.subscribe();
        async move {
            // The sender lives as long as the process.
            let _ = phase.wait_for(|phase| *phase >= awaited).await;
        }
    }

    /// Adds a span that ends now.
    pub fn span(&self, trace: TraceId, hop: Hop, started_at_us: u64, note: String) {
        self.traces.add(Span {
            trace: trace.to_string(),
            hop,
            entry_box: self.box_id.name.clone(),
            started_at_us,
            ended_at_us: now_us(),
            note,
        });
    }
}
