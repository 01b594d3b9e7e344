//! Identifiers of processes and requests, and the hash functions behind deterministic choices.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies one run of an instance's process; chosen at random at each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IncarnationId(pub u64);

impl fmt::Display for IncarnationId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl IncarnationId {
    /// Parses the sixteen hexadecimal digits that `Display` writes.
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        if text.len() != 16 {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

/// Identifies one attempt of a request within one incarnation, which never reuses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// Mixes the bits of a 64-bit value with the increment and finalizer of SplitMix64.
#[must_use]
pub const fn mix64(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns a 64-bit hash of a byte string (FNV-1a, then [`mix64`]) that is the same on every
/// instance and in every build.
#[must_use]
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let offset_basis = 0xcbf2_9ce4_8422_2325_u64;
    let hash = bytes.iter().fold(offset_basis, |state, byte| {
        (state ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    mix64(hash)
}
