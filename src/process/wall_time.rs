//! Wall-clock time, for records that people compare across instances.
//!
//! Decisions use [`crate::process::timers::MonotonicTime`]. Wall-clock time only orders the reports
//! of several instances, as accurately as their clocks agree.

use std::fmt;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde::Serialize;

const MS_PER_DAY: u64 = 86_400_000;

/// A wall-clock time in milliseconds since 1970-01-01 UTC.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl WallTime {
    /// Reads the system clock.
    pub fn now() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let millis = since.map_or(0, |duration| duration.as_millis());
        Self(u64::try_from(millis).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for WallTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (year, month, day) = civil_date(self.0 / MS_PER_DAY);
        let millis = self.0 % MS_PER_DAY;
        let (hour, minute) = (millis / 3_600_000, millis / 60_000 % 60);
        let (second, milli) = (millis / 1000 % 60, millis % 1000);
        write!(
            f,
            "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{milli:03}Z"
        )
    }
}

/// Converts a number of days since 1970-01-01 to year, month and day.
///
/// Years are counted from March, so that the leap day is the last day of a year.
fn civil_date(days: u64) -> (u64, u64, u64) {
    let shifted = days + 719_468;
    let era = shifted / 146_097;
    let day_of_era = shifted % 146_097;
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 {
        month_from_march + 3
    } else {
        month_from_march - 9
    };
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    (year, month, day)
}
