//! A fleet under test: front processes and the stand-ins around them.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use jackdawmux_platform_standins::caller::is_ready;
use jackdawmux_platform_standins::endpoint::{Behaviour, EndpointRegistration, EndpointStandin};
use jackdawmux_platform_standins::machine::MachineConfig;
use jackdawmux_platform_standins::manifest::{FIRST_SERVICE, SECOND_SERVICE, manifest_for};
use jackdawmux_platform_standins::partition::EndpointLinks;
use jackdawmux_platform_standins::store::{StoreObject, StoreStandin};
use tokio::time::{sleep, timeout};

use crate::child::{KillOnDropChild, spawn_front};
use crate::disturbance::DisturbanceLog;
use crate::proxy::LinkProxy;
use crate::record::{ExclusionRecord, FrontProcessRecord, PartitionRecord, VersionRecord};
use crate::run::SoakSize;

/// Failure domains with their regions.
pub const DOMAINS: [(&str, &str); 6] = [
    ("north-a", "north"),
    ("north-b", "north"),
    ("mid-a", "mid"),
    ("mid-b", "mid"),
    ("south-a", "south"),
    ("south-b", "south"),
];
/// Time that an endpoint takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(15);
/// Time for which a replacement endpoint is cold, in milliseconds.
pub const COLD_DURATION_MS: u64 = 2_000;
/// Time within which each front must become ready at the start of a run.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two readiness checks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Ports of an instance: callers, readiness, lookups, heartbeats.
const PORTS_PER_INSTANCE: u16 = 4;
/// Number of instances in one /24 block of loopback addresses.
const INSTANCES_PER_BLOCK: u32 = 250;
/// Second octet of the first block of loopback addresses.
const FIRST_BLOCK_OCTET: u8 = 77;
/// Number of the next instance. Each instance that this process starts has its own loopback
/// address.
static NEXT_INSTANCE_NUMBER: AtomicU32 = AtomicU32::new(0);

/// A front instance, with its links and its current process.
#[derive(Debug)]
pub struct SoakFront {
    /// Configuration of the instance.
    pub config: MachineConfig,
    /// Link from the callers to the front.
    pub caller_link: LinkProxy,
    /// Link from the front to the store.
    pub store_link: LinkProxy,
    /// Links from the front to all endpoints.
    pub endpoint_links: EndpointLinks,
    /// The process; none while the front is down.
    pub child: Mutex<Option<KillOnDropChild>>,
    /// Number of process starts so far.
    pub starts: AtomicU64,
}

impl SoakFront {
    /// Number of process starts so far.
    pub fn start_count(&self) -> u64 {
        self.starts.load(Ordering::SeqCst)
    }

    /// Locks the process of the front; none while the front is down.
    pub fn lock_child(&self) -> MutexGuard<'_, Option<KillOnDropChild>> {
        self.child.lock().expect("no task panicked")
    }
}

/// An endpoint and the link over which fronts reach it.
#[derive(Debug)]
pub struct SoakEndpoint {
    /// Stand-in for the endpoint.
    pub standin: EndpointStandin,
    /// Link from the fronts to the endpoint.
    pub link: LinkProxy,
    /// Service of the endpoint.
    pub service: &'static str,
    /// Failure domain of the endpoint.
    pub domain: &'static str,
    /// When the endpoint was started as a cold one; none if it was warm from the start.
    pub cold_since: Option<Instant>,
}

impl SoakEndpoint {
    /// Writes the registration of the endpoint to the store.
    pub fn register(&self, store: &StoreStandin, is_draining: bool) {
        let registration = EndpointRegistration {
            address: self.link.address,
            service: self.service,
            domain: self.domain,
            is_draining,
            cold_ms: if self.cold_since.is_some() { COLD_DURATION_MS } else { 0 },
            started_later_ms: 0,
        };
        self.standin.write_registration(store, &registration);
    }
}

/// What was done to the fleet during a run, and the failures found while doing it.
#[derive(Debug, Default)]
pub struct FleetLog {
    /// Configuration versions written, oldest first.
    pub versions: Vec<VersionRecord>,
    /// Endpoints that are draining or were removed from the store.
    pub drains: Vec<ExclusionRecord>,
    /// Evacuations of failure domains.
    pub evacuations: Vec<ExclusionRecord>,
    /// Partitions of fronts from all endpoints.
    pub partitions: Vec<PartitionRecord>,
    /// Front processes, in the order of their starts.
    pub front_processes: Vec<FrontProcessRecord>,
    /// Unexpected exits, planned stops that failed or took too long, and faults that could not be
    /// injected.
    pub failures: Vec<String>,
}

/// A running fleet.
#[derive(Debug)]
pub struct SoakFleet {
    /// Stand-in for the store.
    pub store: StoreStandin,
    /// Fronts, by index.
    pub fronts: Vec<SoakFront>,
    /// Current endpoint of each position; a replacement takes the position of its predecessor.
    pub active_endpoints: Vec<tokio::sync::Mutex<Arc<SoakEndpoint>>>,
    /// All endpoints started during the run, including stopped ones.
    pub all_endpoints: Mutex<Vec<Arc<SoakEndpoint>>>,
    /// Disturbances of the run.
    pub disturbances: DisturbanceLog,
    /// Other events of the run.
    pub events: Mutex<FleetLog>,
    /// Time that a front has for a planned stop.
    pub grace: Duration,
    program: PathBuf,
    directory: PathBuf,
    next_endpoint: AtomicU32,
}

impl SoakFleet {
    /// Starts the store, the endpoints and the fronts, and waits until each front is ready.
    ///
    /// # Errors
    /// When a port cannot be bound, a file cannot be written, a process cannot be started, or a
    /// front does not become ready in time.
    pub async fn start(
        size: SoakSize,
        program: PathBuf,
        directory: PathBuf,
    ) -> io::Result<Arc<Self>> {
        let store = StoreStandin::bind().await;
        let mut fronts = Vec::new();
        for index in 0..size.fronts {
            fronts.push(prepare_front(index, &store, size.grace).await?);
        }
        let mut fleet = Self {
            store,
            fronts,
            active_endpoints: Vec::new(),
            all_endpoints: Mutex::default(),
            disturbances: DisturbanceLog::default(),
            events: Mutex::default(),
            grace: size.grace,
            program,
            directory,
            next_endpoint: AtomicU32::new(0),
        };
        fleet.write_version(2, FIRST_SERVICE);
        for position in 0..size.endpoints {
            let endpoint = fleet.start_endpoint(position, false).await?;
            fleet.active_endpoints.push(tokio::sync::Mutex::new(endpoint));
        }
        for front in 0..fleet.fronts.len() {
            fleet.start_front(front)?;
        }
        for front in &fleet.fronts {
            let ready = async {
                while !is_ready(front.config.ready_address()).await {
                    sleep(POLL_INTERVAL).await;
                }
            };
            timeout(STARTUP_TIMEOUT, ready).await?;
        }
        Ok(Arc::new(fleet))
    }

    /// Locks the event log.
    pub fn events(&self) -> MutexGuard<'_, FleetLog> {
        self.events.lock().expect("no task panicked")
    }

    /// Writes the original settings of a front and starts its process.
    ///
    /// # Errors
    /// When a file cannot be written or the process cannot be started.
    pub fn start_front(&self, index: usize) -> io::Result<()> {
        let front = &self.fronts[index];
        let settings = self.settings_path(index);
        self.write_settings(index, &front.config.settings(&DOMAINS))?;
        let child = spawn_front(&self.program, &settings, &self.log_path(index))?;
        let mut child_slot = front.lock_child();
        let start_number = front.starts.fetch_add(1, Ordering::SeqCst) + 1;
        let process = FrontProcessRecord {
            front: index,
            start_number,
            started_at: Instant::now(),
            exited_at: None,
            stop_requested_at: None,
        };
        self.events().front_processes.push(process);
        *child_slot = Some(child);
        Ok(())
    }

    /// Kills every front process. This must come before links and stand-ins are dropped: another
    /// run may then reuse their ports, and a front that still runs would connect to them.
    pub fn kill_fronts(&self) {
        for front in &self.fronts {
            if let Some(mut child) = front.lock_child().take() {
                child.kill();
            }
        }
    }

    fn settings_path(&self, index: usize) -> PathBuf {
        self.directory.join(format!("front-{index}.toml"))
    }

    /// Replaces the settings file of a front atomically, so that a process that reads it meanwhile
    /// gets either the old or the new content.
    ///
    /// # Errors
    /// When the file cannot be written.
    pub fn write_settings(&self, index: usize, text: &str) -> io::Result<()> {
        let temporary = self.directory.join(format!("front-{index}.toml.new"));
        std::fs::write(&temporary, text)?;
        std::fs::rename(&temporary, self.settings_path(index))
    }

    /// Log file of a front, shared by all its processes.
    fn log_path(&self, index: usize) -> PathBuf {
        self.directory.join(format!("front-{index}.log"))
    }

    /// Whether the last line of a front's log reports a completed stop.
    pub fn is_stop_logged(&self, index: usize) -> bool {
        match std::fs::read_to_string(self.log_path(index)) {
            Ok(text) => text.lines().last().is_some_and(|line| line.contains("event=stopped")),
            Err(error) => {
                log::error!("event=log-unread front={index} error={error:?}");
                false
            }
        }
    }

    /// Changes the record of a front's newest process.
    pub fn update_front_process(&self, index: usize, change: impl FnOnce(&mut FrontProcessRecord)) {
        let mut events = self.events();
        if let Some(process) =
            events.front_processes.iter_mut().rev().find(|process| process.front == index)
        {
            change(process);
        }
    }

    /// Starts an endpoint and registers it. Even positions belong to the first service, odd ones to
    /// the second.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn start_endpoint(
        &self,
        position: usize,
        is_cold: bool,
    ) -> io::Result<Arc<SoakEndpoint>> {
        let number = self.next_endpoint.fetch_add(1, Ordering::SeqCst);
        let standin = EndpointStandin::bind(&format!("i-{number}"), Behaviour::Answer).await;
        standin.set_service_time(SERVICE_TIME);
        let link = LinkProxy::bind(standin.address).await?;
        for front in &self.fronts {
            front.endpoint_links.add(link.address).await?;
        }
        let service = if position.is_multiple_of(2) { FIRST_SERVICE } else { SECOND_SERVICE };
        let domain = DOMAINS[position / 2 % DOMAINS.len()].0;
        let cold_since = is_cold.then(Instant::now);
        let endpoint = Arc::new(SoakEndpoint { standin, link, service, domain, cold_since });
        endpoint.register(&self.store, false);
        self.all_endpoints.lock().expect("no task panicked").push(Arc::clone(&endpoint));
        Ok(endpoint)
    }

    /// Writes a configuration version whose safe and unsafe routes lead to `service`.
    pub fn write_version(&self, version: u64, service: &'static str) {
        let write_started_at = Instant::now();
        self.store.put_spec(StoreObject::Config, manifest_for(version, service));
        let record = VersionRecord { version, service, write_started_at, acked_at: Instant::now() };
        self.events().versions.push(record);
    }
}

async fn prepare_front(
    index: usize,
    store: &StoreStandin,
    grace: Duration,
) -> io::Result<SoakFront> {
    let number = NEXT_INSTANCE_NUMBER.fetch_add(1, Ordering::SeqCst);
    let [.., high, low] = (number / INSTANCES_PER_BLOCK).to_be_bytes();
    let host = u8::try_from(number % INSTANCES_PER_BLOCK).map_err(io::Error::other)? + 1;
    let ip = IpAddr::V4(Ipv4Addr::new(127, FIRST_BLOCK_OCTET + high, low, host));
    let port = find_free_ports(ip)?;
    let endpoint_links = EndpointLinks::open(store).await;
    let store_link = LinkProxy::bind(endpoint_links.view.address).await?;
    let config = MachineConfig {
        name: format!("front-{index}"),
        domain: DOMAINS[index % DOMAINS.len()].0.to_owned(),
        ip,
        port,
        store: store_link.address,
        grace,
    };
    let caller_link = LinkProxy::bind(config.address()).await?;
    let (child, starts) = (Mutex::new(None), AtomicU64::new(0));
    Ok(SoakFront { config, caller_link, store_link, endpoint_links, child, starts })
}

/// Finds consecutive free ports and returns the first. No other instance that this process starts
/// uses the address, so the ports stay free until the front binds them.
fn find_free_ports(ip: IpAddr) -> io::Result<u16> {
    loop {
        let first = TcpListener::bind(SocketAddr::new(ip, 0))?.local_addr()?.port();
        let mut ports = (0..PORTS_PER_INSTANCE).map(|offset| first.checked_add(offset));
        let is_free = ports.all(|port| {
            port.is_some_and(|port| TcpListener::bind(SocketAddr::new(ip, port)).is_ok())
        });
        if is_free {
            return Ok(first);
        }
    }
}
