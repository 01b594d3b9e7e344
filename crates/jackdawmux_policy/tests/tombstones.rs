//! Endpoints that were removed before the source came back from an older copy.

#[path = "support/fleet_fixtures.rs"]
mod fleet_fixtures;

use std::time::Duration;

use fleet_fixtures::{SERVICE, endpoint, route, steering};
use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::choice::EndpointQuery;
use jackdawmux_policy::fleet::position::{SourcePosition, WatchTopic};
use jackdawmux_policy::fleet::record::EndpointRecord;
use jackdawmux_policy::fleet::steering::FleetSteering;

const BEFORE: SourcePosition = SourcePosition { era: 0, revision: 20 };
const COPY: SourcePosition = SourcePosition { era: 1, revision: 10 };

fn at(millis: u64) -> PolicyTime {
    PolicyTime::from_millis(millis)
}

/// The steering of a front that knows one endpoint, with its start.
fn front(started_ms: u64) -> FleetSteering {
    let mut steering = steering("front-0", "a", &["front-0".to_owned()], 0);
    assert!(steering.record_position(at(1), WatchTopic::Endpoints, BEFORE));
    steering.apply_endpoint(at(1), started(started_ms));
    steering
}

fn started(started_ms: u64) -> EndpointRecord {
    EndpointRecord { started_ms, ..endpoint(0) }
}

/// Restores the source from a copy that lists a registration, and returns whether the endpoint is
/// used.
fn is_used_after_restore(steering: &mut FleetSteering, copied: EndpointRecord) -> bool {
    let now = at(10_000);
    assert!(steering.record_position(now, WatchTopic::Endpoints, COPY));
    steering.replace_endpoints(now, vec![(copied, COPY)]);
    let route = route();
    let query = EndpointQuery {
        service: SERVICE,
        route: &route,
        team: None,
        object: 1,
        attempted: &[],
        is_retry: false,
        connected: None,
        deadline: None,
    };
    steering.choose(now, &query).is_ok()
}

#[test]
fn an_endpoint_that_was_withdrawn_is_not_used_from_a_copy() {
    let mut steering = front(7);
    steering.remove_endpoint(at(100), &endpoint(0).id);
    assert!(!is_used_after_restore(&mut steering, started(7)));
}

/// Guards against use of an endpoint that was gone after an outage, because only withdrawn
/// registrations were remembered.
#[test]
fn an_endpoint_that_was_not_renewed_after_an_outage_is_not_used_from_a_copy() {
    let mut steering = front(7);
    steering.record_source_recovery(at(900), Duration::from_secs(3));
    steering.remove_endpoint(at(1_000), &endpoint(0).id);
    assert_eq!(steering.tick(at(3_100)), [endpoint(0).id]);
    assert!(!is_used_after_restore(&mut steering, started(7)));
}

/// Guards against use of an incarnation that was removed, because the removal of an earlier one
/// replaced its tombstone.
#[test]
fn the_removal_of_an_earlier_incarnation_does_not_replace_that_of_a_later_one() {
    let mut steering = front(7);
    steering.remove_endpoint(at(100), &endpoint(0).id);
    steering.apply_endpoint(at(200), started(5));
    steering.remove_endpoint(at(300), &endpoint(0).id);
    assert!(!is_used_after_restore(&mut steering, started(7)));
}

#[test]
fn a_later_incarnation_than_the_removed_one_is_used_from_a_copy() {
    let mut steering = front(7);
    steering.remove_endpoint(at(100), &endpoint(0).id);
    assert!(is_used_after_restore(&mut steering, started(8)));
}
