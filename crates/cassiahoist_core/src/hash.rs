//! Hashing that gives the same result in every daemon of one build.

use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;

/// Hashes a value without a random seed. All daemons of one build get the same result.
#[must_use]
pub fn stable_hash(value: &(impl Hash + ?Sized)) -> u64 {
    let mut hasher = FxHasher::default();
    value.hash(&mut hasher);
    mix(hasher.finish())
}

/// Spreads every input bit over the output, by the finalizer of `SplitMix64`.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
