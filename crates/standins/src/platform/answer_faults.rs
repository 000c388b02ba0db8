//! Faults of the answers of endpoints: copies, pieces, and answers that are lost or cut off.

use std::ops::Range;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Maximum number of pieces in which an answer is written.
const MAX_PIECES: usize = 4;

/// Number of answers of which a [`AnswerFault::per_mille`] is the affected part.
const ALL_ANSWERS: u32 = 1_000;

/// Answers that a fault affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// Answers to reads.
    Reads,
    /// Answers to writes and commits.
    Writes,
    /// Answers to statements that change the session or the transaction.
    Steps,
    /// Answers to the commands of an instance that manages the group.
    Commands,
    /// Answers to start-ups.
    StartUps,
    /// Errors, whatever the statement.
    Refusals,
    /// All answers.
    All,
}

impl AnswerKind {
    /// Returns whether an answer to a message whose statement has this first word is of the kind. The
    /// first word of a start-up is `STARTUP`.
    pub fn contains(self, word: &str, answer: &str) -> bool {
        match self {
            AnswerKind::Reads => matches!(word, "READ" | "EXECUTE"),
            AnswerKind::Writes => matches!(word, "WRITE" | "EXECUTE" | "COMMIT"),
            AnswerKind::Steps => matches!(
                word,
                "SET" | "RESET" | "PREPARE" | "DEALLOCATE" | "BEGIN" | "ROLLBACK"
            ),
            AnswerKind::Commands => matches!(word, "STATUS" | "PAUSE" | "RESUME" | "DEMOTE"),
            AnswerKind::StartUps => word == "STARTUP",
            AnswerKind::Refusals => answer.starts_with("ERROR"),
            AnswerKind::All => true,
        }
    }
}

/// What happens to an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerDamage {
    /// It is sent again after at most this time.
    Copied(Duration),
    /// It is sent in pieces, with pauses of at most this time.
    Split(Duration),
    /// It is not sent, and the connection ends.
    Lost,
    /// Only a part of it is sent before the connection ends.
    CutOff,
}

/// A fault of some of the answers of all endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerFault {
    /// Answers that it affects.
    pub kind: AnswerKind,
    /// What happens to them.
    pub damage: AnswerDamage,
    /// Number of affected answers among 1,000 of this kind.
    pub per_mille: u32,
}

/// How an answer is sent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerDelivery {
    /// Positions before which the sender pauses, in order, with the pauses.
    pub pauses: Vec<(usize, Duration)>,
    /// Number of bytes after which the connection ends, if it does.
    pub ends_after: Option<usize>,
    /// Time after which a copy is sent, if one is.
    pub copied_after: Option<Duration>,
}

/// The faults of answers that are active, and the random choice of the answers that they affect.
#[derive(Debug)]
pub struct AnswerFaults {
    active: Vec<AnswerFault>,
    random: ChaCha8Rng,
    /// Number of answers that were copied.
    pub copied: u64,
    /// Number of answers that were lost or cut off.
    pub broken: u64,
}

impl Default for AnswerFaults {
    fn default() -> Self {
        Self::new(0)
    }
}

impl AnswerFaults {
    /// Creates a state without faults that chooses answers by this seed.
    pub fn new(seed: u64) -> Self {
        Self {
            active: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            copied: 0,
            broken: 0,
        }
    }

    /// Begins a fault. Several may be active, also equal ones.
    pub fn begin(&mut self, fault: AnswerFault) {
        self.active.push(fault);
    }

    /// Ends a fault that has begun.
    pub fn end(&mut self, fault: AnswerFault) {
        let index = self.active.iter().position(|active| *active == fault);
        if let Some(index) = index {
            self.active.remove(index);
        }
    }

    /// Draws how an answer to a message with this first word of its statement is sent.
    pub fn draw(&mut self, word: &str, answer: &str) -> AnswerDelivery {
        let mut delivery = AnswerDelivery::default();
        for fault in &self.active {
            let is_affected = fault.kind.contains(word, answer)
                && self.random.random_range(0..ALL_ANSWERS) < fault.per_mille;
            if !is_affected {
                continue;
            }
            match fault.damage {
                AnswerDamage::Copied(longest) => {
                    let delay = draw_time(&mut self.random, longest);
                    delivery.copied_after = Some(delay);
                }
                AnswerDamage::Split(longest) => {
                    for _ in 0..self.random.random_range(1..MAX_PIECES) {
                        let position = draw_position(&mut self.random, answer, 1..answer.len());
                        let pause = draw_time(&mut self.random, longest);
                        delivery.pauses.push((position, pause));
                    }
                    delivery.pauses.sort_unstable();
                }
                AnswerDamage::Lost => delivery.ends_after = Some(0),
                AnswerDamage::CutOff => {
                    let position = draw_position(&mut self.random, answer, 1..answer.len());
                    delivery.ends_after = Some(position);
                }
            }
        }
        self.copied += u64::from(delivery.copied_after.is_some());
        self.broken += u64::from(delivery.ends_after.is_some());
        delivery
    }
}

/// Draws a time of at most `longest`. A third of them are zero, and the others are mostly short, as a
/// copy does most harm while the next statement runs.
fn draw_time(random: &mut ChaCha8Rng, longest: Duration) -> Duration {
    match random.random_range(0..3) {
        0 => Duration::ZERO,
        1 => longest.mul_f64(random.random_range(0.0..0.02)),
        _ => longest.mul_f64(random.random_range(0.0..1.0)),
    }
}

/// Draws a position in an answer, for a third of them between the carriage return and the line feed
/// of a line.
fn draw_position(random: &mut ChaCha8Rng, answer: &str, range: Range<usize>) -> usize {
    let ends: Vec<usize> = answer.match_indices("\r\n").map(|(at, _)| at + 1).collect();
    match random.random_range(0..3) {
        0 if !ends.is_empty() => ends[random.random_range(0..ends.len())],
        _ if range.is_empty() => 0,
        _ => random.random_range(range),
    }
}
