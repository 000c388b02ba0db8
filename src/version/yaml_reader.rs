//! Reads the fields of YAML mappings, collecting every fault instead of stopping at the first.

use std::collections::HashMap;
use std::net::SocketAddr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;

use crate::version::config_fault::ConfigFault;
use crate::version::fault_list::FaultList;
use crate::version::fault_list::TextPosition;
use crate::version::ids::IdError;
use crate::version::yaml_node::YamlNode;
use crate::version::yaml_node::YamlValue;

/// Reads the fields of one mapping.
pub struct MapReader<'a> {
    position: TextPosition,
    path: String,
    fields: HashMap<&'a str, &'a YamlNode>,
}

/// A value with its position in the text and the path of its field.
#[derive(Debug, Clone)]
pub struct Located<T> {
    /// Where the value starts.
    pub position: TextPosition,
    /// The path of the field.
    pub path: String,
    /// The value.
    pub value: T,
}

impl<T> Located<T> {
    /// Applies a function to the value.
    pub fn map<U>(self, function: impl FnOnce(T) -> U) -> Located<U> {
        Located {
            position: self.position,
            path: self.path,
            value: function(self.value),
        }
    }

    /// Records a fault at the position and path of the value.
    pub fn reject(&self, fault: ConfigFault, faults: &mut FaultList) {
        faults.push(self.position, &self.path, fault);
    }
}

impl<T: AsRef<str>> Located<T> {
    /// Returns the value as text with the same position and path.
    pub fn as_text(&self) -> Located<&str> {
        Located {
            position: self.position,
            path: self.path.clone(),
            value: self.value.as_ref(),
        }
    }
}

impl<'a> MapReader<'a> {
    /// Reads a mapping; fields that are not in `known` or occur twice are faults.
    ///
    /// Returns `None`, with a fault, if the node is not a mapping.
    pub fn read_map(
        node: &'a YamlNode,
        path: &str,
        known: &[&str],
        faults: &mut FaultList,
    ) -> Option<Self> {
        let YamlValue::Map(entries) = &node.value else {
            faults.push(node.position, path, wrong_type("a mapping", node));
            return None;
        };
        let mut fields = HashMap::new();
        for (position, name, value) in entries {
            if !known.contains(&name.as_str()) {
                let name = name.clone();
                faults.push(*position, path, ConfigFault::UnknownField { name });
            } else if fields.insert(name.as_str(), value).is_some() {
                let name = name.clone();
                faults.push(*position, path, ConfigFault::DuplicateField { name });
            }
        }
        Some(Self {
            position: node.position,
            path: path.to_owned(),
            fields,
        })
    }

    /// Returns where the mapping starts.
    pub fn position(&self) -> TextPosition {
        self.position
    }

    /// Returns the path of the mapping.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns the node of a field, if the field is present.
    pub fn optional(&self, name: &str) -> Option<Located<&'a YamlNode>> {
        let node = *self.fields.get(name)?;
        Some(Located {
            position: node.position,
            path: join_path(&self.path, name),
            value: node,
        })
    }

    /// Returns the node of a field, if the field is present and not null.
    pub fn nullable(&self, name: &str) -> Option<Located<&'a YamlNode>> {
        self.optional(name)
            .filter(|node| node.value.value != YamlValue::Null)
    }

    /// Returns the node of a field; a missing field is a fault.
    pub fn required(
        &self,
        name: &'static str,
        faults: &mut FaultList,
    ) -> Option<Located<&'a YamlNode>> {
        let found = self.optional(name);
        if found.is_none() {
            faults.push(
                self.position,
                &self.path,
                ConfigFault::MissingField { name },
            );
        }
        found
    }
}

/// Each method that reads a value records a fault and returns `None` if the value is not valid.
impl<'a> Located<&'a YamlNode> {
    /// Reads a text.
    pub fn text(&self, faults: &mut FaultList) -> Option<Located<&'a str>> {
        let value = match &self.value.value {
            YamlValue::Text(text) => text.as_str(),
            _ => return self.wrong_type("a text", faults),
        };
        Some(self.with_value(value))
    }

    /// Reads a text that is not empty and not only whitespace.
    pub fn non_blank_text(&self, faults: &mut FaultList) -> Option<Located<&'a str>> {
        let text = self.text(faults)?;
        if text.value.trim().is_empty() {
            text.reject(ConfigFault::EmptyText, faults);
            return None;
        }
        Some(text)
    }

    /// Reads an identifier.
    pub fn id<T>(&self, faults: &mut FaultList) -> Option<Located<T>>
    where
        T: std::str::FromStr<Err = IdError>,
    {
        let text = self.text(faults)?;
        match text.value.parse() {
            Ok(id) => Some(self.with_value(id)),
            Err(error) => {
                text.reject(ConfigFault::BadId(error), faults);
                None
            }
        }
    }

    /// Reads a boolean.
    pub fn boolean(&self, faults: &mut FaultList) -> Option<bool> {
        match self.value.value {
            YamlValue::Bool(value) => Some(value),
            _ => self.wrong_type("true or false", faults),
        }
    }

    /// Reads an integer from `low` to `high`, inclusive; `u64::MAX` means no upper bound.
    pub fn integer(
        &self,
        low: u64,
        high: u64,
        unit: &'static str,
        faults: &mut FaultList,
    ) -> Option<u64> {
        let value = match self.value.value {
            YamlValue::Unsigned(value) => value,
            YamlValue::Float(value) if value < 0.0 => {
                return self.out_of_range(value, low, high, unit, faults);
            }
            _ => return self.wrong_type("a whole number", faults),
        };
        if value < low || value > high {
            return self.out_of_range(value as f64, low, high, unit, faults);
        }
        Some(value)
    }

    /// Reads a number.
    pub fn number(&self, faults: &mut FaultList) -> Option<f64> {
        match self.value.value {
            YamlValue::Unsigned(value) => Some(value as f64),
            YamlValue::Float(value) => Some(value),
            _ => self.wrong_type("a number", faults),
        }
    }

    /// Reads a finite number above zero.
    pub fn positive(&self, faults: &mut FaultList) -> Option<f64> {
        let value = self.number(faults)?;
        if !value.is_finite() || value <= 0.0 {
            self.reject(ConfigFault::NotPositive { value }, faults);
            return None;
        }
        Some(value)
    }

    /// Reads an IP address and port; port 0 is not valid.
    pub fn address(&self, faults: &mut FaultList) -> Option<Located<SocketAddr>> {
        let text = self.text(faults)?;
        match text.value.parse::<SocketAddr>() {
            Ok(address) if address.port() != 0 => Some(self.with_value(address)),
            _ => {
                let text = text.value.to_owned();
                self.reject(ConfigFault::BadAddress { text }, faults);
                None
            }
        }
    }

    /// Reads base64 text whose decoded length in bytes satisfies `accept`.
    pub fn bytes(
        &self,
        expected: &'static str,
        accept: impl Fn(usize) -> bool,
        faults: &mut FaultList,
    ) -> Option<Located<&'a str>> {
        let text = self.text(faults)?;
        match STANDARD.decode(text.value) {
            Ok(bytes) if accept(bytes.len()) => Some(text),
            _ => {
                self.reject(ConfigFault::BadBytes { expected }, faults);
                None
            }
        }
    }

    /// Reads a list; the path of each element includes its index.
    pub fn list(&self, faults: &mut FaultList) -> Option<Vec<Located<&'a YamlNode>>> {
        let YamlValue::List(elements) = &self.value.value else {
            self.reject(wrong_type("a list", self.value), faults);
            return None;
        };
        let locate = |(index, node): (usize, &'a YamlNode)| Located {
            position: node.position,
            path: format!("{}[{index}]", self.path),
            value: node,
        };
        Some(elements.iter().enumerate().map(locate).collect())
    }

    /// Reads a list that must not be empty; an empty list is recorded as a fault, but still
    /// returned.
    pub fn non_empty_list(
        &self,
        what: &'static str,
        faults: &mut FaultList,
    ) -> Option<Vec<Located<&'a YamlNode>>> {
        if self.value.value == YamlValue::List(Vec::new()) {
            self.reject(ConfigFault::EmptyList { what }, faults);
        }
        self.list(faults)
    }

    /// Reads a mapping; see [`MapReader::read_map`].
    pub fn read_map(&self, known: &[&str], faults: &mut FaultList) -> Option<MapReader<'a>> {
        MapReader::read_map(self.value, &self.path, known, faults)
    }

    fn with_value<T>(&self, value: T) -> Located<T> {
        Located {
            position: self.position,
            path: self.path.clone(),
            value,
        }
    }

    fn wrong_type<T>(&self, expected: &'static str, faults: &mut FaultList) -> Option<T> {
        self.reject(wrong_type(expected, self.value), faults);
        None
    }

    fn out_of_range<T>(
        &self,
        value: f64,
        low: u64,
        high: u64,
        unit: &'static str,
        faults: &mut FaultList,
    ) -> Option<T> {
        let fault = if high == u64::MAX {
            let low = low as f64;
            ConfigFault::BelowMinimum { value, low, unit }
        } else {
            ConfigFault::OutOfRange {
                value,
                low: low as f64,
                high: high as f64,
                unit,
            }
        };
        self.reject(fault, faults);
        None
    }
}

fn wrong_type(expected: &'static str, node: &YamlNode) -> ConfigFault {
    ConfigFault::WrongType {
        expected,
        found: node.value.type_name(),
    }
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}
