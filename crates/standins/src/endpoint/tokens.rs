//! Splits query text into statements and their tokens.

use crate::endpoint::reply::SqlError;

/// A token of a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SqlToken {
    /// A keyword or an unquoted name, in lower case.
    Word(String),
    /// A quoted name.
    Name(String),
    /// A string literal.
    Text(String),
    /// A number literal.
    Number(String),
    /// A parameter by its number, from 1.
    Parameter(usize),
    /// Any other character.
    Symbol(char),
}

/// The text and the tokens of a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SqlText {
    /// The text without surrounding white space.
    pub text: String,
    /// The tokens.
    pub tokens: Vec<SqlToken>,
}

/// Splits a text into statements at its semicolons, and skips empty statements.
pub fn split_statements(text: &str) -> Result<Vec<SqlText>, SqlError> {
    let mut statements = Vec::new();
    let mut tokens = Vec::new();
    let mut start = 0;
    let mut at = 0;
    while at < text.len() {
        let (token, end) = next_token(text, at)?;
        at = end;
        match token {
            Some(SqlToken::Symbol(';')) => {
                push_statement(&mut statements, &text[start..at - 1], &mut tokens);
                start = at;
            }
            Some(token) => tokens.push(token),
            None => {}
        }
    }
    push_statement(&mut statements, &text[start..], &mut tokens);
    Ok(statements)
}

fn push_statement(statements: &mut Vec<SqlText>, text: &str, tokens: &mut Vec<SqlToken>) {
    if !tokens.is_empty() {
        statements.push(SqlText {
            text: text.trim().to_owned(),
            tokens: std::mem::take(tokens),
        });
    }
}

fn next_token(text: &str, at: usize) -> Result<(Option<SqlToken>, usize), SqlError> {
    let rest = &text[at..];
    let mut characters = rest.chars();
    let first = characters.next().unwrap_or(' ');
    let second = characters.next();
    let span = |accept: fn(char) -> bool| {
        let length = rest.find(|c| !accept(c)).unwrap_or(rest.len());
        (&rest[..length], at + length)
    };
    match (first, second) {
        ('-', Some('-')) => Ok((None, at + rest.find('\n').unwrap_or(rest.len()))),
        ('/', Some('*')) => {
            let length = rest.find("*/").map_or(rest.len(), |length| length + 2);
            Ok((None, at + length))
        }
        ('\'', _) => {
            let (value, end) = quoted(text, at, '\'')?;
            Ok((Some(SqlToken::Text(value)), end))
        }
        ('"', _) => {
            let (value, end) = quoted(text, at, '"')?;
            Ok((Some(SqlToken::Name(value)), end))
        }
        ('$', Some(digit)) if digit.is_ascii_digit() => {
            let digits: String = rest[1..].chars().take_while(char::is_ascii_digit).collect();
            let number = digits
                .parse()
                .map_err(|_| SqlError::syntax("bad parameter number"))?;
            Ok((Some(SqlToken::Parameter(number)), at + 1 + digits.len()))
        }
        (c, _) if c.is_whitespace() => Ok((None, at + c.len_utf8())),
        (c, _) if c.is_ascii_digit() => {
            let (number, end) = span(|c| c.is_ascii_digit() || c == '.');
            Ok((Some(SqlToken::Number(number.to_owned())), end))
        }
        (c, _) if c.is_alphabetic() || c == '_' => {
            let (word, end) = span(|c| c.is_alphanumeric() || c == '_' || c == '.');
            Ok((Some(SqlToken::Word(word.to_lowercase())), end))
        }
        (c, _) => Ok((Some(SqlToken::Symbol(c)), at + c.len_utf8())),
    }
}

fn quoted(text: &str, at: usize, quote: char) -> Result<(String, usize), SqlError> {
    let mut value = String::new();
    let mut characters = text[at + 1..].char_indices().peekable();
    while let Some((offset, c)) = characters.next() {
        if c != quote {
            value.push(c);
        } else if characters.next_if(|&(_, next)| next == quote).is_some() {
            value.push(quote);
        } else {
            return Ok((value, at + 1 + offset + quote.len_utf8()));
        }
    }
    Err(SqlError::syntax("unterminated quoted string"))
}
