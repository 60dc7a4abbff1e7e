//! Admission by the request: a fleet of 88 boxes and 90 engines through a burst of long prompts. Only
//! the decision code and a model of the engines run.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::ops::Range;

use coursestile::gateway::decisions::admission::{
    AdmissionCriteria, AdmissionLimits, Capacity, FirstTokenOutcome, Occupancy, occupancy,
};
use coursestile::gateway::decisions::cache_reports::{CacheChange, CacheListing, CachedPart};
use coursestile::gateway::decisions::candidates::Candidates;
use coursestile::gateway::decisions::choose::{Choice, choose};
use coursestile::gateway::decisions::configuration::{EngineSpec, Store};
use coursestile::gateway::decisions::demand::{AllowedSoftware, Demand};
use coursestile::gateway::decisions::engine_speed::Speed;
use coursestile::gateway::decisions::prompt::Prompt;
use coursestile::gateway::decisions::regions::AllowedHalls;
use coursestile::gateway::decisions::room::{Limit, Needs, RoomInputs, forecast};
use coursestile::gateway::decisions::run_lengths::{CompletedRun, ExpectedRun, RunLengths};
use coursestile::gateway::decisions::stores::{Placement, Stores};
use coursestile::gateway::decisions::units::rounded_ms;
use coursestile::gateway::decisions::upstream::{Load, UpstreamEntry};
use coursestile::gateway::decisions::upstreams::Upstreams;
use coursestile::names::short_id;
use rstest::rstest;

const BOXES: usize = 88;
const ENGINES: usize = 90;
const HALLS: [&str; 3] = ["north", "south", "west"];
const MEMORY_TOKENS: u32 = 45_102;
const CAPACITY: Capacity = Capacity { slots: 64, memory_tokens: MEMORY_TOKENS };
const CHUNK_TOKENS: u32 = 4096;
const PREFILL_TOKENS_PER_MS: f64 = 36.7;
const STEP_MS: f64 = 4.34;
/// Tokens of an event.
const STRIDE: u32 = 6;
/// Age of load reports; boxes of the same hall learn of long prompts at once.
const REPORT_AGE_MS: u64 = 200;
const ANNOUNCED_AGE_MS: u64 = 5;
const ANNOUNCED_TOKENS: u32 = 1000;
const BURST_MS: Range<u64> = 3000..12_000;
const END_MS: u64 = 16_000;
/// Shared parts that a store has.
const STORED_PARTS: [&str; 2] = ["aa", "cc"];

/// A kind of request.
struct Kind {
    name: &'static str,
    per_s: f64,
    tokens: u32,
    shared_tokens: u32,
    /// Id of the shared part.
    shared_part: &'static str,
    events: u32,
    objective_ms: u64,
    timeout_ms: u64,
    higher_priority_ranks: u8,
    value: f64,
}

const LONG: Kind = Kind {
    name: "long",
    per_s: 35.0,
    tokens: 9190,
    shared_tokens: 7520,
    shared_part: "aa",
    events: 9,
    objective_ms: 2000,
    timeout_ms: 5000,
    higher_priority_ranks: 1,
    value: 1.0,
};
/// A long prompt whose shared part no cache has.
const RECOMPUTED: Kind = Kind { per_s: 104.0, shared_part: "bb", ..LONG };
const SHORT: Kind = Kind {
    name: "short",
    per_s: 317.0,
    tokens: 827,
    shared_tokens: 650,
    shared_part: "cc",
    events: 49,
    objective_ms: 800,
    timeout_ms: 15_000,
    higher_priority_ranks: 0,
    value: 3.1,
};

impl Kind {
    fn memory_tokens(&self) -> u32 {
        self.tokens + self.events * STRIDE
    }

    fn prompt(&self) -> Prompt {
        let (shared, own) = (self.shared_tokens, self.tokens - self.shared_tokens);
        let lengths = format!("{},{}", self.tokens, self.events * STRIDE);
        Prompt::parse("m", &lengths, &format!("{}:{shared},dd:{own}", self.shared_part)).unwrap()
    }
}

/// A request at an engine.
#[derive(Clone)]
struct Run {
    kind: &'static Kind,
    box_index: usize,
    sent_at_ms: u64,
    prefill_tokens: u32,
    prefill_left: u32,
    output_tokens: u32,
    first_token_at_ms: Option<u64>,
    is_nearly_full: bool,
    is_preempted: bool,
}

impl Run {
    fn memory_tokens(&self) -> u32 {
        self.kind.tokens + self.output_tokens
    }
}

/// An engine: it starts a prompt if it has memory for it, and preempts the latest run if outputs then
/// exceed its memory.
#[derive(Clone, Default)]
struct Engine {
    waiting: Vec<Run>,
    active: Vec<Run>,
    step_ends_at_ms: f64,
}

impl Engine {
    fn used_tokens(&self) -> u32 {
        self.active.iter().map(Run::memory_tokens).sum()
    }

    /// Begins a step at `now_ms`: starts prompts and computes a chunk of them.
    fn begin_step(&mut self, now_ms: f64) {
        self.waiting.sort_by_key(|run| (run.kind.higher_priority_ranks, run.sent_at_ms));
        while let Some(next) = self.waiting.first() {
            if self.active.len() >= 64 || self.used_tokens() + next.kind.tokens > MEMORY_TOKENS {
                break;
            }
            self.active.push(self.waiting.remove(0));
        }
        let mut chunk_left = CHUNK_TOKENS;
        for run in &mut self.active {
            let tokens = run.prefill_left.min(chunk_left);
            run.prefill_left -= tokens;
            chunk_left -= tokens;
        }
        let prefill_ms = f64::from(CHUNK_TOKENS - chunk_left) / PREFILL_TOKENS_PER_MS;
        self.step_ends_at_ms = now_ms + STEP_MS + prefill_ms;
    }
}

/// How requests are admitted and routed.
#[derive(Clone, Copy, PartialEq)]
enum Selection {
    /// By the load alone, as if no engine's memory were known.
    ByLoad,
    ByRequest,
    /// By the load alone, and compared with the choice by the request.
    Compared,
    /// By the true state of all engines.
    Informed,
}

#[derive(Debug, Default)]
struct Outcome {
    offered: usize,
    admitted: usize,
    preempted: usize,
    /// Including those that have not ended when the play does.
    past_deadline: usize,
    /// Value of the requests on time: sent in the burst, and two seconds or more after.
    burst_value: f64,
    after: usize,
    after_on_time: usize,
    /// Choices that the request itself changes: with no nearly full engine, and with some.
    changed: [usize; 2],
}

/// A store that has the parts that some requests share.
fn stores() -> Stores {
    let mut stores = Stores::default();
    stores.configure(&[Store {
        name: "s".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        hall: HALLS[0].to_owned(),
        capacity_tokens: 1_000_000,
        link_mbps: 130_000.0,
        transfer_setup_ms: 6.0,
        managed: true,
    }]);
    let changes = STORED_PARTS.map(|part_id| CacheChange {
        part: CachedPart { scope: "1.m".to_owned(), part_id: part_id.to_owned() },
        tokens: LONG.shared_tokens,
    });
    let complete = changes.to_vec();
    let listing = CacheListing { boot_epoch: 1, next_position: 1, complete, partial: Vec::new() };
    stores.iter_mut().for_each(|(_, state)| state.contents.apply_listing(&listing));
    stores
}

/// A report of a box's load on an engine, on its way to a hall.
#[derive(Clone, Copy)]
struct Report {
    at_ms: u64,
    changed_at_ms: u64,
    hall: usize,
    box_index: usize,
    engine: usize,
    load: Load,
}

/// The fleet: the load that each box puts on each engine, now and as others know it.
struct Fleet {
    view: Upstreams,
    ids: Vec<String>,
    stores: Stores,
    engines: Vec<Engine>,
    now: Vec<[Load; ENGINES]>,
    /// The same as the boxes of each hall know it.
    reported: Vec<[[(u64, Load); ENGINES]; HALLS.len()]>,
    total: [[Load; ENGINES]; HALLS.len()],
    /// Reports on their way: announced ones, and others.
    reports: [VecDeque<Report>; 2],
    lengths: Vec<RunLengths>,
    limits: AdmissionLimits,
    outcome: Outcome,
}

impl Fleet {
    fn new() -> Self {
        let mut view = Upstreams::default();
        for (engine, port) in (0..ENGINES).zip(1..) {
            let entry = UpstreamEntry {
                service: "llm".to_owned(),
                software: "v1".to_owned(),
                address: SocketAddr::from(([127, 0, 0, 1], port)),
                hall: HALLS[engine % 3].to_owned(),
                slots: 64,
                leaving: false,
                cold_left_ms: 0,
                models: vec![("m".to_owned(), 1)],
                started_at_ms: None,
            };
            view.upsert(0, &engine.to_string(), entry);
        }
        Self {
            view,
            ids: (0..ENGINES).map(|engine| engine.to_string()).collect(),
            stores: stores(),
            engines: vec![Engine::default(); ENGINES],
            now: vec![[Load::default(); ENGINES]; BOXES],
            reported: vec![[[Default::default(); ENGINES]; HALLS.len()]; BOXES],
            total: [[Load::default(); ENGINES]; HALLS.len()],
            reports: Default::default(),
            lengths: (0..BOXES).map(|_| RunLengths::default()).collect(),
            limits: AdmissionLimits::default(),
            outcome: Outcome::default(),
        }
    }

    fn change(&mut self, now_ms: u64, box_index: usize, engine: usize, to: impl Fn(&mut Load)) {
        let before = self.now[box_index][engine].pending_prefill_tokens;
        to(&mut self.now[box_index][engine]);
        let load = self.now[box_index][engine];
        let hall = box_index % HALLS.len();
        let at_ms = now_ms + ANNOUNCED_AGE_MS;
        let report = Report { at_ms, changed_at_ms: now_ms, hall, box_index, engine, load };
        if load.pending_prefill_tokens >= before + ANNOUNCED_TOKENS {
            self.reports[0].push_back(report);
        }
        let at_ms = now_ms + REPORT_AGE_MS;
        self.reports[1].extend((0..HALLS.len()).map(|hall| Report { at_ms, hall, ..report }));
    }

    /// Ends a step of an engine: each run whose prompt is complete sends an event.
    fn end_step(&mut self, now_ms: u64, engine: usize) {
        for mut run in std::mem::take(&mut self.engines[engine].active) {
            let (kind, box_index) = (run.kind, run.box_index);
            if run.prefill_left == 0 {
                run.output_tokens += 1;
            }
            if run.output_tokens == STRIDE && run.first_token_at_ms.is_none() {
                run.first_token_at_ms = Some(now_ms);
                self.change(now_ms, box_index, engine, |load| {
                    load.pending_prefill_tokens -= run.prefill_tokens;
                });
                if run.is_nearly_full {
                    let is_late = now_ms > run.sent_at_ms + kind.objective_ms;
                    let outcome =
                        if is_late { FirstTokenOutcome::Late } else { FirstTokenOutcome::InTime };
                    self.limits.record_first_token(now_ms, "llm", outcome);
                }
            }
            if run.output_tokens < kind.events * STRIDE {
                self.engines[engine].active.push(run);
                continue;
            }
            let memory_tokens = run.memory_tokens();
            self.change(now_ms, box_index, engine, |load| {
                load.requests -= 1;
                load.memory_tokens -= memory_tokens;
            });
            let first_token_at_ms = run.first_token_at_ms.unwrap();
            let completed = CompletedRun {
                events: kind.events,
                max_output_tokens: run.output_tokens,
                memory_tokens,
                held_ms: now_ms - first_token_at_ms,
                resident_ms: now_ms - run.sent_at_ms,
            };
            self.lengths[box_index].record("llm", kind.name, completed);
            self.record_end(&run, first_token_at_ms, now_ms);
        }
        while self.engines[engine].used_tokens() > MEMORY_TOKENS {
            let run = self.engines[engine].active.pop().unwrap();
            self.outcome.preempted += usize::from(!run.is_preempted);
            let run =
                Run { prefill_left: run.kind.tokens, output_tokens: 0, is_preempted: true, ..run };
            self.engines[engine].waiting.push(run);
        }
    }

    fn record_end(&mut self, run: &Run, first_token_at_ms: u64, now_ms: u64) {
        let (outcome, kind) = (&mut self.outcome, run.kind);
        let is_past_deadline = now_ms > run.sent_at_ms + kind.timeout_ms;
        outcome.past_deadline += usize::from(is_past_deadline);
        if is_past_deadline || first_token_at_ms > run.sent_at_ms + kind.objective_ms {
            return;
        }
        if BURST_MS.contains(&run.sent_at_ms) {
            outcome.burst_value += kind.value;
        }
        outcome.after_on_time += usize::from(run.sent_at_ms >= BURST_MS.end + 2000);
    }

    fn advance(&mut self, now_ms: u64) {
        for kind in 0..self.reports.len() {
            while self.reports[kind].front().is_some_and(|report| report.at_ms <= now_ms) {
                let Report { changed_at_ms, hall, box_index, engine, load, .. } =
                    self.reports[kind].pop_front().unwrap();
                let known = &mut self.reported[box_index][hall][engine];
                if known.0 > changed_at_ms {
                    continue;
                }
                let (_, known) = std::mem::replace(known, (changed_at_ms, load));
                self.total[hall][engine].add(load);
                self.total[hall][engine].subtract(known);
            }
        }
        #[expect(clippy::cast_precision_loss, reason = "some thousand milliseconds")]
        let now = now_ms as f64;
        for engine in 0..ENGINES {
            while self.engines[engine].step_ends_at_ms <= now {
                let ended_at_ms = self.engines[engine].step_ends_at_ms;
                self.end_step(now_ms, engine);
                self.engines[engine].begin_step(ended_at_ms.max(now - 1.0));
            }
        }
    }

    /// The engine for a request, the tokens to compute there, and whether it is nearly full; `None` if
    /// the request is refused.
    fn select(
        &mut self,
        selection: Selection,
        now_ms: u64,
        box_index: usize,
        kind: &Kind,
        seed: u64,
    ) -> Option<(usize, u32, bool)> {
        let choice = self.choose(selection, now_ms, box_index, kind, seed);
        if selection == Selection::Compared {
            let by_request = self.choose(Selection::ByRequest, now_ms, box_index, kind, seed);
            let criteria = self.criteria(kind);
            let is_active = self.view.iter().any(|upstream| {
                occupancy(upstream.total_load(), CAPACITY, Speed::PRIOR, criteria)
                    != Occupancy::Available
            });
            self.outcome.changed[usize::from(is_active)] += usize::from(choice != by_request);
        }
        let prefill_tokens = choice.context.unwrap().prefill_tokens;
        if selection == Selection::Informed {
            let used = |engine: &Engine| -> u32 {
                let runs = engine.active.iter().chain(&engine.waiting);
                runs.map(|run| run.kind.memory_tokens()).sum()
            };
            let all = self.engines.iter().map(used).enumerate();
            let (engine, used) = all.min_by_key(|(_, used)| *used)?;
            let has_room = used + kind.memory_tokens() <= MEMORY_TOKENS;
            return has_room.then_some((engine, prefill_tokens, false));
        }
        let engine = choice.upstream.id.parse().unwrap();
        (choice.occupancy != Occupancy::Full).then_some((
            engine,
            prefill_tokens,
            choice.occupancy == Occupancy::NearlyFull,
        ))
    }

    fn criteria(&self, kind: &Kind) -> AdmissionCriteria {
        AdmissionCriteria {
            higher_priority_ranks: kind.higher_priority_ranks,
            objective_ms: kind.objective_ms,
            objective_missed: false,
            admission_limit: self.limits.limit_of("llm"),
            account_part: 1.0,
            reserved_part: 0.0,
        }
    }

    fn choose(
        &mut self,
        selection: Selection,
        now_ms: u64,
        box_index: usize,
        kind: &Kind,
        seed: u64,
    ) -> Choice {
        let hall = box_index % HALLS.len();
        for engine in 0..ENGINES {
            let mut peer_load = self.total[hall][engine];
            peer_load.subtract(self.reported[box_index][hall][engine].1);
            let upstream = self.view.get_mut(&self.ids[engine]).unwrap();
            (upstream.own_load, upstream.peer_load) = (self.now[box_index][engine], peer_load);
        }
        let engine = EngineSpec {
            slots: 64,
            memory_tokens: MEMORY_TOKENS.into(),
            bytes_per_token: 18_432,
            link_mbps: 130_000.0,
            per_part_sources: true,
        };
        let room = RoomInputs {
            expected: self.lengths[box_index].expected("llm", kind.name),
            deadline_ms: now_ms + kind.timeout_ms,
            reports_at_ms: now_ms.saturating_sub(REPORT_AGE_MS),
        };
        let hall = HALLS[hall];
        let demand = Demand {
            service: "llm",
            box_short_id: u32::try_from(box_index).unwrap(),
            hall,
            prompt: Some(&kind.prompt()),
            context_group: None,
            weights: None,
            weights_apply_ms: 10_000,
            excludes_overdue: true,
            placement: Placement::RendezvousHash { hall },
            candidates: Candidates::Sampled { seed, hall_boxes: Some(BOXES) },
            allowed_halls: AllowedHalls::ALL,
            software: AllowedSoftware::Any,
            tried: &[],
            max_connections: 2000,
            boxes: 1,
            exceeds_share: false,
            brittle: None,
            may_ask_for_permits: true,
            admission: self.criteria(kind),
            objective_at_ms: Some(now_ms + kind.objective_ms),
            room: (selection == Selection::ByRequest).then_some(room),
        };
        choose(now_ms, &self.view, &self.stores, Some(&engine), &demand).unwrap()
    }

    fn send(
        &mut self,
        now_ms: u64,
        box_index: usize,
        kind: &'static Kind,
        (engine, prefill_tokens, is_nearly_full): (usize, u32, bool),
    ) {
        let memory_tokens = kind.memory_tokens();
        self.change(now_ms, box_index, engine, |load| {
            load.requests += 1;
            load.pending_prefill_tokens += prefill_tokens;
            load.memory_tokens += memory_tokens;
        });
        self.engines[engine].waiting.push(Run {
            kind,
            box_index,
            sent_at_ms: now_ms,
            prefill_tokens,
            prefill_left: prefill_tokens,
            output_tokens: 0,
            first_token_at_ms: None,
            is_nearly_full,
            is_preempted: false,
        });
    }
}

fn play_all<const N: usize>(plays: [Selection; N], burst: f64, end_ms: u64) -> [Outcome; N] {
    std::thread::scope(|scope| {
        plays
            .map(|selection| scope.spawn(move || play(selection, burst, end_ms)))
            .map(|play| play.join().unwrap())
    })
}

/// Plays normal load with long requests `burst` times as often for nine seconds.
fn play(selection: Selection, burst: f64, end_ms: u64) -> Outcome {
    let (mut rng, mut fleet) = (fastrand::Rng::with_seed(1), Fleet::new());
    let mut next_at_ms = [0.0; 3];
    for now_ms in 0..end_ms + 5000 {
        fleet.advance(now_ms);
        fleet.limits.recover(now_ms, 0.001);
        for (index, kind) in [&SHORT, &LONG, &RECOMPUTED].into_iter().enumerate() {
            let is_burst = index > 0 && BURST_MS.contains(&now_ms);
            while rounded_ms(next_at_ms[index]) <= now_ms && now_ms < end_ms {
                let per_s = kind.per_s * if is_burst { burst } else { 1.0 };
                next_at_ms[index] -= (1.0 - rng.f64()).ln() / per_s * 1000.0;
                let (box_index, seed) = (rng.usize(..BOXES), rng.u64(..));
                fleet.outcome.offered += 1;
                fleet.outcome.after += usize::from(now_ms >= BURST_MS.end + 2000);
                if let Some(sent) = fleet.select(selection, now_ms, box_index, kind, seed) {
                    fleet.outcome.admitted += 1;
                    fleet.send(now_ms, box_index, kind, sent);
                }
            }
        }
    }
    let unfinished = fleet.engines.iter().map(|engine| engine.active.len() + engine.waiting.len());
    fleet.outcome.past_deadline += unfinished.sum::<usize>();
    fleet.outcome
}

/// Counted by load alone, engines get more than their memory holds and preempt runs, which takes time
/// from all others.
#[test]
fn long_burst() {
    let plays = [Selection::Informed, Selection::ByLoad, Selection::ByRequest];
    let [informed, by_load, by_request] = play_all(plays, 2.5, END_MS);
    println!("informed: {informed:?}\nby load: {by_load:?}\nby request: {by_request:?}");
    assert!(100 * by_load.preempted > by_load.admitted, "the burst does not fill the engines");
    assert!(100 * by_request.preempted <= by_request.admitted, "preempted");
    assert!(100 * by_request.past_deadline <= by_request.admitted, "past the deadline");
    assert!(by_request.burst_value >= 0.9 * informed.burst_value, "engines idle");
    assert!(
        by_request.after_on_time * 100 >= by_request.after * 99,
        "normal load not served after"
    );
}

/// While no engine is nearly full, the request itself must not change any choice.
#[test]
fn normal_load() {
    let [outcome] = play_all([Selection::Compared], 1.0, 8000);
    let [while_inactive, while_active] = outcome.changed;
    println!("{while_inactive} and {while_active} choices of {} changed", outcome.offered);
    assert!(while_inactive == 0 && 100 * while_active <= outcome.offered);
}

/// Prompts were admitted whose run the engine had no memory for, or that ended after their deadline.
#[rstest]
#[case::fits(30_000, 0, 5000.0, None)]
#[case::no_memory(40_000, 0, 5000.0, Some(Limit::Memory))]
#[case::ends_late(30_000, 10_000, 1000.0, Some(Limit::Deadline))]
#[case::load(36_000, 60_000, 9000.0, Some(Limit::Load))]
fn limits(
    #[case] memory_tokens: u32,
    #[case] pending_prefill_tokens: u32,
    #[case] left_ms: f64,
    #[case] limit: Option<Limit>,
) {
    let load = Load { requests: 20, pending_prefill_tokens, memory_tokens };
    let needs = Needs {
        prefill_tokens: 5000,
        memory_tokens: 9000,
        held_ms: 800.0,
        others_resident_ms: 1000.0,
        left_ms,
    };
    let criteria = Fleet::new().criteria(&LONG);
    let speed = Speed::PRIOR;
    let found = forecast(load, CAPACITY, speed, needs, criteria);
    assert_eq!(found.limit, limit, "{found:?}");
    assert_eq!(found.occupancy == Occupancy::Full, limit.is_some());
    // 40,000 tokens are freed in a second.
    let wait_ms = f64::from(pending_prefill_tokens) / 50.0;
    let wait_ms = wait_ms.max(f64::from(memory_tokens.saturating_sub(MEMORY_TOKENS - 9000)) / 40.0);
    assert!((found.wait_ms - wait_ms).abs() < 1.0, "{found:?}");
}

/// Memory is only expected to be needed: while no prompt waits anywhere and most slots are free,
/// nothing is refused for it.
#[rstest]
#[case::idle(0)]
#[case::prompt_waits(1)]
fn idle_service(#[case] pending_prefill_tokens: u32) {
    let mut fleet = Fleet::new();
    let load = Load { requests: 3, pending_prefill_tokens, memory_tokens: 40_000 };
    fleet.now[0] = [load; ENGINES];
    let choice = fleet.choose(Selection::ByRequest, 0, 0, &LONG, 1);
    assert_eq!(choice.limit, (pending_prefill_tokens > 0).then_some(Limit::Memory));
}

fn completed(events: u32, held_ms: u64) -> CompletedRun {
    let resident_ms = held_ms + 200;
    CompletedRun { events, max_output_tokens: 60, memory_tokens: 1060, held_ms, resident_ms }
}

/// A few unusual runs must not replace the prior; later the recent ones count, by route.
#[test]
fn lengths_learned() {
    let mut lengths = RunLengths::default();
    (0..7).for_each(|_| lengths.record("llm", "short", completed(10, 100)));
    assert_eq!(lengths.expected("llm", "short"), ExpectedRun::default());
    (0..40).for_each(|_| lengths.record("llm", "short", completed(5, 100)));
    (0..8).for_each(|_| lengths.record("llm", "long", completed(10, 900)));
    let [short, long] = ["short", "long"].map(|route| lengths.expected("llm", route));
    // A run of ten events has shown that an event has six tokens at most.
    assert!((short.output_part - 0.5).abs() < 0.05 && (long.output_part - 1.0).abs() < 0.01);
    assert!((short.held_ms - 100.0).abs() < 1.0 && (long.held_ms - 900.0).abs() < 1.0);
    assert!((300.0..1100.0).contains(&short.others_resident_ms), "{short:?}");
    lengths.retain(|route| route == short_id("long"));
    assert!(lengths.expected("llm", "short").held_ms > 700.0, "a dropped route is kept");
    assert_eq!(lengths.expected("other", "long"), ExpectedRun::default());
}
