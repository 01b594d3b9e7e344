//! Selects an endpoint from the set of an object: the first endpoints in its preference order.
//!
//! The set needs no coordination. Every instance learns from responses how likely an object is to be
//! cold at each position of the order, and adds the extra work to the expected time. Positions that
//! many requests use become warm and are then used freely; if the endpoints cannot hold so many copies
//! they stay cold and are used only if the wait at the first ones exceeds the extra work.

use smallvec::SmallVec;

/// Maximum number of endpoints in a set.
pub const MAX_SET: usize = 4;
/// Extra work for an object that is cold at the endpoint, as a multiple of the warm work. An endpoint
/// that handled the object recently needs 0.3 of the work.
const COLD_EXTRA_WORK: f64 = 7.0 / 3.0;
/// Multiple of the warm work from which on the work counts as that of a cold object; the geometric mean
/// of both.
const COLD_WORK_LIMIT: f64 = 1.8;
/// Weight of one response in the share of cold objects.
const COLD_SHARE_WEIGHT: f64 = 0.05;
/// Shares of cold objects by position before the first response.
const INITIAL_COLD_SHARES: [f64; MAX_SET] = [0.3, 0.5, 1.0, 1.0];
/// Utilisation up to which the delay of other requests is counted.
const MAX_COUNTED_UTILISATION: f64 = 0.65;
/// Difference in expected time, as a multiple of the work time, below which endpoints count as equal.
/// Estimates are not more accurate, and instances that see the same report must not all change.
const NEAR_TIE: f64 = 0.2;

/// How likely an object is to be cold at the endpoint at each position of its preference order.
#[derive(Clone, Copy, Debug)]
pub struct ColdShares {
    /// If one of this instance's latest requests for the object went to the endpoint.
    known: [f64; MAX_SET],
    /// Otherwise.
    unknown: [f64; MAX_SET],
}

impl Default for ColdShares {
    fn default() -> Self {
        Self { known: [0.0; MAX_SET], unknown: INITIAL_COLD_SHARES }
    }
}

impl ColdShares {
    /// Records the work of an object at a position, as a multiple of the usual warm work.
    pub fn record(&mut self, rank: usize, is_known: bool, work: f64) {
        let shares = if is_known { &mut self.known } else { &mut self.unknown };
        let share = &mut shares[rank.min(MAX_SET - 1)];
        let is_cold = if work > COLD_WORK_LIMIT { 1.0 } else { 0.0 };
        *share += COLD_SHARE_WEIGHT * (is_cold - *share);
    }

    /// Returns the cost of the work expected at a position, as a multiple of the warm work.
    ///
    /// Extra work also delays the requests behind it, the more the higher the `utilisation` of the
    /// service. Otherwise a general overload would make all objects cold everywhere, and the overload
    /// would outlast its cause.
    #[must_use]
    pub fn expected_cost(&self, rank: usize, is_known: bool, utilisation: f64) -> f64 {
        let shares = if is_known { &self.known } else { &self.unknown };
        let extra = COLD_EXTRA_WORK / (1.0 - utilisation.min(MAX_COUNTED_UTILISATION));
        extra.mul_add(shares[rank.min(MAX_SET - 1)], 1.0)
    }
}

/// An endpoint of a set as seen by one request.
#[derive(Clone, Copy, Debug)]
pub struct SetMember {
    /// Position in the object's preference order.
    pub rank: usize,
    /// Index of the endpoint in its service.
    pub index: usize,
    /// Expected wait as a multiple of the usual work time.
    pub wait: f64,
    /// Expected time until the response as a multiple of the usual work time.
    pub time: f64,
    /// Whether this instance has an idle connection to it.
    pub is_connected: bool,
}

/// The endpoints of a set in preference order.
pub type EndpointSet = SmallVec<[SetMember; MAX_SET]>;

/// Returns the member with the least expected time. Members within a near tie of it count as equal,
/// unless only one of them has a free slot: of these the first with an idle connection is selected,
/// or the first of all.
#[must_use]
pub fn select_member(set: &[SetMember]) -> Option<SetMember> {
    let best = set.iter().min_by(|left, right| left.time.total_cmp(&right.time))?;
    let is_equal = |member: &&SetMember| {
        let has_slot = member.wait < NEAR_TIE || best.wait >= NEAR_TIE;
        member.time <= best.time + NEAR_TIE && has_slot
    };
    let connected = set.iter().filter(is_equal).find(|member| member.is_connected);
    connected.or_else(|| set.iter().find(is_equal)).copied()
}
