//! Summaries that bridges send to each other and to their own halls, in fleets too large for
//! every box to send gossip to every other. A bridge is a box that passes messages on between its
//! hall and the others.

use std::net::IpAddr;

use serde::{Deserialize, Serialize};

use crate::gateway::decisions::account_shares::AccountReports;
use crate::gateway::decisions::engine_speed::SpeedReport;
use crate::gateway::decisions::gossip_message::LoadReport;
use crate::gateway::decisions::returns::ReturnsReport;

/// Summary of all boxes of one hall, sent to the bridges of the other halls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallSummary {
    /// Short id of the data hall.
    pub hall: u32,
    /// Load of the hall's requests on upstreams.
    pub loads: Vec<LoadReport>,
    /// Tokens that the hall fetches from stores: short id of the store, tokens.
    pub fetches: Vec<(u32, u32)>,
    /// Revision of the metadata store that each box of the hall has reached.
    pub revisions: Vec<(IpAddr, u64)>,
    /// Work that the hall has reserved for retries.
    pub returns: Vec<ReturnsReport>,
    /// Work of client accounts that the hall has seen.
    pub accounts: AccountReports,
    /// Samples of the speed of engines that boxes of the hall have taken.
    pub speeds: Vec<SpeedReport>,
}

/// Summary of all other halls, sent to the boxes of a hall by its bridges.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OtherHallsSummary {
    /// Load of the other halls' requests on upstreams.
    pub loads: Vec<LoadReport>,
    /// Tokens that the other halls fetch from stores: short id of the store, tokens.
    pub fetches: Vec<(u32, u32)>,
    /// Work that the other halls have reserved for retries.
    pub returns: Vec<ReturnsReport>,
    /// Work of client accounts that the other halls have seen.
    pub accounts: AccountReports,
    /// Samples of the speed of engines that boxes of the other halls have taken.
    pub speeds: Vec<SpeedReport>,
}
