//! The gateway: passes requests on to upstreams whose protocol it does not
//! need to know, for many client accounts that share them.
//!
//! Decisions are pure functions of state and time: `admission`, `budget`, `choose`,
//! `context`, `holder`, `peers`, `rollout`, `sources`, `stores`, `upstreams`, `urgency`,
//! `view` and `weights`. Everything else carries them out. `follow`, `follow_caches` and
//! `gossip` bring in what the box knows, `members` where others are; `listener`,
//! `check`, `serve`, `attempt`, `place`, `silence` and `relay` take a request through,
//! `request_log` tells of it;
//! `leadership`, `leader` and `space` do what one box does for all.

pub mod admission;
pub mod answer;
pub mod attempt;
pub mod budget;
pub mod check;
pub mod choose;
pub mod connections;
pub mod context;
pub mod daemon;
pub mod entries;
pub mod events;
pub mod follow;
pub mod follow_caches;
pub mod gossip;
pub mod gossip_message;
pub mod heads;
pub mod holder;
pub mod incarnation;
pub mod invariants;
pub mod kept;
pub mod kernel;
pub mod leader;
pub mod leadership;
pub mod listener;
pub mod members;
pub mod metadata;
pub mod names;
pub mod orders;
pub mod peers;
pub mod place;
pub mod prompt;
pub mod reach;
pub mod relay;
pub mod release;
pub mod renewal;
pub mod request_log;
pub mod rollout;
pub mod serve;
pub mod settings;
pub mod silence;
pub mod site;
pub mod sources;
pub mod space;
pub mod store_updates;
pub mod stores;
pub mod units;
pub mod upstream;
pub mod upstreams;
pub mod urgency;
pub mod view;
pub mod weights;
