//! The share table of one shard, as the store keeps it under `shares/SHARD`.

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

/// The units that all owners of a table have together.
pub const TOTAL_UNITS: u32 = 1_000_000;

/// The rate and burst of a team for the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct TeamLimit {
    /// The rate.
    pub rate: RequestRate,
    /// The burst.
    pub burst: RequestBurst,
}

impl TeamLimit {
    /// Returns the lower of both rates and of both bursts.
    pub fn lower(self, other: TeamLimit) -> TeamLimit {
        TeamLimit {
            rate: RequestRate(self.rate.0.min(other.rate.0)),
            burst: RequestBurst(self.burst.0.min(other.burst.0)),
        }
    }
}

/// Who owns which part of the rates of one shard of teams.
///
/// Every change is a new version, written by compare-and-swap. A version that lists an incarnation
/// as revoked ends its renewals wherever that version is known.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ShareTable {
    /// The version of the table; each write raises it by one.
    pub version: u64,
    /// The bundle whose rates the table holds.
    pub bundle: BundleVersion,
    /// The rates and bursts of the shard's teams.
    pub teams: BTreeMap<TeamId, TeamLimit>,
    /// The units that each incarnation owns, of [`TOTAL_UNITS`].
    pub owners: BTreeMap<InstanceIncarnation, u32>,
    /// Owners that may not renew their leases any more.
    pub revoked: BTreeSet<InstanceIncarnation>,
    /// The instances that vouch for owners.
    pub witnesses: Vec<InstanceId>,
    /// The set before, until a majority of it holds a version that names the present one.
    pub previous_witnesses: Vec<InstanceId>,
}

/// Why a table is not valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableError {
    /// The owners have more units than there are.
    TooManyUnits { units: u64 },
    /// A revoked incarnation owns nothing.
    RevokedWithoutUnits,
    /// Nobody vouches for the owners.
    NoWitnesses,
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TableError::TooManyUnits { units } => {
                write!(f, "owners have {units} units of {TOTAL_UNITS}")
            }
            TableError::RevokedWithoutUnits => write!(f, "a revoked incarnation owns nothing"),
            TableError::NoWitnesses => write!(f, "the table names no witnesses"),
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

    /// Checks the rules that every version keeps.
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

    /// Returns the units of an owner that is not revoked, otherwise 0.
    pub fn units(&self, incarnation: &InstanceIncarnation) -> u32 {
        if self.revoked.contains(incarnation) {
            return 0;
        }
        self.owners.get(incarnation).copied().unwrap_or(0)
    }

    /// Returns whether holders of this version form a majority of every set that still counts.
    pub fn is_known_by(&self, knows: impl Fn(&InstanceId) -> bool) -> bool {
        majority(&self.witnesses, &knows)
            && (self.previous_witnesses.is_empty() || majority(&self.previous_witnesses, &knows))
    }

    /// Returns the next version, unchanged but for its number.
    pub fn next(&self) -> ShareTable {
        ShareTable {
            version: self.version + 1,
            ..self.clone()
        }
    }

    /// Takes units from an owner and divides them among others, who get as even as possible.
    pub fn give(
        &mut self,
        giver: &InstanceIncarnation,
        units: u32,
        takers: &[InstanceIncarnation],
    ) {
        let held = self.owners.get(giver).copied().unwrap_or(0);
        let mut left = units.min(held);
        if takers.is_empty() || left == 0 {
            return;
        }
        let mut levels = takers
            .iter()
            .map(|taker| (self.owners.get(taker).copied().unwrap_or(0), taker.clone()))
            .collect::<Vec<_>>();
        levels.sort();
        self.owners.insert(giver.clone(), held - left);
        // Fills the poorest first, up to the level of the next.
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
        for (units, taker) in levels {
            self.owners.insert(taker, units);
        }
        if self.owners.get(giver) == Some(&0) {
            self.owners.remove(giver);
            self.revoked.remove(giver);
        }
    }
}

/// Returns whether the predicate holds for more than half of a set.
pub fn majority(set: &[InstanceId], holds: impl Fn(&InstanceId) -> bool) -> bool {
    set.iter().filter(|id| holds(id)).count() * 2 > set.len()
}
