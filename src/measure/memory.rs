//! Reads the memory of this process, for measurements.

/// Size of the kernel's memory pages, in which `statm` counts.
const PAGE_BYTES: u64 = 4096;

/// Returns the resident memory in bytes as the kernel counts it, or 0 if it cannot be read.
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
