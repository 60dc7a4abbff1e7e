//! Measures time and memory of dispatcher, configuration, membership and ledger at the planned
//! fleet size, by calling them directly.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Instant;

use coursestile::account::{Account, Terms, Weights, key_hash};
use coursestile::configlog::{Change, ChangeProposal, Config, ConfigEntry, ConfigState};
use coursestile::context::{PrefixChain, Scope};
use coursestile::context_manager::ContextManager;
use coursestile::dispatcher::{Action, Dispatcher, Policies};
use coursestile::fleet::Engine;
use coursestile::ledger::{Answer, CallKey, Ledger, Outcome};
use coursestile::member::{Health, Member};
use coursestile::membership::Membership;
use coursestile::owner::owner;
use coursestile::retention::RetentionPolicy;
use coursestile::slot_request::{SlotEnd, SlotReport, SlotRequest, SlotRequestId, SlotResponse};
use coursestile::store::Store;
use coursestile::ticket::BoxRef;
use coursestile::trace::TraceId;

use crate::figures::ratio;

/// Engines in one hall that all serve the same model.
const ENGINES_PER_HALL: usize = 128;
/// Number of client accounts.
const ACCOUNTS: usize = 1300;
/// Boxes in all halls.
const BOXES: usize = 350;
/// Boxes in one hall.
const BOXES_PER_HALL: usize = 58;

/// Prints the table.
pub fn run() -> ExitCode {
    println!("{:<52} {:>12} {:>12}", "what", "time us", "memory");
    for prompts in [40_000, 6_600] {
        measure_dispatcher(prompts);
    }
    measure_configuration();
    measure_ownership();
    measure_membership();
    measure_ledger();
    ExitCode::SUCCESS
}

fn print_row(what: &str, mean_us: Option<f64>, bytes: Option<u64>) {
    let time = mean_us.map_or(String::new(), |time| format!("{time:.2}"));
    let memory = bytes.map_or(String::new(), |bytes| format!("{:.2} MB", ratio(bytes, 1_000_000)));
    println!("{what:<52} {time:>12} {memory:>12}");
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * 4096
}

/// Mean time of `count` calls, in microseconds.
fn mean_us(count: usize, mut call: impl FnMut(usize)) -> f64 {
    let started_at = Instant::now();
    for number in 0..count {
        call(number);
    }
    started_at.elapsed().as_secs_f64() * 1e6 / f64::from(u32::try_from(count).unwrap_or(1))
}

fn slot_request(number: usize, prompts: usize) -> SlotRequest {
    let account = format!("account-{}", number % ACCOUNTS);
    let (model, version) = ("model".to_owned(), "v1".to_owned());
    let scope = Scope { account, model, version };
    let prompt = format!("{:<24000}", number % prompts);
    SlotRequest {
        id: SlotRequestId {
            entry_box: BoxRef { name: "box".to_owned(), incarnation: 1 },
            number: number as u64,
        },
        prefix: PrefixChain::new(&scope, &prompt),
        scope,
        prompt_tokens: 6000,
        max_tokens: 200,
        share: 1.0,
        priority: 0,
        weights: Weights::default(),
        worthless_at_ms: u64::MAX / 2,
        deadline_ms: u64::MAX / 2,
        excluded_engines: Vec::new(),
        no_wait: false,
        trace: TraceId(1),
    }
}

fn new_dispatcher(prompts: usize) -> Dispatcher {
    let engines = (0..ENGINES_PER_HALL)
        .map(|number| Engine::new(&format!("engine-{number}"), "http://e", 8, 65_536, 0.03))
        .collect();
    let store = Store::new("http://s", u64::MAX / 2, 2e6);
    let stores = BTreeMap::from([("s".to_owned(), store)]);
    let context_manager =
        ContextManager::new(RetentionPolicy::Worth, stores, prompts * 2, 20_000, "box");
    Dispatcher::new(Policies::default(), engines, context_manager)
}

/// Measures a request's way through the dispatcher from slot request to completion, with 70% of
/// the slots in use.
fn measure_dispatcher(prompts: usize) {
    let requests: Vec<_> = (0..prompts).map(|number| slot_request(number, prompts)).collect();
    let before = resident_bytes();
    let mut dispatcher = new_dispatcher(prompts);
    let mut open = std::collections::VecDeque::new();
    let mut number = 0;
    let mut serve = |dispatcher: &mut Dispatcher, source: &SlotRequest| {
        number += 1;
        let mut request = source.clone();
        request.id.number = number;
        let id = request.id.clone();
        let now_ms = 1_000_000 + number;
        let actions = dispatcher.request_slot(now_ms, request);
        let granted = actions.iter().any(|action| {
            matches!(action, Action::Respond { response: SlotResponse::Granted(_), .. })
        });
        assert!(granted, "the fleet has free slots");
        let first_token = SlotReport::FirstToken { id: id.clone(), cached_tokens: 0, took_ms: 180 };
        dispatcher.record_slot_report(now_ms, &first_token);
        open.push_back(id);
        if open.len() > ENGINES_PER_HALL * 8 * 7 / 10 {
            let id = open.pop_front().expect("a request was just added");
            let request = "request".to_owned();
            let done = SlotReport::Done {
                id,
                run_id: request,
                generated_tokens: 200,
                end: SlotEnd::Finished,
            };
            dispatcher.record_slot_report(now_ms, &done);
        }
    };
    for source in &requests {
        serve(&mut dispatcher, source);
    }
    let memory = resident_bytes().saturating_sub(before);
    let name = format!("decide, {ENGINES_PER_HALL} engines, {prompts} prompts, all seen before");
    let time = mean_us(20_000, |number| serve(&mut dispatcher, &requests[number % requests.len()]));
    print_row(&name, Some(time), Some(memory));
    let tick_us = mean_us(20, |_| {
        dispatcher.tick(1_000_000);
    });
    print_row("  its tick, 20 a second", Some(tick_us), None);
    let context_tick_us = mean_us(5, |_| {
        dispatcher.context.tick(1_000_000);
    });
    print_row("  its context tick, once a second", Some(context_tick_us), None);
}

fn set_account(number: usize) -> Change {
    let account = Account {
        template: "group".to_owned(),
        key_hashes: vec![key_hash(&number.to_string())],
        ..Account::default()
    };
    Change::SetAccount { name: format!("account-{number}"), account }
}

fn entry(revision: u64, change: Change) -> ConfigEntry {
    let (id, operator) = (format!("{revision:032x}"), "operator".to_owned());
    let proposal = ChangeProposal { id, operator, at_ms: 1, expects_revision: 0, change };
    ConfigEntry { revision, proposal }
}

/// A configuration with all accounts.
pub fn state_with_all_accounts() -> ConfigState {
    let mut state = ConfigState::default();
    let terms =
        Terms { models: BTreeMap::from([("summary".to_owned(), vec![])]), ..Terms::default() };
    state.apply(&entry(1, Change::SetTemplate { name: "group".to_owned(), terms }));
    for number in 0..ACCOUNTS {
        let revision = state.revision + 1;
        state.apply(&entry(revision, set_account(number)));
    }
    state
}

fn measure_configuration() {
    let before = resident_bytes();
    let state = state_with_all_accounts();
    let config = Config::new(state.clone());
    let memory = resident_bytes().saturating_sub(before);
    print_row("configuration of 1,300 accounts", None, Some(memory));
    let json = serde_json::to_vec(&state).unwrap_or_default().len() as u64;
    print_row("  as a base in the platform's service", None, Some(json));
    let change = entry(1, set_account(1));
    let delta = serde_json::to_vec(&change).unwrap_or_default().len();
    println!("{:<52} {:>12} {delta:>10} B", "  one change on the wire, at most", "");
    let adopt_us = mean_us(20, |_| drop(Config::new(state.clone())));
    print_row("  adopt a change", Some(adopt_us), None);
    let lookup_us = mean_us(100_000, |number| {
        std::hint::black_box(config.account_of(&(number % ACCOUNTS).to_string()));
    });
    print_row("  find an account by its key", Some(lookup_us), None);
}

fn measure_ownership() {
    let names: Vec<_> = (0..BOXES_PER_HALL).map(|number| format!("box-{number}")).collect();
    let time = mean_us(10_000, |number| {
        let key = number.to_string();
        std::hint::black_box(owner(&key, names.iter().map(String::as_str)));
    });
    print_row("owner among 58 boxes", Some(time), None);
}

fn measure_membership() {
    let member = |number: usize| Member {
        id: BoxRef { name: format!("box-{number}"), incarnation: 1_796_213_873_408 },
        hall: format!("hall-{}", number % 6),
        region: format!("region-{}", number % 2),
        address: format!("10.0.{}.{}:7000", number / 250, number % 250),
        refutations: 0,
        health: Health::Alive,
        heir: None,
    };
    let before = resident_bytes();
    let mut membership = Membership::new(member(0), Vec::new(), 1);
    for number in 1..BOXES {
        membership.merge(0, member(number));
    }
    let memory = resident_bytes().saturating_sub(before);
    let mut now_ms = 100_000;
    let time = mean_us(200, |_| {
        now_ms += 1000;
        membership.tick(now_ms);
        // Regular updates keep the other boxes alive.
        for number in 1..BOXES {
            membership.merge(now_ms, member(number));
        }
    });
    print_row("membership of 350 boxes, a period with updates from all", Some(time), Some(memory));
}

fn measure_ledger() {
    let before = resident_bytes();
    let mut ledger = Ledger::default();
    let key = |number: usize| CallKey {
        account: format!("account-{}", number % ACCOUNTS),
        key: format!("box.18a2b3c4d5e.18a2b3c4d5e.1.0123456789abcdef0123456789abcdef/{number}"),
    };
    let answer = Answer { status: 200, content_type: None, body: vec![0; 200] };
    let outcome = Outcome::Answered(answer);
    let time = mean_us(10_000, |number| {
        ledger.try_spend_key(1, &key(number), 1, u64::MAX);
        ledger.record_outcome(&key(number), &outcome);
    });
    let memory = resident_bytes().saturating_sub(before);
    print_row("ledger, 10,000 calls with answers of 200 bytes", Some(time), Some(memory));
}
