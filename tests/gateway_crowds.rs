//! Many boxes that choose engines at the same time from outdated load reports: a hall of 59 boxes
//! and 51 engines, each box with its own view. Only the decision code runs, without processes or a
//! network.

use std::collections::VecDeque;

use std::net::SocketAddr;

use coursestile::gateway::decisions::admission::AdmissionCriteria;
use coursestile::gateway::decisions::candidates::Candidates;
use coursestile::gateway::decisions::choose::choose;
use coursestile::gateway::decisions::configuration::EngineSpec;
use coursestile::gateway::decisions::demand::{AllowedSoftware, Demand};
use coursestile::gateway::decisions::prompt::Prompt;
use coursestile::gateway::decisions::regions::AllowedHalls;
use coursestile::gateway::decisions::stores::{Placement, Stores};
use coursestile::gateway::decisions::units::{PREFILL_TOKENS_PER_MS, rounded_ms};
use coursestile::gateway::decisions::upstream::{Load, UpstreamEntry};
use coursestile::gateway::decisions::upstreams::Upstreams;
use rstest::rstest;

const BOXES: usize = 59;
const ENGINES: usize = 51;
const MODEL: &str = "m";
const OBJECTIVE_MS: u64 = 500;
const LATE_MS: f64 = 500.0;
const DURATION_MS: u64 = 4000;
/// Requests per second in the hall on an ordinary day.
const REQUESTS_PER_S: f64 = 285.0;
/// Tokens of a prompt that the engine must prefill: two of three prompts are long.
const PREFILL_TOKENS: [u32; 3] = [3600, 3600, 800];
/// Time for which a request runs after its prefill.
const RUN_MS: u64 = 400;

fn engine_id(engine: usize) -> String {
    format!("engine-{engine:02}")
}

fn initial_view() -> Upstreams {
    let mut upstreams = Upstreams::default();
    for (engine, port) in (0..ENGINES).zip(1..) {
        let entry = UpstreamEntry {
            service: "llm".to_owned(),
            software: "v1".to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            hall: "north".to_owned(),
            slots: 24,
            leaving: false,
            cold_left_ms: 0,
            models: vec![(MODEL.to_owned(), 1)],
            started_at_ms: None,
        };
        upstreams.upsert(0, &engine_id(engine), entry);
    }
    upstreams
}

/// A change of the load that one box puts on an engine; each variant holds the request's tokens.
#[derive(Clone, Copy)]
enum LoadChange {
    Started(u32),
    Prefilled(u32),
    Ended(u32),
}

fn apply(load: &mut Load, change: LoadChange) {
    match change {
        LoadChange::Started(tokens) => {
            load.requests += 1;
            load.pending_prefill_tokens += tokens;
            load.memory_tokens += tokens;
        }
        LoadChange::Prefilled(tokens) => load.pending_prefill_tokens -= tokens,
        LoadChange::Ended(tokens) => {
            load.requests -= 1;
            load.memory_tokens -= tokens;
        }
    }
}

/// A load change of one box, which the other boxes of the hall learn of at `at_ms`.
struct LoadUpdate {
    at_ms: u64,
    box_index: usize,
    engine: usize,
    change: LoadChange,
}

/// A hall: the view of each box, the work of the engines, and load changes that are still to come.
struct Hall {
    views: Vec<Upstreams>,
    idle_at_ms: Vec<f64>,
    pending_updates: VecDeque<LoadUpdate>,
    /// Load changes that will happen at engines.
    scheduled: Vec<LoadUpdate>,
    report_delay_ms: u64,
}

impl Hall {
    fn new(boxes: usize, report_delay_ms: u64) -> Self {
        Self {
            views: (0..boxes).map(|_| initial_view()).collect(),
            idle_at_ms: vec![0.0; ENGINES],
            pending_updates: VecDeque::new(),
            scheduled: Vec::new(),
            report_delay_ms,
        }
    }

    fn change(&mut self, at_ms: u64, box_index: usize, engine: usize, change: LoadChange) {
        let own = self.views[box_index].get_mut(&engine_id(engine)).unwrap();
        apply(&mut own.own_load, change);
        self.pending_updates.push_back(LoadUpdate {
            at_ms: at_ms + self.report_delay_ms,
            box_index,
            engine,
            change,
        });
    }

    fn advance(&mut self, now_ms: u64) {
        self.scheduled.sort_by_key(|update| update.at_ms);
        let due = self.scheduled.iter().take_while(|update| update.at_ms <= now_ms).count();
        for LoadUpdate { at_ms, box_index, engine, change } in
            self.scheduled.drain(..due).collect::<Vec<_>>()
        {
            self.change(at_ms, box_index, engine, change);
        }
        while self.pending_updates.front().is_some_and(|update| update.at_ms <= now_ms) {
            let Some(LoadUpdate { box_index, engine, change, .. }) =
                self.pending_updates.pop_front()
            else {
                break;
            };
            for peer in (0..self.views.len()).filter(|peer| *peer != box_index) {
                apply(&mut self.views[peer].get_mut(&engine_id(engine)).unwrap().peer_load, change);
            }
        }
    }

    /// Sends a request and returns the time to its first token in milliseconds.
    fn send(&mut self, now_ms: u64, box_index: usize, engine: usize, tokens: u32) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "some thousand milliseconds")]
        let now = now_ms as f64;
        let prefill_starts_at_ms = self.idle_at_ms[engine].max(now);
        let prefilled_at_ms = prefill_starts_at_ms + f64::from(tokens) / PREFILL_TOKENS_PER_MS;
        self.idle_at_ms[engine] = prefilled_at_ms;
        self.change(now_ms, box_index, engine, LoadChange::Started(tokens));
        let prefilled_at_rounded_ms = rounded_ms(prefilled_at_ms);
        self.scheduled.push(LoadUpdate {
            at_ms: prefilled_at_rounded_ms,
            box_index,
            engine,
            change: LoadChange::Prefilled(tokens),
        });
        let change = LoadChange::Ended(tokens);
        self.scheduled.push(LoadUpdate {
            at_ms: prefilled_at_rounded_ms + RUN_MS,
            box_index,
            engine,
            change,
        });
        prefilled_at_ms - now
    }
}

/// How a box selects an engine.
#[derive(Clone, Copy)]
enum Selection {
    Decision,
    /// The decision as if load were not told at once.
    OfTwo,
    Random,
}

/// Number of requests whose first token came after `late_after_ms`, and of all requests.
fn late_requests(
    selection: Selection,
    late_after_ms: f64,
    boxes: usize,
    report_delay_ms: u64,
    load: f64,
) -> (usize, usize) {
    let mut rng = fastrand::Rng::with_seed(11);
    let mut hall = Hall::new(boxes, report_delay_ms);
    let (mut late_count, mut all, mut now) = (0, 0, 0.0);
    loop {
        now += -(1.0 - rng.f64()).ln() / (REQUESTS_PER_S * load) * 1000.0;
        let now_ms = rounded_ms(now);
        if now_ms >= DURATION_MS {
            return (late_count, all);
        }
        hall.advance(now_ms);
        let (box_index, tokens) = (rng.usize(..boxes), *rng.choice(PREFILL_TOKENS.iter()).unwrap());
        let engine = match selection {
            Selection::Random => rng.usize(..ENGINES),
            Selection::Decision | Selection::OfTwo => {
                let hall_boxes = matches!(selection, Selection::Decision).then_some(boxes);
                let candidates = Candidates::Sampled { seed: rng.u64(..), hall_boxes };
                choose_engine(&hall.views[box_index], now_ms, box_index, tokens, candidates)
            }
        };
        all += 1;
        if hall.send(now_ms, box_index, engine, tokens) > late_after_ms {
            late_count += 1;
        }
    }
}

fn choose_engine(
    view: &Upstreams,
    now_ms: u64,
    box_index: usize,
    tokens: u32,
    candidates: Candidates,
) -> usize {
    let prompt = Prompt::parse(MODEL, &format!("{tokens},60"), &format!("ff:{tokens}")).unwrap();
    let engine = EngineSpec {
        slots: 24,
        memory_tokens: 40_000,
        bytes_per_token: 18_432,
        link_mbps: 130_000.0,
        per_part_sources: true,
    };
    let demand = Demand {
        service: "llm",
        box_short_id: u32::try_from(box_index).unwrap(),
        hall: "north",
        prompt: Some(&prompt),
        context_group: None,
        weights: None,
        weights_apply_ms: 10_000,
        excludes_overdue: true,
        placement: Placement::RendezvousHash { hall: "north" },
        candidates,
        allowed_halls: AllowedHalls::ALL,
        software: AllowedSoftware::Any,
        tried: &[],
        max_connections: 200,
        boxes: 1,
        exceeds_share: false,
        brittle: None,
        may_ask_for_permits: true,
        admission: AdmissionCriteria {
            higher_priority_ranks: 0,
            objective_ms: OBJECTIVE_MS,
            objective_missed: false,
            admission_limit: 1.1,
            account_part: 1.0,
            reserved_part: 0.0,
        },
        objective_at_ms: Some(now_ms + OBJECTIVE_MS),
        room: None,
    };
    let stores = Stores::default();
    let choice = choose(now_ms, view, &stores, Some(&engine), &demand).unwrap();
    let digits = choice.upstream.id.trim_start_matches("engine-");
    digits.parse().unwrap()
}

/// Outdated load reports may help little, but must not make the choice worse than a random one.
#[rstest]
#[case(20, 1.0)]
#[case(100, 1.0)]
#[case(250, 1.0)]
#[case(500, 1.0)]
#[case(20, 1.7)]
#[case(100, 1.7)]
#[case(250, 1.7)]
#[case(500, 1.7)]
fn old_news(#[case] report_delay_ms: u64, #[case] load: f64) {
    let (chosen, all) = late_requests(Selection::Decision, LATE_MS, BOXES, report_delay_ms, load);
    let (random, _) = late_requests(Selection::Random, LATE_MS, BOXES, report_delay_ms, load);
    println!(
        "delay {report_delay_ms} load {load}: {chosen} late, {random} late at random, of {all}"
    );
    assert!(chosen <= random, "{chosen} late, {random} late at random, of {all}");
}

/// Guards against prompts that wait for as long as they take while other engines are idle: few boxes
/// share many engines, which compute for two thirds of the time.
#[test]
fn few_boxes() {
    let (chosen, all) = late_requests(Selection::Decision, 150.0, 9, 20, 2.4);
    let (of_two, _) = late_requests(Selection::OfTwo, 150.0, 9, 20, 2.4);
    assert!(chosen < of_two, "{chosen} late, {of_two} of two engines, of {all}");
}

/// Guards against boxes that all choose the same engines: few boxes that learn of load late, or are
/// cut off from each other.
#[rstest]
#[case::late(250)]
#[case::cut_off(u64::MAX / 2)]
fn few_boxes_old_news(#[case] report_delay_ms: u64) {
    let (chosen, all) = late_requests(Selection::Decision, LATE_MS, 9, report_delay_ms, 1.7);
    let (random, _) = late_requests(Selection::Random, LATE_MS, 9, report_delay_ms, 1.7);
    assert!(chosen <= random, "{chosen} late, {random} late at random, of {all}");
}
