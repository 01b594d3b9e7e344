//! Which instances lookups name and requests are forwarded to while some reach no endpoint.

use std::net::SocketAddr;

use jackdawmux_policy::fleet::directory::InstanceView;
use jackdawmux_policy::fleet::forwarding::{PeerQuery, select_peer};
use jackdawmux_policy::fleet::placement::{LookupSpread, MAX_LOOKUP_INSTANCES, select_instances};
use jackdawmux_policy::fleet::record::InstanceRecord;
use rstest::rstest;

fn record(index: u16, capacity_permille: u32) -> InstanceRecord {
    let address = SocketAddr::from(([10, 0, 0, 1], index));
    InstanceRecord {
        name: format!("front-{index}"),
        address,
        heartbeat_address: address,
        domain: "a".to_owned(),
        capacity_permille,
        incarnation: 1,
        cap_address: None,
    }
}

/// Instances by region, each with whether it is isolated.
fn views<'view>(
    records: &'view [InstanceRecord],
    states: &[(&'view str, bool)],
) -> Vec<InstanceView<'view>> {
    let pairs = records.iter().zip(states);
    pairs
        .map(|(record, (region, is_isolated))| InstanceView {
            record,
            region,
            is_isolated: *is_isolated,
        })
        .collect()
}

/// Guards against lookups that name instances which reach no endpoint, or nobody.
#[rstest]
#[case::one_is_left_out(&[("north", true), ("north", false), ("south", false)], &[1])]
#[case::another_region_steps_in(&[("north", true), ("north", true), ("south", false)], &[2])]
#[case::all_of_the_region_if_nobody_reaches_any(&[("north", true), ("north", true), ("south", true)], &[0, 1])]
fn lookups_prefer_instances_that_reach_endpoints(
    #[case] states: &[(&str, bool)],
    #[case] expected: &[u16],
) {
    let records: Vec<InstanceRecord> = (0..3).map(|index| record(index, 500)).collect();
    let live = views(&records, states);
    let selected = select_instances(&live, "north", 0.5, LookupSpread::Whole);
    let ports: Vec<u16> = selected.iter().map(|view| view.record.address.port()).collect();
    assert_eq!(ports, expected);
}

/// Guards against isolated instances that take places in the answers of large fleets.
#[test]
fn lookups_of_a_large_fleet_are_full_of_instances_that_reach_endpoints() {
    let records: Vec<InstanceRecord> = (0..118).map(|index| record(index, 500)).collect();
    let states: Vec<(&str, bool)> = (0..118).map(|index| ("north", index < 40)).collect();
    let live = views(&records, &states);
    let selected = select_instances(&live, "north", 0.5, LookupSpread::Whole);
    assert_eq!(selected.len(), MAX_LOOKUP_INSTANCES);
    assert!(selected.iter().all(|view| !view.is_isolated));
}

fn query<'query>(
    homes: &'query [String],
    excluded: &'query [String],
    draw: f64,
) -> PeerQuery<'query> {
    PeerQuery { own: "front-0", region: "north", homes, team_homes: &[], excluded, draw }
}

/// Guards against a request that is sent to a region which is none of its homes, to an instance that
/// reaches no endpoint either, or back.
#[test]
fn peers_are_of_the_own_region_or_else_of_a_home() {
    let records: Vec<InstanceRecord> = (0..5).map(|index| record(index, 500)).collect();
    let states =
        [("north", false), ("north", true), ("north", false), ("south", false), ("mid", false)];
    let live = views(&records, &states);
    let name = |homes: &[String], excluded: &[String], draw| {
        select_peer(&live, &query(homes, excluded, draw)).map(|peer| peer.name.clone())
    };
    let north = [String::from("front-2")];
    for draw in [0.0, 0.4, 0.99] {
        assert_eq!(name(&[], &[], draw), Some("front-2".to_owned()));
        let south = ["south".to_owned()];
        assert_eq!(name(&south, &north, draw), Some("front-3".to_owned()));
        assert_ne!(name(&[], &north, draw), Some("front-0".to_owned()));
    }
    let lost = ["lost".to_owned()];
    assert_eq!(name(&lost, &[], 0.5), None);
}

/// Guards against a body that is sent to a region which its team or its route does not allow.
#[rstest]
#[case::team_only(&[], &["south"], Some("front-1"))]
#[case::common_region(&["north", "south"], &["south"], Some("front-1"))]
#[case::no_common_region(&["north"], &["south"], None)]
fn peers_are_in_homes_of_route_and_team(
    #[case] homes: &[&str],
    #[case] team_homes: &[&str],
    #[case] expected: Option<&str>,
) {
    let records = [record(1, 500), record(2, 500)];
    let live = views(&records, &[("south", false), ("north", false)]);
    let owned = |homes: &[&str]| -> Vec<String> { homes.iter().map(|&home| home.into()).collect() };
    let (homes, team_homes) = (owned(homes), owned(team_homes));
    for draw in [0.0, 0.99] {
        let query = PeerQuery { team_homes: &team_homes, ..query(&homes, &[], draw) };
        assert_eq!(select_peer(&live, &query).map(|peer| peer.name.as_str()), expected);
    }
}

/// Guards against small instances that are asked as often as large ones.
#[test]
fn peers_are_asked_in_proportion_to_their_capacity() {
    let records = [record(0, 500), record(1, 200), record(2, 600)];
    let live = views(&records, &[("north", true), ("north", false), ("north", false)]);
    let asked = (0..800).filter(|step| {
        let draw = f64::from(*step) / 800.0;
        select_peer(&live, &query(&[], &[], draw)).is_some_and(|peer| peer.name == "front-1")
    });
    assert_eq!(asked.count(), 200);
}
