//! The pace of an endpoint's recent statements.

/// Number of newest statements that show the present pace.
const LATEST_SAMPLES: usize = 3;

/// The pace of an endpoint's recent statements: their times relative to the lowest times of their
/// kinds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ObservedPace {
    /// Lower quartile, which shows how fast the endpoint itself is: unless it is full, a part of its
    /// statements does not wait in its queue.
    pub own: f64,
    /// Median, the time in the queue included.
    pub queued: f64,
    /// Lowest of the newest few.
    pub latest_own: f64,
    /// Median of the newest few.
    pub latest_queued: f64,
}

impl ObservedPace {
    /// Summarizes the paces of single statements, newest first. There must be at least one.
    pub fn of(paces: &[f32]) -> Self {
        let latest = &paces[..paces.len().min(LATEST_SAMPLES)];
        Self {
            own: quantile(paces, 0.25),
            queued: quantile(paces, 0.5),
            latest_own: quantile(latest, 0.0),
            latest_queued: quantile(latest, 0.5),
        }
    }
}

fn quantile(paces: &[f32], fraction: f64) -> f64 {
    let mut paces = paces.to_vec();
    let index = (paces.len() as f64 * fraction) as usize;
    let (_, value, _) = paces.select_nth_unstable_by(index, f32::total_cmp);
    f64::from(*value)
}
