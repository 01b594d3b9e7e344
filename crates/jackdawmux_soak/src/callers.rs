//! Callers that keep their connections as long as they can.

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

/// Longest time for a look-up or a connection, as callers of the platform allow.
const CONNECT_LONGEST: Duration = Duration::from_secs(1);
/// How long callers wait, in milliseconds: around the timeout of the routes.
const WAIT_MILLIS: (u64, u64) = (1_000, 1_900);
/// Time beyond that for which an answer is still looked for.
const LATE_LONGEST: Duration = Duration::from_millis(1_500);
/// Pause of a caller between requests, in milliseconds.
const PAUSE_MILLIS: (u64, u64) = (10, 200);
/// One request in so many is left by its caller before its time.
const LEAVE_ONE_IN: u32 = 25;
/// Longest time after which such a caller leaves, in milliseconds.
const LEAVE_MILLIS: u64 = 400;
/// Objects that callers ask about.
const OBJECTS: u32 = 200;
/// Longest body of a request.
const BODY_LONGEST: usize = 2_000;

/// What all callers of a run saw.
#[derive(Debug, Default)]
pub struct CallerLog {
    /// Requests.
    pub requests: Mutex<Vec<RequestRecord>>,
    /// Look-ups.
    pub lookups: Mutex<Vec<LookupRecord>>,
}

/// A connection to a front.
#[derive(Debug)]
struct FrontConnection {
    stream: TcpStream,
    front: usize,
}

/// One caller.
#[derive(Debug)]
pub struct SoakCaller {
    /// Number, part of the identities of its attempts.
    number: usize,
    /// Fleet.
    fleet: Arc<SoakFleet>,
    /// Log.
    log: Arc<CallerLog>,
    /// Draws what it asks for.
    random: StdRng,
    connection: Option<FrontConnection>,
}

impl SoakCaller {
    /// A caller whose requests are drawn from `seed`.
    #[must_use]
    pub fn new(number: usize, seed: u64, fleet: Arc<SoakFleet>, log: Arc<CallerLog>) -> Self {
        let own = seed.wrapping_mul(1_000).wrapping_add(u64::try_from(number).unwrap_or(0));
        Self { number, fleet, log, random: StdRng::seed_from_u64(own), connection: None }
    }

    /// Sends requests until told to end.
    pub async fn run(mut self, end: watch::Receiver<bool>) {
        let mut count = 0_u64;
        while !*end.borrow() {
            let (shortest, longest) = PAUSE_MILLIS;
            let pause = self.random.random_range(shortest..longest);
            sleep(Duration::from_millis(pause)).await;
            let Some(connection) = self.connect().await else {
                continue;
            };
            count += 1;
            self.ask(connection, count).await;
        }
    }

    /// The kept connection, or a new one to a front that a look-up names.
    async fn connect(&mut self) -> Option<FrontConnection> {
        if let Some(connection) = self.connection.take() {
            return Some(connection);
        }
        let asked = self.random.random_range(0..self.fleet.fronts.len());
        let domain = DOMAINS[self.number % DOMAINS.len()];
        let directory = self.fleet.fronts[asked].site.directory_address();
        let named = timeout(CONNECT_LONGEST, look_up(directory, domain.1, domain.0)).await.ok()?;
        let named: Vec<usize> =
            named.into_iter().filter_map(|address| self.front_at(address)).collect();
        if named.is_empty() {
            return None;
        }
        let front = named[self.random.random_range(0..named.len())];
        let record = LookupRecord { front: asked, named, at: Instant::now() };
        self.log.lookups.lock().expect("no task panicked").push(record);
        let address = self.fleet.fronts[front].callers.address;
        let stream = timeout(CONNECT_LONGEST, TcpStream::connect(address)).await.ok()?.ok()?;
        Some(FrontConnection { stream, front })
    }

    fn front_at(&self, address: SocketAddr) -> Option<usize> {
        self.fleet.fronts.iter().position(|front| front.site.address() == address)
    }

    fn draw_kind(&mut self) -> RequestKind {
        match self.random.random_range(0..10) {
            0..6 => RequestKind::Look,
            6..9 => RequestKind::Pay,
            _ => {
                let facts = self.fleet.facts();
                let newest = facts.versions.last().map_or(0, |fact| fact.version);
                RequestKind::Probe { version: newest }
            }
        }
    }

    async fn ask(&mut self, mut connection: FrontConnection, count: u64) {
        let kind = self.draw_kind();
        let object = self.random.random_range(0..OBJECTS).to_string();
        let attempt = format!("c{}-{count}", self.number);
        let (method, path) = match kind {
            RequestKind::Look => ("GET", format!("/look/{object}?n={count}")),
            RequestKind::Pay => ("POST", format!("/pay/{object}?n={count}")),
            RequestKind::Probe { version } => ("GET", format!("/only-{version}/{object}")),
        };
        let length =
            if kind == RequestKind::Pay { self.random.random_range(1..BODY_LONGEST) } else { 0 };
        let body = attempt.chars().cycle().take(length).collect::<String>();
        let (shortest, longest) = WAIT_MILLIS;
        let wait_ms = self.random.random_range(shortest..longest);
        let request = CallerRequest {
            method,
            path: &path,
            attempt: &attempt,
            object: &object,
            wait_ms,
            body: &body,
        };
        let is_leaving = self.random.random_range(0..LEAVE_ONE_IN) == 0;
        let leave = Duration::from_millis(self.random.random_range(1..LEAVE_MILLIS));
        let start = self.fleet.fronts[connection.front].start_count();
        let begun = Instant::now();
        let is_sent = connection.stream.write_all(request.text().as_bytes()).await.is_ok();
        let sent_at = Instant::now();
        let wait = Duration::from_millis(wait_ms);
        let longest = if is_leaving { leave } else { wait + LATE_LONGEST };
        let outcome = match timeout(longest, read_response(&mut connection.stream)).await {
            Ok(answer) if answer.is_complete => RequestOutcome::Answered(answer),
            Ok(_) => RequestOutcome::Cut,
            Err(_elapsed) if is_leaving => RequestOutcome::Abandoned,
            Err(_elapsed) => RequestOutcome::Unanswered,
        };
        let is_kept = match &outcome {
            RequestOutcome::Answered(answer) => !answer.closes_connection(),
            _ => false,
        };
        let record = RequestRecord {
            attempt,
            front: connection.front,
            start,
            kind,
            target: format!("{method} {path}"),
            body,
            sent_at: if is_sent { sent_at } else { begun },
            ended_at: Instant::now(),
            wait,
            outcome,
        };
        self.log.requests.lock().expect("no task panicked").push(record);
        if is_kept {
            self.connection = Some(connection);
        }
    }
}
