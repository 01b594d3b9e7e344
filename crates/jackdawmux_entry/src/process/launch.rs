//! Starts and stops an instance.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use jackdawmux_peer::{PeerEvent, PeerHub, PeerIdentity, PeerKeys};
use jackdawmux_policy::group::GroupMember;
use jackdawmux_policy::identity::IncarnationId;
use jackdawmux_policy::lease::{LeaseCommittee, LeaseSettings};
use jackdawmux_policy::steering::{InstanceSteering, SteeringSettings};
use jackdawmux_store::{HttpStore, ObjectStore, UpdateOutcome};
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use super::context::{ContextParts, EntryContext, EntryDirectory};
use super::error::{BindSnafu, MetricsSnafu, PeerSnafu, ProcessError, StoreSnafu};
use super::message::{
    ActivateConfig, GetDepartureView, HandOverTickets, HeartbeatTick, IsDrained, StartLeaving,
};
use super::settings::{EntrySettings, parse_settings, settings_parser};
use super::steering::{SteeringActor, SteeringParts};
use super::timeline::EventLog;
use super::view::{view_key, watch_view};
use crate::connection::UpstreamPool;
use crate::request::{IdempotencyKeyTable, build_router};
use crate::version::{ActiveConfig, ConfigActor, ConfigParts, HeadWatcher, watch_head};
use jackdawmux_runtime::ProcessClock;
use jackdawmux_runtime::ProcessMetrics;
use jackdawmux_runtime::{CallerListener, ListenerLimits};
use jackdawmux_runtime::{StopSignal, TimerService};

/// Time between heartbeats to peers.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Time between sweeps of idle connections.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of peer events queued for the steering actor.
const MAX_QUEUED_PEER_EVENTS: usize = 4_096;
/// Time until all other instances know that this one is leaving; until then their lookups may list
/// it.
const LEAVE_PROPAGATION_DELAY: Duration = Duration::from_millis(800);
/// Time limit for shutting down the listener, and again for the requests that still run, once
/// cached lookups have expired.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between checks whether all requests have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the last frames to reach peers.
const FRAME_FLUSH_DELAY: Duration = Duration::from_millis(100);
/// Attempts to write the view without this instance.
const MAX_DEPARTURE_ATTEMPTS: usize = 5;

/// A running instance.
#[derive(Debug)]
pub struct EntryProcess {
    context: Arc<EntryContext>,
    peer_address: SocketAddr,
    listener: CallerListener,
    tasks: JoinSet<()>,
    _timers: TimerService,
}

/// Runs the program: parses settings, opens the log, runs the instance and stops it gracefully on a
/// signal.
#[must_use]
pub fn run() -> ExitCode {
    let raw = settings_parser().run();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format(|buffer, record| {
            use std::io::Write as _;
            writeln!(buffer, "level={} {}", record.level(), record.args())
        })
        .init();
    let settings = match parse_settings(raw) {
        Ok(settings) => settings,
        Err(errors) => {
            for error in errors {
                log::error!("event=setting-refused error={:?}", error.to_string());
            }
            return ExitCode::from(2);
        }
    };
    let runtime = match build_runtime(settings.threads) {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("event=start-failed step=runtime error={error}");
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(run_until_signal(settings))
}

/// Uses the current-thread runtime for one thread: it needs no wake-ups between threads, which are
/// most of the cost of a short request.
fn build_runtime(threads: usize) -> std::io::Result<tokio::runtime::Runtime> {
    let mut builder = if threads == 1 {
        tokio::runtime::Builder::new_current_thread()
    } else {
        tokio::runtime::Builder::new_multi_thread()
    };
    if threads > 1 {
        builder.worker_threads(threads);
    }
    builder.enable_all().build()
}

async fn run_until_signal(settings: EntrySettings) -> ExitCode {
    let process = match EntryProcess::open(settings).await {
        Ok(process) => process,
        Err(error) => {
            log::error!("event=start-failed {error}");
            return ExitCode::FAILURE;
        }
    };
    println!("listening address={} peer={}", process.address(), process.peer_address());
    let stop = match StopSignal::subscribe() {
        Ok(stop) => stop,
        Err(error) => {
            log::error!("event=start-failed step=signals error={error:?}");
            return ExitCode::FAILURE;
        }
    };
    stop.wait().await;
    process.leave().await;
    ExitCode::SUCCESS
}

impl EntryProcess {
    /// Binds the addresses and starts all tasks of the instance.
    ///
    /// # Errors
    /// When an address cannot be bound, or when the store client, the peer links or the metrics
    /// cannot be set up.
    pub async fn open(settings: EntrySettings) -> Result<Self, ProcessError> {
        let store = Arc::new(HttpStore::open(&settings.store, None).context(StoreSnafu)?) as Arc<_>;
        Self::open_with(settings, store).await
    }

    /// Like [`Self::open`], with an existing store client.
    ///
    /// # Errors
    /// When an address cannot be bound, or when the store client, the peer links or the metrics
    /// cannot be set up.
    pub async fn open_with(
        settings: EntrySettings,
        store: Arc<dyn ObjectStore>,
    ) -> Result<Self, ProcessError> {
        let (caller_listener, address) = bind("listen", settings.listen).await?;
        let (peer_listener, peer_address) = bind("peer-listen", settings.peer_listen).await?;
        let identity = PeerIdentity {
            instance: settings.instance.clone(),
            incarnation: IncarnationId(rand::random()),
            address,
            peer_address,
            domain: settings.failure_domain.clone(),
        };
        let clock = ProcessClock::default();
        let events = Arc::new(EventLog::new(&settings.instance, clock));
        events.record(
            "started",
            &[
                ("incarnation", &identity.incarnation),
                ("address", &address),
                ("failure_domain", &settings.failure_domain),
            ],
        );
        let keys = PeerKeys::new(&settings.peer_keys);
        // Two deployments on one network may use the same key and group name, but not one store.
        let scope = format!("{} {}", settings.store, settings.group);
        let (peer_events, peer_event_receiver) = mpsc::channel(MAX_QUEUED_PEER_EVENTS);
        let hub = PeerHub::spawn(peer_listener, identity.clone(), keys.clone(), scope, peer_events)
            .context(PeerSnafu)?;
        hub.dial_seeds(&settings.seeds);
        let pool = UpstreamPool::default();
        let idempotency_keys = Arc::new(IdempotencyKeyTable::new(identity.incarnation));
        let (directory_sender, directory) = watch::channel(Arc::new(EntryDirectory::default()));
        let (active_config_sender, active_config) = watch::channel(None);
        let config = ConfigActor::spawn(ConfigParts {
            events: Arc::clone(&events),
            clock,
            active_config: active_config_sender,
        });
        let key = view_key(&settings.group);
        let parts = SteeringParts {
            own_identity: identity.clone(),
            steering: InstanceSteering::new(group_member(&identity), steering_settings(&settings)),
            clock,
            hub: Arc::new(hub),
            store: Arc::clone(&store),
            view_key: key.clone(),
            events: Arc::clone(&events),
            pool: pool.clone(),
            idempotency_keys: Arc::clone(&idempotency_keys),
            directory: directory_sender,
            config: config.clone(),
        };
        // Unbounded, because giving back a slot must never fail. The number of queued messages is
        // bounded by the limit on caller connections and the capacity of the peer event queue.
        let steering = SteeringActor::spawn_with_mailbox(parts, mailbox::unbounded());
        let context = Arc::new(EntryContext::new(ContextParts {
            settings,
            incarnation: identity.incarnation,
            address,
            clock,
            events: Arc::clone(&events),
            metrics: ProcessMetrics::new().context(MetricsSnafu)?,
            keys,
            store: Arc::clone(&store),
            pool,
            idempotency_keys,
            steering: steering.clone(),
            active_config: active_config.clone(),
            directory: directory.clone(),
        }));
        let mut tasks = JoinSet::new();
        let mut timers = TimerService::default();
        tasks.spawn(watch_view(Arc::clone(&store), key, steering.clone()));
        let head_watcher = HeadWatcher {
            store,
            config,
            active_config: active_config.clone(),
            events,
            directory,
            own_incarnation: identity.incarnation,
            domain: identity.domain.clone(),
        };
        tasks.spawn(watch_head(head_watcher));
        tasks.spawn(deliver_peer_events(peer_event_receiver, steering.clone()));
        tasks.spawn(deliver_configs(active_config, steering.clone(), Arc::clone(&context)));
        tasks.spawn(run_heartbeats(timers.every(HEARTBEAT_INTERVAL), steering));
        tasks.spawn(run_idle_sweeps(timers.every(IDLE_SWEEP_INTERVAL), Arc::clone(&context)));
        let max_connections = context.settings.max_connections;
        let limits = ListenerLimits { max_connections, ..ListenerLimits::default() };
        let (_limits_sender, limits) = watch::channel(limits);
        let router = build_router(Arc::clone(&context));
        let listener = CallerListener::spawn(caller_listener, address, router, limits);
        Ok(Self { context, peer_address, listener, tasks, _timers: timers })
    }

    /// Returns the bound address for callers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.context.address
    }

    /// Returns the bound address for other instances.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the shared state, for inspection.
    #[must_use]
    pub const fn context(&self) -> &Arc<EntryContext> {
        &self.context
    }

    /// Performs a planned stop. Lookups stop listing this instance immediately and endpoints are
    /// handed over, but callers with a cached lookup are served until it expires. Then running
    /// requests end and the instance stops.
    pub async fn leave(self) {
        let Self { context, listener, mut tasks, _timers, .. } = self;
        if context.steering.tell(StartLeaving).await.is_err() {
            return;
        }
        tokio::time::sleep(LEAVE_PROPAGATION_DELAY + context.settings.lookup_ttl).await;
        listener.shut_down(LEAVE_TIMEOUT).await;
        wait_drained(&context).await;
        // No request can be started here any more, so another process may now run the tickets.
        if context.steering.tell(HandOverTickets).await.is_ok() {
            tokio::time::sleep(FRAME_FLUSH_DELAY).await;
        }
        remove_from_view(&context).await;
        context.events.record("stopped", &[]);
        tasks.shutdown().await;
    }
}

async fn bind(
    step: &'static str,
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), ProcessError> {
    let context = || BindSnafu { step, address: address.to_string() };
    let listener = TcpListener::bind(address).await.with_context(|_| context())?;
    let bound = listener.local_addr().with_context(|_| context())?;
    Ok((listener, bound))
}

fn group_member(identity: &PeerIdentity) -> GroupMember {
    GroupMember {
        instance: identity.instance.clone(),
        incarnation: identity.incarnation,
        address: identity.address,
        peer_address: identity.peer_address,
        domain: identity.domain.clone(),
        committee: LeaseCommittee::new(),
        is_leaving: false,
    }
}

fn steering_settings(settings: &EntrySettings) -> SteeringSettings {
    let promise_ttl = settings.lease;
    let lease = LeaseSettings { promise_ttl, rate_margin: promise_ttl / 10 };
    SteeringSettings { lease, ..SteeringSettings::default() }
}

async fn deliver_peer_events(
    mut peer_event_receiver: mpsc::Receiver<PeerEvent>,
    steering: ActorRef<SteeringActor>,
) {
    while let Some(event) = peer_event_receiver.recv().await {
        if steering.tell(event).await.is_err() {
            return;
        }
    }
}

async fn deliver_configs(
    mut active_config: watch::Receiver<Option<Arc<ActiveConfig>>>,
    steering: ActorRef<SteeringActor>,
    context: Arc<EntryContext>,
) {
    while active_config.changed().await.is_ok() {
        let state = active_config.borrow_and_update().clone();
        let Some(state) = state else {
            continue;
        };
        context.metrics.set_config_version(state.content.version);
        let content = Arc::clone(&state.content);
        let message = ActivateConfig { content, table: Arc::clone(&state.table) };
        if steering.tell(message).await.is_err() {
            return;
        }
    }
}

async fn run_heartbeats(mut ticks: mpsc::Receiver<()>, steering: ActorRef<SteeringActor>) {
    while ticks.recv().await.is_some() {
        if steering.tell(HeartbeatTick).await.is_err() {
            return;
        }
    }
}

async fn run_idle_sweeps(mut ticks: mpsc::Receiver<()>, context: Arc<EntryContext>) {
    while ticks.recv().await.is_some() {
        context.pool.close_expired();
    }
}

async fn wait_drained(context: &EntryContext) {
    let deadline = tokio::time::Instant::now() + LEAVE_TIMEOUT;
    while tokio::time::Instant::now() < deadline {
        if context.steering.ask(IsDrained).await.unwrap_or(true) {
            return;
        }
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
    log::warn!("event=leave-cut reason=timeout");
}

/// Removes this instance from the stored view. If the store does not respond, the other instances
/// take over its endpoints later.
async fn remove_from_view(context: &EntryContext) {
    let key = view_key(&context.settings.group);
    for _ in 0..MAX_DEPARTURE_ATTEMPTS {
        let Ok(Some((expected, view))) = context.steering.ask(GetDepartureView).await else {
            return;
        };
        let Ok(content) = serde_json::to_vec(&view) else {
            return;
        };
        match context.store.update(&key, expected, content.into()).await {
            UpdateOutcome::Done(_) => return,
            UpdateOutcome::Conflict => tokio::time::sleep(DRAIN_CHECK_INTERVAL).await,
            UpdateOutcome::NotDone(error) | UpdateOutcome::Unknown(error) => {
                log::warn!("event=departure-unwritten {error}");
                return;
            }
        }
    }
}
