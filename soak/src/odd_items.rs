//! Odd items in the metadata store: upstreams' entries and items of the gateway that no sound program
//! writes, drawn by seed, and removed or replaced by sound ones later.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coursestile_standins::site::service_entry;
use serde_json::Value;
use tokio::time::sleep_until;

use crate::world::World;

/// Distinguishes the random numbers of these items from those of the steps.
const SEED_MASK: u64 = 0x0dd1_7e35;
/// Time between two items, and time for which an item stays. Some are there together.
const INTERVAL_MS: std::ops::Range<u64> = 200..2500;
const STAY_MS: std::ops::Range<u64> = 50..4000;
/// One item in this many is at a key of the gateway.
const OWN_ONE_IN: u32 = 4;
/// Service of the entries. No route leads to it.
const SERVICE: &str = "odd";
/// Depth of nested values, the last of which overflows the stack of a parser without a limit.
const DEPTHS: [usize; 3] = [100, 5000, 100_000];
/// Number of leading bytes that no release writes: a number that never ends.
const UNREADABLE_BYTES: usize = 12;
/// Size of a huge text in an entry.
const HUGE_BYTES: usize = 300_000;
/// Ends of the ids of entries.
const ID_ENDS: [&str; 8] = ["", " ", "&x=1", "#", "%zz", "\"'", "\n", "/a/b"];
/// Keys of the gateway, and of operators. The gateway writes the first ones anew.
const OTHER_KEYS: [&str; 8] = [
    "coursestile/software",
    "coursestile/software",
    "coursestile/members",
    "coursestile/quarantine",
    "coursestile/quarantined-parts",
    "coursestile/odd",
    "coursestile/lease/odd",
    "op/version/odd",
];
/// Fields of entries, each with odd values as JSON text.
const ODD_FIELDS: [(&str, &[&str]); 8] = [
    ("cold_left_ms", &["-1", "1e999", "1e12", "1e300", "18446744073709551615", "null", "\"5\""]),
    ("slots", &["0", "-1", "4294967295", "4294967296", "18446744073709551615", "0.5"]),
    ("seq", &["0", "-1", "18446744073709551615", "18446744073709551616"]),
    ("born", &["0", "-1", "18446744073709551615", "1e300", "null"]),
    ("addr", &["\"127.0.0.1:0\"", "\"127.0.0.1:65536\"", "\"odd\"", "\"\"", "7"]),
    ("state", &["\"odd\"", "null", "[]"]),
    ("version", &["\"\"", "null", "\"a b\\n\""]),
    ("models", &["null", "[[]]", "[{\"name\":\"odd\",\"version\":18446744073709551615}]"]),
];

/// Writes items and removes them again until `length_ms` after `started_at`.
pub async fn write(world: Arc<World>, seed: u64, length_ms: u64, started_at: Instant) {
    let mut rng = fastrand::Rng::with_seed(seed ^ SEED_MASK);
    let mut writing = Vec::new();
    let mut at_ms = rng.u64(INTERVAL_MS);
    while at_ms < length_ms {
        let (world, item_seed) = (world.clone(), rng.u64(..));
        writing.push(tokio::spawn(async move {
            let mut rng = fastrand::Rng::with_seed(item_seed);
            let until_ms = at_ms + rng.u64(STAY_MS);
            sleep_until((started_at + Duration::from_millis(at_ms)).into()).await;
            let key = if rng.u32(..OWN_ONE_IN) == 0 {
                write_other(&world, &mut rng)
            } else {
                Some(write_entry(&world, &mut rng, at_ms))
            };
            sleep_until((started_at + Duration::from_millis(until_ms)).into()).await;
            let Some(key) = key else { return };
            if rng.bool() {
                let sound = service_entry(SERVICE, "127.0.0.1:9", "ready");
                world.site.metadata.put(&key, sound.to_string().as_bytes(), 0);
                sleep_until((started_at + Duration::from_millis(until_ms * 2 - at_ms)).into())
                    .await;
            }
            world.site.metadata.remove(&key);
        }));
        at_ms += rng.u64(INTERVAL_MS);
    }
    for item in writing {
        // A panic here is an error of the soak test itself.
        item.await.expect("an odd item");
    }
}

/// Writes bytes that no release writes to a key that is not an upstream's; returns the key if it is to be
/// removed again.
fn write_other(world: &World, rng: &mut fastrand::Rng) -> Option<String> {
    let key = OTHER_KEYS[rng.usize(..OTHER_KEYS.len())];
    let mut bytes = [0xff; 200];
    rng.fill(&mut bytes[UNREADABLE_BYTES..]);
    let length = UNREADABLE_BYTES + rng.usize(..bytes.len() - UNREADABLE_BYTES);
    if rng.u32(..4) == 0 {
        world.site.metadata.put_undecodable(key);
    } else {
        world.site.metadata.put(key, &bytes[..length], 0);
    }
    key.contains("odd").then(|| key.to_owned())
}

/// Writes an upstream's entry; returns its key.
fn write_entry(world: &World, rng: &mut fastrand::Rng, at_ms: u64) -> String {
    let key = format!("servers/odd-{at_ms}{}", ID_ENDS[rng.usize(..ID_ENDS.len())]);
    if rng.u32(..8) == 0 {
        world.site.metadata.put_undecodable(&key);
    } else {
        world.site.metadata.put(&key, &entry(rng), 0);
    }
    key
}

fn entry(rng: &mut fastrand::Rng) -> Vec<u8> {
    let depth = DEPTHS[rng.usize(..DEPTHS.len())];
    let nested = || "[".repeat(depth) + &"]".repeat(depth);
    match rng.u32(..8) {
        0 => "[".repeat(depth).into_bytes(),
        1 => with_field("odd", &nested()).into_bytes(),
        2 => with_field("models", &nested()).into_bytes(),
        3 => {
            let mut bytes = vec![0; rng.usize(..400)];
            rng.fill(&mut bytes);
            bytes
        }
        4 => ["", "null", "17", "\"odd\"", "{}"][rng.usize(..5)].into(),
        5 => {
            let field = ["version", "zone", "service", "odd"][rng.usize(..4)];
            with_field(field, &format!("\"{}\"", "x".repeat(HUGE_BYTES))).into_bytes()
        }
        _ => {
            let (field, values) = ODD_FIELDS[rng.usize(..ODD_FIELDS.len())];
            with_field(field, values[rng.usize(..values.len())]).into_bytes()
        }
    }
}

/// A sound entry, except that one field has a value that is given as JSON text.
fn with_field(field: &str, value: &str) -> String {
    let mut entry = service_entry(SERVICE, "127.0.0.1:9", "ready");
    entry[field] = Value::Null;
    let text = entry.to_string();
    text.replacen(&format!("\"{field}\":null"), &format!("\"{field}\":{value}"), 1)
}
