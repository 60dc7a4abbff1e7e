//! Measures the cost of gateway decisions on one box as the fleet grows: receiving gossip from
//! peers, choosing an engine, keeping where streams began, and suspecting parts of prompts.

use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::ExitCode;
use std::time::Instant;

use coursestile::fingerprint::Fingerprint;
use coursestile::gateway::decisions::admission::AdmissionCriteria;
use coursestile::gateway::decisions::cache_reports::{CacheChange, CacheListing, CachedPart};
use coursestile::gateway::decisions::candidates::Candidates;
use coursestile::gateway::decisions::choose::choose;
use coursestile::gateway::decisions::configuration::{EngineSpec, Store};
use coursestile::gateway::decisions::context::scope;
use coursestile::gateway::decisions::demand::{AllowedSoftware, Demand};
use coursestile::gateway::decisions::gossip_message::{
    Gossip, LoadChanges, LoadReport, PartReports,
};
use coursestile::gateway::decisions::peers::{Audience, GossipScope, LocalBox, Peers};
use coursestile::gateway::decisions::permits::{Issued, PermitAnswer, PermitBuckets, PermitQuery};
use coursestile::gateway::decisions::prompt::Prompt;
use coursestile::gateway::decisions::rate_limit::{Rate, RateLimit};
use coursestile::gateway::decisions::regions::AllowedHalls;
use coursestile::gateway::decisions::stores::{Placement, Stores};
use coursestile::gateway::decisions::stream_origins::{
    OriginAnswer, StreamId, StreamOrigin, StreamOrigins,
};
use coursestile::gateway::decisions::upstream::{Load, UpstreamEntry};
use coursestile::gateway::decisions::upstreams::Upstreams;
use coursestile::gateway::decisions::view::ViewDigest;
use coursestile::gateway::gossip::Datagram;
use coursestile::part_key::PartKey;
use coursestile::suspect_parts::{CrashedRun, PartReport, SuspectParts};

use crate::figures::ratio;

/// Numbers of boxes of the fleets that are compared.
const FLEET_SIZES: [u32; 4] = [30, 100, 300, 1000];
/// Number of data halls.
const HALLS: u32 = 5;
/// Engines for every hundred boxes.
const ENGINES_PERCENT: u32 = 87;
/// Stores for every hundred boxes.
const STORES_PERCENT: u32 = 20;
/// Number of upstreams whose load a gossip message reports.
const LOADS_PER_GOSSIP: u32 = 16;
/// Number of context parts in each store.
const PARTS_PER_STORE: u32 = 400;
/// Number of times that each operation is repeated.
const ITERATIONS: u32 = 400;
/// Model of all engines.
const MODEL: &str = "m";
/// Service of all engines.
const SERVICE: &str = "llm";

/// Numbers of suspect parts, and of the crashes of each.
const SUSPECT_PARTS: [(u64, u32); 5] = [(8, 1), (512, 1), (512, 3), (4096, 1), (4096, 5)];
/// Rate limits that are in force at a time.
const RATE_LIMITS: u32 = 40;
/// Streams that a box keeps when their number is measured.
const KEPT_STREAMS: [u64; 3] = [100, 1000, 65_536];

/// Prints the tables.
pub fn run() -> ExitCode {
    println!(
        "| boxes | peers notified of a change | bytes of gossip | bytes of a change | receive gossip, us | receive a change, us | choose, us | choose peers for a tunnel, us |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for boxes in FLEET_SIZES {
        let (mut peers, target_count) = known_peers(boxes);
        let targets = peers.next_targets(1, Audience::OwnHall, GossipScope::OwnHall).full.len();
        let gossip_bytes = encoded_bytes(&gossip_message(boxes, 1));
        let change_bytes = encoded_bytes(&load_changes(boxes, 1, 1));
        let gossip_us = mean_us(|iteration| {
            let peer = 1 + iteration % (boxes - 1);
            peers.receive_gossip(
                2,
                address(peer),
                gossip_message(boxes, peer + iteration),
                ViewDigest::default(),
            );
        });
        let change_us = mean_us(|iteration| {
            let peer = 1 + iteration % (boxes - 1);
            peers.receive_load_changes(2, address(peer), &load_changes(boxes, peer, iteration));
        });
        let mut rng = fastrand::Rng::with_seed(1);
        let tunnel_us = mean_us(|iteration| {
            black_box(peers.tunnel_peers(2, iteration % HALLS, &mut rng));
        });
        black_box(target_count);
        println!(
            "| {boxes} | {targets} | {gossip_bytes} | {change_bytes} | {gossip_us:.1} | {change_us:.1} | {:.1} | {tunnel_us:.1} |",
            mean_choose_us(boxes)
        );
    }
    print_stream_keepers();
    print_kept_streams();
    print_suspect_parts();
    print_rate_limits();
    ExitCode::SUCCESS
}

/// Prints what sharing the rate limits of upstreams costs, as the fleet grows.
fn print_rate_limits() {
    println!();
    println!(
        "| boxes | told of a change | bytes of a change, of a query, of an answer | bytes of gossip with {RATE_LIMITS} limits more | find the issuer, us | issue a permit, all boxes asking, us |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    let limit = RateLimit { number: 40, rate: Rate::from_per_s(1.2) };
    let query = PermitQuery { number: u64::MAX, upstream: u32::MAX, limit, wanted: 20 };
    let issued = Issued::Permits { count: 1, next_in_ms: 833 };
    let answer = PermitAnswer { number: u64::MAX, limit, issued };
    let change = encoded_bytes(&Datagram::RateLimits(vec![(u32::MAX, limit)]));
    let query_bytes = encoded_bytes(&Datagram::PermitQuery(query));
    let answer_bytes = encoded_bytes(&Datagram::PermitAnswer(answer));
    let rate_limits = (0..RATE_LIMITS).map(|number| (u32::MAX - number, limit)).collect();
    let with_limits = encoded_bytes(&Gossip { rate_limits, ..Gossip::default() });
    let more = with_limits - encoded_bytes(&Gossip::default());
    for boxes in FLEET_SIZES {
        let (peers, _) = known_peers(boxes);
        let told = peers.urgent_report_targets(1).len();
        let find_us = mean_us(|iteration| {
            black_box(peers.permit_issuer(1000, iteration, iteration % HALLS, true));
        });
        let mut buckets = PermitBuckets::default();
        let issue_us = mean_us(|iteration| {
            if let Some(rate) = limit.rate {
                let (now_ms, holder) = (u64::from(iteration), address(iteration % boxes));
                black_box(buckets.issue(now_ms, 1, rate, holder, 1));
            }
        });
        println!(
            "| {boxes} | {told} | {change}, {query_bytes}, {answer_bytes} | {more} | {find_us:.1} | {issue_us:.1} |"
        );
    }
}

/// Prints what suspecting parts costs, by their number and by that of the crashes of each.
fn print_suspect_parts() {
    println!();
    println!(
        "| suspect parts | crashes of each | bytes of a report of 32, of one message to announce | request without a suspect part, us | with one, us | record an answer, us | record a crash of 8 parts, us | merge that report, us |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (parts, crashes) in SUSPECT_PARTS {
        let mut known = SuspectParts::default();
        let keys: Vec<PartKey> = (0..parts).map(PartKey).collect();
        for crash in 0..crashes {
            let run = crashed_run(&keys, crash, 1000 * u64::from(crash));
            known.record_crash(run.at_ms, &run);
        }
        // Requests with this part are compared with all others.
        for crash in crashes..crashes + 2 {
            let run = crashed_run(&keys[..1], crash, 1000 * u64::from(crash));
            known.record_crash(run.at_ms, &run);
        }
        let now_ms = 1000 * u64::from(crashes + 1);
        let reports: Vec<PartReport> =
            known.reports_of(now_ms, &keys[..32.min(keys.len())]).into_iter().flatten().collect();
        let announced = known.reports_to_announce(now_ms);
        let bytes = |reports: &[PartReport]| {
            let reports = PartReports { number: Some(u64::MAX), reports: reports.to_vec() };
            encoded_bytes(&Datagram::PartReports(reports))
        };
        let sound: Vec<PartKey> = (1_000_000..1_000_004).map(PartKey).collect();
        let mixed = [sound[0], sound[1], PartKey(0), sound[2]];
        let verdict_us = |parts: &[PartKey]| {
            mean_us(|_| {
                black_box(known.verdict(now_ms, 1, black_box(parts), 0));
            })
        };
        let (sound_us, mixed_us) = (verdict_us(&sound), verdict_us(&mixed));
        let answered_us = mean_us(|_| {
            black_box(known.record_answer(now_ms, &sound));
        });
        let merged_us = mean_us(|_| {
            black_box(known.merge_reports(now_ms, &reports));
        });
        let crash_us = mean_us(|iteration| {
            let first = 2_000_000 + 8 * u64::from(iteration);
            let keys: Vec<PartKey> = (first..first + 8).map(PartKey).collect();
            known.record_crash(now_ms, &crashed_run(&keys, u32::MAX - iteration, now_ms));
        });
        println!(
            "| {parts} | {crashes} | {}, {} | {sound_us:.2} | {mixed_us:.2} | {answered_us:.2} | {crash_us:.2} | {merged_us:.2} |",
            bytes(&reports),
            bytes(&announced)
        );
    }
}

fn crashed_run(parts: &[PartKey], crash: u32, at_ms: u64) -> CrashedRun<'_> {
    CrashedRun {
        request: Fingerprint(u64::MAX - u64::from(crash)),
        account: u32::MAX,
        parts,
        incarnation_id: crash.wrapping_mul(0x9e37_79b9),
        sent_at_ms: at_ms.saturating_sub(100),
        at_ms,
        written_ms: 50,
    }
}

/// Prints whom a box tells where a stream begins, and whom it asks, as the fleet grows.
fn print_stream_keepers() {
    println!();
    println!(
        "| boxes | peers told of a stream | peers asked | bytes of a report, of an answer | choose whom to tell, us | choose whom to ask, us |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    let mut origins = StreamOrigins::default();
    let origin = StreamOrigin { service: u32::MAX, software: u32::MAX };
    origins.record(1, StreamId(u64::MAX), origin, 12_000);
    let report = origins.report(2, StreamId(u64::MAX));
    let report_bytes = report.map_or(0, |report| encoded_bytes(&Datagram::StreamOrigin(report)));
    let answer = OriginAnswer { number: u64::MAX, report };
    let answer_bytes = encoded_bytes(&Datagram::OriginAnswer(answer));
    for boxes in FLEET_SIZES {
        let (peers, _) = known_peers(boxes);
        let keepers = peers.stream_keepers(2, StreamId(1)).len();
        let asked = peers.peers_to_ask(2, StreamId(1)).len();
        let keepers_us = mean_us(|iteration| {
            black_box(peers.stream_keepers(2, StreamId(iteration.into())));
        });
        let asked_us = mean_us(|iteration| {
            black_box(peers.peers_to_ask(2, StreamId(iteration.into())));
        });
        println!(
            "| {boxes} | {keepers} | {asked} | {report_bytes}, {answer_bytes} | {keepers_us:.1} | {asked_us:.1} |"
        );
    }
}

/// Prints what it costs to keep streams.
fn print_kept_streams() {
    println!();
    println!("| streams kept | record one more, us | find one, us |");
    println!("| --- | --- | --- |");
    let origin = StreamOrigin { service: 1, software: 1 };
    for count in KEPT_STREAMS {
        let mut origins = StreamOrigins::default();
        for number in 0..count {
            origins.record(1, StreamId(number), origin, 12_000 + number);
        }
        let found_us = mean_us(|iteration| {
            black_box(origins.get(2, StreamId(iteration.into())));
        });
        let recorded_us = mean_us(|iteration| {
            origins.record(2, StreamId(count + u64::from(iteration)), origin, 12_000);
        });
        println!("| {count} | {recorded_us:.2} | {found_us:.2} |");
    }
}

fn mean_us(mut step: impl FnMut(u32)) -> f64 {
    let started_at = Instant::now();
    for iteration in 0..ITERATIONS {
        step(iteration);
    }
    let took_ns = u64::try_from(started_at.elapsed().as_nanos()).unwrap_or(u64::MAX);
    ratio(took_ns, u64::from(ITERATIONS) * 1000)
}

fn encoded_bytes(message: &impl serde::Serialize) -> usize {
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len())
}

fn address(number: u32) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from(0x0a00_0000 | number))
}

fn load_report(boxes: u32, upstream: u32, requests: u32) -> LoadReport {
    let load = Load { requests, pending_prefill_tokens: 4000, memory_tokens: 6000 };
    LoadReport { upstream: upstream % engine_count(boxes), load, receive_age_ms: 40 }
}

fn engine_count(boxes: u32) -> u32 {
    boxes * ENGINES_PERCENT / 100
}

fn gossip_message(boxes: u32, seed: u32) -> Gossip {
    let loads = (0..LOADS_PER_GOSSIP)
        .map(|index| load_report(boxes, seed * LOADS_PER_GOSSIP + index, 2))
        .collect();
    let peers = (1..25).map(|offset| address((seed + offset) % boxes)).collect();
    Gossip {
        incarnation: 1,
        hall: seed % HALLS,
        offers_tunnels: true,
        loads,
        peers,
        ..Gossip::default()
    }
}

fn load_changes(boxes: u32, seed: u32, requests: u32) -> LoadChanges {
    let loads = vec![load_report(boxes, seed, requests % 7)];
    LoadChanges { incarnation: 1, loads, ..LoadChanges::default() }
}

/// Peers of a box that has received gossip from all others, and the number of targets of its
/// next gossip message.
fn known_peers(boxes: u32) -> (Peers, usize) {
    let local_box = LocalBox {
        short_id: 0,
        address: SocketAddr::new(address(0), 7000),
        hall: 0,
        millicores: 120,
    };
    let mut peers = Peers::new(local_box, &[]);
    for peer in 1..boxes {
        peers.receive_gossip(0, address(peer), gossip_message(boxes, peer), ViewDigest::default());
    }
    let target_count = peers.next_targets(0, Audience::All, GossipScope::OwnHall).full.len();
    (peers, target_count)
}

fn mean_choose_us(boxes: u32) -> f64 {
    let mut upstreams = Upstreams::default();
    for engine in 0..engine_count(boxes) {
        let entry = UpstreamEntry {
            service: SERVICE.to_owned(),
            software: "v1".to_owned(),
            address: SocketAddr::new(address(engine), 8080),
            hall: format!("hall-{}", engine % HALLS),
            slots: 24,
            leaving: false,
            cold_left_ms: 0,
            models: vec![(MODEL.to_owned(), 1)],
            started_at_ms: None,
        };
        let id = format!("engine-{engine}");
        upstreams.upsert(0, &id, entry);
        if let Some(upstream) = upstreams.get_mut(&id) {
            upstream.peer_load =
                Load { requests: 4, pending_prefill_tokens: 3000 + engine, memory_tokens: 9000 };
        }
    }
    let stores = configured_stores(boxes);
    let engine = EngineSpec {
        slots: 24,
        memory_tokens: 40_097,
        bytes_per_token: 18_432,
        link_mbps: 130_000.0,
        per_part_sources: true,
    };
    mean_us(|iteration| {
        let part = iteration % (PARTS_PER_STORE * boxes * STORES_PERCENT / 100);
        let prompt =
            Prompt::parse(MODEL, "9000,60", &format!("aa:2500,{part:x}:5000,ff{iteration:x}:1500"));
        black_box(choose(
            1,
            &upstreams,
            &stores,
            Some(&engine),
            &demand(prompt.as_ref(), iteration.into()),
        ));
    })
}

fn demand(prompt: Option<&Prompt>, seed: u64) -> Demand<'_> {
    Demand {
        service: SERVICE,
        box_short_id: 7,
        hall: "hall-0",
        prompt,
        context_group: None,
        weights: None,
        weights_apply_ms: 12_000,
        excludes_overdue: true,
        placement: Placement::RendezvousHash { hall: "hall-0" },
        candidates: Candidates::Sampled { seed, hall_boxes: None },
        allowed_halls: AllowedHalls::ALL,
        software: AllowedSoftware::Any,
        tried: &[],
        max_connections: 200,
        boxes: 1,
        exceeds_share: false,
        brittle: None,
        may_ask_for_permits: true,
        admission: AdmissionCriteria {
            higher_priority_ranks: 1,
            objective_ms: 500,
            objective_missed: false,
            admission_limit: 1.1,
            account_part: 1.0,
            reserved_part: 0.0,
        },
        objective_at_ms: Some(500),
        room: None,
    }
}

fn configured_stores(boxes: u32) -> Stores {
    let count = boxes * STORES_PERCENT / 100;
    let configured: Vec<Store> = (0..count).map(store).collect();
    let mut stores = Stores::default();
    stores.configure(&configured);
    for (store_index, (_, state)) in (0_u32..).zip(stores.iter_mut()) {
        let parts = (0..PARTS_PER_STORE).map(|part| part * count + store_index);
        let cached = parts.map(|part| CacheChange {
            part: CachedPart { scope: scope(MODEL, 1, None), part_id: format!("{part:x}") },
            tokens: 5000,
        });
        let listing = CacheListing {
            boot_epoch: 1,
            next_position: 1,
            complete: cached.collect(),
            partial: Vec::new(),
        };
        state.contents.apply_listing(&listing);
    }
    stores
}

fn store(number: u32) -> Store {
    Store {
        name: format!("store-{number}"),
        address: SocketAddr::new(address(number), 9090),
        hall: format!("hall-{}", number % HALLS),
        capacity_tokens: 20_000_000,
        link_mbps: 29_000.0,
        transfer_setup_ms: 6.0,
        managed: true,
    }
}
