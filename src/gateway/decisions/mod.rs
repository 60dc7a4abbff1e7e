//! Routing, caching, admission and roll-out decisions, free of clocks, I/O and tasks: time is an
//! argument, and random choices take a seed.
//!
//! Context here is the KV cache that an engine computes from a prompt. A prompt consists of parts,
//! and the context of each part can be cached and transferred on its own.
//!
//! - Upstream of a request: `choose`, with `candidates`, `demand`, `prompt`, `upstream`,
//!   `upstreams`, `departures`, `notice` and `incarnation`.
//! - Where it may run: `regions`, and the evacuated halls in `upstreams`.
//! - Sources and destinations of context: `sources`, `stores`, `store_speed`, `cache_contents`,
//!   `cache_reports`, `context`.
//! - Which upstreams may resume a stream: `stream_origins`, `software_history`, `version_release`.
//! - Admission, retries and priorities: `admission`, `account_shares`, `budget`, `returns`,
//!   `urgency`; by the request: `room`, `run_lengths`.
//! - How fast engines are: `engine_speed`; when load goes to another hall: `hall_loads`.
//! - Load on upstreams that have just started: `cold_start`; on those that fall over: `brittle`.
//! - Weight versions of engines, and the release of context of old weights: `rollout`, `weights`,
//!   `orders`, `claims`, `release`.
//! - State received from the metadata store and from other boxes: `listing`, `view`, `peers`,
//!   `configuration`, `gossip_message`, `hall_summary`; as of when it is known: `store_knowledge`; how
//!   soon it is told: `news_pace`, `gossip_budget`.
//! - Whether this box closes new connections, since it does not keep up: `shedding`.
//! - Which requests a stopping box still begins: `stopping`.
//! - When something happened that the box noticed late: `pauses`.
//! - What is buffered for clients that read slowly: `slow_readers`.
//! - Whether this box reaches upstreams at all: `reach`.
//! - Requests with parts under which upstreams crash, one at a time: `trials`.
//! - Shared constants and conversions: `units`.

pub mod account_shares;
pub mod admission;
pub mod brittle;
pub mod budget;
pub mod cache_contents;
pub mod cache_reports;
pub mod candidates;
pub mod choose;
pub mod claims;
pub mod cold_start;
pub mod configuration;
pub mod context;
pub mod demand;
pub mod departures;
pub mod engine_speed;
pub mod gossip_budget;
pub mod gossip_message;
pub mod hall_loads;
pub mod hall_summary;
pub mod incarnation;
pub mod listing;
pub mod news_pace;
pub mod notice;
pub mod orders;
pub mod pauses;
pub mod peers;
pub mod permits;
pub mod prompt;
pub mod rate_limit;
pub mod reach;
pub mod regions;
pub mod release;
pub mod returns;
pub mod rollout;
pub mod room;
pub mod run_lengths;
pub mod shedding;
pub mod slow_readers;
pub mod software_history;
pub mod sources;
pub mod stopping;
pub mod store_knowledge;
pub mod store_speed;
pub mod stores;
pub mod stream_origins;
pub mod trials;
pub mod units;
pub mod upstream;
pub mod upstreams;
pub mod urgency;
pub mod version_release;
pub mod view;
pub mod weights;
