//! The actor that applies updates to the fleet state.
//!
//! Requests only read the sets of endpoints, instances and routes; every change to them is made
//! here and is logged with its position in the source's history.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::choice::EndpointKey;
use jackdawmux_policy::fleet::endpoint_state::EndpointChange;
use jackdawmux_policy::fleet::record::{CallerLimits, ConfigRecord, FleetBounds, InstanceRecord};
use jackdawmux_policy::fleet::relay::{ReadPath, RelayTimes};
use jackdawmux_policy::fleet::routing::{KeyConflict, RouteTable};
use jackdawmux_runtime::ListenerLimits;
use kameo::Actor;
use kameo::message::{Context, Message};
use strum::IntoEnumIterator;
use tokio::sync::Notify;

use super::heartbeat::Heartbeat;
use super::retry_report::RetryReport;
use super::state::{FrontPhase, FrontState};
use super::team_permission::{AppliedReply, ReadFacts};
use crate::source::{FleetUpdate, SourcePosition, UpdateBatch, WatchTopic};

/// File descriptors reserved for files, listeners, the store and upstreams; callers' connections
/// get the others.
const RESERVED_DESCRIPTORS: usize = 600;

/// Upper bound of the idle timeout of callers' connections; callers receive a slightly shorter
/// one. Each idle connection holds its buffers, and callers that open a connection for each
/// request leave many idle ones.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(6);

/// Bytes that a forwarded request has in addition to the caller's header section.
const MAX_HOP_HEADER_BYTES: usize = 1_024;

/// Time for which a peer may be ahead before the source is asked again: the instances read each
/// change at slightly different times.
const BEHIND_GRACE: Duration = Duration::from_millis(500);

/// Keys stated by two teams that are logged for one version of the configuration.
const MAX_LOGGED_CONFLICTS: usize = 8;
/// Interval between log lines with the shares of the regions.
const SHARES_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The only task that applies updates to the fleet state.
#[derive(Actor, Debug)]
pub(crate) struct StateActor {
    pub(super) state: Arc<FrontState>,
    /// When a peer was last asked what it knows from before a restore.
    pub(super) restore_asked_at: Option<PolicyTime>,
    /// When the shares of the regions were last logged.
    shares_logged_at: Option<PolicyTime>,
    retry_report: RetryReport,
}

impl StateActor {
    pub(crate) fn new(state: Arc<FrontState>) -> Self {
        let retry_report = RetryReport::default();
        Self { state, restore_asked_at: None, shares_logged_at: None, retry_report }
    }
}

/// Updates from the source.
#[derive(Debug)]
pub(crate) struct ApplyUpdates {
    pub(crate) topic: WatchTopic,
    pub(crate) batch: UpdateBatch,
    /// How the batch was read. Entries missing from a full list are removed.
    pub(crate) read: ReadFacts,
}

/// The source answers calls again after an outage.
#[derive(Debug)]
pub(crate) struct SourceRecovered {
    /// Length of the outage.
    pub(crate) outage: Duration,
}

/// A heartbeat from another instance.
#[derive(Debug)]
pub(crate) struct HeartbeatReceived(pub(crate) Heartbeat);

/// Starts the periodic maintenance: removes lapsed endpoints and closes expired connections.
#[derive(Debug)]
pub(crate) struct MaintenanceTick;

/// The bounds in the settings changed.
#[derive(Debug)]
pub(crate) struct SetBounds(pub(crate) FleetBounds);

impl Message<ApplyUpdates> for StateActor {
    type Reply = ();

    async fn handle(&mut self, message: ApplyUpdates, _context: &mut Context<Self, ()>) {
        let ApplyUpdates { topic, batch, read } = message;
        let now = self.state.clock.now();
        let position = batch.position;
        let newest = SourcePosition { era: position.era, revision: batch.newest_revision };
        if !self.state.steering().record_position(now, topic, position) {
            log::info!("event=reply-discarded topic={topic} at={position} reason=past-era");
            return;
        }
        let reply = AppliedReply::new(topic, &batch, read);
        self.log_read(topic, &batch, &read);
        if read.is_full_list {
            self.apply_list(topic, batch);
        } else {
            for update in batch.updates {
                self.apply_update(update, position);
            }
        }
        self.state.freshness().record_applied(topic, newest);
        if self.state.permission.record_reply(reply, self.state.config_version()) {
            self.state.relay.wake_readers();
        }
        self.refresh_phase();
    }
}

impl Message<SourceRecovered> for StateActor {
    type Reply = ();

    async fn handle(&mut self, message: SourceRecovered, _context: &mut Context<Self, ()>) {
        let now = self.state.clock.now();
        self.state.steering().record_source_recovery(now, message.outage);
    }
}

impl Message<HeartbeatReceived> for StateActor {
    type Reply = ();

    async fn handle(&mut self, message: HeartbeatReceived, _context: &mut Context<Self, ()>) {
        let HeartbeatReceived(heartbeat) = message;
        let now = self.state.clock.now();
        let is_connected = heartbeat.source_connected_ms > 0;
        self.state.directory().record_heartbeat(
            now,
            &heartbeat.instance,
            heartbeat.is_serving,
            is_connected,
        );
        self.state.directory().set_isolated(&heartbeat.instance, heartbeat.is_isolated);
        let rate = f64::from(heartbeat.request_rate);
        self.state.directory().record_request_rate(&heartbeat.instance, rate);
        let connected = Duration::from_millis(heartbeat.source_connected_ms);
        let domain = self.state.directory().domain(&heartbeat.instance).map(str::to_owned);
        let mut steering = self.state.steering();
        if let Some(domain) = domain {
            steering.record_demands(now, &heartbeat.instance, &domain, &heartbeat.demands);
        }
        steering.record_peer_source_connection(now, connected);
        steering.crashes_mut().apply_peer_crashes(now, &heartbeat.instance, &heartbeat.crashes);
        let own = steering.table().map_or(0, |table| table.version());
        drop(steering);
        self.state.permission.record_peer(heartbeat.config_version);
        self.request_restore_facts(now, &heartbeat.instance);
        let mut config_freshness = self.state.config_freshness();
        config_freshness.record_peer(now, own, &heartbeat.instance, heartbeat.config_version);
        drop(config_freshness);
        let mut freshness = self.state.freshness();
        for (topic, newest) in WatchTopic::iter().zip(heartbeat.newest_changes) {
            freshness.record_peer(now, topic, newest);
        }
    }
}

impl Message<MaintenanceTick> for StateActor {
    type Reply = ();

    async fn handle(&mut self, _message: MaintenanceTick, _context: &mut Context<Self, ()>) {
        let now = self.state.clock.now();
        let lapsed = self.state.steering().tick(now);
        for id in lapsed {
            log::info!("event=endpoint-changed endpoint={id} change=left reason=lapse-not-renewed");
            self.state.pool.close_idle(EndpointKey::of(&id));
        }
        self.state.pool.close_expired();
        self.state.peers.close_expired();
        self.state.check_reachability(now);
        self.update_demand(now);
        self.log_shares(now);
        self.report_retries(now);
        if self.state.steering().take_settled(now) {
            log::info!("event=restore-settled");
            self.state.is_behind.iter().for_each(Notify::notify_one);
        }
        self.apply_standing(now);
        self.check_config(now);
        self.state.check_permission();
        let is_direct = self.state.read_path() == ReadPath::Direct;
        let times = RelayTimes::new(self.state.settings.bounds.update_deadline);
        let relay_delay = if is_direct { Duration::ZERO } else { times.batch_delay };
        let mut freshness = self.state.freshness();
        for topic in WatchTopic::iter() {
            if let Some(age) = freshness.reply_age(now, topic) {
                self.state.metrics.set_topic_reply_age(topic.into(), age);
            }
            if freshness.take_behind(now, topic, BEHIND_GRACE + relay_delay) {
                self.state.is_behind[topic as usize].notify_one();
            }
        }
    }
}

impl Message<SetBounds> for StateActor {
    type Reply = ();

    async fn handle(&mut self, message: SetBounds, _context: &mut Context<Self, ()>) {
        self.state.permission.set_bounds(&message.0);
        self.state.steering().set_bounds(message.0);
    }
}

impl StateActor {
    /// Logs a read that brought updates: how long the topic was not read before it, how long the reply
    /// took, and how long the updates waited to be applied.
    fn log_read(&self, topic: WatchTopic, batch: &UpdateBatch, read: &ReadFacts) {
        if !read.is_full_list && batch.updates.is_empty() {
            return;
        }
        let event = if read.is_full_list { "list-read" } else { "updates-read" };
        log::info!(
            "event={event} topic={topic} at={} count={} is_relayed={} idle_ms={} took_ms={} queued_ms={}",
            batch.position,
            batch.updates.len(),
            batch.is_relayed,
            read.idle.as_millis(),
            read.received.since(read.started).as_millis(),
            self.state.permission.now().since(read.received).as_millis()
        );
    }

    /// Logs the shares of the regions from time to time, for services that are steered by expected wait.
    fn log_shares(&mut self, now: PolicyTime) {
        if self.shares_logged_at.is_some_and(|at| now.since(at) < SHARES_LOG_INTERVAL) {
            return;
        }
        self.shares_logged_at = Some(now);
        for (service, shares, work) in self.state.steering().steered_services(now) {
            let shares: Vec<String> = shares.iter().map(|share| format!("{share:.2}")).collect();
            log::info!(
                "event=region-shares service={service} shares={} usual_work_ms={}",
                shares.join(","),
                work.unwrap_or_default().as_millis()
            );
        }
    }

    fn report_retries(&mut self, now: PolicyTime) {
        for (service, figures) in self.state.steering().retry_figures(now) {
            let metrics = self.state.metrics.retry_budget();
            self.retry_report.record(now, metrics, service, figures);
        }
    }

    fn apply_list(&self, topic: WatchTopic, batch: UpdateBatch) {
        let now = self.state.clock.now();
        let position = batch.position;
        match topic {
            WatchTopic::Config => {
                for update in batch.updates {
                    self.apply_update(update, position);
                }
            }
            WatchTopic::Endpoints => {
                let records = batch.updates.into_iter().filter_map(|update| match update {
                    FleetUpdate::Endpoint(record, revision) => {
                        Some((record, SourcePosition { era: position.era, revision }))
                    }
                    _ => None,
                });
                let changes = self.state.steering().replace_endpoints(now, records.collect());
                for (id, change) in changes {
                    self.handle_endpoint_change(&id, change, position);
                }
            }
            WatchTopic::Evacuations => {
                let domains: Vec<String> = batch
                    .updates
                    .into_iter()
                    .filter_map(|update| match update {
                        FleetUpdate::EvacuationStarted(domain) => Some(domain),
                        _ => None,
                    })
                    .collect();
                self.state.steering().replace_evacuated(now, &domains);
            }
            WatchTopic::Instances => {
                let records = batch.updates.into_iter().filter_map(|update| match update {
                    FleetUpdate::Instance(record) => Some(record),
                    _ => None,
                });
                let records: Vec<InstanceRecord> = records.collect();
                self.check_registration(&records, position);
                let is_settling = self.state.steering().is_settling(now);
                let mut directory = self.state.directory();
                directory.replace(records, is_settling);
                self.state.cap_service.replace(directory.registrations());
            }
        }
    }

    fn apply_update(&self, update: FleetUpdate, position: SourcePosition) {
        let now = self.state.clock.now();
        match update {
            FleetUpdate::Config(config) => {
                self.apply_config(*config, &format_args!("at={position}"));
            }
            FleetUpdate::Endpoint(record, revision) => {
                let id = record.id.clone();
                let written_at = SourcePosition { era: position.era, revision };
                let change = self.state.steering().apply_written_endpoint(now, record, written_at);
                self.handle_endpoint_change(&id, change, position);
            }
            FleetUpdate::EndpointRemoved(id) => {
                let change = self.state.steering().remove_endpoint(now, &id);
                self.handle_endpoint_change(&id, change, position);
            }
            FleetUpdate::EvacuationStarted(domain) => self.set_evacuated(&domain, true, position),
            FleetUpdate::EvacuationEnded(domain) => self.set_evacuated(&domain, false, position),
            FleetUpdate::Instance(record) => {
                log::info!(
                    "event=instance-registered instance={} peer={} at={position}",
                    record.name,
                    record.address
                );
                let mut directory = self.state.directory();
                self.state.cap_service.register(&record, directory.region_of(&record.domain));
                directory.register(record);
            }
            FleetUpdate::InstanceRemoved(name) => {
                log::info!("event=instance-withdrawn instance={name} at={position}");
                self.state.directory().withdraw(&name);
                self.state.cap_service.withdraw(&name);
                if name == self.state.settings.instance {
                    self.request_registration();
                }
            }
        }
    }

    fn update_demand(&self, now: PolicyTime) {
        let rate = f64::from(self.state.request_rate());
        let mut directory = self.state.directory();
        directory.record_request_rate(&self.state.settings.instance, rate);
        directory.update_demand(now);
    }

    /// Requests another registration if a list that is new enough to contain the own one does not.
    fn check_registration(&self, records: &[InstanceRecord], position: SourcePosition) {
        let registered_at = *self.state.registered_at();
        let is_own = |record: &InstanceRecord| {
            record.name == self.state.settings.instance
                && record.incarnation == self.state.incarnation
        };
        let is_due = registered_at.is_some_and(|registered_at| position >= registered_at);
        if is_due && !records.iter().any(is_own) {
            self.request_registration();
        }
    }

    fn request_registration(&self) {
        let is_registered = self.state.registered_at().take().is_some();
        if is_registered && self.state.phase() != FrontPhase::Leaving {
            log::warn!("event=registration-lost instance={}", self.state.settings.instance);
            self.state.registration_lost.notify_one();
        }
    }

    /// Applies a configuration if it is newer. `origin` says where it was read, for the log.
    pub(super) fn apply_config(&self, config: ConfigRecord, origin: &dyn Display) {
        let (version, limits) = (config.version, config.limits);
        let (routes, services) = (config.routes.len(), config.services.len());
        if !self.state.steering().is_newer_config(version) {
            log::info!("event=config-ignored version={version} {origin} reason=not-newer");
            return;
        }
        // Indexed before the steering state is locked, because requests wait for that lock.
        let table = Arc::new(RouteTable::new(config));
        let has_teams = table.has_teams();
        // Set before the configuration is in force: no request may use its keys without permission.
        self.state.permission.set_has_teams(has_teams || self.state.has_teams());
        self.state.steering().apply_table(Arc::clone(&table));
        self.state.permission.set_has_teams(has_teams);
        self.state.cap_service.set_teams(table.config().teams.as_deref().unwrap_or_default());
        self.state.metrics.set_config_version(version);
        self.apply_limits(&limits);
        let conflicts = table.key_conflicts();
        for KeyConflict { holder, other } in conflicts.iter().take(MAX_LOGGED_CONFLICTS) {
            log::warn!(
                "event=team-key-shared version={version} team={holder:?} refused={other:?} count={}",
                conflicts.len()
            );
        }
        log::info!(
            "event=config-in-force version={version} routes={routes} services={services} \
             {origin}"
        );
    }

    fn apply_limits(&self, limits: &CallerLimits) {
        let max_connections =
            self.state.settings.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(1);
        let limits = ListenerLimits {
            max_connections,
            max_header_bytes: limits.max_header_bytes,
            header_timeout: limits.header_timeout,
            idle_timeout: limits.idle_timeout.min(MAX_IDLE_TIMEOUT),
        };
        self.state.limits.send_replace(limits);
        let max_header_bytes = limits.max_header_bytes.saturating_add(MAX_HOP_HEADER_BYTES);
        self.state.peer_limits.send_replace(ListenerLimits { max_header_bytes, ..limits });
    }

    fn set_evacuated(&self, domain: &str, is_evacuated: bool, position: SourcePosition) {
        let now = self.state.clock.now();
        self.state.steering().set_evacuated(now, domain, is_evacuated);
        log::info!(
            "event=evacuation-changed failure_domain={domain} is_evacuated={is_evacuated} \
             at={position}"
        );
    }

    fn handle_endpoint_change(&self, id: &str, change: EndpointChange, position: SourcePosition) {
        match change {
            EndpointChange::Same | EndpointChange::Updated => return,
            EndpointChange::Left | EndpointChange::Draining | EndpointChange::Restarted => {
                self.state.pool.close_idle(EndpointKey::of(id));
            }
            EndpointChange::Joined
            | EndpointChange::Ready
            | EndpointChange::Lapsed
            | EndpointChange::Outdated => {}
        }
        log::info!("event=endpoint-changed endpoint={id} change={change} at={position}");
    }

    /// Applies outdated registrations that their endpoints must be renewing.
    fn apply_standing(&self, now: PolicyTime) {
        let Some(age) = self.state.freshness().reply_age(now, WatchTopic::Endpoints) else {
            return;
        };
        let changes = self.state.steering().apply_standing(now, now.before(age));
        for (id, change) in changes {
            if change != EndpointChange::Same {
                self.state.pool.close_idle(EndpointKey::of(&id));
            }
            log::warn!("event=endpoint-renumbered endpoint={id} change={change}");
        }
    }

    /// Divides shares among the instances that are currently registered, and enters the serving
    /// phase once a configuration and at least one endpoint are known.
    pub(super) fn refresh_phase(&self) {
        let directory = self.state.directory();
        let (names, domains) = (directory.names(), directory.domains());
        drop(directory);
        let now = self.state.clock.now();
        let mut steering = self.state.steering();
        if let Some(names) = names {
            steering.set_instances(now, names);
        }
        steering.set_instance_domains(domains.iter().map(String::as_str));
        let is_ready = steering.table().is_some() && steering.endpoint_count() > 0;
        drop(steering);
        if is_ready {
            self.state.enter_phase(FrontPhase::Serving);
        }
    }
}
