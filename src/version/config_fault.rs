//! The faults that validating a bundle or settings text can report.

use std::fmt;

use crate::version::ids::IdError;

/// What is wrong at one position of a configuration text.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigFault {
    /// The text is not YAML, or has several documents or aliases that expand too far.
    Syntax { message: String },
    /// A mapping has an unknown field.
    UnknownField { name: String },
    /// A mapping has the same field twice.
    DuplicateField { name: String },
    /// A mapping lacks a required field.
    MissingField { name: &'static str },
    /// A value has the wrong type.
    WrongType {
        expected: &'static str,
        found: &'static str,
    },
    /// An identifier is malformed.
    BadId(IdError),
    /// An identifier, address or reference occurs twice where it must be unique.
    Duplicate {
        what: &'static str,
        name: String,
        first_line: u32,
    },
    /// A reference names something that is not defined in the text.
    UnknownReference { what: &'static str, name: String },
    /// A number is infinite, NaN, zero or negative.
    NotPositive { value: f64 },
    /// A number is outside its range.
    OutOfRange {
        value: f64,
        low: f64,
        high: f64,
        unit: &'static str,
    },
    /// A number is below its minimum.
    BelowMinimum {
        value: f64,
        low: f64,
        unit: &'static str,
    },
    /// A list is empty but needs at least one element.
    EmptyList { what: &'static str },
    /// A text is empty or consists of whitespace.
    EmptyText,
    /// A text is not an IP address with a port.
    BadAddress { text: String },
    /// A text is not base64 or decodes to the wrong number of bytes.
    BadBytes { expected: &'static str },
    /// A text is not one of the allowed values.
    BadChoice { allowed: &'static str },
    /// Field `name` is given without field `pair`, which it requires.
    MissingPair {
        name: &'static str,
        pair: &'static str,
    },
    /// None of several alternative fields is given.
    MissingOneOf { names: &'static str },
    /// Two mutually exclusive fields are both given.
    ExcludedPair {
        name: &'static str,
        pair: &'static str,
    },
    /// A file cannot be read.
    UnreadableFile { path: String, reason: String },
    /// The text is larger than its limit in bytes.
    TooLarge { bytes: usize, limit: usize },
}

impl fmt::Display for ConfigFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigFault::Syntax { message } => write!(f, "invalid YAML: {message}"),
            ConfigFault::UnknownField { name } => write!(f, "unknown field '{name}'"),
            ConfigFault::DuplicateField { name } => write!(f, "field '{name}' occurs twice"),
            ConfigFault::MissingField { name } => write!(f, "field '{name}' is missing"),
            ConfigFault::WrongType { expected, found } => {
                write!(f, "expected {expected}, found {found}")
            }
            ConfigFault::BadId(error) => write!(f, "{error}"),
            ConfigFault::Duplicate {
                what,
                name,
                first_line,
            } => write!(f, "{what} '{name}' is already in line {first_line}"),
            ConfigFault::UnknownReference { what, name } => {
                write!(f, "{what} '{name}' does not exist")
            }
            ConfigFault::NotPositive { value } => {
                write!(f, "{value} is not a finite number above 0")
            }
            ConfigFault::OutOfRange {
                value,
                low,
                high,
                unit,
            } => {
                write!(f, "{value} is outside {low} to {high}")?;
                write_unit(f, unit)
            }
            ConfigFault::BelowMinimum { value, low, unit } => {
                write!(f, "{value} is below {low}")?;
                write_unit(f, unit)
            }
            ConfigFault::EmptyList { what } => write!(f, "at least one {what} is required"),
            ConfigFault::EmptyText => write!(f, "text is empty"),
            ConfigFault::BadAddress { text } => {
                write!(f, "'{text}' is not an IP address with a port")
            }
            ConfigFault::BadBytes { expected } => write!(f, "expected {expected} in base64"),
            ConfigFault::BadChoice { allowed } => write!(f, "expected one of {allowed}"),
            ConfigFault::MissingPair { name, pair } => {
                write!(f, "field '{name}' needs field '{pair}'")
            }
            ConfigFault::MissingOneOf { names } => {
                write!(f, "one of the fields {names} is required")
            }
            ConfigFault::ExcludedPair { name, pair } => {
                write!(f, "fields '{name}' and '{pair}' exclude each other")
            }
            ConfigFault::UnreadableFile { path, reason } => {
                write!(f, "file '{path}' cannot be read: {reason}")
            }
            ConfigFault::TooLarge { bytes, limit } => {
                write!(f, "text has {bytes} bytes, at most {limit} are allowed")
            }
        }
    }
}

fn write_unit(f: &mut fmt::Formatter<'_>, unit: &str) -> fmt::Result {
    if unit.is_empty() {
        Ok(())
    } else {
        write!(f, " {unit}")
    }
}
