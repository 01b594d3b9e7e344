//! Routing of a request by its head.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use axum::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use axum::http::request::Parts;
use axum::http::{HeaderMap, Uri};
use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::outcome::{RefusalReason, RequestRefusal};
use jackdawmux_policy::table::{OperationSpec, RepeatRule, RequestPriority};
use jackdawmux_runtime::strip_hop_by_hop_headers;

use crate::process::EntryContext;
use crate::version::ActiveConfig;

/// Request header with the time left to the deadline, in milliseconds.
pub(crate) const DEADLINE_HEADER: &str = "jackdaw-deadline-ms";
/// Retry-after delay while no configuration is active.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A routed request, with everything that a forward needs apart from its body.
#[derive(Clone, Debug)]
pub(crate) struct RequestPlan {
    pub(crate) service: Arc<str>,
    pub(crate) method: axum::http::Method,
    /// Path and query as sent to the upstream, without the service name.
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) operation: OperationSpec,
    pub(crate) deadline: PolicyTime,
    /// Address block of the caller (IPv4 /24 or IPv6 /48), by which traffic shifts select callers.
    pub(crate) block: Vec<u8>,
}

impl RequestPlan {
    /// Routes a request by its head. Refuses it when no configuration is active, its framing is
    /// ambiguous, no operation matches or its deadline is unreadable or has passed.
    pub(crate) fn from_head(
        context: &EntryContext,
        parts: Parts,
        caller: SocketAddr,
    ) -> Result<Self, RequestRefusal> {
        let config: Arc<ActiveConfig> =
            context.active_config.borrow().clone().ok_or_else(|| {
                RequestRefusal::retryable(RefusalReason::NoConfiguration, NO_CONFIG_RETRY_AFTER)
            })?;
        check_framing(&parts.headers)?;
        let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
        let (name, rest) = split_service(target).ok_or(no_route())?;
        let service = config.table.service(name).ok_or(no_route())?;
        let uri: Uri = rest.parse().map_err(|_unreadable| no_route())?;
        let operation =
            service.operation(parts.method.as_str(), uri.path()).ok_or(no_route())?.clone();
        let timeout = read_deadline(&parts.headers)?
            .map_or(operation.timeout, |requested| requested.min(operation.timeout));
        let mut headers = parts.headers;
        strip_hop_by_hop_headers(&mut headers);
        Ok(Self {
            service: Arc::from(name),
            method: parts.method,
            uri,
            headers,
            operation,
            deadline: context.clock.now() + timeout,
            block: address_block(caller.ip()),
        })
    }

    pub(crate) fn is_at_most_once(&self) -> bool {
        self.operation.repeat == RepeatRule::Once
    }

    /// Whether the request may probe a suspended endpoint to find out if it has recovered.
    pub(crate) fn may_probe(&self) -> bool {
        !self.is_at_most_once() && self.operation.priority == RequestPriority::Low
    }
}

fn no_route() -> RequestRefusal {
    RequestRefusal::permanent(RefusalReason::NoRoute)
}

/// Splits `/SERVICE/PATH` into the service and `/PATH`.
fn split_service(target: &str) -> Option<(&str, String)> {
    let target = target.strip_prefix('/')?;
    let end = target.find(['/', '?']).unwrap_or(target.len());
    let (name, rest) = target.split_at(end);
    let rest = if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") };
    (!name.is_empty()).then_some((name, rest))
}

/// Refuses messages whose length is ambiguous, so that two parsers could disagree on where they end
/// (request smuggling).
fn check_framing(headers: &HeaderMap) -> Result<(), RequestRefusal> {
    let lengths: Vec<_> = headers.get_all(CONTENT_LENGTH).iter().collect();
    let is_chunked = headers.contains_key(TRANSFER_ENCODING);
    let differs = lengths.windows(2).any(|pair| pair[0] != pair[1]);
    if differs || lengths.len() > 1 || (is_chunked && !lengths.is_empty()) {
        return Err(RequestRefusal::permanent(RefusalReason::BadRequest));
    }
    Ok(())
}

fn read_deadline(headers: &HeaderMap) -> Result<Option<Duration>, RequestRefusal> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(None);
    };
    let millis = value.to_str().ok().and_then(|text| text.trim().parse::<u64>().ok());
    match millis {
        Some(0) => Err(RequestRefusal::permanent(RefusalReason::DeadlinePassed)),
        Some(millis) => Ok(Some(Duration::from_millis(millis))),
        None => Err(RequestRefusal::permanent(RefusalReason::BadRequest)),
    }
}

fn address_block(address: IpAddr) -> Vec<u8> {
    match address {
        IpAddr::V4(address) => address.octets()[..3].to_vec(),
        IpAddr::V6(address) => address.octets()[..6].to_vec(),
    }
}
