//! Stand-in for an endpoint: slots, a queue, kept channels, heartbeats in the store.

use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use super::http::{Channel, Message};
use super::record::Record;
use super::store::Store;

/// Time between heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Requests that wait for a slot at most.
const QUEUE: u32 = 27;

/// A request that reached an endpoint.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub attempt: String,
    pub method: String,
    pub target: String,
    /// Whether it began to run.
    pub is_run: bool,
}

/// What an endpoint does beside answering; all of it is off in a sound one.
#[derive(Default)]
pub struct Faults {
    /// Bytes that are sent on a kept channel before the next answer, once for each element left.
    pub stray: Mutex<Vec<Vec<u8>>>,
}

pub struct Endpoint {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub work: Duration,
    pub faults: Faults,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// A request whose path contains this crashes the endpoint.
    pub poison: Option<String>,
    pub has_crashed: AtomicBool,
    record: Arc<Record>,
    born: u64,
    sequence: AtomicU64,
    is_draining: AtomicBool,
    /// When it stops to be cold, in milliseconds of the record's clock.
    cold_until: Mutex<f64>,
    is_over: AtomicBool,
    running: Mutex<u32>,
    waiting: AtomicU32,
    freed: Condvar,
    open: Mutex<BTreeMap<u64, TcpStream>>,
}

pub struct EndpointPlan<'text> {
    pub id: &'text str,
    pub service: &'text str,
    pub zone: &'text str,
    pub ip: &'text str,
    pub slots: u32,
    pub work: Duration,
    pub poison: Option<&'text str>,
}

impl Endpoint {
    /// Starts an endpoint on a free port. It is in the store after its first heartbeat.
    pub fn start(plan: &EndpointPlan<'_>, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind((plan.ip, 0)).expect("the endpoint binds a port");
        let address = listener.local_addr().expect("the listener has an address");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
        let endpoint = Arc::new(Self {
            id: plan.id.to_owned(),
            service: plan.service.to_owned(),
            zone: plan.zone.to_owned(),
            address,
            slots: plan.slots,
            work: plan.work,
            faults: Faults::default(),
            arrivals: Mutex::default(),
            poison: plan.poison.map(str::to_owned),
            has_crashed: AtomicBool::new(false),
            record: Arc::clone(record),
            born: born.as_millis() as u64,
            sequence: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            cold_until: Mutex::new(0.0),
            is_over: AtomicBool::new(false),
            running: Mutex::new(0),
            waiting: AtomicU32::new(0),
            freed: Condvar::new(),
            open: Mutex::default(),
        });
        let shared = Arc::clone(&endpoint);
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                if shared.is_over.load(Ordering::SeqCst) {
                    return;
                }
                let endpoint = Arc::clone(&shared);
                thread::spawn(move || endpoint.serve(stream, number as u64));
            }
        });
        endpoint
    }

    pub fn is_over(&self) -> bool {
        self.is_over.load(Ordering::SeqCst)
    }

    pub fn set_draining(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
    }

    pub fn set_cold(&self, span: Duration) {
        *self.cold_until.lock().unwrap() = self.record.now() + span.as_secs_f64();
    }

    /// Spec and status of the next heartbeat.
    pub fn next_beat(&self) -> (String, String) {
        let Self { id: _, service, zone, address, slots, born, .. } = self;
        let spec = format!(
            "{{\"address\":\"{address}\",\"born\":{born},\"info\":{{\"service\":\"{service}\",\
             \"version\":\"v1\",\"zone\":\"{zone}\",\"slots\":{slots}}}}}"
        );
        let is_draining = self.is_draining.load(Ordering::SeqCst);
        let state = if is_draining { "draining" } else { "ready" };
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let cold_left = (*self.cold_until.lock().unwrap() - self.record.now()).max(0.0);
        let cold_ms = (cold_left * 1e3) as u64;
        let status = format!(
            "{{\"state\":\"{state}\",\"sequence\":{sequence},\"coldLeft\":\"{cold_ms}ms\"}}"
        );
        (spec, status)
    }

    /// Writes one heartbeat, which the store answers.
    pub fn beat(&self, store: &Store) {
        let (spec, status) = self.next_beat();
        store.put("servers", &self.id, Some(&spec), Some(&status));
    }

    /// Writes heartbeats until the endpoint ends. Its entry is removed three intervals after the last one.
    pub fn beat_regularly(self: &Arc<Self>, store: &Arc<Store>) {
        let (endpoint, store) = (Arc::clone(self), Arc::clone(store));
        thread::spawn(move || {
            while !endpoint.is_over() {
                endpoint.beat(&store);
                thread::sleep(HEARTBEAT);
            }
            thread::sleep(HEARTBEAT * 2);
            store.remove("servers", &endpoint.id);
        });
    }

    /// Ends at once: closes its port and all channels.
    pub fn end(&self) {
        if self.is_over.swap(true, Ordering::SeqCst) {
            return;
        }
        for stream in self.open.lock().unwrap().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the thread that accepts, which then drops the listener.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
    }

    fn note(&self, request: &Message, is_run: bool) {
        let at = self.record.now();
        let attempt = request.header("x-attempt-id").to_owned();
        let (method, target) = (request.method().to_owned(), request.target().to_owned());
        let verb = if is_run { "runs" } else { "rejects" };
        self.record.add(format!(
            "endpoint {} ({}, {}) {verb} {attempt} {method} {target}",
            self.id, self.service, self.zone
        ));
        self.arrivals.lock().unwrap().push(Arrival { at, attempt, method, target, is_run });
    }

    fn serve(&self, stream: TcpStream, number: u64) {
        if let Ok(copy) = stream.try_clone() {
            self.open.lock().unwrap().insert(number, copy);
        }
        let mut channel = Channel::new(stream);
        let mut is_kept = false;
        while let Ok(request) = channel.read() {
            if self.is_over() || !self.answer(&mut channel, &request, is_kept) {
                break;
            }
            is_kept = true;
        }
        let _ = channel.stream.shutdown(Shutdown::Both);
        self.open.lock().unwrap().remove(&number);
    }

    /// Answers one request. Returns whether the channel is kept.
    fn answer(&self, channel: &mut Channel, request: &Message, is_kept: bool) -> bool {
        let attempt = request.header("x-attempt-id");
        let head = |status: &str, extra: &str, body: &str| {
            let (running, waiting) =
                (*self.running.lock().unwrap(), self.waiting.load(Ordering::SeqCst));
            format!(
                "HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt}\r\nKeep-Alive: timeout=10\r\n\
                 X-Server-Load: {running},{waiting},{}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
                self.slots,
                body.len()
            )
        };
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.id {
            self.note(request, false);
            let extra = format!("X-Instance-Id: {}\r\n", self.id);
            return channel.write(head("421 Misdirected Request", &extra, "").as_bytes()).is_ok();
        }
        if request.target() == "/health" {
            let extra = format!("X-Instance-Id: {}\r\n", self.id);
            return channel.write(head("200 OK", &extra, "").as_bytes()).is_ok();
        }
        if !self.take_slot() {
            self.note(request, false);
            let refusal = head("503 Service Unavailable", "X-Not-Executed: 1\r\n", "");
            return channel.write(refusal.as_bytes()).is_ok();
        }
        self.note(request, true);
        if self.poison.as_ref().is_some_and(|part| request.target().contains(part.as_str())) {
            self.record.add(format!("endpoint {} crashes", self.id));
            self.has_crashed.store(true, Ordering::SeqCst);
            self.end();
            return false;
        }
        let stray = if is_kept { self.faults.stray.lock().unwrap().pop() } else { None };
        if let Some(bytes) = stray {
            let text = String::from_utf8_lossy(&bytes);
            let line = text.lines().next().unwrap_or("").to_owned();
            self.record.add(format!("endpoint {} sends additional bytes first: {line:?}", self.id));
            if channel.write(&bytes).is_err() {
                self.free_slot();
                return false;
            }
        }
        thread::sleep(self.work);
        self.free_slot();
        if self.is_over() {
            return false;
        }
        self.record.add(format!("endpoint {} has run {attempt}", self.id));
        let body = format!("served by {} for {attempt}", self.id);
        let stamp = "X-Response-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
        channel.write(head("200 OK", stamp, &body).as_bytes()).is_ok()
    }

    fn take_slot(&self) -> bool {
        let mut running = self.running.lock().unwrap();
        if *running >= self.slots {
            if self.waiting.load(Ordering::SeqCst) >= QUEUE {
                return false;
            }
            self.waiting.fetch_add(1, Ordering::SeqCst);
            while *running >= self.slots {
                running = self.freed.wait(running).unwrap();
            }
            self.waiting.fetch_sub(1, Ordering::SeqCst);
        }
        *running += 1;
        true
    }

    fn free_slot(&self) {
        *self.running.lock().unwrap() -= 1;
        self.freed.notify_one();
    }
}
