//! Fair sharing of a service that refuses requests between client accounts. A fleet of boxes in three
//! halls decides on the requests of 24 accounts; only the decision code runs, with gossip that
//! arrives late.

use std::collections::VecDeque;
use std::hint::black_box;
use std::net::{IpAddr, SocketAddr};
use std::time::Instant;

use coursestile::gateway::decisions::account_shares::{
    AccountReports, AccountShares, AccountSums, AccountWork, Admission, RefusalReport,
};
use coursestile::gateway::decisions::admission::{
    AdmissionCriteria, Capacity, Occupancy, occupancy,
};
use coursestile::gateway::decisions::engine_speed::Speed;
use coursestile::gateway::decisions::gossip_message::Gossip;
use coursestile::gateway::decisions::peers::{LocalBox, Peers};
use coursestile::gateway::decisions::upstream::Load;
use coursestile::gateway::decisions::view::ViewDigest;
use coursestile::names::short_id;
use coursestile::platform::keys::read_configuration;
use rstest::rstest;

const NOW_MS: u64 = 1_000_000;
const HALLS: usize = 3;
const BOXES: usize = 12;
const ACCOUNTS: u32 = 24;
/// Account that sends ten times its share.
const LARGE: u32 = 0;
const SERVICE: &str = "llm";
const REQUEST_TOKENS: u32 = 1500;
const WORK: u64 = 1500;
const HELD_MS: u64 = 500;
/// Requests that the engines of a hall run at once, and those of all halls start in a second.
const HALL_SLOTS: u32 = 160;
const CAPACITY_PER_S: f64 = 3.0 * 160.0 * 2.0;
/// Requests per second of an account on an ordinary day: together 0.9 of the capacity.
const NORMAL_PER_S: f64 = 0.9 * CAPACITY_PER_S / 24.0;
const WARM_UP_MS: u64 = 3000;
const END_MS: u64 = 13_000;
/// When the failures begin and end.
const FAILURE_MS: std::ops::Range<u64> = 6000..9000;

/// What limits the engines.
#[derive(Clone, Copy)]
enum Bottleneck {
    Slots,
    Memory,
}

#[derive(Clone, Copy, PartialEq)]
enum Failure {
    None,
    /// The box with most of the large account's clients stops; they turn to another.
    BoxKilled,
    BoxRestarted,
    /// It stands still, and goes on with what it knew.
    BoxFrozen,
    /// The hall of that box is cut off from the others.
    HallCut,
}

#[derive(Clone, Copy)]
struct Scenario {
    bottleneck: Bottleneck,
    /// Part of the large account's requests that go to the first box.
    first_box_part: f64,
    large_per_s: f64,
    others_per_s: f64,
    divides: bool,
    failure: Failure,
}

const EVEN: Scenario = Scenario {
    bottleneck: Bottleneck::Slots,
    first_box_part: 0.0,
    large_per_s: 10.0 * NORMAL_PER_S,
    others_per_s: NORMAL_PER_S,
    divides: true,
    failure: Failure::None,
};
const CROWDED: Scenario = Scenario { first_box_part: 0.9, ..EVEN };

struct GatewayBox {
    shares: AccountShares,
    peers: Peers,
    incarnation: u64,
}

impl GatewayBox {
    fn new(index: usize, incarnation: u64) -> Self {
        let address = SocketAddr::new(address(index), 7000);
        let hall = u32::try_from(index % HALLS).unwrap();
        let local = LocalBox { short_id: 1, address, hall, millicores: 120 };
        Self { shares: AccountShares::default(), peers: Peers::new(local, &[]), incarnation }
    }
}

fn address(index: usize) -> IpAddr {
    IpAddr::from([10, 0, 1, u8::try_from(index).unwrap()])
}

/// Times at which requests were sent and served, for each account.
struct Outcome {
    sent_at_ms: Vec<Vec<u64>>,
    served_at_ms: Vec<Vec<u64>>,
}

impl Outcome {
    fn served(&self, account: u32, range: std::ops::Range<u64>) -> f64 {
        count(&self.served_at_ms[account as usize], range)
    }

    fn sent(&self, account: u32, range: std::ops::Range<u64>) -> f64 {
        count(&self.sent_at_ms[account as usize], range)
    }

    /// Part of the requests of all accounts but the large one that were served.
    fn others_part(&self) -> f64 {
        let served = (1..ACCOUNTS).map(|account| self.served(account, WARM_UP_MS..END_MS));
        let sent = (1..ACCOUNTS).map(|account| self.sent(account, WARM_UP_MS..END_MS));
        served.sum::<f64>() / sent.sum::<f64>()
    }
}

fn count(times_ms: &[u64], range: std::ops::Range<u64>) -> f64 {
    let count = times_ms.iter().filter(|at_ms| range.contains(at_ms)).count();
    f64::from(u32::try_from(count).unwrap())
}

fn run(scenario: Scenario) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut boxes: Vec<_> = (0..BOXES).map(|index| GatewayBox::new(index, 1)).collect();
    let mut running: [VecDeque<u64>; HALLS] = Default::default();
    let mut messages: VecDeque<(u64, usize, usize, Gossip)> = VecDeque::new();
    let all = || vec![Vec::new(); ACCOUNTS as usize];
    let mut outcome = Outcome { sent_at_ms: all(), served_at_ms: all() };
    for now_ms in 1..END_MS {
        let fails = |failure| scenario.failure == failure && FAILURE_MS.contains(&now_ms);
        let (is_frozen, is_cut) = (fails(Failure::BoxFrozen), fails(Failure::HallCut));
        let is_down = is_frozen
            || fails(Failure::BoxKilled)
            || scenario.failure == Failure::BoxRestarted
                && (FAILURE_MS.start..FAILURE_MS.start + 300).contains(&now_ms);
        if is_down && !is_frozen {
            boxes[0] = GatewayBox::new(0, now_ms);
        }
        for running in &mut running {
            while running.front().is_some_and(|end_ms| *end_ms <= now_ms) {
                running.pop_front();
            }
        }
        exchange(now_ms, &mut rng, &mut boxes, &mut messages, is_cut, is_down);
        for account in 0..ACCOUNTS {
            let large = account == LARGE;
            let per_s = if large { scenario.large_per_s } else { scenario.others_per_s };
            for _ in 0..arrivals(&mut rng, per_s / 1000.0) {
                let to_first = large && rng.f64() < scenario.first_box_part;
                let mut at = if to_first { 0 } else { rng.usize(..BOXES) };
                if is_down && at == 0 {
                    at = 1;
                }
                let reachable = |hall: &usize| !is_cut || (*hall == 0) == (at % HALLS == 0);
                let hall = (0..HALLS).filter(reachable).min_by_key(|hall| running[*hall].len());
                let running = &mut running[hall.unwrap()];
                let shares = &mut boxes[at].shares;
                let part = shares.account_part(now_ms, SERVICE, account);
                let part = if scenario.divides { part } else { 1.0 };
                let is_full = is_full(running.len(), scenario.bottleneck, part);
                let admission = if is_full { Admission::Refused } else { Admission::Admitted };
                shares.record(now_ms, SERVICE, account, WORK, admission);
                outcome.sent_at_ms[account as usize].push(now_ms);
                if !is_full {
                    running.push_back(now_ms + HELD_MS);
                    outcome.served_at_ms[account as usize].push(now_ms);
                }
            }
        }
    }
    outcome
}

/// Number of requests in a millisecond.
fn arrivals(rng: &mut fastrand::Rng, mean: f64) -> usize {
    let (limit, mut product, mut count) = ((-mean).exp(), rng.f64(), 0);
    while product > limit {
        product *= rng.f64();
        count += 1;
    }
    count
}

fn is_full(running: usize, bottleneck: Bottleneck, account_part: f64) -> bool {
    let requests = u32::try_from(running).unwrap();
    let memory_tokens = requests * REQUEST_TOKENS;
    let load = Load { requests, pending_prefill_tokens: 0, memory_tokens };
    let capacity = match bottleneck {
        Bottleneck::Slots => Capacity { slots: HALL_SLOTS, memory_tokens: 0 },
        // The limit of memory is 1.2 at full capacity.
        Bottleneck::Memory => {
            Capacity { slots: 0, memory_tokens: HALL_SLOTS * REQUEST_TOKENS * 5 / 6 }
        }
    };
    let criteria = AdmissionCriteria {
        higher_priority_ranks: 0,
        objective_ms: 500,
        objective_missed: false,
        admission_limit: 1.0,
        account_part,
        reserved_part: 0.0,
    };
    occupancy(load, capacity, Speed::PRIOR, criteria) == Occupancy::Full
}

/// Exchanges gossip: each box sends some every 250 ms, which takes 20 ms within a hall and 400 ms
/// between halls. One message in ten is lost, and one in ten arrives twice.
fn exchange(
    now_ms: u64,
    rng: &mut fastrand::Rng,
    boxes: &mut [GatewayBox],
    messages: &mut VecDeque<(u64, usize, usize, Gossip)>,
    is_cut: bool,
    is_down: bool,
) {
    for (from, gateway_box) in boxes.iter().enumerate() {
        if !(now_ms + 21 * from as u64).is_multiple_of(250) || is_down && from == 0 {
            continue;
        }
        let accounts = gateway_box.shares.reports(now_ms);
        let hall = u32::try_from(from % HALLS).unwrap();
        let incarnation = gateway_box.incarnation;
        let gossip = Gossip { incarnation, hall, accounts, ..Gossip::default() };
        for to in (0..BOXES).filter(|to| *to != from) {
            let delay_ms = if to % HALLS == from % HALLS { 20 } else { 400 };
            if !is_cut || (from % HALLS == 0) == (to % HALLS == 0) {
                for copy in 0..[0, 1, 1, 1, 1, 1, 1, 1, 1, 2][rng.usize(..10)] {
                    let at_ms = now_ms + delay_ms + 10 * copy;
                    messages.push_back((at_ms, from, to, gossip.clone()));
                }
            }
        }
    }
    messages.retain(|(at_ms, from, to, gossip)| {
        if *at_ms == now_ms && !(is_down && *to == 0) {
            let (from, gossip) = (address(*from), gossip.clone());
            boxes[*to].peers.receive_gossip(now_ms, from, gossip, ViewDigest::default());
        }
        *at_ms > now_ms
    });
    if now_ms.is_multiple_of(100) {
        for GatewayBox { shares, peers, .. } in &mut boxes[usize::from(is_down)..] {
            peers.expire(now_ms);
            shares.update(now_ms, &peers.account_sums(), |_| Some(1.0));
        }
    }
}

/// One account took the capacity of the others, by the number of its requests.
#[rstest]
#[case::slots(EVEN)]
#[case::memory(Scenario { bottleneck: Bottleneck::Memory, ..EVEN })]
#[case::one_box(CROWDED)]
#[case::few_others(Scenario { large_per_s: 30.0 * NORMAL_PER_S, others_per_s: 0.3 * NORMAL_PER_S, ..EVEN })]
fn large_limited(#[case] scenario: Scenario) {
    let without = run(Scenario { large_per_s: scenario.others_per_s, ..scenario });
    let undivided = run(Scenario { divides: false, ..scenario });
    let divided = run(scenario);
    let all: f64 = (0..ACCOUNTS).map(|account| divided.served(account, WARM_UP_MS..END_MS)).sum();
    let used_part = all / CAPACITY_PER_S / 10.0;
    let parts = [without.others_part(), undivided.others_part(), divided.others_part()];
    println!("others served: without, undivided, divided {parts:.3?}; used {used_part:.3}");
    assert!(parts[2] >= 0.95 * parts[0], "{parts:?}");
    assert!(used_part > 0.93, "{used_part}");
}

/// When all accounts exceeded their shares, the capacity went to those that sent the most, or was left
/// unused.
#[test]
fn all_above() {
    let outcome = run(Scenario { others_per_s: 2.0 * NORMAL_PER_S, ..CROWDED });
    let served = |account| outcome.served(account, WARM_UP_MS..END_MS) / 10.0;
    let (large, all) = (served(LARGE), (0..ACCOUNTS).map(served).sum::<f64>());
    let least = (1..ACCOUNTS).map(served).fold(f64::MAX, f64::min);
    println!(
        "served in a second: {all:.0} in all, {large:.1} large, {least:.1} least of the others"
    );
    let share = CAPACITY_PER_S / f64::from(ACCOUNTS);
    assert!(large < 1.3 * share && least > 0.8 * share && all > 0.93 * CAPACITY_PER_S);
}

/// While sums were lost or outdated, accounts went without their share, or got more than a second's
/// worth of it at once.
#[rstest]
#[case::box_killed(Failure::BoxKilled)]
#[case::box_restarted(Failure::BoxRestarted)]
#[case::box_frozen(Failure::BoxFrozen)]
#[case::hall_cut(Failure::HallCut)]
fn shares_kept(#[case] failure: Failure) {
    let outcome = run(Scenario { failure, ..CROWDED });
    let large_per_s = CAPACITY_PER_S - 23.0 * NORMAL_PER_S;
    for from_ms in (FAILURE_MS.start - 1000..FAILURE_MS.end + 2000).step_by(100) {
        for account in 0..ACCOUNTS {
            let second = from_ms..from_ms + 1000;
            // An equal part, or what the account requests. More is left to the large one.
            let equal_part = CAPACITY_PER_S / f64::from(ACCOUNTS);
            let share = outcome.sent(account, second.clone()).min(equal_part);
            let served = outcome.served(account, second);
            assert!(served >= 0.5 * share, "{account}: {served} of {share} from {from_ms}");
        }
        for length_ms in [500_u32, 1000, 2000, 3000] {
            let served = outcome.served(LARGE, from_ms..from_ms + u64::from(length_ms));
            let shares = f64::from(length_ms) / 1000.0 + 1.0;
            assert!(served <= large_per_s * shares, "{served} from {from_ms} in {length_ms}");
        }
    }
}

fn work(account: u32, offered: u32) -> AccountWork {
    AccountWork {
        account,
        service: short_id(SERVICE),
        admitted: offered / 2,
        offered,
        unmet: offered / 10,
    }
}

/// Reports of boxes that have refused requests just now.
fn reports(work: Vec<AccountWork>) -> AccountReports {
    let refusal = RefusalReport { service: short_id(SERVICE), age_ms: 0 };
    AccountReports { work, refusals: vec![refusal] }
}

fn sums(now_ms: u64, reports: &AccountReports) -> AccountSums {
    let mut sums = AccountSums::default();
    sums.add_work(reports);
    sums.note_refusals(now_ms, reports);
    sums
}

/// The share that an account gets that was admitted beyond it.
fn share(sums: &AccountSums, account: u32, weight_of: impl Fn(u32) -> Option<f64>) -> Option<f64> {
    let mut shares = AccountShares::default();
    shares.update(NOW_MS, sums, weight_of);
    shares.record(NOW_MS, SERVICE, account, 1, Admission::Admitted);
    shares.record(NOW_MS, SERVICE, account, 1, Admission::Refused).map(|limited| limited.share)
}

/// Shares went by other weights than configured, or to accounts that were removed.
#[test]
fn weights_followed() {
    let sums = sums(NOW_MS, &reports(vec![work(1, 100), work(2, 1000), work(3, 1000)]));
    let equal = |_| Some(1.0);
    assert_eq!(share(&sums, 1, equal), None, "it requests less than its share");
    let expect = |share: Option<f64>, expected: f64| {
        assert!((share.unwrap() - expected).abs() < 0.1, "{share:?}, expected {expected}");
    };
    expect(share(&sums, 2, equal), (1050.0 - 100.0) / 2.0);
    let weighted = |account| Some(if account == 3 { 2.0 } else { 1.0 });
    expect(share(&sums, 2, weighted), 950.0 / 3.0);
    expect(share(&sums, 3, weighted), 950.0 * 2.0 / 3.0);
    let tiny = |account| Some(if account == 3 { 0.001 } else { 1.0 });
    expect(share(&sums, 3, tiny), 1050.0 / 2100.0 * 1000.0 / 4.0);
    let removed = |account| (account != 3).then_some(1.0);
    assert_eq!(share(&sums, 3, removed), None);
}

/// Without refusals, or with a single account, requests were treated otherwise than before, and boxes
/// reported sums that nothing needs.
#[test]
fn idle_unchanged() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut shares = AccountShares::default();
    let mut single = AccountShares::default();
    for now_ms in 0..5000 {
        let account = if rng.bool() { LARGE } else { rng.u32(1..ACCOUNTS) };
        for (shares, account) in [(&mut shares, account), (&mut single, LARGE)] {
            let part = shares.account_part(now_ms, SERVICE, account);
            assert_eq!(part.to_bits(), 1.0_f64.to_bits());
            shares.record(now_ms, SERVICE, account, WORK, Admission::Admitted);
        }
        assert_eq!(shares.reports(now_ms), AccountReports::default());
        single.record(now_ms, SERVICE, LARGE, WORK, Admission::Refused);
        for shares in [&mut shares, &mut single] {
            shares.update(now_ms, &AccountSums::default(), |_| Some(1.0));
        }
    }
}

/// Two seconds after the last refusal, nothing was left of the division.
#[test]
fn division_ends() {
    let sums = sums(NOW_MS, &reports(vec![work(1, 1000), work(2, 1000)]));
    let mut shares = AccountShares::default();
    shares.update(NOW_MS, &sums, |_| Some(1.0));
    shares.record(NOW_MS, SERVICE, 1, WORK, Admission::Admitted);
    let part_after = |age_ms| shares.account_part(NOW_MS + age_ms, SERVICE, 1);
    assert!(part_after(1999) < 1.0, "{}", part_after(1999));
    assert_eq!(part_after(2000).to_bits(), 1.0_f64.to_bits());
}

/// What accounts cost a box of the largest fleet: bytes of its messages, time of a decision.
#[test]
fn large_fleet_cost() {
    const FLEET_ACCOUNTS: u32 = 333;
    let mut peers = GatewayBox::new(0, 1).peers;
    for number in 1..=197_u32 {
        let [.., high, low] = number.to_be_bytes();
        let seen = (0..64).map(|index| {
            work(short_id(&format!("{}", (number * 7 + index) % FLEET_ACCOUNTS)), 70_000)
        });
        let accounts = reports(seen.collect());
        let gossip = Gossip { incarnation: 1, hall: 0, accounts, ..Gossip::default() };
        peers.receive_gossip(NOW_MS, [10, 1, high, low].into(), gossip, ViewDigest::default());
    }
    let own = reports((0..64).map(|index| work(short_id(&index.to_string()), 70_000)).collect());
    let bytes = [own.clone(), peers.hall_account_reports(NOW_MS, &own)]
        .map(|reports| postcard::to_stdvec(&reports).unwrap().len());
    let mut shares = AccountShares::default();
    for index in 0..FLEET_ACCOUNTS {
        let account = short_id(&index.to_string());
        shares.record(NOW_MS, SERVICE, account, WORK, Admission::Admitted);
    }
    let started_at = Instant::now();
    for _ in 0..100 {
        shares.update(NOW_MS, &peers.account_sums(), |_| Some(1.0));
    }
    let update_time = started_at.elapsed() / 100;
    let started_at = Instant::now();
    for _ in 0..1000 {
        black_box(shares.account_part(NOW_MS, SERVICE, 1));
    }
    let decision_time = started_at.elapsed() / 1000;
    println!(
        "{bytes:?} bytes of a box and of a hall, {update_time:?} for the shares, \
              {decision_time:?} for a decision (unoptimised)"
    );
    assert!(bytes[0] < 1500 && bytes[1] < 6000, "{bytes:?}");
}

/// Weights that cannot be used would have taken the whole share of an account, or of all others.
#[test]
fn weights_read() {
    let document = br#"{ "version": 1, "tenants": [{ "name": "a", "weight": 2.5 }, { "name": "b" },
        { "name": "c", "weight": 0 }, { "name": "d", "weight": -1 }] }"#;
    let configuration = read_configuration(document).unwrap();
    let weights =
        ["a", "b", "c", "d", "", "e"].map(|name| configuration.account_weight(short_id(name)));
    assert_eq!(weights, [Some(2.5), Some(1.0), Some(1.0), Some(1.0), Some(1.0), None]);
}
