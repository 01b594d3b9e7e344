//! An endpoint starts while the machines are stopped and started in turn.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::Trouble;
use super::harness::{
    CHAUXPARTAGE, Front, Message, Record, Store, answer, manifest_with, request_for,
    start_endpoint,
};

/// Machines of a small deployment, by zone.
const MACHINES: [(&str, &str); 5] = [
    ("front-nord-a-1", "nord-a"),
    ("front-nord-a-2", "nord-a"),
    ("front-centre-a-1", "centre-a"),
    ("front-sud-a-1", "sud-a"),
    ("front-nord-b-1", "nord-b"),
];
/// Time between two stops, as for `roll_term` on the site.
const GAP: Duration = Duration::from_secs(1);
/// Time from the first stop to the start of the endpoint.
const UNTIL_START: Duration = Duration::from_millis(3_700);
/// How long an endpoint is cold after its start, and what it tolerates meanwhile.
const COLD: Duration = Duration::from_secs(3);
const COLD_PER_SECOND: usize = 14;
/// `coldPerS` x `coldMultiplier` + `coldSlack`.
const ALLOWED: usize = 26;
/// Requests in a second at which the stand-in crashes: twice what it tolerates.
const CRASHES_AT: usize = 2 * COLD_PER_SECOND + 1;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const OTHER_ENDPOINTS: usize = 5;
/// Objects that prefer the endpoint.
const OBJECTS: usize = 12;
const CLIENTS_PER_FRONT: usize = 8;
/// Time between two requests of a client.
const PAUSE: Duration = Duration::from_millis(250);
const TIME_LIMIT: Duration = Duration::from_secs(3);
const WORK: Duration = Duration::from_millis(60);
/// How long clients keep a lookup: its time to live, or three times as long.
const LOOKUPS: [Duration; 2] = [Duration::from_secs(2), Duration::from_secs(6)];

#[derive(Default)]
struct Endpoint {
    arrivals: Mutex<Vec<(Instant, String)>>,
    crashed: AtomicBool,
    /// Requests that were at work when it crashed.
    lost: AtomicUsize,
}

/// What clients know of a front.
struct Target {
    address: SocketAddr,
    /// Milliseconds from the start of the clients to the latest stop; zero without one.
    stopped: AtomicU64,
}

struct Sent {
    at: Instant,
    front: usize,
    status: Option<u16>,
}

pub fn run(trouble: Trouble, record: &Arc<Record>) -> Vec<String> {
    let store = Store::start();
    store.put("config", "main", &manifest_with(TIME_LIMIT, true), "null");
    let cold: Arc<Endpoint> = Arc::default();
    let state = Arc::clone(&cold);
    let address = start_endpoint(move |stream, message| {
        let attempt = message.header("x-attempt-id").to_owned();
        if state.crashed.load(Ordering::Relaxed) {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        let now = Instant::now();
        let in_second = {
            let mut arrivals = state.arrivals.lock().unwrap();
            arrivals.push((now, attempt));
            arrivals.iter().filter(|(at, _)| now - *at < Duration::from_secs(1)).count()
        };
        if in_second >= CRASHES_AT && !attempt_is_probe(&message) {
            state.crashed.store(true, Ordering::Relaxed);
        }
        let mut reply = answer(&message, b"i-0");
        let (_, rest) = message.read_body(stream)?;
        thread::sleep(WORK);
        if state.crashed.load(Ordering::Relaxed) {
            state.lost.fetch_add(1, Ordering::Relaxed);
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        stream.write_all(std::mem::take(&mut reply).as_slice())?;
        Ok(rest)
    });
    store.register("i-0", address, "centre-a");
    for index in 1..=OTHER_ENDPOINTS {
        let name = format!("i-{index}");
        let body = name.clone();
        let other = start_endpoint(move |stream, message| {
            let reply = answer(&message, body.as_bytes());
            let (_, rest) = message.read_body(stream)?;
            thread::sleep(WORK);
            stream.write_all(&reply)?;
            Ok(rest)
        });
        store.register(&name, other, "centre-a");
    }
    let mut fronts: Vec<Front> = MACHINES
        .iter()
        .map(|(name, zone)| Front::start_at(&CHAUXPARTAGE, name, zone, store.address))
        .collect();
    fronts.iter_mut().for_each(Front::wait_until_ready);
    thread::sleep(Duration::from_secs(5));
    let objects = find_objects(fronts[0].address);
    record.add(format!("objects that prefer i-0: {}", objects.join(", ")));
    // The endpoint is away until it starts again.
    store.delete("servers", "i-0");
    record.add("i-0 has ended");
    thread::sleep(Duration::from_secs(3));
    cold.arrivals.lock().unwrap().clear();

    let start = Instant::now();
    let targets: Arc<Vec<Target>> = Arc::new(
        fronts
            .iter()
            .map(|front| Target { address: front.address, stopped: AtomicU64::new(0) })
            .collect(),
    );
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..fronts.len() * CLIENTS_PER_FRONT)
        .map(|index| {
            let (targets, is_over) = (Arc::clone(&targets), Arc::clone(&is_over));
            let objects = objects.clone();
            thread::spawn(move || pay(index, start, &targets, &objects, &is_over))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let rolling_at = Instant::now();
    let roll = trouble.is_on.then(|| {
        let (record, targets) = (Arc::clone(record), Arc::clone(&targets));
        let mut fronts = std::mem::take(&mut fronts);
        thread::spawn(move || {
            thread::scope(|scope| {
                for (index, front) in fronts.iter_mut().enumerate() {
                    let at = rolling_at + GAP * index as u32;
                    thread::sleep(at.saturating_duration_since(Instant::now()));
                    record.add(format!("SIGTERM to {}", front.name));
                    front.signal("-TERM");
                    targets[index].stopped.store(start.elapsed().as_millis() as u64, Ordering::Relaxed);
                    let (record, targets) = (Arc::clone(&record), Arc::clone(&targets));
                    scope.spawn(move || {
                        front.restart();
                        record.add(format!("{} starts again", front.name));
                        front.wait_until_ready();
                        targets[index].stopped.store(0, Ordering::Relaxed);
                    });
                }
            });
            fronts
        })
    });
    thread::sleep((rolling_at + UNTIL_START).saturating_duration_since(Instant::now()));
    let started = Instant::now();
    record.add("i-0 starts again, cold for 3 s");
    for beat in 0..2_u32 {
        let left = COLD.saturating_sub(started.elapsed());
        store.report("i-0", address, "centre-a", (3_600_000, u64::from(beat) + 1), left);
        thread::sleep((started + HEARTBEAT * (beat + 1)).saturating_duration_since(Instant::now()));
    }
    thread::sleep((started + COLD).saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::Relaxed);
    let sent: HashMap<String, Sent> = clients
        .into_iter()
        .flat_map(|client| client.join().expect("a client does not panic"))
        .collect();
    if let Some(roll) = roll {
        fronts = roll.join().expect("the roll does not panic");
    }
    drop(fronts);
    judge(&cold, started, &sent, record)
}

fn attempt_is_probe(message: &Message) -> bool {
    message.header("x-attempt-id").starts_with("probe")
}

/// Finds objects whose requests go to the endpoint while it is warm.
fn find_objects(front: SocketAddr) -> Vec<String> {
    let mut objects = Vec::new();
    for number in 0..400 {
        let object = format!("object-{number}");
        let text =
            request_for(&object, "GET", "/look/1", &format!("probe-{number}"), TIME_LIMIT, b"");
        let answered = TcpStream::connect(front).and_then(|mut stream| {
            stream.write_all(&text)?;
            let message = Message::read_head(&mut stream, Vec::new())?;
            let message = message.ok_or(std::io::ErrorKind::UnexpectedEof)?;
            Ok(message.read_body(&mut stream)?.0)
        });
        if matches!(answered, Ok(body) if body == b"i-0") {
            objects.push(object);
        }
        if objects.len() == OBJECTS {
            break;
        }
    }
    if objects.len() < OBJECTS {
        super::harness::cannot_run("too few objects prefer the endpoint");
    }
    objects
}

/// Sends unsafe requests to a front for as long as the client keeps its lookup; retries none.
fn pay(
    client: usize,
    start: Instant,
    targets: &[Target],
    objects: &[String],
    is_over: &AtomicBool,
) -> Vec<(String, Sent)> {
    let mut sent = Vec::new();
    let mut channel: Option<(TcpStream, Vec<u8>)> = None;
    let mut front = client % targets.len();
    let lookup = LOOKUPS[client / targets.len() % LOOKUPS.len()];
    let mut number = 0;
    thread::sleep(PAUSE * (client % 7) as u32 / 7);
    while !is_over.load(Ordering::Relaxed) {
        let stopped = targets[front].stopped.load(Ordering::Relaxed);
        let is_kept = stopped == 0 || start.elapsed() < Duration::from_millis(stopped) + lookup;
        if !is_kept || (channel.is_none() && TcpStream::connect(targets[front].address).is_err()) {
            // A new lookup names only machines that are not stopping.
            let running =
                (0..targets.len()).filter(|index| targets[*index].stopped.load(Ordering::Relaxed) == 0);
            let running: Vec<usize> = running.collect();
            if running.is_empty() {
                thread::sleep(PAUSE);
                continue;
            }
            front = running[(client + number) % running.len()];
            channel = None;
        }
        let attempt = format!("pay-{client}-{number}");
        number += 1;
        let object = &objects[(client + number) % objects.len()];
        let at = Instant::now();
        let answered = (|| {
            let (mut stream, rest) = match channel.take() {
                Some(open) => open,
                None => {
                    let stream = TcpStream::connect(targets[front].address)?;
                    stream.set_nodelay(true)?;
                    stream.set_read_timeout(Some(TIME_LIMIT))?;
                    (stream, Vec::new())
                }
            };
            stream.write_all(&request_for(
                object, "POST", "/pay/crew", &attempt, TIME_LIMIT, b"book",
            ))?;
            let message = Message::read_head(&mut stream, rest)?;
            let message = message.ok_or(std::io::ErrorKind::UnexpectedEof)?;
            let status = message.word().parse().ok();
            let is_closing = message.header("connection").eq_ignore_ascii_case("close");
            let (_, rest) = message.read_body(&mut stream)?;
            if !is_closing {
                channel = Some((stream, rest));
            }
            Ok::<_, std::io::Error>(status)
        })();
        sent.push((attempt, Sent { at, front, status: answered.unwrap_or_default() }));
        thread::sleep(PAUSE.saturating_sub(at.elapsed()));
    }
    sent
}

/// FAILBACK: a cold endpoint gets more requests in one second than allowed, summed over all machines.
/// Counted are requests that were sent and arrived inside that second.
fn judge(
    cold: &Endpoint,
    started: Instant,
    sent: &HashMap<String, Sent>,
    record: &Record,
) -> Vec<String> {
    let arrivals = cold.arrivals.lock().unwrap();
    let window = Duration::from_secs(1);
    let mut most = (0, Duration::ZERO, Vec::new());
    for (end, _) in arrivals.iter().filter(|(at, _)| *at >= started && *at < started + COLD) {
        let inside: Vec<&Sent> = arrivals
            .iter()
            .filter(|(at, _)| *at <= *end && *end - *at < window)
            .filter_map(|(_, attempt)| sent.get(attempt))
            .filter(|sent| *end - sent.at < window)
            .collect();
        if inside.len() > most.0 {
            let mut by_front = vec![0; MACHINES.len()];
            inside.iter().for_each(|sent| by_front[sent.front] += 1);
            most = (inside.len(), *end - started, by_front);
        }
    }
    for (at, attempt) in arrivals.iter().filter(|(at, _)| *at >= started) {
        if let Some(sent) = sent.get(attempt) {
            let status = sent.status.map_or("no answer".to_owned(), |status| status.to_string());
            record.add(format!(
                "{attempt} reached i-0 {:.3} s after its start, from {}; the client got {status}",
                (*at - started).as_secs_f64(),
                MACHINES[sent.front].0
            ));
        }
    }
    let count = |wanted| sent.values().filter(|sent| sent.status == wanted).count();
    record.add(format!(
        "{} requests sent: 200 {}, 502 {}, 503 {}, none {}",
        sent.len(),
        count(Some(200)),
        count(Some(502)),
        count(Some(503)),
        count(None)
    ));
    let (count, after, by_front) = most;
    let by_front: Vec<String> = MACHINES
        .iter()
        .zip(by_front)
        .map(|((name, _), count)| format!("{name} {count}"))
        .collect();
    let text = format!(
        "the cold endpoint got {count} requests in the second before {:.3} s after its start \
         (allowed {ALLOWED}): {}; it crashed: {}, requests lost there: {}",
        after.as_secs_f64(),
        by_front.join(", "),
        cold.crashed.load(Ordering::Relaxed),
        cold.lost.load(Ordering::Relaxed)
    );
    record.add(&text);
    if count > ALLOWED { vec![format!("FAILBACK: {text}")] } else { Vec::new() }
}
