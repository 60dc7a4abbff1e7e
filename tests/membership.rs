//! Membership in a simulated network with random losses, from fixed seeds, and disconnected
//! halls.

use std::collections::VecDeque;

use coursestile::member::{Gossip, Health, Member};
use coursestile::membership::Membership;
use coursestile::ticket::BoxRef;
use coursestile::view::View;

const STEP_MS: u64 = 100;

/// Boxes in a network that loses messages and can disconnect the halls from each other.
struct Network {
    boxes: Vec<Membership>,
    is_up: Vec<bool>,
    halls_are_cut: bool,
    loss_percent: u64,
    now_ms: u64,
    rng: fastrand::Rng,
}

fn member(number: usize, halls: usize, incarnation: u64) -> Member {
    Member {
        id: BoxRef { name: format!("b{number}"), incarnation },
        hall: format!("h{}", number % halls),
        region: "home".to_owned(),
        address: number.to_string(),
        refutations: 0,
        health: Health::Alive,
        heir: None,
    }
}

impl Network {
    fn new(count: usize, halls: usize, loss_percent: u64, seed: u64) -> Self {
        let seeds = vec!["0".to_owned(), "1".to_owned()];
        let boxes = (0..count)
            .map(|number| {
                Membership::new(member(number, halls, 1), seeds.clone(), seed + number as u64)
            })
            .collect();
        let is_up = vec![true; count];
        let rng = fastrand::Rng::with_seed(seed);
        Self { boxes, is_up, halls_are_cut: false, loss_percent, now_ms: 1000, rng }
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 1000 / STEP_MS {
            self.now_ms += STEP_MS;
            let mut queue: VecDeque<(usize, String, Gossip)> = VecDeque::new();
            for number in 0..self.boxes.len() {
                if self.is_up[number] {
                    let outgoing = self.boxes[number].tick(self.now_ms);
                    queue.extend(
                        outgoing.into_iter().map(|message| (number, message.to, message.gossip)),
                    );
                }
            }
            while let Some((from, to, gossip)) = queue.pop_front() {
                let to: usize = to.parse().unwrap();
                if !self.delivers(from, to) {
                    continue;
                }
                let answers = self.boxes[to].receive(self.now_ms, &from.to_string(), gossip);
                queue.extend(answers.into_iter().map(|message| (to, message.to, message.gossip)));
            }
        }
    }

    fn delivers(&mut self, from: usize, to: usize) -> bool {
        let halls_differ = self.boxes[from].view().me().hall != self.boxes[to].view().me().hall;
        let cut = self.halls_are_cut && halls_differ;
        self.is_up[to] && !cut && self.rng.u64(0..100) >= self.loss_percent
    }

    fn health(&self, at: usize, of: usize) -> Option<Health> {
        self.boxes[at].view().member(&format!("b{of}")).map(|member| member.health)
    }

    /// Pairs of boxes of which the first does not consider the second alive, with the health that
    /// it sees instead.
    fn not_seen_alive(&self) -> Vec<(usize, usize, Option<Health>)> {
        let count = self.boxes.len();
        let pairs =
            (0..count).flat_map(|observer| (0..count).map(move |observed| (observer, observed)));
        let health_pairs =
            pairs.map(|(observer, observed)| (observer, observed, self.health(observer, observed)));
        health_pairs.filter(|(_, _, health)| *health != Some(Health::Alive)).collect()
    }
}

#[test]
fn views_converge() {
    for seed in 0..20 {
        let mut network = Network::new(9, 3, 10, seed);
        network.run(30);
        network.loss_percent = 0;
        network.run(10);
        assert_eq!(network.not_seen_alive(), [], "seed {seed}");
    }
}

#[test]
fn large_fleet() {
    let mut network = Network::new(120, 6, 1, 7);
    network.run(60);
    network.loss_percent = 0;
    network.run(15);
    assert_eq!(network.not_seen_alive(), []);
}

#[test]
fn death_noticed() {
    let mut network = Network::new(9, 3, 5, 3);
    network.run(20);
    network.is_up[4] = false;
    network.run(25);
    let live = (0..9).filter(|number| *number != 4);
    assert!(live.clone().all(|at| network.health(at, 4) == Some(Health::Dead)));
    network.is_up[4] = true;
    network.loss_percent = 0;
    network.run(60);
    assert_eq!(network.not_seen_alive(), [], "a thawed box refutes its death");
}

#[test]
fn cut_heals() {
    let mut network = Network::new(9, 3, 0, 5);
    network.run(20);
    network.halls_are_cut = true;
    network.run(40);
    assert_eq!(network.health(0, 1), Some(Health::Dead));
    assert_eq!(network.health(0, 3), Some(Health::Alive));
    network.halls_are_cut = false;
    network.run(90);
    assert_eq!(network.not_seen_alive(), []);
}

#[test]
fn heirs_followed() {
    let mut network = Network::new(6, 2, 0, 9);
    network.run(20);
    // b0 hands its ledger over to b2, then b2 to b4; both are restarted.
    for (leaver, heir) in [(0, 2), (2, 4)] {
        let heir = network.boxes[heir].view().me().id.clone();
        network.boxes[leaver].leave(Some(heir));
        network.run(10);
        let seeds = vec!["1".to_owned()];
        network.boxes[leaver] = Membership::new(member(leaver, 2, 2), seeds, 77);
        network.run(10);
    }
    let old = BoxRef { name: "b0".to_owned(), incarnation: 1 };
    for at in 0..6 {
        let holder =
            network.boxes[at].view().ledger_holder(&old).map(|member| member.id.name.as_str());
        assert_eq!(holder, Some("b4"), "as b{at} sees it");
    }
}

// When a box that is considered dead leaves and names the heir of its ledger, the heir must be
// accepted. The message was ignored as older than the death, so that nobody knew the ledger's
// holder.
#[test]
fn heir_of_dead() {
    let mut view = View::new(member(0, 1, 1));
    for health in [Health::Alive, Health::Dead] {
        view.merge(1000, Member { health, ..member(1, 1, 1) });
    }
    view.merge(1000, member(2, 1, 1));
    let (leaver, heir) = (member(1, 1, 1), member(2, 1, 1).id);
    view.merge(
        2000,
        Member { health: Health::Leaving, heir: Some(heir.clone()), ..leaver.clone() },
    );
    assert_eq!(view.ledger_holder(&leaver.id).map(|member| &member.id), Some(&heir));
    assert!(!view.member("b1").unwrap().takes_work());
}

#[test]
fn pinged_before_joining() {
    let mut network = Network::new(6, 2, 0, 9);
    network.run(20);
    // b0 hands its ledger over to b2, then b2 to b4; both are restarted.
    for (leaver, heir) in [(0, 2), (2, 4)] {
        let heir = network.boxes[heir].view().me().id.clone();
        network.boxes[leaver].leave(Some(heir));
        network.run(10);
        network.boxes[leaver] = Membership::new(member(leaver, 2, 2), vec!["1".to_owned()], 77);
        // A ping of another box arrives before the restarted box has sent anything.
        let ping = Gossip::Ping { seq: 9, digest: 0, updates: vec![member(4, 2, 1)] };
        network.boxes[leaver].receive(network.now_ms, "4", ping);
        network.run(10);
    }
    let old = BoxRef { name: "b0".to_owned(), incarnation: 1 };
    let unaware = (0..6).filter(|at| network.boxes[*at].view().ledger_holder(&old).is_none());
    assert_eq!(unaware.collect::<Vec<_>>(), Vec::<usize>::new(), "boxes that know no heir");
}

// The first tick of a box must send a join message to a peer. A box that was among its own seeds
// sometimes chose itself, and did not know the ledgers' holders for another second.
#[test]
fn first_step_asks() {
    let seeds = || ["0", "1", "2"].map(str::to_owned).to_vec();
    for seed in 0..20 {
        let mut started = Membership::new(member(0, 1, 1), seeds(), seed);
        let outgoing = started.tick(1000);
        let joins = outgoing.iter().any(|message| matches!(message.gossip, Gossip::Join { .. }));
        assert!(joins, "seed {seed}");
    }
}
