//! What is done to the programs of a run.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use coursestile_standins::clock::now_ms;
use coursestile_standins::site::engine::MODEL;
use coursestile_standins::site::metadata::StoreFault;
use coursestile_standins::site::server::Behavior;
use coursestile_standins::site::{Gateway, engine_entry};
use serde_json::json;
use tokio::time::sleep;

use super::{Away, ENGINE_SERVICE, Leave, Reborn, World};
use crate::plan::{Event, LEADER, LastWord, Link, Way};
use crate::proxy::Proxy;

/// Time for which an upstream is about to leave at least: beyond the two seconds
/// in which it may still get work.
const LEAVES: Duration = Duration::from_secs(3);
/// The store falls silent less than this many milliseconds after a change: within
/// that time boxes have asked for the next one.
const SILENT_AFTER_MS: usize = 25;
/// How often a box that is to stop is looked at.
const STOP_POLL: Duration = Duration::from_millis(20);
/// Least time for which an upstream wants no requests.
const REST: Duration = Duration::from_millis(800);
/// Answers that an upstream spoils at a time.
const ACTS: usize = 5;
/// Least time after which an unanswered order is carried out, and what is added for each
/// of a thousand picks.
const LATE: Duration = Duration::from_millis(300);
const LATE_STEP: Duration = Duration::from_micros(2700);
/// One restart of an engine in so many is told by no entry.
const UNTOLD_ONE_IN: usize = 3;
/// What an upstream may do in place of an answer.
const MISBEHAVIOUR: [Behavior; 10] = [
    Behavior::NotRun,
    Behavior::Close,
    Behavior::WrongRequestId,
    Behavior::MissingSeal,
    Behavior::TruncatedBody,
    Behavior::DuplicateAnswer,
    Behavior::NoLength,
    Behavior::Status(500),
    Behavior::Events(2),
    Behavior::DelayedAnswer(Duration::from_millis(400)),
];

impl World {
    /// Has something happen for a while.
    pub async fn happen(&self, event: Event, pick: usize, time: Duration) {
        let number = if pick == LEADER { self.leader() } else { pick % self.boxes.len() };
        let (one_box, from_ms) = (&self.boxes[number], now_ms());
        let upstream = &self.upstreams[pick % self.upstreams.len()];
        match event {
            Event::BoxKilled => restart(&one_box.process, time).await,
            Event::AllKilled => {
                for one in &self.boxes {
                    one.process.try_signal("-KILL");
                }
                sleep(time).await;
                self.start_ended();
            }
            Event::BoxPaused => {
                one_box.process.try_signal("-STOP");
                sleep(time).await;
                one_box.process.try_signal("-CONT");
            }
            Event::StoreBusy => self.trouble(StoreFault::Unavailable, time).await,
            Event::StoreSilent => self.trouble(StoreFault::Unresponsive, time).await,
            Event::StoreLosesAnswers => self.trouble(StoreFault::WriteAnswersLost, time).await,
            Event::StoreForgets => self.site.metadata.compact(),
            Event::StoreLink(link) => spoil(&one_box.store, link, time).await,
            Event::StoreSilentAfter(word) => self.store_silent_after(word, pick, time).await,
            Event::Silenced(way) => self.silence(way),
            Event::PeersLink(link, side) => {
                self.mesh.set(pick % self.boxes.len(), side, link);
                sleep(time).await;
                self.mesh.set(pick % self.boxes.len(), side, Link::Sound);
            }
            Event::UpstreamLink(link) => spoil(&upstream.proxy, link, time).await,
            Event::UpstreamMisbehaves => {
                let mut acts = MISBEHAVIOUR;
                acts.rotate_left(pick % MISBEHAVIOUR.len());
                upstream.process.script(&acts[..ACTS]);
                sleep(time).await;
                upstream.process.clear_script();
            }
            Event::UpstreamRests => {
                upstream.process.script(&[Behavior::RetryAfter(REST + time), Behavior::Answer]);
            }
            Event::UpstreamSaysLeaving => {
                upstream.process.script(&[Behavior::Leaving, Behavior::Leaving]);
                sleep(time + LEAVES).await;
                self.restart_upstream(pick, Duration::ZERO).await;
            }
            Event::BoxStopped => {
                let pid = one_box.process.pid();
                one_box.process.try_signal("-TERM");
                // Another step may have started it again meanwhile.
                while one_box.process.pid() == pid && one_box.process.is_alive() {
                    sleep(STOP_POLL).await;
                }
                self.start_ended();
            }
            Event::BoxReloads => one_box.process.try_signal("-HUP"),
            Event::Configured => self.configure(1 + u64::from(pick.is_multiple_of(3)) * 4),
            Event::WeightsNamed => self.name_weights(),
            Event::UpstreamLeaves => self.leave(pick, time + LEAVES).await,
            Event::UpstreamRestarts => self.restart_upstream(pick, time).await,
            Event::EngineRestarts => self.restart_engine(pick, time).await,
            Event::EngineOrdersLate => {
                let engine = &self.engines[pick % self.engines.len()].process;
                engine.delay_orders(Some(LATE + LATE_STEP * u32::try_from(pick).unwrap_or(0)));
                sleep(time).await;
                engine.delay_orders(None);
            }
            Event::EngineHangs => {
                let time_ms = u64::try_from(time.as_millis()).unwrap_or_default();
                self.engines[pick % self.engines.len()].process.hang_until(now_ms() + time_ms);
            }
        }
        let gone = match event {
            Event::AllKilled => 0..self.boxes.len(),
            Event::BoxKilled | Event::BoxPaused | Event::BoxStopped => number..number + 1,
            _ => 0..0,
        };
        let (times_ms, paused) = (from_ms..=now_ms(), event == Event::BoxPaused);
        let away = |box_number| Away { box_number, times_ms: times_ms.clone(), paused };
        self.aways().extend(gone.map(away));
    }

    /// Has an upstream start again under its id: its connections break, and its entry tells
    /// of another start.
    async fn restart_upstream(&self, pick: usize, time: Duration) {
        let number = pick % self.upstreams.len();
        spoil(&self.upstreams[number].proxy, Link::Reset, time).await;
        self.starts_ms[number].store(now_ms(), Ordering::SeqCst);
        let is_leaving = self.leaving[number].load(Ordering::SeqCst) > 0;
        self.enter(number, if is_leaving { "draining" } else { "ready" });
        let id = self.upstreams[number].process.id.clone();
        self.reborn().push(Reborn { id, at: Instant::now() });
    }

    /// Has an engine start again under its id. Mostly its entry tells of it, also of the
    /// weights that it had first; else it has those that it had, as the platform has it,
    /// and nobody but the engine itself tells.
    async fn restart_engine(&self, pick: usize, time: Duration) {
        let number = pick % self.engines.len();
        let engine = &self.engines[number];
        let is_told = !(pick / self.engines.len()).is_multiple_of(UNTOLD_ONE_IN);
        let version = if is_told && !self.moving { 1 } else { engine.process.version() };
        engine.process.restart(version);
        spoil(&engine.proxy, Link::Reset, time).await;
        if !is_told {
            return;
        }
        let mut entry = engine_entry(ENGINE_SERVICE, &engine.proxy.address, MODEL, version);
        entry["born"] = json!(engine.process.started_at_ms());
        entry["seq"] = json!(0);
        self.site.register(&format!("e-{number}"), &entry);
    }

    /// Has an upstream be about to leave for a while.
    async fn leave(&self, pick: usize, time: Duration) {
        let number = pick % self.upstreams.len();
        let leaving = &self.leaving[number];
        leaving.fetch_add(1, Ordering::SeqCst);
        let from = Instant::now();
        self.enter(number, "draining");
        sleep(time).await;
        let id = self.upstreams[number].process.id.clone();
        self.leaves().push(Leave { id, from, until: Instant::now() });
        // Other steps may go on.
        if leaving.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.enter(number, "ready");
        }
    }

    /// Has the store take a change and say nothing soon after.
    async fn store_silent_after(&self, word: LastWord, pick: usize, time: Duration) {
        let silent = async {
            let pause_ms = u64::try_from(pick % SILENT_AFTER_MS).unwrap_or_default();
            sleep(Duration::from_millis(pause_ms)).await;
            self.trouble(StoreFault::Unresponsive, time).await;
        };
        match word {
            LastWord::Configuration => {
                self.configure(1);
                silent.await;
            }
            LastWord::Leave => {
                tokio::join!(self.leave(pick, time + LEAVES), silent);
            }
        }
    }

    /// Silences open connections.
    fn silence(&self, way: Way) {
        let on = |one| way == one || way == Way::All;
        for one in self.boxes.iter().filter(|_| on(Way::Store)) {
            one.store.silence();
        }
        for one in self.boxes.iter().filter(|_| on(Way::Callers)) {
            one.callers.silence();
        }
        if on(Way::Upstreams) {
            self.upstreams.iter().for_each(|one| one.proxy.silence());
            self.engines.iter().for_each(|one| one.proxy.silence());
        }
        if on(Way::Peers) {
            self.mesh.silence();
        }
    }

    async fn trouble(&self, trouble: StoreFault, time: Duration) {
        self.site.metadata.set_fault(trouble);
        sleep(time).await;
        self.site.metadata.set_fault(StoreFault::None);
    }
}

async fn restart(process: &Gateway, time: Duration) {
    process.try_signal("-KILL");
    sleep(time).await;
    process.restart_if_exited();
}

async fn spoil(proxy: &Proxy, link: Link, time: Duration) {
    proxy.set(link);
    sleep(time).await;
    proxy.set(Link::Sound);
}
