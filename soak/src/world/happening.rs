//! Carries out the actions of steps.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use coursestile_standins::clock::now_ms;
use coursestile_standins::site::engine::MODEL;
use coursestile_standins::site::metadata::StoreFault;
use coursestile_standins::site::server::{Behavior, ConnectionEnd, Sent};
use coursestile_standins::site::{Gateway, engine_entry};
use serde_json::json;
use tokio::time::sleep;

use super::{BoxOutage, ENGINE_SERVICE, UpstreamLeave, UpstreamRestart, World};
use crate::plan::{
    Action, ConnectionGroup, LastChange, LinkState, PICK_LEADER, PeerDirection, hall_boxes,
};
use crate::proxy::Proxy;

/// Shortest time for which an upstream is about to leave: longer than the two seconds in which
/// it may still get requests.
const MIN_LEAVE: Duration = Duration::from_secs(3);
/// The metadata store stops responding less than this many milliseconds after a change. Within
/// that time boxes have sent their next watch request.
const SILENCE_DELAY_MS: usize = 25;
/// Interval at which a stopping box is polled for its exit.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Shortest time for which an upstream asks for no requests.
const MIN_BACKOFF: Duration = Duration::from_millis(800);
/// Number of responses in which an upstream misbehaves.
const MISBEHAVING_ANSWERS: usize = 5;
/// Shortest time after which an unanswered order is carried out, and the time that is added for
/// each unit of `pick`, which is below 1000.
const MIN_ORDER_DELAY: Duration = Duration::from_millis(300);
const ORDER_DELAY_PER_PICK: Duration = Duration::from_micros(2700);
/// One restart of an engine in this many is not announced by an updated entry.
const UNANNOUNCED_ONE_IN: usize = 3;
/// Ways in which an upstream may misbehave.
const MISBEHAVIORS: [Behavior; 10] = [
    Behavior::NotRun,
    Behavior::Close,
    Behavior::WrongRequestId,
    Behavior::MissingSeal,
    Behavior::TruncatedBody,
    Behavior::DuplicateAnswer,
    Behavior::CloseDelimited(Sent::Whole, ConnectionEnd::Close),
    Behavior::Status(500),
    Behavior::Events(2),
    Behavior::DelayedAnswer(Duration::from_millis(400)),
];

impl World {
    /// Carries out an action that lasts for `time`.
    pub async fn apply(&self, action: Action, pick: usize, time: Duration) {
        let number = if pick == PICK_LEADER { self.leader() } else { pick % self.boxes.len() };
        let (gateway_box, from_ms) = (&self.boxes[number], now_ms());
        let upstream = &self.upstreams[pick % self.upstreams.len()];
        match action {
            Action::BoxKilled => kill_and_restart(&gateway_box.process, time).await,
            Action::AllKilled => {
                for gateway_box in &self.boxes {
                    gateway_box.process.try_signal("-KILL");
                }
                sleep(time).await;
                self.start_ended_boxes();
            }
            Action::BoxPaused => self.pause(&[number], time).await,
            Action::HallPaused => self.pause(&hall_boxes(pick, self.boxes.len()), time).await,
            Action::StoreBusy => self.disrupt_metadata(StoreFault::Unavailable, time).await,
            Action::StoreSilent => self.disrupt_metadata(StoreFault::Unresponsive, time).await,
            Action::StoreLosesAnswers => {
                self.disrupt_metadata(StoreFault::WriteAnswersLost, time).await;
            }
            Action::StoreForgets => self.site.metadata.compact(),
            Action::StoreLink(link) => set_link_for(&gateway_box.metadata_proxy, link, time).await,
            Action::StoreSilentAfter(change) => self.store_silent_after(change, pick, time).await,
            Action::Silenced(group) => self.silence(group),
            Action::PeersLink(link, side) => {
                self.mesh.set(pick % self.boxes.len(), side, link);
                sleep(time).await;
                self.mesh.set(pick % self.boxes.len(), side, LinkState::Sound);
            }
            Action::BoxCut(link, side) => self.cut(&[number], link, side, time).await,
            Action::HallCut(link, side) => {
                self.cut(&hall_boxes(pick, self.boxes.len()), link, side, time).await;
            }
            Action::UpstreamLink(link) => set_link_for(&upstream.proxy, link, time).await,
            Action::UpstreamMisbehaves => {
                let mut behaviors = MISBEHAVIORS;
                behaviors.rotate_left(pick % MISBEHAVIORS.len());
                upstream.process.script(&behaviors[..MISBEHAVING_ANSWERS]);
                sleep(time).await;
                upstream.process.clear_script();
            }
            Action::UpstreamRests => {
                upstream
                    .process
                    .script(&[Behavior::RetryAfter(MIN_BACKOFF + time), Behavior::Answer]);
            }
            Action::UpstreamSaysLeaving => {
                upstream.process.script(&[Behavior::Leaving, Behavior::Leaving]);
                sleep(time + MIN_LEAVE).await;
                self.restart_upstream(pick, Duration::ZERO).await;
            }
            Action::BoxStopped => {
                let pid = gateway_box.process.pid();
                gateway_box.process.try_signal("-TERM");
                // Another step may have restarted the box in the meantime.
                while gateway_box.process.pid() == pid && gateway_box.process.is_alive() {
                    sleep(STOP_POLL_INTERVAL).await;
                }
                self.start_ended_boxes();
            }
            Action::BoxReloads => gateway_box.process.try_signal("-HUP"),
            Action::Configured => self.set_configuration(1 + u64::from(pick.is_multiple_of(3)) * 4),
            Action::WeightsNamed => self.name_next_weights(),
            Action::UpstreamLeaves => self.announce_leave(pick, time + MIN_LEAVE).await,
            Action::UpstreamRestarts => self.restart_upstream(pick, time).await,
            Action::EngineRestarts => self.restart_engine(pick, time).await,
            Action::EngineOrdersLate => {
                let engine = &self.engines[pick % self.engines.len()].process;
                engine.delay_orders(Some(
                    MIN_ORDER_DELAY + ORDER_DELAY_PER_PICK * u32::try_from(pick).unwrap_or(0),
                ));
                sleep(time).await;
                engine.delay_orders(None);
            }
            Action::EngineHangs => {
                let time_ms = u64::try_from(time.as_millis()).unwrap_or_default();
                self.engines[pick % self.engines.len()].process.hang_until(now_ms() + time_ms);
            }
        }
        let affected_boxes = match action {
            Action::AllKilled => (0..self.boxes.len()).collect(),
            Action::HallPaused => hall_boxes(pick, self.boxes.len()),
            Action::BoxKilled | Action::BoxPaused | Action::BoxStopped => vec![number],
            _ => Vec::new(),
        };
        let paused = matches!(action, Action::BoxPaused | Action::HallPaused);
        let times_ms = from_ms..=now_ms();
        let outage = |box_number| BoxOutage { box_number, times_ms: times_ms.clone(), paused };
        self.box_outages().extend(affected_boxes.into_iter().map(outage));
    }

    /// Restarts an upstream under the same id: its connections are reset, and its entry gets a
    /// new start time.
    async fn restart_upstream(&self, pick: usize, time: Duration) {
        let number = pick % self.upstreams.len();
        set_link_for(&self.upstreams[number].proxy, LinkState::Reset, time).await;
        self.restarted_at_ms[number].store(now_ms(), Ordering::SeqCst);
        let is_leaving = self.pending_leaves[number].load(Ordering::SeqCst) > 0;
        self.publish_upstream(number, if is_leaving { "draining" } else { "ready" });
        let id = self.upstreams[number].process.id.clone();
        self.upstream_restarts().push(UpstreamRestart { id, at: Instant::now() });
    }

    /// Restarts an engine under the same id. Mostly its entry announces the restart, and the
    /// engine is back at the first version of the weights unless the scenario changes weights.
    /// Otherwise it keeps its weights, as the platform guarantees, and only the engine's own
    /// responses show the restart.
    async fn restart_engine(&self, pick: usize, time: Duration) {
        let number = pick % self.engines.len();
        let engine = &self.engines[number];
        let is_announced = !(pick / self.engines.len()).is_multiple_of(UNANNOUNCED_ONE_IN);
        let version =
            if is_announced && !self.weights_change { 1 } else { engine.process.version() };
        engine.process.restart(version);
        set_link_for(&engine.proxy, LinkState::Reset, time).await;
        if !is_announced {
            return;
        }
        let mut entry = engine_entry(ENGINE_SERVICE, &engine.proxy.address, MODEL, version);
        entry["born"] = json!(engine.process.started_at_ms());
        entry["seq"] = json!(0);
        self.site.register(&format!("e-{number}"), &entry);
    }

    /// Marks an upstream as about to leave for a while.
    async fn announce_leave(&self, pick: usize, time: Duration) {
        let number = pick % self.upstreams.len();
        let pending_leaves = &self.pending_leaves[number];
        pending_leaves.fetch_add(1, Ordering::SeqCst);
        let from = Instant::now();
        self.publish_upstream(number, "draining");
        sleep(time).await;
        let id = self.upstreams[number].process.id.clone();
        self.upstream_leaves().push(UpstreamLeave { id, from, until: Instant::now() });
        // Other steps may still require that the upstream is about to leave.
        if pending_leaves.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.publish_upstream(number, "ready");
        }
    }

    /// Stores a change, then stops the metadata store's responses shortly after.
    async fn store_silent_after(&self, change: LastChange, pick: usize, time: Duration) {
        let silent = async {
            let pause_ms = u64::try_from(pick % SILENCE_DELAY_MS).unwrap_or_default();
            sleep(Duration::from_millis(pause_ms)).await;
            self.disrupt_metadata(StoreFault::Unresponsive, time).await;
        };
        match change {
            LastChange::Configuration => {
                self.set_configuration(1);
                silent.await;
            }
            LastChange::Leave => {
                tokio::join!(self.announce_leave(pick, time + MIN_LEAVE), silent);
            }
        }
    }

    async fn pause(&self, group: &[usize], time: Duration) {
        let signal = |name| {
            for number in group {
                self.boxes[*number].process.try_signal(name);
            }
        };
        signal("-STOP");
        sleep(time).await;
        signal("-CONT");
    }

    /// Disrupts the connections of boxes to the metadata store, and their traffic with all others.
    async fn cut(&self, group: &[usize], link: LinkState, side: PeerDirection, time: Duration) {
        let set = |link| {
            for number in group {
                self.boxes[*number].metadata_proxy.set(link);
            }
            self.mesh.separate(group, side, link);
        };
        set(link);
        sleep(time).await;
        set(LinkState::Sound);
    }

    /// Silences the open connections of a group.
    fn silence(&self, group: ConnectionGroup) {
        let includes = |affected| group == affected || group == ConnectionGroup::All;
        for gateway_box in self.boxes.iter().filter(|_| includes(ConnectionGroup::Store)) {
            gateway_box.metadata_proxy.silence();
        }
        for gateway_box in self.boxes.iter().filter(|_| includes(ConnectionGroup::Callers)) {
            gateway_box.client_proxy.silence();
        }
        if includes(ConnectionGroup::Upstreams) {
            self.upstreams.iter().for_each(|upstream| upstream.proxy.silence());
            self.engines.iter().for_each(|engine| engine.proxy.silence());
        }
        if includes(ConnectionGroup::Peers) {
            self.mesh.silence();
        }
    }

    async fn disrupt_metadata(&self, fault: StoreFault, time: Duration) {
        self.site.metadata.set_fault(fault);
        sleep(time).await;
        self.site.metadata.set_fault(StoreFault::None);
    }
}

async fn kill_and_restart(process: &Gateway, time: Duration) {
    process.try_signal("-KILL");
    sleep(time).await;
    process.restart_if_exited();
}

async fn set_link_for(proxy: &Proxy, link: LinkState, time: Duration) {
    proxy.set(link);
    sleep(time).await;
    proxy.set(LinkState::Sound);
}
