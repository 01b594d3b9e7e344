//! Identifiers shared by all decisions.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One run of one instance's process; drawn at random at each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IncarnationId(pub u64);

impl fmt::Display for IncarnationId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl IncarnationId {
    /// Reads the sixteen hexadecimal digits that `Display` writes.
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        if text.len() != 16 {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

/// One try of one request inside one incarnation; never reused by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// Finalising mix of a 64-bit value (SplitMix64).
#[must_use]
pub const fn mix64(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Stable 64-bit hash of a byte string, equal on every instance and build.
#[must_use]
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let seed = 0xcbf2_9ce4_8422_2325_u64;
    let folded = bytes
        .iter()
        .fold(seed, |state, byte| (state ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3));
    mix64(folded)
}
