//! Request caps with all holders present, with one missing, and at small and large rates.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::cap::{CapAnswer, CapAsk, CapLimit, CapRefusal, CapState, TeamId};
use rstest::rstest;

const REGIONS: [&str; 3] = ["east", "north", "west"];
const TEAM: TeamId = TeamId(99);
/// One way to an instance of the own region, and of another one.
const NEAR: Duration = Duration::from_millis(1);
const FAR: Duration = Duration::from_millis(12);

enum Datagram {
    Ask(usize, CapAsk),
    Answer(CapAnswer),
}

/// Six instances, two in each region, whose datagrams arrive in order and in time.
struct CapFleet {
    now: PolicyTime,
    instances: Vec<CapState>,
    down: Option<usize>,
    network: Vec<(PolicyTime, usize, Datagram)>,
    limit: CapLimit,
    started: HashMap<u64, PolicyTime>,
    asks: usize,
    granted: usize,
    refusals: Vec<CapRefusal>,
    longest_wait: Duration,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], u16::try_from(index).expect("few instances")))
}

impl CapFleet {
    fn new(rate: f64, burst: f64) -> Self {
        let names: Vec<String> = (0..6).map(|index| format!("front-{index}")).collect();
        let now = PolicyTime::from_millis(1);
        let limit = CapLimit::new(rate, burst).expect("a positive rate");
        let instances = names.iter().enumerate().map(|(index, name)| {
            let mut caps = CapState::new(index as u64, name, REGIONS[index % 3]);
            let list = names.iter().enumerate();
            let list =
                list.map(|(other, name)| (name.as_str(), REGIONS[other % 3], Some(address(other))));
            caps.replace(now, list);
            caps.set_limits(now, &HashMap::from([(TEAM, limit)]));
            caps
        });
        Self {
            now,
            instances: instances.collect(),
            down: None,
            network: Vec::new(),
            limit,
            started: HashMap::new(),
            asks: 0,
            granted: 0,
            refusals: Vec::new(),
            longest_wait: Duration::ZERO,
        }
    }

    fn set_limit(&mut self, rate: f64, burst: f64) {
        self.limit = CapLimit::new(rate, burst).expect("a positive rate");
        for caps in &mut self.instances {
            caps.set_limits(self.now, &HashMap::from([(TEAM, self.limit)]));
        }
    }

    /// Runs for a while with `rate` requests a second at instance `at`.
    fn run(&mut self, span: Duration, at: usize, rate: f64) {
        let end = self.now + span;
        let interval = if rate > 0.0 { Duration::from_secs_f64(1.0 / rate) } else { span * 2 };
        let mut next = self.now + interval;
        while self.now < end {
            self.now = self.now + Duration::from_millis(1);
            self.deliver();
            while next <= self.now {
                next = next + interval;
                self.request(at);
            }
            self.flush();
        }
    }

    fn request(&mut self, at: usize) {
        let waiter = self.started.len() as u64 + 1;
        self.started.insert(waiter, self.now);
        let (now, limit) = (self.now, self.limit);
        self.instances[at].observe_proof(now, Some(Duration::ZERO));
        let deadline = now + Duration::from_secs(1);
        if let Some(end) = self.instances[at].acquire(now, TEAM, limit, waiter, deadline) {
            self.record(waiter, end);
        }
    }

    fn record(&mut self, waiter: u64, end: Result<PolicyTime, CapRefusal>) {
        self.longest_wait = self.longest_wait.max(self.now.since(self.started[&waiter]));
        match end {
            Ok(_) => self.granted += 1,
            Err(refusal) => self.refusals.push(refusal),
        }
    }

    fn send(&mut self, from: usize, to: usize, datagram: Datagram) {
        let delay = if from % 3 == to % 3 { NEAR } else { FAR };
        self.network.push((self.now + delay, to, datagram));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = self.network.drain(..).partition(|(at, ..)| *at <= now);
        self.network = later;
        let due: Vec<(PolicyTime, usize, Datagram)> = due;
        for (_, to, datagram) in due {
            if self.down == Some(to) {
                continue;
            }
            self.instances[to].observe_proof(now, Some(Duration::ZERO));
            match datagram {
                Datagram::Ask(from, ask) => {
                    let answer = self.instances[to].serve(now, &ask);
                    self.send(to, from, Datagram::Answer(answer));
                }
                Datagram::Answer(answer) => {
                    self.instances[to].accept(now, &answer);
                }
            }
        }
    }

    fn flush(&mut self) {
        let now = self.now;
        for from in 0..self.instances.len() {
            if self.instances[from].next_due().is_some_and(|due| due <= now) {
                self.instances[from].tick(now);
            }
            for (holder, ask) in self.instances[from].take_asks(now) {
                self.asks += 1;
                self.send(from, usize::from(holder.port()), Datagram::Ask(from, ask));
            }
            for (waiter, end) in self.instances[from].take_ends() {
                self.record(waiter, end);
            }
        }
    }

    /// Lets the buckets fill, and forgets what happened.
    fn warm_up(&mut self) {
        self.run(Duration::from_secs(8), 0, 0.0);
        (self.granted, self.asks, self.longest_wait) = (0, 0, Duration::ZERO);
        self.refusals.clear();
    }

    /// Instance that holds the cap in region 0.
    fn near_holder(&mut self) -> usize {
        let teams = vec![jackdawmux_policy::fleet::cap::TeamAsk(TEAM, 0)];
        let ask = CapAsk { asker: 0, sequence: 0, teams };
        let now = self.now;
        let is_holder = |caps: &mut CapState| {
            caps.observe_proof(now, Some(Duration::ZERO));
            caps.serve(now, &ask).teams[0].retry_ms == 0
        };
        if is_holder(&mut self.instances[0]) { 0 } else { 3 }
    }
}

/// Guards against a cap that is split evenly: callers that use one instance would get its part only.
#[rstest]
#[case::small_team(4.2)]
#[case::middle_team(30.0)]
#[case::large_team(844.0)]
fn callers_of_one_instance_get_the_whole_cap(#[case] rate: f64, #[values(0, 3)] at: usize) {
    let mut fleet = CapFleet::new(rate, rate);
    fleet.warm_up();
    fleet.run(Duration::from_secs(40), at, rate * 0.97);
    assert!(fleet.granted > 100, "{} granted", fleet.granted);
    assert_eq!(fleet.refusals, []);
}

/// Guards against a small burst of which fractions are left in each bucket: a holder with 1.4 tokens
/// can grant one.
#[rstest]
fn the_burst_of_a_small_team_can_be_used_at_once() {
    let mut fleet = CapFleet::new(4.2, 4.2);
    fleet.warm_up();
    for _ in 0..4 {
        fleet.request(0);
    }
    fleet.run(Duration::from_millis(200), 0, 0.0);
    assert_eq!((fleet.granted, fleet.refusals.len()), (4, 0));
}

/// Guards against refusals while a holder is down: caps are 1.6 times the usual demand, and two
/// thirds are left.
#[rstest]
fn the_usual_demand_is_served_while_a_holder_is_down(#[values(4.2, 30.0)] rate: f64) {
    let mut fleet = CapFleet::new(rate, rate);
    fleet.warm_up();
    let holder = fleet.near_holder();
    fleet.down = Some(holder);
    fleet.run(Duration::from_secs(30), 3 - holder, rate / 1.6);
    assert!(fleet.granted > 50, "{} granted", fleet.granted);
    assert_eq!(fleet.refusals, []);
    // The timeout, and a round trip to each of the other regions.
    assert!(fleet.longest_wait <= Duration::from_millis(60 + 48 + 2), "{:?}", fleet.longest_wait);
}

/// Guards against one datagram for each refused request of a team that sends far above its cap, and
/// against callers that are all told to return at the same time.
#[rstest]
fn a_team_above_its_cap_costs_few_datagrams(#[values(4.2, 50.0)] rate: f64) {
    let mut fleet = CapFleet::new(rate, rate);
    fleet.warm_up();
    fleet.run(Duration::from_secs(20), 0, rate * 6.0);
    let requests = fleet.granted + fleet.refusals.len();
    assert!(fleet.asks * 2 < requests, "{} asks for {requests} requests", fleet.asks);
    let share = fleet.granted as f64 / (rate * 20.0);
    assert!((0.9..1.4).contains(&share), "{share} of the rate");
    assert!(fleet.refusals.iter().all(|it| matches!(it, CapRefusal::OverCap { .. })));
}

/// Guards against a lowered cap that is used up from buckets filled before.
#[rstest]
fn a_lowered_cap_drops_what_is_above_the_new_burst() {
    let mut fleet = CapFleet::new(300.0, 300.0);
    fleet.warm_up();
    fleet.set_limit(3.0, 3.0);
    fleet.run(Duration::from_secs(1), 0, 200.0);
    assert!(fleet.granted <= 6, "{} granted", fleet.granted);
    fleet.set_limit(300.0, 300.0);
    fleet.granted = 0;
    fleet.run(Duration::from_millis(100), 0, 1_000.0);
    assert!(fleet.granted <= 33, "{} granted: a raised cap fills by its rate", fleet.granted);
}

/// Guards against 429 although nobody knows whether the cap is used up: without proof of the list of
/// instances, and before any holder is known.
#[rstest]
fn without_a_holder_that_may_grant_the_cap_is_unknown(#[values(true, false)] is_listed: bool) {
    let now = PolicyTime::from_millis(60_000);
    let mut caps = CapState::new(1, "front-0", "east");
    let limit = CapLimit::new(5.0, 5.0).expect("a positive rate");
    caps.set_limits(PolicyTime(1), &HashMap::from([(TEAM, limit)]));
    if is_listed {
        caps.register(PolicyTime(1), "front-0", "east", Some(address(0)));
    }
    caps.observe_proof(now, Some(Duration::from_secs(3)));
    let end = caps.acquire(now, TEAM, limit, 1, now + Duration::from_secs(1));
    assert!(matches!(end, Some(Err(CapRefusal::Unknown { .. }))), "{end:?}");
}

/// Guards against an outage of caps after a loss of power: all processes start at once, and none has
/// to wait for holders that ended with it. Without a replaced registration they must wait.
#[rstest]
#[case::replaced(true)]
#[case::new(false)]
fn holders_of_restarted_processes_fill_at_once(#[case] is_replacement: bool) {
    let mut fleet = CapFleet::new(60.0, 60.0);
    let now = fleet.now;
    if is_replacement {
        fleet.instances.iter_mut().for_each(|caps| caps.inherit(now));
    }
    fleet.run(Duration::from_secs(2), 0, 30.0);
    let range = if is_replacement { 40..=60 } else { 0..=0 };
    assert!(range.contains(&fleet.granted), "{} of 60 requests", fleet.granted);
}

/// Guards against requests above the cap that wait for the longest time and then get no definite
/// answer: the rate is high, so that each denial states a shorter time than a round trip to the
/// holders of the other regions.
#[rstest]
fn a_request_above_a_high_cap_is_denied_within_one_round(#[values(120.0, 600.0)] rate: f64) {
    let mut fleet = CapFleet::new(rate, rate);
    // The holders wait after the start.
    fleet.run(Duration::from_secs(7), 0, 0.0);
    fleet.run(Duration::from_secs(10), 0, rate * 3.0);
    let unknown = |refusal: &&CapRefusal| matches!(refusal, CapRefusal::Unknown { .. });
    let unknown = fleet.refusals.iter().filter(unknown).count();
    assert!(unknown * 100 <= fleet.refusals.len(), "{unknown} of {}", fleet.refusals.len());
    assert!(fleet.longest_wait < Duration::from_millis(120), "{:?}", fleet.longest_wait);
}
