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
    GetDepartureView, HandOverTickets, HeartbeatTick, PutInForce, StartLeaving, WaitDrained,
};
use super::settings::{EntrySettings, parse_settings, settings_parser};
use super::steering::{SteeringActor, SteeringParts};
use super::timeline::EventLog;
use super::view::{view_key, watch_view};
use crate::connection::UpstreamPool;
use crate::request::{IdempotencyKeyTable, build_router};
use crate::version::{ActiveConfig, ConfigActor, ConfigParts, HeadWatch, watch_head};
use jackdawmux_runtime::ProcessClock;
use jackdawmux_runtime::ProcessMetrics;
use jackdawmux_runtime::{CallerListener, ListenerLimits};
use jackdawmux_runtime::{StopSignal, TimerService};

/// Time between heartbeats to peers.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(200);
/// Time between sweeps of idle connections.
const SWEEP_PERIOD: Duration = Duration::from_secs(5);
/// Frames of peers that wait for the steering actor.
const PEER_QUEUE: usize = 4_096;
/// Time for all other instances to learn that this one leaves; until then they may name it.
const LEAVE_NOTICE: Duration = Duration::from_millis(800);
/// Longest time for a planned stop after look-ups have run out.
const LEAVE_LONGEST: Duration = Duration::from_secs(60);
/// Pause between checks whether everything has ended.
const DRAIN_CHECK: Duration = Duration::from_millis(50);
/// Time for the last frames to reach peers.
const FRAME_FLUSH: Duration = Duration::from_millis(100);
/// Tries to write the view without this instance.
const DEPARTURE_TRIES: usize = 5;

/// A running instance.
#[derive(Debug)]
pub struct EntryProcess {
    context: Arc<EntryContext>,
    peer_address: SocketAddr,
    listener: CallerListener,
    tasks: JoinSet<()>,
    _timers: TimerService,
}

/// Runs the program: settings, logs, the instance, and a graceful stop on a signal.
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
        Err(mistakes) => {
            for mistake in mistakes {
                log::error!("event=setting-refused error={:?}", mistake.to_string());
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

/// One thread needs no wake-ups between threads, which is most of what a short request costs.
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
    /// Binds the addresses and starts every part.
    ///
    /// # Errors
    /// When an address cannot be bound or a part cannot be set up.
    pub async fn open(settings: EntrySettings) -> Result<Self, ProcessError> {
        let store = Arc::new(HttpStore::open(&settings.store, None).context(StoreSnafu)?) as Arc<_>;
        Self::open_with(settings, store).await
    }

    /// As [`Self::open`], with a client of the store that the caller has set up.
    ///
    /// # Errors
    /// When an address cannot be bound or a part cannot be set up.
    pub async fn open_with(
        settings: EntrySettings,
        store: Arc<dyn ObjectStore>,
    ) -> Result<Self, ProcessError> {
        let (callers, address) = bind("listen", settings.listen).await?;
        let (peers, peer_address) = bind("peer-listen", settings.peer_listen).await?;
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
        let (peer_events, incoming) = mpsc::channel(PEER_QUEUE);
        let hub = PeerHub::spawn(peers, identity.clone(), keys.clone(), peer_events)
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
            own: identity.clone(),
            steering: InstanceSteering::new(member_of(&identity), steering_settings(&settings)),
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
        // Unbounded, because a slot must always find its way back; what can queue is bounded by
        // the connections of callers and the queue of peers' frames.
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
        let head_watch = HeadWatch {
            store,
            config,
            active_config: active_config.clone(),
            events,
            directory,
            own: identity.incarnation,
            domain: identity.domain.clone(),
        };
        tasks.spawn(watch_head(head_watch));
        tasks.spawn(pass_frames(incoming, steering.clone()));
        tasks.spawn(pass_versions(active_config, steering.clone(), Arc::clone(&context)));
        tasks.spawn(beat_regularly(timers.every(HEARTBEAT_PERIOD), steering));
        tasks.spawn(sweep_regularly(timers.every(SWEEP_PERIOD), Arc::clone(&context)));
        let max_connections = context.settings.max_connections;
        let limits = ListenerLimits { max_connections, ..ListenerLimits::default() };
        let (_fixed, limits) = watch::channel(limits);
        let router = build_router(Arc::clone(&context));
        let listener = CallerListener::spawn(callers, address, router, limits);
        Ok(Self { context, peer_address, listener, tasks, _timers: timers })
    }

    /// Address for callers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.context.address
    }

    /// Address for other instances.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Shared parts, for inspection.
    #[must_use]
    pub const fn context(&self) -> &Arc<EntryContext> {
        &self.context
    }

    /// Leaves: look-ups stop naming this instance at once, cached look-ups still work until
    /// their time to live, endpoints are handed over, requests end, and the instance stops.
    pub async fn leave(self) {
        let Self { context, listener, mut tasks, _timers, .. } = self;
        if context.steering.tell(StartLeaving).await.is_err() {
            return;
        }
        tokio::time::sleep(LEAVE_NOTICE + context.settings.lookup_ttl).await;
        listener.shut_down(LEAVE_LONGEST).await;
        wait_drained(&context).await;
        // Nothing can be started here any more; only now may another process run its tickets.
        if context.steering.tell(HandOverTickets).await.is_ok() {
            tokio::time::sleep(FRAME_FLUSH).await;
        }
        depart(&context).await;
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

fn member_of(identity: &PeerIdentity) -> GroupMember {
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

async fn pass_frames(mut incoming: mpsc::Receiver<PeerEvent>, steering: ActorRef<SteeringActor>) {
    while let Some(event) = incoming.recv().await {
        if steering.tell(event).await.is_err() {
            return;
        }
    }
}

async fn pass_versions(
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
        let message = PutInForce { content, table: Arc::clone(&state.table) };
        if steering.tell(message).await.is_err() {
            return;
        }
    }
}

async fn beat_regularly(mut ticks: mpsc::Receiver<()>, steering: ActorRef<SteeringActor>) {
    while ticks.recv().await.is_some() {
        if steering.tell(HeartbeatTick).await.is_err() {
            return;
        }
    }
}

async fn sweep_regularly(mut ticks: mpsc::Receiver<()>, context: Arc<EntryContext>) {
    while ticks.recv().await.is_some() {
        context.pool.close_expired();
    }
}

async fn wait_drained(context: &EntryContext) {
    let longest = tokio::time::Instant::now() + LEAVE_LONGEST;
    while tokio::time::Instant::now() < longest {
        if context.steering.ask(WaitDrained).await.unwrap_or(true) {
            return;
        }
        tokio::time::sleep(DRAIN_CHECK).await;
    }
    log::warn!("event=leave-cut reason=timeout");
}

/// Takes this instance out of the stored view; without the store, others take over later.
async fn depart(context: &EntryContext) {
    let key = view_key(&context.settings.group);
    for _ in 0..DEPARTURE_TRIES {
        let Ok(Some((expected, view))) = context.steering.ask(GetDepartureView).await else {
            return;
        };
        let Ok(content) = serde_json::to_vec(&view) else {
            return;
        };
        match context.store.update(&key, expected, content.into()).await {
            UpdateOutcome::Done(_) => return,
            UpdateOutcome::Conflict => tokio::time::sleep(DRAIN_CHECK).await,
            UpdateOutcome::NotDone(error) | UpdateOutcome::Unknown(error) => {
                log::warn!("event=departure-unwritten {error}");
                return;
            }
        }
    }
}
