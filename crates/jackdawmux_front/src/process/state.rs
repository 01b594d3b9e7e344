//! State that the parts of a front share.

use std::future::pending;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::cap::CapRefusal;
use jackdawmux_policy::fleet::config_freshness::ConfigFreshness;
use jackdawmux_policy::fleet::directory::InstanceDirectory;
use jackdawmux_policy::fleet::freshness::FreshnessTracker;
use jackdawmux_policy::fleet::placement::LookupSpread;
use jackdawmux_policy::fleet::planned_stop::{BodyArrival, PlannedStop};
use jackdawmux_policy::fleet::record::TeamRecord;
use jackdawmux_policy::fleet::relay::{ReadPath, RelaySuspicions, RelayTimes};
use jackdawmux_policy::fleet::retry_share::RetryFigures;
use jackdawmux_policy::fleet::steering::FleetSteering;
use jackdawmux_runtime::{HeldBudget, ListenerLimits, ProcessClock, ProcessMetrics};
use strum::{Display, EnumCount, FromRepr};
use tokio::sync::{Notify, Semaphore, watch};
use tokio::time::sleep_until;

use super::cap_service::{CapPermit, CapService};
use super::connectivity::SourceConnectivity;
use super::request_meter::RequestMeter;
use super::settings::FrontSettings;
use super::team_permission::TeamPermission;
use crate::dialect::WireDialect;
use crate::relay::RelayHub;
use crate::source::{SourcePosition, WatchTopic};
use crate::upstream::UpstreamPool;

/// Time after the start of the process within which it may wait to learn whether its group has a
/// relay.
const RELAY_DECISION_TIME: Duration = Duration::from_secs(2);

/// Bytes of buffered responses that one instance holds in all. Callers that read slowly would
/// otherwise let it hold 512 KiB for each connection.
const MAX_HELD_RESPONSE_BYTES: usize = 32 * 1024 * 1024;
/// The same of buffered requests, for callers that send slowly and endpoints that respond slowly.
const MAX_HELD_REQUEST_BYTES: usize = 32 * 1024 * 1024;
/// Bytes of replies of other instances that one instance reads at the same time.
const MAX_HELD_REPLY_BYTES: usize = 32 * 1024 * 1024;

/// Thousandths of a CPU core for each forwarded request that may be in progress.
const CAPACITY_PER_FORWARDED: usize = 2;
/// Forwarded requests that may be in progress at the smallest instance.
const MIN_FORWARDED: usize = 16;

/// Phase in the life cycle of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, FromRepr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum FrontPhase {
    /// Has received no configuration or no endpoints yet.
    Starting,
    /// Serves requests and is returned by lookups.
    Serving,
    /// Finishes requests in progress and stops.
    Leaving,
}

/// State that exists for the lifetime of the process.
#[derive(Debug)]
pub struct FrontState {
    pub(crate) settings: FrontSettings,
    pub(crate) dialect: Arc<dyn WireDialect>,
    pub(crate) clock: ProcessClock,
    pub(crate) metrics: ProcessMetrics,
    pub(crate) pool: UpstreamPool,
    /// Connections to other instances, by the hash of their name.
    pub(crate) peers: UpstreamPool,
    /// Limits the forwarded requests in progress.
    pub(crate) forwarded: Arc<Semaphore>,
    peer_suspicions: Mutex<RelaySuspicions>,
    pub(crate) limits: watch::Sender<ListenerLimits>,
    /// Limits of the address for other instances.
    pub(crate) peer_limits: watch::Sender<ListenerLimits>,
    pub(crate) incarnation: u64,
    pub(crate) connectivity: Arc<SourceConnectivity>,
    pub(crate) relay: RelayHub,
    /// Counts the suspicions of relays, which end the reads that wait for a reply.
    pub(crate) relay_suspicions: watch::Sender<u64>,
    suspicions: Mutex<RelaySuspicions>,
    /// Whether the next list of a topic is read from the source itself.
    pub(crate) bypasses_relay: [AtomicBool; WatchTopic::COUNT],
    /// Notified when this instance's registration was removed or lost.
    pub(crate) registration_lost: Notify,
    /// Notified when a peer has applied an update of a topic that this instance has not.
    pub(crate) is_behind: [Notify; WatchTopic::COUNT],
    /// Notified when a round of probes of the endpoints may be due.
    pub(crate) probe_due: Notify,
    /// Notified when the peers are to receive a heartbeat before the next regular one.
    pub(crate) heartbeat_due: Notify,
    /// Name of the peer whose later configuration is to be read.
    pub(crate) later_config_at: watch::Sender<String>,
    /// Name of the peer that is asked what it knows from before a restore of the source.
    pub(crate) restore_facts_at: watch::Sender<String>,
    /// Bytes of responses that wait for their callers.
    pub(crate) held: HeldBudget,
    /// Bytes of requests that are buffered until they have been answered.
    pub(crate) held_requests: HeldBudget,
    /// Bytes of replies of other instances that are being read.
    pub(crate) held_replies: HeldBudget,
    /// Age of the configuration in force and of the list of instances.
    pub(crate) permission: TeamPermission,
    steering: Mutex<FleetSteering>,
    config_freshness: Mutex<ConfigFreshness>,
    freshness: Mutex<FreshnessTracker>,
    directory: Mutex<InstanceDirectory>,
    pub(crate) cap_service: Arc<CapService>,
    registered_at: Mutex<Option<SourcePosition>>,
    phase: AtomicU8,
    stop: watch::Sender<Option<PlannedStop>>,
    request_meter: RequestMeter,
}

impl FrontState {
    /// Creates the state of a process that has received no updates yet.
    pub(crate) fn new(
        settings: FrontSettings,
        dialect: Arc<dyn WireDialect>,
        metrics: ProcessMetrics,
        limits: watch::Sender<ListenerLimits>,
    ) -> Self {
        let regions = Arc::new(settings.regions.clone());
        let bounds = settings.bounds.clone();
        let (own, domain) = (&settings.instance, &settings.domain);
        let permission = TeamPermission::new(&bounds);
        let steering = FleetSteering::new(own, domain, Arc::clone(&regions), bounds);
        let peer_limits = watch::Sender::new(*limits.borrow());
        let capacity = usize::try_from(settings.capacity_permille).unwrap_or(usize::MAX);
        let max_forwarded = (capacity / CAPACITY_PER_FORWARDED).max(MIN_FORWARDED);
        let clock = ProcessClock::default();
        let region = regions.get(domain).map_or("", String::as_str);
        let has_caps = settings.cap_address().is_some();
        let cap_service = CapService::new(own, region, has_caps, clock, metrics.caps().clone());
        let directory = InstanceDirectory::new(&settings.instance, regions);
        Self {
            dialect,
            clock,
            metrics,
            pool: UpstreamPool::default(),
            peers: UpstreamPool::default(),
            forwarded: Arc::new(Semaphore::new(max_forwarded)),
            peer_suspicions: Mutex::default(),
            peer_limits,
            limits,
            incarnation: rand::random(),
            connectivity: Arc::default(),
            relay: RelayHub::default(),
            relay_suspicions: watch::Sender::new(0),
            suspicions: Mutex::default(),
            bypasses_relay: Default::default(),
            registration_lost: Notify::new(),
            is_behind: Default::default(),
            probe_due: Notify::new(),
            heartbeat_due: Notify::new(),
            later_config_at: watch::Sender::default(),
            restore_facts_at: watch::Sender::default(),
            held: HeldBudget::new(MAX_HELD_RESPONSE_BYTES),
            held_requests: HeldBudget::new(MAX_HELD_REQUEST_BYTES),
            held_replies: HeldBudget::new(MAX_HELD_REPLY_BYTES),
            permission,
            steering: Mutex::new(steering),
            config_freshness: Mutex::default(),
            freshness: Mutex::default(),
            directory: Mutex::new(directory),
            cap_service: Arc::new(cap_service),
            registered_at: Mutex::default(),
            phase: AtomicU8::new(FrontPhase::Starting as u8),
            stop: watch::Sender::default(),
            request_meter: RequestMeter::default(),
            settings,
        }
    }

    /// Locks the steering state, which selects endpoints for requests.
    pub(crate) fn steering(&self) -> MutexGuard<'_, FleetSteering> {
        self.steering.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the state of the retry budget of a service; none if it has got no requests.
    #[must_use]
    pub fn retry_figures(&self, service: &str) -> Option<RetryFigures> {
        let mut steering = self.steering();
        let mut figures = steering.retry_figures(self.clock.now()).into_iter();
        figures.find(|(name, _)| *name == service).map(|(_, figures)| figures)
    }

    /// Bytes of requests that are buffered until they have been answered.
    #[must_use]
    pub fn held_request_bytes(&self) -> usize {
        self.held_requests.held()
    }

    /// Locks the record of the changes that this instance and its peers have applied.
    pub(crate) fn freshness(&self) -> MutexGuard<'_, FreshnessTracker> {
        self.freshness.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the comparison of the configuration in force with those of the peers.
    pub(crate) fn config_freshness(&self) -> MutexGuard<'_, ConfigFreshness> {
        self.config_freshness.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Version of the configuration in force; zero if there is none.
    pub(crate) fn config_version(&self) -> u64 {
        self.steering().table().map_or(0, |table| table.version())
    }

    /// Whether the configuration in force has teams.
    pub(crate) fn has_teams(&self) -> bool {
        self.steering().table().is_some_and(|table| table.config().teams.is_some())
    }

    /// Locks the directory of instances.
    pub(crate) fn directory(&self) -> MutexGuard<'_, InstanceDirectory> {
        self.directory.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Request caps of teams.
    #[must_use]
    pub const fn caps(&self) -> CapAccess<'_> {
        CapAccess { state: self }
    }

    /// Locks the position at which this instance was registered; none while it is not.
    pub(crate) fn registered_at(&self) -> MutexGuard<'_, Option<SourcePosition>> {
        self.registered_at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Selects from where updates are read.
    pub(crate) fn read_path(&self) -> ReadPath {
        let suspicions = self.suspicions.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        let is_starting = now.since(PolicyTime::default()) < RELAY_DECISION_TIME;
        self.directory().read_path(now, &suspicions, is_starting)
    }

    /// Time limits of the reads of a topic.
    pub(crate) fn read_times(&self, topic: WatchTopic) -> RelayTimes {
        RelayTimes::new(self.settings.bounds.deadline(topic))
    }

    /// Reads from another instance than this relay for a while. Returns whether it was not suspected
    /// before.
    pub(crate) fn suspect_relay(&self, relay: &str) -> bool {
        let now = self.clock.now();
        let mut suspicions = self.suspicions.lock().unwrap_or_else(PoisonError::into_inner);
        if suspicions.contains(now, relay) {
            return false;
        }
        suspicions.record(now, relay);
        drop(suspicions);
        self.relay_suspicions.send_modify(|count| *count += 1);
        true
    }

    /// Forwards no request to a peer for a while, if there is another one.
    pub(crate) fn suspect_peer(&self, peer: &str) {
        let now = self.clock.now();
        self.peer_suspicions.lock().unwrap_or_else(PoisonError::into_inner).record(now, peer);
    }

    /// Whether a peer failed to reply lately.
    pub(crate) fn is_suspected_peer(&self, now: PolicyTime, peer: &str) -> bool {
        self.peer_suspicions.lock().unwrap_or_else(PoisonError::into_inner).contains(now, peer)
    }

    /// Counts a request from a caller.
    pub(crate) fn count_caller_request(&self) {
        self.request_meter.count();
    }

    /// Requests per second that callers send here.
    pub(crate) fn request_rate(&self) -> u32 {
        self.request_meter.measure(self.clock.now())
    }

    /// How callers are spread over the instances of their region.
    pub(crate) fn lookup_spread(&self, region: &str) -> LookupSpread {
        if !self.steering().is_load_aware() {
            return LookupSpread::Whole;
        }
        LookupSpread::Concentrated(self.directory().demand(region))
    }

    /// Current phase of the process.
    pub(crate) fn phase(&self) -> FrontPhase {
        FrontPhase::from_repr(self.phase.load(Ordering::Relaxed)).unwrap_or(FrontPhase::Starting)
    }

    /// Begins a planned stop.
    pub(crate) fn begin_stop(&self, stop: PlannedStop) {
        self.stop.send_replace(Some(stop));
    }

    /// Waits until a planned stop leaves only the time to answer the requests in progress.
    pub(crate) async fn last_answers_due(&self) {
        let mut receiver = self.stop.subscribe();
        let stop = receiver.wait_for(Option::is_some).await.ok().and_then(|stop| *stop);
        match stop {
            Some(stop) => sleep_until(self.clock.instant(stop.answers_by())).await,
            None => pending().await,
        }
    }

    /// Whether a request may be started now at an endpoint. Late in a planned stop, one whose deadline
    /// passes the final answers may not.
    pub(crate) fn may_start(&self, deadline: PolicyTime, body: BodyArrival) -> bool {
        let stop = *self.stop.borrow();
        stop.is_none_or(|stop| stop.may_start(self.clock.now(), deadline, body))
    }

    /// Time from the beginning of a planned stop to a later moment; none without a stop.
    pub(crate) fn since_stop(&self, moment: PolicyTime) -> Option<Duration> {
        let stop = *self.stop.borrow();
        stop.filter(|stop| moment >= stop.began()).map(|stop| moment.since(stop.began()))
    }

    /// Enters a phase. `FrontPhase::Leaving` is final: later calls have no effect.
    pub(crate) fn enter_phase(&self, phase: FrontPhase) {
        let before = self.phase();
        if before == phase || before == FrontPhase::Leaving {
            return;
        }
        self.phase.store(phase as u8, Ordering::Relaxed);
        self.directory().set_serving(phase == FrontPhase::Serving);
        log::info!("event=phase-changed from={before} to={phase}");
    }
}

/// Access of requests to the caps of their teams.
#[derive(Clone, Copy, Debug)]
pub struct CapAccess<'state> {
    state: &'state FrontState,
}

impl CapAccess<'_> {
    /// Requests a token of the cap of a team; returns at once if it has no cap. The wait is bounded
    /// by 250 ms and checked against the deadline each time that a holder does not reply.
    ///
    /// # Errors
    /// When the request is above the cap, or no holder of the cap replies. It must not be run.
    pub async fn acquire(
        self,
        team: &TeamRecord,
        deadline: PolicyTime,
    ) -> Result<CapPermit, CapRefusal> {
        let proof_age = self.state.instances_proof_age();
        self.state.cap_service.acquire(team, deadline, proof_age).await
    }
}
