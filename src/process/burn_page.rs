//! The burn rates of the objectives, as a page that instances serve and operators merge.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::process::burn_window::BurnCounts;
use crate::version::ids::InstanceId;
use crate::version::ids::ServiceId;
use crate::version::ids::TeamId;

const FAST_SPANS_S: [u64; 2] = [300, 3600];
const SLOW_SPANS_S: [u64; 2] = [6 * 3600, 72 * 3600];

/// At this rate, an hour uses 2 % of the budget of 30 days.
const FAST_BURN_RATE: f64 = 14.4;
/// At this rate, the budget is used up exactly at the end of the window.
const SLOW_BURN_RATE: f64 = 1.0;

/// The urgency of an objective's burn rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BurnAlert {
    /// No action is needed.
    None,
    /// To be handled within days: at the rate over 6 and 72 hours, the budget does not last.
    Ticket,
    /// To be handled now: the burn rate over 5 minutes and over an hour is high.
    Page,
}

impl fmt::Display for BurnAlert {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            BurnAlert::None => "ok",
            BurnAlert::Ticket => "ticket",
            BurnAlert::Page => "page",
        })
    }
}

/// The counts over one window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct BurnSpan {
    /// The length of the window in seconds.
    pub span_s: u64,
    /// The time within the window during which the instance was running, in milliseconds.
    pub covered_ms: u64,
    /// The counts of the window.
    pub counts: BurnCounts,
}

impl BurnSpan {
    /// Returns the failed fraction of the window, from 0 to 1.
    ///
    /// This is the fraction of bad requests or the fraction of time without a primary, whichever
    /// is higher. Their sum would count an outage twice, as time and as the requests refused in
    /// it; requests alone would miss an outage without any requests.
    pub fn failed_fraction(&self) -> f64 {
        let counted = self.counts.good + self.counts.bad;
        let requests = ratio(self.counts.bad, counted);
        let time = ratio(self.counts.absent_ms, self.covered_ms);
        requests.max(time).min(1.0)
    }

    /// Returns the burn rate relative to the allowed one; above 1 the budget does not last.
    pub fn burn_rate(&self, target: f64) -> f64 {
        self.failed_fraction() / (1.0 - target)
    }
}

fn ratio(count: u64, total: u64) -> f64 {
    if total == 0 {
        return 0.0;
    }
    count as f64 / total as f64
}

/// The burn of one objective, for one team or for the whole service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct BurnRow {
    /// The service.
    pub service: ServiceId,
    /// The team; `None` for the whole service.
    pub team: Option<TeamId>,
    /// The required fraction of good requests, from 0 to 1.
    pub target: f64,
    /// The window of the objective, in hours.
    pub window_hours: u32,
    /// The counts over each window.
    pub spans: Vec<BurnSpan>,
}

impl BurnRow {
    /// Returns the burn rate over the window of `span_s` seconds, or 0 if the row lacks it.
    pub fn burn_rate(&self, span_s: u64) -> f64 {
        let found = self.spans.iter().find(|span| span.span_s == span_s);
        found.map_or(0.0, |span| span.burn_rate(self.target))
    }

    /// Returns the fraction of the budget that is left in the objective's own window.
    ///
    /// It is negative if the budget is overspent.
    pub fn budget_left(&self) -> f64 {
        1.0 - self.burn_rate(u64::from(self.window_hours) * 3600)
    }

    /// Returns the alert; both windows of a pair must exceed its rate, so that the alert ends soon
    /// after its cause.
    pub fn alert(&self) -> BurnAlert {
        let above = |spans: [u64; 2], rate: f64| spans.iter().all(|&s| self.burn_rate(s) >= rate);
        if above(FAST_SPANS_S, FAST_BURN_RATE) {
            BurnAlert::Page
        } else if above(SLOW_SPANS_S, SLOW_BURN_RATE) {
            BurnAlert::Ticket
        } else {
            BurnAlert::None
        }
    }
}

/// The burn of all objectives, from one instance or merged.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct BurnPage {
    /// The instances whose counts it includes.
    pub instances: Vec<InstanceId>,
    /// The rows, by objective and team.
    pub rows: Vec<BurnRow>,
}

type RowKey = (ServiceId, u32, Option<TeamId>);

/// Merges the pages of several instances.
///
/// Request counts are added. All instances observe the same outage of a primary, so its longest
/// time is used instead of the sum. A page with an instance that is merged already is skipped.
pub fn merge_pages(pages: Vec<BurnPage>) -> BurnPage {
    let mut merged = BurnPage::default();
    let mut rows: BTreeMap<RowKey, BurnRow> = BTreeMap::new();
    for page in pages {
        if page
            .instances
            .iter()
            .any(|id| merged.instances.contains(id))
        {
            continue;
        }
        merged.instances.extend(page.instances);
        for row in page.rows {
            let key = (row.service.clone(), row.window_hours, row.team.clone());
            match rows.get_mut(&key) {
                Some(sum) => add_row(sum, &row),
                None => {
                    rows.insert(key, row);
                }
            }
        }
    }
    merged.instances.sort();
    merged.rows = rows.into_values().collect();
    merged
}

fn add_row(sum: &mut BurnRow, row: &BurnRow) {
    for span in &row.spans {
        let found = sum.spans.iter_mut().find(|own| own.span_s == span.span_s);
        let Some(own) = found else { continue };
        let absent_ms = own.counts.absent_ms.max(span.counts.absent_ms);
        own.counts.add(span.counts);
        own.counts.absent_ms = absent_ms;
        own.covered_ms = own.covered_ms.max(span.covered_ms);
    }
}

impl fmt::Display for BurnPage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "instances: {}", self.instances.len())?;
        writeln!(
            f,
            "{:<20} {:<20} {:>8} {:>7} {:>8} {:>8} {:>8} {:>8} {:>8}  alert",
            "service", "team", "target", "window", "left", "5m", "1h", "6h", "72h"
        )?;
        for row in &self.rows {
            let team = row.team.as_ref().map_or("(all)", TeamId::as_str);
            write!(
                f,
                "{:<20} {team:<20} {:>8}",
                row.service.as_str(),
                row.target
            )?;
            write!(
                f,
                " {:>6}h {:>7.1}%",
                row.window_hours,
                row.budget_left() * 100.0
            )?;
            for span_s in FAST_SPANS_S.into_iter().chain(SLOW_SPANS_S) {
                write!(f, " {:>8.2}", row.burn_rate(span_s))?;
            }
            writeln!(f, "  {}", row.alert())?;
        }
        Ok(())
    }
}
