//! Settings from flags and environment variables, checked as a whole.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long};
use snafu::Snafu;

/// Least and most time that a look-up's answer may be cached, in milliseconds.
const TTL_RANGE_MS: std::ops::RangeInclusive<u64> = 100..=60_000;
/// Least and most lease time, in milliseconds.
const LEASE_RANGE_MS: std::ops::RangeInclusive<u64> = 500..=60_000;
/// Most connections of callers that may be configured.
const CONNECTIONS_MOST: usize = 100_000;
/// Shortest peer key.
const KEY_SHORTEST: usize = 16;

/// Settings as given, not yet checked.
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
    ttl_ms: u64,
    lease_ms: u64,
    max_connections: usize,
    max_body_mb: u64,
    threads: usize,
}

/// Checked settings of one instance.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Base address of the platform's store.
    pub store: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for other instances.
    pub peer_listen: SocketAddr,
    /// Failure domain of this instance.
    pub failure_domain: String,
    /// Name of this instance.
    pub instance: String,
    /// Group whose members share endpoints.
    pub group: String,
    /// Shared keys between instances; the first signs, all are accepted.
    pub peer_keys: Vec<String>,
    /// Addresses of instances to ask while the store does not answer.
    pub seeds: Vec<SocketAddr>,
    /// Time for which callers may cache a look-up.
    pub lookup_ttl: Duration,
    /// Validity of a promise on owned endpoints.
    pub lease: Duration,
    /// Most connections of callers.
    pub max_connections: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Threads that serve requests.
    pub threads: usize,
}

/// One setting that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{flag} ({variable}): {problem}"))]
pub struct SettingMistake {
    /// Its flag.
    pub flag: &'static str,
    /// Its environment variable.
    pub variable: &'static str,
    /// What is wrong.
    pub problem: String,
}

/// The command line of the entry instance.
#[must_use]
pub fn settings_parser() -> OptionParser<RawSettings> {
    let store = long("store")
        .env("JACKDAWMUX_STORE")
        .help("Base address of the platform's object store, such as http://10.0.0.9:7000")
        .argument::<String>("URL");
    let listen = long("listen")
        .env("JACKDAWMUX_LISTEN")
        .help("Address for callers; port 0 lets the system choose")
        .argument::<String>("IP:PORT")
        .fallback("127.0.0.1:0".to_owned())
        .display_fallback();
    let peer_listen = long("peer-listen")
        .env("JACKDAWMUX_PEER_LISTEN")
        .help("Address for other instances; port 0 lets the system choose")
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
        .help("Key shared by all instances; give two while rotating, the first signs")
        .argument::<String>("KEY")
        .some("give a key of at least 16 characters, the same at every instance");
    let seeds = long("seed")
        .env("JACKDAWMUX_SEED")
        .help("Peer address of another instance, asked while the store is away; may repeat")
        .argument::<String>("IP:PORT")
        .many();
    let ttl_ms = long("lookup-ttl-ms")
        .env("JACKDAWMUX_LOOKUP_TTL_MS")
        .help("Time for which callers may cache a look-up, in milliseconds")
        .argument::<u64>("MS")
        .fallback(2_000)
        .display_fallback();
    let lease_ms = long("lease-ms")
        .env("JACKDAWMUX_LEASE_MS")
        .help("Time after which a silent instance's endpoints may be taken over, in milliseconds")
        .argument::<u64>("MS")
        .fallback(3_000)
        .display_fallback();
    let max_connections = long("max-connections")
        .env("JACKDAWMUX_MAX_CONNECTIONS")
        .help("Most connections of callers at once")
        .argument::<usize>("COUNT")
        .fallback(10_000)
        .display_fallback();
    let max_body_mb = long("max-body-mb")
        .env("JACKDAWMUX_MAX_BODY_MB")
        .help("Largest request body, in megabytes")
        .argument::<u64>("MB")
        .fallback(64)
        .display_fallback();
    let threads = long("threads")
        .env("JACKDAWMUX_THREADS")
        .help("Threads that serve requests; one is the least processor time for each request")
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
        ttl_ms,
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

/// Checks all settings and reports all mistakes at once.
///
/// # Errors
/// Every setting that cannot be used.
pub fn parse_settings(raw: RawSettings) -> Result<EntrySettings, Vec<SettingMistake>> {
    let mut mistakes = Vec::new();
    let mut mistake = |flag, variable, problem: String| {
        mistakes.push(SettingMistake { flag, variable, problem });
    };
    if !raw.store.starts_with("http://") {
        let problem = format!("`{}` is no address; write `http://IP:PORT`", raw.store);
        mistake("--store", "JACKDAWMUX_STORE", problem);
    }
    let mut address = |flag, variable, text: &str| match text.parse::<SocketAddr>() {
        Ok(address) => address,
        Err(_unreadable) => {
            mistake(flag, variable, format!("`{text}` is no address; write `IP:PORT`"));
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
            let problem = format!("`{name}` is no name; use letters, digits, `-`, `_` and `.`");
            mistake(flag, variable, problem);
        }
    }
    let peer_keys: Vec<String> =
        raw.peer_keys.iter().flat_map(|text| text.split(',')).map(str::to_owned).collect();
    if peer_keys.iter().any(|key| key.len() < KEY_SHORTEST) {
        let problem = format!("a key is shorter than {KEY_SHORTEST} characters");
        mistake("--peer-key", "JACKDAWMUX_PEER_KEY", problem);
    }
    let mut range = |flag, variable, value: u64, allowed: std::ops::RangeInclusive<u64>| {
        if !allowed.contains(&value) {
            let problem =
                format!("{value} is not between {} and {}", allowed.start(), allowed.end());
            mistake(flag, variable, problem);
        }
    };
    range("--lookup-ttl-ms", "JACKDAWMUX_LOOKUP_TTL_MS", raw.ttl_ms, TTL_RANGE_MS);
    range("--lease-ms", "JACKDAWMUX_LEASE_MS", raw.lease_ms, LEASE_RANGE_MS);
    let connections = u64::try_from(raw.max_connections).unwrap_or(u64::MAX);
    let most = 1..=u64::try_from(CONNECTIONS_MOST).unwrap_or(u64::MAX);
    range("--max-connections", "JACKDAWMUX_MAX_CONNECTIONS", connections, most);
    range("--max-body-mb", "JACKDAWMUX_MAX_BODY_MB", raw.max_body_mb, 1..=4_096);
    let threads = u64::try_from(raw.threads).unwrap_or(u64::MAX);
    range("--threads", "JACKDAWMUX_THREADS", threads, 1..=256);
    if !mistakes.is_empty() {
        return Err(mistakes);
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
        lookup_ttl: Duration::from_millis(raw.ttl_ms),
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
