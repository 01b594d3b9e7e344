//! Lookups of a deployment with load pressure return as few instances as carry the demand.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::directory::InstanceDirectory;
use jackdawmux_policy::fleet::placement::{LookupSpread, select_instances};
use jackdawmux_policy::fleet::record::InstanceRecord;
use rstest::rstest;

/// Two instances with half a core and twelve with a tenth in each of two failure domains.
fn directory() -> InstanceDirectory {
    let regions = [("a", "north"), ("b", "north")];
    let regions = regions
        .map(|(domain, region)| (domain.to_owned(), region.to_owned()))
        .into_iter()
        .collect();
    let mut directory = InstanceDirectory::new("front-a-00", Arc::new(regions));
    directory.set_serving(true);
    let mut records = Vec::new();
    for domain in ["a", "b"] {
        for index in 0..14_u16 {
            let address = SocketAddr::from(([10, 0, 0, 1], index));
            records.push(InstanceRecord {
                name: format!("front-{domain}-{index:02}"),
                address,
                heartbeat_address: address,
                domain: domain.to_owned(),
                capacity_permille: if index < 2 { 500 } else { 100 },
                incarnation: 1,
                cap_address: None,
            });
        }
    }
    directory.replace(records, false);
    directory
}

fn at(millis: u64) -> PolicyTime {
    PolicyTime::from_millis(millis)
}

fn hear(directory: &mut InstanceDirectory, now: PolicyTime, rate: f64, lost: &[&str]) {
    let names = directory.names().expect("a list has been read");
    for name in names.iter().filter(|name| !lost.contains(&name.as_str())) {
        directory.record_heartbeat(now, name, true, true);
        directory.record_request_rate(name, rate);
    }
    directory.update_demand(now);
}

fn selected(directory: &InstanceDirectory, now: PolicyTime) -> Vec<String> {
    let live = directory.live(now);
    let spread = LookupSpread::Concentrated(directory.demand("north"));
    let views = select_instances(&live, "north", 0.999, spread);
    views.iter().map(|view| view.record.name.clone()).collect()
}

/// Guards against callers that are spread so thinly that no instance meets an endpoint again while
/// its connection is open: 240 requests per second over 28 instances and 260 endpoints.
#[rstest]
#[case::light(1.0, 4)]
#[case::usual(9.0, 4)]
#[case::burst(75.0, 5)]
#[case::more_than_all_carry(900.0, 28)]
fn demand_decides_how_many_instances_callers_use(#[case] rate: f64, #[case] expected: usize) {
    let mut directory = directory();
    hear(&mut directory, at(1_000), rate, &[]);
    assert_eq!(selected(&directory, at(1_000)).len(), expected);
}

/// Guards against a selection that lies in one failure domain and is lost with it.
#[test]
fn callers_are_spread_over_failure_domains() {
    let mut directory = directory();
    hear(&mut directory, at(1_000), 1.0, &[]);
    let selected = selected(&directory, at(1_000));
    let in_first = selected.iter().filter(|name| name.starts_with("front-a")).count();
    assert_eq!((in_first, selected.len()), (2, 4), "{selected:?}");
}

/// Guards against callers that stay on instances that are gone.
#[test]
fn a_lost_instance_is_replaced() {
    let mut directory = directory();
    hear(&mut directory, at(1_000), 9.0, &[]);
    let lost = ["front-b-00", "front-b-01"];
    hear(&mut directory, at(20_000), 9.0, &lost);
    let selected = selected(&directory, at(20_000));
    assert!(selected.len() >= 4, "{selected:?}");
    assert!(selected.iter().all(|name| !lost.contains(&name.as_str())), "{selected:?}");
}

/// Guards against callers that change their instances whenever the demand swings.
#[test]
fn a_short_pause_in_demand_changes_nothing() {
    let mut directory = directory();
    hear(&mut directory, at(1_000), 75.0, &[]);
    let before = selected(&directory, at(1_000));
    hear(&mut directory, at(3_000), 20.0, &[]);
    assert_eq!(selected(&directory, at(3_000)), before);
    let long_after = PolicyTime::from_millis(1_000) + Duration::from_secs(120);
    hear(&mut directory, long_after, 20.0, &[]);
    assert_eq!(selected(&directory, long_after).len(), 4);
}
