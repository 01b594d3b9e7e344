//! The fronts as processes, and the stand-ins around them.

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
use jackdawmux_platform_standins::store::{StoreObject, StoreStandin};
use tokio::time::{sleep, timeout};

use crate::child::{OwnedChild, spawn_front};
use crate::disturbance::DisturbanceLog;
use crate::proxy::LinkProxy;
use crate::record::{FrontLife, LeavingFact, VersionFact};
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
/// Time that an endpoint works on a request.
const WORK: Duration = Duration::from_millis(15);
/// How long a new endpoint is cold, in milliseconds.
pub const COLD_MILLIS: u64 = 2_000;
/// Longest time until every front is ready at the start of a run.
const START_LONGEST: Duration = Duration::from_secs(20);
/// Pause between looks at readiness.
const LOOK_PAUSE: Duration = Duration::from_millis(20);
/// Ports of a machine: callers, readiness, look-ups, heartbeats.
const MACHINE_PORTS: u16 = 4;
/// Machines of one block of loopback addresses.
const HOSTS_PER_BLOCK: u32 = 250;
/// Second byte of the first block.
const FIRST_BLOCK: u8 = 77;
/// Machines have loopback addresses of their own, numbered through the process.
static NEXT_MACHINE: AtomicU32 = AtomicU32::new(0);

/// A front.
#[derive(Debug)]
pub struct SoakFront {
    /// Its machine.
    pub site: MachineConfig,
    /// Link from callers.
    pub callers: LinkProxy,
    /// Link to the store.
    pub store_link: LinkProxy,
    /// The process; none while it is down.
    pub child: Mutex<Option<OwnedChild>>,
    /// How often it has been started.
    pub starts: AtomicU64,
}

impl SoakFront {
    /// How often it has been started.
    pub fn start_count(&self) -> u64 {
        self.starts.load(Ordering::SeqCst)
    }

    /// The process.
    pub fn lock(&self) -> MutexGuard<'_, Option<OwnedChild>> {
        self.child.lock().expect("no task panicked")
    }
}

/// An endpoint behind its link.
#[derive(Debug)]
pub struct SoakEndpoint {
    /// The endpoint.
    pub standin: EndpointStandin,
    /// Link to it.
    pub link: LinkProxy,
    /// Service.
    pub service: &'static str,
    /// Failure domain.
    pub domain: &'static str,
    /// When it registered as cold.
    pub cold_from: Option<Instant>,
}

impl SoakEndpoint {
    /// Writes its registration.
    pub fn claim(&self, store: &StoreStandin, is_draining: bool) {
        let registration = EndpointRegistration {
            address: self.link.address,
            service: self.service,
            domain: self.domain,
            is_draining,
            cold_ms: if self.cold_from.is_some() { COLD_MILLIS } else { 0 },
        };
        self.standin.write_registration(store, &registration);
    }
}

/// What the operator did, and how long fronts lived.
#[derive(Debug, Default)]
pub struct FactLog {
    /// Versions, oldest first.
    pub versions: Vec<VersionFact>,
    /// Endpoints that are leaving or gone.
    pub drains: Vec<LeavingFact>,
    /// Failure domains to be left alone.
    pub evacuations: Vec<LeavingFact>,
    /// Starts of fronts.
    pub lives: Vec<FrontLife>,
    /// Ends that nobody asked for, and stops that took too long.
    pub odd_ends: Vec<String>,
}

/// A whole fleet.
#[derive(Debug)]
pub struct SoakFleet {
    /// The store.
    pub store: StoreStandin,
    /// Fronts.
    pub fronts: Vec<SoakFront>,
    /// Endpoints in use, by place.
    pub places: Vec<tokio::sync::Mutex<Arc<SoakEndpoint>>>,
    /// Every endpoint that there ever was.
    pub endpoints: Mutex<Vec<Arc<SoakEndpoint>>>,
    /// Disturbances.
    pub disturbances: DisturbanceLog,
    /// Other facts.
    pub facts: Mutex<FactLog>,
    program: PathBuf,
    directory: PathBuf,
    next_endpoint: AtomicU32,
}

impl SoakFleet {
    /// Starts everything and waits until each front is ready.
    ///
    /// # Errors
    /// When a port, a file or a process cannot be had, or a front does not become ready.
    pub async fn start(
        size: SoakSize,
        program: PathBuf,
        directory: PathBuf,
    ) -> io::Result<Arc<Self>> {
        let store = StoreStandin::bind().await;
        let mut fronts = Vec::new();
        for index in 0..size.fronts {
            fronts.push(open_front(index, &store).await?);
        }
        let mut fleet = Self {
            store,
            fronts,
            places: Vec::new(),
            endpoints: Mutex::default(),
            disturbances: DisturbanceLog::default(),
            facts: Mutex::default(),
            program,
            directory,
            next_endpoint: AtomicU32::new(0),
        };
        fleet.write_version(2, FIRST_SERVICE);
        for place in 0..size.endpoints {
            let endpoint = fleet.open_endpoint(place, false).await?;
            fleet.places.push(tokio::sync::Mutex::new(endpoint));
        }
        for front in 0..fleet.fronts.len() {
            fleet.start_front(front)?;
        }
        for front in &fleet.fronts {
            let ready = async {
                while !is_ready(front.site.ready_address()).await {
                    sleep(LOOK_PAUSE).await;
                }
            };
            timeout(START_LONGEST, ready).await?;
        }
        Ok(Arc::new(fleet))
    }

    /// The facts.
    pub fn facts(&self) -> MutexGuard<'_, FactLog> {
        self.facts.lock().expect("no task panicked")
    }

    /// Starts a front's process.
    ///
    /// # Errors
    /// When a file or the process cannot be had.
    pub fn start_front(&self, index: usize) -> io::Result<()> {
        let front = &self.fronts[index];
        let settings = self.settings_path(index);
        self.write_settings(index, &front.site.settings(&DOMAINS))?;
        let child = spawn_front(&self.program, &settings, &self.log_path(index))?;
        let mut slot = front.lock();
        let start = front.starts.fetch_add(1, Ordering::SeqCst) + 1;
        let life =
            FrontLife { front: index, start, from: Instant::now(), until: None, stop_asked: None };
        self.facts().lives.push(life);
        *slot = Some(child);
        Ok(())
    }

    /// Kills every front. Links and stand-ins end after them: their ports may soon belong to
    /// another run, which a front that still lives would call.
    pub fn end(&self) {
        for front in &self.fronts {
            if let Some(mut child) = front.lock().take() {
                child.kill();
            }
        }
    }

    fn settings_path(&self, index: usize) -> PathBuf {
        self.directory.join(format!("front-{index}.toml"))
    }

    /// Puts a settings file in place of a front's as a whole: a process that starts meanwhile reads
    /// the old or the new one.
    ///
    /// # Errors
    /// When the file cannot be written.
    pub fn write_settings(&self, index: usize, text: &str) -> io::Result<()> {
        let fresh = self.directory.join(format!("front-{index}.toml.new"));
        std::fs::write(&fresh, text)?;
        std::fs::rename(&fresh, self.settings_path(index))
    }

    /// The log of a front, over all its starts.
    fn log_path(&self, index: usize) -> PathBuf {
        self.directory.join(format!("front-{index}.log"))
    }

    /// Whether the last line of a front's log tells of its stop.
    pub fn is_stop_logged(&self, index: usize) -> bool {
        match std::fs::read_to_string(self.log_path(index)) {
            Ok(text) => text.lines().last().is_some_and(|line| line.contains("event=stopped")),
            Err(error) => {
                log::error!("event=log-unread front={index} error={error:?}");
                false
            }
        }
    }

    /// Changes the record of a front's newest start.
    pub fn change_life(&self, index: usize, change: impl FnOnce(&mut FrontLife)) {
        let mut facts = self.facts();
        if let Some(life) = facts.lives.iter_mut().rev().find(|life| life.front == index) {
            change(life);
        }
    }

    /// Starts an endpoint and registers it. Odd places belong to the second service.
    ///
    /// # Errors
    /// When a port cannot be had.
    pub async fn open_endpoint(
        &self,
        place: usize,
        is_cold: bool,
    ) -> io::Result<Arc<SoakEndpoint>> {
        let number = self.next_endpoint.fetch_add(1, Ordering::SeqCst);
        let standin = EndpointStandin::bind(&format!("i-{number}"), Behaviour::Answer).await;
        standin.set_service_time(WORK);
        let link = LinkProxy::bind(standin.address).await?;
        let service = if place.is_multiple_of(2) { FIRST_SERVICE } else { SECOND_SERVICE };
        let domain = DOMAINS[place / 2 % DOMAINS.len()].0;
        let cold_from = is_cold.then(Instant::now);
        let endpoint = Arc::new(SoakEndpoint { standin, link, service, domain, cold_from });
        endpoint.claim(&self.store, false);
        self.endpoints.lock().expect("no task panicked").push(Arc::clone(&endpoint));
        Ok(endpoint)
    }

    /// Writes a version of the configuration.
    pub fn write_version(&self, version: u64, service: &'static str) {
        let written_at = Instant::now();
        self.store.put_spec(StoreObject::Config, manifest_for(version, service));
        let fact = VersionFact { version, service, written_at, acked_at: Instant::now() };
        self.facts().versions.push(fact);
    }
}

async fn open_front(index: usize, store: &StoreStandin) -> io::Result<SoakFront> {
    let number = NEXT_MACHINE.fetch_add(1, Ordering::SeqCst);
    let [.., high, low] = (number / HOSTS_PER_BLOCK).to_be_bytes();
    let host = u8::try_from(number % HOSTS_PER_BLOCK).map_err(io::Error::other)? + 1;
    let ip = IpAddr::V4(Ipv4Addr::new(127, FIRST_BLOCK + high, low, host));
    let port = free_ports(ip)?;
    let store_link = LinkProxy::bind(store.address).await?;
    let site = MachineConfig {
        name: format!("front-{index}"),
        domain: DOMAINS[index % DOMAINS.len()].0.to_owned(),
        ip,
        port,
        store: store_link.address,
    };
    let callers = LinkProxy::bind(site.address()).await?;
    let (child, starts) = (Mutex::new(None), AtomicU64::new(0));
    Ok(SoakFront { site, callers, store_link, child, starts })
}

/// First of a row of free ports. The address belongs to one machine of this run, so that nothing
/// else takes them before the process does.
fn free_ports(ip: IpAddr) -> io::Result<u16> {
    loop {
        let first = TcpListener::bind(SocketAddr::new(ip, 0))?.local_addr()?.port();
        let mut row = (0..MACHINE_PORTS).map(|step| first.checked_add(step));
        let is_free = row.all(|port| {
            port.is_some_and(|port| TcpListener::bind(SocketAddr::new(ip, port)).is_ok())
        });
        if is_free {
            return Ok(first);
        }
    }
}
