//! The kernel: state shared on one box, and the plug-ins that act on it.
//!
//! A plug-in registers itself with [`inventory`]. The kernel starts each of
//! them, hands the messages of peers to the plug-in of their topic, and knows
//! where the box is in its life: serving, draining, stopped (`stopping`).

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use log::{debug, info, warn};
use tokio::sync::watch;

use crate::box_phase::BoxPhase;
use crate::call_state::Calls;
use crate::clock::{now_ms, now_us};
use crate::config_in_force::Configuration;
use crate::consul::Consul;
use crate::dispatch_state::Dispatchers;
use crate::error::Result;
use crate::heartbeat::{HeartbeatAction, Heartbeats};
use crate::link::{self, Link};
use crate::member::{Gossip, Health, Member};
use crate::membership::Membership;
use crate::placement_state::Placements;
use crate::quarantine::Quarantine;
use crate::settings::Settings;
use crate::streams::AnswerStreams;
use crate::sync::locked;
use crate::ticket::BoxRef;
use crate::trace::{Hop, Span, TraceId, Traces};
use crate::upstream::HttpUpstreams;
use crate::wire::{Envelope, Message, decode, encode};

/// Age from which on a message is dropped.
const MAX_MESSAGE_AGE_MS: u64 = 10_000;

/// What a message is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// Membership.
    Gossip,
    /// Configuration.
    Config,
    /// Asks and reports, at the dispatcher.
    Dispatch,
    /// Verdicts, at the entry box.
    Placing,
    /// Calls that run at most once.
    Calls,
    /// Requests under which upstreams crash.
    Crashes,
}

impl Message {
    /// What this message is about.
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
            Self::CrashReport { .. } => Topic::Crashes,
        }
    }
}

impl Message {
    /// Whether this answers a message, which must have arrived then.
    #[must_use]
    pub fn is_answer(&self) -> bool {
        matches!(
            self,
            Self::Gossip(Gossip::Ack { .. } | Gossip::Joined { .. })
                | Self::SlotResponse { .. }
                | Self::SlotReport { .. }
                | Self::CallEnd { .. }
                | Self::HandoverConfirmed { .. }
        )
    }
}

/// A part of the daemon that registers itself.
pub struct Plugin {
    /// Name, and prefix of its log lines.
    pub name: &'static str,
    /// Starts its tasks.
    pub start: fn(&Arc<Kernel>),
    /// Takes the messages of a topic.
    pub receive: Option<(Topic, Receive)>,
}

/// Takes a message of a peer.
pub type Receive = fn(&Arc<Kernel>, Envelope);

inventory::collect!(Plugin);

/// State shared by the plug-ins of one box.
pub struct Kernel {
    /// Settings of the box.
    pub settings: Settings,
    /// The box and its incarnation.
    pub box_id: BoxRef,
    /// The platform's key-value service.
    pub platform: Consul,
    /// All upstreams.
    pub upstreams: HttpUpstreams,
    /// Spans of this box.
    pub traces: Traces,
    /// Configuration in force.
    pub configuration: Configuration,
    /// Asks made from this box.
    pub placements: Placements,
    /// Dispatchers that act on this box.
    pub dispatchers: Dispatchers,
    /// Calls that run at most once.
    pub calls: Calls,
    /// Answers under way.
    pub streams: AnswerStreams,
    /// Requests under which upstreams crash.
    pub quarantine: Mutex<Quarantine>,
    link: Link,
    heartbeats: Mutex<Heartbeats>,
    membership: Mutex<Membership>,
    phase: watch::Sender<BoxPhase>,
    next_unique_number: AtomicU64,
}

impl Kernel {
    /// Prepares a box.
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
            quarantine: Mutex::default(),
            link: Link::new(settings.routes.clone()),
            heartbeats: Mutex::default(),
            membership: Mutex::new(membership),
            phase: watch::Sender::new(BoxPhase::Serving),
            next_unique_number: AtomicU64::new(1),
            settings,
        })
    }

    /// Serves until the box was told to stop and everything has ended.
    ///
    /// # Errors
    /// Fails when the address for peers cannot be bound.
    pub async fn run(self: &Arc<Self>) -> Result<()> {
        let mut received = link::listen(&self.settings.peers.to_string())?;
        let mut receivers = BTreeMap::new();
        for plugin in inventory::iter::<Plugin> {
            debug!(target: "kernel", "Starting {}.", plugin.name);
            (plugin.start)(self);
            receivers.extend(plugin.receive);
        }
        info!(target: "kernel", "Box {} of hall {} serves.", self.box_id, self.settings.hall);
        let mut phase = self.phase.subscribe();
        loop {
            tokio::select! {
                Some(bytes) = received.recv() => self.receive(&receivers, &bytes),
                _ = phase.wait_for(|phase| *phase == BoxPhase::Stopped) => return Ok(()),
            }
        }
    }

    fn receive(self: &Arc<Self>, receivers: &BTreeMap<Topic, Receive>, bytes: &[u8]) {
        metrics::counter!("coursestile_peer_received_bytes_total").increment(bytes.len() as u64);
        let envelope = match decode(&self.settings.cluster_key, bytes) {
            Ok(envelope) => envelope,
            Err(error) => {
                metrics::counter!("coursestile_peer_rejected_messages_total").increment(1);
                return warn!(target: "kernel", "Message dropped: {error}.");
            }
        };
        let for_this_box = envelope.to == self.settings.advertise;
        let recent = envelope.sent_at_ms + MAX_MESSAGE_AGE_MS > now_ms();
        if !for_this_box || !recent {
            return debug!(target: "kernel", "Stale message from {} dropped.", envelope.from);
        }
        if envelope.message.is_answer() {
            locked(&self.heartbeats).record_answer(now_ms(), &envelope.reply_to);
        }
        if envelope.config_revision > self.configuration.revision() {
            let after_revision = self.configuration.revision();
            self.send(&envelope.reply_to, Message::PullConfig { after_revision });
        }
        if let Some(receive) = receivers.get(&envelope.message.topic()) {
            receive(self, envelope);
        }
    }

    /// Asks peers that have not answered, and dials anew those that are silent.
    pub fn send_heartbeats(&self) {
        let steps = locked(&self.heartbeats).tick(now_ms());
        for step in steps {
            let peer = match step {
                HeartbeatAction::SendHeartbeat(peer) => peer,
                HeartbeatAction::Redial(peer) => {
                    info!(target: "kernel", "Peer {peer} is silent: dialled anew.");
                    self.link.redial(&peer);
                    peer
                }
            };
            let beat = self.membership().heartbeat();
            self.send(&peer, Message::Gossip(beat));
        }
    }

    /// Hands a message to this box's own plug-in when it is for this box, and
    /// else sends it.
    pub fn deliver(self: &Arc<Self>, to: &str, message: Message) {
        if to != self.settings.advertise {
            return self.send(to, message);
        }
        let topic = message.topic();
        let plugins = inventory::iter::<Plugin>.into_iter();
        let mut receivers = plugins.filter_map(|plugin| plugin.receive);
        if let Some((_, receive)) = receivers.find(|(of, _)| *of == topic) {
            receive(self, self.envelope(to, message));
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

    /// Sends a message to a peer, or loses it.
    pub fn send(&self, to: &str, message: Message) {
        locked(&self.heartbeats).record_sent(now_ms(), to);
        let envelope = self.envelope(to, message);
        match encode(&self.settings.cluster_key, &envelope) {
            Ok(bytes) => self.link.send(to, &bytes),
            Err(error) => warn!(target: "kernel", "Message not sent: {error}."),
        }
    }

    /// The view of all boxes.
    pub fn membership(&self) -> MutexGuard<'_, Membership> {
        locked(&self.membership)
    }

    /// A number that this incarnation never gives again.
    pub fn unique_number(&self) -> u64 {
        self.next_unique_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Where the box is in its life.
    #[must_use]
    pub fn phase(&self) -> BoxPhase {
        *self.phase.borrow()
    }

    /// Takes the box on in its life.
    pub(crate) fn enter_phase(&self, phase: BoxPhase) {
        self.phase.send_replace(phase);
    }

    /// Waits until the box has stopped.
    pub fn stopped(&self) -> impl Future<Output = ()> + use<> {
        let mut phase = self.phase.subscribe();
        async move {
            // The sender lives as long as the process.
            let _ = phase.wait_for(|phase| *phase == BoxPhase::Stopped).await;
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
