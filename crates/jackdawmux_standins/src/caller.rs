//! Stand-in for callers: open-loop load with look-ups, tickets and outcomes.
//!
//! Requests are sent when they are due, whether or not earlier ones have been answered, and
//! latency counts from when a request was due; a slow system cannot hide behind a slow caller.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use reqwest::{Client, Method, RequestBuilder};
use serde::Deserialize;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use crate::deployment::OperationProfile;
use crate::report::LoadReport;

/// Longest wait for an answer.
const ANSWER_LONGEST: Duration = Duration::from_secs(10);
/// Entries tried for one request.
const ENTRY_TRIES: usize = 4;
/// Time for which an entry that refused a connection is left out.
const REFUSING_TIME: Duration = Duration::from_secs(2);
/// Tickets fetched at once.
const TICKET_BATCH: usize = 100;
/// Share of first-named entries that the skewed half of callers prefers, in percent.
const SKEW_PERCENT: u32 = 40;

/// Where idempotency keys come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeySource {
    /// The system's tickets.
    Tickets,
    /// The caller's own keys.
    Own,
}

/// One kind of request with its rate.
#[derive(Clone, Copy, Debug)]
pub struct OperationLoad {
    /// The kind of request.
    pub operation: OperationProfile,
    /// Requests a second.
    pub rate: f64,
}

/// What to send.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Entries to ask first.
    pub entries: Vec<SocketAddr>,
    /// Kinds of requests.
    pub loads: Vec<OperationLoad>,
    /// For how long.
    pub duration: Duration,
    /// Fixes arrivals and choices.
    pub seed: u64,
    /// Where keys come from.
    pub keys: KeySource,
    /// Whether the first entry gets more than its part of the requests.
    pub is_skewed: bool,
}

#[derive(Clone, Debug, Deserialize)]
struct NamedEntry {
    address: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
struct EntriesAnswer {
    entries: Vec<NamedEntry>,
    ttl_ms: u64,
}

#[derive(Debug, Deserialize)]
struct TicketsAnswer {
    tickets: Vec<String>,
}

#[derive(Debug, Default)]
struct CallerCache {
    named: HashMap<(SocketAddr, &'static str), (Instant, Vec<SocketAddr>)>,
    tickets: HashMap<(SocketAddr, &'static str), Vec<String>>,
    /// Entries that refused a connection, until when they are left out.
    refusing: HashMap<SocketAddr, Instant>,
}

#[derive(Debug)]
struct CallerShared {
    client: Client,
    entries: Vec<SocketAddr>,
    keys: KeySource,
    cache: Mutex<CallerCache>,
    report: Mutex<LoadReport>,
}

/// Sends the load and reports on it.
pub async fn run_load(settings: &CallerSettings) -> reqwest::Result<LoadReport> {
    let client = Client::builder().no_proxy().timeout(ANSWER_LONGEST).tcp_nodelay(true).build()?;
    let shared = Arc::new(CallerShared {
        client,
        entries: settings.entries.clone(),
        keys: settings.keys,
        cache: Mutex::default(),
        report: Mutex::default(),
    });
    let begin = Instant::now();
    let mut streams = JoinSet::new();
    for (index, load) in settings.loads.iter().enumerate() {
        let seed = settings.seed.wrapping_add(u64::try_from(index).unwrap_or(0));
        let generator = StdRng::seed_from_u64(seed);
        let end = begin + settings.duration;
        let shared = Arc::clone(&shared);
        streams.spawn(send_stream(shared, *load, begin, end, generator, settings.is_skewed));
    }
    while streams.join_next().await.is_some() {}
    let report = shared.report.lock().unwrap_or_else(PoisonError::into_inner).clone();
    Ok(report)
}

async fn send_stream(
    shared: Arc<CallerShared>,
    load: OperationLoad,
    begin: Instant,
    end: Instant,
    mut generator: StdRng,
    is_skewed: bool,
) {
    let mut due = begin;
    let mut number = 0_u64;
    let mut requests = JoinSet::new();
    loop {
        let uniform: f64 = generator.random::<f64>().max(f64::MIN_POSITIVE);
        due += Duration::from_secs_f64(-uniform.ln() / load.rate);
        if due >= end {
            break;
        }
        sleep_until(due).await;
        while requests.try_join_next().is_some() {}
        number += 1;
        let key = format!("{:016x}{number:016x}", generator.random::<u64>());
        let choice = choose(&mut generator, shared.entries.len(), is_skewed);
        let shared = Arc::clone(&shared);
        requests.spawn(async move { shared.send(load.operation, due, choice, key).await });
    }
    while requests.join_next().await.is_some() {}
}

fn choose(generator: &mut StdRng, count: usize, is_skewed: bool) -> usize {
    if is_skewed && generator.random_range(0..100) < SKEW_PERCENT {
        return 0;
    }
    generator.random_range(0..count.max(1))
}

impl CallerShared {
    async fn send(&self, operation: OperationProfile, due: Instant, choice: usize, key: String) {
        let outcome = self.outcome(operation, choice, key).await;
        let latency = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
        let name = format!("{} /{}{}", operation.method, operation.service, operation.path);
        let mut report = self.report.lock().unwrap_or_else(PoisonError::into_inner);
        report.operations.entry(name).or_default().record(&outcome, latency);
    }

    async fn outcome(&self, operation: OperationProfile, choice: usize, own: String) -> String {
        for _ in 0..ENTRY_TRIES {
            let Some(entry) = self.entry_for(operation.service, choice).await else {
                continue;
            };
            let key = match (operation.is_at_most_once, self.keys) {
                (false, _) => None,
                (true, KeySource::Own) => Some(own.clone()),
                (true, KeySource::Tickets) => match self.ticket(entry, operation.service).await {
                    Some(ticket) => Some(ticket),
                    None => {
                        self.leave_out(entry);
                        continue;
                    }
                },
            };
            match self.build(entry, operation, key.as_deref()).send().await {
                Ok(response) => return read_outcome(response).await,
                // A refused connection has sent nothing: the next entry may be used.
                Err(error) if error.is_connect() => self.leave_out(entry),
                Err(_) => return "error".to_owned(),
            }
        }
        "error".to_owned()
    }

    fn leave_out(&self, entry: SocketAddr) {
        let until = Instant::now() + REFUSING_TIME;
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        cache.refusing.insert(entry, until);
    }

    fn is_left_out(&self, entry: SocketAddr) -> bool {
        let cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        cache.refusing.get(&entry).is_some_and(|until| Instant::now() < *until)
    }

    fn build(
        &self,
        entry: SocketAddr,
        operation: OperationProfile,
        key: Option<&str>,
    ) -> RequestBuilder {
        let url = format!("http://{entry}/{}{}", operation.service, operation.path);
        let method = Method::from_bytes(operation.method.as_bytes()).unwrap_or(Method::GET);
        let mut request = self.client.request(method, url);
        if operation.body_bytes > 0 {
            request = request.body(vec![b'x'; operation.body_bytes]);
        }
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        request
    }

    /// The entry to use: the first that a look-up names, cached for its time to live.
    async fn entry_for(&self, service: &'static str, choice: usize) -> Option<SocketAddr> {
        for attempt in 0..self.entries.len() {
            let asked = self.entries[(choice + attempt) % self.entries.len()];
            if let Some(named) = self.cached(asked, service) {
                return Some(named);
            }
            if self.is_left_out(asked) {
                continue;
            }
            let url = format!("http://{asked}/v1/entries?service={service}");
            let Ok(response) = self.client.get(url).send().await else {
                continue;
            };
            let Ok(answer) = response.json::<EntriesAnswer>().await else {
                continue;
            };
            let until = Instant::now() + Duration::from_millis(answer.ttl_ms);
            let mut named: Vec<SocketAddr> =
                answer.entries.into_iter().map(|entry| entry.address).collect();
            // A caller next to the entry that it asked keeps using it while it is named.
            if let Some(index) = named.iter().position(|address| *address == asked) {
                named.swap(0, index);
            }
            let first = named.first().copied();
            let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
            cache.named.insert((asked, service), (until, named));
            drop(cache);
            if first.is_some() {
                return first;
            }
        }
        None
    }

    fn cached(&self, asked: SocketAddr, service: &'static str) -> Option<SocketAddr> {
        let cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        let (until, named) = cache.named.get(&(asked, service))?;
        let now = Instant::now();
        let is_open =
            |entry: &&SocketAddr| cache.refusing.get(entry).is_none_or(|until| *until <= now);
        (now < *until).then(|| named.iter().find(is_open).copied()).flatten()
    }

    async fn ticket(&self, entry: SocketAddr, service: &'static str) -> Option<String> {
        {
            let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
            if let Some(ticket) = cache.tickets.get_mut(&(entry, service)).and_then(Vec::pop) {
                return Some(ticket);
            }
        }
        let url = format!("http://{entry}/v1/tickets?service={service}&count={TICKET_BATCH}");
        let response = self.client.post(url).send().await.ok()?;
        let mut tickets = response.json::<TicketsAnswer>().await.ok()?.tickets;
        let ticket = tickets.pop();
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        cache.tickets.entry((entry, service)).or_default().extend(tickets);
        ticket
    }
}

async fn read_outcome(response: reqwest::Response) -> String {
    let outcome = response.headers().get("jackdaw-outcome").cloned();
    let is_whole = response.bytes().await.is_ok();
    match outcome.as_ref().and_then(|value| value.to_str().ok()) {
        Some(outcome) if is_whole => outcome.to_owned(),
        Some(_) | None => "error".to_owned(),
    }
}
