//! The actor that changes what the process believes about the deployment.
//!
//! Requests only read; every change of belief passes through here and is logged with its source.

use std::sync::Arc;
use std::time::Duration;

use jackdawmux_policy::fleet::choice::EndpointKey;
use jackdawmux_policy::fleet::endpoint_state::EndpointChange;
use jackdawmux_policy::fleet::record::{CallerLimits, ConfigRecord, FleetBounds};
use jackdawmux_runtime::ListenerLimits;
use kameo::Actor;
use kameo::message::{Context, Message};

use super::heartbeat::Heartbeat;
use super::state::{FrontPhase, FrontState};
use crate::source::{FleetUpdate, UpdateBatch, WatchTopic};

/// Descriptors kept for files, listeners, the store and upstreams.
const DESCRIPTORS_KEPT: usize = 600;

/// Longest time for which a caller's connection may be idle; callers are told a little less. Each
/// idle connection holds its buffers, and callers that open one for each request leave many.
const IDLE_LONGEST: Duration = Duration::from_secs(6);

/// The only writer of what is believed.
#[derive(Actor, Debug)]
pub(crate) struct FleetActor {
    state: Arc<FrontState>,
}

impl FleetActor {
    pub(crate) fn new(state: Arc<FrontState>) -> Self {
        Self { state }
    }
}

/// Facts from the source.
#[derive(Debug)]
pub(crate) struct LearnNews {
    pub(crate) topic: WatchTopic,
    pub(crate) batch: UpdateBatch,
    /// Whether this is the whole list: what is not in it is gone.
    pub(crate) is_whole: bool,
}

/// The source answers again after an outage.
#[derive(Debug)]
pub(crate) struct NoteSourceBack {
    /// How long it was away.
    pub(crate) outage: Duration,
}

/// A heartbeat of another instance.
#[derive(Debug)]
pub(crate) struct HearHeartbeat(pub(crate) Heartbeat);

/// Regular upkeep.
#[derive(Debug)]
pub(crate) struct MaintenanceTick;

/// The settings changed.
#[derive(Debug)]
pub(crate) struct ChangeBounds(pub(crate) FleetBounds);

impl Message<LearnNews> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, message: LearnNews, _context: &mut Context<Self, ()>) {
        let LearnNews { topic, batch, is_whole } = message;
        let was_registered = self.state.directory().is_registered();
        let position = batch.position;
        if is_whole {
            log::info!("event=list-read topic={topic} at={position} count={}", batch.updates.len());
            self.learn_whole(topic, batch);
        } else {
            for update in batch.updates {
                self.learn_one(update, position);
            }
        }
        self.settle();
        let is_lost = was_registered && !self.state.directory().is_registered();
        if is_lost && self.state.phase() == FrontPhase::Serving {
            log::warn!("event=registration-lost instance={}", self.state.settings.instance);
            self.state.registration_lost.notify_one();
        }
    }
}

impl Message<NoteSourceBack> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, message: NoteSourceBack, _context: &mut Context<Self, ()>) {
        let now = self.state.clock.now();
        self.state.steering().record_store_recovery(now, message.outage);
    }
}

impl Message<HearHeartbeat> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, message: HearHeartbeat, _context: &mut Context<Self, ()>) {
        let HearHeartbeat(heartbeat) = message;
        let now = self.state.clock.now();
        self.state.directory().record_heartbeat(now, &heartbeat.instance, heartbeat.is_serving);
        let held = Duration::from_millis(heartbeat.source_held_ms);
        let mut steering = self.state.steering();
        steering.record_peer_store_contact(now, held);
        steering.crashes_mut().apply_peer_crashes(now, &heartbeat.instance, &heartbeat.crashes);
    }
}

impl Message<MaintenanceTick> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, _message: MaintenanceTick, _context: &mut Context<Self, ()>) {
        let now = self.state.clock.now();
        let gone = self.state.steering().tick(now);
        for id in gone {
            log::info!("event=endpoint-changed endpoint={id} change=left reason=lapse-not-renewed");
            self.state.pool.close_idle(EndpointKey::of(&id));
        }
        self.state.pool.close_old();
    }
}

impl Message<ChangeBounds> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, message: ChangeBounds, _context: &mut Context<Self, ()>) {
        self.state.steering().set_bounds(message.0);
    }
}

impl FleetActor {
    fn learn_whole(&self, topic: WatchTopic, batch: UpdateBatch) {
        let now = self.state.clock.now();
        let position = batch.position;
        match topic {
            WatchTopic::Config => {
                for update in batch.updates {
                    self.learn_one(update, position);
                }
            }
            WatchTopic::Endpoints => {
                let records = batch.updates.into_iter().filter_map(|update| match update {
                    FleetUpdate::Endpoint(record) => Some(record),
                    _ => None,
                });
                let changes = self.state.steering().replace_endpoints(now, records.collect());
                for (id, change) in changes {
                    self.note_endpoint(&id, change, position);
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
                self.state.directory().replace(records.collect());
            }
        }
    }

    fn learn_one(&self, update: FleetUpdate, position: u64) {
        let now = self.state.clock.now();
        match update {
            FleetUpdate::Config(config) => self.learn_config(*config, position),
            FleetUpdate::Endpoint(record) => {
                let id = record.id.clone();
                let change = self.state.steering().apply_endpoint(now, record);
                self.note_endpoint(&id, change, position);
            }
            FleetUpdate::EndpointRemoved(id) => {
                let change = self.state.steering().remove_endpoint(now, &id);
                self.note_endpoint(&id, change, position);
            }
            FleetUpdate::EvacuationStarted(domain) => self.set_evacuated(&domain, true, position),
            FleetUpdate::EvacuationEnded(domain) => self.set_evacuated(&domain, false, position),
            FleetUpdate::Instance(record) => {
                log::info!(
                    "event=instance-registered instance={} peer={} at={position}",
                    record.name,
                    record.address
                );
                self.state.directory().register(record);
            }
            FleetUpdate::InstanceRemoved(name) => {
                log::info!("event=instance-withdrawn instance={name} at={position}");
                self.state.directory().withdraw(&name);
            }
        }
    }

    fn learn_config(&self, config: ConfigRecord, position: u64) {
        let (version, limits) = (config.version, config.limits);
        let (routes, services) = (config.routes.len(), config.services.len());
        if !self.state.steering().apply_config(config) {
            log::info!("event=config-ignored version={version} at={position} reason=not-newer");
            return;
        }
        self.state.metrics.set_version(version);
        self.apply_limits(&limits);
        log::info!(
            "event=config-in-force version={version} routes={routes} services={services} \
             at={position}"
        );
    }

    fn apply_limits(&self, limits: &CallerLimits) {
        let max_connections =
            self.state.settings.max_descriptors.saturating_sub(DESCRIPTORS_KEPT).max(1);
        self.state.limits.send_replace(ListenerLimits {
            max_connections,
            max_header_bytes: limits.max_header_bytes,
            header_timeout: limits.header_timeout,
            idle_timeout: limits.idle_timeout.min(IDLE_LONGEST),
        });
    }

    fn set_evacuated(&self, domain: &str, is_evacuated: bool, position: u64) {
        let now = self.state.clock.now();
        self.state.steering().set_evacuated(now, domain, is_evacuated);
        log::info!(
            "event=evacuation-changed failure_domain={domain} is_evacuated={is_evacuated} \
             at={position}"
        );
    }

    fn note_endpoint(&self, id: &str, change: EndpointChange, position: u64) {
        match change {
            EndpointChange::Same | EndpointChange::Updated => return,
            EndpointChange::Left | EndpointChange::Draining | EndpointChange::Restarted => {
                self.state.pool.close_idle(EndpointKey::of(id));
            }
            EndpointChange::Joined | EndpointChange::Ready | EndpointChange::Lapsed => {}
        }
        log::info!("event=endpoint-changed endpoint={id} change={change} at={position}");
    }

    /// Divides shares among the instances that are registered now, and serves once enough is
    /// known.
    fn settle(&self) {
        let names = self.state.directory().names();
        let mut steering = self.state.steering();
        steering.set_instances(names);
        let is_able = steering.table().is_some() && steering.endpoint_count() > 0;
        drop(steering);
        if is_able {
            self.state.enter(FrontPhase::Serving);
        }
    }
}
