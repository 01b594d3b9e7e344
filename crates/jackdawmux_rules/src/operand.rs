//! Values with units, addresses and times inside a rule.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, UNIX_EPOCH};

use jackdawmux_policy::fleet::record::RouteTarget;
use smallvec::SmallVec;

/// Most addresses that one rule may name.
const RANGE_LIMIT: usize = 4_096;

/// A value that could not be read, with the way to mend it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OperandError {
    pub(crate) message: String,
    pub(crate) mend: String,
}

impl OperandError {
    fn new(message: impl Into<String>, mend: impl Into<String>) -> Self {
        Self { message: message.into(), mend: mend.into() }
    }
}

/// Reads a whole number above zero.
pub(crate) fn read_count(text: &str) -> Result<u32, OperandError> {
    match text.parse::<u32>() {
        Ok(count) if count > 0 => Ok(count),
        Ok(_) | Err(_) => Err(OperandError::new(
            format!("`{text}` is not a count"),
            "write a whole number above zero, such as `6`",
        )),
    }
}

/// Reads a duration with its unit.
pub(crate) fn read_duration(text: &str) -> Result<Duration, OperandError> {
    if text.parse::<f64>().is_ok() {
        return Err(OperandError::new(
            format!("`{text}` has no unit"),
            format!("write `{text}ms` or `{text}s`"),
        ));
    }
    let (number, scale_us) = if let Some(number) = text.strip_suffix("us") {
        (number, 1.0)
    } else if let Some(number) = text.strip_suffix("ms") {
        (number, 1e3)
    } else if let Some(number) = text.strip_suffix('s') {
        (number, 1e6)
    } else {
        (text, f64::NAN)
    };
    let micros = number.parse::<f64>().unwrap_or(f64::NAN) * scale_us;
    if !(1.0..=3.6e9).contains(&micros) {
        return Err(OperandError::new(
            format!("`{text}` is not a duration"),
            "write a number with its unit, such as `1.5ms` or `2s`, up to an hour",
        ));
    }
    Ok(Duration::from_secs_f64(micros / 1e6))
}

/// Reads a percentage up to 100 %.
pub(crate) fn read_percent(text: &str) -> Result<u32, OperandError> {
    let Some(number) = text.strip_suffix('%') else {
        return Err(OperandError::new(format!("`{text}` has no unit"), format!("write `{text}%`")));
    };
    match number.parse::<u32>() {
        Ok(percent) if percent <= 100 => Ok(percent),
        Ok(_) => Err(OperandError::new(
            format!("a cap of {text} is above 100%"),
            "write a cap between 0% and 100%",
        )),
        Err(_) => Err(OperandError::new(
            format!("`{text}` is not a percentage"),
            "write a whole number of percent, such as `20%`",
        )),
    }
}

/// Reads a bandwidth in bits per second.
pub(crate) fn read_bandwidth(text: &str) -> Result<u64, OperandError> {
    let units = [("Gbit/s", 1_000_000_000), ("Mbit/s", 1_000_000), ("kbit/s", 1_000)];
    for (unit, scale) in units {
        if let Some(number) = text.strip_suffix(unit)
            && let Ok(value) = number.parse::<u64>()
            && let Some(bits) = value.checked_mul(scale)
            && bits > 0
        {
            return Ok(bits);
        }
    }
    let mend = if text.parse::<f64>().is_ok() {
        format!("write `{text}Mbit/s`")
    } else {
        "write a whole number with its unit, such as `280Mbit/s`".to_owned()
    };
    Err(OperandError::new(format!("`{text}` is not a bandwidth with its unit"), mend))
}

/// Reads a number of bytes with its unit.
pub(crate) fn read_bytes(text: &str) -> Result<u64, OperandError> {
    let units = [("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30), ("B", 1)];
    let read = units.into_iter().find_map(|(unit, scale)| {
        let number: u64 = text.strip_suffix(unit)?.parse().ok()?;
        number.checked_mul(scale)
    });
    read.filter(|bytes| *bytes > 0).ok_or_else(|| {
        OperandError::new(
            format!("`{text}` is not a size with its unit"),
            "write a whole number with its unit, such as `16KiB`",
        )
    })
}

/// Reads a rate a second.
pub(crate) fn read_rate(text: &str) -> Result<f64, OperandError> {
    let number = text.strip_suffix("/s").and_then(|number| number.parse::<f64>().ok());
    number.filter(|rate| rate.is_finite() && *rate > 0.0).ok_or_else(|| {
        OperandError::new(
            format!("`{text}` is not a rate with its unit"),
            "write a number above zero a second, such as `17/s`",
        )
    })
}

/// Reads names that are separated by single commas.
pub(crate) fn read_names(text: &str) -> Result<SmallVec<[String; 2]>, OperandError> {
    let names: SmallVec<[String; 2]> = text.split(',').map(str::to_owned).collect();
    if names.iter().any(String::is_empty) {
        return Err(OperandError::new(
            format!("a name in `{text}` is empty"),
            "separate names by single commas, such as `north,south`",
        ));
    }
    Ok(names)
}

/// Reads services with their weights: `ledger`, or `ledger=3,vault=1`.
pub(crate) fn read_targets(text: &str) -> Result<SmallVec<[RouteTarget; 2]>, OperandError> {
    let parts = read_names(text)?;
    let is_single = parts.len() == 1;
    let targets = parts.iter().map(|part| {
        let (service, weight) = match part.split_once('=') {
            Some((service, weight)) => (service, read_count(weight).ok()?),
            None => (part.as_str(), 1),
        };
        let is_named = !service.is_empty() && (is_single || part.contains('='));
        is_named.then(|| RouteTarget { service: service.to_owned(), weight })
    });
    targets.collect::<Option<_>>().ok_or_else(|| {
        OperandError::new(
            format!("`{text}` names no services with their weights"),
            "write one service, or several with weights above zero, such as `ledger=3,vault=1`",
        )
    })
}

/// Reads an RFC 3339 time as Unix milliseconds.
pub(crate) fn read_time(text: &str) -> Result<u64, OperandError> {
    let parsed = humantime::parse_rfc3339(text).ok();
    let since = parsed.and_then(|time| time.duration_since(UNIX_EPOCH).ok());
    since.and_then(|span| u64::try_from(span.as_millis()).ok()).ok_or_else(|| {
        OperandError::new(
            format!("`{text}` is not a time in UTC"),
            "write it as `2026-12-04T10:00:00Z`",
        )
    })
}

/// Reads `HOST:PORT`, where the last part of an IPv4 host and the port may be ranges:
/// `10.0.0.1-10.0.0.5:8080` or `127.0.0.1:9001-9005`.
pub(crate) fn read_addresses(text: &str) -> Result<Vec<SocketAddr>, OperandError> {
    let bad = || {
        OperandError::new(
            format!("`{text}` is not an address"),
            "write `IP:PORT`, `IP-IP:PORT` or `IP:PORT-PORT`",
        )
    };
    if let Ok(address) = text.parse::<SocketAddr>() {
        return Ok(vec![address]);
    }
    let (hosts, ports) = text.rsplit_once(':').ok_or_else(bad)?;
    let hosts = read_host_range(hosts).ok_or_else(bad)?;
    let ports = read_port_range(ports).ok_or_else(bad)?;
    if hosts.len() * ports.len() > RANGE_LIMIT {
        return Err(OperandError::new(
            format!("`{text}` names more than {RANGE_LIMIT} addresses"),
            "split the range over several rules",
        ));
    }
    let pairs = hosts.iter().flat_map(|host| ports.iter().map(|port| (*host, *port)));
    Ok(pairs.map(|(host, port)| SocketAddr::new(IpAddr::V4(host), port)).collect())
}

fn read_host_range(text: &str) -> Option<Vec<Ipv4Addr>> {
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    let first = u32::from(first.parse::<Ipv4Addr>().ok()?);
    let last = u32::from(last.parse::<Ipv4Addr>().ok()?);
    let count = usize::try_from(last.checked_sub(first)?).ok()?;
    (count < RANGE_LIMIT).then(|| (first..=last).map(Ipv4Addr::from).collect())
}

fn read_port_range(text: &str) -> Option<Vec<u16>> {
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    let first = first.parse::<u16>().ok().filter(|port| *port > 0)?;
    let last = last.parse::<u16>().ok()?;
    (first <= last && usize::from(last - first) < RANGE_LIMIT).then(|| (first..=last).collect())
}
