//! The share table of one shard, stored under `shares/SHARD`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::process::shares::incarnation::InstanceIncarnation;
use crate::version::ids::BundleVersion;
use crate::version::ids::InstanceId;
use crate::version::ids::TeamId;
use crate::version::units::RequestBurst;
use crate::version::units::RequestRate;

/// Total number of units in a table; an owner's fraction is its units divided by this.
pub const TOTAL_UNITS: u32 = 1_000_000;

/// The rate and burst of a team for the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct TeamLimit {
    /// The rate, in requests per second.
    pub rate: RequestRate,
    /// The burst, in requests.
    pub burst: RequestBurst,
}

impl TeamLimit {
    /// Returns the lower rate and the lower burst of the two limits.
    pub fn min(self, other: TeamLimit) -> TeamLimit {
        TeamLimit {
            rate: RequestRate(self.rate.0.min(other.rate.0)),
            burst: RequestBurst(self.burst.0.min(other.burst.0)),
        }
    }
}

/// Assigns fractions of the rates of one shard of teams to owners.
///
/// Every change is a new version, written by compare-and-swap. Witnesses that have a version do not
/// renew the leases of the incarnations that it lists as revoked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ShareTable {
    /// The version of the table; each change increments it.
    pub version: u64,
    /// The bundle whose rates the table holds.
    pub bundle: BundleVersion,
    /// The rates and bursts of the shard's teams.
    pub teams: BTreeMap<TeamId, TeamLimit>,
    /// The units that each incarnation owns, of [`TOTAL_UNITS`].
    pub owners: BTreeMap<InstanceIncarnation, u32>,
    /// Owners that may no longer renew their leases.
    pub revoked: BTreeSet<InstanceIncarnation>,
    /// The instances that vouch for lease renewals.
    pub witnesses: Vec<InstanceId>,
    /// The replaced set of witnesses, kept until majorities of both sets have a version that names
    /// the current set.
    pub previous_witnesses: Vec<InstanceId>,
}

/// Why a table is not valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableError {
    /// The owners' units exceed [`TOTAL_UNITS`].
    TooManyUnits { units: u64 },
    /// A revoked incarnation owns no units.
    RevokedWithoutUnits,
    /// The set of witnesses is empty.
    NoWitnesses,
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TableError::TooManyUnits { units } => {
                write!(f, "owners have {units} units of {TOTAL_UNITS}")
            }
            TableError::RevokedWithoutUnits => write!(f, "a revoked incarnation owns nothing"),
            TableError::NoWitnesses => write!(f, "the table lists no witnesses"),
        }
    }
}

impl std::error::Error for TableError {}

impl ShareTable {
    /// Creates the first table of a shard, with one owner.
    pub fn first(owner: InstanceIncarnation, witnesses: Vec<InstanceId>) -> Self {
        Self {
            version: 1,
            bundle: BundleVersion(0),
            teams: BTreeMap::new(),
            owners: BTreeMap::from([(owner, TOTAL_UNITS)]),
            revoked: BTreeSet::new(),
            witnesses,
            previous_witnesses: Vec::new(),
        }
    }

    /// Checks the invariants of a table, and returns the first violation.
    pub fn check(&self) -> Result<(), TableError> {
        let units = self.owners.values().map(|&u| u64::from(u)).sum::<u64>();
        if units > u64::from(TOTAL_UNITS) {
            return Err(TableError::TooManyUnits { units });
        }
        if self.revoked.iter().any(|r| !self.owners.contains_key(r)) {
            return Err(TableError::RevokedWithoutUnits);
        }
        if self.witnesses.is_empty() {
            return Err(TableError::NoWitnesses);
        }
        Ok(())
    }

    /// Returns the units of an incarnation; 0 if it is revoked or owns nothing.
    pub fn units(&self, incarnation: &InstanceIncarnation) -> u32 {
        if self.revoked.contains(incarnation) {
            return 0;
        }
        self.owners.get(incarnation).copied().unwrap_or(0)
    }

    /// Returns whether the predicate holds for majorities of the witnesses and, until they are
    /// dropped, of the previous witnesses.
    pub fn is_held_by(&self, holds: impl Fn(&InstanceId) -> bool) -> bool {
        majority(&self.witnesses, &holds)
            && (self.previous_witnesses.is_empty() || majority(&self.previous_witnesses, &holds))
    }

    /// Returns a copy with the version incremented.
    pub fn next(&self) -> ShareTable {
        ShareTable {
            version: self.version + 1,
            ..self.clone()
        }
    }

    /// Transfers up to `units` units from an owner to the recipients, evening out their totals.
    ///
    /// An owner left without units is removed from the table.
    pub fn transfer_units(
        &mut self,
        from: &InstanceIncarnation,
        units: u32,
        recipients: &[InstanceIncarnation],
    ) {
        let held = self.owners.get(from).copied().unwrap_or(0);
        let mut left = units.min(held);
        if recipients.is_empty() || left == 0 {
            return;
        }
        let mut levels = recipients
            .iter()
            .map(|id| (self.owners.get(id).copied().unwrap_or(0), id.clone()))
            .collect::<Vec<_>>();
        levels.sort();
        self.owners.insert(from.clone(), held - left);
        // Raise the recipients with the fewest units to the level of the next one, step by step.
        for count in 1..=levels.len() {
            let size = u32::try_from(count).unwrap_or(u32::MAX);
            let step = match levels.get(count) {
                Some(next) => (next.0 - levels[0].0).min(left / size),
                None => left / size,
            };
            for level in &mut levels[..count] {
                level.0 += step;
                left -= step;
            }
        }
        levels[0].0 += left;
        for (units, recipient) in levels {
            self.owners.insert(recipient, units);
        }
        if self.owners.get(from) == Some(&0) {
            self.owners.remove(from);
            self.revoked.remove(from);
        }
    }
}

/// Returns whether the predicate holds for more than half of a set.
pub fn majority(set: &[InstanceId], holds: impl Fn(&InstanceId) -> bool) -> bool {
    set.iter().filter(|id| holds(id)).count() * 2 > set.len()
}
