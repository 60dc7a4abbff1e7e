//! Which versions of software the upstreams of a service have had of late.
//!
//! A client that resumes a stream may not say which request began it, and the boxes that knew where it
//! began may all be gone. It can still be resumed if only one version could have begun it, which a box
//! tells only if it has known all upstreams for as long as streams last.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// Longest time in which a client resumes a stream.
const MAX_STREAM_MS: u64 = 30_000;

/// What a box knows of the versions that may have begun the streams of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SoftwareSeen {
    /// There is no upstream, or there are several versions.
    NotOne,
    /// All upstreams had this version, by its short id, for as long as streams last.
    Only(u32),
    /// All upstreams have this version now.
    OnlyNow(u32),
}

/// When this box began to know all upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Complete {
    #[default]
    Never,
    /// Before any upstream could be used, since there was no configuration.
    Always,
    SinceMs(u64),
}

/// The versions that upstreams had and that are no longer listed.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    complete: Complete,
    /// When a version was last listed, by the short ids of service and version.
    gone_at_ms: HashMap<(u32, u32), u64>,
}

impl SoftwareHistory {
    /// Records that this box knows all upstreams. `is_configured` tells whether streams may have begun
    /// before.
    pub fn record_complete(&mut self, now_ms: u64, is_configured: bool) {
        if self.complete == Complete::Never {
            self.complete =
                if is_configured { Complete::SinceMs(now_ms) } else { Complete::Always };
        }
    }

    /// Records that upstreams may have come and gone before `now_ms` without this box.
    pub fn record_gap(&mut self, now_ms: u64) {
        if self.complete != Complete::Never {
            self.complete = Complete::SinceMs(now_ms);
        }
    }

    /// Records that an upstream with a version is no longer listed.
    pub fn record_gone(&mut self, now_ms: u64, service: u32, software: u32) {
        self.gone_at_ms.retain(|_, gone_at_ms| now_ms < *gone_at_ms + MAX_STREAM_MS);
        self.gone_at_ms.insert((service, software), now_ms);
    }

    /// The versions that may have begun streams of a service, given those of its `listed` upstreams.
    #[must_use]
    pub fn seen(
        &self,
        now_ms: u64,
        service: u32,
        listed: impl Iterator<Item = u32>,
    ) -> SoftwareSeen {
        let is_recent = |gone_at_ms: u64| now_ms < gone_at_ms + MAX_STREAM_MS;
        let gone = self.gone_at_ms.iter().filter_map(|((gone_service, software), gone_at_ms)| {
            (*gone_service == service && is_recent(*gone_at_ms)).then_some(*software)
        });
        let mut versions = listed.chain(gone);
        let Some(first) = versions.next() else { return SoftwareSeen::NotOne };
        if versions.any(|software| software != first) {
            return SoftwareSeen::NotOne;
        }
        let is_complete = match self.complete {
            Complete::Never => false,
            Complete::Always => true,
            Complete::SinceMs(since_ms) => now_ms >= since_ms + MAX_STREAM_MS,
        };
        if is_complete { SoftwareSeen::Only(first) } else { SoftwareSeen::OnlyNow(first) }
    }
}
