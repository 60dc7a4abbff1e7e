//! The gateway: forwards HTTP requests of many client accounts to shared upstreams, without
//! knowing the upstreams' application protocol.
//!
//! `decisions` holds the policies, as pure functions of state and time; all other modules perform
//! I/O and apply them.
//!
//! State of the fleet:
//! - `follow_metadata` follows the metadata store; `metadata` has the types of its contents.
//! - `follow_caches` follows the cached context of engines and context stores; `store_updates`
//!   publishes that of the stores to other boxes.
//! - `gossip` and `catch_up` exchange state with other boxes.
//! - `configuration_check` confirms that the configuration is the newest.
//! - `stored_versions` keeps in the metadata store which software may have begun streams.
//! - `entries` applies what upstreams report about themselves, and `members` the addresses at
//!   which other boxes may run.
//!
//! Path of a request:
//! - `listener` accepts connections, `check` validates a request, and `serve` makes the attempts.
//! - `attempt` sends a request to one upstream over one of the `connections`, `in_flight` accounts
//!   for it there, and `relay` forwards the response; `heads`, `events` and `response` have its
//!   parts.
//! - `origins` tells peers where streams began, and finds it out for a client that resumes one.
//! - `silence` and `overdue_weights` end attempts that should be made elsewhere.
//! - `refuse` composes refusals, and `request_log` writes log lines.
//! - `crashes`, `quarantine` and `trials` withhold requests that crash upstreams; `liveness` finds out
//!   whether an upstream runs, and `reachability` whether this box reaches it.
//!
//! Leader: `leadership`, `claims`, `leader`, `weight_loads` and `store_cleanup` do what a single
//! box does for the whole fleet; `leader_calls` makes calls on behalf of a leader that cannot reach
//! the metadata store itself.
//!
//! Process: `daemon` starts and stops the tasks, which share the state in `kernel`; `settings`
//! reads the settings file, and `invariants` checks invariants.

pub mod attempt;
mod bounded_head;
pub mod catch_up;
pub mod check;
pub mod claims;
mod client_stream;
mod cold_starts;
pub mod configuration_check;
pub mod connections;
pub mod crashes;
pub mod daemon;
pub mod decisions;
pub mod engine_speeds;
pub mod entries;
pub mod events;
pub mod follow_caches;
pub mod follow_metadata;
pub mod gossip;
pub mod heads;
mod held_request;
pub mod in_flight;
pub mod invariants;
pub mod kernel;
pub mod leader;
pub mod leader_calls;
pub mod leadership;
pub mod listener;
mod liveness;
pub mod members;
pub mod metadata;
pub mod open_queries;
pub mod origins;
pub mod overdue_weights;
pub mod paths;
pub mod peer_traffic;
pub mod quarantine;
pub mod rate_limits;
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
pub mod stored_versions;
pub mod trials;
pub mod tunnels;
pub mod weight_loads;
