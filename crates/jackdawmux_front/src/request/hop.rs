//! Headers of a request that one instance forwards to another, and of its response.

use axum::http::{HeaderMap, HeaderName, HeaderValue};
use jackdawmux_policy::fleet::choice::{EndpointChoice, EndpointKey};

/// Path prefix of forwarded requests on the address for other instances.
pub(crate) const FORWARD_PREFIX: &str = "/forward";
/// Configuration version, delivered attempts and name of the forwarding instance.
const HOP: HeaderName = HeaderName::from_static("jackdawmux-hop");
/// Why an instance does not take a forwarded request, which has not run.
const DECLINED: HeaderName = HeaderName::from_static("jackdawmux-hop-declined");
/// Attempts that reached endpoints, in the refusal of a forwarded request.
const DELIVERED: HeaderName = HeaderName::from_static("jackdawmux-hop-delivered");
/// Start and identity of the endpoint that sent the response.
const ENDPOINT: HeaderName = HeaderName::from_static("jackdawmux-hop-endpoint");

/// What the forwarding instance states about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HopRecord {
    /// Version of its configuration. An older one must not decide about the request.
    pub(crate) config_version: u64,
    /// Attempts of which bytes have reached endpoints.
    pub(crate) delivered: u32,
    /// Its name, for logs.
    pub(crate) origin: String,
}

impl HopRecord {
    /// Sets the header of a request. Fails for a name that no header can carry.
    pub(crate) fn write(&self, headers: &mut HeaderMap) -> bool {
        let Self { config_version, delivered, origin } = self;
        let value = HeaderValue::from_str(&format!("{config_version} {delivered} {origin}"));
        value.map(|value| headers.insert(HOP, value)).is_ok()
    }

    /// Takes the record from the headers of a request.
    pub(crate) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let value = headers.remove(HOP)?;
        let mut parts = value.to_str().ok()?.splitn(3, ' ');
        Some(Self {
            config_version: parts.next()?.parse().ok()?,
            delivered: parts.next()?.parse().ok()?,
            origin: parts.next()?.to_owned(),
        })
    }
}

/// Marks a response as that of an instance that does not take the request.
pub(crate) fn mark_declined(headers: &mut HeaderMap, reason: &'static str) {
    headers.insert(DECLINED, HeaderValue::from_static(reason));
}

/// Takes the reason why an instance did not take the request.
pub(crate) fn take_declined(headers: &mut HeaderMap) -> Option<String> {
    Some(headers.remove(DECLINED)?.to_str().unwrap_or_default().to_owned())
}

/// States in a refusal how many attempts reached endpoints, including those before the hop: they count
/// towards the attempts of the route wherever the next one is made.
pub(crate) fn mark_delivered(headers: &mut HeaderMap, delivered: u32) {
    headers.insert(DELIVERED, delivered.into());
}

/// Takes the number of attempts that reached endpoints.
pub(crate) fn take_delivered(headers: &mut HeaderMap) -> Option<u32> {
    headers.remove(DELIVERED)?.to_str().ok()?.parse().ok()
}

/// Names the endpoint of a response to the forwarding instance, which must respect what the endpoint
/// states in it.
pub(crate) fn mark_endpoint(headers: &mut HeaderMap, choice: &EndpointChoice) {
    if let Ok(value) = HeaderValue::from_str(&format!("{} {}", choice.started_ms, choice.id)) {
        headers.insert(ENDPOINT, value);
    }
}

/// Takes the endpoint of a response: its key, start and identity.
pub(crate) fn take_endpoint(headers: &mut HeaderMap) -> Option<(EndpointKey, u64, String)> {
    let value = headers.remove(ENDPOINT)?;
    let (started_ms, id) = value.to_str().ok()?.split_once(' ')?;
    Some((EndpointKey::of(id), started_ms.parse().ok()?, id.to_owned()))
}
