//! New weights must reach all engines in time while boxes, and above all leaders, stop and start.
//!
//! A box that takes over the orders first waits until the orders of its predecessor are certain to
//! be over, and it began that wait anew whatever had been ordered before. Boxes that were stopped
//! in turn, or killed while they led, ended before their wait did: twelve leaders in a row gave no
//! order (`leadership_taken` to `leadership_ended` after 0.4 to 1.7 s, where the wait is 2.7 s), so
//! that no order was given for 21.9 s where 10 s are allowed, and requests began on overdue
//! weights. A restarted box took the time at which it learned of a version for the time at which it
//! was named. A box that knew the right time still sent requests to engines with overdue weights,
//! since these were only given a higher cost instead of being excluded.

#[path = "common/site.rs"]
mod common;

use std::time::Duration;

use common::{start_engines, wait_ready};
use coursestile_standins::clock::now_ms;
use coursestile_standins::site::engine::{Engine, MODEL, Order};
use coursestile_standins::site::{Gateway, Site, config_document, engine_services, eventually};
use futures_util::future::join_all;
use rstest::rstest;
use tokio::time::sleep;

/// Time within which every engine must have a named version, even while boxes stop and start.
const APPLY_MS: u64 = 10_000;
/// Time for which boxes stop and start.
const DISRUPTION_MS: u64 = 22_000;
/// Times at which versions 2 and on are named, from the start of the disruption.
const NAMED_AFTER_MS: [u64; 4] = [1000, 5000, 11_000, 12_000];
/// Longest wait for a new leader before the disruption goes on with any box.
const LEADER_WAIT_MS: u64 = 5000;
/// Time between two checks of a test.
const POLL_PERIOD: Duration = Duration::from_millis(20);
/// Time within which boxes learn what their peers know, well above what gossip takes.
const GOSSIP_MS: u64 = 300;
/// Time after the naming of a version until a killed box is started again.
const DOWNTIME_MS: u64 = 2000;
/// Time between two prompts of a series.
const PROMPT_PERIOD: Duration = Duration::from_millis(250);

struct Fleet {
    gateways: Vec<Gateway>,
    engines: Vec<Engine>,
    site: Site,
}

/// A fleet in which all boxes are ready and one of them leads.
async fn fleet(mut site: Site, gateways: usize, engines: usize) -> Fleet {
    let engines = start_engines(&site, engines).await;
    let mut config = config_document(7);
    config["routes"][2]["service"] = "llm".into();
    config["routes"][2]["path_prefix"] = "/run/".into();
    config["services"] = engine_services(None);
    site.configure(&config);
    site.set_weight_version(MODEL, 1);
    let mut started: Vec<Gateway> = Vec::new();
    for _ in 0..gateways {
        let seeds: Vec<&Gateway> = started.iter().collect();
        let gateway = site.gateway("north", &seeds);
        wait_ready(&gateway).await;
        started.push(gateway);
    }
    let fleet = Fleet { gateways: started, engines, site };
    eventually("a box leads", async || fleet.leader_after(0).is_some()).await;
    fleet
}

/// A platform with its own limits.
async fn site_with_limits(lease_ms: u64, weights_apply_ms: u64) -> Site {
    let mut site = Site::start().await;
    site.lease_ms = lease_ms;
    site.weights_apply_ms = weights_apply_ms;
    site
}

/// A box that has taken the leadership.
struct Leader {
    /// Index in `Fleet::gateways`.
    index: usize,
    fence: u64,
}

/// A version of the weights, and when it was named.
struct NamedVersion {
    version: u64,
    at_ms: u64,
}

impl Fleet {
    /// The box that took the leadership last, if its fence is above `fence`.
    fn leader_after(&self, fence: u64) -> Option<Leader> {
        let leaders = self.gateways.iter().enumerate().filter_map(|(index, gateway)| {
            Some(Leader { index, fence: logged_fence(&gateway.log_text())? })
        });
        leaders.filter(|leader| leader.fence > fence).max_by_key(|leader| leader.fence)
    }

    /// Waits up to `LEADER_WAIT_MS` for a leader whose fence is above `fence`.
    async fn next_leader(&self, fence: u64) -> Option<Leader> {
        let until_ms = now_ms() + LEADER_WAIT_MS;
        while now_ms() < until_ms {
            if let Some(leader) = self.leader_after(fence) {
                return Some(leader);
            }
            sleep(POLL_PERIOD).await;
        }
        None
    }

    fn name_version(&self, version: u64) -> NamedVersion {
        self.site.set_weight_version(MODEL, version);
        NamedVersion { version, at_ms: now_ms() }
    }

    /// Names versions during the disruption.
    async fn name_versions(&self) -> Vec<NamedVersion> {
        let started_at_ms = now_ms();
        let mut named_versions = Vec::new();
        for (version, after_ms) in (2..).zip(NAMED_AFTER_MS) {
            wait_until(started_at_ms + after_ms).await;
            named_versions.push(self.name_version(version));
        }
        named_versions
    }

    /// Asks boxes to stop in rotation, one each `period_ms`, and starts each again once it has
    /// stopped.
    async fn stop_in_turn(&self, period_ms: u64) {
        let started_at_ms = now_ms();
        for (gateway, round) in self.gateways.iter().cycle().zip(0..) {
            while now_ms() < started_at_ms + period_ms * round {
                self.gateways.iter().for_each(Gateway::restart_if_exited);
                sleep(POLL_PERIOD).await;
            }
            if now_ms() >= started_at_ms + DISRUPTION_MS {
                break;
            }
            gateway.try_signal("-TERM");
        }
        eventually("all have started again", async || {
            self.gateways.iter().for_each(Gateway::restart_if_exited);
            self.gateways.iter().all(|gateway| !is_stopping(&gateway.log_text()))
        })
        .await;
    }

    /// Calls `disrupt` for each leader, `delay_ms` after it has taken the leadership.
    async fn disrupt_leaders(&self, delay_ms: u64, mut disrupt: impl AsyncFnMut(&Gateway)) {
        let until_ms = now_ms() + DISRUPTION_MS;
        let mut fence = 0;
        let mut target = 0;
        while now_ms() < until_ms {
            if let Some(leader) = self.next_leader(fence).await {
                (target, fence) = (leader.index, leader.fence);
                sleep(Duration::from_millis(delay_ms)).await;
            } else {
                target = (target + 1) % self.gateways.len();
            }
            disrupt(&self.gateways[target]).await;
        }
    }

    /// Asserts that each engine had each version, or a newer one, in time.
    async fn assert_in_time(&self, named_versions: &[NamedVersion]) {
        let last_ms = named_versions.iter().map(|named| named.at_ms).max().unwrap_or_default();
        wait_until(last_ms + APPLY_MS).await;
        let late: Vec<String> =
            named_versions.iter().flat_map(|named| self.late_engines(named)).collect();
        let statistics = format!("{}; {}", late.join(", "), self.order_statistics());
        assert!(late.is_empty(), "later than {APPLY_MS} ms: {statistics}");
    }

    fn late_engines(&self, named: &NamedVersion) -> Vec<String> {
        let late = self.engines.iter().enumerate().filter(|(_, engine)| is_late(engine, named));
        let descriptions = late.map(|(number, engine)| {
            format!("e-{number} version {} after {:?}", named.version, took_ms(engine, named))
        });
        descriptions.collect()
    }

    /// Number of leaders and orders, and the longest time without an order.
    fn order_statistics(&self) -> String {
        let mut at_ms: Vec<u64> =
            self.engines.iter().flat_map(Engine::orders).map(|order| order.at_ms).collect();
        at_ms.sort_unstable();
        let longest_gap_ms = at_ms.windows(2).map(|pair| pair[1] - pair[0]).max();
        let logs = self.gateways.iter().map(Gateway::log_text);
        let leaders: usize = logs.map(|log| log.matches("event=leadership_taken").count()).sum();
        let orders = at_ms.len();
        format!("{leaders} leaders, {orders} orders, longest gap {longest_gap_ms:?} ms")
    }

    /// Asserts that no engine got orders of two leaders within the time of a lease, and that its
    /// fences only rise.
    fn assert_one_leader_at_once(&self) {
        for (number, engine) in self.engines.iter().enumerate() {
            for pair in engine.orders().windows(2) {
                assert!(pair[0].fence <= pair[1].fence, "e-{number}: {pair:?}");
                assert!(are_apart(pair, self.site.lease_ms), "e-{number}: {pair:?}");
            }
        }
    }

    /// Waits until all boxes know a version; returns the time.
    async fn wait_known_by_all(&self, version: u64) -> u64 {
        let text = format!("event=weights_named model={MODEL} version={version}");
        eventually("all boxes know the version", async || {
            self.gateways.iter().all(|gateway| gateway.log_text().contains(&text))
        })
        .await;
        now_ms()
    }

    /// Asserts that prompts sent through a box are refused and reach no engine.
    async fn assert_refused(&self, gateway: &Gateway) {
        let ids: Vec<String> = (0..4).map(|number| format!("r-{number}")).collect();
        let prompts = ids.iter().zip(0..).map(async |(id, number)| {
            sleep(PROMPT_PERIOD * number).await;
            common::send_prompt(gateway, id).await
        });
        let statuses = join_all(prompts).await;
        let reached = ids.iter().filter(|id| self.has_run(id)).count();
        assert_eq!((statuses, reached), (vec![503; ids.len()], 0));
    }

    fn has_run(&self, id: &str) -> bool {
        let mut runs = self.engines.iter().flat_map(Engine::runs);
        runs.any(|run| run.headers.get("x-request-id").is_some_and(|value| value == id))
    }

    /// Makes engines take orders again, and waits until prompts are served.
    async fn assert_served_again(&self, gateway: &Gateway) {
        self.engines.iter().for_each(Engine::accept_orders);
        let mut number = 0;
        eventually("prompts are served again", async || {
            number += 1;
            common::send_prompt(gateway, &format!("again-{number}")).await == 200
        })
        .await;
    }
}

/// Time from the naming of a version until an engine had it or a newer one.
fn took_ms(engine: &Engine, named: &NamedVersion) -> Option<u64> {
    let loaded = engine.completed_loads().into_iter().find(|load| load.version >= named.version);
    loaded.map(|load| load.at_ms.saturating_sub(named.at_ms))
}

fn is_late(engine: &Engine, named: &NamedVersion) -> bool {
    took_ms(engine, named).is_none_or(|took_ms| took_ms > APPLY_MS)
}

/// Whether two orders come from one leader, or are at least a lease apart.
fn are_apart(pair: &[Order], lease_ms: u64) -> bool {
    pair[0].leader == pair[1].leader || pair[1].at_ms >= pair[0].at_ms + lease_ms
}

/// The fence of a box according to its log, if it leads.
fn logged_fence(log: &str) -> Option<u64> {
    let mut fence = None;
    for line in log.lines() {
        if let Some((_, rest)) = line.split_once("event=leadership_taken fence=") {
            fence = rest.split(' ').next().and_then(|text| text.trim().parse().ok());
        } else if line.contains("event=leadership_ended") || line.contains("event=started ") {
            fence = None;
        }
    }
    fence
}

/// Whether the latest process of a box, according to its log, has been asked to stop.
fn is_stopping(log: &str) -> bool {
    let stopping_at = log.rfind("event=stopping");
    stopping_at.is_some() && stopping_at > log.rfind("event=started ")
}

async fn wait_until(at_ms: u64) {
    sleep(Duration::from_millis(at_ms.saturating_sub(now_ms()))).await;
}

/// Kills a box and starts it again.
async fn kill_and_start(gateway: &Gateway) {
    gateway.try_signal("-KILL");
    eventually("the box has ended", async || !gateway.is_alive()).await;
    gateway.restart_if_exited();
}

/// Boxes are stopped in rotation, so that each serves for less than the pause between the orders of
/// two leaders.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn boxes_stopped_in_turn() {
    let fleet = fleet(site_with_limits(3000, APPLY_MS).await, 5, 6).await;
    let (named_versions, ()) = tokio::join!(fleet.name_versions(), fleet.stop_in_turn(1000));
    fleet.assert_one_leader_at_once();
    fleet.assert_in_time(&named_versions).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leader_killed_again() {
    let fleet = fleet(site_with_limits(2000, APPLY_MS).await, 5, 6).await;
    let kills = fleet.disrupt_leaders(1200, kill_and_start);
    let (named_versions, ()) = tokio::join!(fleet.name_versions(), kills);
    fleet.assert_one_leader_at_once();
    fleet.assert_in_time(&named_versions).await;
}

/// A leader is suspended until another box is certain to have taken over, and then continued.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leader_paused_again() {
    let fleet = fleet(site_with_limits(2000, APPLY_MS).await, 5, 6).await;
    let pauses = fleet.disrupt_leaders(1200, async |gateway| {
        gateway.signal("-STOP");
        sleep(Duration::from_millis(1600)).await;
        gateway.signal("-CONT");
    });
    let (named_versions, ()) = tokio::join!(fleet.name_versions(), pauses);
    fleet.assert_one_leader_at_once();
    fleet.assert_in_time(&named_versions).await;
}

/// Without an engine whose weights may still be used, a prompt is not run.
#[tokio::test]
async fn overdue_is_barred() {
    let fleet = fleet(site_with_limits(1000, 3000).await, 1, 4).await;
    fleet.engines.iter().for_each(Engine::refuse_orders);
    fleet.name_version(2);
    let known_at_ms = fleet.wait_known_by_all(2).await;
    wait_until(known_at_ms + fleet.site.weights_apply_ms).await;
    fleet.assert_refused(&fleet.gateways[0]).await;
    fleet.assert_served_again(&fleet.gateways[0]).await;
}

/// A prompt that waits at an engine is withdrawn before the engine's weights are overdue: at an
/// engine short of memory, a prompt began 3.3 s after it was sent, 154 ms after the bound.
#[tokio::test]
async fn waiting_is_withdrawn() {
    let fleet = fleet(site_with_limits(1000, 4000).await, 1, 2).await;
    fleet.engines.iter().for_each(Engine::refuse_orders);
    fleet.engines.iter().for_each(Engine::queue_runs);
    let named = fleet.name_version(2);
    // Two seconds before the bound, the prompt is still sent; its route's timeout is three
    // seconds.
    wait_until(named.at_ms + 2000).await;
    let status = common::send_prompt(&fleet.gateways[0], "r-1").await;
    assert!(
        now_ms() < named.at_ms + fleet.site.weights_apply_ms,
        "the prompt must not wait past the bound"
    );
    assert_eq!(status, 502, "the engine may have begun with it");
}

/// A restarted box uses the naming times that its peers know: that of the newest version, and that
/// of the first one newer than what an engine has.
#[rstest]
#[case::newest(&[2])]
#[case::passed_over(&[2, 3])]
#[tokio::test]
async fn restarted_box_knows(#[case] versions: &[u64]) {
    let fleet = fleet(site_with_limits(1000, 4000).await, 3, 4).await;
    fleet.engines.iter().for_each(Engine::refuse_orders);
    fleet.name_version(versions[0]);
    let known_at_ms = fleet.wait_known_by_all(versions[0]).await;
    let restarted = &fleet.gateways[2];
    restarted.signal("-KILL");
    eventually("the box has ended", async || !restarted.is_alive()).await;
    wait_until(known_at_ms + DOWNTIME_MS).await;
    versions[1..].iter().for_each(|version| fleet.site.set_weight_version(MODEL, *version));
    restarted.restart_if_exited();
    wait_ready(restarted).await;
    wait_until(known_at_ms + fleet.site.weights_apply_ms + GOSSIP_MS).await;
    fleet.assert_refused(restarted).await;
    fleet.assert_served_again(restarted).await;
}

/// Orders that are carried out seconds late, or not at all, are repeated. When the pause between
/// repeats grew to 4.6 s, engines that carried out an older order in between still lacked the
/// newest version 18.9 s after it was named.
#[tokio::test]
async fn late_orders_repeated() {
    let fleet = fleet(site_with_limits(1000, APPLY_MS).await, 1, 4).await;
    fleet.engines.iter().for_each(|engine| engine.delay_orders(Some(Duration::from_secs(60))));
    fleet.name_version(2);
    sleep(Duration::from_secs(12)).await;
    for engine in &fleet.engines {
        let at_ms: Vec<u64> = engine.orders().iter().map(|order| order.at_ms).collect();
        let longest_gap_ms = at_ms.windows(2).map(|pair| pair[1] - pair[0]).max();
        assert!(longest_gap_ms.is_some_and(|longest_gap_ms| longest_gap_ms < 3500), "{at_ms:?}");
    }
}

/// Engines that answer no order, or never end a load, hold up no other engine, even if there are
/// more of them than may load at once.
#[rstest]
#[case::few_silent(8, 3, Engine::ignore_orders)]
#[case::many_silent(10, 6, Engine::ignore_orders)]
#[case::endless_loads(10, 6, Engine::never_finish_loads)]
#[tokio::test]
async fn hanging_engines(
    #[case] engines: usize,
    #[case] hanging: usize,
    #[case] hang: impl Fn(&Engine),
) {
    let fleet = fleet(site_with_limits(1000, APPLY_MS).await, 2, engines).await;
    let (hanging, responsive) = fleet.engines.split_at(hanging);
    hanging.iter().for_each(hang);
    let named = fleet.name_version(2);
    let mut statuses = Vec::new();
    while now_ms() < named.at_ms + APPLY_MS && responsive.iter().any(|engine| engine.version() < 2)
    {
        statuses
            .push(common::send_prompt(&fleet.gateways[0], &format!("r-{}", statuses.len())).await);
        sleep(POLL_PERIOD).await;
    }
    let took_ms: Vec<Option<u64>> =
        responsive.iter().map(|engine| took_ms(engine, &named)).collect();
    let statistics = format!("{took_ms:?}; {}", fleet.order_statistics());
    assert!(!responsive.iter().any(|engine| is_late(engine, &named)), "{statistics}");
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}
