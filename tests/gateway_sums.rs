//! A box's sums of the loads that its peers report match the last reports of the live peers,
//! whatever came before.

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};

use coursestile::gateway::decisions::account_shares::{AccountReports, AccountWork};
use coursestile::gateway::decisions::gossip_message::{
    Gossip, LoadChanges, LoadReport, changed_loads,
};
use coursestile::gateway::decisions::peers::{Audience, GossipScope, LocalBox, Peers};
use coursestile::gateway::decisions::upstream::Load;
use coursestile::gateway::decisions::view::ViewDigest;
use proptest::prelude::*;

const HALL: u32 = 1;
/// Time without a message after which a peer of the own hall no longer counts.
const PEER_EXPIRY_MS: u64 = 1500;
const UPSTREAMS: u32 = 6;
const STORE: u32 = 99;

fn peers() -> Peers {
    let address = SocketAddr::from(([10, 0, 1, 100], 7000));
    Peers::new(LocalBox { short_id: 1, address, hall: HALL, millicores: 120 }, &[])
}

fn address(host: u8) -> IpAddr {
    IpAddr::from([10, 0, 1, host])
}

fn load_report(upstream: u32, requests: u32) -> LoadReport {
    let load =
        Load { requests, pending_prefill_tokens: requests * 100, memory_tokens: requests * 10 };
    LoadReport { upstream, load, receive_age_ms: 0 }
}

fn gossip(loads: Vec<LoadReport>, fetch_tokens: u32) -> Gossip {
    let fetches = vec![(STORE, fetch_tokens)];
    let work =
        AccountWork { account: 1, service: 1, admitted: fetch_tokens, offered: 200, unmet: 1 };
    let accounts = AccountReports { work: vec![work], refusals: Vec::new() };
    Gossip { incarnation: 1, hall: HALL, loads, fetches, accounts, ..Gossip::default() }
}

/// An event at the box.
#[derive(Clone, Debug)]
enum Step {
    Gossip { host: u8, loads: BTreeMap<u32, u32> },
    Changes { host: u8, loads: BTreeMap<u32, u32> },
    Pause { ms: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let loads = || prop::collection::btree_map(0..UPSTREAMS, 0_u32..9, 0..4);
    let step = prop_oneof![
        (1_u8..20, loads()).prop_map(|(host, loads)| Step::Gossip { host, loads }),
        (1_u8..20, loads()).prop_map(|(host, loads)| Step::Changes { host, loads }),
        (0_u64..2000).prop_map(|ms| Step::Pause { ms }),
    ];
    prop::collection::vec(step, 1..80)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn sums_kept(steps in steps()) {
        let mut peers = peers();
        let mut now_ms = 1000;
        let mut last_reports: HashMap<u8, (u64, BTreeMap<u32, u32>)> = HashMap::new();
        for step in steps {
            match step {
                Step::Gossip { host, loads } => {
                    let reports = loads.iter().map(|(upstream, requests)| load_report(*upstream, *requests));
                    let gossip = gossip(reports.collect(), u32::from(host));
                    peers.receive_gossip(now_ms, address(host), gossip, ViewDigest::default());
                    last_reports.insert(host, (now_ms, loads));
                }
                Step::Changes { host, loads } => {
                    let reports = loads.iter().map(|(upstream, requests)| load_report(*upstream, *requests));
                    let changes =
                        LoadChanges { incarnation: 1, loads: reports.collect(), superseded: vec![], backoffs: vec![] };
                    peers.receive_load_changes(now_ms, address(host), &changes);
                    if let Some((at_ms, known_loads)) = last_reports.get_mut(&host) {
                        *at_ms = now_ms;
                        known_loads.extend(loads);
                    }
                }
                Step::Pause { ms } => {
                    now_ms += ms;
                    peers.next_targets(now_ms, Audience::All, GossipScope::OwnHall);
                    // A peer that was forgotten has to send full gossip again.
                    last_reports.retain(|_, (at_ms, _)| now_ms < *at_ms + 30_000);
                }
            }
            peers.expire(now_ms);
            let live_peers: Vec<_> =
                last_reports.iter().filter(|(_, (at_ms, _))| now_ms < *at_ms + PEER_EXPIRY_MS).collect();
            for upstream in 0..UPSTREAMS {
                let requests = live_peers.iter().filter_map(|(_, (_, loads))| loads.get(&upstream));
                prop_assert_eq!(peers.load(upstream), load_report(upstream, requests.sum()).load);
            }
            let fetched: u64 = live_peers.iter().map(|(host, _)| u64::from(**host)).sum();
            prop_assert_eq!(peers.fetch_tokens(STORE), fetched);
            let admitted = peers.account_sums().reports(now_ms).work.iter().map(|work| work.admitted).sum::<u32>();
            prop_assert_eq!(u64::from(admitted), fetched);
        }
    }
}

#[test]
fn changes_suffice() {
    let before = [load_report(1, 2), load_report(2, 3)];
    let now = [load_report(1, 2), load_report(2, 0), load_report(3, 1), load_report(4, 0)];
    assert_eq!(changed_loads(&before, now.into_iter()), [load_report(2, 0), load_report(3, 1)]);
}

#[test]
fn strangers_wait() {
    let mut peers = peers();
    let loads = vec![load_report(1, 4)];
    let changes =
        LoadChanges { incarnation: 1, loads: loads.clone(), superseded: vec![], backoffs: vec![] };
    peers.receive_load_changes(0, address(1), &changes);
    assert_eq!(peers.load(1), Load::default(), "the peer has not sent full gossip yet");
    peers.receive_gossip(0, address(1), gossip(Vec::new(), 0), ViewDigest::default());
    peers.receive_load_changes(0, address(1), &changes);
    assert_eq!(peers.load(1).requests, 4);
    // The peer restarts, and an old message of it arrives late.
    let restarted = Gossip { incarnation: 2, ..gossip(Vec::new(), 0) };
    peers.receive_gossip(10, address(1), restarted, ViewDigest::default());
    peers.receive_load_changes(20, address(1), &changes);
    assert_eq!(peers.load(1), Load::default(), "the changes are of an earlier incarnation");
}

#[test]
fn hearing_remembered() {
    let mut peers = peers();
    peers.receive_gossip(
        1000,
        address(1),
        gossip(vec![load_report(1, 1)], 0),
        ViewDigest::default(),
    );
    peers.expire(1000 + PEER_EXPIRY_MS);
    assert_eq!(peers.load(1), Load::default(), "the peer has expired");
    assert_eq!(peers.received_at_ms(1), 1000, "the last receive time of the upstream stays known");
}
