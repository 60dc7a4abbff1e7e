//! The gateway: passes requests on to upstreams whose protocol it does not
//! need to know, for many client accounts that share them.
//!
//! Decisions are pure functions of state and time: `budget`, `choose`,
//! `context`, `holder`, `peers`, `rollout`, `stores`, `upstreams`, `view` and
//! `weights`. Everything else carries them out. `follow`, `follow_caches` and
//! `news` bring in what the box knows; `listener`, `check`, `serve`, `attempt`
//! and `relay` take a request through; `duty`, `steward` and `space` do what
//! one box does for all.

pub mod answer;
pub mod attempt;
pub mod budget;
pub mod check;
pub mod choose;
pub mod connections;
pub mod context;
pub mod daemon;
pub mod duty;
pub mod follow;
pub mod follow_caches;
pub mod holder;
pub mod invariants;
pub mod kernel;
pub mod listener;
pub mod news;
pub mod peers;
pub mod prompt;
pub mod reach;
pub mod relay;
pub mod rollout;
pub mod serve;
pub mod settings;
pub mod site;
pub mod space;
pub mod steward;
pub mod stores;
pub mod upstreams;
pub mod view;
pub mod weights;
