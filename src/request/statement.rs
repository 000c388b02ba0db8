//! Classifies a statement by its text: its effect on the session and on the service.
//!
//! The classification is conservative: a statement that is not clearly a read counts as a write.

use crate::request::sql_token;
use crate::request::sql_token::SqlToken;

/// Functions that change the session state of their endpoint connection, and so pin the session.
const PINNING_FUNCTIONS: [&str; 10] = [
    "set_config",
    "pg_advisory_lock",
    "pg_advisory_lock_shared",
    "pg_try_advisory_lock",
    "pg_try_advisory_lock_shared",
    "pg_advisory_unlock",
    "pg_advisory_unlock_shared",
    "pg_advisory_unlock_all",
    "dblink_connect",
    "setseed",
];

/// Words that may precede a parenthesis in a read without side effects; sorted for binary search.
const PURE_WORDS: [&str; 42] = [
    "abs",
    "all",
    "and",
    "any",
    "as",
    "avg",
    "by",
    "case",
    "cast",
    "coalesce",
    "count",
    "date",
    "distinct",
    "else",
    "except",
    "exists",
    "extract",
    "filter",
    "from",
    "greatest",
    "in",
    "intersect",
    "join",
    "least",
    "length",
    "lower",
    "max",
    "min",
    "not",
    "now",
    "on",
    "or",
    "over",
    "round",
    "select",
    "sum",
    "then",
    "union",
    "upper",
    "using",
    "values",
    "where",
];

/// The setting that shows and raises the floor of a session.
pub const FLOOR_SETTING: &str = "tamaracklb.floor";

/// The setting with which a session accepts stale reads.
pub const STALENESS_SETTING: &str = "tamaracklb.staleness";

/// The kind of a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatementKind {
    /// Opens a transaction.
    Begin {
        /// Whether the transaction may not write.
        read_only: bool,
    },
    /// Ends a transaction and keeps its effects.
    Commit,
    /// Ends a transaction and undoes its effects.
    Rollback,
    /// Rolls a transaction back to a savepoint.
    RollbackTo {
        /// The name of the savepoint.
        savepoint: String,
    },
    /// Sets a savepoint within a transaction.
    Savepoint {
        /// The name of the savepoint.
        savepoint: String,
    },
    /// Changes a setting of the session.
    Set {
        /// The name of the setting.
        setting: String,
    },
    /// Resets one setting, or all, to the default.
    Reset {
        /// The name of the setting; `None` means all.
        setting: Option<String>,
    },
    /// Resets the whole session to its initial state.
    DiscardAll,
    /// Drops one prepared statement, or all.
    Deallocate {
        /// The name of the prepared statement; `None` means all.
        statement: Option<String>,
    },
    /// Copies rows, so the connection may enter copy mode.
    Copy,
    /// Shows the floor of the session.
    ShowFloor,
    /// Raises the floor of the session.
    SetFloor {
        /// The floor as text.
        floor: String,
    },
    /// Shows whether the session accepts stale reads.
    ShowStaleness,
    /// Sets whether the session accepts stale reads.
    SetStaleness {
        /// The value as text, such as `on` or `off`.
        switch: String,
    },
    /// Any other statement.
    Other,
}

/// One statement and its classification.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatementInfo {
    /// The text without the terminating semicolon.
    pub text: String,
    /// The text as [`sql_token::normalize_words`] returns it.
    words: String,
    /// The kind of the statement.
    pub kind: StatementKind,
    /// Whether the statement clearly only reads.
    pub read: bool,
    /// Whether running it twice has the same effect as running it once.
    pub pure: bool,
    /// Whether it leaves state that exists only on its endpoint connection.
    pub pins: bool,
    /// An unsupported feature that it uses, if any.
    pub unsupported: Option<&'static str>,
}

impl StatementInfo {
    /// Returns whether the instance answers the statement without an endpoint.
    pub fn is_local(&self) -> bool {
        matches!(
            self.kind,
            StatementKind::ShowFloor
                | StatementKind::SetFloor { .. }
                | StatementKind::ShowStaleness
                | StatementKind::SetStaleness { .. }
                | StatementKind::DiscardAll
                | StatementKind::Deallocate { .. }
        )
    }

    /// Returns whether it may end a transaction.
    pub fn ends_transaction(&self) -> bool {
        matches!(self.kind, StatementKind::Commit | StatementKind::Rollback)
    }

    /// Returns whether the text starts with one of the prefixes, ignoring case and whitespace.
    ///
    /// The prefixes must be in the form that [`sql_token::normalize_words`] returns.
    pub fn matches_prefix(&self, prefixes: &[String]) -> bool {
        prefixes
            .iter()
            .any(|prefix| self.words.starts_with(prefix.as_str()))
    }
}

/// Splits a text into statements and classifies each; empty statements are omitted.
pub fn parse_statements(text: &str) -> Vec<StatementInfo> {
    sql_token::split_statements(text)
        .into_iter()
        .map(|(text, tokens)| classify_statement(text, &tokens))
        .collect()
}

fn classify_statement(text: &str, tokens: &[SqlToken]) -> StatementInfo {
    let words = WordList { tokens };
    let kind = classify_kind(&words);
    let read = is_read(&words, &kind);
    StatementInfo {
        text: text.trim().to_owned(),
        words: sql_token::normalize_words(text),
        read,
        pure: read && is_pure(tokens),
        pins: is_pinning(&words),
        unsupported: find_unsupported(&words, &kind),
        kind,
    }
}

struct WordList<'a> {
    tokens: &'a [SqlToken],
}

impl WordList<'_> {
    fn word(&self, index: usize) -> &str {
        match self.tokens.get(index) {
            Some(SqlToken::Word(word)) => word,
            _ => "",
        }
    }

    fn value(&self, index: usize) -> String {
        match self.tokens.get(index) {
            Some(SqlToken::Word(word)) => word.clone(),
            Some(SqlToken::Text(text) | SqlToken::Name(text)) => text.clone(),
            _ => String::new(),
        }
    }

    fn has_word(&self, word: &str) -> bool {
        self.tokens
            .iter()
            .any(|token| matches!(token, SqlToken::Word(found) if found == word))
    }

    fn is_symbol(&self, index: usize, symbol: char) -> bool {
        self.tokens.get(index) == Some(&SqlToken::Symbol(symbol))
    }

    /// Reads a setting name, which may contain dots, and returns it with the index of the next
    /// token.
    fn setting(&self, start: usize) -> (String, usize) {
        let mut name = self.value(start);
        let mut index = start + 1;
        while self.is_symbol(index, '.') {
            name.push('.');
            name.push_str(&self.value(index + 1));
            index += 2;
        }
        (name, index)
    }
}

fn classify_kind(words: &WordList<'_>) -> StatementKind {
    let read_only = words.has_word("only") && words.has_word("read");
    match (words.word(0), words.word(1)) {
        ("begin", _) | ("start", "transaction") => StatementKind::Begin { read_only },
        ("commit" | "end", _) => StatementKind::Commit,
        ("prepare", "transaction") => StatementKind::Commit,
        ("abort", _) => StatementKind::Rollback,
        ("rollback", "prepared") => StatementKind::Other,
        ("rollback", _) if words.has_word("to") => StatementKind::RollbackTo {
            savepoint: words.value(words.tokens.len().saturating_sub(1)),
        },
        ("rollback", _) => StatementKind::Rollback,
        ("savepoint", _) => StatementKind::Savepoint {
            savepoint: words.value(1),
        },
        ("set", _) => classify_set(words),
        ("reset", "all") => StatementKind::Reset { setting: None },
        ("reset", _) => StatementKind::Reset {
            setting: Some(words.setting(1).0),
        },
        ("discard", "all") => StatementKind::DiscardAll,
        ("deallocate", _) => classify_deallocate(words),
        ("copy", _) => StatementKind::Copy,
        ("show", _) => match words.setting(1).0.as_str() {
            FLOOR_SETTING => StatementKind::ShowFloor,
            STALENESS_SETTING => StatementKind::ShowStaleness,
            _ => StatementKind::Other,
        },
        _ => StatementKind::Other,
    }
}

fn classify_set(words: &WordList<'_>) -> StatementKind {
    let start = match (words.word(1), words.word(2)) {
        ("local" | "transaction" | "constraints", _) => return StatementKind::Other,
        ("session", "characteristics") => {
            return StatementKind::Set {
                setting: "session characteristics".to_owned(),
            };
        }
        ("session", _) => 2,
        ("time", "zone") => {
            return StatementKind::Set {
                setting: "timezone".to_owned(),
            };
        }
        _ => 1,
    };
    let (setting, next) = words.setting(start);
    let value = words.value(next + 1);
    match setting.as_str() {
        FLOOR_SETTING => StatementKind::SetFloor { floor: value },
        STALENESS_SETTING => StatementKind::SetStaleness { switch: value },
        _ => StatementKind::Set { setting },
    }
}

fn classify_deallocate(words: &WordList<'_>) -> StatementKind {
    let index = if words.word(1) == "prepare" { 2 } else { 1 };
    if words.word(index) == "all" {
        return StatementKind::Deallocate { statement: None };
    }
    StatementKind::Deallocate {
        statement: Some(words.value(index)),
    }
}

fn is_read(words: &WordList<'_>, kind: &StatementKind) -> bool {
    match kind {
        StatementKind::Begin { read_only } => *read_only,
        StatementKind::ShowFloor
        | StatementKind::SetFloor { .. }
        | StatementKind::ShowStaleness
        | StatementKind::SetStaleness { .. } => true,
        StatementKind::Other => {
            matches!(words.word(0), "select" | "show" | "table" | "values")
                && !["into", "update", "share", "insert", "delete", "merge"]
                    .iter()
                    .any(|word| words.has_word(word))
                && !is_pinning(words)
        }
        _ => false,
    }
}

fn is_pure(tokens: &[SqlToken]) -> bool {
    tokens.windows(2).all(|pair| match pair {
        [SqlToken::Word(word), SqlToken::Symbol('(')] => {
            PURE_WORDS.binary_search(&word.as_str()).is_ok()
        }
        [SqlToken::Name(_), SqlToken::Symbol('(')] => false,
        _ => true,
    })
}

fn is_pinning(words: &WordList<'_>) -> bool {
    let first = words.word(0);
    match first {
        "listen" | "load" => return true,
        "prepare" => return words.word(1) != "transaction",
        "create" => {
            let temporary = |index| matches!(words.word(index), "temp" | "temporary");
            if (1..4).any(temporary) {
                return true;
            }
        }
        "declare" if words.has_word("hold") && words.has_word("with") => return true,
        _ => {}
    }
    if words.has_word("into") && (words.has_word("temp") || words.has_word("temporary")) {
        return true;
    }
    PINNING_FUNCTIONS.iter().any(|name| words.has_word(name))
}

fn find_unsupported(words: &WordList<'_>, kind: &StatementKind) -> Option<&'static str> {
    if let StatementKind::Set { setting }
    | StatementKind::Reset {
        setting: Some(setting),
    } = kind
    {
        return match setting.as_str() {
            "role" => Some("changing the role"),
            "authorization" => Some("changing the session authorization"),
            "standard_conforming_strings" => Some("changing standard_conforming_strings"),
            _ => None,
        };
    }
    if matches!(kind, StatementKind::Commit | StatementKind::Rollback)
        && words.has_word("chain")
        && !words.has_word("no")
    {
        return Some("AND CHAIN");
    }
    match (words.word(0), words.word(1)) {
        ("prepare", "transaction") | ("commit" | "rollback", "prepared") => {
            Some("two-phase commit")
        }
        _ => None,
    }
}
