//! What is known of rate limits that upstreams name, and how boxes share them.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};

use coursestile::gateway::decisions::permits::{Issued, PermitBuckets};
use coursestile::gateway::decisions::rate_limit::{LimitState, Rate, RateLimit, Sending};
use coursestile::gateway::decisions::upstream::UpstreamEntry;
use coursestile::gateway::decisions::upstreams::Upstreams;
use coursestile::gateway::heads::NamedRateLimit;
use coursestile::platform::exchange::answer_head;
use fastrand::Rng;
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use rstest::rstest;

const UPSTREAM: u32 = 7;
/// Time from a question to its answer.
const ROUND_TRIP_MS: u64 = 6;
/// Longest time for which a request waits.
const MAX_WAIT_MS: u64 = 100;
/// Time over which the requests to an upstream are counted.
const WINDOW_MS: u64 = 4000;
/// Part of a limit that is used while there is work for it.
const USED_PART: f64 = 0.9;

fn rate(per_s: f64) -> Rate {
    Rate::from_per_s(per_s).expect("a rate")
}

/// A limit that could not be read was taken for one, or for none.
#[rstest]
#[case::absent(&[], NamedRateLimit::None)]
#[case::decimal(&["1.2"], NamedRateLimit::Rate(rate(1.2)))]
#[case::spaces(&[" 20 "], NamedRateLimit::Rate(rate(20.0)))]
#[case::zero(&["0"], NamedRateLimit::Rate(rate(0.0)))]
#[case::no_leading_digit(&[".5"], NamedRateLimit::Rate(rate(0.5)))]
#[case::exponent(&["1e3"], NamedRateLimit::Rate(rate(1000.0)))]
#[case::beyond_any_traffic(&["1e300"], NamedRateLimit::Rate(rate(1e300)))]
#[case::two(&["5", "1.2"], NamedRateLimit::Rate(rate(1.2)))]
#[case::listed(&["5, 1.2"], NamedRateLimit::Rate(rate(1.2)))]
#[case::one_of_two(&["5", "many"], NamedRateLimit::Unreadable)]
#[case::negative(&["-1"], NamedRateLimit::Unreadable)]
#[case::empty(&[""], NamedRateLimit::Unreadable)]
#[case::no_number(&["NaN"], NamedRateLimit::Unreadable)]
#[case::infinite(&["inf"], NamedRateLimit::Unreadable)]
#[case::no_text(&["\u{e9}"], NamedRateLimit::Unreadable)]
fn misread(#[case] values: &[&str], #[case] expected: NamedRateLimit) {
    let mut head = HeaderMap::new();
    for value in values {
        let value = HeaderValue::from_bytes(value.as_bytes()).expect("a value");
        head.append(HeaderName::from_static("server-limit"), value);
    }
    assert_eq!(answer_head(StatusCode::OK, &head).rate_limit, expected);
}

/// An answer that was written before a limit was named ended it, since it arrived later.
#[test]
fn overtaken_answer() {
    let mut state = LimitState::default();
    assert!(state.record_answer(100, 50, Some(rate(1.2))));
    assert!(!state.record_answer(120, 80, None), "sent before the limit was known");
    assert!(!state.record_answer(120, 80, Some(rate(5.0))), "the same");
    assert_eq!(state.limit().rate, Some(rate(1.2)));
    assert!(state.record_answer(130, 80, Some(rate(0.3))), "a lower one counts at once");
    assert!(state.record_answer(300, 200, None), "sent after it was known");
    assert_eq!(state.sending(300), Sending::Permitted);
}

/// An upstream whose entry had been lost and came back was taken to have no limit; or its successor at the
/// address was taken to have it.
#[test]
fn lost_entry() {
    let entry = |started_at_ms| UpstreamEntry {
        service: "plain".to_owned(),
        software: "v1".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: "north".to_owned(),
        slots: 8,
        leaving: false,
        cold_left_ms: 0,
        models: Vec::new(),
        started_at_ms: Some(started_at_ms),
    };
    let mut upstreams = Upstreams::default();
    upstreams.upsert(0, "s-1", entry(5));
    let known = upstreams.get_mut("s-1").expect("it is listed");
    known.rate_limit.record_answer(10, 5, Some(rate(1.2)));
    upstreams.remove(20, "s-1");
    upstreams.upsert(30, "s-1", entry(5));
    assert_eq!(upstreams.get("s-1").expect("it is back").rate_limit.limit().rate, Some(rate(1.2)));
    upstreams.remove(40, "s-1");
    upstreams.upsert(50, "s-1", entry(45));
    assert_eq!(upstreams.get("s-1").expect("another").rate_limit.limit().rate, None);
}

/// What a box learned late, or had kept while it was frozen, brought an earlier limit back.
#[test]
fn outdated_report() {
    let mut rng = Rng::with_seed(1);
    for _ in 0..200 {
        let mut boxes: Vec<LimitState> = (0..4).map(|_| LimitState::default()).collect();
        let mut reports: Vec<RateLimit> = Vec::new();
        for now_ms in 1..400 {
            let at = rng.usize(..boxes.len());
            if rng.u32(..4) == 0 {
                let named = rng.bool().then(|| rate(f64::from(rng.u32(..4))));
                let sent_at_ms = now_ms - rng.u64(..now_ms.min(40));
                boxes[at].record_answer(now_ms, sent_at_ms, named);
                reports.push(boxes[at].limit());
            } else if !reports.is_empty() {
                let before = boxes[at].limit();
                let report = reports[rng.usize(..reports.len())];
                boxes[at].merge(now_ms, report);
                assert!(boxes[at].limit().number >= before.number);
            }
        }
        let all = boxes.iter().map(LimitState::limit).reduce(RateLimit::newer).expect("boxes");
        for known in &mut boxes {
            known.merge(400, all);
            assert_eq!(known.limit(), all);
        }
    }
}

/// Permits that were left were lost when others came.
#[test]
fn lost_permits() {
    let mut state = LimitState::default();
    state.record_answer(100, 50, Some(rate(20.0)));
    assert_eq!(state.begin_asking(100, 200), 1);
    assert_eq!(state.sending(100), Sending::Asked);
    state.record_issued(110, 2, 110);
    assert!(state.take_permit(110));
    state.begin_asking(120, 200);
    state.record_issued(130, 1, 180);
    assert!(state.take_permit(130) && state.take_permit(130));
    assert_eq!(state.sending(130), Sending::DeniedUntil(180));
}

/// Boxes in front of one upstream with a limit, and the box that issues its permits.
struct Model {
    boxes: Vec<LimitState>,
    buckets: PermitBuckets,
    /// Answers on their way: when they arrive, at which box, and what they say.
    answers: BTreeMap<u64, Vec<(usize, Issued)>>,
    /// Requests that wait for an answer: until when, and at which box.
    waiting: Vec<(u64, usize)>,
    sent_at_ms: Vec<u64>,
    refused: usize,
    questions: usize,
}

impl Model {
    fn new(boxes: usize, per_s: f64) -> Self {
        let limit = RateLimit { number: 1, rate: Some(rate(per_s)) };
        let mut buckets = PermitBuckets::default();
        buckets.open(0, UPSTREAM);
        Self {
            boxes: (0..boxes).map(|_| LimitState::known(0, limit)).collect(),
            buckets,
            answers: BTreeMap::new(),
            waiting: Vec::new(),
            sent_at_ms: Vec::new(),
            refused: 0,
            questions: 0,
        }
    }

    /// Delivers the answers that arrive now, for which requests wait.
    fn deliver(&mut self, now_ms: u64) {
        for (at, issued) in self.answers.remove(&now_ms).unwrap_or_default() {
            let Issued::Permits { count, next_in_ms } = issued else { continue };
            self.boxes[at].record_issued(now_ms, count, now_ms + u64::from(next_in_ms));
            let (woken, others) = std::mem::take(&mut self.waiting)
                .into_iter()
                .partition(|(_, box_number)| *box_number == at);
            self.waiting = others;
            let woken: Vec<(u64, usize)> = woken;
            for (until_ms, at) in woken {
                self.serve(now_ms, until_ms, at);
            }
        }
    }

    /// Serves a request at a box, lets it wait for permits if that may help, or refuses it.
    fn serve(&mut self, now_ms: u64, until_ms: u64, at: usize) {
        let known = &mut self.boxes[at];
        if known.take_permit(now_ms) {
            return self.sent_at_ms.push(now_ms);
        }
        let sending = known.sending(now_ms);
        if now_ms >= until_ms || matches!(sending, Sending::DeniedUntil(_)) {
            self.refused += 1;
            return known.record_unmet(now_ms);
        }
        self.waiting.push((until_ms, at));
        if sending == Sending::ToBeAsked {
            let wanted = known.begin_asking(now_ms, now_ms + 120);
            let Some(rate) = known.limit().rate else { return };
            let holder = IpAddr::V4(Ipv4Addr::from(u32::try_from(at).expect("few boxes")));
            let issued = self.buckets.issue(now_ms, UPSTREAM, rate, holder, wanted);
            self.questions += 1;
            self.answers.entry(now_ms + ROUND_TRIP_MS).or_default().push((at, issued));
        }
    }

    fn most_in_window(&self) -> usize {
        let in_window = |start: &u64| {
            let within = *start..*start + WINDOW_MS;
            self.sent_at_ms.iter().filter(|at_ms| within.contains(at_ms)).count()
        };
        self.sent_at_ms.iter().map(in_window).max().unwrap_or(0)
    }
}

/// Some box got no part of the limit, so that it was left unused while requests were refused; or all
/// boxes together exceeded it, since the one that issued permits had forgotten what it had issued.
#[rstest]
#[case::few_boxes(9, 1.2, 0.1, 0)]
#[case::one_crowded_box(9, 1.2, 0.9, 0)]
#[case::higher(9, 20.0, 0.1, 0)]
#[case::higher_crowded(9, 20.0, 0.9, 0)]
#[case::much_higher_crowded(9, 300.0, 0.9, 0)]
#[case::hundreds(295, 20.0, 0.0, 0)]
#[case::whole_fleet(985, 1.2, 0.0, 0)]
#[case::whole_fleet_higher(985, 20.0, 0.0, 0)]
#[case::whole_fleet_crowded(985, 20.0, 0.9, 0)]
#[case::issuer_forgets(9, 1.2, 0.1, 1300)]
#[case::issuer_forgets_higher(9, 20.0, 0.5, 700)]
fn unshared_limit(
    #[case] boxes: usize,
    #[case] per_s: f64,
    #[case] crowded_part: f64,
    #[case] forgets_after_ms: u64,
) {
    let length_ms: u32 = 30_000;
    let mut rng = Rng::with_seed(3);
    let mut model = Model::new(boxes, per_s);
    for now_ms in 0..u64::from(length_ms) {
        if forgets_after_ms > 0 && now_ms % forgets_after_ms == 0 {
            model.buckets = PermitBuckets::default();
        }
        model.deliver(now_ms);
        // Three times the limit.
        let mut due = 3.0 * per_s / 1000.0;
        while rng.f64() < due {
            let crowded_box = usize::from(now_ms > u64::from(length_ms / 2));
            let is_crowded = rng.f64() < crowded_part;
            let at = if is_crowded { crowded_box } else { rng.usize(..boxes) };
            model.serve(now_ms, now_ms + MAX_WAIT_MS, at);
            due -= 1.0;
        }
    }
    let count = |count: usize| f64::from(u32::try_from(count).expect("few requests"));
    let (sent, most) = (count(model.sent_at_ms.len()), count(model.most_in_window()));
    let named = per_s * f64::from(length_ms) / 1000.0;
    println!(
        "sent {sent} of {named}, most {most}, {} refused, {} questions",
        model.refused, model.questions
    );
    let burst = (per_s * 0.25).max(2.0) + per_s * 0.2;
    assert!(most <= (per_s * 4.0 + 2.0 * burst).ceil() + 1.0, "{most} in a window");
    if forgets_after_ms == 0 {
        assert!(sent >= USED_PART * named, "{sent} of {named} used");
    }
}
