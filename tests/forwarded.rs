//! A call that a box forwards to another one a second time is the same call: it must not run
//! twice, and must not run after a response that says that it has not run.

mod common;

use std::time::Duration;

use common::{run_count, service_call, start_fleet};
use coursestile::clock::now_ms;
use coursestile::ledger::{CallKey, Ledger, Outcome};
use coursestile::member::{Gossip, Health, Member};
use coursestile::peer_sockets::{PeerSockets, listen};
use coursestile::ticket::{BoxRef, ClusterKey, Ticket};
use coursestile::trace::TraceId;
use coursestile::wire::{Call, CallEnd, Envelope, Message, decode, encode};
use coursestile_standins::fleet::{CLUSTER_KEY, Fleet, Plan, Process};
use coursestile_standins::loopback::Network;
use tokio::sync::mpsc;

/// A simulated peer that forwards calls to the first box.
struct Forwarder {
    id: BoxRef,
    address: String,
    spender: BoxRef,
    box_address: String,
    sockets: PeerSockets,
    received: mpsc::Receiver<Vec<u8>>,
    _network: Network,
}

fn cluster_key() -> ClusterKey {
    let byte_at = |at: usize| u8::from_str_radix(&CLUSTER_KEY[at..at + 2], 16).unwrap();
    std::array::from_fn(|byte| byte_at(2 * byte))
}

impl Forwarder {
    async fn new(fleet: &Fleet) -> Self {
        let network = Network::reserve();
        let address = format!("{}.1:7000", network.prefix());
        let status = fleet.status(&fleet.boxes[0]).await.unwrap();
        let (name, incarnation) =
            status["name"].as_str().and_then(|text| text.split_once('#')).unwrap();
        let incarnation = u64::from_str_radix(incarnation, 16).unwrap();
        let host = fleet.boxes[0].process.address.replace(":8000", ":7000");
        Self {
            id: BoxRef { name: "other".to_owned(), incarnation: 1 },
            received: listen(&address).unwrap(),
            address,
            spender: BoxRef { name: name.to_owned(), incarnation },
            box_address: host,
            sockets: PeerSockets::new(std::collections::BTreeMap::new()),
            _network: network,
        }
    }

    fn forward(&self, number: u64, key: &str) {
        let call = Call {
            key: CallKey { account: "petra".to_owned(), key: key.to_owned() },
            ticket_expires_at_ms: now_ms() + 60_000,
            service: "scores".to_owned(),
            method: "POST".to_owned(),
            path: "/app/orders/1".to_owned(),
            content_type: None,
            body: Vec::new(),
            deadline_ms: now_ms() + 20_000,
            trace: TraceId::from_header(None),
        };
        let spender = self.spender.clone();
        self.send(Message::Call { number, spender, call: Box::new(call) });
    }

    fn send(&self, message: Message) {
        let envelope = Envelope {
            from: self.id.clone(),
            reply_to: self.address.clone(),
            to: self.box_address.clone(),
            sent_at_ms: now_ms(),
            config_revision: 0,
            message,
        };
        self.sockets.send(&self.box_address, &encode(&cluster_key(), &envelope).unwrap());
    }

    /// Waits for the end of a call, and returns it with the call's number.
    async fn next_call_end(&mut self) -> (u64, CallEnd) {
        loop {
            let bytes = self.received.recv().await.unwrap();
            let envelope = decode(&cluster_key(), &bytes).unwrap();
            if let Message::CallEnd { number, end } = envelope.message {
                return (number, end);
            }
        }
    }
}

#[tokio::test]
async fn not_run_stays() {
    let fleet = start_fleet(&Plan::one_hall(1, 1, 1)).await;
    let mut forwarder = Forwarder::new(&fleet).await;
    fleet.workers.iter().for_each(Process::kill);
    forwarder.forward(1, "lost");
    let (_, first) = forwarder.next_call_end().await;
    assert_eq!(first.outcome, Outcome::NotRun);
    fleet.workers.iter().for_each(Process::restart);
    fleet.wait_for(&format!("{}/runs", fleet.workers[0].url())).await;
    tokio::time::sleep(Duration::from_millis(1200)).await;
    // If this end were lost, the peer would forward the call again under its number.
    forwarder.forward(1, "lost");
    assert_eq!(forwarder.next_call_end().await, (1, first));
    assert_eq!(run_count(&fleet, "lost").await, 0);
    // The client was told that the call has not run, and makes it again.
    forwarder.forward(2, "lost");
    let (number, second) = forwarder.next_call_end().await;
    assert!(matches!((number, second.outcome), (2, Outcome::Answered(_))));
    assert_eq!(run_count(&fleet, "lost").await, 1);
}

#[tokio::test]
async fn runs_once() {
    let mut plan = Plan::one_hall(1, 1, 1);
    plan.worker_args = vec![("work-ms".to_owned(), "600".to_owned())];
    let fleet = start_fleet(&plan).await;
    let mut forwarder = Forwarder::new(&fleet).await;
    for _ in 0..3 {
        forwarder.forward(1, "again");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let (_, first) = forwarder.next_call_end().await;
    assert!(matches!(first.outcome, Outcome::Answered(_)), "{first:?}");
    forwarder.forward(1, "again");
    assert_eq!(forwarder.next_call_end().await, (1, first));
    assert_eq!(run_count(&fleet, "again").await, 1);
}

// A box that takes over a ledger must announce it. When the previous holder stopped before it had
// told anyone, the other boxes went on forwarding calls to that holder.
#[tokio::test]
async fn heir_speaks() {
    let fleet = start_fleet(&Plan::one_hall(2, 1, 1)).await;
    let leaver = Forwarder::new(&fleet).await;
    let member = Member {
        id: leaver.id.clone(),
        hall: "north".to_owned(),
        region: "home".to_owned(),
        address: leaver.address.clone(),
        refutations: 0,
        health: Health::Alive,
        heir: None,
    };
    leaver.send(Message::Gossip(Gossip::Join { member }));
    let boxes: Vec<_> = fleet.boxes.iter().collect();
    fleet.wait_for_revision(&boxes, 4, 3).await;
    let ticket = Ticket { spender: leaver.id.clone(), expires_at_ms: now_ms() + 60_000, serial: 1 };
    let key = format!("{}/1", ticket.sign(&cluster_key(), "petra"));
    let post_order = |at: usize| {
        let request =
            service_call(&fleet, at, "petra-key", "/orders/1").header("idempotency-key", &key);
        request.header("x-timeout-ms", 8000).send()
    };
    // An empty ledger is not taken over.
    let mut ledger = Ledger::default();
    let other_key = CallKey { account: "petra".to_owned(), key: "other".to_owned() };
    ledger.try_spend_key(now_ms(), &other_key, 0, now_ms() + 60_000);
    let ledger = ledger.handover_copy();
    let (of, ledger) = (leaver.id.clone(), Box::new(ledger));
    leaver.send(Message::Handover { of, ledger });
    for at in [0, 1] {
        // A call whose key is not in a closed ledger has not run.
        let response = post_order(at).await.unwrap();
        assert_eq!(response.headers()["x-coursestile-ran"], "not run", "asked at {at}");
    }
}
