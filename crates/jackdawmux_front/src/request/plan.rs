//! Route, service, object and deadline of a request, determined before its first attempt.

use std::sync::Arc;
use std::time::Duration;

use axum::http::header::{CONTENT_LENGTH, HOST};
use axum::http::request::Parts;
use axum::http::{HeaderMap, HeaderValue, Method, Uri};
use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::record::{RepeatRule, RouteRecord, TeamRecord};
use jackdawmux_policy::fleet::routing::RouteTable;
use jackdawmux_policy::identity::stable_hash;
use jackdawmux_runtime::strip_hop_by_hop_headers;

use super::hop::HopRecord;
use super::refusal::FrontRefusal;
use super::team_access::{AccessDenial, KeyPermission, RequestAccess};
use crate::dialect::Credential;
use crate::process::FrontState;

/// A request with its route, service, object and deadline.
#[derive(Debug)]
pub(crate) struct RequestPlan {
    pub(crate) route: Arc<RouteRecord>,
    pub(crate) table: Arc<RouteTable>,
    pub(crate) service: String,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// Headers for the endpoint, without those that concern teams if the configuration has teams.
    pub(crate) headers: HeaderMap,
    pub(crate) credential: Credential,
    /// The decision about the key on arrival.
    pub(crate) access: RequestAccess,
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
    /// When no configuration is known yet, none of its routes matches the request, or the request must
    /// not run with the key that it carries.
    pub(crate) fn resolve(state: &FrontState, parts: Parts) -> Result<Self, Box<AccessDenial>> {
        let started = state.clock.now();
        let Parts { method, uri, mut headers, .. } = parts;
        let permission = KeyPermission::read(state);
        let table = state.steering().table().cloned().ok_or(FrontRefusal::NoConfiguration)?;
        let host = uri.host().or_else(|| headers.get(HOST).and_then(|host| host.to_str().ok()));
        let host = host.unwrap_or_default();
        let route = table.find(host, uri.path()).cloned().ok_or(FrontRefusal::NoRoute)?;
        let request_headers = state.dialect.read_request(&headers);
        let credential = request_headers.credential;
        let access = RequestAccess::decide(permission, &table, &route, &credential)?;
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
        if access.replaces_headers() {
            state.dialect.write_team(&mut headers, None);
        }
        let path = uri.path_and_query().map_or("/", |path| path.as_str());
        let uri = path.parse().unwrap_or_default();
        Ok(Self {
            service: service.unwrap_or_default(),
            route,
            table,
            method,
            uri,
            headers,
            credential,
            access,
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

    /// The team of the request on arrival; none if it carries no key.
    pub(crate) fn team(&self) -> Option<&TeamRecord> {
        self.access.team()
    }

    /// Name of the team, for logs and metrics.
    pub(crate) fn team_text(&self) -> &str {
        self.team().map_or("-", |team| &team.name)
    }

    /// Priority of the request; 0 is the highest. That of the team replaces that of the route.
    pub(crate) fn priority(&self) -> u32 {
        self.team().and_then(|team| team.priority).unwrap_or(self.route.priority)
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
