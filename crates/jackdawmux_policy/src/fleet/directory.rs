//! Directory of the instances of this system: which are registered, which send heartbeats, and
//! which are leaving.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::placement::MAX_LOOKUP_INSTANCES;
use super::record::InstanceRecord;
use super::relay::{ReadPath, RelaySuspicions, read_path, relay_group};
use crate::clock::PolicyTime;

/// Minimum interval between heartbeats to one instance.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum interval between heartbeats to one instance, which bounds the cost of a large fleet.
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time that each registered instance adds to the heartbeat interval.
const INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(10);
/// Instances of the own region that receive heartbeats. Together with this instance they are as
/// many as a lookup returns.
const OWN_REGION_FAN_OUT: usize = MAX_LOOKUP_INSTANCES - 1;
/// Instances of each other region that receive heartbeats: enough to return some to callers from a
/// region whose own instances are unreachable.
const OTHER_REGION_FAN_OUT: usize = 8;
/// Consecutive heartbeats that may be missed before lookups no longer return an instance. Single
/// datagrams are lost now and then.
const MAX_MISSED_HEARTBEATS: u32 = 5;

/// Time without a heartbeat after which a registration is removed. It is far longer than any
/// restart, so that only instances that were removed for good lose their share of the limits that
/// are divided among the instances.
const ABANDONED_TIMEOUT: Duration = Duration::from_secs(600);

/// How long the highest demand of a region counts. Shorter pauses in the demand do not move callers
/// to other instances.
const DEMAND_HOLD: Duration = Duration::from_secs(20);

/// Highest recent demand of a region.
#[derive(Clone, Copy, Debug)]
struct DemandPeak {
    rate: f64,
    at: PolicyTime,
}

/// A registered instance together with its region.
#[derive(Clone, Copy, Debug)]
pub struct InstanceView<'view> {
    /// The registration of the instance.
    pub record: &'view InstanceRecord,
    /// Region of the instance's failure domain; empty if the failure domain is unknown.
    pub region: &'view str,
    /// Whether the instance has stated that it reaches no endpoint.
    pub is_isolated: bool,
}

/// State reported by the latest heartbeat of an instance.
#[derive(Clone, Copy, Debug)]
struct HeartbeatState {
    at: PolicyTime,
    is_serving: bool,
    /// Whether any heartbeat so far said that it serves. An instance that no longer does is
    /// leaving; one that never did is starting.
    has_served: bool,
    /// Whether the source of updates answers it.
    is_connected: bool,
    /// Requests per second that it receives from callers.
    request_rate: f64,
}

/// The instances as seen by this instance.
#[derive(Clone, Debug)]
pub struct InstanceDirectory {
    own: String,
    regions: Arc<BTreeMap<String, String>>,
    registered: BTreeMap<String, InstanceRecord>,
    /// Whether a complete list of the registrations has been read.
    is_listed: bool,
    heartbeats: HashMap<String, HeartbeatState>,
    /// Instances, possibly this one, that reach no endpoint.
    isolated: HashSet<String>,
    /// When each registration was first seen, for instances that have never sent a heartbeat.
    first_seen: HashMap<String, PolicyTime>,
    is_serving: bool,
    /// Requests per second that this instance receives from callers.
    request_rate: f64,
    /// Highest recent demand by region, in requests per second.
    demand: HashMap<String, DemandPeak>,
}

impl InstanceDirectory {
    /// Creates an empty directory for the instance `own`. `regions` maps failure domains to regions.
    #[must_use]
    pub fn new(own: &str, regions: Arc<BTreeMap<String, String>>) -> Self {
        Self {
            own: own.to_owned(),
            regions,
            registered: BTreeMap::new(),
            is_listed: false,
            heartbeats: HashMap::new(),
            isolated: HashSet::new(),
            first_seen: HashMap::new(),
            is_serving: false,
            request_rate: 0.0,
            demand: HashMap::new(),
        }
    }

    /// Sets whether lookups may return this instance itself.
    pub const fn set_serving(&mut self, is_serving: bool) {
        self.is_serving = is_serving;
    }

    /// Sets whether an instance, possibly this one, reaches no endpoint.
    pub fn set_isolated(&mut self, name: &str, is_isolated: bool) {
        if is_isolated {
            self.isolated.insert(name.to_owned());
        } else {
            self.isolated.remove(name);
        }
    }

    /// Adds or replaces the registration of an instance.
    pub fn register(&mut self, record: InstanceRecord) {
        self.registered.insert(record.name.clone(), record);
    }

    /// Removes an instance whose registration was withdrawn.
    pub fn withdraw(&mut self, name: &str) {
        self.registered.remove(name);
        self.heartbeats.remove(name);
        self.isolated.remove(name);
    }

    /// Replaces all registrations by a complete list. `keeps_missing` is set after a restore of the
    /// source, while instances that the list lacks may not have registered again yet.
    pub fn replace(&mut self, records: Vec<InstanceRecord>, keeps_missing: bool) {
        self.is_listed = true;
        if !keeps_missing {
            self.registered.clear();
        }
        let named = records.into_iter().map(|record| (record.name.clone(), record));
        self.registered.extend(named);
        self.heartbeats.retain(|name, _| self.registered.contains_key(name));
        self.isolated.retain(|name| *name == self.own || self.registered.contains_key(name));
    }

    /// Records a heartbeat of an instance, whether that instance serves callers and whether the source
    /// of updates answers it.
    pub fn record_heartbeat(
        &mut self,
        now: PolicyTime,
        name: &str,
        is_serving: bool,
        is_connected: bool,
    ) {
        let has_served = is_serving;
        let state =
            HeartbeatState { at: now, is_serving, has_served, is_connected, request_rate: 0.0 };
        match self.heartbeats.get_mut(name) {
            Some(heartbeat) => {
                *heartbeat = HeartbeatState {
                    has_served: has_served || heartbeat.has_served,
                    request_rate: heartbeat.request_rate,
                    ..state
                };
            }
            None => {
                self.heartbeats.insert(name.to_owned(), state);
            }
        }
    }

    /// Records the requests per second that an instance, possibly this one, receives from callers.
    pub fn record_request_rate(&mut self, name: &str, rate: f64) {
        if name == self.own {
            self.request_rate = rate;
        } else if let Some(heartbeat) = self.heartbeats.get_mut(name) {
            heartbeat.request_rate = rate;
        }
    }

    /// Updates the highest recent demand of each region from the rates of the live instances.
    pub fn update_demand(&mut self, now: PolicyTime) {
        let mut current: HashMap<String, f64> = HashMap::new();
        for view in self.live(now) {
            let name = &view.record.name;
            let heartbeat = self.heartbeats.get(name);
            let rate = if *name == self.own {
                self.request_rate
            } else {
                heartbeat.map_or(0.0, |heartbeat| heartbeat.request_rate)
            };
            *current.entry(view.region.to_owned()).or_default() += rate;
        }
        self.demand.retain(|region, _| current.contains_key(region));
        for (region, rate) in current {
            let peak = self.demand.entry(region).or_insert(DemandPeak { rate, at: now });
            if rate >= peak.rate || now.since(peak.at) > DEMAND_HOLD {
                *peak = DemandPeak { rate, at: now };
            }
        }
    }

    /// Returns the highest recent demand of a region, in requests per second.
    #[must_use]
    pub fn demand(&self, region: &str) -> f64 {
        self.demand.get(region).map_or(0.0, |peak| peak.rate)
    }

    /// Returns whether this instance itself is registered.
    #[must_use]
    pub fn is_registered(&self) -> bool {
        self.registered.contains_key(&self.own)
    }

    /// Returns the instances of the own region whose registrations this instance must remove: they
    /// have sent no heartbeat for `ABANDONED_TIMEOUT`, and this instance is the next live one
    /// after them in the order of names.
    pub fn abandoned(&mut self, now: PolicyTime) -> Vec<String> {
        self.first_seen.retain(|name, _| self.registered.contains_key(name));
        for name in self.registered.keys() {
            if !self.first_seen.contains_key(name) {
                self.first_seen.insert(name.clone(), now);
            }
        }
        let live = self.live(now);
        let own_region = self.registered.get(&self.own).map(|own| self.region_of(&own.domain));
        let region_instances: Vec<&InstanceRecord> = self
            .registered
            .values()
            .filter(|record| Some(self.region_of(&record.domain)) == own_region)
            .collect();
        let is_live = |name: &str| live.iter().any(|view| view.record.name == name);
        let is_assigned_here = |position: usize| {
            let mut following =
                region_instances.iter().cycle().skip(position + 1).take(region_instances.len());
            following.find(|record| is_live(&record.name)).is_some_and(|next| next.name == self.own)
        };
        let abandoned = region_instances.iter().enumerate().filter(|(position, record)| {
            record.name != self.own
                && self.is_unresponsive(now, &record.name)
                && is_assigned_here(*position)
        });
        abandoned.map(|(_, record)| record.name.clone()).collect()
    }

    fn is_unresponsive(&self, now: PolicyTime, name: &str) -> bool {
        let heartbeat_at = self.heartbeats.get(name).map(|heartbeat| heartbeat.at);
        let last_seen = heartbeat_at.max(self.first_seen.get(name).copied());
        last_seen.is_some_and(|at| now.since(at) > ABANDONED_TIMEOUT)
    }

    /// Returns the names of all registered instances; `None` until a complete list has been read and this
    /// instance is in it. A list from before its registration may lack the others as well. Crashed
    /// instances stay until their registration is removed, so that a crash does not increase the shares
    /// of the others.
    #[must_use]
    pub fn names(&self) -> Option<Vec<String>> {
        let is_known = self.is_listed && self.is_registered();
        is_known.then(|| self.registered.keys().cloned().collect())
    }

    /// Returns the failure domain of a registered instance.
    #[must_use]
    pub fn domain(&self, name: &str) -> Option<&str> {
        self.registered.get(name).map(|record| record.domain.as_str())
    }

    /// Returns the failure domains of all registered instances, one entry for each.
    #[must_use]
    pub fn domains(&self) -> Vec<String> {
        self.registered.values().map(|record| record.domain.clone()).collect()
    }

    /// Returns the address at which a registered instance receives heartbeats and reads.
    #[must_use]
    pub fn heartbeat_address(&self, name: &str) -> Option<SocketAddr> {
        self.registered.get(name).map(|record| record.heartbeat_address)
    }

    /// Returns the interval between heartbeats to one instance, which grows with the fleet.
    #[must_use]
    pub fn heartbeat_interval(&self) -> Duration {
        let count = u32::try_from(self.registered.len()).unwrap_or(u32::MAX);
        (INTERVAL_PER_INSTANCE.saturating_mul(count))
            .clamp(MIN_HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL)
    }

    /// Selects from where this instance reads updates. An instance that `is_starting` waits until it
    /// has heard all others of its group, as they would else select different relays.
    #[must_use]
    pub fn read_path(
        &self,
        now: PolicyTime,
        suspicions: &RelaySuspicions,
        is_starting: bool,
    ) -> ReadPath {
        let group = self.relay_group();
        let timeout = self.heartbeat_timeout();
        let is_live = |record: &InstanceRecord| {
            let heartbeat = self.heartbeats.get(&record.name);
            heartbeat.is_some_and(|heartbeat| {
                now.since(heartbeat.at) <= timeout
                    && (heartbeat.is_serving || !heartbeat.has_served)
                    && !suspicions.contains(now, &record.name)
            })
        };
        let is_heard = |record: &InstanceRecord| {
            record.name == self.own || self.heartbeats.contains_key(&record.name)
        };
        if is_starting && !group.iter().all(|record| is_heard(record)) {
            return ReadPath::Undecided;
        }
        let is_connected = |record: &InstanceRecord| {
            self.heartbeats.get(&record.name).is_some_and(|heartbeat| heartbeat.is_connected)
        };
        // During an outage of the source nobody is connected, and the relay stays the same.
        let is_outage = !group.iter().any(|record| is_live(record) && is_connected(record));
        read_path(&self.own, &group, |record| {
            is_live(record) && (is_outage || is_connected(record))
        })
    }

    /// Returns the instances with which this one shares a relay, including itself; empty until it
    /// knows its own registration.
    fn relay_group(&self) -> Vec<&InstanceRecord> {
        let Some(own) = self.registered.get(&self.own) else {
            return Vec::new();
        };
        let domain: Vec<&InstanceRecord> =
            self.registered.values().filter(|record| record.domain == own.domain).collect();
        relay_group(&self.own, &domain)
    }

    fn heartbeat_timeout(&self) -> Duration {
        self.heartbeat_interval() * MAX_MISSED_HEARTBEATS
    }

    /// Returns the instances that receive heartbeats from this one. In a large fleet these are the
    /// next ones in the order of names, so that every instance is received by about equally many
    /// others and the cost per instance stays constant, and those of the own relay group.
    #[must_use]
    pub fn peers(&self) -> Vec<&InstanceRecord> {
        let mut regions: BTreeMap<&str, Vec<&InstanceRecord>> = BTreeMap::new();
        for record in self.registered.values() {
            regions.entry(self.region_of(&record.domain)).or_default().push(record);
        }
        let own_region = self.registered.get(&self.own).map(|own| self.region_of(&own.domain));
        let own_position = own_region.and_then(|region| {
            let records = regions.get(region)?;
            records.iter().position(|record| record.name == self.own)
        });
        // Until an instance knows its own registration, it sends heartbeats to all others.
        let Some(position) = own_position else {
            return self.registered.values().filter(|record| record.name != self.own).collect();
        };
        let mut peers: Vec<&InstanceRecord> = Vec::new();
        for (region, records) in regions {
            if Some(region) == own_region {
                let group = self.relay_group();
                let is_member =
                    |record: &InstanceRecord| group.iter().any(|member| member.name == record.name);
                let members = group.iter().filter(|member| member.name != self.own);
                peers.extend(members);
                let following = records.iter().cycle().skip(position + 1).take(records.len() - 1);
                let others = following.filter(|record| !is_member(record));
                peers.extend(others.take(OWN_REGION_FAN_OUT.saturating_sub(group.len() - 1)));
            } else {
                let following = records.iter().cycle().skip(position * OTHER_REGION_FAN_OUT);
                peers.extend(following.take(OTHER_REGION_FAN_OUT.min(records.len())));
            }
        }
        peers
    }

    /// Returns the instances that lookups may return: registered, with a recent heartbeat, and
    /// serving.
    #[must_use]
    pub fn live(&self, now: PolicyTime) -> Vec<InstanceView<'_>> {
        let timeout = self.heartbeat_timeout();
        self.registered
            .values()
            .filter(|record| {
                if record.name == self.own {
                    return self.is_serving;
                }
                self.heartbeats.get(&record.name).is_some_and(|heartbeat| {
                    heartbeat.is_serving && now.since(heartbeat.at) <= timeout
                })
            })
            .map(|record| InstanceView {
                record,
                region: self.region_of(&record.domain),
                is_isolated: self.isolated.contains(&record.name),
            })
            .collect()
    }

    /// Returns all registrations with the regions of the instances.
    pub fn registrations(&self) -> impl Iterator<Item = (&InstanceRecord, &str)> {
        self.registered.values().map(|record| (record, self.region_of(&record.domain)))
    }

    /// Returns the region of a failure domain; empty if the failure domain is unknown.
    #[must_use]
    pub fn region_of(&self, domain: &str) -> &str {
        self.regions.get(domain).map_or("", String::as_str)
    }
}
