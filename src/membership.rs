//! Failure detection by probes of constant cost, with gossip in their messages.
//!
//! In each period, a box probes one other box, usually in its own hall, and appends the latest
//! member states. A box that answers neither directly nor through other boxes becomes suspect, and
//! later dead. Membership only decides where messages are sent; no guarantee depends on it. A box
//! that was considered dead and returns refutes this with a higher refutation counter.

use std::collections::HashMap;

use crate::member::{Gossip, Health, Member, Outgoing};
use crate::ticket::BoxRef;
use crate::view::{SYNC_BUCKETS, View};

/// Interval between probes.
pub const PROBE_PERIOD_MS: u64 = 1000;
/// Time after which other boxes are asked to probe the target.
const DIRECT_TIMEOUT_MS: u64 = 400;
/// Time after which the target of an unanswered probe becomes suspect.
const PROBE_TIMEOUT_MS: u64 = 900;
/// Number of boxes that are asked to probe a target indirectly.
const INDIRECT_PROBES: usize = 2;
/// One in this many probes goes to another hall.
const OTHER_HALL_PROBE_EVERY: u64 = 4;
/// One in this many probes goes to a dead member, to detect that a network partition has ended.
const DEAD_PROBE_EVERY: u64 = 5;
/// Minimum interval between comparisons with peers whose view differs.
const SYNC_PERIOD_MS: u64 = 2000;
/// Maximum number of differing buckets in one reply.
const MAX_SYNCED_BUCKETS: usize = 4;
/// One in this many probes goes to a seed, so that separate clusters merge.
const SEED_PROBE_EVERY: u64 = 10;
/// Join requests after which a box assumes that no established member is there to answer. If one
/// seed in three is down, all of them reach it once in 240 starts.
const MAX_JOIN_REQUESTS: u32 = 5;
/// Sequence number of heartbeats, which no probe uses.
const HEARTBEAT_SEQ: u64 = 0;
/// Number of peers that are asked at once which box holds a ledger.
const HEIR_QUERY_PEERS: usize = 3;
/// Maximum number of members in one message of a table transfer.
pub const MAX_TABLE_MEMBERS: usize = 64;

struct Probe {
    name: String,
    sent_at_ms: u64,
    is_indirect: bool,
}

struct PeerProbe {
    requester: String,
    seq: u64,
    expires_at_ms: u64,
}

/// A box's view of all boxes, and the probes that keep it up to date.
pub struct Membership {
    view: View,
    seeds: Vec<String>,
    probes: HashMap<u64, Probe>,
    /// Probes sent on behalf of peers.
    peer_probes: HashMap<u64, PeerProbe>,
    /// Members of the hall that are still to be probed in this round.
    probe_order: Vec<String>,
    /// Whether a peer has sent its whole table. Only the whole table includes the heirs of
    /// incarnations that were replaced earlier.
    joined: bool,
    join_requests: u32,
    next_probe_at_ms: u64,
    next_sync_at_ms: u64,
    next_seq: u64,
    probes_sent: u64,
    rng: fastrand::Rng,
}

impl Membership {
    /// Creates a membership that knows only `me`; `seeds` are asked for the other members.
    #[must_use]
    pub fn new(me: Member, mut seeds: Vec<String>, seed: u64) -> Self {
        seeds.retain(|seed| *seed != me.address);
        Self {
            view: View::new(me),
            seeds,
            probes: HashMap::new(),
            peer_probes: HashMap::new(),
            probe_order: Vec::new(),
            joined: false,
            join_requests: 0,
            next_probe_at_ms: 0,
            next_sync_at_ms: 0,
            next_seq: 1,
            probes_sent: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// The current view.
    #[must_use]
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Merges the state of a member.
    pub fn merge(&mut self, now_ms: u64, member: Member) {
        self.view.merge(now_ms, member);
    }

    /// Announces a planned stop and the heir, which is the box that takes over this box's ledger.
    pub fn leave(&mut self, heir: Option<BoxRef>) {
        self.view.leave(heir);
    }

    /// Announces that this box holds the ledger of `leaver`.
    pub fn record_inheritance(&mut self, now_ms: u64, leaver: &BoxRef) {
        self.view.record_inheritance(now_ms, leaver);
    }

    /// Asks some peers which box holds the ledger of a box, those considered dead last. A box that
    /// was unreachable when this was announced cannot learn it in any other way.
    pub fn query_heirs(&mut self, of: &BoxRef) -> Vec<Outgoing> {
        let mut peers: Vec<_> =
            self.view.others().map(|member| (member.health, member.address.clone())).collect();
        self.rng.shuffle(&mut peers);
        peers.sort_by_key(|(health, _)| *health == Health::Dead);
        peers.truncate(HEIR_QUERY_PEERS);
        let gossip = Gossip::Heirs { of: of.clone() };
        peers.into_iter().map(|(_, to)| Outgoing { to, gossip: gossip.clone() }).collect()
    }

    fn heirs_reply(&self, to: &str, of: &BoxRef) -> Vec<Outgoing> {
        let members: Vec<_> = self.view.heir_chain(of).into_iter().cloned().collect();
        if members.iter().all(|member| member.heir.is_none()) {
            return Vec::new();
        }
        vec![Outgoing { to: to.to_owned(), gossip: Gossip::Table { members } }]
    }

    /// A message that carries a digest of this box's view and must be answered, like a probe.
    #[must_use]
    pub fn heartbeat(&self) -> Gossip {
        Gossip::Ping { seq: HEARTBEAT_SEQ, digest: self.view.digest(), updates: Vec::new() }
    }

    /// Sends the probes that are due, and updates members that have not answered in time.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Outgoing> {
        let mut outgoing = self.indirect_probes(now_ms);
        self.suspect_unanswered(now_ms);
        self.view.expire_members(now_ms);
        if now_ms >= self.next_probe_at_ms {
            self.next_probe_at_ms = now_ms + PROBE_PERIOD_MS;
            outgoing.extend(self.probe_next(now_ms));
            outgoing.extend(self.join_or_probe_seed());
        }
        outgoing
    }

    /// Processes a message from the peer that listens at `from`.
    pub fn receive(&mut self, now_ms: u64, from: &str, gossip: Gossip) -> Vec<Outgoing> {
        match gossip {
            Gossip::Ping { seq, digest, updates } => {
                self.view.merge_members(now_ms, updates);
                let mut outgoing = vec![self.ack(from, seq)];
                outgoing.extend(self.compare_views(now_ms, from, digest));
                outgoing
            }
            Gossip::Ack { seq, digest, updates } => {
                self.view.merge_members(now_ms, updates);
                let mut outgoing = self.handle_ack(seq);
                outgoing.extend(self.compare_views(now_ms, from, digest));
                outgoing
            }
            Gossip::PingReq { seq, target, updates } => {
                self.view.merge_members(now_ms, updates);
                self.probe_for_peer(now_ms, from, seq, &target)
            }
            Gossip::Compare { digests } => self.differing_reply(from, &digests),
            Gossip::Join { member } => {
                self.view.merge(now_ms, member);
                self.table_reply(from)
            }
            Gossip::Joined { members } => {
                self.joined = true;
                self.view.merge_members(now_ms, members);
                Vec::new()
            }
            Gossip::Table { members } => {
                self.view.merge_members(now_ms, members);
                Vec::new()
            }
            Gossip::Heirs { of } => self.heirs_reply(from, &of),
        }
    }

    fn probe_next(&mut self, now_ms: u64) -> Option<Outgoing> {
        self.probes_sent += 1;
        let name = if self.probes_sent.is_multiple_of(DEAD_PROBE_EVERY) {
            self.random_member(|_, member| member.health == Health::Dead)
        } else if self.probes_sent.is_multiple_of(OTHER_HALL_PROBE_EVERY) {
            self.random_member(|me, member| member.hall != me.hall && member.health != Health::Dead)
        } else {
            None
        };
        let name = name.or_else(|| self.next_in_hall())?;
        let target = self.view.member(&name)?.clone();
        let to = target.address.clone();
        let seq = self.allocate_seq();
        self.probes.insert(seq, Probe { name, sent_at_ms: now_ms, is_indirect: false });
        let mut updates = self.view.updates();
        // Tells the target that it is suspected, so that it can refute this.
        if target.health != Health::Alive {
            updates.push(target);
        }
        let digest = self.view.digest();
        Some(Outgoing { to, gossip: Gossip::Ping { seq, digest, updates } })
    }

    fn random_member(&mut self, wanted: impl Fn(&Member, &Member) -> bool) -> Option<String> {
        let others = self.view.others();
        let matching: Vec<_> = others.filter(|member| wanted(self.view.me(), member)).collect();
        let index = self.rng.usize(..matching.len().max(1));
        matching.get(index).map(|member| member.id.name.clone())
    }

    /// The next member in a random order of the hall, so that each member is probed within a
    /// bounded time.
    fn next_in_hall(&mut self) -> Option<String> {
        while let Some(name) = self.probe_order.pop() {
            if self.view.member(&name).is_some_and(Member::takes_work) {
                return Some(name);
            }
        }
        let live = self.view.others();
        let live = live.filter(|member| member.takes_work());
        let (in_hall, in_other_halls): (Vec<_>, Vec<_>) =
            live.partition(|member| member.hall == self.view.me().hall);
        let next = if in_hall.is_empty() { in_other_halls } else { in_hall };
        self.probe_order = next.iter().map(|member| member.id.name.clone()).collect();
        self.rng.shuffle(&mut self.probe_order);
        self.probe_order.pop()
    }

    /// Requests the whole table while this box knows no other box or nobody has sent the table: a
    /// box that is probed before it has joined knows some other boxes, but not all.
    fn join_or_probe_seed(&mut self) -> Option<Outgoing> {
        let live: Vec<_> = self.view.others().filter(|member| member.takes_work()).collect();
        let is_alone = live.is_empty();
        let to = if is_alone || self.joined {
            self.seeds.get(self.rng.usize(..self.seeds.len().max(1)))?.clone()
        } else {
            live[self.rng.usize(..live.len())].address.clone()
        };
        if is_alone || !self.joined {
            self.join_requests += 1;
            self.joined = self.join_requests >= MAX_JOIN_REQUESTS;
            let member = self.view.me().clone();
            return Some(Outgoing { to, gossip: Gossip::Join { member } });
        }
        let due = self.probes_sent.is_multiple_of(SEED_PROBE_EVERY);
        due.then(|| {
            let (seq, digest, updates) =
                (self.allocate_seq(), self.view.digest(), self.view.updates());
            Outgoing { to, gossip: Gossip::Ping { seq, digest, updates } }
        })
    }

    fn indirect_probes(&mut self, now_ms: u64) -> Vec<Outgoing> {
        let due = |probe: &&mut Probe| {
            !probe.is_indirect && now_ms >= probe.sent_at_ms + DIRECT_TIMEOUT_MS
        };
        let mut unanswered = Vec::new();
        for probe in self.probes.values_mut() {
            if due(&probe) {
                probe.is_indirect = true;
                unanswered.push(probe.name.clone());
            }
        }
        let mut outgoing = Vec::new();
        for name in unanswered {
            outgoing.extend(self.indirect_probes_of(&name));
        }
        outgoing
    }

    fn indirect_probes_of(&mut self, name: &str) -> Vec<Outgoing> {
        let Some(target) = self.view.member(name).map(|member| member.address.clone()) else {
            return Vec::new();
        };
        let found = self.probes.iter().find(|(_, probe)| probe.name == name);
        let Some(seq) = found.map(|(seq, _)| *seq) else {
            return Vec::new();
        };
        let live = self.view.others();
        let live = live.filter(|member| member.id.name != name && member.takes_work());
        let mut intermediaries: Vec<_> = live.map(|member| member.address.clone()).collect();
        self.rng.shuffle(&mut intermediaries);
        intermediaries.truncate(INDIRECT_PROBES);
        let updates = self.view.updates();
        let gossip = Gossip::PingReq { seq, target, updates };
        intermediaries.into_iter().map(|to| Outgoing { to, gossip: gossip.clone() }).collect()
    }

    fn probe_for_peer(&mut self, now_ms: u64, from: &str, seq: u64, target: &str) -> Vec<Outgoing> {
        let own_seq = self.allocate_seq();
        let expires_at_ms = now_ms + PROBE_TIMEOUT_MS;
        self.peer_probes
            .insert(own_seq, PeerProbe { requester: from.to_owned(), seq, expires_at_ms });
        let updates = self.view.updates();
        let gossip = Gossip::Ping { seq: own_seq, digest: self.view.digest(), updates };
        vec![Outgoing { to: target.to_owned(), gossip }]
    }

    fn ack(&mut self, to: &str, seq: u64) -> Outgoing {
        let updates = self.view.updates();
        let gossip = Gossip::Ack { seq, digest: self.view.digest(), updates };
        Outgoing { to: to.to_owned(), gossip }
    }

    /// Starts a comparison with a peer whose view differs, unless recent updates that are still
    /// spreading explain the difference. It makes views converge even if messages are lost.
    fn compare_views(&mut self, now_ms: u64, to: &str, digest: u64) -> Option<Outgoing> {
        if self.view.changed_recently(now_ms)
            || now_ms < self.next_sync_at_ms
            || digest == self.view.digest()
        {
            return None;
        }
        self.next_sync_at_ms = now_ms + SYNC_PERIOD_MS;
        let gossip = Gossip::Compare { digests: self.view.bucket_digests() };
        Some(Outgoing { to: to.to_owned(), gossip })
    }

    /// Replies with the members of some buckets in which a peer's view differs.
    fn differing_reply(&mut self, to: &str, digests: &[u64]) -> Vec<Outgoing> {
        let own_digests = self.view.bucket_digests();
        let differ = |bucket: &usize| {
            digests.get(*bucket).is_some_and(|digest| *digest != own_digests[*bucket])
        };
        let mut buckets: Vec<_> = (0..SYNC_BUCKETS).filter(differ).collect();
        self.rng.shuffle(&mut buckets);
        buckets.truncate(MAX_SYNCED_BUCKETS);
        let members = self.view.members_in_buckets(&buckets);
        vec![Outgoing { to: to.to_owned(), gossip: Gossip::Table { members } }]
    }

    fn handle_ack(&mut self, seq: u64) -> Vec<Outgoing> {
        if let Some(peer_probe) = self.peer_probes.remove(&seq) {
            return vec![self.ack(&peer_probe.requester, peer_probe.seq)];
        }
        self.probes.remove(&seq);
        Vec::new()
    }

    fn suspect_unanswered(&mut self, now_ms: u64) {
        let mut unanswered = Vec::new();
        self.probes.retain(|_, probe| {
            let is_pending = now_ms < probe.sent_at_ms + PROBE_TIMEOUT_MS;
            if !is_pending {
                unanswered.push(probe.name.clone());
            }
            is_pending
        });
        for name in unanswered {
            self.view.mark_suspect(now_ms, &name);
        }
        self.peer_probes.retain(|_, peer_probe| peer_probe.expires_at_ms > now_ms);
    }

    /// Replies with all members that this box knows, as the whole table if it has joined.
    fn table_reply(&self, to: &str) -> Vec<Outgoing> {
        let all: Vec<_> =
            self.view.members().chain(self.view.replaced_incarnations()).cloned().collect();
        let message = |members: Vec<Member>| {
            if self.joined { Gossip::Joined { members } } else { Gossip::Table { members } }
        };
        let chunks = all.chunks(MAX_TABLE_MEMBERS);
        chunks
            .map(|chunk| Outgoing { to: to.to_owned(), gossip: message(chunk.to_vec()) })
            .collect()
    }

    fn allocate_seq(&mut self) -> u64 {
        self.next_seq += 1;
        self.next_seq
    }
}
