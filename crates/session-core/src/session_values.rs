//! Values and prepared names that follow a session from one endpoint connection to another.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::caller_statement::StatementDefinition;
use crate::prepared_name::PreparedName;

/// The state of a session that outlives its transactions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SessionValues {
    /// Values by name.
    pub values: BTreeMap<String, String>,
    /// Prepared statements by the caller's names.
    pub prepared: BTreeMap<String, StatementDefinition>,
}

/// State that earlier sessions left on an endpoint connection.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConnectionValues {
    /// Values by name.
    pub values: BTreeMap<String, String>,
    /// Names of prepared statements at the endpoint.
    pub prepared: BTreeSet<PreparedName>,
}

/// A statement that restores part of a session's state on a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplayStep {
    /// Drops all values and prepared names.
    Reset,
    /// Sets a value.
    Set {
        /// The name of the value.
        name: String,
        /// The value.
        value: String,
    },
    /// Prepares a statement under the name that all sessions share.
    Prepare {
        /// The name at the endpoint.
        name: PreparedName,
        /// The statement to prepare.
        definition: StatementDefinition,
    },
}

impl ConnectionValues {
    /// Returns the size of the values and names in bytes.
    pub fn bytes(&self) -> usize {
        let values = self.values.iter();
        let values = values.map(|(name, value)| name.len() + value.len());
        let names = self.prepared.iter().map(|name| name.as_str().len());
        values.chain(names).sum()
    }

    /// Returns whether the connection's values equal the session's, so that they need no replay.
    pub fn matches(&self, session: &SessionValues) -> bool {
        self.values == session.values
    }

    /// Returns how well the connection suits a session that runs the prepared statement of this name,
    /// if it is one; higher is better.
    pub fn preference(&self, session: &SessionValues, name: Option<&PreparedName>) -> u8 {
        let holds_name = name.is_none_or(|name| self.prepared.contains(name));
        2 * u8::from(self.matches(session)) + u8::from(holds_name)
    }

    /// Returns the steps that must run before a statement of the session. `definition` is what the
    /// statement executes, if it is prepared.
    pub fn missing_steps(
        &self,
        session: &SessionValues,
        definition: Option<&StatementDefinition>,
    ) -> Vec<ReplayStep> {
        let mut steps = Vec::new();
        let empty = Self::default();
        let is_foreign = |name: &String| !session.values.contains_key(name);
        let held = match self.values.keys().any(is_foreign) {
            true => {
                steps.push(ReplayStep::Reset);
                &empty
            }
            false => self,
        };
        let missing = session.values.iter();
        let missing = missing.filter(|(name, value)| held.values.get(*name) != Some(*value));
        steps.extend(missing.map(|(name, value)| ReplayStep::Set {
            name: name.clone(),
            value: value.clone(),
        }));
        if let Some(definition) = definition {
            let name = PreparedName::new(definition);
            if !held.prepared.contains(&name) {
                steps.push(ReplayStep::Prepare {
                    name,
                    definition: definition.clone(),
                });
            }
        }
        steps
    }

    /// Records a step that the endpoint has acknowledged.
    pub fn apply(&mut self, step: &ReplayStep) {
        match step {
            ReplayStep::Reset => *self = Self::default(),
            ReplayStep::Set { name, value } => {
                self.values.insert(name.clone(), value.clone());
            }
            ReplayStep::Prepare { name, .. } => {
                self.prepared.insert(name.clone());
            }
        }
    }
}
