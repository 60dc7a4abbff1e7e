//! The story of one request, told from the logs of many boxes.
//!
//! A request's own lines are put in order. Beside them stand the lines by
//! which its boxes changed what they believe of the upstreams that it was sent
//! to, of the configuration and of their dependencies, for a while before.

use std::collections::BTreeSet;

/// Time before a request for which changes of belief are shown, in ms.
const BEFORE_MS: i64 = 15_000;
/// Events by which a box changes what it believes of everything.
const GENERAL_EVENTS: [&str; 8] = [
    "dependency_lost",
    "dependency_regained",
    "configuration_in_force",
    "weights_named",
    "started",
    "stopping",
    "leadership_taken",
    "leadership_ended",
];

/// A line of a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Place of the line among all that were read.
    pub number: usize,
    /// Time within the day, in ms; lines without one are left out.
    pub time_ms: i64,
    /// Name of the log that it is from.
    pub log: String,
    /// Text as it stands.
    pub text: String,
}

impl LogLine {
    /// Reads a line; `None` when it has no time.
    #[must_use]
    pub fn parse(number: usize, log: &str, text: &str) -> Option<Self> {
        let stamp =
            text.split_whitespace().find(|word| word.ends_with('Z') && word.contains('T'))?;
        let time_ms = time_ms(stamp)?;
        Some(Self { number, time_ms, log: log.to_owned(), text: text.to_owned() })
    }

    /// Value of a field, without its quotes.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        let start = self.text.find(&format!(" {name}="))? + name.len() + 2;
        let value = &self.text[start..];
        match value.strip_prefix('"') {
            Some(quoted) => quoted.split('"').next(),
            None => value.split(' ').next(),
        }
    }
}

/// Milliseconds of a stamp such as `2026-12-02T14:10:01.250Z`, from the start
/// of its month.
fn time_ms(stamp: &str) -> Option<i64> {
    let (date, time) = stamp.strip_suffix('Z')?.split_once('T')?;
    let day: i64 = date.rsplit('-').next()?.parse().ok()?;
    let mut parts = time.split(':');
    let hours: i64 = parts.next()?.parse().ok()?;
    let minutes: i64 = parts.next()?.parse().ok()?;
    let (seconds, millis) = parts.next()?.split_once('.')?;
    let seconds: i64 = seconds.parse().ok()?;
    let millis: i64 = millis.parse().ok()?;
    Some((((day * 24 + hours) * 60 + minutes) * 60 + seconds) * 1000 + millis)
}

/// The lines that tell what became of a request, in order of time.
#[must_use]
pub fn request_timeline<'a>(lines: &'a [LogLine], request: &str) -> Vec<&'a LogLine> {
    let own: Vec<&LogLine> =
        lines.iter().filter(|line| line.field("request") == Some(request)).collect();
    let (Some(from_ms), Some(to_ms)) =
        (own.iter().map(|line| line.time_ms).min(), own.iter().map(|line| line.time_ms).max())
    else {
        return Vec::new();
    };
    let upstreams: BTreeSet<&str> = own.iter().filter_map(|line| line.field("upstream")).collect();
    let fingerprints: BTreeSet<&str> =
        own.iter().filter_map(|line| line.field("fingerprint")).collect();
    let logs: BTreeSet<&str> = own.iter().map(|line| line.log.as_str()).collect();
    let beside = lines.iter().filter(|line| {
        let near = line.time_ms >= from_ms - BEFORE_MS && line.time_ms <= to_ms;
        let general = line.field("event").is_some_and(|event| GENERAL_EVENTS.contains(&event));
        let of_upstream = line.field("upstream").is_some_and(|id| upstreams.contains(id));
        near && logs.contains(line.log.as_str())
            && line.field("request").is_none()
            && (general || of_upstream)
    });
    // A request may be held back for long after what its earlier tries did.
    let earlier = lines.iter().filter(|line| {
        let of_same = line.field("fingerprint").is_some_and(|one| fingerprints.contains(one));
        of_same && line.field("request").is_none() && line.time_ms <= to_ms
    });
    let mut timeline: Vec<&LogLine> = own.iter().copied().chain(beside).chain(earlier).collect();
    timeline.sort_by_key(|line| (line.time_ms, line.number));
    timeline.dedup_by_key(|line| line.number);
    timeline
}
