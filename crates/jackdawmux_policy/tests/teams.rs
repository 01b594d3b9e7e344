//! Teams: lookup by key, homes and priority.

#[path = "support/fleet_fixtures.rs"]
mod fleet_fixtures;

use std::hint::black_box;
use std::time::Instant;

use fleet_fixtures::{SERVICE, config, endpoint, route, steering};
use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::choice::EndpointQuery;
use jackdawmux_policy::fleet::record::{ConfigRecord, RouteRecord, TeamKey, TeamRecord};
use jackdawmux_policy::fleet::routing::{KeyConflict, RouteTable};
use rstest::rstest;
use smallvec::smallvec;

fn team(name: &str, keys: &[&str]) -> TeamRecord {
    TeamRecord {
        name: name.to_owned(),
        keys: keys.iter().map(|key| TeamKey::new((*key).to_owned())).collect(),
        priority: None,
        rate: 0.0,
        burst: 0.0,
        homes: smallvec![],
    }
}

fn table(teams: Vec<TeamRecord>) -> RouteTable {
    RouteTable::new(ConfigRecord { teams: Some(teams), ..config(1) })
}

/// Guards against a key that changes its team with the order of lookups, and against a warning about
/// a team that states its key twice.
#[test]
fn the_first_team_that_states_a_key_holds_it() {
    let teams = vec![team("a", &["k1", "k2", "k1"]), team("b", &["k2", "k3"])];
    let table = table(teams);
    let holder = |key| table.find_team(key).map(|team| team.name.clone());
    assert_eq!(holder("k1").as_deref(), Some("a"));
    assert_eq!(holder("k2").as_deref(), Some("a"));
    assert_eq!(holder("k3").as_deref(), Some("b"));
    assert_eq!(holder("k"), None);
    let conflict = KeyConflict { holder: "a".to_owned(), other: "b".to_owned() };
    assert_eq!(table.key_conflicts(), [conflict]);
}

/// Guards against an empty list of teams that lets all requests pass.
#[test]
fn an_empty_list_of_teams_is_not_a_missing_one() {
    assert!(table(Vec::new()).has_teams());
    assert!(!RouteTable::new(config(1)).has_teams());
}

/// Guards against keys in logs that print a configuration.
#[test]
fn debug_output_hides_keys() {
    let text = format!("{:?}", table(vec![team("a", &["hidden-key"])]));
    assert!(text.contains("\"a\"") && !text.contains("hidden-key"), "{text}");
}

/// Guards against requests that are served in a region which only the route or only the team allows.
/// Endpoints with even numbers are in the region north, the others in south.
#[rstest]
#[case::team(&[], &["south"], false, true)]
#[case::route(&["north"], &[], true, false)]
#[case::common_region(&["north", "south"], &["south"], false, true)]
#[case::no_common_region(&["north"], &["south"], false, false)]
fn requests_run_in_homes_of_route_and_team(
    #[case] route_homes: &[&str],
    #[case] team_homes: &[&str],
    #[case] north: bool,
    #[case] south: bool,
) {
    let owned = |homes: &[&str]| homes.iter().map(|home| (*home).to_owned()).collect();
    let mut steering = steering("front-0", "a", &["front-0".to_owned()], 8);
    let route = RouteRecord { homes: owned(route_homes), ..route() };
    let team = TeamRecord { homes: owned(team_homes), ..team("a", &[]) };
    let mut found = (false, false);
    for object in 0..200 {
        let query = EndpointQuery {
            service: SERVICE,
            route: &route,
            team: Some(&team),
            object,
            attempted: &[],
            is_retry: false,
            connected: None,
            deadline: None,
        };
        assert_eq!(query.priority(), route.priority);
        let Ok(choice) = steering.choose(PolicyTime::from_millis(10), &query) else {
            continue;
        };
        let index = choice.id.trim_start_matches("i-").parse().expect("the id ends with a number");
        match endpoint(index).domain.as_str() {
            "a" => found.0 = true,
            _ => found.1 = true,
        }
    }
    assert_eq!(found, (north, south));
}

/// Guards against a team whose priority does not replace that of the route in either direction.
#[rstest]
#[case(None, 3)]
#[case(Some(0), 0)]
#[case(Some(7), 7)]
fn the_priority_of_the_team_replaces_that_of_the_route(
    #[case] priority: Option<u32>,
    #[case] expected: u32,
) {
    let route = RouteRecord { priority: 3, ..route() };
    let team = TeamRecord { priority, ..team("a", &[]) };
    let query = EndpointQuery {
        service: SERVICE,
        route: &route,
        team: Some(&team),
        object: 1,
        attempted: &[],
        is_retry: false,
        connected: None,
        deadline: None,
    };
    assert_eq!(query.priority(), expected);
}

/// Prints the cost of a lookup with few and with many keys:
/// `cargo test --release -p jackdawmux_policy --test teams -- --ignored --nocapture`.
#[test]
#[ignore = "prints a measurement and checks nothing"]
fn cost_of_a_lookup() {
    const LOOKUPS: u32 = 1_000_000;
    for count in [100_usize, 100_000] {
        let key = |index: usize| format!("key-{index:08}-{:016x}", index * 2_654_435_761);
        let teams = (0..count).map(|index| team(&format!("t-{index}"), &[&key(index)])).collect();
        let started = Instant::now();
        let table = table(teams);
        let built = started.elapsed();
        // The same few keys, so that the figure is that of the lookup and not of the memory cache.
        let asked: Vec<String> = (0..64).map(|index| key(index * count / 64)).collect();
        let started = Instant::now();
        for index in 0..LOOKUPS {
            let key = &asked[usize::try_from(index).unwrap_or(0) % asked.len()];
            assert!(black_box(table.find_team(black_box(key))).is_some());
        }
        let elapsed = started.elapsed();
        let started = Instant::now();
        for index in 0..LOOKUPS {
            let missing = usize::try_from(index).unwrap_or(0) % asked.len();
            assert!(black_box(table.find_team(black_box(&asked[missing][1..]))).is_none());
        }
        println!(
            "keys={count} known_ns={} unknown_ns={} build_ms={}",
            (elapsed / LOOKUPS).as_nanos(),
            (started.elapsed() / LOOKUPS).as_nanos(),
            built.as_millis()
        );
    }
}
