//! Clients that leave requests unfinished at random boxes, or send more than they may, while boxes fail.
//!
//! Only memory, descriptors and life are judged: what the clients get is not. The boxes are so small that
//! the crowds would not fit.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use coursestile_standins::usage::{Queue, descriptors, peak_memory_kb, queued_kb};
use fastrand::Rng;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, timeout};

use crate::world::World;
use crate::{Options, Scenario};

/// Memory and descriptors of a box.
pub const BOX_MEMORY_MB: u64 = 40;
pub const BOX_DESCRIPTORS: u64 = 400;
/// Crowds that send at the same time, and the clients of one.
const CROWDS: u64 = 2;
const CROWD_CLIENTS: std::ops::Range<usize> = 20..350;
/// Time for which the clients of a crowd stay connected, and the pause after it.
const HOLD_MS: std::ops::Range<u64> = 50..2500;
const PAUSE_MS: std::ops::Range<u64> = 10..800;
/// Longest time for which a client sends.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two looks at a box.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Longest body that the configuration allows.
const MAX_BODY_BYTES: usize = 20_000;

/// What boxes held while crowds were sent.
#[derive(Debug, Default)]
pub struct FloodRecord {
    excesses: Vec<String>,
    crowds: usize,
    most_mb: usize,
}

impl FloodRecord {
    /// Boxes that have held more than they may, or have panicked.
    pub fn violations(&self, world: &World) -> Vec<String> {
        let boxes = world.boxes.iter().enumerate();
        let panicked =
            boxes.filter(|(_, started)| started.process.log_text().contains("panicked at"));
        let panics = panicked.map(|(number, _)| format!("box {number} has panicked"));
        self.excesses.iter().cloned().chain(panics).collect()
    }

    /// Number of crowds and most megabytes, if any crowd was sent.
    pub fn outcomes(&self) -> Vec<(String, usize)> {
        let outcomes = [("crowds", self.crowds), ("most MB", self.most_mb)];
        let outcomes = outcomes.into_iter().filter(|_| self.crowds > 0);
        outcomes.map(|(name, count)| (name.to_owned(), count)).collect()
    }
}

/// What each client of a crowd sends.
fn message(rng: &mut Rng, number: usize) -> Vec<u8> {
    let head = format!(
        "POST /safe/ HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: flood-{number}-{}\r\n\
         X-Api-Key: key-1\r\nX-Deadline-Ms: 3000\r\n",
        rng.u64(..)
    );
    let length = rng.usize(1..=MAX_BODY_BYTES);
    let announced = |length: usize, sent: usize| {
        format!("{head}Content-Length: {length}\r\n\r\n{}", "x".repeat(sent))
    };
    let chunked = |size: usize, length: usize| {
        let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
        format!("{head}Transfer-Encoding: chunked\r\n\r\n{}", chunk.repeat(length / size))
    };
    let text = match rng.u8(..8) {
        0 => announced(length, length - 1),
        1 => announced(MAX_BODY_BYTES, MAX_BODY_BYTES),
        2 => chunked(rng.usize(1..20), length),
        3 => chunked(1000, length.max(1000)),
        4 => announced(200_000_000, length),
        5 => chunked(10_000, 50 * MAX_BODY_BYTES),
        6 => format!("{head}X-Long: {}", "x".repeat(rng.usize(..14_000))),
        _ => String::new(),
    };
    text.into_bytes()
}

/// Starts the clients and the task that watches the boxes, if the scenario has them.
pub fn start_clients(
    world: &Arc<World>,
    record: &Arc<Mutex<FloodRecord>>,
    stop: &Arc<AtomicBool>,
    Options { seed, scenario, .. }: Options,
) -> Vec<JoinHandle<()>> {
    if scenario != Scenario::Floods {
        return Vec::new();
    }
    let mut tasks: Vec<_> = (0..CROWDS)
        .map(|crowd| {
            let rng = Rng::with_seed(seed.wrapping_mul(CROWDS).wrapping_add(crowd));
            tokio::spawn(send_crowds(world.clone(), record.clone(), stop.clone(), rng))
        })
        .collect();
    let (world, record, stop) = (world.clone(), record.clone(), stop.clone());
    // Reading the table of sockets blocks.
    tasks.push(tokio::task::spawn_blocking(move || {
        while !stop.load(Ordering::Relaxed) {
            watch(&world, &record);
            std::thread::sleep(WATCH_INTERVAL);
        }
    }));
    tasks
}

async fn send_crowds(
    world: Arc<World>,
    record: Arc<Mutex<FloodRecord>>,
    stop: Arc<AtomicBool>,
    mut rng: Rng,
) {
    while !stop.load(Ordering::Relaxed) {
        let address = &rng.choice(&world.boxes).expect("a box").process.clients;
        let hold = Duration::from_millis(rng.u64(HOLD_MS));
        // All clients of a crowd do the same.
        let kind = rng.fork();
        let mut clients = JoinSet::new();
        for number in 0..rng.usize(CROWD_CLIENTS) {
            let (address, message) = (address.clone(), message(&mut kind.clone(), number));
            clients.spawn(async move {
                let connecting = timeout(SEND_TIMEOUT, TcpStream::connect(&address)).await;
                let Ok(Ok(mut stream)) = connecting else { return };
                let _ = timeout(SEND_TIMEOUT, stream.write_all(&message)).await;
                sleep(hold).await;
            });
        }
        record.lock().expect("no task panics under the lock").crowds += 1;
        while clients.join_next().await.is_some() {}
        sleep(Duration::from_millis(rng.u64(PAUSE_MS))).await;
    }
}

fn watch(world: &World, record: &Mutex<FloodRecord>) {
    for (number, gateway_box) in world.boxes.iter().enumerate() {
        let process = &gateway_box.process;
        let pid = process.pid();
        let Some(peak_kb) = peak_memory_kb(pid) else { continue };
        let all_kb = peak_kb + queued_kb(Queue::UnreadAt, &process.clients);
        let held_mb = usize::try_from(all_kb.div_ceil(1024)).unwrap_or(usize::MAX);
        let open = descriptors(pid);
        let mut record = record.lock().expect("no task panics under the lock");
        record.most_mb = record.most_mb.max(held_mb);
        if held_mb as u64 >= BOX_MEMORY_MB || open > BOX_DESCRIPTORS {
            record.excesses.push(format!(
                "box {number} held {held_mb} MB and {open} descriptors, where {BOX_MEMORY_MB} and \
                 {BOX_DESCRIPTORS} are allowed"
            ));
        }
    }
}
