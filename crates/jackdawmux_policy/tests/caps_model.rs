//! Model of request caps: instances that join, stop, crash, restart and are cut off, and datagrams
//! that are lost, late or repeated. No window of 5 s may contain more requests than the cap allows.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::cap::{CapAnswer, CapAsk, CapLimit, CapState, TeamAsk, TeamId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const REGIONS: [&str; 3] = ["east", "north", "west"];
const STEP: Duration = Duration::from_millis(10);
const STEPS: u64 = 6_000;
const WINDOW: Duration = Duration::from_secs(5);
/// Time within which an instance applies a configuration.
const APPLY: Duration = Duration::from_secs(3);

#[derive(Clone, Debug)]
enum Datagram {
    Ask(usize, CapAsk),
    Answer(CapAnswer),
}

#[derive(Clone, Debug)]
enum ListEvent {
    Registered(usize),
    Withdrawn(usize),
}

/// One process; its state is lost by a restart.
struct ModelInstance {
    caps: CapState,
    is_running: bool,
    is_leaving: bool,
    /// Position in the history of the list up to which this process has read.
    read_to: Option<usize>,
    /// Start of the read in progress and when it is answered.
    read: Option<(PolicyTime, PolicyTime, usize, BTreeMap<usize, bool>)>,
    proven_at: Option<PolicyTime>,
    cut_until: PolicyTime,
    paused_until: PolicyTime,
    config_at: PolicyTime,
    config: usize,
}

struct CapModel {
    rng: ChaCha8Rng,
    team: TeamId,
    /// Whether datagrams arrive in time, so that the whole cap can be used.
    has_clean_network: bool,
    /// Whether all tokens are taken out of the buckets and used at once. This shows two instances
    /// that fill a bucket for the same region.
    is_greedy: bool,
    now: PolicyTime,
    instances: Vec<ModelInstance>,
    /// Registered instances, and the history of changes.
    registered: BTreeMap<usize, bool>,
    history: Vec<ListEvent>,
    network: Vec<(PolicyTime, usize, Datagram)>,
    limits: Vec<(PolicyTime, CapLimit)>,
    held: Vec<(PolicyTime, PolicyTime)>,
    spent: Vec<PolicyTime>,
    next_waiter: u64,
    delayed_share: f64,
}

fn name(index: usize) -> String {
    format!("front-{index}")
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], u16::try_from(index).expect("few instances")))
}

fn region(index: usize) -> &'static str {
    REGIONS[index % REGIONS.len()]
}

impl CapModel {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let rate = [4.2, 30.0, 90.0][rng.random_range(0..3)];
        let limit = CapLimit::new(rate, rate).expect("a positive rate");
        let delayed_share = [0.0, 0.1, 0.7][rng.random_range(0..3)];
        let has_clean_network = rng.random_bool(0.5);
        let mut model = Self {
            rng,
            team: TeamId(seed),
            has_clean_network,
            is_greedy: seed.is_multiple_of(2),
            now: PolicyTime::from_millis(1),
            instances: Vec::new(),
            registered: BTreeMap::new(),
            history: Vec::new(),
            network: Vec::new(),
            limits: vec![(PolicyTime::default(), limit)],
            held: Vec::new(),
            spent: Vec::new(),
            next_waiter: 0,
            delayed_share,
        };
        for index in 0..6 {
            let instance = model.start(index);
            model.instances.push(instance);
        }
        model
    }

    /// Starts a process, which registers.
    fn start(&mut self, index: usize) -> ModelInstance {
        self.registered.insert(index, true);
        self.history.push(ListEvent::Registered(index));
        ModelInstance {
            caps: CapState::new(self.rng.random(), &name(index), region(index)),
            is_running: true,
            is_leaving: false,
            read_to: None,
            read: None,
            proven_at: None,
            cut_until: PolicyTime::default(),
            paused_until: PolicyTime::default(),
            config_at: PolicyTime::default(),
            config: usize::MAX,
        }
    }

    fn withdraw(&mut self, index: usize) {
        if self.registered.remove(&index).is_some() {
            self.history.push(ListEvent::Withdrawn(index));
        }
    }

    fn random_fault(&mut self) {
        let index = self.rng.random_range(0..self.instances.len());
        let span = Duration::from_millis(self.rng.random_range(100..12_000));
        match self.rng.random_range(0..10) {
            // One instance joins in each region.
            0 | 9 if self.instances.len() < 18 => {
                for _ in REGIONS {
                    let joined = self.instances.len();
                    let instance = self.start(joined);
                    self.instances.push(instance);
                }
            }
            1 if self.instances[index].is_running => {
                // A planned stop: grants end before the registration is withdrawn.
                self.instances[index].caps.stop_granting();
                self.instances[index].is_leaving = true;
                self.withdraw(index);
            }
            2 => self.instances[index].is_running = false,
            3 | 4 => self.instances[index] = self.start(index),
            // A running instance is removed from the list, and may be cut off from it.
            5 => {
                self.withdraw(index);
                if self.rng.random_bool(0.5) {
                    self.instances[index].cut_until = self.now + span;
                }
            }
            6 => self.instances[index].cut_until = self.now + span,
            7 => self.instances[index].paused_until = self.now + span / 3,
            _ => {
                let rate = self.rng.random_range(1.0..90.0);
                let limit = CapLimit::new(rate, rate * self.rng.random_range(0.0..1.5));
                self.limits.push((self.now, limit.expect("a positive rate")));
            }
        }
    }

    /// Reads the list of instances as a watch does, or in full.
    fn read_list(&mut self, index: usize) {
        let now = self.now;
        // Some reads take nearly as long as the proof of the list lasts.
        let is_slow = self.rng.random_bool(0.2);
        let millis = if is_slow { 1_500..2_900 } else { 0..200 };
        let is_first = self.instances[index].read_to.is_none();
        let delay = Duration::from_millis(if is_first { 0 } else { self.rng.random_range(millis) });
        let has_full_list = self.rng.random_bool(0.2);
        let registered = self.registered.clone();
        let position = self.history.len();
        let instance = &mut self.instances[index];
        if now < instance.cut_until {
            instance.read = None;
            return;
        }
        let Some((began, answered, to, list)) = instance.read.take() else {
            instance.read = Some((now, now + delay, position, registered));
            return;
        };
        if now < answered {
            instance.read = Some((began, answered, to, list));
            return;
        }
        match instance.read_to {
            Some(from) if !has_full_list => {
                for event in &self.history[from..to] {
                    match event {
                        ListEvent::Registered(other) => {
                            let address = Some(address(*other));
                            instance.caps.register(now, &name(*other), region(*other), address);
                        }
                        ListEvent::Withdrawn(other) => {
                            instance.caps.withdraw(now, &name(*other));
                        }
                    }
                }
            }
            _ => {
                let names: Vec<(String, usize)> =
                    list.keys().map(|other| (name(*other), *other)).collect();
                let records = names
                    .iter()
                    .map(|(name, other)| (name.as_str(), region(*other), Some(address(*other))));
                instance.caps.replace(now, records);
            }
        }
        instance.read_to = Some(to);
        instance.proven_at = Some(began);
        // An instance whose registration was removed by mistake registers again.
        if !list.contains_key(&index) && !instance.is_leaving {
            self.registered.insert(index, true);
            self.history.push(ListEvent::Registered(index));
        }
    }

    fn apply_config(&mut self, index: usize) {
        let (latest, now) = (self.limits.len() - 1, self.now);
        let delay = self.rng.random_range(0..2_900);
        let instance = &mut self.instances[index];
        if instance.config != latest {
            let changed_at = self.limits[latest].0;
            if instance.config_at <= changed_at {
                instance.config_at = changed_at + Duration::from_millis(delay);
            }
            if now >= instance.config_at || instance.config == usize::MAX {
                instance.config = latest;
                let limits = HashMap::from([(self.team, self.limits[latest].1)]);
                instance.caps.set_limits(now, &limits);
            }
        }
    }

    fn send(&mut self, to: usize, datagram: &Datagram) {
        if self.has_clean_network {
            self.network.push((self.now + STEP, to, datagram.clone()));
            return;
        }
        let copies = match self.rng.random_range(0..20) {
            0 => 0,
            1 | 2 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let millis = match self.rng.random_range(0..12) {
                0 => self.rng.random_range(60..400),
                1 => self.rng.random_range(400..4_000),
                _ => self.rng.random_range(0..25),
            };
            let at = self.now + Duration::from_millis(millis);
            self.network.push((at, to, datagram.clone()));
        }
    }

    fn deliver_due(&mut self) {
        let now = self.now;
        let (due, later) = self.network.drain(..).partition(|(at, ..)| *at <= now);
        self.network = later;
        let due: Vec<(PolicyTime, usize, Datagram)> = due;
        for (_, to, datagram) in due {
            let instance = &mut self.instances[to];
            if !instance.is_running {
                continue;
            }
            if now < instance.paused_until {
                self.network.push((instance.paused_until, to, datagram));
                continue;
            }
            let proof_age = instance.proven_at.map(|at| now.since(at));
            instance.caps.observe_proof(now, proof_age);
            match datagram {
                Datagram::Ask(from, ask) => {
                    let answer = Datagram::Answer(instance.caps.serve(now, &ask));
                    self.send(from, &answer);
                }
                Datagram::Answer(answer) => {
                    instance.caps.accept(now, &answer);
                }
            }
        }
    }

    /// Lets requests arrive; a token is used after a while, if it has not expired.
    fn run_requests(&mut self, index: usize, count: u32) {
        let now = self.now;
        let limit = self.limits[self.instances[index].config.min(self.limits.len() - 1)].1;
        let instance = &mut self.instances[index];
        let proof_age = instance.proven_at.map(|at| now.since(at));
        instance.caps.observe_proof(now, proof_age);
        if self.is_greedy {
            let teams = vec![TeamAsk(self.team, if count > 0 { 1_000 } else { 0 })];
            let answer = instance.caps.serve(now, &CapAsk { asker: 1, sequence: 1, teams });
            let granted = usize::try_from(answer.teams[0].granted).expect("a small count");
            self.spent.extend(std::iter::repeat_n(now, granted));
            return;
        }
        let mut ends = Vec::new();
        for _ in 0..count {
            self.next_waiter += 1;
            let deadline = now + Duration::from_secs(2);
            let waiter = self.next_waiter;
            ends.extend(instance.caps.acquire(now, self.team, limit, waiter, deadline));
        }
        if instance.caps.next_due().is_some_and(|due| due <= now) {
            instance.caps.tick(now);
        }
        let asks = instance.caps.take_asks(now);
        ends.extend(instance.caps.take_ends().into_iter().map(|(_, end)| end));
        for (holder, ask) in asks {
            self.send(usize::from(holder.port()), &Datagram::Ask(index, ask));
        }
        for end in ends {
            match end {
                // Requests that are delayed for long and then run all at once.
                Ok(expiry) if self.rng.random_bool(self.delayed_share) => {
                    let flood = now.0 / 20_000_000 * 20_000_000 + 27_000_000;
                    self.held.push((PolicyTime(flood), expiry));
                }
                Ok(expiry) => {
                    let hold = Duration::from_millis(self.rng.random_range(0..240));
                    self.held.push((now + hold, expiry));
                }
                Err(_) => {}
            }
        }
    }

    fn spend_held(&mut self) {
        let now = self.now;
        self.held.retain(|(at, expiry)| {
            if *at <= now && now < *expiry {
                self.spent.push(now);
            }
            *at > now
        });
    }

    fn run(&mut self) {
        // A storm of faults, and calm times in which buckets fill.
        let fault_share = [0.001, 0.004, 0.03][self.rng.random_range(0..3)];
        for step in 0..STEPS {
            self.now = self.now + STEP;
            if self.rng.random_bool(fault_share) {
                self.random_fault();
            }
            self.deliver_due();
            let is_flood = step / 200 % 5 > 1;
            for index in 0..self.instances.len() {
                let instance = &self.instances[index];
                if !instance.is_running || self.now < instance.paused_until {
                    continue;
                }
                self.read_list(index);
                self.apply_config(index);
                let count = if is_flood { self.rng.random_range(0..3) } else { 0 };
                self.run_requests(index, count);
            }
            self.spend_held();
        }
    }

    /// Checks every window that ends with a request.
    fn check(&self, seed: u64) {
        let mut start = 0;
        for (end, at) in self.spent.iter().enumerate() {
            while at.since(self.spent[start]) >= WINDOW {
                start += 1;
            }
            let count = f64::from(u32::try_from(end - start + 1).expect("few requests"));
            // Caps in force at any instance during the window.
            let first = at.before(WINDOW + APPLY + WINDOW);
            let from = self.limits.iter().rposition(|(since, _)| *since <= first).unwrap_or(0);
            let in_force = || self.limits[from..].iter().filter(|(since, _)| since <= at);
            let rate = in_force().map(|(_, limit)| limit.rate).fold(0.0, f64::max);
            let burst = in_force().map(|(_, limit)| limit.burst).fold(0.0, f64::max);
            let allowed = (rate * 5.0 + burst) * 1.1 + 20.0;
            assert!(count <= allowed, "seed {seed}: {count} of {allowed} at {at:?}");
            // What the buckets and the lifetime of tokens allow at most: 5.25 s of the rate, the
            // burst, and less than one token for each of the three holders.
            let seconds = if self.is_greedy { 5.0 } else { 5.25 };
            let issued = rate * seconds + burst + 3.0;
            assert!(count <= issued, "seed {seed}: {count} of {issued} issued at {at:?}");
        }
    }
}

/// Guards against tokens that are granted twice, used late, or come from two holders at a time.
#[rstest]
fn no_window_exceeds_the_cap(#[values(0, 1, 2, 3, 4, 5, 6, 7)] group: u64) {
    let mut spent = 0;
    for seed in group * 40..group * 40 + 40 {
        let mut model = CapModel::new(seed);
        model.run();
        model.check(seed);
        spent += model.spent.len();
    }
    // A model in which nothing is granted would check nothing.
    assert!(spent > 10_000, "only {spent} requests");
}
