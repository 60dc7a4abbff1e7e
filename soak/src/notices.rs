//! Checks that boxes respect what upstreams announce in their responses: that they leave, or
//! want no requests for a while.

use std::time::{Duration, Instant};

use coursestile_standins::site::server::{Behavior, HandledRequest, Server};

use crate::checks::RunData;

/// Time after which a box sends no more requests to an upstream that announced its leave, and
/// how long a request may be in transit.
const LEAVE_BOUND: Duration = Duration::from_secs(2);
const IN_TRANSIT: Duration = Duration::from_millis(500);
/// Time after which a box must respect the backoff that an upstream asked for, and number of
/// requests that may arrive nevertheless.
const BACKOFF_BOUND: Duration = Duration::from_millis(500);
const MAX_REQUESTS_DURING_BACKOFF: usize = 2;

impl RunData<'_> {
    /// Finds requests from boxes to upstreams that had announced to them that they leave or that
    /// they want no requests for a while.
    pub(crate) fn ignored_announcements(&self) -> Vec<String> {
        let upstreams = self.world.upstreams.iter().map(|upstream| &upstream.process);
        upstreams.flat_map(|upstream| self.ignored_announcements_of(upstream)).collect()
    }

    fn ignored_announcements_of(&self, upstream: &Server) -> Vec<String> {
        let done = upstream.handled();
        let mut violations = Vec::new();
        for announcement in &done {
            // Requests for a configuration version have ids that do not start with the number of
            // a box.
            let Some(box_number) = sender(announcement) else { continue };
            let announced_at = announcement.answered_at;
            let next_start = self.next_start(upstream, announcement.at);
            let (from, until, max_requests) = match announcement.behavior {
                Behavior::Leaving => (announced_at + LEAVE_BOUND + IN_TRANSIT, next_start, 0),
                Behavior::RetryAfter(time) => {
                    let backoff_end = announced_at + time;
                    let until = next_start.map_or(backoff_end, |start| start.min(backoff_end));
                    (announced_at + BACKOFF_BOUND, Some(until), MAX_REQUESTS_DURING_BACKOFF)
                }
                _ => continue,
            };
            let received = done.iter().filter(|later| {
                later.at > from
                    && until.is_none_or(|until| later.at < until)
                    && sender(later) == Some(box_number)
                    && !self.had_outage_between(box_number, announcement.at, later.at)
            });
            let received: Vec<&str> = received.map(|later| later.request_id.as_str()).collect();
            if received.len() > max_requests {
                violations.push(format!(
                    "upstream {} announced {:?} in its answer to {} at {} ms, but got {} from that box",
                    upstream.id,
                    announcement.behavior,
                    announcement.request_id,
                    self.at_ms(announcement.at),
                    received.join(", ")
                ));
            }
        }
        violations
    }

    /// The first known restart of an upstream after a time. A restart invalidates earlier
    /// announcements.
    fn next_start(&self, upstream: &Server, after: Instant) -> Option<Instant> {
        let upstream_restarts = self.world.upstream_restarts();
        let starts = upstream_restarts
            .iter()
            .filter(|restart| restart.id == upstream.id && restart.at > after);
        starts.map(|restart| restart.at).min()
    }

    /// Whether a box was down between two times and may have lost what upstreams had announced.
    fn had_outage_between(&self, box_number: usize, from: Instant, until: Instant) -> bool {
        let at_ms = |at| self.started_at_ms + self.at_ms(at);
        let box_outages = self.world.box_outages();
        box_outages.iter().any(|outage| {
            outage.box_number == box_number
                && *outage.times_ms.start() <= at_ms(until)
                && *outage.times_ms.end() >= at_ms(from)
        })
    }
}

fn sender(done: &HandledRequest) -> Option<usize> {
    done.request_id.split('-').next()?.parse().ok()
}
