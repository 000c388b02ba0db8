//! Names, definitions, items and values with characters and words that must not be taken for parts of
//! the protocol.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Names of prepared statements and of values, which collide between sessions.
const NAMES: [&str; 6] = ["p", "s1", "w_q7", "r_q7%20READ", "n-é", "-"];

/// Texts of definitions. Those that begin alike are told apart only by what follows a blank or a tab.
const DEFINITIONS: [&str; 18] = [
    "q7",
    "q7 READ frcbi",
    "q7 WRITE frcbi",
    "q7 READ  frcbi",
    "q7\tREAD frcbi",
    "q7%20READ%20frcbi",
    "q%",
    "q%%37",
    "q-é\u{a0}ü",
    " q7",
    "WAITFOR 9.9 READ item0",
    "QUERY c0-1-1 WRITE item0 1",
    "-",
    "q7 q7 q7",
    "q7 ",
    "q7\nQUERY - RESET",
    "q7\rx",
    "q7\r\r",
];

/// What follows the number of a written value, or the prefix of an item that is only read.
const ENDINGS: [&str; 12] = [
    "",
    " two words",
    "  x",
    "\ttab",
    "%20x",
    " é€\u{a0}x",
    " READ item0",
    " QUERY - STATUS",
    " COMPLETE -",
    "  ",
    "\nQUERY - WRITE item0 0",
    "\rx",
];

/// Number of characters of a long text.
const LONG_TEXT_CHARS: std::ops::Range<usize> = 200..6_000;

/// Among this many texts, one is long.
const LONG_TEXT_INTERVAL: u32 = 20;

fn choose(random: &mut ChaCha8Rng, texts: &[&str]) -> String {
    texts[random.random_range(0..texts.len())].to_owned()
}

/// Returns a name of a prepared statement or a value.
pub fn draw_name(random: &mut ChaCha8Rng) -> String {
    choose(random, &NAMES)
}

/// Returns the text of a definition.
pub fn draw_definition(random: &mut ChaCha8Rng) -> String {
    let text = choose(random, &DEFINITIONS);
    lengthen(random, text)
}

/// Returns `start`, such as the number of a value, with an ending.
pub fn draw_ending(random: &mut ChaCha8Rng, start: &str) -> String {
    let ending = choose(random, &ENDINGS);
    lengthen(random, format!("{start}{ending}"))
}

fn lengthen(random: &mut ChaCha8Rng, text: String) -> String {
    match random.random_range(0..LONG_TEXT_INTERVAL) {
        0 => {
            let count = random.random_range(LONG_TEXT_CHARS);
            text + " " + &"é x".repeat(count / 3)
        }
        _ => text,
    }
}
