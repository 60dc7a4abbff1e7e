//! The gateway: passes requests on to upstreams whose protocol it does not
//! need to know, for many client accounts that share them.
//!
//! `decisions` holds what is decided, as pure functions of state and time; everything else
//! carries it out. `follow`, `follow_caches`, `gossip` and `catch_up` bring in what the box knows,
//! `entries` what upstreams tell of themselves, `members` where other boxes are;
//! `listener`, `check`, `serve`, `refuse`, `attempt`, `place`, `silence`, `overdue` and `relay` take a
//! request through, `crashes` and `quarantine` keep it from upstreams that would crash under it,
//! `request_log` tells of it; `leadership`, `claims`, `leader`, `loads` and
//! `space` do what one box does for all, with the calls that `helpers` make for it.

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
pub mod follow;
pub mod follow_caches;
pub mod gossip;
pub mod heads;
pub mod helpers;
pub mod in_flight;
pub mod invariants;
pub mod kernel;
pub mod leader;
pub mod leadership;
pub mod listener;
pub mod members;
pub mod metadata;
pub mod outdated_weights;
pub mod quarantine;
pub mod reachability;
pub mod refuse;
pub mod relay;
pub mod request_log;
pub mod response;
pub mod serve;
pub mod settings;
pub mod silence;
pub mod space;
pub mod store_updates;
pub mod weight_loads;
