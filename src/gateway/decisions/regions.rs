//! Restricts requests, and the cached context of their prompts, to regions.

use std::collections::BTreeMap;

static NO_REGIONS: BTreeMap<String, String> = BTreeMap::new();

/// The halls in which a request may run and its context may be stored.
#[derive(Clone, Copy, Debug)]
pub struct AllowedHalls<'a> {
    /// Regions of the halls, by name.
    pub regions: &'a BTreeMap<String, String>,
    /// Regions to which the route is restricted; empty if it is not.
    pub route: &'a [String],
    /// Regions to which the account is restricted; empty if it is not.
    pub account: &'a [String],
}

impl AllowedHalls<'_> {
    /// No restriction.
    pub const ALL: AllowedHalls<'static> =
        AllowedHalls { regions: &NO_REGIONS, route: &[], account: &[] };

    /// Whether both restrictions include the region of `hall`. A hall of unknown region is outside
    /// of every restriction.
    #[must_use]
    pub fn includes(&self, hall: &str) -> bool {
        let region = self.regions.get(hall);
        let is_included = |allowed: &[String]| {
            allowed.is_empty() || region.is_some_and(|region| allowed.contains(region))
        };
        is_included(self.route) && is_included(self.account)
    }
}
