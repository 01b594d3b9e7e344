//! Age of the latest reply, by topic.

use std::time::Duration;

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::freshness::FreshnessTracker;
use jackdawmux_policy::fleet::position::WatchTopic;

const fn at(ms: u64) -> PolicyTime {
    PolicyTime::from_millis(ms)
}

/// Guards against a metric in which the reply for one topic vouches for another.
#[test]
fn a_reply_renews_the_age_of_its_own_topic_only() {
    let mut freshness = FreshnessTracker::default();
    assert_eq!(freshness.reply_age(at(100), WatchTopic::Config), None);
    freshness.record_reply(at(100), WatchTopic::Config);
    freshness.record_reply(at(900), WatchTopic::Endpoints);
    let age = |topic| freshness.reply_age(at(1_000), topic);
    assert_eq!(age(WatchTopic::Config), Some(Duration::from_millis(900)));
    assert_eq!(age(WatchTopic::Endpoints), Some(Duration::from_millis(100)));
    assert_eq!(age(WatchTopic::Evacuations), None);
}
