//! Shares of the memory that the process may use.

/// Memory that is assumed if the settings give none: that of the smallest machine, in mebibytes.
pub const DEFAULT_MEMORY_MIB: u32 = 120;

/// Smallest valid memory, in mebibytes.
pub const MIN_MEMORY_MIB: u32 = 32;

/// Share of the memory that requests of callers may take until they are answered, in percent.
///
/// A request is in memory up to three times at once: received, decoded, and encoded for the store.
const REQUESTS_PERCENT: usize = 10;

/// Smallest share of the memory for deliveries of peers, in bytes. The largest delivery must fit.
const MIN_DELIVERY_BYTES: usize = 6 << 20;

const fn percent_of(memory_mib: u32, percent: usize) -> usize {
    (memory_mib as usize) * (1 << 20) / 100 * percent
}

/// Returns how many bytes callers may have sent and not been answered for.
#[must_use]
pub const fn max_request_bytes(memory_mib: u32) -> usize {
    percent_of(memory_mib, REQUESTS_PERCENT)
}

/// Returns how many bytes of incomplete deliveries peers may have sent.
#[must_use]
pub const fn max_delivery_bytes(memory_mib: u32) -> usize {
    let share = percent_of(memory_mib, REQUESTS_PERCENT);
    if share > MIN_DELIVERY_BYTES { share } else { MIN_DELIVERY_BYTES }
}
