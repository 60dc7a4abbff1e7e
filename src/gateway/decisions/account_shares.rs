//! Fair sharing between client accounts: whose requests take precedence while a service refuses
//! requests for lack of capacity.
//!
//! *Load pattern:* one account sends ten times its share, evenly or through one box, and the boxes
//! would admit it ten times as often as the others. What the fleet admits in a second is therefore
//! divided by weighted max-min fairness: no account gets more than it requests, and the rest is
//! divided between the others by weight. Boxes exchange what each account has requested, in units of
//! work. Of the work that arrives at it, each box admits the part that the fleet can serve of that
//! account. A box sees few requests of an account, so this part is followed by a running balance
//! and not by a rate: a rate would refuse half of what an account may have.
//!
//! Requests beyond the share are not refused as such: they leave part of the engines' capacity to
//! others.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::gateway::decisions::units::{as_f64, rounded_down};
use crate::names::short_id;

/// Time after a refusal for which capacity is divided.
const ACTIVE_MS: u64 = 2000;
/// Time constant over which work is summed: a sum equals the work per second.
const WINDOW_MS: f64 = 1000.0;
/// Time after its last request for which the sums of an account are kept.
const RETENTION_MS: u64 = 10_000;
/// Accounts with less work in a second have no recent requests.
const MIN_RECENT_WORK: u64 = 1;
/// Work of an output token, relative to the prefill of a token.
const OUTPUT_TOKEN_WORK: u64 = 10;
/// Most entries in one message, so that it fits a datagram.
const MAX_WORK_REPORTS: usize = 64;
/// The same for the sums of a hall.
const MAX_HALL_WORK_REPORTS: usize = 256;
/// Range of the part of the normal capacity that requests beyond the share may use: the upper bound
/// for accounts that hardly exceed it. The rest is left to requests within their shares. The normal
/// capacity is up to 1.32 times the slots, so that a part above 0.76 leaves no slots.
const EXCESS_PART_RANGE: (f64, f64) = (0.5, 0.75);
/// Part of the mean share that an account gets at least, whatever its weight, and part of the mean
/// rate at which requests are served, however much it offers.
const MIN_MEAN_PART: f64 = 0.25;
/// Steps of the bisection for the shares: an error of less than a millionth.
const LEVEL_STEPS: u32 = 30;
/// Part of the work within the shares that is refused when the division fits the capacity: engines
/// that are used well refuse a request now and then. A higher part takes more from the accounts
/// within their shares than it adds to the use.
const NORMAL_UNMET_PART: f64 = 0.02;
/// Growth per second of the divided work while nothing within the shares is refused; less growth
/// while less than [`NORMAL_UNMET_PART`] is. Without growth, unused capacity would stay so.
const MAX_GROWTH: f64 = 0.1;
/// Number of requests of the size of the last one by which an account may be behind its share at one
/// box, and ahead of it even if the box sees few of its requests.
const MIN_BALANCE_REQUESTS: f64 = 2.0;

/// A service and an account, by their short ids.
type Key = (u32, u32);

/// Work per second of an account, as one box or hall has seen it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountWork {
    /// Short id of the account.
    pub account: u32,
    /// Short id of the service.
    pub service: u32,
    pub admitted: u32,
    /// All that was requested, whether admitted or not.
    pub offered: u32,
    /// What was refused although the account was within its share.
    pub unmet: u32,
}

/// The latest refusal by a service for lack of capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalReport {
    /// Short id of the service.
    pub service: u32,
    /// Time since the refusal, in milliseconds.
    pub age_ms: u16,
}

/// What one box or hall reports of the accounts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountReports {
    pub work: Vec<AccountWork>,
    pub refusals: Vec<RefusalReport>,
}

/// Sums over the reports of several boxes or halls.
#[derive(Clone, Debug, Default)]
pub struct AccountSums {
    work: HashMap<Key, WorkSum>,
    /// When requests of each service were last refused.
    refused_at_ms: HashMap<u32, u64>,
}

/// See [`AccountWork`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct WorkSum {
    admitted: u64,
    offered: u64,
    unmet: u64,
}

impl WorkSum {
    fn add(&mut self, other: Self) {
        self.admitted = self.admitted.saturating_add(other.admitted);
        self.offered = self.offered.saturating_add(other.offered);
        self.unmet = self.unmet.saturating_add(other.unmet);
    }

    fn subtract(&mut self, other: Self) {
        self.admitted = self.admitted.saturating_sub(other.admitted);
        self.offered = self.offered.saturating_sub(other.offered);
        self.unmet = self.unmet.saturating_sub(other.unmet);
    }
}

impl From<&AccountWork> for WorkSum {
    fn from(report: &AccountWork) -> Self {
        Self {
            admitted: report.admitted.into(),
            offered: report.offered.into(),
            unmet: report.unmet.into(),
        }
    }
}

impl AccountSums {
    /// Adds the work of a report.
    pub fn add_work(&mut self, reports: &AccountReports) {
        for report in &reports.work {
            self.work.entry((report.service, report.account)).or_default().add(report.into());
        }
    }

    /// Takes over the refusals of a report. They stay known until they are too old.
    pub fn note_refusals(&mut self, now_ms: u64, reports: &AccountReports) {
        for report in &reports.refusals {
            let known_at_ms = self.refused_at_ms.entry(report.service).or_default();
            *known_at_ms = now_ms.saturating_sub(report.age_ms.into()).max(*known_at_ms);
        }
    }

    /// Subtracts the work of an earlier report.
    pub fn subtract_work(&mut self, reports: &AccountReports) {
        for report in &reports.work {
            let key = (report.service, report.account);
            let Some(sum) = self.work.get_mut(&key) else { continue };
            sum.subtract(report.into());
            if *sum == WorkSum::default() {
                self.work.remove(&key);
            }
        }
    }

    /// Adds other sums.
    pub fn merge(&mut self, other: &Self) {
        for (key, sum) in &other.work {
            self.work.entry(*key).or_default().add(*sum);
        }
        for (service, at_ms) in &other.refused_at_ms {
            let known_at_ms = self.refused_at_ms.entry(*service).or_default();
            *known_at_ms = (*at_ms).max(*known_at_ms);
        }
    }

    /// The sums as they are reported, the largest ones first if there are too many.
    #[must_use]
    pub fn reports(&self, now_ms: u64) -> AccountReports {
        let as_u32 = |work: u64| u32::try_from(work).unwrap_or(u32::MAX);
        let work = self.work.iter().map(|((service, account), sum)| AccountWork {
            account: *account,
            service: *service,
            admitted: as_u32(sum.admitted),
            offered: as_u32(sum.offered),
            unmet: as_u32(sum.unmet),
        });
        let refusals = self.refusing(now_ms).map(|(service, at_ms)| RefusalReport {
            service,
            age_ms: u16::try_from(now_ms.saturating_sub(at_ms)).unwrap_or(u16::MAX),
        });
        AccountReports {
            work: largest(work.collect(), MAX_HALL_WORK_REPORTS),
            refusals: refusals.collect(),
        }
    }

    /// Services that have refused requests recently, and when they last did.
    fn refusing(&self, now_ms: u64) -> impl Iterator<Item = (u32, u64)> {
        let refused = self.refused_at_ms.iter().map(|(service, at_ms)| (*service, *at_ms));
        refused.filter(move |(_, at_ms)| now_ms < at_ms + ACTIVE_MS)
    }

    /// The accounts with recent requests to a service.
    fn of_service(
        &self,
        service: u32,
        weight_of: impl Fn(u32) -> Option<f64>,
    ) -> Vec<AccountDemand> {
        let of_service = self.work.iter().filter(|((of, _), _)| *of == service);
        let recent = of_service.filter(|(_, sum)| sum.offered >= MIN_RECENT_WORK);
        let demands = recent.filter_map(|((_, account), sum)| {
            let [admitted, offered, unmet] = [sum.admitted, sum.offered, sum.unmet].map(as_f64);
            Some(AccountDemand {
                account: *account,
                weight: weight_of(*account)?,
                admitted,
                offered,
                unmet,
            })
        });
        demands.collect()
    }
}

/// What an account requests of a service in the whole fleet, in work per second.
#[derive(Clone, Copy, Debug)]
struct AccountDemand {
    account: u32,
    weight: f64,
    admitted: f64,
    offered: f64,
    unmet: f64,
}

/// The entries with the most work.
fn largest(mut work: Vec<AccountWork>, count: usize) -> Vec<AccountWork> {
    work.sort_unstable_by_key(|report| std::cmp::Reverse(report.offered));
    work.truncate(count);
    work
}

/// Work of a request: its prefill and its output. A request without a prompt counts as one.
#[must_use]
pub fn work_of(prefill_tokens: u32, max_output_tokens: u32) -> u64 {
    (u64::from(prefill_tokens) + OUTPUT_TOKEN_WORK * u64::from(max_output_tokens)).max(1)
}

/// How this box decides on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    Admitted,
    Refused,
}

/// An account that was limited to its share, in work per second of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitedAccount {
    pub share: f64,
    pub offered: f64,
}

/// The shares of the client accounts, and what each has requested at this box.
#[derive(Debug, Default)]
pub struct AccountShares {
    own: HashMap<Key, OwnWork>,
    /// When this box last refused requests of each service.
    refused_at_ms: HashMap<u32, u64>,
    /// Services that refuse requests, by their short ids.
    divided: HashMap<u32, Division>,
}

/// What an account has requested at this box.
#[derive(Clone, Copy, Debug, Default)]
struct OwnWork {
    admitted: f64,
    offered: f64,
    unmet: f64,
    updated_at_ms: u64,
    /// Work admitted beyond the share; negative if the account has got less.
    ahead: f64,
}

impl OwnWork {
    /// Decays the sums by the time since they were updated.
    fn decay(&mut self, now_ms: u64) {
        let kept = (-as_f64(now_ms.saturating_sub(self.updated_at_ms)) / WINDOW_MS).exp();
        self.admitted *= kept;
        self.offered *= kept;
        self.unmet *= kept;
        self.updated_at_ms = self.updated_at_ms.max(now_ms);
    }
}

/// How the capacity of a service is divided.
#[derive(Clone, Debug)]
struct Division {
    until_ms: u64,
    /// Accounts that offer more than their share.
    limited: HashMap<u32, LimitedAccount>,
}

impl Division {
    /// Divides what the fleet admits, given the last refusal.
    fn new(refused_at_ms: u64, demands: &[AccountDemand]) -> Self {
        let admitted: f64 = demands.iter().map(|demand| demand.admitted).sum();
        let unmet: f64 = demands.iter().map(|demand| demand.unmet).sum();
        let unmet_part = unmet / (admitted + unmet).max(1.0);
        let growth = MAX_GROWTH * (1.0 - unmet_part / NORMAL_UNMET_PART).max(0.0);
        let limited = divide(admitted * (1.0 + growth), demands);
        Self { until_ms: refused_at_ms + ACTIVE_MS, limited }
    }

    /// Part of the offered work that the account may have.
    fn served_part(&self, account: u32) -> f64 {
        self.limited.get(&account).map_or(1.0, |limited| limited.share / limited.offered)
    }
}

impl AccountShares {
    /// Part of the normal capacity of a service that requests of an account may use.
    #[must_use]
    pub fn account_part(&self, now_ms: u64, service: &str, account: u32) -> f64 {
        let service = short_id(service);
        let Some(division) = self.divided.get(&service) else { return 1.0 };
        let is_ahead = self.own.get(&(service, account)).is_some_and(|own| own.ahead > 0.0);
        if now_ms >= division.until_ms || !is_ahead || !division.limited.contains_key(&account) {
            return 1.0;
        }
        let (min, max) = EXCESS_PART_RANGE;
        division.served_part(account).clamp(min, max)
    }

    /// Records a request and how it was decided on. Returns the share if a request beyond it was
    /// refused.
    pub fn record(
        &mut self,
        now_ms: u64,
        service: &str,
        account: u32,
        work: u64,
        admission: Admission,
    ) -> Option<LimitedAccount> {
        let service = short_id(service);
        let work = as_f64(work);
        let division = self.divided.get(&service).filter(|division| now_ms < division.until_ms);
        let served_part = division.map_or(1.0, |division| division.served_part(account));
        let own = self.own.entry((service, account)).or_default();
        own.decay(now_ms);
        let is_ahead = own.ahead > 0.0;
        own.offered += work;
        own.ahead -= work * served_part;
        match admission {
            Admission::Admitted => {
                own.admitted += work;
                own.ahead += work;
            }
            Admission::Refused => {
                self.refused_at_ms.insert(service, now_ms);
                own.unmet += if is_ahead { 0.0 } else { work };
            }
        }
        let max_ahead = (own.offered * served_part).max(MIN_BALANCE_REQUESTS * work);
        own.ahead = own.ahead.clamp(-MIN_BALANCE_REQUESTS * work, max_ahead);
        if division.is_none() {
            own.ahead = 0.0;
        }
        let is_beyond_share = admission == Admission::Refused && is_ahead;
        division?.limited.get(&account).copied().filter(|_| is_beyond_share)
    }

    /// What this box reports: nothing of services that refuse no requests.
    #[must_use]
    pub fn reports(&self, now_ms: u64) -> AccountReports {
        if self.divided.is_empty() && self.refused_at_ms.is_empty() {
            return AccountReports::default();
        }
        let AccountReports { mut work, refusals } = self.own_sums(now_ms).reports(now_ms);
        work.retain(|report| {
            self.divided.contains_key(&report.service)
                || refusals.iter().any(|refusal| refusal.service == report.service)
        });
        AccountReports { work: largest(work, MAX_WORK_REPORTS), refusals }
    }

    /// Divides the capacity of each service that refuses requests anywhere in the fleet. `others`
    /// are the reports of all other boxes; `weight_of` is `None` for accounts that do not exist.
    pub fn update(
        &mut self,
        now_ms: u64,
        others: &AccountSums,
        weight_of: impl Fn(u32) -> Option<f64>,
    ) {
        self.own.retain(|_, own| now_ms < own.updated_at_ms + RETENTION_MS);
        self.refused_at_ms.retain(|_, at_ms| now_ms < *at_ms + ACTIVE_MS);
        if self.refused_at_ms.is_empty() && others.refusing(now_ms).next().is_none() {
            self.divided.clear();
            return;
        }
        let mut sums = self.own_sums(now_ms);
        sums.merge(others);
        let divided = sums.refusing(now_ms).map(|(service, refused_at_ms)| {
            (service, Division::new(refused_at_ms, &sums.of_service(service, &weight_of)))
        });
        self.divided = divided.collect();
    }

    /// Number of accounts that offer more than their share, for metrics.
    #[must_use]
    pub fn limited_count(&self) -> usize {
        self.divided.values().map(|division| division.limited.len()).sum()
    }

    fn own_sums(&self, now_ms: u64) -> AccountSums {
        let work = self.own.iter().map(|(key, own)| {
            let mut own = *own;
            own.decay(now_ms);
            let [admitted, offered, unmet] =
                [own.admitted, own.offered, own.unmet].map(rounded_down);
            (*key, WorkSum { admitted, offered, unmet })
        });
        AccountSums { work: work.collect(), refused_at_ms: self.refused_at_ms.clone() }
    }
}

/// Divides a capacity by weighted max-min fairness. Returns the accounts that offer more than their
/// share.
fn divide(capacity: f64, demands: &[AccountDemand]) -> HashMap<u32, LimitedAccount> {
    if demands.len() < 2 {
        return HashMap::new();
    }
    let offered: f64 = demands.iter().map(|demand| demand.offered).sum();
    let mean_share = capacity / as_f64(demands.len() as u64);
    let mean_served_part = capacity / offered;
    let share = |demand: &AccountDemand, level: f64| {
        let least = mean_share.max(mean_served_part * demand.offered) * MIN_MEAN_PART;
        (demand.weight * level).max(least)
    };
    let total = |level: f64| -> f64 {
        demands.iter().map(|demand| share(demand, level).min(demand.offered)).sum()
    };
    // Bisection for the share of an account of weight 1.
    let mut low = 0.0;
    let mut high = demands.iter().map(|demand| demand.offered / demand.weight).fold(0.0, f64::max);
    for _ in 0..LEVEL_STEPS {
        let level = f64::midpoint(low, high);
        if total(level) < capacity { low = level } else { high = level }
    }
    let limited = demands.iter().filter_map(|demand| {
        let (share, offered) = (share(demand, high), demand.offered);
        (share < offered).then_some((demand.account, LimitedAccount { share, offered }))
    });
    limited.collect()
}
