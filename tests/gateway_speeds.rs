//! Engines that differ in speed, and boxes that learn of it from first tokens, gaps between events
//! and each other's samples. Only the decision code runs, in a hall of 16 boxes and 48 engines.

#[path = "common/site.rs"]
mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use common::{start_engines, wait_ready};
use coursestile::gateway::decisions::admission::{AdmissionCriteria, Occupancy};
use coursestile::gateway::decisions::candidates::Candidates;
use coursestile::gateway::decisions::choose::{Choice, choose};
use coursestile::gateway::decisions::configuration::EngineSpec;
use coursestile::gateway::decisions::demand::{AllowedSoftware, Demand};
use coursestile::gateway::decisions::engine_speed::{EventGaps, SampleOrigin, SpeedReport};
use coursestile::gateway::decisions::incarnation::Incarnation;
use coursestile::gateway::decisions::prompt::Prompt;
use coursestile::gateway::decisions::regions::AllowedHalls;
use coursestile::gateway::decisions::stores::{Placement, Stores};
use coursestile::gateway::decisions::units::rounded_ms;
use coursestile::gateway::decisions::upstream::{Load, UpstreamEntry};
use coursestile::gateway::decisions::upstreams::Upstreams;
use coursestile_standins::site::client::{Client, request};
use coursestile_standins::site::engine::MODEL;
use coursestile_standins::site::{Site, config_document, engine_services, eventually};
use rstest::rstest;

const BOXES: usize = 16;
const ENGINES: usize = 48;
const SLOTS: u32 = 16;
/// Tokens per millisecond and shortest step of deployment B, on an engine of normal speed.
const PREFILL_RATE: f64 = 69.8;
const STEP_MS: f64 = 4.39;
const TOKENS_PER_EVENT: f64 = 7.0;
/// Tokens to prefill, output events, latency objective.
const KINDS: [(u32, u32, u64); 3] = [(1670, 7, 600), (1670, 7, 600), (177, 42, 400)];
/// Time after which a load change is known to the other boxes.
const REPORT_DELAY_MS: u64 = 100;
/// The same in other halls.
const FAR_DELAY_MS: u64 = 400;
/// Period of the load.
const CYCLE_MS: u64 = 17_000;
const SLOW_MS: std::ops::Range<u64> = 3000..13_000;

fn engine_id(engine: usize) -> String {
    format!("engine-{engine:02}")
}

fn hall_name(halls: usize, index: usize) -> &'static str {
    ["north", "south", "west"][index % halls]
}

fn entry(halls: usize, engine: usize, started_at_ms: Option<u64>) -> UpstreamEntry {
    UpstreamEntry {
        service: "llm".to_owned(),
        software: "v1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1 + u16::try_from(engine).unwrap())),
        hall: hall_name(halls, engine).to_owned(),
        slots: SLOTS,
        leaving: false,
        cold_left_ms: 0,
        models: vec![("m".to_owned(), 1)],
        started_at_ms,
    }
}

fn view(halls: usize) -> Upstreams {
    let mut upstreams = Upstreams::default();
    for engine in 0..ENGINES {
        upstreams.upsert(0, &engine_id(engine), entry(halls, engine, None));
    }
    upstreams
}

fn choose_at(
    view: &Upstreams,
    hall: &str,
    now_ms: u64,
    (tokens, objective_ms): (u32, u64),
    seed: u64,
) -> Choice {
    let prompt = Prompt::parse("m", &format!("{tokens},60"), &format!("ff:{tokens}")).unwrap();
    let engine = EngineSpec {
        slots: SLOTS,
        memory_tokens: 43_416,
        bytes_per_token: 18_432,
        link_mbps: 130_000.0,
        per_part_sources: true,
    };
    let demand = Demand {
        service: "llm",
        box_short_id: 1,
        hall,
        prompt: Some(&prompt),
        context_group: None,
        weights: None,
        weights_apply_ms: 10_000,
        excludes_overdue: true,
        placement: Placement::RendezvousHash { hall },
        candidates: Candidates::Sampled { seed, hall_boxes: None },
        allowed_halls: AllowedHalls::ALL,
        software: AllowedSoftware::Any,
        tried: &[],
        max_connections: 200,
        boxes: 1,
        exceeds_share: false,
        brittle: None,
        may_ask_for_permits: true,
        room: None,
        admission: AdmissionCriteria {
            higher_priority_ranks: 0,
            objective_ms,
            objective_missed: false,
            admission_limit: 1.1,
            account_part: 1.0,
            reserved_part: 0.0,
        },
        objective_at_ms: Some(now_ms + objective_ms),
    };
    choose(now_ms, view, &Stores::default(), Some(&engine), &demand).unwrap()
}

/// A request at an engine.
#[derive(Clone, Copy, Debug)]
struct Run {
    box_index: usize,
    engine: usize,
    kind: usize,
    sent_at_ms: u64,
    /// Tokens that were queued at the engine, as far as the box knew.
    queued: u32,
}

#[derive(Clone, Debug)]
enum Event {
    Arrival,
    Prefilled(Run),
    /// Events of the stream are left.
    Stream(Run, u32, u32),
    /// The other boxes learn of a load change: requests, tokens to prefill, memory.
    Heard(usize, usize, [i32; 3], bool),
    /// The first hall is cut off.
    Cut,
    /// A box sends samples.
    Gossip(usize),
    /// Samples arrive at a box.
    Reports(usize, Vec<SpeedReport>),
}

/// How messages between boxes arrive.
#[derive(Clone, Copy)]
struct Gossip {
    lost: f64,
    copies: u32,
    late_ms: u64,
}

const GOOD: Gossip = Gossip { lost: 0.0, copies: 1, late_ms: 20 };
const BAD: Gossip = Gossip { lost: 0.3, copies: 2, late_ms: 400 };

/// What is played, on engines whose times are multiplied by `factor`.
#[derive(Clone, Copy)]
struct Play {
    halls: usize,
    duration_ms: u64,
    requests_per_s: f64,
    /// Whether boxes learn speeds and loads of halls.
    learns: bool,
    gossip: Gossip,
    seed: u64,
    factor: fn(usize, u64) -> f64,
    /// When the first hall is cut off from the others.
    cut_at_ms: u64,
}

const PLAY: Play = Play {
    halls: 1,
    duration_ms: 17_000,
    requests_per_s: 0.0,
    learns: true,
    gossip: GOOD,
    seed: 5,
    factor: |_, _| 1.0,
    cut_at_ms: u64::MAX,
};

fn incarnation(engine: usize) -> Incarnation {
    Incarnation { id: engine_id(engine), started_at_ms: None }
}

struct Hall {
    views: Vec<Upstreams>,
    idle_at_ms: Vec<f64>,
    running: Vec<u32>,
    play: Play,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    random: fastrand::Rng,
    gossip_random: fastrand::Rng,
    /// Samples in all messages.
    sent: usize,
    /// Time of choice, engine, whether the first token was late.
    chosen: Vec<(u64, usize, bool)>,
    /// Time, hall of the box and of the engine, and work of requests between halls.
    moved: Vec<(u64, usize, usize, f64)>,
}

fn change_load(load: &mut Load, [requests, prefill, memory]: [i32; 3]) {
    load.requests = load.requests.checked_add_signed(requests).unwrap();
    load.pending_prefill_tokens = load.pending_prefill_tokens.checked_add_signed(prefill).unwrap();
    load.memory_tokens = load.memory_tokens.checked_add_signed(memory).unwrap();
}

#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "some thousand milliseconds"
)]
impl Hall {
    fn play(play: Play) -> Self {
        let halls = play.halls;
        let mut hall = Self {
            moved: Vec::new(),
            views: (0..BOXES).map(|_| view(halls)).collect(),
            idle_at_ms: vec![0.0; ENGINES],
            running: vec![0; ENGINES],
            events: BTreeMap::new(),
            sequence: 0,
            random: fastrand::Rng::with_seed(play.seed),
            gossip_random: fastrand::Rng::with_seed(6),
            sent: 0,
            chosen: Vec::new(),
            play,
        };
        hall.at(0, Event::Arrival);
        hall.at(play.cut_at_ms, Event::Cut);
        for box_index in 0..BOXES {
            hall.at(250 + 15 * box_index as u64, Event::Gossip(box_index));
        }
        while let Some(((now_ms, _), event)) = hall.events.pop_first()
            && now_ms < play.duration_ms
        {
            hall.handle(now_ms, event);
        }
        hall
    }

    fn at(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at_ms, self.sequence), event);
    }

    fn handle(&mut self, now_ms: u64, event: Event) {
        match event {
            Event::Arrival => {
                let pause_ms = -(1.0 - self.random.f64()).ln() * 1000.0 / self.play.requests_per_s;
                self.at(now_ms + rounded_ms(pause_ms), Event::Arrival);
                self.send(now_ms);
            }
            Event::Prefilled(run) => {
                let (tokens, events, objective_ms) = KINDS[run.kind];
                self.chosen.push((
                    run.sent_at_ms,
                    run.engine,
                    now_ms > run.sent_at_ms + objective_ms,
                ));
                self.change(now_ms, run, [0, -tokens.cast_signed(), 0]);
                if self.play.learns {
                    let time_ms = (now_ms - run.sent_at_ms) as f64;
                    let tokens = (run.queued, tokens);
                    let engine = incarnation(run.engine);
                    self.views[run.box_index].record_first_token(now_ms, &engine, tokens, time_ms);
                }
                self.stream(now_ms, run, events);
            }
            Event::Stream(run, 0, _) => {
                self.running[run.engine] -= 1;
                let memory = KINDS[run.kind].0.cast_signed() + 300;
                self.change(now_ms, run, [-1, 0, -memory]);
            }
            Event::Stream(run, left, gap_ms) => {
                if self.play.learns {
                    let engine = incarnation(run.engine);
                    self.views[run.box_index].record_event_gap(now_ms, &engine, gap_ms.into());
                }
                self.stream(now_ms, run, left);
            }
            Event::Cut => {
                for (box_index, view) in self.views.iter_mut().enumerate() {
                    let hall = box_index % self.play.halls;
                    let own_hall = hall_name(self.play.halls, hall);
                    let is_cut = |engine: &usize| {
                        (hall_name(self.play.halls, *engine) == "north") != (hall == 0)
                    };
                    // Connections to two upstreams of a hall that time out show that it is cut off.
                    for engine in (0..ENGINES).filter(is_cut).take(6) {
                        view.record_connect_timeout(now_ms, &incarnation(engine), own_hall);
                    }
                }
            }
            Event::Gossip(from) => {
                self.at(now_ms + 250, Event::Gossip(from));
                let view = &mut self.views[from];
                // Boxes of a large fleet do so twice a second.
                if self.play.learns && now_ms % 500 < 250 {
                    view.update_hall_loads(now_ms);
                }
                view.expire_speed_reports(now_ms, 500);
                let reports = view.speed_reports(now_ms, &[SampleOrigin::ThisBox]);
                self.sent += reports.len();
                for peer in (0..BOXES).filter(|peer| *peer != from) {
                    for _ in 0..self.play.gossip.copies {
                        if self.gossip_random.f64() >= self.play.gossip.lost {
                            let delay_ms = 1 + self.gossip_random.u64(..self.play.gossip.late_ms);
                            self.at(now_ms + delay_ms, Event::Reports(peer, reports.clone()));
                        }
                    }
                }
            }
            Event::Reports(to, reports) => {
                self.views[to].apply_speed_reports(now_ms, SampleOrigin::OwnHall, &reports);
            }
            Event::Heard(from, engine, change, is_far) => {
                let halls = self.play.halls;
                let is_meant =
                    |peer: &usize| *peer != from && (peer % halls != from % halls) == is_far;
                for peer in (0..BOXES).filter(is_meant) {
                    let upstream = self.views[peer].get_mut(&engine_id(engine)).unwrap();
                    change_load(&mut upstream.peer_load, change);
                }
            }
        }
    }

    fn send(&mut self, now_ms: u64) {
        // The loads of the halls vary by 55%, a third of the period apart.
        let box_index = loop {
            let box_index = self.random.usize(..BOXES);
            let phase = (box_index % self.play.halls) as f64 / self.play.halls as f64;
            let cycles = now_ms as f64 / CYCLE_MS as f64 + phase;
            let part = (1.0 + 0.55 * (cycles * std::f64::consts::TAU).sin()) / 1.55;
            if self.play.halls == 1 || self.random.f64() < part {
                break box_index;
            }
        };
        let kind = self.random.usize(..KINDS.len());
        let (tokens, _, objective_ms) = KINDS[kind];
        let seed = self.random.u64(..);
        let choice = choose_at(
            &self.views[box_index],
            hall_name(self.play.halls, box_index),
            now_ms,
            (tokens, objective_ms),
            seed,
        );
        if choice.occupancy == Occupancy::Full {
            self.chosen.push((now_ms, ENGINES, true));
            return;
        }
        let engine = choice.upstream.id.trim_start_matches("engine-").parse().unwrap();
        let (from, to) = (box_index % self.play.halls, engine % self.play.halls);
        if from != to {
            let (_, events, _) = KINDS[kind];
            self.moved.push((now_ms, from, to, f64::from(tokens) + 70.0 * f64::from(events)));
        }
        let queued = choice.load.pending_prefill_tokens;
        let run = Run { box_index, engine, kind, sent_at_ms: now_ms, queued };
        let factor = (self.play.factor)(engine, now_ms);
        // A request beyond the slots waits for about as long as the others run on.
        let excess = f64::from((self.running[engine] + 1).saturating_sub(SLOTS));
        let slot_ms = excess * 20.0 * TOKENS_PER_EVENT * STEP_MS * factor / f64::from(SLOTS);
        let starts_at_ms = self.idle_at_ms[engine].max(now_ms as f64 + slot_ms);
        self.idle_at_ms[engine] = starts_at_ms + f64::from(tokens) / PREFILL_RATE * factor;
        self.running[engine] += 1;
        let tokens = tokens.cast_signed();
        self.change(now_ms, run, [1, tokens, tokens + 300]);
        let first_token_ms = self.idle_at_ms[engine] + STEP_MS * factor;
        self.at(rounded_ms(first_token_ms), Event::Prefilled(run));
    }

    /// Sends events of a stream for about 200 ms; their mean gap varies by some tenths.
    fn stream(&mut self, now_ms: u64, run: Run, left: u32) {
        let factor = (self.play.factor)(run.engine, now_ms);
        let step_ms = (STEP_MS + 0.1 * f64::from(self.running[run.engine])) * factor;
        let count = left.min(2.max((200.0 / TOKENS_PER_EVENT / step_ms).ceil() as u32));
        let prefill_ms = (self.idle_at_ms[run.engine] - now_ms as f64).max(0.0);
        let noise = (0..4).map(|_| self.random.f64() - 0.5).sum::<f64>();
        let noise = noise * 1.5 / f64::from(count).sqrt();
        let sum_ms = f64::from(count) * TOKENS_PER_EVENT * step_ms * noise.exp() + prefill_ms;
        let gap_ms = u32::try_from(rounded_ms(sum_ms / f64::from(count))).unwrap();
        self.at(now_ms + rounded_ms(sum_ms), Event::Stream(run, left - count, gap_ms));
    }

    fn change(&mut self, now_ms: u64, run: Run, change: [i32; 3]) {
        let own = self.views[run.box_index].get_mut(&engine_id(run.engine)).unwrap();
        change_load(&mut own.own_load, change);
        let heard = |is_far| Event::Heard(run.box_index, run.engine, change, is_far);
        self.at(now_ms + REPORT_DELAY_MS, heard(false));
        self.at(now_ms + FAR_DELAY_MS, heard(true));
    }

    /// Work that went to other halls, and what of it went back within a second.
    fn moved_back(&self) -> (f64, f64) {
        let (mut all, mut back) = (0.0, 0.0);
        let mut recent: Vec<(u64, usize, usize, f64)> = Vec::new();
        for &(at_ms, from, to, mut work) in &self.moved {
            all += work;
            recent.retain(|(moved_at_ms, .., left)| at_ms <= moved_at_ms + 1000 && *left > 0.0);
            for (_, earlier_from, earlier_to, left) in &mut recent {
                if (*earlier_from, *earlier_to) == (to, from) {
                    let part = left.min(work);
                    *left -= part;
                    work -= part;
                    back += part;
                }
            }
            recent.push((at_ms, from, to, work));
        }
        (all, back)
    }

    /// Part of the requests of a time span that went to engines of which `is_meant` holds, and part of
    /// the first tokens that were late.
    fn shares(
        &self,
        span_ms: std::ops::Range<u64>,
        is_meant: impl Fn(usize) -> bool,
    ) -> (f64, f64) {
        let within: Vec<_> =
            self.chosen.iter().filter(|(at_ms, ..)| span_ms.contains(at_ms)).collect();
        let meant = within.iter().filter(|(_, engine, _)| is_meant(*engine)).count();
        let late = within.iter().filter(|(.., late)| *late).count();
        (meant as f64 / within.len() as f64, late as f64 / within.len() as f64)
    }
}

/// Three of ten engines, which are slow or fast.
fn is_other(engine: usize) -> bool {
    engine % 10 < 3
}

fn slow(engine: usize, now_ms: u64) -> f64 {
    if is_other(engine) && SLOW_MS.contains(&now_ms) { 3.5 } else { 1.0 }
}

/// With one speed for all engines, the slow ones got 1.4 to 1.6 times their share by speed.
#[rstest]
#[case::calm(240.0, GOOD)]
#[case::busy(480.0, GOOD)]
#[case::messages_lost(480.0, BAD)]
fn slow_engines(#[case] requests_per_s: f64, #[case] gossip: Gossip) {
    let hall = Hall::play(Play { requests_per_s, gossip, factor: slow, ..PLAY });
    let fair_share = 0.3 / 3.5 / (0.3 / 3.5 + 0.7);
    let (slow_share, _) = hall.shares(4000..13_000, is_other);
    let (share_after, _) = hall.shares(15_000..PLAY.duration_ms, is_other);
    println!("{slow_share:.3} of {fair_share:.3}, {share_after:.3} after, {} sent", hall.sent);
    assert!(slow_share < fair_share * 1.2, "{slow_share}");
    assert!(share_after > 0.3 * 0.9, "{share_after}");
}

/// Near the limit of what the hall can do, with one speed for all engines four times as many were late.
#[test]
fn fewer_late() {
    let late = |learns| {
        let play = Play { requests_per_s: 560.0, learns, factor: slow, ..PLAY };
        let plays = [5, 6, 7].map(|seed| Hall::play(Play { seed, ..play }));
        plays.iter().map(|hall| hall.shares(4000..13_000, is_other).1).sum::<f64>() / 3.0
    };
    let (learned, assumed) = (late(true), late(false));
    println!("{learned:.4} late or refused, {assumed:.4} with one speed for all");
    assert!(learned < assumed * 0.5, "{learned} {assumed}");
}

/// Engines of deployment A: three of ten are 1.3 times as fast.
#[rstest]
#[case::calm(240.0)]
#[case::busy(600.0)]
fn fast_engines(#[case] requests_per_s: f64) {
    let share = |learns| {
        let factor: fn(usize, u64) -> f64 =
            |engine, _| if is_other(engine) { 1.0 / 1.3 } else { 1.0 };
        let hall = Hall::play(Play { requests_per_s, learns, factor, ..PLAY });
        hall.shares(4000..PLAY.duration_ms, is_other).0
    };
    let fair_share = 0.3 * 1.3 / (0.3 * 1.3 + 0.7);
    println!("{:.3} of {fair_share:.3}, {:.3} with one speed for all", share(true), share(false));
    assert!(share(true) > fair_share * 0.95, "{}", share(true));
}

/// Engines as fast as assumed, whose gaps vary: no decision changes.
#[rstest]
#[case::calm(120.0, 1)]
#[case::normal(240.0, 1)]
#[case::halls(120.0, 3)]
fn same_choices(#[case] requests_per_s: f64, #[case] halls: usize) {
    let factor: fn(usize, u64) -> f64 = |_, _| PREFILL_RATE / 50.0;
    let chosen = |learns| Hall::play(Play { halls, requests_per_s, learns, factor, ..PLAY }).chosen;
    assert!(chosen(true) == chosen(false));
}

/// A view that knows what is usual, and samples of the second engine that is 3.5 times slower.
fn learned(slow_samples: u64) -> Upstreams {
    let mut view = view(1);
    for at_ms in 0..400 {
        view.record_event_gap(at_ms, &incarnation(0), 30.0);
        view.record_event_gap(at_ms, &incarnation(1), 30.0);
    }
    for sample in 0..slow_samples {
        for _ in 0..4 {
            view.record_event_gap(400 + sample * 10, &incarnation(0), 30.0);
        }
        view.record_event_gap(400 + sample * 10, &incarnation(1), 105.0);
    }
    view
}

fn slowdown(view: &Upstreams, now_ms: u64) -> f64 {
    view.speed(view.get(&engine_id(1)).unwrap(), now_ms).slowdown()
}

#[test]
fn copies_ignored() {
    let (sender, mut once) = (learned(20), learned(0));
    let reports = sender.speed_reports(600, &[SampleOrigin::ThisBox]);
    assert!(reports.len() >= 8, "{}", reports.len());
    once.apply_speed_reports(600, SampleOrigin::OwnHall, &reports);
    assert!(slowdown(&once, 600) > 2.0, "{}", slowdown(&once, 600));
    let mut twice = learned(0);
    for now_ms in [600, 600] {
        for report in &reports {
            twice.apply_speed_reports(now_ms, SampleOrigin::OwnHall, &[*report, *report]);
        }
    }
    assert!((slowdown(&twice, 600) - slowdown(&once, 600)).abs() < 1e-9);
}

#[test]
fn old_ignored() {
    let aged = learned(20).speed_reports(3600, &[SampleOrigin::ThisBox]);
    let mut late = learned(0);
    late.apply_speed_reports(3600, SampleOrigin::OwnHall, &aged);
    assert!((slowdown(&late, 3600) - 1.0).abs() < f64::EPSILON);
    let learned = learned(20);
    assert!(slowdown(&learned, 1500) > 3.0, "no sample for less than a second");
    assert!((slowdown(&learned, 3000) - 1.0).abs() < f64::EPSILON, "it gets requests again");
}

#[test]
fn restart_forgets() {
    let mut view = learned(20);
    assert!(slowdown(&view, 700) > 3.0);
    view.upsert(700, &engine_id(1), entry(1, 1, Some(1)));
    view.upsert(700, &engine_id(1), entry(1, 1, Some(2)));
    assert!((slowdown(&view, 700) - 1.0).abs() < f64::EPSILON);
    view.record_event_gap(700, &incarnation(1), 105.0);
    let reports = learned(20).speed_reports(600, &[SampleOrigin::ThisBox]);
    view.apply_speed_reports(700, SampleOrigin::OwnHall, &reports);
    assert!((slowdown(&view, 700) - 1.0).abs() < f64::EPSILON, "of the earlier incarnation");
}

/// A sample crosses to another hall by its bridge, and does not return.
#[test]
fn halls_told() {
    let (own_box, mut bridge, mut far) = (learned(20), learned(0), learned(0));
    let of_hall = [SampleOrigin::ThisBox, SampleOrigin::OwnHall];
    let taken = own_box.speed_reports(600, &[SampleOrigin::ThisBox]);
    bridge.apply_speed_reports(600, SampleOrigin::OwnHall, &taken);
    assert!(bridge.speed_reports(600, &[SampleOrigin::OtherHalls]).is_empty());
    far.apply_speed_reports(850, SampleOrigin::OtherHalls, &bridge.speed_reports(850, &of_hall));
    assert!(slowdown(&far, 850) > 1.5, "{}", slowdown(&far, 850));
    assert!(far.speed_reports(850, &of_hall).is_empty(), "its own hall has the sample from others");
    let bytes = postcard::to_stdvec(&taken).unwrap().len();
    assert!(bytes <= taken.len() * 12, "{bytes} bytes for {} samples", taken.len());
}

/// A client that reads slowly does not make the engine look slow.
#[test]
fn client_waits() {
    let mut gaps = EventGaps::default();
    let mut means = Vec::new();
    for event in 0..20_u64 {
        let at_ms = event * 30;
        means.extend(gaps.record(at_ms, at_ms.saturating_sub(20)));
        // The next event is there when the client has read this one.
        means.extend(gaps.record(at_ms + 500, at_ms + 500));
    }
    assert_eq!(means, Vec::<f64>::new());
    let steady = (0..20_u64).filter_map(|event| gaps.record(event * 30 + 1, event * 30));
    assert_eq!(steady.collect::<Vec<_>>(), [30.0, 30.0]);
}

const HALLS: Play = Play { halls: 3, duration_ms: 2 * CYCLE_MS, ..PLAY };

/// Three halls whose loads vary, a third of the period apart. While boxes compared single engines, 0.12 to
/// 0.43 of the work that went to other halls crossed with work in the opposite direction.
#[rstest]
#[case::busy(680.0)]
#[case::full(760.0)]
#[case::overloaded(900.0)]
fn halls_take_turns(#[case] requests_per_s: f64) {
    let play = |learns| {
        let hall = Hall::play(Play { requests_per_s, learns, ..HALLS });
        let (moved, back) = hall.moved_back();
        let (_, late) = hall.shares(0..2 * CYCLE_MS, is_other);
        println!("{learns}: {moved:.0} moved, {:.3} of it back, {late:.3} late", back / moved);
        (moved, back, late)
    };
    let (moved, back, late) = play(true);
    let (_, _, late_before) = play(false);
    assert!(moved > 0.0 && back < 0.1 * moved, "{back} of {moved}");
    assert!(late <= late_before + 0.005, "{late} {late_before}");
}

/// A hall that is cut off serves with its own engines, and the others without them.
#[test]
fn hall_cut() {
    let cut_at_ms = 8000;
    let hall = Hall::play(Play { requests_per_s: 760.0, cut_at_ms, ..HALLS });
    let crossed = |span_ms: std::ops::Range<u64>| {
        let moved = hall.moved.iter().filter(|(at_ms, ..)| span_ms.contains(at_ms));
        moved.filter(|(_, from, to, _)| *from == 0 || *to == 0).count()
    };
    assert!(crossed(0..cut_at_ms) > 0);
    assert_eq!(crossed(cut_at_ms + 1..HALLS.duration_ms), 0);
    let after = hall.moved.iter().filter(|(at_ms, ..)| *at_ms > cut_at_ms).count();
    let served = hall
        .chosen
        .iter()
        .filter(|(at_ms, engine, _)| *at_ms > cut_at_ms && engine % 3 == 0 && *engine < ENGINES)
        .count();
    println!("{after} between the others, {served} served in the hall");
    assert!(after > 0 && served > 0);
}

/// A gateway process takes samples from real streams: engines answer at once, which is faster than assumed.
#[tokio::test]
async fn streams_measured() {
    let mut site = Site::start().await;
    let _engines = start_engines(&site, 1).await;
    let mut config = config_document(7);
    config["services"] = engine_services(None);
    config["routes"][2]["service"] = "llm".into();
    config["routes"][2]["path_prefix"] = "/run/".into();
    site.configure(&config);
    site.set_weight_version(MODEL, 1);
    let gateway = site.gateway("north", &[]);
    wait_ready(&gateway).await;
    for number in 0..40 {
        let extra = format!(
            "X-Model: {MODEL}\r\nX-Token-Count: 2100,10\r\nX-Prefix-Hash: aa:100,cc:2000\r\n"
        );
        let bytes = request("POST", "/run/x", &format!("r-{number}"), &extra, "prompt");
        let answer = Client::connect(&gateway.clients).await.send(&bytes).await;
        assert_eq!(answer.unwrap().status(), 200);
    }
    let line = "event=engine_speed upstream=e-0";
    eventually(line, async || gateway.log_text().contains(line)).await;
}

/// All engines become slower and recover, as on deployment B.
#[test]
fn all_slow() {
    let factor: fn(usize, u64) -> f64 =
        |_, now_ms| if SLOW_MS.contains(&now_ms) { 3.5 } else { 1.0 };
    let mean_slowdown = |duration_ms| {
        let hall = Hall::play(Play { requests_per_s: 150.0, duration_ms, factor, ..PLAY });
        let slowdowns = hall.views.iter().flat_map(|view| {
            view.iter().map(move |upstream| view.speed(upstream, duration_ms).slowdown())
        });
        slowdowns.sum::<f64>() / f64::from(u32::try_from(BOXES * ENGINES).unwrap())
    };
    let (slow, after) = (mean_slowdown(5000), mean_slowdown(15_500));
    println!("{slow:.2} times slower, {after:.2} after");
    assert!(slow > 2.5 && after < 1.25, "{slow} {after}");
}
