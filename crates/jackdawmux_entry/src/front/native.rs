//! Parts of a front on accepted rules.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bpaf::{Parser, construct, long};
use jackdawmux_front::FrontSettings;
use jackdawmux_front::process::FrontParts;
use jackdawmux_native::{NativeDialect, RegionsError, RulesSource, read_regions};
use jackdawmux_policy::fleet::record::FleetBounds;
use jackdawmux_store::{HttpStore, ObjectStore, StoreError};
use snafu::{ResultExt, Snafu};

/// Repeats allowed for each first request of a service: a fifth more load at most.
const RETRY_RATIO: f64 = 0.2;
/// Repeats allowed beside that in one window, so that a quiet service can repeat at all.
const RETRY_SLACK: f64 = 60.0;
/// Window over which repeats are counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Factor on the rate of cold endpoints that the rules state.
const COLD_MULTIPLIER: f64 = 1.0;
/// Longest time to live of a look-up.
const LOOKUP_TTL_LONGEST: Duration = Duration::from_secs(5);
/// Time within which accepted rules and drains are acted upon.
const NEWS_DUE: Duration = Duration::from_secs(2);
/// Time for a planned stop, in milliseconds, while no flag states another.
const GRACE_DEFAULT_MILLIS: u64 = 6_000;
/// Descriptors that the process may use while no flag states another.
const DESCRIPTORS_DEFAULT: usize = 4_000;
/// Share of a core, in thousandths, while no flag states another.
const CAPACITY_DEFAULT: u32 = 1_000;

/// Flags of a front on accepted rules.
#[derive(Clone, Debug)]
pub(super) struct NativeFlags {
    store: String,
    pub(super) instance: String,
    failure_domain: String,
    listen: SocketAddr,
    ready_listen: SocketAddr,
    directory_listen: SocketAddr,
    heartbeat_listen: SocketAddr,
    metrics_port: Option<u16>,
    grace_ms: u64,
    max_descriptors: usize,
    capacity_permille: u32,
}

/// Why the parts cannot be opened.
#[derive(Debug, Snafu)]
pub(super) enum NativeError {
    /// The client of the store.
    #[snafu(display("{source}"))]
    Store { source: StoreError },
    /// The accepted rules.
    #[snafu(display("{source}"))]
    Regions { source: RegionsError },
    /// The failure domain is in no region of the accepted rules.
    #[snafu(display("step=settings error=\"failure domain {domain} is in no accepted region\""))]
    Domain { domain: String },
}

pub(super) fn parser() -> impl Parser<NativeFlags> {
    let any_port = || SocketAddr::new(IpAddr::from([127, 0, 0, 1]), 0);
    let store = long("store")
        .env("JACKDAWMUX_STORE")
        .help("Address of the object store with the accepted rules")
        .argument("URL");
    let instance = long("instance")
        .env("JACKDAWMUX_INSTANCE")
        .help("Name of this instance, unique in the deployment")
        .argument("NAME");
    let failure_domain = long("failure-domain")
        .env("JACKDAWMUX_FAILURE_DOMAIN")
        .help("Failure domain of this instance")
        .argument("NAME");
    let listen = long("listen")
        .env("JACKDAWMUX_LISTEN")
        .help("Address for callers")
        .argument("IP:PORT")
        .fallback(any_port());
    let ready_listen = long("ready-listen")
        .env("JACKDAWMUX_READY_LISTEN")
        .help("Address on which readiness is asked for")
        .argument("IP:PORT")
        .fallback(any_port());
    let directory_listen = long("directory-listen")
        .env("JACKDAWMUX_DIRECTORY_LISTEN")
        .help("Address for look-ups")
        .argument("IP:PORT")
        .fallback(any_port());
    let heartbeat_listen = long("heartbeat-listen")
        .env("JACKDAWMUX_HEARTBEAT_LISTEN")
        .help("Address for heartbeats of other instances")
        .argument("IP:PORT")
        .fallback(any_port());
    let metrics_port = long("metrics-port")
        .env("JACKDAWMUX_METRICS_PORT")
        .help("Port for metrics on the address for callers")
        .argument::<u16>("PORT")
        .optional();
    let grace_ms = long("grace-ms")
        .env("JACKDAWMUX_GRACE_MS")
        .help("Time for a planned stop")
        .argument("MILLISECONDS")
        .fallback(GRACE_DEFAULT_MILLIS);
    let max_descriptors = long("max-descriptors")
        .env("JACKDAWMUX_MAX_DESCRIPTORS")
        .help("Descriptors that the process may use")
        .argument("COUNT")
        .fallback(DESCRIPTORS_DEFAULT);
    let capacity_permille = long("capacity-permille")
        .env("JACKDAWMUX_CAPACITY_PERMILLE")
        .help("Share of a core, in thousandths, by which look-ups name this instance")
        .argument("COUNT")
        .fallback(CAPACITY_DEFAULT);
    construct!(NativeFlags {
        store,
        instance,
        failure_domain,
        listen,
        ready_listen,
        directory_listen,
        heartbeat_listen,
        metrics_port,
        grace_ms,
        max_descriptors,
        capacity_permille
    })
}

/// Opens the parts. Regions are read once; a change of them needs a restart.
pub(super) async fn parts(flags: NativeFlags) -> Result<FrontParts, NativeError> {
    let store = HttpStore::open(&flags.store, None).context(StoreSnafu)?;
    let store: Arc<dyn ObjectStore> = Arc::new(store);
    let regions = read_regions(store.as_ref()).await.context(RegionsSnafu)?;
    if !regions.contains_key(&flags.failure_domain) {
        return DomainSnafu { domain: flags.failure_domain }.fail();
    }
    let source = Arc::new(RulesSource::new(store, &flags.store));
    let settings = settings(flags, regions);
    let unchanged = settings.clone();
    Ok(FrontParts {
        settings,
        source,
        dialect: Arc::new(NativeDialect),
        reader: Box::new(move || Ok(unchanged.clone())),
    })
}

fn settings(flags: NativeFlags, regions: BTreeMap<String, String>) -> FrontSettings {
    let ip = flags.listen.ip();
    FrontSettings {
        instance: flags.instance,
        domain: flags.failure_domain,
        regions,
        listen: flags.listen,
        ready_listen: flags.ready_listen,
        directory_listen: flags.directory_listen,
        heartbeat_listen: flags.heartbeat_listen,
        metrics_listen: flags.metrics_port.map(|port| SocketAddr::new(ip, port)),
        capacity_permille: flags.capacity_permille,
        max_descriptors: flags.max_descriptors,
        bounds: FleetBounds {
            retry_ratio: RETRY_RATIO,
            retry_slack: RETRY_SLACK,
            retry_window: RETRY_WINDOW,
            cold_multiplier: COLD_MULTIPLIER,
            grace: Duration::from_millis(flags.grace_ms),
            lookup_ttl_max: LOOKUP_TTL_LONGEST,
            update_deadline: NEWS_DUE,
        },
    }
}
