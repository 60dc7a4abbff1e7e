//! A box's view of all boxes, and how newer information about a box replaces older.

use std::collections::BTreeMap;

use crate::member::{Health, Member};
use crate::ticket::BoxRef;

/// Time until a suspect is considered dead.
const SUSPECT_TIMEOUT_MS: u64 = 3000;
/// Time until a leaving member is considered dead.
const LEAVING_TIMEOUT_MS: u64 = 120_000;
/// Time until a dead member, or an incarnation that was replaced, is removed.
const RETENTION_MS: u64 = 900_000;
/// Maximum length of a chain of heirs.
const MAX_HEIR_CHAIN: usize = 16;
/// Maximum number of member states in one message.
const MAX_UPDATES: usize = 6;
/// How many times a changed member state is sent along with messages.
const MAX_SENDS_PER_UPDATE: u32 = 8;
/// Time that a change gets to spread by itself before views are compared.
const PROPAGATION_TIME_MS: u64 = 3000;
/// Number of buckets of the member table; their digests are compared to find differences.
pub const SYNC_BUCKETS: usize = 32;

struct KnownMember {
    member: Member,
    since_ms: u64,
    sends_left: u32,
}

/// An incarnation that stopped as planned and was replaced by a newer one.
struct ReplacedIncarnation {
    member: Member,
    since_ms: u64,
}

/// This box's view of all boxes, including itself.
pub struct View {
    me: Member,
    others: BTreeMap<String, KnownMember>,
    replaced_incarnations: BTreeMap<BoxRef, ReplacedIncarnation>,
}

impl View {
    /// Creates a view with only `me`, this box.
    #[must_use]
    pub fn new(me: Member) -> Self {
        Self { me, others: BTreeMap::new(), replaced_incarnations: BTreeMap::new() }
    }

    /// This box.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// All known boxes, this one first.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.me).chain(self.others.values().map(|known| &known.member))
    }

    /// The newest known incarnation of the box `name`.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members().find(|member| member.id.name == name)
    }

    /// Whether a box's process is known to have ended or is considered dead.
    #[must_use]
    pub fn is_gone(&self, id: &BoxRef) -> bool {
        self.member(&id.name).is_some_and(|member| {
            member.id.incarnation > id.incarnation
                || (member.id == *id && member.health == Health::Dead)
        })
    }

    /// Boxes of `hall` that accept new work, including this one.
    #[must_use]
    pub fn available_in_hall(&self, hall: &str) -> Vec<&Member> {
        self.members().filter(|member| member.hall == hall && member.takes_work()).collect()
    }

    /// The box that holds the ledger of `spender`: `spender` itself, or its last heir, which may
    /// be considered dead. `None` if no box is known to hold it.
    #[must_use]
    pub fn ledger_holder(&self, spender: &BoxRef) -> Option<&Member> {
        let last = self.heir_chain(spender).into_iter().last()?;
        last.heir.is_none().then_some(last)
    }

    /// A box, its heir, the heir of that one and so on, as far as they are known.
    #[must_use]
    pub fn heir_chain(&self, of: &BoxRef) -> Vec<&Member> {
        let heir_of =
            |member: &&Member| member.heir.as_ref().and_then(|heir| self.incarnation(heir));
        std::iter::successors(self.incarnation(of), heir_of).take(MAX_HEIR_CHAIN).collect()
    }

    /// An incarnation of a box, which may have been replaced.
    fn incarnation(&self, id: &BoxRef) -> Option<&Member> {
        let member = self.member(&id.name).filter(|member| member.id == *id);
        member.or_else(|| self.replaced_incarnations.get(id).map(|replaced| &replaced.member))
    }

    /// Marks this box as leaving, with the heir of its ledger once there is one.
    pub fn leave(&mut self, heir: Option<BoxRef>) {
        self.me.health = Health::Leaving;
        self.me.heir = heir;
    }

    /// Records that this box inherited the ledger of `leaver`, which may stop before it has
    /// announced that itself.
    pub fn record_inheritance(&mut self, now_ms: u64, leaver: &BoxRef) {
        let known = self.others.get(&leaver.name).map(|known| &known.member);
        if let Some(member) = known.filter(|member| member.id == *leaver) {
            let health = member.health.max(Health::Leaving);
            let heir = Some(self.me.id.clone());
            self.merge(now_ms, Member { health, heir, ..member.clone() });
        }
    }

    /// Hash of all member states.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.members().map(Member::digest).fold(0, u64::wrapping_add)
    }

    /// Hash of the member states in each bucket.
    #[must_use]
    pub fn bucket_digests(&self) -> Vec<u64> {
        let mut digests = vec![0_u64; SYNC_BUCKETS];
        for member in self.members() {
            let digest = &mut digests[member.bucket(SYNC_BUCKETS)];
            *digest = digest.wrapping_add(member.digest());
        }
        digests
    }

    /// Marks suspects and leaving members as dead after their timeouts, and removes members that
    /// have been dead for long.
    pub fn expire_members(&mut self, now_ms: u64) {
        for known in self.others.values_mut() {
            let timeout_ms = match known.member.health {
                Health::Suspect => SUSPECT_TIMEOUT_MS,
                Health::Leaving => LEAVING_TIMEOUT_MS,
                Health::Alive | Health::Dead => continue,
            };
            if now_ms >= known.since_ms + timeout_ms {
                known.member.health = Health::Dead;
                known.since_ms = now_ms;
                known.sends_left = MAX_SENDS_PER_UPDATE;
            }
        }
        self.others.retain(|_, known| {
            known.member.health != Health::Dead || now_ms < known.since_ms + RETENTION_MS
        });
        self.replaced_incarnations.retain(|_, replaced| now_ms < replaced.since_ms + RETENTION_MS);
    }

    /// Merges the states of several members; see [`View::merge`].
    pub fn merge_members(&mut self, now_ms: u64, members: Vec<Member>) {
        for member in members {
            self.merge(now_ms, member);
        }
    }

    /// Merges the state of a member into the view, if it is newer than the known state.
    pub fn merge(&mut self, now_ms: u64, mut member: Member) {
        if member.id.name == self.me.id.name {
            self.refute(&member);
            if member.id.incarnation < self.me.id.incarnation {
                self.record_replaced(now_ms, member);
            }
            return;
        }
        let known = self.others.get(&member.id.name).map(|known| &known.member);
        // A box that hands its ledger over may not know yet that the heir has confirmed it.
        if let Some(known) = known.filter(|known| known.id == member.id) {
            // A box that considers the member dead may not know of the heir either.
            if known.heir.is_none() && member.heir.is_some() {
                member.refutations = member.refutations.max(known.refutations);
                member.health = member.health.max(known.health);
            }
            member.heir = member.heir.or_else(|| known.heir.clone());
        }
        if let Some(known) = known.filter(|known| known.rank() >= member.rank()) {
            if known.id != member.id {
                self.record_replaced(now_ms, member);
            }
            return;
        }
        let name = member.id.name.clone();
        let id = member.id.clone();
        let update = KnownMember { member, since_ms: now_ms, sends_left: MAX_SENDS_PER_UPDATE };
        let replaced = self.others.insert(name, update);
        if let Some(replaced) = replaced.filter(|replaced| replaced.member.id != id) {
            self.record_replaced(now_ms, replaced.member);
        }
    }

    /// Records a replaced incarnation that has an heir.
    fn record_replaced(&mut self, now_ms: u64, member: Member) {
        if member.heir.is_some() {
            let replaced = ReplacedIncarnation { member, since_ms: now_ms };
            self.replaced_incarnations.entry(replaced.member.id.clone()).or_insert(replaced);
        }
    }

    /// Raises this box's count of refutations if another box has a newer state of this
    /// incarnation, such as a suspicion. The raised count makes this box's own state the newest.
    fn refute(&mut self, reported: &Member) {
        let is_own_incarnation = reported.id.incarnation == self.me.id.incarnation;
        if is_own_incarnation && reported.rank() > self.me.rank() {
            self.me.refutations = reported.refutations + 1;
        }
    }

    /// States to send along with a message: this box's and those of members that changed.
    /// Counts them as sent.
    pub fn updates(&mut self) -> Vec<Member> {
        let mut updates = vec![self.me.clone()];
        let mut to_send: Vec<_> =
            self.others.values_mut().filter(|known| known.sends_left > 0).collect();
        to_send.sort_by_key(|known| std::cmp::Reverse(known.sends_left));
        for known in to_send.into_iter().take(MAX_UPDATES - 1) {
            known.sends_left -= 1;
            updates.push(known.member.clone());
        }
        updates
    }

    /// All known boxes except this one.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.others.values().map(|known| &known.member)
    }

    /// Replaced incarnations that have an heir.
    pub fn replaced_incarnations(&self) -> impl Iterator<Item = &Member> {
        self.replaced_incarnations.values().map(|replaced| &replaced.member)
    }

    /// Whether the view changed a moment ago, which can explain why the views of boxes differ.
    #[must_use]
    pub fn changed_recently(&self, now_ms: u64) -> bool {
        self.others.values().any(|known| now_ms < known.since_ms + PROPAGATION_TIME_MS)
    }

    /// Marks a member as suspect because it did not answer.
    pub fn mark_suspect(&mut self, now_ms: u64, name: &str) {
        let known = self.others.get(name).map(|known| &known.member);
        if let Some(member) = known.filter(|member| member.health == Health::Alive) {
            let suspect = Member { health: Health::Suspect, ..member.clone() };
            self.merge(now_ms, suspect);
        }
    }

    /// The members in the given buckets, of [`SYNC_BUCKETS`] in total.
    #[must_use]
    pub fn members_in_buckets(&self, buckets: &[usize]) -> Vec<Member> {
        let in_wanted_bucket = |member: &&Member| buckets.contains(&member.bucket(SYNC_BUCKETS));
        self.members().filter(in_wanted_bucket).cloned().collect()
    }
}
