//! Instances of this system: who is registered, who was heard of, who is leaving.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::placement::MAX_LOOKUP_INSTANCES;
use super::record::InstanceRecord;
use crate::clock::PolicyTime;

/// Shortest time between heartbeats to one instance.
const PERIOD_SHORTEST: Duration = Duration::from_millis(300);
/// Longest time between them, which keeps the cost of a large fleet bounded.
const PERIOD_LONGEST: Duration = Duration::from_secs(1);
/// Time that each registered instance adds to the period.
const PERIOD_PER_INSTANCE: Duration = Duration::from_millis(10);
/// Instances of the own region to which heartbeats go; with the own one as many as a look-up names.
const OWN_FAN_OUT: usize = MAX_LOOKUP_INSTANCES - 1;
/// Instances of each other region to which they go: enough to name some to callers of a region
/// whose own directories are away.
const OTHER_FAN_OUT: usize = 8;
/// Heartbeats that may be missing before an instance is no longer named. Datagrams are lost now
/// and then, so one missing says nothing.
const MISSING_LIMIT: u32 = 5;

/// Time without a sign of life after which a registration is removed: far beyond any restart, so
/// that only instances that were taken away for good lose their part of what is divided.
const ABANDONED_AFTER: Duration = Duration::from_secs(600);

/// A registered instance with its region.
#[derive(Clone, Copy, Debug)]
pub struct InstanceView<'view> {
    /// What it registered.
    pub record: &'view InstanceRecord,
    /// Region of its failure domain.
    pub region: &'view str,
}

/// What the latest heartbeat of an instance said.
#[derive(Clone, Copy, Debug)]
struct HeardState {
    at: PolicyTime,
    is_serving: bool,
}

/// The instances as this one sees them.
#[derive(Clone, Debug)]
pub struct InstanceDirectory {
    own: String,
    regions: Arc<BTreeMap<String, String>>,
    registered: BTreeMap<String, InstanceRecord>,
    heard: HashMap<String, HeardState>,
    /// When registrations were first looked at, for those that were never heard of.
    watched_since: HashMap<String, PolicyTime>,
    is_serving: bool,
}

impl InstanceDirectory {
    /// A directory that knows nobody. `regions` maps failure domains to regions.
    #[must_use]
    pub fn new(own: &str, regions: Arc<BTreeMap<String, String>>) -> Self {
        Self {
            own: own.to_owned(),
            regions,
            registered: BTreeMap::new(),
            heard: HashMap::new(),
            watched_since: HashMap::new(),
            is_serving: false,
        }
    }

    /// Whether callers may be sent to this instance itself.
    pub const fn set_serving(&mut self, is_serving: bool) {
        self.is_serving = is_serving;
    }

    /// An instance registered, or registered anew.
    pub fn register(&mut self, record: InstanceRecord) {
        self.registered.insert(record.name.clone(), record);
    }

    /// An instance withdrew its registration.
    pub fn withdraw(&mut self, name: &str) {
        self.registered.remove(name);
        self.heard.remove(name);
    }

    /// Puts a whole list in place of what is registered.
    pub fn replace(&mut self, records: Vec<InstanceRecord>) {
        self.registered = records.into_iter().map(|record| (record.name.clone(), record)).collect();
        self.heard.retain(|name, _| self.registered.contains_key(name));
    }

    /// A heartbeat came.
    pub fn record_heartbeat(&mut self, now: PolicyTime, name: &str, is_serving: bool) {
        let state = HeardState { at: now, is_serving };
        match self.heard.get_mut(name) {
            Some(heard) => *heard = state,
            None => {
                self.heard.insert(name.to_owned(), state);
            }
        }
    }

    /// Whether this instance itself is registered.
    #[must_use]
    pub fn is_registered(&self) -> bool {
        self.registered.contains_key(&self.own)
    }

    /// Instances of the own region whose registrations this instance is to remove, because they
    /// gave no sign of life for long and it is the next one in the order of names that lives.
    pub fn abandoned(&mut self, now: PolicyTime) -> Vec<String> {
        self.watched_since.retain(|name, _| self.registered.contains_key(name));
        for name in self.registered.keys() {
            if !self.watched_since.contains_key(name) {
                self.watched_since.insert(name.clone(), now);
            }
        }
        let live = self.live(now);
        let own_region = self.registered.get(&self.own).map(|own| self.region_of(&own.domain));
        let neighbours: Vec<&InstanceRecord> = self
            .registered
            .values()
            .filter(|record| Some(self.region_of(&record.domain)) == own_region)
            .collect();
        let is_live = |name: &str| live.iter().any(|view| view.record.name == name);
        let is_mine = |place: usize| {
            let mut following = neighbours.iter().cycle().skip(place + 1).take(neighbours.len());
            following.find(|record| is_live(&record.name)).is_some_and(|next| next.name == self.own)
        };
        let abandoned = neighbours.iter().enumerate().filter(|(place, record)| {
            record.name != self.own && self.is_silent(now, &record.name) && is_mine(*place)
        });
        abandoned.map(|(_, record)| record.name.clone()).collect()
    }

    fn is_silent(&self, now: PolicyTime, name: &str) -> bool {
        let heard = self.heard.get(name).map(|heard| heard.at);
        let sign = heard.max(self.watched_since.get(name).copied());
        sign.is_some_and(|at| now.since(at) > ABANDONED_AFTER)
    }

    /// Names of all registered instances, this one included; dead ones stay until they withdraw,
    /// so that a share divided by their number never grows by a death.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.registered.keys().cloned().collect();
        if !self.registered.contains_key(&self.own) {
            names.push(self.own.clone());
        }
        names
    }

    /// Time between heartbeats to one instance.
    #[must_use]
    pub fn heartbeat_interval(&self) -> Duration {
        let count = u32::try_from(self.registered.len()).unwrap_or(u32::MAX);
        (PERIOD_PER_INSTANCE.saturating_mul(count)).clamp(PERIOD_SHORTEST, PERIOD_LONGEST)
    }

    /// The instances to which heartbeats go: in a large fleet the next ones in the order of names,
    /// so that everybody is heard of by equally many, and the cost of one instance stays flat.
    #[must_use]
    pub fn peers(&self) -> Vec<&InstanceRecord> {
        let mut regions: BTreeMap<&str, Vec<&InstanceRecord>> = BTreeMap::new();
        for record in self.registered.values() {
            regions.entry(self.region_of(&record.domain)).or_default().push(record);
        }
        let own_region = self.registered.get(&self.own).map(|own| self.region_of(&own.domain));
        let own_place = own_region.and_then(|region| {
            let records = regions.get(region)?;
            records.iter().position(|record| record.name == self.own)
        });
        // Before its own registration is known here, an instance is heard of by all.
        let Some(place) = own_place else {
            return self.registered.values().filter(|record| record.name != self.own).collect();
        };
        let mut peers = Vec::new();
        for (region, records) in regions {
            if Some(region) == own_region {
                let following = records.iter().cycle().skip(place + 1);
                peers.extend(following.take(OWN_FAN_OUT.min(records.len() - 1)));
            } else {
                let following = records.iter().cycle().skip(place * OTHER_FAN_OUT);
                peers.extend(following.take(OTHER_FAN_OUT.min(records.len())));
            }
        }
        peers
    }

    /// Instances that callers may be sent to: registered, heard of lately, and serving.
    #[must_use]
    pub fn live(&self, now: PolicyTime) -> Vec<InstanceView<'_>> {
        let longest = self.heartbeat_interval() * MISSING_LIMIT;
        self.registered
            .values()
            .filter(|record| {
                if record.name == self.own {
                    return self.is_serving;
                }
                self.heard
                    .get(&record.name)
                    .is_some_and(|heard| heard.is_serving && now.since(heard.at) <= longest)
            })
            .map(|record| InstanceView { record, region: self.region_of(&record.domain) })
            .collect()
    }

    fn region_of(&self, domain: &str) -> &str {
        self.regions.get(domain).map_or("", String::as_str)
    }
}
