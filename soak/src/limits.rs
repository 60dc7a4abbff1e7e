//! Upstreams that name how many requests a second they take from all boxes together, and change that;
//! clients that send more, at times most of them to one box.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use coursestile_standins::site::client::{Client, request};
use coursestile_standins::site::server::Server;
use coursestile_standins::site::{Site, service_entry};
use fastrand::Rng;
use serde_json::{Value, json};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::CLIENTS;
use crate::checks::{RECOVERY_MS, RunData};
use crate::parts::crowded_box;
use crate::plan::{Action, is_undisturbed};
use crate::world::World;

/// Service name of these upstreams, and path prefix of their route.
const SERVICE: &str = "limited";
const PATH: &str = "/safe/limited/";
const UPSTREAMS: usize = 4;
/// Limits that they name, in requests a second.
const LIMITS: [f64; 5] = [0.0, 0.3, 1.2, 4.0, 9.0];
/// Time for which limits stay as they are, or change each second.
const PHASE_MS: std::ops::Range<u64> = 7000..9000;
const CHANGE_PERIOD: Duration = Duration::from_secs(1);
const WORK: &str = "X-Work-Ms: 15\r\n";
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(40);
const SEND_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time over which the requests to an upstream are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// How often the named rate is allowed in such a time, and how many requests beside that.
const TOLERATED_RATIO: f64 = 1.5;
const TOLERATED_EXTRA: f64 = 5.0;
/// Time after an answer that names a limit from which the requests of its box count, and after a change
/// of a limit from which it must be followed.
const NEWS_TIME: Duration = Duration::from_millis(500);
/// Longest time after which an upstream must have been asked whether its limit has changed.
const MAX_UNKNOWN_TIME: Duration = Duration::from_secs(4);
/// Part of all limits that is used while requests are refused.
const USED_PART: f64 = 0.9;
/// Fewest refusals in a window that show more work than is allowed.
const MIN_REFUSED: usize = 20;
/// Time by which a request is refused: a quarter of its route's objective of 400 ms, and four times as
/// much for a busy machine.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// A limit that an upstream named from some time on.
#[derive(Clone, Copy)]
struct Naming {
    at: Instant,
    per_s: Option<f64>,
}

/// The upstreams, with all limits that each has named.
pub struct LimitedUpstreams {
    servers: Vec<Server>,
    named: Mutex<Vec<Vec<Naming>>>,
}

/// How a request ended at its first attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Served,
    Refused,
    Other,
}

/// A request to these upstreams.
pub struct LimitedRequest {
    box_number: usize,
    sent_at: Instant,
    ended_at: Instant,
    end: End,
}

/// Requests that arrived at all upstreams in a window, and those that their limits allow.
struct Usage {
    arrived: usize,
    named: f64,
}

/// A request that arrived at an upstream.
struct Arrival {
    at: Instant,
    /// When it was answered.
    answered_at: Instant,
    box_number: usize,
}

/// Adds a service and a route for these upstreams to a configuration.
pub fn add_route(document: &mut Value) {
    let mut route = document["routes"][0].clone();
    route["name"] = json!(SERVICE);
    route["path_prefix"] = json!(PATH);
    route["service"] = json!(SERVICE);
    let service = json!({ "name": SERVICE, "health_path": "/health", "max_conns": 100,
        "protocol": "h1", "tls": false });
    for (list, item) in [("routes", route), ("services", service)] {
        if let Some(items) = document[list].as_array_mut() {
            items.push(item);
        }
    }
}

impl LimitedUpstreams {
    /// Starts the upstreams and registers them.
    pub async fn start(site: &Site) -> Self {
        let mut servers = Vec::new();
        for number in 0..UPSTREAMS {
            let server = Server::start(&format!("{SERVICE}-{number}")).await;
            let mut entry = service_entry(SERVICE, &server.address, "ready");
            entry["slots"] = json!(64);
            site.register(&server.id, &entry);
            servers.push(server);
        }
        Self { servers, named: Mutex::new(vec![Vec::new(); UPSTREAMS]) }
    }

    fn named(&self) -> MutexGuard<'_, Vec<Vec<Naming>>> {
        self.named.lock().expect("no task panics under the lock")
    }

    fn name(&self, number: usize, per_s: Option<f64>) {
        let text = per_s.map(|per_s| per_s.to_string());
        self.servers[number].name_limit(text.as_deref());
        self.named()[number].push(Naming { at: Instant::now(), per_s });
    }

    /// Names limits, changes and withdraws them.
    async fn change_limits(&self, seed: u64, stop: &AtomicBool) {
        let mut rng = Rng::with_seed(seed);
        let any = |rng: &mut Rng| LIMITS[rng.usize(..LIMITS.len())];
        for phase in 0.. {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            // All of them; some of them; one of them, which changes.
            let kind = if phase % 2 == 0 { 0 } else { rng.u32(..3) };
            for number in 0..UPSTREAMS {
                let is_limited = kind == 0 || number == 0 || kind == 1 && rng.bool();
                let limit = any(&mut rng);
                self.name(number, is_limited.then_some(limit));
            }
            let until = Instant::now() + Duration::from_millis(rng.u64(PHASE_MS));
            while Instant::now() < until && !stop.load(Ordering::Relaxed) {
                sleep(CHANGE_PERIOD).await;
                if kind == 2 {
                    let limit = any(&mut rng);
                    self.name(0, rng.bool().then_some(limit));
                }
            }
        }
    }

    /// Requests that the limit of an upstream allows in a time, with the highest limit of the last
    /// [`NEWS_TIME`] at each moment; `None` if it had none at some moment.
    fn allowed(&self, number: usize, from: Instant, to: Instant) -> Option<f64> {
        let named = self.named();
        let namings = &named[number];
        let step = Duration::from_millis(50);
        let mut requests = 0.0;
        let mut at = from;
        while at < to {
            let since = at.checked_sub(NEWS_TIME).unwrap_or(at);
            let first = namings.iter().rposition(|naming| naming.at <= since)?;
            let in_force = namings[first..].iter().take_while(|naming| naming.at <= at);
            let rates: Option<Vec<f64>> = in_force.map(|naming| naming.per_s).collect();
            requests += rates?.into_iter().fold(0.0, f64::max) * step.as_secs_f64();
            at += step;
        }
        Some(requests)
    }

    /// Whether an upstream named a limit at a time.
    fn is_limited_at(&self, number: usize, at: Instant) -> bool {
        let named = self.named();
        let naming = named[number].iter().rev().find(|naming| naming.at <= at);
        naming.is_some_and(|naming| naming.per_s.is_some())
    }

    fn arrivals(&self, number: usize) -> Vec<Arrival> {
        let handled = self.servers[number].handled().into_iter();
        let arrivals = handled.filter_map(|handled| {
            let box_number = handled.request_id.split('-').next()?.parse().ok()?;
            Some(Arrival { at: handled.at, answered_at: handled.answered_at, box_number })
        });
        arrivals.collect()
    }
}

/// Starts the task that changes the limits, and the clients, which run until `stop` is set.
pub fn start_clients(
    world: &Arc<World>,
    sent: &Arc<Mutex<Vec<LimitedRequest>>>,
    stop: &Arc<AtomicBool>,
    seed: u64,
) -> Vec<JoinHandle<()>> {
    let seed = seed.wrapping_mul(1000) + 900;
    let (changed, stopped) = (world.clone(), stop.clone());
    let mut tasks = vec![tokio::spawn(async move {
        if let Some(limited) = &changed.limited {
            limited.change_limits(seed, &stopped).await;
        }
    })];
    for number in 0..world.boxes.len() * CLIENTS {
        let (world, sent, stop) = (world.clone(), sent.clone(), stop.clone());
        let box_number = number % world.boxes.len();
        tasks.push(tokio::spawn(send_requests(world, sent, stop, box_number, number)));
    }
    tasks
}

/// Sends requests to a box until `stop` is set, or to the one that most clients turn to.
async fn send_requests(
    world: Arc<World>,
    sent: Arc<Mutex<Vec<LimitedRequest>>>,
    stop: Arc<AtomicBool>,
    own_box: usize,
    client: usize,
) {
    let started_at = Instant::now();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let crowded = crowded_box(started_at.elapsed(), world.boxes.len());
        let box_number = crowded.unwrap_or(own_box);
        let id = format!("{box_number}-l{client}-{number}");
        let sent_at = Instant::now();
        let sending = async {
            let address = &world.boxes[box_number].process.clients;
            let mut client = Client::try_connect(address).await.ok()?;
            client.send(&request("POST", PATH, &id, WORK, &id)).await
        };
        let end = match timeout(SEND_TIMEOUT, sending).await.ok().flatten() {
            Some(answer) if answer.status() == 200 && answer.complete => End::Served,
            Some(answer) if answer.status() == 503 => End::Refused,
            Some(_) | None => End::Other,
        };
        let ended_at = Instant::now();
        let request = LimitedRequest { box_number, sent_at, ended_at, end };
        sent.lock().expect("no task panics under the lock").push(request);
        sleep(PAUSE).await;
    }
}

impl RunData<'_> {
    /// Upstreams that got more than they had named, limits that were left unused while requests were
    /// refused, and requests that were held and then refused.
    pub(crate) fn limit_violations(&self, sent: &[LimitedRequest]) -> Vec<String> {
        let Some(limited) = &self.world.limited else { return Vec::new() };
        let mut violations = Vec::new();
        for number in 0..UPSTREAMS {
            violations.extend(self.exceeded_limit(limited, number));
        }
        violations
            .extend(self.windows(sent).filter_map(|from| self.unused_limits(limited, sent, from)));
        let held = sent.iter().filter(|request| {
            request.end == End::Refused
                && request.ended_at - request.sent_at > REFUSAL_TIME
                && self.is_undisturbed_request(request)
        });
        let held: Vec<String> = held
            .map(|request| {
                let took = request.ended_at - request.sent_at;
                format!("at {} ms after {} ms", self.at_ms(request.sent_at), took.as_millis())
            })
            .collect();
        if !held.is_empty() {
            violations.push(format!("refused late: {}", held.join(", ")));
        }
        violations
    }

    /// The starts of the windows that are judged.
    fn windows(&self, sent: &[LimitedRequest]) -> impl Iterator<Item = Instant> {
        let ended_at = sent.iter().map(|request| request.sent_at).max().unwrap_or(self.started_at);
        let step = Duration::from_millis(500);
        (0..)
            .map(move |number| step * number)
            .map(|after| self.started_at + after)
            .take_while(move |from| *from + WINDOW < ended_at)
    }

    /// The first window in which an upstream got more than it takes, from boxes that knew.
    fn exceeded_limit(&self, limited: &LimitedUpstreams, number: usize) -> Option<String> {
        let arrivals = limited.arrivals(number);
        let counted: Vec<&Arrival> = arrivals
            .iter()
            .filter(|arrival| self.was_told(limited, number, &arrivals, arrival))
            .collect();
        counted.iter().find_map(|first| {
            let (from, to) = (first.at, first.at + WINDOW);
            let allowed = TOLERATED_RATIO * limited.allowed(number, from, to)? + TOLERATED_EXTRA;
            let within = counted.iter().filter(|arrival| (from..to).contains(&arrival.at)).count();
            (count(within) > allowed).then(|| {
                format!("upstream {number} got {within} requests in 4 s from {} ms on, {allowed:.1} allowed",
                    self.at_ms(from))
            })
        })
    }

    /// Whether the box of a request had passed on an answer that names the limit, and had not failed
    /// or been cut off since.
    fn was_told(
        &self,
        limited: &LimitedUpstreams,
        number: usize,
        arrivals: &[Arrival],
        arrival: &Arrival,
    ) -> bool {
        let told = arrivals.iter().any(|earlier| {
            earlier.box_number == arrival.box_number
                && earlier.answered_at + NEWS_TIME <= arrival.at
                && limited.is_limited_at(number, earlier.answered_at)
        });
        let at_ms = self.at_ms(arrival.at);
        told && !self.is_box_disturbed(arrival.box_number, at_ms, at_ms)
    }

    /// Whether a box had an outage, or its links to others a fault, in a time or shortly before.
    fn is_box_disturbed(&self, box_number: usize, from_ms: u64, to_ms: u64) -> bool {
        let had_outage =
            self.had_outage_at(Some(box_number), self.started_at_ms + from_ms, RECOVERY_MS, |_| {
                true
            });
        had_outage
            || self.steps.iter().any(|step| {
                matches!(step.action, Action::PeersLink(..))
                    && step.pick % self.world.boxes.len() == box_number
                    && step.at_ms <= to_ms
                    && step.until_ms + RECOVERY_MS >= from_ms
            })
    }

    /// Limits that were not used from `from` on although requests were refused.
    fn unused_limits(
        &self,
        limited: &LimitedUpstreams,
        sent: &[LimitedRequest],
        from: Instant,
    ) -> Option<String> {
        let Usage { arrived, named } = self.usage(limited, sent, from)?;
        // A window may begin just after a request to each.
        (count(arrived + UPSTREAMS) < USED_PART * named).then(|| {
            format!(
                "{arrived} of {named:.1} requests were sent in 4 s from {} ms on",
                self.at_ms(from)
            )
        })
    }

    /// How far all limits were used from `from` on, if they stayed the same, requests were refused, and
    /// no fault had an effect.
    fn usage(
        &self,
        limited: &LimitedUpstreams,
        sent: &[LimitedRequest],
        from: Instant,
    ) -> Option<Usage> {
        let to = from + WINDOW;
        let (from_ms, to_ms) = (self.at_ms(from), self.at_ms(to));
        let refused = sent
            .iter()
            .filter(|request| request.end == End::Refused && (from..to).contains(&request.sent_at));
        // Boxes that stop or start again change who issues permits.
        let has_step = self
            .steps
            .iter()
            .any(|step| step.at_ms <= to_ms && step.until_ms + RECOVERY_MS >= from_ms);
        if has_step || refused.count() < MIN_REFUSED {
            return None;
        }
        let named: Option<Vec<f64>> =
            (0..UPSTREAMS).map(|number| limited.steady_limit(number, from, to)).collect();
        let arrived = (0..UPSTREAMS).map(|number| {
            let arrivals = limited.arrivals(number);
            arrivals.iter().filter(|arrival| (from..to).contains(&arrival.at)).count()
        });
        Some(Usage { arrived: arrived.sum(), named: named?.into_iter().sum() })
    }

    fn is_undisturbed_request(&self, request: &LimitedRequest) -> bool {
        let (from_ms, to_ms) = (self.at_ms(request.sent_at), self.at_ms(request.ended_at));
        is_undisturbed(self.steps, from_ms, to_ms)
            && !self.is_box_disturbed(request.box_number, from_ms, to_ms)
    }

    /// How much was served, refused and allowed, for the report.
    pub(crate) fn limit_outcomes(&self, sent: &[LimitedRequest]) -> Vec<(String, usize)> {
        let Some(limited) = &self.world.limited else { return Vec::new() };
        let ended = |end: End| sent.iter().filter(|request| request.end == end).count();
        let arrived = (0..UPSTREAMS).map(|number| limited.arrivals(number).len()).sum();
        let judged: Vec<Usage> =
            self.windows(sent).filter_map(|from| self.usage(limited, sent, from)).collect();
        let used = judged.iter().map(|usage| usage.arrived).sum();
        let named = judged.iter().map(|usage| usage.named.round()).sum::<f64>();
        vec![
            ("limit windows judged".to_owned(), judged.len()),
            (format!("limit windows: arrived of {named:.0}"), used),
            ("limited requests served".to_owned(), ended(End::Served)),
            ("limited requests refused".to_owned(), ended(End::Refused)),
            ("limited requests lost".to_owned(), ended(End::Other)),
            ("limited requests that arrived".to_owned(), arrived),
        ]
    }
}

impl LimitedUpstreams {
    /// Requests that the limit of an upstream allows in a time if it is the same all along, and boxes
    /// could know it; `None` otherwise.
    fn steady_limit(&self, number: usize, from: Instant, to: Instant) -> Option<f64> {
        let named = self.named();
        let in_force = named[number].iter().rposition(|naming| naming.at <= from)?;
        let Naming { at, per_s } = named[number][in_force];
        let is_last = named[number].get(in_force + 1).is_none_or(|next| next.at >= to);
        // Nobody can know before an answer names it.
        let answers = self.arrivals(number).into_iter().map(|arrival| arrival.answered_at);
        let told_at = answers.filter(|answered_at| *answered_at >= at).min();
        let is_known = told_at.is_some_and(|told_at| told_at + NEWS_TIME <= from);
        let is_late = at + MAX_UNKNOWN_TIME <= from;
        let per_s = per_s.filter(|_| is_last && (is_known || is_late))?;
        Some(per_s * (to - from).as_secs_f64())
    }
}

fn count(requests: usize) -> f64 {
    f64::from(u32::try_from(requests).unwrap_or(u32::MAX))
}
