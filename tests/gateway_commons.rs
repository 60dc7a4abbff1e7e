//! Prompt parts that most requests share, in a large fleet: each hall keeps a copy of them in a
//! store near its engines.

use std::net::SocketAddr;

use coursestile::gateway::decisions::admission::AdmissionCriteria;
use coursestile::gateway::decisions::cache_contents::PartKey;
use coursestile::gateway::decisions::cache_reports::CacheListing;
use coursestile::gateway::decisions::candidates::Candidates;
use coursestile::gateway::decisions::choose::{Choice, choose};
use coursestile::gateway::decisions::configuration::{EngineSpec, Store};
use coursestile::gateway::decisions::context::PartSource;
use coursestile::gateway::decisions::demand::{AllowedSoftware, Demand};
use coursestile::gateway::decisions::prompt::Prompt;
use coursestile::gateway::decisions::regions::AllowedHalls;
use coursestile::gateway::decisions::stores::{Placement, Stores};
use coursestile::gateway::decisions::upstream::UpstreamEntry;
use coursestile::gateway::decisions::upstreams::Upstreams;

const HALLS: [&str; 2] = ["north", "south"];
const SHARED_PART: &str = "aa";
const SHARED_PART_TOKENS: u32 = 2500;

fn store(name: &str, hall: &str, port: u16) -> Store {
    Store {
        name: name.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        hall: hall.to_owned(),
        capacity_tokens: 1_000_000,
        link_mbps: 29_000.0,
        transfer_setup_ms: 6.0,
        managed: true,
    }
}

/// Two stores in each hall, which are known to be empty.
fn stores() -> Stores {
    let mut stores = Stores::default();
    stores.configure(&[
        store("n1", "north", 1),
        store("n2", "north", 2),
        store("s1", "south", 3),
        store("s2", "south", 4),
    ]);
    for (_, state) in stores.iter_mut() {
        let listing = CacheListing {
            boot_epoch: 1,
            next_position: 1,
            complete: Vec::new(),
            partial: Vec::new(),
        };
        state.contents.apply_listing(&listing);
    }
    stores
}

fn engines() -> Upstreams {
    let mut upstreams = Upstreams::default();
    for (hall, port) in HALLS.into_iter().zip(100..) {
        let entry = UpstreamEntry {
            service: "llm".to_owned(),
            software: "v1".to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            hall: hall.to_owned(),
            slots: 24,
            leaving: false,
            cold_left_ms: 0,
            models: vec![("m".to_owned(), 1)],
            started_at_ms: None,
        };
        upstreams.upsert(0, &format!("engine-{hall}"), entry);
    }
    upstreams
}

/// The choice of a box in `hall` for a prompt that contains the shared part.
fn choice_in_hall(stores: &Stores, hall: &str) -> Choice {
    let prompt = Prompt::parse("m", "9000,10", "aa:2500,bb:5000,cc:1500").unwrap();
    let engine = EngineSpec {
        slots: 24,
        memory_tokens: 40_000,
        bytes_per_token: 18_432,
        link_mbps: 130_000.0,
        per_part_sources: true,
    };
    let demand = Demand {
        service: "llm",
        box_short_id: 0,
        hall,
        prompt: Some(&prompt),
        context_group: None,
        weights: None,
        weights_apply_ms: 10_000,
        excludes_overdue: true,
        placement: Placement::RendezvousHash { hall },
        candidates: Candidates::Sampled { seed: 3, hall_boxes: None },
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
            objective_ms: 500,
            objective_missed: false,
            admission_limit: 1.1,
            account_part: 1.0,
            reserved_part: 0.0,
        },
        objective_at_ms: None,
        room: None,
    };
    choose(0, &engines(), stores, Some(&engine), &demand).unwrap()
}

/// The store in which the engine is told to save the shared part.
fn save_store(choice: &Choice) -> Option<String> {
    choice.context.as_ref()?.saves[0].as_ref().map(|target| target.store.clone())
}

/// With only one copy in the fleet, engines of all halls that had evicted the shared part fetched
/// it from the same store and waited for two seconds.
#[test]
fn kept_in_each_hall() {
    let mut stores = stores();
    let north_store = save_store(&choice_in_hall(&stores, "north")).unwrap();
    assert!(north_store.starts_with('n'), "{north_store} is in another hall");
    let shared_part = PartKey::new("1.m", SHARED_PART);
    stores.get_mut(&north_store).unwrap().1.contents.set_tokens(shared_part, SHARED_PART_TOKENS);
    assert_eq!(
        save_store(&choice_in_hall(&stores, "north")),
        None,
        "a store of this hall has it already"
    );
    let south_store = save_store(&choice_in_hall(&stores, "south")).unwrap();
    assert!(south_store.starts_with('s'), "{south_store} is in another hall");
    stores.get_mut(&south_store).unwrap().1.contents.set_tokens(shared_part, SHARED_PART_TOKENS);
    let choice = choice_in_hall(&stores, "south");
    let local_address = stores.get(&south_store).unwrap().0.address.to_string();
    assert_eq!(
        choice.context.unwrap().sources[0],
        PartSource::Local { alternate_address: Some(local_address) }
    );
}
