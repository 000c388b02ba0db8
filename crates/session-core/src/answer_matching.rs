//! How answers of an endpoint are matched to statements.

/// What is done with a successful answer that is not that of the awaited statement.
///
/// Answers come in the order of their statements, and copies after their originals. An answer that the
/// awaited statement cannot have is therefore one to an earlier statement, and its own is still to come.
/// A copy that looks like the awaited answer is taken for it. That is noticed at the next answer of
/// another shape, after which the awaited one's own is still to come as well. Only a refusal behind such
/// a copy would be taken for that of the next statement; see the preparation of connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerMatching {
    /// It is passed over. Fits statements with a receipt, which no earlier answer can have, and the
    /// preparation of such statements, of which only the effect counts.
    Lenient,
    /// It breaks the connection. Fits statements whose answers are used although they have no
    /// receipt, between others whose answers have another shape.
    Strict,
    /// It breaks the connection, as it may be that of a statement that seemed to be refused. Further
    /// refusals with the same text are passed over. Fits the statements that confirm a refusal.
    AfterRefusal,
}
