//! What a request asks, as crashes of upstreams are put down to it.

use std::sync::Arc;

use crate::fingerprint::Fingerprint;
use crate::part_key::PartKey;

/// What a request asks, whatever its id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestContent {
    pub fingerprint: Fingerprint,
    /// Short id of the account.
    pub account: u32,
    /// The parts of its prompt that other requests may share.
    pub parts: Arc<[PartKey]>,
}
