//! The burn of objectives as a page that instances serve and operators merge.

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

/// What an operator should do about an objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BurnAlert {
    /// Nothing.
    None,
    /// Look into it in the next days: over 6 and 72 hours the budget does not last.
    Ticket,
    /// Look into it now: over 5 minutes and an hour the budget burns fast.
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
    /// The part of it that the instance was running, in milliseconds.
    pub covered_ms: u64,
    /// What happened in it.
    pub counts: BurnCounts,
}

impl BurnSpan {
    /// Returns the share of the window that failed, from 0 to 1.
    ///
    /// This is the share of bad requests or the share of time without a primary, whichever is
    /// higher. A sum would count an outage twice, in time and in the requests refused meanwhile;
    /// requests alone would miss an outage in which nobody called.
    pub fn failed_share(&self) -> f64 {
        let counted = self.counts.good + self.counts.bad;
        let requests = ratio(self.counts.bad, counted);
        let time = ratio(self.counts.absent_ms, self.covered_ms);
        requests.max(time).min(1.0)
    }

    /// Returns how many times faster than allowed the budget burns.
    pub fn burn_rate(&self, target: f64) -> f64 {
        self.failed_share() / (1.0 - target)
    }
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}

/// The burn of one objective, for one team or for the whole service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct BurnRow {
    /// The service.
    pub service: ServiceId,
    /// The team; `None` for the whole service.
    pub team: Option<TeamId>,
    /// The share of good requests that is asked for.
    pub target: f64,
    /// The window of the objective, in hours.
    pub window_hours: u32,
    /// The counts over each window.
    pub spans: Vec<BurnSpan>,
}

impl BurnRow {
    /// Returns the burn rate over one window.
    pub fn burn_rate(&self, span_s: u64) -> f64 {
        let found = self.spans.iter().find(|span| span.span_s == span_s);
        found.map_or(0.0, |span| span.burn_rate(self.target))
    }

    /// Returns the share of the budget that is left in the objective's own window.
    ///
    /// It is below 0 where the budget is overspent.
    pub fn budget_left(&self) -> f64 {
        1.0 - self.burn_rate(u64::from(self.window_hours) * 3600)
    }

    /// Returns what an operator should do; two windows must agree, so that an alert ends soon
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
    /// The instances that it covers.
    pub instances: Vec<InstanceId>,
    /// The rows, by objective and team.
    pub rows: Vec<BurnRow>,
}

type RowKey = (ServiceId, u32, Option<TeamId>);

/// Merges the pages of several instances.
///
/// Requests are added up. All instances see the same outage of a primary, so the longest time
/// counts, not the sum.
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
