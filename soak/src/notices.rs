//! What upstreams say of themselves in their answers, held against what comes to them.

use std::time::{Duration, Instant};

use coursestile_standins::site::server::{Behavior, HandledRequest, Server};

use crate::checks::RunData;

/// Time after which a box heeds that an upstream leaves, and what a request may take on its way.
const LEAVE_BOUND: Duration = Duration::from_secs(2);
const ON_ITS_WAY: Duration = Duration::from_millis(500);
/// Time after which a box heeds a rest, and requests that may come all the same.
const REST_BEGINS: Duration = Duration::from_millis(500);
const MOST_IN_REST: usize = 2;

impl RunData<'_> {
    /// Requests that came to upstreams which had told their box that they leave, or rest.
    pub(crate) fn ignored_announcements(&self) -> Vec<String> {
        let upstreams = self.world.upstreams.iter().map(|one| &one.process);
        upstreams.flat_map(|upstream| self.ignored_announcements_of(upstream)).collect()
    }

    fn ignored_announcements_of(&self, upstream: &Server) -> Vec<String> {
        let done = upstream.handled();
        let mut found = Vec::new();
        for told in &done {
            // Questions for the configuration do not tell their box.
            let Some(box_number) = sender(told) else { continue };
            let said_at = told.answered_at;
            let next_start = self.next_start(upstream, told.at);
            let (from, until, most) = match told.behavior {
                Behavior::Leaving => (said_at + LEAVE_BOUND + ON_ITS_WAY, next_start, 0),
                Behavior::RetryAfter(time) => {
                    let rest_end = said_at + time;
                    let until = next_start.map_or(rest_end, |start| start.min(rest_end));
                    (said_at + REST_BEGINS, Some(until), MOST_IN_REST)
                }
                _ => continue,
            };
            let came = done.iter().filter(|one| {
                one.at > from
                    && until.is_none_or(|until| one.at < until)
                    && sender(one) == Some(box_number)
                    && !self.was_away(box_number, told.at, one.at)
            });
            let came: Vec<&str> = came.map(|one| one.request_id.as_str()).collect();
            if came.len() > most {
                found.push(format!(
                    "{} said {:?} to {} at {} ms, and got {} from that box",
                    upstream.id,
                    told.behavior,
                    told.request_id,
                    self.at_ms(told.at),
                    came.join(", ")
                ));
            }
        }
        found
    }

    /// When an upstream was known to have started again after a time: what it said before
    /// holds no longer.
    fn next_start(&self, upstream: &Server, after: Instant) -> Option<Instant> {
        let reborn = self.world.reborn();
        let starts = reborn.iter().filter(|one| one.id == upstream.id && one.at > after);
        starts.map(|one| one.at).min()
    }

    /// Whether a box was away between two times, and may have forgotten what it was told.
    fn was_away(&self, box_number: usize, from: Instant, until: Instant) -> bool {
        let at_ms = |at| self.started_at_ms + self.at_ms(at);
        let aways = self.world.aways();
        aways.iter().any(|away| {
            away.box_number == box_number
                && *away.times_ms.start() <= at_ms(until)
                && *away.times_ms.end() >= at_ms(from)
        })
    }
}

fn sender(done: &HandledRequest) -> Option<usize> {
    done.request_id.split('-').next()?.parse().ok()
}
