//! The timeline of one request, from the logs of several boxes.
//!
//! The lines of the request are put in order of time. Lines of the same boxes are added
//! that show changes of the upstreams it was sent to, of the configuration and of the
//! boxes' dependencies, from some time before the request on.

use std::collections::BTreeSet;

/// Time before a request from which on other lines of its boxes are shown, in ms.
const LOOKBACK_MS: i64 = 15_000;
/// Events that concern a box as a whole rather than one upstream.
const BOX_EVENTS: [&str; 8] = [
    "dependency_lost",
    "dependency_regained",
    "configuration_in_force",
    "weights_named",
    "started",
    "stopping",
    "leadership_taken",
    "leadership_ended",
];

/// A line of a log file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Position of the line among all lines that were read.
    pub number: usize,
    /// Time since the start of the month, in ms.
    pub time_ms: i64,
    /// Name of the log file.
    pub log: String,
    /// Unchanged text of the line.
    pub text: String,
}

impl LogLine {
    /// Parses a line; `None` if it has no timestamp.
    #[must_use]
    pub fn parse(number: usize, log: &str, text: &str) -> Option<Self> {
        let timestamp =
            text.split_whitespace().find(|word| word.ends_with('Z') && word.contains('T'))?;
        let time_ms = time_ms(timestamp)?;
        Some(Self { number, time_ms, log: log.to_owned(), text: text.to_owned() })
    }

    /// Value of a `name=value` field, without quotes.
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

/// Milliseconds from the start of the month to a timestamp such as
/// `2026-12-02T14:10:01.250Z`.
fn time_ms(timestamp: &str) -> Option<i64> {
    let (date, time) = timestamp.strip_suffix('Z')?.split_once('T')?;
    let day: i64 = date.rsplit('-').next()?.parse().ok()?;
    let mut parts = time.split(':');
    let hours: i64 = parts.next()?.parse().ok()?;
    let minutes: i64 = parts.next()?.parse().ok()?;
    let (seconds, millis) = parts.next()?.split_once('.')?;
    let seconds: i64 = seconds.parse().ok()?;
    let millis: i64 = millis.parse().ok()?;
    Some((((day * 24 + hours) * 60 + minutes) * 60 + seconds) * 1000 + millis)
}

/// The lines that explain what happened to a request, in order of time.
#[must_use]
pub fn request_timeline<'a>(lines: &'a [LogLine], request: &str) -> Vec<&'a LogLine> {
    let request_lines: Vec<&LogLine> =
        lines.iter().filter(|line| line.field("request") == Some(request)).collect();
    let (Some(from_ms), Some(to_ms)) = (
        request_lines.iter().map(|line| line.time_ms).min(),
        request_lines.iter().map(|line| line.time_ms).max(),
    ) else {
        return Vec::new();
    };
    let upstreams: BTreeSet<&str> =
        request_lines.iter().filter_map(|line| line.field("upstream")).collect();
    let fingerprints: BTreeSet<&str> =
        request_lines.iter().filter_map(|line| line.field("fingerprint")).collect();
    let logs: BTreeSet<&str> = request_lines.iter().map(|line| line.log.as_str()).collect();
    let box_lines = lines.iter().filter(|line| {
        let in_period = line.time_ms >= from_ms - LOOKBACK_MS && line.time_ms <= to_ms;
        let is_box_event = line.field("event").is_some_and(|event| BOX_EVENTS.contains(&event));
        let is_of_upstream = line.field("upstream").is_some_and(|id| upstreams.contains(id));
        in_period
            && logs.contains(line.log.as_str())
            && line.field("request").is_none()
            && (is_box_event || is_of_upstream)
    });
    // A request or a part may be quarantined because of crashes long before, under other request ids.
    let fingerprint_lines = lines.iter().filter(|line| {
        let has_fingerprint =
            line.field("fingerprint").is_some_and(|fingerprint| fingerprints.contains(fingerprint));
        has_fingerprint && line.field("request").is_none() && line.time_ms <= to_ms
    });
    let parts: BTreeSet<&str> =
        request_lines.iter().filter_map(|line| line.field("part")).collect();
    let part_lines = lines.iter().filter(|line| {
        let named = ["part", "parts"].into_iter().filter_map(|name| line.field(name));
        let mut named = named.flat_map(|names| names.split(','));
        named.any(|part| parts.contains(part))
            && line.field("request").is_none()
            && line.time_ms <= to_ms
    });
    let of_others = box_lines.chain(fingerprint_lines).chain(part_lines);
    let mut timeline: Vec<&LogLine> = request_lines.iter().copied().chain(of_others).collect();
    timeline.sort_by_key(|line| (line.time_ms, line.number));
    timeline.dedup_by_key(|line| line.number);
    timeline
}
