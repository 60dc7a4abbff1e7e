//! Boxes that choose engines at once, by news of each other that is old: a hall of 59 boxes
//! and 51 engines, each box with its own view, through the decisions alone.

use std::collections::VecDeque;

use std::net::SocketAddr;

use coursestile::gateway::decisions::admission::AdmissionCriteria;
use coursestile::gateway::decisions::candidates::Candidates;
use coursestile::gateway::decisions::choose::choose;
use coursestile::gateway::decisions::configuration::EngineSpec;
use coursestile::gateway::decisions::demand::Demand;
use coursestile::gateway::decisions::prompt::Prompt;
use coursestile::gateway::decisions::stores::{Placement, Stores};
use coursestile::gateway::decisions::units::{PREFILL_TOKENS_PER_MS, whole_ms};
use coursestile::gateway::decisions::upstream::{Load, UpstreamEntry};
use coursestile::gateway::decisions::upstreams::Upstreams;
use rstest::rstest;

const BOXES: usize = 59;
const ENGINES: usize = 51;
const MODEL: &str = "m";
const OBJECTIVE_MS: u64 = 500;
const LENGTH_MS: u64 = 4000;
/// Requests of the hall in a second, on an ordinary day.
const USUAL_PER_S: f64 = 285.0;
/// Tokens of a prompt that an engine reads itself: two thirds are long.
const READ_TOKENS: [u32; 3] = [3600, 3600, 800];
/// Time for which a request runs once its prompt is read.
const RUN_MS: u64 = 400;

fn engine_id(engine: usize) -> String {
    format!("engine-{engine:02}")
}

fn view() -> Upstreams {
    let mut upstreams = Upstreams::default();
    for (engine, port) in (0..ENGINES).zip(1..) {
        let entry = UpstreamEntry {
            service: "llm".to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            hall: "north".to_owned(),
            slots: 24,
            leaving: false,
            models: vec![(MODEL.to_owned(), 1)],
            started_at_ms: None,
        };
        upstreams.upsert(0, &engine_id(engine), entry);
    }
    upstreams
}

/// A change of the load that one box puts on an engine.
#[derive(Clone, Copy)]
enum Change {
    Sent(u32),
    Read(u32),
    Ended(u32),
}

fn apply(load: &mut Load, change: Change) {
    match change {
        Change::Sent(tokens) => {
            load.requests += 1;
            load.pending_prefill_tokens += tokens;
            load.memory_tokens += tokens;
        }
        Change::Read(tokens) => load.pending_prefill_tokens -= tokens,
        Change::Ended(tokens) => {
            load.requests -= 1;
            load.memory_tokens -= tokens;
        }
    }
}

/// Something that becomes known to the other boxes of the hall.
struct News {
    at_ms: u64,
    from: usize,
    engine: usize,
    change: Change,
}

/// A hall: what each box believes, what the engines do, and what is on its way.
struct Hall {
    views: Vec<Upstreams>,
    free_at_ms: Vec<f64>,
    news: VecDeque<News>,
    /// Changes at engines that come, by their time.
    coming: Vec<News>,
    delay_ms: u64,
}

impl Hall {
    fn new(delay_ms: u64) -> Self {
        Self {
            views: (0..BOXES).map(|_| view()).collect(),
            free_at_ms: vec![0.0; ENGINES],
            news: VecDeque::new(),
            coming: Vec::new(),
            delay_ms,
        }
    }

    fn change(&mut self, at_ms: u64, from: usize, engine: usize, change: Change) {
        let own = self.views[from].get_mut(&engine_id(engine)).unwrap();
        apply(&mut own.own_load, change);
        self.news.push_back(News { at_ms: at_ms + self.delay_ms, from, engine, change });
    }

    fn advance(&mut self, now_ms: u64) {
        self.coming.sort_by_key(|coming| coming.at_ms);
        let due = self.coming.iter().take_while(|coming| coming.at_ms <= now_ms).count();
        for News { at_ms, from, engine, change } in self.coming.drain(..due).collect::<Vec<_>>() {
            self.change(at_ms, from, engine, change);
        }
        while self.news.front().is_some_and(|news| news.at_ms <= now_ms) {
            let Some(News { from, engine, change, .. }) = self.news.pop_front() else { break };
            for other in (0..BOXES).filter(|other| *other != from) {
                apply(
                    &mut self.views[other].get_mut(&engine_id(engine)).unwrap().peer_load,
                    change,
                );
            }
        }
    }

    /// Sends a request; the time to its first token.
    fn send(&mut self, now_ms: u64, from: usize, engine: usize, tokens: u32) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "some thousand milliseconds")]
        let now = now_ms as f64;
        let begins_at_ms = self.free_at_ms[engine].max(now);
        let read_at_ms = begins_at_ms + f64::from(tokens) / PREFILL_TOKENS_PER_MS;
        self.free_at_ms[engine] = read_at_ms;
        self.change(now_ms, from, engine, Change::Sent(tokens));
        let read = whole_ms(read_at_ms);
        self.coming.push(News { at_ms: read, from, engine, change: Change::Read(tokens) });
        let ended = Change::Ended(tokens);
        self.coming.push(News { at_ms: read + RUN_MS, from, engine, change: ended });
        read_at_ms - now
    }
}

/// How a box finds an engine.
#[derive(Clone, Copy)]
enum Way {
    Chosen,
    Random,
}

/// Requests whose first token came late, of all.
fn late(way: Way, delay_ms: u64, load: f64) -> (usize, usize) {
    let mut random = fastrand::Rng::with_seed(11);
    let mut hall = Hall::new(delay_ms);
    let (mut late, mut all, mut now) = (0, 0, 0.0);
    loop {
        now += -(1.0 - random.f64()).ln() / (USUAL_PER_S * load) * 1000.0;
        let now_ms = whole_ms(now);
        if now_ms >= LENGTH_MS {
            return (late, all);
        }
        hall.advance(now_ms);
        let (from, tokens) = (random.usize(..BOXES), *random.choice(READ_TOKENS.iter()).unwrap());
        let engine = match way {
            Way::Random => random.usize(..ENGINES),
            Way::Chosen => chosen(&hall.views[from], now_ms, from, tokens, random.u64(..)),
        };
        all += 1;
        if hall.send(now_ms, from, engine, tokens) > 500.0 {
            late += 1;
        }
    }
}

fn chosen(view: &Upstreams, now_ms: u64, from: usize, tokens: u32, seed: u64) -> usize {
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
        box_number: u32::try_from(from).unwrap(),
        hall: "north",
        prompt: Some(&prompt),
        isolated_account: None,
        weights: None,
        weights_apply_ms: 10_000,
        excludes_overdue: true,
        placement: Placement::RendezvousHash,
        candidates: Candidates::Sampled { seed },
        tried: &[],
        max_requests_per_upstream: 100,
        admission: AdmissionCriteria {
            higher_priority_ranks: 0,
            objective_ms: OBJECTIVE_MS,
            objective_missed: false,
            load_limit: 1.1,
        },
        objective_at_ms: Some(now_ms + OBJECTIVE_MS),
    };
    let stores = Stores::default();
    let choice = choose(now_ms, view, &stores, Some(&engine), &demand).unwrap();
    let digits = choice.upstream.id.trim_start_matches("engine-");
    digits.parse().unwrap()
}

/// Old news may help little, but it must not make choosing worse than not to choose.
#[rstest]
#[case(20, 1.0)]
#[case(100, 1.0)]
#[case(250, 1.0)]
#[case(500, 1.0)]
#[case(20, 1.7)]
#[case(100, 1.7)]
#[case(250, 1.7)]
#[case(500, 1.7)]
fn old_news(#[case] delay_ms: u64, #[case] load: f64) {
    let (chosen, all) = late(Way::Chosen, delay_ms, load);
    let (random, _) = late(Way::Random, delay_ms, load);
    println!("delay {delay_ms} load {load}: {chosen} late, {random} by chance, of {all}");
    assert!(chosen <= random, "{chosen} late, {random} by chance, of {all}");
}
