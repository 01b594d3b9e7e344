//! Load pattern: heartbeats of a growing fleet. The cost per instance stays bounded, and the
//! heartbeats of each instance reach enough instances for lookups to return it.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::directory::InstanceDirectory;
use jackdawmux_policy::fleet::placement::{LookupSpread, MAX_LOOKUP_INSTANCES, select_instances};
use jackdawmux_policy::fleet::record::InstanceRecord;
use rstest::rstest;

const REGIONS: [&str; 3] = ["north", "mid", "south"];

fn regions() -> Arc<BTreeMap<String, String>> {
    let pairs = REGIONS.map(|region| (format!("{region}-a"), region.to_owned()));
    Arc::new(BTreeMap::from(pairs))
}

fn record(index: u16) -> InstanceRecord {
    let region = REGIONS[usize::from(index) % REGIONS.len()];
    InstanceRecord {
        name: format!("front-{index:04}"),
        address: SocketAddr::from(([10, 0, 0, 1], index)),
        heartbeat_address: SocketAddr::from(([10, 0, 0, 2], index)),
        domain: format!("{region}-a"),
        capacity_permille: 500,
        incarnation: 1,
        cap_address: None,
    }
}

fn directory(own: u16, count: u16) -> InstanceDirectory {
    let mut directory = InstanceDirectory::new(&record(own).name, regions());
    directory.replace((0..count).map(record).collect(), false);
    directory.set_serving(true);
    directory
}

#[rstest]
#[case::small(7, 6)]
#[case::grown(26, 25)]
#[case::hundreds(300, MAX_LOOKUP_INSTANCES + 15)]
#[case::thousands(3_400, MAX_LOOKUP_INSTANCES + 15)]
fn the_fan_out_is_bounded_and_even(#[case] count: u16, #[case] max_peers: usize) {
    let mut received: HashMap<String, usize> = HashMap::new();
    for own in 0..count {
        let directory = directory(own, count);
        let peers = directory.peers();
        assert!(peers.len() <= max_peers, "{} peers", peers.len());
        for peer in peers {
            assert_ne!(peer.name, record(own).name);
            *received.entry(peer.name.clone()).or_default() += 1;
        }
    }
    let min_received = received.values().min().copied().unwrap_or(0);
    assert_eq!(received.len(), usize::from(count));
    assert!(
        min_received + 8 >= max_peers.min(usize::from(count) - 1),
        "an instance is received by only {min_received} others"
    );
}

#[test]
fn lookups_of_a_large_fleet_return_as_many_as_callers_read() {
    let count = 600;
    let own = directory(0, count);
    let mut directory = own.clone();
    let now = PolicyTime::from_millis(1_000);
    for sender in 1..count {
        let is_received =
            self::directory(sender, count).peers().iter().any(|peer| peer.name == record(0).name);
        if is_received {
            directory.record_heartbeat(now, &record(sender).name, true, true);
        }
    }
    let live = directory.live(now);
    assert_eq!(
        select_instances(&live, "north", 0.5, LookupSpread::Whole).len(),
        MAX_LOOKUP_INSTANCES
    );
    assert!(select_instances(&live, "south", 0.5, LookupSpread::Whole).len() >= 4);
}
