//! Callers that reuse their connection until the front closes it or a request fails.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use jackdawmux_platform_standins::caller::{CallerRequest, look_up, read_response};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::fleet::{DOMAINS, SoakFleet};
use crate::record::{LookupRecord, RequestKind, RequestOutcome, RequestRecord};

/// Timeout of a lookup and of a connection attempt, as the platform's callers use.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Range from which the timeout of a request is drawn, in milliseconds; the end is exclusive. It
/// spans the timeout of the routes, so that either timeout can come first.
const CALLER_TIMEOUT_RANGE_MS: (u64, u64) = (1_000, 1_900);
/// Time after the caller's timeout for which a late response is still read.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Range of the pause of a caller between two requests, in milliseconds; the end is exclusive.
const THINK_TIME_RANGE_MS: (u64, u64) = (10, 200);
/// On average, one request in this many is abandoned by its caller.
const ABANDON_ONE_IN: u32 = 25;
/// Upper bound of the delay after which a request is abandoned, in milliseconds; exclusive.
const MAX_ABANDON_DELAY_MS: u64 = 400;
/// Number of distinct objects that requests refer to.
const OBJECT_COUNT: u32 = 200;
/// Upper bound of the size of a request body; exclusive.
const MAX_BODY_BYTES: usize = 2_000;

/// Records of all callers of a run.
#[derive(Debug, Default)]
pub struct CallerLog {
    /// Requests, in the order in which their outcomes were known.
    pub requests: Mutex<Vec<RequestRecord>>,
    /// Lookups that returned at least one known front.
    pub lookups: Mutex<Vec<LookupRecord>>,
}

/// A connection to a front.
#[derive(Debug)]
struct FrontConnection {
    stream: TcpStream,
    front: usize,
}

/// A caller that sends one request at a time.
#[derive(Debug)]
pub struct SoakCaller {
    /// Number of the caller, part of its attempt ids.
    number: usize,
    fleet: Arc<SoakFleet>,
    log: Arc<CallerLog>,
    /// Source of everything random in the caller's requests.
    rng: StdRng,
    connection: Option<FrontConnection>,
}

impl SoakCaller {
    /// Creates a caller whose requests depend on `seed` and `number`.
    #[must_use]
    pub fn new(number: usize, seed: u64, fleet: Arc<SoakFleet>, log: Arc<CallerLog>) -> Self {
        let caller_seed = seed.wrapping_mul(1_000).wrapping_add(u64::try_from(number).unwrap_or(0));
        Self { number, fleet, log, rng: StdRng::seed_from_u64(caller_seed), connection: None }
    }

    /// Sends requests until `shutdown` is true.
    pub async fn run(mut self, shutdown: watch::Receiver<bool>) {
        let mut count = 0_u64;
        while !*shutdown.borrow() {
            let (min_ms, max_ms) = THINK_TIME_RANGE_MS;
            let think_time_ms = self.rng.random_range(min_ms..max_ms);
            sleep(Duration::from_millis(think_time_ms)).await;
            let Some(connection) = self.connect().await else {
                continue;
            };
            count += 1;
            self.send_request(connection, count).await;
        }
    }

    /// Returns the open connection, or a new one to a front that a lookup returned.
    async fn connect(&mut self) -> Option<FrontConnection> {
        if let Some(connection) = self.connection.take() {
            return Some(connection);
        }
        let queried_front = self.rng.random_range(0..self.fleet.fronts.len());
        let domain = DOMAINS[self.number % DOMAINS.len()];
        let directory = self.fleet.fronts[queried_front].config.directory_address();
        let addresses =
            timeout(CONNECT_TIMEOUT, look_up(directory, domain.1, domain.0)).await.ok()?;
        let listed_fronts: Vec<usize> =
            addresses.into_iter().filter_map(|address| self.front_by_address(address)).collect();
        if listed_fronts.is_empty() {
            return None;
        }
        let front = listed_fronts[self.rng.random_range(0..listed_fronts.len())];
        let record = LookupRecord { front: queried_front, listed_fronts, at: Instant::now() };
        self.log.lookups.lock().expect("no task panicked").push(record);
        let address = self.fleet.fronts[front].caller_link.address;
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
        Some(FrontConnection { stream, front })
    }

    fn front_by_address(&self, address: SocketAddr) -> Option<usize> {
        self.fleet.fronts.iter().position(|front| front.config.address() == address)
    }

    fn choose_kind(&mut self) -> RequestKind {
        match self.rng.random_range(0..10) {
            0..6 => RequestKind::Read,
            6..9 => RequestKind::Payment,
            _ => {
                let events = self.fleet.events();
                let newest = events.versions.last().map_or(0, |record| record.version);
                RequestKind::Probe { version: newest }
            }
        }
    }

    async fn send_request(&mut self, mut connection: FrontConnection, count: u64) {
        let kind = self.choose_kind();
        let object = self.rng.random_range(0..OBJECT_COUNT).to_string();
        let attempt_id = format!("c{}-{count}", self.number);
        let (method, path) = match kind {
            RequestKind::Read => ("GET", format!("/look/{object}?n={count}")),
            RequestKind::Payment => ("POST", format!("/pay/{object}?n={count}")),
            RequestKind::Probe { version } => ("GET", format!("/only-{version}/{object}")),
        };
        let body_bytes =
            if kind == RequestKind::Payment { self.rng.random_range(1..MAX_BODY_BYTES) } else { 0 };
        let body = attempt_id.chars().cycle().take(body_bytes).collect::<String>();
        let (min_ms, max_ms) = CALLER_TIMEOUT_RANGE_MS;
        let wait_ms = self.rng.random_range(min_ms..max_ms);
        let request = CallerRequest {
            method,
            path: &path,
            attempt: &attempt_id,
            object: &object,
            wait_ms,
            body: &body,
        };
        let is_abandoning = self.rng.random_range(0..ABANDON_ONE_IN) == 0;
        let abandon_after = Duration::from_millis(self.rng.random_range(1..MAX_ABANDON_DELAY_MS));
        let start_number = self.fleet.fronts[connection.front].start_count();
        let write_started_at = Instant::now();
        let is_written = connection.stream.write_all(request.text().as_bytes()).await.is_ok();
        let sent_at = Instant::now();
        let caller_timeout = Duration::from_millis(wait_ms);
        let response_timeout =
            if is_abandoning { abandon_after } else { caller_timeout + LATE_RESPONSE_TIMEOUT };
        let outcome = match timeout(response_timeout, read_response(&mut connection.stream)).await {
            Ok(response) if response.is_complete => RequestOutcome::Answered(response),
            Ok(_) => RequestOutcome::Cut,
            Err(_elapsed) if is_abandoning => RequestOutcome::Abandoned,
            Err(_elapsed) => RequestOutcome::Unanswered,
        };
        let is_reusable = match &outcome {
            RequestOutcome::Answered(response) => !response.closes_connection(),
            _ => false,
        };
        let record = RequestRecord {
            attempt_id,
            front: connection.front,
            start_number,
            kind,
            target: format!("{method} {path}"),
            body,
            sent_at: if is_written { sent_at } else { write_started_at },
            ended_at: Instant::now(),
            caller_timeout,
            outcome,
        };
        self.log.requests.lock().expect("no task panicked").push(record);
        if is_reusable {
            self.connection = Some(connection);
        }
    }
}
