//! Route, service, object and deadline of a request, determined before its first attempt.

use std::sync::Arc;
use std::time::Duration;

use axum::http::header::{CONTENT_LENGTH, HOST};
use axum::http::request::Parts;
use axum::http::{HeaderMap, HeaderValue, Method, Uri};
use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::record::{RepeatRule, RouteRecord};
use jackdawmux_policy::fleet::routing::RouteTable;
use jackdawmux_policy::identity::stable_hash;
use jackdawmux_runtime::strip_hop_by_hop_headers;

use super::hop::HopRecord;
use super::refusal::FrontRefusal;
use crate::process::FrontState;

/// A request with its route, service, object and deadline.
#[derive(Debug)]
pub(crate) struct RequestPlan {
    pub(crate) route: Arc<RouteRecord>,
    pub(crate) table: Arc<RouteTable>,
    pub(crate) service: String,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) attempt: Option<HeaderValue>,
    pub(crate) object_hash: u64,
    object_name: Option<HeaderValue>,
    pub(crate) started: PolicyTime,
    pub(crate) deadline: PolicyTime,
    /// Set if another instance forwarded the request.
    pub(crate) hop: Option<HopRecord>,
}

impl RequestPlan {
    /// Finds the route of a request, and the service, object and deadline that follow from it.
    ///
    /// # Errors
    /// When no configuration is known yet, or none of its routes matches the request.
    pub(crate) fn resolve(state: &FrontState, parts: Parts) -> Result<Self, FrontRefusal> {
        let started = state.clock.now();
        let Parts { method, uri, mut headers, .. } = parts;
        let table = state.steering().table().cloned().ok_or(FrontRefusal::NoConfiguration)?;
        let host = uri.host().or_else(|| headers.get(HOST).and_then(|host| host.to_str().ok()));
        let host = host.unwrap_or_default();
        let route = table.find(host, uri.path()).cloned().ok_or(FrontRefusal::NoRoute)?;
        let request_headers = state.dialect.read_request(&headers);
        let allowed = request_headers.deadline.unwrap_or(Duration::MAX).min(route.timeout);
        let target = state.steering().split(table.version(), &route);
        let service = route.targets.get(target).map(|target| target.service.clone());
        let object_hash = match &request_headers.object {
            Some(object) if route.is_sticky => stable_hash(object.as_bytes()),
            _ => rand::random(),
        };
        strip_hop_by_hop_headers(&mut headers);
        // Set again from the body that is sent to the endpoint.
        headers.remove(CONTENT_LENGTH);
        let path = uri.path_and_query().map_or("/", |path| path.as_str());
        let uri = path.parse().unwrap_or_default();
        Ok(Self {
            service: service.unwrap_or_default(),
            route,
            table,
            method,
            uri,
            headers,
            attempt: request_headers.attempt,
            object_hash,
            object_name: request_headers.object,
            started,
            deadline: started + allowed,
            hop: None,
        })
    }

    /// Marks the request as forwarded by another instance.
    pub(crate) fn forwarded(self, hop: HopRecord) -> Self {
        Self { hop: Some(hop), ..self }
    }

    /// Whether the request must not run more than once.
    pub(crate) fn is_at_most_once(&self) -> bool {
        self.route.repeat == RepeatRule::Once
    }

    /// Object identifier as the caller sent it, for logs and the request's digest.
    pub(crate) fn object_text(&self) -> &str {
        self.object_name.as_ref().and_then(|value| value.to_str().ok()).unwrap_or("-")
    }

    /// Identity of the caller's attempt, for logs.
    pub(crate) fn attempt_text(&self) -> &str {
        self.attempt.as_ref().and_then(|value| value.to_str().ok()).unwrap_or("-")
    }
}
