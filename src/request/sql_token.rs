//! Splits SQL text into statements and tokens.

/// A token of a statement; comments and whitespace produce none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SqlToken {
    /// A keyword, number or unquoted identifier, in lower case.
    Word(String),
    /// A double-quoted identifier, without its quotes.
    Name(String),
    /// A string constant, without its quotes.
    Text(String),
    /// Any other character.
    Symbol(char),
}

/// Splits a text into statements with their tokens; empty statements are omitted.
pub fn split_statements(text: &str) -> Vec<(&str, Vec<SqlToken>)> {
    let mut statements = Vec::new();
    let mut scanner = TokenScanner { text, index: 0 };
    let mut tokens = Vec::new();
    let mut start = 0;
    loop {
        let token = scanner.next_token();
        match token {
            Some(SqlToken::Symbol(';')) => {
                if !tokens.is_empty() {
                    statements.push((&text[start..scanner.index - 1], std::mem::take(&mut tokens)));
                }
                start = scanner.index;
            }
            Some(token) => tokens.push(token),
            None => break,
        }
    }
    if !tokens.is_empty() {
        statements.push((&text[start..], tokens));
    }
    statements
}

/// Returns the tokens of a text, each followed by a space; words and names are in lower case.
pub fn normalize_words(text: &str) -> String {
    let mut scanner = TokenScanner { text, index: 0 };
    let mut words = String::new();
    while let Some(token) = scanner.next_token() {
        match token {
            SqlToken::Word(word) => words.push_str(&word),
            SqlToken::Name(name) => words.push_str(&name.to_lowercase()),
            SqlToken::Text(text) => words.push_str(&text),
            SqlToken::Symbol(symbol) => words.push(symbol),
        }
        words.push(' ');
    }
    words
}

/// Characters that end a line comment at endpoints.
const LINE_BREAKS: [char; 2] = ['\n', '\r'];

struct TokenScanner<'a> {
    text: &'a str,
    index: usize,
}

impl TokenScanner<'_> {
    fn rest(&self) -> &str {
        &self.text[self.index..]
    }

    fn next_token(&mut self) -> Option<SqlToken> {
        self.skip_whitespace();
        let first = self.rest().chars().next()?;
        let next = self.rest().chars().nth(1);
        match (first, next) {
            ('\'', _) => Some(SqlToken::Text(self.take_quoted('\'', false))),
            ('e' | 'E', Some('\'')) => {
                self.index += 1;
                Some(SqlToken::Text(self.take_quoted('\'', true)))
            }
            ('"', _) => Some(SqlToken::Name(self.take_quoted('"', false))),
            ('$', _) => Some(self.take_dollar_quoted()),
            _ if is_word_start(first) || first.is_ascii_digit() => Some(self.take_word()),
            _ => {
                self.index += first.len_utf8();
                Some(SqlToken::Symbol(first))
            }
        }
    }

    fn skip_whitespace(&mut self) {
        loop {
            let rest = self.rest();
            let blank = rest.len() - rest.trim_start().len();
            self.index += blank;
            if self.rest().starts_with("--") {
                let end = self.rest().find(LINE_BREAKS).unwrap_or(self.rest().len());
                self.index += end;
            } else if self.rest().starts_with("/*") {
                self.skip_block_comment();
            } else {
                return;
            }
        }
    }

    fn skip_block_comment(&mut self) {
        let mut depth = 0;
        loop {
            let rest = self.rest();
            if rest.starts_with("/*") {
                depth += 1;
                self.index += 2;
            } else if rest.starts_with("*/") {
                depth -= 1;
                self.index += 2;
                if depth == 0 {
                    return;
                }
            } else {
                match rest.chars().next() {
                    Some(character) => self.index += character.len_utf8(),
                    None => return,
                }
            }
        }
    }

    /// Takes a quoted text with the parts that continue it. Only for a text with escapes must these be
    /// known, as they have escapes too; other parts are tokens of their own.
    fn take_quoted(&mut self, quote: char, escapes: bool) -> String {
        let mut content = self.take_quoted_part(quote, escapes);
        while escapes && self.skip_continuation(quote) {
            content.push_str(&self.take_quoted_part(quote, escapes));
        }
        content
    }

    /// Skips to the next part of a string: one that follows whitespace and line comments with a line
    /// break among them. Returns whether there is one.
    fn skip_continuation(&mut self, quote: char) -> bool {
        let mut rest = self.rest();
        let mut has_break = false;
        loop {
            let next = rest.trim_start_matches([' ', '\t', '\n', '\r', '\u{b}', '\u{c}']);
            has_break |= rest[..rest.len() - next.len()].contains(LINE_BREAKS);
            rest = next;
            let Some(comment) = rest.strip_prefix("--") else {
                break;
            };
            rest = &comment[comment.find(LINE_BREAKS).unwrap_or(comment.len())..];
        }
        let continues = has_break && rest.starts_with(quote);
        if continues {
            self.index = self.text.len() - rest.len();
        }
        continues
    }

    fn take_quoted_part(&mut self, quote: char, escapes: bool) -> String {
        self.index += 1;
        let mut content = String::new();
        let mut characters = self.text[self.index..].char_indices().peekable();
        while let Some((offset, character)) = characters.next() {
            if escapes && character == '\\' {
                if let Some((_, escaped)) = characters.next() {
                    content.push(escaped);
                }
            } else if character == quote {
                if characters.peek().is_some_and(|&(_, next)| next == quote) {
                    characters.next();
                    content.push(quote);
                } else {
                    self.index += offset + 1;
                    return content;
                }
            } else {
                content.push(character);
            }
        }
        self.index = self.text.len();
        content
    }

    fn take_dollar_quoted(&mut self) -> SqlToken {
        let rest = self.rest();
        let tag_end = rest[1..]
            .find(|character: char| !is_word_character(character))
            .map(|offset| offset + 1);
        let tag = tag_end.filter(|&end| rest[end..].starts_with('$'));
        let tag = tag.filter(|_| !rest[1..].starts_with(|c: char| c.is_ascii_digit()));
        let Some(end) = tag else {
            self.index += 1;
            return SqlToken::Symbol('$');
        };
        let quote = &rest[..=end];
        let body = &rest[end + 1..];
        let (content, used) = match body.find(quote) {
            Some(close) => (&body[..close], end + 1 + close + quote.len()),
            None => (body, rest.len()),
        };
        let token = SqlToken::Text(content.to_owned());
        self.index += used;
        token
    }

    fn take_word(&mut self) -> SqlToken {
        let rest = self.rest();
        let end = rest
            .find(|character: char| !is_word_character(character) && character != '$')
            .unwrap_or(rest.len());
        let word = rest[..end].to_lowercase();
        self.index += end;
        SqlToken::Word(word)
    }
}

fn is_word_start(character: char) -> bool {
    character.is_alphabetic() || character == '_' || !character.is_ascii()
}

fn is_word_character(character: char) -> bool {
    character.is_alphanumeric() || character == '_' || !character.is_ascii()
}
