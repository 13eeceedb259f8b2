//! Memory of this process, for measurements.

const PAGE_BYTES: u64 = 4096;

/// Resident memory as the kernel counts it; 0 where it does not tell.
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
