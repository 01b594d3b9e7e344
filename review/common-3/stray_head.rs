//! Endpoints that send, late, the cut-off start of an extra answer before their true answer.
//!
//! The start ends in the middle of a header's value, so that the first line of the true answer
//! continues that value and its other headers follow. What the caller's side then parses is one
//! answer with the status and the first headers of the extra one, and with the attempt's id, the
//! signature and the body of the true one.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::Trouble;
use super::harness::{Front, Message, Record, Store, manifest, request, start_endpoint_channels};

const ENDPOINTS: usize = 5;
/// Endpoints that hand out wrong bytes: a share of 0.4. The site goes up to 0.6.
const FAULTY: usize = 2;
/// Of this many answers of a faulty endpoint one may be spoilt: a share of 0.029. The site goes up to
/// 0.03.
const ANSWERS_PER_SPOILT: usize = 34;
/// Of this many answers of an endpoint one is a failure, as on the sheet (0.004).
const ANSWERS_PER_FAILURE: usize = 250;
const CLIENTS: usize = 12;
/// Duration of the traffic and of the disruption, as on the site.
const TRAFFIC: Duration = Duration::from_secs(5);
const TIME_LIMIT: Duration = Duration::from_secs(6);
const WORK: Duration = Duration::from_millis(20);

/// Start of an answer of a full endpoint, cut off.
const CUT_REJECTION: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nServer: kassa";
/// Start of an answer of success, cut off.
const CUT_SUCCESS: &[u8] = b"HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 10:00";

/// Which rule a run is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Aim {
    Twice,
    Mixed,
}

/// A run of a request at an endpoint.
#[derive(Clone, Debug)]
struct Run {
    endpoint: String,
    status: u16,
    is_spoilt: bool,
}

#[derive(Clone, Debug)]
struct Outcome {
    attempt: String,
    /// Status of a complete answer.
    status: Option<u16>,
    is_stamped: bool,
    body: String,
}

type Runs = Arc<Mutex<HashMap<String, Vec<Run>>>>;

pub fn run(aim: Aim, trouble: Trouble, record: &Arc<Record>) -> Vec<String> {
    let store = Store::start();
    store.put("config", "main", &manifest(TIME_LIMIT), "null");
    let runs: Runs = Arc::default();
    for index in 0..ENDPOINTS {
        let is_faulty = trouble.is_on && index < FAULTY;
        let address = start(format!("i-{index}"), aim, is_faulty, &runs, record);
        store.register(&format!("i-{index}"), address, "tln-a");
    }
    let mut fronts = [
        Front::start("front-tln-a-1", "tln-a", store.address),
        Front::start("front-tln-a-2", "tln-a", store.address),
    ];
    fronts.iter_mut().for_each(Front::wait_until_ready);
    // The machines are in touch once they have run for the whole stability window.
    thread::sleep(Duration::from_millis(4_500));
    let addresses = [fronts[0].address, fronts[1].address];
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| thread::spawn(move || pay(addresses[index % 2], index)))
        .collect();
    let outcomes: Vec<Outcome> = clients
        .into_iter()
        .flat_map(|client| client.join().expect("a client does not panic"))
        .collect();
    let runs = runs.lock().unwrap();
    let count = |status| outcomes.iter().filter(|outcome| outcome.status == status).count();
    record.add(format!(
        "clients sent {} requests; answers: 200 {}, 500 {}, 502 {}, 503 {}, none {}",
        outcomes.len(),
        count(Some(200)),
        count(Some(500)),
        count(Some(502)),
        count(Some(503)),
        count(None)
    ));
    let spoilt = runs.values().flatten().filter(|run| run.is_spoilt).count();
    let total: usize = runs.values().map(Vec::len).sum();
    record.add(format!("endpoints ran {total} requests and spoilt {spoilt} answers"));
    judge(aim, &outcomes, &runs, record)
}

fn start(
    name: String,
    aim: Aim,
    is_faulty: bool,
    runs: &Runs,
    record: &Arc<Record>,
) -> SocketAddr {
    let (runs, record) = (Arc::clone(runs), Arc::clone(record));
    let (answers, spoilt) = (AtomicUsize::new(0), AtomicUsize::new(0));
    start_endpoint_channels(move |stream, message, earlier| {
        let attempt = message.header("x-attempt-id").to_owned();
        let (_, rest) = message.read_body(stream)?;
        thread::sleep(WORK);
        let number = answers.fetch_add(1, Ordering::Relaxed) + 1;
        let fails = aim == Aim::Mixed && number % ANSWERS_PER_FAILURE == 0;
        // Only a channel that has carried an answer can bring an extra one. The share holds at any
        // time.
        let is_due = match aim {
            Aim::Twice => number >= ANSWERS_PER_SPOILT * (spoilt.load(Ordering::Relaxed) + 1),
            Aim::Mixed => fails,
        };
        let is_spoilt = is_faulty && is_due && earlier > 0;
        let status = if fails { 500 } else { 200 };
        let body = if fails { "not paid" } else { "paid" };
        let run = Run { endpoint: name.clone(), status, is_spoilt };
        runs.lock().unwrap().entry(attempt.clone()).or_default().push(run);
        let mut bytes = Vec::new();
        if is_spoilt {
            spoilt.fetch_add(1, Ordering::Relaxed);
            record.add(format!("{name} runs {attempt}, answers {status}, spoilt"));
            bytes.extend_from_slice(if aim == Aim::Twice { CUT_REJECTION } else { CUT_SUCCESS });
        } else if fails {
            record.add(format!("{name} runs {attempt}, answers {status}"));
        }
        let reason = if fails { "Internal Server Error" } else { "OK" };
        let head = format!(
            "HTTP/1.1 {status} {reason}\r\nX-Attempt-Id: {attempt}\r\n\
             X-Response-Stamp: {name}.{attempt}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        bytes.extend_from_slice(head.as_bytes());
        stream.write_all(&bytes)?;
        Ok(rest)
    })
}

/// Sends unsafe requests one after the other on a kept channel. Retries none.
fn pay(address: SocketAddr, client: usize) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    let mut channel: Option<(TcpStream, Vec<u8>)> = None;
    let end = Instant::now() + TRAFFIC;
    let mut number = 0;
    while Instant::now() < end {
        let attempt = format!("pay-{client}-{number}");
        number += 1;
        let answered = (|| {
            let (mut stream, rest) = match channel.take() {
                Some(open) => open,
                None => {
                    let stream = TcpStream::connect(address)?;
                    stream.set_nodelay(true)?;
                    stream.set_read_timeout(Some(TIME_LIMIT))?;
                    (stream, Vec::new())
                }
            };
            stream.write_all(&request("POST", "/pay/card", &attempt, TIME_LIMIT, b"charge"))?;
            let message = Message::read_head(&mut stream, rest)?;
            let message = message.ok_or(std::io::ErrorKind::UnexpectedEof)?;
            let status = message.word().parse().ok();
            let is_stamped = !message.header("x-response-stamp").is_empty();
            let is_closing = message.header("connection").eq_ignore_ascii_case("close");
            let (body, rest) = message.read_body(&mut stream)?;
            if !is_closing {
                channel = Some((stream, rest));
            }
            let body = String::from_utf8_lossy(&body).into_owned();
            Ok::<_, std::io::Error>((status, is_stamped, body))
        })();
        let (status, is_stamped, body) = answered.unwrap_or_default();
        outcomes.push(Outcome { attempt, status, is_stamped, body });
    }
    outcomes
}

fn judge(
    aim: Aim,
    outcomes: &[Outcome],
    runs: &HashMap<String, Vec<Run>>,
    record: &Record,
) -> Vec<String> {
    let mut breaks = Vec::new();
    for outcome in outcomes {
        let own = runs.get(&outcome.attempt).map_or(&[][..], Vec::as_slice);
        let status = outcome.status.map_or("no answer".to_owned(), |status| status.to_string());
        let places: Vec<String> =
            own.iter().map(|run| format!("{} ({})", run.endpoint, run.status)).collect();
        record.add(format!("{} sent; answered {status}; ran at {}", outcome.attempt, places.join(" and ")));
        // TWICE: a request that isn't idempotent runs more than once.
        if own.len() > 1 {
            let text = format!(
                "TWICE: {} ran {} times, at {}; the client got {status}",
                outcome.attempt,
                own.len(),
                places.join(" and ")
            );
            if aim == Aim::Twice { breaks.push(text) } else { record.add(text) }
        }
        // REFUSED: it is answered 429 or 503 and has run.
        if matches!(outcome.status, Some(408 | 421 | 429 | 503)) && !own.is_empty() {
            record.add(format!(
                "REFUSED: {} got {status} and ran at {}",
                outcome.attempt, own[0].endpoint
            ));
        }
        // MIXED: a success where the endpoint had answered with a failure.
        let has_succeeded = own.iter().any(|run| run.status == 200);
        if outcome.status == Some(200) && !has_succeeded {
            let text = format!(
                "MIXED: {} got 200, signed: {}, with the body {:?}; its endpoint had answered {}",
                outcome.attempt,
                outcome.is_stamped,
                outcome.body,
                own.first().map_or(0, |run| run.status)
            );
            if aim == Aim::Mixed { breaks.push(text) } else { record.add(text) }
        }
    }
    breaks
}
