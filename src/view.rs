//! What one box knows of all boxes, and how news of them is told apart.

use std::collections::BTreeMap;

use crate::member::{Health, Member};
use crate::ticket::BoxRef;

/// Time until a suspect counts as dead.
const SUSPECT_TIMEOUT_MS: u64 = 3000;
/// Time until a leaving member counts as dead.
const LEAVING_TIMEOUT_MS: u64 = 120_000;
/// Time until a dead member is forgotten.
const FORGET_AFTER_MS: u64 = 900_000;
/// Longest chain of heirs that is followed.
const MAX_HEIRS: usize = 16;
/// Member states carried by one message.
const MAX_UPDATES: usize = 6;
/// How often a news item is sent along.
const MAX_SENDS: u32 = 8;
/// Time in which news is left to spread by itself.
const NEWS_TIME_MS: u64 = 3000;
/// Buckets of the table that are compared by digest.
pub const SYNC_BUCKETS: usize = 32;

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

/// A box's view of all boxes.
pub struct View {
    me: Member,
    others: BTreeMap<String, Known>,
    departed: BTreeMap<BoxRef, Departed>,
}

impl View {
    /// A view of `me` alone.
    #[must_use]
    pub fn new(me: Member) -> Self {
        Self { me, others: BTreeMap::new(), departed: BTreeMap::new() }
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

    /// Whether a box's process is known to have ended, or is taken for dead.
    #[must_use]
    pub fn is_gone(&self, id: &BoxRef) -> bool {
        self.member(&id.name).is_some_and(|member| {
            member.id.incarnation > id.incarnation
                || (member.id == *id && member.health == Health::Dead)
        })
    }

    /// Boxes of `hall` that take work, this one among them.
    #[must_use]
    pub fn available_in_hall(&self, hall: &str) -> Vec<&Member> {
        self.members().filter(|member| member.hall == hall && member.takes_work()).collect()
    }

    /// The box that answers for the ledger of `spender`: itself, or the last of
    /// its heirs.
    #[must_use]
    pub fn ledger_holder(&self, spender: &BoxRef) -> Option<&Member> {
        let last = self.heir_chain(spender).into_iter().last()?;
        let answers = last.heir.is_none() && last.health != Health::Dead;
        answers.then_some(last)
    }

    /// A box and its heirs, as far as they are known.
    #[must_use]
    pub fn heir_chain(&self, of: &BoxRef) -> Vec<&Member> {
        let next = |member: &&Member| member.heir.as_ref().and_then(|heir| self.run(heir));
        std::iter::successors(self.run(of), next).take(MAX_HEIRS).collect()
    }

    /// A run of a box's process, which may have been replaced.
    fn run(&self, id: &BoxRef) -> Option<&Member> {
        let member = self.member(&id.name).filter(|member| member.id == *id);
        member.or_else(|| self.departed.get(id).map(|departed| &departed.member))
    }

    /// Announces a planned stop, and who answers for the ledger.
    pub fn leave(&mut self, heir: Option<BoxRef>) {
        self.me.health = Health::Leaving;
        self.me.heir = heir;
    }

    /// Takes note that this box keeps the ledger of `leaver`, which may have had no
    /// time to say so.
    pub fn record_inheritance(&mut self, now_ms: u64, leaver: &BoxRef) {
        let known = self.others.get(&leaver.name).map(|known| &known.member);
        if let Some(member) = known.filter(|member| member.id == *leaver) {
            let health = member.health.max(Health::Leaving);
            let heir = Some(self.me.id.clone());
            self.merge(now_ms, Member { health, heir, ..member.clone() });
        }
    }

    /// Hash of all that is known.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.members().map(Member::digest).fold(0, u64::wrapping_add)
    }

    /// Hash of what is known in each bucket.
    #[must_use]
    pub fn bucket_digests(&self) -> Vec<u64> {
        let mut digests = vec![0_u64; SYNC_BUCKETS];
        for member in self.members() {
            let digest = &mut digests[member.bucket(SYNC_BUCKETS)];
            *digest = digest.wrapping_add(member.digest());
        }
        digests
    }

    /// Lets suspects and leavers die, and forgets the dead.
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
                known.sends_left = MAX_SENDS;
            }
        }
        self.others.retain(|_, known| {
            known.member.health != Health::Dead || now_ms < known.since_ms + FORGET_AFTER_MS
        });
        self.departed.retain(|_, departed| now_ms < departed.since_ms + FORGET_AFTER_MS);
    }

    /// Takes what is said of some members.
    pub fn merge_members(&mut self, now_ms: u64, members: Vec<Member>) {
        for member in members {
            self.merge(now_ms, member);
        }
    }

    /// Takes what is said of a member, if it is newer than what is known.
    pub fn merge(&mut self, now_ms: u64, mut member: Member) {
        if member.id.name == self.me.id.name {
            self.refute(&member);
            if member.id.incarnation < self.me.id.incarnation {
                self.depart(now_ms, member);
            }
            return;
        }
        let known = self.others.get(&member.id.name).map(|known| &known.member);
        // A box that has left its ledger to an heir may not know that it was taken.
        if let Some(known) = known.filter(|known| known.id == member.id) {
            // Nor may one that takes it for dead know of the heir.
            if known.heir.is_none() && member.heir.is_some() {
                member.refutations = member.refutations.max(known.refutations);
                member.health = member.health.max(known.health);
            }
            member.heir = member.heir.or_else(|| known.heir.clone());
        }
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
            self.me.refutations = rumour.refutations + 1;
        }
    }

    /// This box's state and the newest ones of others.
    pub fn updates(&mut self) -> Vec<Member> {
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

    /// All boxes but this one.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.others.values().map(|known| &known.member)
    }

    /// Incarnations that were replaced and have an heir.
    pub fn departed(&self) -> impl Iterator<Item = &Member> {
        self.departed.values().map(|departed| &departed.member)
    }

    /// Whether news came a moment ago, which explains why views differ.
    #[must_use]
    pub fn changed_recently(&self, now_ms: u64) -> bool {
        self.others.values().any(|known| now_ms < known.since_ms + NEWS_TIME_MS)
    }

    /// Takes note that a member did not answer.
    pub fn mark_suspect(&mut self, now_ms: u64, name: &str) {
        let known = self.others.get(name).map(|known| &known.member);
        if let Some(member) = known.filter(|member| member.health == Health::Alive) {
            let suspect = Member { health: Health::Suspect, ..member.clone() };
            self.merge(now_ms, suspect);
        }
    }

    /// The members of some buckets, of [`SYNC_BUCKETS`].
    #[must_use]
    pub fn members_in_buckets(&self, buckets: &[usize]) -> Vec<Member> {
        let wanted = |member: &&Member| buckets.contains(&member.bucket(SYNC_BUCKETS));
        self.members().filter(wanted).cloned().collect()
    }
}
