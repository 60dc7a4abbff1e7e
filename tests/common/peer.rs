//! A simulated box that exchanges messages with a box of a fleet.
#![allow(dead_code, reason = "each test file uses a part")]

use coursestile::clock::now_ms;
use coursestile::ledger::CallKey;
use coursestile::member::{Gossip, Health, Member};
use coursestile::peer_sockets::{PeerSockets, listen};
use coursestile::ticket::{BoxRef, ClusterKey, Ticket};
use coursestile::trace::TraceId;
use coursestile::wire::{Call, CallEnd, Envelope, Message, decode, encode};
use coursestile_standins::fleet::{CLUSTER_KEY, Fleet};
use coursestile_standins::loopback::Network;
use tokio::sync::mpsc;

/// A simulated peer of the first box of a fleet.
pub struct SimulatedPeer {
    pub id: BoxRef,
    pub address: String,
    /// The first box of the fleet.
    pub box_id: BoxRef,
    box_address: String,
    sockets: PeerSockets,
    received: mpsc::Receiver<Vec<u8>>,
    _network: Network,
}

/// The key of the fleet's messages.
pub fn cluster_key() -> ClusterKey {
    let byte_at = |at: usize| u8::from_str_radix(&CLUSTER_KEY[at..at + 2], 16).unwrap();
    std::array::from_fn(|byte| byte_at(2 * byte))
}

impl SimulatedPeer {
    /// Starts to listen for messages of the first box, which does not know this peer yet.
    pub async fn new(fleet: &Fleet) -> Self {
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
            box_id: BoxRef { name: name.to_owned(), incarnation },
            box_address: host,
            sockets: PeerSockets::new(std::collections::BTreeMap::new()),
            _network: network,
        }
    }

    /// Forwards a call whose ticket was issued by the first box.
    pub fn forward(&self, number: u64, key: &str) {
        self.forward_for(&self.box_id, number, key);
    }

    /// Forwards a call whose ticket was issued by `spender`.
    pub fn forward_for(&self, spender: &BoxRef, number: u64, key: &str) {
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
        let spender = spender.clone();
        self.send(Message::Call { number, spender, call: Box::new(call) });
    }

    /// Sends a message to the first box.
    pub fn send(&self, message: Message) {
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
    pub async fn next_call_end(&mut self) -> (u64, CallEnd) {
        loop {
            if let Message::CallEnd { number, end } = self.next_message().await {
                return (number, end);
            }
        }
    }

    /// Waits for the next message.
    pub async fn next_message(&mut self) -> Message {
        let bytes = self.received.recv().await.unwrap();
        decode(&cluster_key(), &bytes).unwrap().message
    }

    /// State of this peer as a member of the first box's hall.
    pub fn member(&self, health: Health) -> Member {
        Member {
            id: self.id.clone(),
            hall: "north".to_owned(),
            region: "home".to_owned(),
            address: self.address.clone(),
            refutations: 0,
            health,
            heir: None,
        }
    }

    /// Makes the first box know this peer with this health.
    pub fn introduce(&self, health: Health) {
        self.send(Message::Gossip(Gossip::Table { members: vec![self.member(health)] }));
    }

    /// A key of the account `petra` under a ticket that this peer issued.
    pub fn issue_key(&self) -> String {
        let expires_at_ms = now_ms() + 60_000;
        let ticket = Ticket { spender: self.id.clone(), expires_at_ms, serial: 1 };
        format!("{}/1", ticket.sign(&cluster_key(), "petra"))
    }
}
