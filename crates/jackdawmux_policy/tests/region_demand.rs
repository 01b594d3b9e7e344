//! Load pattern: the demand of each region varies by 3.4 to 1 within 36 s, and each region peaks at a
//! different time. With shares for even demand, one region is over its capacity while others are idle.

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::region_demand::{DemandStatement, ServiceDemand};
use jackdawmux_policy::fleet::region_share::{ShareShift, demand_shares, region_shares};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

/// Slots by region.
const CAPACITY: [f64; 3] = [48.0, 192.0, 228.0];
/// Mean requests in progress by region.
const EVEN_DEMAND: [f64; 3] = [70.0, 70.0, 70.0];
const UNEVEN_DEMAND: [f64; 3] = [25.0, 40.0, 130.0];
/// Swing of 3.4 to 1 around the mean.
const SWING: f64 = 0.545;
const MEMBERS: [usize; 3] = [4, 4, 4];
const STEP_MS: u64 = 100;
const HEARTBEAT_MS: u64 = 300;

#[derive(Clone, Default)]
struct InstanceModel {
    demand: ServiceDemand,
    shift: ShareShift,
    shares: Vec<f64>,
}

/// What happens to statements between instances.
#[derive(Clone, Copy, Debug, Default)]
struct Trouble {
    loss: f64,
    max_delay_ms: u64,
    /// Time in which region 0 and the others do not hear each other.
    partition_ms: (u64, u64),
    /// When the first instance of region 0 restarts.
    restart_ms: u64,
}

struct RegionModel {
    instances: Vec<InstanceModel>,
    late: Vec<(u64, usize, DemandStatement)>,
    rng: StdRng,
    /// Mean demand of each region, its swing and its noise.
    mean: [f64; 3],
    swing: f64,
    noise: f64,
    trouble: Trouble,
    /// Mean shares of each region's demand at each step.
    history: Vec<[[f64; 3]; 3]>,
}

impl RegionModel {
    fn new(mean: [f64; 3], swing: f64, noise: f64, trouble: Trouble) -> Self {
        let instances = vec![InstanceModel::default(); 12];
        let rng = StdRng::seed_from_u64(3);
        Self { instances, late: Vec::new(), rng, mean, swing, noise, trouble, history: Vec::new() }
    }

    fn demand(&self, at_ms: u64) -> [f64; 3] {
        let phase = f64::from(u32::try_from(at_ms).expect("the time fits")) / 36_000.0;
        let swing =
            |offset: f64| 1.0 + self.swing * ((phase + offset) * std::f64::consts::TAU).sin();
        let [first, second, third] = self.mean;
        [first * swing(0.0), second * swing(1.0 / 3.0), third * swing(2.0 / 3.0)]
    }

    fn run_until(&mut self, end_ms: u64) {
        let steps = u64::try_from(self.history.len()).expect("the count fits");
        for step in steps..end_ms / STEP_MS {
            self.step(step * STEP_MS);
        }
    }

    fn step(&mut self, at_ms: u64) {
        let now = PolicyTime::from_millis(at_ms);
        if at_ms > 0 && at_ms == self.trouble.restart_ms {
            self.instances[0] = InstanceModel::default();
        }
        let demand = self.demand(at_ms);
        for index in 0..self.instances.len() {
            let region = index / 4;
            let noise = 1.0 + self.rng.random_range(-1.0..1.0) * self.noise;
            let instance = &mut self.instances[index];
            instance.demand.update_own(now, demand[region] / 4.0 * noise);
            let even = region_shares(region, &CAPACITY);
            let target = instance
                .demand
                .by_region(now, region, &MEMBERS)
                .map_or_else(|| even.clone(), |demand| demand_shares(region, &CAPACITY, &demand));
            instance.shift.move_towards(now, &even, &target, &CAPACITY);
            instance.shares = instance.shift.apply(&even, &CAPACITY).to_vec();
            if at_ms.is_multiple_of(HEARTBEAT_MS) {
                let statement = instance.demand.statement(now, "reads", region, 4);
                let delay = self.rng.random_range(0..=self.trouble.max_delay_ms);
                self.late.push((at_ms + delay, index, statement));
            }
        }
        self.deliver(at_ms);
        let mean = |origin: usize, region: usize| {
            let of_origin = &self.instances[origin * 4..origin * 4 + 4];
            of_origin.iter().map(|instance| instance.shares[region]).sum::<f64>() / 4.0
        };
        let regions = [0, 1, 2];
        self.history.push(regions.map(|origin| regions.map(|region| mean(origin, region))));
    }

    fn deliver(&mut self, at_ms: u64) {
        let (due, later) = self.late.iter().partition(|(due_ms, ..)| *due_ms <= at_ms);
        self.late = later;
        let is_cut = (self.trouble.partition_ms.0..self.trouble.partition_ms.1).contains(&at_ms);
        for (_, sender, statement) in Vec::<(u64, usize, DemandStatement)>::into_iter(due) {
            for (index, receiver) in self.instances.iter_mut().enumerate() {
                let is_lost = self.rng.random_bool(self.trouble.loss)
                    || (is_cut && (sender < 4) != (index < 4));
                if index != sender && !is_lost {
                    let now = PolicyTime::from_millis(at_ms);
                    receiver.demand.record(now, &sender.to_string(), sender / 4, statement);
                }
            }
        }
    }

    /// Returns the highest utilisation of a region from a time on.
    fn peak(&self, from_ms: u64) -> f64 {
        let mut peak: f64 = 0.0;
        for (step, shares) in
            (0..).zip(&self.history).skip_while(|(step, _)| step * STEP_MS < from_ms)
        {
            let demand = self.demand(step * STEP_MS);
            for region in 0..3 {
                let served: f64 =
                    (0..3).map(|origin| demand[origin] * shares[origin][region]).sum();
                peak = peak.max(served / CAPACITY[region]);
            }
        }
        peak
    }

    /// Returns the largest part of a region's demand that changes its region within 2 s.
    fn fastest_shift(&self) -> f64 {
        let pairs = self.history.iter().zip(self.history.iter().skip(20));
        let moved = |before: &[f64; 3], after: &[f64; 3]| {
            before.iter().zip(after).map(|(before, after)| (after - before).max(0.0)).sum::<f64>()
        };
        let each = pairs.flat_map(|(before, after)| before.iter().zip(after));
        each.map(|(before, after)| moved(before, after)).fold(0.0, f64::max)
    }
}

/// Measured: the highest utilisation is 0.69 (even) and 0.92 (uneven) with shares for even demand, 0.75
/// and 0.78 by demand. One of the four instances of a region that restarts begins with shares for even
/// demand, which moves 0.146 of the region's demand.
#[rstest]
#[case::even(EVEN_DEMAND, Trouble::default(), 0.045)]
#[case::uneven(UNEVEN_DEMAND, Trouble::default(), 0.045)]
#[case::lost_and_late(
    UNEVEN_DEMAND,
    Trouble { loss: 0.3, max_delay_ms: 1_000, ..Trouble::default() },
    0.045
)]
#[case::restart(UNEVEN_DEMAND, Trouble { restart_ms: 50_000, ..Trouble::default() }, 0.15)]
fn no_region_is_near_its_capacity(
    #[case] mean: [f64; 3],
    #[case] trouble: Trouble,
    #[case] max_shift: f64,
) {
    let mut model = RegionModel::new(mean, SWING, 0.2, trouble);
    model.run_until(120_000);
    assert!(model.peak(36_000) < 0.82, "{}", model.peak(36_000));
    assert!(model.fastest_shift() <= max_shift, "{}", model.fastest_shift());
}

/// Guards against shares that jump when a partition begins or ends.
#[test]
fn a_partition_neither_moves_shares_quickly_nor_lasts() {
    let trouble = Trouble { partition_ms: (40_000, 60_000), ..Trouble::default() };
    let mut model = RegionModel::new(UNEVEN_DEMAND, SWING, 0.2, trouble);
    model.run_until(150_000);
    assert!(model.fastest_shift() <= 0.045, "{}", model.fastest_shift());
    assert!(model.peak(80_000) < 0.82, "{}", model.peak(80_000));
}

/// Guards against objects that move between regions, and become cold, although demand is steady.
#[test]
fn shares_come_to_rest_under_steady_demand() {
    let mut model =
        RegionModel::new(EVEN_DEMAND, 0.0, 0.3, Trouble { loss: 0.1, ..Trouble::default() });
    model.run_until(90_000);
    let (early, late) = (model.history[500], model.history[899]);
    for (early, late) in early.as_flattened().iter().zip(late.as_flattened()) {
        assert!((early - late).abs() < 0.02, "{early} {late}");
    }
}

/// Guards against demand that is counted for a region that cannot serve it, and lost shares.
#[rstest]
#[case::below_the_limit([20.0, 50.0, 50.0], [1.0, 0.0, 0.0])]
#[case::demand_beyond_the_limit([57.6, 80.0, 136.8], [0.5, 0.5, 0.0])]
#[case::overload_everywhere([234.0, 117.0, 117.0], [48.0 / 234.0, 75.0 / 234.0, 111.0 / 234.0])]
fn demand_beyond_the_limit_goes_where_slots_are_left(
    #[case] demand: [f64; 3],
    #[case] expected: [f64; 3],
) {
    let shares = demand_shares(0, &CAPACITY, &demand);
    for (share, expected) in shares.iter().zip(expected) {
        assert!((share - expected).abs() < 1e-9, "{shares:?}");
    }
}
