//! Passes a request on: to the home of its key, or to an instance with slots to spare.
//!
//! It travels over HTTP on the receiver's address for callers, because bodies stream there under
//! the same limits; a code under the shared key shows that an instance passed it on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderMap, HeaderValue, Request, Response, Uri};
use http_body_util::BodyExt;
use jackdawmux_peer::PeerKeys;
use strum::{AsRefStr, EnumString};
use tokio::time::timeout_at;

use super::body::RequestBody;
use super::plan::{DEADLINE_HEADER, RequestPlan};
use crate::connection::{ExchangeOutcome, exchange};
use crate::process::EntryContext;

/// Header that shows that an instance passed a request on.
const PASSED_HEADER: &str = "jackdaw-passed-on";
/// Time left to the receiver for its answer to travel back.
const RETURN_MARGIN: Duration = Duration::from_millis(20);

/// Why a request is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, AsRefStr, EnumString)]
#[strum(serialize_all = "lowercase")]
pub(crate) enum PassReason {
    /// The receiver decides whether the key may run.
    Home,
    /// The receiver serves it from its own slots; the sender has decided about the key.
    Slot,
}

/// How passing a request on ended.
#[derive(Debug)]
pub(crate) enum PassEnd {
    /// The other instance gave the final answer.
    Answered(Response<Body>),
    /// It was sent and no whole answer came.
    Lost,
    /// No byte was sent; the body comes back.
    Unsent(RequestBody),
}

/// Why another instance passed the request on, if one did.
pub(crate) fn passed_reason(
    keys: &PeerKeys,
    headers: &HeaderMap,
    target: &str,
) -> Option<PassReason> {
    let (reason, code) = headers.get(PASSED_HEADER)?.to_str().ok()?.split_once('.')?;
    let code = decode_hex(code.as_bytes())?;
    let key = headers.get("idempotency-key").map(HeaderValue::as_bytes).unwrap_or_default();
    let parts: [&[u8]; 4] = [b"pass-on", reason.as_bytes(), target.as_bytes(), key];
    keys.verify(&parts, &code).then(|| reason.parse().ok()).flatten()
}

/// Passes a request on and relays the answer.
pub(crate) async fn pass_on(
    context: &Arc<EntryContext>,
    plan: &RequestPlan,
    mut body: RequestBody,
    reason: PassReason,
    receiver: SocketAddr,
) -> PassEnd {
    let left = plan.deadline.since(context.clock.now()).saturating_sub(RETURN_MARGIN);
    let (Some(content), Some(request)) = (body.take(), head(context, plan, reason, left)) else {
        return PassEnd::Unsent(body);
    };
    let request = request.map(|()| content);
    match exchange(&context.pool, receiver, request, left).await {
        ExchangeOutcome::Unsent { request, .. } => {
            body.restore(request.into_body());
            PassEnd::Unsent(body)
        }
        ExchangeOutcome::Lost { error, .. } => {
            log::debug!("event=pass-on-lost peer={receiver} error={error:?}");
            PassEnd::Lost
        }
        ExchangeOutcome::Answered(answer) => {
            let (head, incoming) = answer.response.into_parts();
            let until = context.clock.instant(plan.deadline);
            match timeout_at(until, incoming.collect()).await {
                Ok(Ok(collected)) => {
                    context.pool.checkin(answer.connection);
                    PassEnd::Answered(Response::from_parts(head, Body::from(collected.to_bytes())))
                }
                Ok(Err(_)) | Err(_) => PassEnd::Lost,
            }
        }
    }
}

fn head(
    context: &EntryContext,
    plan: &RequestPlan,
    reason: PassReason,
    left: Duration,
) -> Option<Request<()>> {
    let target = format!("/{}{}", plan.service, plan.uri);
    let mut request = Request::new(());
    *request.method_mut() = plan.method.clone();
    *request.uri_mut() = target.parse::<Uri>().ok()?;
    plan.headers.clone_into(request.headers_mut());
    let headers = request.headers_mut();
    let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE_HEADER, HeaderValue::from(millis));
    let key = headers.get("idempotency-key").cloned();
    let key = key.as_ref().map(HeaderValue::as_bytes).unwrap_or_default();
    let parts: [&[u8]; 4] = [b"pass-on", reason.as_ref().as_bytes(), target.as_bytes(), key];
    let code = context.keys.sign(&parts);
    let hex: String = code.iter().map(|byte| format!("{byte:02x}")).collect();
    let text = format!("{}.{hex}", reason.as_ref());
    headers.insert(PASSED_HEADER, HeaderValue::from_str(&text).ok()?);
    Some(request)
}

fn decode_hex(text: &[u8]) -> Option<Vec<u8>> {
    let digit = |byte: u8| char::from(byte).to_digit(16).and_then(|value| u8::try_from(value).ok());
    if !text.len().is_multiple_of(2) {
        return None;
    }
    text.chunks_exact(2).map(|pair| Some(digit(pair[0])? << 4 | digit(pair[1])?)).collect()
}
