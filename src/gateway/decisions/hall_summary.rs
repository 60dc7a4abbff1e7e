//! What bridges tell each other and their halls, in a fleet too large for every box to hear
//! every other.

use std::net::IpAddr;

use serde::{Deserialize, Serialize};

use crate::gateway::decisions::gossip_message::LoadReport;

/// What the boxes of one hall do and know, told to the bridges of other halls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallSummary {
    /// Number of the hall.
    pub hall: u32,
    /// Load that the hall puts on upstreams.
    pub loads: Vec<LoadReport>,
    /// Tokens that it fetches from stores, by their numbers.
    pub fetches: Vec<(u32, u32)>,
    /// Revision of the metadata store that each of its boxes knows.
    pub revisions: Vec<(IpAddr, u64)>,
}

/// What all other halls do, told to the boxes of a hall by its bridges.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OtherHallsSummary {
    /// Load that they put on upstreams.
    pub loads: Vec<LoadReport>,
    /// Tokens that they fetch from stores, by their numbers.
    pub fetches: Vec<(u32, u32)>,
}
