//! Peers that have a later configuration in force than this instance.

use std::time::Duration;

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::config_freshness::ConfigFreshness;

const GRACE: Duration = Duration::from_millis(800);

fn at(millis: u64) -> PolicyTime {
    PolicyTime::from_millis(millis)
}

fn take(freshness: &mut ConfigFreshness, millis: u64, own: u64) -> Option<String> {
    freshness.take_behind(at(millis), own, GRACE)
}

#[test]
fn a_peer_is_asked_once_for_each_grace_period_while_it_is_ahead() {
    let mut freshness = ConfigFreshness::default();
    freshness.record_peer(at(0), 14, "front-1", 55);
    assert_eq!(take(&mut freshness, 700, 14), None);
    freshness.record_peer(at(750), 14, "front-1", 55);
    assert_eq!(take(&mut freshness, 800, 14).as_deref(), Some("front-1"));
    assert_eq!(take(&mut freshness, 1_000, 14), None);
    assert_eq!(take(&mut freshness, 1_600, 14).as_deref(), Some("front-1"));
}

#[test]
fn a_version_that_the_source_names_within_the_grace_period_is_not_read_from_a_peer() {
    let mut freshness = ConfigFreshness::default();
    freshness.record_peer(at(0), 14, "front-1", 55);
    assert_eq!(take(&mut freshness, 900, 55), None);
    freshness.record_peer(at(950), 55, "front-1", 55);
    assert_eq!(take(&mut freshness, 5_000, 55), None);
}

#[test]
fn the_peer_with_the_latest_version_is_asked() {
    let mut freshness = ConfigFreshness::default();
    freshness.record_peer(at(0), 14, "front-1", 55);
    freshness.record_peer(at(100), 14, "front-2", 60);
    freshness.record_peer(at(200), 14, "front-3", 55);
    assert_eq!(take(&mut freshness, 800, 14).as_deref(), Some("front-2"));
}

#[test]
fn a_process_without_a_configuration_is_behind_every_peer() {
    let mut freshness = ConfigFreshness::default();
    freshness.record_peer(at(0), 0, "front-1", 2);
    assert_eq!(take(&mut freshness, 800, 0).as_deref(), Some("front-1"));
}
