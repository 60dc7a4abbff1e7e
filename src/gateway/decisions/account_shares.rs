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
/// Part of the normal capacity that requests beyond the share may use: the first for accounts that
/// hardly exceed it. The rest is left to the requests within their share that arrive meanwhile.
/// Slots are full only below 0.76 of the normal capacity, which exceeds 1.
const EXCESS_PART_RANGE: (f64, f64) = (0.5, 0.75);
/// Part of its mean share that an account gets at least, whatever its weight.
const MIN_MEAN_SHARE_PART: f64 = 0.25;
/// Part of the divided work that is not admitted when the division fits the capacity: engines that
/// are used well refuse a request now and then.
const NORMAL_UNMET_PART: f64 = 0.02;
/// Largest surplus of the divided work over the admitted one. Without a surplus, capacity that is
/// once unused would stay so.
const MAX_SURPLUS: f64 = 0.25;
/// Change of the surplus per second, relative to the difference from [`NORMAL_UNMET_PART`].
const SURPLUS_CHANGE_PER_S: f64 = 5.0;
/// Number of requests of the size of the last one by which an account may at least run ahead of or
/// behind its share at one box.
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
    /// Admitted and offered work.
    work: HashMap<Key, (u64, u64)>,
    /// When requests of each service were last refused.
    refused_at_ms: HashMap<u32, u64>,
}

impl AccountSums {
    /// Adds the work of a report.
    pub fn add_work(&mut self, reports: &AccountReports) {
        for report in &reports.work {
            let (admitted, offered) =
                self.work.entry((report.service, report.account)).or_default();
            *admitted += u64::from(report.admitted);
            *offered += u64::from(report.offered);
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
            let Some((admitted, offered)) = self.work.get_mut(&key) else { continue };
            *admitted -= u64::from(report.admitted);
            *offered -= u64::from(report.offered);
            if (*admitted, *offered) == (0, 0) {
                self.work.remove(&key);
            }
        }
    }

    /// Adds other sums.
    pub fn merge(&mut self, other: &Self) {
        for (key, (more_admitted, more_offered)) in &other.work {
            let (admitted, offered) = self.work.entry(*key).or_default();
            *admitted += more_admitted;
            *offered += more_offered;
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
        let work = self.work.iter().map(|((service, account), (admitted, offered))| AccountWork {
            account: *account,
            service: *service,
            admitted: as_u32(*admitted),
            offered: as_u32(*offered),
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
        let recent = of_service.filter(|(_, (_, offered))| *offered >= MIN_RECENT_WORK);
        let demands = recent.filter_map(|((_, account), (admitted, offered))| {
            let (admitted, offered) = (as_f64(*admitted), as_f64(*offered));
            Some(AccountDemand {
                account: *account,
                weight: weight_of(*account)?,
                admitted,
                offered,
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
    updated_at_ms: u64,
    /// Work admitted beyond the share; negative if the account has got less.
    ahead: f64,
    limit_logged_at_ms: u64,
}

impl OwnWork {
    /// Decays the sums by the time since they were updated.
    fn decay(&mut self, now_ms: u64) {
        let kept = (-as_f64(now_ms.saturating_sub(self.updated_at_ms)) / WINDOW_MS).exp();
        self.admitted *= kept;
        self.offered *= kept;
        self.updated_at_ms = self.updated_at_ms.max(now_ms);
    }
}

/// How the capacity of a service is divided.
#[derive(Clone, Debug, Default)]
struct Division {
    until_ms: u64,
    updated_at_ms: u64,
    /// Surplus of the divided work over the admitted one.
    surplus: f64,
    /// Accounts that offer more than their share.
    accounts: HashMap<u32, LimitedAccount>,
}

impl Division {
    /// Part of the offered work that the account may have.
    fn served_part(&self, account: u32) -> f64 {
        self.accounts.get(&account).map_or(1.0, |limited| limited.share / limited.offered)
    }

    /// Part of the divided work that was not admitted.
    fn unmet_part(&self, demands: &[AccountDemand]) -> f64 {
        let divided =
            demands.iter().map(|demand| demand.offered * self.served_part(demand.account));
        let (divided, admitted) = (divided.sum::<f64>(), total_admitted(demands));
        (1.0 - admitted / divided.max(1.0)).max(0.0)
    }

    /// Divides the capacity anew.
    fn update(&mut self, now_ms: u64, refused_at_ms: u64, demands: Vec<AccountDemand>) {
        let elapsed_s = as_f64((now_ms - self.updated_at_ms).min(ACTIVE_MS)) / 1000.0;
        let change = NORMAL_UNMET_PART - self.unmet_part(&demands);
        if self.updated_at_ms > 0 {
            self.surplus += change * SURPLUS_CHANGE_PER_S * elapsed_s;
        }
        self.surplus = self.surplus.clamp(0.0, MAX_SURPLUS);
        self.updated_at_ms = now_ms;
        self.until_ms = refused_at_ms + ACTIVE_MS;
        self.accounts = divide(total_admitted(&demands) * (1.0 + self.surplus), demands);
    }
}

impl AccountShares {
    /// Part of the normal capacity of a service that requests of an account may use.
    #[must_use]
    pub fn account_part(&self, now_ms: u64, service: &str, account: u32) -> f64 {
        let service = short_id(service);
        let Some(division) = self.divided.get(&service) else { return 1.0 };
        let is_ahead = self.own.get(&(service, account)).is_some_and(|own| own.ahead > 0.0);
        if now_ms >= division.until_ms || !is_ahead {
            return 1.0;
        }
        let (min, max) = EXCESS_PART_RANGE;
        if division.accounts.contains_key(&account) {
            division.served_part(account).clamp(min, max)
        } else {
            1.0
        }
    }

    /// Records a request and how it was decided on. Returns the share that was exceeded by a
    /// refused one, at most once a second.
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
            }
        }
        let max_ahead = (own.offered * served_part).max(MIN_BALANCE_REQUESTS * work);
        own.ahead = own.ahead.clamp(-max_ahead, max_ahead);
        if division.is_none() {
            own.ahead = 0.0;
        }
        let limited = division?.accounts.get(&account).copied();
        let is_logged = admission == Admission::Refused
            && is_ahead
            && now_ms >= own.limit_logged_at_ms + rounded_down(WINDOW_MS);
        if is_logged {
            own.limit_logged_at_ms = now_ms;
        }
        limited.filter(|_| is_logged)
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
            let mut division = self.divided.remove(&service).unwrap_or_default();
            division.update(now_ms, refused_at_ms, sums.of_service(service, &weight_of));
            (service, division)
        });
        self.divided = divided.collect();
    }

    /// Number of accounts that offer more than their share, for metrics.
    #[must_use]
    pub fn limited_count(&self) -> usize {
        self.divided.values().map(|division| division.accounts.len()).sum()
    }

    fn own_sums(&self, now_ms: u64) -> AccountSums {
        let work = self.own.iter().map(|(key, own)| {
            let mut own = *own;
            own.decay(now_ms);
            (*key, (rounded_down(own.admitted), rounded_down(own.offered)))
        });
        AccountSums { work: work.collect(), refused_at_ms: self.refused_at_ms.clone() }
    }
}

fn total_admitted(demands: &[AccountDemand]) -> f64 {
    demands.iter().map(|demand| demand.admitted).sum()
}

/// Divides a capacity by weighted max-min fairness. Returns the accounts that offer more than their
/// share.
fn divide(capacity: f64, mut demands: Vec<AccountDemand>) -> HashMap<u32, LimitedAccount> {
    if demands.len() < 2 {
        return HashMap::new();
    }
    let min_share = capacity / as_f64(demands.len() as u64) * MIN_MEAN_SHARE_PART;
    let relative = |demand: &AccountDemand| demand.offered / demand.weight;
    demands.sort_by(|left, right| relative(left).total_cmp(&relative(right)));
    let mut left_weight: f64 = demands.iter().map(|demand| demand.weight).sum();
    let mut left_capacity = capacity;
    let mut limited = HashMap::new();
    for AccountDemand { account, weight, offered, .. } in demands {
        let share = (left_capacity * weight / left_weight).max(min_share);
        if offered > share {
            limited.insert(account, LimitedAccount { share, offered });
        } else {
            left_capacity = (left_capacity - offered).max(0.0);
            left_weight -= weight;
        }
    }
    limited
}
