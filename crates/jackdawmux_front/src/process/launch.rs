//! Starts and stops a front.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jackdawmux_runtime::{CallerListener, ListenerLimits, ProcessMetrics, TimerService};
use kameo::actor::{ActorRef, Spawn};
use snafu::ResultExt;
use strum::IntoEnumIterator;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

use super::connectivity::CHECK_INTERVAL;
use super::endpoint_probe::probe_endpoints;
use super::error::{BindSnafu, FrontError, MetricsSnafu, RelaySnafu, SignalsSnafu};
use super::heartbeat;
use super::lookup::{lookup_router, metrics_router, ready_router};
use super::settings::FrontSettings;
use super::state::{FrontPhase, FrontState};
use super::state_actor::{MaintenanceTick, SetBounds, StateActor};
use super::watcher::TopicWatcher;
use crate::dialect::WireDialect;
use crate::relay::{PeerReader, RelayedSource, relay_router};
use crate::request::{front_router, read_ahead_filter};
use crate::source::{FleetSource, RegistrationReceipt, WatchTopic};
use jackdawmux_policy::fleet::planned_stop::PlannedStop;
use jackdawmux_policy::fleet::record::InstanceRecord;
use jackdawmux_policy::fleet::relay::RelayTimes;

/// Time between runs of the periodic maintenance of the fleet state.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);
/// Time between reads of the settings, which may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);
/// Heartbeats that announce a stop; several, because a datagram can be lost.
const STOP_HEARTBEATS: usize = 3;
/// Time between heartbeats that announce a stop.
const STOP_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(60);
/// Time between checks for registrations of instances that no longer exist.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(30);
/// Backoff after the first failed registration; doubles up to `MAX_REGISTER_BACKOFF`.
const INITIAL_REGISTER_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff between failed registrations.
const MAX_REGISTER_BACKOFF: Duration = Duration::from_secs(2);
/// Time limit for withdrawing the registration during a stop.
const WITHDRAW_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the current settings; the error describes what is wrong with them.
#[derive(Clone)]
pub struct SettingsReader(Arc<dyn Fn() -> Result<FrontSettings, String> + Send + Sync>);

impl SettingsReader {
    /// Creates a reader from a function.
    pub fn new(read: impl Fn() -> Result<FrontSettings, String> + Send + Sync + 'static) -> Self {
        Self(Arc::new(read))
    }

    fn read(&self) -> Result<FrontSettings, String> {
        (self.0)()
    }
}

impl std::fmt::Debug for SettingsReader {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("SettingsReader").finish_non_exhaustive()
    }
}

/// Parts from which a front is built.
pub struct FrontParts {
    /// Settings at the start.
    pub settings: FrontSettings,
    /// Source of fleet updates.
    pub source: Arc<dyn FleetSource>,
    /// Wire format.
    pub dialect: Arc<dyn WireDialect>,
    /// Reads the settings again, at intervals and after a hang-up signal.
    pub reader: SettingsReader,
}

impl std::fmt::Debug for FrontParts {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("FrontParts")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

/// A running front.
#[derive(Debug)]
pub struct FrontProcess {
    state: Arc<FrontState>,
    source: Arc<dyn FleetSource>,
    socket: Arc<UdpSocket>,
    callers: CallerListener,
    ready: CallerListener,
    directory: CallerListener,
    metrics: Option<CallerListener>,
    relay: CallerListener,
    reader: SettingsReader,
    tasks: JoinSet<()>,
    _timers: TimerService,
}

impl FrontProcess {
    /// Binds the addresses and starts all tasks.
    ///
    /// # Errors
    /// When an address cannot be bound, or metrics or signal handlers cannot be set up.
    pub async fn open(parts: FrontParts) -> Result<Self, FrontError> {
        let FrontParts { settings, source, dialect, reader } = parts;
        let limits = ListenerLimits {
            max_connections: settings.max_descriptors,
            ..ListenerLimits::default()
        };
        let (limits_sender, limits) = watch::channel(limits);
        let metrics = ProcessMetrics::new().context(MetricsSnafu)?;
        let state = Arc::new(FrontState::new(settings, dialect, metrics, limits_sender));
        let settings = &state.settings;
        let source: Arc<dyn FleetSource> =
            Arc::new(RelayedSource::open(source, Arc::clone(&state)).context(RelaySnafu)?);
        let router = relay_router(Arc::clone(&state));
        let peer_limits = state.peer_limits.subscribe();
        let relay = listen("relay-listen", settings.heartbeat_listen, router, &peer_limits).await?;
        // Heartbeats and reads from the relay use the same port, which the registration names.
        let socket = Arc::new(bind_datagrams("heartbeat-listen", relay.address).await?);
        let cap_socket = match settings.cap_address() {
            Some(address) => Some(bind_datagrams("cap-listen", address).await?),
            None => None,
        };
        let router = front_router(Arc::clone(&state));
        let filter = read_ahead_filter(Arc::clone(&state));
        let (listener, address) = bind("listen", settings.listen).await?;
        let callers = CallerListener::spawn_reading_ahead(
            listener,
            address,
            router,
            limits.clone(),
            Some(filter),
        );
        log::info!(
            "event=started instance={} failure_domain={} incarnation={:016x} address={}",
            settings.instance,
            settings.domain,
            state.incarnation,
            callers.address
        );
        let ready = ready_router(Arc::clone(&state));
        let ready = listen("ready-listen", settings.ready_listen, ready, &limits).await?;
        let lookups = lookup_router(Arc::clone(&state));
        let directory = settings.directory_listen;
        let directory = listen("directory-listen", directory, lookups, &limits).await?;
        let metrics = match settings.metrics_listen {
            Some(address) => {
                let router = metrics_router(Arc::clone(&state));
                Some(listen("metrics-listen", address, router, &limits).await?)
            }
            None => None,
        };
        let hang_up = signal(SignalKind::hangup()).context(SignalsSnafu)?;
        let state_actor = StateActor::spawn(StateActor::new(Arc::clone(&state)));
        let peer_reader =
            PeerReader::open(Arc::clone(&state), state_actor.clone()).context(RelaySnafu)?;
        let mut tasks = JoinSet::new();
        tasks.spawn(peer_reader.run());
        let mut timers = TimerService::default();
        for topic in WatchTopic::iter() {
            let watcher = TopicWatcher {
                source: Arc::clone(&source),
                state_actor: state_actor.clone(),
                topic,
                update_deadline: settings.bounds.update_deadline,
                state: Arc::clone(&state),
            };
            tasks.spawn(watcher.run());
        }
        let connectivity = Arc::clone(&state.connectivity);
        let checked = Arc::clone(&source);
        let interval = check_interval(&state);
        tasks.spawn(
            async move { connectivity.check_periodically(checked.as_ref(), interval).await },
        );
        tasks.spawn(probe_endpoints(Arc::clone(&state)));
        tasks.spawn(heartbeat::receive_heartbeats(Arc::clone(&socket), state_actor.clone()));
        tasks.spawn(heartbeat::send_periodically(Arc::clone(&state), Arc::clone(&socket)));
        let record = InstanceRecord {
            name: settings.instance.clone(),
            address: callers.address,
            heartbeat_address: heartbeat_address(&socket, settings)?,
            domain: settings.domain.clone(),
            capacity_permille: settings.capacity_permille,
            incarnation: state.incarnation,
            cap_address: cap_socket.as_ref().map(bound_address).transpose()?,
        };
        if let Some(socket) = cap_socket {
            let proof_state = Arc::clone(&state);
            let proof_age = move || proof_state.instances_proof_age();
            tasks.spawn(Arc::clone(&state.cap_service).run(socket, proof_age));
        }
        tasks.spawn(register(record, Arc::clone(&source), Arc::clone(&state)));
        let ticks = timers.every(CLEANUP_INTERVAL);
        tasks.spawn(remove_abandoned(ticks, Arc::clone(&source), Arc::clone(&state)));
        tasks.spawn(run_maintenance(timers.every(MAINTENANCE_INTERVAL), state_actor.clone()));
        let ticks = timers.every(RELOAD_INTERVAL);
        let settings = state.settings.clone();
        tasks.spawn(reload(settings, reader.clone(), hang_up, ticks, state_actor));
        let _timers = timers;
        Ok(Self {
            state,
            source,
            socket,
            callers,
            ready,
            directory,
            metrics,
            relay,
            reader,
            tasks,
            _timers,
        })
    }

    /// State that exists for the lifetime of the process.
    #[must_use]
    pub fn state(&self) -> &FrontState {
        &self.state
    }

    /// Address for callers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.callers.address
    }

    /// Address for readiness checks.
    #[must_use]
    pub fn ready_address(&self) -> SocketAddr {
        self.ready.address
    }

    /// Address for lookups.
    #[must_use]
    pub fn directory_address(&self) -> SocketAddr {
        self.directory.address
    }

    /// Performs a planned stop: leaves the results of lookups, still serves callers whose lookups
    /// are out of date, then finishes the requests in progress.
    pub async fn leave(self) {
        let Self {
            state,
            source,
            socket,
            callers,
            ready,
            directory,
            metrics,
            relay,
            reader,
            mut tasks,
            _timers,
        } = self;
        let began = state.clock.now();
        let grace = read_grace(&state, &reader);
        let stop = PlannedStop::new(began, grace);
        log::info!(
            "event=stopping instance={} grace_ms={} accepts_ms={} answers_ms={}",
            state.settings.instance,
            grace.as_millis(),
            stop.accepts_until().since(began).as_millis(),
            stop.answers_by().since(began).as_millis(),
        );
        state.begin_stop(stop);
        state.enter_phase(FrontPhase::Leaving);
        // Another instance holds the caps once the registration is withdrawn.
        state.cap_service.stop_granting();
        // The readers of the group turn to another relay.
        state.relay.wake_readers();
        let announcement = announce_stop(&state, &socket);
        let withdrawal = withdraw(&state, source.as_ref());
        tokio::join!(announcement, withdrawal);
        sleep_until(state.clock.instant(stop.accepts_until())).await;
        let time_left = stop.closes_by().since(state.clock.now());
        // The address for other instances may carry requests that they have forwarded.
        tokio::join!(callers.shut_down(time_left), relay.shut_down(time_left));
        drop((ready, directory, metrics));
        tasks.shutdown().await;
        log::info!(
            "event=stopped instance={} elapsed_ms={}",
            state.settings.instance,
            state.clock.now().since(began).as_millis()
        );
    }
}

async fn listen(
    step: &'static str,
    address: SocketAddr,
    router: axum::Router,
    limits: &watch::Receiver<ListenerLimits>,
) -> Result<CallerListener, FrontError> {
    let (listener, bound) = bind(step, address).await?;
    Ok(CallerListener::spawn(listener, bound, router, limits.clone()))
}

/// Binds a listener and returns the address that it got.
async fn bind(
    step: &'static str,
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), FrontError> {
    let context = || BindSnafu { step, address: address.to_string() };
    let listener = TcpListener::bind(address).await.with_context(|_| context())?;
    let bound = listener.local_addr().with_context(|_| context())?;
    Ok((listener, bound))
}

async fn bind_datagrams(step: &'static str, address: SocketAddr) -> Result<UdpSocket, FrontError> {
    let context = BindSnafu { step, address: address.to_string() };
    UdpSocket::bind(address).await.context(context)
}

/// How often the source is checked. A relay vouches for the source to the readers of its group.
fn check_interval(state: &Arc<FrontState>) -> impl Fn() -> Duration + Send + use<> {
    let state = Arc::clone(state);
    move || {
        let times = RelayTimes::new(state.settings.bounds.update_deadline);
        let is_relay = state.relay.was_read_within(CHECK_INTERVAL);
        if is_relay { times.check_interval } else { CHECK_INTERVAL }
    }
}

fn heartbeat_address(
    socket: &UdpSocket,
    settings: &FrontSettings,
) -> Result<SocketAddr, FrontError> {
    let address = settings.heartbeat_listen.to_string();
    socket.local_addr().context(BindSnafu { step: "heartbeat-listen", address })
}

fn bound_address(socket: &UdpSocket) -> Result<SocketAddr, FrontError> {
    socket.local_addr().context(BindSnafu { step: "cap-listen", address: "" })
}

/// Registers this instance, and registers it again if its registration is removed while it serves.
/// Retries for as long as the source is unreachable.
async fn register(record: InstanceRecord, source: Arc<dyn FleetSource>, state: Arc<FrontState>) {
    loop {
        let mut backoff = INITIAL_REGISTER_BACKOFF;
        let receipt = loop {
            match source.register(&record).await {
                Ok(receipt) => break receipt,
                Err(error) => log::warn!("event=registration-failed {error}"),
            }
            sleep(backoff.mul_f64(rand::random_range(0.5..1.0))).await;
            backoff = (backoff * 2).min(MAX_REGISTER_BACKOFF);
        };
        let RegistrationReceipt { position, is_replacement } = receipt;
        log::info!(
            "event=registered instance={} at={position} is_replacement={is_replacement}",
            record.name
        );
        if is_replacement {
            state.cap_service.inherit();
        }
        *state.registered_at() = Some(position);
        state.connectivity.observe_era(source.era());
        state.registration_lost.notified().await;
    }
}

/// Removes registrations of instances that disappeared without a planned stop.
async fn remove_abandoned(
    mut ticks: mpsc::Receiver<()>,
    source: Arc<dyn FleetSource>,
    state: Arc<FrontState>,
) {
    while ticks.recv().await.is_some() {
        let abandoned = state.directory().abandoned(state.clock.now());
        for name in abandoned {
            log::warn!("event=registration-abandoned instance={name}");
            // A failed withdrawal is retried at a later tick.
            if let Err(error) = source.withdraw(&name).await {
                log::warn!("event=withdrawal-failed instance={name} {error}");
            }
        }
    }
}

async fn withdraw(state: &FrontState, source: &dyn FleetSource) {
    let withdrawn = source.withdraw(&state.settings.instance);
    match tokio::time::timeout(WITHDRAW_TIMEOUT, withdrawn).await {
        Ok(Ok(())) => {}
        // Not retried: without heartbeats, lookups stop returning the instance.
        Ok(Err(error)) => log::warn!("event=withdrawal-failed {error}"),
        Err(_elapsed) => log::warn!("event=withdrawal-failed reason=timeout"),
    }
}

/// Reads how long a planned stop may take. The settings may have changed since they were last read, and
/// the process is killed by the present ones.
fn read_grace(state: &FrontState, reader: &SettingsReader) -> Duration {
    let known = state.steering().bounds().grace;
    match reader.read() {
        Ok(settings) => settings.bounds.grace,
        Err(error) => {
            log::warn!("event=settings-unread step=stop error={error:?}");
            known
        }
    }
}

async fn announce_stop(state: &FrontState, socket: &UdpSocket) {
    for _ in 0..STOP_HEARTBEATS {
        heartbeat::send_heartbeats(state, socket).await;
        sleep(STOP_HEARTBEAT_INTERVAL).await;
    }
}

async fn run_maintenance(mut ticks: mpsc::Receiver<()>, state_actor: ActorRef<StateActor>) {
    while ticks.recv().await.is_some() {
        if state_actor.tell(MaintenanceTick).await.is_err() {
            return;
        }
    }
}

/// Applies changed bounds; changes to other settings need a restart, which is logged.
async fn reload(
    mut current: FrontSettings,
    reader: SettingsReader,
    mut hang_up: Signal,
    mut ticks: mpsc::Receiver<()>,
    state_actor: ActorRef<StateActor>,
) {
    loop {
        let is_signal = tokio::select! {
            received = hang_up.recv() => received.is_some(),
            _tick = ticks.recv() => false,
        };
        let settings = match reader.read() {
            Ok(settings) => settings,
            Err(errors) => {
                log::error!("event=reload-refused error={errors:?}");
                continue;
            }
        };
        let is_changed = settings != current;
        if is_signal || is_changed {
            log::info!("event=reload is_signal={is_signal} is_changed={is_changed}");
        }
        if settings.bounds != current.bounds
            && state_actor.tell(SetBounds(settings.bounds.clone())).await.is_err()
        {
            return;
        }
        let (bounds, before) = (&settings.bounds, &current.bounds);
        if WatchTopic::iter().any(|topic| bounds.deadline(topic) != before.deadline(topic)) {
            log::warn!("event=reload-partial reason=update-deadline-needs-a-restart");
        }
        let bounds = settings.bounds.clone();
        if (FrontSettings { bounds: current.bounds.clone(), ..settings.clone() }) != current {
            log::warn!("event=reload-partial reason=addresses-and-place-need-a-restart");
        }
        current = FrontSettings { bounds, ..settings };
    }
}
