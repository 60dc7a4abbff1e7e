//! Who is served next: fair shares over client accounts.
//!
//! Each account has a virtual counter of work served over its share, and the
//! least goes first. An account that was away is lifted to the least active
//! one, so that idling saves nothing up. Priority is a bounded head start: it
//! orders work and cannot starve anyone.

use std::collections::{BTreeSet, HashMap, VecDeque};

/// Head start of one step of priority, in tokens of a share of 1.
const PRIORITY_STEP_TOKENS: f64 = 2048.0;
/// Work of a generated token, in prompt tokens.
pub const GENERATED_TOKEN_WEIGHT: f64 = 4.0;
/// Smallest share used as a divisor.
const MIN_SHARE: f64 = 1e-6;

/// How waiting work is ordered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SharePolicy {
    /// In order of arrival.
    Fifo,
    /// By fair shares.
    #[default]
    Fair,
}

impl SharePolicy {
    /// The policy called `name` in the settings.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "fifo" => Some(Self::Fifo),
            "fair" => Some(Self::Fair),
            _ => None,
        }
    }
}

/// One piece of waiting work.
#[derive(Clone, Debug)]
pub struct QueuedItem<T> {
    /// What waits.
    pub item: T,
    /// Work that it is expected to take, in tokens.
    pub work_tokens: f64,
    /// When it gives up, in Unix milliseconds.
    pub deadline_ms: u64,
    arrival: u64,
}

#[derive(Debug)]
struct AccountQueue<T> {
    name: String,
    items: VecDeque<QueuedItem<T>>,
    virtual_tokens: f64,
    share: f64,
    priority: i8,
    running: u32,
}

impl<T> AccountQueue<T> {
    fn is_active(&self) -> bool {
        self.running > 0 || !self.items.is_empty()
    }

    fn rank(&self) -> f64 {
        let offset = f64::from(self.priority) * PRIORITY_STEP_TOKENS;
        self.virtual_tokens + offset / self.share.max(MIN_SHARE)
    }

    fn queued_tokens(&self) -> f64 {
        self.items.iter().map(|queued| queued.work_tokens).sum()
    }
}

/// Waiting work of all accounts.
///
/// Only accounts with waiting or running work are looked at, so that a
/// decision does not slow down with the number of accounts.
#[derive(Debug)]
pub struct ShareQueue<T> {
    policy: SharePolicy,
    queues: Vec<AccountQueue<T>>,
    by_name: HashMap<String, usize>,
    queued_accounts: BTreeSet<usize>,
    active_accounts: BTreeSet<usize>,
    len: usize,
    arrivals: u64,
    floor_tokens: f64,
}

impl<T> ShareQueue<T> {
    /// An empty queue.
    #[must_use]
    pub fn new(policy: SharePolicy) -> Self {
        Self {
            policy,
            queues: Vec::new(),
            by_name: HashMap::new(),
            queued_accounts: BTreeSet::new(),
            active_accounts: BTreeSet::new(),
            len: 0,
            arrivals: 0,
            floor_tokens: 0.0,
        }
    }

    /// Number of waiting items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds an item of `account`.
    pub fn push(
        &mut self,
        account: &str,
        share: f64,
        priority: i8,
        item: T,
        work_tokens: f64,
        deadline_ms: u64,
    ) {
        let index = self.index_of(account);
        if self.active_accounts.insert(index) {
            self.raise_to_floor(index);
        }
        let queued = QueuedItem { item, work_tokens, deadline_ms, arrival: self.arrivals };
        self.arrivals += 1;
        self.len += 1;
        self.queued_accounts.insert(index);
        let queue = &mut self.queues[index];
        (queue.share, queue.priority) = (share, priority);
        queue.items.push_back(queued);
    }

    /// Lifts an account that was away to the least active one.
    fn raise_to_floor(&mut self, index: usize) {
        let others = self.active_accounts.iter().filter(|active| **active != index);
        let tokens = others.map(|active| self.queues[*active].virtual_tokens);
        if let Some(lowest) = tokens.min_by(f64::total_cmp) {
            self.floor_tokens = self.floor_tokens.max(lowest);
        }
        let queue = &mut self.queues[index];
        queue.virtual_tokens = queue.virtual_tokens.max(self.floor_tokens);
    }

    /// Takes the next item that `fits`, and charges its account for it.
    pub fn pop(&mut self, fits: impl Fn(&T) -> bool) -> Option<(String, QueuedItem<T>)> {
        let candidates = self.queued_accounts.iter().filter_map(|index| {
            let queue = &self.queues[*index];
            let position = queue.items.iter().position(|queued| fits(&queued.item))?;
            let rank = match self.policy {
                SharePolicy::Fair => queue.rank(),
                #[expect(clippy::cast_precision_loss, reason = "arrivals stay far below 2^52")]
                SharePolicy::Fifo => queue.items[position].arrival as f64,
            };
            Some((rank, *index, position))
        });
        let (_, index, position) = candidates.min_by(|left, right| left.0.total_cmp(&right.0))?;
        let queue = &mut self.queues[index];
        let queued = queue.items.remove(position)?;
        queue.running += 1;
        queue.virtual_tokens += queued.work_tokens / queue.share.max(MIN_SHARE);
        let name = queue.name.clone();
        self.len -= 1;
        self.drop_if_idle(index);
        Some((name, queued))
    }

    /// Ends work of `account`; `extra_tokens` is what it took beyond the
    /// expected.
    pub fn finish(&mut self, account: &str, extra_tokens: f64) {
        let Some(&index) = self.by_name.get(account) else {
            return;
        };
        let queue = &mut self.queues[index];
        queue.running = queue.running.saturating_sub(1);
        queue.virtual_tokens += extra_tokens / queue.share.max(MIN_SHARE);
        self.drop_if_idle(index);
    }

    /// Whether an item that `wanted` says waits.
    pub fn contains(&self, wanted: impl Fn(&T) -> bool) -> bool {
        let queues = self.queued_accounts.iter().map(|index| &self.queues[*index]);
        let mut all = queues.flat_map(|queue| &queue.items);
        all.any(|queued| wanted(&queued.item))
    }

    /// Takes out all items that `gone` says are not wanted any more.
    pub fn remove_where(&mut self, mut is_unwanted: impl FnMut(&QueuedItem<T>) -> bool) -> Vec<T> {
        let mut removed_items = Vec::new();
        for index in self.queued_accounts.clone() {
            let all = std::mem::take(&mut self.queues[index].items);
            let (removed, remaining): (Vec<_>, Vec<_>) =
                all.into_iter().partition(&mut is_unwanted);
            self.queues[index].items = remaining.into();
            removed_items.extend(removed.into_iter().map(|queued| queued.item));
            self.drop_if_idle(index);
        }
        self.len -= removed_items.len();
        removed_items
    }

    /// Work that goes before a new item of `account`, in tokens: its own, and
    /// what the others get meanwhile by their shares.
    #[must_use]
    pub fn tokens_ahead(&self, account: &str, share: f64) -> f64 {
        let own_index = self.by_name.get(account);
        let queued_tokens = |index: &usize| self.queues[*index].queued_tokens();
        if self.policy == SharePolicy::Fifo {
            return self.queued_accounts.iter().map(queued_tokens).sum();
        }
        let own = own_index.map_or(0.0, queued_tokens);
        let share = share.max(MIN_SHARE);
        let others = self.queued_accounts.iter().filter(|index| Some(*index) != own_index);
        let meanwhile =
            others.map(|index| queued_tokens(index).min(own * self.queues[*index].share / share));
        own + meanwhile.sum::<f64>()
    }

    /// Work served over share, by account.
    pub fn virtual_tokens(&self) -> impl Iterator<Item = (&str, f64)> {
        self.queues.iter().map(|queue| (queue.name.as_str(), queue.virtual_tokens))
    }

    fn index_of(&mut self, account: &str) -> usize {
        if let Some(index) = self.by_name.get(account) {
            return *index;
        }
        let index = self.queues.len();
        self.by_name.insert(account.to_owned(), index);
        self.queues.push(AccountQueue {
            name: account.to_owned(),
            items: VecDeque::new(),
            virtual_tokens: 0.0,
            share: 1.0,
            priority: 0,
            running: 0,
        });
        index
    }

    /// Takes an account off the lists that it no longer belongs to.
    fn drop_if_idle(&mut self, index: usize) {
        let queue = &self.queues[index];
        if queue.items.is_empty() {
            self.queued_accounts.remove(&index);
        }
        if !queue.is_active() {
            self.active_accounts.remove(&index);
        }
    }
}
