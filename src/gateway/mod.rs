//! The gateway: forwards HTTP requests of many client accounts to shared upstreams, without
//! knowing the upstreams' application protocol.
//!
//! `decisions` holds the policies, as pure functions of state and time; all other modules perform
//! I/O and apply them.
//!
//! State of the fleet: `follow` and `follow_caches` watch the metadata store and the stores of
//! kept context, `gossip` and `catch_up` exchange state with other boxes, `entries` reads what
//! upstreams publish about themselves, and `members` where other boxes are.
//!
//! Request path: `listener`, `check`, `serve`, `refuse`, `attempt`, `in_flight`, `silence`,
//! `overdue_weights` and `relay`; `crashes` and `quarantine` withhold requests that crash
//! upstreams, `reachability` probes upstreams, and `request_log` writes the log lines.
//!
//! Leader: `leadership`, `claims`, `leader`, `weight_loads` and `store_cleanup` do what a single
//! box does for the whole fleet; `leader_calls` makes calls on behalf of a leader that cannot reach
//! the metadata store itself.

pub mod attempt;
pub mod catch_up;
pub mod check;
pub mod claims;
pub mod connections;
pub mod crashes;
pub mod daemon;
pub mod decisions;
pub mod entries;
pub mod events;
pub mod follow_caches;
pub mod follow_metadata;
pub mod gossip;
pub mod heads;
pub mod in_flight;
pub mod invariants;
pub mod kernel;
pub mod leader;
pub mod leader_calls;
pub mod leadership;
pub mod listener;
pub mod members;
pub mod metadata;
pub mod overdue_weights;
pub mod quarantine;
pub mod reachability;
pub mod refuse;
pub mod relay;
pub mod request_log;
pub mod response;
pub mod serve;
pub mod settings;
pub mod silence;
pub mod store_cleanup;
pub mod store_updates;
pub mod weight_loads;
