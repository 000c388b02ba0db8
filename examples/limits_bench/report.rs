//! The figures of a measurement, as text and as JSON.

use std::fmt::Write;

use serde::Serialize;

/// One line of figures.
#[derive(Debug, Clone, Serialize)]
pub struct ReportRow {
    pub scenario: String,
    pub variant: String,
    pub figures: Vec<(String, f64)>,
}

/// All figures, by table.
#[derive(Debug, Clone, Default, Serialize)]
pub struct BenchReport {
    pub rates: Vec<ReportRow>,
    pub slots: Vec<ReportRow>,
}

impl BenchReport {
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("plain data")
    }

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
