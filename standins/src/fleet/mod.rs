//! Starts a small fleet of processes on loopback addresses.
//!
//! Each fleet has its own loopback network, so that fleets that run at the same
//! time don't share addresses. All processes are killed when the fleet is dropped.

mod plan;
mod process;
mod relays;
mod starter;

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

pub use plan::{HallPlan, Plan};
pub use process::Process;
pub use relays::RelayKind;
use relays::Relays;
use starter::Starter;

use crate::loopback::Network;

/// Cluster key shared by all boxes of a fleet.
pub const CLUSTER_KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
/// Time within which a process must answer after its start.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Time within which a cut has broken all open connections.
const CUT_DELAY: Duration = Duration::from_millis(500);

static FLEETS: AtomicU16 = AtomicU16::new(0);

/// A box that runs the product, for callers to connect to.
pub struct EntryBox {
    /// Its process, with the address for callers.
    pub process: Process,
    /// Address for operators.
    pub operators: String,
}

/// A running fleet.
pub struct Fleet {
    /// The platform's key-value service.
    pub platform: Process,
    /// Entry boxes.
    pub boxes: Vec<EntryBox>,
    /// Model engines.
    pub engines: Vec<Process>,
    /// Context stores.
    pub stores: Vec<Process>,
    /// Workers of the plain service.
    pub workers: Vec<Process>,
    /// TCP relays between halls, one for each direction, named `from-to`.
    pub hall_relays: Vec<Process>,
    /// TCP relays through which boxes connect to everything, if the plan has them.
    pub relays: Relays,
    /// Client for calls to the processes.
    pub http: reqwest::Client,
    dir: PathBuf,
    /// Keeps the loopback network reserved until the fleet is dropped.
    _network: Network,
}

/// Folder that holds the programs of the build.
///
/// # Panics
/// Panics when the running program's path is not known.
#[must_use]
pub fn program_dir() -> PathBuf {
    let mut dir = std::env::current_exe().expect("own path");
    dir.pop();
    if dir.ends_with("deps") {
        dir.pop();
    }
    dir
}

impl Fleet {
    /// Starts a fleet and waits until each process answers.
    ///
    /// # Panics
    /// Panics when a process does not answer in time.
    pub async fn start(plan: &Plan) -> Self {
        let count = FLEETS.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        let network = Network::reserve();
        let dir = std::env::temp_dir().join(format!("coursestile-{pid}-{count}"));
        std::fs::create_dir_all(&dir).expect("folder for logs");
        let prefix = network.prefix().to_owned();
        let mut starter = Starter { plan, dir: dir.clone(), network: prefix, next_host: 0 };
        let platform = starter.standin("kv", "platform", "", &[]);
        let mut fleet = Self {
            platform,
            boxes: Vec::new(),
            engines: Vec::new(),
            stores: Vec::new(),
            workers: Vec::new(),
            hall_relays: Vec::new(),
            relays: Relays::default(),
            http: reqwest::Client::new(),
            dir,
            _network: network,
        };
        fleet.start_upstreams(&mut starter);
        fleet.start_boxes(&mut starter);
        fleet.wait_started().await;
        fleet
    }

    fn start_upstreams(&mut self, starter: &mut Starter<'_>) {
        let plan = starter.plan.clone();
        let option = |name: &str, value: u64| (name.to_owned(), value.to_string());
        for number in 1..=plan.stores {
            let args = [
                option("memory-bytes", plan.store_bytes / 4),
                option("disk-bytes", plan.store_bytes - plan.store_bytes / 4),
                option("bytes-per-ms", plan.link_bytes_per_ms),
            ];
            self.stores.push(starter.standin("store", &format!("store{number}"), "", &args));
        }
        for hall in &plan.halls {
            for number in 1..=hall.engines {
                let name = format!("{}-e{number}", hall.name);
                let mut args = vec![option("cache-tokens", plan.cache_tokens)];
                args.extend(plan.engine_args.iter().cloned());
                self.engines.push(starter.standin("engine", &name, &hall.name, &args));
            }
            for number in 1..=hall.workers {
                let name = format!("{}-w{number}", hall.name);
                let record = starter.dir.join(format!("{name}.runs"));
                let mut args = plan.worker_args.clone();
                args.push(("record".to_owned(), record.to_string_lossy().into_owned()));
                self.workers.push(starter.standin("service", &name, &hall.name, &args));
            }
        }
    }

    fn start_boxes(&mut self, starter: &mut Starter<'_>) {
        let plan = starter.plan.clone();
        let mut hosts = Vec::new();
        for hall in &plan.halls {
            for number in 1..=hall.boxes {
                let name = format!("{}-b{number}", hall.name);
                hosts.push((name, hall.name.clone(), starter.address()));
            }
        }
        let mut routes = self.start_hall_relays(starter, &plan, &hosts);
        if plan.relays {
            let all = self.start_relays(starter, &hosts);
            routes = plan.halls.iter().map(|hall| (hall.name.clone(), all.clone())).collect();
        }
        let seeds: Vec<_> = hosts.iter().map(|(_, _, host)| format!("{host}:7000")).collect();
        for (name, hall, host) in &hosts {
            let upstreams = self.upstream_settings(&plan, hall);
            let platform = self.relays.url_for(&self.platform);
            let routes = routes.get(hall).map_or("", String::as_str);
            let peers = format!("seeds = {}\nroutes = {routes}", seeds.join(", "));
            let settings = starter.settings(name, hall, host, &peers, &platform, &upstreams);
            self.boxes.push(starter.entry_box(name, hall, host, &settings));
        }
    }

    /// Starts the relays between halls; returns the setting `routes` for the boxes of each hall.
    fn start_hall_relays(
        &mut self,
        starter: &mut Starter<'_>,
        plan: &Plan,
        hosts: &[(String, String, String)],
    ) -> BTreeMap<String, String> {
        let mut routes = BTreeMap::new();
        let halls = plan.halls.iter().filter(|_| plan.hall_relays);
        for from in halls.clone() {
            let mut routes_of_hall = Vec::new();
            for to in halls.clone().filter(|to| to.name != from.name) {
                let target_hosts = hosts.iter().filter(|(_, hall, _)| *hall == to.name);
                let with_relay_address =
                    |host: &String| (format!("{}:7000", starter.address()), host.clone());
                let relay_addresses: Vec<_> =
                    target_hosts.map(|(_, _, host)| host).map(with_relay_address).collect();
                let pairs = relay_addresses
                    .iter()
                    .map(|(relay_address, host)| format!("{relay_address}>{host}:7000"));
                let pairs = pairs.collect::<Vec<_>>().join(",");
                routes_of_hall.extend(
                    relay_addresses
                        .iter()
                        .map(|(relay_address, host)| format!("{host}:7000>{relay_address}")),
                );
                let name = format!("{}-{}", from.name, to.name);
                self.hall_relays.push(starter.standin(
                    "wire",
                    &name,
                    "",
                    &[("pairs".to_owned(), pairs)],
                ));
            }
            routes.insert(from.name.clone(), routes_of_hall.join(", "));
        }
        routes
    }

    /// Cuts the connections between a hall and the others, or restores them.
    pub async fn cut_hall(&self, hall: &str, cut: bool) {
        for relay in &self.hall_relays {
            let (from, to) = relay.name.split_once('-').unwrap_or_default();
            if from == hall || to == hall {
                self.try_set_fault(relay, json!({ "outage": cut })).await;
            }
        }
        // The relays check for the fault periodically, and break open connections then.
        tokio::time::sleep(CUT_DELAY).await;
    }

    /// Delays the bytes between halls, or no longer.
    pub async fn delay_halls(&self, delay_ms: u64) {
        for relay in &self.hall_relays {
            self.set_fault(relay, json!({ "delay_ms": delay_ms })).await;
        }
    }

    fn upstream_settings(&self, plan: &Plan, hall: &str) -> String {
        let mut text = String::new();
        for engine in self.engines.iter().filter(|engine| engine.hall == hall) {
            let _ = writeln!(
                text,
                "[upstream.{}]\nkind = engine\nurl = {}\nmodel = summary\nslots = {}\ncache_tokens = {}\n\
                 prefill_token_us = 30\nchecks_orders = {}\n",
                engine.name,
                self.relays.url_for(engine),
                plan.slots,
                plan.cache_tokens,
                plan.checks_orders
            );
        }
        let share = plan.store_bytes / plan.halls.len() as u64;
        for store in &self.stores {
            let _ = writeln!(
                text,
                "[upstream.{}]\nkind = store\nurl = {}\ncapacity_bytes = {share}\n\
                 link_bytes_per_ms = {}\n",
                store.name,
                self.relays.url_for(store),
                plan.link_bytes_per_ms
            );
        }
        // Each hall lists all workers, its own first.
        let mut workers: Vec<_> = self.workers.iter().collect();
        workers.sort_by_key(|worker| worker.hall != hall);
        for worker in workers {
            let _ = writeln!(
                text,
                "[upstream.{}]\nkind = service\nurl = {}\nservice = scores\n\
                 repeatable = /fixtures\n",
                worker.name,
                self.relays.url_for(worker)
            );
        }
        text
    }

    async fn wait_started(&self) {
        let upstreams = self.engines.iter().chain(&self.stores).chain(&self.hall_relays);
        let upstreams = upstreams.chain(self.relays.processes());
        for process in upstreams.chain(&self.workers) {
            self.wait_for(&format!("{}/fault", process.url())).await;
        }
        self.wait_for(&format!("{}/counts", self.platform.url())).await;
        for entry_box in &self.boxes {
            self.wait_for(&format!("http://{}/live", entry_box.operators)).await;
        }
    }

    /// Waits until a server answers at `url`, with any status.
    ///
    /// # Panics
    /// Panics when none does in time.
    pub async fn wait_for(&self, url: &str) {
        let until = Instant::now() + START_TIMEOUT;
        while self.http.get(url).send().await.is_err() {
            assert!(Instant::now() < until, "{url} does not answer; see {}", self.dir.display());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sets faults of a stand-in.
    ///
    /// # Panics
    /// Panics when the stand-in refuses them or does not answer.
    pub async fn set_fault(&self, process: &Process, fault: Value) {
        let call = self.http.post(format!("{}/fault", process.url())).json(&fault);
        let answer = call.send().await;
        // The fault `die` ends the process before it answers.
        let died = fault == json!({ "die": true });
        assert!(died || answer.is_ok_and(|answer| answer.status().is_success()), "{fault}");
    }

    /// As `set_fault`, but ignores refusals and missing answers.
    pub async fn try_set_fault(&self, process: &Process, fault: Value) {
        let call = self.http.post(format!("{}/fault", process.url())).json(&fault);
        // A killed process restarts without the fault; a frozen one may take it when it
        // continues, and then has it until it is reset.
        let _ = call.timeout(Duration::from_secs(5)).send().await;
    }

    /// Reads JSON from `url`; `None` if there is no answer within 3 s or it is no JSON.
    pub async fn get(&self, url: &str) -> Option<Value> {
        let call = self.http.get(url).timeout(Duration::from_secs(3));
        call.send().await.ok()?.json().await.ok()
    }

    /// Status of a box, as its operators' address reports it.
    pub async fn status(&self, entry_box: &EntryBox) -> Option<Value> {
        self.get(&format!("http://{}/status", entry_box.operators)).await
    }

    /// Waits until each of `boxes` serves `revision` or a later one and sees at least `members`
    /// boxes.
    ///
    /// # Panics
    /// Panics when that takes too long.
    pub async fn wait_for_revision(&self, boxes: &[&EntryBox], revision: u64, members: usize) {
        let until = Instant::now() + START_TIMEOUT;
        for entry_box in boxes {
            loop {
                let status = self.status(entry_box).await.unwrap_or_default();
                let seen = status["members"].as_array().map_or(0, Vec::len);
                if status["revision"].as_u64() >= Some(revision) && seen >= members {
                    break;
                }
                let name = &entry_box.process.name;
                assert!(Instant::now() < until, "{name} is behind: {status}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Runs the operators' tool; returns its exit code, or -1 if a signal ended it, and its
    /// output.
    ///
    /// # Panics
    /// Panics when the tool cannot be started.
    #[must_use]
    pub fn run_operator_tool(&self, args: &[&str]) -> (i32, String) {
        let boxes: Vec<_> =
            self.boxes.iter().map(|entry_box| entry_box.operators.clone()).collect();
        let output = Command::new(program_dir().join("coursestile"))
            .args(args)
            .env("COURSESTILE_PLATFORM", self.platform.url())
            .env("COURSESTILE_BOXES", boxes.join(","))
            .env("USER", "tester")
            .output()
            .expect("operators' tool");
        let text = [output.stdout, output.stderr].concat();
        (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned())
    }

    /// Runs the operators' tool, which must succeed; returns its output.
    ///
    /// # Panics
    /// Panics when it fails.
    #[allow(clippy::must_use_candidate, reason = "most callers need only the effect")]
    pub fn must_run_operator_tool(&self, args: &[&str]) -> String {
        let (code, text) = self.run_operator_tool(args);
        assert_eq!(code, 0, "{args:?}: {text}");
        text
    }

    /// Folder of settings and logs.
    #[must_use]
    pub fn dir(&self) -> &Path {
        &self.dir
    }
}
