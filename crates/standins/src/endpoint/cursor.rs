//! A cursor over the tokens of a statement.

use crate::endpoint::reply::ColumnType;
use crate::endpoint::reply::SqlError;
use crate::endpoint::statement::SqlValue;
use crate::endpoint::tokens::SqlToken;

/// A cursor over the tokens of a statement, which collects the types of its parameters.
#[derive(Debug)]
pub struct TokenCursor<'a> {
    tokens: &'a [SqlToken],
    /// Types of the parameters found so far, in order of their numbers.
    pub parameters: Vec<ColumnType>,
}

impl<'a> TokenCursor<'a> {
    /// Creates a cursor at the first token.
    pub fn new(tokens: &'a [SqlToken]) -> Self {
        Self {
            tokens,
            parameters: Vec::new(),
        }
    }

    /// Returns whether no token is left.
    pub fn is_at_end(&self) -> bool {
        self.tokens.is_empty()
    }

    /// Returns the remaining tokens.
    pub fn rest(&self) -> &'a [SqlToken] {
        self.tokens
    }

    /// Takes the next token if it is this keyword.
    pub fn take_word(&mut self, word: &str) -> bool {
        let found = matches!(self.tokens.first(), Some(SqlToken::Word(w)) if w == word);
        if found {
            self.tokens = &self.tokens[1..];
        }
        found
    }

    /// Takes the next token if it is this character.
    pub fn take_symbol(&mut self, symbol: char) -> bool {
        let found = self.tokens.first() == Some(&SqlToken::Symbol(symbol));
        if found {
            self.tokens = &self.tokens[1..];
        }
        found
    }

    /// Takes the next token; returns a syntax error unless it is this keyword.
    pub fn expect_word(&mut self, word: &str) -> Result<(), SqlError> {
        if self.take_word(word) {
            Ok(())
        } else {
            Err(SqlError::syntax(format!("expected {word}")))
        }
    }

    /// Takes the next token; returns a syntax error unless it is this character.
    pub fn expect_symbol(&mut self, symbol: char) -> Result<(), SqlError> {
        if self.take_symbol(symbol) {
            Ok(())
        } else {
            Err(SqlError::syntax(format!("expected {symbol:?}")))
        }
    }

    /// Takes the next token; returns a syntax error unless it is a quoted or unquoted name.
    pub fn name(&mut self) -> Result<String, SqlError> {
        match self.tokens.split_first() {
            Some((SqlToken::Word(name) | SqlToken::Name(name), rest)) => {
                self.tokens = rest;
                Ok(name.clone())
            }
            _ => Err(SqlError::syntax("expected a name")),
        }
    }

    /// Takes the name of the only table, `kv`; returns an error for any other name.
    pub fn table(&mut self) -> Result<(), SqlError> {
        match self.name()?.as_str() {
            "kv" | "public.kv" => Ok(()),
            other => Err(SqlError::new(
                "42P01",
                format!("relation \"{other}\" does not exist"),
            )),
        }
    }

    /// Takes a literal, a parameter or a function call, with casts; a parameter without a cast has
    /// `default_type`.
    pub fn value(&mut self, default_type: ColumnType) -> Result<SqlValue, SqlError> {
        let negative = self.take_symbol('-');
        let Some((token, rest)) = self.tokens.split_first() else {
            return Err(SqlError::syntax("expected a value"));
        };
        self.tokens = rest;
        let value = match token {
            SqlToken::Number(number) => {
                let sign = if negative { "-" } else { "" };
                let text = format!("{sign}{number}");
                let kind = number_type(&text);
                SqlValue::Literal(Some(text), kind)
            }
            SqlToken::Text(text) => SqlValue::Literal(Some(text.clone()), ColumnType::Text),
            SqlToken::Word(word) if word == "null" => SqlValue::Literal(None, ColumnType::Text),
            SqlToken::Word(word) if word == "true" || word == "false" => {
                SqlValue::Literal(Some(word[..1].to_owned()), ColumnType::Bool)
            }
            SqlToken::Parameter(number) => SqlValue::Parameter(*number, default_type),
            SqlToken::Word(name) => {
                if self.take_symbol('(') {
                    self.expect_symbol(')')?;
                }
                SqlValue::Function(name.clone())
            }
            _ => return Err(SqlError::syntax("expected a value")),
        };
        self.cast(value)
    }

    fn cast(&mut self, value: SqlValue) -> Result<SqlValue, SqlError> {
        let mut value = value;
        while self.take_symbol(':') {
            self.expect_symbol(':')?;
            let name = self.name()?;
            let kind = type_by_name(&name)
                .ok_or_else(|| SqlError::new("42704", format!("no type \"{name}\"")))?;
            value = match value {
                SqlValue::Literal(text, _) => SqlValue::Literal(text, kind),
                SqlValue::Parameter(number, _) => SqlValue::Parameter(number, kind),
                function @ SqlValue::Function(_) => function,
            };
        }
        if let SqlValue::Parameter(number, kind) = value {
            self.set_parameter_type(number, kind)?;
        }
        Ok(value)
    }

    fn set_parameter_type(&mut self, number: usize, kind: ColumnType) -> Result<(), SqlError> {
        if number == 0 || number > usize::from(u16::MAX) {
            return Err(SqlError::new("42P02", format!("no parameter ${number}")));
        }
        if self.parameters.len() < number {
            self.parameters.resize(number, ColumnType::Text);
        }
        self.parameters[number - 1] = kind;
        Ok(())
    }
}

fn number_type(text: &str) -> ColumnType {
    if text.parse::<i32>().is_ok() {
        ColumnType::Int4
    } else if text.parse::<i64>().is_ok() {
        ColumnType::Int8
    } else {
        ColumnType::Float8
    }
}

fn type_by_name(name: &str) -> Option<ColumnType> {
    match name {
        "bool" | "boolean" => Some(ColumnType::Bool),
        "int" | "int4" | "integer" => Some(ColumnType::Int4),
        "int8" | "bigint" => Some(ColumnType::Int8),
        "float8" => Some(ColumnType::Float8),
        "text" | "varchar" => Some(ColumnType::Text),
        _ => None,
    }
}
