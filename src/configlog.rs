//! The operators' configuration as a log of changes.
//!
//! A head key in the platform's key-value service holds the revision and the latest changes and is
//! updated by compare-and-swap; an immutable base key holds the state before them. A single write
//! accepts a change. Each change has an id, so that the result of a write whose answer was lost can
//! be determined by reading the head. It also has the expected revision of the object that it
//! changes, so that if two operators change an object concurrently, one of them gets a conflict.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::account::{Account, Terms, key_hash};
use crate::error::Error;
use crate::object::Object;

/// Maximum number of changes in the head before they are moved into a base.
pub const MAX_HEAD_ENTRIES: usize = 64;
/// Maximum number of change ids in a state.
const MAX_APPLIED_IDS: usize = 512;
/// Maximum number of changes that a box keeps for its peers.
const MAX_RECENT_ENTRIES: usize = 256;

/// A change of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Creates or replaces a template.
    SetTemplate { name: String, terms: Terms },
    /// Removes a template that no account uses.
    RemoveTemplate { name: String },
    /// Creates or replaces a client account.
    SetAccount { name: String, account: Account },
    /// Removes a client account.
    RemoveAccount { name: String },
    /// Marks an upstream as leaving, or removes the mark.
    SetLeaving { upstream: String, leaving: bool },
    /// Sets the weight version for new requests of a model.
    SetModel { model: String, version: String },
}

impl Change {
    /// The object that the change modifies.
    #[must_use]
    pub fn object(&self) -> Object {
        match self {
            Self::SetTemplate { name, .. } | Self::RemoveTemplate { name } => {
                Object::Template(name.clone())
            }
            Self::SetAccount { name, .. } | Self::RemoveAccount { name } => {
                Object::Account(name.clone())
            }
            Self::SetLeaving { upstream, .. } => Object::Upstream(upstream.clone()),
            Self::SetModel { model, .. } => Object::Model(model.clone()),
        }
    }
}

/// A change that an operator has requested.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeProposal {
    /// Id of the change, which remains the same when it is sent again.
    pub id: String,
    /// Operator who requested the change.
    pub operator: String,
    /// When the change was requested, in Unix milliseconds.
    pub at_ms: u64,
    /// Revision of the object's latest change when the operator read it.
    pub expects_revision: u64,
    /// The change.
    pub change: Change,
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigEntry {
    /// Position in the log, starting at 1.
    pub revision: u64,
    /// The change as proposed.
    pub proposal: ChangeProposal,
}

/// Value of the head key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Revision of the base that precedes the entries; 0 if there is none.
    pub base_revision: u64,
    /// Accepted changes after the base.
    pub entries: Vec<ConfigEntry>,
}

impl ConfigHead {
    /// Revision of the latest change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.entries.last().map_or(self.base_revision, |entry| entry.revision)
    }
}

/// The configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigState {
    /// Revision of the latest applied change.
    pub revision: u64,
    /// Templates by name.
    pub templates: BTreeMap<String, Terms>,
    /// Client accounts by name.
    pub accounts: BTreeMap<String, Account>,
    /// Upstreams marked as leaving, which get no new work.
    pub leaving: BTreeSet<String>,
    /// Weight version of each model for new requests.
    pub models: BTreeMap<String, String>,
    /// Revision of the latest change of each object.
    pub changed_at: BTreeMap<String, u64>,
    /// Ids and revisions of the latest changes.
    pub applied: VecDeque<(String, u64)>,
}

impl ConfigState {
    /// Revision of the latest change of `object`; 0 if it was never changed.
    #[must_use]
    pub fn object_revision(&self, object: &Object) -> u64 {
        self.changed_at.get(&object.to_string()).copied().unwrap_or(0)
    }

    /// Revision of the change `id`, if it was accepted recently.
    #[must_use]
    pub fn accepted_at(&self, id: &str) -> Option<u64> {
        self.applied.iter().find(|(applied, _)| applied == id).map(|(_, revision)| *revision)
    }

    /// Turns a proposal into the next entry.
    ///
    /// # Errors
    /// Fails if the object was changed after the operator had read it, or with all validation
    /// errors of the change.
    pub fn accept(&self, proposal: &ChangeProposal) -> Result<ConfigEntry, Error> {
        let object = proposal.change.object();
        let found_revision = self.object_revision(&object);
        if found_revision != proposal.expects_revision {
            let expected_revision = proposal.expects_revision;
            return Err(Error::Conflict { object, expected_revision, found_revision });
        }
        let errors = self.validation_errors(&proposal.change);
        if !errors.is_empty() {
            return Err(Error::BadChange(errors));
        }
        Ok(ConfigEntry { revision: self.revision + 1, proposal: proposal.clone() })
    }

    fn validation_errors(&self, change: &Change) -> Vec<String> {
        match change {
            Change::SetTemplate { name, terms } => {
                let mut errors = name_errors(name);
                errors.extend(terms.validation_errors());
                errors
            }
            Change::RemoveTemplate { name } => self.removal_errors(name),
            Change::SetAccount { name, account } => self.account_errors(name, account),
            Change::RemoveAccount { name } if !self.accounts.contains_key(name) => {
                vec![format!("no account '{name}'")]
            }
            Change::SetModel { model, version } => {
                [name_errors(model), name_errors(version)].concat()
            }
            Change::SetLeaving { upstream, .. } => name_errors(upstream),
            Change::RemoveAccount { .. } => Vec::new(),
        }
    }

    fn removal_errors(&self, name: &str) -> Vec<String> {
        if !self.templates.contains_key(name) {
            return vec![format!("no template '{name}'")];
        }
        let users = self.accounts.iter().filter(|(_, account)| account.template == name);
        users.map(|(user, _)| format!("account '{user}' uses template '{name}'")).collect()
    }

    fn account_errors(&self, name: &str, account: &Account) -> Vec<String> {
        let mut errors = name_errors(name);
        match self.templates.get(&account.template) {
            None => errors.push(format!("no template '{}'", account.template)),
            Some(template) => errors.extend(account.terms(template).validation_errors()),
        }
        for (other_name, other_account) in
            self.accounts.iter().filter(|(other_name, _)| *other_name != name)
        {
            if other_account.key_hashes.iter().any(|hash| account.key_hashes.contains(hash)) {
                errors.push(format!("an API key already belongs to account '{other_name}'"));
            }
        }
        errors
    }

    /// Applies the next entry.
    ///
    /// # Panics
    /// Panics if the entry is not the next one, since a change would be lost.
    pub fn apply(&mut self, entry: &ConfigEntry) {
        assert_eq!(entry.revision, self.revision + 1, "changes are applied in order");
        self.revision = entry.revision;
        self.changed_at.insert(entry.proposal.change.object().to_string(), entry.revision);
        self.applied.push_back((entry.proposal.id.clone(), entry.revision));
        if self.applied.len() > MAX_APPLIED_IDS {
            self.applied.pop_front();
        }
        match entry.proposal.change.clone() {
            Change::SetTemplate { name, terms } => {
                self.templates.insert(name, terms);
            }
            Change::RemoveTemplate { name } => {
                self.templates.remove(&name);
            }
            Change::SetAccount { name, account } => {
                self.accounts.insert(name, account);
            }
            Change::RemoveAccount { name } => {
                self.accounts.remove(&name);
            }
            Change::SetLeaving { upstream, leaving: true } => {
                self.leaving.insert(upstream);
            }
            Change::SetLeaving { upstream, leaving: false } => {
                self.leaving.remove(&upstream);
            }
            Change::SetModel { model, version } => {
                self.models.insert(model, version);
            }
        }
    }
}

fn name_errors(name: &str) -> Vec<String> {
    let is_allowed = |character: char| {
        character.is_ascii_alphanumeric() || matches!(character, '-' | '_' | '.' | ':')
    };
    if !name.is_empty() && name.len() <= 64 && name.chars().all(is_allowed) {
        return Vec::new();
    }
    vec![format!("'{name}' is not a name: 1 to 64 letters, digits, '-', '_', '.' or ':'")]
}

/// The configuration with the lookups that a box needs.
#[derive(Debug, Default)]
pub struct Config {
    /// The configuration.
    pub state: ConfigState,
    account_by_key_hash: HashMap<String, String>,
}

impl Config {
    /// Builds the lookups for a state.
    #[must_use]
    pub fn new(state: ConfigState) -> Self {
        let mut by_key = HashMap::new();
        for (name, account) in &state.accounts {
            by_key.extend(account.key_hashes.iter().map(|hash| (hash.clone(), name.clone())));
        }
        Self { state, account_by_key_hash: by_key }
    }

    /// The account of an API key.
    ///
    /// Keys are looked up by their hash, so that the response time reveals nothing about a key.
    #[must_use]
    pub fn account_of(&self, api_key: &str) -> Option<&str> {
        self.account_by_key_hash.get(&key_hash(api_key)).map(String::as_str)
    }

    /// The terms of an account.
    #[must_use]
    pub fn terms(&self, account: &str) -> Option<Terms> {
        let account = self.state.accounts.get(account)?;
        let template = self.state.templates.get(&account.template)?;
        Some(account.terms(template).bounded())
    }
}

/// Result of an update of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptOutcome {
    /// The update was newer and was applied.
    Applied,
    /// The update was already applied.
    AlreadyKnown,
    /// Changes before the update are missing.
    Gap,
}

/// A box's copy of the log. Its revision only increases.
#[derive(Debug, Default)]
pub struct ConfigLog {
    state: ConfigState,
    recent: VecDeque<ConfigEntry>,
}

impl ConfigLog {
    /// Revision in use.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.state.revision
    }

    /// State in use.
    #[must_use]
    pub fn state(&self) -> &ConfigState {
        &self.state
    }

    /// The state in use with its lookups.
    #[must_use]
    pub fn config(&self) -> Arc<Config> {
        Arc::new(Config::new(self.state.clone()))
    }

    /// Applies changes, the oldest first.
    pub fn adopt_entries(&mut self, entries: &[ConfigEntry]) -> AdoptOutcome {
        let mut adopted = AdoptOutcome::AlreadyKnown;
        for entry in entries {
            if entry.revision <= self.state.revision {
                continue;
            }
            if entry.revision - 1 > self.state.revision {
                return AdoptOutcome::Gap;
            }
            self.state.apply(entry);
            self.recent.push_back(entry.clone());
            adopted = AdoptOutcome::Applied;
        }
        while self.recent.len() > MAX_RECENT_ENTRIES {
            self.recent.pop_front();
        }
        adopted
    }

    /// Replaces the state if the new one is newer.
    pub fn adopt_state(&mut self, state: ConfigState) -> AdoptOutcome {
        if state.revision <= self.state.revision {
            return AdoptOutcome::AlreadyKnown;
        }
        self.state = state;
        self.recent.clear();
        AdoptOutcome::Applied
    }

    /// The changes after `revision`, if this box still has all of them.
    #[must_use]
    pub fn entries_after(&self, revision: u64) -> Option<Vec<ConfigEntry>> {
        if revision >= self.state.revision {
            return Some(Vec::new());
        }
        let first = self.recent.front()?.revision;
        let newer = self.recent.iter().filter(|entry| entry.revision > revision);
        (first <= revision + 1).then(|| newer.cloned().collect())
    }
}
