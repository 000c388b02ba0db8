//! The measured figures, as text and as JSON.

use std::fmt::Write;

use serde::Serialize;

/// The figures of one variant in one scenario.
#[derive(Debug, Clone, Serialize)]
pub struct ReportRow {
    /// Fleet, load and event that were simulated.
    pub scenario: String,
    /// Limiter or queue order that was measured.
    pub variant: String,
    /// Names and values of the figures.
    pub figures: Vec<(String, f64)>,
}

/// All measured figures, grouped by table.
#[derive(Debug, Clone, Default, Serialize)]
pub struct BenchReport {
    /// Figures of the rate shares and their baselines.
    pub rates: Vec<ReportRow>,
    /// Figures of the slot queues.
    pub slots: Vec<ReportRow>,
}

impl BenchReport {
    /// Returns the figures as an indented JSON document.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("the report can be serialised")
    }

    /// Returns the figures as text tables, one row per line.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for (title, rows) in [("rates", &self.rates), ("slots", &self.slots)] {
            let _ = writeln!(text, "{title}");
            for row in rows {
                let _ = write!(text, "  {:<56} {:<11}", row.scenario, row.variant);
                for (name, value) in &row.figures {
                    let _ = write!(text, " {name}={value:.3}");
                }
                let _ = writeln!(text);
            }
        }
        text
    }
}
