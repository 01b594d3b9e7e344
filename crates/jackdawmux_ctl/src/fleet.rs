//! Members of a group as listed in the platform's store, and requests to instances.

use std::net::SocketAddr;
use std::time::Duration;

use jackdawmux_policy::group::{GroupMember, GroupView};
use jackdawmux_runtime::{HeldBudget, read_bounded};
use jackdawmux_store::{ObjectStore, StoreError};
use reqwest::Client;
use serde::de::DeserializeOwned;

/// Maximum time to wait for the response of one instance.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest response of an instance, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Reads the members of a group from the store; an unknown group has none.
pub(crate) async fn read_members(
    store: &dyn ObjectStore,
    group: &str,
) -> Result<Vec<GroupMember>, StoreError> {
    let key = format!("groups/{group}");
    let Some(object) = store.read(&key).await? else {
        return Ok(Vec::new());
    };
    let view: GroupView = serde_json::from_slice(&object.content)
        .map_err(|error| StoreError::Content { key, reason: error.to_string() })?;
    Ok(view.members)
}

/// Creates the HTTP client for requests to instances.
pub(crate) fn instance_client() -> reqwest::Result<Client> {
    Client::builder().no_proxy().timeout(RESPONSE_TIMEOUT).build()
}

/// Gets a JSON document from an instance.
pub(crate) async fn get_json<T: DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
    path: &str,
) -> Result<T, String> {
    let url = format!("http://{address}{path}");
    let response = client.get(url).send().await.map_err(|error| error.to_string())?;
    let mut share = HeldBudget::new(MAX_RESPONSE_BYTES).share();
    let body = read_bounded(reqwest::Body::from(response), MAX_RESPONSE_BYTES, &mut share)
        .await
        .map_err(|error| error.to_string())?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

/// Returns the instances to query: those given, or else the group's members.
pub(crate) async fn instance_addresses(
    store: &dyn ObjectStore,
    group: &str,
    given: &[SocketAddr],
) -> Result<Vec<SocketAddr>, StoreError> {
    if !given.is_empty() {
        return Ok(given.to_vec());
    }
    let members = read_members(store, group).await?;
    Ok(members.iter().map(|member| member.address).collect())
}
