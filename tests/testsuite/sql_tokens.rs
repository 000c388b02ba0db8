//! Guards against statements that the endpoint reads in another way than the instance, so that a
//! write is taken for a read, or for a part of a string or a comment.

use tamaracklb::request::statement;

fn writes(text: &str) -> bool {
    let infos = statement::parse_statements(text);
    infos.iter().any(|info| !info.read)
}

/// Endpoints end a comment at a carriage return as well as at a line feed.
#[test]
fn comments_end_at_both_breaks() {
    for end in ["\r", "\n", "\r\n"] {
        let text = format!("SELECT 1 -- one{end}; DELETE FROM kv");
        assert_eq!(statement::parse_statements(&text).len(), 2, "{text:?}");
        assert!(writes(&text), "{text:?}");
        assert!(writes(&format!("SELECT 1 -- one{end}INTO kv2")), "{end:?}");
    }
    assert!(!writes("SELECT 1 -- ; DELETE FROM kv"));
}

/// A string with escapes that continues after a line break has escapes in all its parts.
#[test]
fn continued_strings_keep_escapes() {
    for gap in ["\n", " \r\t", "\n  \n", " -- one\n", "\n-- one\r\n "] {
        let text = format!("SELECT E'a'{gap}'x\\'' ; DELETE FROM kv --'");
        assert!(writes(&text), "{text:?}");
        let text = format!("SELECT E'a'{gap}'x\\' ; DELETE FROM kv --'");
        assert!(!writes(&text), "{text:?}");
    }
    // Without a line break, and without escapes, nothing is continued.
    assert!(writes("SELECT E'a' , 'x\\' ; DELETE FROM kv --'"));
    assert!(writes("SELECT 'a'\n'x\\' ; DELETE FROM kv --'"));
}
