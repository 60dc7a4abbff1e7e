//! Who is served next: fair shares over client accounts.
//!
//! Each account has a virtual counter of work served over its share, and the
//! least goes first. An account that was away is lifted to the least active
//! one, so that idling saves nothing up. Priority is a bounded head start: it
//! orders work and cannot starve anyone.

use std::collections::{BTreeMap, VecDeque};

/// Head start of one step of priority, in tokens of a share of 1.
const PRIORITY_CREDIT_TOKENS: f64 = 2048.0;
/// Work of a generated token, in prompt tokens.
pub const GENERATED_TOKEN_WEIGHT: f64 = 4.0;
/// Smallest share used as a divisor.
const LEAST_SHARE: f64 = 1e-6;

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
pub struct Waiting<T> {
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
    waiting: VecDeque<Waiting<T>>,
    virtual_tokens: f64,
    share: f64,
    priority: i8,
    running: u32,
}

impl<T> AccountQueue<T> {
    fn active(&self) -> bool {
        self.running > 0 || !self.waiting.is_empty()
    }

    fn rank(&self) -> f64 {
        let credit = f64::from(self.priority) * PRIORITY_CREDIT_TOKENS;
        self.virtual_tokens + credit / self.share.max(LEAST_SHARE)
    }

    fn queued_tokens(&self) -> f64 {
        self.waiting.iter().map(|waiting| waiting.work_tokens).sum()
    }
}

/// Waiting work of all accounts.
#[derive(Debug)]
pub struct ShareQueue<T> {
    policy: SharePolicy,
    accounts: BTreeMap<String, AccountQueue<T>>,
    arrivals: u64,
}

impl<T> ShareQueue<T> {
    /// An empty queue.
    #[must_use]
    pub fn new(policy: SharePolicy) -> Self {
        Self { policy, accounts: BTreeMap::new(), arrivals: 0 }
    }

    /// Number of waiting items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.values().map(|queue| queue.waiting.len()).sum()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
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
        let floor = self.least_active();
        let queue = self.queue(account);
        if !queue.active() {
            queue.virtual_tokens = queue.virtual_tokens.max(floor.unwrap_or(0.0));
        }
        (queue.share, queue.priority) = (share, priority);
        let arrival = self.arrivals;
        self.arrivals += 1;
        let waiting = Waiting { item, work_tokens, deadline_ms, arrival };
        self.queue(account).waiting.push_back(waiting);
    }

    /// Takes the next item that `fits`, and charges its account for it.
    pub fn pop(&mut self, fits: impl Fn(&T) -> bool) -> Option<(String, Waiting<T>)> {
        let policy = self.policy;
        let candidates = self.accounts.iter().filter_map(|(name, queue)| {
            let index = queue.waiting.iter().position(|waiting| fits(&waiting.item))?;
            let rank = match policy {
                SharePolicy::Fair => queue.rank(),
                #[expect(clippy::cast_precision_loss, reason = "arrivals stay far below 2^52")]
                SharePolicy::Fifo => queue.waiting[index].arrival as f64,
            };
            Some((rank, name, index))
        });
        let (_, name, index) = candidates.min_by(|left, right| left.0.total_cmp(&right.0))?;
        let name = name.clone();
        let queue = self.accounts.get_mut(&name)?;
        let waiting = queue.waiting.remove(index)?;
        queue.running += 1;
        queue.virtual_tokens += waiting.work_tokens / queue.share.max(LEAST_SHARE);
        Some((name, waiting))
    }

    /// Ends work of `account`; `extra_tokens` is what it took beyond the
    /// expected.
    pub fn finish(&mut self, account: &str, extra_tokens: f64) {
        let Some(queue) = self.accounts.get_mut(account) else {
            return;
        };
        queue.running = queue.running.saturating_sub(1);
        queue.virtual_tokens += extra_tokens / queue.share.max(LEAST_SHARE);
    }

    /// Whether an item that `wanted` says waits.
    pub fn contains(&self, wanted: impl Fn(&T) -> bool) -> bool {
        let mut all = self.accounts.values().flat_map(|queue| &queue.waiting);
        all.any(|waiting| wanted(&waiting.item))
    }

    /// Takes out all items that `gone` says are not wanted any more.
    pub fn take_out(&mut self, mut gone: impl FnMut(&Waiting<T>) -> bool) -> Vec<T> {
        let mut out = Vec::new();
        for queue in self.accounts.values_mut() {
            let all = std::mem::take(&mut queue.waiting);
            for waiting in all {
                if gone(&waiting) {
                    out.push(waiting.item);
                } else {
                    queue.waiting.push_back(waiting);
                }
            }
        }
        out
    }

    /// Work that goes before a new item of `account`, in tokens: its own, and
    /// what the others get meanwhile by their shares.
    #[must_use]
    pub fn tokens_ahead(&self, account: &str, share: f64) -> f64 {
        let queued = |queue: &AccountQueue<T>| queue.queued_tokens();
        if self.policy == SharePolicy::Fifo {
            return self.accounts.values().map(queued).sum();
        }
        let own = self.accounts.get(account).map_or(0.0, queued);
        let share = share.max(LEAST_SHARE);
        let others = self.accounts.iter().filter(|(name, _)| *name != account);
        let meanwhile = others.map(|(_, queue)| queued(queue).min(own * queue.share / share));
        own + meanwhile.sum::<f64>()
    }

    /// Work served over share, by account.
    pub fn virtual_tokens(&self) -> impl Iterator<Item = (&str, f64)> {
        self.accounts.iter().map(|(name, queue)| (name.as_str(), queue.virtual_tokens))
    }

    fn queue(&mut self, account: &str) -> &mut AccountQueue<T> {
        self.accounts.entry(account.to_owned()).or_insert_with(|| AccountQueue {
            waiting: VecDeque::new(),
            virtual_tokens: 0.0,
            share: 1.0,
            priority: 0,
            running: 0,
        })
    }

    fn least_active(&self) -> Option<f64> {
        let active = self.accounts.values().filter(|queue| queue.active());
        active.map(|queue| queue.virtual_tokens).min_by(f64::total_cmp)
    }
}
