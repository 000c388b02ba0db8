//! The memory of the machine, for limits that the settings do not state.

/// Fraction of the machine's memory that callers may hold together.
const CALLER_FRACTION: u64 = 4;

/// Returns the memory that callers may hold together; `None` if the machine does not tell its size.
pub fn caller_memory_bytes() -> Option<usize> {
    let total = std::fs::read_to_string("/proc/meminfo").ok();
    let group = std::fs::read_to_string("/sys/fs/cgroup/memory.max").ok();
    let sizes = [
        total.as_deref().and_then(parse_total),
        group.as_deref().and_then(|text| text.trim().parse().ok()),
    ];
    let bytes = sizes.into_iter().flatten().min()? / CALLER_FRACTION;
    usize::try_from(bytes).ok()
}

/// Returns the size in the format of `/proc/meminfo`, in bytes.
fn parse_total(text: &str) -> Option<u64> {
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))?;
    let number: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(number * 1024)
}
