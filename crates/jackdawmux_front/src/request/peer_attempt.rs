//! Forwards a request to a peer while this instance reaches no endpoint.

use std::time::Duration;

use axum::http::{Response, StatusCode};
use hyper::body::Incoming;
use jackdawmux_policy::fleet::choice::{EndpointChoice, EndpointKey};
use jackdawmux_policy::fleet::forwarding::{PeerQuery, select_peer};
use jackdawmux_policy::fleet::record::InstanceRecord;

use super::forward::{AttemptResult, ForwardTask};
use super::guard::AttemptGuard;
use super::hop::{FORWARD_PREFIX, HopRecord, take_declined, take_delivered, take_endpoint};
use super::refusal::FrontRefusal;
use crate::dialect::Credential;
use crate::upstream::{Exchange, ExchangeOutcome, PooledConnection, exchange};

/// Peers that one request may be offered to.
pub(super) const MAX_PEERS: usize = 2;

impl ForwardTask<'_> {
    /// Selects a peer that has not been offered the request yet.
    pub(super) fn select_peer(&self) -> Option<InstanceRecord> {
        if self.peers.len() >= MAX_PEERS {
            return None;
        }
        let now = self.state.clock.now();
        let directory = self.state.directory();
        let live = directory.live(now);
        let region = self.state.settings.regions.get(&self.state.settings.domain);
        let query = PeerQuery {
            own: &self.state.settings.instance,
            region: region.map_or("", String::as_str),
            homes: &self.plan.route.homes,
            team_homes: self.access.team().map_or(&[], |team| &team.homes),
            excluded: &self.peers,
            draw: rand::random(),
        };
        let trusted: Vec<_> = live
            .iter()
            .filter(|instance| !self.state.is_suspected_peer(now, &instance.record.name))
            .copied()
            .collect();
        select_peer(&trusted, &query).or_else(|| select_peer(&live, &query)).cloned()
    }

    /// Offers the request to a peer. Whatever the peer responds is final, unless it declines.
    pub(super) async fn attempt_at_peer(&mut self, peer: &InstanceRecord) -> AttemptResult {
        self.peers.push(peer.name.clone());
        self.log_entry.record_peer(&peer.name);
        let Some(body) = self.body.for_attempt() else {
            return AttemptResult::Unreachable;
        };
        let mut request = self.build_request(&peer.name, body);
        if let (true, Credential::Key(key)) =
            (self.access.replaces_headers(), &self.plan.credential)
        {
            self.state.dialect.write_key(request.headers_mut(), key);
        }
        let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
        let hop = HopRecord {
            config_version: self.plan.table.version(),
            delivered: self.progress.delivered(),
            origin: self.state.settings.instance.clone(),
        };
        let uri = format!("{FORWARD_PREFIX}{path}").parse();
        let (Ok(uri), true) = (uri, hop.write(request.headers_mut())) else {
            return AttemptResult::Unreachable;
        };
        *request.uri_mut() = uri;
        let target = Exchange {
            pool: &self.state.peers,
            endpoint: EndpointKey::of(&peer.name),
            address: peer.heartbeat_address,
            is_at_most_once: self.plan.is_at_most_once(),
            may_reuse: true,
            time_left: self.time_left(),
        };
        self.state.metrics.count_forwarded("sent");
        match exchange(target, request, |_is_new| self.progress.set_sent(true)).await {
            ExchangeOutcome::Unreachable { error, .. } => {
                log::debug!("event=peer-unreachable peer={} error={error:?}", peer.name);
                self.log_entry.record_outcome("unreachable");
                self.state.suspect_peer(&peer.name);
                AttemptResult::Unreachable
            }
            ExchangeOutcome::Lost { error } => {
                log::debug!("event=peer-lost peer={} error={error:?}", peer.name);
                if let Some(failure) = self.body.failure() {
                    self.log_entry.record_outcome("body-failed");
                    return AttemptResult::BodyFailed(failure);
                }
                self.log_entry.record_outcome("lost");
                self.state.suspect_peer(&peer.name);
                // The peer may have made all attempts that the route allows.
                self.progress.record_delivered(self.plan.route.max_attempts);
                AttemptResult::Lost
            }
            ExchangeOutcome::Answered(response, connection) => {
                self.read_peer_response(*response, connection).await
            }
        }
    }

    async fn read_peer_response(
        &mut self,
        mut response: Response<Incoming>,
        connection: PooledConnection,
    ) -> AttemptResult {
        let delivered_before = self.progress.delivered();
        if let Some(delivered) = take_delivered(response.headers_mut()) {
            self.progress.record_delivered(delivered);
        }
        if take_declined(response.headers_mut()).is_some() {
            self.log_entry.record_outcome("declined");
            return AttemptResult::NotRun(FrontRefusal::Isolated);
        }
        let endpoint = take_endpoint(response.headers_mut());
        let is_refused = endpoint.is_none()
            && matches!(
                response.status(),
                StatusCode::SERVICE_UNAVAILABLE
                    | StatusCode::UNAUTHORIZED
                    | StatusCode::TOO_MANY_REQUESTS
            );
        if is_refused && delivered_before > 0 {
            // The peer does not know of the attempts that were made here.
            self.log_entry.record_outcome("refused");
            return AttemptResult::NotRun(FrontRefusal::Isolated);
        }
        if let Some((key, started_ms, id)) = endpoint {
            let choice = EndpointChoice {
                key,
                id: id.into(),
                address: self.state.settings.listen,
                started_ms,
                rank: 0,
                is_warm: false,
                is_limited: false,
                share: None,
                expected_wait: Duration::ZERO,
            };
            let stated = self.state.dialect.read_response(response.status(), response.headers());
            self.record_notice(&choice, &stated);
        }
        let guard = AttemptGuard::for_peer(self.state, self.plan.deadline);
        match self.read_body(response, connection, guard).await {
            AttemptResult::Failed(response) => AttemptResult::Final(response),
            AttemptResult::Lost => {
                self.progress.record_delivered(self.plan.route.max_attempts);
                AttemptResult::Lost
            }
            result => result,
        }
    }
}
