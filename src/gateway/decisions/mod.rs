//! What the gateway decides, and what it decides by: no clock, no I/O, no tasks. Time is an
//! argument, and randomness is seeded.
//!
//! - Where a request runs: `choose`, by `candidates`, `demand`, `prompt`, `upstream`, `upstreams`,
//!   `notice` and `incarnation`.
//! - Where its context comes from and goes: `sources`, `stores`, `cache_contents`, `cache_reports`, `context`.
//! - Who is served and who has had its share: `admission`, `budget`, `urgency`.
//! - Which weights engines get, and when old context may go: `rollout`, `weights`, `orders`,
//!   `claims`, `release`.
//! - What is known, from whom: `view`, `peers`, `configuration`, `gossip_message`, `hall_summary`.
//! - Units that all share: `units`.

pub mod admission;
pub mod budget;
pub mod cache_contents;
pub mod cache_reports;
pub mod candidates;
pub mod choose;
pub mod claims;
pub mod configuration;
pub mod context;
pub mod demand;
pub mod gossip_message;
pub mod hall_summary;
pub mod incarnation;
pub mod notice;
pub mod orders;
pub mod peers;
pub mod prompt;
pub mod release;
pub mod rollout;
pub mod sources;
pub mod stores;
pub mod units;
pub mod upstream;
pub mod upstreams;
pub mod urgency;
pub mod view;
pub mod weights;
