//! Weighted rendezvous hashing: every instance maps an object to the same endpoint, and a change
//! in the set of endpoints remaps as few objects as possible.

use crate::identity::{mix64, stable_hash};

/// Returns the score of an endpoint for an object; the endpoint with the highest score is
/// preferred. Each endpoint is preferred for a share of the objects proportional to its weight.
#[must_use]
pub fn rendezvous_score(object: u64, endpoint: u64, weight: f64) -> f64 {
    let mixed = mix64(object ^ mix64(endpoint));
    // An `f64` holds 53 bits exactly. The offset keeps the value strictly between 0 and 1, whose
    // logarithms do not give a usable score.
    #[expect(clippy::cast_precision_loss, reason = "53 bits fit a float")]
    let unit = ((mixed >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    weight / -unit.ln()
}

/// Returns how many instances come before `own` when the senders to one endpoint are selected.
#[must_use]
pub fn sender_rank(endpoint: &str, own: &str, instances: &[String]) -> usize {
    let key = stable_hash(endpoint.as_bytes());
    let score = |name: &str| mix64(key ^ stable_hash(name.as_bytes()));
    let own_score = score(own);
    instances.iter().filter(|name| *name != own && score(name) > own_score).count()
}
