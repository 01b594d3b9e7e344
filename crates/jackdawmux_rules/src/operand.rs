//! Parses operands of rules: values with units, lists, addresses and times.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, UNIX_EPOCH};

use jackdawmux_policy::fleet::record::RouteTarget;
use smallvec::SmallVec;

/// Maximum number of addresses in one rule.
const MAX_ADDRESSES: usize = 4_096;

/// An invalid operand and how to fix it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OperandError {
    pub(crate) message: String,
    pub(crate) help: String,
}

impl OperandError {
    fn new(message: impl Into<String>, help: impl Into<String>) -> Self {
        Self { message: message.into(), help: help.into() }
    }
}

/// Parses a whole number above zero.
pub(crate) fn parse_count(text: &str) -> Result<u32, OperandError> {
    match text.parse::<u32>() {
        Ok(count) if count > 0 => Ok(count),
        Ok(_) | Err(_) => Err(OperandError::new(
            format!("`{text}` is not a count"),
            "write a whole number above zero, such as `6`",
        )),
    }
}

/// Parses a duration with a unit, between 1 µs and one hour.
pub(crate) fn parse_duration(text: &str) -> Result<Duration, OperandError> {
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
            "write a number with a unit, such as `1.5ms` or `2s`, up to an hour",
        ));
    }
    Ok(Duration::from_secs_f64(micros / 1e6))
}

/// Parses a percentage of at most 100 %.
pub(crate) fn parse_percent(text: &str) -> Result<u32, OperandError> {
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

/// Parses a bandwidth into bits per second.
pub(crate) fn parse_bandwidth(text: &str) -> Result<u64, OperandError> {
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
    let help = if text.parse::<f64>().is_ok() {
        format!("write `{text}Mbit/s`")
    } else {
        "write a whole number with a unit, such as `280Mbit/s`".to_owned()
    };
    Err(OperandError::new(format!("`{text}` is not a bandwidth with a unit"), help))
}

/// Parses a size with a unit into bytes.
pub(crate) fn parse_bytes(text: &str) -> Result<u64, OperandError> {
    let units = [("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30), ("B", 1)];
    let size = units.into_iter().find_map(|(unit, scale)| {
        let number: u64 = text.strip_suffix(unit)?.parse().ok()?;
        number.checked_mul(scale)
    });
    size.filter(|bytes| *bytes > 0).ok_or_else(|| {
        OperandError::new(
            format!("`{text}` is not a size with a unit"),
            "write a whole number with a unit, such as `16KiB`",
        )
    })
}

/// Parses a rate per second.
pub(crate) fn parse_rate(text: &str) -> Result<f64, OperandError> {
    let number = text.strip_suffix("/s").and_then(|number| number.parse::<f64>().ok());
    number.filter(|rate| rate.is_finite() && *rate > 0.0).ok_or_else(|| {
        OperandError::new(
            format!("`{text}` is not a rate with a unit"),
            "write a number above zero per second, such as `17/s`",
        )
    })
}

/// Parses names separated by single commas.
pub(crate) fn parse_names(text: &str) -> Result<SmallVec<[String; 2]>, OperandError> {
    let names: SmallVec<[String; 2]> = text.split(',').map(str::to_owned).collect();
    if names.iter().any(String::is_empty) {
        return Err(OperandError::new(
            format!("a name in `{text}` is empty"),
            "separate names by single commas, such as `north,south`",
        ));
    }
    Ok(names)
}

/// Parses services with their weights: `ledger`, or `ledger=3,vault=1`.
pub(crate) fn parse_targets(text: &str) -> Result<SmallVec<[RouteTarget; 2]>, OperandError> {
    let parts = parse_names(text)?;
    let is_single = parts.len() == 1;
    let targets = parts.iter().map(|part| {
        let (service, weight) = match part.split_once('=') {
            Some((service, weight)) => (service, parse_count(weight).ok()?),
            None => (part.as_str(), 1),
        };
        let is_valid = !service.is_empty() && (is_single || part.contains('='));
        is_valid.then(|| RouteTarget { service: service.to_owned(), weight })
    });
    targets.collect::<Option<_>>().ok_or_else(|| {
        OperandError::new(
            format!("`{text}` is not a list of services with weights"),
            "write one service, or several with weights above zero, such as `ledger=3,vault=1`",
        )
    })
}

/// Parses an RFC 3339 time into Unix milliseconds.
pub(crate) fn parse_time(text: &str) -> Result<u64, OperandError> {
    let parsed = humantime::parse_rfc3339(text).ok();
    let since_epoch = parsed.and_then(|time| time.duration_since(UNIX_EPOCH).ok());
    since_epoch.and_then(|span| u64::try_from(span.as_millis()).ok()).ok_or_else(|| {
        OperandError::new(
            format!("`{text}` is not a time in UTC"),
            "write it as `2026-12-04T10:00:00Z`",
        )
    })
}

/// Parses `HOST:PORT`, where an IPv4 host and the port may be ranges:
/// `10.0.0.1-10.0.0.5:8080` or `127.0.0.1:9001-9005`.
pub(crate) fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, OperandError> {
    let invalid = || {
        OperandError::new(
            format!("`{text}` is not an address"),
            "write `IP:PORT`, `IP-IP:PORT` or `IP:PORT-PORT`",
        )
    };
    if let Ok(address) = text.parse::<SocketAddr>() {
        return Ok(vec![address]);
    }
    let (hosts, ports) = text.rsplit_once(':').ok_or_else(invalid)?;
    let hosts = parse_host_range(hosts).ok_or_else(invalid)?;
    let ports = parse_port_range(ports).ok_or_else(invalid)?;
    if hosts.len() * ports.len() > MAX_ADDRESSES {
        return Err(OperandError::new(
            format!("`{text}` covers more than {MAX_ADDRESSES} addresses"),
            "split the range over several rules",
        ));
    }
    let pairs = hosts.iter().flat_map(|host| ports.iter().map(|port| (*host, *port)));
    Ok(pairs.map(|(host, port)| SocketAddr::new(IpAddr::V4(host), port)).collect())
}

fn parse_host_range(text: &str) -> Option<Vec<Ipv4Addr>> {
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    let first = u32::from(first.parse::<Ipv4Addr>().ok()?);
    let last = u32::from(last.parse::<Ipv4Addr>().ok()?);
    let count = usize::try_from(last.checked_sub(first)?).ok()?;
    (count < MAX_ADDRESSES).then(|| (first..=last).map(Ipv4Addr::from).collect())
}

fn parse_port_range(text: &str) -> Option<Vec<u16>> {
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    let first = first.parse::<u16>().ok().filter(|port| *port > 0)?;
    let last = last.parse::<u16>().ok()?;
    (first <= last && usize::from(last - first) < MAX_ADDRESSES).then(|| (first..=last).collect())
}
