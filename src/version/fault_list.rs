//! Collects the faults of a configuration text with their positions.

use std::fmt;

use crate::version::config_fault::ConfigFault;

/// A position in a text; lines and columns start at 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TextPosition {
    /// The line.
    pub line: u32,
    /// The column, in characters.
    pub column: u32,
}

impl fmt::Display for TextPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// A fault with its position in the text.
#[derive(Debug, Clone, PartialEq)]
pub struct LocatedFault {
    /// Where the fault is.
    pub position: TextPosition,
    /// The path of the value, such as `teams[0].rate`; empty for the whole text.
    pub path: String,
    /// What is wrong.
    pub fault: ConfigFault,
}

impl fmt::Display for LocatedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.path.is_empty() {
            write!(f, "{}: {}", self.position, self.fault)
        } else {
            write!(f, "{}: {}: {}", self.position, self.path, self.fault)
        }
    }
}

/// The faults of one text; [`FaultList::into_result`] sorts them by position.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FaultList {
    faults: Vec<LocatedFault>,
}

impl FaultList {
    /// Adds a fault.
    pub fn push(&mut self, position: TextPosition, path: &str, fault: ConfigFault) {
        self.faults.push(LocatedFault {
            position,
            path: path.to_owned(),
            fault,
        });
    }

    /// Returns the faults.
    pub fn faults(&self) -> &[LocatedFault] {
        &self.faults
    }

    /// Returns one line per fault as `FILE:LINE:COLUMN: ...`, the format that editors recognize.
    pub fn format_for_file(&self, file: &str) -> String {
        let lines: Vec<String> = self
            .faults
            .iter()
            .map(|fault| format!("{file}:{fault}"))
            .collect();
        lines.join("\n")
    }

    /// Returns the value if there are no faults, otherwise the faults sorted by position.
    pub fn into_result<T>(mut self, value: Option<T>) -> Result<T, FaultList> {
        match value {
            Some(value) if self.faults.is_empty() => Ok(value),
            _ => {
                self.faults.sort_by_key(|fault| fault.position);
                Err(self)
            }
        }
    }
}

impl fmt::Display for FaultList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for FaultList {}
