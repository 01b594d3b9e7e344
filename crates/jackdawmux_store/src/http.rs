//! HTTP client of the object API.

use std::time::Duration;

use bytes::Bytes;
use jackdawmux_runtime::{HeldBudget, read_bounded};
use reqwest::header::{AUTHORIZATION, ETAG, HeaderMap, IF_MATCH, IF_NONE_MATCH};
use reqwest::{Client, Response, StatusCode};
use snafu::{OptionExt, ResultExt};

use crate::error::{BodySnafu, StatusSnafu, StoreError, TransportSnafu, VersionSnafu};
use crate::store::{ObjectStore, StoreFuture, StoredObject, UpdateOutcome};

/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for a call; a watch adds its waiting time. A read that is not answered must fail, and be made
/// again, within the time in which accepted rules are applied.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Largest object, in bytes: accepted rules and the view of a group at 3,400 instances are below a quarter
/// of it.
const MAX_OBJECT_BYTES: usize = 16 * 1024 * 1024;
/// Bytes of objects that are read at the same time.
const MAX_HELD_BYTES: usize = 32 * 1024 * 1024;

/// HTTP client of one object store.
#[derive(Debug)]
pub struct HttpStore {
    client: Client,
    base: String,
    token: Option<String>,
    held: HeldBudget,
}

impl HttpStore {
    /// Creates a client of the store at the base URL, such as `http://127.0.0.1:7000`, with an
    /// optional bearer token for updates.
    ///
    /// # Errors
    /// When the HTTP client cannot be set up.
    pub fn open(base: &str, token: Option<&str>) -> Result<Self, StoreError> {
        let client = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            .tcp_nodelay(true)
            .build()
            .context(TransportSnafu { step: "open", peer: base })?;
        let base = base.trim_end_matches('/').to_owned();
        let held = HeldBudget::new(MAX_HELD_BYTES);
        Ok(Self { client, base, token: token.map(str::to_owned), held })
    }

    fn url(&self, key: &str) -> String {
        format!("{}/objects/{key}", self.base)
    }

    async fn get(&self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        let step = "read";
        let request = self.client.get(self.url(key)).timeout(CALL_TIMEOUT);
        let response = request.send().await.context(TransportSnafu { step, peer: &self.base })?;
        match response.status() {
            StatusCode::OK => self.read_object(step, response).await.map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => self.unexpected_status(step, status),
        }
    }

    async fn wait(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<StoredObject>, StoreError> {
        let step = "watch";
        let url = format!("{}?after={after}&wait_ms={}", self.url(key), wait.as_millis());
        let request = self.client.get(url).timeout(wait + CALL_TIMEOUT);
        let response = request.send().await.context(TransportSnafu { step, peer: &self.base })?;
        match response.status() {
            StatusCode::OK => self.read_object(step, response).await.map(Some),
            StatusCode::NOT_MODIFIED | StatusCode::NOT_FOUND => Ok(None),
            status => self.unexpected_status(step, status),
        }
    }

    async fn put(&self, key: &str, expected: u64, content: Bytes) -> UpdateOutcome {
        let step = "update";
        let mut request = self.client.put(self.url(key)).timeout(CALL_TIMEOUT).body(content);
        request = match expected {
            0 => request.header(IF_NONE_MATCH, "*"),
            version => request.header(IF_MATCH, format!("\"{version}\"")),
        };
        if let Some(token) = &self.token {
            request = request.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        let response = match request.send().await {
            Ok(response) => response,
            Err(source) => {
                let is_unsent = source.is_connect() || source.is_builder();
                let error = StoreError::Transport { step, peer: self.base.clone(), source };
                return if is_unsent {
                    UpdateOutcome::NotDone(error)
                } else {
                    UpdateOutcome::Unknown(error)
                };
            }
        };
        self.classify_update(step, &response)
    }

    fn classify_update(&self, step: &'static str, response: &Response) -> UpdateOutcome {
        let status = response.status();
        if status.is_success() {
            return match read_version(response.headers()) {
                Some(version) => UpdateOutcome::Done(version),
                None => {
                    UpdateOutcome::Unknown(StoreError::Version { step, peer: self.base.clone() })
                }
            };
        }
        if status == StatusCode::PRECONDITION_FAILED {
            return UpdateOutcome::Conflict;
        }
        let error = StoreError::Status { step, peer: self.base.clone(), status: status.as_u16() };
        if status.is_client_error() {
            UpdateOutcome::NotDone(error)
        } else {
            UpdateOutcome::Unknown(error)
        }
    }

    async fn read_object(
        &self,
        step: &'static str,
        response: Response,
    ) -> Result<StoredObject, StoreError> {
        let version =
            read_version(response.headers()).context(VersionSnafu { step, peer: &self.base })?;
        let mut share = self.held.share();
        let body = reqwest::Body::from(response);
        let content = read_bounded(body, MAX_OBJECT_BYTES, &mut share)
            .await
            .context(BodySnafu { step, peer: &self.base })?;
        Ok(StoredObject { version, content })
    }

    fn unexpected_status<T>(
        &self,
        step: &'static str,
        status: StatusCode,
    ) -> Result<T, StoreError> {
        StatusSnafu { step, peer: &self.base, status: status.as_u16() }.fail()
    }
}

impl ObjectStore for HttpStore {
    fn read<'call>(
        &'call self,
        key: &'call str,
    ) -> StoreFuture<'call, Result<Option<StoredObject>, StoreError>> {
        Box::pin(self.get(key))
    }

    fn watch<'call>(
        &'call self,
        key: &'call str,
        after: u64,
        wait: Duration,
    ) -> StoreFuture<'call, Result<Option<StoredObject>, StoreError>> {
        Box::pin(self.wait(key, after, wait))
    }

    fn update<'call>(
        &'call self,
        key: &'call str,
        expected: u64,
        content: Bytes,
    ) -> StoreFuture<'call, UpdateOutcome> {
        Box::pin(self.put(key, expected, content))
    }
}

fn read_version(headers: &HeaderMap) -> Option<u64> {
    headers.get(ETAG)?.to_str().ok()?.trim_matches('"').parse().ok()
}
