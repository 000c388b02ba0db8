//! Parses a YAML text into a tree of nodes with their positions.
//!
//! A derived deserializer stops at the first fault; with the tree, a parser can report all of them.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_saphyr::DuplicateKeyPolicy;
use serde_saphyr::Spanned;

use crate::version::config_fault::ConfigFault;
use crate::version::fault_list::FaultList;
use crate::version::fault_list::TextPosition;

/// A value with its position in the text.
#[derive(Debug, Clone, PartialEq)]
pub struct YamlNode {
    /// Where the value starts.
    pub position: TextPosition,
    /// The value.
    pub value: YamlValue,
}

/// The value of a node.
#[derive(Debug, Clone, PartialEq)]
pub enum YamlValue {
    /// No value.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A non-negative integer.
    Unsigned(u64),
    /// Any other number.
    Float(f64),
    /// A text.
    Text(String),
    /// A list.
    List(Vec<YamlNode>),
    /// A mapping as position, key and value in text order; a key may occur several times.
    Map(Vec<(TextPosition, String, YamlNode)>),
}

impl YamlValue {
    /// Returns the name of the type as used in fault messages.
    pub fn type_name(&self) -> &'static str {
        match self {
            YamlValue::Null => "nothing",
            YamlValue::Bool(_) => "a boolean",
            YamlValue::Unsigned(_) | YamlValue::Float(_) => "a number",
            YamlValue::Text(_) => "a text",
            YamlValue::List(_) => "a list",
            YamlValue::Map(_) => "a mapping",
        }
    }
}

/// Parses a text that consists of one YAML document.
pub fn parse_yaml(text: &str) -> Result<YamlNode, FaultList> {
    let options = serde_saphyr::options! {
        duplicate_keys: DuplicateKeyPolicy::PassThrough,
        non_finite_float_policy: serde_saphyr::NonFiniteFloatPolicy::PassThrough,
        with_snippet: false,
    };
    serde_saphyr::from_str_with_options::<Spanned<YamlValue>>(text, options)
        .map(YamlNode::from_spanned)
        .map_err(|error| {
            let position = error.location().map(to_position).unwrap_or_default();
            let message = strip_position(&error.to_string());
            let mut faults = FaultList::default();
            faults.push(position, "", ConfigFault::Syntax { message });
            faults
        })
}

/// Removes the position from a parser message, since the fault already has one.
fn strip_position(message: &str) -> String {
    let cut = message.rfind(" at line ").unwrap_or(message.len());
    message[..cut].to_owned()
}

fn to_position(location: serde_saphyr::Location) -> TextPosition {
    TextPosition {
        line: u32::try_from(location.line()).unwrap_or(u32::MAX),
        column: u32::try_from(location.column()).unwrap_or(u32::MAX),
    }
}

impl YamlNode {
    fn from_spanned(spanned: Spanned<YamlValue>) -> Self {
        Self {
            position: to_position(spanned.referenced),
            value: spanned.value,
        }
    }
}

struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = YamlValue;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<YamlValue, E> {
        Ok(YamlValue::Null)
    }

    fn visit_none<E>(self) -> Result<YamlValue, E> {
        Ok(YamlValue::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, inner: D) -> Result<YamlValue, D::Error> {
        inner.deserialize_any(self)
    }

    fn visit_bool<E>(self, value: bool) -> Result<YamlValue, E> {
        Ok(YamlValue::Bool(value))
    }

    fn visit_u64<E>(self, value: u64) -> Result<YamlValue, E> {
        Ok(YamlValue::Unsigned(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<YamlValue, E> {
        Ok(match u64::try_from(value) {
            Ok(value) => YamlValue::Unsigned(value),
            Err(_) => YamlValue::Float(value as f64),
        })
    }

    fn visit_f64<E>(self, value: f64) -> Result<YamlValue, E> {
        Ok(YamlValue::Float(value))
    }

    fn visit_str<E>(self, value: &str) -> Result<YamlValue, E> {
        Ok(YamlValue::Text(value.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<YamlValue, A::Error> {
        let mut list = Vec::new();
        while let Some(element) = access.next_element::<Spanned<YamlValue>>()? {
            list.push(YamlNode::from_spanned(element));
        }
        Ok(YamlValue::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<YamlValue, A::Error> {
        let mut map = Vec::new();
        while let Some(key) = access.next_key::<Spanned<String>>()? {
            let value = access.next_value::<Spanned<YamlValue>>()?;
            let position = to_position(key.referenced);
            map.push((position, key.value, YamlNode::from_spanned(value)));
        }
        Ok(YamlValue::Map(map))
    }
}

impl<'de> Deserialize<'de> for YamlValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ValueVisitor)
    }
}
