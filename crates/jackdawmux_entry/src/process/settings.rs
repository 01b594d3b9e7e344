//! Settings from flags and environment variables.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long};
use snafu::Snafu;

/// Allowed time for which a lookup response may be cached, in milliseconds.
const LOOKUP_TTL_RANGE_MS: std::ops::RangeInclusive<u64> = 100..=60_000;
/// Allowed lease time, in milliseconds.
const LEASE_RANGE_MS: std::ops::RangeInclusive<u64> = 500..=60_000;
/// Highest allowed limit on caller connections.
const MAX_CONNECTIONS: usize = 100_000;
/// Minimum length of a peer key, in bytes.
const MIN_KEY_LENGTH: usize = 16;

/// Settings as given, before validation.
#[derive(Clone, Debug)]
pub struct RawSettings {
    store: String,
    listen: String,
    peer_listen: String,
    failure_domain: String,
    instance: String,
    group: String,
    peer_keys: Vec<String>,
    seeds: Vec<String>,
    lookup_ttl_ms: u64,
    lease_ms: u64,
    max_connections: usize,
    max_body_mb: u64,
    threads: usize,
}

/// Validated settings of one instance.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Base URL of the platform's object store.
    pub store: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for other instances.
    pub peer_listen: SocketAddr,
    /// Failure domain of this instance.
    pub failure_domain: String,
    /// Name of this instance.
    pub instance: String,
    /// Name of the group, whose members share endpoints.
    pub group: String,
    /// Keys that all instances share; the first signs, all are accepted.
    pub peer_keys: Vec<String>,
    /// Peer addresses of instances to connect to while the store does not respond.
    pub seeds: Vec<SocketAddr>,
    /// Time for which callers may cache a lookup response.
    pub lookup_ttl: Duration,
    /// Validity of a lease promise on owned endpoints.
    pub lease: Duration,
    /// Maximum number of caller connections.
    pub max_connections: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Number of threads that serve requests.
    pub threads: usize,
}

/// A setting with an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{flag} ({variable}): {problem}"))]
pub struct SettingError {
    /// Flag of the setting.
    pub flag: &'static str,
    /// Environment variable of the setting.
    pub variable: &'static str,
    /// Why the value is invalid, and which values are allowed.
    pub problem: String,
}

/// Returns the command-line parser of the entry instance.
#[must_use]
pub fn settings_parser() -> OptionParser<RawSettings> {
    let store = long("store")
        .env("JACKDAWMUX_STORE")
        .help("Base URL of the platform's object store, such as http://10.0.0.9:7000")
        .argument::<String>("URL");
    let listen = long("listen")
        .env("JACKDAWMUX_LISTEN")
        .help("Address for callers; port 0 lets the operating system choose")
        .argument::<String>("IP:PORT")
        .fallback("127.0.0.1:0".to_owned())
        .display_fallback();
    let peer_listen = long("peer-listen")
        .env("JACKDAWMUX_PEER_LISTEN")
        .help("Address for other instances; port 0 lets the operating system choose")
        .argument::<String>("IP:PORT")
        .fallback("127.0.0.1:0".to_owned())
        .display_fallback();
    let failure_domain = long("failure-domain")
        .env("JACKDAWMUX_FAILURE_DOMAIN")
        .help("Failure domain of this instance, as named in the rules")
        .argument::<String>("NAME");
    let instance = long("instance")
        .env("JACKDAWMUX_INSTANCE")
        .help("Name of this instance, unique in its group")
        .argument::<String>("NAME");
    let group = long("group")
        .env("JACKDAWMUX_GROUP")
        .help("Group of instances that share endpoints")
        .argument::<String>("NAME")
        .fallback("main".to_owned())
        .display_fallback();
    let peer_keys = long("peer-key")
        .env("JACKDAWMUX_PEER_KEY")
        .help("Key shared by all instances; give two during a rotation, the first signs")
        .argument::<String>("KEY")
        .some("give a key of at least 16 characters, the same for every instance");
    let seeds = long("seed")
        .env("JACKDAWMUX_SEED")
        .help("Peer address of an instance to query while the store is down; may be repeated")
        .argument::<String>("IP:PORT")
        .many();
    let lookup_ttl_ms = long("lookup-ttl-ms")
        .env("JACKDAWMUX_LOOKUP_TTL_MS")
        .help("Time for which callers may cache a lookup response, in milliseconds")
        .argument::<u64>("MS")
        .fallback(2_000)
        .display_fallback();
    let lease_ms = long("lease-ms")
        .env("JACKDAWMUX_LEASE_MS")
        .help("Time after which an unresponsive instance may lose its endpoints, in milliseconds")
        .argument::<u64>("MS")
        .fallback(3_000)
        .display_fallback();
    let max_connections = long("max-connections")
        .env("JACKDAWMUX_MAX_CONNECTIONS")
        .help("Maximum number of concurrent caller connections")
        .argument::<usize>("COUNT")
        .fallback(10_000)
        .display_fallback();
    let max_body_mb = long("max-body-mb")
        .env("JACKDAWMUX_MAX_BODY_MB")
        .help("Maximum size of a request body, in megabytes")
        .argument::<u64>("MB")
        .fallback(64)
        .display_fallback();
    let threads = long("threads")
        .env("JACKDAWMUX_THREADS")
        .help("Threads that serve requests; one thread uses the least CPU time per request")
        .argument::<usize>("COUNT")
        .fallback(1)
        .display_fallback();
    construct!(RawSettings {
        store,
        listen,
        peer_listen,
        failure_domain,
        instance,
        group,
        peer_keys,
        seeds,
        lookup_ttl_ms,
        lease_ms,
        max_connections,
        max_body_mb,
        threads,
    })
    .to_options()
    .descr("jackdawmux: an entry instance of the traffic steering system")
    .footer("Every flag can also be given in the environment variable shown beside it.")
    .version(env!("CARGO_PKG_VERSION"))
}

/// Validates all settings and reports all errors at once.
///
/// # Errors
/// One error for each setting with an invalid value.
pub fn parse_settings(raw: RawSettings) -> Result<EntrySettings, Vec<SettingError>> {
    let mut errors = Vec::new();
    let mut report = |flag, variable, problem: String| {
        errors.push(SettingError { flag, variable, problem });
    };
    if !raw.store.starts_with("http://") {
        let problem = format!("`{}` is not a valid URL; write `http://IP:PORT`", raw.store);
        report("--store", "JACKDAWMUX_STORE", problem);
    }
    let mut address = |flag, variable, text: &str| match text.parse::<SocketAddr>() {
        Ok(address) => address,
        Err(_invalid) => {
            report(flag, variable, format!("`{text}` is not a valid address; write `IP:PORT`"));
            SocketAddr::from(([0, 0, 0, 0], 0))
        }
    };
    let listen = address("--listen", "JACKDAWMUX_LISTEN", &raw.listen);
    let peer_listen = address("--peer-listen", "JACKDAWMUX_PEER_LISTEN", &raw.peer_listen);
    let seeds = raw.seeds.iter().flat_map(|text| text.split(','));
    let seeds = seeds.map(|text| address("--seed", "JACKDAWMUX_SEED", text)).collect();
    for (flag, variable, name) in [
        ("--failure-domain", "JACKDAWMUX_FAILURE_DOMAIN", &raw.failure_domain),
        ("--instance", "JACKDAWMUX_INSTANCE", &raw.instance),
        ("--group", "JACKDAWMUX_GROUP", &raw.group),
    ] {
        if !is_name(name) {
            let problem = format!(
                "`{name}` is not a valid name; use 1 to 64 letters, digits, `-`, `_` and `.`"
            );
            report(flag, variable, problem);
        }
    }
    let peer_keys: Vec<String> =
        raw.peer_keys.iter().flat_map(|text| text.split(',')).map(str::to_owned).collect();
    if peer_keys.iter().any(|key| key.len() < MIN_KEY_LENGTH) {
        let problem = format!("a key is shorter than {MIN_KEY_LENGTH} characters");
        report("--peer-key", "JACKDAWMUX_PEER_KEY", problem);
    }
    let mut range = |flag, variable, value: u64, allowed: std::ops::RangeInclusive<u64>| {
        if !allowed.contains(&value) {
            let problem =
                format!("{value} is not between {} and {}", allowed.start(), allowed.end());
            report(flag, variable, problem);
        }
    };
    range("--lookup-ttl-ms", "JACKDAWMUX_LOOKUP_TTL_MS", raw.lookup_ttl_ms, LOOKUP_TTL_RANGE_MS);
    range("--lease-ms", "JACKDAWMUX_LEASE_MS", raw.lease_ms, LEASE_RANGE_MS);
    let connections = u64::try_from(raw.max_connections).unwrap_or(u64::MAX);
    let connection_range = 1..=u64::try_from(MAX_CONNECTIONS).unwrap_or(u64::MAX);
    range("--max-connections", "JACKDAWMUX_MAX_CONNECTIONS", connections, connection_range);
    range("--max-body-mb", "JACKDAWMUX_MAX_BODY_MB", raw.max_body_mb, 1..=4_096);
    let threads = u64::try_from(raw.threads).unwrap_or(u64::MAX);
    range("--threads", "JACKDAWMUX_THREADS", threads, 1..=256);
    if !errors.is_empty() {
        return Err(errors);
    }
    Ok(EntrySettings {
        store: raw.store,
        listen,
        peer_listen,
        failure_domain: raw.failure_domain,
        instance: raw.instance,
        group: raw.group,
        peer_keys,
        seeds,
        lookup_ttl: Duration::from_millis(raw.lookup_ttl_ms),
        lease: Duration::from_millis(raw.lease_ms),
        max_connections: raw.max_connections,
        max_body_bytes: raw.max_body_mb * 1_000_000,
        threads: raw.threads,
    })
}

fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    !text.is_empty() && text.len() <= 64 && text.chars().all(is_allowed)
}
