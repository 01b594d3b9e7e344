//! Peer forwarding: sends a request to the home of its key, or to an instance with idle slots.
//!
//! The request is sent over HTTP to the address on which the receiver serves callers, because
//! bodies are streamed there under the same limits. An authentication code under the shared key
//! proves that the sender is an instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderMap, HeaderValue, Request, Response, Uri};
use http_body_util::BodyExt;
use jackdawmux_peer::PeerKeys;
use strum::{AsRefStr, EnumString};
use tokio::time::timeout_at;

use super::body::{MAX_BUFFERED_BYTES, RequestBody};
use super::guard::SlotBody;
use super::plan::{DEADLINE_HEADER, RequestPlan};
use crate::connection::{ExchangeOutcome, exchange};
use crate::process::EntryContext;

/// Request header with the reason for the forward and its authentication code.
const PEER_FORWARD_HEADER: &str = "jackdaw-passed-on";
/// Part of the time to the deadline that is reserved for the response to travel back.
const RETURN_MARGIN: Duration = Duration::from_millis(20);

/// Why a request is forwarded to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, AsRefStr, EnumString)]
#[strum(serialize_all = "lowercase")]
pub(crate) enum PeerForwardReason {
    /// The receiver is the home of the key and decides whether the request may run.
    Home,
    /// The receiver serves the request from its own slots. The sender has already decided that the
    /// key may run.
    Slot,
}

/// Outcome of forwarding a request to a peer.
#[derive(Debug)]
pub(crate) enum PeerForwardOutcome {
    /// The peer returned the final response.
    Answered(Response<Body>),
    /// The request was sent and no complete response was received.
    Lost,
    /// No byte was sent; the body is returned.
    Unsent(RequestBody),
}

/// Why a peer forwarded the request; none if the header is absent or its code does not verify.
pub(crate) fn peer_forward_reason(
    keys: &PeerKeys,
    headers: &HeaderMap,
    target: &str,
) -> Option<PeerForwardReason> {
    let (reason, code) = headers.get(PEER_FORWARD_HEADER)?.to_str().ok()?.split_once('.')?;
    let code = decode_hex(code.as_bytes())?;
    let key = headers.get("idempotency-key").map(HeaderValue::as_bytes).unwrap_or_default();
    let parts: [&[u8]; 4] = [b"pass-on", reason.as_bytes(), target.as_bytes(), key];
    keys.verify(&parts, &code).then(|| reason.parse().ok()).flatten()
}

/// Forwards a request to a peer and returns its response.
pub(crate) async fn forward_to_peer(
    context: &Arc<EntryContext>,
    plan: &RequestPlan,
    mut body: RequestBody,
    reason: PeerForwardReason,
    peer: SocketAddr,
) -> PeerForwardOutcome {
    let time_limit = plan.deadline.since(context.clock.now()).saturating_sub(RETURN_MARGIN);
    let (Some(content), Some(request)) =
        (body.take(), request_head(context, plan, reason, time_limit))
    else {
        return PeerForwardOutcome::Unsent(body);
    };
    let request = request.map(|()| content);
    match exchange(&context.pool, peer, request, time_limit).await {
        ExchangeOutcome::Unsent { request, .. } => {
            body.restore(request.into_body());
            PeerForwardOutcome::Unsent(body)
        }
        ExchangeOutcome::Lost { error, .. } => {
            log::debug!("event=pass-on-lost peer={peer} error={error:?}");
            PeerForwardOutcome::Lost
        }
        ExchangeOutcome::Answered(upstream) => {
            let (head, incoming) = upstream.response.into_parts();
            let size = http_body::Body::size_hint(&incoming).exact();
            let is_small =
                size.is_some_and(|size| size <= u64::try_from(MAX_BUFFERED_BYTES).unwrap_or(0));
            if !is_small {
                let connection = upstream.connection;
                let body = SlotBody::new(incoming, None, connection, context, plan.deadline);
                return PeerForwardOutcome::Answered(Response::from_parts(head, Body::new(body)));
            }
            let deadline = context.clock.instant(plan.deadline);
            match timeout_at(deadline, incoming.collect()).await {
                Ok(Ok(collected)) => {
                    context.pool.checkin(upstream.connection);
                    PeerForwardOutcome::Answered(Response::from_parts(
                        head,
                        Body::from(collected.to_bytes()),
                    ))
                }
                Ok(Err(_)) | Err(_) => PeerForwardOutcome::Lost,
            }
        }
    }
}

fn request_head(
    context: &EntryContext,
    plan: &RequestPlan,
    reason: PeerForwardReason,
    time_limit: Duration,
) -> Option<Request<()>> {
    let target = format!("/{}{}", plan.service, plan.uri);
    let mut request = Request::new(());
    *request.method_mut() = plan.method.clone();
    *request.uri_mut() = target.parse::<Uri>().ok()?;
    plan.headers.clone_into(request.headers_mut());
    let headers = request.headers_mut();
    let millis = u64::try_from(time_limit.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE_HEADER, HeaderValue::from(millis));
    let key = headers.get("idempotency-key").cloned();
    let key = key.as_ref().map(HeaderValue::as_bytes).unwrap_or_default();
    let parts: [&[u8]; 4] = [b"pass-on", reason.as_ref().as_bytes(), target.as_bytes(), key];
    let code = context.keys.sign(&parts);
    let hex: String = code.iter().map(|byte| format!("{byte:02x}")).collect();
    let text = format!("{}.{hex}", reason.as_ref());
    headers.insert(PEER_FORWARD_HEADER, HeaderValue::from_str(&text).ok()?);
    Some(request)
}

fn decode_hex(text: &[u8]) -> Option<Vec<u8>> {
    let digit = |byte: u8| char::from(byte).to_digit(16).and_then(|value| u8::try_from(value).ok());
    if !text.len().is_multiple_of(2) {
        return None;
    }
    text.chunks_exact(2).map(|pair| Some(digit(pair[0])? << 4 | digit(pair[1])?)).collect()
}
