//! Connections to peers that end, as when their boxes are killed.

use std::collections::BTreeMap;
use std::io::{Read as _, Write as _};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use coursestile::peer_sockets::{PeerSockets, listen};
use fastrand::Rng;

/// What a pull socket sends first.
const PULL_GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 0x51, 0, 0];
/// What a push socket sends first.
const PUSH_GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 0x50, 0, 0];
const PEERS: u64 = 24;
const STRESS: Duration = Duration::from_secs(6);

/// Reads for up to 4 ms, or not at all, and ends. What was not read resets the connection.
fn serve_briefly(mut stream: TcpStream, mut rng: Rng, received: &AtomicUsize) {
    let until = Instant::now() + Duration::from_micros(rng.u64(0..4000));
    let _ = stream.write_all(&PULL_GREETING);
    let _ = stream.set_read_timeout(Some(Duration::from_micros(300)));
    let reads = rng.bool();
    let mut buffer = vec![0; 65_536];
    while Instant::now() < until {
        if reads {
            received.fetch_add(stream.read(&mut buffer).unwrap_or_default(), Ordering::Relaxed);
        } else {
            std::thread::sleep(Duration::from_micros(300));
        }
    }
    if rng.bool() {
        let _ = stream.shutdown(Shutdown::Both);
    }
}

/// A peer whose connections end all the time.
fn start_failing_peer(seed: u64, over: Arc<AtomicBool>, received: Arc<AtomicUsize>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        let mut rng = Rng::with_seed(seed);
        while !over.load(Ordering::Relaxed) {
            if let Ok((stream, _)) = listener.accept() {
                let (rng, received) = (rng.fork(), received.clone());
                std::thread::spawn(move || serve_briefly(stream, rng, &received));
            }
        }
    });
    address
}

/// A box that closed a connection, since its peer had gone silent, while connections of peers broke,
/// ended with all its requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn closed_while_breaking() {
    let (over, received) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let addresses: Vec<String> =
        (0..PEERS).map(|seed| start_failing_peer(seed, over.clone(), received.clone())).collect();
    let sockets = PeerSockets::new(BTreeMap::new());
    let mut rng = Rng::with_seed(1);
    let until = Instant::now() + STRESS;
    while Instant::now() < until {
        for address in &addresses {
            sockets.send(address, &[7; 300]);
            if rng.u32(0..30) == 0 {
                sockets.redial(address);
            }
        }
        tokio::time::sleep(Duration::from_micros(rng.u64(0..300))).await;
    }
    over.store(true, Ordering::Relaxed);
    assert!(received.load(Ordering::Relaxed) > 0, "messages arrive meanwhile");
}

/// The listening side bears peers that break off as well, also within a message.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn listening_while_breaking() {
    let address = {
        let probe = TcpListener::bind("127.0.0.1:0").unwrap();
        probe.local_addr().unwrap().to_string()
    };
    let mut received = listen(&address).unwrap();
    let threads: Vec<_> = (0..8)
        .map(|seed| {
            let address = address.clone();
            std::thread::spawn(move || break_off_often(&address, Rng::with_seed(seed)))
        })
        .collect();
    let mut count = 0;
    while threads.iter().any(|thread| !thread.is_finished()) {
        let next = tokio::time::timeout(Duration::from_millis(100), received.recv()).await;
        count += usize::from(next.is_ok());
    }
    assert!(count > 0, "messages arrive meanwhile");
}

/// Sends whole messages and parts of messages on one connection after the other, each of which ends
/// by a close or a reset.
fn break_off_often(address: &str, mut rng: Rng) {
    let until = Instant::now() + STRESS / 2;
    while Instant::now() < until {
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        let _ = stream.write_all(&PUSH_GREETING);
        for _ in 0..rng.u32(0..20) {
            let _ = stream.write_all(&[0, 0, 0, 0, 0, 0, 0, 4, 1, 2, 3, 4]);
        }
        let _ = stream.write_all(&[0, 0, 0, 0, 0, 0, 0, 9][..rng.usize(0..8)]);
        if rng.bool() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Messages arrive whole and in order, also large ones, and again after the connection was closed.
#[tokio::test]
async fn received_in_order() {
    let address = {
        let probe = TcpListener::bind("127.0.0.1:0").unwrap();
        probe.local_addr().unwrap().to_string()
    };
    let mut received = listen(&address).unwrap();
    let sockets = PeerSockets::new(BTreeMap::new());
    for round in 0..3_u8 {
        for number in 0..50_u8 {
            let length = if number == 25 { 3 << 20 } else { 10 };
            let mut message = vec![number; length];
            message[0] = round;
            sockets.send(&address, &message);
        }
        for number in 0..50_u8 {
            let next = tokio::time::timeout(Duration::from_secs(10), received.recv()).await;
            let message = next.expect("arrives in time").unwrap();
            assert_eq!((message[0], message[9]), (round, number));
        }
        sockets.redial(&address);
    }
}
