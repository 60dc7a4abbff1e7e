//! Who is alive: probes of constant cost, with news carried along.
//!
//! Each period a box probes one other box, mostly of its own hall, and sends
//! the newest member states along. A box that answers neither directly nor
//! through others becomes suspect, and later dead. Membership only guides
//! where to send; nothing that must hold rests on it. A box that was taken for
//! dead and comes back refutes that with a higher beat.

use std::collections::{BTreeMap, HashMap};

use crate::member::{Gossip, Health, Member, Outgoing};
use crate::ticket::BoxRef;

/// Time between probes.
pub const PROBE_PERIOD_MS: u64 = 1000;
/// Time until others are asked to probe.
const DIRECT_TIMEOUT_MS: u64 = 400;
/// Time until an unanswered probe makes its target suspect.
const PROBE_TIMEOUT_MS: u64 = 900;
/// Time until a suspect counts as dead.
const SUSPECT_TIMEOUT_MS: u64 = 3000;
/// Time until a leaving member counts as dead.
const LEAVING_TIMEOUT_MS: u64 = 120_000;
/// Time until a dead member is forgotten.
const FORGET_AFTER_MS: u64 = 900_000;
/// Boxes asked to probe in one's place.
const INDIRECT_PROBES: usize = 2;
/// Longest chain of heirs that is followed.
const MAX_HEIRS: usize = 16;
/// Member states carried by one message.
const MAX_UPDATES: usize = 6;
/// How often a news item is sent along.
const MAX_SENDS: u32 = 8;
/// Every so many probes one goes to another hall.
const FAR_PROBE_EVERY: u64 = 4;
/// Every so many probes one goes to a dead member, to notice a healed cut.
const DEAD_PROBE_EVERY: u64 = 5;
/// Shortest time between comparisons with peers whose view differs.
const SYNC_PERIOD_MS: u64 = 2000;
/// Time in which news is left to spread by itself.
const NEWS_TIME_MS: u64 = 3000;
/// Buckets of the table that are compared by digest.
const SYNC_BUCKETS: usize = 32;
/// Differing buckets answered in one message.
const MAX_SYNCED_BUCKETS: usize = 4;
/// Every so many probes one goes to a seed, so that islands meet.
const SEED_PROBE_EVERY: u64 = 10;
/// Members in one message of a table transfer.
pub const TABLE_CHUNK: usize = 64;

struct Known {
    member: Member,
    since_ms: u64,
    sends_left: u32,
}

/// An incarnation that stopped as planned and was replaced.
struct Departed {
    member: Member,
    since_ms: u64,
}

struct Probe {
    name: String,
    sent_at_ms: u64,
    relayed: bool,
}

struct Relay {
    to: String,
    seq: u64,
    expires_at_ms: u64,
}

/// A box's view of all boxes.
pub struct Membership {
    me: Member,
    others: BTreeMap<String, Known>,
    departed: BTreeMap<BoxRef, Departed>,
    seeds: Vec<String>,
    probes: HashMap<u64, Probe>,
    relays: HashMap<u64, Relay>,
    order: Vec<String>,
    next_probe_at_ms: u64,
    next_sync_at_ms: u64,
    next_seq: u64,
    probes_sent: u64,
    rng: fastrand::Rng,
}

impl Membership {
    /// Starts with a view of `me` alone; `seeds` are asked for the others.
    #[must_use]
    pub fn new(me: Member, seeds: Vec<String>, seed: u64) -> Self {
        Self {
            me,
            others: BTreeMap::new(),
            departed: BTreeMap::new(),
            seeds,
            probes: HashMap::new(),
            relays: HashMap::new(),
            order: Vec::new(),
            next_probe_at_ms: 0,
            next_sync_at_ms: 0,
            next_seq: 1,
            probes_sent: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// This box.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// All boxes known, this one first.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.me).chain(self.others.values().map(|known| &known.member))
    }

    /// The member called `name`.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members().find(|member| member.id.name == name)
    }

    /// Boxes of `hall` that take work, this one among them.
    #[must_use]
    pub fn hall(&self, hall: &str) -> Vec<&Member> {
        self.members().filter(|member| member.hall == hall && member.takes_work()).collect()
    }

    /// The box that answers for the ledger of `spender`: itself, or the last of
    /// its heirs.
    #[must_use]
    pub fn answers_for(&self, spender: &BoxRef) -> Option<&Member> {
        let mut current = spender;
        for _ in 0..MAX_HEIRS {
            let member = self.member(&current.name).filter(|member| member.id == *current);
            let departed = self.departed.get(current).map(|departed| &departed.member);
            let found = member.or(departed)?;
            match &found.heir {
                Some(heir) => current = heir,
                None => return Some(found).filter(|member| member.health != Health::Dead),
            }
        }
        None
    }

    /// Announces a planned stop, and who answers for the ledger.
    pub fn leave(&mut self, heir: Option<BoxRef>) {
        self.me.health = Health::Leaving;
        self.me.heir = heir;
    }

    /// Does what is due.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Outgoing> {
        let mut outgoing = self.relay_late_probes(now_ms);
        self.suspect_unanswered(now_ms);
        self.age(now_ms);
        if now_ms >= self.next_probe_at_ms {
            self.next_probe_at_ms = now_ms + PROBE_PERIOD_MS;
            outgoing.extend(self.probe_next(now_ms));
            outgoing.extend(self.join_seed());
        }
        outgoing
    }

    /// Takes a message from a peer that listens at `from`.
    pub fn receive(&mut self, now_ms: u64, from: &str, gossip: Gossip) -> Vec<Outgoing> {
        match gossip {
            Gossip::Ping { seq, digest, updates } => {
                self.merge_all(now_ms, updates);
                let mut outgoing = vec![self.ack(from, seq)];
                outgoing.extend(self.sync(now_ms, from, digest));
                outgoing
            }
            Gossip::Ack { seq, digest, updates } => {
                self.merge_all(now_ms, updates);
                let mut outgoing = self.acknowledge(seq);
                outgoing.extend(self.sync(now_ms, from, digest));
                outgoing
            }
            Gossip::PingReq { seq, target, updates } => {
                self.merge_all(now_ms, updates);
                self.relay(now_ms, from, seq, &target)
            }
            Gossip::Compare { digests } => self.differing(from, &digests),
            Gossip::Join { member } => {
                self.merge(now_ms, member);
                self.table(from)
            }
            Gossip::Table { members } => {
                self.merge_all(now_ms, members);
                Vec::new()
            }
        }
    }

    fn probe_next(&mut self, now_ms: u64) -> Option<Outgoing> {
        self.probes_sent += 1;
        let name = if self.probes_sent.is_multiple_of(DEAD_PROBE_EVERY) {
            self.pick(|_, member| member.health == Health::Dead)
        } else if self.probes_sent.is_multiple_of(FAR_PROBE_EVERY) {
            self.pick(|me, member| member.hall != me.hall && member.health != Health::Dead)
        } else {
            None
        };
        let name = name.or_else(|| self.next_in_order())?;
        let target = self.others.get(&name)?.member.clone();
        let to = target.address.clone();
        let seq = self.take_seq();
        self.probes.insert(seq, Probe { name, sent_at_ms: now_ms, relayed: false });
        let mut updates = self.updates();
        // A box learns here that it is suspected, so that it can refute that.
        if target.health != Health::Alive {
            updates.push(target);
        }
        let digest = self.digest();
        Some(Outgoing { to, gossip: Gossip::Ping { seq, digest, updates } })
    }

    fn pick(&mut self, wanted: impl Fn(&Member, &Member) -> bool) -> Option<String> {
        let others = self.others.values().map(|known| &known.member);
        let fit: Vec<_> = others.filter(|member| wanted(&self.me, member)).collect();
        let index = self.rng.usize(..fit.len().max(1));
        fit.get(index).map(|member| member.id.name.clone())
    }

    /// Walks through the hall in a random order, so that each member is
    /// probed within a bounded time.
    fn next_in_order(&mut self) -> Option<String> {
        while let Some(name) = self.order.pop() {
            let known = self.others.get(&name);
            if known.is_some_and(|known| known.member.takes_work()) {
                return Some(name);
            }
        }
        let live = self.others.values().map(|known| &known.member);
        let live = live.filter(|member| member.takes_work());
        let (near, far): (Vec<_>, Vec<_>) = live.partition(|member| member.hall == self.me.hall);
        let next = if near.is_empty() { far } else { near };
        self.order = next.iter().map(|member| member.id.name.clone()).collect();
        self.rng.shuffle(&mut self.order);
        self.order.pop()
    }

    fn join_seed(&mut self) -> Option<Outgoing> {
        let to = self.seeds.get(self.rng.usize(..self.seeds.len().max(1)))?.clone();
        if to == self.me.address {
            return None;
        }
        let alone = self.others.values().all(|known| known.member.health == Health::Dead);
        if alone {
            let member = self.me.clone();
            return Some(Outgoing { to, gossip: Gossip::Join { member } });
        }
        let due = self.probes_sent.is_multiple_of(SEED_PROBE_EVERY);
        due.then(|| {
            let (seq, digest, updates) = (self.take_seq(), self.digest(), self.updates());
            Outgoing { to, gossip: Gossip::Ping { seq, digest, updates } }
        })
    }

    fn relay_late_probes(&mut self, now_ms: u64) -> Vec<Outgoing> {
        let due =
            |probe: &&mut Probe| !probe.relayed && now_ms >= probe.sent_at_ms + DIRECT_TIMEOUT_MS;
        let mut late = Vec::new();
        for probe in self.probes.values_mut() {
            if due(&probe) {
                probe.relayed = true;
                late.push(probe.name.clone());
            }
        }
        let mut outgoing = Vec::new();
        for name in late {
            outgoing.extend(self.ask_others(&name));
        }
        outgoing
    }

    fn ask_others(&mut self, name: &str) -> Vec<Outgoing> {
        let Some(target) = self.others.get(name).map(|known| known.member.address.clone()) else {
            return Vec::new();
        };
        let found = self.probes.iter().find(|(_, probe)| probe.name == name);
        let Some(seq) = found.map(|(seq, _)| *seq) else {
            return Vec::new();
        };
        let live = self.others.values().map(|known| &known.member);
        let live = live.filter(|member| member.id.name != name && member.takes_work());
        let mut helpers: Vec<_> = live.map(|member| member.address.clone()).collect();
        self.rng.shuffle(&mut helpers);
        helpers.truncate(INDIRECT_PROBES);
        let updates = self.updates();
        let gossip = Gossip::PingReq { seq, target, updates };
        helpers.into_iter().map(|to| Outgoing { to, gossip: gossip.clone() }).collect()
    }

    fn relay(&mut self, now_ms: u64, from: &str, seq: u64, target: &str) -> Vec<Outgoing> {
        let own_seq = self.take_seq();
        let expires_at_ms = now_ms + PROBE_TIMEOUT_MS;
        self.relays.insert(own_seq, Relay { to: from.to_owned(), seq, expires_at_ms });
        let updates = self.updates();
        let gossip = Gossip::Ping { seq: own_seq, digest: self.digest(), updates };
        vec![Outgoing { to: target.to_owned(), gossip }]
    }

    fn ack(&mut self, to: &str, seq: u64) -> Outgoing {
        let updates = self.updates();
        let gossip = Gossip::Ack { seq, digest: self.digest(), updates };
        Outgoing { to: to.to_owned(), gossip }
    }

    fn digest(&self) -> u64 {
        self.members().map(Member::digest).fold(0, u64::wrapping_add)
    }

    /// Compares the table with a peer whose view differs, when no news under
    /// way explains that: views converge whatever was lost.
    fn sync(&mut self, now_ms: u64, to: &str, digest: u64) -> Option<Outgoing> {
        let news = self.others.values().any(|known| now_ms < known.since_ms + NEWS_TIME_MS);
        if news || now_ms < self.next_sync_at_ms || digest == self.digest() {
            return None;
        }
        self.next_sync_at_ms = now_ms + SYNC_PERIOD_MS;
        let gossip = Gossip::Compare { digests: self.bucket_digests() };
        Some(Outgoing { to: to.to_owned(), gossip })
    }

    fn bucket_digests(&self) -> Vec<u64> {
        let mut digests = vec![0_u64; SYNC_BUCKETS];
        for member in self.members() {
            let digest = &mut digests[member.bucket(SYNC_BUCKETS)];
            *digest = digest.wrapping_add(member.digest());
        }
        digests
    }

    /// The members of some buckets in which a peer's view differs.
    fn differing(&mut self, to: &str, digests: &[u64]) -> Vec<Outgoing> {
        let own = self.bucket_digests();
        let differ = |bucket: &usize| digests.get(*bucket).is_some_and(|one| *one != own[*bucket]);
        let mut buckets: Vec<_> = (0..SYNC_BUCKETS).filter(differ).collect();
        self.rng.shuffle(&mut buckets);
        buckets.truncate(MAX_SYNCED_BUCKETS);
        let in_buckets = |one: &&Member| buckets.contains(&one.bucket(SYNC_BUCKETS));
        let members = self.members().filter(in_buckets).cloned().collect();
        vec![Outgoing { to: to.to_owned(), gossip: Gossip::Table { members } }]
    }

    fn acknowledge(&mut self, seq: u64) -> Vec<Outgoing> {
        if let Some(relay) = self.relays.remove(&seq) {
            return vec![self.ack(&relay.to, relay.seq)];
        }
        self.probes.remove(&seq);
        Vec::new()
    }

    fn suspect_unanswered(&mut self, now_ms: u64) {
        let mut lost = Vec::new();
        self.probes.retain(|_, probe| {
            let waits = now_ms < probe.sent_at_ms + PROBE_TIMEOUT_MS;
            if !waits {
                lost.push(probe.name.clone());
            }
            waits
        });
        for name in lost {
            let known = self.others.get(&name).map(|known| &known.member);
            if let Some(member) = known.filter(|member| member.health == Health::Alive) {
                let suspect = Member { health: Health::Suspect, ..member.clone() };
                self.merge(now_ms, suspect);
            }
        }
        self.relays.retain(|_, relay| relay.expires_at_ms > now_ms);
    }

    fn age(&mut self, now_ms: u64) {
        for known in self.others.values_mut() {
            let timeout_ms = match known.member.health {
                Health::Suspect => SUSPECT_TIMEOUT_MS,
                Health::Leaving => LEAVING_TIMEOUT_MS,
                Health::Alive | Health::Dead => continue,
            };
            if now_ms >= known.since_ms + timeout_ms {
                known.member.health = Health::Dead;
                known.since_ms = now_ms;
                known.sends_left = MAX_SENDS;
            }
        }
        self.others.retain(|_, known| {
            known.member.health != Health::Dead || now_ms < known.since_ms + FORGET_AFTER_MS
        });
        self.departed.retain(|_, departed| now_ms < departed.since_ms + FORGET_AFTER_MS);
    }

    fn merge_all(&mut self, now_ms: u64, members: Vec<Member>) {
        for member in members {
            self.merge(now_ms, member);
        }
    }

    /// Takes what is said of a member, if it is newer than what is known.
    pub fn merge(&mut self, now_ms: u64, member: Member) {
        if member.id.name == self.me.id.name {
            self.refute(&member);
            if member.id.incarnation < self.me.id.incarnation {
                self.depart(now_ms, member);
            }
            return;
        }
        let known = self.others.get(&member.id.name).map(|known| &known.member);
        if let Some(known) = known.filter(|known| known.rank() >= member.rank()) {
            if known.id != member.id {
                self.depart(now_ms, member);
            }
            return;
        }
        let name = member.id.name.clone();
        let id = member.id.clone();
        let news = Known { member, since_ms: now_ms, sends_left: MAX_SENDS };
        let replaced = self.others.insert(name, news);
        if let Some(replaced) = replaced.filter(|replaced| replaced.member.id != id) {
            self.depart(now_ms, replaced.member);
        }
    }

    /// Remembers who keeps the ledger of a replaced incarnation.
    fn depart(&mut self, now_ms: u64, member: Member) {
        if member.heir.is_some() {
            let departed = Departed { member, since_ms: now_ms };
            self.departed.entry(departed.member.id.clone()).or_insert(departed);
        }
    }

    fn refute(&mut self, rumour: &Member) {
        let mine = rumour.id.incarnation == self.me.id.incarnation;
        if mine && rumour.rank() > self.me.rank() {
            self.me.beat = rumour.beat + 1;
        }
    }

    /// This box's state and the newest ones of others.
    fn updates(&mut self) -> Vec<Member> {
        let mut updates = vec![self.me.clone()];
        let mut fresh: Vec<_> =
            self.others.values_mut().filter(|known| known.sends_left > 0).collect();
        fresh.sort_by_key(|known| std::cmp::Reverse(known.sends_left));
        for known in fresh.into_iter().take(MAX_UPDATES - 1) {
            known.sends_left -= 1;
            updates.push(known.member.clone());
        }
        updates
    }

    fn table(&self, to: &str) -> Vec<Outgoing> {
        let departed = self.departed.values().map(|departed| &departed.member);
        let all: Vec<_> = self.members().chain(departed).cloned().collect();
        let chunks = all.chunks(TABLE_CHUNK);
        chunks
            .map(|chunk| Gossip::Table { members: chunk.to_vec() })
            .map(|gossip| Outgoing { to: to.to_owned(), gossip })
            .collect()
    }

    fn take_seq(&mut self) -> u64 {
        self.next_seq += 1;
        self.next_seq
    }
}
