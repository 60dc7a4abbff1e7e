//! Fair queueing over client accounts.
//!
//! Each account has a virtual counter of the work served, divided by its share; the account with
//! the lowest counter is next. When an account becomes active, its counter is raised to the lowest
//! one of the active accounts, so that idle accounts do not accumulate credit. A priority is a
//! bounded offset to the counter: it changes the order and cannot starve an account.

use std::collections::{BTreeSet, HashMap, VecDeque};

/// Offset of one priority step, in tokens at a share of 1.
const PRIORITY_STEP_TOKENS: f64 = 2048.0;
/// Work of one generated token, in prompt tokens.
pub const GENERATED_TOKEN_WEIGHT: f64 = 4.0;
/// Lower bound of a share, as it is used as a divisor.
const MIN_SHARE: f64 = 1e-6;

/// Order in which queued work is served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SharePolicy {
    /// In order of arrival.
    Fifo,
    /// By fair shares.
    #[default]
    Fair,
}

impl SharePolicy {
    /// Parses the name used in the settings.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "fifo" => Some(Self::Fifo),
            "fair" => Some(Self::Fair),
            _ => None,
        }
    }
}

/// An item in the queue.
#[derive(Clone, Debug)]
pub struct QueuedItem<T> {
    /// The item.
    pub item: T,
    /// Estimated work of the item, in tokens.
    pub work_tokens: f64,
    /// Deadline of the item, in Unix milliseconds.
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

/// Queued work of all accounts.
///
/// Decisions only look at accounts with queued or running work, so that they do not become slower
/// with the number of accounts.
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
    /// Creates an empty queue.
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

    /// Number of queued items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no item is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Queues an item of `account`.
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

    /// Raises the counter of an account that becomes active to the lowest one of the active
    /// accounts.
    fn raise_to_floor(&mut self, index: usize) {
        let others = self.active_accounts.iter().filter(|active| **active != index);
        let tokens = others.map(|active| self.queues[*active].virtual_tokens);
        if let Some(lowest) = tokens.min_by(f64::total_cmp) {
            self.floor_tokens = self.floor_tokens.max(lowest);
        }
        let queue = &mut self.queues[index];
        queue.virtual_tokens = queue.virtual_tokens.max(self.floor_tokens);
    }

    /// Removes the next item for which `fits` holds, and charges its account for the estimated
    /// work.
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

    /// Ends an item of `account`; `extra_tokens` is the work beyond the estimate.
    pub fn finish(&mut self, account: &str, extra_tokens: f64) {
        let Some(&index) = self.by_name.get(account) else {
            return;
        };
        let queue = &mut self.queues[index];
        queue.running = queue.running.saturating_sub(1);
        queue.virtual_tokens += extra_tokens / queue.share.max(MIN_SHARE);
        self.drop_if_idle(index);
    }

    /// Whether an item matches `wanted`.
    pub fn contains(&self, wanted: impl Fn(&T) -> bool) -> bool {
        let queues = self.queued_accounts.iter().map(|index| &self.queues[*index]);
        let mut all = queues.flat_map(|queue| &queue.items);
        all.any(|queued| wanted(&queued.item))
    }

    /// Removes all items for which `is_unwanted` holds.
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

    /// Work served before a new item of `account`, in tokens: the account's own, and what the other
    /// accounts get in the meantime by their shares.
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

    /// Virtual token counter of each account: work served, divided by the account's share.
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

    /// Removes an account from the index sets if it has no more queued or running work.
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
