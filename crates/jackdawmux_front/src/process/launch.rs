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
use tokio::time::{Instant, sleep, sleep_until};

use super::error::{BindSnafu, FrontError, MetricsSnafu, SignalsSnafu};
use super::heartbeat;
use super::lookup::{lookup_router, metrics_router, ready_router};
use super::settings::FrontSettings;
use super::state::{FrontPhase, FrontState};
use super::state_actor::{ChangeBounds, FleetActor, MaintenanceTick};
use super::watcher::TopicWatcher;
use crate::dialect::WireDialect;
use crate::request::front_router;
use crate::source::{FleetSource, WatchTopic};
use jackdawmux_policy::fleet::record::InstanceRecord;

/// Time between upkeep of what is believed.
const UPKEEP_PERIOD: Duration = Duration::from_millis(200);
/// Time between readings of the settings, which may change without a signal.
const RELOAD_PERIOD: Duration = Duration::from_secs(5);
/// Share of the time for a planned stop in which callers with old look-ups are still served.
const ACCEPT_SHARE: f64 = 0.7;
/// Share of it after which the process ends whatever still runs.
const STOP_SHARE: f64 = 0.93;
/// Heartbeats that announce a stop; a datagram can be lost.
const FAREWELLS: usize = 3;
/// Time between them.
const FAREWELL_PERIOD: Duration = Duration::from_millis(60);
/// Time between looks for registrations of instances that are gone for good.
const CLEAN_UP_PERIOD: Duration = Duration::from_secs(30);
/// First pause after a failed registration; doubles up to the longest.
const REGISTER_FIRST: Duration = Duration::from_millis(100);
/// Longest pause between registrations that fail.
const REGISTER_LONGEST: Duration = Duration::from_secs(2);
/// Longest time for withdrawing the registration during a stop.
const WITHDRAW_LONGEST: Duration = Duration::from_secs(1);

/// Reads the settings again.
pub type SettingsReader = Box<dyn Fn() -> Result<FrontSettings, String> + Send + Sync>;

/// What a front is made of.
pub struct FrontParts {
    /// Settings.
    pub settings: FrontSettings,
    /// Source of facts.
    pub source: Arc<dyn FleetSource>,
    /// Translation of the wire.
    pub dialect: Arc<dyn WireDialect>,
    /// Reads the settings again after a signal.
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
    tasks: JoinSet<()>,
    _timers: TimerService,
}

impl FrontProcess {
    /// Binds the addresses and starts every part.
    ///
    /// # Errors
    /// When an address cannot be bound or a part cannot be set up.
    pub async fn open(parts: FrontParts) -> Result<Self, FrontError> {
        let FrontParts { settings, source, dialect, reader } = parts;
        let limits = ListenerLimits {
            max_connections: settings.max_descriptors,
            ..ListenerLimits::default()
        };
        let (limits_sender, limits) = watch::channel(limits);
        let metrics = ProcessMetrics::open().context(MetricsSnafu)?;
        let state = Arc::new(FrontState::new(settings, dialect, metrics, limits_sender));
        let settings = &state.settings;
        let socket = Arc::new(bind_datagrams(settings.heartbeat_listen).await?);
        let callers = listen("listen", settings.listen, front_router(Arc::clone(&state)), &limits);
        let callers = callers.await?;
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
        let state_actor = FleetActor::spawn(FleetActor::new(Arc::clone(&state)));
        let mut tasks = JoinSet::new();
        let mut timers = TimerService::default();
        for topic in WatchTopic::iter() {
            let watcher = TopicWatcher {
                source: Arc::clone(&source),
                contact: Arc::clone(&state.contact),
                state_actor: state_actor.clone(),
                topic,
                due: settings.bounds.update_deadline,
            };
            tasks.spawn(watcher.run());
        }
        tasks.spawn(heartbeat::hear(Arc::clone(&socket), state_actor.clone()));
        tasks.spawn(heartbeat::beat(Arc::clone(&state), Arc::clone(&socket)));
        let record = InstanceRecord {
            name: settings.instance.clone(),
            address: callers.address,
            heartbeat_address: heartbeat_address(&socket, settings)?,
            domain: settings.domain.clone(),
            capacity_permille: settings.capacity_permille,
            incarnation: state.incarnation,
        };
        tasks.spawn(register(record, Arc::clone(&source), Arc::clone(&state)));
        let ticks = timers.every(CLEAN_UP_PERIOD);
        tasks.spawn(clean_up(ticks, Arc::clone(&source), Arc::clone(&state)));
        tasks.spawn(keep_up(timers.every(UPKEEP_PERIOD), state_actor.clone()));
        let ticks = timers.every(RELOAD_PERIOD);
        tasks.spawn(reload(state.settings.clone(), reader, hang_up, ticks, state_actor));
        let _timers = timers;
        Ok(Self { state, source, socket, callers, ready, directory, metrics, tasks, _timers })
    }

    /// Address for callers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.callers.address
    }

    /// Address on which readiness is asked for.
    #[must_use]
    pub fn ready_address(&self) -> SocketAddr {
        self.ready.address
    }

    /// Address for look-ups.
    #[must_use]
    pub fn directory_address(&self) -> SocketAddr {
        self.directory.address
    }

    /// Stops as planned: named by no look-up from now on, still serving callers whose look-ups
    /// are old, then finishing what runs.
    pub async fn leave(self) {
        let Self { state, source, socket, callers, ready, directory, metrics, mut tasks, _timers } =
            self;
        let begun = Instant::now();
        let grace = state.settings.bounds.grace;
        log::info!(
            "event=stopping instance={} grace_ms={}",
            state.settings.instance,
            grace.as_millis()
        );
        state.enter(FrontPhase::Leaving);
        let farewell = say_farewell(&state, &socket);
        let withdrawal = withdraw(&state, source.as_ref());
        tokio::join!(farewell, withdrawal);
        sleep_until(begun + grace.mul_f64(ACCEPT_SHARE)).await;
        let end = begun + grace.mul_f64(STOP_SHARE);
        callers.shut_down(end.saturating_duration_since(Instant::now())).await;
        drop((ready, directory, metrics));
        tasks.shutdown().await;
        log::info!(
            "event=stopped instance={} elapsed_ms={}",
            state.settings.instance,
            begun.elapsed().as_millis()
        );
    }
}

async fn listen(
    step: &'static str,
    address: SocketAddr,
    router: axum::Router,
    limits: &watch::Receiver<ListenerLimits>,
) -> Result<CallerListener, FrontError> {
    let context = || BindSnafu { step, address: address.to_string() };
    let listener = TcpListener::bind(address).await.with_context(|_| context())?;
    let bound = listener.local_addr().with_context(|_| context())?;
    Ok(CallerListener::spawn(listener, bound, router, limits.clone()))
}

async fn bind_datagrams(address: SocketAddr) -> Result<UdpSocket, FrontError> {
    let context = BindSnafu { step: "heartbeat-listen", address: address.to_string() };
    UdpSocket::bind(address).await.context(context)
}

fn heartbeat_address(
    socket: &UdpSocket,
    settings: &FrontSettings,
) -> Result<SocketAddr, FrontError> {
    let address = settings.heartbeat_listen.to_string();
    socket.local_addr().context(BindSnafu { step: "heartbeat-listen", address })
}

/// Registers this instance, and again when its registration was removed while it serves; goes on
/// trying while the store is away.
async fn register(record: InstanceRecord, source: Arc<dyn FleetSource>, state: Arc<FrontState>) {
    loop {
        let mut pause = REGISTER_FIRST;
        while let Err(error) = source.register(&record).await {
            log::warn!("event=registration-failed {error}");
            sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
            pause = (pause * 2).min(REGISTER_LONGEST);
        }
        log::info!("event=registered instance={}", record.name);
        state.registration_lost.notified().await;
    }
}

/// Removes registrations of instances that were taken away without a planned stop.
async fn clean_up(
    mut ticks: mpsc::Receiver<()>,
    source: Arc<dyn FleetSource>,
    state: Arc<FrontState>,
) {
    while ticks.recv().await.is_some() {
        let abandoned = state.directory().abandoned(state.clock.now());
        for name in abandoned {
            log::warn!("event=registration-abandoned instance={name}");
            // What fails is tried again with a later tick.
            if let Err(error) = source.withdraw(&name).await {
                log::warn!("event=withdrawal-failed instance={name} {error}");
            }
        }
    }
}

async fn withdraw(state: &FrontState, source: &dyn FleetSource) {
    let withdrawn = source.withdraw(&state.settings.instance);
    match tokio::time::timeout(WITHDRAW_LONGEST, withdrawn).await {
        Ok(Ok(())) => {}
        // Without its heartbeats the instance is not named any more.
        Ok(Err(error)) => log::warn!("event=withdrawal-failed {error}"),
        Err(_elapsed) => log::warn!("event=withdrawal-failed reason=timeout"),
    }
}

async fn say_farewell(state: &FrontState, socket: &UdpSocket) {
    for _ in 0..FAREWELLS {
        heartbeat::send_heartbeats(state, socket).await;
        sleep(FAREWELL_PERIOD).await;
    }
}

async fn keep_up(mut ticks: mpsc::Receiver<()>, state_actor: ActorRef<FleetActor>) {
    while ticks.recv().await.is_some() {
        if state_actor.tell(MaintenanceTick).await.is_err() {
            return;
        }
    }
}

/// Puts changed bounds in force; other settings need a restart, which is logged.
async fn reload(
    mut current: FrontSettings,
    reader: SettingsReader,
    mut hang_up: Signal,
    mut ticks: mpsc::Receiver<()>,
    state_actor: ActorRef<FleetActor>,
) {
    loop {
        let is_signal = tokio::select! {
            received = hang_up.recv() => received.is_some(),
            _tick = ticks.recv() => false,
        };
        let settings = match reader() {
            Ok(settings) => settings,
            Err(mistakes) => {
                log::error!("event=reload-refused error={mistakes:?}");
                continue;
            }
        };
        let is_changed = settings != current;
        if is_signal || is_changed {
            log::info!("event=reload is_signal={is_signal} is_changed={is_changed}");
        }
        if settings.bounds != current.bounds
            && state_actor.tell(ChangeBounds(settings.bounds.clone())).await.is_err()
        {
            return;
        }
        let bounds = settings.bounds.clone();
        if (FrontSettings { bounds: current.bounds.clone(), ..settings.clone() }) != current {
            log::warn!("event=reload-partial reason=addresses-and-place-need-a-restart");
        }
        current = FrontSettings { bounds, ..settings };
    }
}
