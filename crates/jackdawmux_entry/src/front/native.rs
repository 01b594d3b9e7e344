//! Flags and parts of a front with accepted rules from the object store.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bpaf::{Parser, construct, long};
use jackdawmux_front::FrontSettings;
use jackdawmux_front::process::{FrontParts, SettingsReader};
use jackdawmux_native::{NativeDialect, RegionsError, RulesSource, read_regions};
use jackdawmux_policy::fleet::record::FleetBounds;
use jackdawmux_store::{HttpStore, ObjectStore, StoreError};
use snafu::{ResultExt, Snafu};

/// Retries allowed per first attempt of a service. Retries add a fifth of the load at most.
const RETRY_RATIO: f64 = 0.2;
/// Retries allowed in one window in addition to the ratio, so that a service with few requests can
/// retry at all.
const RETRY_SLACK: f64 = 60.0;
/// Window over which retries are counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Factor on the request rate that the rules allow for cold endpoints.
const COLD_MULTIPLIER: f64 = 1.0;
/// Maximum time to live of a lookup response.
const MAX_LOOKUP_TTL: Duration = Duration::from_secs(5);
/// Time within which accepted rules and drains take effect.
const UPDATE_DEADLINE: Duration = Duration::from_secs(2);
/// Time limit of a planned stop, in milliseconds, unless set by a flag.
const DEFAULT_GRACE_MS: u64 = 6_000;
/// Maximum number of file descriptors, unless set by a flag.
const DEFAULT_MAX_DESCRIPTORS: usize = 4_000;
/// Share of a core, in thousandths, unless set by a flag.
const DEFAULT_CAPACITY_PERMILLE: u32 = 1_000;

/// Flags of a front with accepted rules from the object store.
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

/// Reason why the parts of the front could not be opened.
#[derive(Debug, Snafu)]
pub(super) enum NativeError {
    /// The client of the object store could not be set up.
    #[snafu(display("{source}"))]
    Store { source: StoreError },
    /// The regions of the accepted rules could not be read.
    #[snafu(display("{source}"))]
    Regions { source: RegionsError },
    /// No region of the accepted rules contains the failure domain.
    #[snafu(display("step=settings error=\"failure domain {domain} is in no accepted region\""))]
    Domain { domain: String },
}

pub(super) fn parser() -> impl Parser<NativeFlags> {
    let any_port = || SocketAddr::new(IpAddr::from([127, 0, 0, 1]), 0);
    let store = long("store")
        .env("JACKDAWMUX_STORE")
        .help("URL of the object store with the accepted rules")
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
        .help("Address for readiness checks")
        .argument("IP:PORT")
        .fallback(any_port());
    let directory_listen = long("directory-listen")
        .env("JACKDAWMUX_DIRECTORY_LISTEN")
        .help("Address for lookups")
        .argument("IP:PORT")
        .fallback(any_port());
    let heartbeat_listen = long("heartbeat-listen")
        .env("JACKDAWMUX_HEARTBEAT_LISTEN")
        .help("Address for heartbeats of other instances")
        .argument("IP:PORT")
        .fallback(any_port());
    let metrics_port = long("metrics-port")
        .env("JACKDAWMUX_METRICS_PORT")
        .help("Port for metrics on the IP address for callers")
        .argument::<u16>("PORT")
        .optional();
    let grace_ms = long("grace-ms")
        .env("JACKDAWMUX_GRACE_MS")
        .help("Time limit of a planned stop, in milliseconds")
        .argument("MILLISECONDS")
        .fallback(DEFAULT_GRACE_MS);
    let max_descriptors = long("max-descriptors")
        .env("JACKDAWMUX_MAX_DESCRIPTORS")
        .help("Maximum number of file descriptors of the process")
        .argument("COUNT")
        .fallback(DEFAULT_MAX_DESCRIPTORS);
    let capacity_permille = long("capacity-permille")
        .env("JACKDAWMUX_CAPACITY_PERMILLE")
        .help("Share of a core, in thousandths, by which lookups weight this instance")
        .argument("COUNT")
        .fallback(DEFAULT_CAPACITY_PERMILLE);
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

/// Opens the parts of the front. Regions are read only once, so a change to them takes effect after
/// a restart.
pub(super) async fn parts(flags: NativeFlags) -> Result<FrontParts, NativeError> {
    let store = HttpStore::open(&flags.store, None).context(StoreSnafu)?;
    let store: Arc<dyn ObjectStore> = Arc::new(store);
    let regions = read_regions(store.as_ref()).await.context(RegionsSnafu)?;
    if !regions.contains_key(&flags.failure_domain) {
        return DomainSnafu { domain: flags.failure_domain }.fail();
    }
    let source = Arc::new(RulesSource::new(store, &flags.store));
    let settings = settings(flags, regions);
    let fixed_settings = settings.clone();
    Ok(FrontParts {
        settings,
        source,
        dialect: Arc::new(NativeDialect),
        reader: SettingsReader::new(move || Ok(fixed_settings.clone())),
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
        cap_listen: None,
        metrics_listen: flags.metrics_port.map(|port| SocketAddr::new(ip, port)),
        capacity_permille: flags.capacity_permille,
        max_descriptors: flags.max_descriptors,
        bounds: FleetBounds {
            retry_ratio: RETRY_RATIO,
            retry_slack: RETRY_SLACK,
            retry_window: RETRY_WINDOW,
            cold_multiplier: COLD_MULTIPLIER,
            grace: Duration::from_millis(flags.grace_ms),
            max_lookup_ttl: MAX_LOOKUP_TTL,
            update_deadline: UPDATE_DEADLINE,
            config_deadline: UPDATE_DEADLINE,
            evacuation_deadline: UPDATE_DEADLINE,
            teams: None,
            has_pressure: false,
            has_endpoint_sets: false,
            has_demand_shares: false,
        },
    }
}
